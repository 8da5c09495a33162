//! Drains of an instance on request: which drains are active, what each refuses, when its deadline takes effect, and which
//! final answer each message then gets. The module does no I/O, reads no clock and starts no threads.
//! `docs/design/drain.md` has the table of all transitions.
//!
//! A drain covers a [`Scope`]: everything, or one front, destination, class or tenant, or the intersection of several of
//! these. From its start, no new message in its scope is accepted. Accepted messages continue under the usual rules until
//! the deadline. At the deadline the drain *expires*: in one step, every message in scope that has no end yet gets its
//! final answer, see [`final_answer`]. An expired drain can't be cancelled. A drain whose deadline has come counts as
//! expired even if no tick has handled it yet.

pub mod estimate;

use crate::api::{Effect, Micros};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The messages that a drain covers. A field that is not set matches all messages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// The front's number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub front: Option<u8>,
    /// The destination's number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dest: Option<u16>,
    /// Classes, by position in the settings; an empty list matches all. One class name may stand for several positions, as
    /// mail has classes of its own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<u16>,
    /// The tenant, by position in the settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<u16>,
}

/// The attributes of a message that a scope is matched against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageAttributes {
    /// The number of its front.
    pub front: u8,
    /// The number of its destination.
    pub dest: u16,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
}

impl Scope {
    /// Whether a message is in the scope.
    pub fn covers(&self, attributes: &MessageAttributes) -> bool {
        self.front.is_none_or(|f| f == attributes.front)
            && self.dest.is_none_or(|d| d == attributes.dest)
            && (self.classes.is_empty() || self.classes.contains(&attributes.class))
            && self.tenant.is_none_or(|t| t == attributes.tenant)
    }

    /// Whether the scope covers every message of a front.
    pub fn covers_front(&self, front: u8) -> bool {
        self.front.is_none_or(|f| f == front)
            && self.dest.is_none()
            && self.classes.is_empty()
            && self.tenant.is_none()
    }
}

/// A request to start a drain.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DrainRequest {
    /// The messages that it covers.
    pub scope: Scope,
    /// The deadline.
    pub deadline: Micros,
    /// The reason that is shown to operators.
    pub reason: String,
    /// The address that clients may use in the meantime.
    pub alternative_address: Option<String>,
}

/// The stage of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// New messages are refused; accepted messages continue.
    Draining,
    /// The deadline has passed: the answer of every message is decided, and notices to clients may still be pending.
    #[serde(rename = "struck")]
    Expired,
    /// Cancelled before the deadline; service is as before.
    Cancelled,
    /// Closed after it had finished; service is as before.
    Closed,
}

/// The number of messages that the deadline ended, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Messages given up, as they may have run.
    pub given_up: u64,
    /// Messages handed back, as they never ran or may safely run again.
    pub handed_back: u64,
}

/// A drain and its progress, as stored in the drains file.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Drain {
    /// Its number, unique within a state folder.
    pub id: u64,
    /// The messages that it covers.
    pub scope: Scope,
    /// Its deadline, in microseconds since 1970.
    #[serde(rename = "by")]
    pub deadline_us: u64,
    /// The time of the first request, in microseconds since 1970.
    #[serde(rename = "since")]
    pub started_us: u64,
    /// The reason that is shown to operators.
    pub reason: String,
    /// The address that clients may use in the meantime.
    #[serde(rename = "elsewhere")]
    pub alternative_address: Option<String>,
    /// Its stage.
    pub stage: Stage,
    /// The number of messages in scope when it began.
    pub at_start: u64,
    /// The messages that its deadline ended.
    #[serde(rename = "tally")]
    pub outcomes: OutcomeCounts,
}

impl Drain {
    /// Returns the deadline.
    pub fn deadline(&self) -> Micros {
        Micros(self.deadline_us)
    }

    fn is_due(&self, now: Micros) -> bool {
        self.stage == Stage::Draining && self.deadline() <= now
    }
}

/// The reason for which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The process is stopping; a drain needs a process that keeps running.
    Ending,
    /// The deadline is past, or more than seven days away.
    Deadline,
    /// The maximum number of drains is active already.
    TooMany,
    /// No drain of this number is active.
    Unknown,
    /// The deadline had passed before the request.
    Expired,
    /// The drain was cancelled before.
    Cancelled,
    /// The change could not be written to disk and has no effect.
    Disk,
}

