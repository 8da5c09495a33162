//! Going on with another process's sessions, and passing all of them on.

use super::*;

/// Requests of one connection, one behind the other, that are answered at the end of a process.
const FINISH_ROUNDS: usize = 64;

impl<F: Talker> Lobby<F> {
    /// Answers what has been read in part, if the rest of it is there, and reads nothing more. The connections stay open until the
    /// process ends: a request that comes meanwhile is never read, and its client sends it again.
    pub(super) fn finish(mut self) {
        let now = self.clock.now();
        let begun: Vec<u64> =
            self.seats.iter().filter(|(_, seat)| !seat.held.is_empty()).map(|(key, _)| *key).collect();
        begun.into_iter().for_each(|key| self.look(key));
        for _ in 0..FINISH_ROUNDS {
            self.turn.retain(|key| self.seats.get(key).is_some_and(|seat| !seat.held.is_empty()));
            self.hear_all(now, true);
        }
        let stalled = std::mem::take(&mut self.stalled);
        stalled.into_iter().for_each(|key| self.flush(now, key));
        self.report();
        self.finished.store(true, Ordering::SeqCst);
        loop {
            std::thread::park();
        }
    }

    /// Goes on with a session of another process.
    pub fn adopt(&mut self, fd: OwnedFd, words: SeatWords) {
        let stream = std::net::TcpStream::from(fd);
        let from = stream.peer_addr().and_then(|from| stream.set_nonblocking(true).map(|()| from));
        let mut stream = TcpStream::from_std(stream);
        let (key, now) = (self.next, self.clock.now());
        let interest = Interest::READABLE | Interest::WRITABLE;
        let placed = self.poll.registry().register(&mut stream, Token(key as usize), interest);
        let (Ok(from), Ok(())) = (from, placed) else {
            self.receipts.extend(words.receipts.into_iter().map(|msg| (msg, false)));
            return;
        };
        self.next += 1;
        let SeatWords { talk, held, out, receipts, asked, ended, last, after } = words;
        let talk = self.front.unpack(from, &talk);
        self.admission.connected(now, key, from.ip());
        for _ in 0..asked {
            self.admission.whole(now, key);
            self.admission.answered(now, key, false);
        }
        if !held.is_empty() {
            self.admission.bytes(now, key);
        }
        if after.is_some() {
            self.admission.parting(now, key);
        }
        self.held += held.len();
        let (unheard, readable, hung_up, until) = (!held.is_empty(), true, false, None);
        let seat =
            Seat { stream, talk, held, out, receipts, readable, unheard, hung_up, ended, last, after, until };
        self.seats.insert(key, seat);
        self.open.store(self.seats.len(), Ordering::SeqCst);
        self.flush(now, key);
        self.look(key);
    }

    /// Passes everything to another process, if that is asked for; `true`: it has it.
    pub(super) fn passes(&mut self) -> bool {
        let Some(pass) = self.pass.lock().unwrap_or_else(PoisonError::into_inner).take() else {
            return false;
        };
        self.report();
        let words = |key: &u64, seat: &Seat<F::Talk>| SeatWords {
            talk: self.front.pack(&seat.talk),
            held: seat.held.clone(),
            out: seat.out.clone(),
            receipts: seat.receipts.clone(),
            asked: match self.admission.standing(*key) {
                Some(Standing::Once) => 1,
                Some(Standing::Steady) => 2,
                _ => 0,
            },
            ended: seat.ended,
            last: seat.last,
            after: seat.after,
        };
        let seats: Vec<_> =
            self.seats.iter().map(|(key, seat)| (seat.stream.as_fd(), words(key, seat))).collect();
        pass(self.listener.as_fd(), &seats)
    }
}
