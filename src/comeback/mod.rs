//! Coming back: what a life remembers for the next one, and how far the next one believes it. No I/O, no clock, no threads.

pub mod memory;
