//! Parses the settings document into the decision engine's [`Settings`]. The simulator's `Spawn` record and the courier's
//! configuration use the same document. Unknown keys are ignored, and absent optional keys stay unset.

use crate::api::{
    Class, DedupGroup, DiscoveryMode, Effect, EndReport, Kind, Limits, Micros, Rules, Settings, Tenant,
    Weights, WorthDecay,
};
use crate::register::list::KindAndZoneNames;
use serde::Deserialize;

/// The parsed settings document, names included.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Document {
    balancers: u32,
    me: Option<u16>,
    profiles: Vec<Profile>,
    discovery: Discovery,
    weights: Option<ListedWeights>,
    period: u64,
    over_share_worth: Option<f64>,
    #[serde(default)]
    tenants: Vec<TenantConf>,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    limits: LimitsConf,
    #[serde(default)]
    invariants: Invariants,
    #[serde(default)]
    load_report: LoadReport,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum ListedWeights {
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum GroupConf {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WorthDecayConf {
    #[serde(rename = "even")]
    Linear,
    #[serde(rename = "by_half")]
    Halving,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    #[serde(default)]
    name: String,
    aim: u64,
    deadline: u64,
    worth: f64,
    late_worth: Option<f64>,
    idempotency: Idempotency,
    group: Option<GroupConf>,
    repeat_window: Option<u64>,
    serial_by_key: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantConf {
    #[serde(default)]
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    bundle_max: Vec<u32>,
    kind_apart: Vec<bool>,
    #[serde(rename = "fades")]
    worth_decay: Option<WorthDecayConf>,
    slots: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct LimitsConf {
    conn_idle: Option<u64>,
    connect_timeout: Option<u64>,
    cancel: bool,
    probing: bool,
    peers: bool,
    max_open: Option<u32>,
    try_limit: Option<u32>,
    max_retry_after: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Invariants {
    answer_slack: Option<u64>,
    cold: Option<u64>,
    cold_share: Option<f64>,
    overload_factor: Option<f64>,
    tip_after: Option<u64>,
    key_quiet: Option<u64>,
    must_ask_in: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LoadReport {
    names: Vec<String>,
}

/// The settings that the network code needs and the decision engine doesn't: names, and limits of connections.
pub struct NetworkSettings {
    /// The names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The names of the kinds of destination.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the values in a load report.
    pub load: Vec<String>,
    /// The idle time after which an endpoint closes a connection at the latest.
    pub conn_idle: Micros,
    /// The time limit for establishing a connection.
    pub connect: Micros,
    /// Whether any kind of destination accepts several messages in one call.
    pub batches: bool,
    /// The number of couriers of this service, this one included. All of them use the same discovery service.
    pub couriers: u32,
    /// Whether discovery pushes the lists. In that mode it is an agent on this machine that answers immediately and at no
    /// cost.
    pub pushed: bool,
    /// Whether endpoints may be probed.
    pub probing: bool,
}

impl NetworkSettings {
    /// The names of kinds and zones, for reading lists of backends.
    pub fn places(&self) -> KindAndZoneNames {
        KindAndZoneNames { kinds: self.kinds.clone(), zones: self.zones.clone() }
    }
}

/// Parses a settings document into the decision engine's settings.
pub fn settings(text: &[u8]) -> Result<Settings, String> {
    let document: Document = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    document.split().map(|(settings, _)| settings)
}

impl Document {
    /// The position of this courier among all couriers of the service, if the document has it.
    pub fn me(&self) -> Option<usize> {
        self.me.map(usize::from)
    }

    /// Splits the document into the decision engine's settings and those of the network code.
    pub fn split(self) -> Result<(Settings, NetworkSettings), String> {
        let network = NetworkSettings {
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            kinds: self.kinds.clone(),
            zones: self.failure_domains.clone(),
            load: self.load_report.names.clone(),
            conn_idle: Micros(self.limits.conn_idle.unwrap_or(5_000_000)),
            batches: self.family_info.bundle_max.iter().any(|size| *size > 1),
            connect: Micros(self.limits.connect_timeout.unwrap_or(1_500_000)),
            couriers: self.balancers,
            pushed: matches!(self.discovery, Discovery::Automatic),
            probing: self.limits.probing,
        };
        Ok((self.settings()?, network))
    }

    fn settings(self) -> Result<Settings, String> {
        let conf = self;
        let kind_count =
            conf.kinds.len().max(conf.family_info.bundle_max.len()).max(conf.family_info.kind_apart.len());
        let kind = |i| Kind {
            name: conf.kinds.get(i).cloned().unwrap_or_default(),
            separate_routes: conf.family_info.kind_apart.get(i).copied().unwrap_or(false),
            max_batch_size: conf.family_info.bundle_max.get(i).copied().unwrap_or(1),
        };
        let report_position = |name: &str| conf.load_report.names.iter().position(|n| n == name);
        Ok(Settings {
            senders: conf.balancers,
            kinds: (0..kind_count).map(kind).collect(),
            report_left: report_position("x0"),
            report_limit: report_position("x1"),
            classes: conf.profiles.into_iter().map(class).collect::<Result<_, _>>()?,
            tenants: conf.tenants.into_iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_share_worth: conf.over_share_worth,
            worth_decay: match conf.family_info.worth_decay {
                Some(WorthDecayConf::Halving) => WorthDecay::Halving,
                Some(WorthDecayConf::Linear) | None => WorthDecay::Linear,
            },
            discovery: match conf.discovery {
                Discovery::Automatic => DiscoveryMode::Push,
                Discovery::Subscribe => DiscoveryMode::Subscribe,
            },
            weights: match conf.weights {
                Some(ListedWeights::Nominal) => Weights::Nominal,
                Some(ListedWeights::Rough) => Weights::Rough,
                Some(ListedWeights::Off | ListedWeights::Live) | None => Weights::Off,
            },
            period: Micros(conf.period),
            rules: Rules {
                answer_slack: conf.invariants.answer_slack.map(Micros),
                cold_share: conf.invariants.cold_share,
                cold: conf.invariants.cold.map(Micros),
                overload_factor: conf.invariants.overload_factor,
                tip_after: conf.invariants.tip_after.map(Micros),
                key_quiet: conf.invariants.key_quiet.map(Micros),
                must_ask_in: conf.invariants.must_ask_in.map(Micros),
            },
            limits: Limits {
                cancel: conf.limits.cancel,
                probes: conf.limits.probing,
                gossip: conf.limits.peers,
                slots: conf.family_info.slots,
                max_open: conf.limits.max_open,
                max_attempts: conf.limits.try_limit,
                max_retry_after: conf.limits.max_retry_after.map(Micros),
            },
        })
    }
}

fn class(profile: Profile) -> Result<Class, String> {
    let effect = match profile.idempotency {
        Idempotency::Pure => Effect::Safe,
        Idempotency::SideEffect => Effect::Unsafe,
        Idempotency::Token => Effect::Keyed {
            group: match profile.group {
                Some(GroupConf::All) => DedupGroup::All,
                Some(GroupConf::Zone) => DedupGroup::Zone,
                Some(GroupConf::Cell) => DedupGroup::Endpoint,
                None => return Err("settings: a profile with a token needs a group".into()),
            },
            window: match profile.repeat_window {
                Some(window) => Micros(window),
                None => return Err("settings: a profile with a token needs a repeatWindow".into()),
            },
        },
    };
    Ok(Class {
        aim: Micros(profile.aim),
        deadline: Micros(profile.deadline),
        worth: profile.worth,
        late_worth: profile.late_worth.unwrap_or(0.0),
        effect,
        in_order: profile.serial_by_key.unwrap_or(false),
        end_report: EndReport::Notice,
    })
}
