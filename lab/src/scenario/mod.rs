//! Scenarios: a world, what clients ask of it, and what goes wrong, as JSON files of a settled form. Each file is checked
//! whole, and every fault is named by its path. `docs/operators/lab.md` lists all settings with their units.

pub mod library;
pub mod schema;

use indigohold::checked::{self, Fault, ObjectReader};
use indigohold::Micros;
use indigohold_relay::Rule;
use serde_json::Value;

/// How a class's repeats are treated by partners.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Dropped by those of the group for so long.
    Keyed(Group, Micros),
    /// Takes effect again.
    Unsafe,
}

/// Who drops a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All endpoints of the destination.
    All,
    /// The endpoint of the first attempt.
    Endpoint,
}

/// A class of message.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Share of all messages, against those of the other classes.
    pub share: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Full worth until then.
    pub aim: Micros,
    /// No worth after that.
    pub deadline: Micros,
    /// Worth of one.
    pub worth: f64,
    /// Share of it that is left at the deadline.
    pub late_worth: f64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Share of all messages, against those of the others.
    pub share: f64,
    /// Messages a second that are within its share, over all instances.
    pub quota: Option<f64>,
}

/// How long one call is worked on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shape {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal with this sigma.
    LogNormal(f64),
    /// Pareto with this shape; over 1, else there is no mean.
    Pareto(f64),
}

/// What a destination bounds beside its work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// Nothing.
    None,
    /// Calls a second, evenly: so many times what it is asked at load 1.
    Rate(f64),
    /// The same, counted in windows of this length.
    Window(f64, Micros),
    /// Calls at work at once.
    Concurrency(usize),
}

/// The destinations, all drawn from the same ranges.
#[derive(Debug, Clone, PartialEq)]
pub struct Destinations {
    /// How many.
    pub count: usize,
    /// Zipf exponent of their shares of the messages; 0: all the same.
    pub skew: f64,
    /// How many of them get messages; the others are silent.
    pub active: usize,
    /// Endpoints of each.
    pub endpoints: (usize, usize),
    /// Mean time of one call, in seconds.
    pub service: (f64, f64),
    /// Its distribution.
    pub shape: Shape,
    /// Capacity, as a multiple of what it is asked at load 1.
    pub headroom: (f64, f64),
    /// Calls that wait at an endpoint before it refuses.
    pub queue: usize,
    /// Time added to the service time by each call that waits, in shares of it: congestion that costs.
    pub drag: f64,
    /// The limit.
    pub limit: Limit,
    /// Refused calls count against the limit.
    pub refusals_count: bool,
    /// How often a refusal tells how long to wait.
    pub tells_wait: f64,
    /// Connections that an endpoint holds, idle ones counted.
    pub connections: usize,
    /// A handshake's work, in seconds.
    pub handshake: f64,
    /// An endpoint closes a connection that has been idle for so long.
    pub idle: Micros,
    /// The share of its capacity that it has when it comes back from an outage.
    pub cold_share: f64,
    /// By when it has all of it again.
    pub cold: Micros,
    /// Asked for more than so many times its present capacity ...
    pub topple_factor: f64,
    /// ... for so long while it is cold, it falls over ...
    pub topple_after: Micros,
    /// ... for so long.
    pub topple_for: Micros,
    /// The list tells capacities.
    pub told_weights: bool,
    /// Chance that a call is answered with an error though nothing is wrong.
    pub errors: f64,
    /// Of those, the share that has run.
    pub errors_ran: f64,
}

/// When messages are handed in.
#[derive(Debug, Clone, PartialEq)]
pub enum Arrivals {
    /// By chance, evenly.
    Poisson,
    /// In clumps of so many in the mean.
    Bursty(f64),
    /// The rate rises from `from` to `to` times the load between two moments (seconds), and stays.
    Ramp {
        /// Multiple of the rate before.
        from: f64,
        /// Multiple of the rate after.
        to: f64,
        /// Where it begins to rise.
        begins: f64,
        /// Where it has risen.
        ends: f64,
    },
    /// At these moments (milliseconds since the start), whatever the rate.
    Replay(Vec<u64>),
}

