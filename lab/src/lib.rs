//! The lab: an emulator of the world around the courier (partners, clients, the register, machines that die), and the
//! experiments on top of it. `docs/design/lab.md` says how it is cut and why, `docs/operators/lab.md` how to use it.
//!
//! ```
//! use indigohold_lab::{figures, policies::Policy, rules, scenario::Scenario, virtual_time};
//!
//! let scenario = Scenario::read(br#"{"seconds": 3, "clients": {"rate": 20}}"#).unwrap();
//! let record = virtual_time::run(&scenario, Policy::Indigohold, 1);
//! assert!(rules::check(&record, &scenario).is_empty());
//! assert!(figures::figures(&record, &scenario).goodput > 0.9);
//! ```

pub mod clients;
pub mod deployments;
pub mod experiment;
pub mod figures;
pub mod fleet;
pub mod load;
pub mod policies;
pub mod record;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod sockets;
pub mod streams;
pub mod virtual_time;
pub mod world;
