//! Batches: several messages for one backend in one call, each with an end of its own.

use super::answer::{self, hear_others, Came};
use super::fetch;
use super::http::AnswerHead;
use super::Platform;
use crate::api::Micros;
use crate::core::{End, Fetch};
use crate::net::pool::{PooledBuffer, MAX_BODY_BYTES};
use crate::net::{conn, errors};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// One message as the call writes it.
#[derive(Serialize)]
struct Item<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    key: &'a str,
    body: String,
}

/// The bytes that a message takes in a call, at most: quotes and backslashes in names take two.
fn weight(fetch: &Fetch) -> usize {
    const AROUND: usize = r#"{"id":"","key":"","body":""},"#.len();
    AROUND + 2 * (fetch.req.id.len() + fetch.req.head.len()) + 4 * fetch.req.body.len().div_ceil(3)
}

/// Danger: a body over 64 KiB is none. One that fills a call by itself goes by a plain one.
pub fn split(fetches: Vec<Fetch>) -> Vec<Vec<Fetch>> {
    let mut calls: Vec<Vec<Fetch>> = Vec::new();
    let mut room = 0;
    for fetch in fetches {
        let takes = weight(&fetch);
        match calls.last_mut().filter(|_| takes <= room) {
            Some(call) => call.push(fetch),
            None => {
                calls.push(vec![fetch]);
                room = MAX_BODY_BYTES - "[]".len();
            }
        }
        room = room.saturating_sub(takes);
    }
    calls
}

/// Carries out a batch; every member's end is told.
pub fn run(platform: &Platform, call: Vec<Fetch>) {
    let mut trip = Trip { platform, riding: call, over: Vec::new() };
    let spare = trip.go();
    let left = std::mem::take(&mut trip.riding);
    // Whoever is still here was never sent.
    left.into_iter().for_each(|fetch| trip.over.push((fetch, End::NotBegun)));
    trip.tell(Micros(0), &[]);
    if let Some((fetch, spare)) = spare {
        platform.conns.keep(&fetch.backend, spare, 0);
    }
}

/// A call on its way.
struct Trip<'a> {
    platform: &'a Platform,
    /// Members without an end.
    riding: Vec<Fetch>,
    /// Ends that are not told yet.
    over: Vec<(Fetch, End)>,
}

/// A connection that may serve again, and for whom.
type Spare = Option<(Fetch, Arc<TcpStream>)>;

