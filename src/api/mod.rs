//! The types of the decision engine's interface: settings, events and actions. The decisions are in `src/policy/`.

mod decision_engine;
mod events;
mod ids;
mod settings;

pub use decision_engine::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
