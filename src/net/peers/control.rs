//! What the notes' thread does for the shared state, without its socket: bodies and time go in, bodies come out. It owns the
//! ground and the riders, and publishes what they believe.

use super::published::{Published, View};
use super::riders::Place;
use crate::api::{Micros, PeerId};
use crate::core::Courier;
use crate::peers::payload::GossipPayload;
use crate::peers::{Config, Peers, Recipient};
use std::sync::Arc;

/// A view is published so often at most.
const PUBLISH: Micros = Micros(250_000);
/// It comes round so often at least, so that the age of its last turn says whether it hangs.
const LOOK: Micros = Micros(1_000_000);
/// And not sooner again than after this. Danger: a rider that always wants its turn now would keep a core busy.
const LEAST: Micros = Micros(1_000);
/// A higher incarnation is claimed so often at most. Danger: two processes with one name would outbid each other for ever.
const CLAIM: Micros = Micros(10_000_000);

/// Claims an incarnation above this one, if this process still owns its folder.
pub type Claim = Box<dyn FnMut(Micros, u64) -> Option<u64> + Send>;

/// What the thread needs to share state.
pub struct Shared {
    /// What the operators settled.
    pub config: Config,
    /// Where this courier stands.
    pub place: Place,
    /// What rides on it.
    pub riders: Vec<Box<dyn GossipPayload>>,
    /// For a folder that was put back from an older copy.
    pub claim: Claim,
}

/// The shared state as its thread has it.
pub struct Control {
    courier: Arc<Courier>,
    peers: Peers,
    /// With the moment at which each wants to be called.
    riders: Vec<(Micros, Box<dyn GossipPayload>)>,
    claim: Claim,
    claim_at: Micros,
    delivered: u64,
    published: Arc<Published>,
    publish_at: Micros,
    /// Something was heard since the riders' last turn.
    heard: bool,
    /// Something has happened since the view was published.
    news: bool,
    next: Micros,
}

impl Control {
    /// Begins a life.
    pub fn new(courier: &Arc<Courier>, shared: Shared) -> Control {
        let now = courier.clock.now();
        let Place { me, n, incarnation, seed, .. } = shared.place;
        let control = Control {
            courier: courier.clone(),
            peers: Peers::new(shared.config, now, me, n, incarnation, seed),
            riders: shared.riders.into_iter().map(|rider| (now, rider)).collect(),
            claim: shared.claim,
            claim_at: now,
            delivered: courier.board.delivered(),
            published: Arc::default(),
            publish_at: now,
            heard: false,
            news: true,
            next: now,
        };
        // Danger: the daemon's first reader must not find a fleet without members.
        control.published.publish(control.view(now));
        control.published.turn(now);
        control
    }

    /// Where its view is.
    pub fn published(&self) -> Arc<Published> {
        self.published.clone()
    }

    /// A body came from the address of this neighbour; `false`: it was not believed.
    pub fn heard(&mut self, now: Micros, from: PeerId, body: &[u8]) -> bool {
        let believed = self.peers.receive(now, Some(from.0), body).is_ok();
        self.heard |= believed;
        believed
    }

    /// Does what is due; what is to be sent.
    pub fn turn(&mut self, now: Micros) -> Vec<(Recipient, Vec<u8>)> {
        let delivered = self.courier.board.delivered();
        let more = u32::try_from(delivered - self.delivered).unwrap_or(u32::MAX);
        self.delivered = delivered;
        self.peers.handled(more);
        if let Some(higher) = self.peers.superseded().filter(|_| now >= self.claim_at) {
            self.claim_at = now + CLAIM;
            if let Some(incarnation) = (self.claim)(now, higher) {
                tracing::warn!(target: "peers", incarnation, "the folder is an older copy's: a higher life is claimed");
                self.peers.adopt_incarnation(now, incarnation);
            }
        }
        let heard = std::mem::take(&mut self.heard);
        self.news |= heard;
        for (due, rider) in &mut self.riders {
            if heard || *due <= now {
                *due = rider.tick(now, &mut self.peers).max(now + LEAST);
                self.news = true;
            }
        }
        let out = self.peers.tick(now);
        self.news |= !out.is_empty();
        if now >= self.publish_at {
            self.published.publish(self.view(now));
            (self.publish_at, self.news) = (now + PUBLISH, false);
        }
        self.published.turn(now);
        let due = self.riders.iter().map(|(due, _)| *due).min();
        let publish = self.news.then_some(self.publish_at);
        let superseded = self.peers.superseded().map(|_| self.claim_at);
        let all = [Some(self.peers.next_at()), Some(now + LOOK), due, publish, superseded];
        self.next = all.into_iter().flatten().min().unwrap_or(now + LOOK).max(now + LEAST);
        out
    }

    /// When it wants its next turn, if nothing is heard before.
    pub fn next_at(&self) -> Micros {
        self.next
    }

    /// One last word: this member is leaving, and no other life of it takes over.
    pub fn leave(&mut self, now: Micros) -> Vec<(Recipient, Vec<u8>)> {
        self.peers.leave(now)
    }

    fn view(&self, now: Micros) -> View {
        let riders = self.riders.iter().map(|(_, rider)| rider.figures(now)).collect();
        View { fleet: self.peers.snapshot(now), riders }
    }
}
