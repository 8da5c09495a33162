//! `indigohold check`: reads every configuration file as a start would, and names every fault, not only the first.

use crate::admission::config as admission;
use crate::ask;
use crate::config::{self, Paths};
use crate::control::config as control;
use crate::daemon;
use crate::history::config as history;
use crate::net::{mail, peers};
use crate::register::config as register;
use crate::register::list::{DiscoveryList, Instance, KindAndZoneNames};
use crate::settings::Document;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// Most faults that are named of one part of a file.
const FAULTS_MOST: usize = 64;

/// All that is wrong, a line each: `FILE: path in it: what`.
pub fn faults(paths: &Paths) -> Vec<String> {
    let mut out = Vec::new();
    let places = match &paths.config {
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
                out.extend(list_file(&file, &places).1);
            }
        }
        Err(faults) => out.extend(faults.iter().map(|f| format!("{}: {f}", paths.register.display()))),
    }
    out
}

fn main_file(path: &Path, paths: &Paths, out: &mut Vec<String>) -> KindAndZoneNames {
    let mut say = |at: &str, what: &dyn std::fmt::Display| {
        let at = if at.is_empty() { String::new() } else { format!("{at}: ") };
        out.push(format!("{}: {at}{what}", path.display()));
    };
    let mut places = KindAndZoneNames::default();
    let fields: Map<String, Value> = match std::fs::read(path)
        .map_err(|e| e.to_string())
        .and_then(|bytes| serde_json::from_slice(&bytes).map_err(|e| e.to_string()))
    {
        Ok(fields) => fields,
        Err(e) => {
            say("", &e);
            return places;
        }
    };
    let text = |name: &str| fields.get(name).filter(|v| !v.is_null()).map(|v| (v, v.as_str()));
    for name in ["listen", "discovery"] {
        match text(name) {
            Some((_, Some(addr))) if addr.parse::<SocketAddr>().is_ok() => {}
            Some((value, _)) => say(name, &format!("{value} is no address with a port")),
            None => {}
        }
    }
    let listens = text("listen").is_some() || paths.listen.is_some();
    if listens && text("discovery").is_none() && paths.discovery.is_none() {
        say("discovery", &"not set");
    }
    match text("seed") {
        Some((_, Some(seed))) => {
            if let Err(e) = config::seed(seed) {
                say("", &e);
            }
        }
        Some((value, None)) => say("seed", &format!("{value} is no text")),
        None => {}
    }
    let part = |name: &str| fields.get(name).cloned().unwrap_or(Value::Null);
    if !part("limits").is_null() {
        read_all::<config::Limits>(part("limits"), "limits", &mut say);
    }
    let name = fields.get("name").and_then(Value::as_str).unwrap_or_default();
    let (at, peers, all) = (part("peer_listen"), part("peers"), part("peers_all"));
    if let Err(e) = config::peer_addresses(&at, &peers, &all, name, None) {
        say("", &e);
    }
    if let Some(known) = fields.get("known").filter(|v| !v.is_null()) {
        list_faults(known).iter().for_each(|f| say("known", f));
    }
    if part("settings").is_null() {
        say("settings", &"missing");
    } else if let Some(document) = read_all::<Document>(part("settings"), "settings", &mut say) {
        match document.split() {
            Err(e) => say("", &e),
            Ok((mut settings, names)) => {
                places = names.places();
                let mail_file = mail::config::read(&paths.mail, &mut settings, &names);
                let mail = mail_file.as_ref().map_or(None, Option::as_ref);
                let classes = daemon::classes_of(&names, mail);
                if let Err(faults) = history::read(&paths.history, &names.tenants, &classes) {
                    out.extend(faults.iter().map(|f| format!("{}: {f}", paths.history.display())));
                }
                match mail_file {
                    Err(e) => out.push(e),
                    Ok(None) if !listens => out.push("listen: not set, and the mail front is off".to_owned()),
                    Ok(_) => {}
                }
            }
        }
    }
    places
}

