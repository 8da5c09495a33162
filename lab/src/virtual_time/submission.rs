//! Clients of a run in virtual time: submitting messages, retries, and notices of their ends.

use super::life::Machine;
use super::{Event, Message, Run, EPOCH, SERVES_ON};
use crate::clients::Wanted;
use crate::record::{Fact, Instance, MsgNo};
use indigohold::core::{Answer, Report};
use indigohold::store::Req;
use indigohold::Micros;
use rand::Rng;

impl Run {
    pub(super) fn next_wanted(&mut self) {
        self.coming = self.wants.next();
        if let Some(wanted) = self.coming {
            self.at((EPOCH + wanted.at).max(self.now), Event::Wanted);
        }
    }

    pub(super) fn wanted(&mut self) {
        let Some(Wanted { class, tenant, dest, .. }) = self.coming.take() else { return };
        let due = self.now + self.scenario.classes[class].deadline;
        let msg = self.messages.len() as MsgNo;
        let (holder, began, over) = (None, false, false);
        self.messages.push(Message { class, tenant, dest, due, tries: 0, holder, began, over });
        self.put(Fact::Wanted { msg, class: class as u16, tenant: tenant as u16, dest: dest as u32, due });
        self.hand_in(msg);
        self.next_wanted();
    }

    /// Whom a front would send a client to: one that serves.
    pub(super) fn an_instance(&mut self) -> Option<Instance> {
        let now = self.now;
        let serves =
            |m: &Machine| m.life.as_ref().is_some_and(|l| l.ending.is_none_or(|at| now < at + SERVES_ON));
        let serving: Vec<usize> = (0..self.machines.len()).filter(|n| serves(&self.machines[*n])).collect();
        let draw: f64 = self.places.random();
        serving.get((draw * serving.len() as f64) as usize).map(|n| *n as Instance)
    }

    pub(super) fn hand_in(&mut self, msg: MsgNo) {
        let Some(n) = self.an_instance() else { return self.come_again(msg, None) };
        let m = &mut self.messages[msg as usize];
        m.tries += 1;
        let (dest, now) = (m.dest, self.now);
        let req = Req {
            id: format!("{msg}.{}", m.tries),
            front: 0,
            dest: m.dest as u16,
            class: m.class as u16,
            tenant: m.tenant as u16,
            due: m.due,
            head: String::new(),
            body: self.body.clone(),
            keep_id_until: Micros(0),
        };
        self.put(Fact::HandedIn { msg, at: n });
        self.teach(n, dest);
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let answer = life.core.hand_in(now, vec![req]).pop();
        match answer {
            Some(Answer::Taken(id)) => {
                life.core.answered(now, &[(id, true)]);
                self.messages[msg as usize].holder = Some(n);
                self.put(Fact::Taken { msg, at: n });
            }
            Some(Answer::Refused(wait) | Answer::NoRoomForId(wait) | Answer::Draining { wait, .. }) => {
                self.put(Fact::Refused { msg, at: n, wait: Some(wait) });
                self.come_again(msg, Some(wait));
            }
            _ => {
                self.put(Fact::Refused { msg, at: n, wait: None });
                self.come_again(msg, None);
            }
        }
        self.settle(n);
    }

    /// The client comes again after a while, if its habits and the deadline allow.
    pub(super) fn come_again(&mut self, msg: MsgNo, wait: Option<Micros>) {
        let conf = &self.scenario.clients;
        let wait = wait.unwrap_or(conf.pause).scale(1.0 + 0.2 * self.clients.random::<f64>());
        let m = &mut self.messages[msg as usize];
        if m.tries <= conf.retries && self.now + wait < m.due {
            self.at(self.now + wait, Event::HandIn(msg));
        } else {
            m.over = true;
            self.put(Fact::Abandoned { msg });
        }
    }

    pub(super) fn noticed(&mut self, n: Instance, life: u32, id: u64, msg: MsgNo, wait: Option<Option<u64>>) {
        let now = self.now;
        self.put(Fact::Told { msg, by: n, harmless: wait.is_some() });
        // A life that has ended meanwhile tells it once more; the platform takes that without harm.
        if let Some(life) = self.life(n, life) {
            life.core.report(now, Report::NoticeDelivered(id));
            self.settle(n);
        }
        if self.messages[msg as usize].holder.take().is_some() {
            match wait {
                Some(wait) => self.come_again(msg, wait.map(Micros)),
                None => self.messages[msg as usize].over = true,
            }
        }
    }
}