/// The result of a request to start a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Started {
    /// The drain's number.
    pub id: u64,
    /// Whether the drain was active already and got a new deadline.
    pub updated: bool,
}

/// The refusal of a new message because of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The drain's number.
    pub id: u64,
    /// The time after which the client may retry.
    pub retry_after: Micros,
}

/// The maximum number of drains that are active at a time.
const MAX_ACTIVE: usize = 16;
/// The number of ended drains that are kept.
const MAX_ENDED: usize = 16;
/// The furthest deadline, from the time of the request.
const MAX_DEADLINE: Micros = Micros(7 * 24 * 3600 * 1_000_000);
/// The shortest retry delay that a client is given.
const MIN_RETRY_AFTER: Micros = Micros(1_000_000);
/// The maximum length of a reason and of an alternative address, in bytes.
pub const MAX_TEXT_BYTES: usize = 400;

/// All drains of an instance, as stored in the drains file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Drains {
    #[serde(rename = "next")]
    last_id: u64,
    #[serde(rename = "on")]
    active: Vec<Drain>,
    ended: VecDeque<Drain>,
}

impl Drains {
    /// Returns the active drains, which refuse new messages in their scopes; expired ones are included.
    pub fn active(&self) -> &[Drain] {
        &self.active
    }

    /// Returns the scopes of all drains, ended ones included.
    pub fn scopes(&self) -> impl Iterator<Item = &Scope> {
        self.active.iter().chain(&self.ended).map(|drain| &drain.scope)
    }

    /// As [`Drains::scopes`], to be changed.
    pub fn scopes_mut(&mut self) -> impl Iterator<Item = &mut Scope> {
        self.active.iter_mut().chain(&mut self.ended).map(|drain| &mut drain.scope)
    }

    /// Returns a drain by its number, including one that ended recently.
    pub fn get(&self, id: u64) -> Option<&Drain> {
        self.active.iter().chain(&self.ended).find(|d| d.id == id)
    }

    /// Returns the drains that were cancelled or closed recently, the oldest first.
    pub fn ended(&self) -> impl Iterator<Item = &Drain> {
        self.ended.iter()
    }

    /// Starts a drain. A second request for the same scope gives the active drain a new deadline, which may be earlier. If
    /// that drain has expired, the request is refused: its decisions stand, and no message is left to drain.
    pub fn start(
        &mut self, now: Micros, request: DrainRequest, stopping: bool, held: u64,
    ) -> Result<Started, Refusal> {
        if stopping {
            return Err(Refusal::Ending);
        }
        if request.deadline <= now || request.deadline > now + MAX_DEADLINE {
            return Err(Refusal::Deadline);
        }
        if let Some(drain) = self.active.iter_mut().find(|d| d.scope == request.scope) {
            if drain.stage == Stage::Expired || drain.is_due(now) {
                return Err(Refusal::Expired);
            }
            drain.deadline_us = request.deadline.0;
            (drain.reason, drain.alternative_address) = (request.reason, request.alternative_address);
            return Ok(Started { id: drain.id, updated: true });
        }
        if self.active.len() >= MAX_ACTIVE {
            return Err(Refusal::TooMany);
        }
        self.last_id += 1;
        self.active.push(Drain {
            id: self.last_id,
            scope: request.scope,
            deadline_us: request.deadline.0,
            started_us: now.0,
            reason: request.reason,
            alternative_address: request.alternative_address,
            stage: Stage::Draining,
            at_start: held,
            outcomes: OutcomeCounts::default(),
        });
        Ok(Started { id: self.last_id, updated: false })
    }

    /// Cancels a drain. A request at or after the deadline is refused, whether or not the expiry was carried out yet: either
    /// the cancellation or the deadline takes effect, for all messages of the drain. An expired drain can only be closed,
    /// see [`Drains::close`].
    pub fn cancel(&mut self, now: Micros, id: u64) -> Result<(), Refusal> {
        let Some(index) = self.active.iter().position(|d| d.id == id) else {
            return Err(self
                .ended
                .iter()
                .find(|d| d.id == id && d.stage == Stage::Cancelled)
                .map_or(Refusal::Unknown, |_| Refusal::Cancelled));
        };
        if self.active[index].stage == Stage::Expired || self.active[index].is_due(now) {
            return Err(Refusal::Expired);
        }
        let mut drain = self.active.remove(index);
        drain.stage = Stage::Cancelled;
        self.keep_ended(drain);
        Ok(())
    }

