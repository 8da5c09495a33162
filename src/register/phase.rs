//! The phase of the registry: what its endpoint list is based on.
//!
//! | phase | based on | reports ready | accepts messages | sends |
//! | --- | --- | --- | --- | --- |
//! | cold | nothing | after `cold_ready_after` | no: refused at once, with a wait | nothing |
//! | from copy | a remembered list or the static file | at once | for the destinations that these list | after the wait for discovery, with limits |
//! | provisional | discovery, and endpoints held against an unconfirmed list | yes | yes | yes; to held endpoints with limits |
//! | live | discovery, up to date | yes | yes; a destination that was never listed fails | yes |
//! | stale | the last list of discovery | yes | as live | without limits to endpoints that have answered in this process run, else with limits |
//!
//! What is accepted and sent follows from the endpoint records themselves. The phase is for operators and for the
//! readiness check.

use crate::api::Micros;

/// A phase of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No endpoints are known.
    Cold,
    /// Only a remembered list or the operators' static file is known.
    FromCopy,
    /// Discovery answers, but a list of it is not confirmed yet.
    Provisional,
    /// Discovery answers.
    Live,
    /// Discovery has sent a list and has gone silent.
    Stale,
}

/// What the phase is derived from.
#[derive(Debug, Clone, Copy)]
pub struct PhaseInputs {
    /// Discovery has sent an update in this process run.
    pub discovery_updated: bool,
    /// Its watch is open.
    pub watching: bool,
    /// Time since its last update or heartbeat.
    pub silent_for: Micros,
    /// Endpoints are held against an unconfirmed list.
    pub holds_endpoints: bool,
    /// A zone of the mail front has been loaded; such a zone is always available.
    pub zone_loaded: bool,
    /// There are endpoints from a usable remembered list or from the static file.
    pub has_fallback: bool,
}

impl Phase {
    /// Derives the phase. A watch that breaks is usually reopened within moments, so only a longer silence counts as
    /// stale.
    pub fn of(inputs: &PhaseInputs, stale_after: Micros) -> Phase {
        match inputs {
            i if i.discovery_updated && !i.watching && i.silent_for > stale_after => Phase::Stale,
            i if i.discovery_updated && i.holds_endpoints => Phase::Provisional,
            i if i.discovery_updated || i.zone_loaded => Phase::Live,
            i if i.has_fallback => Phase::FromCopy,
            _ => Phase::Cold,
        }
    }

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Cold => "cold",
            Phase::FromCopy => "from copy",
            Phase::Provisional => "provisional",
            Phase::Live => "live",
            Phase::Stale => "stale",
        }
    }
}
