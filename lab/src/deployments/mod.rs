//! Any deployment that the pages allow: a settings document, drawn by whoever calls, and the courier's real core under it in a
//! small world in virtual time. [`play`] says what the core did that its settings do not permit. One thread, no sockets; the
//! same document and world give the same play.

mod listing;
mod play;
mod seen;

use rand::Rng;
use serde_json::Value;

/// The world round one courier.
#[derive(Debug, Clone)]
pub struct World {
    /// For all chance.
    pub seed: u64,
    /// Endpoints of each destination.
    pub endpoints: Vec<usize>,
    /// Messages a second, of all classes and tenants alike.
    pub rate: f64,
    /// How long clients come.
    pub seconds: f64,
    /// How long an endpoint works on a call, in seconds, from and to.
    pub service: (f64, f64),
    /// Share of calls, lists and clients that go wrong in some way.
    pub trouble: f64,
    /// What each destination's line says of its limit.
    pub weight: f64,
}

/// What came of a play.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Played {
    /// Each rule that was broken, with what happened, at most ten.
    pub broken: Vec<String>,
    /// Messages that clients handed in, each once.
    pub wanted: u64,
    /// Refused when they were handed in.
    pub refused: u64,
    /// Delivered.
    pub delivered: u64,
    /// Calls whose first byte went.
    pub calls: u64,
    /// Messages that went with others in a call.
    pub together: u64,
    /// Probes and notes.
    pub asked: u64,
}

/// Plays a world under a settings document. An error says that the document is none.
pub fn play(document: &Value, world: &World) -> Result<Played, String> {
    let settings = indigohold::settings::settings(document.to_string().as_bytes())?;
    let grace = document["invariants"]["stopSendingWithin"].as_u64().unwrap_or(0);
    Ok(play::Play::new(settings, grace, world).play_out())
}

/// `true` so often.
fn chance(rng: &mut impl Rng, share: f64) -> bool {
    share > 0.0 && rng.random::<f64>() < share
}
