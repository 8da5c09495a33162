//! The interface: what a sender is told and what it may do. Types only; every decision is in `choice.rs`.

use crate::carry::Carried;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};

/// A moment or a length of time, in whole microseconds. Sums and differences saturate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// In seconds, for rates.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// From seconds; negative and undefined values become 0.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// So many times as long.
    pub fn scale(self, by: f64) -> Micros {
        Micros((self.0 as f64 * by) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A message; never comes twice.
    MessageId(u64);
    /// An outside destination.
    DestinationId(u16);
    /// A class of message: its position in [`Settings::classes`].
    ClassId(u16);
    /// A tenant: its position in [`Settings::tenants`].
    TenantId(u16);
    /// A zone: its position in the settings' list.
    ZoneId(u16);
    /// A kind of destination: its position in [`Settings::kinds`].
    KindId(u8);
    /// What messages that keep their order are about.
    Key(u64);
    /// Another sender's number.
    PeerId(u16);
    /// A timer's name, chosen by the sender.
    TimerToken(u64);
}

/// One endpoint of a destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId {
    /// Address, first byte first.
    pub addr: [u8; 4],
    /// Port.
    pub port: u16,
}

impl EndpointId {
    /// Address and port as six bytes.
    pub fn bytes(self) -> [u8; 6] {
        let ([a, b, c, d], [p, q]) = (self.addr, self.port.to_be_bytes());
        [a, b, c, d, p, q]
    }

    /// Reads what [`EndpointId::bytes`] wrote; `None` for anything else.
    pub fn from_bytes(bytes: &[u8]) -> Option<EndpointId> {
        let [a, b, c, d, p, q] = <[u8; 6]>::try_from(bytes).ok()?;
        Some(EndpointId { addr: [a, b, c, d], port: u16::from_be_bytes([p, q]) })
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [a, b, c, d] = self.addr;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}

/// What a repeat of a message of this class can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Dropped by the endpoints of `group` for `window` from the first attempt that may have run.
    Keyed {
        /// Who remembers the key.
        group: Group,
        /// For how long.
        window: Micros,
    },
    /// Takes effect again.
    Unsafe,
}

/// The endpoints of a destination that drop a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those in the zone of the earlier attempt.
    Zone,
    /// Only the endpoint of the earlier attempt.
    Endpoint,
}

/// How worth falls after the aim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fade {
    /// Evenly, down to the late worth at the deadline.
    Even,
    /// By half with each further aim, not under the late worth.
    ByHalf,
}

/// How the list of endpoints comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    Push,
    /// Only after [`Action::Follow`] or [`Action::Fetch`].
    Subscribe,
}

/// What an endpoint's listed weight means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    Off,
    /// The calls a second that the destination (or route) takes from all senders.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// A class of message.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Delivered within this time it earns its full worth.
    pub aim: Micros,
    /// How long it may be delivered, from when it was first handed in.
    pub deadline: Micros,
    /// Worth of one message.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_worth: f64,
    /// What a repeat can do.
    pub effect: Effect,
    /// Messages with one key take turns.
    pub in_order: bool,
}

/// A kind of destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Endpoints are separate routes, each with its own limit, pace and outages.
    pub routes_apart: bool,
    /// Messages in one call at most.
    pub bundle_max: u32,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all senders, within its share.
    pub quota_per_s: Option<f64>,
}

/// Figures of the rules. `None`: that rule is not set here.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long after a message's time is up.
    pub answer_slack: Option<Micros>,
    /// Share of its capacity that a destination has at least when it returns from an outage.
    pub cold_share: Option<f64>,
    /// By when it has all of it.
    pub cold: Option<Micros>,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: Option<f64>,
    /// ... for this long, a cold destination falls over.
    pub tip_after: Option<Micros>,
    /// How long a key rests after an attempt that may still run.
    pub key_quiet: Option<Micros>,
    /// In [`DiscoveryMode::Subscribe`]: the longest time without a subscription or a question.
    pub must_ask_in: Option<Micros>,
}

/// What the site allows.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// [`Action::CallOff`] is allowed.
    pub cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub probes: bool,
    /// [`Action::Note`] is allowed.
    pub notes: bool,
    /// Calls out at once.
    pub slots: Option<u32>,
    /// Messages held at once; more are turned away before the sender.
    pub max_open: Option<u32>,
    /// Attempts for one message.
    pub max_attempts: Option<u32>,
    /// The longest time to stay away that a client heeds.
    pub max_retry_after: Option<Micros>,
}

/// All that a sender is given at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Senders of this service, this one counted.
    pub senders: u32,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its tenant's share, as a part of its worth.
    pub over_share_worth: Option<f64>,
    /// How worth falls after the aim.
    pub fade: Fade,
    /// How the list of endpoints comes.
    pub discovery: DiscoveryMode,
    /// What listed weights mean.
    pub weights: Weights,
    /// Position of "share of the limit that is left" in a load report.
    pub report_left: Option<usize>,
    /// Position of "calls a second that the limit allows" in a load report.
    pub report_limit: Option<usize>,
    /// Shortest time between two rounds.
    pub period: Micros,
    /// Figures of the rules.
    pub rules: Rules,
    /// What the site allows.
    pub limits: Limits,
}

