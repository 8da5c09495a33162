//! The history's file slower than traffic, stalled, full or new: what has ended waits in the journal, within bounds; the history
//! gives way to traffic, and what was forgotten meanwhile never gets there.

mod common;
mod support;

use common::{class, S};
use indigohold::core::*;
use indigohold::history::config::{parse, HistoryConfig};
use indigohold::history::keeper::Keeper;
use indigohold::history::order::Order as Wish;
use indigohold::history::retention::{Scope, ANY};
use indigohold::history::rider::Held;
use indigohold::store::Journal;
use indigohold::{Effect, Micros};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::Instant;
use support::crowd::{connect, environment, submit, Response};
use support::*;

const POLICY: &str = r#"{"enabled": true, "disk_kb": 8192, "skew_s": 0, "policies": [{"keep_s": 100000}]}"#;
const ALL: Scope = Scope { tenant: ANY, class: ANY, dest: ANY };

fn config() -> HistoryConfig {
    parse(POLICY.as_bytes(), &[], &[]).unwrap()
}

/// A life of a courier on a folder; nobody puts away what ends but [`Courier::persist_history`].
fn life(folder: &Folder, budget: u64, number: u64) -> Arc<Courier> {
    let clock = Clock::start();
    let journal = Journal::open(&folder.0, budget, clock.now()).unwrap();
    let mut settings = common::settings();
    settings.classes = vec![class(Effect::Safe)];
    settings.limits.slots = Some(64);
    let watch = Box::new(move || clock.now());
    let history = Some(Keeper::open(&folder.0, config(), number, 1, clock.now(), watch));
    let courier = Courier::new(settings, 1, clock, journal, Options { history, ..Options::default() });
    let addr: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let (name, state) = ("a".to_owned(), EndpointState::Up);
    let line =
        EndpointRecord { name, addr, dest: 7, kind: "".into(), zone: "".into(), state, weight: 1e6, rank: 0 };
    courier.report(Report::List {
        front: 0,
        update: ListUpdate::full(Source::Discovery, 0, vec![line], clock.now()),
    });
    Arc::new(courier)
}

/// Eight messages, from their hand-in to their end; their ids.
fn eight(courier: &Courier, round: usize, bytes: usize) -> Vec<String> {
    let req = |n: usize| Req {
        id: format!("m{round}-{n}"),
        front: 0,
        dest: 7,
        class: 0,
        tenant: 0,
        due: courier.clock.now() + Micros(25 * S),
        head: String::new(),
        body: vec![n as u8; bytes].into(),
        keep_id_until: Micros(0),
    };
    let answers = courier.hand_in((0..8).map(req).collect());
    let taken =
        answers.iter().filter_map(|a| if let Answer::Taken(msg) = a { Some((*msg, true)) } else { None });
    let taken: Vec<(u64, bool)> = taken.collect();
    assert_eq!(taken.len(), 8, "traffic is taken on, whatever becomes of the history");
    courier.answered(&taken);
    let mut fetches = Vec::new();
    while fetches.len() < 8 {
        courier.tick();
        match courier.next_order() {
            Order::Fetch(fetch) => fetches.push(fetch),
            Order::Batch(all) => fetches.extend(all),
            _ => {}
        }
    }
    assert!(courier.begin_all(&fetches).into_iter().all(|go| go));
    let ids = fetches.iter().map(|f| f.req.id.clone()).collect();
    courier.batch_done(fetches.into_iter().map(|f| (f, End::Delivered)).collect(), Micros(1_000), &[]);
    ids
}

fn on_disk(folder: &Folder) -> u64 {
    let files = std::fs::read_dir(&folder.0).unwrap().map(|f| f.unwrap());
    let logs = files.filter(|f| f.file_name().to_string_lossy().ends_with(".log"));
    logs.map(|f| f.metadata().unwrap().len()).sum()
}

fn kept(courier: &Courier) -> BTreeSet<String> {
    let shown = courier.with_history(|keeper, now| {
        let (history, hearing) = keeper.both().unwrap();
        history.shown(now, hearing, ALL, (Micros(0), Micros(u64::MAX)), usize::MAX).unwrap().unwrap()
    });
    shown.unwrap().into_iter().map(|(_, kept)| kept.id).collect()
}

fn unwritten(courier: &Courier) -> u64 {
    courier.with_history(|keeper, _| keeper.counts().unwritten).unwrap()
}

#[test]
fn a_stalled_history_holds_up_nobody_and_what_it_can_not_hold_is_counted() {
    let folder = Folder::new();
    let budget = 1 << 20;
    let courier = life(&folder, budget, 1);
    let mut ended = BTreeSet::new();
    for round in 0..200 {
        ended.extend(eight(&courier, round, 500));
        assert!(on_disk(&folder) <= budget);
    }
    assert_eq!(courier.owed(), 0);
    let lost = unwritten(&courier);
    // An eighth of the journal's budget, some 1,000 bytes each.
    assert!((1_400..1_500).contains(&lost), "{lost} of 1,600 gave way");
    assert!(kept(&courier).is_empty());
    courier.persist_history();
    courier.tick();
    let all = kept(&courier);
    assert_eq!(all.len() as u64, 1_600 - lost);
    assert!(all.is_subset(&ended) && all.contains("m0-0"), "the newest give way");
    // It goes on, and the journal has let go.
    ended.extend(eight(&courier, 200, 500));
    courier.persist_history();
    courier.tick();
    assert_eq!((kept(&courier).len() as u64, unwritten(&courier)), (1_608 - lost, lost));
    eight(&courier, 201, 500);
    assert!(on_disk(&folder) < budget / 8, "segments go once it has what they hold");
}

