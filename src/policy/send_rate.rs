//! How fast a route is sent to.

use super::*;

/// Each accepted call raises the rate by at least this many calls a second, unless the rate follows reported
/// headroom.
const RATE_INCREASE_PER_SUCCESS: f64 = 0.1;
/// A second with accepted calls raises the rate by this fraction of the sender's own demand for each second
/// since the last cut, up to `MAX_RECOVERY_TIME`: queues have grown meanwhile. The increase shrinks as the
/// fraction of refused calls grows, to nothing at `NO_RECOVERY_REFUSED_FRACTION`.
const RECOVERY_DEMAND_FRACTION: f64 = 0.5;
const MAX_RECOVERY_TIME: Micros = Micros(4_000_000);
const NO_RECOVERY_REFUSED_FRACTION: f64 = 0.15;
/// Weight of the newest call in the average fraction of refused calls.
const REFUSED_FRACTION_GAIN: f64 = 0.05;
/// Once a limit is known the rate starts at this fraction of it, but not below the sender's even share and
/// not above `MAX_INITIAL_SHARES` even shares: each of a hundred senders would start at half of the limit.
const INITIAL_LIMIT_FRACTION: f64 = 0.5;
const MAX_INITIAL_SHARES: f64 = 5.0;
/// When an endpoint reports the fraction of the limit that is left, the rate changes by this fraction a
/// second for each whole limit by which it differs from `TARGET_HEADROOM`, for `MAX_HEADROOM_SPAN` at most.
const HEADROOM_GAIN_PER_S: f64 = 0.25;
const TARGET_HEADROOM: f64 = 0.4;
const MAX_HEADROOM_SPAN: Micros = Micros(5_000_000);
/// By headroom the rate grows to at most this multiple of the even share or of the sender's own demand,
/// whichever is greater.
const MAX_RATE_FACTOR: f64 = 4.0;
/// With more headroom than the target the rate is at least this fraction of the even share.
const MIN_SHARE_WITH_HEADROOM: f64 = 0.8;
/// Reported limits are noisy: a change up to `LIMIT_CHANGE_THRESHOLD` is averaged with this weight, and a
/// greater one counts in full.
const LIMIT_GAIN: f64 = 0.2;
const LIMIT_CHANGE_THRESHOLD: f64 = 0.25;
/// The lowest rate is this fraction of the even share ...
const MIN_RATE_SHARE: f64 = 0.5;
/// ... or, where that is more, this many calls a second, which sinks with each refusal in a row ...
const MIN_RATE_PER_S: f64 = 0.5;
/// ... but not below this fraction of the sender's own demand.
const MIN_RATE_DEMAND_FRACTION: f64 = 0.1;
/// The delay of the next call is converted at this rate, in calls a second, where a leased share is lower.
const MIN_LEASED_RATE_PER_S: f64 = 0.01;

/// A refused call, as far as the send rate needs it.
pub(super) struct Refusal {
    pub(super) sent_at: Micros,
    /// The rate is multiplied by this.
    pub(super) factor: f64,
    /// When the route may be sent to again.
    pub(super) opens_at: Micros,
    /// Pause after `opens_at`, in gaps between calls at the reduced rate.
    pub(super) pause_gaps: f64,
}

impl SendRate {
    /// Sets the limit of the route, and moves the rate with it. `demand` is the sender's own, in calls a
    /// second.
    ///
    /// A hundred senders that each learnt of a lowered limit by refusals would send more than the limit for
    /// seconds; where refused calls use up the limit, no call would be accepted meanwhile.
    pub(super) fn set_limit(&mut self, limit: f64, senders: u32, demand: f64) {
        let before = self.limit.unwrap_or(limit);
        let changed = (limit / before - 1.0).abs() > LIMIT_CHANGE_THRESHOLD;
        let limit = if changed { limit } else { before + LIMIT_GAIN * (limit - before) };
        self.limit = Some(limit);
        let even_share = limit / f64::from(senders.max(1));
        self.own_share = self.leased_fraction.map_or(even_share, |fraction| fraction * limit);
        let max_start = (self.own_share * MAX_INITIAL_SHARES).max(MIN_RATE_PER_S);
        let start = (limit * INITIAL_LIMIT_FRACTION).min(max_start).max(self.own_share);
        let max = if changed && limit < before { demand.max(self.own_share) } else { f64::MAX };
        let rate = self.calls_per_s.map_or(start, |r| r.min(max) * limit / before);
        self.calls_per_s = Some(rate.min(self.leased_rate().unwrap_or(limit)));
    }

