//! Peers that send a second copy of an answer once the next request on the connection has come, ahead of its own answer.

use super::support::{read_http, Http};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long after a request the copy comes, and its own answer.
const COPY_AFTER: Duration = Duration::from_millis(3);
const ANSWER_AFTER: Duration = Duration::from_millis(40);

/// A request as the peer saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub request: Http,
    /// First line of its own answer.
    pub status: u16,
}

/// An HTTP server with such connections.
pub struct StalePeer {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

impl StalePeer {
    /// Answers by `answer`, which is given the request and how many came before it.
    pub fn start(answer: impl Fn(&Http, usize) -> String + Send + Sync + 'static) -> StalePeer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (seen, answer) = (Arc::new(Mutex::new(Vec::new())), Arc::new(answer));
        let all = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (seen, answer) = (all.clone(), answer.clone());
                thread::spawn(move || serve(stream, &seen, &*answer));
            }
        });
        StalePeer { addr, seen }
    }

    /// What it saw so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, seen: &Mutex<Vec<Seen>>, answer: &dyn Fn(&Http, usize) -> String) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let mut last: Option<String> = None;
    while let Some(request) = read_http(&mut reader) {
        let text = {
            let mut seen = seen.lock().unwrap();
            let text = answer(&request, seen.len());
            let status = text.split(' ').nth(1).unwrap().parse().unwrap();
            seen.push(Seen { request, status });
            text
        };
        if let Some(copy) = last {
            thread::sleep(COPY_AFTER);
            // The other side may have closed the connection.
            let _ = writer.write_all(copy.as_bytes());
        }
        thread::sleep(ANSWER_AFTER);
        let _ = writer.write_all(text.as_bytes());
        last = Some(text);
    }
}