/// A message handed in.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Where it goes.
    pub destination: DestinationId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: TenantId,
    /// What it is about, where order is kept.
    pub key: Option<Key>,
    /// When it is given up.
    pub due: Micros,
}

/// State of an endpoint on the list; it says nothing of health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Listed {
    /// May be sent to.
    Ready,
    /// Gets nothing new.
    Draining,
    /// Removed, or never listed.
    #[default]
    Gone,
}

/// One line of the list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: Listed,
    /// See [`Weights`].
    pub weight: f64,
    /// Its place among the endpoints of its destination: a higher one is used while no lower one can be.
    pub rank: u16,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen, perhaps with a time to wait.
    Full(Option<Micros>),
    /// The answer can't be trusted; may have taken effect. If it told a time to wait, that binds.
    Spoilt(Option<Micros>),
    /// No answer in time; may have taken effect or still do so.
    Timeout,
    /// No connection in time; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Called off; may have taken effect.
    Cancelled,
    /// Never sent.
    Moot,
}

/// What a sender is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message was handed in; one final answer is owed.
    Demand(Message),
    /// A message taken on in an earlier life is still owed its end.
    Resumed {
        /// The message; its `due` may be past.
        message: Message,
        /// Attempts made so far.
        tries: u32,
        /// The first attempt that may have run: when it was sent, and where to.
        risk: Option<(Micros, EndpointId)>,
    },
    /// An attempt ended.
    Returned {
        /// The message.
        id: MessageId,
        /// The endpoint tried.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Nothing more is owed for the message.
        terminal: bool,
        /// Time since it was sent.
        latency: Micros,
        /// Number of the attempt, from 0.
        attempt: u8,
        /// Values named by the settings, where the endpoint told them.
        report: Vec<f32>,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// As in [`Event::Returned`].
        report: Vec<f32>,
    },
    /// The whole list of endpoints; what is missing is gone. It may be old where it was kept from before.
    WholeList(Vec<Entry>),
    /// Changed lines of the list.
    ListChange(Vec<Entry>),
    /// Changed lines by this courier's own judgement or memory: discovery has not spoken.
    Relisted(Vec<Entry>),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// The client has withdrawn the message.
    Hangup(MessageId),
    /// The answer of a streamed message has begun.
    UnderWay(MessageId),
    /// A message that was resumed has a call out, made by the process before; its outcome will come.
    StillOut {
        /// The message.
        id: MessageId,
        /// Where the call is.
        endpoint: EndpointId,
        /// When it was sent.
        sent: Micros,
    },
    /// An endpoint was restarted while it was left out by hand: it is used again and has nothing warm.
    Restarted(EndpointId),
    /// A timer ran out.
    Elapsed(TimerToken),
    /// A note from another sender.
    PeerNote {
        /// Who sent it.
        from: PeerId,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// What a sender does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Try {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out.
        timeout: Micros,
    },
    /// Final answer: handed back, harmless to hand in again.
    Decline {
        /// The message.
        id: MessageId,
        /// How long the client should stay away.
        stay_away: Micros,
    },
    /// Final answer: given up, nothing promised.
    Fail(MessageId),
    /// Stop waiting for an attempt.
    CallOff {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Check an endpoint.
    Probe(EndpointId),
    /// Ask for [`Event::Elapsed`].
    SetTimer {
        /// From now.
        after: Micros,
        /// Its name.
        token: TimerToken,
    },
    /// Subscribe to changes of the list.
    Follow,
    /// Ask for the whole list once.
    Fetch,
    /// Send a note to one sender, or to all of them.
    Note {
        /// To whom; `None`: to all.
        to: Option<PeerId>,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// Close idle connections to an endpoint.
    LetGo(EndpointId),
    /// A line for the log.
    Log(String),
}

/// What decides: [`crate::Sender`], or whatever an emulator compares with it. No I/O, no clock, no threads.
pub trait Decide: Send {
    /// Takes in what happened at `now` and appends what to do about it.
    fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>);
    /// Whether a call of this message may begin at this endpoint, just before its first byte.
    fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool;
    /// Until when a destination has told to wait; 0: it has not.
    fn told_wait(&self, destination: DestinationId) -> Micros;
    /// A former life was told to wait until then; before anything else has happened.
    fn told_before(&mut self, _destination: DestinationId, _until: Micros) {}
    /// The pace of the first calls to a destination whose limit nobody tells; before anything else has happened.
    fn first_pace(&mut self, _destination: DestinationId, _per_s: f64) {}
    /// What was handed in lately by destination, in messages a second.
    fn demand(&self, _now: Micros) -> Vec<(DestinationId, f64)> {
        Vec::new()
    }
    /// Whether the module keeps away from this endpoint now, as it found it to be out. For overviews.
    fn avoids(&self, _id: EndpointId) -> bool {
        false
    }
    /// What another process of the same courier goes on with, beside the messages and the list.
    fn carry(&self) -> Carried {
        Carried::default()
    }
    /// Goes on with it; before anything else has happened.
    fn go_on_with(&mut self, _carried: Carried) {}
}
