//! The platform's front, spoken to over sockets: the program itself, a stand-in discovery and endpoints.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Instant;
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn config(discovery: &Discovery, known: &str, order_deadline_ms: u64) -> serde_json::Value {
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": serde_json::from_str::<serde_json::Value>(
            &format!("{{\"generation\":7,\"reset\":true,\"instances\":[{known}]}}")).unwrap(),
        "settings": settings(order_deadline_ms)
    })
}

fn api(id: &str, class: &str, deadline_ms: u64, dest: u16, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
         X-Addressing: dest={dest}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn a_message_is_taken_and_passed_on_unchanged() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let addr = program.addr("platform");
    assert_eq!(ask(addr, b"GET /health/ready HTTP/1.1\r\n\r\n").status(), 200);
    assert_eq!(ask(addr, api("m1", "print-order", 20_000, 3, "a\0b\r\n\r\nc").as_bytes()).status(), 202);
    until("the call", || endpoint.count("m1") == 1);
    let call = endpoint.calls.lock().unwrap()[0].clone();
    assert_eq!(call.head[0], "POST /hook HTTP/1.1");
    assert_eq!(call.header("idempotency-key"), Some("key-m1"));
    assert_eq!(call.body, b"a\0b\r\n\r\nc");
    // Its client counts from when it sent the request, up to 400 ms ago; an end may be 300 ms late.
    assert!((1..=19_900).contains(&call.header("req-deadline-ms").unwrap().parse::<u64>().unwrap()));
}

/// Guards against a session that stops at the first request, or mixes up two that came in one packet.
#[test]
fn a_session_serves_many_requests_cut_anywhere() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let mut stream = TcpStream::connect(program.addr("platform")).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let both = api("p1", "render-status", 5000, 3, "one") + &api("p2", "render-status", 5000, 3, "two");
    for part in both.as_bytes().chunks(37) {
        stream.write_all(part).unwrap();
    }
    assert_eq!(read_http(&mut reader).unwrap().status(), 202);
    assert_eq!(read_http(&mut reader).unwrap().status(), 202);
    until("both calls", || endpoint.count("p1") == 1 && endpoint.count("p2") == 1);
}

#[test]
fn what_is_malformed_is_refused_in_clear_words() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let addr = program.addr("platform");
    let good = api("bad", "print-order", 20_000, 3, "x");
    let cases = [
        ("\x01\x02 garbage\r\n\r\n".to_owned(), 400),
        (good.replace("Req-Kind: print-order", "Req-Kind: poster"), 400),
        (good.replace("Req-Owner: tallowood", "Req-Owner: nowhere"), 400),
        (good.replace("Req-Id: bad", "Req-Id: "), 400),
        (good.replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: soon"), 400),
        (good.replace("dest=3", "dest=three"), 400),
        (good.replace("Content-Length: 1", "Content-Length: 1\r\nContent-Length: 2"), 400),
        (good.replace("Content-Length: 1", "Content-Length: -1"), 400),
        (good.replace("Content-Length: 1", "Content-Length: 65537"), 413),
        (good.replace("Content-Length: 1\r\n", ""), 411),
        (good.replace("Host: api.internal", &format!("Host: {}", "h".repeat(9000))), 431),
        ("GET /api HTTP/1.1\r\n\r\n".to_owned(), 405),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_owned(), 404),
    ];
    for (request, status) in cases {
        assert_eq!(ask(addr, request.as_bytes()).status(), status, "{request}");
    }
    // No backend was ever listed there; once the list has come it is a failure, before it a refusal.
    until("the list", || ask(addr, good.replace("dest=3", "dest=99").as_bytes()).status() == 404);
    assert_eq!(ask(addr, api("good", "print-order", 20_000, 3, "x").as_bytes()).status(), 202);
    until("the call", || endpoint.count("good") == 1);
    assert_eq!(endpoint.count("bad"), 0);
}

