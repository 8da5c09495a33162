//! Schedules what is sent.

use super::budget::Reserve;
use super::codec::{self, encoded_len, EntryRequest, GossipMessage, MemberDigest, HEADER_BYTES};
use super::{
    MemberStatus, Micros, Peers, Recipient, Repair, MAX_DIGESTS_PER_BEAT, MAX_RETRY_DELAY, MIN_BEAT_BYTES,
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
        self.expire_previous(now);
        // A run that another has replaced must not send in the member's name.
        if self.superseded.is_some() || self.other_count() == 0 {
            return out;
        }
        if now >= self.next_beat_at {
            self.send_beat(now, &mut out);
        }
        while out.len() < MAX_DATAGRAMS_PER_TICK {
            // Changes and repairs alternate, so that neither starves the other.
            let repairs_first = self.repairs_next;
            self.repairs_next = !repairs_first;
            let sent = match repairs_first {
                true => self.send_repair(now, &mut out) || self.send_changes(now, &mut out),
                false => self.send_changes(now, &mut out) || self.send_repair(now, &mut out),
            };
            if !sent {
                break;
            }
        }
        out
    }

    /// When [`Peers::tick`] has something to do next, if nothing happens before.
    pub fn next_at(&self) -> Micros {
        let previous_expiry =
            self.owners_with_previous.iter().map(|o| self.owners[usize::from(*o)].previous_until).min();
        if self.superseded.is_some() || self.other_count() == 0 {
            return previous_expiry.unwrap_or(Micros(u64::MAX));
        }
        let change = self.local.dirty.values().min().map(|since| {
            let ready = self.budget.ready_at(self.other_count(), self.min_change_bytes(), self.reserve());
            ready.max(*since + self.config.batch_delay)
        });
        let unicast_ready = || self.budget.ready_at(1, MIN_UNICAST_BYTES, self.reserve());
        let repair = self.repairs.values().map(|repair| repair.due).min().map(|due| due.max(unicast_ready()));
        let answer = (!self.queued_requests.is_empty() || !self.to_notify.is_empty()).then(unicast_ready);
        let direct = self.direct.due().map(|due| due.max(unicast_ready()));
        let all = [Some(self.next_beat_at), previous_expiry, change, repair, answer, direct];
        all.into_iter().flatten().min().unwrap_or(self.next_beat_at)
    }

    /// A last message to all that this member is leaving; none if another run has replaced this one.
    pub fn leave(&mut self, now: Micros) -> Vec<(Recipient, Vec<u8>)> {
        let mut out = vec![];
        if self.superseded.is_none() && self.other_count() > 0 {
            let message = GossipMessage { next: 0, ..self.new_message(now) };
            self.queue(Recipient::All, message, MessageKind::Beat, &mut out);
        }
        out
    }

    fn other_count(&self) -> usize {
        self.members.len() - 1
    }

    fn reserve(&self) -> Reserve {
        let others = self.other_count() as f64;
        Reserve {
            at: self.next_beat_at,
            messages: others,
            bytes: others * self.slow_start.reserved_bytes() as f64,
        }
    }

    fn expire_previous(&mut self, now: Micros) {
        let owners = &mut self.owners;
        let mut expired = 0;
        self.owners_with_previous.retain(|owner| {
            let entries = &mut owners[usize::from(*owner)];
            let len = entries.items.len();
            entries.expire_previous(now);
            expired += len - entries.items.len();
            now < entries.previous_until
        });
        self.stored_entries -= expired;
    }

    fn new_message(&self, now: Micros) -> GossipMessage {
        // A heartbeat is at most a tenth later than its usual interval.
        let next = (self.beat_interval.0 / 90_000).clamp(1, u64::from(u16::MAX)) as u16;
        let (from, incarnation, top) = (self.me, self.incarnation, self.local.entries.top);
        GossipMessage {
            from,
            incarnation,
            at: (now - self.started_at).0 / 1_000,
            next,
            top,
            ..GossipMessage::default()
        }
    }

    fn queue(
        &mut self, to: Recipient, mut message: GossipMessage, kind: MessageKind,
        out: &mut Vec<(Recipient, Vec<u8>)>,
    ) {
        message.top = self.local.entries.top;
        let Some(bytes) = codec::encode(self.config.cluster, &message) else { return };
        let receivers = if to == Recipient::All { self.other_count() } else { 1 };
        self.budget.spend(receivers, bytes.len());
        self.counts.notes += receivers as u64;
        self.counts.bytes += (receivers * bytes.len()) as u64;
        self.counts.sent[kind as usize] += 1;
        self.counts.sent_bytes[kind as usize] += (receivers * bytes.len()) as u64;
        out.push((to, bytes));
    }

    /// Bytes left in this message, less 2 for list lengths that may grow.
    fn remaining_bytes(&self, message: &GossipMessage, room: usize) -> usize {
        room.saturating_sub(HEADER_BYTES + encoded_len(message) + 2)
    }

    fn send_beat(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) {
        let no_reserve = Reserve { at: now, messages: 0.0, bytes: 0.0 };
        let mut message = self.new_message(now);
        let known: Vec<u16> = (0..self.members.len() as u16).filter(|o| self.is_known(*o)).collect();
        let first = if known.is_empty() { 0 } else { self.rng.next_u32() as usize % known.len() };
        // The stride is random too, so that the same members are not always sent together.
        let stride = if known.len() <= MAX_DIGESTS_PER_BEAT { 1 } else { known.len() / MAX_DIGESTS_PER_BEAT };
        let drawn =
            (0..MAX_DIGESTS_PER_BEAT.min(known.len())).map(|i| known[(first + i * stride) % known.len()]);
        let digests: Vec<MemberDigest> = drawn.map(|owner| self.digest(now, owner)).collect();
        let quiet_bytes =
            HEADER_BYTES + encoded_len(&message) + digests.iter().map(encoded_len).sum::<usize>() + 2;
        let min_bytes = self
            .slow_start
            .min_beat_bytes(quiet_bytes, !(self.local.dirty.is_empty() && self.repairs.is_empty()));
        let beats = self.other_count() as f64 / self.beat_interval.secs();
        self.budget.set_byte_rate(self.slow_start.rate(1.5 * beats * MIN_BEAT_BYTES as f64));
        let room = self
            .budget
            .available_bytes(self.other_count(), no_reserve)
            .clamp(min_bytes, self.config.max_datagram_bytes);
        let digest_reserve =
            if self.other_count() > 1 { encoded_len(&self.digest(now, self.me)) + 8 } else { 0 };
        let left = self.remaining_bytes(&message, room).saturating_sub(digest_reserve);
        message.blocks.extend(self.local.next_block(now, self.me, left));
        for digest in digests {
            if encoded_len(&digest) <= self.remaining_bytes(&message, room) {
                message.tops.push(digest);
            }
        }
        self.queue(Recipient::All, message, MessageKind::Beat, out);
        let spread = self.random();
        self.next_beat_at = now + self.beat_interval.scale(0.9 + 0.2 * spread);
    }

    fn is_known(&self, owner: u16) -> bool {
        owner != self.me && self.members[usize::from(owner)].last_alive.is_some()
    }

    fn digest(&self, now: Micros, owner: u16) -> MemberDigest {
        let (member, entries) = (&self.members[usize::from(owner)], &self.owners[usize::from(owner)]);
        let age = (now - member.last_alive.unwrap_or(now)).0 / 100_000;
        // Entries that can't be passed on are not announced: they would be requested.
        let top = if entries.partial { 0 } else { entries.seen };
        let age = age.min(u64::from(u32::MAX)) as u32;
        MemberDigest { owner, incarnation: member.incarnation, top, stamp: member.stamp, age }
    }

    fn min_change_bytes(&self) -> usize {
        (self.local.pending_bytes() + 32).clamp(MIN_BEAT_BYTES, self.config.max_datagram_bytes * 3 / 4)
    }

    fn send_changes(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let Some(since) = self.local.dirty.values().min() else { return false };
        let room = self
            .budget
            .available_bytes(self.other_count(), self.reserve())
            .min(self.config.max_datagram_bytes);
        if now < *since + self.config.batch_delay || room < self.min_change_bytes() {
            return false;
        }
        let mut message = self.new_message(now);
        let left = self.remaining_bytes(&message, room);
        let Some(block) = self.local.next_block(now, self.me, left) else { return false };
        message.blocks.push(block);
        self.queue(Recipient::All, message, MessageKind::Change, out);
        true
    }

    /// Sends one message that repairs losses.
    fn send_repair(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let room = self.budget.available_bytes(1, self.reserve()).min(self.config.max_datagram_bytes);
        room >= MIN_UNICAST_BYTES
            && (self.notify_outdated(now, out)
                || self.send_direct(now, room, out)
                || self.send_request(now, room, out)
                || self.send_answer(now, room, out))
    }

    /// Sends direct updates to one member.
    fn send_direct(&mut self, now: Micros, room: usize, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let members = &self.members;
        let reachable = |to: u16| members[usize::from(to)].status(now) == MemberStatus::Alive;
        let Some(to) = self.direct.next_recipient(now, reachable) else { return false };
        let (mut message, spread) = (self.new_message(now), self.random());
        let room = self.remaining_bytes(&message, room);
        let incarnation = self.members[usize::from(to)].incarnation;
        message.private = self.direct.build_payload(now, to, incarnation, room, spread);
        let has_payload = message.private.is_some();
        if has_payload {
            self.queue(Recipient::One(to), message, MessageKind::Direct, out);
        }
        has_payload
    }

    fn notify_outdated(&mut self, now: Micros, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let Some(member) = self.to_notify.pop_first() else { return false };
        let mut message = self.new_message(now);
        message.tops.push(self.digest(now, member));
        self.queue(Recipient::One(member), message, MessageKind::Answer, out);
        true
    }

    /// Whom to ask: the owner if it is heard directly, alternating with a member that announced something
    /// newer.
    fn request_target(&self, now: Micros, owner: u16, repair: &Repair) -> u16 {
        let heard_directly = self.members[usize::from(owner)].is_direct(now);
        let reachable = |p: &u16| self.members[usize::from(*p)].status(now) == MemberStatus::Alive;
        match repair.source.filter(reachable) {
            Some(source) if !heard_directly || repair.attempts % 2 == 1 => source,
            _ => owner,
        }
    }

    fn send_request(&mut self, now: Micros, room: usize, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        let due = self.repairs.iter().filter(|(_, repair)| repair.due <= now);
        let due: Vec<_> =
            due.map(|(owner, repair)| (*owner, self.request_target(now, *owner, repair))).collect();
        let Some(&(_, to)) = due.first() else { return false };
        let mut message = self.new_message(now);
        for (owner, _) in due.iter().filter(|(_, target)| *target == to) {
            let request: EntryRequest = self.owners[usize::from(*owner)].request(*owner);
            if encoded_len(&request) > self.remaining_bytes(&message, room) {
                break;
            }
            message.asks.push(request);
            let spread = self.random();
            if let Some(repair) = self.repairs.get_mut(owner) {
                repair.due = now + repair.retry_delay.scale(0.75 + 0.5 * spread);
                repair.retry_delay = (repair.retry_delay + repair.retry_delay).min(MAX_RETRY_DELAY);
                repair.attempts += 1;
            }
        }
        self.queue(Recipient::One(to), message, MessageKind::Request, out);
        true
    }

    fn send_answer(&mut self, now: Micros, room: usize, out: &mut Vec<(Recipient, Vec<u8>)>) -> bool {
        // Round-robin over the requesters.
        let after = self.last_answered.saturating_add(1);
        let mut next = self.queued_requests.range((after, 0)..).chain(&self.queued_requests);
        let Some((&(to, _), _)) = next.next() else { return false };
        self.last_answered = to;
        let mut message = self.new_message(now);
        let requests: Vec<_> = self
            .queued_requests
            .range((to, 0)..=(to, u16::MAX))
            .map(|(k, request)| (k.1, *request))
            .collect();
        for (owner, mut request) in requests {
            let is_own = owner == self.me;
            let entries = if is_own { &self.local.entries } else { &self.owners[usize::from(owner)] };
            let seen = entries.seen;
            let left = self.remaining_bytes(&message, room);
            let block = entries.answer(now, &request, left, |k| is_own && self.local.dirty.contains_key(k));
            match block {
                Some(block) if block.to < seen => {
                    match block.swept {
                        0 => request.have = block.to,
                        swept => request.sweep = (block.to, swept),
                    }
                    self.queued_requests.insert((to, owner), request);
                    message.blocks.push(block);
                    break;
                }
                Some(block) => {
                    self.queued_requests.remove(&(to, owner));
                    message.blocks.push(block);
                }
                // If the block doesn't fit beside others, it goes into the next message. If it doesn't fit an
                // empty one, there is nothing to answer.
                None if !message.blocks.is_empty() => break,
                None => {
                    self.queued_requests.remove(&(to, owner));
                }
            }
        }
        if !message.blocks.is_empty() {
            self.queue(Recipient::One(to), message, MessageKind::Answer, out);
        }
        true
    }
}
