//! The operators put a malformed version of a partners' zone in place, and later the courier is killed and started again. What it
//! has taken on has to be answered all the same.

mod common;
mod mail;
use common::*;
use mail::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A print order is given up at 20 s; the rule's slack is 300 ms, sockets have 50 ms more, and a courier may be held up for 150 ms.
const ENDED_BY: Duration = Duration::from_millis(20_500);
/// How long the print house takes for an order.
const PRINTING: Duration = Duration::from_millis(600);

fn run(record: &Record) -> i32 {
    let folder = Folder::new("malformed-zone");
    // A print house on the platform's front. A reply counts once it is written.
    let (begun, replied) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (calls, replies, seen) = (begun.clone(), replied.clone(), record.clone());
    let house = serve(move |request, out| {
        let id = request.header("Req-Id").to_owned();
        seen.line(format!("print house: {id} has come"));
        calls.fetch_add(1, Ordering::SeqCst);
        thread::sleep(PRINTING);
        seen.line(format!("print house: {id}: 200"));
        let written = out.write_all(&response("200 OK", "", b"")).is_ok();
        replies.fetch_add(1, Ordering::SeqCst);
        written
    });
    let instance = Instance {
        id: "s-1".into(),
        addr: house,
        kind: "print-house",
        cell: 7,
        lifecycle: "up",
        weight: 20.0,
    };
    let platform = Platform::start(record, vec![instance]);
    let gumleaf = MailServer::start(record, "gumleaf's server");
    let sender = MailServer::start(record, "the sender's server");
    let [listen, smtp, dns] = free_addrs();
    let lines = zone_lines("gumleaf", gumleaf.addr) + &zone_lines("tallowood", sender.addr);
    folder.write("partners.zone", &(zone_head(1) + &lines));
    folder.write("config.json", &config(listen, platform.addr));
    let zones = r#"{"origin":"partners.example","file":"partners.zone"}"#;
    let all = [("gumleaf", 50001), ("tallowood", 50002)];
    let file = folder.write("mail.json", &mail_config(smtp, dns, zones, &all));
    let more = [("NODE_MAIL", file.display().to_string())];
    let mut courier = Courier::start(&folder, record, &more);
    if !platform.wait_for(listen, 1) || TcpStream::connect(smtp).is_err() {
        courier.record_log(20);
        return NOT_RUN;
    }
    if trouble() {
        // The port is missing in the SRV record of one partner more.
        let bad = "_smtp._tcp.band IN SRV 0 1 mail.band\nmail.band IN A 127.0.0.1\n";
        folder.write("new.zone", &(zone_head(2) + &lines + bad));
        std::fs::rename(folder.0.join("new.zone"), folder.0.join("partners.zone")).expect("the new zone");
        record.line("operators: a new version of the zone is in place, and malformed");
    }
    thread::sleep(ms(3_000));
    let to = "desk@gumleaf.partners.example";
    send_mail(record, smtp, "render-status", to, "status-1");
    if !wait_until(ms(5_000), || gumleaf.count("Subject: status-1\n") > 0) {
        record.line("not run: the running courier does not reach gumleaf");
        return NOT_RUN;
    }
    let order = Message {
        id: "order-1",
        class: "print-order",
        tenant: "tallowood",
        dest: 7,
        deadline_ms: 20_000,
        key: "key-1",
    };
    let taken = hand_in(record, listen, &order);
    let taken_at = Instant::now();
    if !(200..300).contains(&taken) || !wait_until(ms(5_000), || begun.load(Ordering::SeqCst) > 0) {
        record.line("not run: the order was not taken on and sent");
        return NOT_RUN;
    }
    courier.kill();
    thread::sleep(PRINTING + ms(100));
    // The reply to the first call found no process any more. From here on each reply is read by one.
    let before = replied.load(Ordering::SeqCst);
    let mut starts = 1;
    courier = Courier::start(&folder, record, &more);
    let mut last = Instant::now();
    let mut exit = None;
    let told = wait_until(ENDED_BY.saturating_sub(taken_at.elapsed()), || {
        if let Some(status) = courier.ended() {
            // It is started again, as a supervisor would.
            if last.elapsed() >= ms(3_000) {
                record.line(format!("the courier has ended by itself: {status}"));
                courier = Courier::start(&folder, record, &more);
                (starts, last) = (starts + 1, Instant::now());
            }
            exit = Some(status);
        }
        replied.load(Ordering::SeqCst) > before || platform.noticed("order-1")
    });
    thread::sleep(ms(300));
    courier.record_log(8);
    match (told, exit) {
        (true, None) => record.line("held: the courier has started, and the order has its end"),
        (told, exit) => record.line(format!(
            "BROKEN: the order has {}; the courier was started {starts} times, and {}",
            if told { "its end" } else { "no end" },
            exit.map_or("runs".to_owned(), |status| format!("ended by itself ({status})")),
        )),
    }
    if told && exit.is_none() {
        HELD
    } else {
        BROKEN
    }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
