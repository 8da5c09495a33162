//! The gossip payload for leases, counts and the health of endpoints: it publishes what this courier knows and computes the
//! fleet view from what peers published. No I/O and no clock; facts and the view pass to and from the core by an
//! [`Exchange`]. `docs/design/shared.md` gives the reasons for this division.

mod entries;
mod exchange;
mod facts;
mod publish;
mod receive;
mod settings;
mod view;

use entries::Addressed;
pub use entries::Dropped;
pub use exchange::Exchange;
pub use facts::{numeric_name, DestinationFacts, EndpointFacts, Facts};
use serde::Serialize;
pub use settings::{SharedTopics, SharingSettings};
pub use view::{EndpointView, FleetView, TenantView};

use crate::api::Micros;
use crate::peers::payload::{kinds, GossipPayload};
use crate::peers::Peers;
use crate::shared::counts::{self, CounterKey, Counts};
use crate::shared::health::{self, Evidence, Observation, Override, SharedHealth};
use crate::shared::lease::{Lease, LeaseMessage, Start, LIMIT_UNITS};
use crate::shared::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of destinations whose limit is shared; their loans take most of the entries.
pub const MAX_SHARED_LIMITS: usize = 8;
/// Maximum number of tenants whose traffic is published.
pub const MAX_TENANTS: usize = 12;
/// Maximum number of endpoints whose evidence is published.
pub const MAX_EVIDENCE: usize = 8;
/// Maximum number of destinations for which a lease is kept; the limits of others are not shared.
const MAX_LEASES: usize = 256;
/// Interval between two ticks if no message arrives.
const TICK_INTERVAL: Micros = Micros(100_000);
/// Minimum time between two ticks.
const MIN_TICK_INTERVAL: Micros = Micros(20_000);
/// A tenant's rate over the whole fleet, in messages per second, from which couriers publish its counters.
const MIN_FLEET_RATE_PER_S: f64 = 0.01;
/// Weight of each new message in the moving average of the share of messages within their quotas.
const WITHIN_QUOTA_GAIN: f64 = 0.02;
/// Weight of messages beyond their tenants' quotas, relative to those within.
const OVER_QUOTA_WEIGHT: f64 = 0.1;
/// Weight of a demand for the whole limit.
const FULL_LIMIT_WEIGHT: f64 = 200.0;

/// The gossip payload.
pub struct Sharing {
    exchange: Arc<Exchange>,
    settings: SharingSettings,
    start: Start,
    me: Member,
    run: u64,
    /// When the core of this run made its first decision; before that, a previous run may still serve and lend.
    started_at: Option<Micros>,
    last_tick_at: Option<Micros>,
    /// No lease is ever dropped within a run: a new one would not know what the old one has lent.
    leases: BTreeMap<u16, Lease>,
    counts: Counts,
    health: SharedHealth,
    facts: Arc<Facts>,
    /// The newest processed version of each entry, by kind, owner and number.
    processed: BTreeMap<(u8, u16, u32), (u64, u64)>,
    /// The counters of the facts last taken in, and the endpoints' facts last taken in.
    last_counters: BTreeMap<CounterKey, (u64, u64)>,
    last_endpoint_facts: BTreeMap<u64, EndpointFacts>,
    /// When a call of this courier was last refused, by destination.
    last_refused_at: BTreeMap<u16, Micros>,
    /// Destinations for which a demand is published.
    published_demands: BTreeSet<u16>,
    /// When a tenant last requested something here.
    last_request_at: Option<Micros>,
    /// By destination: the messages handed in, those of them within their shares, and the recent fraction of the latter.
    within_quota: BTreeMap<u16, ((u64, u64), f64)>,
    /// Own entries, and when they are removed if they are not published again.
    published: BTreeMap<(u8, u32), Micros>,
    dropped: Dropped,
}

