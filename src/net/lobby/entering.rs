//! Who comes in, and who goes.

use super::*;

/// So many are let in in one go: the others must not wait for long.
const LET_IN_MOST: usize = 64;
/// How long there are fewer places, and how long to wait, where no descriptor was free.
const SQUEEZED: Micros = Micros(5_000_000);
const NO_DESCRIPTOR: Micros = Micros(5_000);

impl<F: Talker> Lobby<F> {
    /// Sessions that idle make room for calls that found no descriptor.
    pub(super) fn give_way(&mut self, now: Micros) {
        for _ in 0..self.door.wanted.swap(0, Ordering::SeqCst).min(LET_IN_MOST) {
            self.tally.no_descriptor += 1;
            let Some(key) = self.admission.give_way(now, now + SQUEEZED) else { return };
            if let Some(standing) = self.make_room(now, key) {
                *self.tally.made_room.entry(standing).or_default() += 1;
            }
        }
    }

    pub(super) fn let_in(&mut self, now: Micros) {
        if self.shut_until.is_some_and(|at| at > now) {
            return;
        }
        self.shut_until = None;
        for _ in 0..LET_IN_MOST {
            if !self.knock {
                return;
            }
            match self.admission.enter(now) {
                Entry::Come => self.accept(now),
                Entry::After(key) => {
                    // It has spoken: it is heard first, and the next round looks again.
                    let Some(standing) = self.make_room(now, key) else { return };
                    *self.tally.made_room.entry(standing).or_default() += 1;
                }
                Entry::Wait(until) => {
                    self.tally.kept_waiting += 1;
                    match self.front.full() {
                        Some(words) => self.refuse(words),
                        None => {
                            self.shut_until = Some(until.max(now + Micros(1_000)));
                            return;
                        }
                    }
                }
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        match self.listener.accept() {
            Ok((mut stream, from)) => {
                let (key, token) = (self.next, Token(self.next as usize));
                let interest = Interest::READABLE | Interest::WRITABLE;
                // Without it small writes may wait in the system; that is no reason to turn the client away.
                let _ = stream.set_nodelay(true);
                // One that can't be set up is closed with nothing read, so its client asks again.
                if self.poll.registry().register(&mut stream, token, interest).is_err() {
                    return;
                }
                self.next += 1;
                self.tally.let_in += 1;
                let mut out = Vec::new();
                let talk = self.front.open(from, &mut out);
                let seat = Seat {
                    stream,
                    talk,
                    held: Vec::new(),
                    out,
                    receipts: Vec::new(),
                    readable: false,
                    unheard: false,
                    hung_up: false,
                    ended: false,
                    last: false,
                    after: None,
                    until: None,
                };
                self.seats.insert(key, seat);
                self.admission.connected(now, key, from.ip());
                self.open.store(self.seats.len(), Ordering::SeqCst);
                self.flush(now, key);
                self.look(key);
            }
            Err(e) => self.not_accepted(now, &e),
        }
    }

    fn not_accepted(&mut self, now: Micros, e: &io::Error) {
        match accept_fault(e) {
            AcceptFault::Nobody => self.knock = false,
            AcceptFault::Next => {}
            // Danger: connections that make room for it would be shed for a want that is not this process's.
            AcceptFault::Later => self.shut_until = Some(now + NO_DESCRIPTOR),
            AcceptFault::NoDescriptor => {
                // Danger: with no descriptor free the newcomer can't even be refused, and its knock would keep the
                // lobby turning round. So there are fewer places for a while, and one that idles makes room. Only
                // where nobody is there to do so the spare descriptor takes it, to tell it where the front has words.
                self.tally.no_descriptor += 1;
                if self.admission.is_empty() {
                    self.spare = None;
                    self.refuse(self.front.full().unwrap_or(""));
                    self.spare = File::open("/dev/null").ok();
                }
                self.admission.squeeze(now + SQUEEZED);
                self.shut_until = Some(now + NO_DESCRIPTOR);
            }
        }
    }

    fn refuse(&mut self, words: &str) {
        match self.listener.accept() {
            // It has just connected, so these few bytes fit into its buffer. An error says that it is gone.
            Ok((mut stream, _)) => drop(stream.write(words.as_bytes())),
            Err(e) if accept_fault(&e) == AcceptFault::Nobody => self.knock = false,
            Err(_) => {}
        }
    }

    /// Closes one, unless something has come from it just now. Danger: a request that crosses its session's end, or whose
    /// last part does, is lost, or must be sent again; so what has come is heard first.
    fn make_room(&mut self, now: Micros, key: u64) -> Option<Standing> {
        let standing = self.admission.standing(key)?;
        // Danger: one that does not read its answers is not heard, and would be chosen, and spared, again and again.
        let speaks = |s: &Seat<F::Talk>| s.hears() && s.stream.peek(&mut [0]).is_ok_and(|n| n > 0);
        let heard = !matches!(standing, Standing::Faulty | Standing::Parting);
        if heard && self.seats.get(&key).is_some_and(speaks) {
            self.admission.bytes(now, key);
            self.look(key);
            return None;
        }
        self.dismiss(key, standing);
        Some(standing)
    }

    /// Says farewell and closes.
    fn dismiss(&mut self, key: u64, standing: Standing) {
        if let Some(seat) = self.seats.get_mut(&key) {
            // Nothing waits to be written, so these few bytes fit. An error says that it is closed already.
            let why = if standing == Standing::Asking { Bye::Half } else { Bye::Idle };
            tracing::debug!(target: "clients", connection = key, ?why, "a connection is closed");
            let words = self.front.farewell(why);
            if !words.is_empty() && seat.out.is_empty() && !seat.last {
                let _ = seat.stream.write(words.as_bytes());
            }
            // What is unread would reset the connection and could destroy its answer.
            let mut sink = [0; 8 * 1024];
            let mut left = AFTER_MOST;
            while left > 0 && seat.stream.read(&mut sink).is_ok_and(|n| n > 0) {
                left = left.saturating_sub(sink.len());
            }
        }
        self.close(key);
    }

    pub(super) fn close(&mut self, key: u64) {
        let Some(mut seat) = self.seats.remove(&key) else { return };
        self.admission.closed(key);
        self.held -= seat.held.len();
        self.receipts.extend(seat.receipts.drain(..).map(|msg| (msg, false)));
        if let Some(at) = seat.until {
            self.timers.remove(&(at, key));
        }
        // Closing takes it out of the poll; an error would say that it was not in it.
        let _ = self.poll.registry().deregister(&mut seat.stream);
        self.open.store(self.seats.len(), Ordering::SeqCst);
    }

    pub(super) fn set_until(&mut self, key: u64, until: Option<Micros>) {
        let Some(seat) = self.seats.get_mut(&key) else { return };
        if let Some(at) = std::mem::replace(&mut seat.until, until) {
            self.timers.remove(&(at, key));
        }
        self.timers.extend(until.map(|at| (at, key)));
    }

    pub(super) fn time(&mut self, now: Micros) {
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.set_until(key, None);
            let Some(seat) = self.seats.get(&key) else { continue };
            if seat.out.is_empty() {
                self.turn.push(key); // its pause is over
            } else {
                self.close(key); // it does not read
            }
        }
        while let Some(key) = self.admission.overdue(now) {
            // A request that is not whole by now is given up, whatever still comes of it.
            match self.admission.standing(key) {
                Some(Standing::Asking) => self.dismiss(key, Standing::Asking),
                _ if self.make_room(now, key).is_none() => continue,
                _ => {}
            }
            self.tally.timed_out += 1;
        }
    }
}
