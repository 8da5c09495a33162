//! Drains of the running program: who may ask on the channel, full load, forty instances, and mail.

mod support;

use indigohold::control::client::ClientError;
use indigohold::control::schema::{DrainScope, NewDrain};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::drains::*;
use support::*;

#[test]
fn the_socket_is_its_owner_s_and_is_taken_over_only_from_the_dead() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let site = site(&[(&endpoint, 3)]);
    std::fs::create_dir_all(site.folder.0.join("run")).unwrap();
    drop(UnixListener::bind(site.socket()).unwrap());
    let (program, _) = site.start();
    let mode = std::fs::metadata(site.socket()).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    site.client().status().unwrap();
    // A second instance with the same socket does not take it from the first.
    let other = Folder::new();
    other.write("channel.json", &format!(r#"{{"socket": "{}"}}"#, site.socket().display()));
    let mut second = Program::spawn(&other.0, &site.config.to_string(), None);
    assert!(second.line("indigohold: control: ").contains("another instance listens there"));
    assert_eq!(second.child.wait().unwrap().code(), Some(1));
    site.client().status().unwrap();
    program.kill();
    let (_program, _) = site.start();
    site.client().status().unwrap();
    // What is no socket is left alone.
    other.write("file", "mine");
    other.write("channel.json", r#"{"socket": "file"}"#);
    let mut third = Program::spawn(&other.0, &site.config.to_string(), None);
    assert!(third.line("indigohold: control: ").contains("no socket"));
    assert_eq!(std::fs::read_to_string(other.0.join("file")).unwrap(), "mine");
}

/// Bytes of any kind on the control channel: an answer or a close, and the next client is served.
#[test]
fn no_bytes_on_the_control_channel_do_harm() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let site = site(&[(&endpoint, 3)]);
    let (_program, _) = site.start();
    let asked: [&[u8]; 9] = [
        b"\r\n\r\n\0\0\0",
        b"GET / HTTP/1.1\r\n\r\n",
        b"POST /v1/drains HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
        b"POST /v1/drains HTTP/1.1\r\nContent-Length: 3\r\n\r\n\xff\xff\xff",
        b"POST /v1/drains HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        b"POST /v1/drains HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        b"DELETE /v1/drains/1/2/3 HTTP/1.1\r\n\r\n",
        b"PUT /v1/status HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        b"POST /v1/drains HTTP/1.1\r\nContent-Length: 70\r\n\r\n{\"within_ms\": 5000, \"elsewhere\": \"http://x/\\r\\nSet-Cookie: y\", \"z\": 1}",
    ];
    for bytes in asked {
        let mut stream = UnixStream::connect(site.socket()).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = [0; 512];
        let n = stream.read(&mut answer).unwrap();
        let text = String::from_utf8_lossy(&answer[..n]);
        assert!(
            text.starts_with("HTTP/1.1 4") && text.contains("urn:indigohold:problem:"),
            "{bytes:?}: {text}"
        );
    }
    // More sessions than there are places: those in excess are told so.
    // Those from above may hold places until their ends are seen, and cost some of these theirs; so others follow.
    let mut open: Vec<UnixStream> = (0..8).map(|_| UnixStream::connect(site.socket()).unwrap()).collect();
    let mut busy = false;
    until("a refusal", || {
        open.push(UnixStream::connect(site.socket()).unwrap());
        busy |= matches!(site.client().status(), Err(ClientError::Problem(p)) if p.short_kind() == "busy");
        busy
    });
    drop(open);
    // The second request goes over the session of the first: the place of a client that has gone is free a little later.
    let mut client = site.client();
    until("a place", || {
        client = site.client();
        client.status().is_ok()
    });
    assert_eq!(client.drains().unwrap(), []);
}

/// Five hundred are held, a client hands in at full speed, partners are loaded to 120 %: each message that was taken gets
/// exactly one end, none is sent more often than its class allows, and the reported count is the real one within a second.
#[test]
fn a_drain_under_full_load_ends_every_message_once() {
    // A partner of 40 ms a call, one at a time for each connection; the module's slots bound it.
    let slow = endpoint(|_, _| {
        thread::sleep(Duration::from_millis(40));
        Act::Answer(OK)
    });
    let mut site = site(&[(&slow, 3)]);
    site.config["settings"]["limits"]["maxOpen"] = 600.into();
    let (_program, addr) = site.start();
    let taken = Arc::new(Mutex::new(Vec::<String>::new()));
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (taken, stop, next) = (taken.clone(), stop.clone(), next.clone());
            thread::spawn(move || {
                let mut refused = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("m{}", next.fetch_add(1, Ordering::SeqCst));
                    let class = if id.ends_with(['0', '1', '2']) { "render-status" } else { "print-order" };
                    match hand_in(addr, &id, class, 3).status() {
                        202 => taken.lock().unwrap().push(id),
                        _ => refused += 1,
                    }
                }
                refused
            })
        })
        .collect();
    let mut client = site.client();
    until("500 are held", || client.status().unwrap().owed >= 500);
    let drain = client.start(&wish(2_500)).unwrap();
    let taken_at_start = taken.lock().unwrap().len();
    // Reported against real: what was taken, less what has an end at the endpoint or by a notice.
    let mut worst = 0i64;
    let mut lately: Vec<(Instant, i64)> = Vec::new();
    let seen = loop {
        let before = real(&site, &slow, &taken);
        // What is reported may be a second old: on a busy machine the courier's threads hear late of what has ended.
        lately.retain(|(at, _)| at.elapsed() < Duration::from_secs(1));
        lately.push((Instant::now(), before));
        let seen = client.drain(drain.id).unwrap();
        let after = real(&site, &slow, &taken);
        // What ended between the two counts may count either way, and four clients may know an answer just now.
        let highest = lately.iter().map(|(_, real)| *real).max().unwrap_or(before);
        let (low, high) = (before.min(after) - 4, highest.max(after) + 4);
        let left = seen.total() as i64;
        worst = worst.max(low - left).max(left - high);
        if seen.state != "draining" && seen.total() == 0 {
            break seen;
        }
        thread::sleep(Duration::from_millis(100));
    };
    stop.store(true, Ordering::SeqCst);
    let refused: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    let taken = taken.lock().unwrap();
    assert!(taken.len() - taken_at_start <= 4, "nothing is taken once it drains");
    assert!(refused > 0 && seen.given_up + seen.handed_back > 0, "{seen:?}");
    for id in taken.iter() {
        let delivered = slow.count(id);
        let notice = site.discovery.noticed(id).map(|n| n["outcome"].as_str().unwrap().to_owned());
        // One that was out at the strike has been answered, and its call may have run all the same.
        match (delivered, notice.as_deref()) {
            (1, None) => {}
            (0, Some("handed_back")) => {}
            (_, Some("given_up")) => assert!(!safe(id), "{id}"),
            (_, Some("handed_back")) => assert!(safe(id), "{id}"),
            other => panic!("{id}: {other:?}"),
        }
        assert!(delivered <= 1, "{id} was sent {delivered} times");
    }
    println!(
        "{} taken, {refused} refused, {} given up, {} handed back, count off by {worst} at worst",
        taken.len(),
        seen.given_up,
        seen.handed_back
    );
    assert!(worst <= 16, "more than the partner ends between two samples: {worst}");
}