/// What the clients do.
#[derive(Debug, Clone, PartialEq)]
pub struct Clients {
    /// Messages a second over all instances, at load 1.
    pub rate: f64,
    /// Times that rate is asked.
    pub load: f64,
    /// When.
    pub arrivals: Arrivals,
    /// A client waits so long for its answer.
    pub patience: Micros,
    /// Times that it comes again after a refusal.
    pub retries: u32,
    /// How long it stays away where it is told nothing.
    pub pause: Micros,
    /// Times the load from one moment to another (seconds): a surge.
    pub surges: Vec<(f64, f64, f64)>,
}

/// The list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Registry {
    /// A change is told after so long, by chance in between (seconds).
    pub late: (f64, f64),
    /// It is not there from one moment to another (seconds).
    pub down: Vec<(f64, f64)>,
    /// It answers one call after another, each in so long (seconds); 0: all at once.
    pub serves: f64,
    /// Who has waited for so long gets 503 (seconds).
    pub waits: f64,
}

/// Which of many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Which {
    /// The one with the most messages.
    Largest,
    /// By its number.
    Number(usize),
    /// Every so manieth.
    Every(usize),
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Wrong {
    /// Connections are refused; those that are open break.
    Refuses,
    /// It takes calls and answers none.
    Hangs,
    /// It works at a part of its speed.
    Slow(f64),
    /// So large a share of the calls is answered with an error; those ran.
    Fails(f64),
    /// It reads a call, and breaks the connection before its answer; it ran.
    HalfOpen,
    /// The machine says nothing at all: connections never come up, open ones stay silent.
    Silent,
    /// It refuses every call, and tells to wait for this long.
    Shut(Micros),
    /// Its limit is this many times what it was.
    LimitTimes(f64),
    /// It drains, and is removed from the list at the end of the fault.
    Leaves,
}

/// Something that goes wrong at destinations.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault_ {
    /// When, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    pub lasts: f64,
    /// It comes again after so long, in seconds; 0: once.
    pub every: f64,
    /// Where.
    pub which: Which,
    /// At this share of the destination's endpoints, one at least.
    pub endpoints: f64,
    /// What.
    pub what: Wrong,
}

/// Instances of the courier that die.
#[derive(Debug, Clone, PartialEq)]
pub struct Kill {
    /// When, in seconds.
    pub at: f64,
    /// How many at once, drawn by chance.
    pub count: usize,
    /// Each that follows so much later, in seconds: 0, all at once; more, a rolling restart.
    pub apart: f64,
    /// How long each is away, in seconds.
    pub away: f64,
    /// Told to end first (SIGTERM), and killed 3.7 s later.
    pub gently: bool,
    /// The folder that lasts is lost with the machine.
    pub loses_disk: bool,
    /// What is done to the folder before the next life (on sockets only).
    pub folder: Folder,
    /// The next life is stopped before it says anything, for so long, in seconds, and then killed and started anew; 0: it is
    /// not (on sockets only).
    pub stuck: f64,
}

/// What is done to a folder between two lives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Folder {
    /// Nothing.
    Kept,
    /// The copy of this moment (seconds) is put back.
    Older(f64),
    /// Its newest journal file is missing.
    Missing,
    /// Nothing in it can be written, as far as its mode goes.
    ReadOnly,
    /// No file can grow past so many bytes.
    NoRoom(u64),
}

/// Instances that are stopped and go on.
#[derive(Debug, Clone, PartialEq)]
pub struct Pause {
    /// When, in seconds.
    pub at: f64,
    /// How many at once, drawn by chance.
    pub count: usize,
    /// For how long, in seconds.
    pub lasts: f64,
}

/// What the courier has.
#[derive(Debug, Clone, PartialEq)]
pub struct Courier {
    /// Instances.
    pub instances: usize,
    /// Calls out at once, for each.
    pub slots: usize,
    /// Messages held at once, for each.
    pub max_open: usize,
    /// Attempts for a message.
    pub attempts: u32,
    /// Bytes of its folder.
    pub disk: u64,
    /// Each instance is told only of destinations that its own clients use, when they first do.
    pub lists_what_it_uses: bool,
}

