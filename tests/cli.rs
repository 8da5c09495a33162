//! The command line as its users see it: what is printed, and exit codes.

mod support;

use indigohold::register::kept_copy::{self, KeptList};
use indigohold::register::list::{DiscoveryList, ParsedList};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{SystemTime, UNIX_EPOCH};
use support::*;

fn run(folder: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
    for name in [
        "LISTEN",
        "DISCOVERY",
        "CONFIG",
        "STATE",
        "MAIL",
        "REGISTER",
        "SHARED",
        "CONTROL",
        "LOG",
        "LOG_FORMAT",
    ] {
        command.env_remove(format!("NODE_{name}"));
    }
    let (config, state) = (folder.join("config.json"), folder.join("state"));
    let (mail, register) = (folder.join("mail.json"), folder.join("register.json"));
    let (control, shared) = (folder.join("channel.json"), folder.join("shared.json"));
    for (flag, path) in [
        ("--config", &config),
        ("--state", &state),
        ("--mail", &mail),
        ("--register", &register),
        ("--channel", &control),
        ("--shared", &shared),
    ] {
        command.arg(flag).arg(path);
    }
    command.args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn good_config() -> serde_json::Value {
    serde_json::json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings(20_000)})
}

fn keep(folder: &Path, age_s: u64) -> DiscoveryList {
    let read = ParsedList::parse(
        scripted::list(41, &[scripted::up("s-1", ([127, 0, 0, 1], 7).into(), 3)]).as_bytes(),
    );
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
    let list = read.unwrap().list;
    let copy = KeptList { confirmed_ms: now / 1000 - age_s * 1000, list: list.clone() };
    kept_copy::write(&folder.join("state"), &kept_copy::encode(&copy)).unwrap();
    list
}

