//! Batches: several messages for one backend in one call, each of which ends by itself.

use super::fetch;
use super::http::ResponseHead;
use super::response::{self, Received};
use super::Platform;
use crate::api::Micros;
use crate::core::{End, Fetch};
use crate::json;
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

/// One message in the JSON body of a batch.
#[derive(Serialize)]
struct Item<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    key: &'a str,
    body: String,
}

/// Upper bound for the length of a message in the body of a batch: quotes and backslashes in id and key take two bytes each.
fn max_encoded_len(fetch: &Fetch) -> usize {
    const SYNTAX_LEN: usize = r#"{"id":"","key":"","body":""},"#.len();
    SYNTAX_LEN + 2 * (fetch.req.id.len() + fetch.req.head.len()) + 4 * fetch.req.body.len().div_ceil(3)
}

/// Splits fetches into calls, because a body over 64 KiB is not accepted. A message that fills a call by itself is sent in
/// a call for a single message.
pub fn split(fetches: Vec<Fetch>) -> Vec<Vec<Fetch>> {
    let mut calls: Vec<Vec<Fetch>> = Vec::new();
    let mut capacity = 0;
    for fetch in fetches {
        let len = max_encoded_len(&fetch);
        match calls.last_mut().filter(|_| len <= capacity) {
            Some(call) => call.push(fetch),
            None => {
                calls.push(vec![fetch]);
                capacity = MAX_BODY_BYTES - "[]".len();
            }
        }
        capacity = capacity.saturating_sub(len);
    }
    calls
}

/// Carries out a batch and reports the end of every member.
pub fn run(platform: &Platform, fetches: Vec<Fetch>) {
    let mut call = BatchCall { platform, members: fetches, unreported: Vec::new() };
    let unused = call.execute();
    let unsent = std::mem::take(&mut call.members);
    // Members that have no end yet were never sent.
    unsent.into_iter().for_each(|fetch| call.unreported.push((fetch, End::NotBegun)));
    call.report_ends(Micros(0), &[]);
    if let Some((fetch, stream)) = unused {
        platform.conns.keep(&fetch.backend, stream, 0);
    }
}

/// The call of a batch.
struct BatchCall<'a> {
    platform: &'a Platform,
    /// Members that have not ended.
    members: Vec<Fetch>,
    /// Ends that are not reported yet.
    unreported: Vec<(Fetch, End)>,
}

/// A connection to which no request was written, and a fetch that names its backend.
type UnusedStream = Option<(Fetch, Arc<TcpStream>)>;

