//! The operators' static file becomes bad while the courier runs, which is then killed: the next process goes by the last content
//! that could be read, as the one before did.

mod support;

use serde_json::json;
use support::partner::hand_in;
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Guards against the class of review/8 in the static file: an endpoint that the operators had taken out was used again by the
/// next process, as the file that said so could not be read any more.
#[test]
fn an_endpoint_that_the_static_file_removes_stays_out_after_a_kill_although_the_file_is_bad() {
    let (used, removed) = (endpoint(|_, _| Act::Answer(OK)), endpoint(|_, _| Act::Answer(OK)));
    let discovery = discovery(&[instance("s-1", used.addr, 3, "up"), instance("s-2", removed.addr, 3, "up")]);
    let folder = Folder::new();
    let word = instance("s-2", removed.addr, 3, "removed");
    folder.write("register.json", r#"{"static": "own.json"}"#);
    folder.write("own.json", &format!(r#"{{"generation": 1, "reset": true, "instances": [{word}]}}"#));
    let mut settings = settings(20_000);
    settings["tenants"][0]["quotaPerS"] = 10_000.0.into();
    let config = json!({
        "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}, "settings": settings
    });
    let mut program = Program::start(&folder.0, &config, None);
    for (round, content) in
        [Some("noise"), Some(r#"{"generation": 2, "instances": 7}"#), None].iter().enumerate()
    {
        match content {
            Some(content) => drop(folder.write("own.json", content)),
            None => std::fs::remove_file(folder.0.join("own.json")).unwrap(),
        }
        program.kill();
        program = Program::start(&folder.0, &config, None);
        program.line("indigohold: the register is live");
        let addr = program.addr("platform");
        let ids: Vec<String> = (0..20).map(|n| format!("m-{round}-{n}")).collect();
        ids.iter().for_each(|id| until("it is taken on", || hand_in(addr, id, "print-order") == 202));
        until("all are delivered", || ids.iter().all(|id| used.count(id) + removed.count(id) > 0));
        assert!(ids.iter().all(|id| removed.count(id) == 0), "{content:?}: some went to the removed one");
    }
}
