//! Drains of the running program, by its control channel, over loopback: under load, at told waits, at silent partners,
//! without discovery, through kills and ends, in part, and called off in the moment of the deadline.

mod support;

use indigohold::control::schema::{DrainScope, NewDrain};
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use support::drains::*;
use support::*;

#[test]
fn an_idle_instance_is_empty_at_once_and_turns_away_until_it_is_closed() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let site = site(&[(&endpoint, 3)]);
    let (_program, addr) = site.start();
    let mut client = site.client();
    assert_eq!(client.drains().unwrap(), []);
    let wish = NewDrain {
        reason: "moving to another machine".into(),
        elsewhere: Some("http://10.9.9.9:8081/api".into()),
        ..wish(60_000)
    };
    let drain = client.start(&wish).unwrap();
    assert_eq!((drain.state.as_str(), drain.total()), ("emptied", 0));
    let refused = hand_in(addr, "m1", "print-order", 3);
    assert_eq!(
        (refused.status(), refused.header("retry-after")),
        (503, Some("3.000")),
        "bounded by the settings"
    );
    assert_eq!(refused.header("link"), Some("<http://10.9.9.9:8081/api>; rel=\"alternate\""));
    assert_eq!(refused.header("connection"), Some("close"), "sessions end between requests");
    until("discovery is heard", || client.status().unwrap().register == "live");
    let status = client.status().unwrap();
    assert_eq!((status.drains.len(), status.register.as_str(), status.ending), (1, "live", false));
    let (code, text) = site.command(&["drain", "watch"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("emptied: 0 of 0 left") && text.contains("moving to another machine"), "{text}");
    assert_eq!(site.command(&["drain", "close"]).0, Some(0));
    assert_eq!(hand_in(addr, "m2", "print-order", 3).status(), 202);
    until("its delivery", || endpoint.count("m2") == 1);
    assert_eq!(site.command(&["drain", "watch"]).0, Some(2), "none is on");
    // The flag may stand before or after the sub-command; the example uses it after.
    let socket = site.socket();
    let (code, text) = site.command(&["drain", "start", "--by", "60s", "--socket", socket.to_str().unwrap()]);
    assert!(code == Some(0) && text.contains("emptied: 0 of 0 left"), "{text}");
    let example = Command::new("sh")
        .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/rolling-drain.sh"))
        .args(["10", "60s"])
        .arg(&socket)
        .env("INDIGOHOLD", env!("CARGO_BIN_EXE_indigohold"))
        .status();
    assert!(example.unwrap().success());
    assert_eq!(hand_in(addr, "m3", "print-order", 3).status(), 202, "the example closes what it drained");
}

/// A partner tells a wait that is longer than the drain: nothing is sent within it, and what never ran goes back.
#[test]
fn a_told_wait_beyond_the_deadline_is_heeded() {
    let waiting = endpoint(|_, _| {
        Act::Answer(
            "HTTP/1.1 429 Too Many Requests\r\nX-RateLimit-Wait-Ms: 8000\r\nContent-Length: 0\r\n\r\n",
        )
    });
    let site = site(&[(&waiting, 3)]);
    let (_program, addr) = site.start();
    assert_eq!(hand_in(addr, "first", "print-order", 3).status(), 202);
    until("the wait", || waiting.count("first") == 1);
    assert_eq!(hand_in(addr, "second", "print-order", 3).status(), 202);
    let mut client = site.client();
    let drain = client.start(&wish(900)).unwrap();
    until("the wait is heard of", || client.drain(drain.id).unwrap().left["told_to_wait"] == 2);
    let seen = client.drain(drain.id).unwrap();
    assert!(seen.told_until_ms.unwrap() > seen.by_ms, "{seen:?}");
    assert_eq!(site.command(&["drain", "watch"]).0, Some(5), "all could be handed back");
    let drain = ended(&mut client, drain.id, "struck_and_emptied");
    assert_eq!((drain.handed_back, drain.given_up), (2, 0));
    for id in ["first", "second"] {
        let notice = site.discovery.noticed(id).unwrap();
        assert_eq!(notice["outcome"], "handed_back", "{notice}");
    }
    assert_eq!((waiting.count("first"), waiting.count("second")), (1, 0), "no call within the wait");
    assert_eq!(word(client.cancel(drain.id).unwrap_err()), "struck");
    client.close(drain.id).unwrap();
}