impl BatchCall<'_> {
    fn execute(&mut self) -> UnusedStream {
        let clock = &self.platform.courier.clock;
        let first = self.members.first()?.clone();
        // All members have the same deadline.
        let until = clock.instant(first.deadline);
        let (stream, idled) = match fetch::connect(self.platform, &first, until) {
            Ok(connection) => connection,
            Err(end) => {
                self.end_all(end);
                return None;
            }
        };
        let unused = |stream| Some((first.clone(), stream));
        let ids: Vec<(u64, u8)> = self.members.iter().map(|fetch| (fetch.msg, fetch.attempt)).collect();
        let mut opened = self.platform.conns.fetches_connected(&ids, &stream).into_iter();
        self.retain_members(|_| opened.next().unwrap_or_default());
        // The last check before the first byte, for each member by itself.
        let waits = response::start_wait_check(self.platform, first.req.dest);
        let mut may_begin = self.platform.courier.begin_all(&self.members).into_iter();
        self.retain_members(|_| may_begin.next().unwrap_or_default());
        if self.members.is_empty() || waits.finds_new_wait() {
            return unused(stream);
        }
        let mut buf = self.platform.pool.get();
        let Some(len) = self.write_request(&mut buf) else { return unused(stream) };
        // For the same reason as in a fetch by itself.
        if idled && !conn::is_idle(&stream) {
            self.end_all(End::NotBegun);
            return None;
        }
        for fetch in &self.members {
            self.platform.conns.request_starts(fetch.msg, fetch.attempt, fetch.req.dest);
        }
        let sent = Instant::now();
        if conn::write_all(&stream, &buf[..len], until).is_err() {
            // As in a fetch by itself: the last byte was not written.
            self.end_all(if idled { End::NotBegun } else { End::NotConnected });
            return None;
        }
        for _ in &self.members {
            self.platform.courier.board.count_written();
        }
        if !self.wait_for_response(&stream, until, sent) {
            return None;
        }
        let (received, received_at) =
            response::read_response(self.platform, &first, &stream, &mut buf, until, true);
        let latency = Micros((received_at - sent).as_micros() as u64);
        let load = self.apply_response(received, &buf);
        // Closed before any end is reported: a retry that begins at once would put a second copy in flight.
        let _ = stream.shutdown(Shutdown::Both);
        self.report_ends(latency, &load);
        None
    }

    /// Ends the members that may not begin; they were never sent.
    fn retain_members(&mut self, mut retain: impl FnMut(&Fetch) -> bool) {
        let (retained, removed): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.members).into_iter().partition(|fetch| retain(fetch));
        self.members = retained;
        self.unreported.extend(removed.into_iter().map(|fetch| (fetch, End::NotBegun)));
    }

    fn end_all(&mut self, end: End) {
        self.unreported.splice(0..0, std::mem::take(&mut self.members).into_iter().map(|fetch| (fetch, end)));
    }

    /// Writes the request and returns its length; `None`: it does not fit, or the deadline has passed.
    fn write_request(&self, buf: &mut PooledBuffer) -> Option<usize> {
        let now = self.platform.courier.clock.now();
        let left_ms =
            self.members.first().map(|fetch| (fetch.deadline - now).0 / 1000).filter(|ms| *ms > 0)?;
        let encoded_body = |fetch: &'_ Fetch| STANDARD.encode(&fetch.req.body);
        let items: Vec<Item> = self
            .members
            .iter()
            .map(|fetch| Item { id: &fetch.req.id, key: &fetch.req.head, body: encoded_body(fetch) })
            .collect();
        let body = serde_json::to_vec(&items).ok().filter(|body| body.len() <= MAX_BODY_BYTES)?;
        let (size, host) = (buf.len(), self.members.first()?.backend.addr);
        let mut rest = &mut buf[..];
        write!(rest, "POST /hook/batch HTTP/1.1\r\nHost: {host}\r\nReq-Deadline-Ms: {left_ms}\r\n").ok()?;
        write!(rest, "Connection: close\r\nContent-Length: {}\r\n\r\n", body.len()).ok()?;
        rest.write_all(&body).ok()?;
        let unused = rest.len();
        Some(size - unused)
    }

    /// Waits for the first byte of the response; `false`: none arrived by the deadline. All members time out together,
    /// because a call ends as a whole. The call is closed before any end is reported: otherwise a member that is retried
    /// would have two copies in flight.
    fn wait_for_response(&mut self, stream: &TcpStream, until: Instant, sent: Instant) -> bool {
        match conn::peek(stream, &mut [0], until) {
            Err(e) if errors::is_timeout(&e) => {
                // An error means that it is closed already.
                let _ = stream.shutdown(Shutdown::Both);
                self.end_all(End::TimedOut);
                self.report_ends(Micros(sent.elapsed().as_micros() as u64), &[]);
                false
            }
            _ => true,
        }
    }

    /// Ends each member as the response says. Returns the reported load.
    fn apply_response(&mut self, received: Received, buf: &PooledBuffer) -> Vec<f32> {
        match received {
            Received::Nothing(end) => self.end_all(end),
            // What an incomplete response says about some members ends none of them.
            Received::Invalid { retry_after, .. } => self.end_all(End::Spoilt(retry_after)),
            Received::HeadOnly(head) => self.end_all(End::Spoilt(head.retry_after)),
            Received::Complete { head, len } => {
                match head.status {
                    200 => {
                        let mut states = MemberStates::parse(&head, &buf[..len]);
                        let members = std::mem::take(&mut self.members).into_iter();
                        self.unreported.splice(
                            0..0,
                            members.map(|fetch| {
                                let end = states.end(&fetch.req.id);
                                (fetch, end)
                            }),
                        );
                    }
                    // With these statuses the endpoint says that it processed no member.
                    400 | 413 => {
                        tracing::warn!(target: "platform", status = head.status, "a batch was not read");
                        self.end_all(End::Unsent);
                    }
                    _ => self.end_all(response::end_from_head(&head)),
                }
                return head.load;
            }
        }
        Vec::new()
    }

    /// Reports the ends so far. The end that the call as a whole came to is first, because it stands for the call.
    fn report_ends(&mut self, latency: Micros, load: &[f32]) {
        let conns = &self.platform.conns;
        let mut ends = std::mem::take(&mut self.unreported);
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
struct MemberState {
    id: String,
    state: String,
}

/// What a complete response says about the members of its batch.
pub struct MemberStates {
    /// State by id; `None`: the response has several different ones.
    by_id: HashMap<String, Option<String>>,
    retry_after: Option<Micros>,
}

impl MemberStates {
    /// Parses the response. A member whose state cannot be parsed may have taken effect.
    pub fn parse(head: &ResponseHead, bytes: &[u8]) -> MemberStates {
        let mut states = MemberStates { by_id: HashMap::new(), retry_after: head.retry_after };
        let Some(mut body) = head.decoded_body(bytes) else { return states };
        let Ok(items) = json::from_mut_slice::<Vec<serde_json::Value>>(&mut body) else {
            return states;
        };
        for item in items {
            let Ok(MemberState { id, state }) = serde_json::from_value(item) else { continue };
            let earlier = states.by_id.entry(id).or_insert_with(|| Some(state.clone()));
            if earlier.as_ref() != Some(&state) {
                *earlier = None;
            }
        }
        states
    }

    /// How the message of this id ended.
    pub fn end(&mut self, id: &str) -> End {
        match self.by_id.get(id).and_then(Option::as_deref) {
            Some("done") => End::Delivered,
            Some("failed") => End::Failed,
            Some("busy") => End::TurnedAway(self.retry_after),
            Some("void") => End::Over,
            Some("used_up") => End::Unsent,
            // Missing, contradictory or unknown: the message may have taken effect. A demanded wait is honoured all the same.
            _ => End::Spoilt(self.retry_after),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::EndpointId;
    use crate::core::{Backend, Req};
    use crate::net::platform::http;

    fn fetch(id: &str, body_len: usize) -> Fetch {
        let req = Req {
            front: 0,
            id: id.to_owned(),
            class: 0,
            tenant: 0,
            dest: 1,
            due: Micros(0),
            keep_id_until: Micros(0),
            head: "k".to_owned(),
            body: vec![b'x'; body_len].into(),
        };
        let backend =
            Arc::new(Backend { name: "b".into(), addr: "127.0.0.1:1".parse().unwrap(), zone: None, dest: 1 });
        let endpoint = EndpointId { addr: [0; 4], port: 0 };
        Fetch { msg: 0, attempt: 0, endpoint, backend, req: Arc::new(req), deadline: Micros(0) }
    }

    fn states(extra_headers: &str, body: &str) -> MemberStates {
        let response =
            format!("HTTP/1.1 200 OK\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}", body.len());
        let head = http::parse_response(response.as_bytes(), &[]).unwrap().unwrap();
        MemberStates::parse(&head, response.as_bytes())
    }

    #[test]
    fn each_member_ends_by_its_own_state() {
        let body = r#"[{"id":"a","state":"done"},{"id":"b","state":"failed"},{"id":"c","state":"busy"},
            {"id":"d","state":"void"},{"id":"e","state":"used_up"},{"id":"f","state":"DONE"},{"id":"g"},7,
            {"id":"h","state":"done"},{"id":"h","state":"busy"},{"id":"i","state":"busy"},{"id":"i","state":"busy"}]"#;
        let mut members = states("X-RateLimit-Wait-Ms: 700\r\n", body);
        let wait = Some(Micros(700_000));
        assert_eq!(members.end("a"), End::Delivered);
        assert_eq!(members.end("b"), End::Failed);
        assert_eq!((members.end("c"), members.end("i")), (End::TurnedAway(wait), End::TurnedAway(wait)));
        assert_eq!((members.end("d"), members.end("e")), (End::Over, End::Unsent));
        // No state, an unknown one, two different ones, or not listed: the message may have taken effect.
        for id in ["f", "g", "h", "another"] {
            assert_eq!(members.end(id), End::Spoilt(wait), "{id}");
        }
    }

    #[test]
    fn truncated_json_proves_nothing_about_any_member() {
        let whole = r#"[{"id":"a","state":"done"},{"id":"b","state":"busy"}]"#;
        for len in 0..whole.len() {
            let mut members = states("", &whole[..len]);
            assert_eq!(
                (members.end("a"), members.end("b")),
                (End::Spoilt(None), End::Spoilt(None)),
                "cut at {len}"
            );
        }
        assert_eq!(states("", whole).end("a"), End::Delivered);
    }

    #[test]
    fn a_chunked_response_is_decoded() {
        let body = "1a\r\n[{\"id\":\"a\",\"state\":\"done\r\n2\r\n\"}\r\n1\r\n]\r\n0\r\n\r\n";
        let body = body.replacen("1a", &format!("{:x}", r#"[{"id":"a","state":"done"#.len()), 1);
        let response = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let head = http::parse_response(response.as_bytes(), &[]).unwrap().unwrap();
        assert_eq!(MemberStates::parse(&head, response.as_bytes()).end("a"), End::Delivered);
    }

    #[test]
    fn no_batch_exceeds_the_maximum_body_length() {
        let sizes = [40_000, 10, 20_000, 20_000, 65_536, 5];
        let calls = split(sizes.iter().map(|len| fetch("id", *len)).collect());
        assert_eq!(calls.iter().map(Vec::len).sum::<usize>(), sizes.len());
        for call in calls.iter().filter(|call| call.len() > 1) {
            let items: Vec<Item> = call
                .iter()
                .map(|fetch| Item {
                    id: &fetch.req.id,
                    key: &fetch.req.head,
                    body: STANDARD.encode(&fetch.req.body),
                })
                .collect();
            assert!(serde_json::to_vec(&items).unwrap().len() <= MAX_BODY_BYTES);
        }
        assert_eq!(
            split((0..20).map(|_| fetch("id", 300)).collect()).len(),
            1,
            "small messages share a call"
        );
    }
}
