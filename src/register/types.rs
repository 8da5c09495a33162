//! The updates that sources send, the effects of the registry's events, and the operators' rules.

use super::guard::RemovalGuard;
use super::trust::TrustRules;
use crate::api::{KindId, Micros, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Lifecycle state of a listed endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new calls.
    Up,
    /// Finishes the calls that it has and accepts no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One endpoint as a source lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "HandedOverRecord", into = "HandedOverRecord")]
pub struct EndpointRecord {
    /// Name, the same at every courier.
    pub name: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its destination.
    pub dest: u16,
    /// Name of its kind; empty if the source gives none.
    pub kind: Arc<str>,
    /// Name of its zone; empty if the source gives none.
    pub zone: Arc<str>,
    /// Lifecycle state.
    pub state: EndpointState,
    /// Rate that its destination accepts, in calls per second.
    pub weight: f64,
    /// Priority: an endpoint is used only while none of a lower rank is available.
    pub rank: u16,
}

/// A record in the handover between processes. Older versions name kinds and zones by their positions in the settings
/// and know nothing of the names.
#[derive(Clone, Serialize, Deserialize)]
struct HandedOverRecord {
    name: String,
    addr: SocketAddr,
    dest: u16,
    kind: u8,
    zone: u16,
    state: EndpointState,
    weight: f64,
    rank: u16,
    #[serde(default)]
    kind_name: String,
    #[serde(default)]
    zone_name: String,
}

impl From<EndpointRecord> for HandedOverRecord {
    /// To an older version the kind is one that the settings do not list, and each zone is a number of its own.
    fn from(record: EndpointRecord) -> HandedOverRecord {
        let EndpointRecord { name, addr, dest, kind, zone, state, weight, rank } = record;
        HandedOverRecord {
            name,
            addr,
            dest,
            kind: KindId::UNLISTED.0,
            zone: ZoneId::of_name(&zone).map_or(u16::MAX, |id| id.0 as u16),
            state,
            weight,
            rank,
            kind_name: kind.to_string(),
            zone_name: zone.to_string(),
        }
    }
}

impl From<HandedOverRecord> for EndpointRecord {
    /// The positions of an older version are not used: one position stands for every name that its settings lack.
    fn from(record: HandedOverRecord) -> EndpointRecord {
        let HandedOverRecord { name, addr, dest, state, weight, rank, kind_name, zone_name, .. } = record;
        EndpointRecord {
            name,
            addr,
            dest,
            kind: kind_name.into(),
            zone: zone_name.into(),
            state,
            weight,
            rank,
        }
    }
}

/// A source of endpoint records. The order is the precedence: the first source that lists an endpoint decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// Discovery, by its watch or by a read of its whole list.
    Discovery,
    /// The operators' static file.
    Static,
    /// Zones of the mail front.
    Zone,
    /// The copy on disk of what discovery sent to an earlier process run.
    KeptCopy,
    /// The list in the configuration.
    Configured,
}

impl Source {
    /// Its name in the log and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Source::Discovery => "discovery",
            Source::Static => "static",
            Source::Zone => "zone",
            Source::KeptCopy => "copy",
            Source::Configured => "known",
        }
    }

    /// Whether it only remembers an earlier list of discovery. Such a source is ignored once discovery itself has sent
    /// an update.
    pub fn is_remembered(self) -> bool {
        matches!(self, Source::KeptCopy | Source::Configured)
    }
}

/// An update from one source.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// The source.
    pub source: Source,
    /// Whether this is everything that the source lists; otherwise it holds only what has changed.
    pub is_full_list: bool,
    /// Version of the list.
    pub generation: u64,
    /// The endpoints.
    pub records: Vec<EndpointRecord>,
    /// Names of the entries that could not be parsed. All that is known of these endpoints is that they are listed.
    pub unreadable: Vec<String>,
    /// When the list was last known to be current: now, except for a kept copy.
    pub as_of: Micros,
}

impl ListUpdate {
    /// The full list of a source, current now.
    pub fn full(source: Source, generation: u64, records: Vec<EndpointRecord>, now: Micros) -> ListUpdate {
        ListUpdate { source, is_full_list: true, generation, records, unreadable: Vec::new(), as_of: now }
    }
}

/// A changed endpoint, for the decision module.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChange {
    /// The new record; the state `Gone` means that the endpoint is no longer listed.
    pub record: EndpointRecord,
    /// Whether no new call may be sent there for now, although it is listed as up: it refused a call while it was known
    /// only from a remembered list. Its connections stay open.
    pub ejected: bool,
}

/// Everything that follows from one event.
#[derive(Debug, Default, PartialEq)]
pub struct RegistryEffects {
    /// Changes for the decision module, in the order in which they apply.
    pub changes: Vec<EndpointChange>,
    /// Messages whose queued calls may be sent now.
    pub released: Vec<u64>,
    /// Messages whose queued calls will not be sent to this endpoint.
    pub rejected: Vec<u64>,
    /// Whether the full list must be read again over a connection of its own, to confirm an update that is held back.
    pub reread_list: bool,
    /// Lines for the operators' log.
    pub log_lines: Vec<String>,
    /// What an update of discovery has changed in its list, for the kept copy.
    pub list_changes: Vec<EndpointRecord>,
}

/// The operators' rules for the registry; see [`config`](super::config).
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryRules {
    /// How long remembered endpoints wait for discovery before they are used.
    pub discovery_wait: Micros,
    /// How long a broken watch may stay silent before its list counts as stale.
    pub stale_after: Micros,
    /// Maximum age of a kept copy that is used; an older one is listed only.
    pub max_copy_age: Micros,
    /// Whether a kept copy is used whatever its age.
    pub use_stale_copy: bool,
    /// How long after its start an instance that knows no endpoints reports not ready.
    pub cold_ready_after: Micros,
    /// Limits on the calls to a remembered endpoint.
    pub trust: TrustRules,
    /// Which full lists must be confirmed before they take effect. `None`: every list takes effect at once, as the
    /// platform requires: what discovery has written counts as notified.
    pub guard: Option<RemovalGuard>,
}

impl Default for RegistryRules {
    fn default() -> RegistryRules {
        RegistryRules {
            discovery_wait: Micros(500_000),
            stale_after: Micros(10_000_000),
            max_copy_age: Micros(24 * 3600 * 1_000_000),
            use_stale_copy: false,
            cold_ready_after: Micros(0),
            trust: TrustRules::default(),
            guard: None,
        }
    }
}
