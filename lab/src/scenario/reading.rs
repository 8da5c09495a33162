//! Reads the parts of a scenario from JSON objects: bounds, defaults, and faults by their paths.

use super::types::*;
use indigohold::checked::{self, ObjectReader};
use indigohold::Micros;

fn micros(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

fn ms(doc: &ObjectReader, name: &str, default: f64, most: f64) -> Micros {
    micros(doc.number(name, default, 0.0..=most) / 1e3)
}

fn class(doc: &ObjectReader) -> Class {
    let window = ms(doc, "window_ms", 15_000.0, 3.6e6);
    let group = doc.choice("group", &[("all", Group::All), ("endpoint", Group::Endpoint)]);
    let effect = doc.choice(
        "effect",
        &[("safe", Effect::Safe), ("keyed", Effect::Keyed(group, window)), ("unsafe", Effect::Unsafe)],
    );
    let aim = ms(doc, "aim_ms", 4_000.0, 3.6e6);
    let deadline = ms(doc, "deadline_ms", 20_000.0, 3.6e6);
    if aim > deadline {
        doc.fault("aim_ms", "it is after the deadline");
    }
    Class {
        name: doc.text("name").unwrap_or_else(|| "message".into()),
        share: doc.number("share", 1.0, 0.0..=1e6),
        effect,
        aim,
        deadline,
        worth: doc.number("worth", 1.0, 0.0..=1e6),
        late_worth: doc.number("late_worth", 0.4, 0.0..=1.0),
    }
}

fn tenant(doc: &ObjectReader) -> Tenant {
    let quota = doc.number("quota_per_s", 0.0, 0.0..=1e9);
    Tenant {
        name: doc.text("name").unwrap_or_else(|| "tenant".into()),
        share: doc.number("share", 1.0, 0.0..=1e6),
        quota: (quota > 0.0).then_some(quota),
    }
}

fn limit(doc: &ObjectReader) -> Limit {
    let times = doc.number("times", 1.0, 0.001..=1e6);
    let window = ms(doc, "window_ms", 1_000.0, 3.6e6);
    let calls = doc.whole("calls", 4, 1..=1_000_000) as usize;
    doc.choice(
        "kind",
        &[
            ("none", Limit::None),
            ("rate", Limit::Rate(times)),
            ("window", Limit::Window(times, window)),
            ("concurrency", Limit::Concurrency(calls)),
        ],
    )
}

fn destinations(doc: &ObjectReader) -> Destinations {
    let count = doc.whole("count", 12, 1..=60_000) as usize;
    let per = doc.span("endpoints", (1.0, 2.0), 1.0..=64.0);
    let sigma = doc.number("sigma", 0.5, 0.0..=4.0);
    let tail = doc.number("tail", 2.0, 1.05..=10.0);
    let service = doc.span("service_ms", (20.0, 80.0), 0.01..=600_000.0);
    Destinations {
        count,
        skew: doc.number("skew", 0.9, 0.0..=4.0),
        active: doc.whole("active", count as u64, 1..=count as u64) as usize,
        endpoints: (per.0 as usize, per.1 as usize),
        service: (service.0 / 1e3, service.1 / 1e3),
        shape: doc.choice(
            "service_shape",
            &[
                ("lognormal", Shape::LogNormal(sigma)),
                ("fixed", Shape::Fixed),
                ("exponential", Shape::Exponential),
                ("pareto", Shape::Pareto(tail)),
            ],
        ),
        headroom: doc.span("headroom", (1.6, 2.4), 0.01..=1e4),
        queue: doc.whole("queue", 32, 0..=1_000_000) as usize,
        drag: doc.number("drag", 0.0, 0.0..=100.0),
        limit: doc.object("limit", limit).unwrap_or(Limit::None),
        refusals_count: doc.flag("refusals_count", false),
        tells_wait: doc.number("tells_wait", 0.5, 0.0..=1.0),
        connections: doc.whole("connections", 256, 1..=1_000_000) as usize,
        handshake: doc.number("handshake_ms", 2.0, 0.0..=10_000.0) / 1e3,
        idle: ms(doc, "idle_ms", 5_000.0, 3.6e6),
        cold_share: doc.number("cold_share", 0.2, 0.01..=1.0),
        cold: ms(doc, "cold_ms", 8_000.0, 3.6e6),
        topple_factor: doc.number("topple_factor", 2.0, 1.0..=1e6),
        topple_after: ms(doc, "topple_after_ms", 1_000.0, 3.6e6),
        topple_for: ms(doc, "topple_for_ms", 4_000.0, 3.6e6),
        told_weights: doc.flag("told_weights", false),
        errors: doc.number("errors", 0.0, 0.0..=1.0),
        errors_ran: doc.number("errors_ran", 0.5, 0.0..=1.0),
    }
}

fn arrivals(doc: &ObjectReader) -> Arrivals {
    let clump = doc.number("clump", 4.0, 1.0..=1e4);
    let (from, to) = (doc.number("from", 0.2, 0.0..=1e4), doc.number("to", 1.0, 0.0..=1e4));
    let (begins, ends) = (doc.number("begins_s", 0.0, 0.0..=1e6), doc.number("ends_s", 10.0, 0.0..=1e6));
    let text = doc.text("at_ms").unwrap_or_default();
    let moments: Vec<u64> = text.split_whitespace().filter_map(|t| t.parse().ok()).collect();
    let kind = doc.choice("kind", &[("poisson", 0u8), ("bursty", 1), ("ramp", 2), ("replay", 3)]);
    if kind == 2 && begins > ends {
        doc.fault("begins_s", "it is after ends_s");
    }
    if kind == 3 && moments.len() != text.split_whitespace().count() {
        doc.fault("at_ms", "it must be whole milliseconds with spaces between them");
    }
    match kind {
        1 => Arrivals::Bursty(clump),
        2 => Arrivals::Ramp { from, to, begins, ends },
        3 => Arrivals::Replay(moments),
        _ => Arrivals::Poisson,
    }
}

fn clients(doc: &ObjectReader) -> Clients {
    let surge = |d: &ObjectReader| {
        let from = d.number("from_s", 0.0, 0.0..=1e6);
        let to = d.number("to_s", 0.0, 0.0..=1e6);
        if to < from {
            d.fault("to_s", "it is before from_s");
        }
        (from, to, d.number("times", 1.0, 0.0..=1e4))
    };
    Clients {
        rate: doc.number("rate", 100.0, 0.01..=1e6),
        load: doc.number("load", 1.0, 0.0..=1e4),
        arrivals: doc.object("arrivals", arrivals).unwrap_or(Arrivals::Poisson),
        patience: ms(doc, "patience_ms", 400.0, 3.6e6),
        retries: doc.whole("retries", 3, 0..=100) as u32,
        pause: ms(doc, "pause_ms", 1_000.0, 3.6e6),
        surges: doc.objects("surges", 100, surge),
    }
}

fn registry(doc: &ObjectReader) -> Registry {
    let late = doc.span("late_ms", (10.0, 200.0), 0.0..=3.6e6);
    let down = |d: &ObjectReader| (d.number("from_s", 0.0, 0.0..=1e6), d.number("to_s", 0.0, 0.0..=1e6));
    Registry {
        late: (late.0 / 1e3, late.1 / 1e3),
        down: doc.objects("down", 100, down),
        serves: doc.number("serves_ms", 0.0, 0.0..=60_000.0) / 1e3,
        waits: doc.number("waits_ms", 1_000.0, 0.0..=600_000.0) / 1e3,
    }
}

fn fault(doc: &ObjectReader) -> DestinationFault {
    let number = doc.whole("number", 0, 0..=60_000) as usize;
    let every = doc.whole("every_nth", 2, 1..=60_000) as usize;
    let times = doc.number("times", 0.2, 0.0..=1e4);
    let share = doc.number("share", 0.5, 0.0..=1.0);
    let wait = ms(doc, "wait_ms", 1_000.0, 3.6e6);
    DestinationFault {
        at: doc.number("at_s", 5.0, 0.0..=1e6),
        lasts: doc.number("lasts_s", 5.0, 0.0..=1e6),
        every: doc.number("again_s", 0.0, 0.0..=1e6),
        which: doc.choice(
            "where",
            &[("largest", Which::Largest), ("number", Which::Number(number)), ("every", Which::Every(every))],
        ),
        endpoints: doc.number("endpoints", 1.0, 0.0..=1.0),
        what: doc.choice(
            "what",
            &[
                ("refuses", FaultKind::Refuses),
                ("hangs", FaultKind::Hangs),
                ("slow", FaultKind::Slow(times.max(1e-3))),
                ("fails", FaultKind::Fails(share)),
                ("half_open", FaultKind::HalfOpen),
                ("silent", FaultKind::Silent),
                ("shut", FaultKind::Shut(wait)),
                ("limit", FaultKind::LimitTimes(times)),
                ("leaves", FaultKind::Leaves),
            ],
        ),
    }
}

fn kill(doc: &ObjectReader) -> Kill {
    let copied = doc.number("copied_s", 1.0, 0.0..=1e6);
    let room = doc.whole("room_bytes", 4_096, 0..=1 << 40);
    let folders = [
        ("kept", Folder::Kept),
        ("older", Folder::Older(copied)),
        ("missing", Folder::Missing),
        ("read_only", Folder::ReadOnly),
        ("no_room", Folder::NoRoom(room)),
    ];
    Kill {
        folder: doc.choice("folder", &folders),
        stuck: doc.number("stuck_s", 0.0, 0.0..=1e6),
        at: doc.number("at_s", 5.0, 0.0..=1e6),
        count: doc.whole("count", 1, 1..=100_000) as usize,
        apart: doc.number("apart_s", 0.0, 0.0..=1e6),
        away: doc.number("away_s", 0.6, 0.0..=1e6),
        gently: doc.flag("gently", false),
        loses_disk: doc.flag("loses_disk", false),
    }
}

fn pause(doc: &ObjectReader) -> Pause {
    Pause {
        at: doc.number("at_s", 5.0, 0.0..=1e6),
        count: doc.whole("count", 1, 1..=100_000) as usize,
        lasts: doc.number("lasts_s", 1.0, 0.0..=1e6),
    }
}

fn courier(doc: &ObjectReader) -> Courier {
    Courier {
        instances: doc.whole("instances", 4, 1..=10_000) as usize,
        slots: doc.whole("slots", 16, 1..=256) as usize,
        max_open: doc.whole("max_open", 400, 1..=1_000_000) as usize,
        attempts: doc.whole("attempts", 8, 1..=100) as u32,
        disk: (doc.number("disk_mb", 3.0, 0.1..=1e4) * 1e6) as u64,
        lists_what_it_uses: doc.flag("lists_what_it_uses", false),
    }
}

/// Reads a scenario.
pub fn scenario(doc: &ObjectReader) -> Scenario {
    let classes = doc.objects("classes", 16, class);
    let tenants = doc.objects("tenants", 64, tenant);
    let network = doc.span("network_ms", (0.2, 0.6), 0.0..=10_000.0);
    let out = Scenario {
        name: doc.text("name").unwrap_or_else(|| "unnamed".into()),
        about: doc.text("about").unwrap_or_default(),
        seconds: doc.number("seconds", 30.0, 0.1..=100_000.0),
        courier: doc.object("courier", courier).unwrap_or_else(|| absent(courier)),
        classes: if classes.is_empty() { usual_classes() } else { classes },
        tenants: if tenants.is_empty() { vec![absent(tenant)] } else { tenants },
        destinations: doc.object("destinations", destinations).unwrap_or_else(|| absent(destinations)),
        clients: doc.object("clients", clients).unwrap_or_else(|| absent(clients)),
        registry: doc.object("registry", registry).unwrap_or_else(|| absent(registry)),
        network: (network.0 / 1e3, network.1 / 1e3),
        faults: doc.objects("faults", 1_000, fault),
        kills: doc.objects("kills", 1_000, kill),
        pauses: doc.objects("pauses", 1_000, pause),
        links: doc.objects("links", 1_000, indigohold_relay::rules::read),
    };
    let all = |shares: Vec<f64>| shares.iter().sum::<f64>() > 0.0;
    if !all(out.classes.iter().map(|c| c.share).collect()) {
        doc.fault("classes", "no class has a share");
    }
    if !all(out.tenants.iter().map(|t| t.share).collect()) {
        doc.fault("tenants", "no tenant has a share");
    }
    for (n, fault) in out.faults.iter().enumerate() {
        if matches!(fault.which, Which::Number(k) if k >= out.destinations.count) {
            doc.fault(&format!("faults[{n}].number"), "there is no such destination");
        }
    }
    for (n, kill) in out.kills.iter().enumerate() {
        if kill.count > out.courier.instances {
            doc.fault(&format!("kills[{n}].count"), "there are not so many instances");
        }
    }
    out
}

/// What holds where an object is left out.
fn absent<T>(by: impl Fn(&ObjectReader) -> T) -> T {
    checked::read(b"{}", by).unwrap_or_else(|_| unreachable!("defaults are within their bounds"))
}

/// Half harmless updates, orders whose repeats are dropped, and orders that print twice.
fn usual_classes() -> Vec<Class> {
    let text = br#"{"classes":[
        {"name":"update","share":0.5,"effect":"safe","aim_ms":2000,"deadline_ms":12000},
        {"name":"keyed-order","share":0.35,"effect":"keyed","aim_ms":4000,"deadline_ms":20000,"worth":2},
        {"name":"print-order","share":0.15,"effect":"unsafe","aim_ms":4000,"deadline_ms":20000,"worth":3}]}"#;
    checked::read(text, |doc| doc.objects("classes", 16, class))
        .unwrap_or_else(|_| unreachable!("it is a text of ours"))
}
