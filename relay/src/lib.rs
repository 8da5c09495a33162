//! A relay between any two parties on loopback, for tests and experiments: it refuses, holds, mutes, delays, slows, cuts and
//! garbles by rule. A rule is tied to links, numbers of connections, and bytes, so that a script meets the same bytes in
//! each run; `docs/operators/relay.md` is its guide and `docs/design/test-bed.md` says why it is cut like this.

pub mod air;
pub mod frames;
pub mod links;
pub mod mesh;
pub mod passage;
pub mod record;
pub mod relay;
pub mod rules;
pub mod script;

pub use air::{Faults, LinkCounts};
pub use links::LinkName;
pub use mesh::{Mesh, Place};
pub use record::Event;
pub use relay::{Counts, Limits, Relay, RuleNo};
pub use rules::{At, Rule, Way, What};
