//! Which matters ride on the ground, in the order in which they are called.

use crate::api::PeerId;
use crate::ask::{self, gossip::AskGossip, AskConfig};
use crate::core::Courier;
use crate::history::replay_rider::Replaying;
use crate::history::rider::Retention;
use crate::peers::payload::GossipPayload;
use crate::shared::lease::Start;
use crate::shared::sharing::{SharedTopics, Sharing, SharingSettings};
use std::sync::Arc;

/// Where this courier stands in its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its number.
    pub me: u16,
    /// Members in all, this one included.
    pub n: usize,
    /// The number of this life.
    pub incarnation: u64,
    /// For random numbers, another for each member and life.
    pub seed: u64,
    /// What is shared of limits, tenants and endpoints.
    pub matters: SharedTopics,
}

/// Whether questions ride here: their file has this courier at the place that it has among the notes' members. Danger: numbers that
/// differ would credit one courier with what was learnt of another.
pub fn rides(asks: Option<&AskConfig>, name: &str, me: Option<PeerId>) -> bool {
    let (Some(asks), Some(me)) = (asks, me) else { return false };
    let place = asks.index_of(name);
    if place != Some(usize::from(me.0)) {
        let me = me.0;
        tracing::warn!(target: "ask", "learnt times stay here: {name:?} is number {me} of `peers`, and {place:?} of `couriers`");
        return false;
    }
    true
}

/// All riders of this process, made anew with each life. They are called on the notes' thread; what traffic goes by, each
/// publishes for itself. `learnt`: where questions are asked, what lies between them and the ground.
pub fn riders(
    courier: &Arc<Courier>, place: Place, learnt: Option<ask::gossip::SharedState>,
) -> Vec<Box<dyn GossipPayload>> {
    let mut all: Vec<Box<dyn GossipPayload>> = Vec::new();
    if let Some(learnt) = learnt {
        let board = courier.board.clone();
        all.push(Box::new(AskGossip::new(learnt, move || board.read().pending)));
    }
    if courier.with_history(|_, _| ()).is_some() {
        // Danger: in this order. What an order says of lines is read after who was heard is known.
        all.push(Box::new(Retention::new(courier.clone(), place.me)));
        all.push(Box::new(Replaying::new(courier.clone(), place.me)));
    }
    let terms = SharingSettings {
        topics: place.matters,
        ..SharingSettings::exactly(u32::try_from(place.n).unwrap_or(u32::MAX))
    };
    let (now, desk) = (courier.clock.now(), courier.sharing.clone());
    all.push(Box::new(Sharing::new(now, place.me, place.incarnation, terms, Start::Restart, desk)));
    all
}
