//! The command line: output and exit codes.

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

fn write_kept_copy(folder: &Path, age_s: u64) -> DiscoveryList {
    let read = ParsedList::parse(
        scripted::list(41, &[scripted::up("s-1", ([127, 0, 0, 1], 7).into(), 3)]).as_bytes(),
    );
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
    let list = read.unwrap().list;
    let copy = KeptList { confirmed_ms: now / 1000 - age_s * 1000, sequence: None, list: list.clone() };
    kept_copy::write(&folder.join("state"), &kept_copy::encode(&copy)).unwrap();
    list
}

#[test]
fn check_reports_every_fault_with_its_path() {
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
    let output = text(&out.stdout);
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
        assert!(output.lines().any(|l| l.contains(fault)), "{fault}: {output}");
    }
    assert_eq!(output.lines().count(), 12, "{output}");
    folder.write("register.json", r#"{"static": "own.json"}"#);
    folder.write("config.json", &good_config().to_string());
    folder.write("own.json", r#"{"generation": 1, "instances": [{"instanceId": "x"}, 4]}"#);
    let output = text(&run(&folder.0, &["check"]).stdout);
    assert!(
        output.contains("own.json: instances[0]: missing field") && output.contains("own.json: instances[1]"),
        "{output}"
    );
}

#[test]
fn register_show_prints_the_kept_list_and_its_age() {
    let folder = Folder::new();
    let out = run(&folder.0, &["register", "show"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("no list is kept"), "{out:?}");
    write_kept_copy(&folder.0, 120);
    let output = text(&run(&folder.0, &["register", "show"]).stdout);
    assert!(output.contains("s-1") && output.contains("127.0.0.1:7"), "{output}");
    assert!(output.contains("1 backends, version 41, 12"), "{output}");
    assert!(output.contains("used with 4 calls at once"), "{output}");
    let json = text(&run(&folder.0, &["register", "show", "--json"]).stdout);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((&json["usable"], &json["list"]["generation"]), (&true.into(), &41.into()));
    write_kept_copy(&folder.0, 2 * 24 * 3600);
    let output = text(&run(&folder.0, &["register", "show"]).stdout);
    assert!(output.contains("too old to be used"), "{output}");
}

#[test]
fn a_list_is_exported_and_imported() {
    let folder = Folder::new();
    folder.write("config.json", &good_config().to_string());
    let list = write_kept_copy(&folder.0, 1);
    let file = folder.0.join("out.json");
    let out = run(&folder.0, &["register", "export", "--out", file.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
    let again = run(&folder.0, &["register", "export", "--out", file.to_str().unwrap()]);
    assert!(text(&again.stderr).contains("--force"), "{again:?}");
    let import = |args: &[&str]| run(&folder.0, &[&["register", "import"], args].concat());
    assert!(text(&import(&["x"]).stderr).contains("static: not set"));
    folder.write("register.json", r#"{"static": "own.json"}"#);
    let invalid = folder.write("bad.json", r#"{"generation": 1, "instances": [{"instanceId": "x"}]}"#);
    let out = import(&[invalid.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("instances[0]: missing field"), "{out:?}");
    assert!(!folder.0.join("own.json").exists(), "an invalid list replaces no file");
    assert!(import(&[file.to_str().unwrap()]).status.success());
    let own = || ParsedList::parse(&std::fs::read(folder.0.join("own.json")).unwrap()).unwrap().list;
    assert_eq!(own(), list);
    let other_list = scripted::list(1, &[scripted::up("s-2", ([127, 0, 0, 1], 8).into(), 4)]);
    let other_list = folder.write("more.json", &other_list);
    assert!(import(&[other_list.to_str().unwrap(), "--merge"]).status.success());
    assert_eq!(own().instances.iter().map(|i| i.instance_id.as_str()).collect::<Vec<_>>(), ["s-2", "s-1"]);
}

/// With `--log-format json`, each log line is an object with its time, level and target.
#[test]
fn log_lines_are_json_objects_on_request() {
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
    // Discovery is unreachable, which may be logged before or after the line that the test looks for.
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
