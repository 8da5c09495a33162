//! What is there before the first message is, and the run from then to its end.

use super::*;

impl Run<'_> {
    pub(super) fn listen(
        &mut self, of: Instance, at: Option<EndpointNo>, addr: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let token = self.token();
        let mut listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listeners.insert(token.0, (listener, of, at));
        Ok(addr)
    }

    /// Where to dial a party: itself, or the relay before it.
    pub(super) fn dial(&mut self, name: LinkName, target: SocketAddr) -> io::Result<SocketAddr> {
        let Some(relay) = &self.relay else { return Ok(target) };
        if let Some(addr) = self.dialled.get(&name) {
            return Ok(*addr);
        }
        let addr = relay.link(name.clone(), target)?;
        self.dialled.insert(name, addr);
        Ok(addr)
    }

    pub(super) fn prepare(&mut self, streams: Streams) -> io::Result<()> {
        if !self.scenario.links.is_empty() {
            // Two links keep no order between them, and the rules ask which was first, an answer or a call: clients go through
            // the relay only where a fault is meant for them.
            let to_clients = |n| LinkName::new("clients", format!("c{n}"));
            let meant = |r: &Rule| (0..self.scenario.courier.instances).any(|n| r.links.has(&to_clients(n)));
            self.clients_by_relay = self.scenario.links.iter().any(meant);
            self.relay = Some(Relay::start(streams.number("links"), Vec::new(), Limits::default())?);
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        for n in 0..self.scenario.courier.instances as Instance {
            let registry = self.listen(n, None, any)?;
            for at in 0..self.states.len() as EndpointNo {
                let addr = self.listen(n, Some(at), any)?;
                self.addrs.insert((n, at), addr);
                self.dial(endpoint_link(n, at), addr)?;
            }
            let registry = self.dial(LinkName::new(format!("c{n}"), "registry"), registry)?;
            let list = self.list_json(n, &(0..self.states.len() as EndpointNo).collect::<Vec<_>>(), true);
            let known: serde_json::Value = serde_json::from_str(&list).map_err(io::Error::other)?;
            let seed = streams.number(&format!("courier/{n}"));
            let config = process::config(self.scenario, registry, seed, known);
            self.fleet.start(n, config)?;
        }
        let until = self.now() + READY;
        while self.serving.iter().any(Option::is_none) {
            if self.now() > until {
                return Err(io::Error::other("not all instances were ready within 30 s"));
            }
            self.turn()?;
        }
        self.began = self.now();
        self.record.began = self.began;
        self.record.facts.iter_mut().for_each(|(at, _)| *at = self.began);
        Ok(())
    }

    pub(super) fn go(&mut self) -> io::Result<()> {
        for (n, kill) in self.scenario.kills.iter().enumerate() {
            for one in 0..kill.count {
                self.at(self.began + Micros::from_secs(kill.at + kill.apart * one as f64), Due::Kill(n));
            }
        }
        for down in &self.scenario.registry.down {
            self.at(self.began + Micros::from_secs(down.0), Due::RegisterDown);
        }
        for (n, pause) in self.scenario.pauses.iter().enumerate() {
            for _ in 0..pause.count {
                self.at(self.began + Micros::from_secs(pause.at), Due::Pause(n));
            }
        }
        let copied = |k: &Kill| if let Folder::Older(at) = k.folder { Some(at) } else { None };
        for at in self.scenario.kills.iter().filter_map(copied) {
            self.at(self.began + Micros::from_secs(at), Due::Copy);
        }
        if let Some(relay) = &self.relay {
            // The scenario's time begins now, the relay's began before.
            let age = relay.age().as_secs_f64();
            for rule in &self.scenario.links {
                relay.add(rule.clone().during(rule.during.0 + age, rule.during.1 + age))?;
            }
        }
        let longest = self.scenario.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let wanted_until = self.began + Micros::from_secs(self.scenario.seconds);
        let until = wanted_until + longest + AFTER;
        self.coming = self.wants.next();
        loop {
            let now = self.now();
            while let Some(wanted) = self.coming.filter(|w| self.began + w.at <= now) {
                self.wanted(wanted)?;
                self.coming = self.wants.next();
            }
            let owed = self.coming.is_some() || self.messages.iter().any(|m| !m.over);
            if now > until || !owed && now > wanted_until {
                return Ok(());
            }
            self.turn()?;
        }
    }
}
