//! The interface: what a sender is told and what it may do. Types only; every decision is in `src/policy/`.

mod decision_engine;
mod events;
mod ids;
mod settings;

pub use decision_engine::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