/// All slots hang at a silent partner: the strike answers what is out too, at its deadline and not later.
#[test]
fn what_hangs_is_given_up_or_handed_back_by_its_class() {
    let silent = endpoint(|_, _| Act::Hang);
    let site = site(&[(&silent, 3), (&silent, 4)]);
    let (_program, addr) = site.start();
    for n in 0..4 {
        assert_eq!(hand_in(addr, &format!("order{n}"), "print-order", 3).status(), 202);
        assert_eq!(hand_in(addr, &format!("safe{n}"), "render-status", 4).status(), 202);
    }
    until("calls", || {
        silent.count("order0") + silent.count("order1") > 0 && silent.calls.lock().unwrap().len() >= 2
    });
    let mut client = site.client();
    let begun = Instant::now();
    let drain = client.start(&wish(800)).unwrap();
    let drain = ended(&mut client, drain.id, "struck_and_emptied");
    assert!(begun.elapsed() < Duration::from_millis(2_500), "{:?}", begun.elapsed());
    for n in 0..4 {
        let order = format!("order{n}");
        let called = silent.count(&order) > 0;
        let outcome = &site.discovery.noticed(&order).unwrap()["outcome"];
        assert_eq!(outcome, if called { "given_up" } else { "handed_back" }, "{order}");
        let safe = &site.discovery.noticed(&format!("safe{n}")).unwrap()["outcome"];
        assert_eq!(safe, "handed_back", "safe{n}");
    }
    assert!(drain.given_up > 0 && drain.given_up + drain.handed_back == 8, "{drain:?}");
}

/// Discovery is down from before the drain until after its strike: what can be delivered is, the strike comes in time, and
/// its notice stays owed until discovery is there to hear it.
#[test]
fn a_drain_ends_in_time_while_discovery_is_down() {
    let (serving, silent) = (endpoint(|_, _| Act::Answer(OK)), endpoint(|_, _| Act::Hang));
    let mut site = site(&[(&serving, 3), (&silent, 4)]);
    let entries = [scripted::up("s-0", serving.addr, 3), scripted::up("s-1", silent.addr, 4)];
    let discovery = scripted::Scripted::serving(scripted::list(7, &entries));
    site.config["discovery"] = discovery.addr.to_string().into();
    let (_program, addr) = site.start();
    let mut client = site.client();
    until("the list", || client.status().unwrap().register == "live");
    discovery.stop();
    assert_eq!(hand_in(addr, "hangs", "print-order", 4).status(), 202);
    until("its call", || silent.count("hangs") == 1);
    assert_eq!(hand_in(addr, "goes", "print-order", 3).status(), 202);
    let begun = Instant::now();
    let id = client.start(&wish(900)).unwrap().id;
    until("a delivery without discovery", || serving.count("goes") == 1);
    let struck = ended(&mut client, id, "struck");
    assert!(begun.elapsed() < Duration::from_millis(2_500), "{:?}", begun.elapsed());
    assert_eq!((struck.given_up, struck.handed_back), (1, 0), "its call may have run");
    assert_eq!((struck.total(), struck.left["notice_owed"]), (1, 1), "{struck:?}");
    assert_eq!(hand_in(addr, "late", "print-order", 3).status(), 503, "it is drained all the same");
    discovery.start();
    ended(&mut client, id, "struck_and_emptied");
    assert_eq!(discovery.noticed("hangs").unwrap()["outcome"], "given_up");
    assert!(discovery.noticed("goes").is_none(), "what was delivered is not noticed");
    client.close(id).unwrap();
    assert_eq!(hand_in(addr, "after", "print-order", 3).status(), 202);
    until("service whole", || serving.count("after") == 1);
}

