//! Discovery in virtual time: full lists, updates and outages.

use super::{Event, Run, HEARTBEAT};
use crate::record::{Fact, Instance};
use crate::world::{EndpointNo, Listed};
use indigohold::core::{EndpointRecord, EndpointState, ListUpdate, Report, Source};
use indigohold::Micros;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};

impl Run {
    pub(super) fn line(&self, endpoint: EndpointNo, state: Listed) -> EndpointRecord {
        let dest = self.world.dest_of(endpoint);
        let weight = self.world.endpoints_of(dest).next().map_or(1.0, |(_, _, w)| w);
        line_of(endpoint, dest, weight, state)
    }

    pub(super) fn lines(&self) -> Vec<EndpointRecord> {
        let all = self.world.list().filter(|(n, ..)| self.states[*n as usize] != Listed::Gone);
        all.map(|(n, dest, weight)| line_of(n, dest, weight, self.states[n as usize])).collect()
    }

    /// An instance that is told only what it uses hears of a destination when its clients first do.
    pub(super) fn teach(&mut self, n: Instance, dest: usize) {
        if !self.scenario.courier.lists_what_it_uses {
            return;
        }
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        if !life.taught.insert(dest) {
            return;
        }
        let generation = self.changes.len() as u64 + 1;
        let of = |(n, d, w): (EndpointNo, usize, f64)| {
            (d == dest).then(|| line_of(n, d, w, self.states[n as usize]))
        };
        let lines: Vec<EndpointRecord> =
            self.world.endpoints_of(dest).filter_map(of).filter(|l| l.state != EndpointState::Gone).collect();
        self.tell(
            n,
            ListUpdate {
                is_full_list: false,
                ..ListUpdate::full(Source::Discovery, generation, lines, self.now)
            },
        );
    }

    pub(super) fn tell(&mut self, n: Instance, word: ListUpdate) {
        let now = self.now;
        if let Some(life) = self.machines[n as usize].life.as_mut() {
            life.core.report(now, Report::List { front: 0, update: word });
            self.settle(n);
        }
    }

    pub(super) fn registry_is_down(&self) -> bool {
        let at = self.secs();
        self.scenario.registry.down.iter().any(|(from, to)| *from <= at && at < *to)
    }

    /// One call after another, if the scenario says so.
    pub(super) fn asked(&mut self, n: Instance, number: u32) {
        let conf = &self.scenario.registry;
        let (serves, waits) = (Micros::from_secs(conf.serves), Micros::from_secs(conf.waits));
        let begins = self.register_free.max(self.now);
        let answered = !self.registry_is_down() && begins - self.now <= waits;
        self.put(Fact::Asked { by: n, answered });
        if !answered {
            return self.step(Event::ListFails(n, number));
        }
        self.register_free = begins + serves;
        self.at(begins + serves, Event::Answered(n, number));
    }

    pub(super) fn tell_whole(&mut self, n: Instance, number: u32) {
        if self.registry_is_down() {
            return self.step(Event::ListFails(n, number));
        }
        let generation = self.changes.len() as u64 + 1;
        let only = self.scenario.courier.lists_what_it_uses;
        let now = self.now;
        let Some(life) = self.life(n, number) else { return };
        life.watching = true;
        if only {
            life.core.report(now, Report::ListUnchanged(0));
            return self.settle(n);
        }
        for endpoint in 0..self.states.len() as EndpointNo {
            let state = self.states[endpoint as usize];
            if state != Listed::Up {
                self.put(Fact::Listed { to: n, endpoint, state });
            }
        }
        let lines = self.lines();
        self.tell(n, ListUpdate::full(Source::Discovery, generation, lines, self.now));
        self.at(self.now + HEARTBEAT, Event::Heartbeat(n, number));
    }

    pub(super) fn list_changes(&mut self, endpoint: EndpointNo, state: Listed) {
        self.states[endpoint as usize] = state;
        self.changes.push((endpoint, state));
        let change = self.changes.len() - 1;
        for n in 0..self.machines.len() {
            let (low, high) = self.scenario.registry.late;
            let late = if low < high { self.lists.random_range(low..high) } else { low };
            let Some(life) = self.machines[n].life.as_mut().filter(|l| l.watching) else { continue };
            // One after another, however late.
            life.list_at = life.list_at.max(self.now + Micros::from_secs(late));
            let (at, number) = (life.list_at, life.number);
            self.at(at, Event::Listed(n as Instance, number, change));
        }
    }
}

fn line_of(endpoint: EndpointNo, dest: usize, weight: f64, state: Listed) -> EndpointRecord {
    EndpointRecord {
        name: format!("e{endpoint}"),
        addr: SocketAddr::from((Ipv4Addr::from(0x0A00_0000 + endpoint), 80)),
        dest: dest as u16,
        kind: "".into(),
        zone: "".into(),
        state: match state {
            Listed::Up => EndpointState::Up,
            Listed::Draining => EndpointState::Draining,
            Listed::Gone => EndpointState::Gone,
        },
        weight,
        rank: 0,
    }
}
