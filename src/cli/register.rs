//! `indigohold register ...`: what is kept of the register, and the operators' static file.

use super::check::list_file;
use super::Register;
use crate::config::Paths;
use crate::register::config as register;
use crate::register::kept_copy::{self, KeptList};
use crate::register::list::{DiscoveryList, KindAndZoneNames};
use serde_json::json;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Carries it out; what to print, or one line that says why not.
pub fn run(paths: &Paths, what: &Register) -> Result<String, String> {
    match what {
        Register::Show { json } => show(paths, *json),
        Register::Export { out, force } => export(paths, out.as_deref(), *force),
        Register::Import { file, merge } => import(paths, file, *merge),
    }
}

fn kept(paths: &Paths) -> Result<KeptList, String> {
    let dir = paths.state()?;
    let (kept, said) = kept_copy::read(&dir);
    said.iter().for_each(|words| eprintln!("indigohold: {words}"));
    kept.ok_or_else(|| format!("no list is kept in {}", dir.display()))
}

fn show(paths: &Paths, as_json: bool) -> Result<String, String> {
    let rules = register::read(&paths.register).unwrap_or_default().rules;
    let kept = kept(paths)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    // A copy from the future says nothing of its age.
    let age_s = now.checked_sub(kept.confirmed_at().0).map(|us| us as f64 / 1e6);
    let usable = rules.use_stale_copy || age_s.is_some_and(|age| age <= rules.max_copy_age.secs());
    let allowed = age_s.map_or(Some(1), |s| rules.trust.concurrency_limit(crate::Micros::from_secs(s), 0));
    if as_json {
        let value = json!({
            "heard_ms": kept.confirmed_ms, "age_s": age_s, "usable": usable, "first_calls_at_once": allowed,
            "list": kept.list,
        });
        return serde_json::to_string_pretty(&value).map(|text| text + "\n").map_err(|e| e.to_string());
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["backend", "address", "dest", "state", "kind", "zone", "rate"]);
    for i in &kept.list.instances {
        let rate = i.weight.map_or(String::new(), |w| w.to_string());
        let row = [
            &i.instance_id,
            &i.host_port,
            &i.cell.to_string(),
            &i.lifecycle,
            &i.machine_type,
            &i.zone,
            &rate,
        ];
        table.add_row(row);
    }
    let age = age_s.map_or("from the future".to_owned(), |s| format!("{s:.1} s old"));
    let use_of = match (usable, allowed) {
        (false, _) => "too old to be used".to_owned(),
        (true, None) => "used at once".to_owned(),
        (true, Some(most)) => format!("used with {most} calls at once to each backend at first"),
    };
    let rows = table.lines().map(|line| line.trim_end().to_owned() + "\n").collect::<String>();
    let count = kept.list.instances.len();
    Ok(format!("{rows}{count} backends, version {}, {age}: {use_of}\n", kept.list.generation))
}

fn export(paths: &Paths, out: Option<&Path>, force: bool) -> Result<String, String> {
    let list = kept(paths)?.list;
    let text = serde_json::to_string_pretty(&list).map_err(|e| e.to_string())? + "\n";
    let Some(out) = out else { return Ok(text) };
    if out.exists() && !force {
        return Err(format!("{} is there already; --force replaces it", out.display()));
    }
    place(out, &text)?;
    Ok(format!("{} backends, version {}: {}\n", list.instances.len(), list.generation, out.display()))
}

fn import(paths: &Paths, file: &Path, merge: bool) -> Result<String, String> {
    let config = register::read(&paths.register).map_err(|f| {
        format!("{}: {}", paths.register.display(), f.first().map_or(String::new(), |f| f.to_string()))
    })?;
    let into = config.static_file.ok_or_else(|| format!("{}: static: not set", paths.register.display()))?;
    let places = paths
        .read()
        .ok()
        .and_then(|config| config.settings.split().ok())
        .map_or(KindAndZoneNames::default(), |(_, names)| names.places());
    let (list, faults) = list_file(file, &places);
    let (Some(mut list), true) = (list, faults.is_empty()) else { return Err(faults.join("\n")) };
    list.reset = true;
    if merge && into.exists() {
        let (old, faults) = list_file(&into, &places);
        let Some(old) = old else { return Err(faults.join("\n")) };
        let DiscoveryList { generation, instances, .. } = old;
        let named: std::collections::HashSet<String> =
            list.instances.iter().map(|i| i.instance_id.clone()).collect();
        list.instances.extend(instances.into_iter().filter(|i| !named.contains(&i.instance_id)));
        list.generation = list.generation.max(generation);
    }
    let text = serde_json::to_string_pretty(&list).map_err(|e| e.to_string())? + "\n";
    place(&into, &text)?;
    Ok(format!("{} backends: {}\n", list.instances.len(), into.display()))
}

/// Beside the old file and then in its place: a running instance never reads half of it.
fn place(path: &Path, text: &str) -> Result<(), String> {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let new = path.with_file_name(name);
    let write = || -> std::io::Result<()> {
        let mut file = fs::File::create(&new)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::rename(&new, path)
    };
    write().map_err(|e| format!("{}: {e}", path.display()))
}