#[test]
fn check_names_every_fault_with_its_path() {
    let folder = Folder::new();
    folder.write("config.json", &good_config().to_string());
    let out = run(&folder.0, &["check"]);
    assert_eq!((out.status.code(), text(&out.stdout)), (Some(0), "no fault found\n".into()), "{out:?}");
    let mut bad = good_config();
    bad["listen"] = "here".into();
    bad["seed"] = "xyz".into();
    bad["limits"] = serde_json::json!({"sockets": -1, "memory_mb": "much"});
    bad["known"] = serde_json::json!({"generation": 1, "instances": [
        {"instanceId": "a", "hostPort": "1.2.3.4:5", "cell": 1, "lifecycle": "up"},
        {"instanceId": "a", "hostPort": "1.2.3.4", "cell": 1, "lifecycle": "up"},
        {"instanceId": "b", "hostPort": "1.2.3.4:5", "cell": 70000, "lifecycle": "up"}]});
    bad["settings"]["profiles"][1]["aim"] = "soon".into();
    bad["settings"]["weights"] = "heavy".into();
    folder.write("config.json", &bad.to_string());
    folder.write("shared.json", r#"{"beat_ms": 1}"#);
    folder.write("register.json", r#"{"hold_ms": -1, "static": "own.json", "kept": {"evry": 1}}"#);
    let out = run(&folder.0, &["check"]);
    let said = text(&out.stdout);
    assert_eq!(out.status.code(), Some(2));
    for fault in [
        "listen: \"here\" is no address",
        "seed: invalid digit",
        "limits.sockets: ",
        "limits.memory_mb: ",
        "known: instances[1].hostPort: \"1.2.3.4\"",
        "known: instances[1].instanceId: \"a\" stands in [0] too",
        "known: instances[2].cell: ",
        "settings.profiles[1].aim: ",
        "settings.weights: ",
        "register.json: hold_ms: -1 is not within",
        "register.json: kept.evry: no such setting",
        "shared.json: beat_ms: 1 is not within",
    ] {
        assert!(said.lines().any(|l| l.contains(fault)), "{fault}: {said}");
    }
    assert_eq!(said.lines().count(), 12, "{said}");
    folder.write("register.json", r#"{"static": "own.json"}"#);
    folder.write("config.json", &good_config().to_string());
    folder.write("own.json", r#"{"generation": 1, "instances": [{"instanceId": "x"}, 4]}"#);
    let said = text(&run(&folder.0, &["check"]).stdout);
    assert!(
        said.contains("own.json: instances[0]: missing field") && said.contains("own.json: instances[1]"),
        "{said}"
    );
}

#[test]
fn the_kept_list_is_shown_with_its_age() {
    let folder = Folder::new();
    let out = run(&folder.0, &["register", "show"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("no list is kept"), "{out:?}");
    keep(&folder.0, 120);
    let said = text(&run(&folder.0, &["register", "show"]).stdout);
    assert!(said.contains("s-1") && said.contains("127.0.0.1:7"), "{said}");
    assert!(said.contains("1 backends, version 41, 12"), "{said}");
    assert!(said.contains("used with 4 calls at once"), "{said}");
    let json = text(&run(&folder.0, &["register", "show", "--json"]).stdout);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((&json["usable"], &json["list"]["generation"]), (&true.into(), &41.into()));
    keep(&folder.0, 2 * 24 * 3600);
    let said = text(&run(&folder.0, &["register", "show"]).stdout);
    assert!(said.contains("too old to be used"), "{said}");
}

#[test]
fn a_list_goes_out_and_comes_in() {
    let folder = Folder::new();
    folder.write("config.json", &good_config().to_string());
    let list = keep(&folder.0, 1);
    let file = folder.0.join("out.json");
    let out = run(&folder.0, &["register", "export", "--out", file.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
    let again = run(&folder.0, &["register", "export", "--out", file.to_str().unwrap()]);
    assert!(text(&again.stderr).contains("--force"), "{again:?}");
    let import = |args: &[&str]| run(&folder.0, &[&["register", "import"], args].concat());
    assert!(text(&import(&["x"]).stderr).contains("static: not set"));
    folder.write("register.json", r#"{"static": "own.json"}"#);
    let bad = folder.write("bad.json", r#"{"generation": 1, "instances": [{"instanceId": "x"}]}"#);
    let out = import(&[bad.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("instances[0]: missing field"), "{out:?}");
    assert!(!folder.0.join("own.json").exists(), "a bad list replaces nothing");
    assert!(import(&[file.to_str().unwrap()]).status.success());
    let own = || ParsedList::parse(&std::fs::read(folder.0.join("own.json")).unwrap()).unwrap().list;
    assert_eq!(own(), list);
    let more = scripted::list(1, &[scripted::up("s-2", ([127, 0, 0, 1], 8).into(), 4)]);
    let more = folder.write("more.json", &more);
    assert!(import(&[more.to_str().unwrap(), "--merge"]).status.success());
    assert_eq!(own().instances.iter().map(|i| i.instance_id.as_str()).collect::<Vec<_>>(), ["s-2", "s-1"]);
}

/// The log as JSON lines: each one an object with its time, level and target.
#[test]
fn the_log_is_json_where_it_is_asked_for() {
    let folder = Folder::new();
    let mut config = good_config();
    config["listen"] = "127.0.0.1:0".into();
    let path = folder.write("config.json", &config.to_string());
    let state = folder.0.join("state");
    let mut child = Command::new(env!("CARGO_BIN_EXE_indigohold"))
        .args(["run", "--log-format", "json", "--log", "warn,daemon=info"])
        .env("NODE_CONFIG", &path)
        .env("NODE_STATE", &state)
        .env("NODE_MAIL", folder.0.join("none"))
        .env("NODE_REGISTER", folder.0.join("none"))
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let lines = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().unwrap()));
    // Its discovery is not there, which may be said before or after.
    let parsed = lines.map(|line| serde_json::from_str::<serde_json::Value>(&line.unwrap()).unwrap());
    let first = parsed.into_iter().find(|line| line["target"] == "daemon").unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(
        (&first["level"], &first["target"], &first["register"]),
        (&"info".into(), &"daemon".into(), &"cold".into())
    );
    assert!(
        first["message"].as_str().unwrap().starts_with("ready; ") && first["time_ms"].is_u64(),
        "{first}"
    );
}
