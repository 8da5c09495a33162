//! Questions to the whole fleet with real processes: six couriers, their links through a relay; some stopped, killed, slow, cut
//! off, answering rubbish.

#[path = "support/askers.rs"]
mod askers;
mod support;

use askers::{call, fleet, fleet_with, missing, Fleet};
use indigohold::net::ask::shape::AnswerShape;
use indigohold_relay::{At, Mesh, Rule, Way, What};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::crowd::{connect, submit, Response};
use support::*;

const MS: u64 = 1_000;

/// A fleet where a millisecond costs so much of what all parts are worth.
fn costs(ms_costs: f64, hard_ms: u64) -> serde_json::Value {
    json!({"enabled": true, "worth": {"ms_costs": ms_costs, "hard_ms": hard_ms}})
}

fn delay(ms: u64) -> What {
    What::Delay { low: ms * MS, high: ms * MS, grows: 0 }
}

fn came(answer: &AnswerShape, courier: &str) -> bool {
    answer.parts.iter().any(|p| p.courier == courier && p.whole)
}

#[test]
fn a_partial_answer_names_exactly_who_is_missing_and_comes_long_before_the_hard_bound() {
    let mut fleet = fleet(6, costs(0.0002, 16_000), true);
    for i in 0..6 {
        fleet.hand_in(i, &format!("hang-{i}"));
    }
    let mut whole = fleet.ask(0, "held");
    until("all have answered in time", || {
        whole = fleet.ask(0, "held");
        whole.complete
    });
    assert!(whole.stopped == "all_came" && whole.figure == 6, "{whole:?}");
    let one = whole.parts.iter().find(|p| p.courier == "c4").unwrap();
    assert_eq!(one.says[0]["class"], json!({"print-order": 1}));
    assert_eq!(one.says[0]["dest"], json!({"3": 1}));

    // One stopped, one killed, one slow, one whose answers are cut in the middle.
    fleet.stop(3);
    fleet.kill(4);
    fleet.rule("c0>c5", delay(300));
    let cut = Rule::new("cut", "c0>c1", What::Fin).unwrap().one_way(Way::Down).at(At::Byte(20));
    fleet.relay.add(cut).unwrap();
    let mut rounds = 0;
    until("the slow one is learnt and waited for, and the one that is stopped is not", || {
        rounds += 1;
        let answer = fleet.ask(0, "held");
        let why = |name: &str| answer.missing.iter().find(|m| m.courier == name).unwrap();
        let (cut, stopped, gone) = (why("c1"), why("c3"), why("c4"));
        assert_eq!((cut.why.as_str(), stopped.why.as_str(), gone.why.as_str()), ("away", "late", "away"));
        assert!(cut.detail.contains("in the middle"), "{cut:?}");
        assert_eq!(gone.before.as_ref().map(|b| b.figure), Some(1), "what was known of it before");
        assert!(!answer.complete && answer.stopped == "not_worth_more", "{answer:?}");
        assert!(answer.waited_ms < 8_000.0, "{answer:?}");
        rounds >= 4 && missing(&answer).len() == 3 && came(&answer, "c5")
    });
    fleet.go_on(3);
}

