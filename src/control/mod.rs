//! The operators' control channel: HTTP/1.1 with JSON on a socket of this machine. `docs/operators/control.md` is the
//! protocol. It is off unless the operators' file switches it on.
//!
//! What is asked for is read with the parsers of the platform's front, and every session, size and time is bounded.

pub mod client;
pub mod config;
pub mod fleet_query;
pub mod replay;
pub mod retention;
pub mod schema;
pub mod server;
