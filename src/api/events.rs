//! What a sender is told, and what it does.

use super::ids::*;

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
    /// Never begun, for a reason of the courier's own: it counts as no attempt.
    NotBegun,
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
