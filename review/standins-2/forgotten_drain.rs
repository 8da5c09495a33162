//! A courier is told that an endpoint drains, and is killed soon after, while discovery is down. The next process may
//! send that endpoint nothing new.

mod common;
use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The grace of the settings is 500 ms, sockets have 50 ms more, and a courier may be held up for 150 ms.
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

/// An endpoint of the partner, which records when each call has begun.
struct Endpoint {
    instance: Instance,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl Endpoint {
    fn start(record: &Record, id: &'static str) -> Endpoint {
        let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (all, record) = (calls.clone(), record.clone());
        let addr = serve(move |request, out| {
            if request.line.starts_with("POST ") {
                all.lock().unwrap().push(Instant::now());
                record.line(format!("endpoint {id}: {} has run, 200", request.header("Req-Id")));
                thread::sleep(ms(200));
            }
            out.write_all(&response("200 OK", "", b"")).is_ok()
        });
        let instance = Instance { id: id.into(), addr, kind: "agency", cell: 3, lifecycle: "up", weight: 1.0 };
        Endpoint { instance, calls }
    }

    fn calls_after(&self, at: Instant) -> usize {
        self.calls.lock().unwrap().iter().filter(|call| **call > at).count()
    }
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("forgotten-drain");
    let (old, new) = (Endpoint::start(record, "s-old"), Endpoint::start(record, "s-new"));
    let platform = Platform::start(record, vec![old.instance.clone()]);
    let [listen] = free_addrs();
    folder.write("config.json", &config(&listen.to_string(), &platform.addr.to_string()));
    let mut courier = Courier::start(&folder, record, &[]);
    if !wait_until(ms(10_000), || is_ready(listen)) {
        courier.record_log(20);
        return NOT_RUN;
    }
    // A client hands in five messages a second, as long as the courier answers.
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, clients) = (stop.clone(), record.clone());
    let client = thread::spawn(move || {
        for n in 0.. {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("m{n:03}");
            let (class, tenant, key) = ("policy-event", "nilecover", &format!("key-{id}"));
            let message = Message { id: &id, class, tenant, dest: 3, deadline_ms: 24_000, key };
            hand_in(&clients, listen, &message);
            thread::sleep(ms(200));
        }
    });
    thread::sleep(ms(3_000));
    record.line("discovery: s-new is added");
    platform.change(vec![new.instance.clone()]);
    thread::sleep(ms(1_000));
    record.line("discovery: s-old drains, s-new stays");
    platform.change(vec![Instance { lifecycle: "draining", ..old.instance.clone() }]);
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
    courier.record_log(10);
    let (to_old, to_new) = (old.calls_after(told + GRACE), new.calls_after(told + GRACE));
    if to_new + to_old == 0 {
        record.line("not run: nothing was sent after the drain");
        return NOT_RUN;
    }
    record.line(format!(
        "{}: later than {} ms after the courier was told that s-old drains, s-old got {to_old} calls, and s-new {to_new}",
        if to_old > 0 { "BROKEN" } else { "held" },
        GRACE.as_millis()
    ));
    if to_old > 0 { BROKEN } else { HELD }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
