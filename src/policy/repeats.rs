//! Whether and when a message goes again: retry budget, backoff, and the last moment for it.

use super::*;
use rand_pcg::Pcg64Mcg;

/// A first try deposits this many thousandths of a token: repeats stay near ten per cent (design).
const DEPOSIT: u64 = 100;
const TOKEN: u64 = 1000; // a repeat withdraws a whole one
/// Deposits expire after the paper's ten seconds; a sender's own demand is counted over the same span.
pub(crate) const DEPOSIT_LIFE: Micros = Micros(10_000_000);
/// Repeats a second (design), saved up for as long as a deposit lives.
const RESERVE_PER_S: f64 = 1.0;
/// First bound of the backoff in aims; it doubles from try to try. Danger: half a second, the design's value,
/// goes back to a saturated destination before it has drained, and each such repeat costs a token.
const BACKOFF_AIMS: f64 = 1.0;
const BACKOFF_OF_LEFT: f64 = 0.25; // of the time left, at most (design)
/// A repeat is given so many usual upper latencies within the window, and this share of it at least. Danger:
/// with no latency known yet and a small part of a core, one went out when the key was forgotten.
const REPEAT_WORK: f64 = 2.0;
const REPEAT_OF_WINDOW: f64 = 0.02;
/// A process may be held up between its last look at the clock and the first byte, by 0.15 s; and the call
/// has a way to go. Danger: of a window of two seconds the share above is less than that.
const HELD_UP: Micros = Micros(170_000);
/// An attempt that never began is made again within this time: most often what kept it is over at once.
const NOT_BEGUN_PAUSE: Micros = Micros(100_000);
const LAST_ROUNDS: f64 = 2.0; // rounds before the due time in which nothing is sent

impl RetryBudget {
    pub(super) fn deposit(&mut self, now: Micros) {
        // Danger: where nothing is repeated, nothing else drops what has expired.
        self.deposits.drain(..self.deposits.partition_point(|d| d.0 <= now));
        self.deposits.push_back((now + DEPOSIT_LIFE, DEPOSIT));
    }

    /// A repeat takes its token from the deposits, the oldest first, and what they lack from the reserve.
    /// Danger: a destination with little traffic never saves up a whole token before its deposits expire.
    pub(super) fn withdraw(&mut self, now: Micros, reserve: &mut Reserve) -> bool {
        self.deposits.retain(|d| d.0 > now);
        let due = TOKEN.saturating_sub(self.deposits.iter().map(|d| d.1).sum());
        let most = Reserve::full().tokens;
        if !reserve.withdraw(now, due as f64 / TOKEN as f64, RESERVE_PER_S, most) {
            return false;
        }
        self.pay(TOKEN - due);
        true
    }
}

impl Reserve {
    pub(super) fn full() -> Reserve {
        Reserve { tokens: RESERVE_PER_S * DEPOSIT_LIFE.secs(), at: Micros(0) }
    }
}

/// Full jitter: a random draw under a bound that doubles from try to try, capped by the time left.
fn backoff(rng: &mut Pcg64Mcg, aim: Micros, tries: u32, left: Micros) -> Micros {
    let bound = aim.scale(BACKOFF_AIMS).scale(2f64.powi(tries.saturating_sub(1).min(16) as i32));
    bound.min(left.scale(BACKOFF_OF_LEFT)).scale(uniform(rng))
}

impl Sender {
    /// A repeat that is permitted backs off and then waits in the queue until a token pays for it; one that
    /// is not is answered at once.
    pub(super) fn again(&mut self, now: Micros, id: MessageId, begun: bool, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let last = self.last_send(held);
        if now >= last || held.tries >= self.set.limits.max_attempts.unwrap_or(u32::MAX) {
            return self.give_up(now, id, actions);
        }
        let pause = match begun {
            true => backoff(&mut self.rng, held.aim, held.tries, last - now),
            false => NOT_BEGUN_PAUSE.scale(0.5 + 0.5 * uniform(&mut self.rng)),
        };
        let ready_at = now + pause;
        let Some(held) = self.held.get_mut(&id) else { return };
        held.ready_at = ready_at;
        self.waiting.add(now, held);
    }

    /// The moment from which nothing may be sent for a message any more.
    pub(super) fn last_send(&self, held: &Held) -> Micros {
        let due = held.message.due - self.set.period.scale(LAST_ROUNDS);
        match (held.risk, held.effect) {
            (None, _) | (_, Effect::Safe) => due,
            (Some((sent, at)), Effect::Keyed { window, .. }) => {
                let work = self.endpoints.get(&at).and_then(Endpoint::upper).unwrap_or(0.0) * REPEAT_WORK;
                let least = window.scale(REPEAT_OF_WINDOW).max(self.set.period).max(HELD_UP);
                due.min(sent + window - Micros::from_secs(work).max(least))
            }
            (Some(_), Effect::Unsafe) => Micros(0),
        }
    }
}
