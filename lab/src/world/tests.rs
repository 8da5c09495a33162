use super::*;

const START: Micros = Micros(1_000_000_000);

fn world(text: &str) -> World {
    let scenario = Scenario::read(text.as_bytes()).unwrap_or_else(|f| panic!("{f:?}"));
    World::new(&scenario, Streams::new(1), START)
}

fn after(ms: u64) -> Micros {
    START + Micros(ms * 1000)
}

/// One partner with one endpoint that takes 10 ms a call, two at a time.
fn one() -> World {
    failing("")
}

fn failing(fault: &str) -> World {
    world(&format!(
        r#"{{"clients":{{"rate":100}},"destinations":{{"count":1,"endpoints":1,"service_ms":10,"service_shape":"fixed",
            "headroom":2,"queue":3,"cold_share":0.2,"cold_ms":10000,"topple_after_ms":1000}},"faults":[{fault}]}}"#
    ))
}

fn replies(happened: &[Happening]) -> Vec<(CallNo, Reply)> {
    let reply = |h: &Happening| match h {
        Happening::Reply(call, reply) => Some((*call, *reply)),
        _ => None,
    };
    happened.iter().filter_map(reply).collect()
}

#[test]
fn calls_are_worked_on_in_turn_and_a_full_queue_refuses() {
    let mut w = one();
    (0..6).for_each(|n| w.call(START, 0, n, 0, n, 0));
    let first = replies(&w.advance(START));
    assert_eq!(first, [(5, Reply::Full(None))], "two at work, three in the queue");
    let done: Vec<CallNo> = replies(&w.advance(after(10))).into_iter().map(|r| r.0).collect();
    assert_eq!(done, [0, 1]);
    let done: Vec<CallNo> = replies(&w.advance(after(30))).into_iter().map(|r| r.0).collect();
    assert_eq!(done, [2, 3, 4]);
}

#[test]
fn a_call_given_up_in_the_queue_never_runs_and_one_at_work_does() {
    let mut w = one();
    (0..3).for_each(|n| w.call(START, 0, n, 0, n, 0));
    w.give_up(0);
    w.give_up(2);
    let happened = w.advance(after(100));
    let ran: Vec<u64> = happened
        .iter()
        .filter_map(|h| match h {
            Happening::Ran { msg, .. } => Some(*msg),
            _ => None,
        })
        .collect();
    assert_eq!(ran, [0, 1]);
    assert_eq!(replies(&happened), [(1, Reply::Ok)]);
}

#[test]
fn a_repeat_of_a_keyed_message_takes_effect_once_within_its_window() {
    let mut w = one();
    let effects = |w: &mut World, call: CallNo, at: Micros| {
        w.call(at, 0, call, 0, 7, 1); // the second of the usual classes is keyed, for 15 s
        let happened = w.advance(at + Micros(20_000));
        happened.iter().filter(|h| matches!(h, Happening::Ran { effect: true, .. })).count()
    };
    assert_eq!(effects(&mut w, 0, START), 1);
    assert_eq!(effects(&mut w, 1, after(14_000)), 0);
    assert_eq!(effects(&mut w, 2, after(15_500)), 1, "it has forgotten");
}

#[test]
fn each_fault_does_what_it_says() {
    let at = |what: &str| format!(r#"{{"at_s":1,"lasts_s":2,"what":"{what}","share":1,"wait_ms":700}}"#);
    let during = after(1_500);
    let mut refuses = failing(&at("refuses"));
    refuses.advance(during);
    assert_eq!(refuses.connect(during, 0, 0), Connect::Refused);
    refuses.advance(after(3_000));
    assert!(matches!(refuses.connect(after(3_000), 0, 0), Connect::Up(_)));
    let mut silent = failing(&at("silent"));
    silent.advance(during);
    assert_eq!(silent.connect(during, 0, 0), Connect::Never);
    silent.call(during, 0, 1, 0, 1, 0);
    assert!(replies(&silent.advance(after(10_000))).is_empty());
    let mut hangs = failing(&at("hangs"));
    hangs.advance(during);
    hangs.call(during, 0, 1, 0, 1, 0);
    assert!(replies(&hangs.advance(after(2_999))).is_empty());
    assert_eq!(replies(&hangs.advance(after(3_100))), [(1, Reply::Ok)], "it was still waited for");
    let mut fails = failing(&at("fails"));
    fails.advance(during);
    fails.call(during, 0, 1, 0, 1, 2);
    let happened = fails.advance(after(1_600));
    assert_eq!(replies(&happened), [(1, Reply::Error)]);
    assert!(happened.iter().any(|h| matches!(h, Happening::Ran { effect: true, .. })), "it ran");
    let mut half = failing(&at("half_open"));
    half.advance(during);
    half.call(during, 0, 1, 0, 1, 2);
    let happened = half.advance(during);
    assert_eq!(replies(&happened), [(1, Reply::Break)]);
    assert!(happened.iter().any(|h| matches!(h, Happening::Ran { effect: true, .. })), "it ran");
    let mut leaves = failing(&at("leaves"));
    let listed = |w: &mut World, at: Micros| {
        let happened = w.advance(at);
        happened.into_iter().find_map(|h| if let Happening::Listed(_, l) = h { Some(l) } else { None })
    };
    assert_eq!(listed(&mut leaves, during), Some(Listed::Draining));
    assert_eq!(listed(&mut leaves, after(3_000)), Some(Listed::Gone));
    assert_eq!(leaves.connect(after(3_000), 0, 0), Connect::Refused);
}

#[test]
fn a_cold_partner_bears_its_part_and_falls_over_when_pushed() {
    let come_back = || {
        let mut w = failing(r#"{"at_s":1,"lasts_s":2,"what":"refuses"}"#);
        w.advance(after(1_500));
        assert_eq!(w.connect(after(1_500), 0, 7), Connect::Refused, "instance 7 sees the outage");
        w.advance(after(3_000));
        w
    };
    // Its capacity is 200 a second; a fifth of that when it is back: 40, and twice that for a second topples.
    let push = |w: &mut World, every_ms: u64| {
        let mut toppled = None;
        for n in 0..(900 / every_ms) {
            let at = after(3_000 + n * every_ms);
            w.call(at, 0, 100 + n, 7, n, 0);
            let found = w.advance(at).into_iter().find(|h| matches!(h, Happening::Toppled { .. }));
            toppled = toppled.or(found);
        }
        toppled
    };
    let mut gentle = come_back();
    assert_eq!(push(&mut gentle, 25), None, "40 a second");
    let mut hard = come_back();
    let Some(Happening::Toppled { calls, knowing, .. }) = push(&mut hard, 5) else { panic!("200 a second") };
    assert!(knowing == calls && calls > 80, "{knowing} of {calls}");
    assert_eq!(hard.connect(after(4_000), 0, 0), Connect::Refused, "it is down again");
}