impl Sharing {
    /// For a run that begins now, with the member number and the incarnation that the gossip layer uses.
    pub fn new(
        now: Micros, me: u16, run: u64, settings: SharingSettings, start: Start, exchange: Arc<Exchange>,
    ) -> Sharing {
        let me = Member(u32::from(me));
        exchange.open();
        Sharing {
            exchange,
            start,
            me,
            run,
            started_at: None,
            last_tick_at: None,
            leases: BTreeMap::new(),
            counts: Counts::new(me, now, settings.counts.clone()),
            health: SharedHealth::new(me, settings.health.clone()),
            facts: Arc::new(Facts::default()),
            processed: BTreeMap::new(),
            last_counters: BTreeMap::new(),
            last_endpoint_facts: BTreeMap::new(),
            last_refused_at: BTreeMap::new(),
            published_demands: BTreeSet::new(),
            last_request_at: None,
            within_quota: BTreeMap::new(),
            published: BTreeMap::new(),
            dropped: Dropped::default(),
            settings,
        }
    }

    /// Entries that were not accepted.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    fn set_entry(&mut self, now: Micros, peers: &mut Peers, key: (u8, u32), value: &[u8], validity: Micros) {
        if value.is_empty() || !peers.set(now, key.0, key.1, value) {
            self.dropped.no_room += 1;
            return;
        }
        self.published.insert(key, now + validity);
    }

    /// Sends a message to a single courier, for as long as it can be in force.
    fn send_to_peer<T: Addressed + Serialize>(
        &mut self, now: Micros, peers: &mut Peers, kind: u8, dest: u16, message: &T,
    ) {
        let (id, until) = (entries::loan_entry_id(dest, message.to()), now + self.settings.lease.loan_term);
        let sent = peers.send_to(now, message.to() as u16, kind, id, &entries::encode(message), until);
        self.dropped.no_room += u64::from(!sent);
    }

    /// Takes in the core's newest facts.
    fn read_facts(&mut self, now: Micros) {
        let facts = self.exchange.facts();
        self.apply_exclusions(&facts.excluded);
        let tenants = facts.tenants.iter().map(|(t, requested)| (CounterKey::Tenant(*t), (*requested, 0)));
        let calls = facts
            .destinations
            .iter()
            .map(|d| (CounterKey::Destination(d.dest), (d.calls_sent, d.calls_refused)));
        for (key, (requested, refused)) in tenants.chain(calls) {
            if self.last_counters.len() >= counts::MAX_COUNTERS && !self.last_counters.contains_key(&key) {
                continue;
            }
            let before = self.last_counters.insert(key, (requested, refused)).unwrap_or_default();
            let added = (requested.saturating_sub(before.0), refused.saturating_sub(before.1));
            match key {
                CounterKey::Tenant(_) if added.0 > 0 => self.last_request_at = Some(now),
                CounterKey::Destination(dest) if added.1 > 0 => {
                    self.last_refused_at.insert(dest, now);
                }
                _ => {}
            }
            self.counts.count(key, added.0, added.1);
        }
        for d in &facts.destinations {
            let (before, share) = self.within_quota.entry(d.dest).or_insert((d.handed_in, 1.0));
            let (handed_in, within) =
                (d.handed_in.0.saturating_sub(before.0), d.handed_in.1.saturating_sub(before.1));
            if handed_in > 0 {
                *share += (WITHIN_QUOTA_GAIN * handed_in as f64).min(1.0)
                    * (within as f64 / handed_in as f64 - *share);
            }
            *before = d.handed_in;
        }
        for endpoint in &facts.endpoints {
            let before = self.last_endpoint_facts.get(&endpoint.name);
            let Some(observation) = endpoint.observation.filter(|_| {
                before.is_none_or(|b| {
                    (b.observation, b.observed_at) != (endpoint.observation, endpoint.observed_at)
                })
            }) else {
                self.record_probe(now, endpoint);
                continue;
            };
            if self.last_endpoint_facts.len() >= health::MAX_ENDPOINTS && before.is_none() {
                continue;
            }
            // The beginning of a probe is known only by its time; it is recorded before the probe's end.
            self.record_probe(now, endpoint);
            self.health.observe(endpoint.observed_at.min(now), endpoint.name, observation, endpoint.retry_at);
            self.last_endpoint_facts.insert(endpoint.name, *endpoint);
        }
        self.facts = facts;
    }

    /// Applies operators' exclusions, which outrank all observations; ending one discards what was observed here before.
    fn apply_exclusions(&mut self, excluded: &Arc<[u64]>) {
        if Arc::ptr_eq(excluded, &self.facts.excluded) {
            return;
        }
        let (before, now): (BTreeSet<u64>, BTreeSet<u64>) =
            (self.facts.excluded.iter().copied().collect(), excluded.iter().copied().collect());
        before.difference(&now).for_each(|name| self.health.set_override(*name, None));
        now.iter().for_each(|name| self.health.set_override(*name, Some(Override::Exclude)));
    }

    fn record_probe(&mut self, now: Micros, endpoint: &EndpointFacts) {
        if let Some(last) =
            self.last_endpoint_facts.get_mut(&endpoint.name).filter(|f| f.probed_at < endpoint.probed_at)
        {
            last.probed_at = endpoint.probed_at;
            self.health.begin_probe(endpoint.probed_at.min(now), endpoint.name);
        }
    }

    /// Updates the leases of the destinations with the highest demand; all others have their safe share.
    fn update_leases(&mut self, now: Micros, peers: &mut Peers) {
        let mut by_demand: Vec<(f64, u16, f64)> = self
            .facts
            .destinations
            .iter()
            .filter(|d| d.demand > 0.0)
            .filter_map(|d| Some((d.demand, d.dest, d.limit.filter(|l| *l > 0.0)?)))
            .collect();
        by_demand.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let top: BTreeMap<u16, u32> = by_demand
            .iter()
            .take(MAX_SHARED_LIMITS)
            .map(|(demand, dest, limit)| (*dest, (demand / limit * f64::from(LIMIT_UNITS)) as u32))
            .collect();
        for dest in top.keys() {
            self.lease(*dest);
        }
        let mut out = Vec::new();
        for (dest, lease) in &mut self.leases {
            // With equal weights, the courier with the highest demand would be cut down to the demand of the others. Shares
            // are not per courier: each message counts alike, except those beyond their tenants' quotas.
            let units = top.get(dest).copied().unwrap_or(0);
            let within = self.within_quota.get(dest).map_or(1.0, |(_, share)| *share).max(OVER_QUOTA_WEIGHT);
            let weight = f64::from(units) * within * FULL_LIMIT_WEIGHT / f64::from(LIMIT_UNITS);
            lease.set_demand(units, weight.clamp(1.0, FULL_LIMIT_WEIGHT) as u8);
            let mut messages = Vec::new();
            lease.tick(now, &mut messages);
            out.extend(messages.into_iter().map(|message| (*dest, message)));
        }
        let loan_term = self.settings.lease.loan_term;
        for (dest, message) in out {
            match message {
                // A demand of zero is not published, since it would cost an entry and gossip traffic to all peers; only the
                // change to zero is published once.
                LeaseMessage::Demand(demand)
                    if top.contains_key(&dest) || self.published_demands.contains(&dest) =>
                {
                    if demand.units > 0 {
                        self.published_demands.insert(dest);
                    } else {
                        self.published_demands.remove(&dest);
                    }
                    let key = (kinds::DEMAND, u32::from(dest));
                    self.set_entry(now, peers, key, &entries::encode(&demand), loan_term.scale(3.0));
                }
                LeaseMessage::Demand(_) => {}
                // Sent to one peer: no other can use them, and sent to all they would cost as many messages as there are members.
                LeaseMessage::Loan(loan) => self.send_to_peer(now, peers, kinds::LOAN, dest, &loan),
                LeaseMessage::Ack(ack) => self.send_to_peer(now, peers, kinds::LOAN_ACK, dest, &ack),
            }
        }
    }

    fn lease(&mut self, dest: u16) -> Option<&mut Lease> {
        if self.leases.len() >= MAX_LEASES && !self.leases.contains_key(&dest) {
            return None;
        }
        let (me, run, started_at) = (self.me, self.run, self.started_at?);
        let (settings, start) = (&self.settings.lease, self.start);
        // A lease counts from the start of the run, whatever the time of its creation: its stamps refer to that start, and the
        // loans of a previous run expire from there.
        Some(
            self.leases
                .entry(dest)
                .or_insert_with(|| Lease::new(me, run, started_at, settings.clone(), start)),
        )
    }

    fn publish_counts(&mut self, now: Micros, peers: &mut Peers) {
        // A fleet without traffic publishes no counters; if any courier has traffic, each publishes as a sign of life.
        let own =
            self.last_request_at.is_some_and(|at| now < at + self.settings.counts.rate_window.scale(2.0));
        let fleet = |(t, _): &(u16, u64)| {
            self.counts.rate(now, CounterKey::Tenant(*t)).0.value > MIN_FLEET_RATE_PER_S
        };
        if !own && !self.facts.tenants.iter().any(fleet) {
            return;
        }
        let mut out = Vec::new();
        self.counts.tick(now, &mut out);
        let mut by_requests: Vec<(u64, u16)> =
            self.facts.tenants.iter().map(|(t, requested)| (*requested, *t)).collect();
        by_requests.sort_unstable_by(|a, b| b.cmp(a));
        let top: BTreeSet<u16> = by_requests.into_iter().take(MAX_TENANTS).map(|(_, t)| t).collect();
        let validity = self.settings.counts.publish_interval.scale(20.0);
        for (counter, tally) in out {
            if matches!(counter, CounterKey::Tenant(t) if top.contains(&t)) {
                let key = (kinds::COUNTERS, entries::counter_id(counter));
                self.set_entry(now, peers, key, &entries::encode(&tally), validity);
            }
        }
    }

    fn publish_evidence(&mut self, now: Micros, peers: &mut Peers) {
        let mut out: Vec<(u64, Evidence)> = Vec::new();
        self.health.tick(now, &mut out);
        let rank = |observation: Observation| match observation {
            Observation::Out => 0,
            Observation::Shut(_) => 1,
            Observation::Cold => 2,
            Observation::Slow => 3,
            Observation::Served => 4,
        };
        // A good observation is published only if a peer reports a fault; publishing all of them would cost a gossip message
        // every second.
        out.retain(|(name, e)| rank(e.observation) < 4 || self.health.disputed(now, *name));
        out.sort_by_key(|(name, e)| (rank(e.observation), *name));
        let validity = self.settings.health.validity;
        for (name, evidence) in out.into_iter().take(MAX_EVIDENCE) {
            let key = (kinds::EVIDENCE, name as u32);
            self.set_entry(
                now,
                peers,
                key,
                &entries::encode(&entries::NamedEvidence { name, evidence }),
                validity,
            );
        }
    }
}

