//! The operators' configuration file of the control channel: `deploy/channel.json`, unless `NODE_CHANNEL` or `--channel` names
//! another.

use crate::checked::{self, Fault};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The settings of the control channel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlConfig {
    /// Path of the socket.
    pub socket: PathBuf,
    /// Largest number of concurrent sessions.
    pub sessions: usize,
}

/// Longest accepted path of a socket. Linux allows 108 bytes with the terminating zero.
const MAX_PATH_BYTES: usize = 100;

/// Reads the file. `None`: the channel is off, as the file is missing or disables it.
pub fn read(path: &Path) -> Result<Option<ControlConfig>, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes, path.parent().unwrap_or(Path::new(""))),
    }
}

/// Parses the file's text. A relative socket path is resolved against `folder`, the folder of the file.
pub fn parse(bytes: &[u8], folder: &Path) -> Result<Option<ControlConfig>, Vec<Fault>> {
    checked::read(bytes, |doc| {
        let enabled = doc.flag("enabled", true);
        let sessions = doc.whole("sessions", 8, 1..=64) as usize;
        let socket = doc.text("socket").map(|s| folder.join(s));
        if socket.is_none() {
            doc.fault("socket", "not set");
        }
        let socket = socket.unwrap_or_default();
        if socket.as_os_str().len() > MAX_PATH_BYTES {
            doc.fault(
                "socket",
                format!("longer than the {MAX_PATH_BYTES} bytes that a socket's path may have"),
            );
        }
        enabled.then_some(ControlConfig { socket, sessions })
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_in_the_file_is_reported() {
        let config = parse(br#"{"socket": "run/s"}"#, Path::new("/x")).unwrap().unwrap();
        assert_eq!(config, ControlConfig { socket: "/x/run/s".into(), sessions: 8 });
        assert_eq!(parse(br#"{"socket": "s", "enabled": false}"#, Path::new("")), Ok(None));
        let faults = parse(br#"{"sessions": 0, "sokket": 1}"#, Path::new("")).unwrap_err();
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert_eq!(
            faults,
            ["sessions: 0 is not within 1 to 64", "socket: not set", "sokket: no such setting"]
        );
        let long = format!(r#"{{"socket": "{}"}}"#, "x".repeat(101));
        assert!(parse(long.as_bytes(), Path::new("")).is_err());
    }
}
