//! The module decides, and its actions become orders for the fronts.

use super::batches::{self, Try};
use super::{Core, Fetch, Notice, Order, Verdict};
use crate::admin::figures::Ended;
use crate::api::{Action, Event, Micros};

impl Core {
    /// Gives events to the module and carries out what it decides. A verdict on a req that is being handed in (`asking`)
    /// is its answer, not an order.
    pub(super) fn feed(&mut self, now: Micros, events: &[Event], asking: &mut [(u64, Option<Verdict>)]) {
        let (mut actions, mut never_sent, mut tries) = (Vec::new(), Vec::new(), Vec::new());
        self.exchange_with_fleet(now);
        self.policy.handle(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Try { id, endpoint, timeout } => {
                    tries.push(Try { msg: id.0, at: endpoint, cap: timeout })
                }
                Action::Decline { id, stay_away } => {
                    self.verdict(now, id.0, Verdict::HandedBack(stay_away), asking);
                }
                Action::Fail(id) => self.verdict(now, id.0, Verdict::GivenUp, asking),
                Action::CallOff { id, attempt } => match self.leave_line(id.0) {
                    Some(event) => never_sent.push(event),
                    None => self.order(Order::Cancel { msg: id.0, attempt }),
                },
                Action::SetTimer { after, .. } => {
                    let at = now + after;
                    self.next_timer_at = Some(self.next_timer_at.map_or(at, |a| a.min(at)));
                }
                Action::Follow | Action::Fetch => self.order(Order::WatchList),
                Action::LetGo(endpoint) => {
                    if let Some(backend) = self.backends.get(&endpoint) {
                        self.order(Order::CloseIdle(backend.clone()));
                    }
                }
                Action::Log(words) => tracing::info!(target: "decisions", "{words}"),
                Action::Probe(endpoint) => never_sent.extend(self.probe(now, endpoint)),
                Action::Note { to, bytes } => self.note(to, &bytes),
            }
        }
        for together in self.batches.of_one_turn(tries) {
            self.fetch(now, together);
        }
        if !never_sent.is_empty() {
            self.feed(now, &never_sent, asking);
        }
    }

    /// Those that travel as one call. One that has to wait for its turn at a backend that is not fully trusted goes alone.
    fn fetch(&mut self, now: Micros, together: Vec<Try>) {
        let mut call = Vec::with_capacity(together.len());
        for Try { msg, at, cap } in together {
            let (Some(held), Some(backend)) = (self.messages.get_mut(&msg), self.backends.get(&at)) else {
                continue;
            };
            let (attempt, backend, req) = (held.attempts, backend.clone(), held.req.clone());
            held.attempts = held.attempts.wrapping_add(1);
            held.in_flight = true;
            let until = now;
            let goes = self.register.front_mut(req.front, now).admit_call(now, &backend.name, msg);
            let fetch = Fetch { msg, attempt, endpoint: at, backend, req, deadline: until };
            if goes {
                call.push((fetch, cap));
            } else {
                self.waiting_fetches.insert(msg, (fetch, cap));
            }
        }
        match call.len() {
            0 => {}
            1 => call.into_iter().for_each(|(fetch, cap)| self.start(now, fetch, cap)),
            _ => {
                let fetches = call.into_iter().map(|(fetch, cap)| self.timed(now, fetch, cap)).collect();
                for mut call in batches::of_one_time(now, fetches) {
                    match call.len() {
                        1 => call.drain(..).for_each(|fetch| self.go(fetch)),
                        _ => self.start_batch(call),
                    }
                }
            }
        }
    }

    /// With its deadline, now that its turn has come.
    fn timed(&self, now: Micros, mut fetch: Fetch, cap: Micros) -> Fetch {
        fetch.deadline = (now + cap).min(fetch.req.due);
        if let Some(stop_at) = self.stop_at {
            fetch.deadline = fetch.deadline.min(stop_at);
        }
        fetch
    }

    /// Its turn has come.
    pub(super) fn start(&mut self, now: Micros, fetch: Fetch, cap: Micros) {
        let fetch = self.timed(now, fetch, cap);
        self.go(fetch);
    }

    /// Goes by itself, at once or when its answer is written.
    fn go(&mut self, fetch: Fetch) {
        let Some(held) = self.messages.get_mut(&fetch.msg) else { return };
        match &mut held.orders_after_answer {
            Some(parked) => parked.push(Order::Fetch(fetch)),
            None => self.order(Order::Fetch(fetch)),
        }
    }

    pub(super) fn verdict(
        &mut self, now: Micros, msg: u64, verdict: Verdict, asking: &mut [(u64, Option<Verdict>)],
    ) {
        if let Some((_, answer)) = asking.iter_mut().find(|(id, _)| *id == msg) {
            *answer = Some(verdict);
            return;
        }
        // Nobody waits for an answer to one that is sent again: its run looks after it.
        if self.replays.contains(msg) {
            return;
        }
        self.journal.verdict(msg, verdict);
        self.note_verdict(msg, verdict);
        let Some(held) = self.messages.get_mut(&msg) else { return };
        held.decided = true;
        let said = self.journal.owed().get(&msg).map(|o| o.said.clone()).unwrap_or_default();
        let notice = Notice { msg, req: held.req.clone(), verdict, last_reply: said };
        match &mut held.orders_after_answer {
            Some(parked) => parked.push(Order::Notice(notice)),
            None => self.tell(now, notice),
        }
    }

    pub(super) fn order(&self, order: Order) {
        // The receiver lives in the same struct as this state; it cannot be gone.
        let _ = self.order_sender.send(order);
    }

    pub(super) fn end_message(&mut self, now: Micros, msg: u64, ended: Option<Ended>) {
        self.journal.end(msg, now);
        self.message_ended(now, msg, ended);
    }

    /// The journal has its end.
    pub(super) fn message_ended(&mut self, now: Micros, msg: u64, ended: Option<Ended>) {
        if let Some(held) = self.messages.get(&msg) {
            if let Some(ended) = ended {
                self.figures.count(ended, held.req.class);
                self.recent_outcomes.ended(now, &held.req.id, ended);
            }
            self.draining.ended(now, &held.req);
        }
        self.drop_msg(msg);
    }

    pub(super) fn drop_msg(&mut self, msg: u64) {
        // Danger: a batch that waits for the answer to a message that is no more would never go.
        self.leave_batch(msg);
        if let Some(held) = self.messages.remove(&msg) {
            self.messages_by_id.remove(&held.req.id);
        }
    }
}