fn safe(id: &str) -> bool {
    id.ends_with(['0', '1', '2'])
}

/// What is taken and has no end yet, seen from outside.
fn real(site: &Site, endpoint: &Endpoint, taken: &Mutex<Vec<String>>) -> i64 {
    let taken = taken.lock().unwrap();
    let calls = endpoint.calls.lock().unwrap();
    let notices = site.discovery.notices.lock().unwrap();
    let mut ended: std::collections::HashSet<&str> =
        notices.iter().filter_map(|n| n["message"].as_str()).collect();
    ended.extend(calls.iter().filter_map(|c| c.header("req-id")));
    taken.iter().filter(|id| !ended.contains(id.as_str())).count() as i64
}

/// Forty instances drained ten at a time under load, each closed and left to serve again: nothing is lost or doubled.
#[test]
fn forty_instances_are_drained_in_a_rolling_fashion() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let sites: Vec<Site> = (0..40).map(|_| site(&[(&endpoint, 3)])).collect();
    let mut programs: Vec<(Program, SocketAddr)> = Vec::new();
    for site in &sites {
        let program = Program::spawn(&site.folder.0, &site.config.to_string(), None);
        programs.push((program, ([127, 0, 0, 1], 0).into()));
    }
    for (program, addr) in &mut programs {
        *addr = program.addr("platform");
    }
    let addrs: Vec<SocketAddr> = programs.iter().map(|p| p.1).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let load = thread::spawn(move || {
        let (mut taken, mut refused) = (Vec::new(), 0);
        for n in 0.. {
            if stopped.load(Ordering::SeqCst) {
                break;
            }
            let id = format!("r{n}");
            thread::sleep(Duration::from_millis(2));
            // A client that is turned away goes to the next instance.
            let start = n % addrs.len();
            let at = (0..addrs.len()).map(|k| addrs[(start + k) % addrs.len()]);
            for addr in at {
                match hand_in(addr, &id, "print-order", 3).status() {
                    202 => {
                        taken.push(id);
                        break;
                    }
                    _ => refused += 1,
                }
            }
        }
        (taken, refused)
    });
    for batch in sites.chunks(10) {
        let mut ids = Vec::new();
        for site in batch {
            ids.push(site.client().start(&wish(20_000)).unwrap().id);
        }
        for (site, id) in batch.iter().zip(&ids) {
            ended(&mut site.client(), *id, "emptied");
        }
        thread::sleep(Duration::from_millis(100));
        for (site, id) in batch.iter().zip(&ids) {
            site.client().close(*id).unwrap();
        }
    }
    stop.store(true, Ordering::SeqCst);
    let (taken, refused) = load.join().unwrap();
    let counts = || -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let calls = endpoint.calls.lock().unwrap();
        calls.iter().for_each(|c| *counts.entry(c.header("req-id").unwrap().to_owned()).or_default() += 1);
        counts
    };
    until("all are delivered", || counts().len() >= taken.len());
    assert!(refused > 0, "some were turned away");
    let counts = counts();
    assert!(taken.iter().all(|id| counts.get(id) == Some(&1)), "{counts:?}");
}