    /// Resumes service after a drain that has expired or has no message left; its decisions stand. Any other drain is
    /// treated as by [`Drains::cancel`].
    pub fn close(&mut self, now: Micros, id: u64, left: u64) -> Result<(), Refusal> {
        let index = self.active.iter().position(|d| d.id == id).ok_or(Refusal::Unknown)?;
        let drain = &self.active[index];
        if drain.is_due(now) || drain.stage == Stage::Draining && left > 0 {
            return self.cancel(now, id);
        }
        let mut drain = self.active.remove(index);
        drain.stage = Stage::Closed;
        self.keep_ended(drain);
        Ok(())
    }

    fn keep_ended(&mut self, drain: Drain) {
        self.ended.push_back(drain);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Marks the drains whose deadline has come as expired and returns their numbers. Each is returned only once.
    pub fn expire_due(&mut self, now: Micros) -> Vec<u64> {
        let mut expired = Vec::new();
        for drain in self.active.iter_mut().filter(|d| d.is_due(now)) {
            drain.stage = Stage::Expired;
            expired.push(drain.id);
        }
        expired
    }

    /// Adds the outcomes of a drain's expiry. They are summed up because a process can be killed during the expiry, and the
    /// next run continues it.
    pub fn add_outcomes(&mut self, id: u64, outcomes: OutcomeCounts) {
        if let Some(drain) = self.active.iter_mut().find(|d| d.id == id) {
            drain.outcomes.given_up += outcomes.given_up;
            drain.outcomes.handed_back += outcomes.handed_back;
        }
    }

    /// Returns the next deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.active.iter().filter(|d| d.stage == Stage::Draining).map(Drain::deadline).min()
    }

    /// Returns the rejection of a new message that an active drain covers. The client may retry at the deadline or, if that
    /// has passed, after `max_retry_after`, which is also the longest delay.
    pub fn rejection(
        &self, now: Micros, attributes: &MessageAttributes, max_retry_after: Micros,
    ) -> Option<Rejection> {
        let drain = self.active.iter().find(|d| d.scope.covers(attributes))?;
        let retry_after = match drain.stage {
            Stage::Draining => drain.deadline() - now,
            Stage::Expired | Stage::Cancelled | Stage::Closed => max_retry_after,
        };
        let retry_after = retry_after.max(MIN_RETRY_AFTER).min(max_retry_after.max(MIN_RETRY_AFTER));
        Some(Rejection { id: drain.id, retry_after })
    }

    /// Whether a call may still begin. It may not within `margin` before a deadline, as it could hardly end in time: its
    /// message may then have run, and would have to be given up where it could have been handed back.
    pub fn may_begin(&self, now: Micros, attributes: &MessageAttributes, margin: Micros) -> bool {
        !self.active.iter().any(|d| d.scope.covers(attributes) && d.deadline() <= now + margin)
    }

    /// Whether a drain closes a front to all new messages.
    pub fn closes_front(&self, front: u8) -> bool {
        self.active.iter().any(|d| d.scope.covers_front(front))
    }
}

/// What may have happened to a message before the deadline of its drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum History {
    /// No call has begun, or every call that began provably never ran.
    NeverRan,
    /// A call may have run, or is in flight.
    MayHaveRun,
}

/// The final answer of a message that has not ended at the deadline of its drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The client may safely submit the message again.
    HandBack,
    /// The message may have taken effect; nothing is guaranteed.
    GiveUp,
}

/// Returns the final answer by effect and history. Messages that never ran are handed back, and so are those that may run
/// again without harm. A keyed message is deduplicated only inside its window and group, and a client that submits it
/// elsewhere knows neither, so it is given up once it may have run.
pub fn final_answer(effect: Effect, history: History) -> Answer {
    match (effect, history) {
        (_, History::NeverRan) | (Effect::Safe, History::MayHaveRun) => Answer::HandBack,
        (Effect::Keyed { .. } | Effect::Unsafe, History::MayHaveRun) => Answer::GiveUp,
    }
}