/// The platform answers notices with nothing: the strike is in time all the same, and notices are owed until heard.
#[test]
fn a_platform_that_hears_no_notices_is_told_until_it_does() {
    let silent = endpoint(|_, _| Act::Hang);
    let site = site(&[(&silent, 3)]);
    site.discovery.mute.store(3, Ordering::SeqCst);
    let (_program, addr) = site.start();
    assert_eq!(hand_in(addr, "m", "print-order", 3).status(), 202);
    let mut client = site.client();
    let id = client.start(&wish(800)).unwrap().id;
    let struck = ended(&mut client, id, "struck");
    assert_eq!(struck.left["notice_owed"], 1, "{struck:?}");
    ended(&mut client, id, "struck_and_emptied");
    assert!(site.discovery.noticed("m").is_some());
}

/// Exactly one of the two wins, for all messages alike, and the caller hears which. In rounds, as close as can be.
#[test]
fn a_cancel_in_the_moment_of_the_deadline_wins_or_loses_whole() {
    let silent = endpoint(|_, _| Act::Hang);
    let site = site(&[(&silent, 3)]);
    let (_program, addr) = site.start();
    let mut client = site.client();
    let (mut wins, mut losses) = (0, 0);
    for round in 0..24u64 {
        let ids: Vec<String> = (0..3).map(|n| format!("m{round}-{n}")).collect();
        for id in &ids {
            assert_eq!(hand_in(addr, id, "render-status", 3).status(), 202);
        }
        let drain = client.start(&wish(60)).unwrap();
        thread::sleep(Duration::from_micros(50_000 + 700 * round));
        let noticed = |id: &String| site.discovery.noticed(id).is_some();
        match client.cancel(drain.id) {
            Ok(seen) => {
                wins += 1;
                assert_eq!(seen.state, "cancelled");
                assert_eq!((seen.given_up, seen.handed_back), (0, 0), "none was struck");
                // They go on; the next round's drain finds them, or this one's own end does.
                let id = client.start(&wish(50)).unwrap().id;
                ended(&mut client, id, "struck_and_emptied");
                client.close(id).unwrap();
            }
            Err(e) => {
                losses += 1;
                assert_eq!(word(e), "struck");
                let seen = ended(&mut client, drain.id, "struck_and_emptied");
                assert_eq!(seen.given_up + seen.handed_back, 3, "all were struck: {seen:?}");
                client.close(drain.id).unwrap();
            }
        }
        assert!(ids.iter().all(noticed), "each has its one answer");
    }
    println!("{wins} cancels won, {losses} came too late");
    let all = site.discovery.notices.lock().unwrap();
    // A notice that is not answered within 100 ms comes once more, and the same again does no harm to the platform.
    let mut answers: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for notice in all.iter() {
        answers.entry(notice["message"].to_string()).or_default().insert(notice.to_string());
    }
    assert!(answers.values().all(|of_message| of_message.len() == 1), "{answers:?}");
}

/// The drain outlives its process, by SIGKILL and by SIGTERM, and strikes at once when its time has passed meanwhile.
#[test]
fn a_drain_outlives_its_process() {
    let silent = endpoint(|_, _| Act::Hang);
    let site = site(&[(&silent, 3)]);
    let (program, addr) = site.start();
    assert_eq!(hand_in(addr, "m1", "print-order", 3).status(), 202);
    until("its call", || silent.count("m1") == 1);
    let first = site.client().start(&wish(60_000)).unwrap();
    program.kill();
    let (mut program, addr) = site.start();
    program.line_with("a drain continues from an earlier run of the process");
    let mut client = site.client();
    let seen = client.drain(first.id).unwrap();
    assert_eq!((seen.state.as_str(), seen.by_ms, seen.total()), ("draining", first.by_ms, 1), "{seen:?}");
    assert_eq!(hand_in(addr, "m2", "print-order", 3).status(), 503);
    // A nearer deadline, which passes while nobody is there.
    assert_eq!(client.start(&wish(100)).unwrap().id, first.id);
    program.kill();
    // A keyed order may be repeated within its window, which the second life did; but not after the strike.
    let calls = silent.count("m1");
    assert!(calls <= 2, "{calls}");
    thread::sleep(Duration::from_millis(150));
    let (mut program, _) = site.start();
    let seen = ended(&mut site.client(), first.id, "struck_and_emptied");
    assert_eq!((seen.given_up, seen.handed_back), (1, 0), "its call may have run in the first life");
    assert_eq!(silent.count("m1"), calls, "and is not sent again");
    // An end by SIGTERM takes no new wish, and keeps the old one.
    program.signal("TERM");
    program.line_with("told to end");
    let refused = site.client().start(&NewDrain { scope: dest(9), ..wish(10_000) });
    assert_eq!(word(refused.unwrap_err()), "ending");
    assert!(program.child.wait().unwrap().success());
    let (_program, addr) = site.start();
    assert_eq!(hand_in(addr, "m3", "print-order", 3).status(), 503, "until it is closed");
    site.client().close(first.id).unwrap();
    assert_eq!(hand_in(addr, "m4", "print-order", 3).status(), 202);
}

