//! Each rule has a record, written by hand, that breaks it and nothing else: a checker that can't bite proves nothing. And a
//! record of a good message that breaks none.

use indigohold::Micros;
use indigohold_lab::record::{Ended, Fact, Record};
use indigohold_lab::rules::{check, check_for, RULES};
use indigohold_lab::scenario::Scenario;
use indigohold_lab::world::Listed;
use std::collections::BTreeSet;

const SAFE: u16 = 0;
const KEYED: u16 = 1;
const UNSAFE: u16 = 2;

/// Facts by milliseconds, for destination 3 and its endpoint 5.
fn record(facts: &[(u64, Fact)]) -> Record {
    let mut record = Record::new(Micros(0));
    record.put(Micros(0), Fact::Up(1));
    facts.iter().for_each(|(at, fact)| record.put(Micros(at * 1000), *fact));
    record
}

fn broken(facts: &[(u64, Fact)]) -> Vec<&'static str> {
    let scenario = Scenario::read(b"{}").unwrap();
    let found: BTreeSet<&str> = check(&record(facts), &scenario).iter().map(|b| b.rule).collect();
    found.into_iter().collect()
}

fn wanted(msg: u64, class: u16) -> Fact {
    Fact::Wanted { msg, class, tenant: 0, dest: 3, due: Micros(20_000_000) }
}

fn taken(msg: u64) -> Fact {
    Fact::Taken { msg, at: 1 }
}

fn began(msg: u64) -> Fact {
    Fact::Began { msg, by: 1, to: 5, attempt: 0 }
}

fn back(msg: u64, ended: Ended) -> Fact {
    Fact::Back { msg, by: 1, to: 5, ended }
}

fn ran(msg: u64) -> Fact {
    Fact::Ran { msg, at: 5, effect: true }
}

fn told(msg: u64, harmless: bool) -> Fact {
    Fact::Told { msg, by: 1, harmless }
}

#[test]
fn a_good_day_breaks_nothing() {
    let day = [
        (0, wanted(1, UNSAFE)),
        (1, taken(1)),
        (2, began(1)),
        (4, back(1, Ended::TurnedAway(Some(Micros(500_000))))),
        (600, began(1)),
        (610, ran(1)),
        (611, back(1, Ended::Delivered)),
        (700, wanted(2, KEYED)),
        (701, taken(2)),
        (702, began(2)),
        (705, ran(2)),
        (710, back(2, Ended::Broke)),
        (720, Fact::Down(1, false)),
        (1_400, Fact::Up(1)),
        (1_500, began(2)),
        (1_510, Fact::Ran { msg: 2, at: 5, effect: false }),
        (1_520, back(2, Ended::Delivered)),
        (2_000, wanted(3, SAFE)),
        (2_001, taken(3)),
        (5_000, told(3, true)),
        (6_000, taken(3)),
        (6_001, began(3)),
        (6_002, back(3, Ended::Delivered)),
    ];
    assert_eq!(broken(&day), [] as [&str; 0]);
}

#[test]
fn one_end() {
    let twice = [
        (0, wanted(1, SAFE)),
        (1, taken(1)),
        (2, began(1)),
        (3, back(1, Ended::Delivered)),
        (9, told(1, false)),
    ];
    assert_eq!(broken(&twice), ["one end"]);
    let handed_back_and_delivered = [
        (0, wanted(1, SAFE)),
        (1, taken(1)),
        (2, began(1)),
        (8, told(1, true)),
        (9, back(1, Ended::Delivered)),
    ];
    assert_eq!(broken(&handed_back_and_delivered), ["one end"]);
    let not_harmless = [
        (0, wanted(1, UNSAFE)),
        (1, taken(1)),
        (2, began(1)),
        (3, ran(1)),
        (4, back(1, Ended::Broke)),
        (9, told(1, true)),
    ];
    assert_eq!(broken(&not_harmless), ["one end"]);
    let two_owe_it =
        [(0, wanted(1, SAFE)), (1, taken(1)), (2, Fact::Taken { msg: 1, at: 2 }), (3, told(1, false))];
    assert_eq!(broken(&two_owe_it), ["one end"]);
}

