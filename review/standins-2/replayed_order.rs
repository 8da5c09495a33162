//! Delivered print orders are kept in the history. Then the operators restart the courier as planned, with settings that list
//! one class more, and have the channel's messages sent again by rule. No print order may run twice.

mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// For so long the partner drops a repeat.
const WINDOW: Duration = Duration::from_secs(8);
const ORDERS: usize = 3;

fn config(listen: &str, discovery: &str, first_class: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":16}},
 "known":{{"generation":0,"reset":true,"instances":[]}},
 "settings":{{"balancers":1,"discovery":"subscribe","failureDomains":["here"],"family":"deliver",
  "familyInfo":{{"bundleMax":[1,1],"fades":"by_half","kindApart":[false,false],"slots":7}},
  "invariants":{{"answerSlack":20000,"cold":11000000,"coldShare":0.18,"mustAskIn":10000000,"overloadFactor":2.0,
   "stopSendingWithin":250000,"tipAfter":1500000}},
  "kinds":["print-house","community"],
  "limits":{{"cancel":true,"connIdle":5000000,"connectTimeout":1500000,"maxOpen":157,"maxRetryAfter":3000000,
   "peers":false,"probing":false,"retryAfter":true,"tryLimit":8}},
  "loadReport":{{"names":["x0","x1"],"via":"inline"}},"overShareWorth":0.2,"period":5000,
  "profiles":[{first_class}
   {{"name":"print-order","aim":3000000,"deadline":20000000,"group":"all","idempotency":"token","lateWorth":0.3,
    "repeatWindow":8000000,"worth":2.0}},
   {{"name":"render-status","aim":800000,"deadline":5000000,"group":"all","idempotency":"pure","lateWorth":0.1,
    "repeatWindow":5000000,"worth":1.0}}],
  "tenants":[{{"name":"tallowood","quotaPerS":11.0,"share":1.0}}],"weights":"nominal"}}}}"#
    )
}

/// A class of messages that are safe to repeat.
const NEW_CLASS: &str = r#"{"name":"proof-status","aim":800000,"deadline":5000000,"group":"all","idempotency":"pure",
    "lateWorth":0.1,"repeatWindow":5000000,"worth":1.0},"#;

fn run(record: &Record) -> i32 {
    let folder = Folder::new("replayed-order");
    // When each order has run, by its key: a repeat within the window is dropped, a later one runs.
    let runs: Arc<Mutex<BTreeMap<String, Vec<Instant>>>> = Arc::default();
    let (all, seen) = (runs.clone(), record.clone());
    let endpoint = serve(move |request, out| {
        let (id, key) = (request.header("Req-Id"), request.header("Idempotency-Key").to_owned());
        let mut all = all.lock().unwrap();
        let earlier = all.entry(key).or_default();
        let dropped = earlier.last().is_some_and(|at| at.elapsed() < WINDOW);
        if !dropped {
            earlier.push(Instant::now());
        }
        seen.line(format!("endpoint: {id}: {}", if dropped { "a repeat, dropped" } else { "printed" }));
        out.write_all(&response("200 OK", "", b"")).is_ok()
    });
    let instance =
        Instance { id: "s-1".into(), addr: endpoint, kind: "print-house", cell: 7, lifecycle: "up", weight: 20.0 };
    let platform = Platform::start(record, vec![instance]);
    let [listen] = free_addrs();
    let write_config = |first_class: &str| {
        folder.write("config.json", &config(&listen.to_string(), &platform.addr.to_string(), first_class))
    };
    let config_file = write_config("");
    let channel = folder.write("channel.json", r#"{"enabled":true,"socket":"control.sock"}"#);
    let history = folder.write(
        "history.json",
        r#"{"enabled":true,"disk_kb":4096,
 "policies":[{"tenant":"tallowood","version":1,"keep_s":86400,"replay":true,"replays":1}]}"#,
    );
    let more = [("NODE_CHANNEL", channel.display().to_string()), ("NODE_HISTORY", history.display().to_string())];
    let mut courier = Courier::start(&folder, record, &more);
    if !platform.wait_for(listen, 1) {
        courier.record_log(20);
        return NOT_RUN;
    }
    for n in 0..ORDERS {
        let id = format!("order-{n}");
        let (class, tenant, key) = ("print-order", "tallowood", &format!("key-{n}"));
        hand_in(record, listen, &Message { id: &id, class, tenant, dest: 7, deadline_ms: 20_000, key });
    }
    if !wait_until(ms(10_000), || runs.lock().unwrap().len() == ORDERS) {
        record.line("not run: the orders were not delivered");
        return NOT_RUN;
    }
    thread::sleep(WINDOW);
    courier.terminate();
    if trouble() {
        write_config(NEW_CLASS);
        record.line("the settings list a new class, proof-status, before the others");
    }
    thread::sleep(ms(600));
    let courier = Courier::start(&folder, record, &more);
    if !platform.wait_for(listen, 2) {
        courier.record_log(20);
        return NOT_RUN;
    }
    let socket = folder.0.join("control.sock");
    let answer = Command::new("target/release/indigohold")
        .args(["replay", "run", "--tenant", "tallowood", "--destination", "7", "--reason", "T-311"])
        .args(["--since", "2020-01-01T00:00:00Z", "--until", "2199-01-01T00:00:00Z"])
        .arg("--socket")
        .arg(&socket)
        .arg("--config")
        .arg(&config_file)
        .output();
    let Ok(answer) = answer else { return NOT_RUN };
    for line in String::from_utf8_lossy(&[answer.stdout, answer.stderr].concat()).lines() {
        record.line(format!("operator: replay run: {line}"));
    }
    thread::sleep(ms(8_000));
    courier.record_log(8);
    let twice = runs.lock().unwrap().values().filter(|runs| runs.len() > 1).count();
    record.line(format!(
        "{}: {twice} of {ORDERS} print orders were printed twice",
        if twice > 0 { "BROKEN" } else { "held" }
    ));
    if twice > 0 { BROKEN } else { HELD }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
