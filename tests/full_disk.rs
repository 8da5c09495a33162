//! The program on a folder without room: files of it lead to `/dev/full`, where each write fails with `ENOSPC`.

mod support;

use std::fs;
use std::os::unix::fs::symlink;
use support::crowd::*;
use support::*;

/// A message of some size; the folder's first segment holds some thirty of them.
fn hand_in(addr: std::net::SocketAddr, id: &str) -> u16 {
    let body = "x".repeat(2_000);
    let text = request_text(id)
        .replace("Content-Length: 1\r\n\r\nx", &format!("Content-Length: 2000\r\n\r\n{body}"));
    ask(addr, text.as_bytes()).status()
}

/// Guards against a process that ends, or takes on what it can't write down, when its disk is full.
#[test]
fn while_the_disk_is_full_it_sheds_and_then_goes_on() {
    let mut site = environment(256, 64);
    site.config["limits"]["disk_mb"] = 1.into();
    let (mut program, addr) = site.start();
    let full = site.folder.0.join("state/00000002.log");
    symlink("/dev/full", &full).unwrap();
    let mut taken = Vec::new();
    let mut refused = 0;
    // The first segment fills up, and the second can't be begun.
    for n in 0..400 {
        match hand_in(addr, &format!("m{n}")) {
            202 => taken.push(format!("m{n}")),
            503 => refused += 1,
            other => panic!("{other}"),
        }
        if refused == 20 {
            break;
        }
    }
    assert_eq!(refused, 20, "{} were taken on, with no room to write them down", taken.len());
    assert!(!taken.is_empty());
    let ready = ask(addr, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(ready.status(), 200, "it serves on");
    program.line_with("can't be written");
    fs::remove_file(&full).unwrap();
    until("it takes on again", || hand_in(addr, "after") == 202);
    taken.push("after".into());
    until("all are delivered", || taken.iter().all(|id| site.delivered().contains_key(id)));
    program.line_with("written again");
    program.kill();
    let (_next, addr) = site.start();
    assert_eq!(hand_in(addr, "next-life"), 202);
}

#[test]
fn a_claim_that_can_not_be_written_is_a_claim() {
    let site = environment(256, 64);
    symlink("/dev/full", site.folder.0.join("state/owner")).unwrap();
    let (_program, addr) = site.start();
    assert_eq!(hand_in(addr, "m0"), 202);
}
