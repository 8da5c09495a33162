//! Membership. Members are fixed and numbered; each has process runs, of which the one with the highest
//! incarnation counts. A run is alive as of the newest time on its own clock that was heard, from itself or
//! through others. Each stamp counts once, so that repeated gossip does not keep a dead member alive.

use crate::api::Micros;

/// An incarnation that is further than this above the known one is rejected as coming from the future.
pub const MAX_INCARNATION_JUMP: u64 = 65_536;
/// Highest first incarnation that is accepted.
pub const MAX_FIRST_INCARNATION: u64 = 1 << 40;
/// Length of a window in which the smallest delay is tracked; two windows are kept.
const MIN_DELAY_WINDOW: Micros = Micros(30_000_000);
/// Largest assumed difference between the rates of two clocks.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Added to two and a half heartbeat intervals, and once more at five.
const STATUS_SLACK: Micros = Micros(1_000_000);

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberStatus {
    /// Nothing has been heard of it.
    Unknown,
    /// Heard of recently.
    Alive,
    /// Not heard of for two and a half of its heartbeat intervals and one second.
    Suspected,
    /// Not heard of for five of its heartbeat intervals and two seconds, or it announced that it was leaving.
    Down,
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its highest incarnation; 0 before anything was heard.
    pub incarnation: u64,
    /// The newest time on that run's own clock that was heard of, in tenths of a second, from 1.
    pub stamp: u64,
    /// The latest time at which it is known to have been alive.
    pub last_alive: Option<Micros>,
    /// When a message came directly from it.
    pub last_direct: Option<Micros>,
    /// The send time of this process's newest message that the member is known to have heard of.
    pub last_heard_own: Option<Micros>,
    /// Its heartbeat interval.
    pub beat_interval: Micros,
    /// Time, on its clock, of its newest message with requests: a duplicate is answered once.
    pub asked: u64,
    left_at: Option<Micros>,
    alive_since: Micros,
    /// Receive time less send time of the fastest message in the previous and the current window, and when it
    /// came.
    min_delays: [Option<(i64, Micros)>; 2],
    window_since: Micros,
}

impl Member {
    /// Creates a member of which nothing is known, with an assumed heartbeat interval.
    pub fn new(now: Micros, beat_interval: Micros) -> Member {
        Member {
            incarnation: 0,
            stamp: 0,
            last_alive: None,
            last_direct: None,
            last_heard_own: None,
            beat_interval,
            asked: 0,
            left_at: None,
            alive_since: now,
            min_delays: [None; 2],
            window_since: now,
        }
    }

    /// Whether this incarnation is too high to be real.
    pub fn is_future(&self, incarnation: u64) -> bool {
        let most = if self.incarnation == 0 {
            MAX_FIRST_INCARNATION
        } else {
            self.incarnation.saturating_add(MAX_INCARNATION_JUMP)
        };
        incarnation > most
    }

    /// Starts a newer run and resets the times of the previous one; returns false if the incarnation is not
    /// higher.
    pub fn start_run(&mut self, incarnation: u64) -> bool {
        if incarnation <= self.incarnation {
            return false;
        }
        (self.incarnation, self.stamp, self.asked) = (incarnation, 0, 0);
        (self.left_at, self.min_delays) = (None, [None; 2]);
        true
    }

    /// Records that this run was alive at `when` (at most `now`). Only a stamp above the known one counts.
    pub fn mark_alive(&mut self, now: Micros, stamp: u64, when: Micros) {
        if stamp <= self.stamp {
            return;
        }
        let status_before = self.status(now);
        self.stamp = stamp;
        self.last_alive = self.last_alive.max(Some(when.min(now)));
        self.left_at = None;
        if status_before != MemberStatus::Alive && self.status(now) == MemberStatus::Alive {
            self.alive_since = now;
        }
    }

    /// Records that the member announced its departure.
    pub fn mark_left(&mut self, now: Micros) {
        self.left_at = Some(now);
    }

