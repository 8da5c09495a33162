//! Who is there. Members have numbers and are fixed; each has lives, the highest of which counts. A life is alive as of the newest
//! time of its own clock that was heard of, by itself or by others: a stamp is news once, so that talk keeps nobody alive.

use crate::api::Micros;

/// An incarnation that is further above the one known is from the future.
pub const MAX_INCARNATION_JUMP: u64 = 65_536;
/// So far a first incarnation may go.
pub const MAX_FIRST_INCARNATION: u64 = 1 << 40;
/// The span over which the min_delays note is looked for, twice.
const MIN_DELAY_WINDOW: Micros = Micros(30_000_000);
/// Clocks run up to so much apart.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Beyond two and a half beats, and five, so much is waited more.
const STATUS_SLACK: Micros = Micros(1_000_000);

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberStatus {
    /// Nothing was ever heard of it.
    Unknown,
    /// Alive a short while ago.
    Alive,
    /// Two and a half of its beats and a second ago.
    Suspected,
    /// Five of its beats and two seconds ago, or it said that it was leaving.
    Down,
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its highest life; 0 before anything was heard.
    pub incarnation: u64,
    /// The newest time on that life's own clock that was heard of, in tenths of a second, from 1.
    pub stamp: u64,
    /// When it was alive, at least.
    pub last_alive: Option<Micros>,
    /// When it was last heard itself.
    pub last_direct: Option<Micros>,
    /// When the newest word of the own member's was said that this one is known to have heard of.
    pub last_heard_own: Option<Micros>,
    /// Its beat.
    pub beat_interval: Micros,
    /// The newest of its notes with asks, on its clock: one that comes twice is answered once.
    pub asked: u64,
    left: Option<Micros>,
    alive_since: Micros,
    /// Receipt less sending, of the min_delays note of the span before and of this one, and when those came.
    min_delays: [Option<(i64, Micros)>; 2],
    window_since: Micros,
}

impl Member {
    /// One of whom nothing is known, with the beat that is assumed.
    pub fn new(now: Micros, beat_interval: Micros) -> Member {
        Member {
            incarnation: 0,
            stamp: 0,
            last_alive: None,
            last_direct: None,
            last_heard_own: None,
            beat_interval,
            asked: 0,
            left: None,
            alive_since: now,
            min_delays: [None; 2],
            window_since: now,
        }
    }

    /// Whether this incarnation is above all that can be.
    pub fn is_future(&self, incarnation: u64) -> bool {
        let most = if self.incarnation == 0 {
            MAX_FIRST_INCARNATION
        } else {
            self.incarnation.saturating_add(MAX_INCARNATION_JUMP)
        };
        incarnation > most
    }

    /// A higher life: true, and all of the former one's times are gone.
    pub fn start_run(&mut self, incarnation: u64) -> bool {
        if incarnation <= self.incarnation {
            return false;
        }
        (self.incarnation, self.stamp, self.asked) = (incarnation, 0, 0);
        (self.left, self.min_delays) = (None, [None; 2]);
        true
    }

    /// DirectUpdate that this life was alive then (not after `now`). It is news only with a stamp above the known one.
    pub fn mark_alive(&mut self, now: Micros, stamp: u64, when: Micros) {
        if stamp <= self.stamp {
            return;
        }
        let was = self.status(now);
        self.stamp = stamp;
        self.last_alive = self.last_alive.max(Some(when.min(now)));
        self.left = None;
        if was != MemberStatus::Alive && self.status(now) == MemberStatus::Alive {
            self.alive_since = now;
        }
    }

    /// It said that it was leaving.
    pub fn mark_left(&mut self, now: Micros) {
        self.left = Some(now);
    }

    /// A note of this life's came in that it sent at `at` ms on its own clock: how much longer it took than the min_delays lately.
    pub fn extra_delay(&mut self, now: Micros, at: u64) -> Micros {
        let took = now.0 as i64 - at.saturating_mul(1_000).min(i64::MAX as u64) as i64;
        if now - self.window_since > MIN_DELAY_WINDOW {
            // Danger: a machine that slept has another offset for ever; only what was heard lately may be the measure.
            let stale = now - self.window_since > MIN_DELAY_WINDOW + MIN_DELAY_WINDOW;
            self.min_delays = [if stale { None } else { self.min_delays[1] }, None];
            self.window_since = now;
        }
        let grown = |(took, then): (i64, Micros)| took + ((now - then).0 as f64 * MAX_CLOCK_DRIFT) as i64;
        if self.min_delays[1].is_none_or(|q| took <= grown(q)) {
            self.min_delays[1] = Some((took, now));
        }
        let base = self.min_delays.iter().flatten().map(|q| grown(*q)).min().unwrap_or(took);
        Micros((took - base).max(0) as u64)
    }

