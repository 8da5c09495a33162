//! The courier's configuration: `NODE_CONFIG`, decoded once and again on SIGHUP, and where all the files are. What
//! flags and the environment say of the listening address comes before it. Danger: a process can't be given a new
//! environment, so the file comes first for discovery, which moves while the courier runs; else a move would be undone
//! by the next start.

use crate::api::PeerId;
use crate::register::list::DiscoveryList;
use crate::settings::Document;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    #[serde(default)]
    name: String,
    #[serde(default)]
    peer_listen: Value,
    #[serde(default)]
    peers: Value,
    #[serde(default)]
    peers_all: Value,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<DiscoveryList>,
    settings: Document,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
    disk_mb: Option<f64>,
}

/// What the process may hold at once.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
}

/// Where the files are, and what comes before them: each a flag, or else a variable of the environment.
#[derive(Debug, Clone, clap::Args)]
pub struct Paths {
    /// The configuration: listening address, discovery, limits, the known list, the site's settings
    #[arg(long, global = true, env = "NODE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The folder that lasts
    #[arg(long, global = true, env = "NODE_STATE", value_name = "FOLDER")]
    pub state: Option<PathBuf>,
    /// Where clients connect; comes before the configuration
    #[arg(long, global = true, env = "NODE_LISTEN", value_name = "ADDRESS")]
    pub listen: Option<String>,
    /// Where discovery is, if the configuration does not say
    #[arg(long, global = true, env = "NODE_DISCOVERY", value_name = "ADDRESS")]
    pub discovery: Option<String>,
    /// The mail front's file; off if there is none
    #[arg(long, global = true, env = "NODE_MAIL", value_name = "FILE", default_value = "deploy/mail.json")]
    pub mail: PathBuf,
    /// The register's file; defaults hold if there is none
    #[arg(
        long,
        global = true,
        env = "NODE_REGISTER",
        value_name = "FILE",
        default_value = "deploy/register.json"
    )]
    pub register: PathBuf,
    /// The client connections' file; defaults hold if there is none
    #[arg(
        long,
        global = true,
        env = "NODE_ADMISSION",
        value_name = "FILE",
        default_value = "deploy/admission.json"
    )]
    pub admission: PathBuf,
    /// The control channel's file; off if there is none
    #[arg(
        long,
        global = true,
        env = "NODE_CHANNEL",
        value_name = "FILE",
        default_value = "deploy/channel.json"
    )]
    pub channel: PathBuf,
    /// The file for questions to the fleet; off if there is none
    #[arg(long, global = true, env = "NODE_ASK", value_name = "FILE", default_value = "deploy/ask.json")]
    pub ask: PathBuf,
    /// The history's file; off if there is none
    #[arg(
        long,
        global = true,
        env = "NODE_HISTORY",
        value_name = "FILE",
        default_value = "deploy/history.json"
    )]
    pub history: PathBuf,
    /// The file of what couriers share; off if there is none
    #[arg(
        long,
        global = true,
        env = "NODE_SHARED",
        value_name = "FILE",
        default_value = "deploy/shared.json"
    )]
    pub shared: PathBuf,
    /// A listening socket that was inherited, by its descriptor's number
    #[arg(long, global = true, env = "NODE_LISTEN_FD", value_name = "NUMBER")]
    pub listen_fd: Option<String>,
    /// Where the operators' door listens; comes before the configuration
    #[arg(long, global = true, env = "NODE_CONTROL", value_name = "ADDRESS")]
    pub control: Option<String>,
}

/// What the program needs to know.
pub struct Config {
    /// Where clients connect; `None`: the platform's front is off.
    pub listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    /// Where neighbours are; `None`: the configuration names none.
    pub neighbours: Option<Addresses>,
    /// This courier's name among those of the fleet; empty if it has none.
    pub name: String,
    /// For random numbers.
    pub seed: u64,
    /// What its process may hold.
    pub bounds: Bounds,
    /// Room in the folder that lasts.
    pub disk_mb: f64,
    /// The list as last known.
    pub known: DiscoveryList,
    /// The site's settings.
    pub settings: Document,
}

impl Config {
    /// Where discovery is.
    pub fn discovery(&self) -> Result<SocketAddr, String> {
        let text = self.discovery.as_deref().ok_or("discovery: not set")?;
        text.parse().map_err(|e| format!("discovery: {text}: {e}"))
    }

    /// Where the operators' door listens; `None`: it is off.
    pub fn admin_addr(&self) -> Result<Option<SocketAddr>, String> {
        let parse = |text: &str| text.parse().map_err(|e| format!("control: {text:?}: {e}"));
        self.control.as_deref().map(parse).transpose()
    }
}

impl Paths {
    /// The folder that lasts.
    pub fn state(&self) -> Result<PathBuf, String> {
        self.state.clone().ok_or_else(|| "NODE_STATE: not set".to_owned())
    }

    /// Reads the configuration; an error is one line.
    pub fn read(&self) -> Result<Config, String> {
        let path = self.config.as_ref().ok_or_else(|| "NODE_CONFIG: not set".to_owned())?;
        let fail = |e: &dyn std::fmt::Display| format!("NODE_CONFIG: {}: {e}", path.display());
        let mut bytes = std::fs::read(path).map_err(|e| fail(&e))?;
        let file: File = simd_json::serde::from_slice(&mut bytes).map_err(|e| fail(&e))?;
        let seed = seed(&file.seed).map_err(|e| fail(&e))?;
        let neighbours =
            addresses(&file.peer_listen, &file.peers, &file.peers_all, &file.name, file.settings.me())
                .map_err(|e| fail(&e))?;
        Ok(Config {
            listen: self.listen.clone().or(file.listen),
            discovery: file.discovery.or_else(|| self.discovery.clone()),
            control: self.control.clone().or(file.control),
            neighbours,
            name: file.name,
            seed,
            bounds: Bounds {
                sockets: file.limits.sockets.unwrap_or(1024).clamp(64, 65_536),
                memory: (file.limits.memory_mb.unwrap_or(192.0).clamp(16.0, 65_536.0) * 1e6) as usize,
            },
            disk_mb: file.limits.disk_mb.unwrap_or(64.0),
            known: file.known.unwrap_or_default(),
            settings: file.settings,
        })
    }
}