#[test]
fn lost() {
    let last = (30_000, Fact::Trouble { dest: 0, begins: true, what: "nothing" });
    assert_eq!(broken(&[(0, wanted(1, SAFE)), (1, taken(1)), last]), ["lost"]);
    assert_eq!(
        broken(&[(0, wanted(1, SAFE)), (1, taken(1)), (20_400, told(1, false))]),
        ["lost"],
        "too late"
    );
    assert_eq!(broken(&[(0, wanted(1, SAFE)), (1, taken(1)), (20_200, told(1, false))]), [] as [&str; 0]);
    let away = [
        (0, wanted(1, SAFE)),
        (1, taken(1)),
        (19_000, Fact::Down(1, false)),
        (21_000, Fact::Up(1)),
        (22_000, told(1, false)),
    ];
    assert_eq!(broken(&away), [] as [&str; 0], "within 1.5 s of its return");
    let too_late = [away[0], away[1], away[2], away[3], (22_600, told(1, false))];
    assert_eq!(broken(&too_late), ["lost"]);
    let with_its_folder = [away[0], away[1], (2, Fact::Down(1, true)), last];
    assert_eq!(broken(&with_its_folder), [] as [&str; 0], "others are handed it");
}

#[test]
fn twice() {
    let day = |class| {
        [
            (0, wanted(1, class)),
            (1, taken(1)),
            (2, began(1)),
            (3, ran(1)),
            (4, back(1, Ended::Broke)),
            (9, began(1)),
            (10, ran(1)),
            (11, back(1, Ended::Delivered)),
        ]
    };
    assert_eq!(broken(&day(UNSAFE)), ["twice"]);
    assert_eq!(broken(&day(KEYED)), ["twice"], "its partner had forgotten it");
    assert_eq!(broken(&day(SAFE)), [] as [&str; 0]);
}

#[test]
fn drain() {
    let day = |at, state| {
        [
            (0, wanted(1, SAFE)),
            (1, taken(1)),
            (10, Fact::Listed { to: 1, endpoint: 5, state }),
            (at, began(1)),
            (at + 1, back(1, Ended::Delivered)),
        ]
    };
    assert_eq!(broken(&day(261, Listed::Draining)), ["drain"]);
    assert_eq!(broken(&day(261, Listed::Gone)), ["drain"]);
    assert_eq!(broken(&day(259, Listed::Draining)), [] as [&str; 0]);
    assert_eq!(broken(&day(9_000, Listed::Up)), [] as [&str; 0]);
}

#[test]
fn wait() {
    let day = |at| {
        [
            (0, wanted(1, SAFE)),
            (1, taken(1)),
            (2, began(1)),
            (10, back(1, Ended::TurnedAway(Some(Micros(2_000_000))))),
            (at, began(1)),
            (at + 1, back(1, Ended::Delivered)),
        ]
    };
    assert_eq!(broken(&day(1_999)), ["wait"]);
    assert_eq!(broken(&day(100)), [] as [&str; 0], "it may have been on its way");
    assert_eq!(broken(&day(2_010)), [] as [&str; 0]);
}

#[test]
fn topple() {
    let day = |knowing| [(1, Fact::Toppled { dest: 3, calls: 30, knowing })];
    assert_eq!(broken(&day(20)), ["topple"]);
    assert_eq!(broken(&day(19)), [] as [&str; 0], "most could not know");
}

#[test]
fn one_out() {
    let day = [
        (0, wanted(1, SAFE)),
        (1, taken(1)),
        (2, began(1)),
        (3, Fact::Began { msg: 1, by: 1, to: 6, attempt: 1 }),
        (4, back(1, Ended::Broke)),
        (5, Fact::Back { msg: 1, by: 1, to: 6, ended: Ended::Delivered }),
    ];
    assert_eq!(broken(&day), ["one out"]);
}