    /// The rate that a lease grants. No more may be used: the leased shares of all senders add up to the
    /// limit, so anything beyond would exceed it.
    fn leased_rate(&self) -> Option<f64> {
        self.leased_fraction.map(|_| self.own_share)
    }

    /// Sets the fraction of the limit that is leased to this sender from now on; `None`: it has the even
    /// share.
    pub(crate) fn set_lease(&mut self, now: Micros, fraction: Option<f64>, senders: u32) {
        let changed = std::mem::replace(&mut self.leased_fraction, fraction) != fraction;
        let (Some(limit), before) = (self.limit.filter(|_| changed), self.own_share) else { return };
        self.own_share = fraction.unwrap_or(1.0 / f64::from(senders.max(1))) * limit;
        let growth = self.own_share / before.max(1e-9);
        let Some(old_rate) = self.calls_per_s else { return };
        let rate = (old_rate * growth).max(self.own_share * MIN_RATE_SHARE).min(self.own_share);
        self.calls_per_s = Some(rate);
        // Leases change several times a second. If the next call kept its time from a greater lease, or if a
        // whole gap were dropped at each change, all senders together would exceed the limit. So the
        // remaining part of the gap is converted to the new rate.
        let remaining = (self.next_call_at - now).secs();
        let delay = remaining * old_rate.max(MIN_LEASED_RATE_PER_S) / rate.max(MIN_LEASED_RATE_PER_S);
        self.next_call_at = self.next_call_at.min(now) + Micros::from_secs(delay);
    }

    /// Adjusts the rate to the reported fraction of the limit that all senders together leave unused.
    fn adjust_to_headroom(&mut self, now: Micros, headroom: f64, demand: f64) {
        let span = (now - self.headroom_reported_at).min(MAX_HEADROOM_SPAN).secs();
        self.headroom_reported_at = now;
        let excess = headroom.clamp(0.0, 1.0) - TARGET_HEADROOM;
        let factor = (HEADROOM_GAIN_PER_S * excess * span).exp();
        // Leased shares are meant to fill the limit, so little headroom is no reason to go below them.
        let factor = if self.leased_fraction.is_some() { factor.max(1.0) } else { factor };
        let leased = self.leased_rate().unwrap_or(f64::MAX);
        let max = (self.own_share.max(demand) * MAX_RATE_FACTOR).min(leased);
        // Even shares add up to the limit, so all senders may go up to theirs while the limit is free.
        let min = if factor > 1.0 { self.own_share * MIN_SHARE_WITH_HEADROOM } else { 0.0 };
        self.calls_per_s = self.calls_per_s.map(|r| (r * factor).min(max).max(min));
    }

    /// The time from which a call may be sent. Where each of many senders has one call in several seconds, a
    /// message could miss its aim while it waits for the next one. So a message may go ahead of its turn, by
    /// one gap at most, if the last call was accepted.
    pub(super) fn opens_at(&self, now: Micros, aim_at: Micros) -> Micros {
        let hurries = self.consecutive_refusals == 0 && aim_at > now && aim_at < self.next_call_at;
        let ahead = self.calls_per_s.filter(|_| hurries);
        self.next_call_at - ahead.map_or(Micros(0), |r| Micros::from_secs(1.0 / r))
    }

    /// Counts a call whose gap begins at `from`, or now if that is later. Probes do not wait for their turn
    /// and pass `now`: if each were counted behind the last one, they would delay calls for a long time.
    pub(super) fn record_call(&mut self, now: Micros, from: Micros) {
        push_recent(&mut self.recent_calls, now, SECOND);
        self.calls_sent += 1;
        if let Some(rate) = self.calls_per_s {
            self.next_call_at = self.next_call_at.max(from.max(now) + Micros::from_secs(1.0 / rate));
        }
    }