impl Trip<'_> {
    fn go(&mut self) -> Spare {
        let clock = &self.platform.courier.clock;
        let first = self.riding.first()?.clone();
        // They have one deadline.
        let until = clock.instant(first.deadline);
        let (stream, reused) = match fetch::connected(self.platform, &first, until) {
            Ok(connected) => connected,
            Err(end) => {
                self.all(end);
                return None;
            }
        };
        let kept = |stream| Some((first.clone(), stream));
        let names: Vec<(u64, u8)> = self.riding.iter().map(|fetch| (fetch.msg, fetch.attempt)).collect();
        let mut open = self.platform.conns.fetches_connected(&names, &stream).into_iter();
        self.keep_those(|_| open.next().unwrap_or_default());
        // The last look before the first byte, for each by itself.
        hear_others(self.platform, &first);
        let mut go = self.platform.courier.begin_all(&self.riding).into_iter();
        self.keep_those(|_| go.next().unwrap_or_default());
        if self.riding.is_empty() || hear_others(self.platform, &first) {
            return kept(stream);
        }
        let mut buf = self.platform.pool.get();
        let Some(len) = self.write(&mut buf) else { return kept(stream) };
        // As with one message.
        if reused && !conn::is_idle(&stream) {
            self.all(End::NotBegun);
            return None;
        }
        let sent = Instant::now();
        if conn::write_all(&stream, &buf[..len], until).is_err() {
            // As with one message: its last byte was never written.
            self.all(if reused { End::NotBegun } else { End::NotConnected });
            return None;
        }
        for fetch in &self.riding {
            self.platform.courier.board.count_written();
            self.platform.conns.request_written(fetch.msg, fetch.attempt, fetch.req.dest);
        }
        if !self.wait(&stream, until, sent) {
            return None;
        }
        let (came, at) = answer::hear(self.platform, &first, &stream, &mut buf, until, true);
        let latency = Micros((at - sent).as_micros() as u64);
        let (load, reusable) = self.ends(came, &buf);
        if !reusable {
            // Closed before any end is told: what goes again at once would be a second copy.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.tell(latency, &load);
        if reusable {
            kept(stream)
        } else {
            None
        }
    }

    /// Who may not stay was never sent.
    fn keep_those(&mut self, mut stays: impl FnMut(&Fetch) -> bool) {
        let (stay, leave): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.riding).into_iter().partition(|f| stays(f));
        self.riding = stay;
        self.over.extend(leave.into_iter().map(|fetch| (fetch, End::NotBegun)));
    }

    fn all(&mut self, end: End) {
        self.over.splice(0..0, std::mem::take(&mut self.riding).into_iter().map(|fetch| (fetch, end)));
    }

    /// The request's bytes; `None` if they don't fit, or the time of all is up.
    fn write(&self, buf: &mut PooledBuffer) -> Option<usize> {
        let now = self.platform.courier.clock.now();
        let left_ms =
            self.riding.first().map(|fetch| (fetch.deadline - now).0 / 1000).filter(|ms| *ms > 0)?;
        let item = |fetch: &'_ Fetch| STANDARD.encode(&fetch.req.body);
        let items: Vec<Item> = self
            .riding
            .iter()
            .map(|fetch| Item { id: &fetch.req.id, key: &fetch.req.head, body: item(fetch) })
            .collect();
        let body = serde_json::to_vec(&items).ok().filter(|body| body.len() <= MAX_BODY_BYTES)?;
        let (size, host) = (buf.len(), self.riding.first()?.backend.addr);
        let mut rest = &mut buf[..];
        write!(rest, "POST /hook/batch HTTP/1.1\r\nHost: {host}\r\nReq-Deadline-Ms: {left_ms}\r\n").ok()?;
        write!(rest, "Content-Length: {}\r\n\r\n", body.len()).ok()?;
        rest.write_all(&body).ok()?;
        let unused = rest.len();
        Some(size - unused)
    }

    /// Waits for the first byte of the answer; `false`: in vain. All members are given up together: a call has one fate. Danger: one
    /// that may go again must not be told before the call is closed, or two copies are out.
    fn wait(&mut self, stream: &TcpStream, until: Instant, sent: Instant) -> bool {
        match conn::peek(stream, &mut [0], until) {
            Err(e) if errors::is_timeout(&e) => {
                // An error says that it is closed already.
                let _ = stream.shutdown(Shutdown::Both);
                self.all(End::TimedOut);
                self.tell(Micros(sent.elapsed().as_micros() as u64), &[]);
                false
            }
            _ => true,
        }
    }

    /// What the answer says of each member; the load it tells, and whether the connection may serve again.
    fn ends(&mut self, came: Came, buf: &PooledBuffer) -> (Vec<f32>, bool) {
        match came {
            Came::Nothing(end) => self.all(end),
            // What a half answer says of some is nothing that ends a message.
            Came::Unread { wait, .. } => self.all(End::Spoilt(wait)),
            Came::Head(head) => self.all(End::Spoilt(head.wait)),
            Came::Whole { head, len } => {
                match head.status {
                    200 => {
                        let mut states = States::read(&head, &buf[..len]);
                        let all = std::mem::take(&mut self.riding).into_iter();
                        self.over.splice(
                            0..0,
                            all.map(|fetch| {
                                let end = states.end(&fetch.req.id);
                                (fetch, end)
                            }),
                        );
                    }
                    // It says so: none has run.
                    400 | 413 => {
                        tracing::warn!(target: "platform", status = head.status, "a batch was not read");
                        self.all(End::Unsent);
                    }
                    _ => self.all(answer::end_of(&head)),
                }
                return (head.load, !head.close);
            }
        }
        (Vec::new(), false)
    }

    /// Tells the ends so far. What the call itself came to stands first: it speaks for the call.
    fn tell(&mut self, latency: Micros, load: &[f32]) {
        let conns = &self.platform.conns;
        let mut ends = std::mem::take(&mut self.over);
        for (fetch, end) in &mut ends {
            if conns.fetch_ended(fetch.msg, fetch.attempt) && *end == End::Broke {
                *end = End::CalledOff;
            }
        }
        if !ends.is_empty() {
            self.platform.courier.batch_done(ends, latency, load);
        }
    }
}

#[derive(Deserialize)]
struct Told {
    id: String,
    state: String,
}

/// What a whole answer says of the members of its batch.
pub struct States {
    /// By id; `None`: told twice, and not the same.
    told: HashMap<String, Option<String>>,
    wait: Option<Micros>,
}

impl States {
    /// Reads them. What can't be read says nothing: its messages may have run.
    pub fn read(head: &AnswerHead, bytes: &[u8]) -> States {
        let mut states = States { told: HashMap::new(), wait: head.wait };
        let Some(mut body) = head.content(bytes) else { return states };
        let Ok(items) = simd_json::serde::from_slice::<Vec<serde_json::Value>>(&mut body) else {
            return states;
        };
        for item in items {
            let Ok(Told { id, state }) = serde_json::from_value(item) else { continue };
            let before = states.told.entry(id).or_insert_with(|| Some(state.clone()));
            if before.as_ref() != Some(&state) {
                *before = None;
            }
        }
        states
    }

