//! Questions to the whole fleet: which couriers are asked, how long each part of the answer is waited for, and what is
//! missing from the answer. The wait follows from latencies learnt from earlier answers and silences, and is computed anew
//! with each answer. The module does no I/O, reads no clock and uses no randomness: callers pass times in, and of an answer's
//! contents only its figure. `docs/design/ask.md` compares the alternatives.
//!
//! ```
//! use indigohold::ask::{AskConfig, Coordinator, CourierId, Decision, Kind, Part, Piece, PieceOutcome, Presence};
//! use indigohold::Micros;
//!
//! let mut coordinator = Coordinator::new(AskConfig::default(), CourierId(1), 7);
//! let part = |n, presence| Part { courier: CourierId(n), incarnation: 1, weight: None, presence };
//! let fleet = [part(2, Presence::Present), part(3, Presence::Away)];
//! let id = coordinator.ask(Micros(0), Kind::Held, 0, &fleet).unwrap();
//! let piece =
//!     Piece { courier: CourierId(2), incarnation: 1, number: 0, last: true, figure: 12, settles: false };
//! assert_eq!(coordinator.record_piece(Micros(3_000), id, &piece), PieceOutcome::New);
//! let Some(Decision::Ended(answer)) = coordinator.decide(Micros(3_000), id) else {
//!     panic!("there is no part to wait for")
//! };
//! assert_eq!((answer.complete, answer.figure, answer.share), (false, 12, 0.5), "one is known to be away");
//! ```

mod config;
mod coordinator;
mod entry;
pub mod gossip;
mod latency;
mod question;
mod wait;

pub use config::{parse, read, AnswerValue, AskConfig, FleetMember, LatencyMemory, Limits, Prior};
pub use coordinator::{AskError, Coordinator, Counts, Decision};
pub use entry::{EntryError, ENTRY_BYTES};
pub use latency::{bucket_end, bucket_of, LatencyCurve, LatencyModel, BUCKETS};
pub use question::{Answer, MissingPart, MissingReason, Part, Piece, PieceOutcome, Presence, PreviousFigure};
pub use wait::{next_evaluation, worth_waiting, PendingPart};

/// The number of a courier: its index in the settings' list of couriers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CourierId(pub u16);

/// What is asked. Latencies are learnt by kind, since kinds differ in how long their answers take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The history of a channel.
    History,
    /// Which courier has a message, and in which state it is.
    Where,
    /// How many messages are held and pending.
    Held,
    /// Metrics of a courier.
    Figures,
    /// The retention that each courier applies.
    Retention,
}

impl Kind {
    /// All kinds in the order of their numbers on the wire, each with its name in the settings.
    pub const ALL: [(&'static str, Kind); 5] = [
        ("history", Kind::History),
        ("where", Kind::Where),
        ("held", Kind::Held),
        ("figures", Kind::Figures),
        ("retention", Kind::Retention),
    ];
}

/// Identifies a question among all questions of all askers and of all their process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId {
    /// The courier that asks.
    pub asker: CourierId,
    /// The incarnation of the asker's process run. A later run has a higher one; two runs at the same time differ.
    pub incarnation: u64,
    /// Counts up within a process run.
    pub number: u64,
}