    /// Takes in a message that this run sent at `at` ms on its own clock; returns how much longer it took
    /// than the fastest recent one.
    pub fn extra_delay(&mut self, now: Micros, at: u64) -> Micros {
        let took = now.0 as i64 - at.saturating_mul(1_000).min(i64::MAX as u64) as i64;
        if now - self.window_since > MIN_DELAY_WINDOW {
            // A machine that was suspended has another clock offset from then on, so only recent messages may
            // serve as the base.
            let stale = now - self.window_since > MIN_DELAY_WINDOW + MIN_DELAY_WINDOW;
            self.min_delays = [if stale { None } else { self.min_delays[1] }, None];
            self.window_since = now;
        }
        let with_drift =
            |(took, then): (i64, Micros)| took + ((now - then).0 as f64 * MAX_CLOCK_DRIFT) as i64;
        if self.min_delays[1].is_none_or(|q| took <= with_drift(q)) {
            self.min_delays[1] = Some((took, now));
        }
        let base = self.min_delays.iter().flatten().map(|q| with_drift(*q)).min().unwrap_or(took);
        Micros((took - base).max(0) as u64)
    }

    fn suspect_after(&self) -> Micros {
        self.beat_interval.scale(2.5) + STATUS_SLACK
    }

    /// The member's state.
    pub fn status(&self, now: Micros) -> MemberStatus {
        self.status_since(now).0
    }

    /// The member's state and since when. `Unknown` counts from the creation of this record.
    pub fn status_since(&self, now: Micros) -> (MemberStatus, Micros) {
        let Some(alive) = self.last_alive else { return (MemberStatus::Unknown, self.alive_since) };
        let suspect = alive + self.suspect_after();
        let down = suspect + self.suspect_after();
        match self.left_at {
            Some(left_at) => (MemberStatus::Down, left_at),
            None if now >= down => (MemberStatus::Down, down),
            None if now >= suspect => (MemberStatus::Suspected, suspect),
            None => (MemberStatus::Alive, self.alive_since),
        }
    }

    /// Whether a message came directly from it recently.
    pub fn is_direct(&self, now: Micros) -> bool {
        self.left_at.is_none() && self.last_direct.is_some_and(|d| now < d + self.suspect_after())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn status_follows_own_stamps_and_repeated_gossip_keeps_nobody_alive() {
        let mut m = Member::new(Micros(5), Micros(2 * S));
        assert_eq!(m.status_since(Micros(S)), (MemberStatus::Unknown, Micros(5)));
        assert!(m.start_run(4) && !m.start_run(4) && !m.start_run(3));
        m.mark_alive(Micros(10 * S), 50, Micros(9 * S));
        assert_eq!(m.status_since(Micros(10 * S)), (MemberStatus::Alive, Micros(10 * S)));
        // The same stamp with a lower age is not news.
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
    fn late_message_is_detected_by_its_clock_and_drift_is_not_lateness() {
        let mut m = Member::new(Micros(0), Micros(2 * S));
        m.start_run(1);
        // Its clock is 1 % slow: after an hour it is 36 s behind.
        for s in (0..3_600).step_by(2) {
            let at = (s as f64 * 990.0) as u64;
            assert!(m.extra_delay(Micros(s * S + 7_000), at) <= Micros(2_000), "at {s}");
        }
        let late = m.extra_delay(Micros(3_600 * S + 8 * S), 3_564_000);
        assert!((7.9..8.1).contains(&late.secs()), "{late:?}");
        // It was suspended for a minute: its messages count as late at first, but not for ever.
        let at = |s: u64| (s as f64 * 990.0) as u64 - 60_000;
        for s in (3_602..3_700).step_by(2) {
            m.extra_delay(Micros(s * S), at(s));
        }
        assert!(m.extra_delay(Micros(3_700 * S), at(3_700)) < Micros(100_000));
    }
}