/// Guards against a message forgotten, or delivered twice, over SIGKILL: one that was delivered, one that was
/// out, and one that had not been sent.
#[test]
fn what_is_owed_outlasts_a_kill() {
    let endpoint = endpoint(|id, nth| match (id, nth) {
        ("out", 1) => Act::Hang,
        _ => Act::Answer(OK),
    });
    let list =
        [instance("s-1", endpoint.addr, 3, "up"), instance("s-2", endpoint.addr, 4, "draining")].join(",");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let config = config(&discovery, &list, 60_000);
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    assert_eq!(ask(addr, api("done", "print-order", 60_000, 3, "x").as_bytes()).status(), 202);
    until("the first call", || endpoint.count("done") == 1);
    assert_eq!(ask(addr, api("out", "print-order", 60_000, 3, "x").as_bytes()).status(), 202);
    until("the second call", || endpoint.count("out") == 1);
    assert_eq!(ask(addr, api("waits", "print-order", 60_000, 4, "x").as_bytes()).status(), 202);
    program.kill();
    // The drain is over in the next life.
    *discovery.list.lock().unwrap() =
        (8, [instance("s-1", endpoint.addr, 3, "up"), instance("s-2", endpoint.addr, 4, "up")].join(","));
    let _program = Program::start(&folder.0, &config, None);
    until("the one that was out, again", || endpoint.count("out") == 2);
    until("the one that waited", || endpoint.count("waits") == 1);
    assert_eq!(endpoint.count("done"), 1, "delivered once, and known to be");
}

/// Guards against a silent end: a message that can't be delivered is answered with a notice, also when its time
/// ran out while no courier was there.
#[test]
fn an_end_without_delivery_is_noticed() {
    let endpoint = endpoint(|_, _| Act::Hang);
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let config = config(&discovery, &list, 20_000);
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    assert_eq!(ask(addr, api("hangs", "print-order", 400, 3, "x").as_bytes()).status(), 202);
    until("its notice", || discovery.noticed("hangs").is_some());
    assert_eq!(discovery.noticed("hangs").unwrap()["outcome"], "given_up", "it may have run");
    assert_eq!(ask(addr, api("late", "print-order", 300, 3, "x").as_bytes()).status(), 202);
    program.kill();
    std::thread::sleep(std::time::Duration::from_millis(400));
    let _program = Program::start(&folder.0, &config, None);
    until("the notice of the next life", || discovery.noticed("late").is_some());
}

/// Guards against a notice that is lost with a connection that was cut off: such a one stays open and silent.
#[test]
fn a_notice_is_told_until_it_is_heard() {
    let endpoint = endpoint(|_, _| Act::Hang);
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    discovery.mute.store(2, Ordering::SeqCst);
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let addr = program.addr("platform");
    assert_eq!(ask(addr, api("n1", "print-order", 300, 3, "x").as_bytes()).status(), 202);
    until("the notice", || discovery.noticed("n1").is_some());
    assert_eq!(discovery.mute.load(Ordering::SeqCst), 0, "both that were not answered came first");
}

