//! The parts of a scenario.

use indigohold::Micros;
use indigohold_relay::Rule;

/// How a class's repeats are treated by partners.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Dropped by the endpoints of the group within this window.
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
    /// Calls a second, evenly, as a multiple of the rate at load 1.
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
    /// Idle timeout of an endpoint's connections.
    pub idle: Micros,
    /// The share of its capacity that it has when it comes back from an outage.
    pub cold_share: f64,
    /// By when it has all of it again.
    pub cold: Micros,
    /// Overload, as a multiple of the present capacity, that makes a cold destination fail.
    pub topple_factor: f64,
    /// Length of the window in which the overload is measured.
    pub topple_after: Micros,
    /// How long the destination then refuses connections.
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
    /// In bursts of this mean size.
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
    /// How long a client waits for its response.
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
    /// Range of the delay after which a change is announced, in seconds.
    pub late: (f64, f64),
    /// It is not there from one moment to another (seconds).
    pub down: Vec<(f64, f64)>,
    /// Time for each request, one after another, in seconds; 0: no time.
    pub serves: f64,
    /// Requests that have waited longer than this get 503, in seconds.
    pub waits: f64,
}

/// Which of many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Which {
    /// The one with the most messages.
    Largest,
    /// By its number.
    Number(usize),
    /// Every nth.
    Every(usize),
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
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
pub struct DestinationFault {
    /// When, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    pub lasts: f64,
    /// Interval of its repetitions, in seconds; 0: it occurs once.
    pub every: f64,
    /// Where.
    pub which: Which,
    /// At this share of the destination's endpoints, one at least.
    pub endpoints: f64,
    /// What.
    pub what: FaultKind,
}

/// Instances of the courier that die.
#[derive(Debug, Clone, PartialEq)]
pub struct Kill {
    /// When, in seconds.
    pub at: f64,
    /// How many at once, drawn by chance.
    pub count: usize,
    /// Interval between them, in seconds: 0, all at once; more, a rolling restart.
    pub apart: f64,
    /// How long each is away, in seconds.
    pub away: f64,
    /// Told to end first (SIGTERM), and killed 3.7 s later.
    pub gently: bool,
    /// The folder that lasts is lost with the machine.
    pub loses_disk: bool,
    /// What is done to the folder before the next life (on sockets only).
    pub folder: Folder,
    /// How long the next process is suspended right after its start, in seconds, before it is killed and started again; 0: it
    /// is not (on sockets only).
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
    /// No file can grow past this number of bytes.
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
    pub faults: Vec<DestinationFault>,
    /// Who dies.
    pub kills: Vec<Kill>,
    /// Who is stopped and goes on (on sockets only).
    pub pauses: Vec<Pause>,
    /// What goes wrong on links, as in a relay's file; the parties are `c0`, `e0`, `registry` and `clients` (on sockets only).
    pub links: Vec<Rule>,
}
