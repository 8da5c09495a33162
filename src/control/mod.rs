//! The operators' control channel: HTTP/1.1 with JSON over a Unix domain socket. `docs/operators/control.md` describes the
//! protocol. The channel is off unless the operators' file enables it.
//!
//! Requests are read with the parsers of the platform frontend. The number of sessions, the size of requests and answers,
//! and every wait are bounded.

pub mod client;
pub mod config;
pub mod fleet_query;
pub mod replay;
pub mod retention;
pub mod schema;
pub mod server;