/// Guards against a list that grows old behind a watch that died without a word: discovery's machine vanished,
/// and the connection stays open.
#[test]
fn a_silent_watch_is_opened_anew() {
    let (old, new) = (endpoint(|_, _| Act::Answer(OK)), endpoint(|_, _| Act::Answer(OK)));
    let list = instance("s-1", old.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    discovery.silent.store(1, Ordering::SeqCst);
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let addr = program.addr("platform");
    until("the first watch", || discovery.watches.load(Ordering::SeqCst) == 1);
    // Time for the first list to be told; if it is not, the second watch tells the same news.
    assert_eq!(ask(addr, api("q1", "render-status", 5000, 3, "x").as_bytes()).status(), 202);
    until("the first call", || old.count("q1") == 1);
    *discovery.list.lock().unwrap() =
        (8, [instance("s-1", old.addr, 3, "draining"), instance("s-2", new.addr, 3, "up")].join(","));
    until("the second watch", || discovery.watches.load(Ordering::SeqCst) == 2);
    until("a call to the new one", || {
        let id = format!("q{}", new.calls.lock().unwrap().len() + old.calls.lock().unwrap().len() + 2);
        assert_eq!(ask(addr, api(&id, "render-status", 5000, 3, "x").as_bytes()).status(), 202);
        until("its call", || old.count(&id) + new.count(&id) == 1);
        new.count(&id) == 1
    });
}

/// Guards against a told wait that one message keeps and another breaks.
#[test]
fn a_told_wait_binds_all_messages_of_the_destination() {
    let times = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = times.clone();
    let endpoint = endpoint(move |_, _| {
        let mut times = seen.lock().unwrap();
        times.push(Instant::now());
        match times.len() {
            1 => {
                Act::Answer("HTTP/1.1 429 Too Many\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n")
            }
            _ => Act::Answer(OK),
        }
    });
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let addr = program.addr("platform");
    assert_eq!(ask(addr, api("w1", "print-order", 20_000, 3, "x").as_bytes()).status(), 202);
    until("the wait", || times.lock().unwrap().len() == 1);
    // The refusal is written by now, and far from its end.
    std::thread::sleep(std::time::Duration::from_millis(150));
    assert_eq!(ask(addr, api("w2", "print-order", 20_000, 3, "x").as_bytes()).status(), 202);
    until("both", || times.lock().unwrap().len() == 3);
    assert_eq!((endpoint.count("w1"), endpoint.count("w2")), (2, 1));
    let times = times.lock().unwrap();
    assert!((times[1] - times[0]).as_millis() >= 700, "sent within the wait");
}

/// Guards against an end by SIGTERM that is too late, loses a request, or counts as a failure.
#[test]
fn sigterm_is_served_through_and_ends_in_time() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let addr = program.addr("platform");
    let mut idle = TcpStream::connect(addr).unwrap();
    let begun = Instant::now();
    program.signal("TERM");
    assert_eq!(ask(addr, api("t1", "print-order", 20_000, 3, "x").as_bytes()).status(), 202);
    until("the call", || endpoint.count("t1") == 1);
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "closed between requests");
    let status = program.child.wait().unwrap();
    assert!(status.success(), "{status}");
    assert!(begun.elapsed().as_millis() < 3700, "{:?}", begun.elapsed());
}

