//! Traffic budget: one token bucket for messages per second and one for bytes. Traffic outside the regular
//! heartbeat must leave enough for the next heartbeat.
//!
//! **Bound.** In any window W at most `rate · W + cap + one heartbeat` is sent, in messages and in bytes;
//! both buckets start empty.

use crate::api::Micros;

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Bucket {
    rate: f64,
    cap: f64,
    tokens: f64,
}

/// The budget of one process run.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    messages: Bucket,
    bytes: Bucket,
    bytes_per_message: f64,
    at: Micros,
}

/// What the next heartbeat needs, and when; other traffic may not use it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reserve {
    /// When the heartbeat is due.
    pub at: Micros,
    /// Gossip messages, counting each receiver.
    pub messages: f64,
    /// Bytes, over all receivers.
    pub bytes: f64,
}

impl Budget {
    /// Takes the rate per second and the capacity of each bucket, and the bytes that each handled message
    /// adds. Both buckets start empty.
    pub fn new(now: Micros, messages: (f64, f64), bytes: (f64, f64), bytes_per_message: f64) -> Budget {
        let bucket = |(rate, cap): (f64, f64)| Bucket { rate: rate.max(1e-3), cap, tokens: 0.0 };
        Budget {
            messages: bucket(messages),
            bytes: bucket(bytes),
            bytes_per_message: bytes_per_message.max(0.0),
            at: now,
        }
    }

    /// Sets how many bytes per second are added from now on.
    pub fn set_byte_rate(&mut self, bytes: f64) {
        self.bytes.rate = bytes.max(1e-3);
    }

    /// Refills the buckets up to `now`. A time before the last one changes nothing.
    pub fn refill(&mut self, now: Micros) {
        let secs = (now - self.at).secs();
        self.at = self.at.max(now);
        for bucket in [&mut self.messages, &mut self.bytes] {
            bucket.tokens = (bucket.tokens + bucket.rate * secs).min(bucket.cap);
        }
    }

    /// Adds the bytes for messages that the courier has handled.
    pub fn add_handled(&mut self, messages: u32) {
        let more = f64::from(messages) * self.bytes_per_message;
        self.bytes.tokens = (self.bytes.tokens + more).min(self.bytes.cap);
    }

    /// Bytes that can be sent now to each of `receivers` members, without touching the reserve.
    pub fn available_bytes(&self, receivers: usize, reserve: Reserve) -> usize {
        let wait = (reserve.at - self.at).secs();
        let free = |b: &Bucket, need: f64| b.tokens - (need - b.rate * wait).max(0.0);
        let receivers = receivers as f64;
        // A bucket too small for one message to all receivers must not block such messages for ever; its full
        // content is enough.
        let enough_messages = free(&self.messages, reserve.messages)
            >= receivers.min(self.messages.cap - reserve.messages).max(1.0);
        if receivers > 0.0 && enough_messages {
            (free(&self.bytes, reserve.bytes) / receivers).max(0.0) as usize
        } else {
            0
        }
    }

    /// When `bytes` can be sent to each of `receivers` members, at least a millisecond from now.
    pub fn ready_at(&self, receivers: usize, bytes: usize, reserve: Reserve) -> Micros {
        let wait = (reserve.at - self.at).secs();
        let time_until = |b: &Bucket, cost: f64, need: f64| {
            // Until the heartbeat, the inflow is still needed for it; the longer of both times is an upper
            // bound.
            let short = (cost + (need - b.rate * wait).max(0.0)).min(b.cap) - b.tokens;
            (short / b.rate).max(0.001)
        };
        let messages = time_until(&self.messages, receivers as f64, reserve.messages);
        let bytes = time_until(&self.bytes, (receivers * bytes) as f64, reserve.bytes);
        self.at + Micros::from_secs(messages.max(bytes))
    }

    /// Takes `bytes` for each of `receivers` members from the buckets. Heartbeats may bring them below zero.
    pub fn spend(&mut self, receivers: usize, bytes: usize) {
        self.messages.tokens -= receivers as f64;
        self.bytes.tokens -= (receivers * bytes) as f64;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        /// Whatever is requested and when, no window carries more than the rate and the capacity allow.
        fn bound_holds_in_every_window(steps: Vec<(u16, u8, bool)>) -> bool {
            let mut budget = Budget::new(Micros(0), (40.0, 80.0), (4_000.0, 8_000.0), 0.0);
            let (mut now, mut sent) = (Micros(0), vec![]);
            for (wait, to, much) in steps {
                now = now + Micros(u64::from(wait) * 20);
                budget.refill(now);
                let to = 1 + usize::from(to % 60);
                let reserve = Reserve { at: now + Micros(100_000), messages: 10.0, bytes: 500.0 };
                let room = budget.available_bytes(to, reserve).min(if much { 256 } else { 30 });
                if room > 0 {
                    budget.spend(to, room);
                    sent.push((now, to, to * room));
                }
            }
            (0..sent.len()).all(|first| {
                let (mut messages, mut bytes) = (0, 0);
                sent[first..].iter().all(|(at, n, b)| {
                    (messages, bytes) = (messages + n, bytes + b);
                    let secs = (*at - sent[first].0).secs();
                    messages as f64 <= 40.0 * secs + 80.0 && bytes as f64 <= 4_000.0 * secs + 8_000.0
                })
            })
        }
    }

    #[test]
    fn budget_fills_by_rate_and_never_touches_the_reserve() {
        let mut budget = Budget::new(Micros(0), (10.0, 20.0), (1_000.0, 2_000.0), 16.0);
        let none = Reserve { at: Micros(0), messages: 0.0, bytes: 0.0 };
        assert_eq!(budget.available_bytes(2, none), 0);
        let ready = budget.ready_at(2, 250, none);
        assert_eq!(ready, Micros(500_000));
        budget.refill(ready);
        assert_eq!(budget.available_bytes(2, none), 250);
        // Of 500 bytes, 600 are needed in 0.2 s, in which 200 come in.
        let reserve = Reserve { at: Micros(700_000), messages: 2.0, bytes: 600.0 };
        assert_eq!(budget.available_bytes(1, reserve), 100);
        budget.add_handled(10);
        assert_eq!(budget.available_bytes(1, reserve), 260);
        budget.add_handled(1_000_000);
        budget.refill(Micros(3_600_000_000));
        assert_eq!(budget.available_bytes(1, none), 2_000, "no more than the capacity is saved");
        // A time in the past adds and removes nothing.
        budget.spend(1, 2_000);
        budget.refill(Micros(5));
        assert_eq!(budget.available_bytes(1, none), 0);
    }
}
