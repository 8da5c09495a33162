//! The asking thread: all questions and all their connections on one poller. What it decides, it asks of [`Coordinator`].

use super::asked::{Asked, Msg};
use super::kinds::ELSEWHERE;
use super::link::{Link, Said};
use super::shape::{self, plain, Piece, PieceShape, ANSWER_BYTES, PIECES};
use super::{Asker, SharedState, Tell, WAKES};
use crate::api::Micros;
use crate::ask::{self, AskError, Coordinator, CourierId, Decision, Kind, Part, PieceOutcome, Presence};
use crate::core::Clock;
use crossbeam_channel::Receiver;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// So often one is dialled for a part that has sent nothing yet.
const TRIES: u8 = 2;

pub(super) struct Run {
    poll: Poll,
    inbox: Receiver<Msg>,
    desk: Coordinator,
    clock: Clock,
    me: usize,
    asker: Asker,
    shared: SharedState,
    asked: BTreeMap<u64, Asked>,
    /// In the order in which they were opened.
    links: BTreeMap<usize, Link>,
    next_token: usize,
    /// Who has ever answered this process.
    answered: BTreeSet<usize>,
}

/// Questions of one kind are told apart by this, for what was known before.
fn number(subject: &str) -> u64 {
    let digest = Sha256::digest(subject.as_bytes());
    u64::from_le_bytes(digest[..8].try_into().expect("eight bytes of thirty-two"))
}

impl Run {
    pub fn new(
        poll: Poll, inbox: Receiver<Msg>, desk: Coordinator, clock: Clock, me: usize, asker: Asker,
        shared: SharedState,
    ) -> Run {
        let (asked, links, answered) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Run { poll, inbox, desk, clock, me, asker, shared, asked, links, next_token: 1, answered }
    }

