//! Second copies of earlier answers that come while the next request is out on the same connection, and of earlier lists.

#[path = "support/stale.rs"]
mod stale;
mod support;

use serde_json::{json, Value};
use stale::{Seen, StalePeer};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const MESSAGES: usize = 12;
const DEADLINE_MS: u64 = 3_000;

/// Settings without load reports: an answer holds nothing that would tell it from another one.
fn plain_settings(bundle: usize) -> Value {
    let mut settings = settings(DEADLINE_MS);
    settings["loadReport"]["names"] = json!([]);
    settings["weights"] = "off".into();
    settings["familyInfo"]["bundleMax"] = json!([1, bundle]);
    settings["familyInfo"]["slots"] = 1.into();
    settings["invariants"]["coldShare"] = 1.0.into();
    settings["invariants"]["overloadFactor"] = 1000.0.into();
    settings["tenants"][0]["quotaPerS"] = 10_000.0.into();
    settings["profiles"][1]["idempotency"] = "side_effect".into();
    settings["profiles"][1]["deadline"] = (DEADLINE_MS * 1000).into();
    settings
}

fn config(discovery: SocketAddr, endpoint: SocketAddr, settings: Value) -> Value {
    let known: Value = serde_json::from_str(&instance("s-1", endpoint, 3, "up")).unwrap();
    json!({"listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"generation": 7, "reset": true, "instances": [known]}, "settings": settings})
}

fn hand_in(addr: SocketAddr, id: &str, class: &str) {
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: {DEADLINE_MS}\r\nIdempotency-Key: k-{id}\r\nX-Addressing: dest=3\r\nContent-Length: 1\r\n\r\nx"
    );
    assert_eq!(ask(addr, text.as_bytes()).status(), 202, "{id}");
}

/// Each message's calls, by the statuses of their own answers.
fn statuses(seen: &[Seen]) -> BTreeMap<String, Vec<u16>> {
    let mut by_id: BTreeMap<String, Vec<u16>> = BTreeMap::new();
    for call in seen {
        for id in members(&call.request) {
            by_id.entry(id).or_default().push(call.status);
        }
    }
    by_id
}

/// Ids of the messages in a call.
fn members(call: &Http) -> Vec<String> {
    if let Some(id) = call.header("req-id") {
        return vec![id.to_owned()];
    }
    let items: Vec<Value> = serde_json::from_slice(&call.body).unwrap_or_default();
    items.iter().map(|item| item["id"].as_str().unwrap().to_owned()).collect()
}

/// Every message is delivered or noticed in its time, and none that may not be repeated is called after a 200 to it.
fn assert_rules_hold(ids: &[String], peer: &StalePeer, discovery: &Discovery) {
    thread::sleep(Duration::from_millis(DEADLINE_MS + 350));
    let calls = statuses(&peer.seen());
    for id in ids {
        let statuses = calls.get(id).cloned().unwrap_or_default();
        assert!(statuses.contains(&200) || discovery.noticed(id).is_some(), "lost: {id} {statuses:?}");
        let after_delivery = statuses.iter().skip_while(|status| **status != 200).count();
        assert!(after_delivery <= 1, "duplicate: {id} {statuses:?}");
    }
}

/// Plays single calls, answered by `answer` one after another.
fn play_single_calls(class: &str, answer: fn(usize) -> &'static str) {
    let peer = StalePeer::start(move |_, number| answer(number).into());
    let discovery = discovery(&[instance("s-1", peer.addr, 3, "up")]);
    let folder = Folder::new();
    let config = config(discovery.addr, peer.addr, plain_settings(1));
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    let ids: Vec<String> = (0..MESSAGES).map(|n| format!("m-{n}")).collect();
    for id in &ids {
        hand_in(addr, id, class);
        thread::sleep(Duration::from_millis(30));
    }
    assert_rules_hold(&ids, &peer, &discovery);
    assert!(peer.seen().iter().any(|call| call.status == 200), "something was delivered");
}

/// Guards against a stale 200 that ends a message whose call was refused, and shifts all later answers.
#[test]
fn a_copy_of_an_earlier_200_delivers_no_other_message() {
    play_single_calls("render-status", |number| if number.is_multiple_of(2) { OK } else { BUSY });
}

/// Guards against a stale 503 that makes a delivered message look as if it never ran.
#[test]
fn a_copy_of_an_earlier_503_repeats_no_delivered_message() {
    play_single_calls("render-status", |number| if number % 3 == 1 { BUSY } else { OK });
}

/// Guards against the same for messages with keys, which end by a delivery too.
#[test]
fn a_copy_of_an_earlier_200_delivers_no_keyed_message() {
    play_single_calls("print-order", |number| if number.is_multiple_of(2) { OK } else { BUSY });
}

/// Guards against a stale answer to a batch that ends the members of the next one.
#[test]
fn a_copy_of_an_earlier_answer_ends_no_member_of_a_batch() {
    let answer = |call: &Http, number: usize| {
        if call.header("req-id").is_some() {
            return OK.to_owned();
        }
        if number % 2 == 1 {
            return BUSY.to_owned();
        }
        let states: Vec<Value> = members(call).iter().map(|id| json!({"id": id, "state": "done"})).collect();
        let body = Value::from(states).to_string();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let peer = StalePeer::start(answer);
    let discovery = discovery(&[instance("s-1", peer.addr, 3, "up")]);
    let folder = Folder::new();
    let config = config(discovery.addr, peer.addr, plain_settings(5));
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    let ids: Vec<String> = (0..4 * MESSAGES).map(|n| format!("m-{n}")).collect();
    for id in &ids {
        hand_in(addr, id, "render-status");
    }
    assert_rules_hold(&ids, &peer, &discovery);
    assert!(peer.seen().iter().any(|call| members(&call.request).len() > 1), "there were batches");
}

/// Guards against a stale 204 that ends a notice which the platform did not take.
#[test]
fn a_copy_of_an_earlier_204_delivers_no_notice() {
    const TAKEN: &str = "HTTP/1.1 204 No Content\r\n\r\n";
    let refused = AtomicBool::new(false);
    let platform = StalePeer::start(move |request, _| {
        let is_notice = request.head[0].starts_with("POST /v1/notices ");
        let refuses = names(request, "m-1") && !refused.swap(true, Ordering::SeqCst);
        if is_notice && !refuses { TAKEN } else { BUSY }.to_owned()
    });
    let endpoint = endpoint(|_, _| Act::Answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"));
    let folder = Folder::new();
    let mut program =
        Program::start(&folder.0, &config(platform.addr, endpoint.addr, plain_settings(1)), None);
    let addr = program.addr("platform");
    let has_taken =
        |id: &str| platform.seen().iter().any(|seen| seen.status == 204 && names(&seen.request, id));
    for id in ["m-0", "m-1"] {
        hand_in(addr, id, "render-status");
        until(&format!("the platform has the notice of {id}"), || has_taken(id));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Whether the body names this message.
fn names(request: &Http, id: &str) -> bool {
    String::from_utf8_lossy(&request.body).contains(id)
}

/// Guards against an older list that comes again on the watch and cancels a drain.
#[test]
fn a_copy_of_an_earlier_list_cancels_no_drain() {
    let draining = endpoint(|_, _| Act::Answer(OK));
    let other = endpoint(|_, _| Act::Answer(OK));
    let lists = Arc::new(AtomicUsize::new(0));
    let list = |version: u64, reset: bool, state: &str| {
        let entries = [instance("s-1", draining.addr, 3, state), instance("s-2", other.addr, 3, "up")];
        format!("{{\"generation\":{version},\"reset\":{reset},\"instances\":[{}]}}\n", entries.join(","))
    };
    let first_watch = vec![list(7, true, "up"), list(8, false, "draining"), list(7, true, "up")];
    let later_watches = vec![list(8, true, "draining")];
    let addr = watched_lists(vec![first_watch, later_watches], lists.clone());
    let folder = Folder::new();
    let mut config = config(addr, other.addr, plain_settings(1));
    config["known"]["instances"] = json!([]);
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    until("the copy has come", || lists.load(Ordering::SeqCst) >= 3);
    thread::sleep(Duration::from_millis(300));
    for number in 0..MESSAGES {
        hand_in(addr, &format!("m-{number}"), "render-status");
    }
    let calls = |endpoint: &Endpoint| endpoint.calls.lock().unwrap().len();
    until("all are delivered", || calls(&draining) + calls(&other) >= MESSAGES);
    assert_eq!(calls(&draining), 0, "nothing goes to an endpoint that drains");
}

/// A discovery that tells these lists on its first watch, its second and so on, and then that nothing changes; the last entry
/// serves all later watches.
fn watched_lists(watches: Vec<Vec<String>>, lists: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (nth, mut stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let (lines, lists) = (watches[nth.min(watches.len() - 1)].clone(), lists.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                read_http(&mut reader);
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                let heartbeats = std::iter::repeat_n("\n".to_owned(), 1_000);
                for line in lines.into_iter().chain(heartbeats) {
                    if write!(stream, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                        return;
                    }
                    lists.fetch_add(usize::from(line.len() > 1), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    addr
}
