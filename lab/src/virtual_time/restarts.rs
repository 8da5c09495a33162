//! Starts and ends of the courier's processes in virtual time.

use super::life::{Life, Stage};
use super::{Event, Run, ENDS};
use crate::record::{Fact, Instance, MsgNo};
use crate::scenario::Effect;
use indigohold::core::{ListUpdate, Source};
use indigohold::Micros;
use rand::Rng;

impl Run {
    pub(super) fn start(&mut self, n: Instance) {
        let (now, seed) = (self.now, self.streams.number(&format!("courier/{n}/{}", self.now.0)));
        let machine = &mut self.machines[n as usize];
        machine.lives += 1;
        let number = machine.lives;
        let disk = self.scenario.courier.disk;
        let sender = self.policy.build(&self.settings, seed);
        machine.life = Some(Life::new(sender, &self.settings, machine.disk.clone(), disk, seed, now, number));
        self.put(Fact::Up(n));
        if !self.scenario.courier.lists_what_it_uses {
            let lines = self.lines();
            self.tell(n, ListUpdate::full(Source::Configured, 1, lines, now));
        }
        let Some(life) = self.life(n, number) else { return };
        life.core.tick(now);
        self.settle(n);
    }

    pub(super) fn kill(&mut self, k: usize) {
        let kill = self.scenario.kills[k].clone();
        let alive: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].life.as_ref().is_some_and(|l| l.ending.is_none()))
            .collect();
        if alive.is_empty() {
            return;
        }
        let n = alive[self.kills.random_range(0..alive.len())] as Instance;
        if !kill.gently {
            return self.ends(n, k);
        }
        let (now, until) = (self.now, self.now + ENDS);
        self.put(Fact::Ending(n));
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        life.ending = Some(now);
        life.core.stop(until);
        let number = life.number;
        self.at(until, Event::Ends(n, number, k));
    }

    pub(super) fn ends(&mut self, n: Instance, k: usize) {
        let kill = self.scenario.kills[k].clone();
        let Some(life) = self.machines[n as usize].life.take() else { return };
        for out in life.out.into_values() {
            if let Stage::Out(call) = out.stage {
                self.world.give_up(call);
                self.calls.remove(&call);
            }
            if out.stage != Stage::Connecting {
                self.world.disconnect(out.to);
            }
        }
        for (endpoint, idle) in life.idle {
            idle.iter().for_each(|_| self.world.disconnect(endpoint));
        }
        self.put(Fact::Down(n, kill.loses_disk));
        if kill.loses_disk {
            self.machines[n as usize].disk.clear();
            self.pass_on(n);
        }
        self.at(self.now + Micros::from_secs(kill.away), Event::Starts(n));
    }

    /// What a lost machine held is handed to others, unless it may have run and must not be repeated.
    pub(super) fn pass_on(&mut self, n: Instance) {
        for msg in 0..self.messages.len() {
            let m = &mut self.messages[msg];
            if m.holder != Some(n) || m.over {
                continue;
            }
            m.holder = None;
            let repeats = self.scenario.classes[m.class].effect != Effect::Unsafe;
            if m.began && !repeats {
                m.over = true;
                self.put(Fact::Abandoned { msg: msg as MsgNo });
            } else {
                self.come_again(msg as MsgNo, Some(Micros(1_000_000)));
            }
        }
    }
}
