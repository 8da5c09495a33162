//! When a message gets its final answer without a delivery, and which answer.

use super::*;
use std::cmp::Reverse;

/// Fraction of the room for held messages that is kept free; messages are shed beyond that.
const MIN_FREE_ROOM: f64 = 0.05;
/// Fraction of the answer slack after which an overdue message is answered.
const ANSWER_SLACK_USED: f64 = 0.5;

/// How many messages may be held before any is shed, of the `room` that the settings give.
pub(crate) fn usable_room(room: u32) -> usize {
    (f64::from(room) * (1.0 - MIN_FREE_ROOM)) as usize
}

impl Sender {
    /// Gives the final answer: the message is declined where that is permitted, and failed otherwise.
    pub(super) fn finish_undelivered(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(held) = self.messages.get(&id) else { return };
        if held.may_be_declined() {
            let retry_after = self.time_until_open(now, held.message.destination, Micros(0)).max(SECOND);
            let max = self.settings.limits.max_retry_after.unwrap_or(retry_after);
            actions.push(Action::Decline { id, retry_after: retry_after.min(max) });
        } else {
            actions.push(Action::Fail(id));
        }
        self.finish(id);
    }

    /// How long until some route of the destination may be sent the next call, as known now.
    pub(super) fn time_until_open(&self, now: Micros, destination: DestinationId, aim_at: Micros) -> Micros {
        let wait = |r: &Route| r.wait_until.max(r.send_rate.opens_at(now, aim_at)) - now;
        self.routes_of(destination).map(wait).min().unwrap_or_default()
    }

    /// When a message expires if nothing happens before; `None`: it has had its final answer.
    fn expiry(&self, held: &HeldMessage) -> Option<Micros> {
        let slack = self.settings.rules.answer_slack.unwrap_or_default().scale(ANSWER_SLACK_USED);
        match held.in_flight {
            None => Some(self.latest_send_time(held)),
            Some(_) => (!held.ended).then(|| held.message.due + slack),
        }
    }

    /// Gives the final answer for messages that have expired. With `scan_all` every held message is checked,
    /// otherwise only those whose expiry is due or not known.
    pub(super) fn expire_messages(&mut self, now: Micros, scan_all: bool, actions: &mut Vec<Action>) {
        let expired = |h: &HeldMessage| self.expiry(h).is_some_and(|at| at <= now);
        let all = || self.messages.iter().filter(|(_, h)| expired(h)).map(|(id, _)| *id).collect();
        let ids: Vec<_> = if scan_all { all() } else { self.send_queue.take_expiry_candidates(now) };
        for id in ids {
            match self.messages.get(&id).and_then(|h| self.expiry(h)) {
                Some(at) if at <= now => self.finish_undelivered(now, id, actions),
                at => {
                    let held = self.messages.get_mut(&id);
                    held.into_iter().for_each(|h| self.send_queue.set_expiry(h, at));
                }
            }
        }
    }

    /// Sheds messages while the room for held messages is nearly full. If nothing were shed, the messages of
    /// one destination that is out would fill the room, and new messages for other destinations would be
    /// refused.
    ///
    /// Messages beyond their tenant's share go first, then those of destinations with more waiting messages
    /// than half of the longest queue. Among these the least worth goes first, a message handed in just now
    /// before one that was accepted earlier; then the one with the longest queue, and overdue ones before the
    /// rest. A shed message is declined with a time to stay away.
    ///
    /// An accepted message is kept if to decline it frees no room.
    pub(super) fn shed_load(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(room) = self.settings.limits.max_open else { return };
        let max_held = usable_room(room);
        while self.messages.len() > max_held {
            let waiting = self.waiting_by_destination();
            let longest = waiting.values().max().copied().unwrap_or_default();
            let queue = |h: &HeldMessage| waiting[&h.message.destination];
            let value = |h: &HeldMessage| {
                (h.over_share, queue(h) * 2 > longest, Reverse(h.worth_millis), h.handed_in_at == now)
            };
            let rank = |h: &&HeldMessage| (value(h), queue(h), h.aim_at <= now, h.aim_at);
            let sheddable = |h: &&HeldMessage| {
                h.may_be_declined() && (h.end_report == EndReport::Notice || h.handed_in_at == now)
            };
            let candidates = self.messages.values().filter(sheddable);
            let Some(first) = candidates.max_by_key(rank) else { return };
            self.finish_undelivered(now, first.message.id, actions);
        }
    }
}
