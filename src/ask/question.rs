//! One question: which couriers were asked, which parts have arrived and which are missing. Contents are not stored: for each
//! piece the caller is told whether to store it.

use super::latency::LatencyCurve;
use super::{CourierId, Kind, QuestionId};
use crate::api::Micros;

/// Maximum number of pieces in one courier's part. Received pieces are bits of a `u64`.
const MAX_PIECES: u8 = 64;
/// How often one courier is asked the same question: it is asked again after each restart.
const MAX_ASKS: u8 = 3;

/// Whether a courier is present, as far as the asker knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// In the fleet, as far as is known.
    Present,
    /// Known to be away: neither asked nor waited for.
    Away,
    /// Only its name is known: it is asked, and waited for as long as the latencies of the whole fleet make it worthwhile.
    Unknown,
}

/// A courier whose part of the answer is wanted.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The courier.
    pub courier: CourierId,
    /// The incarnation of its process run, as far as is known.
    pub incarnation: u64,
    /// How much it reports to hold, in any unit. `None`: not known, it has the mean weight of the others.
    pub weight: Option<f64>,
    /// Whether it is present.
    pub presence: Presence,
}

/// A piece of a courier's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The courier that answers.
    pub courier: CourierId,
    /// The incarnation of the process run that answers.
    pub incarnation: u64,
    /// From 0, below 64.
    pub number: u8,
    /// No piece follows this one.
    pub last: bool,
    /// The number that this piece contributes; a part's figure is the sum over its pieces.
    pub figure: u64,
    /// The question needs no other answer, because what it asks for has been found.
    pub settles: bool,
}

/// How a received piece was classified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The caller stores it.
    New,
    /// The caller stores it and discards all earlier pieces of this courier, which has restarted.
    NewAfterRestart,
    /// It had been received before.
    Duplicate,
    /// Its question has ended: it counts as evidence of latency, but is not part of the answer.
    Late,
    /// From a previous process run of the answering courier.
    OldIncarnation,
    /// For a question of another asker, of another process run of this one, or one that ended too long ago.
    UnknownQuestion,
    /// From a courier that was not asked, or with an impossible number.
    Invalid,
}

/// Why a part is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingReason {
    /// The courier was known to be away, or became known to be away.
    Away,
    /// It was not waited for any longer.
    Late,
    /// It does not answer this question.
    Refused,
    /// Only its name was known, and it did not answer.
    Unknown,
    /// It restarted repeatedly while it was asked.
    Restarted,
}

/// The figure of a part in an earlier answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreviousFigure {
    /// The figure of the courier's last complete answer to the same question.
    pub figure: u64,
    /// The time since that answer arrived.
    pub age: Micros,
}

/// A part that is missing.
#[derive(Debug, Clone, PartialEq)]
pub struct MissingPart {
    /// The courier that did not answer completely.
    pub courier: CourierId,
    /// Why it is missing.
    pub reason: MissingReason,
    /// Its share of the complete answer, 0 to 1.
    pub share: f64,
    /// Some pieces arrived; the answer's figure includes them, its share does not.
    pub partial: bool,
    /// Its figure in an earlier answer.
    pub previous: Option<PreviousFigure>,
}

/// The result of a question.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The question.
    pub id: QuestionId,
    /// All parts have arrived, or what was asked for has been found.
    pub complete: bool,
    /// The sum of the figures of all pieces that arrived.
    pub figure: u64,
    /// The share of the complete answer that arrived, by weight, 0 to 1.
    pub share: f64,
    /// Couriers whose parts are complete.
    pub completed: Vec<CourierId>,
    /// The other couriers that the question concerned.
    pub missing: Vec<MissingPart>,
    /// The asker and the couriers that are present are more than half of the fleet. Otherwise most of the answer may be
    /// missing.
    pub majority: bool,
    /// The time from the question to its end.
    pub elapsed: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Open,
    Complete,
    Missing(MissingReason),
}

pub(super) struct PartState {
    pub courier: CourierId,
    pub incarnation: u64,
    pub share: f64,
    pub unknown: bool,
    pub state: State,
    pub asked: Micros,
    /// Measured from `asked`: the silence up to here has been recorded in the latency model.
    pub recorded_until: Micros,
    asks: u8,
    /// The pieces that arrived, one bit each.
    received: u64,
    last: Option<u8>,
    pub figure: u64,
}

impl PartState {
    /// Discards the pieces of the previous process run. Returns whether the courier may be asked again.
    pub fn restart(&mut self, now: Micros, incarnation: u64) -> bool {
        (self.incarnation, self.received, self.last, self.figure) = (incarnation, 0, None, 0);
        if self.asks >= MAX_ASKS {
            self.state = State::Missing(MissingReason::Restarted);
            return false;
        }
        (self.asks, self.asked, self.recorded_until) = (self.asks + 1, now, Micros(0));
        true
    }

