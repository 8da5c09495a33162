//! Stand-ins for the cases under review/. Each sub-command is a process of its own; all of them append what was sent,
//! answered and run to the same record, one line an event, with the seconds since the case began.
//!
//!     standin free-port
//!     standin mail-server NAME RECORD START_MS ADDRESS [slow-first=SECONDS] [shut=FROM-TO]
//!     standin hand-in     RECORD START_MS ADDRESS FROM TO MESSAGE_ID [by=SECONDS] [lose-reply]
//!     standin load        RECORD START_MS ADDRESS FROM TO COUNT PER_SECOND

mod client;
mod record;
mod server;

use record::Record;
use std::net::TcpListener;

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
        ["load", record, start, address, from, to, count, per_second] => {
            client::load(&Record::open(record, start), address, from, to, count, per_second)
        }
        _ => Err("unknown sub-command or arguments".into()),
    };
    if let Err(e) = result {
        eprintln!("standin: {e}");
        std::process::exit(2);
    }
}

/// Prints a port of 127.0.0.1 that is free now.
fn free_port() -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    println!("{}", listener.local_addr().map_err(|e| e.to_string())?.port());
    Ok(())
}
