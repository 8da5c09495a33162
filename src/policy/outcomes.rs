//! What the outcome of a call says of its message, endpoint and route.

use super::*;

/// Gaps of pause after a refusal, and jitter: danger, all refused in one instant come again in one instant.
const PAUSE: f64 = 0.5;
const PAUSE_JITTER: f64 = 2.0;
/// A refusal leaves of the pace the odds that a call after one is taken, learned so and kept within these.
const HOPE_GAIN: f64 = 0.2;
pub(super) const HOPE_START: f64 = 0.5;
const HOPE_MIN: f64 = 0.03;
const HOPE_MAX: f64 = 0.75;
/// Weight of the newest outcome in an endpoint's failure average, and where the endpoint is taken out:
/// two failures in a row do, one in ten does not.
pub(super) const TROUBLE_GAIN: f64 = 0.3;
/// A time-out or a break says less: a bad network makes two in a row often, four seldom.
const TROUBLE_GAIN_LOST: f64 = 0.2;
const TROUBLE_OUT: f64 = 0.5;
/// Danger: lines break by chance, and a call lost that way took an endpoint out, cold for long, that had just
/// served others. One that served so lately is not out by one lost call.
const LATELY: Micros = Micros(1_000_000);

impl Sender {
    pub(super) fn returned(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let Event::Returned { id, outcome, terminal, attempt, .. } = *event else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(out) = held.out.take_if(|o| o.attempt == attempt) else { return };
        if outcome == Outcome::NotBegun {
            held.tries = held.tries.saturating_sub(1);
        }
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if may_still_run || matches!(outcome, Outcome::Error | Outcome::Spoilt(_)) {
            held.risk.get_or_insert((out.sent, out.endpoint));
        }
        let (quiet, lane) = (self.set.rules.key_quiet, held.message.key.and_then(|k| self.lanes.get_mut(&k)));
        lane.filter(|_| may_still_run)
            .into_iter()
            .for_each(|l| l.rest_until = now + quiet.unwrap_or_default());
        let ended = held.ended || terminal || outcome == Outcome::Ok;
        self.call_back(now, &out, event, actions);
        if ended {
            return self.close(id);
        }
        self.again(now, id, outcome != Outcome::NotBegun, actions);
    }

    /// What one outcome says of its endpoint and route. A bundle shares one fate and is heard once.
    fn call_back(&mut self, now: Micros, out: &Out, event: &Event, actions: &mut Vec<Action>) {
        let Event::Returned { outcome, latency, ref report, .. } = *event else { return };
        let Some(e) = self.endpoints.get_mut(&out.endpoint) else { return };
        let Some(route) = self.routes.get_mut(&e.route) else { return };
        if let Outcome::Full(Some(wait)) | Outcome::Spoilt(Some(wait)) = outcome {
            route.wait_until = route.wait_until.max(now + wait);
        }
        let Some(first) = call_over(e, route, out, &mut self.busy, &mut self.quiet) else { return };
        if outcome == Outcome::Ok {
            e.answered(latency);
        }
        if !first {
            return;
        }
        // Danger: a new connection turned away with the limit free met a full table. Taken for the limit, it
        // cuts the pace each time, and a destination with half of its limit free takes next to nothing.
        let free = |i: usize| report.get(i).is_none_or(|left| *left >= SHUT_SOME);
        let table = !e.linked && outcome == Outcome::Full(None) && self.set.report_left.is_some_and(free);
        let no_room = table || outcome == Outcome::ConnectFailed && e.health == Health::Up;
        e.linked = outcome == Outcome::Ok
            || e.linked && matches!(outcome, Outcome::Full(_) | Outcome::Moot | Outcome::NotBegun);
        trust(self.keep.entry(e.kind).or_insert(KEEP_IDLE), no_room, out.sent - e.last_heard, outcome);
        let usual = own_rate(&self.destinations, now, e.route.0, DEPOSIT_LIFE);
        match outcome {
            Outcome::Moot | Outcome::NotBegun | Outcome::Cancelled if e.health == Health::HalfOpen => {
                e.health = Health::Out { trial_at: now, probed: true };
            }
            Outcome::Moot | Outcome::NotBegun | Outcome::Cancelled => {}
            Outcome::Ok => {
                self.hope += if route.pace.run > 0 { HOPE_GAIN * (1.0 - self.hope) } else { 0.0 };
                route.pace.taken(now, std::mem::replace(&mut route.taken_at, now), usual);
                self.seen_alive(now, out.endpoint, actions);
            }
            Outcome::Full(_) => {
                let after = route.pace.run > 0 && out.sent >= route.pace.cut_at && !table;
                self.hope *= if after { 1.0 - HOPE_GAIN } else { 1.0 };
                let hope = if table { 1.0 } else { self.hope.clamp(HOPE_MIN, HOPE_MAX) };
                let pause = PAUSE + PAUSE_JITTER * uniform(&mut self.rng);
                route.pace.refused(now, out.sent, hope, usual, now.max(route.wait_until), pause);
                (e.last_heard, e.lost) = (now, false);
                if e.health == Health::HalfOpen {
                    self.take_out(now, out.endpoint, actions);
                }
            }
            // It failed: an error, a spoilt answer, no answer in time, no connection, a break.
            _ => {
                let lost = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Spoilt(_));
                let gain = if lost { TROUBLE_GAIN_LOST } else { TROUBLE_GAIN };
                match outcome {
                    Outcome::Timeout => e.timeouts += 1,
                    _ => e.last_heard = now,
                }
                // Danger: an endpoint at its connection limit, or behind a network that loses calls, fails
                // some and serves others meanwhile; it is not out. A failed connect takes out at once.
                let served_since = e.last_ok > out.sent;
                e.trouble += if served_since { 0.0 } else { (1.0 - e.trouble) * gain };
                e.lost = outcome != Outcome::Error;
                let lately = e.lost && e.served_within(now, LATELY);
                let cold = matches!(e.health, Health::Ramp { .. }) && !lately;
                let down = outcome == Outcome::ConnectFailed && !served_since && !lately;
                if down || cold || e.health == Health::HalfOpen || e.trouble > TROUBLE_OUT {
                    self.take_out(now, out.endpoint, actions);
                }
            }
        }
    }
}
