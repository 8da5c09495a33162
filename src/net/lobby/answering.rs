//! Answering what was heard, and writing the answers.

use super::*;

/// How long an answer may take to be read.
const WRITE: Micros = Micros(500_000);

impl<F: Talker> Lobby<F> {
    pub(super) fn answer(&mut self, keys: Vec<u64>, asks: Vec<F::Ask>) {
        self.tally.answered += asks.len() as u64;
        self.tally.together_most = self.tally.together_most.max(asks.len() as u64);
        let replies = self.front.answer(asks);
        let now = self.clock.now();
        for (key, reply) in keys.into_iter().zip(replies) {
            let Some(seat) = self.seats.get_mut(&key) else {
                self.receipts.extend(reply.receipt.map(|msg| (msg, false)));
                continue;
            };
            seat.out.extend(reply.text.as_bytes());
            seat.receipts.extend(reply.receipt);
            seat.last |= reply.last;
            self.said(now, key, reply.fault);
        }
        self.report();
    }

    /// What was heard is answered, and the answer goes out.
    pub(super) fn said(&mut self, now: Micros, key: u64, fault: bool) {
        self.admission.answered(now, key, fault);
        let pause = match self.seats.get_mut(&key) {
            Some(seat) if fault => Some(now + self.front.pause(&mut seat.talk)),
            _ => None,
        };
        self.flush(now, key);
        let Some(seat) = self.seats.get_mut(&key) else { return };
        if pause.is_some() && seat.out.is_empty() && !seat.last {
            self.set_until(key, pause);
        } else if seat.unheard || seat.readable {
            self.turn.push(key);
        }
    }

    /// Writes what is said, as far as the client takes it.
    pub(super) fn flush(&mut self, now: Micros, key: u64) {
        let Some(seat) = self.seats.get_mut(&key) else { return };
        let waited = !seat.out.is_empty() && seat.until.is_some();
        let (written, sent) = send(&mut seat.stream, &seat.out);
        seat.out.drain(..written);
        match sent {
            Sent::Broke => return self.close(key),
            Sent::Later => self.stalled.push(key),
            Sent::Full | Sent::All => {}
        }
        if sent != Sent::All {
            if !waited {
                self.set_until(key, Some(now + WRITE));
            }
            return;
        }
        seat.out = Vec::new();
        self.receipts.extend(seat.receipts.drain(..).map(|msg| (msg, true)));
        if seat.last && seat.after.is_none() {
            seat.after = Some(AFTER_MOST);
            let over = seat.ended || seat.stream.shutdown(Shutdown::Write).is_err();
            self.held -= seat.held.len();
            seat.held = Vec::new();
            self.admission.parting(now, key);
            if over {
                return self.close(key);
            }
            self.turn.push(key);
        }
        if waited {
            self.set_until(key, None);
            self.turn.push(key);
        }
    }

    /// Tells the core which answers were written, all of a round at once.
    pub(super) fn report(&mut self) {
        if !self.receipts.is_empty() {
            self.front.written(&self.receipts);
            self.receipts.clear();
        }
    }
}
