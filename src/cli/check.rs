//! `indigohold check`: reads every configuration file as a start of the daemon does, and reports all faults, not only the first.

use crate::admission::config as admission;
use crate::ask;
use crate::config::{self, Paths};
use crate::control::config as control;
use crate::daemon;
use crate::history::config as history;
use crate::json;
use crate::net::{mail, peers};
use crate::register::config as register;
use crate::register::list::{DiscoveryList, Instance, KindAndZoneNames};
use crate::settings::Document;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// Largest number of faults reported for one part of a file.
const MAX_FAULTS: usize = 64;

/// All faults, one line each: `FILE: path in the file: fault`.
pub fn faults(paths: &Paths) -> Vec<String> {
    let mut out = Vec::new();
    let names = match &paths.config {
        None => {
            out.push("NODE_CONFIG: not set".to_owned());
            KindAndZoneNames::default()
        }
        Some(path) => main_file(path, paths, &mut out),
    };
    if paths.state.is_none() {
        out.push("NODE_STATE: not set".to_owned());
    }
    if let Err(faults) = admission::read(&paths.admission) {
        out.extend(faults.iter().map(|f| format!("{}: {f}", paths.admission.display())));
    }
    if let Err(faults) = control::read(&paths.channel) {
        out.extend(faults.iter().map(|f| format!("{}: {f}", paths.channel.display())));
    }
    if let Err(faults) = ask::read(&paths.ask) {
        out.extend(faults.iter().map(|f| format!("{}: {f}", paths.ask.display())));
    }
    if let Err(faults) = peers::config::read(&paths.shared) {
        out.extend(faults.iter().map(|f| format!("{}: {f}", paths.shared.display())));
    }
    match register::read(&paths.register) {
        Ok(config) => {
            if let Some(file) = config.static_file {
                out.extend(list_file(&file, &names).1);
            }
        }
        Err(faults) => out.extend(faults.iter().map(|f| format!("{}: {f}", paths.register.display()))),
    }
    out
}

/// Checks the main file, and the mail and history files, which need its settings. Returns the names of kinds and zones.
fn main_file(path: &Path, paths: &Paths, out: &mut Vec<String>) -> KindAndZoneNames {
    let mut report = |at: &str, fault: &dyn std::fmt::Display| {
        let at = if at.is_empty() { String::new() } else { format!("{at}: ") };
        out.push(format!("{}: {at}{fault}", path.display()));
    };
    let mut kinds_and_zones = KindAndZoneNames::default();
    let fields: Map<String, Value> = match std::fs::read(path)
        .map_err(|e| e.to_string())
        .and_then(|bytes| json::from_slice(&bytes).map_err(|e| e.to_string()))
    {
        Ok(fields) => fields,
        Err(e) => {
            report("", &e);
            return kinds_and_zones;
        }
    };
    let text = |name: &str| fields.get(name).filter(|v| !v.is_null()).map(|v| (v, v.as_str()));
    for name in ["listen", "discovery"] {
        match text(name) {
            Some((_, Some(addr))) if addr.parse::<SocketAddr>().is_ok() => {}
            Some((value, _)) => report(name, &format!("{value} is no address with a port")),
            None => {}
        }
    }
    let has_listen_address = text("listen").is_some() || paths.listen.is_some();
    if has_listen_address && text("discovery").is_none() && paths.discovery.is_none() {
        report("discovery", &"not set");
    }
    match text("seed") {
        Some((_, Some(seed))) => {
            if let Err(e) = config::seed(seed) {
                report("", &e);
            }
        }
        Some((value, None)) => report("seed", &format!("{value} is no text")),
        None => {}
    }
    let part = |name: &str| fields.get(name).cloned().unwrap_or(Value::Null);
    if !part("limits").is_null() {
        read_all::<config::Limits>(part("limits"), "limits", &mut report);
    }
    let name = fields.get("name").and_then(Value::as_str).unwrap_or_default();
    let (peer_listen, peers, peers_all) = (part("peer_listen"), part("peers"), part("peers_all"));
    if let Err(e) = config::peer_addresses(&peer_listen, &peers, &peers_all, name, None) {
        report("", &e);
    }
    if let Some(known_list) = fields.get("known").filter(|v| !v.is_null()) {
        list_faults(known_list).iter().for_each(|fault| report("known", fault));
    }
    if part("settings").is_null() {
        report("settings", &"missing");
    } else if let Some(document) = read_all::<Document>(part("settings"), "settings", &mut report) {
        match document.split() {
            Err(e) => report("", &e),
            Ok((mut settings, names)) => {
                kinds_and_zones = names.places();
                let mail_file = mail::config::read(&paths.mail, &mut settings, &names);
                let mail = mail_file.as_ref().map_or(None, Option::as_ref);
                let classes = daemon::classes_of(&names, mail);
                if let Err(faults) = history::read(&paths.history, &names.tenants, &classes) {
                    out.extend(faults.iter().map(|f| format!("{}: {f}", paths.history.display())));
                }
                match mail_file {
                    Err(e) => out.push(e),
                    Ok(None) if !has_listen_address => {
                        out.push("listen: not set, and the mail front is off".to_owned())
                    }
                    Ok(Some(mail)) => out.extend(mail.senders_without_partner().map(|domain| {
                        let path = paths.mail.display();
                        format!("{path}: senders.{domain}: no partner of this domain; its mail is refused")
                    })),
                    Ok(None) => {}
                }
            }
        }
    }
    kinds_and_zones
}

