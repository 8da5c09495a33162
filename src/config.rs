//! The courier's configuration, `NODE_CONFIG`, which is decoded at the start and again on SIGHUP, and the paths of all
//! files. For the listening address, flags and environment variables take precedence over the file. For the address of
//! discovery, the file takes precedence: discovery can move while the courier runs, and the environment of a running process can't be
//! changed, so that a variable would undo the move at the next start.

use crate::api::PeerId;
use crate::json;
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

/// The `limits` of the configuration.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
    disk_mb: Option<f64>,
}

/// Limits on the resources of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    /// Most open descriptors.
    pub descriptors: usize,
    /// Most bytes of memory.
    pub memory_bytes: usize,
}

/// Paths of the files, and settings that take precedence over them: each is a flag or else an environment variable.
#[derive(Debug, Clone, clap::Args)]
pub struct Paths {
    /// The configuration: listening address, discovery, limits, the known list, the site's settings
    #[arg(long, global = true, env = "NODE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The state folder, which must outlast the process
    #[arg(long, global = true, env = "NODE_STATE", value_name = "FOLDER")]
    pub state: Option<PathBuf>,
    /// Where clients connect; takes precedence over the configuration
    #[arg(long, global = true, env = "NODE_LISTEN", value_name = "ADDRESS")]
    pub listen: Option<String>,
    /// Address of discovery, if the configuration has none
    #[arg(long, global = true, env = "NODE_DISCOVERY", value_name = "ADDRESS")]
    pub discovery: Option<String>,
    /// The mail frontend's file; the frontend is off if the file does not exist
    #[arg(long, global = true, env = "NODE_MAIL", value_name = "FILE", default_value = "deploy/mail.json")]
    pub mail: PathBuf,
    /// The registry's file; defaults apply if it does not exist
    #[arg(
        long,
        global = true,
        env = "NODE_REGISTER",
        value_name = "FILE",
        default_value = "deploy/register.json"
    )]
    pub register: PathBuf,
    /// The client connections' file; defaults apply if it does not exist
    #[arg(
        long,
        global = true,
        env = "NODE_ADMISSION",
        value_name = "FILE",
        default_value = "deploy/admission.json"
    )]
    pub admission: PathBuf,
    /// The control channel's file; the channel is off if the file does not exist
    #[arg(
        long,
        global = true,
        env = "NODE_CHANNEL",
        value_name = "FILE",
        default_value = "deploy/channel.json"
    )]
    pub channel: PathBuf,
    /// The file for questions to the fleet; they are off if the file does not exist
    #[arg(long, global = true, env = "NODE_ASK", value_name = "FILE", default_value = "deploy/ask.json")]
    pub ask: PathBuf,
    /// The history's file; the history is off if the file does not exist
    #[arg(
        long,
        global = true,
        env = "NODE_HISTORY",
        value_name = "FILE",
        default_value = "deploy/history.json"
    )]
    pub history: PathBuf,
    /// The file for state shared between couriers; sharing is off if the file does not exist
    #[arg(
        long,
        global = true,
        env = "NODE_SHARED",
        value_name = "FILE",
        default_value = "deploy/shared.json"
    )]
    pub shared: PathBuf,
    /// Descriptor number of an inherited listening socket
    #[arg(long, global = true, env = "NODE_LISTEN_FD", value_name = "NUMBER")]
    pub listen_fd: Option<String>,
    /// Address of the admin server; takes precedence over the configuration
    #[arg(long, global = true, env = "NODE_CONTROL", value_name = "ADDRESS")]
    pub control: Option<String>,
}

/// The decoded configuration.
pub struct Config {
    /// Address where clients connect. If `None`, the platform frontend is off.
    pub listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    /// Addresses of the peers. If `None`, gossip messages are off.
    pub peers: Option<PeerAddresses>,
    /// This courier's name in the fleet; empty if it has none.
    pub name: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Limits on the resources of the process.
    pub limits: ProcessLimits,
    /// Disk space in the state folder, in megabytes.
    pub disk_mb: f64,
    /// The list of endpoints until discovery provides one.
    pub known_list: DiscoveryList,
    /// The site's settings.
    pub settings: Document,
}

impl Config {
    /// Address of discovery.
    pub fn discovery(&self) -> Result<SocketAddr, String> {
        let text = self.discovery.as_deref().ok_or("discovery: not set")?;
        text.parse().map_err(|e| format!("discovery: {text}: {e}"))
    }

    /// Address of the admin server. If `None`, the server is off.
    pub fn admin_addr(&self) -> Result<Option<SocketAddr>, String> {
        let parse = |text: &str| text.parse().map_err(|e| format!("control: {text:?}: {e}"));
        self.control.as_deref().map(parse).transpose()
    }
}

impl Paths {
    /// The state folder.
    pub fn state(&self) -> Result<PathBuf, String> {
        self.state.clone().ok_or_else(|| "NODE_STATE: not set".to_owned())
    }

    /// Reads the configuration; an error is one line.
    pub fn read(&self) -> Result<Config, String> {
        let path = self.config.as_ref().ok_or_else(|| "NODE_CONFIG: not set".to_owned())?;
        let fail = |e: &dyn std::fmt::Display| format!("NODE_CONFIG: {}: {e}", path.display());
        let mut bytes = std::fs::read(path).map_err(|e| fail(&e))?;
        let file: File = json::from_mut_slice(&mut bytes).map_err(|e| fail(&e))?;
        let seed = seed(&file.seed).map_err(|e| fail(&e))?;
        let peers =
            peer_addresses(&file.peer_listen, &file.peers, &file.peers_all, &file.name, file.settings.me())
                .map_err(|e| fail(&e))?;
        Ok(Config {
            listen: self.listen.clone().or(file.listen),
            discovery: file.discovery.or_else(|| self.discovery.clone()),
            control: self.control.clone().or(file.control),
            peers,
            name: file.name,
            seed,
            limits: ProcessLimits {
                descriptors: file.limits.sockets.unwrap_or(1024).clamp(64, 65_536),
                memory_bytes: (file.limits.memory_mb.unwrap_or(192.0).clamp(16.0, 65_536.0) * 1e6) as usize,
            },
            disk_mb: file.limits.disk_mb.unwrap_or(64.0),
            known_list: file.known.unwrap_or_default(),
            settings: file.settings,
        })
    }
}

