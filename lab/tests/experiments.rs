//! Sweeps that go on where they were, reports that hold what was kept, and a failing scenario made small.

use indigohold_lab::experiment::minimise::{minimise, Failure};
use indigohold_lab::experiment::sweep::{self, Axis, Done};
use indigohold_lab::experiment::{keep, kept, one};
use indigohold_lab::policies::Policy;
use indigohold_lab::report;
use indigohold_lab::scenario::{library, Scenario};
use indigohold_lab::sockets::Scratch;
use serde_json::Value;

const SMALL: &str = r#"{"name":"small","seconds":3,"clients":{"rate":30},"destinations":{"count":3}}"#;

fn axes() -> Vec<Axis> {
    ["clients.load=0.5,1.5", "policy=indigohold;jitter"].map(|text| text.parse().unwrap()).to_vec()
}

#[test]
fn a_sweep_goes_on_where_it_was_stopped_and_tells_a_wrong_point_first() {
    let scratch = Scratch::new().unwrap();
    let points = sweep::points(&axes(), &[1, 2], None);
    let run = || sweep::sweep(SMALL, &points, Policy::Indigohold, &scratch.0, 3, |_| {}).unwrap();
    let first = run();
    assert_eq!(first.len(), 8);
    let order: Vec<_> = first.iter().map(|d| d.point.clone()).collect();
    assert_eq!(order, points, "in the order of the points, whoever was done first");
    // One result is changed on disk and one taken away: the first is believed, the second is run again.
    let mut files: Vec<_> = std::fs::read_dir(&scratch.0).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert_eq!(files.len(), 8);
    let mut changed: Done = serde_json::from_slice(&std::fs::read(&files[0]).unwrap()).unwrap();
    changed.outcome.figures.goodput = 0.125;
    std::fs::write(&files[0], serde_json::to_vec(&changed).unwrap()).unwrap();
    std::fs::remove_file(&files[1]).unwrap();
    std::fs::write(&files[2], "half a resu").unwrap();
    let again = run();
    let differing: Vec<_> = first.iter().zip(&again).filter(|(a, b)| a != b).collect();
    assert_eq!(differing.len(), 1, "only the changed one differs");
    assert_eq!((differing[0].1.outcome.figures.goodput, &differing[0].1.point), (0.125, &changed.point));
    assert_eq!(sweep::csv(&first).lines().count(), 9);
    let wrong = sweep::points(&["clients.lode=1".parse().unwrap()], &[1], None);
    assert!(sweep::sweep(SMALL, &wrong, Policy::Indigohold, &scratch.0, 1, |_| {}).is_err());
}

#[test]
fn a_report_holds_runs_sweeps_and_baselines_with_their_charts() {
    let scratch = Scratch::new().unwrap();
    let scenario = Scenario::read(SMALL.as_bytes()).unwrap();
    let (run, sweep_at, base) = (scratch.0.join("run"), scratch.0.join("sweep"), scratch.0.join("base"));
    let (outcome, machine) = one(&scenario, Policy::Indigohold, 3);
    keep(&run, &serde_json::from_str(SMALL).unwrap(), &outcome, &machine).unwrap();
    assert_eq!(kept(&run).unwrap(), outcome, "what is kept is what was found");
    let points = sweep::points(&axes(), &[1], None);
    let done = sweep::sweep(SMALL, &points, Policy::Indigohold, &sweep_at.join("points"), 2, |_| {}).unwrap();
    let groups = report::summarise(&done);
    std::fs::write(sweep_at.join("sweep.json"), serde_json::to_string(&groups).unwrap()).unwrap();
    let rows = report::baselines(&done.iter().map(|d| d.outcome.clone()).collect::<Vec<_>>());
    assert_eq!((groups.len(), rows.len()), (4, 2));
    std::fs::create_dir_all(&base).unwrap();
    std::fs::write(base.join("baselines.json"), serde_json::to_string(&rows).unwrap()).unwrap();
    let html = report::html(&[run, sweep_at, base]).unwrap();
    assert_eq!(html.matches("<svg").count(), 4 + 2 + 2);
    assert_eq!(html.matches("</svg>").count(), 8);
    for words in ["clients.load=1.5 policy=jitter", "keyed-order", "virtual engine", "class=\"ours\""] {
        assert!(html.contains(words), "{words}");
    }
    assert!(report::html(&[scratch.0.join("nothing")]).is_err());
}

/// A policy that waits for long between tries prints twice in `half-open`; what is left in the end is small, fails in the same
/// way, and does not fail without its fault.
#[test]
fn a_failing_scenario_is_made_small_and_still_fails() {
    let policy: Policy = "jitter:base_ms=2000,cap_ms=16000".parse().unwrap();
    let text: Value = serde_json::from_str(library::text("half-open").unwrap()).unwrap();
    let failure: Failure = "rule:twice".parse().unwrap();
    let fails = |value: &Value, seed| {
        failure.seen(&Scenario::read(value.to_string().as_bytes()).unwrap(), policy, seed)
    };
    let seed = (1..=12).find(|seed| fails(&text, *seed)).expect("one of a dozen seeds fails");
    let small = minimise(&text, policy, seed, &failure, 60).unwrap();
    assert!(fails(&small.scenario, seed));
    assert!(!small.steps.is_empty() && small.runs <= 61, "{} runs: {:?}", small.runs, small.steps);
    let before = Scenario::read(text.to_string().as_bytes()).unwrap();
    let after = Scenario::read(small.scenario.to_string().as_bytes()).unwrap();
    let messages = |s: &Scenario| s.seconds * s.clients.rate;
    assert!(messages(&after) < messages(&before) / 2.0, "{} of {}", messages(&after), messages(&before));
    assert_eq!(after.faults.len(), 1, "its fault is what it takes");
    let calm: Value = serde_json::from_str(SMALL).unwrap();
    assert!(minimise(&calm, Policy::Indigohold, 1, &failure, 10).is_none(), "it does not fail");
    for wrong in ["rule:thrice", "goodput:x", "odd"] {
        assert!(wrong.parse::<Failure>().is_err(), "{wrong}");
    }
}