/// One scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub about: String,
    /// How long messages are handed in, in seconds.
    pub seconds: f64,
    /// The fleet.
    pub courier: Courier,
    /// Classes.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Partners.
    pub destinations: Destinations,
    /// Clients.
    pub clients: Clients,
    /// The list.
    pub registry: Registry,
    /// One way, in seconds: between courier and partner.
    pub network: (f64, f64),
    /// What goes wrong.
    pub faults: Vec<Fault_>,
    /// Who dies.
    pub kills: Vec<Kill>,
    /// Who is stopped and goes on (on sockets only).
    pub pauses: Vec<Pause>,
    /// What goes wrong on links, as in a relay's file; the parties are `c0`, `e0`, `registry` and `clients` (on sockets only).
    pub links: Vec<Rule>,
}

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

fn fault(doc: &ObjectReader) -> Fault_ {
    let number = doc.whole("number", 0, 0..=60_000) as usize;
    let every = doc.whole("every_nth", 2, 1..=60_000) as usize;
    let times = doc.number("times", 0.2, 0.0..=1e4);
    let share = doc.number("share", 0.5, 0.0..=1.0);
    let wait = ms(doc, "wait_ms", 1_000.0, 3.6e6);
    Fault_ {
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
                ("refuses", Wrong::Refuses),
                ("hangs", Wrong::Hangs),
                ("slow", Wrong::Slow(times.max(1e-3))),
                ("fails", Wrong::Fails(share)),
                ("half_open", Wrong::HalfOpen),
                ("silent", Wrong::Silent),
                ("shut", Wrong::Shut(wait)),
                ("limit", Wrong::LimitTimes(times)),
                ("leaves", Wrong::Leaves),
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

fn scenario(doc: &ObjectReader) -> Scenario {
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

/// All settings of a scenario file, as its reader asks for them.
pub fn settings() -> Vec<checked::Setting> {
    checked::describe(scenario)
}

impl Scenario {
    /// Reads a scenario; all that is wrong with it otherwise.
    pub fn read(text: &[u8]) -> Result<Scenario, Vec<Fault>> {
        checked::read(text, scenario)
    }

    /// The same, with settings changed by their paths, as in `clients.load=1.2`.
    pub fn read_with(text: &[u8], changes: &[(String, String)]) -> Result<Scenario, Vec<Fault>> {
        let fault = |path: &str, what: String| vec![Fault { path: path.into(), what }];
        let mut value: Value = serde_json::from_slice(text).map_err(|e| fault("", e.to_string()))?;
        for (path, text) in changes {
            set(&mut value, path, text).map_err(|what| fault(path, what))?;
        }
        Scenario::read(value.to_string().as_bytes())
    }

    /// Share of all messages of each destination that gets any.
    pub fn shares(&self) -> Vec<f64> {
        let weight = |n: usize| 1.0 / ((n + 1) as f64).powf(self.destinations.skew);
        let all: Vec<f64> = (0..self.destinations.active).map(weight).collect();
        let sum: f64 = all.iter().sum();
        all.into_iter().map(|w| w / sum).collect()
    }

    /// Times the usual rate that is asked at this moment (seconds).
    pub fn load_at(&self, at: f64) -> f64 {
        let ramp = match &self.clients.arrivals {
            Arrivals::Ramp { from, to, begins, ends } => {
                let part = ((at - begins) / (ends - begins).max(1e-9)).clamp(0.0, 1.0);
                from + (to - from) * part
            }
            _ => 1.0,
        };
        let surge = |s: &&(f64, f64, f64)| s.0 <= at && at < s.1;
        self.clients.load * ramp * self.clients.surges.iter().filter(surge).map(|s| s.2).product::<f64>()
    }

    /// The same world with nothing that goes wrong: what a fleet does unharmed.
    pub fn unharmed(&self) -> Scenario {
        let mut twin = self.clone();
        twin.faults.clear();
        twin.kills.clear();
        twin.pauses.clear();
        twin.registry.down.clear();
        // The links stay, so that both runs go through the same relay; nothing is done to them.
        twin.links.iter_mut().for_each(|rule| rule.chance = 0.0);
        twin
    }

    /// What of it is played on sockets only.
    pub fn sockets_only(&self) -> Vec<&'static str> {
        let folder = |k: &Kill| k.folder != Folder::Kept;
        let parts = [
            (!self.links.is_empty(), "links"),
            (!self.pauses.is_empty(), "pauses"),
            (self.kills.iter().any(folder), "kills[].folder"),
            (self.kills.iter().any(|k| k.stuck > 0.0), "kills[].stuck_s"),
        ];
        parts.into_iter().filter(|(there, _)| *there).map(|(_, name)| name).collect()
    }

    /// When the last thing that goes wrong is over, in seconds; `None`: nothing does.
    pub fn last_trouble(&self) -> Option<f64> {
        let faults = self.faults.iter().map(|f| if f.every > 0.0 { self.seconds } else { f.at + f.lasts });
        let kills = self.kills.iter().map(|k| k.at + k.apart * (k.count - 1) as f64 + k.away + k.stuck);
        let pauses = self.pauses.iter().map(|p| p.at + p.lasts);
        let links = self.links.iter().map(|l| l.during.1.min(self.seconds));
        let down = self.registry.down.iter().map(|d| d.1);
        let surges = self.clients.surges.iter().map(|s| s.1);
        faults.chain(kills).chain(pauses).chain(links).chain(down).chain(surges).max_by(f64::total_cmp)
    }
}

/// Puts a value at a path, as in `faults[0].lasts_s`. Objects on the way are made; places in lists must be there.
pub fn set(value: &mut Value, path: &str, text: &str) -> Result<(), String> {
    let new = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.into()));
    let mut at = value;
    for part in path.split('.') {
        let (name, places) = part.split_once('[').map_or((part, ""), |(name, places)| (name, places));
        if at.is_null() {
            *at = Value::Object(Default::default());
        }
        at = at
            .as_object_mut()
            .ok_or("it leads through what is no object")?
            .entry(name)
            .or_insert(Value::Null);
        for place in places.split('[').filter(|p| !p.is_empty()) {
            let place: usize = place.trim_end_matches(']').parse().map_err(|_| "no place in a list")?;
            at = at.get_mut(place).ok_or("there is no such place in the list")?;
        }
    }
    *at = new;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_is_named() {
        let text = br#"{"seconds": -1, "couriers": {}, "classes": [{"aim_ms": 9, "deadline_ms": 8, "effect": "odd"}],
            "destinations": {"count": 3, "limit": {"kind": "rate", "time": 2}},
            "faults": [{"what": "hangs", "where": "number", "number": 3}], "kills": [{"count": 9}]}"#;
        let faults = Scenario::read(text).unwrap_err();
        let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
        for path in [
            "seconds",
            "couriers",
            "classes[0].effect",
            "classes[0].aim_ms",
            "destinations.limit.time",
            "faults[0].number",
            "kills[0].count",
        ] {
            assert!(paths.contains(&path), "{path} is not among {paths:?}");
        }
        assert_eq!(paths.len(), 7, "{paths:?}");
    }

    #[test]
    fn settings_are_changed_by_their_paths() {
        let change = |path: &str, text: &str| {
            Scenario::read_with(br#"{"faults": [{"what": "hangs"}]}"#, &[(path.into(), text.into())])
        };
        assert_eq!(change("clients.load", "1.5").unwrap().clients.load, 1.5);
        assert_eq!(change("faults[0].lasts_s", "2").unwrap().faults[0].lasts, 2.0);
        assert_eq!(change("name", "other").unwrap().name, "other");
        assert!(change("faults[1].lasts_s", "2").is_err());
        assert!(change("clients.lode", "2").is_err());
    }
}
