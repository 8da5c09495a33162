//! Takes in the entries of peers after checking them, each version of each entry once.

use super::entries::{self, Addressed, NamedEvidence};
use super::Sharing;
use crate::api::Micros;
use crate::peers::payload::kinds;
use crate::peers::{PeerEntry, Peers};
use crate::shared::counts::{CounterKey, Tally};
use crate::shared::lease::{Demand, Loan, LoanAck};
use crate::shared::{Member, Version};
use serde::de::DeserializeOwned;

/// Maximum number of entries whose last version is remembered. Above it, all are processed again, which is harmless but slow.
const MAX_PROCESSED: usize = 65_536;

impl Sharing {
    pub(super) fn receive(&mut self, now: Micros, peers: &Peers) {
        if self.processed.len() > MAX_PROCESSED {
            self.processed.clear();
        }
        for kind in kinds::DEMAND..=kinds::EVIDENCE {
            for entry in peers.get(kind) {
                let version = (entry.incarnation, entry.counter);
                let key = (kind, entry.owner, entry.id);
                if self.processed.get(&key).is_some_and(|processed| *processed >= version) {
                    continue;
                }
                self.processed.insert(key, version);
                // What a previous run published is no longer valid; the new run publishes it anew.
                if entry.from_previous_run {
                    self.dropped.old += 1;
                } else {
                    self.receive_entry(now, &entry);
                }
            }
        }
    }

    fn receive_entry(&mut self, now: Micros, entry: &PeerEntry) {
        let from = Member(u32::from(entry.owner));
        let version = Version { run: entry.incarnation, counter: entry.counter };
        match entry.kind {
            kinds::DEMAND => {
                let Some(demand) = self.decode::<Demand>(entry) else { return };
                let dest = u16::try_from(entry.id).ok().filter(|_| entries::is_valid_demand(&demand));
                match dest.and_then(|dest| self.lease(dest)) {
                    Some(lease) => lease.receive_demand(now, from, version, demand),
                    None => self.dropped.foreign += 1,
                }
            }
            kinds::LOAN => {
                let Some((dest, loan)) = self.decode_addressed::<Loan>(entry) else { return };
                let accepted = self.lease(dest).is_some_and(|l| l.receive_loan(now, from, version, loan));
                self.dropped.old += u64::from(!accepted);
            }
            kinds::LOAN_ACK => {
                let Some((dest, ack)) = self.decode_addressed::<LoanAck>(entry) else { return };
                self.lease(dest).into_iter().for_each(|l| l.receive_ack(from, ack));
            }
            kinds::COUNTERS => {
                let Some(tally) = self.decode::<Tally>(entry) else { return };
                let key = entries::counter_key(entry.id).filter(|_| entries::is_valid_tally(&tally));
                // A tenant that is not in the settings here belongs to another deployment.
                let known = |key: &CounterKey| match key {
                    CounterKey::Tenant(t) => self.facts.tenants.iter().any(|(known, _)| known == t),
                    CounterKey::Destination(_) => true,
                };
                let Some(key) = key.filter(known) else {
                    self.dropped.foreign += 1;
                    return;
                };
                let age = now - entry.set_at;
                let accepted = self.counts.merge(now, from, version, age, key, tally);
                self.dropped.old += u64::from(!accepted);
            }
            _ => {
                let Some(NamedEvidence { name, evidence }) = self.decode(entry) else { return };
                if entry.id != name as u32 {
                    self.dropped.foreign += 1;
                    return;
                }
                let age = now - entry.set_at;
                let accepted = self.health.receive(now, from, version, name, age, evidence);
                self.dropped.old += u64::from(!accepted);
            }
        }
    }

    fn decode<T: DeserializeOwned>(&mut self, entry: &PeerEntry) -> Option<T> {
        let decoded = entries::decode(&entry.value);
        self.dropped.malformed += u64::from(decoded.is_none());
        decoded
    }

    /// Decodes a message for a single courier; `None` if it is for another one.
    fn decode_addressed<T: DeserializeOwned + Addressed>(&mut self, entry: &PeerEntry) -> Option<(u16, T)> {
        let message: T = self.decode(entry)?;
        let Some(dest) = entries::loan_destination(entry.id, message.to()) else {
            self.dropped.foreign += 1;
            return None;
        };
        (message.to() == self.me.0).then_some((dest, message))
    }
}
