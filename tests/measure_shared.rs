//! What sharing costs: `cargo test --release --test measure_shared -- --ignored --nocapture`. It prints and judges nothing.

mod support;

use hdrhistogram::Histogram;
use indigohold_relay::Mesh;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::crowd::{connect, environment, submit, Environment, Response};
use support::fleet::*;
use support::links::sent;
use support::*;

const ALL: [usize; 4] = [0, 1, 2, 3];

#[test]
#[ignore = "a measurement"]
fn quiet_notes_and_changes() {
    // The operators' file as it is delivered, but on.
    let mut fleet = Fleet::new(4, true, true);
    fleet.folders.iter().for_each(|f| drop(f.write("shared.json", r#"{"enabled": true}"#)));
    ALL.iter().for_each(|i| fleet.start(*i));
    within(40.0, "all here", || fleet.all_say(&ALL, &ALL, "here"));
    let sum = || sent(&fleet.mesh).iter().fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
    let before = sum();
    let since = Instant::now();
    std::thread::sleep(Duration::from_secs(30));
    let after = sum();
    let (notes, bytes) = ((after.0 - before.0) as f64, (after.1 - before.1) as f64);
    let secs = since.elapsed().as_secs_f64();
    println!(
        "quiet, 4 processes and an empty place: {:.1} notes/s, {:.0} bytes/s in all, {:.0} bytes a note",
        notes / secs,
        bytes / secs,
        bytes / notes
    );
    let speaker = Speaker::new(&fleet.mesh);
    within(40.0, "it is here", || fleet.all_say(&ALL, &[4], "here"));
    let mut took = Vec::new();
    for id in 0..20 {
        std::thread::sleep(Duration::from_millis(700));
        let held = |n: u32| ALL.iter().all(|i| fleet.view(*i)["entries"] == n);
        speaker.say(id, 1);
        took.push(within(40.0, "the change", || held(id + 1)).as_millis());
    }
    took.sort_unstable();
    println!("a change known to all, seen at the doors, ms: median {}, most {}", took[10], took[19]);
}

/// Processor time of a process so far, in ticks of 10 ms.
fn ticks(program: &Program) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", program.child.id())).unwrap();
    let rest: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    rest[11].parse::<u64>().unwrap() + rest[12].parse::<u64>().unwrap()
}

/// Processor time so far of the thread that carries notes, in microseconds.
fn peers_us(program: &Program) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", program.child.id())).unwrap();
    let of = |task: std::path::PathBuf| {
        let name = std::fs::read_to_string(task.join("comm")).ok()?;
        let stat = std::fs::read_to_string(task.join("schedstat")).ok()?;
        let ns: u64 = stat.split(' ').next()?.parse().ok()?;
        (name.trim() == "peers").then_some(ns / 1_000)
    };
    tasks.filter_map(|task| of(task.ok()?.path())).sum()
}

/// A courier under traffic, with a neighbour that the test plays where it shares.
#[test]
#[ignore = "a measurement"]
fn traffic_with_and_without() {
    let make = |on: bool| {
        let mesh = Mesh::new(2, 5).unwrap();
        let mut site = environment(512, 192);
        let place = &mesh.places()[0];
        let peers: Vec<String> = place.peers.iter().map(ToString::to_string).collect();
        site.config["settings"]["limits"]["peers"] = true.into();
        site.config["settings"]["balancers"] = 2.into();
        site.config["settings"]["me"] = 0.into();
        site.config["peer_listen"] = place.listen.to_string().into();
        site.config["peers"] = peers.into();
        site.folder.write("shared.json", &format!(r#"{{"enabled": {on}}}"#));
        let (program, addr) = site.start();
        (mesh, site, program, addr)
    };
    let (on, off) = (make(true), make(false));
    let speaker = Speaker::new(&on.0);
    let run = |(_, _, program, addr): &(Mesh, Environment, Program, SocketAddr), round: usize| {
        let mut stream = connect(*addr);
        let (mut took, mut taken) = (Histogram::<u64>::new(3).unwrap(), 0);
        let (before, start) = (ticks(program), Instant::now());
        for n in 0..1_500u32 {
            let at = start + Duration::from_millis(2) * n;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let since = Instant::now();
            taken += u64::from(submit(&mut stream, &format!("r{round}-{n}")) == Response::Status(202));
            took.record(since.elapsed().as_micros() as u64).unwrap();
        }
        (ticks(program) - before, taken, took)
    };
    let (thread, since) = (peers_us(&on.2), Instant::now());
    let (mut cpu, mut count) = ([0, 0], [0, 0]);
    let mut took = [Histogram::<u64>::new(3).unwrap(), Histogram::<u64>::new(3).unwrap()];
    for round in 0..8 {
        // What changes all the time: twenty entries a round.
        speaker.say(round as u32 % 3 * 20, 20);
        let both = if round % 2 == 0 { [(0, &on), (1, &off)] } else { [(1, &off), (0, &on)] };
        for (which, site) in both {
            let (ticks, taken, latency) = run(site, round);
            cpu[which] += ticks;
            count[which] += taken;
            took[which].add(latency).unwrap();
        }
    }
    let thread = (peers_us(&on.2) - thread) as f64 / since.elapsed().as_secs_f64();
    println!("the thread itself: {thread:.0} us of processor a second");
    for (which, word) in [(0, "on"), (1, "off")] {
        println!(
            "{word}: {} messages, {:.0} us of processor each, answered in {} us (median), {} us (99 of 100)",
            count[which],
            cpu[which] as f64 * 10_000.0 / count[which] as f64,
            took[which].value_at_quantile(0.5),
            took[which].value_at_quantile(0.99)
        );
    }
}
