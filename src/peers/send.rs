//! Schedules what is sent.

use super::budget::Reserve;
use super::codec::{self, encoded_len, EntryRequest, GossipMessage, MemberDigest, HEADER_BYTES};
use super::{
    Chase, MemberStatus, Micros, Peers, Recipient, MAX_DIGESTS_PER_BEAT, MAX_RETRY_DELAY, MIN_BEAT_BYTES,
};
use rand_core::RngCore;

/// Most datagrams that one tick sends besides the heartbeat.
const MAX_DATAGRAMS_PER_TICK: usize = 32;
/// A message to one member is sent only with this much budget, so that an entry of full length fits.
const MIN_UNICAST_BYTES: usize = 128;

/// The counter that a message belongs to.
#[derive(Clone, Copy)]
enum MessageKind {
    Beat,
    Change,
    Request,
    Answer,
    Direct,
}

impl Peers {
    /// Returns the datagrams to send now. Call it at [`Peers::next_at`], and after something was set or
    /// received.
    pub fn tick(&mut self, now: Micros) -> Vec<(Recipient, Vec<u8>)> {
        let mut out = vec![];
        self.budget.refill(now);
        self.fade(now);
        // A run that another has replaced must not send in the member's name.
        if self.superseded.is_some() || self.others() == 0 {
            return out;
        }
        if now >= self.beat_at {
            self.beat(now, &mut out);
        }
        while out.len() < MAX_DATAGRAMS_PER_TICK {
            // Changes and repairs alternate, so that neither starves the other.
            let first = self.repairs_next;
            self.repairs_next = !first;
            let went = match first {
                true => self.repair(now, &mut out) || self.change(now, &mut out),
                false => self.change(now, &mut out) || self.repair(now, &mut out),
            };
            if !went {
                break;
            }
        }
        out
    }

    /// When [`Peers::tick`] has something to do next, if nothing happens before.
    pub fn next_at(&self) -> Micros {
        let fading = self.fading.iter().map(|o| self.shelves[usize::from(*o)].former_until).min();
        if self.superseded.is_some() || self.others() == 0 {
            return fading.unwrap_or(Micros(u64::MAX));
        }
        let change = self.own.dirty.values().min().map(|since| {
            let ready = self.budget.ready_at(self.others(), self.change_least(), self.reserve());
            ready.max(*since + self.config.batch_delay)
        });
        let one = || self.budget.ready_at(1, MIN_UNICAST_BYTES, self.reserve());
        let chase = self.chases.values().map(|c| c.due).min().map(|due| due.max(one()));
        let answer = (!self.answers.is_empty() || !self.tell.is_empty()).then(one);
        let private = self.private.due().map(|due| due.max(one()));
        let all = [Some(self.beat_at), fading, change, chase, answer, private];
        all.into_iter().flatten().min().unwrap_or(self.beat_at)
    }

    /// A last message to all that this member is leaving; none if another run has replaced this one.
    pub fn leave(&mut self, now: Micros) -> Vec<(Recipient, Vec<u8>)> {
        let mut out = vec![];
        if self.superseded.is_none() && self.others() > 0 {
            let note = GossipMessage { next: 0, ..self.head(now) };
            self.post(Recipient::All, note, MessageKind::Beat, &mut out);
        }
        out
    }

    fn others(&self) -> usize {
        self.members.len() - 1
    }

    fn reserve(&self) -> Reserve {
        let others = self.others() as f64;
        Reserve { at: self.beat_at, notes: others, bytes: others * self.start.reserved_bytes() as f64 }
    }

    fn fade(&mut self, now: Micros) {
        let shelves = &mut self.shelves;
        let mut gone = 0;
        self.fading.retain(|owner| {
            let shelf = &mut shelves[usize::from(*owner)];
            let len = shelf.items.len();
            shelf.fade(now);
            gone += len - shelf.items.len();
            now < shelf.former_until
        });
        self.held -= gone;
    }

    fn head(&self, now: Micros) -> GossipMessage {
        // A heartbeat is at most a tenth later than its usual interval.
        let next = (self.beat.0 / 90_000).clamp(1, u64::from(u16::MAX)) as u16;
        let (from, incarnation, top) = (self.me, self.incarnation, self.own.shelf.top);
        GossipMessage {
            from,
            incarnation,
            at: (now - self.born).0 / 1_000,
            next,
            top,
            ..GossipMessage::default()
        }
    }

