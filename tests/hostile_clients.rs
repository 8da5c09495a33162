//! Clients that write slowly, stop half way, send heads and headers of very many short fields, or send small and unsound requests at
//! full speed: the process stays within its memory, and an honest client beside them is answered in time.
//!
//! `HOSTILE_SECONDS` is the length of each attack, 3 s by default; the figures are printed.

#[path = "support/hostile.rs"]
mod hostile;
#[path = "support/mailbox.rs"]
mod mailbox;
mod support;

use hostile::{run, Attack, Seen};
use mailbox::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

/// Memory limit of the courier under test.
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 1024;
/// The longest that an honest client may wait for an answer; a debug build on a shared machine gets this much.
const LONGEST_ANSWER: Duration = Duration::from_secs(2);
/// Length of an attack, unless the environment names another.
const DEFAULT_SECONDS: f64 = 3.0;

fn seconds() -> f64 {
    std::env::var("HOSTILE_SECONDS").map_or(DEFAULT_SECONDS, |text| text.parse().unwrap())
}

/// What is wrong with what was seen, if anything is.
fn fault(attack: &Attack, seen: &Seen) -> Option<String> {
    println!("{}: {seen:?}", attack.name);
    let sound =
        seen.peak_memory_mb <= MEMORY_MB as f64 && seen.worst_answer < LONGEST_ANSWER && seen.unserved == 0;
    (!sound).then(|| format!("{}: {seen:?}", attack.name))
}

const AT_ONCE: usize = usize::MAX;
const NO_PAUSE: Duration = Duration::ZERO;

fn large_request(client: usize, connection: u64) -> Vec<u8> {
    let head = request_text(&format!("large-{client}-{connection}"))
        .replace("Length: 1\r\n\r\nx", "Length: 65536\r\n\r\n");
    [head.as_bytes(), &[b'x'; 65_535]].concat()
}

fn platform_attacks() -> Vec<Attack> {
    let at_full_speed = Attack {
        name: "",
        clients: 1,
        bytes: |_, _| Vec::new(),
        part_bytes: AT_ONCE,
        pause: NO_PAUSE,
        reads: true,
        stays: false,
    };
    vec![
        Attack {
            name: "large requests, a few bytes at a time",
            clients: 400,
            bytes: large_request,
            part_bytes: 64,
            pause: Duration::from_millis(20),
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "large requests that stop before their last byte",
            clients: 800,
            bytes: large_request,
            reads: false,
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "heads of many short fields that do not end",
            clients: 400,
            bytes: |_, _| [&b"POST /api HTTP/1.1\r\n"[..], &b"a:\r\n".repeat(2_000)].concat(),
            part_bytes: 512,
            pause: Duration::from_millis(5),
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "small requests one behind the other, answers unread",
            clients: 800,
            bytes: |_, _| b"GET / HTTP/1.1\r\n\r\n".repeat(40_000),
            reads: false,
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "small requests of one client at full speed",
            bytes: |_, _| b"GET / HTTP/1.1\r\n\r\n".repeat(40_000),
            part_bytes: 64 * 1024,
            ..at_full_speed.clone()
        },
        Attack {
            name: "requests for unknown names, ever new ones",
            bytes: |_, connection| {
                let request = |n: u64| {
                    request_text(&format!("n-{connection}-{n}"))
                        .replace("tallowood", &format!("tenant-{connection}-{n}"))
                        .replace("print-order", &format!("class-{connection}-{n}"))
                };
                (0..2_000).map(request).collect::<String>().into_bytes()
            },
            part_bytes: 64 * 1024,
            ..at_full_speed.clone()
        },
        Attack {
            name: "requests for ever new destinations",
            bytes: |_, connection| {
                let request = |n: u64| {
                    request_text(&format!("d-{connection}-{n}"))
                        .replace("dest=3", &format!("dest={}", 10 + n))
                };
                (0..2_000).map(request).collect::<String>().into_bytes()
            },
            part_bytes: 64 * 1024,
            ..at_full_speed.clone()
        },
        Attack {
            name: "noise on ever new connections",
            clients: 8,
            bytes: |client, connection| format!("\x00\x01{client} {connection}\r\n\r\n").into_bytes(),
            ..at_full_speed
        },
    ]
}

