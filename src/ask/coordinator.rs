//! The questions of one asker: the open ones, and ended ones whose late answers are still evidence of latency.

use super::question::{Answer, MissingReason, Part, Piece, PieceOutcome, PreviousFigure, Question, State};
use super::wait::{next_evaluation, worth_waiting, PendingPart};
use super::{AskConfig, CourierId, Kind, LatencyModel, QuestionId};
use crate::api::Micros;
use std::collections::BTreeMap;

/// Maximum number of figures of earlier answers that are remembered.
const MAX_REMEMBERED_FIGURES: usize = 4_096;

/// Why a question was not asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskError {
    /// The maximum number of open questions has been reached.
    TooManyQuestions,
    /// There is no courier to ask, or there are more than the latency memory may hold.
    FleetSize,
}

/// What is to be done with a question.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Wait on, and decide again at this time and at each answer before it.
    Wait(Micros),
    /// The question has ended with this answer.
    Ended(Box<Answer>),
}

/// Numbers of questions and of received pieces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Questions asked.
    pub asked: u64,
    /// Pieces accepted.
    pub pieces: u64,
    /// Pieces that had been received before.
    pub duplicates: u64,
    /// Pieces that arrived after the end of their question.
    pub late: u64,
    /// Pieces of previous process runs, of unknown questions, and invalid ones.
    pub dropped: u64,
}

/// All questions of one process run of one asker.
pub struct Coordinator {
    config: AskConfig,
    me: CourierId,
    incarnation: u64,
    /// The number of the last question asked.
    number: u64,
    questions: BTreeMap<u64, Question>,
    latency: LatencyModel,
    /// The figure of the last complete part by kind, subject and courier, and when it arrived.
    figures: BTreeMap<(Kind, u64, CourierId), (u64, Micros)>,
    counts: Counts,
}

impl Coordinator {
    /// `incarnation` must differ from that of every other process run of this courier.
    pub fn new(config: AskConfig, me: CourierId, incarnation: u64) -> Coordinator {
        let (latency, counts) = (LatencyModel::new(&config), Counts::default());
        let (questions, figures) = (BTreeMap::new(), BTreeMap::new());
        Coordinator { config, me, incarnation, number: 0, questions, latency, figures, counts }
    }

    /// The learnt latencies, to publish the own ones and to merge those of others.
    pub fn latency(&mut self) -> &mut LatencyModel {
        &mut self.latency
    }

    /// Numbers of questions and of received pieces.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Asks `fleet` (without the asker itself). `subject` distinguishes questions of one kind; figures of earlier answers are
    /// looked up by it. The caller sends the question to every courier that is not [`super::Presence::Away`].
    pub fn ask(
        &mut self, now: Micros, kind: Kind, subject: u64, fleet: &[Part],
    ) -> Result<QuestionId, AskError> {
        self.tick(now);
        // Each open question uses memory, and connections of the caller.
        if self.questions.values().filter(|q| q.ended.is_none()).count() >= self.config.limits.questions {
            return Err(AskError::TooManyQuestions);
        }
        if fleet.is_empty() || fleet.len() > self.config.latency_memory.max_couriers {
            return Err(AskError::FleetSize);
        }
        self.number += 1;
        self.counts.asked += 1;
        let id = QuestionId { asker: self.me, incarnation: self.incarnation, number: self.number };
        let question = Question::new(id, kind, subject, now, fleet);
        self.questions.insert(id.number, question);
        Ok(id)
    }

    /// Records a received piece of an answer, whether it is in time or late.
    pub fn record_piece(&mut self, now: Micros, id: QuestionId, piece: &Piece) -> PieceOutcome {
        let outcome = self.apply_piece(now, id, piece);
        match outcome {
            PieceOutcome::New | PieceOutcome::NewAfterRestart => self.counts.pieces += 1,
            PieceOutcome::Duplicate => self.counts.duplicates += 1,
            PieceOutcome::Late => self.counts.late += 1,
            PieceOutcome::OldIncarnation | PieceOutcome::UnknownQuestion | PieceOutcome::Invalid => {
                self.counts.dropped += 1;
            }
        }
        outcome
    }

