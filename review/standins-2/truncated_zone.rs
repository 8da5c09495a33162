//! A new version of a zone file is written slowly, so that for a while the file is truncated. Endpoints that are known
//! to be good, and that the old and the new version name, have to stay.

mod common;
mod mail;
use common::*;
use mail::*;
use std::fs::{self, File};
use std::io::Write;
use std::thread;
use std::time::Duration;

/// `render-status` is given up at 5 s; after that its bounce is given as long again.
const ENDED_BY: Duration = Duration::from_secs(10);
/// How long the new version of the file is truncated.
const TRUNCATED: Duration = Duration::from_millis(1_500);

fn run(record: &Record) -> i32 {
    let folder = Folder::new("truncated-zone");
    let platform = Platform::start(record, Vec::new());
    let gumleaf = MailServer::start(record, "gumleaf's server");
    let band = MailServer::start(record, "band's server");
    let sender = MailServer::start(record, "the sender's server");
    let [listen, smtp, dns] = free_addrs();
    // The new version has a new serial and one partner more, and otherwise the same lines.
    let first = |serial: u32| zone_head(serial) + &zone_lines("tallowood", sender.addr);
    let second = zone_lines("band", band.addr) + &zone_lines("gumleaf", gumleaf.addr);
    let path = folder.write("partners.zone", &(first(1) + &second));
    folder.write("config.json", &config(listen, platform.addr));
    let all = [("gumleaf", 50001), ("tallowood", 50002), ("band", 50003), ("school", 50004)];
    let zones = r#"{"origin":"partners.example","file":"partners.zone"}"#;
    let file = folder.write("mail.json", &mail_config(smtp, dns, zones, &all));
    let mut courier = Courier::start(&folder, record, &[("NODE_MAIL", file.display().to_string())]);
    if !wait_until(ms(10_000), || std::net::TcpStream::connect(smtp).is_ok()) {
        courier.record_log(20);
        return NOT_RUN;
    }
    let partners = [("gumleaf", &gumleaf), ("band", &band)];
    for (name, server) in partners {
        let (to, id) = (format!("desk@{name}.partners.example"), format!("before-{name}"));
        send_mail(record, smtp, "render-status", &to, &id);
        if !wait_until(ENDED_BY, || server.count(&format!("Subject: {id}\n")) == 1) {
            record.line("not run: the partner's endpoint is not used from the start");
            return NOT_RUN;
        }
    }
    let new_first = first(2) + &zone_lines("school", band.addr);
    if trouble() {
        // As a copy over a slow link or an editor writes it: from its beginning on, in whole lines.
        let mut out = File::create(&path).expect("the zone file");
        out.write_all(new_first.as_bytes()).expect("the zone file");
        record.line("the zone file's new version is written up to its middle");
        thread::sleep(TRUNCATED);
        out.write_all(second.as_bytes()).expect("the zone file");
        record.line("the zone file's new version is whole");
    } else {
        let new = folder.write("partners.zone.new", &(new_first + &second));
        fs::rename(new, &path).expect("the zone file");
        record.line("the zone file is replaced as a whole");
    }
    // The file is looked at twice a second.
    thread::sleep(ms(4_000));
    let mut broken = false;
    for (name, server) in partners {
        let (to, id) = (format!("desk@{name}.partners.example"), format!("after-{name}"));
        let reply = send_mail(record, smtp, "render-status", &to, &id);
        let delivered = wait_until(ENDED_BY, || server.count(&format!("Subject: {id}\n")) == 1);
        let bounced = sender.count(&format!("Subject: {id}\n")) > 0;
        record.line(format!("{id}: answered {reply}; delivered: {delivered}, bounced: {bounced}"));
        broken |= !delivered;
    }
    courier.record_log(12);
    if courier.ended().is_some() {
        record.line("BROKEN: the courier has ended");
        return BROKEN;
    }
    match broken {
        true => record.line("BROKEN: an endpoint that the file names, and that is good, is no longer used"),
        false => record.line("held: the endpoints that both versions of the file name are used"),
    }
    if broken { BROKEN } else { HELD }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
