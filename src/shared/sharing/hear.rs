//! What others say is taken in, each version of each entry once, with checks.

use super::words::{self, For, Named};
use super::Sharing;
use crate::api::Micros;
use crate::peers::payload::kinds;
use crate::peers::{PeerEntry, Peers};
use crate::shared::counts::{CounterKey, Tally};
use crate::shared::lease::{Demand, Loan, LoanAck};
use crate::shared::{Member, Version};
use serde::de::DeserializeOwned;

/// Versions that are remembered at most; beyond, all are looked at anew, which is harmless and slow.
const SEEN: usize = 65_536;

impl Sharing {
    pub(super) fn hear(&mut self, now: Micros, peers: &Peers) {
        if self.seen.len() > SEEN {
            self.seen.clear();
        }
        for kind in kinds::DEMAND..=kinds::EVIDENCE {
            for said in peers.get(kind) {
                let version = (said.incarnation, said.counter);
                let key = (kind, said.owner, said.id);
                if self.seen.get(&key).is_some_and(|seen| *seen >= version) {
                    continue;
                }
                self.seen.insert(key, version);
                // What a former life said of itself holds no more; the new one says it anew.
                if said.from_previous_run {
                    self.dropped.old += 1;
                } else {
                    self.take_in(now, &said);
                }
            }
        }
    }

    fn take_in(&mut self, now: Micros, said: &PeerEntry) {
        let from = Member(u32::from(said.owner));
        let version = Version { run: said.incarnation, counter: said.counter };
        match said.kind {
            kinds::DEMAND => {
                let Some(demand) = self.read::<Demand>(said) else { return };
                let dest = u16::try_from(said.id).ok().filter(|_| words::is_valid_demand(&demand));
                match dest.and_then(|dest| self.lease(dest)) {
                    Some(lease) => lease.receive_demand(now, from, version, demand),
                    None => self.dropped.foreign += 1,
                }
            }
            kinds::LOAN => {
                let Some((dest, loan)) = self.for_me::<Loan>(said) else { return };
                let taken = self.lease(dest).is_some_and(|l| l.receive_loan(now, from, version, loan));
                self.dropped.old += u64::from(!taken);
            }
            kinds::LOAN_ACK => {
                let Some((dest, ack)) = self.for_me::<LoanAck>(said) else { return };
                self.lease(dest).into_iter().for_each(|l| l.receive_ack(from, ack));
            }
            kinds::COUNTERS => {
                let Some(tally) = self.read::<Tally>(said) else { return };
                let what = words::counted(said.id).filter(|_| words::sound_tally(&tally));
                // A tenant that the settings here don't have is another deployment's.
                let known = |what: &CounterKey| match what {
                    CounterKey::Tenant(t) => self.facts.tenants.iter().any(|(known, _)| known == t),
                    CounterKey::Destination(_) => true,
                };
                let Some(what) = what.filter(known) else {
                    self.dropped.foreign += 1;
                    return;
                };
                let age = now - said.set_at;
                let taken = self.counts.merge(now, from, version, age, what, tally);
                self.dropped.old += u64::from(!taken);
            }
            _ => {
                let Some(Named { name, evidence }) = self.read(said) else { return };
                if said.id != name as u32 {
                    self.dropped.foreign += 1;
                    return;
                }
                let age = now - said.set_at;
                let taken = self.judgements.heard(now, from, version, name, age, evidence);
                self.dropped.old += u64::from(!taken);
            }
        }
    }

    fn read<T: DeserializeOwned>(&mut self, said: &PeerEntry) -> Option<T> {
        let read = words::decode(&said.value);
        self.dropped.malformed += u64::from(read.is_none());
        read
    }

    /// What is for this courier alone; of others' it is no business of this one's.
    fn for_me<T: DeserializeOwned + For>(&mut self, said: &PeerEntry) -> Option<(u16, T)> {
        let word: T = self.read(said)?;
        let Some(dest) = words::unpair(said.id, word.to()) else {
            self.dropped.foreign += 1;
            return None;
        };
        (word.to() == self.me.0).then_some((dest, word))
    }
}