    fn apply_piece(&mut self, now: Micros, id: QuestionId, piece: &Piece) -> PieceOutcome {
        // A previous process run used the same numbers for other questions.
        if (id.asker, id.incarnation) != (self.me, self.incarnation) {
            return PieceOutcome::UnknownQuestion;
        }
        let Some(question) = self.questions.get_mut(&id.number) else { return PieceOutcome::UnknownQuestion };
        let (kind, subject, ended) = (question.kind, question.subject, question.ended.is_some());
        let Some(part) = question.part(piece.courier) else { return PieceOutcome::Invalid };
        if piece.incarnation < part.incarnation {
            return PieceOutcome::OldIncarnation;
        }
        let had_pieces = part.has_pieces();
        match part.state {
            State::Complete => return PieceOutcome::Duplicate,
            // A courier believed to be away may still answer; its answer counts.
            State::Missing(MissingReason::Away) | State::Open => {}
            State::Missing(_) => return PieceOutcome::Invalid,
        }
        let mut discards_earlier = false;
        if piece.incarnation > part.incarnation {
            discards_earlier = had_pieces;
            let (asked, recorded_until) = (part.asked, part.recorded_until);
            if !part.restart(now, piece.incarnation) {
                return PieceOutcome::Invalid;
            }
            // The asker sent the question only once, so its latency is measured from then, not from the restart.
            (part.asked, part.recorded_until) = (asked, recorded_until);
        }
        match part.record(piece) {
            Err(outcome) => return outcome,
            Ok(true) => {
                self.latency.record_answer(now, kind, piece.courier, part.recorded_until, now - part.asked);
                part.state = State::Complete;
                let figure = part.figure;
                self.remember_figure(now, (kind, subject, piece.courier), figure);
            }
            Ok(false) => {}
        }
        if ended {
            return PieceOutcome::Late;
        }
        if let Some(question) = self.questions.get_mut(&id.number) {
            question.settled |= piece.settles;
        }
        if discards_earlier {
            PieceOutcome::NewAfterRestart
        } else {
            PieceOutcome::New
        }
    }

    fn remember_figure(&mut self, now: Micros, key: (Kind, u64, CourierId), figure: u64) {
        // Without a bound, the figures of every channel ever asked for would stay in memory.
        if self.figures.len() >= MAX_REMEMBERED_FIGURES && !self.figures.contains_key(&key) {
            let oldest = self.figures.iter().min_by_key(|(_, (_, at))| *at).map(|(key, _)| *key);
            oldest.and_then(|key| self.figures.remove(&key));
        }
        self.figures.insert(key, (figure, now));
    }

    /// Records that a courier does not answer this question.
    pub fn record_refusal(&mut self, id: QuestionId, courier: CourierId) {
        let mine = (id.asker, id.incarnation) == (self.me, self.incarnation);
        let question = self.questions.get_mut(&id.number).filter(|_| mine);
        if let Some(part) = question.and_then(|q| q.part(courier)).filter(|p| p.state == State::Open) {
            part.state = State::Missing(MissingReason::Refused);
        }
    }

    /// Records that a courier is known to be away from now on: no question waits for it any longer.
    pub fn mark_away(&mut self, now: Micros, courier: CourierId) {
        for question in self.questions.values_mut() {
            let kind = question.kind;
            let Some(part) = question.part(courier).filter(|p| p.state == State::Open) else { continue };
            record_silence(&mut self.latency, now, kind, part);
            part.state = State::Missing(MissingReason::Away);
        }
    }

    /// Records that what was asked for was found by other means than a piece: the next decision ends the question.
    pub fn settle(&mut self, id: QuestionId) {
        if let Some(question) = self.questions.get_mut(&id.number).filter(|q| q.id == id) {
            question.settled = true;
        }
    }

    /// Records that the connection to a courier was lost, before or after the end of the question: the silence until now is
    /// evidence of latency, and no further piece is expected.
    pub fn connection_lost(&mut self, now: Micros, id: QuestionId, courier: CourierId) {
        let mine = (id.asker, id.incarnation) == (self.me, self.incarnation);
        let Some(question) = self.questions.get_mut(&id.number).filter(|_| mine) else { return };
        let kind = question.kind;
        if let Some(part) = question.part(courier).filter(|p| p.state == State::Open) {
            record_silence(&mut self.latency, now, kind, part);
            part.state = State::Missing(MissingReason::Away);
        }
    }

