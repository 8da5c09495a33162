//! The list of backends: a watch on discovery, reopened whenever the module asks for it.

use super::http::{self, Body};
use super::{Platform, FRONT};
use crate::api::Micros;
use crate::core::{ListLine, ListState, Report};
use crate::net::conn;
use crate::settings::Names;
use crossbeam_channel::Receiver;
use serde::Deserialize;
use std::io::{self, ErrorKind};

/// Discovery answers a call within so long, or it has failed.
const FIRST: Micros = Micros(3_000_000);
/// A watch says something, if only an empty line, every 2 s; one silent for so long is dead. Danger: a machine
/// that vanished says nothing and its connections stay open.
const SILENT: Micros = Micros(5_000_000);
/// Longest line that is believed.
const LINE_MOST: usize = 1 << 20;

/// A list, or the changes to one, as discovery writes it.
#[derive(Deserialize, Default)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// The whole list.
    #[serde(default)]
    pub reset: bool,
    /// The lines.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// One line of it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    cell: u16,
    lifecycle: String,
    weight: Option<f64>,
}

impl List {
    /// The few values that the program uses. A line that names no address or an unknown state is passed over.
    pub fn backends(self, names: &Names) -> Vec<ListLine> {
        self.instances.into_iter().filter_map(|i| i.backend(names)).collect()
    }
}

impl Instance {
    fn backend(self, names: &Names) -> Option<ListLine> {
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0);
        Some(ListLine {
            addr: self.host_port.parse().ok()?,
            dest: self.cell,
            kind: place(&names.kinds, &self.machine_type) as u8,
            zone: place(&names.zones, &self.zone) as u16,
            state: match self.lifecycle.as_str() {
                "up" => ListState::Up,
                "draining" => ListState::Draining,
                "removed" => ListState::Gone,
                _ => return None,
            },
            weight: self.weight.unwrap_or(1.0),
            rank: 0,
            name: self.instance_id,
        })
    }
}

/// Opens a watch whenever one is asked for, and reports until it ends. One that ended because discovery has moved is
/// opened anew at once.
pub fn work(platform: &Platform, orders: &Receiver<()>, mut version: u64) {
    while let Ok(()) = orders.recv() {
        loop {
            // One watch serves all wishes so far.
            orders.try_iter().for_each(drop);
            let addr = platform.site.addr();
            if let Err(e) = watch(platform, &mut version) {
                eprintln!("indigohold: the watch on the list at {addr} ended: {e}");
            }
            if platform.site.addr() == addr {
                break;
            }
        }
        platform.courier.report(Report::ListFailed);
    }
}

fn watch(platform: &Platform, version: &mut u64) -> io::Result<()> {
    let clock = &platform.courier.clock;
    let within = |span| clock.instant(clock.now() + span);
    let until = within(FIRST);
    let stream = platform.site.connect(until)?;
    let host = stream.peer_addr()?;
    let request = format!("GET /registry/instances?watch=1&after={version} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    conn::write_all(&stream, request.as_bytes(), until)?;
    let mut buf = platform.pool.get();
    let mut lines = Lines::default();
    let mut told = false;
    loop {
        let n = conn::read(&stream, &mut buf, if told { within(SILENT) } else { until })?;
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        lines.push(&buf[..n]).map_err(io::Error::other)?;
        while let Some(mut line) = lines.next_line() {
            told = true;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let list: List = simd_json::serde::from_slice(&mut line).map_err(io::Error::other)?;
            *version = list.generation;
            let whole = list.reset;
            let backends = list.backends(&platform.names);
            platform.courier.report(Report::List { front: FRONT, whole, backends, fresh: true });
        }
        if lines.ended {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

/// The lines of an answer that stays open, put together from reads cut anywhere.
#[derive(Default)]
pub struct Lines {
    /// Bytes not understood yet: the head, or a chunk's size line.
    raw: Vec<u8>,
    body: Option<Body>,
    /// What is left of the present chunk, its line end included.
    chunk: usize,
    text: Vec<u8>,
    /// The answer has come to its end.
    pub ended: bool,
}

impl Lines {
    /// Takes in what was read.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.raw.extend(bytes);
        if self.body.is_none() {
            let Some(head) = http::answer(&self.raw, &[]).map_err(|b| b.status().to_owned())? else {
                return Ok(());
            };
            if head.status != 200 {
                return Err(format!("discovery answered {}", head.status));
            }
            self.raw.drain(..head.head);
            self.body = Some(head.body);
        }
        if self.body == Some(Body::Chunked) {
            self.unchunk()?;
        } else {
            self.text.append(&mut self.raw);
        }
        if self.text.len() > LINE_MOST {
            return Err("a line of the list is too long".into());
        }
        Ok(())
    }

    fn unchunk(&mut self) -> Result<(), String> {
        while !self.raw.is_empty() && !self.ended {
            if self.chunk > 0 {
                // The last two bytes of a chunk are its line end.
                let n = self.chunk.min(self.raw.len());
                let text = self.chunk.saturating_sub(2).min(n);
                self.text.extend(&self.raw[..text]);
                self.raw.drain(..n);
                self.chunk -= n;
                continue;
            }
            match httparse::parse_chunk_size(&self.raw) {
                Ok(httparse::Status::Complete((_, 0))) => self.ended = true,
                Ok(httparse::Status::Complete((at, size))) if size <= LINE_MOST as u64 => {
                    self.raw.drain(..at);
                    self.chunk = size as usize + 2;
                }
                Ok(httparse::Status::Partial) if self.raw.len() < 64 => return Ok(()),
                _ => return Err("a chunk of the list is malformed".into()),
            }
        }
        Ok(())
    }

    /// The next whole line, without its end.
    pub fn next_line(&mut self) -> Option<Vec<u8>> {
        let end = self.text.iter().position(|b| *b == b'\n')?;
        let mut line: Vec<u8> = self.text.drain(..=end).collect();
        line.pop();
        Some(line)
    }
}