    /// For as long as the process lives.
    pub fn go(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            let now = self.clock.now();
            let wait = self.next_at().map(|at| Duration::from_micros((at - now).0.next_multiple_of(1000)));
            if self.poll.poll(&mut events, wait).is_err() {
                events.clear();
            }
            let mut touched = BTreeSet::new();
            for token in events.iter().map(|e| e.token()).filter(|t| *t != WAKES) {
                touched.extend(self.links.get(&token.0).map(|link| link.question));
                self.hear(token.0);
            }
            let waiting = self.inbox.len();
            for msg in self.inbox.try_iter().take(waiting).collect::<Vec<_>>() {
                match msg {
                    Msg::Ask { kind, subject, tell } => touched.extend(self.ask(kind, subject, tell)),
                    Msg::Own { question, said } => {
                        self.own(question, said);
                        touched.insert(question);
                    }
                }
            }
            let now = self.clock.now();
            touched.extend(
                self.asked.iter().filter(|(_, q)| q.ended.is_none() && q.look <= now).map(|(n, _)| *n),
            );
            touched.into_iter().for_each(|number| self.decide(number));
            self.tidy();
        }
    }

    fn next_at(&self) -> Option<Micros> {
        let linger = self.asker.config.latency_memory.linger;
        self.asked.values().map(|q| q.ended.map_or(q.look, |ended| ended + linger)).min()
    }

    fn ask(&mut self, kind: Kind, subject: String, tell: Tell) -> Option<u64> {
        let now = self.clock.now();
        let config = self.asker.config.clone();
        self.shared.exchange(now, self.desk.latency());
        let part = |place: usize| {
            let courier = CourierId(place as u16);
            let known = if self.answered.contains(&place) { Presence::Present } else { Presence::Unknown };
            let presence = self.shared.presence(now, courier).unwrap_or(known);
            let holds = matches!(kind, Kind::Where | Kind::Held | Kind::Figures);
            let weight = holds.then(|| self.shared.weight(courier)).flatten();
            // Its life is told by its answer: one whose folder was lost counts from the beginning.
            Part { courier, incarnation: 0, weight, presence }
        };
        let fleet: Vec<Part> =
            (0..config.couriers.len()).filter(|place| *place != self.me).map(part).collect();
        let open: Vec<usize> =
            fleet.iter().filter(|p| p.presence != Presence::Away).map(|p| usize::from(p.courier.0)).collect();
        // Danger: late answers must not keep a new question from being asked.
        while self.links.len() + open.len() > config.limits.connections {
            let asked = &self.asked;
            let late = |link: &Link| asked.get(&link.question).is_none_or(|q| q.ended.is_some());
            let Some(token) = self.links.iter().find(|(_, link)| late(link)).map(|(token, _)| *token) else {
                tell(crate::admin::refusal("busy: too many connections at once"));
                return None;
            };
            self.lose(token, None);
        }
        let id = match self.desk.ask(now, kind, number(&subject), &fleet) {
            Ok(id) => id,
            Err(AskError::TooManyQuestions) => {
                tell(crate::admin::refusal("busy: too many questions at once"));
                return None;
            }
            Err(AskError::FleetSize) => {
                tell(crate::admin::refusal("there is no other courier in the file"));
                return None;
            }
        };
        let asked = Asked {
            id,
            kind,
            subject: subject.clone(),
            since: now,
            hard: now + config.answer_value(kind).max_wait,
            tell: Some(tell),
            parts: BTreeMap::new(),
            details: BTreeMap::new(),
            heard: BTreeSet::new(),
            own: None,
            own_after: Micros(0),
            settled: false,
            answer: None,
            ended: None,
            bytes: 0,
            look: now,
        };
        self.asked.insert(id.number, asked);
        // Its word comes back by the inbox, whichever thread has it. Danger: this thread must not wait there for itself.
        let (to, waker) = self.asker.fleet.clone()?;
        let (question, own) = (id.number, self.asker.clone());
        let done = move |said| {
            if to.try_send(Msg::Own { question, said }).is_ok() {
                // An error would say that the poller is gone.
                let _ = waker.wake();
            }
        };
        own.own_pieces(kind, subject, Box::new(done));
        open.into_iter().for_each(|place| self.dial(id.number, place, 0, 0));
        Some(id.number)
    }

    fn dial(&mut self, question: u64, place: usize, tries: u8, door: usize) {
        let Some(asked) = self.asked.get(&question) else { return };
        let line = match asked.subject.as_str() {
            "" => format!("part {}\n", shape::word(asked.kind)),
            subject => format!("part {} {subject}\n", shape::word(asked.kind)),
        };
        let doors = &self.asker.config.couriers[place].admin_addresses;
        let opened = TcpStream::connect(doors[door % doors.len()]).and_then(|mut stream| {
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(self.next_token), both)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                self.links.insert(self.next_token, Link::new(stream, question, place, (tries, door), &line));
                self.next_token += 1;
            }
            Err(e) => self.gone(question, place, &e.to_string()),
        }
    }

    /// Nobody is there to wait for.
    fn gone(&mut self, question: u64, place: usize, what: &str) {
        let Some(asked) = self.asked.get_mut(&question) else { return };
        self.desk.connection_lost(self.clock.now(), asked.id, CourierId(place as u16));
        if asked.ended.is_none() {
            asked.details.insert(place, plain(what, 200));
        }
    }

    fn refused(&mut self, question: u64, place: usize, what: &str) {
        let Some(asked) = self.asked.get_mut(&question) else { return };
        self.desk.record_refusal(asked.id, CourierId(place as u16));
        if asked.ended.is_none() {
            asked.heard.insert(place);
            asked.details.insert(place, plain(what, 200));
        }
    }

    fn close(&mut self, token: usize) -> Option<Link> {
        let mut link = self.links.remove(&token)?;
        // An error would say that it was not in the poll.
        let _ = self.poll.registry().deregister(&mut link.stream);
        Some(link)
    }

    /// Closes a connection; its silence counts as far as it went.
    fn lose(&mut self, token: usize, what: Option<&str>) {
        if let Some(link) = self.close(token) {
            self.gone(link.question, link.courier, what.unwrap_or_default());
        }
    }

    fn hear(&mut self, token: usize) {
        let mut said = Vec::new();
        let Some(link) = self.links.get_mut(&token) else { return };
        link.move_on(&mut said);
        for one in said {
            let Some(link) = self.links.get_mut(&token) else { return };
            let (question, place, tries, door) = (link.question, link.courier, link.tries, link.door);
            let (pieces, began) = (link.pieces, link.began());
            match one {
                Said::Piece(piece, bytes) => match self.piece(token, piece, bytes) {
                    Ok(true) => drop(self.close(token)),
                    Ok(false) => {}
                    Err(what) => {
                        self.close(token);
                        self.refused(question, place, &what);
                    }
                },
                Said::Refused(what) => {
                    self.close(token);
                    match what == ELSEWHERE && self.may_again(question, place, tries, true) {
                        true => self.dial(question, place, tries + 1, door + 1),
                        false => self.refused(question, place, &what),
                    }
                }
                Said::Rubbish(what) => {
                    self.close(token);
                    self.refused(question, place, &what);
                }
                Said::Broke(nobody, what) => {
                    if pieces == 0 && self.may_again(question, place, tries, nobody) {
                        self.close(token);
                        // Where an answer had begun is the door to go to.
                        self.dial(question, place, tries + 1, if began { door } else { door + 1 });
                    } else {
                        self.lose(token, Some(&what));
                    }
                }
            }
        }
    }

    /// Whether one may be dialled again for this question; `elsewhere`: at the same door that would be of no use.
    fn may_again(&self, question: u64, place: usize, tries: u8, elsewhere: bool) -> bool {
        let open = self.asked.get(&question).is_some_and(|q| q.ended.is_none());
        let other = self.asker.config.couriers[place].admin_addresses.len() > 1;
        open && tries + 1 < TRIES && (other || !elsewhere)
    }

    /// A piece has come over a connection; whether it was the last one. The error says why it is none.
    fn piece(&mut self, token: usize, piece: PieceShape, bytes: usize) -> Result<bool, String> {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&token) else { return Ok(true) };
        let place = link.courier;
        let Some(asked) = self.asked.get_mut(&link.question) else { return Ok(true) };
        // Danger: an address that another has taken over would speak for the one that is gone.
        if piece.courier != self.asker.config.couriers[place].name {
            return Err(format!("it calls itself {:?}", plain(&piece.courier, 64)));
        }
        if usize::from(piece.piece) >= PIECES {
            return Err("the answer has a piece of a number that can't be".into());
        }
        asked.bytes += bytes;
        if asked.bytes > ANSWER_BYTES && asked.ended.is_none() {
            return Err("all answers together are too long".into());
        }
        let PieceShape { life, piece: number, last, figure, settles, body, .. } = piece;
        let courier = CourierId(place as u16);
        let taken = self.desk.record_piece(
            now,
            asked.id,
            &ask::Piece { courier, incarnation: life, number, last, figure, settles },
        );
        match taken {
            PieceOutcome::New | PieceOutcome::NewAfterRestart => {
                if taken == PieceOutcome::NewAfterRestart {
                    asked.parts.remove(&place);
                }
                let got = asked.parts.entry(place).or_default();
                got.says.insert(number, body);
                got.figure = got.figure.saturating_add(figure);
                got.after = now - asked.since;
                asked.heard.insert(place);
                asked.details.remove(&place);
                asked.settled |= settles;
            }
            PieceOutcome::Late => {}
            PieceOutcome::Duplicate => return Err("the answer has a piece twice".into()),
            PieceOutcome::OldIncarnation => return Err("it is of a life that is over".into()),
            PieceOutcome::UnknownQuestion => return Ok(true),
            PieceOutcome::Invalid => return Err("the answer has a piece that can't be".into()),
        }
        self.answered.insert(place);
        link.pieces += 1;
        link.last = link.last.or(last.then_some(number));
        Ok(link.whole())
    }

    fn own(&mut self, question: u64, said: Result<Vec<Piece>, String>) {
        let now = self.clock.now();
        let Some(asked) = self.asked.get_mut(&question).filter(|q| q.ended.is_none()) else { return };
        if said.as_ref().is_ok_and(|pieces| pieces.iter().any(|piece| piece.settles)) {
            asked.settled = true;
            self.desk.settle(asked.id);
        }
        asked.own_after = now - asked.since;
        asked.own = Some(said);
    }

    fn decide(&mut self, question: u64) {
        let now = self.clock.now();
        let Some(asked) = self.asked.get_mut(&question).filter(|q| q.ended.is_none()) else { return };
        if asked.answer.is_none() {
            match self.desk.decide(now, asked.id) {
                Some(Decision::Wait(at)) => asked.look = at,
                Some(Decision::Ended(answer)) => asked.answer = Some(answer),
                None => return,
            }
        }
        let Some(answer) = asked.answer.clone() else { return };
        // The own part is never far; but the core's lock may be held over a disk that hangs.
        if asked.own.is_none() && !asked.settled && now < asked.hard {
            asked.look = asked.hard;
            return;
        }
        asked.ended = Some(now);
        let told = self.shared.presence(now, CourierId(self.me as u16)).is_some();
        let (kind, tell) = (asked.kind, asked.tell.take());
        let shape = super::whole::whole(asked, &answer, &self.asker, self.me, now, told);
        asked.parts = BTreeMap::new();
        tracing::debug!(
            target: "ask", waited_ms = shape.waited_ms, stopped = shape.stopped, missing = shape.missing.len(),
            "{}", shape.kind
        );
        if let Some(tell) = tell {
            self.asker.give(kind, shape, tell);
        }
        self.shared.exchange(now, self.desk.latency());
    }

    /// Lets go of ended questions and of their connections.
    fn tidy(&mut self) {
        let now = self.clock.now();
        let (linger, most) =
            (self.asker.config.latency_memory.linger, self.asker.config.limits.ended_questions);
        let ended: Vec<u64> = self.asked.iter().filter(|(_, q)| q.ended.is_some()).map(|(n, _)| *n).collect();
        // Danger: the desk would take the silence of those that make room for one to the very end.
        for question in ended.iter().take((ended.len() + 1).saturating_sub(most)) {
            let tokens: Vec<usize> =
                self.links.iter().filter(|(_, link)| link.question == *question).map(|(t, _)| *t).collect();
            tokens.into_iter().for_each(|token| self.lose(token, None));
            self.asked.remove(question);
        }
        if !self.asked.values().any(|q| q.ended.is_some_and(|at| at + linger <= now)) {
            return;
        }
        self.desk.tick(now);
        self.asked.retain(|_, q| q.ended.is_none_or(|at| at + linger > now));
        let asked = &self.asked;
        let over = self.links.iter().filter(|(_, link)| !asked.contains_key(&link.question)).map(|(t, _)| *t);
        for token in over.collect::<Vec<_>>() {
            self.close(token);
        }
        self.shared.exchange(now, self.desk.latency());
    }
}
