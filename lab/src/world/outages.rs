//! Planned faults of endpoints, and destinations that are cold after an outage.

use super::{CallNo, Due, EndpointNo, Happening, Listed, Planned, Reply, World};
use crate::scenario::FaultKind;
use indigohold::Micros;

impl World {
    pub(super) fn begin(&mut self, now: Micros, n: usize) {
        let Planned { what, dest, endpoints, lasts, .. } = &self.planned[n];
        let (what, dest, lasts, endpoints) = (*what, *dest, *lasts, endpoints.clone());
        self.dests[dest].trouble += 1;
        self.out.push(Happening::Trouble { dest, begins: true, what: name(what) });
        if let FaultKind::LimitTimes(times) = what {
            self.dests[dest].meter.times(times);
        }
        for at in endpoints {
            self.endpoints[at as usize].wrong.push((n, what));
            match what {
                FaultKind::Refuses => self.fall(at),
                FaultKind::Leaves => self.out.push(Happening::Listed(at, Listed::Draining)),
                _ => {}
            }
        }
        self.at(now + lasts, Due::End(n));
    }

    pub(super) fn end(&mut self, now: Micros, n: usize) {
        let Planned { what, dest, endpoints, .. } = &self.planned[n];
        let (what, dest, endpoints) = (*what, *dest, endpoints.clone());
        self.dests[dest].trouble -= 1;
        self.out.push(Happening::Trouble { dest, begins: false, what: name(what) });
        if let FaultKind::LimitTimes(times) = what {
            self.dests[dest].meter.times(1.0 / times.max(1e-9));
        }
        for at in &endpoints {
            self.endpoints[*at as usize].wrong.retain(|(other, _)| *other != n);
            if what == FaultKind::Leaves {
                self.endpoints[*at as usize].gone = true;
                self.out.push(Happening::Listed(*at, Listed::Gone));
                self.fall(*at);
            }
        }
        let outage =
            matches!(what, FaultKind::Refuses | FaultKind::Hangs | FaultKind::Silent | FaultKind::Shut(_));
        if outage && endpoints.len() == self.dests[dest].endpoints.len() {
            self.dests[dest].cold_since = Some(now);
            self.dests[dest].pushed.clear();
        }
        // What waited meanwhile is worked on now.
        endpoints.into_iter().for_each(|at| self.start(now, at));
    }

    /// Its process is gone, and all it had.
    pub(super) fn fall(&mut self, at: EndpointNo) {
        let endpoint = &mut self.endpoints[at as usize];
        endpoint.busy = 0;
        endpoint.open = 0;
        endpoint.queue.clear();
        let mut calls: Vec<CallNo> = self.calls.iter().filter(|(_, c)| c.at == at).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            if self.calls.remove(&call).is_some_and(|c| c.open) {
                self.out.push(Happening::Reply(call, Reply::Break));
            }
            self.dests[self.endpoints[at as usize].dest].meter.done();
        }
        self.out.push(Happening::Broken(at));
    }

    pub(super) fn stood(&mut self, now: Micros, dest: usize) {
        let d = &mut self.dests[dest];
        if d.down_until <= now {
            d.cold_since = Some(now);
            d.pushed.clear();
        }
    }

    /// The share of its capacity that a destination has.
    pub(super) fn warmth(&self, now: Micros, dest: usize) -> f64 {
        let conf = &self.scenario.destinations;
        let Some(since) = self.dests[dest].cold_since else { return 1.0 };
        let part = (now - since).secs() / conf.cold.secs().max(1e-9);
        (conf.cold_share + (1.0 - conf.cold_share) * part).min(1.0)
    }

    /// A call to a cold destination; whether it is still standing.
    pub(super) fn push(&mut self, now: Micros, dest: usize, who: usize) -> bool {
        let warmth = self.warmth(now, dest);
        let conf = &self.scenario.destinations;
        let (span, times, lasts) = (conf.topple_after, conf.topple_factor, conf.topple_for);
        let d = &mut self.dests[dest];
        if d.cold_since.is_none() {
            return true;
        }
        if warmth >= 1.0 {
            d.cold_since = None;
            d.pushed.clear();
            d.seen.clear();
            return true;
        }
        d.pushed.push_back((now, who));
        while d.pushed.front().is_some_and(|(at, _)| *at + span < now) {
            d.pushed.pop_front();
        }
        // A little slack for chance: two calls.
        let bears = d.capacity * warmth * span.secs() * times + 2.0;
        if d.pushed.len() as f64 <= bears {
            return true;
        }
        let knowing = d.pushed.iter().filter(|(_, who)| d.seen.contains(who)).count();
        let calls = d.pushed.len();
        d.down_until = now + lasts;
        d.pushed.clear();
        let endpoints = d.endpoints.clone();
        self.out.push(Happening::Toppled { dest, calls, knowing });
        endpoints.into_iter().for_each(|at| self.fall(at));
        self.at(now + lasts, Due::Stood(dest));
        false
    }
}

fn name(what: FaultKind) -> &'static str {
    match what {
        FaultKind::Refuses => "refuses",
        FaultKind::Hangs => "hangs",
        FaultKind::Slow(_) => "slow",
        FaultKind::Fails(_) => "fails",
        FaultKind::HalfOpen => "half open",
        FaultKind::Silent => "silent",
        FaultKind::Shut(_) => "shut",
        FaultKind::LimitTimes(_) => "other limit",
        FaultKind::Leaves => "leaves",
    }
}
