//! Rules that can't be checked under a scenario's faults on links.

use crate::scenario::Scenario;
use indigohold_relay::{LinkName, Way, What};

/// What the recorded times do not show of what the courier knew, because of a scenario's faults on links. The emulator records
/// when bytes left it or reached it; a link may hold or lose them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkUncertainty {
    /// Calls may reach endpoints later than they were sent.
    pub calls_late: bool,
    /// Responses of endpoints may be late or lost.
    pub answers_lost: bool,
    /// Updates of discovery's list and notices may be late.
    pub register_late: bool,
    /// Responses to clients may be late or lost.
    pub clients_lost: bool,
}

impl LinkUncertainty {
    /// The uncertainty that a scenario's rules for links cause.
    pub fn of_scenario(scenario: &Scenario) -> LinkUncertainty {
        let mut out = LinkUncertainty::default();
        let count = scenario.courier.instances;
        for rule in scenario.links.iter().filter(|r| r.chance > 0.0) {
            let endpoints = scenario.destinations.count * scenario.destinations.endpoints.1;
            let hits = |to: &str| (0..count).any(|n| rule.links.has(&LinkName::new(format!("c{n}"), to)));
            let partners = (0..endpoints).any(|n| hits(&format!("e{n}")));
            let clients = (0..count).any(|n| rule.links.has(&LinkName::new("clients", format!("c{n}"))));
            let up = rule.ways.contains(&Way::Up);
            let slows = matches!(rule.what, What::Mute | What::Delay { .. } | What::Rate(_) | What::Pause(_));
            let cuts = matches!(rule.what, What::Fin | What::Rst);
            out.calls_late |= partners && up && slows;
            out.answers_lost |= partners && (cuts || rule.ways.contains(&Way::Down));
            out.register_late |= hits("registry");
            out.clients_lost |= clients;
        }
        out
    }

    /// Whether the recorded times can't show a violation of this rule.
    pub fn hides(&self, rule: &str) -> bool {
        match rule {
            "in time" | "one out" => self.calls_late || self.answers_lost,
            "wait" => self.calls_late || self.answers_lost,
            "drain" => self.calls_late || self.register_late,
            "taken first" => self.clients_lost,
            // A client without a response submits under a new id what may be accepted already.
            "twice" => self.clients_lost,
            _ => false,
        }
    }
}
