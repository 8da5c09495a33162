//! The simulator adapter on its wire format: decoding of batches, encoding of replies, and the exit on malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = r#"{"balancers":1,"discovery":"automatic","period":5000,"weights":"off","unknown":[1],
  "profiles":[{"aim":4000000,"deadline":28000000,"idempotency":"pure","lateWorth":0.4,"worth":1.0}],
  "familyInfo":{"slots":8,"bundleMax":[1],"kindApart":[false]},"limits":{"maxOpen":9,"tryLimit":8}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_indigohold-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all input, so a broken pipe is expected here.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn batch(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let head = [&now.to_be_bytes()[..], &(records.len() as u32).to_be_bytes()].concat();
    [&((head.len() + body.len()) as u32).to_be_bytes()[..], &head, &body].concat()
}

fn spawn(instance: u16, conf: &str) -> Vec<u8> {
    let len = (conf.len() as u32).to_be_bytes();
    record(9, &[&instance.to_be_bytes(), &7u64.to_be_bytes(), &len, conf.as_bytes()])
}

fn table(id: u32, last: u8, destination: u16) -> Vec<u8> {
    let entry = [
        &[10, 0, 0, last][..],
        &7000u16.to_be_bytes(),
        &0u64.to_be_bytes(),
        &0u16.to_be_bytes(),
        &[2],
        &destination.to_be_bytes(),
        &1f32.to_be_bytes(),
        &[0],
    ];
    record(7, &[&id.to_be_bytes(), &1u32.to_be_bytes(), &entry.concat()])
}

fn discovery(instance: u16, table: u32, kind: u8) -> Vec<u8> {
    record(5, &[&instance.to_be_bytes(), &1u32.to_be_bytes(), &table.to_be_bytes(), &[kind]])
}

fn demand(instance: u16, id: u64, destination: f32) -> Vec<u8> {
    let due = 28_000_000u64.to_be_bytes();
    let head = [&instance.to_be_bytes()[..], &id.to_be_bytes(), &[0], &[0; 2], &[0; 8], &[0; 4], &[0; 2]];
    record(11, &[&head.concat(), &due, &destination.to_be_bytes()])
}

/// Splits the output into replies, and each reply into records of a code and its fields.
fn replies(mut bytes: &[u8]) -> Vec<Vec<(u8, Vec<u8>)>> {
    let mut out = vec![];
    while !bytes.is_empty() {
        let count = u32::from_be_bytes(bytes[..4].try_into().expect("four"));
        let len = u32::from_be_bytes(bytes[4..8].try_into().expect("four")) as usize;
        let (mut body, rest) = bytes[8..].split_at(len);
        bytes = rest;
        let mut reply = vec![];
        for _ in 0..count {
            let n = u32::from_be_bytes(body[1..5].try_into().expect("four")) as usize;
            reply.push((body[0], body[5..5 + n].to_vec()));
            body = &body[5 + n..];
        }
        assert!(body.is_empty());
        out.push(reply);
    }
    out
}

/// Checks that the adapter fails on `input` with one line on standard error that contains `message`.
fn fails(input: &[u8], message: &str) {
    let out = run(input);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "{message}");
    assert_eq!(text.lines().count(), 1, "expected one line: {text}");
    assert!(text.contains(message) && !text.contains("panicked"), "{message} in: {text}");
}

#[test]
fn empty_batches_get_empty_replies_and_end_of_input_exits_cleanly() {
    let out = run(&[batch(1, &[]), batch(2, &[])].concat());
    assert!(out.status.success());
    assert_eq!(out.stdout, [0; 16]);
    assert!(run(&[]).status.success());
}

#[test]
fn message_is_sent_to_the_listed_endpoint() {
    let records = [spawn(3, CONF), table(0, 9, 57), discovery(3, 0, 2), demand(3, 77, 57.0)];
    let out = run(&batch(0, &records));
    let reply = replies(&out.stdout).remove(0);
    let (_, fields) = reply.iter().find(|r| r.0 == 1).expect("a Try");
    let expected = [&3u16.to_be_bytes()[..], &77u64.to_be_bytes(), &[10, 0, 0, 9], &7000u16.to_be_bytes()];
    assert_eq!(fields[..16], expected.concat());
    assert_eq!(fields.len(), 20);
}

