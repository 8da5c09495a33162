//! A message is handed in again after its bounce, as the bounce says that it may be, and fails again: its end has to
//! be told again.

mod common;
mod mail;
use common::*;
use mail::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// `render-status` is given up at 5 s.
const DEADLINE: Duration = Duration::from_secs(5);
/// How long the partner is shut; the page says 8 to 20 s.
const SHUT: Duration = Duration::from_secs(16);
/// What a bounce is given to reach the sender once its message's time is up. The rule's own slack is 300 ms and 50 ms.
const BOUNCE_TIME: Duration = Duration::from_secs(15);

fn run(record: &Record) -> i32 {
    let folder = Folder::new("second-bounce");
    let platform = Platform::start(record, Vec::new());
    let gumleaf = MailServer::start(record, "gumleaf's server");
    let others: Vec<MailServer> =
        ["band's server", "school's server", "choir's server"].map(|name| MailServer::start(record, name)).into();
    let sender = MailServer::start(record, "the sender's server");
    let [listen, smtp, dns] = free_addrs();
    let mut zone = zone_head(1) + &zone_lines("gumleaf", gumleaf.addr) + &zone_lines("tallowood", sender.addr);
    let partners = ["band", "school", "choir"];
    for (name, server) in partners.iter().zip(&others) {
        zone += &zone_lines(name, server.addr);
    }
    folder.write("partners.zone", &zone);
    folder.write("config.json", &config(listen, platform.addr));
    let all = [("gumleaf", 50001), ("tallowood", 50002), ("band", 50003), ("school", 50004), ("choir", 50005)];
    let zones = r#"{"origin":"partners.example","file":"partners.zone"}"#;
    let file = folder.write("mail.json", &mail_config(smtp, dns, zones, &all));
    let mut courier = Courier::start(&folder, record, &[("NODE_MAIL", file.display().to_string())]);
    if !wait_until(ms(10_000), || std::net::TcpStream::connect(smtp).is_ok()) {
        courier.record_log(20);
        return NOT_RUN;
    }
    gumleaf.shut.store(trouble(), Ordering::SeqCst);
    let shut_at = Instant::now();
    // The other partners get most of the traffic: gumleaf gets 2 messages of 14, and 14% is under the page's 29%.
    let mut other_taken = 0;
    for n in 0..12 {
        let to = format!("desk@{}.partners.example", partners[n % 3]);
        other_taken += usize::from(send_mail(record, smtp, "render-status", &to, &format!("other-{n}")).starts_with("250"));
    }
    let to = "desk@gumleaf.partners.example";
    if !send_mail(record, smtp, "render-status", to, "order-1").starts_with("250") {
        record.line("not run: the message was not taken on");
        return NOT_RUN;
    }
    let bounces = || sender.taken.lock().unwrap().iter().filter(|t| t.to == SENDER).count();
    let delivered = || gumleaf.count("Subject: order-1");
    if !wait_until(DEADLINE + BOUNCE_TIME, || bounces() + delivered() > 0) {
        record.line("BROKEN: the first time the message's end was not told");
        return BROKEN;
    }
    let (mut ends_owed, mut broken) = (1, false);
    if bounces() > 0 {
        // The bounce says: "It may be sent again". The sender waits a little, and does.
        thread::sleep(ms(1_000));
        let taken = send_mail(record, smtp, "render-status", to, "order-1").starts_with("250");
        ends_owed += usize::from(taken);
        let told = || bounces() + delivered() >= ends_owed;
        let shut_left = SHUT.saturating_sub(shut_at.elapsed());
        if !wait_until(shut_left, told) {
            gumleaf.shut.store(false, Ordering::SeqCst);
            record.line("gumleaf's server is open again");
            broken = !wait_until(BOUNCE_TIME, told);
        }
    }
    let all_others = || others.iter().map(|server| server.count("Subject: other-")).sum::<usize>();
    let others_ended = wait_until(ms(5_000), || all_others() == other_taken);
    courier.record_log(12);
    if courier.ended().is_some() || !others_ended {
        record.line("BROKEN: the courier has ended, or another partner's message was not delivered");
        return BROKEN;
    }
    record.line(format!(
        "{}: the message was taken on {ends_owed} times; {} bounces came, and it was delivered {} times",
        if broken { "BROKEN" } else { "held" },
        bounces(),
        delivered()
    ));
    if broken { BROKEN } else { HELD }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
