//! An endpoint answers one call with several messages by a spoilt body, and the courier must go on.

mod common;
use common::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const MESSAGES: usize = 16;

fn config(listen: &str, discovery: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
 "known":{{"generation":0,"reset":true,"instances":[]}},
 "settings":{{"balancers":2,"discovery":"automatic","failureDomains":["here"],"family":"deliver",
  "familyInfo":{{"bundleMax":[20,1],"fades":"even","kindApart":[false,false],"slots":7}},
  "invariants":{{"answerSlack":20000,"cold":13000000,"coldShare":0.24,"mustAskIn":10000000,"overloadFactor":1.5,
   "stopSendingWithin":500000,"tipAfter":1500000}},
  "kinds":["underwriter","agency"],
  "limits":{{"cancel":true,"connIdle":10000000,"connectTimeout":1500000,"maxOpen":120,"maxRetryAfter":3000000,
   "peers":false,"probing":true,"parallelTries":true,"retryAfter":true,"tryLimit":8}},
  "loadReport":{{"names":[],"via":"off"}},"overShareWorth":0.05,"period":5000,
  "profiles":[{{"name":"policy-event","aim":4000000,"deadline":24000000,"group":"all","idempotency":"token",
   "lateWorth":0.4,"repeatWindow":15000000,"worth":1.0}}],
  "tenants":[{{"name":"nilecover","quotaPerS":30.0,"share":1.0}}],"weights":"off"}}}}"#
    )
}

/// The ids of a call with several messages.
fn ids(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.split("\"id\":\"").skip(1).filter_map(|rest| rest.split('"').next()).map(str::to_owned).collect()
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("spoilt-batch");
    let delivered: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let spoilt = Arc::new(AtomicBool::new(false));
    let (done, spoils, seen) = (delivered.clone(), spoilt.clone(), record.clone());
    let endpoint = serve(move |request, out| {
        if request.line.starts_with("GET ") {
            return out.write_all(&response("200 OK", "", b"")).is_ok();
        }
        thread::sleep(ms(200));
        if !request.line.starts_with("POST /hook/batch") {
            let id = request.header("Req-Id").to_owned();
            seen.line(format!("endpoint: {id} has run, 200"));
            done.lock().unwrap().insert(id);
            return out.write_all(&response("200 OK", "", b"")).is_ok();
        }
        let ids = ids(&request.body);
        if trouble() && !spoils.swap(true, Ordering::SeqCst) {
            // All have run. The body is noise: it is within 64 KiB, and its length is as the head says.
            let noise = ["[".repeat(30_000), "]".repeat(30_000)].concat();
            seen.line(format!("endpoint: {ids:?} have run, 200 with a spoilt body of {} bytes", noise.len()));
            return out.write_all(&response("200 OK", "", noise.as_bytes())).is_ok();
        }
        seen.line(format!("endpoint: {ids:?} have run, 200"));
        let states: Vec<String> =
            ids.iter().map(|id| format!(r#"{{"id":"{id}","state":"done"}}"#)).collect();
        done.lock().unwrap().extend(ids);
        out.write_all(&response("200 OK", "", format!("[{}]", states.join(",")).as_bytes())).is_ok()
    });
    let instance =
        Instance { id: "s-1".into(), addr: endpoint, kind: "underwriter", cell: 3, lifecycle: "up", weight: 1.0 };
    let platform = Platform::start(record, vec![instance]);
    let [listen] = free_addrs();
    folder.write("config.json", &config(&listen.to_string(), &platform.addr.to_string()));
    let mut courier = Courier::start(&folder, record, &[]);
    if !platform.wait_for(listen, 1) {
        courier.record_log(20);
        return NOT_RUN;
    }
    // A clump for one partner: clients of their own hand in together.
    let clients: Vec<_> = (0..MESSAGES)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("m{n:02}");
                let message = Message {
                    id: &id,
                    class: "policy-event",
                    tenant: "nilecover",
                    dest: 3,
                    deadline_ms: 24_000,
                    key: &format!("key-{id}"),
                };
                (id.clone(), hand_in(&record, listen, &message))
            })
        })
        .collect();
    let answers: Vec<(String, u16)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let taken: Vec<String> = answers.into_iter().filter(|(_, status)| *status == 202).map(|(id, _)| id).collect();
    let all_ended = || taken.iter().all(|id| delivered.lock().unwrap().contains(id) || platform.noticed(id));
    let mut end = None;
    wait_until(ms(26_000), || {
        end = courier.ended();
        end.is_some() || all_ended()
    });
    courier.record_log(8);
    if let Some(status) = end {
        record.line(format!("BROKEN: the courier has crashed: {status}"));
        return BROKEN;
    }
    if trouble() && !spoilt.load(Ordering::SeqCst) {
        record.line("not run: no call had several messages");
        return NOT_RUN;
    }
    match all_ended() {
        true => record.line(format!("held: the courier runs, and all {} messages have ended", taken.len())),
        false => record.line("BROKEN: a message that was taken on has not ended in time"),
    }
    if all_ended() { HELD } else { BROKEN }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
