//! What becomes of one direction's bytes: which are passed on, when, and where the direction ends. No sockets and no clock:
//! whoever holds it says what time it is (microseconds), gives it what came in, and takes out what is to go.

use crate::frames::Frames;
use crate::rules::{At, What};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// How a direction, or the connection, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// This direction by FIN: its sender ended it, or a half-close.
    Half,
    /// Both directions by FIN.
    Fin,
    /// Both by RST.
    Rst,
}

/// A fault met.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Met {
    /// Number of the rule.
    pub rule: usize,
    /// Before this byte of the direction.
    pub byte: u64,
    /// What.
    pub what: What,
}

struct Armed {
    rule: usize,
    at: At,
    what: What,
    draws: Pcg64Mcg,
}

struct Standing {
    rule: usize,
    what: What,
    draws: Pcg64Mcg,
    since: u64,
}

enum Held {
    Bytes(Vec<u8>),
    End(End),
}

/// One direction.
#[derive(Default)]
pub struct Passage {
    taken: u64,
    frames: Frames,
    follows: bool,
    armed: Vec<Armed>,
    standing: Vec<Standing>,
    held: VecDeque<(u64, Held)>,
    held_bytes: usize,
    last_due: u64,
    pause: u64,
    garble: u64,
    garble_draws: Option<Pcg64Mcg>,
    over: bool,
    /// When the next byte may go under a rate.
    rate_free: u64,
}

impl Passage {
    /// A fault waits at a place of this direction. One whose byte has gone by already: from now on, if it is one that goes
    /// on; else never.
    pub fn arm(&mut self, rule: usize, at: At, what: What, draws: Pcg64Mcg) {
        let gone_by = matches!(at, At::Byte(byte) if byte < self.taken);
        // Where messages begin is known only to who has followed from the first byte.
        let lost = !matches!(at, At::Byte(_)) && self.taken > 0 && !self.follows;
        if gone_by && !what.stands() || lost {
            return;
        }
        let at = if gone_by { At::Byte(self.taken) } else { at };
        self.follows |= !matches!(at, At::Byte(_));
        self.armed.push(Armed { rule, at, what, draws });
    }

    /// A rule holds no more: what it would have done is not done, and what it held goes on.
    pub fn lift(&mut self, rule: usize) {
        self.armed.retain(|a| a.rule != rule);
        self.standing.retain(|s| s.rule != rule);
    }

    /// Bytes that came in, and not yet out.
    pub fn held(&self) -> usize {
        self.held_bytes
    }

    /// Whether anything is to go out still, ends counted.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Faults that wait at the present place: to be asked before the first byte, so that a mute stands at once.
    pub fn begin(&mut self, now: u64, met: &mut Vec<Met>) {
        self.look(now, met);
    }

    /// Takes what came in.
    pub fn take(&mut self, now: u64, bytes: &[u8], met: &mut Vec<Met>) {
        let mut from = 0;
        let mut part = Vec::new();
        while from < bytes.len() && !self.over {
            self.look(now, met);
            if self.over {
                break;
            }
            let to = self.until(&bytes[from..]) + from;
            part.extend_from_slice(&bytes[from..to]);
            if self.follows {
                bytes[from..to].iter().for_each(|b| self.frames.take(*b));
            }
            if self.garble > 0 {
                let n = (to - from).min(self.garble as usize);
                if let Some(draws) = &mut self.garble_draws {
                    part.iter_mut().take(n).for_each(|b| *b ^= draws.random_range(1..=255u8));
                }
                self.garble -= n as u64;
            }
            self.taken += (to - from) as u64;
            from = to;
            self.hold(now, Held::Bytes(std::mem::take(&mut part)));
        }
        if !self.over {
            self.look(now, met);
        }
    }

    /// Its sender has ended: by FIN, or by RST.
    pub fn end(&mut self, now: u64, end: End) {
        if !std::mem::replace(&mut self.over, true) {
            self.hold(now, Held::End(end));
        }
    }

    /// Nothing of this direction is passed on any more.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// What is to go out now: bytes first, as much as `room`, then an end.
    pub fn out(&mut self, now: u64, room: usize) -> (Vec<u8>, Option<End>) {
        let mut out = Vec::new();
        if self.is_muted() {
            return (out, None);
        }
        while out.len() < room {
            let Some((due, held)) = self.held.front_mut() else { break };
            if *due > now {
                break;
            }
            match held {
                Held::End(end) => {
                    if !out.is_empty() {
                        break;
                    }
                    let end = *end;
                    self.held.pop_front();
                    return (out, Some(end));
                }
                Held::Bytes(bytes) => {
                    let n = (room - out.len()).min(bytes.len());
                    out.extend(bytes.drain(..n));
                    self.held_bytes -= n;
                    if bytes.is_empty() {
                        self.held.pop_front();
                    }
                }
            }
        }
        (out, None)
    }

