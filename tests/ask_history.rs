//! Questions about histories and retention with real processes: pages over the whole fleet, what is forgotten, who honours what and
//! who has not said.

#[path = "support/askers.rs"]
mod askers;
mod support;

use askers::{fleet_of, missing, Fleet, Plan};
use indigohold::control::client::Client;
use indigohold::control::retention::{RetentionOrder, RetentionScope};
use indigohold_relay::{Faults, Mesh, What};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::process::Command;
use support::*;

const HISTORY: &str = r#"{"enabled": true, "disk_kb": 2048, "quorum": 0.5, "skew_s": 0,
    "policies": [{"tenant": "tallowood", "version": 4, "keep_s": 600}]}"#;

fn started(mesh: &Mesh) -> Fleet {
    let file = |_| json!({"enabled": true, "worth": {"ms_costs": 0.0, "hard_ms": 8_000}});
    let plan =
        Plan { n: 3, file: &file, may_ask: true, notes: Some(mesh), lean: true, history: Some(HISTORY) };
    let fleet = fleet_of(&plan);
    until("all show what they hold", || fleet.ask(0, "history tallowood 3").complete);
    fleet
}

fn client(fleet: &Fleet, i: usize) -> Client {
    Client::new(&fleet.folder(i).join("s"))
}

fn kept(fleet: &Fleet, i: usize) -> u64 {
    client(fleet, i).retention().unwrap().kept
}

/// All pages from one courier, so many messages each: ids in their order.
fn pages(fleet: &Fleet, i: usize, most: usize) -> Vec<String> {
    let (mut ids, mut after) = (Vec::new(), String::new());
    loop {
        let answer = fleet.ask(i, &format!("history tallowood 3 most={most}{after}"));
        assert!(answer.complete, "{answer:?}");
        let page = answer.together.unwrap();
        let rows = page["rows"].as_array().unwrap();
        assert!(rows.len() <= most);
        ids.extend(rows.iter().map(|row| row["id"].as_str().unwrap().to_owned()));
        match page["next"].as_str() {
            Some(next) => after = format!(" after={next}"),
            None => return ids,
        }
    }
}

fn forget(fleet: &Fleet, i: usize) {
    let whose = RetentionScope { tenant: Some("tallowood".into()), ..RetentionScope::default() };
    client(fleet, i).order(&RetentionOrder::Forget { whose, until_ms: None, despite_hold: false }).unwrap();
}

fn tallowood(fleet: &Fleet, i: usize) -> Value {
    let answer = fleet.ask(i, "retention tallowood");
    let all = answer.together.unwrap();
    all["tenants"].as_array().unwrap().iter().find(|t| t["tenant"] == "tallowood").unwrap().clone()
}

#[test]
fn a_channel_is_shown_in_pages_over_all_couriers_and_nothing_forgotten_ever_is() {
    let mesh = Mesh::new(3, 5).unwrap();
    let fleet = started(&mesh);
    let mut ids = BTreeSet::new();
    for n in 0..90 {
        let id = format!("m{n:02}");
        fleet.hand_in(n % 3, &id);
        ids.insert(id);
    }
    until("all are kept", || (0..3).all(|i| kept(&fleet, i) == 30));
    // Thirty from each go in more than one piece, with a head before them.
    let whole = fleet.ask(1, "history tallowood 3 most=200");
    let page = whole.together.as_ref().unwrap();
    assert_eq!((whole.figure, &page["next"], &page["withheld"]), (90, &Value::Null, &json!(0)));
    assert_eq!(page["rows"][0]["how"], "delivered");
    for (asker, most) in [(0, 7), (2, 50)] {
        let shown = pages(&fleet, asker, most);
        assert_eq!(shown.len(), 90, "none twice");
        assert_eq!(shown.into_iter().collect::<BTreeSet<_>>(), ids);
    }
    assert!(fleet.call(0, "ask history tallowoot 3").contains("no tenant of the settings"));
    // The second hears no notes any more, and knows of no order; the one that was given it shows nothing of what it holds.
    for i in [0, 2] {
        mesh.link(i, 1, Faults { lost: 1.0, ..Faults::default() }).unwrap();
    }
    forget(&fleet, 0);
    until("the third honours it", || kept(&fleet, 2) == 0);
    assert_eq!(kept(&fleet, 1), 30);
    for asker in [0, 2] {
        let answer = fleet.ask(asker, "history tallowood 3");
        let page = answer.together.as_ref().unwrap();
        assert_eq!((answer.figure, page["rows"].as_array().unwrap().len()), (0, 0), "{answer:?}");
        assert_eq!(page["withheld"], 30);
        assert!(!serde_json::to_string(&answer).unwrap().contains("\"m0"), "no part says it either");
    }
    mesh.link(0, 1, Faults::default()).unwrap();
    mesh.link(2, 1, Faults::default()).unwrap();
    until("the second honours it", || kept(&fleet, 1) == 0);
    assert_eq!(pages(&fleet, 1, 50), [""; 0]);
}