    fn suspect_after(&self) -> Micros {
        self.beat_interval.scale(2.5) + STATUS_SLACK
    }

    /// How it stands.
    pub fn status(&self, now: Micros) -> MemberStatus {
        self.status_since(now).0
    }

    /// How it stands, and since when. `Never` counts from the start.
    pub fn status_since(&self, now: Micros) -> (MemberStatus, Micros) {
        let Some(alive) = self.last_alive else { return (MemberStatus::Unknown, self.alive_since) };
        let suspect = alive + self.suspect_after();
        let away = suspect + self.suspect_after();
        match self.left {
            Some(left) => (MemberStatus::Down, left),
            None if now >= away => (MemberStatus::Down, away),
            None if now >= suspect => (MemberStatus::Suspected, suspect),
            None => (MemberStatus::Alive, self.alive_since),
        }
    }

    /// Whether it has been heard itself lately.
    pub fn is_direct(&self, now: Micros) -> bool {
        self.left.is_none() && self.last_direct.is_some_and(|d| now < d + self.suspect_after())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn stands_by_its_own_clock_and_talk_keeps_nobody_alive() {
        let mut m = Member::new(Micros(5), Micros(2 * S));
        assert_eq!(m.status_since(Micros(S)), (MemberStatus::Unknown, Micros(5)));
        assert!(m.start_run(4) && !m.start_run(4) && !m.start_run(3));
        m.mark_alive(Micros(10 * S), 50, Micros(9 * S));
        assert_eq!(m.status_since(Micros(10 * S)), (MemberStatus::Alive, Micros(10 * S)));
        // The same stamp again, told with a lower age: not news.
        m.mark_alive(Micros(14 * S), 50, Micros(14 * S));
        assert_eq!(m.status_since(Micros(15 * S)), (MemberStatus::Suspected, Micros(15 * S)));
        assert_eq!(m.status_since(Micros(22 * S)), (MemberStatus::Down, Micros(21 * S)));
        m.mark_alive(Micros(30 * S), 51, Micros(30 * S));
        assert_eq!(m.status_since(Micros(31 * S)), (MemberStatus::Alive, Micros(30 * S)));
        m.mark_left(Micros(32 * S));
        m.mark_alive(Micros(33 * S), 51, Micros(33 * S));
        assert_eq!(m.status_since(Micros(33 * S)), (MemberStatus::Down, Micros(32 * S)));
        assert!(m.is_future(4 + MAX_INCARNATION_JUMP + 1) && !m.is_future(4 + MAX_INCARNATION_JUMP));
        m.start_run(5);
        m.mark_alive(Micros(34 * S), 1, Micros(34 * S));
        assert_eq!(m.status(Micros(34 * S)), MemberStatus::Alive);
    }

    #[test]
    fn a_late_note_is_known_by_its_clock_and_drift_is_not_lateness() {
        let mut m = Member::new(Micros(0), Micros(2 * S));
        m.start_run(1);
        // Its clock is 1 % slow: after an hour it is 36 s behind.
        for s in (0..3_600).step_by(2) {
            let at = (s as f64 * 990.0) as u64;
            assert!(m.extra_delay(Micros(s * S + 7_000), at) <= Micros(2_000), "at {s}");
        }
        let late = m.extra_delay(Micros(3_600 * S + 8 * S), 3_564_000);
        assert!((7.9..8.1).contains(&late.secs()), "{late:?}");
        // It slept for a minute: late at first, not for ever.
        let at = |s: u64| (s as f64 * 990.0) as u64 - 60_000;
        for s in (3_602..3_700).step_by(2) {
            m.extra_delay(Micros(s * S), at(s));
        }
        assert!(m.extra_delay(Micros(3_700 * S), at(3_700)) < Micros(100_000));
    }
}
