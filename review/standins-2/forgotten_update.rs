//! A dynamic update moves a partner's endpoint; then the operators add a zone and restart the courier as planned. The
//! endpoint that the update removed has to stay without new work.

mod common;
mod mail;
use common::*;
use mail::*;
use std::net::{SocketAddr, UdpSocket};
use std::thread;

const SENDER: &str = "me@tallowood.partners.example";
const TO: &str = "desk@gumleaf.partners.example";
const SERVICE: &str = "_smtp._tcp.gumleaf.partners.example";
const HOST: &str = "mail.gumleaf.partners.example";

/// A name as DNS writes it.
fn name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out
}

/// One record of an update: name, type, class, time to live and data.
fn record_of(owner: &str, kind: u16, class: u16, ttl: u32, data: &[u8]) -> Vec<u8> {
    let mut out = name(owner);
    out.extend(kind.to_be_bytes());
    out.extend(class.to_be_bytes());
    out.extend(ttl.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    out
}

/// An update (RFC 2136) that removes all servers of the partner and names this one in their place.
fn update(new: SocketAddr) -> Vec<u8> {
    const SOA: u16 = 6;
    const SRV: u16 = 33;
    const IN: u16 = 1;
    const ANY: u16 = 255;
    let mut out = Vec::new();
    // Id, opcode 5, one zone, no prerequisites, two changes, nothing more.
    for field in [0x1234_u16, 0x2800, 1, 0, 2, 0] {
        out.extend(field.to_be_bytes());
    }
    out.extend(name("partners.example"));
    out.extend(SOA.to_be_bytes());
    out.extend(IN.to_be_bytes());
    out.extend(record_of(SERVICE, SRV, ANY, 0, &[]));
    let mut data: Vec<u8> = [0_u16, 1, new.port()].iter().flat_map(|field| field.to_be_bytes()).collect();
    data.extend(name(HOST));
    out.extend(record_of(SERVICE, SRV, IN, 60, &data));
    out
}

/// Sends the update; whether the courier has answered that it holds.
fn send_update(record: &Record, dns: SocketAddr, new: SocketAddr) -> bool {
    let ask = || {
        let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
        socket.set_read_timeout(Some(ms(2_000))).ok()?;
        socket.send_to(&update(new), dns).ok()?;
        let mut answer = [0; 512];
        let (length, _) = socket.recv_from(&mut answer).ok()?;
        (length >= 4).then_some(answer[3] & 15)
    };
    let code = ask();
    record.line(format!("update: {SERVICE} moves to port {}; the answer's code is {code:?}", new.port()));
    code == Some(0)
}

fn run(record: &Record) -> i32 {
    let folder = Folder::new("forgotten-update");
    let platform = Platform::start(record, Vec::new());
    let old = MailServer::start(record, "gumleaf's old server");
    let new = MailServer::start(record, "gumleaf's new server");
    let sender = MailServer::start(record, "the sender's server");
    let [listen, smtp, dns] = free_addrs();
    let lines = zone_lines("gumleaf", old.addr) + &zone_lines("tallowood", sender.addr);
    folder.write("partners.zone", &(zone_head(1) + &lines));
    folder.write("schools.zone", &zone_head(1));
    folder.write("config.json", &config(listen, platform.addr));
    let all = [("gumleaf", 50001), ("tallowood", 50002)];
    let partners_zone = r#"{"origin":"partners.example","file":"partners.zone"}"#;
    let schools_zone = r#"{"origin":"schools.example","file":"schools.zone"}"#;
    let file = folder.write("mail.json", &mail_config(smtp, dns, partners_zone, &all));
    let more = [("NODE_MAIL", file.display().to_string())];
    let mut courier = Courier::start(&folder, record, &more);
    if !wait_until(ms(10_000), || std::net::TcpStream::connect(smtp).is_ok()) {
        courier.record_log(20);
        return NOT_RUN;
    }
    let delivered = |server: &MailServer, id: &str| server.count(&format!("Subject: {id}\n")) > 0;
    send_mail(record, smtp, SENDER, TO, "before-update");
    let runs = wait_until(ms(6_000), || delivered(&old, "before-update"));
    if !runs || !send_update(record, dns, new.addr) {
        record.line("not run: the old server was not used, or the update was not taken");
        return NOT_RUN;
    }
    // The rule's grace for new work is 250 ms and 50 ms.
    thread::sleep(ms(300));
    send_mail(record, smtp, SENDER, TO, "after-update");
    if !wait_until(ms(6_000), || delivered(&new, "after-update") || delivered(&old, "after-update")) {
        record.line("not run: nothing was delivered after the update");
        return NOT_RUN;
    }
    courier.terminate();
    if trouble() {
        folder.write("mail.json", &mail_config(smtp, dns, &format!("{schools_zone},{partners_zone}"), &all));
        record.line("the operators have added the zone schools.example to the mail front's file, before the other");
    }
    thread::sleep(ms(600));
    let courier = Courier::start(&folder, record, &more);
    if !wait_until(ms(10_000), || std::net::TcpStream::connect(smtp).is_ok()) {
        courier.record_log(20);
        return NOT_RUN;
    }
    for n in 1..=3 {
        let id = format!("after-restart-{n}");
        send_mail(record, smtp, SENDER, TO, &id);
        wait_until(ms(6_000), || delivered(&new, &id) || delivered(&old, &id));
    }
    courier.record_log(8);
    let (to_old, to_new) = (old.count("Subject: after-"), new.count("Subject: after-"));
    let broken = to_old > 0;
    record.line(format!(
        "{}: since the update the removed server got {to_old} messages, and the other {to_new}",
        if broken { "BROKEN" } else { "held" }
    ));
    if broken { BROKEN } else { HELD }
}

fn main() {
    let record = Record::open();
    let code = run(&record);
    std::process::exit(code);
}
