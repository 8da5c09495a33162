//! The program with a full disk: files in its state folder are links to `/dev/full`, where each write fails with
//! `ENOSPC`.

mod support;

use std::fs;
use std::os::unix::fs::symlink;
use support::crowd::*;
use support::*;

/// Submits a message of 2000 bytes and returns the status; the first segment holds about thirty of them.
fn submit_large(addr: std::net::SocketAddr, id: &str) -> u16 {
    let body = "x".repeat(2_000);
    let text = request_text(id)
        .replace("Content-Length: 1\r\n\r\nx", &format!("Content-Length: 2000\r\n\r\n{body}"));
    ask(addr, text.as_bytes()).status()
}

/// Guards against a process that exits when its disk is full, or that accepts messages which it can't record.
#[test]
fn while_the_disk_is_full_messages_are_refused_and_later_accepted_again() {
    let mut site = environment(256, 64);
    site.config["limits"]["disk_mb"] = 1.into();
    let (mut program, addr) = site.start();
    let full = site.folder.0.join("state/00000002.log");
    symlink("/dev/full", &full).unwrap();
    let mut accepted = Vec::new();
    let mut refused = 0;
    // The first segment fills up, and the second can't be created.
    for n in 0..400 {
        match submit_large(addr, &format!("m{n}")) {
            202 => accepted.push(format!("m{n}")),
            503 => refused += 1,
            other => panic!("{other}"),
        }
        if refused == 20 {
            break;
        }
    }
    assert_eq!(refused, 20, "{} messages were accepted without room to record them", accepted.len());
    assert!(!accepted.is_empty());
    let ready = ask(addr, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(ready.status(), 200, "the process stays ready");
    program.line_with("can't be written");
    fs::remove_file(&full).unwrap();
    until("messages are accepted again", || submit_large(addr, "after") == 202);
    accepted.push("after".into());
    until("all accepted messages are delivered", || {
        accepted.iter().all(|id| site.delivered().contains_key(id))
    });
    program.line_with("written again");
    program.kill();
    let (_next, addr) = site.start();
    assert_eq!(submit_large(addr, "next-run"), 202);
}

#[test]
fn a_claim_that_can_not_be_written_is_still_valid() {
    let site = environment(256, 64);
    symlink("/dev/full", site.folder.0.join("state/owner")).unwrap();
    let (_program, addr) = site.start();
    assert_eq!(submit_large(addr, "m0"), 202);
}