/// Over mail: 421 at the next transaction, a drain by front, and a bounce that the strike does not end.
#[test]
fn mail_drains_too() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let site = site(&[(&endpoint, 3)]);
    let mail = site.folder.write(
        "mail.json",
        r#"{"enabled":true,"hostname":"h.example","smtp":"127.0.0.1:0","zones":[{"origin":"p.example","file":"p.zone"}],
            "partners":[{"domain":"a.p.example","dest":501,"class":"print-order"},
                        {"domain":"t.p.example","dest":502,"class":"render-status"}],
            "senders":{"t.p.example":"tallowood"},
            "classes":{"print-order":{"aim_s":60,"deadline_s":3600},"render-status":{"aim_s":30,"deadline_s":600}}}"#,
    );
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    site.folder.write("p.zone", &format!(
        "$TTL 60\n@ IN SOA ns h ( 1 2 3 4 5 )\n  IN NS ns\nns IN A 127.0.0.1\n_smtp._tcp.a IN SRV 0 1 {closed} m\nm IN A 127.0.0.1\n_smtp._tcp.t IN SRV 0 1 {closed} m\n"
    ));
    let mut program = Program::start(&site.folder.0, &site.config, Some(&mail));
    let smtp = program.addr("smtp");
    let mut session = std::io::BufReader::new(TcpStream::connect(smtp).unwrap());
    let mut say = |text: &str| -> String {
        if !text.is_empty() {
            session.get_mut().write_all(format!("{text}\r\n").as_bytes()).unwrap();
        }
        let mut line = String::new();
        loop {
            line.clear();
            std::io::BufRead::read_line(&mut session, &mut line).unwrap();
            if line.as_bytes().get(3) != Some(&b'-') {
                return line.clone();
            }
        }
    };
    assert!(say("").starts_with("220"));
    assert!(say("EHLO me.t.p.example").starts_with("250"));
    assert!(say("MAIL FROM:<me@t.p.example>").starts_with("250"));
    assert!(say("RCPT TO:<you@a.p.example>").starts_with("250"));
    assert!(say("DATA").starts_with("354"));
    assert!(say("Subject: x\r\nMessage-ID: <1@t>\r\n\r\nten parts\r\n.").starts_with("250"));
    let mut client = site.client();
    let front = DrainScope { front: Some("mail".into()), ..DrainScope::default() };
    let id = client.start(&NewDrain { scope: front, ..wish(900) }).unwrap().id;
    assert!(say("MAIL FROM:<me@t.p.example>").starts_with("421 4.3.2 draining"));
    // Its server refuses connections: it never ran, ends at the strike, and its bounce is taken on and owed.
    until("the strike", || client.drain(id).unwrap().state == "struck");
    until("the bounce", || {
        let drain = client.drain(id).unwrap();
        drain.handed_back == 1 && drain.total() == 1 && drain.by_dest.contains_key(&502)
    });
    assert_eq!(
        hand_in(program.addr("platform"), "p", "print-order", 3).status(),
        202,
        "the other front serves"
    );
}
