//! Hearing those that have sent something.

use super::*;

/// So many requests are answered in one go: the others must not wait for long.
const TOGETHER_MOST: usize = 32;

impl<F: Talker> Lobby<F> {
    pub(super) fn hear_all(&mut self, now: Micros, closing: bool) {
        let mut turn = std::mem::take(&mut self.turn);
        turn.sort_unstable();
        turn.dedup();
        let (mut keys, mut asks) = (Vec::new(), Vec::new());
        for key in turn {
            if let Some(ask) = self.hear(now, key, closing) {
                self.admission.whole(now, key);
                keys.push(key);
                asks.push(ask);
            }
            if asks.len() >= TOGETHER_MOST {
                self.answer(std::mem::take(&mut keys), std::mem::take(&mut asks));
            }
        }
        if !asks.is_empty() {
            self.answer(keys, asks);
        }
    }

    /// Reads what one client has sent, and hears it up to its first whole request.
    fn hear(&mut self, now: Micros, key: u64, closing: bool) -> Option<F::Ask> {
        loop {
            let seat = self.seats.get_mut(&key)?;
            if seat.after.is_some() {
                self.drain(key);
                return None;
            }
            if !seat.hears() {
                return None;
            }
            let mut filled = seat.held.len();
            self.held -= filled;
            self.buf[..filled].copy_from_slice(&seat.held);
            seat.held.clear();
            let room = self.buf.len();
            let mut news = std::mem::take(&mut seat.unheard) && filled > 0;
            while seat.readable && filled < room {
                match receive(&mut seat.stream, &mut self.buf[filled..]) {
                    Received::Ended => (seat.ended, seat.readable) = (true, false),
                    Received::Bytes(n) => {
                        filled += n;
                        news = true;
                        // A short read has found all that there was. Danger: an end that came with these bytes is told
                        // by no edge of its own; it is read for.
                        seat.readable = seat.hung_up || filled == room;
                    }
                    Received::Nothing => seat.readable = false,
                    Received::Later => {
                        seat.readable = false;
                        self.stalled.push(key);
                    }
                    Received::Broke => {
                        self.close(key);
                        return None;
                    }
                }
                // What is there is heard first: most often it is a whole request, and all that there is.
                if news {
                    break;
                }
            }
            let mut at = 0;
            let mut end = None;
            while news && at < filled && end.is_none() {
                let (used, heard) = self.front.hear(&mut seat.talk, &self.buf[at..filled], &mut seat.out);
                at += used;
                match heard {
                    Heard::Said { fault: false } if used > 0 => {}
                    other => end = Some(other),
                }
            }
            let left = filled - at;
            if left > 0 {
                seat.held.extend_from_slice(&self.buf[at..filled]);
                self.held += left;
            } else if seat.held.capacity() > 0 {
                seat.held = Vec::new(); // an idle seat holds nothing
            }
            let (readable, ended, nothing) = (seat.readable, seat.ended, left == 0);
            match end {
                Some(Heard::Ask(ask)) => {
                    let words = self.front.farewell(Bye::Gone);
                    // One that was let in just now has had no event yet that would tell of its end.
                    let ended = |s: &Seat<F::Talk>| s.stream.peek(&mut [0]).is_ok_and(|n| n == 0);
                    if !words.is_empty() && (seat.ended || seat.hung_up || ended(seat)) {
                        // Danger: a client that was not answered in time closes, and hands in elsewhere. A process that
                        // was held up finds its request with the end behind it; taken on now, it would be delivered
                        // beside the other. Who has only ended its sending reads that it is to come again.
                        self.tally.gone += 1;
                        tracing::debug!(target: "clients", connection = key, why = ?Bye::Gone, "a request is refused");
                        seat.out.extend(words.as_bytes());
                        seat.last = true;
                        self.flush(now, key);
                        return None;
                    }
                    seat.unheard = left > 0;
                    return Some(ask);
                }
                Some(Heard::Last) => {
                    seat.last = true;
                    self.flush(now, key);
                    return None;
                }
                Some(Heard::Said { fault }) => {
                    seat.unheard = left > 0;
                    self.said(now, key, fault);
                    return None;
                }
                Some(Heard::More { begun }) => {
                    if begun {
                        self.admission.bytes(now, key);
                    }
                    if self.held > self.held_most && left > 0 {
                        let words = self.front.farewell(Bye::Full);
                        tracing::debug!(target: "clients", connection = key, why = ?Bye::Full, "a request is refused");
                        seat.out.extend(words.as_bytes());
                        seat.last = true;
                    }
                    self.flush(now, key);
                }
                None if news => {
                    self.said(now, key, false);
                    return None;
                }
                None => {}
            }
            // Danger: an end that crosses a whole request must not eat it; so it counts once all is heard.
            if ended
                || closing && !readable && nothing && self.admission.standing(key) != Some(Standing::Asking)
            {
                if self.seats.get(&key).is_some_and(|s| s.out.is_empty()) {
                    self.close(key);
                }
                return None;
            }
            if !readable || self.seats.get(&key).is_some_and(|s| s.held.len() >= room) {
                return None;
            }
        }
    }

    /// Reads, and drops, what comes after the last word.
    fn drain(&mut self, key: u64) {
        let Some(seat) = self.seats.get_mut(&key) else { return };
        let mut sink = [0; 8 * 1024];
        loop {
            match receive(&mut seat.stream, &mut sink) {
                Received::Nothing => return,
                Received::Later => return self.stalled.push(key),
                Received::Bytes(n) if seat.after.is_some_and(|left| left > n) => {
                    seat.after = seat.after.map(|left| left - n);
                }
                _ => return self.close(key),
            }
        }
    }
}
