//! Whether and when a message is sent again: retry budget, backoff, and the latest time for it.

use super::*;
use rand_pcg::Pcg64Mcg;

/// A first attempt deposits this many thousandths of a token, which keeps repeats near ten per cent.
const DEPOSIT_MILLITOKENS: u64 = 100;
/// A repeat withdraws one token, in thousandths.
const TOKEN_MILLITOKENS: u64 = 1000;
/// Deposits expire after this time, as in the paper on retry budgets that this follows.
const DEPOSIT_LIFETIME: Micros = Micros(10_000_000);
/// A sender's own demand is counted over this span, the same as the lifetime of deposits.
pub(crate) const DEMAND_WINDOW: Micros = DEPOSIT_LIFETIME;
/// Repeats a second that the reserve allows; they are saved up over the lifetime of a deposit.
const RESERVE_TOKENS_PER_S: f64 = 1.0;
/// First bound of the backoff, in aims of the message; the bound doubles with each attempt. A bound of half a
/// second would send messages back to a saturated destination before its queue has drained, and each such
/// repeat costs a token.
const FIRST_BACKOFF_AIMS: f64 = 1.0;
/// The backoff of a message that reports another's end is at most this long: its client waits for it.
const MAX_REPORT_BACKOFF: Micros = Micros(15_000_000);
/// The backoff is at most this fraction of the time left.
const MAX_BACKOFF_FRACTION_OF_TIME_LEFT: f64 = 0.25;
/// A repeat must leave time for this many upper latencies within the window of its key ...
const REPEAT_UPPER_LATENCIES: f64 = 2.0;
/// ... and at least this fraction of the window. With no latency known yet and little processor time, a
/// repeat was sent when the partner had already forgotten the key.
const MIN_REPEAT_FRACTION_OF_WINDOW: f64 = 0.02;
/// ... and at least this time. A process may be held up by 0.15 s between its last look at the clock and the
/// first byte, and the call takes time to arrive. Of a window of two seconds the fraction above is less.
const MAX_SEND_DELAY: Micros = Micros(170_000);
/// An attempt that never began is repeated within this time: mostly its cause is over at once.
const MAX_NOT_BEGUN_PAUSE: Micros = Micros(100_000);
/// No attempt is made within this many rounds before the due time.
const FINAL_ROUNDS_WITHOUT_SEND: f64 = 2.0;

impl RetryBudget {
    /// Adds the deposit of a first attempt.
    pub(super) fn deposit(&mut self, now: Micros) {
        // Where nothing is repeated, no withdrawal drops expired deposits, and the list would grow for ever.
        self.deposits.drain(..self.deposits.partition_point(|d| d.0 <= now));
        self.deposits.push_back((now + DEPOSIT_LIFETIME, DEPOSIT_MILLITOKENS));
    }

    /// Takes a token for a repeat from the deposits, the oldest first, and what they lack from the reserve.
    /// Without the reserve a destination with little traffic could never repeat: its deposits expire before
    /// they add up to a token.
    pub(super) fn withdraw(&mut self, now: Micros, reserve: &mut RetryReserve) -> bool {
        self.deposits.retain(|d| d.0 > now);
        let missing = TOKEN_MILLITOKENS.saturating_sub(self.deposits.iter().map(|d| d.1).sum());
        let max = RetryReserve::full().tokens;
        let missing_tokens = missing as f64 / TOKEN_MILLITOKENS as f64;
        if !reserve.withdraw(now, missing_tokens, RESERVE_TOKENS_PER_S, max) {
            return false;
        }
        self.consume(TOKEN_MILLITOKENS - missing);
        true
    }
}

impl RetryReserve {
    /// A full reserve.
    pub(super) fn full() -> RetryReserve {
        let tokens = RESERVE_TOKENS_PER_S * DEPOSIT_LIFETIME.secs();
        RetryReserve { tokens, updated_at: Micros(0) }
    }
}

/// Backoff with full jitter: a random time under a bound that doubles with each attempt and is capped by a
/// fraction of the time left.
fn backoff(rng: &mut Pcg64Mcg, held: &HeldMessage, left: Micros) -> Micros {
    let max = if held.is_report() { MAX_REPORT_BACKOFF } else { left };
    let doublings = held.attempts.saturating_sub(1).min(16) as i32;
    let bound = held.aim.scale(FIRST_BACKOFF_AIMS).scale(2f64.powi(doublings));
    bound.min(max).min(left.scale(MAX_BACKOFF_FRACTION_OF_TIME_LEFT)).scale(uniform(rng))
}

impl Sender {
    /// Schedules a repeat where one is permitted: the message backs off and then waits in the queue until the
    /// retry budget pays for it. Otherwise the message gets its final answer at once.
    pub(super) fn schedule_retry(
        &mut self, now: Micros, id: MessageId, begun: bool, actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.messages.get(&id) else { return };
        let latest = self.latest_send_time(held);
        let attempts_used = held.attempts >= self.settings.limits.max_attempts.unwrap_or(u32::MAX);
        if now >= latest || attempts_used && !held.is_report() {
            return self.finish_undelivered(now, id, actions);
        }
        let pause = match begun {
            true => backoff(&mut self.rng, held, latest - now),
            false => MAX_NOT_BEGUN_PAUSE.scale(0.5 + 0.5 * uniform(&mut self.rng)),
        };
        let ready_at = now + pause;
        let Some(held) = self.messages.get_mut(&id) else { return };
        held.ready_at = ready_at;
        self.send_queue.add(now, held);
    }

    /// The time from which no attempt may be sent for a message any more.
    pub(super) fn latest_send_time(&self, held: &HeldMessage) -> Micros {
        let due = held.message.due - self.settings.period.scale(FINAL_ROUNDS_WITHOUT_SEND);
        match (held.may_have_run, held.effect) {
            (None, _) | (_, Effect::Safe) => due,
            (Some(SentAttempt { sent_at, endpoint, .. }), Effect::Keyed { window, .. }) => {
                let upper = self.endpoints.get(&endpoint).and_then(Endpoint::upper_latency).unwrap_or(0.0);
                let work = Micros::from_secs(upper * REPEAT_UPPER_LATENCIES);
                let fraction = window.scale(MIN_REPEAT_FRACTION_OF_WINDOW);
                let min = fraction.max(self.settings.period).max(MAX_SEND_DELAY);
                due.min(sent_at + window - work.max(min))
            }
            (Some(_), Effect::Unsafe) => Micros(0),
        }
    }
}