    /// How the message of this id ended.
    pub fn end(&mut self, id: &str) -> End {
        match self.told.get(id).and_then(Option::as_deref) {
            Some("done") => End::Delivered,
            Some("failed") => End::Failed,
            Some("busy") => End::TurnedAway(self.wait),
            Some("void") => End::Over,
            Some("used_up") => End::Unsent,
            // Not told, told twice, or told what is no state: it may have run. A told wait binds all the same.
            _ => End::Spoilt(self.wait),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::EndpointId;
    use crate::core::{Backend, Req};
    use crate::net::platform::http;

    fn fetch(id: &str, body: usize) -> Fetch {
        let req = Req {
            front: 0,
            id: id.to_owned(),
            class: 0,
            tenant: 0,
            dest: 1,
            due: Micros(0),
            keep_id_until: Micros(0),
            head: "k".to_owned(),
            body: vec![b'x'; body].into(),
        };
        let backend = Arc::new(Backend { name: "b".into(), addr: "127.0.0.1:1".parse().unwrap() });
        let at = EndpointId { addr: [0; 4], port: 0 };
        Fetch { msg: 0, attempt: 0, endpoint: at, backend, req: Arc::new(req), deadline: Micros(0) }
    }

    fn states(extra: &str, body: &str) -> States {
        let answer = format!("HTTP/1.1 200 OK\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len());
        let head = http::answer(answer.as_bytes(), &[]).unwrap().unwrap();
        States::read(&head, answer.as_bytes())
    }

    #[test]
    fn each_member_ends_by_its_own_state() {
        let body = r#"[{"id":"a","state":"done"},{"id":"b","state":"failed"},{"id":"c","state":"busy"},
            {"id":"d","state":"void"},{"id":"e","state":"used_up"},{"id":"f","state":"DONE"},{"id":"g"},7,
            {"id":"h","state":"done"},{"id":"h","state":"busy"},{"id":"i","state":"busy"},{"id":"i","state":"busy"}]"#;
        let mut told = states("X-RateLimit-Wait-Ms: 700\r\n", body);
        let wait = Some(Micros(700_000));
        assert_eq!(told.end("a"), End::Delivered);
        assert_eq!(told.end("b"), End::Failed);
        assert_eq!((told.end("c"), told.end("i")), (End::TurnedAway(wait), End::TurnedAway(wait)));
        assert_eq!((told.end("d"), told.end("e")), (End::Over, End::Unsent));
        // No state, none that there is, two of them, not told at all: it may have run.
        for id in ["f", "g", "h", "another"] {
            assert_eq!(told.end(id), End::Spoilt(wait), "{id}");
        }
    }

    #[test]
    fn broken_json_proves_nothing_of_anyone() {
        let whole = r#"[{"id":"a","state":"done"},{"id":"b","state":"busy"}]"#;
        for cut in 0..whole.len() {
            let mut told = states("", &whole[..cut]);
            assert_eq!(
                (told.end("a"), told.end("b")),
                (End::Spoilt(None), End::Spoilt(None)),
                "cut at {cut}"
            );
        }
        assert_eq!(states("", whole).end("a"), End::Delivered);
    }

    #[test]
    fn a_chunked_answer_is_read_without_its_chunks() {
        let body = "1a\r\n[{\"id\":\"a\",\"state\":\"done\r\n2\r\n\"}\r\n1\r\n]\r\n0\r\n\r\n";
        let body = body.replacen("1a", &format!("{:x}", r#"[{"id":"a","state":"done"#.len()), 1);
        let answer = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let head = http::answer(answer.as_bytes(), &[]).unwrap().unwrap();
        assert_eq!(States::read(&head, answer.as_bytes()).end("a"), End::Delivered);
    }

    #[test]
    fn no_call_is_over_the_longest_body() {
        let sizes = [40_000, 10, 20_000, 20_000, 65_536, 5];
        let calls = split(sizes.iter().map(|n| fetch("id", *n)).collect());
        assert_eq!(calls.iter().map(Vec::len).sum::<usize>(), sizes.len());
        for call in calls.iter().filter(|call| call.len() > 1) {
            let items: Vec<Item> = call
                .iter()
                .map(|f| Item { id: &f.req.id, key: &f.req.head, body: STANDARD.encode(&f.req.body) })
                .collect();
            assert!(serde_json::to_vec(&items).unwrap().len() <= MAX_BODY_BYTES);
        }
        assert_eq!(split((0..20).map(|_| fetch("id", 300)).collect()).len(), 1, "small ones go together");
    }
}
