//! JSON from outside that is nested so deeply that a decoder which calls itself for each level overflows its thread's stack:
//! the process goes on, and the document counts as unreadable.

mod support;

use indigohold::json::{self, JsonError, MAX_NESTING};
use serde_json::{json, Value};
use std::fs;
use std::thread;
use support::partner::*;
use support::*;

/// Fits into an answer of 64 KiB.
const ANSWER_LEVELS: usize = 30_000;
/// More than the main thread's stack holds.
const FILE_LEVELS: usize = 2_000_000;
/// Stack of the program's threads.
const THREAD_STACK_BYTES: usize = 192 * 1024;

fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

fn is_running(program: &mut Program) -> bool {
    program.child.try_wait().unwrap().is_none()
}

/// Guards against review/6: one nested answer to a batch overflowed the stack of a fetch thread and ended the process.
#[test]
fn a_nested_answer_to_a_batch_is_a_spoilt_one_and_ends_no_process() {
    let world = world(partner(|nth, items| {
        if nth > 0 {
            return Reply::Keeps(all_done(items));
        }
        let body = nested(ANSWER_LEVELS);
        Reply::Keeps(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    }));
    let (mut program, addr) = world.start();
    let ids = named("k", 5);
    world.together(addr, "gate", "print-order", &ids);
    until("the batch", || !world.batches().is_empty());
    let spoilt = support::partner::ids(&world.batches()[0]);
    // They may have run: each is called again, in a batch or by itself, or is given up once its window is over.
    let calls = |id: &String| {
        let singles = world.partner.singles.lock().unwrap().iter().filter(|single| *single == id).count();
        singles + world.copies().get(id).copied().unwrap_or_default()
    };
    until("the messages of the spoilt batch go on", || {
        assert!(is_running(&mut program), "the process has ended");
        world.partner.gate.send(()).unwrap();
        spoilt.iter().all(|id| calls(id) > 1 || world.discovery.noticed(id).is_some())
    });
    let singles = world.partner.singles.lock().unwrap().len();
    println!(
        "{} messages in the spoilt batch, {} batches, {singles} single calls",
        spoilt.len(),
        world.batches().len()
    );
}

/// Guards against the same fault by a list of discovery, in a field that nothing reads.
#[test]
fn a_nested_list_of_discovery_changes_nothing_and_ends_no_process() {
    let endpoint = endpoint(|_, _| Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let sound = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&sound));
    let (folder, config) = (Folder::new(), config(&discovery));
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    until("the list", || hand_in(addr, "first", "print-order") == 202);
    let deep = format!(r#"{{"instanceId":"s-2","deep":{}}}"#, nested(FILE_LEVELS / 2));
    *discovery.list.lock().unwrap() = (8, format!("{sound},{deep}"));
    program.line_with("levels deep");
    *discovery.list.lock().unwrap() = (9, sound);
    assert_eq!(hand_in(addr, "second", "print-order"), 202);
    until("the message is delivered", || endpoint.count("second") == 1);
    assert!(is_running(&mut program));
}

/// Guards against the same fault by files that are read again while the process serves: the configuration, the static file.
#[test]
fn nested_files_of_the_operators_change_nothing_and_end_no_process() {
    let endpoint = endpoint(|_, _| Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let (folder, mut config) = (Folder::new(), config(&discovery));
    folder.write("register.json", r#"{"static": "static.json"}"#);
    folder.write("static.json", r#"{"generation": 1, "reset": true, "instances": []}"#);
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    let list = format!(
        r#"{{"generation": 2, "reset": true, "instances": [{{"instanceId": "s-2", "deep": {}}}]}}"#,
        nested(FILE_LEVELS)
    );
    fs::write(folder.0.join("static.json"), list).unwrap();
    program.line_with("static.json");
    config["deep"] = json!("DEEP");
    let text = config.to_string().replace("\"DEEP\"", &nested(FILE_LEVELS));
    fs::write(folder.0.join("config.json"), text).unwrap();
    program.signal("HUP");
    program.line_with("NODE_CONFIG");
    until("a message is taken", || hand_in(addr, "after", "print-order") == 202);
    until("it is delivered", || endpoint.count("after") == 1);
    assert!(is_running(&mut program));
}

/// The deepest document that is decoded fits on the stack of the program's threads; one level more is refused.
#[test]
fn the_deepest_accepted_nesting_fits_on_a_small_stack() {
    let check = || {
        for open in ["[", r#"{"a":"#] {
            let close = if open == "[" { "]" } else { "}" };
            let document =
                |levels: usize| format!("{}1{}", open.repeat(levels), close.repeat(levels)).into_bytes();
            assert!(json::from_slice::<Value>(&document(MAX_NESTING)).is_ok());
            assert!(json::from_mut_slice::<Value>(&mut document(MAX_NESTING)).is_ok());
            for levels in [MAX_NESTING + 1, FILE_LEVELS] {
                let refused = json::from_slice::<Value>(&document(levels));
                assert!(matches!(refused, Err(JsonError::TooDeep)), "{levels}");
                let refused = json::from_mut_slice::<Value>(&mut document(levels));
                assert!(matches!(refused, Err(JsonError::TooDeep)), "{levels}");
            }
        }
    };
    let thread = thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(check).unwrap();
    thread.join().unwrap();
}

/// Brackets in strings, escaped quotes among them, are no nesting, and neither are many fields side by side.
#[test]
fn only_nesting_is_counted() {
    let text = format!(r#"{{"a":"{}\"{}","b":["{}"]}}"#, "[".repeat(99), "{".repeat(99), "\\\\");
    assert!(json::from_slice::<Value>(text.as_bytes()).is_ok());
    let wide = format!("[{}[]]", "[{}],".repeat(10_000));
    assert!(json::from_mut_slice::<Value>(&mut wide.into_bytes()).is_ok());
    assert!(matches!(json::from_slice::<Value>(b"]]]"), Err(JsonError::Invalid(_))));
}

fn config(discovery: &Discovery) -> Value {
    json!({
        "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "settings": settings(20_000)
    })
}
