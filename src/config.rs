//! The courier's configuration: `NODE_CONFIG`, decoded once and again on SIGHUP. What the environment says of the
//! listening address comes before it. Danger: a process can't be given a new environment, so the file comes first for
//! discovery, which moves while the courier runs; else a move would be undone by the next start.

use crate::net::platform::discovery::List;
use crate::settings::Document;
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: Document,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
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

/// What the program needs to know.
pub struct Config {
    /// Where clients connect; `None`: the platform's front is off.
    pub listen: Option<String>,
    discovery: Option<String>,
    /// The folder that lasts.
    pub state: PathBuf,
    /// The mail front's file; there need not be one.
    pub mail: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// What its process may hold.
    pub bounds: Bounds,
    /// Room in the folder that lasts.
    pub disk_mb: f64,
    /// The list as last known.
    pub known: List,
    /// The site's settings.
    pub settings: Document,
}

impl Config {
    /// Where discovery is.
    pub fn discovery(&self) -> Result<SocketAddr, String> {
        let text = self.discovery.as_deref().ok_or("discovery: not set")?;
        text.parse().map_err(|e| format!("discovery: {text}: {e}"))
    }
}

/// Reads the configuration; an error is one line.
pub fn read() -> Result<Config, String> {
    let path = env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG: not set".to_owned())?;
    let mut bytes = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let file: File =
        simd_json::serde::from_slice(&mut bytes).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let state = env::var("NODE_STATE").map_err(|_| "NODE_STATE: not set".to_owned())?;
    let seed = match file.seed.as_str() {
        "" => 0,
        text => u64::from_str_radix(text, 16).map_err(|e| format!("NODE_CONFIG: {path}: seed: {e}"))?,
    };
    Ok(Config {
        listen: env::var("NODE_LISTEN").ok().or(file.listen),
        discovery: file.discovery.or_else(|| env::var("NODE_DISCOVERY").ok()),
        state: PathBuf::from(state),
        mail: env::var("NODE_MAIL").unwrap_or_else(|_| "deploy/mail.json".to_owned()).into(),
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
