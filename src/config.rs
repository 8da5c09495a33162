//! The courier's configuration: `NODE_CONFIG`, decoded once and again on SIGHUP, and where all the files are. What
//! flags and the environment say of the listening address comes before it. Danger: a process can't be given a new
//! environment, so the file comes first for discovery, which moves while the courier runs; else a move would be undone
//! by the next start.

use crate::register::list::List;
use crate::settings::Document;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
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

    /// Where the operators' door listens; `None`: it is off.
    pub fn door(&self) -> Result<Option<SocketAddr>, String> {
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
        Ok(Config {
            listen: self.listen.clone().or(file.listen),
            discovery: file.discovery.or_else(|| self.discovery.clone()),
            control: self.control.clone().or(file.control),
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

/// A seed is hexadecimal; none is 0.
pub(crate) fn seed(text: &str) -> Result<u64, String> {
    match text {
        "" => Ok(0),
        text => u64::from_str_radix(text, 16).map_err(|e| format!("seed: {e}")),
    }
}