#[test]
fn a_question_about_a_message_ends_at_the_answer_of_the_one_that_holds_it() {
    // Time costs nothing: whoever waits at all waits to the hard bound.
    let fleet = fleet(4, costs(0.0, 16_000), true);
    fleet.hand_in(2, "hang-here");
    fleet.hand_in(2, "done");
    fleet.hand_in(0, "hang-own");
    until("it is out, and the other has ended", || {
        let calls = fleet.site.endpoint.count("hang-here");
        calls > 0 && fleet.call(2, "part where done").contains(r#""how":"delivered""#)
    });
    fleet.stop(3);
    fleet.rule("c0>c1", What::Mute);
    for (id, state, by) in [("hang-here", "held", "c2"), ("done", "ended", "c2"), ("hang-own", "held", "c0")]
    {
        let answer = fleet.ask(0, &format!("where {id}"));
        assert!(answer.complete && answer.stopped == "found" && answer.figure == 1, "{answer:?}");
        assert!(answer.waited_ms < 10_000.0, "{answer:?}");
        let part = answer.parts.iter().find(|p| p.courier == by).unwrap();
        // A call of a held one may be out or not.
        let said = part.says[0]["state"].as_str().unwrap();
        assert!(said == state || (state, said) == ("held", "out"), "{answer:?}");
        assert!(missing(&answer).iter().any(|(name, _)| *name == "c3"), "{answer:?}");
    }
    fleet.go_on(3);
    let nowhere = fleet.ask(2, "where never-seen");
    assert!(nowhere.complete && nowhere.figure == 0 && nowhere.stopped == "all_came", "{nowhere:?}");
}

#[test]
fn the_smaller_part_of_a_cut_says_so_and_all_is_whole_again_after_it() {
    // Time costs nothing, so that nobody is given up who could have been heard.
    let fleet = fleet(6, costs(0.0, 3_000), true);
    assert!(fleet.ask(0, "figures").complete && fleet.ask(3, "figures").complete);
    let cut = fleet.rule("c0-1>c2-5 c2-5>c0-1", What::Hold);
    let small = fleet.ask(0, "figures");
    assert_eq!(missing(&small), [("c2", "late"), ("c3", "late"), ("c4", "late"), ("c5", "late")]);
    assert!(!small.majority && small.heard == 2 && came(&small, "c1"), "{small:?}");
    let large = fleet.ask(3, "figures");
    assert!(large.majority && large.heard == 4, "{large:?}");
    assert_eq!(missing(&large), [("c0", "late"), ("c1", "late")]);
    assert!(fleet.relay.lift(cut).unwrap());
    until("all is whole again", || fleet.ask(0, "figures").complete);
}

#[test]
fn half_late_just_after_they_were_learnt_to_be_fast_are_learnt_to_be_late() {
    let fleet = fleet(6, costs(0.0005, 4_000), true);
    for _ in 0..12 {
        fleet.ask(0, "held");
    }
    fleet.rule("c0>c3-5", delay(150));
    let mut answers = Vec::new();
    until("they are waited for", || {
        answers.push(fleet.ask(0, "held"));
        answers.last().unwrap().complete
    });
    for answer in &answers {
        assert!(answer.missing.iter().all(|m| m.why == "late"), "{answer:?}");
    }
    let last = answers.last().unwrap();
    assert!(last.waited_ms >= 150.0, "{last:?}");
}

#[test]
fn a_new_life_of_the_asker_answers_its_own_questions_alone() {
    let mut fleet = fleet(4, costs(0.0, 16_000), true);
    fleet.hand_in(2, "hang-2");
    fleet.stop(3);
    let mut open = connect(fleet.doors[0]);
    open.write_all(b"ask held\n").unwrap();
    until("the others are asked", || fleet.relay.read().unwrap().counts.taken >= 3);
    fleet.kill(0);
    let mut said = String::new();
    // The connection is reset, or ends: nobody claims an answer.
    let _ = open.read_to_string(&mut said);
    assert_eq!(said, "");
    fleet.start(0);
    fleet.go_on(3);
    let answer = fleet.ask(0, "held");
    assert!(answer.complete && answer.figure == 1, "{answer:?}");
    // One that restarts is asked in its new life.
    fleet.kill(1);
    assert_eq!(missing(&fleet.ask(0, "held")), [("c1", "away")]);
    fleet.start(1);
    assert!(fleet.ask(0, "held").complete);
    // Its next version has the other door.
    fleet.target(0, 1, "127.0.0.1:9".parse().unwrap());
    assert_eq!(missing(&fleet.ask(0, "held")), [("c1", "away")]);
    fleet.second(0, 1, fleet.doors[1]);
    assert!(fleet.ask(0, "held").complete);
}

/// A door that says the same to every line, and stays open.
fn stand_in(says: Vec<u8>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let says = says.clone();
            thread::spawn(move || {
                let mut buf = [0; 64];
                if stream.read(&mut buf).is_ok_and(|n| n > 0) && stream.write_all(&says).is_ok() {
                    thread::sleep(LONG);
                }
            });
        }
    });
    addr
}

