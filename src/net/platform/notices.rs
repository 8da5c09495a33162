//! Notices: the end of a message that was taken on and not delivered, told until discovery's side says 204.

use super::http::{self, Body};
use super::Platform;
use crate::api::Micros;
use crate::core::{FinalOutcome, Notice, Report};
use crate::net::conn;
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// How long an answer is waited for, doubled with each failure. Danger: a notice is overdue 300 ms after its
/// message's time is up, and a connection that was cut off silently never answers; so the first wait leaves time
/// for another try on a new connection. A notice told twice does no harm.
const ANSWER: Micros = Micros(100_000);
const ANSWER_MOST: Micros = Micros(2_000_000);
/// The pause between tries, doubled too.
const PAUSE: Micros = Micros(10_000);
const PAUSE_MOST: Micros = Micros(500_000);
const BATCH: usize = 64;

/// Takes orders for as long as there are any.
pub fn work(platform: &Platform, orders: &Receiver<Notice>) {
    let clock = &platform.courier.clock;
    let mut kept: Option<Arc<TcpStream>> = None;
    let (mut pause, mut patience) = (PAUSE, ANSWER);
    let mut most = BATCH;
    let mut waiting: Vec<Notice> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Ok(notice) = orders.recv() else { return };
            waiting.push(notice);
        }
        waiting.extend(orders.try_iter());
        let batch = waiting.len().min(most);
        match tell(platform, kept.take(), &waiting[..batch], clock.instant(clock.now() + patience)) {
            Ok((204, stream)) => {
                (kept, pause, patience, most) = (stream, PAUSE, ANSWER, BATCH);
                for notice in waiting.drain(..batch) {
                    platform.courier.report(Report::NoticeDelivered(notice.msg));
                }
                continue;
            }
            // One line that can't be read must not hold up the others: then one at a time, each in its turn.
            Ok((status, _)) => {
                tracing::warn!(target: "notices", message = %waiting[0].req.id, "a notice was answered {status}");
                most = 1;
                waiting.rotate_left(1);
            }
            Err(_) => {}
        }
        thread::sleep(std::time::Duration::from_micros(pause.0));
        pause = pause.scale(2.0).min(PAUSE_MOST);
        patience = patience.scale(2.0).min(ANSWER_MOST);
    }
}

/// The line of one notice.
pub fn line(notice: &Notice) -> String {
    let id = serde_json::Value::from(notice.req.id.as_str());
    match notice.verdict {
        FinalOutcome::GivenUp => format!("{{\"message\":{id},\"outcome\":\"given_up\"}}\n"),
        FinalOutcome::HandedBack(wait) => {
            let ms = wait.0.div_ceil(1000);
            format!("{{\"message\":{id},\"outcome\":\"handed_back\",\"retry_in_ms\":{ms}}}\n")
        }
    }
}

fn tell(
    platform: &Platform, kept: Option<Arc<TcpStream>>, notices: &[Notice], until: Instant,
) -> std::io::Result<(u16, Option<Arc<TcpStream>>)> {
    let body: String = notices.iter().map(line).collect();
    // Where discovery has moved, its old connections have ended and are not quiet.
    let stream = match kept.filter(|stream| conn::is_idle(stream)) {
        Some(stream) => stream,
        None => platform.site.connect(until)?,
    };
    let mut text = Vec::with_capacity(body.len() + 128);
    write!(text, "POST /v1/notices HTTP/1.1\r\nHost: {}\r\n", stream.peer_addr()?)?;
    write!(text, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    conn::write_all(&stream, &text, until)?;
    let mut buf = platform.pool.get();
    let mut filled = 0;
    loop {
        let n = conn::read(&stream, &mut buf[filled..], until)?;
        if n == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        filled += n;
        let bad = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        if let Some(head) = http::answer(&buf[..filled], &[]).map_err(bad)? {
            let whole = matches!(head.body, Body::Length(n) if head.head + n == filled) && !head.close;
            return Ok((head.status, whole.then_some(stream)));
        }
    }
}
