//! `indigohold register ...`: the kept copy of the registry's list, and the operators' static file.

use super::check::list_file;
use super::Register;
use crate::config::Paths;
use crate::register::config as register;
use crate::register::kept_changes::{self, KeptListRead};
use crate::register::kept_copy::KeptList;
use crate::register::list::{DiscoveryList, KindAndZoneNames};
use serde_json::json;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Runs the command. Returns the text to print, or a line with the error.
pub fn run(paths: &Paths, what: &Register) -> Result<String, String> {
    match what {
        Register::Show { json } => show(paths, *json),
        Register::Export { out, force } => export(paths, out.as_deref(), *force),
        Register::Import { file, merge } => import(paths, file, *merge),
    }
}

/// Reads the kept list from the state folder.
fn read_kept_list(paths: &Paths) -> Result<KeptList, String> {
    let dir = paths.state()?;
    let KeptListRead { list, warnings, .. } = kept_changes::read(&dir);
    warnings.iter().for_each(|warning| eprintln!("indigohold: {warning}"));
    list.ok_or_else(|| format!("no list is kept in {}", dir.display()))
}

fn show(paths: &Paths, as_json: bool) -> Result<String, String> {
    let rules = register::read(&paths.register).unwrap_or_default().rules;
    let kept = read_kept_list(paths)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    // The age of a copy is unknown if its time lies in the future.
    let age_s = now.checked_sub(kept.confirmed_at().0).map(|us| us as f64 / 1e6);
    let usable = rules.use_stale_copy || age_s.is_some_and(|age| age <= rules.max_copy_age.secs());
    let concurrency_limit =
        age_s.map_or(Some(1), |s| rules.trust.concurrency_limit(crate::Micros::from_secs(s), 0));
    if as_json {
        let value = json!({
            "heard_ms": kept.confirmed_ms, "age_s": age_s, "usable": usable, "first_calls_at_once": concurrency_limit,
            "list": kept.list,
        });
        return serde_json::to_string_pretty(&value).map(|text| text + "\n").map_err(|e| e.to_string());
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["backend", "address", "dest", "state", "kind", "zone", "rate"]);
    for instance in &kept.list.instances {
        let rate = instance.weight.map_or(String::new(), |w| w.to_string());
        let row = [
            &instance.instance_id,
            &instance.host_port,
            &instance.cell.to_string(),
            &instance.lifecycle,
            &instance.machine_type,
            &instance.zone,
            &rate,
        ];
        table.add_row(row);
    }
    let age = age_s.map_or("from the future".to_owned(), |s| format!("{s:.1} s old"));
    let usage = match (usable, concurrency_limit) {
        (false, _) => "too old to be used".to_owned(),
        (true, None) => "used at once".to_owned(),
        (true, Some(limit)) => format!("used with {limit} calls at once to each backend at first"),
    };
    let rows = table.lines().map(|line| line.trim_end().to_owned() + "\n").collect::<String>();
    let count = kept.list.instances.len();
    Ok(format!("{rows}{count} backends, version {}, {age}: {usage}\n", kept.list.generation))
}

fn export(paths: &Paths, out: Option<&Path>, force: bool) -> Result<String, String> {
    let list = read_kept_list(paths)?.list;
    let text = serde_json::to_string_pretty(&list).map_err(|e| e.to_string())? + "\n";
    let Some(out) = out else { return Ok(text) };
    if out.exists() && !force {
        return Err(format!("{} is there already; --force replaces it", out.display()));
    }
    replace_file(out, &text)?;
    Ok(format!("{} backends, version {}: {}\n", list.instances.len(), list.generation, out.display()))
}

fn import(paths: &Paths, file: &Path, merge: bool) -> Result<String, String> {
    let config = register::read(&paths.register).map_err(|f| {
        format!("{}: {}", paths.register.display(), f.first().map_or(String::new(), |f| f.to_string()))
    })?;
    let static_file =
        config.static_file.ok_or_else(|| format!("{}: static: not set", paths.register.display()))?;
    let names = paths
        .read()
        .ok()
        .and_then(|config| config.settings.split().ok())
        .map_or(KindAndZoneNames::default(), |(_, settings_names)| settings_names.places());
    let (list, faults) = list_file(file, &names);
    let (Some(mut list), true) = (list, faults.is_empty()) else { return Err(faults.join("\n")) };
    list.reset = true;
    if merge && static_file.exists() {
        let (existing, faults) = list_file(&static_file, &names);
        let Some(existing) = existing else { return Err(faults.join("\n")) };
        let DiscoveryList { generation, instances, .. } = existing;
        let imported_ids: std::collections::HashSet<String> =
            list.instances.iter().map(|i| i.instance_id.clone()).collect();
        list.instances.extend(instances.into_iter().filter(|i| !imported_ids.contains(&i.instance_id)));
        list.generation = list.generation.max(generation);
    }
    let text = serde_json::to_string_pretty(&list).map_err(|e| e.to_string())? + "\n";
    replace_file(&static_file, &text)?;
    Ok(format!("{} backends: {}\n", list.instances.len(), static_file.display()))
}

/// Writes the text to a new file beside `path` and renames it, so that a running instance never reads a partial file.
fn replace_file(path: &Path, text: &str) -> Result<(), String> {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let temporary_path = path.with_file_name(name);
    let write = || -> std::io::Result<()> {
        let mut file = fs::File::create(&temporary_path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::rename(&temporary_path, path)
    };
    write().map_err(|e| format!("{}: {e}", path.display()))
}
