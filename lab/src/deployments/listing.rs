//! The small world's list: whole, with changes, late and broken.

use super::play::{Event, Play, LISTS_OF_TROUBLE};
use super::seen::Line;
use indigohold::core::{EndpointRecord, EndpointState, ListUpdate, Report, Source};
use indigohold::{DiscoveryMode, Micros};
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

impl Play {
    pub(super) fn whole(&mut self) {
        if self.wrong(LISTS_OF_TROUBLE) {
            self.watching = false;
            self.core.report(self.now, Report::ListFailed(0));
            if self.settings.discovery == DiscoveryMode::Push {
                self.after(Micros(400_000), Event::Whole);
            }
            return;
        }
        self.watching = true;
        let mut lines = Vec::new();
        for dest in 0..self.world.endpoints.len() {
            lines.extend((0..self.world.endpoints[dest]).map(|n| self.line(dest, n, EndpointState::Up)));
        }
        self.tell(true, lines);
    }

    /// An endpoint drains, goes or comes back, and watches break.
    pub(super) fn changes(&mut self) {
        let at = self.millis(200.0, 2_000.0);
        self.after(at, Event::Changes);
        if !self.watching || !self.wrong(LISTS_OF_TROUBLE) {
            return;
        }
        if self.wrong(0.5) {
            self.watching = false;
            self.core.report(self.now, Report::ListFailed(0));
            if self.settings.discovery == DiscoveryMode::Push {
                self.after(Micros(100_000), Event::Whole);
            }
            return;
        }
        let dest = self.rng.random_range(0..self.world.endpoints.len());
        let n = self.rng.random_range(0..self.world.endpoints[dest]);
        let state =
            [EndpointState::Up, EndpointState::Draining, EndpointState::Gone][self.rng.random_range(0..3)];
        let line = self.line(dest, n, state);
        self.tell(false, vec![line]);
    }

    /// The kind of a destination's endpoints; one destination in so many has a kind that the settings do not list.
    fn kind_name(&self, dest: usize) -> Arc<str> {
        let kinds = &self.settings.kinds;
        let listed = kinds.get(dest % (kinds.len() + 1));
        listed.map_or("unlisted", |kind| kind.name.as_str()).into()
    }

    fn line(&self, dest: usize, n: usize, state: EndpointState) -> EndpointRecord {
        let number = (dest * 100 + n) as u32;
        EndpointRecord {
            name: format!("e{number}"),
            addr: SocketAddr::from((Ipv4Addr::from(0x0A00_0000 + number), 80)),
            dest: dest as u16,
            kind: self.kind_name(dest),
            // The settings name no more than the first two.
            zone: ["a", "b", "c", "d"][n % 4].into(),
            state,
            weight: self.world.weight,
            rank: 0,
        }
    }

    fn tell(&mut self, whole: bool, lines: Vec<EndpointRecord>) {
        let now = self.now;
        for line in &lines {
            let before = self.seen.lines.get(&line.name).and_then(|l| l.closed);
            let closed = (line.state != EndpointState::Up).then(|| before.unwrap_or(now));
            let seen = Line { dest: line.dest, kind: line.kind.clone(), zone: line.zone.clone(), closed };
            self.seen.lines.insert(line.name.clone(), seen);
        }
        self.generation += 1;
        let word = ListUpdate {
            is_full_list: whole,
            ..ListUpdate::full(Source::Discovery, self.generation, lines, now)
        };
        self.core.report(now, Report::List { front: 0, update: word });
    }
}
