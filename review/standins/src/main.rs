//! Stand-ins for the cases under review/. Each sub-command is a process of its own; all of them append what was sent,
//! answered and run to the same record, one line an event, with the seconds since the case began.
//!
//!     standin free-port
//!     standin mail-server NAME RECORD START_MS ADDRESS [pace=SECONDS] [slow-first=SECONDS] [shut=FROM-TO]
//!     standin hand-in     RECORD START_MS ADDRESS FROM TO MESSAGE_ID [by=SECONDS] [lose-reply]
//!     standin discovery   RECORD START_MS ADDRESS LIST_FILE
//!     standin endpoint    NAME RECORD START_MS ADDRESS [hang=FROM-TO]
//!     standin post        RECORD START_MS ADDRESS ID DESTINATION DEADLINE_MS
//!     standin load        RECORD START_MS ADDRESS FROM COUNT PER_SECOND TO=SHARE... [by=SECONDS]

mod client;
mod platform;
mod record;
mod server;

use record::Record;
use std::net::TcpListener;
use std::sync::Arc;

/// Where [`free_port`] looks.
const FIRST_PORT: u16 = 12_000;
const PORTS: u32 = 18_000;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["free-port"] => free_port(),
        ["mail-server", name, record, start, address, behaviour @ ..] => {
            server::run(name, Record::open(record, start), address, behaviour)
        }
        ["hand-in", record, start, address, from, to, id, options @ ..] => {
            client::hand_in(&Record::open(record, start), address, from, to, id, options)
        }
        ["load", record, start, address, from, count, per_second, to @ ..] => {
            client::load(&Arc::new(Record::open(record, start)), address, from, count, per_second, to)
        }
        ["discovery", record, start, address, list] => {
            platform::discovery(Record::open(record, start), address, list)
        }
        ["endpoint", name, record, start, address, hang @ ..] => {
            platform::endpoint(name, Record::open(record, start), address, hang.first().copied())
        }
        ["post", record, start, address, id, destination, deadline] => {
            platform::post(&Record::open(record, start), address, id, destination, deadline)
        }
        _ => Err("unknown sub-command or arguments".into()),
    };
    if let Err(e) = result {
        eprintln!("standin: {e}");
        std::process::exit(2);
    }
}

/// Prints a port of 127.0.0.1 that is free now. It is below the range from which systems take the ports of outgoing
/// connections; one of those could otherwise hold the port by the time that it is listened on.
fn free_port() -> Result<(), String> {
    let seed = record::now_ms() as u32 ^ std::process::id().wrapping_mul(2_654_435_761);
    let ports = (0..PORTS).map(|n| FIRST_PORT + (seed.wrapping_add(n) % PORTS) as u16);
    let mut free = ports.filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok());
    println!("{}", free.next().ok_or("no port is free")?);
    Ok(())
}