    /// Records that a courier has restarted with this incarnation. Its earlier pieces are discarded; returns the questions that
    /// the caller must send to it again.
    pub fn courier_restarted(
        &mut self, now: Micros, courier: CourierId, incarnation: u64,
    ) -> Vec<QuestionId> {
        let mut again = Vec::new();
        for question in self.questions.values_mut() {
            let (id, kind, ended) = (question.id, question.kind, question.ended.is_some());
            let Some(part) = question.part(courier).filter(|p| p.incarnation < incarnation) else { continue };
            if !matches!(part.state, State::Open | State::Missing(MissingReason::Away)) {
                continue;
            }
            record_silence(&mut self.latency, now, kind, part);
            part.state = if ended { State::Missing(MissingReason::Restarted) } else { State::Open };
            if !ended && part.restart(now, incarnation) {
                again.push(id);
            }
        }
        again
    }

    /// Decides whether to wait on or to end a question; `None` if it is not known or has ended.
    pub fn decide(&mut self, now: Micros, id: QuestionId) -> Option<Decision> {
        let question = self.questions.get_mut(&id.number).filter(|q| q.id == id && q.ended.is_none())?;
        let kind = question.kind;
        let value = self.config.answer_value(kind);
        if now >= question.next_evaluation {
            evaluate_latencies(&mut self.latency, now, question);
            question.next_evaluation = next_evaluation(now, question.asked, value.max_wait);
        }
        if !question.settled {
            let parts = question.parts.iter().zip(&question.curves).filter(|(p, _)| p.state == State::Open);
            let pending = parts.map(|(p, curve)| PendingPart { weight: p.share, asked: p.asked, curve });
            let open: Vec<PendingPart> = pending.collect();
            let can_complete = question.parts.iter().all(|p| !matches!(p.state, State::Missing(_)));
            if worth_waiting(now, question.asked, &open, can_complete, value) {
                return Some(Decision::Wait(question.next_evaluation));
            }
        }
        question.curves = Vec::new();
        question.ended = Some(now);
        for part in question.parts.iter_mut().filter(|p| p.state == State::Open) {
            record_silence(&mut self.latency, now, kind, part);
        }
        let previous = |courier| {
            let (figure, at) = *self.figures.get(&(kind, question.subject, courier))?;
            Some(PreviousFigure { figure, age: now - at })
        };
        let answer = question.answer(now, previous);
        self.tick(now);
        Some(Decision::Ended(Box::new(answer)))
    }

    /// Drops ended questions whose late answers are no longer expected, or that exceed the limit. For couriers that never
    /// answered, the rest of the silence is recorded.
    pub fn tick(&mut self, now: Micros) {
        let ended = self.questions.values().filter(|q| q.ended.is_some()).count();
        let mut excess = ended.saturating_sub(self.config.limits.ended_questions);
        let (linger, latency) = (self.config.latency_memory.linger, &mut self.latency);
        self.questions.retain(|_, question| {
            let Some(ended) = question.ended else { return true };
            let closes = ended + linger;
            if now < closes && excess == 0 {
                return true;
            }
            excess = excess.saturating_sub(1);
            let kind = question.kind;
            for part in question.parts.iter_mut().filter(|p| p.state == State::Open) {
                record_silence(latency, now.min(closes), kind, part);
                latency.record_no_answer(now, kind, part.courier);
            }
            false
        });
    }
}

/// Records the silence of all open parts and computes their expected latencies from what is known now. Done only at the ends of
/// buckets: between them an answer changes which parts are waited for, but hardly what is known of the others.
fn evaluate_latencies(latency: &mut LatencyModel, now: Micros, question: &mut Question) {
    let kind = question.kind;
    for part in question.parts.iter_mut().filter(|p| p.state == State::Open) {
        record_silence(latency, now, kind, part);
    }
    let pooled = latency.pooled_curve(now, kind);
    question.curves.resize_with(question.parts.len(), || pooled.clone());
    for (part, curve) in
        question.parts.iter().zip(&mut question.curves).filter(|(p, _)| p.state == State::Open)
    {
        *curve = latency.courier_curve(now, kind, part.courier, &pooled);
    }
}

/// Records the silence of an open part since it was last recorded.
fn record_silence(
    latency: &mut LatencyModel, now: Micros, kind: Kind, part: &mut super::question::PartState,
) {
    let elapsed = now - part.asked;
    if elapsed > part.recorded_until {
        latency.record_silence(now, kind, part.courier, part.recorded_until, elapsed);
        part.recorded_until = elapsed;
    }
}