impl GossipPayload for Sharing {
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros {
        if peers.incarnation() != self.run {
            // To its peers, this process under another incarnation is a new run; their loans refer to the old one.
            let start = Start::Restart;
            // If the core was handed over to another process, the exchange stays closed.
            let (open, (me, _)) = (self.exchange.is_open(), peers.position());
            *self = Sharing::new(
                now,
                me,
                peers.incarnation(),
                self.settings.clone(),
                start,
                self.exchange.clone(),
            );
            if !open {
                self.exchange.close();
            }
        }
        // A burst of gossip messages causes one tick; until then, their content waits in the entries.
        if let Some(next) = self.last_tick_at.map(|at| at + MIN_TICK_INTERVAL).filter(|next| now < *next) {
            return next;
        }
        self.last_tick_at = Some(now);
        self.read_facts(now);
        // A run that has handed over its core, or has not received one yet, must lend nothing.
        if !self.exchange.is_open() || self.facts.at == Micros(0) {
            return now + TICK_INTERVAL;
        }
        self.started_at = self.started_at.or(Some(now));
        self.receive(now, peers);
        let SharedTopics { limits, tenants, endpoints } = self.settings.topics;
        if limits {
            self.update_leases(now, peers);
        }
        if tenants {
            self.publish_counts(now, peers);
        }
        if endpoints {
            self.publish_evidence(now, peers);
        }
        let expired: Vec<(u8, u32)> =
            self.published.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key).collect();
        for key in expired {
            self.published.remove(&key);
            peers.remove(now, key.0, key.1);
        }
        // Lent units must be out of use here before the loans are sent, which happens after this tick.
        self.publish_view(now, peers);
        now + TICK_INTERVAL
    }

    fn figures(&self, now: Micros) -> serde_json::Value {
        self.operator_figures(now)
    }
}