/// Reads a part of the file. After each fault, the faulty value is removed and the part is read again, to find the next fault.
fn read_all<T: DeserializeOwned>(
    mut part: Value, at: &str, report: &mut impl FnMut(&str, &dyn std::fmt::Display),
) -> Option<T> {
    let mut removed = Vec::new();
    for _ in 0..MAX_FAULTS {
        let e = match serde_path_to_error::deserialize::<_, T>(part.clone()) {
            Ok(read) => return Some(read).filter(|_| removed.is_empty()),
            Err(e) => e,
        };
        let path = e.path().clone();
        let fault = e.into_inner().to_string();
        // A field that is missing only because it was removed has been reported already. The value that lacks it is removed in turn.
        if !removed.iter().any(|name: &String| fault == format!("missing field `{name}`")) {
            let shown = path.to_string();
            let shown = if shown == "." { at.to_owned() } else { format!("{at}.{shown}") };
            report(&shown, &fault);
        }
        match remove_at(&mut part, &path) {
            Some(name) => removed.push(name),
            None => return None,
        }
    }
    None
}

/// Removes the value at a path. Returns its name, or its index in brackets.
fn remove_at(part: &mut Value, path: &serde_path_to_error::Path) -> Option<String> {
    use serde_path_to_error::Segment;
    let segments: Vec<_> = path.iter().collect();
    let (last, parents) = segments.split_last()?;
    let mut at = part;
    for segment in parents {
        at = match segment {
            Segment::Map { key } => at.get_mut(key.as_str())?,
            Segment::Seq { index } => at.get_mut(*index)?,
            _ => return None,
        };
    }
    match (last, at) {
        (Segment::Map { key }, Value::Object(fields)) => fields.remove(key).map(|_| key.clone()),
        (Segment::Seq { index }, Value::Array(list)) if *index < list.len() => {
            list.remove(*index);
            Some(format!("[{index}]"))
        }
        _ => None,
    }
}

/// Reads a file with a list of backends. Returns the list if it could be read, and the faults, each with the file's name.
pub fn list_file(path: &Path, names: &KindAndZoneNames) -> (Option<DiscoveryList>, Vec<String>) {
    let in_file = |e: String| format!("{}: {e}", path.display());
    let value: Value = match std::fs::read(path)
        .map_err(|e| e.to_string())
        .and_then(|bytes| json::from_slice(&bytes).map_err(|e| e.to_string()))
    {
        Ok(value) => value,
        Err(e) => return (None, vec![in_file(e)]),
    };
    let mut faults: Vec<String> = list_faults(&value).into_iter().map(in_file).collect();
    if !faults.is_empty() {
        return (None, faults);
    }
    let list: DiscoveryList = match serde_json::from_value(value) {
        Ok(list) => list,
        Err(e) => return (None, vec![in_file(e.to_string())]),
    };
    for (index, instance) in list.instances.iter().enumerate() {
        for (field, name, allowed) in
            [("zone", &instance.zone, &names.zones), ("machineType", &instance.machine_type, &names.kinds)]
        {
            if !allowed.is_empty() && !name.is_empty() && !allowed.contains(name) {
                faults.push(in_file(format!(
                    "instances[{index}].{field}: {name:?} is not among the settings' names"
                )));
            }
        }
    }
    (Some(list), faults)
}

/// The faults of a list, entry by entry.
fn list_faults(value: &Value) -> Vec<String> {
    let mut out = Vec::new();
    let Some(fields) = value.as_object() else { return vec!["it must be an object".into()] };
    if fields.get("generation").and_then(Value::as_u64).is_none() {
        out.push("generation: missing, or no whole number".into());
    }
    let entries = match fields.get("instances") {
        None => return out,
        Some(Value::Array(entries)) => entries,
        Some(other) => {
            out.push(format!("instances: {other} is no list"));
            return out;
        }
    };
    let mut seen: HashMap<String, usize> = HashMap::new();
    for (index, entry) in entries.iter().enumerate() {
        let at = format!("instances[{index}]");
        match serde_path_to_error::deserialize::<_, Instance>(entry.clone()) {
            Err(e) if e.path().to_string() == "." => out.push(format!("{at}: {}", e.inner())),
            Err(e) => out.push(format!("{at}.{}: {}", e.path(), e.inner())),
            Ok(instance) => {
                if instance.host_port.parse::<SocketAddr>().is_err() {
                    out.push(format!("{at}.hostPort: {:?} is no address with a port", instance.host_port));
                } else if !["up", "draining", "removed"].contains(&instance.lifecycle.as_str()) {
                    let fault = "is none of up, draining and removed";
                    out.push(format!("{at}.lifecycle: {:?} {fault}", instance.lifecycle));
                } else if instance.to_record().is_none() {
                    out.push(format!("{at}.instanceId: empty or too long"));
                }
                if let Some(before) = seen.insert(instance.instance_id.clone(), index) {
                    out.push(format!("{at}.instanceId: {:?} stands in [{before}] too", instance.instance_id));
                }
            }
        }
    }
    out
}