#[test]
fn rubbish_is_refused_by_name_and_harms_no_other_part() {
    let fleet = fleet(3, costs(0.0, 16_000), true);
    let piece = |courier: &str, number: u32, last: bool| {
        let piece =
            json!({"courier": courier, "life": 1, "piece": number, "last": last, "figure": 1, "body": {}});
        format!("{piece}\n")
    };
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (b"\xff\xfe\x00\n".to_vec(), "can't be read"),
        (b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), "can't be read"),
        (("[".repeat(5_000) + "\n").into_bytes(), "can't be read"),
        (piece("c1", 0, true).into_bytes(), "calls itself \"c1\""),
        (piece("c2", 64, true).into_bytes(), "can't be"),
        (piece("c2", 300, true).into_bytes(), "can't be read"),
        ((piece("c2", 0, false) + &piece("c2", 0, false)).into_bytes(), "twice"),
        ((piece("c2", 3, true) + &piece("c2", 4, false)).into_bytes(), "can't be"),
        (b"400 not to you\n".to_vec(), "not to you"),
    ];
    for (bytes, words) in cases {
        fleet.target(0, 2, stand_in(bytes));
        let answer = fleet.ask(0, "held");
        assert_eq!(missing(&answer), [("c2", "refused")], "{words}: {answer:?}");
        assert!(answer.missing[0].detail.contains(words), "{words}: {answer:?}");
        assert_eq!(answer.stopped, "nobody_left");
    }
    fleet.target(0, 2, fleet.doors[2]);
    assert!(fleet.ask(0, "held").complete);
}

/// Questions from many at once; how many were answered, and how many had no room.
fn crowd(fleet: &Fleet, n: usize) -> (usize, usize) {
    let door = fleet.doors[0];
    let all: Vec<_> = (0..n).map(|_| thread::spawn(move || call(door, "ask held"))).collect();
    let said: Vec<String> = all.into_iter().map(|one| one.join().unwrap()).collect();
    let busy = said.iter().filter(|text| text.starts_with("400 busy")).count();
    (said.iter().filter(|text| text.ends_with("\nEOF\n")).count(), busy)
}

#[test]
fn traffic_and_the_door_go_on_while_a_peer_hangs_and_many_ask() {
    let fleet = fleet(3, costs(0.0, 4_000), true);
    fleet.stop(2);
    let over = Arc::new(AtomicBool::new(false));
    let (addr, ended) = (fleet.addrs[0], over.clone());
    let client = thread::spawn(move || {
        let (mut stream, mut taken, mut longest) = (connect(addr), 0, Duration::ZERO);
        while !ended.load(Ordering::SeqCst) {
            let began = std::time::Instant::now();
            assert_eq!(submit(&mut stream, &format!("t{taken}")), Response::Status(202));
            longest = longest.max(began.elapsed());
            taken += 1;
            thread::sleep(Duration::from_millis(5));
        }
        (taken, longest)
    });
    let (mut answered, mut busy) = (0, 0);
    for _ in 0..2 {
        let (more, full) = crowd(&fleet, 24);
        (answered, busy) = (answered + more, busy + full);
        assert!(fleet.call(0, "readyz").starts_with("200 "));
    }
    assert_eq!(answered + busy, 48);
    assert!(busy >= 2 && answered >= 16, "16 at a time: {answered} answered, {busy} not");
    over.store(true, Ordering::SeqCst);
    let (taken, longest) = client.join().unwrap();
    assert!(longest < Duration::from_millis(4_000), "{longest:?}: nothing waits for the one that is stopped");
    until("all are delivered", || fleet.site.delivered().len() == taken);
    fleet.go_on(2);
}

#[test]
fn what_is_learnt_waits_far_shorter_than_a_fixed_bound_for_the_same_parts() {
    let mut file = costs(0.001, 2_000);
    // The rule of a fixed bound: time costs nothing.
    file["kinds"] = json!({"figures": {"ms_costs": 0}});
    let fleet = fleet(6, file, true);
    fleet.stop(4);
    let (mut learnt, mut fixed) = (Vec::new(), Vec::new());
    for _ in 0..10 {
        let (a, b) = (fleet.ask(0, "held"), fleet.ask(0, "figures"));
        assert_eq!((b.stopped.as_str(), missing(&b).len()), ("hard_bound", 1));
        assert!(missing(&a).iter().any(|(name, _)| *name == "c4"));
        learnt.push(a.waited_ms);
        fixed.push(b.waited_ms);
    }
    println!("one of six stopped, waited in ms: learnt {learnt:.0?}; fixed {fixed:.0?}");
    let sum = |all: &[f64]| all.iter().sum::<f64>();
    assert!(sum(&learnt[3..]) * 4.0 < sum(&fixed[3..]), "{learnt:?} {fixed:?}");
    fleet.go_on(4);
}