    fn post(
        &mut self, to: Recipient, mut note: GossipMessage, kind: MessageKind,
        out: &mut Vec<(Recipient, Vec<u8>)>,
    ) {
        note.top = self.own.shelf.top;
        let Some(bytes) = codec::encode(self.config.cluster, &note) else { return };
        let receivers = if to == Recipient::All { self.others() } else { 1 };
        self.budget.spend(receivers, bytes.len());
        self.counts.notes += receivers as u64;
        self.counts.bytes += (receivers * bytes.len()) as u64;
        self.counts.sent[kind as usize] += 1;
        self.counts.sent_bytes[kind as usize] += (receivers * bytes.len()) as u64;
        out.push((to, bytes));
    }

    /// Bytes left in this message, less 2 for list lengths that may grow.
    fn left(&self, note: &GossipMessage, room: usize) -> usize {
        room.saturating_sub(HEADER_BYTES + encoded_len(note) + 2)
    }

    fn beat(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) {
        let none = Reserve { at: now, notes: 0.0, bytes: 0.0 };
        let mut note = self.head(now);
        let known: Vec<u16> = (0..self.members.len() as u16).filter(|o| self.known(*o)).collect();
        let first = if known.is_empty() { 0 } else { self.rng.next_u32() as usize % known.len() };
        // The stride is random too, so that the same members are not always sent together.
        let stride = if known.len() <= MAX_DIGESTS_PER_BEAT { 1 } else { known.len() / MAX_DIGESTS_PER_BEAT };
        let drawn =
            (0..MAX_DIGESTS_PER_BEAT.min(known.len())).map(|i| known[(first + i * stride) % known.len()]);
        let news: Vec<MemberDigest> = drawn.map(|owner| self.news(now, owner)).collect();
        let quiet = HEADER_BYTES + encoded_len(&note) + news.iter().map(encoded_len).sum::<usize>() + 2;
        let least = self.start.min_beat_bytes(quiet, !(self.own.dirty.is_empty() && self.chases.is_empty()));
        let beats = self.others() as f64 / self.beat.secs();
        self.budget.set_byte_rate(self.start.rate(1.5 * beats * MIN_BEAT_BYTES as f64));
        let room =
            self.budget.available_bytes(self.others(), none).clamp(least, self.config.max_datagram_bytes);
        let for_news = if self.others() > 1 { encoded_len(&self.news(now, self.me)) + 8 } else { 0 };
        let left = self.left(&note, room).saturating_sub(for_news);
        note.blocks.extend(self.own.changes(now, self.me, left));
        for news in news {
            if encoded_len(&news) <= self.left(&note, room) {
                note.tops.push(news);
            }
        }
        self.post(Recipient::All, note, MessageKind::Beat, out);
        let spread = self.random();
        self.beat_at = now + self.beat.scale(0.9 + 0.2 * spread);
    }

    fn known(&self, owner: u16) -> bool {
        owner != self.me && self.members[usize::from(owner)].last_alive.is_some()
    }

    fn news(&self, now: Micros, owner: u16) -> MemberDigest {
        let (member, shelf) = (&self.members[usize::from(owner)], &self.shelves[usize::from(owner)]);
        let age = (now - member.last_alive.unwrap_or(now)).0 / 100_000;
        // Entries that can't be passed on are not announced: they would be requested.
        let top = if shelf.partial { 0 } else { shelf.seen };
        let age = age.min(u64::from(u32::MAX)) as u32;
        MemberDigest { owner, incarnation: member.incarnation, top, stamp: member.stamp, age }
    }

    fn change_least(&self) -> usize {
        (self.own.wanted() + 32).clamp(MIN_BEAT_BYTES, self.config.max_datagram_bytes * 3 / 4)
    }

    fn change(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let Some(since) = self.own.dirty.values().min() else { return false };
        let room =
            self.budget.available_bytes(self.others(), self.reserve()).min(self.config.max_datagram_bytes);
        if now < *since + self.config.batch_delay || room < self.change_least() {
            return false;
        }
        let mut note = self.head(now);
        let left = self.left(&note, room);
        let Some(block) = self.own.changes(now, self.me, left) else { return false };
        note.blocks.push(block);
        self.post(Recipient::All, note, MessageKind::Change, out);
        true
    }