    /// Records a piece of the current incarnation. Returns whether the part is now complete.
    pub fn record(&mut self, piece: &Piece) -> Result<bool, PieceOutcome> {
        let n = piece.number;
        // A number above the bound would overflow the shift in the bitmap; one after the last piece contradicts it.
        if n >= MAX_PIECES || self.last.is_some_and(|last| n > last || (piece.last && n != last)) {
            return Err(PieceOutcome::Invalid);
        }
        if self.received >> n & 1 == 1 {
            return Err(PieceOutcome::Duplicate);
        }
        if piece.last && self.received >> n > 0 {
            return Err(PieceOutcome::Invalid);
        }
        self.received |= 1 << n;
        self.figure = self.figure.saturating_add(piece.figure);
        self.last = self.last.or(piece.last.then_some(n));
        Ok(self.last.is_some_and(|last| self.received.count_ones() == u32::from(last) + 1))
    }

    /// Whether any piece has arrived.
    pub fn has_pieces(&self) -> bool {
        self.received > 0
    }
}

pub(super) struct Question {
    pub id: QuestionId,
    pub kind: Kind,
    pub subject: u64,
    pub asked: Micros,
    /// Sorted by courier.
    pub parts: Vec<PartState>,
    pub settled: bool,
    pub majority: bool,
    pub ended: Option<Micros>,
    /// Expected latencies of the parts as of the last evaluation; empty once the question has ended.
    pub curves: Vec<LatencyCurve>,
    /// When to evaluate the latencies again.
    pub next_evaluation: Micros,
}

impl Question {
    pub fn new(id: QuestionId, kind: Kind, subject: u64, now: Micros, fleet: &[Part]) -> Question {
        let valid = |weight: f64| weight.is_finite() && weight >= 0.0;
        let known: Vec<f64> = fleet.iter().filter_map(|p| p.weight).filter(|w| valid(*w)).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let mean = if mean > 0.0 { mean } else { 1.0 };
        // If every known weight is 0, all couriers have the same weight.
        let all_zero = known.iter().all(|w| *w == 0.0);
        let weight = |p: &Part| p.weight.filter(|w| valid(*w) && !all_zero).unwrap_or(mean);
        let sum: f64 = fleet.iter().map(weight).sum();
        let mut parts: Vec<PartState> = fleet
            .iter()
            .map(|part| PartState {
                courier: part.courier,
                incarnation: part.incarnation,
                share: weight(part) / sum,
                unknown: part.presence == Presence::Unknown,
                state: if part.presence == Presence::Away {
                    State::Missing(MissingReason::Away)
                } else {
                    State::Open
                },
                asked: now,
                recorded_until: Micros(0),
                asks: 1,
                received: 0,
                last: None,
                figure: 0,
            })
            .collect();
        parts.sort_by_key(|p| p.courier);
        parts.dedup_by_key(|p| p.courier);
        let present = fleet.iter().filter(|p| p.presence == Presence::Present).count() + 1;
        let majority = 2 * present > fleet.len() + 1;
        Question {
            id,
            kind,
            subject,
            asked: now,
            parts,
            settled: false,
            majority,
            ended: None,
            curves: Vec::new(),
            next_evaluation: now,
        }
    }

    pub fn part(&mut self, courier: CourierId) -> Option<&mut PartState> {
        let at = self.parts.binary_search_by_key(&courier, |p| p.courier).ok()?;
        self.parts.get_mut(at)
    }

    /// The answer from the parts that have arrived by now.
    pub fn answer(&self, now: Micros, previous: impl Fn(CourierId) -> Option<PreviousFigure>) -> Answer {
        let completed = self.parts.iter().filter(|p| p.state == State::Complete);
        let missing: Vec<MissingPart> = self
            .parts
            .iter()
            .filter_map(|p| {
                let reason = match p.state {
                    State::Complete => return None,
                    State::Open if p.unknown => MissingReason::Unknown,
                    State::Open => MissingReason::Late,
                    State::Missing(reason) => reason,
                };
                let (courier, share, partial) = (p.courier, p.share, p.has_pieces());
                Some(MissingPart { courier, reason, share, partial, previous: previous(courier) })
            })
            .collect();
        Answer {
            id: self.id,
            complete: self.settled || missing.is_empty(),
            figure: self.parts.iter().fold(0, |sum, p| sum.saturating_add(p.figure)),
            share: completed.clone().map(|p| p.share).sum(),
            completed: completed.map(|p| p.courier).collect(),
            missing,
            majority: self.majority,
            elapsed: now - self.asked,
        }
    }
}
