//! Tables and progress bars on the terminal.

use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use indigohold_lab::experiment::{Machine, Outcome};
use indigohold_lab::report;

/// A progress bar for this number of runs.
pub fn progress(len: usize) -> ProgressBar {
    let bar = ProgressBar::new(len as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    bar
}

/// An empty table with this head.
pub fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(head);
    table
}

/// Prints the figures of a run and the rules that it broke.
pub fn print_outcome(outcome: &Outcome, machine: &Machine) {
    let f = &outcome.figures;
    println!("{}, {}, seed {}, {} engine", outcome.scenario, outcome.policy, outcome.seed, outcome.engine);
    let recovery = match (f.recovery_s, f.stuck) {
        (Some(s), _) => format!("{s:.0} s"),
        (None, true) => "never".into(),
        (None, false) => "-".into(),
    };
    println!(
        "goodput {:.4}, worst 10 s {:.4}, recovered after {recovery}; {} of {} delivered, {} refused at the door, {} given up, {} handed back",
        f.goodput, f.worst_10s, f.delivered, f.wanted, f.refused, f.given_up, f.handed_back
    );
    println!(
        "{} calls, {} repeats, {} turned away, {} timed out, {} doubles, {} toppled; {:.2} s, {:.0} steps a second",
        f.calls, f.repeats, f.refusals, f.timeouts, f.doubles, f.toppled, machine.took_s,
        machine.steps as f64 / machine.took_s.max(1e-9)
    );
    let mut table =
        table(&["class", "wanted", "delivered", "goodput", "doubles", "p50 ms", "p99 ms", "p99.9 ms"]);
    for c in &f.classes {
        table.add_row([
            c.name.clone(),
            c.wanted.to_string(),
            c.delivered.to_string(),
            format!("{:.4}", c.goodput),
            c.doubles.to_string(),
            format!("{:.1}", c.latency.p50),
            format!("{:.1}", c.latency.p99),
            format!("{:.1}", c.latency.p999),
        ]);
    }
    println!("{table}");
    for broken in &outcome.broken {
        println!("BROKEN {} at {:.3} s: {}", broken.rule, broken.at_s, broken.what);
        broken.trace.iter().for_each(|line| println!("    {line}"));
    }
    if outcome.broken.is_empty() {
        println!("all rules kept");
    }
}

/// Prints the figures of a sweep.
pub fn print_groups(groups: &[report::Group]) {
    let mut table = table(&[
        "settings",
        "runs",
        "goodput",
        "worst 10 s",
        "calls",
        "repeats",
        "p99 ms",
        "stuck",
        "rules broken",
    ]);
    for g in groups {
        table.add_row([
            g.label(),
            g.runs.to_string(),
            format!("{:.4}", g.goodput),
            format!("{:.4}", g.worst_10s),
            format!("{:.0}", g.calls),
            format!("{:.0}", g.repeats),
            format!("{:.0}", g.p99_ms),
            g.stuck.to_string(),
            g.broken.to_string(),
        ]);
    }
    println!("{table}");
}

/// Prints the figures of baselines.
pub fn print_rows(rows: &[report::Row]) {
    let mut table = table(&[
        "scenario",
        "policy",
        "goodput",
        "worst 10 s",
        "recovery s",
        "calls/msg",
        "refused calls",
        "doubles",
        "toppled",
        "broken",
    ]);
    for r in rows {
        table.add_row([
            r.scenario.clone(),
            r.policy.clone(),
            format!("{:.4}", r.goodput),
            format!("{:.4}", r.worst_10s),
            r.recovery(),
            format!("{:.2}", r.calls_a_message),
            format!("{:.0}", r.refusals),
            r.doubles.to_string(),
            r.toppled.to_string(),
            r.broken.join(" "),
        ]);
    }
    println!("{table}");
}