#[test]
fn reused_table_numbers_apply_in_event_order() {
    let records = [
        spawn(3, CONF),
        table(0, 1, 5),
        discovery(3, 0, 2),
        table(0, 2, 6),
        discovery(3, 0, 0),
        demand(3, 1, 5.0),
    ];
    let out = run(&batch(0, &records));
    let reply = replies(&out.stdout).remove(0);
    let (_, fields) = reply.iter().find(|r| r.0 == 1).expect("a Try");
    assert_eq!(fields[10..14], [10, 0, 0, 1]);
}

#[test]
fn halted_instance_restarts_without_state_in_the_same_batch() {
    let halt = record(2, &[&3u16.to_be_bytes()]);
    let first = [spawn(3, CONF), table(0, 9, 57), discovery(3, 0, 2)];
    let again = [halt.clone(), spawn(3, CONF), demand(3, 1, 57.0)];
    let out = run(&[batch(0, &first), batch(5000, &again), batch(9000, &[halt])].concat());
    assert!(out.status.success());
    let all = replies(&out.stdout);
    assert!(all[1].iter().all(|r| r.0 != 1), "the restarted instance knows no endpoints");
    assert!(all[2].is_empty());
}

#[test]
fn instances_act_the_same_alone_and_together() {
    let one = |i: u16| vec![spawn(i, CONF), table(0, 9, 57), discovery(i, 0, 2), demand(i, 1, 57.0)];
    let alone = replies(&run(&batch(0, &one(4))).stdout).remove(0);
    let both = replies(&run(&batch(0, &[one(3), one(4)].concat())).stdout).remove(0);
    let of_four: Vec<_> = both.into_iter().filter(|r| r.1[..2] == [0, 4]).collect();
    assert_eq!(alone, of_four);
}

#[test]
fn malformed_input_fails_with_a_one_line_error() {
    let good = batch(0, &[spawn(3, CONF)]);
    fails(&good[..2], "inside a length");
    fails(&good[..good.len() - 1], "inside a batch");
    fails(&[255, 255, 255, 255, 0], "inside a batch");
    fails(&batch(0, &[record(99, &[&[0; 2]])]), "unknown event code 99");
    fails(&batch(0, &[record(8, &[&[0; 2]])]), "Elapsed: needs 8 more bytes");
    fails(&batch(0, &[record(8, &[&[0; 11]])]), "1 bytes too many");
    fails(&batch(0, &[record(10, &[&[0; 10]])]), "unknown instance 0");
    fails(&batch(0, &[record(2, &[&[0; 2]])]), "unknown instance 0");
    fails(&batch(0, &[spawn(3, CONF), discovery(3, 5, 1)]), "unknown Table 5");
    fails(&batch(0, &[spawn(3, CONF), discovery(3, 5, 9)]), "unknown kind 9");
    fails(&batch(0, &[spawn(3, CONF), demand(3, 1, 0.5)]), "no destination");
    fails(&batch(0, &[spawn(3, CONF), demand(3, 1, f32::NAN)]), "no destination");
    fails(&batch(0, &[spawn(3, "{")]), "settings");
    fails(&batch(0, &[spawn(3, "{}")]), "missing field");
    fails(&batch(0, &[spawn(3, &CONF.replace("pure", "odd"))]), "unknown variant");
    fails(&batch(0, &[spawn(3, &CONF.replace("pure", "token"))]), "needs a group");
    let mut ping = vec![0; 2 + 4 + 6];
    ping.extend([11, 0]);
    fails(&batch(0, &[spawn(0, CONF), record(4, &[&ping])]), "unknown outcome 11");
    let huge = [&u32::MAX.to_be_bytes()[..], &u32::MAX.to_be_bytes()].concat();
    fails(&batch(0, &[record(7, &[&huge])]), "Table: needs");
    let mut long = batch(0, &[]);
    long[3] += 1;
    long.push(0);
    fails(&long, "after its last record");
}