/// Where a courier and its neighbours speak by datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// Where they arrive.
    pub listen: SocketAddr,
    /// The neighbours, without this courier itself, by their places: what one sends comes from its address here.
    pub peers: Vec<(PeerId, SocketAddr)>,
    /// Goes to all of them.
    pub all: Option<SocketAddr>,
    /// This courier's own place; `None`: not told.
    pub me: Option<PeerId>,
    /// Places there are, the own one and empty ones included.
    pub places: usize,
}

/// Neighbours that are known at most.
const PEERS_MOST: usize = 1024;

/// Reads `peer_listen`, `peers` and `peers_all`. `peers` is a list in which this courier stands at the place `me`, or a map in
/// which it goes by its `name`; an empty place is nobody. Absent: notes are off. An error is one line.
pub(crate) fn addresses(
    listen: &Value, peers: &Value, all: &Value, name: &str, me: Option<usize>,
) -> Result<Option<Addresses>, String> {
    let addr = |at: &str, value: &Value| match value {
        Value::Null => Ok(None),
        Value::String(text) => text.parse().map(Some).map_err(|e| format!("{at}: {text:?}: {e}")),
        _ => Err(format!("{at}: {value} is no address with a port")),
    };
    let (listen, all) = (addr("peer_listen", listen)?, addr("peers_all", all)?);
    let places: Vec<(&Value, bool, String)> = match peers {
        Value::Null => Vec::new(),
        Value::Array(list) => {
            list.iter().enumerate().map(|(i, v)| (v, Some(i) == me, format!("peers[{i}]"))).collect()
        }
        Value::Object(map) => map.iter().map(|(k, v)| (v, k == name, format!("peers.{k}"))).collect(),
        other => return Err(format!("peers: {other} is neither a list nor a map of addresses")),
    };
    if places.len() > PEERS_MOST {
        return Err(format!("peers: {} of them, and {PEERS_MOST} at most can be", places.len()));
    }
    let mut known = Vec::new();
    let own = places.iter().position(|(_, own, _)| *own).map(|i| PeerId(i as u16));
    let count = places.len();
    for (i, (value, own, at)) in places.into_iter().enumerate() {
        if let (Some(addr), false) = (addr(&at, value)?, own) {
            known.push((PeerId(i as u16), addr));
        }
    }
    let there = |listen| Addresses { listen, peers: known, all, me: own, places: count };
    Ok(listen.map(there).filter(|there| !there.peers.is_empty() || there.all.is_some()))
}

/// A seed is hexadecimal; none is 0.
pub(crate) fn seed(text: &str) -> Result<u64, String> {
    match text {
        "" => Ok(0),
        text => u64::from_str_radix(text, 16).map_err(|e| format!("seed: {e}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn read(listen: Value, peers: Value, all: Value) -> Result<Option<Addresses>, String> {
        addresses(&listen, &peers, &all, "n1", Some(1))
    }

    #[test]
    fn neighbours_are_a_list_by_place_or_a_map_by_name() {
        let (at, a, c) = ("127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1");
        let by_place = read(json!(at), json!([a, at, null, c]), Value::Null).unwrap().unwrap();
        let addr = |text: &str| text.parse::<SocketAddr>().unwrap();
        assert_eq!(by_place.peers, [(PeerId(0), addr(a)), (PeerId(3), addr(c))]);
        assert_eq!((by_place.me, by_place.places), (Some(PeerId(1)), 4));
        let by_name = read(json!(at), json!({"n0": a, "n1": at, "n2": null, "n3": c}), Value::Null);
        assert_eq!(by_name.unwrap().unwrap(), by_place);
        let all = read(json!(at), Value::Null, json!(c)).unwrap().unwrap();
        assert_eq!((all.peers, all.all), (vec![], Some(addr(c))));
        for off in [
            read(Value::Null, json!([a]), json!(c)),
            read(json!(at), Value::Null, Value::Null),
            read(json!(at), json!([null, at]), Value::Null),
        ] {
            assert_eq!(off, Ok(None));
        }
    }

    #[test]
    fn what_is_no_address_is_named() {
        let at = json!("127.0.0.1:1");
        let said = |result: Result<Option<Addresses>, String>| result.unwrap_err();
        assert!(said(read(json!(7), Value::Null, Value::Null)).starts_with("peer_listen: 7 is no address"));
        assert!(said(read(at.clone(), json!("x"), Value::Null)).starts_with("peers: \"x\" is neither"));
        assert!(said(read(at.clone(), json!(["x"]), Value::Null)).starts_with("peers[0]: \"x\": "));
        assert!(said(read(at.clone(), json!({"n0": [1]}), Value::Null)).starts_with("peers.n0: [1] is no"));
        assert!(
            said(read(at.clone(), json!(vec![Value::Null; 1025]), Value::Null)).starts_with("peers: 1025")
        );
        assert!(said(read(at, Value::Null, json!("127.0.0.1"))).starts_with("peers_all: \"127.0.0.1\": "));
    }
}
