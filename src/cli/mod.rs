//! The command line. Without a sub-command, the program runs the daemon, as with `run`.

pub mod ask;
pub mod check;
pub mod drain;
pub mod fleet;
pub mod register;
pub mod replay;
pub mod retention;

use crate::config::Paths;
use crate::log::Format;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A courier of messages to partners' endpoints.
#[derive(Debug, Parser)]
#[command(name = "indigohold", version, about)]
pub struct Cli {
    /// Paths of the configuration files and folders.
    #[command(flatten)]
    pub paths: Paths,
    /// Format of the log
    #[arg(long, global = true, env = "NODE_LOG_FORMAT", value_enum, default_value_t)]
    pub log_format: Format,
    /// Which log lines are written: a level, or levels by target, as in "info,discovery=debug"
    #[arg(long, global = true, env = "NODE_LOG", value_name = "LEVELS", default_value = "info")]
    pub log: String,
    /// The sub-command; `run` if absent
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The sub-commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the daemon (the default)
    Run,
    /// Check every configuration file and print all faults; exit code 0 if there is none, else 2
    Check,
    /// Show the status of the instance, through its control channel
    Status {
        /// Where the control channel listens.
        #[command(flatten)]
        socket: Socket,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Ask the whole fleet, through any courier's admin server (--control) or control channel (--socket): `where ID`, `held`,
    /// `figures`, `history TENANT DESTINATION`, `retention [TENANT]`; exit code 0: complete, 4: some answers are missing, 3: the
    /// query is malformed, 1: no answer came
    Ask {
        /// Where the control channel listens.
        #[command(flatten)]
        socket: Socket,
        /// Kind of the query, and its subject
        #[arg(required = true, value_name = "KIND [SUBJECT]")]
        words: Vec<String>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Drain an instance, or a part of its messages, through its control channel
    Drain {
        /// Where the control channel listens.
        #[command(flatten)]
        socket: Socket,
        /// The action.
        #[command(subcommand)]
        what: Drain,
    },
    /// How long ended messages are kept, which couriers honour this, and what is forgotten, through the control channel
    Retention {
        /// Where the control channel listens.
        #[command(flatten)]
        socket: Socket,
        /// The action.
        #[command(subcommand)]
        what: Retention,
    },
    /// Send ended messages of a tenant to a destination again, through the control channel
    Replay {
        /// Where the control channel listens.
        #[command(flatten)]
        socket: Socket,
        /// The action.
        #[command(subcommand)]
        what: Replay,
    },
    /// Whether the running process accepts clients, through the admin server; exit code 3: it does not
    Ready,
    /// Print the metrics of the running process, through the admin server
    Telemetry,
    /// Exclude an endpoint until it is included again, through the admin server
    Exclude {
        /// Id of the endpoint, as discovery lists it
        id: String,
    },
    /// Include an excluded endpoint again, through the admin server
    Include {
        /// Id of the endpoint
        id: String,
    },
    /// The registry of backends: the kept copy of its list, and the operators' static file
    #[command(subcommand)]
    Register(Register),
}

/// Selects messages. An argument that is absent matches all messages.
#[derive(Debug, Clone, clap::Args)]
pub struct MessageSelection {
    /// Name of the tenant
    #[arg(long)]
    pub tenant: Option<String>,
    /// Name of the class
    #[arg(long)]
    pub class: Option<String>,
    /// Number of the destination
    #[arg(long, value_name = "NUMBER")]
    pub destination: Option<u16>,
}

/// Actions on retention.
#[derive(Debug, Subcommand)]
pub enum Retention {
    /// By tenant, show which couriers honour the policies, which do not, which are unheard and since when, and what is kept; exit
    /// code 3: not all couriers honour them
    Show {
        /// Only this tenant
        #[arg(long)]
        tenant: Option<String>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Set how long ended messages are kept; a longer time applies to messages that end from now on
    Set {
        /// The messages concerned.
        #[command(flatten)]
        whose: MessageSelection,
        /// How long to keep them: 30days, 12h
        #[arg(long, value_name = "TIME")]
        keep: String,
        /// How often each message may be sent again; not at all if absent
        #[arg(long, value_name = "TIMES")]
        replays: Option<u8>,
    },
    /// Stop the deletion by age, or resume it
    Hold {
        /// The messages concerned: those of an existing policy.
        #[command(flatten)]
        whose: MessageSelection,
        /// Resume the deletion by age
        #[arg(long)]
        release: bool,
    },
    /// Forget all messages that ended up to a time, for good, in the whole fleet
    Forget {
        /// The messages concerned.
        #[command(flatten)]
        whose: MessageSelection,
        /// End of the span to forget (2026-12-01T18:00:00Z); now if absent
        #[arg(long, value_name = "TIME")]
        until: Option<String>,
        /// Forget messages under a hold too
        #[arg(long)]
        despite_hold: bool,
    },
}

/// Selects the messages to send again.
#[derive(Debug, Clone, clap::Args)]
pub struct ReplaySelection {
    /// Name of the tenant
    #[arg(long)]
    pub tenant: String,
    /// Number of the destination
    #[arg(long, value_name = "NUMBER")]
    pub destination: u16,
    /// Start of the span in which the messages ended (2026-12-01T18:00:00Z)
    #[arg(long, value_name = "TIME")]
    pub since: String,
    /// End of the span, exclusive
    #[arg(long, value_name = "TIME")]
    pub until: String,
    /// The partner has lost the messages, and accepts repeats of those that it may have seen
    #[arg(long)]
    pub lost: bool,
    /// Reason, such as a ticket number. The same selection and reason make the same order
    #[arg(long)]
    pub reason: String,
}

/// Actions on replays.
#[derive(Debug, Subcommand)]
pub enum Replay {
    /// Show how many messages would be sent, and how many may not be sent and why; nothing is sent
    Plan {
        /// The messages to send again.
        #[command(flatten)]
        want: ReplaySelection,
    },
    /// Send the messages, after all live traffic; an order that already runs continues unchanged
    Run {
        /// The messages to send again.
        #[command(flatten)]
        want: ReplaySelection,
    },
    /// Show the progress of orders in the whole fleet
    Status {
        /// Show only the order with this id
        id: Option<String>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Stop an order: no further message is sent, and calls in flight finish
    Stop {
        /// Id of the order, as `status` shows it
        id: String,
    },
}

/// Selects the instance.
#[derive(Debug, Clone, clap::Args)]
pub struct Socket {
    /// Socket of the control channel, if it is not the one that the control file names
    #[arg(long, global = true, value_name = "PATH")]
    pub socket: Option<PathBuf>,
}

/// Actions on drains.
#[derive(Debug, Subcommand)]
pub enum Drain {
    /// Start a drain, or set a new deadline for the drain with the same scope
    Start {
        /// The deadline: a length of time (90s, 5m) or a time (2026-12-01T18:00:00Z)
        #[arg(long)]
        by: String,
        /// Reason, for people who look at the drain
        #[arg(long, default_value = "")]
        reason: String,
        /// URI that clients may use during the drain
        #[arg(long, value_name = "URI")]
        elsewhere: Option<String>,
        /// Only messages from this frontend: platform or mail
        #[arg(long)]
        front: Option<String>,
        /// Only messages to this destination
        #[arg(long)]
        dest: Option<u16>,
        /// Only messages of this class
        #[arg(long)]
        class: Option<String>,
        /// Only messages of this tenant
        #[arg(long)]
        tenant: Option<String>,
        /// Watch the drain until it ends
        #[arg(long)]
        wait: bool,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the progress of drains
    Status {
        /// Show only this drain
        id: Option<u64>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Watch a drain until it ends; exit code 0: emptied, 3: messages were given up at the deadline, 4: cancelled, 5: all
    /// messages left at the deadline were handed back
    Watch {
        /// Id of the drain; the only active drain if absent
        id: Option<u64>,
        /// Interval between two looks, in milliseconds
        #[arg(long, default_value_t = 500)]
        every_ms: u64,
    },
    /// Cancel a drain, and accept messages as before; exit code 3 if its deadline has passed already
    Cancel {
        /// Id of the drain; the only active drain if absent
        id: Option<u64>,
    },
    /// Close a finished drain, and accept messages again
    Close {
        /// Id of the drain; the only active drain if absent
        id: Option<u64>,
    },
}

/// Actions on the registry of backends.
#[derive(Debug, Subcommand)]
pub enum Register {
    /// Print the list that is kept in the state folder, and its age
    Show {
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Write the kept list as a static file
    Export {
        /// File to write; standard output if absent
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Replace an existing file
        #[arg(long)]
        force: bool,
    },
    /// Check a list and replace the operators' static file with it; a running instance reads the new file by itself
    Import {
        /// File with the list, in discovery's format
        file: PathBuf,
        /// Add to the static file: entries that are not in the list stay
        #[arg(long)]
        merge: bool,
    },
}