    /// What could not be written after all.
    pub fn put_back(&mut self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.held_bytes += bytes.len();
            self.held.push_front((0, Held::Bytes(bytes)));
        }
    }

    /// When something is due next.
    pub fn next(&self) -> Option<u64> {
        if self.is_muted() {
            return None;
        }
        self.held.front().map(|(due, _)| *due)
    }

    fn is_muted(&self) -> bool {
        self.standing.iter().any(|s| s.what == What::Mute)
    }

    /// How many of these bytes lie before the next place where something may happen.
    fn until(&self, bytes: &[u8]) -> usize {
        if self.follows {
            return 1;
        }
        let next = self.armed.iter().filter_map(|a| match a.at {
            At::Byte(byte) => Some((byte - self.taken) as usize),
            _ => None,
        });
        // A garbled run is cut off so that its changes stay within it.
        let garbled = (self.garble > 0).then_some(self.garble as usize);
        next.chain(garbled).min().unwrap_or(usize::MAX).clamp(1, bytes.len())
    }

    /// Does what waits at the present place.
    fn look(&mut self, now: u64, met: &mut Vec<Met>) {
        let place = self.frames.place();
        let mut n = 0;
        while n < self.armed.len() && !self.over {
            let here = match self.armed[n].at {
                At::Byte(byte) => byte == self.taken,
                At::Message(message, part, offset) => {
                    (place.message, place.part, place.offset) == (message, part, offset)
                }
                At::Behind(message) => place.message == message + 1 && place.offset == 0 && self.taken > 0,
            };
            if !here {
                n += 1;
                continue;
            }
            let Armed { rule, what, draws, .. } = self.armed.remove(n);
            met.push(Met { rule, byte: self.taken, what });
            match what {
                What::Mute | What::Delay { .. } | What::Rate(_) => {
                    self.standing.push(Standing { rule, what, draws, since: now });
                }
                What::Fin => self.end(now, End::Fin),
                What::Rst => self.end(now, End::Rst),
                What::HalfClose => self.end(now, End::Half),
                What::Garble(bytes) => (self.garble, self.garble_draws) = (bytes, Some(draws)),
                What::Pause(more) => self.pause += more,
                What::Refuse | What::Hold | What::Lose | What::Double | What::Swap => {}
            }
        }
        self.follows = self.armed.iter().any(|a| !matches!(a.at, At::Byte(_)));
    }

    fn hold(&mut self, now: u64, what: Held) {
        let mut due = now + std::mem::take(&mut self.pause);
        let len = if let Held::Bytes(bytes) = &what { bytes.len() } else { 0 };
        for standing in &mut self.standing {
            match standing.what {
                What::Delay { low, high, grows } => {
                    let drawn = if low < high { standing.draws.random_range(low..=high) } else { low };
                    due += drawn + grows * ((now - standing.since) / 1_000_000);
                }
                What::Rate(rate) => {
                    self.rate_free = self.rate_free.max(now) + len as u64 * 1_000_000 / rate.max(1);
                    due = due.max(self.rate_free);
                }
                _ => {}
            }
        }
        // Nothing overtakes.
        self.last_due = self.last_due.max(due);
        self.held_bytes += len;
        match (self.held.back_mut(), what) {
            (Some((due, Held::Bytes(before))), Held::Bytes(bytes)) if *due == self.last_due => {
                before.extend_from_slice(&bytes);
            }
            (_, what) => self.held.push_back((self.last_due, what)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frames::Part;
    use crate::rules::{stream, LinkName};
    use proptest::prelude::*;

    fn draws() -> Pcg64Mcg {
        stream(1, &LinkName::new("a", "b"), 0, "r")
    }

    /// Passes a text in pieces; what came out, how it ended, and what was met.
    fn pass(armed: &[(At, What)], text: &[u8], cuts: &[usize]) -> (Vec<u8>, Option<End>, Vec<Met>) {
        let (mut passage, mut met, mut out, mut ended) = (Passage::default(), Vec::new(), Vec::new(), None);
        for (n, (at, what)) in armed.iter().enumerate() {
            passage.arm(n, *at, *what, draws());
        }
        passage.begin(0, &mut met);
        let mut from = 0;
        for cut in cuts.iter().copied().chain([text.len()]) {
            let to = cut.clamp(from, text.len());
            passage.take(0, &text[from..to], &mut met);
            from = to;
            let (bytes, end) = passage.out(u64::MAX, usize::MAX);
            out.extend(bytes);
            ended = ended.or(end);
            ended = ended.or(passage.out(u64::MAX, usize::MAX).1);
        }
        (out, ended, met)
    }

    proptest! {
        /// However the bytes come, the same are passed on, the same faults are met at the same bytes.
        #[test]
        fn pieces_make_no_difference(
            text in prop::collection::vec(any::<u8>(), 1..300),
            mut cuts in prop::collection::vec(0usize..300, 0..8),
            cut_at in 0u64..320,
            garble_at in 0u64..320,
            how in prop::sample::select(vec![What::Fin, What::Rst, What::HalfClose]),
        ) {
            cuts.sort_unstable();
            let armed = [(At::Byte(garble_at), What::Garble(3)), (At::Byte(cut_at), how)];
            let whole = pass(&armed, &text, &[]);
            prop_assert_eq!(&pass(&armed, &text, &cuts), &whole);
            let len = (cut_at as usize).min(text.len());
            prop_assert_eq!(whole.0.len(), len);
            for (n, (out, byte)) in whole.0.iter().zip(&text).enumerate() {
                let spoilt = (garble_at as usize..garble_at as usize + 3).contains(&n);
                prop_assert_eq!(out != byte, spoilt);
            }
            prop_assert_eq!(whole.1.is_some(), cut_at as usize <= text.len());
        }
    }

    #[test]
    fn a_half_close_lies_behind_the_request_and_garbling_within_a_chunk_length() {
        let one = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        let two = [one.as_slice(), one.as_slice()].concat();
        let (out, end, met) = pass(&[(At::Behind(0), What::HalfClose)], &two, &[7, 30]);
        assert_eq!((out.as_slice(), end, met[0].byte), (&one[..], Some(End::Half), one.len() as u64));
        let text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\n";
        let at = At::Message(0, Part::ChunkLength, 1);
        let (out, _, met) = pass(&[(at, What::Garble(1))], text, &[]);
        let byte = met[0].byte as usize;
        assert_eq!(text[byte], b'c');
        assert!(out[byte] != b'c' && out[..byte] == text[..byte] && out[byte + 1..] == text[byte + 1..]);
    }

    #[test]
    fn a_mute_holds_until_it_is_lifted_and_loses_nothing() {
        let (mut passage, mut met) = (Passage::default(), Vec::new());
        passage.arm(7, At::Byte(2), What::Mute, draws());
        passage.take(0, b"abcd", &mut met);
        passage.end(5, End::Half);
        // What came before the mute is held behind it as well: a line that is cut is cut for what is on it.
        assert_eq!(passage.out(1_000_000, 100), (vec![], None));
        assert_eq!(passage.next(), None);
        passage.lift(7);
        assert_eq!(passage.out(1_000_000, 100), (b"abcd".to_vec(), None));
        assert_eq!(passage.out(1_000_000, 100), (vec![], Some(End::Half)));
    }

    #[test]
    fn delays_keep_the_order_and_a_rate_spreads_bytes() {
        let (mut passage, mut met) = (Passage::default(), Vec::new());
        passage.arm(0, At::Byte(0), What::Delay { low: 300, high: 300, grows: 0 }, draws());
        passage.take(100, b"ab", &mut met);
        passage.lift(0);
        passage.take(150, b"cd", &mut met);
        assert_eq!(passage.out(399, 10).0, b"");
        assert_eq!(passage.next(), Some(400));
        assert_eq!(passage.out(400, 10).0, b"abcd");
        let mut slow = Passage::default();
        slow.arm(0, At::Byte(0), What::Rate(1000), draws());
        for _ in 0..10 {
            slow.take(0, &[0; 100], &mut met);
        }
        assert_eq!(slow.out(450_000, 10_000).0.len(), 400);
        assert_eq!(slow.out(1_000_000, 10_000).0.len(), 600);
    }

    #[test]
    fn a_place_gone_by_holds_for_what_goes_on_and_for_nothing_else() {
        let (mut passage, mut met) = (Passage::default(), Vec::new());
        passage.take(0, b"abcdef", &mut met);
        passage.arm(0, At::Byte(3), What::Rst, draws());
        passage.arm(1, At::Byte(3), What::Mute, draws());
        passage.take(0, b"g", &mut met);
        assert!(met.len() == 1 && met[0].what == What::Mute && met[0].byte == 6);
    }
}
