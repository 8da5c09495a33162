//! The engine on real sockets, against the real program.

use indigohold_lab::experiment::judge;
use indigohold_lab::load::{self, Load, Protocol};
use indigohold_lab::policies::Policy;
use indigohold_lab::scenario::Scenario;
use indigohold_lab::sockets::{self, Found, Scratch};
use indigohold_lab::{experiment::Outcome, record::Fact};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

fn run_with(text: &str, program: &Path) -> (Outcome, Found, usize) {
    let scenario = Scenario::read(text.as_bytes()).unwrap_or_else(|f| panic!("{f:?}"));
    let scratch = Scratch::new().unwrap();
    let (record, found) = sockets::run(&scenario, 1, program, &scratch.0).unwrap();
    let downs = record.facts.iter().filter(|(_, f)| matches!(f, Fact::Down(..))).count();
    (judge(&record, &scenario, Policy::Indigohold, 1, "sockets"), found, downs)
}

/// Three instances, of which two are killed and one is told to end, beside a partner that goes away and comes back.
#[test]
fn killed_instances_lose_and_double_nothing() {
    let text = r#"{"seconds":7,"courier":{"instances":3},"clients":{"rate":60},
        "destinations":{"count":4,"endpoints":[1,2],"errors":0.02},
        "faults":[{"at_s":1,"lasts_s":1.5,"where":"number","number":1,"what":"refuses"}],
        "kills":[{"at_s":2,"count":2,"away_s":0.3},{"at_s":2.5,"count":1,"away_s":0.3,"gently":true}]}"#;
    let (outcome, found, downs) = run_with(text, &sockets::program().unwrap());
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
    assert!(found.findings.is_empty(), "{:#?}", found.findings);
    let f = &outcome.figures;
    assert!(f.wanted > 300 && f.delivered * 10 >= f.wanted * 9, "{} of {}", f.delivered, f.wanted);
    assert_eq!((downs, f.doubles), (3, 0));
    assert_eq!(found.used.iter().map(|u| u.lives).sum::<u32>(), 6, "each that went came back");
}

/// A program that dies by itself is a finding, and the run goes on with its next life.
#[test]
fn a_crash_is_survived_and_told() {
    let scratch = Scratch::new().unwrap();
    let (script, marker) = (scratch.0.join("crashes-once"), scratch.0.join("crashed"));
    let program = sockets::program().unwrap();
    let text = format!(
        "#!/bin/sh\n[ -e {m} ] && exec {p}\n: > {m}\n{p} &\nsleep 1.5\necho 'about to crash' >&2\nkill -9 $!\nexit 3\n",
        m = marker.display(),
        p = program.display()
    );
    std::fs::File::create(&script).unwrap().write_all(text.as_bytes()).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    let day = r#"{"seconds":4,"courier":{"instances":1},"clients":{"rate":30},"destinations":{"count":2}}"#;
    let (outcome, found, downs) = run_with(day, &script);
    assert_eq!(downs, 1);
    assert_eq!(found.findings.len(), 1, "{:#?}", found.findings);
    assert!(found.findings[0].contains("ended by itself") && found.findings[0].contains("about to crash"));
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
    assert!(outcome.figures.delivered > 60, "{}", outcome.figures.delivered);
}

/// A server that takes two messages of three and stalls on none; what it heard is counted there.
fn server(protocol: Protocol) -> (std::net::SocketAddr, std::sync::Arc<std::sync::atomic::AtomicU64>) {
    use std::sync::atomic::{AtomicU64, Ordering};
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, count) = (listener.local_addr().unwrap(), std::sync::Arc::new(AtomicU64::new(0)));
    let heard = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let heard = heard.clone();
            std::thread::spawn(move || {
                let mut out = stream.try_clone().unwrap();
                let lines = BufReader::new(stream).lines().map_while(Result::ok);
                let mut say = |text: &str| out.write_all(text.as_bytes()).is_ok();
                if protocol == Protocol::Http {
                    // Head, an empty line, and a body of one line.
                    let mut lines = lines;
                    while lines.by_ref().take_while(|l| !l.is_empty()).count() > 0 {
                        let n = heard.fetch_add(1, Ordering::SeqCst);
                        let line = if n % 3 == 2 { "503 Busy" } else { "202 Taken" };
                        if !say(&format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n")) {
                            return;
                        }
                    }
                    return;
                }
                say("220-here\r\n220 ready\r\n");
                let mut data = false;
                for line in lines {
                    let reply = match line.split(' ').next().unwrap_or_default() {
                        "." if data => {
                            data = false;
                            let n = heard.fetch_add(1, Ordering::SeqCst);
                            if n % 3 == 2 {
                                "451 later"
                            } else {
                                "250 ok"
                            }
                        }
                        _ if data => continue,
                        "DATA" => {
                            data = true;
                            "354 go on"
                        }
                        "EHLO" | "LHLO" => "250-here\r\n250 SIZE",
                        _ => "250 ok",
                    };
                    if !say(&format!("{reply}\r\n")) {
                        return;
                    }
                }
            });
        }
    });
    (addr, count)
}

#[test]
fn a_load_counts_every_message_once_over_each_protocol() {
    for protocol in [Protocol::Http, Protocol::Smtp, Protocol::Lmtp] {
        let (to, heard) = server(protocol);
        let load = Load {
            to,
            protocol,
            rate: 300.0,
            seconds: 1.0,
            most: 240,
            connections: 4,
            patience: 5.0,
            class: "order".into(),
            tenant: "t".into(),
            dest: 1,
            from: "a@here.example".into(),
            rcpt: "b@there.example".into(),
            bytes: 0,
        };
        let loaded = load::run(&load, |_| {}).unwrap();
        assert_eq!((loaded.due, loaded.failed, loaded.unanswered), (240, 0, 0), "{protocol:?}: {loaded:?}");
        assert_eq!((loaded.taken, loaded.refused), (160, 80), "{protocol:?}");
        assert_eq!(heard.load(std::sync::atomic::Ordering::SeqCst), 240);
        assert!(loaded.from_due.p99 >= loaded.from_sent.p99, "{loaded:?}");
    }
    let far = Load { to: "192.0.2.1:80".parse().unwrap(), ..any() };
    assert!(load::run(&far, |_| {}).is_err(), "nothing leaves this machine");
}

fn any() -> Load {
    Load {
        to: "127.0.0.1:1".parse().unwrap(),
        protocol: Protocol::Http,
        rate: 1.0,
        seconds: 1.0,
        most: 1,
        connections: 1,
        patience: 1.0,
        class: String::new(),
        tenant: String::new(),
        dest: 0,
        from: String::new(),
        rcpt: String::new(),
        bytes: 0,
    }
}