/// Reads a part, and goes on after each fault without the value that it is in, to find the next one.
fn read_all<T: DeserializeOwned>(
    mut part: Value, at: &str, say: &mut impl FnMut(&str, &dyn std::fmt::Display),
) -> Option<T> {
    let mut taken = Vec::new();
    for _ in 0..FAULTS_MOST {
        let e = match serde_path_to_error::deserialize::<_, T>(part.clone()) {
            Ok(read) => return Some(read).filter(|_| taken.is_empty()),
            Err(e) => e,
        };
        let path = e.path().clone();
        let what = e.into_inner().to_string();
        // What is missing because it was taken out has been named; what it was missing from goes too.
        if !taken.iter().any(|name: &String| what == format!("missing field `{name}`")) {
            let shown = path.to_string();
            let shown = if shown == "." { at.to_owned() } else { format!("{at}.{shown}") };
            say(&shown, &what);
        }
        match take(&mut part, &path) {
            Some(name) => taken.push(name),
            None => return None,
        }
    }
    None
}

/// Takes the value at a path out; its name.
fn take(part: &mut Value, path: &serde_path_to_error::Path) -> Option<String> {
    use serde_path_to_error::Segment;
    let segments: Vec<_> = path.iter().collect();
    let (last, way) = segments.split_last()?;
    let mut at = part;
    for segment in way {
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

/// Reads a list of backends as a file of its own; the list if it is good, and its faults with the file's name.
pub fn list_file(path: &Path, places: &KindAndZoneNames) -> (Option<DiscoveryList>, Vec<String>) {
    let fail = |e: String| format!("{}: {e}", path.display());
    let value: Value = match std::fs::read(path)
        .map_err(|e| e.to_string())
        .and_then(|bytes| serde_json::from_slice(&bytes).map_err(|e| e.to_string()))
    {
        Ok(value) => value,
        Err(e) => return (None, vec![fail(e)]),
    };
    let mut faults: Vec<String> = list_faults(&value).into_iter().map(fail).collect();
    if !faults.is_empty() {
        return (None, faults);
    }
    let list: DiscoveryList = match serde_json::from_value(value) {
        Ok(list) => list,
        Err(e) => return (None, vec![fail(e.to_string())]),
    };
    for (n, instance) in list.instances.iter().enumerate() {
        for (what, name, known) in
            [("zone", &instance.zone, &places.zones), ("machineType", &instance.machine_type, &places.kinds)]
        {
            if !known.is_empty() && !name.is_empty() && !known.contains(name) {
                faults
                    .push(fail(format!("instances[{n}].{what}: {name:?} is not among the settings' names")));
            }
        }
    }
    (Some(list), faults)
}

/// What is wrong with a list, entry by entry.
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
    for (n, entry) in entries.iter().enumerate() {
        let at = format!("instances[{n}]");
        match serde_path_to_error::deserialize::<_, Instance>(entry.clone()) {
            Err(e) if e.path().to_string() == "." => out.push(format!("{at}: {}", e.inner())),
            Err(e) => out.push(format!("{at}.{}: {}", e.path(), e.inner())),
            Ok(instance) => {
                if instance.host_port.parse::<SocketAddr>().is_err() {
                    out.push(format!("{at}.hostPort: {:?} is no address with a port", instance.host_port));
                } else if !["up", "draining", "removed"].contains(&instance.lifecycle.as_str()) {
                    let what = "is none of up, draining and removed";
                    out.push(format!("{at}.lifecycle: {:?} {what}", instance.lifecycle));
                } else if instance.to_record(&KindAndZoneNames::default()).is_none() {
                    out.push(format!("{at}.instanceId: empty or too long"));
                }
                if let Some(before) = seen.insert(instance.instance_id.clone(), n) {
                    out.push(format!("{at}.instanceId: {:?} stands in [{before}] too", instance.instance_id));
                }
            }
        }
    }
    out
}
