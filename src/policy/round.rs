//! What a sender does in a round, in which order, and when the next round is due.

use super::*;

/// A message that is ready but was not sent is looked at again after this time.
const POLL_INTERVAL: Micros = Micros(50_000);
/// With fewer held messages every one is checked in each round. With more that would take the whole
/// processor, so only those that are due are checked.
const SCAN_ALL_BELOW_MESSAGES: usize = 256;
/// Key queues kept beyond the number of held messages.
const SPARE_KEY_QUEUES: usize = 64;
const ROUND_TIMER: TimerToken = TimerToken(0);

impl Sender {
    /// A sender that knows nothing yet. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Sender {
        Sender::start(settings, seed, RetryReserve::full(), INITIAL_ACCEPTANCE)
    }

    /// Applies the events that happened up to `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.refresh_leased_shares(now);
        for event in events {
            self.apply_event(now, event, actions);
        }
        self.request_list(now, actions);
        let scan_all = self.messages.len() < SCAN_ALL_BELOW_MESSAGES;
        self.expire_messages(now, scan_all, actions);
        if scan_all {
            self.send_queue = SendQueue::of(now, self.messages.values());
        }
        self.dispatch(now, scan_all, actions);
        self.send_probes(now, actions);
        self.shed_load(now, actions);
        self.close_idle_connections(now, actions);
        self.schedule_timer(now, scan_all, actions);
    }

    fn apply_event(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Demand(message) => self.accept_message(now, message, actions),
            // A courier that restarts still has to deliver these messages, and the window of a key goes on
            // from the first attempt that may have run.
            Event::Resumed { message, attempts, first_uncertain } => {
                self.accept_message(now, message, actions);
                let Some(held) = self.messages.get_mut(&message.id) else { return };
                (held.handed_in_at, held.attempts, held.may_have_run) =
                    (Micros(0), *attempts, *first_uncertain);
            }
            Event::Returned { endpoint, outcome, report, .. } => {
                self.apply_load_report(now, *endpoint, report);
                self.record_attempt(now, event, actions);
                if let Outcome::Refused(wait) = *outcome {
                    let told_wait = wait.unwrap_or_default();
                    self.check_refusal_for_outage(now, *endpoint, told_wait, report, actions);
                }
            }
            Event::Probed { endpoint, outcome, latency: _, report } => {
                self.apply_load_report(now, *endpoint, report);
                self.record_probe(now, *endpoint, *outcome, actions);
            }
            Event::WholeList(entries) => self.apply_full_list(now, entries),
            Event::ListChange(entries) => self.apply_list_change(now, entries),
            Event::LocalListChange(entries) => self.apply_entries(now, entries),
            Event::ListFailed => self.schedule_list_request(now),
            Event::Withdrawn(id) => {
                let held = self.messages.get(id).filter(|_| self.settings.limits.cancel);
                let attempt = held.and_then(|h| h.in_flight.as_ref());
                actions.extend(attempt.map(|a| Action::CancelAttempt { id: *id, attempt: a.number }));
                self.finish(*id);
            }
            Event::TimerElapsed(_) => self.timer_at = self.timer_at.filter(|at| *at > now),
            Event::PeerGossip { bytes, .. } => self.receive_note(now, bytes),
            Event::CallInFlight { id, attempt } => self.restore_call(*id, *attempt),
            Event::Restarted(id) => self.endpoints.get_mut(id).into_iter().for_each(|e| e.start_cold(now)),
            Event::AnswerStarted(_) => {}
        }
    }

    /// Sets a timer for the next round unless an earlier one is pending. With `scan_all` the time follows
    /// from the held messages; otherwise the next round comes after one period.
    fn schedule_timer(&mut self, now: Micros, scan_all: bool, actions: &mut Vec<Action>) {
        self.drop_unused_key_queues(now, SPARE_KEY_QUEUES);
        let next_check = |h: &HeldMessage| match h.in_flight {
            Some(_) => h.message.due,
            None => {
                let opens_at = now + self.time_until_open(now, h.message.destination, h.aim_at);
                let ready = h.ready_at.max(opens_at);
                self.latest_send_time(h).min(if ready > now { ready } else { now + POLL_INTERVAL })
            }
        };
        let next_period = (!scan_all).then_some(now + self.settings.period);
        let open = self.messages.values().take_while(|_| scan_all).filter(|h| !h.ended);
        let times = open.map(next_check).chain(self.list_request_at).chain(next_period);
        let Some(next) = times.min() else { return };
        let next = next.max(now + self.settings.period);
        if self.timer_at.is_none_or(|at| at > next) {
            self.timer_at = Some(next);
            actions.push(Action::SetTimer { after: next - now, token: ROUND_TIMER });
        }
    }
}