    /// Sends one message that repairs losses.
    fn repair(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let room = self.budget.available_bytes(1, self.reserve()).min(self.config.max_datagram_bytes);
        room >= MIN_UNICAST_BYTES
            && (self.say_old(now, out)
                || self.speak(now, room, out)
                || self.ask(now, room, out)
                || self.answer(now, room, out))
    }

    /// Sends direct updates to one member.
    fn speak(&mut self, now: Micros, room: usize, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let members = &self.members;
        let there = |to: u16| members[usize::from(to)].status(now) == MemberStatus::Alive;
        let Some(to) = self.private.next(now, there) else { return false };
        let (mut note, spread) = (self.head(now), self.random());
        let room = self.left(&note, room);
        let life = self.members[usize::from(to)].incarnation;
        note.private = self.private.speak(now, to, life, room, spread);
        let speaks = note.private.is_some();
        if speaks {
            self.post(Recipient::One(to), note, MessageKind::Direct, out);
        }
        speaks
    }

    fn say_old(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let Some(member) = self.tell.pop_first() else { return false };
        let mut note = self.head(now);
        note.tops.push(self.news(now, member));
        self.post(Recipient::One(member), note, MessageKind::Answer, out);
        true
    }

    /// Whom to ask: the owner if it is heard directly, alternating with a member that announced something
    /// newer.
    fn holder(&self, now: Micros, owner: u16, chase: &Chase) -> u16 {
        let near = self.members[usize::from(owner)].is_direct(now);
        let there = |p: &u16| self.members[usize::from(*p)].status(now) == MemberStatus::Alive;
        match chase.teller.filter(there) {
            Some(teller) if !near || chase.tries % 2 == 1 => teller,
            _ => owner,
        }
    }

    fn ask(&mut self, now: Micros, room: usize, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let due = self.chases.iter().filter(|(_, c)| c.due <= now);
        let due: Vec<_> = due.map(|(o, c)| (*o, self.holder(now, *o, c))).collect();
        let Some(&(_, to)) = due.first() else { return false };
        let mut note = self.head(now);
        for (owner, _) in due.iter().filter(|(_, holder)| *holder == to) {
            let ask: EntryRequest = self.shelves[usize::from(*owner)].ask(*owner);
            if encoded_len(&ask) > self.left(&note, room) {
                break;
            }
            note.asks.push(ask);
            let spread = self.random();
            if let Some(chase) = self.chases.get_mut(owner) {
                chase.due = now + chase.wait.scale(0.75 + 0.5 * spread);
                chase.wait = (chase.wait + chase.wait).min(MAX_RETRY_DELAY);
                chase.tries += 1;
            }
        }
        self.post(Recipient::One(to), note, MessageKind::Request, out);
        true
    }

    fn answer(&mut self, now: Micros, room: usize, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        // Round-robin over the requesters.
        let after = self.answered.saturating_add(1);
        let mut next = self.answers.range((after, 0)..).chain(&self.answers);
        let Some((&(to, _), _)) = next.next() else { return false };
        self.answered = to;
        let mut note = self.head(now);
        let asked: Vec<_> =
            self.answers.range((to, 0)..=(to, u16::MAX)).map(|(k, ask)| (k.1, *ask)).collect();
        for (owner, mut ask) in asked {
            let mine = owner == self.me;
            let shelf = if mine { &self.own.shelf } else { &self.shelves[usize::from(owner)] };
            let seen = shelf.seen;
            let left = self.left(&note, room);
            let block = shelf.answer(now, &ask, left, |k| mine && self.own.dirty.contains_key(k));
            match block {
                Some(block) if block.to < seen => {
                    match block.swept {
                        0 => ask.have = block.to,
                        swept => ask.sweep = (block.to, swept),
                    }
                    self.answers.insert((to, owner), ask);
                    note.blocks.push(block);
                    break;
                }
                Some(block) => {
                    self.answers.remove(&(to, owner));
                    note.blocks.push(block);
                }
                // If the block doesn't fit beside others, it goes into the next message. If it doesn't fit an
                // empty one, there is nothing to answer.
                None if !note.blocks.is_empty() => break,
                None => {
                    self.answers.remove(&(to, owner));
                }
            }
        }
        if !note.blocks.is_empty() {
            self.post(Recipient::One(to), note, MessageKind::Answer, out);
        }
        true
    }
}
