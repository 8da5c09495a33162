//! What a courier keeps of messages that have ended: how long, who may see or send them again, and what must be forgotten
//! (`docs/design/history.md`). No I/O, no clock, no threads but in [`store`] and
//! [`keeper`], which write one file, and [`shelf`], by which a thread of its own does.

mod clearing;
pub mod config;
mod file;
pub mod given;
pub mod hearing;
mod index;
pub mod keeper;
mod kept;
mod named_positions;
pub mod order;
mod ordered;
pub mod orders;
pub mod reading;
pub mod replay;
pub mod replay_rider;
pub mod retention;
pub mod rider;
pub mod said;
pub mod shelf;
pub mod store;
mod taking;