#[test]
fn killed_with_a_backlog_the_next_life_puts_away_what_the_journal_has_ended_and_once() {
    let folder = Folder::new();
    let mut ended = BTreeSet::new();
    for number in 1..5 {
        let courier = life(&folder, 8 << 20, number);
        assert_eq!(kept(&courier), ended, "life {number}");
        for round in 0..6 {
            ended.extend(eight(&courier, number as usize * 10 + round, 500));
            if round % 3 == number as usize % 3 {
                courier.persist_history();
            }
        }
        // Danger: a clean end would do what a kill does not.
        std::mem::forget(courier);
    }
    let courier = life(&folder, 8 << 20, 5);
    assert_eq!((kept(&courier), unwritten(&courier)), (ended, 0));
    courier.persist_history();
    courier.tick();
    assert!(on_disk(&folder) < 20_000, "nothing waits any more");
}

#[test]
fn what_was_forgotten_while_it_waited_is_never_there() {
    let folder = Folder::new();
    let courier = life(&folder, 8 << 20, 1);
    eight(&courier, 0, 500);
    courier.persist_history();
    eight(&courier, 1, 500);
    courier.with_history(|keeper, now| {
        let entry = keeper.history().unwrap().book().forgetting(ALL, now + Micros(1), false).unwrap();
        assert!(keeper.apply(now, &[(ALL, entry)]));
    });
    thread::sleep(std::time::Duration::from_millis(2_000)); // an order is in whole seconds
    let later = eight(&courier, 2, 500);
    std::mem::forget(courier);
    let courier = life(&folder, 8 << 20, 2);
    assert_eq!(kept(&courier), later.into_iter().collect());
    courier.persist_history();
    assert_eq!(kept(&courier).len(), 8);
}

#[test]
fn nothing_comes_back_into_a_file_that_is_new() {
    let folder = Folder::new();
    let courier = life(&folder, 8 << 20, 1);
    eight(&courier, 0, 500);
    courier.persist_history();
    eight(&courier, 1, 500);
    std::mem::forget(courier);
    std::fs::remove_file(folder.0.join("history.redb")).unwrap();
    let courier = life(&folder, 8 << 20, 2);
    assert!(kept(&courier).is_empty());
    let later = eight(&courier, 2, 500);
    std::mem::forget(courier);
    let courier = life(&folder, 8 << 20, 3);
    assert_eq!(kept(&courier), later.into_iter().collect());
}

/// A disk that hangs under the history's thread: it holds the file and does not come back.
#[test]
fn a_hung_file_stops_neither_traffic_nor_the_ground() {
    let folder = Folder::new();
    let courier = life(&folder, 8 << 20, 1);
    let (held, wait) = channel::<()>();
    let (go_on, until) = channel::<()>();
    let hung = courier.clone();
    let hung = thread::spawn(move || {
        hung.with_history(|_, _| {
            held.send(()).unwrap();
            until.recv().unwrap();
        })
    });
    wait.recv().unwrap();
    let gives = courier.clone();
    let wish = Wish::new(0, 7, (Micros(0), courier.clock.now() + Micros(S)), false, "t");
    let gives = thread::spawn(move || gives.replay_run(&wish));
    let mut ended = BTreeSet::new();
    for round in 0..100 {
        ended.extend(eight(&courier, round, 500));
    }
    courier.tick();
    assert!(!courier.with(&mut |_| panic!("it is held")), "whoever can come again does");
    assert!(
        courier.with_history_until(Instant::now(), |_, _| ()).is_err(),
        "whoever answers by a moment says so"
    );
    let plan = courier.clone();
    let waits = thread::spawn(move || plan.persist_history());
    go_on.send(()).unwrap();
    hung.join().unwrap();
    assert!(waits.join().unwrap());
    let order = gives.join().unwrap().expect("it waited for the file, and held nobody up").given.order.id();
    courier.tick();
    assert_eq!(courier.replay_orders().into_iter().map(|o| o.given.order.id()).collect::<Vec<_>>(), [order]);
    assert_eq!((kept(&courier), unwritten(&courier)), (ended, 0));
}

/// Files may not grow past 1,100 KiB for this process, which is what a full disk looks like to the history alone.
#[test]
fn a_full_disk_costs_history_and_no_traffic() {
    let site = environment(256, 64);
    site.folder.write("history.json", POLICY);
    let mut command = Command::new("sh");
    surroundings(&mut command, &site.folder.0, &site.config.to_string());
    let run = format!("trap '' XFSZ; ulimit -f 2200; exec '{}' </dev/null", env!("CARGO_BIN_EXE_indigohold"));
    command.args(["-c", &run]).stdin(Stdio::null());
    let mut program = Program::of(command);
    let addr = program.addr("platform");
    let mut stream = connect(addr);
    let mut taken = BTreeSet::new();
    for n in 0..1_500 {
        let id = format!("f{n}");
        if submit(&mut stream, &id) == Response::Status(202) {
            taken.insert(id);
        }
    }
    assert!(taken.len() > 500, "{}", taken.len());
    until("everything is delivered", || {
        let there = site.delivered();
        taken.iter().all(|id| there.contains_key(id))
    });
    let status = program.child.try_wait().unwrap();
    assert!(status.is_none(), "it serves on: {status:?}");
    program.kill();
}