#[test]
fn for_each_tenant_is_said_who_honours_it_who_does_not_and_since_when_one_is_unheard() {
    let mesh = Mesh::new(3, 5).unwrap();
    let mut fleet = started(&mesh);
    (0..3).for_each(|i| fleet.hand_in(i, &format!("m{i}")));
    until("all are kept", || (0..3).all(|i| kept(&fleet, i) == 1));
    let all = tallowood(&fleet, 1);
    assert_eq!((&all["by_all"], &all["version"]), (&json!(true), &json!(4)), "{all}");
    assert_eq!(all["honoured_by"], json!(["c0", "c1", "c2"]));
    assert!(all["oldest_ms"].as_u64().is_some());

    // The second hears no notes: it does not honour what is ordered now, and answers.
    for i in [0, 2] {
        mesh.link(i, 1, Faults { lost: 1.0, ..Faults::default() }).unwrap();
    }
    let ordered = std::time::SystemTime::now();
    forget(&fleet, 2);
    until("the first honours it", || kept(&fleet, 0) == 0);
    let part = tallowood(&fleet, 1);
    assert_eq!((&part["by_all"], &part["honoured_by"]), (&json!(false), &json!(["c0", "c2"])), "{part}");
    assert_eq!(part["not_by"], json!({"c1": 4}), "{part}");
    let ordered = ordered.duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    assert!(part["forgotten_until_ms"].as_u64().unwrap() + 2_000 > ordered, "{part}");

    // The third is killed: named, with what it last said and since when it is unheard.
    until("its version is known to the first", || {
        let view: Value = serde_json::from_str(fleet.call(0, "telemetry").lines().next().unwrap()).unwrap();
        view["shared"]["members"][2]["standing"] == "here"
    });
    fleet.kill(2);
    let gone = tallowood(&fleet, 0);
    let unheard = &gone["unheard"]["c2"];
    assert_eq!((&unheard["why"], &unheard["version"]), (&json!("away"), &json!(4)), "{gone}");
    assert!(unheard["since_ms"].as_u64().unwrap() + 60_000 > ordered, "{gone}");
    // By the command, as operators see it.
    let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
    let out = command.args(["ask", "retention", "--control", &fleet.doors[0].to_string()]).output().unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.code() == Some(4) && text.contains("NOT by c1 (version 4)"), "{text}");
    assert!(text.contains("unheard c2 (since 2"), "{text}");

    // A history's kinds have their own learnt times, and a courier that hangs is named for them too.
    fleet.start(2);
    until("the third is whole again", || fleet.ask(0, "history tallowood 3").complete);
    fleet.rule("c0>c2", What::Mute);
    assert_eq!(missing(&fleet.ask(0, "retention")), [("c2", "late")]);
}
