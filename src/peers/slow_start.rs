//! How a life begins. It has everything to tell anew and lacks everything; where all of a fleet begin at once that is a storm. So
//! until it has told and heard all once, a life sends no more than [`BEAT_TRAFFIC_FACTOR`] what beats take that say nothing but who is there.

use super::MIN_BEAT_BYTES;

/// Of what quiet beats take: twice is the bound, less what a beat is early.
const BEAT_TRAFFIC_FACTOR: f64 = 1.85;
/// Of that, so much is for entries in beats; the rest is for asks and answers.
const ENTRY_SHARE: f64 = 0.55;
/// Bytes a second that a life may always send, as a fleet of four takes little more: there, slowness would buy nothing.
const MIN_BYTES_PER_S: f64 = 200.0;
/// No life is settled before so many beats: what others hold is known by then, and riders have spoken.
const MIN_BEATS: u32 = 4;
/// Nor later than after so many. Danger: what nobody can answer would keep it slow for ever.
const MAX_BEATS: u32 = 40;
/// What a beat takes before anybody is known.
const INITIAL_BEAT_BYTES: usize = 24;

/// How far it has come.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStart {
    beats: u32,
    over: bool,
    /// Bytes of a beat that says nothing but who is there, as last seen, and such beats a second.
    quiet: usize,
    per_s: f64,
}

impl SlowStart {
    /// A life whose beats are so many notes a second.
    pub fn new(per_s: f64) -> SlowStart {
        SlowStart { beats: 0, over: false, quiet: INITIAL_BEAT_BYTES, per_s }
    }

    fn slow(&self) -> Option<f64> {
        let rate = BEAT_TRAFFIC_FACTOR * self.per_s * self.quiet as f64;
        (!self.over && rate > MIN_BYTES_PER_S).then_some(rate)
    }

    /// A beat is due that would take so many bytes without entries; `open`: something is to be told, or lacking. How much it may
    /// take at least, whatever else was sent.
    pub fn beat(&mut self, quiet: usize, open: bool) -> usize {
        self.beats = self.beats.saturating_add(1);
        self.quiet = quiet.min(MIN_BEAT_BYTES);
        self.over |= self.beats > MAX_BEATS || self.beats > MIN_BEATS && !open;
        // By turns, so that what is to be told goes on whatever is asked, and what is asked whatever is to be told.
        let turns =
            ((MIN_BEAT_BYTES - self.quiet) as f64 / (ENTRY_SHARE * self.quiet as f64)).ceil().max(1.0) as u32;
        match self.slow().is_none() || self.beats.is_multiple_of(turns) {
            true => MIN_BEAT_BYTES,
            false => self.quiet,
        }
    }

    /// Bytes a second, where a settled life has `usual`.
    pub fn rate(&self, usual: f64) -> f64 {
        match self.over {
            true => usual,
            false => usual.min(self.slow().unwrap_or(MIN_BYTES_PER_S)),
        }
    }

    /// What is set aside for the next beat, by receiver.
    pub fn aside(&self) -> usize {
        match self.slow() {
            Some(_) => self.quiet,
            None => MIN_BEAT_BYTES,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_life_is_slow_until_it_has_told_and_heard_all_once_and_not_for_ever() {
        let mut start = SlowStart::new(10.0);
        let least: Vec<usize> = (0..6).map(|n| start.beat(56, n < 5)).collect();
        assert_eq!(least, [56, MIN_BEAT_BYTES, 56, MIN_BEAT_BYTES, 56, MIN_BEAT_BYTES]);
        assert_eq!((start.rate(1_680.0), start.aside()), (1_680.0, MIN_BEAT_BYTES));
        assert_eq!(start.beat(56, true), MIN_BEAT_BYTES, "once settled it stays so");
        let mut never = SlowStart::new(10.0);
        assert!((0..MAX_BEATS).all(|_| never.beat(56, true) <= MIN_BEAT_BYTES));
        assert_eq!((never.rate(1_680.0), never.aside()), (1_036.0, 56));
        never.beat(56, true);
        assert_eq!(never.rate(1_680.0), 1_680.0);
        // Three members: what they say at most is less than is worth a thought.
        let mut few = SlowStart::new(1.0);
        assert_eq!(
            (few.beat(40, true), few.rate(168.0), few.rate(300.0)),
            (MIN_BEAT_BYTES, 168.0, MIN_BYTES_PER_S)
        );
    }
}
