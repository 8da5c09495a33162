//! A courier is told that an endpoint is gone and that its address is another partner's now, and is killed soon after, while
//! discovery is down. The next process may not send the first partner's messages to that address.

mod common;
use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When the courier is held to what it was told: the settings give 500 ms, sockets have 50 ms more, and a courier may be held
/// up for 150 ms.
const GRACE: Duration = Duration::from_millis(700);
/// How long discovery is down.
const DOWN: Duration = Duration::from_secs(8);

fn config(listen: &str, discovery: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
 "known":{{"generation":0,"reset":true,"instances":[]}},
 "settings":{{"balancers":2,"discovery":"automatic","failureDomains":["here"],"family":"deliver",
  "familyInfo":{{"bundleMax":[1,1],"fades":"even","kindApart":[false,false],"slots":7}},
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

/// A machine of a partner. It records when each call has begun, and for which destination its message was handed in.
struct Machine {
    addr: SocketAddr,
    calls: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Machine {
    fn start(record: &Record, name: &'static str) -> Machine {
        let calls: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (all, record) = (calls.clone(), record.clone());
        let addr = serve(move |request, out| {
            if request.line.starts_with("POST ") {
                let id = request.header("Req-Id").to_owned();
                record.line(format!("{name}: {id} has run, 200"));
                all.lock().unwrap().push((Instant::now(), id));
                thread::sleep(ms(200));
            }
            out.write_all(&response("200 OK", "", b"")).is_ok()
        });
        Machine { addr, calls }
    }

    fn instance(&self, id: &str, cell: u16) -> Instance {
        Instance { id: id.into(), addr: self.addr, kind: "agency", cell, lifecycle: "up", weight: 1.0 }
    }

    /// Calls after a moment with messages for a destination.
    fn calls_after(&self, at: Instant, dest: u16) -> usize {
        let prefix = format!("to-{dest}-");
        self.calls.lock().unwrap().iter().filter(|(call, id)| *call > at && id.starts_with(&prefix)).count()
    }
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("stale-list");
    // Partner 3 has the machines A and B, partner 5 has C and, later, D.
    let [a, b] = ["machine A", "machine B"].map(|name| Machine::start(record, name));
    let [c, d] = ["machine C", "machine D"].map(|name| Machine::start(record, name));
    let old = b.instance("s-old", 3);
    let platform = Platform::start(record, vec![a.instance("s-a", 3), old.clone(), c.instance("s-c", 5)]);
    let [listen] = free_addrs();
    folder.write("config.json", &config(&listen.to_string(), &platform.addr.to_string()));
    let mut courier = Courier::start(&folder, record, &[]);
    if !platform.wait_for(listen, 1) {
        courier.record_log(20);
        return NOT_RUN;
    }
    // Clients hand in five messages a second for each partner, as long as the courier answers.
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, clients) = (stop.clone(), record.clone());
    let client = thread::spawn(move || {
        for n in 0.. {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            for dest in [3, 5] {
                let id = format!("to-{dest}-{n:03}");
                let (class, tenant, key) = ("policy-event", "nilecover", &format!("key-{id}"));
                let message = Message { id: &id, class, tenant, dest, deadline_ms: 24_000, key };
                hand_in(&clients, listen, &message);
            }
            thread::sleep(ms(200));
        }
    });
    thread::sleep(ms(3_000));
    record.line("discovery: partner 5 has machine D, as s-d");
    platform.change(vec![d.instance("s-d", 5)]);
    thread::sleep(ms(1_000));
    record.line("discovery: s-old, machine B of partner 3, is removed; s-new of partner 5 has its address");
    platform.change(vec![Instance { lifecycle: "removed", ..old }, b.instance("s-new", 5)]);
    let told = Instant::now();
    thread::sleep(ms(700));
    if trouble() {
        record.line("discovery is down, and its agent silent");
        platform.silent.store(true, Ordering::SeqCst);
        let down = Instant::now();
        thread::sleep(ms(100));
        courier.kill();
        thread::sleep(ms(600));
        courier = Courier::start(&folder, record, &[]);
        thread::sleep(DOWN.saturating_sub(down.elapsed()));
        platform.silent.store(false, Ordering::SeqCst);
        record.line("discovery is back");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(ms(1_000));
    stop.store(true, Ordering::SeqCst);
    client.join().expect("the client");
    thread::sleep(ms(1_000));
    courier.record_log(6);
    let at = told + GRACE;
    let (foreign, own) = (b.calls_after(at, 3), b.calls_after(at, 5));
    if a.calls_after(at, 3) == 0 {
        record.line("not run: nothing was sent to partner 3 after the change");
        return NOT_RUN;
    }
    record.line(format!(
        "{}: later than {} ms after the courier was told that machine B is partner 5's, B got {foreign} messages for \
         partner 3 and {own} for partner 5",
        if foreign > 0 { "BROKEN" } else { "held" },
        GRACE.as_millis()
    ));
    if foreign > 0 { BROKEN } else { HELD }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