#[test]
fn attempts() {
    let day = |tries: u64| {
        let mut day = vec![(0, wanted(1, SAFE)), (1, taken(1))];
        for n in 0..tries {
            day.extend([(10 + n * 10, began(1)), (15 + n * 10, back(1, Ended::NotConnected))]);
        }
        day.push((500, told(1, true)));
        day
    };
    assert_eq!(broken(&day(9)), ["attempts"]);
    assert_eq!(broken(&day(8)), [] as [&str; 0]);
}

#[test]
fn budget() {
    let day: Vec<(u64, Fact)> = (0..40)
        .flat_map(|msg| {
            let at = msg * 10;
            [
                (at, wanted(msg, SAFE)),
                (at, taken(msg)),
                (at + 1, began(msg)),
                (at + 2, back(msg, Ended::Failed)),
                (at + 3, began(msg)),
                (at + 4, back(msg, Ended::Delivered)),
            ]
        })
        .collect();
    assert_eq!(broken(&day), ["budget"], "as many repeats as first tries");
    let scenario = Scenario::read(b"{}").unwrap();
    assert!(check_for(&record(&day), &scenario, false).is_empty(), "not asked of a policy without one");
}

#[test]
fn taken_first() {
    let day = [(0, wanted(1, SAFE)), (1, began(1)), (2, taken(1)), (3, back(1, Ended::Delivered))];
    assert_eq!(broken(&day), ["taken first"]);
}

#[test]
fn in_time() {
    let day = [(0, wanted(1, SAFE)), (1, taken(1)), (20_001, began(1)), (20_002, back(1, Ended::Delivered))];
    assert_eq!(broken(&day), ["in time"]);
}

/// The trace of a broken rule is that of the message concerned, and no more.
#[test]
fn a_broken_rule_is_told_with_its_message_alone() {
    let day = [
        (0, wanted(1, UNSAFE)),
        (0, wanted(2, UNSAFE)),
        (1, taken(2)),
        (1, taken(1)),
        (2, began(1)),
        (2, began(2)),
        (3, ran(1)),
        (3, ran(2)),
        (4, back(1, Ended::Broke)),
        (5, back(2, Ended::Delivered)),
        (9, began(1)),
        (10, ran(1)),
        (11, back(1, Ended::Delivered)),
    ];
    let scenario = Scenario::read(b"{}").unwrap();
    let found = check(&record(&day), &scenario);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].trace.len(), 8, "{:#?}", found[0].trace);
    assert!(found[0].trace.iter().all(|line| line.contains("message 1")), "{:#?}", found[0].trace);
}

#[test]
fn all_rules_are_shown_to_bite() {
    let text = include_str!("rules.rs");
    for rule in RULES {
        assert!(text.contains(&format!("[\"{rule}\"]")), "{rule}");
    }
}

/// An answer that was on its way when its life was killed is not known to the next life: it may repeat what may be repeated.
#[test]
fn a_life_can_t_know_what_the_one_before_did_not_read() {
    let day = |class: u16, repeats: bool| {
        let mut day = vec![
            (0, wanted(1, class)),
            (1, taken(1)),
            (2, began(1)),
            (5, ran(1)),
            (6, back(1, Ended::Delivered)),
            (7, Fact::Down(1, false)),
            (500, Fact::Up(1)),
        ];
        match repeats {
            true => day.extend([(600, began(1)), (610, ran(1)), (611, back(1, Ended::Delivered))]),
            false => day.push((600, told(1, false))),
        }
        broken(&day)
    };
    assert_eq!(day(SAFE, true), [] as [&str; 0]);
    assert_eq!(day(UNSAFE, false), [] as [&str; 0], "it may have run: its client is told so");
    assert_eq!(day(UNSAFE, true), ["twice"]);
    // The same life has read it.
    let same =
        [(0, wanted(1, SAFE)), (1, taken(1)), (2, began(1)), (5, back(1, Ended::Delivered)), (9, began(1))];
    assert_eq!(broken(&same), ["taken first"]);
}
