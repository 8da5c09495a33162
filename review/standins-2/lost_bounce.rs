//! A print order is refused by its partner, and the sender's server loses the connection once before its reply to the bounce.
//! The order's end has to reach the sender all the same.

mod common;
mod mail;
use common::*;
use mail::*;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A print order is given up at 20 s. What its bounce is given beyond that; the rule's own slack is 300 ms and 50 ms.
const ENDED_BY: Duration = Duration::from_secs(20 + 25);

fn run(record: &Record) -> i32 {
    let folder = Folder::new("lost-bounce");
    let platform = Platform::start(record, Vec::new());
    let gumleaf = MailServer::start(record, "gumleaf's server");
    let sender = MailServer::start(record, "the sender's server");
    gumleaf.refuses.store(true, Ordering::SeqCst);
    sender.resets.store(usize::from(trouble()), Ordering::SeqCst);
    let [listen, smtp, dns] = free_addrs();
    let lines = zone_lines("gumleaf", gumleaf.addr) + &zone_lines("tallowood", sender.addr);
    folder.write("partners.zone", &(zone_head(1) + &lines));
    folder.write("config.json", &config(listen, platform.addr));
    let zones = r#"{"origin":"partners.example","file":"partners.zone"}"#;
    let all = [("gumleaf", 50001), ("tallowood", 50002)];
    let file = folder.write("mail.json", &mail_config(smtp, dns, zones, &all));
    let mut courier = Courier::start(&folder, record, &[("NODE_MAIL", file.display().to_string())]);
    if !wait_until(ms(10_000), || std::net::TcpStream::connect(smtp).is_ok()) {
        courier.record_log(20);
        return NOT_RUN;
    }
    let to = "desk@gumleaf.partners.example";
    if !send_mail(record, smtp, "print-order", to, "order-1").starts_with("250") {
        record.line("not run: the order was not taken on");
        return NOT_RUN;
    }
    let told = wait_until(ENDED_BY, || sender.count("Subject: order-1\n") > 0);
    courier.record_log(6);
    if courier.ended().is_some() {
        record.line("BROKEN: the courier has ended");
        return BROKEN;
    }
    let printed = gumleaf.count("Subject: order-1\n");
    match told {
        true => record.line(format!("held: the order was printed {printed} times, and its bounce has come")),
        false => record.line(format!("BROKEN: the order was printed {printed} times, and its end was never told")),
    }
    if told { HELD } else { BROKEN }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