    /// Reduces the rate after a refusal. The cut starts from the calls really sent in the last second.
    /// Refusals of calls sent before the last cut belong to the same congestion and cut no further.
    ///
    /// Where refused calls use up the limit, a destination that is sent more than its limit would accept
    /// nothing at all for good. So the lowest rate sinks with each refusal in a row, and where calls after
    /// refusals are seldom accepted (a low factor) the cuts are deep.
    pub(super) fn record_refusal(&mut self, now: Micros, refusal: Refusal, demand: f64) {
        self.refused_fraction += REFUSED_FRACTION_GAIN * (1.0 - self.refused_fraction);
        self.calls_refused += 1;
        if self.calls_per_s.is_some() && refusal.sent_at < self.last_cut_at {
            return;
        }
        let sent_last_second = self.recent_calls.len().max(1) as f64;
        let before = self.calls_per_s.map_or(sent_last_second, |r| r.min(sent_last_second));
        self.consecutive_refusals += 1;
        let sinking = MIN_RATE_PER_S * refusal.factor.powi(self.consecutive_refusals);
        let by_demand = (demand * MIN_RATE_DEMAND_FRACTION).min(MIN_RATE_PER_S);
        let min = sinking.max(by_demand).max(self.own_share * MIN_RATE_SHARE);
        let rate = (before * refusal.factor).max(min);
        self.calls_per_s = Some(rate);
        self.last_cut_at = now;
        let pause = Micros::from_secs(refusal.pause_gaps / rate);
        self.next_call_at = self.next_call_at.max(refusal.opens_at + pause);
    }

    /// Raises the rate after an accepted call; `last` is when the one before was accepted. A rate that sank
    /// by refusals in a row returns to the sender's own demand, or to the lowest rate without refusals if
    /// that is less.
    pub(super) fn record_accepted(&mut self, now: Micros, last: Micros, demand: f64) {
        self.consecutive_refusals = 0;
        self.refused_fraction *= 1.0 - REFUSED_FRACTION_GAIN;
        let since_cut = (now - self.last_cut_at).min(MAX_RECOVERY_TIME);
        let span = (now - last.max(self.last_cut_at)).min(SECOND);
        let scale = (1.0 - self.refused_fraction / NO_RECOVERY_REFUSED_FRACTION).max(0.0);
        let recovery = demand * RECOVERY_DEMAND_FRACTION * since_cut.secs() * span.secs() * scale;
        let min = if self.own_share > 0.0 { self.own_share * MIN_RATE_SHARE } else { MIN_RATE_PER_S };
        let follows_headroom = self.headroom_reported_at > Micros(0) && self.leased_fraction.is_none();
        let increase = if follows_headroom { 0.0 } else { recovery.max(RATE_INCREASE_PER_SUCCESS) };
        let max = self.leased_rate().or(self.limit).unwrap_or(f64::MAX);
        self.calls_per_s = self.calls_per_s.map(|r| (r.max(demand.min(min)) + increase).min(max));
    }
}

impl Sender {
    /// Applies an endpoint's load report. A reported limit replaces a listed one.
    pub(super) fn apply_load_report(&mut self, now: Micros, endpoint: EndpointId, report: &[f32]) {
        let value = |place: Option<usize>| place.and_then(|i| report.get(i)).filter(|x| x.is_finite());
        let Some(e) = self.endpoints.get(&endpoint) else { return };
        let Some(limit) = value(self.settings.report_limit).filter(|limit| **limit > 0.0) else { return };
        let demand = demand_rate(&self.destinations, now, e.route.0, DEMAND_WINDOW);
        let rate = &mut self.routes.entry(e.route).or_default().send_rate;
        rate.set_limit(f64::from(*limit), self.settings.senders, demand);
        if let Some(headroom) = value(self.settings.report_left) {
            rate.adjust_to_headroom(now, f64::from(*headroom), demand);
        }
    }
}
