//! The register and the notices.

use super::*;

impl Run<'_> {
    pub(super) fn list_json(&self, of: Instance, which: &[EndpointNo], whole: bool) -> String {
        let entry = |at: &EndpointNo| {
            let dest = self.world.dest_of(*at);
            let weight = self.world.endpoints_of(dest).next().map_or(1.0, |(_, _, w)| w);
            wire::entry(*at, dest, weight, self.states[*at as usize], self.told_addr(of, *at))
        };
        let entries: Vec<String> = which
            .iter()
            .filter(|at| !whole || self.states[**at as usize] != Listed::Gone)
            .map(entry)
            .collect();
        let generation = self.changes.len() + 1;
        format!("{{\"generation\":{generation},\"reset\":{whole},\"instances\":[{}]}}", entries.join(","))
    }

    /// Where an instance is told that an endpoint is.
    pub(super) fn told_addr(&self, of: Instance, at: EndpointNo) -> SocketAddr {
        self.dialled.get(&endpoint_link(of, at)).copied().unwrap_or(self.addrs[&(of, at)])
    }

    pub(super) fn registry_is_down(&self) -> bool {
        let at = (self.now() - self.began).secs();
        self.scenario.registry.down.iter().any(|(from, to)| *from <= at && at < *to)
    }

    pub(super) fn registry(&mut self, token: usize, of: Instance, asked: &Asked) -> io::Result<()> {
        if asked.path.starts_with("/v1/notices") {
            for notice in wire::notices(&asked.body) {
                match notice {
                    Ok(notice) => self.noticed(of, &notice),
                    Err(what) => self.found.findings.push(format!("a notice that can't be read: {what}")),
                }
            }
            self.write(token, b"HTTP/1.1 204 No Content\r\n\r\n");
            return Ok(());
        }
        let conf = &self.scenario.registry;
        let (serves, waits) = (Micros::from_secs(conf.serves), Micros::from_secs(conf.waits));
        let watch = asked.path.contains("watch=1");
        if serves.0 == 0 {
            return self.serve(token, of, watch);
        }
        // One call after another: who has waited for too long is turned away when that is so.
        let now = self.now();
        let begins = self.register_free.max(now);
        let at = if begins - now > waits { now + waits } else { begins + serves };
        if begins - now <= waits {
            self.register_free = begins + serves;
        }
        self.at(at, Due::Serves(of, token, watch));
        Ok(())
    }

    /// Its turn has come, or it has waited for too long.
    pub(super) fn serve(&mut self, token: usize, of: Instance, watch: bool) -> io::Result<()> {
        let conf = &self.scenario.registry;
        let late = conf.serves > 0.0 && self.register_free > self.now() + Micros::from_secs(conf.waits);
        let answered = !self.registry_is_down() && !late;
        self.put(Fact::Asked { by: of, answered });
        if !answered {
            if let Some(conn) = self.conns.get_mut(&token) {
                conn.last = true;
            }
            self.write(
                token,
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
            return Ok(());
        }
        let all: Vec<EndpointNo> = (0..self.states.len() as EndpointNo).collect();
        let list = self.list_json(of, &all, true);
        if !watch {
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            self.write(token, text.as_bytes());
            return Ok(());
        }
        for at in all {
            let state = self.states[at as usize];
            if state != Listed::Up {
                self.put(Fact::Listed { to: of, endpoint: at, state });
            }
        }
        if let Some(Conn { kind: Kind::Registry { watches, .. }, .. }) = self.conns.get_mut(&token) {
            *watches = true;
        }
        self.write(token, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.write(token, wire::chunk(&format!("{list}\n")).as_bytes());
        let at = self.now() + HEARTBEAT;
        self.at(at, Due::Heartbeat(of, token));
        Ok(())
    }

    pub(super) fn watchers(&self, of: Instance) -> Vec<usize> {
        let watches = |c: &Conn| matches!(c.kind, Kind::Registry { of: o, watches: true } if o == of);
        self.conns.iter().filter(|(_, c)| watches(c)).map(|(t, _)| *t).collect()
    }

    pub(super) fn list_changes(&mut self, at: EndpointNo, state: Listed) {
        self.states[at as usize] = state;
        self.changes.push((at, state));
        let change = self.changes.len() - 1;
        let now = self.now();
        for n in 0..self.line_at.len() {
            let (low, high) = self.scenario.registry.late;
            let late = if low < high { self.lists.random_range(low..high) } else { low };
            self.line_at[n] = self.line_at[n].max(now + Micros::from_secs(late));
            self.at(self.line_at[n], Due::Line(n as Instance, change));
        }
    }

    pub(super) fn line(&mut self, to: Instance, change: usize) {
        let (endpoint, state) = self.changes[change];
        let watchers = self.watchers(to);
        if watchers.is_empty() {
            return;
        }
        let dest = self.world.dest_of(endpoint);
        let weight = self.world.endpoints_of(dest).next().map_or(1.0, |(_, _, w)| w);
        let entry = wire::entry(endpoint, dest, weight, state, self.told_addr(to, endpoint));
        let text = format!("{{\"generation\":{},\"reset\":false,\"instances\":[{entry}]}}\n", change + 2);
        for token in watchers {
            self.write(token, wire::chunk(&text).as_bytes());
        }
        self.put(Fact::Listed { to, endpoint, state });
    }
}