#[test]
fn the_command_asks_at_the_door_and_at_the_channel_and_nothing_goes_out_where_it_is_not_allowed() {
    let mut fleet = fleet(3, costs(0.0, 10_000), true);
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_indigohold")).args(args).output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        (out.status.code().unwrap(), text(&out.stdout), text(&out.stderr))
    };
    let door = fleet.doors[0].to_string();
    let socket = fleet.folder(0).join("s").to_str().unwrap().to_owned();
    for to in [["--control", door.as_str()], ["--socket", socket.as_str()]] {
        let (code, out, err) = run(&["ask", "held", "--json", to[0], to[1]]);
        let answer: AnswerShape = serde_json::from_str(&out).unwrap();
        assert!(code == 0 && answer.complete && answer.asked == "c0", "{out} {err}");
        let (code, _, err) = run(&["ask", "where", to[0], to[1]]);
        assert!(code == 3 && err.contains("one id"), "{code} {err}");
        let (code, _, err) = run(&["ask", "history", "nobody", "3", to[0], to[1]]);
        assert!(code == 3 && err.contains("no tenant of the settings"), "{code} {err}");
        let (code, out, _) = run(&["ask", "retention", to[0], to[1]]);
        assert!(code == 4 && out.contains("no history is kept here"), "{code} {out}");
    }
    fleet.kill(2);
    let (code, out, _) = run(&["ask", "where", "m1", "--control", &door]);
    assert!(code == 4 && out.contains("IN PART") && out.contains("c2"), "{out}");
    drop(fleet);

    let silent = askers::fleet(2, costs(0.001, 2_000), false);
    assert!(silent.call(0, "ask held").contains("limits.peers"));
    assert!(silent.call(0, "part held").contains(r#""courier":"c0""#), "it still answers for itself");
    assert_eq!(silent.relay.read().unwrap().counts.taken, 0);
    drop(silent);

    let off = askers::fleet(2, json!({"enabled": false}), true);
    let unknown = off.call(0, "such");
    for line in ["ask held", "part held", "ask", "ask nothing"] {
        assert_eq!(off.call(0, line), unknown);
    }
}

#[test]
fn with_notes_one_that_is_away_is_not_asked_and_what_one_has_learnt_reaches_the_others() {
    let mesh = Mesh::new(3, 5).unwrap();
    let mut fleet = fleet_with(3, costs(0.0, 16_000), true, Some(&mesh));
    let believed = |fleet: &Fleet, i: usize| -> serde_json::Value {
        let text = fleet.call(i, "telemetry");
        serde_json::from_str::<serde_json::Value>(text.lines().next().unwrap()).unwrap()["shared"].clone()
    };
    fleet.hand_in(0, "hang-0");
    assert!(fleet.ask(0, "held").complete);
    until("what the first has learnt and holds has reached the second", || {
        let rider = &believed(&fleet, 1)["riders"][0];
        rider["entries_heard"].as_u64() >= Some(1) && rider["others_hold_by"].as_u64() >= Some(1)
    });
    fleet.kill(2);
    until("the third is known to be away", || believed(&fleet, 0)["members"][2]["standing"] == "away");
    until("and its questions know it", || {
        let answer = fleet.ask(0, "held");
        assert_eq!(missing(&answer), [("c2", "away")]);
        answer.missing[0].detail.contains("not asked")
    });
    let before = fleet.relay.read().unwrap().counts.taken;
    assert_eq!(missing(&fleet.ask(0, "held")), [("c2", "away")]);
    assert_eq!(fleet.relay.read().unwrap().counts.taken, before + 1, "the second alone is asked");
}
