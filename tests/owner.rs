//! Two processes on one state folder: the second is refused by name, and the first goes on; once it is gone the next serves.

mod support;

use std::process::Command;
use support::crowd::*;
use support::*;

#[test]
fn a_second_process_is_refused_and_harms_nothing() {
    let site = environment(256, 48);
    let (program, addr) = site.start();
    let mut stream = connect(addr);
    assert_eq!(submit(&mut stream, "before"), Response::Status(202));
    let mut second = Command::new(env!("CARGO_BIN_EXE_indigohold"));
    surroundings(&mut second, &site.folder.0, &site.config.to_string());
    let output = second.output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    let owner = format!("process {} owns it since ", program.child.id());
    assert!(
        said.contains("NODE_STATE") && said.contains(&owner) && said.contains("(incarnation 1)"),
        "{said}"
    );
    assert_eq!(submit(&mut stream, "after"), Response::Status(202));
    until("both are delivered", || site.delivered().len() == 2);
    program.kill();
    // Nothing is left to clean up after SIGKILL.
    let mut next = Program::start(&site.folder.0, &site.config, None);
    assert!(next.line_with("ready").contains("incarnation=2"), "it says which life it is");
    assert!(site.delivered().values().all(|n| *n == 1));
}

/// A bit of the journal flips between two lives, in the record of a call that is out: the order is not sent again, and its
/// client hears of it.
#[test]
fn an_order_whose_call_is_in_a_damaged_record_is_not_sent_again() {
    let mut site = environment(256, 48);
    let hangs = endpoint(|_, _| Act::Hang);
    site.set_endpoints(&[instance("s-1", hangs.addr, 3, "up")]);
    let (program, addr) = site.start();
    let mut stream = connect(addr);
    assert_eq!(submit(&mut stream, "order"), Response::Status(202));
    until("it is out", || hangs.calls.lock().unwrap().len() == 1);
    program.kill();
    let journal = site.folder.0.join("state/00000001.log");
    let mut bytes = std::fs::read(&journal).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&journal, bytes).unwrap();
    let mut next = Program::start(&site.folder.0, &site.config, None);
    next.line_with("may have run");
    until("its end is told", || {
        site.discovery.notices.lock().unwrap().iter().any(|n| n["message"] == "order")
    });
    assert_eq!(hangs.calls.lock().unwrap().len(), 1);
}