/// Guards against picture (a) and (b) of issue 61 at the platform's front.
#[test]
fn hostile_clients_of_the_platform_cost_bounded_memory_and_nobody_elses_time() {
    let mut faults = Vec::new();
    for attack in platform_attacks() {
        let env = environment(SOCKETS, MEMORY_MB);
        let (mut program, addr) = env.start();
        let mut stream = None;
        let honest = |n: u64| {
            for _ in 0..2 {
                let open = stream.get_or_insert_with(|| connect(addr));
                match submit(open, &format!("honest-{n}")) {
                    Response::Status(202) => return true,
                    // A session may be closed between two requests; then the client comes again once.
                    Response::Closed => stream = None,
                    Response::Status(_) | Response::Truncated => return false,
                }
            }
            false
        };
        let seen = run(&attack, seconds(), program.child.id(), addr, honest);
        assert!(program.child.try_wait().unwrap().is_none(), "{}: the process has ended", attack.name);
        faults.extend(fault(&attack, &seen));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

const HELLO: &str = "EHLO c\r\nMAIL FROM:<orders@tallowood.example>\r\n";

fn transaction(recipients: usize, text: &[u8]) -> Vec<u8> {
    let to: String = (0..recipients).map(|n| format!("RCPT TO:<r{n}@band.example>\r\n")).collect();
    [HELLO.as_bytes(), to.as_bytes(), b"DATA\r\n", text].concat()
}

fn mail_attacks() -> Vec<Attack> {
    let at_full_speed = Attack {
        name: "",
        clients: 1,
        bytes: |_, _| Vec::new(),
        part_bytes: 64 * 1024,
        pause: NO_PAUSE,
        reads: true,
        stays: false,
    };
    vec![
        Attack {
            name: "texts that stop before their end",
            clients: 300,
            bytes: |_, _| transaction(1, &[&[b'x'; 900][..], b"\r\n"].concat().repeat(285)),
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "texts, a few bytes at a time",
            clients: 300,
            bytes: |_, _| transaction(1, &[&[b'x'; 900][..], b"\r\n"].concat().repeat(285)),
            part_bytes: 4_096,
            pause: Duration::from_millis(10),
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "headers of very many short fields, to a hundred recipients",
            bytes: |_, connection| {
                let id = format!("Message-ID: <{connection}@x>\r\n");
                let fields = b"a:\r\n".repeat(60_000);
                transaction(100, &[&fields[..], id.as_bytes(), b"\r\nparts\r\n.\r\n"].concat())
            },
            ..at_full_speed.clone()
        },
        Attack {
            name: "small commands at full speed",
            bytes: |_, _| [b"EHLO c\r\n".to_vec(), b"NOOP\r\n".repeat(100_000)].concat(),
            ..at_full_speed.clone()
        },
        Attack {
            name: "small commands of many clients, answers unread",
            clients: 300,
            bytes: |_, _| [b"EHLO c\r\n".to_vec(), b"NOOP\r\n".repeat(100_000)].concat(),
            reads: false,
            stays: true,
            ..at_full_speed.clone()
        },
        Attack {
            name: "unsound commands under ever new names",
            bytes: |_, connection| {
                let command = |n: u32| format!("X{connection}Y{n} {n}\r\nEHLO c{n}\r\n");
                (0..20).map(command).collect::<String>().into_bytes()
            },
            ..at_full_speed
        },
    ]
}

/// Guards against picture (a) and (b) of issue 61 at the mail front.
#[test]
fn hostile_clients_over_mail_cost_bounded_memory_and_nobody_elses_time() {
    let mut faults = Vec::new();
    for attack in mail_attacks() {
        let band = mailbox(false, |_, _| Fault::None);
        let folder = Folder::new();
        let zone = format!(
            "$TTL 60\n@ IN SOA ns hostmaster ( 1 3600 600 86400 60 )\n@ IN NS ns\nns IN A 127.0.0.1\n\
             _smtp._tcp.band IN SRV 0 1 {0} mail\n_smtp._tcp.tallowood IN SRV 0 1 {0} mail\nmail IN A 127.0.0.1\n",
            band.addr.port()
        );
        folder.write("partners.zone", &zone);
        let mail = serde_json::json!({
            "enabled": true, "hostname": "courier.test", "smtp": "127.0.0.1:0", "lmtp": "127.0.0.1:0",
            "dns": "127.0.0.1:0", "zones": [{"origin": "example", "file": "partners.zone"}],
            "partners": [
                {"domain": "band.example", "dest": 50002, "class": "render-status"},
                {"domain": "tallowood.example", "dest": 50003, "class": "render-status"}],
            "senders": {"tallowood.example": "tallowood"},
            "classes": {"render-status": {"aim_s": 1, "deadline_s": 30}}
        });
        let mail = folder.write("mail.json", &mail.to_string());
        let limits = serde_json::json!({"memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3});
        let config = serde_json::json!({"limits": limits, "settings": settings(20_000)});
        let mut program = Program::start(&folder.0, &config, Some(&mail));
        let smtp = program.addr("smtp");
        let mut session = None;
        let honest = |_| honest_command(&mut session, smtp);
        let seen = run(&attack, seconds(), program.child.id(), smtp, honest);
        assert!(program.child.try_wait().unwrap().is_none(), "{}: the process has ended", attack.name);
        faults.extend(fault(&attack, &seen));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A command of an honest client, which connects again if its session was closed or all places were taken. Whether it was
/// answered in time.
fn honest_command(session: &mut Option<BufReader<TcpStream>>, addr: SocketAddr) -> bool {
    let end = Instant::now() + LONGEST_ANSWER;
    while Instant::now() < end {
        let stream = session.get_or_insert_with(|| BufReader::new(connect(addr)));
        let mut line = String::new();
        // A new session is greeted first.
        while !line.starts_with("250 2.0.0 ok") {
            line.clear();
            if stream.get_mut().write_all(b"NOOP\r\n").is_err() {
                break;
            }
            if !stream.read_line(&mut line).is_ok_and(|n| n > 0) || line.starts_with("421") {
                break;
            }
        }
        if line.starts_with("250 2.0.0 ok") {
            return true;
        }
        *session = None;
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}