#[test]
fn a_bad_configuration_is_one_line_and_an_exit() {
    let folder = Folder::new();
    let mail = folder.write("mail.json", r#"{"enabled":true,"hostname":"h","smtp":"127.0.0.1:0","zones":[{"origin":"p.example","file":"p.zone"}]}"#);
    folder
        .write("p.zone", "$TTL 60\n@ IN SOA ns h ( 1 2 3 4 5 )\nmail IN A 127.0.0.1\nweb IN A 127.0.0.1.9\n");
    let no_front = serde_json::json!({"settings": settings(1000)}).to_string();
    for (config, mail, says) in [
        ("{", None, "NODE_CONFIG"),
        ("{}", None, "settings"),
        (&no_front, None, "listen"),
        (&no_front, Some(&*mail), "p.zone:4"),
    ] {
        let mut program = Program::spawn(&folder.0, config, mail);
        let said = program.line("indigohold: ");
        assert!(said.contains(says), "{said}");
        assert_eq!(program.child.wait().unwrap().code(), Some(1));
    }
}

/// Guards against a courier that dies of SIGHUP, takes a bad file for a good one, or goes on asking and telling the
/// old discovery: its watch, its kept connection, a notice that waits for an answer there, and the next start.
#[test]
fn sighup_moves_discovery_and_a_bad_file_does_not() {
    let (before, after) = (endpoint(|_, _| Act::Hang), endpoint(|_, _| Act::Answer(OK)));
    let (one, two) = (instance("s-1", before.addr, 3, "up"), instance("s-2", after.addr, 4, "up"));
    let old = discovery(std::slice::from_ref(&one));
    let new = discovery(&[one.clone(), two.clone()]);
    new.list.lock().unwrap().0 = 8;
    let folder = Folder::new();
    let first = config(&old, &one, 20_000);
    let mut program = Program::start(&folder.0, &first, None);
    let addr = program.addr("platform");
    until("the first watch", || old.watches.load(Ordering::SeqCst) == 1);
    assert_eq!(ask(addr, api("h1", "print-order", 300, 3, "x").as_bytes()).status(), 202);
    until("a notice on a connection that is kept", || old.noticed("h1").is_some());

    folder.write("config.json", "{\"discovery\":");
    program.signal("HUP");
    let said = program.line_with("the configuration stays as it was");
    assert!(said.contains("NODE_CONFIG"), "{said}");
    let mut nowhere = first.clone();
    nowhere["discovery"] = "nowhere".into();
    folder.write("config.json", &nowhere.to_string());
    program.signal("HUP");
    program.line_with("discovery: nowhere");
    assert_eq!(old.watches.load(Ordering::SeqCst), 1, "the watch was left alone");

    // A notice waits for its answer at the old address, which stays silent for good.
    old.mute.store(1000, Ordering::SeqCst);
    assert_eq!(ask(addr, api("h2", "print-order", 300, 3, "x").as_bytes()).status(), 202);
    until("the notice under way", || old.mute.load(Ordering::SeqCst) < 1000);
    let second = config(&new, &one, 20_000);
    folder.write("config.json", &second.to_string());
    program.signal("HUP");
    until("the notice at the new address", || new.noticed("h2").is_some());
    until("the new watch", || new.watches.load(Ordering::SeqCst) == 1);
    let to_new = || ask(addr, api("h3", "render-status", 5000, 4, "x").as_bytes()).status();
    until("the list of the new address", || to_new() == 202);
    until("the call", || after.count("h3") == 1);

    // The environment of the next start still names the old address.
    program.kill();
    let watches = old.watches.load(Ordering::SeqCst);
    let _program = Program::spawn_with(&folder.0, &second.to_string(), None, Some(old.addr));
    until("the watch of the next life", || new.watches.load(Ordering::SeqCst) == 2);
    assert_eq!(old.watches.load(Ordering::SeqCst), watches);
}

/// Guards against places that are held by clients without a request: those that say nothing, that asked once and
/// stay, or that stop in the middle of a request. Newcomers find room, and each of them is closed.
#[test]
fn sessions_without_a_request_make_room() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut config = config(&discovery, &list, 20_000);
    config["limits"]["sockets"] = 128.into();
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    let connect = |text: &str| {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let asked_once = || {
        let mut reader = BufReader::new(connect("GET /health/ready HTTP/1.1\r\n\r\n"));
        let status = read_http(&mut reader).map(|answer| answer.status());
        (status, reader)
    };
    let half =
        api("half", "print-order", 20_000, 3, "half").replace("Content-Length: 4", "Content-Length: 5");
    let mut kept = Vec::new();
    for begins in ["", "POST /ap", &half] {
        // More of them than there are places, and then one who means it.
        let begun = Instant::now();
        let mut held: Vec<TcpStream> = (0..90).map(|_| connect(begins)).collect();
        until("a place", || {
            let (status, reader) = asked_once();
            kept.push(reader);
            status == Some(200)
        });
        for stream in &mut held {
            // An error: it was closed with something unread.
            let _ = stream.read_to_end(&mut Vec::new());
        }
        assert!(begun.elapsed().as_secs() < 8, "{begins:?}: closed after {:?}", begun.elapsed());
    }
    let mut stay = Vec::new();
    let begun = Instant::now();
    until("all places taken by those who stay", || {
        stay.push(asked_once());
        stay.len() == 90
    });
    until("a place for one more", || asked_once().0 == Some(200));
    assert_eq!(stay[0].1.read(&mut [0]).unwrap(), 0, "the one idle longest made room");
    assert!(begun.elapsed().as_secs() < 20, "{:?}: not only because it idled for long", begun.elapsed());
}

/// Guards against spoilt answers: a refusal that is not whole proves nothing, a first line with 200 is true whatever
/// follows, an answer without end holds no slot, and what came before or behind the answer belongs to no other call.
#[test]
fn spoilt_answers_are_told_from_good_ones() {
    const LONG_HEAD: &str = "HTTP/1.1 200 OK\r\nX: ";
    let endpoint = endpoint(|id, nth| {
        match (id, nth) {
        ("interim", _) => Act::Answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        ("noise-200", _) => Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\x01\x02\r\n\r\n"),
        ("open-200", _) => Act::Answer(LONG_HEAD),
        ("huge-200", _) => Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nmore and"),
        ("twice", _) => Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        ("noise", 1) => Act::Answer("\x01\x02\r\n\r\n"),
        ("short-503", 1) => Act::Answer("HTTP/1.1 503 No\r\nContent-Length: 50\r\n\r\nno"),
        ("short-410", 1) => Act::Answer("HTTP/1.1 410 Gone\r\nContent-Length: 50\r\n\r\nno"),
        ("short-504", 1) => Act::Answer("HTTP/1.1 504 Over\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nno"),
        ("for-good", _) => Act::Answer("HTTP/1.1 503 No\r\nContent-Length: 50\r\n\r\nno"),
        _ => Act::Answer(OK),
    }
    });
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    // Within its group's window a spoilt one is repeated; over mail and after the window it would not be.
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 7_000), None);
    let addr = program.addr("platform");
    let once = ["interim", "noise-200", "open-200", "huge-200", "twice", "plain"];
    for id in once {
        assert_eq!(ask(addr, api(id, "print-order", 7_000, 3, "x").as_bytes()).status(), 202);
        until(id, || endpoint.count(id) == 1);
    }
    for id in ["noise", "short-503", "short-410", "short-504"] {
        assert_eq!(ask(addr, api(id, "print-order", 7_000, 3, "x").as_bytes()).status(), 202);
        until("a second call", || endpoint.count(id) == 2);
    }
    for id in once {
        assert_eq!((endpoint.count(id), discovery.noticed(id)), (1, None), "{id} was delivered");
    }
    // What may have run is never handed back: its client would hand it in again.
    assert_eq!(ask(addr, api("for-good", "print-order", 1_500, 3, "x").as_bytes()).status(), 202);
    until("its end", || discovery.noticed("for-good").is_some());
    assert_eq!(discovery.noticed("for-good").unwrap()["outcome"], "given_up");
}

/// Guards against a client that sends the same bad request as soon as it is turned away: each answer comes, but the
/// next request waits, twice as long each time.
#[test]
fn a_client_that_repeats_a_bad_request_waits_between() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let list = instance("s-1", endpoint.addr, 3, "up");
    let discovery = discovery(std::slice::from_ref(&list));
    let folder = Folder::new();
    let mut program = Program::start(&folder.0, &config(&discovery, &list, 20_000), None);
    let mut stream = TcpStream::connect(program.addr("platform")).unwrap();
    let bad = api("b", "print-order", 20_000, 3, "x").replace("Req-Kind: print-order", "Req-Kind: poster");
    let begun = Instant::now();
    stream.write_all(bad.repeat(5).as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for _ in 0..5 {
        assert_eq!(read_http(&mut reader).unwrap().status(), 400);
    }
    assert!(begun.elapsed().as_millis() >= 300, "{:?}: 20 + 40 + 80 + 160 ms", begun.elapsed());
}