/// Addresses of the datagrams between this courier and its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddresses {
    /// Address that this courier binds.
    pub listen: SocketAddr,
    /// The peers, without this courier, by their position. A datagram is attributed to a peer by its source address.
    pub peers: Vec<(PeerId, SocketAddr)>,
    /// Address that reaches all peers.
    pub broadcast: Option<SocketAddr>,
    /// This courier's position, if the configuration says it.
    pub me: Option<PeerId>,
    /// Number of positions, including this courier's and empty ones.
    pub member_count: usize,
}

/// Most entries of `peers`.
const MAX_PEERS: usize = 1024;

/// Reads `peer_listen`, `peers` and `peers_all`. `peers` is a list in which this courier is at position `me`, or a map in
/// which it has the key `name`; an empty entry is skipped. Without `peer_listen`, or without any address to send to, gossip
/// messages are off and the result is `None`. An error is one line.
pub(crate) fn peer_addresses(
    listen: &Value, peers: &Value, all: &Value, name: &str, me: Option<usize>,
) -> Result<Option<PeerAddresses>, String> {
    let addr = |setting: &str, value: &Value| match value {
        Value::Null => Ok(None),
        Value::String(text) => text.parse().map(Some).map_err(|e| format!("{setting}: {text:?}: {e}")),
        _ => Err(format!("{setting}: {value} is no address with a port")),
    };
    let (listen, all) = (addr("peer_listen", listen)?, addr("peers_all", all)?);
    let entries: Vec<(&Value, bool, String)> = match peers {
        Value::Null => Vec::new(),
        Value::Array(list) => {
            list.iter().enumerate().map(|(i, v)| (v, Some(i) == me, format!("peers[{i}]"))).collect()
        }
        Value::Object(map) => map.iter().map(|(k, v)| (v, k == name, format!("peers.{k}"))).collect(),
        other => return Err(format!("peers: {other} is neither a list nor a map of addresses")),
    };
    if entries.len() > MAX_PEERS {
        return Err(format!("peers: {} entries, but at most {MAX_PEERS} are allowed", entries.len()));
    }
    let mut peers = Vec::new();
    let own = entries.iter().position(|(_, own, _)| *own).map(|i| PeerId(i as u16));
    let member_count = entries.len();
    for (i, (value, own, setting)) in entries.into_iter().enumerate() {
        if let (Some(addr), false) = (addr(&setting, value)?, own) {
            peers.push((PeerId(i as u16), addr));
        }
    }
    let addresses = |listen| PeerAddresses { listen, peers, broadcast: all, me: own, member_count };
    Ok(listen.map(addresses).filter(|found| !found.peers.is_empty() || found.broadcast.is_some()))
}

/// Parses the seed, a hexadecimal number; an empty text is 0.
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

    fn read(listen: Value, peers: Value, all: Value) -> Result<Option<PeerAddresses>, String> {
        peer_addresses(&listen, &peers, &all, "n1", Some(1))
    }

    #[test]
    fn peers_are_a_list_by_position_or_a_map_by_name() {
        let (own, a, c) = ("127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1");
        let by_position = read(json!(own), json!([a, own, null, c]), Value::Null).unwrap().unwrap();
        let addr = |text: &str| text.parse::<SocketAddr>().unwrap();
        assert_eq!(by_position.peers, [(PeerId(0), addr(a)), (PeerId(3), addr(c))]);
        assert_eq!((by_position.me, by_position.member_count), (Some(PeerId(1)), 4));
        let by_name = read(json!(own), json!({"n0": a, "n1": own, "n2": null, "n3": c}), Value::Null);
        assert_eq!(by_name.unwrap().unwrap(), by_position);
        let broadcast = read(json!(own), Value::Null, json!(c)).unwrap().unwrap();
        assert_eq!((broadcast.peers, broadcast.broadcast), (vec![], Some(addr(c))));
        for off in [
            read(Value::Null, json!([a]), json!(c)),
            read(json!(own), Value::Null, Value::Null),
            read(json!(own), json!([null, own]), Value::Null),
        ] {
            assert_eq!(off, Ok(None));
        }
    }

    #[test]
    fn an_invalid_address_is_reported_with_its_setting() {
        let own = json!("127.0.0.1:1");
        let error = |result: Result<Option<PeerAddresses>, String>| result.unwrap_err();
        assert!(error(read(json!(7), Value::Null, Value::Null)).starts_with("peer_listen: 7 is no address"));
        assert!(error(read(own.clone(), json!("x"), Value::Null)).starts_with("peers: \"x\" is neither"));
        assert!(error(read(own.clone(), json!(["x"]), Value::Null)).starts_with("peers[0]: \"x\": "));
        assert!(error(read(own.clone(), json!({"n0": [1]}), Value::Null)).starts_with("peers.n0: [1] is no"));
        assert!(
            error(read(own.clone(), json!(vec![Value::Null; 1025]), Value::Null)).starts_with("peers: 1025")
        );
        assert!(error(read(own, Value::Null, json!("127.0.0.1"))).starts_with("peers_all: \"127.0.0.1\": "));
    }
}