fn dest(dest: u16) -> DrainScope {
    DrainScope { dest: Some(dest), ..DrainScope::default() }
}

#[test]
fn a_partial_drain_leaves_the_others_alone() {
    let (one, two) = (endpoint(|_, _| Act::Answer(OK)), endpoint(|_, _| Act::Answer(OK)));
    let site = site(&[(&one, 3), (&two, 4)]);
    let (_program, addr) = site.start();
    let mut client = site.client();
    let by_dest = client.start(&NewDrain { scope: dest(3), ..wish(60_000) }).unwrap();
    let class = DrainScope { class: Some("render-status".into()), ..DrainScope::default() };
    let by_class = client.start(&NewDrain { scope: class, ..wish(60_000) }).unwrap();
    let refused = hand_in(addr, "a", "print-order", 3);
    assert_eq!(
        (refused.status(), refused.header("connection")),
        (503, None),
        "the session goes on for others"
    );
    assert_eq!(hand_in(addr, "b", "print-order", 4).status(), 202);
    assert_eq!(hand_in(addr, "c", "render-status", 4).status(), 503);
    until("b", || two.count("b") == 1);
    let tenant = DrainScope { tenant: Some("carrabeen".into()), ..DrainScope::default() };
    let by_tenant = client.start(&NewDrain { scope: tenant, ..wish(60_000) }).unwrap();
    assert_eq!(hand_in(addr, "d", "print-order", 4).status(), 202, "tallowood's");
    for id in [by_dest.id, by_class.id, by_tenant.id] {
        assert_eq!(client.cancel(id).unwrap().state, "cancelled");
    }
    assert_eq!(hand_in(addr, "e", "render-status", 3).status(), 202);
    let none = DrainScope { class: Some("none".into()), ..DrainScope::default() };
    assert_eq!(word(client.start(&NewDrain { scope: none, ..wish(9) }).unwrap_err()), "wish");
    assert_eq!(word(client.start(&NewDrain::default()).unwrap_err()), "wish");
    assert_eq!(word(client.start(&wish(8 * 24 * 3_600_000)).unwrap_err()), "deadline");
    assert_eq!(word(client.cancel(99).unwrap_err()), "unknown");
    assert_eq!(word(client.cancel(by_dest.id).unwrap_err()), "cancelled");
}

/// A drain that can't be written down does not hold.
#[test]
fn a_wish_that_can_not_be_written_is_refused() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let site = site(&[(&endpoint, 3)]);
    let (_program, addr) = site.start();
    let mut client = site.client();
    let blocked = site.folder.0.join("state/drains.new");
    std::fs::create_dir(&blocked).unwrap();
    assert_eq!(word(client.start(&wish(60_000)).unwrap_err()), "disk");
    assert_eq!(hand_in(addr, "m1", "print-order", 3).status(), 202, "service goes on");
    std::fs::remove_dir(&blocked).unwrap();
    let id = client.start(&wish(60_000)).unwrap().id;
    std::fs::create_dir(&blocked).unwrap();
    assert_eq!(word(client.cancel(id).unwrap_err()), "disk");
    assert_eq!(hand_in(addr, "m2", "print-order", 3).status(), 503, "the drain goes on");
}
