//! The events that a sender receives and the actions that it requests.

use super::ids::*;

/// A message that a client submitted for delivery.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// The destination that it is addressed to.
    pub destination: DestinationId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that it belongs to.
    pub tenant: TenantId,
    /// Its ordering key, if its class keeps the order of messages with one key.
    pub key: Option<Key>,
    /// The time at which the sender gives up on it.
    pub due: Micros,
}

/// Listing state of an endpoint in discovery. It says nothing about the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ListingState {
    /// May be sent to.
    Ready,
    /// Gets no new calls.
    Draining,
    /// Removed, or never listed.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that it serves.
    pub destination: DestinationId,
    /// Its kind.
    pub kind: KindId,
    /// The zone that it runs in; `None`: not known.
    pub zone: Option<ZoneId>,
    /// Its listing state.
    pub state: ListingState,
    /// Its weight; [`Weights`](super::Weights) says what it means.
    pub weight: f64,
    /// Failover priority within the destination: endpoints of a higher rank are used only while none of a lower rank can be.
    pub rank: u16,
}

/// When and where an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// The zone that the endpoint was listed in at that time; `None`: not known.
    pub zone: Option<ZoneId>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Refused without being processed, perhaps with a required wait.
    Refused(Option<Micros>),
    /// The answer can't be trusted; the message may have taken effect. A wait that the answer required is kept.
    InvalidAnswer(Option<Micros>),
    /// No answer in time; may have taken effect or still do so.
    Timeout,
    /// No connection in time; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Cancelled by the sender; may have taken effect.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never started, for a reason local to the courier. It doesn't count as an attempt.
    NotStarted,
}

/// An event that a sender receives.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message was submitted. The sender gives it exactly one final answer.
    Demand(Message),
    /// A message that an earlier process run accepted has had no final answer yet.
    Resumed {
        /// The message; its `due` time may be past.
        message: Message,
        /// The number of attempts made so far.
        attempts: u32,
        /// The first attempt that may have taken effect.
        first_uncertain: Option<SentAttempt>,
    },
    /// An attempt ended.
    Returned {
        /// The message.
        id: MessageId,
        /// The endpoint that it was sent to.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the message has had its final answer.
        terminal: bool,
        /// The time since the attempt was sent.
        latency: Micros,
        /// The number of the attempt, from 0.
        attempt: u8,
        /// The endpoint's load report: the values that the settings name, if the endpoint sent them.
        report: Vec<f32>,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
        /// The time since the probe was sent.
        latency: Micros,
        /// The load report, as in [`Event::Returned`].
        report: Vec<f32>,
    },
    /// The complete endpoint list; an endpoint that is missing is gone. A list restored from storage may be out of date.
    WholeList(Vec<Entry>),
    /// Changed entries of the endpoint list.
    ListChange(Vec<Entry>),
    /// Entries that this courier changed by its own decision or from its stored state, without news from discovery.
    LocalListChange(Vec<Entry>),
    /// A request for the list failed, or the subscription broke.
    ListFailed,
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// The answer of a streamed message has started.
    AnswerStarted(MessageId),
    /// A resumed message has a call in flight that the replaced process made; its outcome will follow.
    CallInFlight {
        /// The message.
        id: MessageId,
        /// When and where the call was sent.
        attempt: SentAttempt,
    },
    /// An endpoint was restarted while an operator had taken it out. It is in use again, and its caches are cold.
    Restarted(EndpointId),
    /// A timer expired.
    TimerElapsed(TimerToken),
    /// A gossip message from another sender.
    PeerGossip {
        /// The sender of the gossip message.
        from: PeerId,
        /// The payload.
        bytes: Vec<u8>,
    },
}

/// An action that a sender requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Try {
        /// The message.
        id: MessageId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The time limit of the attempt.
        timeout: Micros,
    },
    /// Final answer: the message is handed back, and the client may safely submit it again.
    Decline {
        /// The message.
        id: MessageId,
        /// How long the client should wait before it submits the message again.
        retry_after: Micros,
    },
    /// Final answer: the message is given up, and an attempt may have taken effect.
    Fail(MessageId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The message.
        id: MessageId,
        /// The number of the attempt.
        attempt: u8,
    },
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Request an [`Event::TimerElapsed`].
    SetTimer {
        /// The delay from now.
        after: Micros,
        /// The token that the event returns.
        token: TimerToken,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Request the complete endpoint list once.
    Fetch,
    /// Send a gossip message to one sender, or to all of them.
    SendGossip {
        /// The recipient; `None` for all senders.
        to: Option<PeerId>,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Write a line to the log.
    Log(String),
}
