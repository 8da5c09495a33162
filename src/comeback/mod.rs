//! Recovery after a restart: what a process run stores for the next one, and how long the next one uses it. The module does
//! no I/O, reads no clock and starts no threads.

pub mod memory;
