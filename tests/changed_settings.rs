//! Messages that may have run when their courier was killed, and settings whose classes and tenants have moved, come or gone
//! by the next start.

#[path = "support/mailbox.rs"]
mod mailbox;
mod support;

use indigohold::store::storage::MemoryStorage;
use indigohold::store::{Journal, PositionNames, Req};
use indigohold::Micros;
use mailbox::*;
use serde_json::{json, Value};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::crowd::{environment, request_text, Environment};
use support::*;

const SENDER: &str = "orders@tallowood.example";
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// How long the partner of the platform's messages remembers a key.
const WINDOW: Duration = Duration::from_millis(1_500);

/// A class that is safe to repeat, under another name than the others.
fn added_class() -> Value {
    json!({"name": "added", "aim": 100_000, "deadline": 20_000_000, "group": "all", "idempotency": "pure",
        "lateWorth": 0.1, "repeatWindow": 5_000_000, "worth": 1.0})
}

/// Leaves a call of the message in flight, changes the classes, and starts the next process once the key is forgotten.
/// Returns how often the message was called, and the outcome that its client was told.
fn restart_with_other_classes(change: impl FnOnce(&mut Vec<Value>)) -> (usize, Value) {
    let partner = endpoint(|_, nth| if nth == 1 { Act::Hang } else { Act::Answer(OK) });
    let mut site: Environment = environment(256, 64);
    site.set_endpoints(&[instance("s-3", partner.addr, 3, "up").replace("50.0", "5000.0")]);
    let profile = &mut site.config["settings"]["profiles"][0];
    profile["repeatWindow"] = (WINDOW.as_micros() as u64).into();
    profile["deadline"] = 6_000_000.into();
    let (program, addr) = site.start();
    assert_eq!(ask(addr, request_text("m").replace("20000", "6000").as_bytes()).status(), 202);
    until("its call", || partner.count("m") == 1);
    program.kill();
    thread::sleep(WINDOW + Duration::from_millis(200));
    change(site.config["settings"]["profiles"].as_array_mut().unwrap());
    let _program = site.start();
    until("its end", || site.discovery.noticed("m").is_some() || partner.count("m") > 1);
    let outcome = site.discovery.noticed("m").map_or(Value::Null, |notice| notice["outcome"].clone());
    (partner.count("m"), outcome)
}

/// Guards against a repeat outside the window, as the message counted as one of the class that took its class's place.
#[test]
fn a_class_put_in_front_gives_no_licence_to_repeat() {
    assert_eq!(
        restart_with_other_classes(|classes| classes.insert(0, added_class())),
        (1, json!("given_up"))
    );
}

/// Guards against a client that is told to submit again what may have run, as the class of the message is gone.
#[test]
fn a_message_of_a_removed_class_that_may_have_run_is_given_up() {
    assert_eq!(restart_with_other_classes(|classes| drop(classes.remove(0))), (1, json!("given_up")));
    let other_name = |classes: &mut Vec<Value>| {
        classes.truncate(1);
        classes[0]["name"] = "renamed".into();
        classes[0]["idempotency"] = "pure".into();
    };
    assert_eq!(restart_with_other_classes(other_name), (1, json!("given_up")));
}

/// Guards against an order that is printed twice: mail's classes stand behind the platform's, so a class added there moved
/// them.
#[test]
fn a_class_added_to_the_settings_has_no_mail_order_printed_twice() {
    let print = mailbox(false, |_, nth| if nth == 1 { Fault::HangAfterText } else { Fault::None });
    let home = mailbox(false, |_, _| Fault::None);
    let folder = Folder::new();
    let zone = format!(
        "$TTL 60\n@ IN SOA ns hostmaster ( 10 3600 600 86400 60 )\n@ IN NS ns\nns IN A 127.0.0.1\n\
         _smtp._tcp.print IN SRV 0 1 {} mail\n_smtp._tcp.tallowood IN SRV 0 1 {} mail\nmail IN A 127.0.0.1\n",
        print.addr.port(),
        home.addr.port()
    );
    folder.write("partners.zone", &zone);
    let mail = json!({
        "enabled": true, "hostname": "courier.test", "smtp": "127.0.0.1:0",
        "zones": [{"origin": "example", "file": "partners.zone"}],
        "partners": [
            {"domain": "print.example", "dest": 50001, "class": "print-order"},
            {"domain": "tallowood.example", "dest": 50003, "class": "render-status"}],
        "senders": {"tallowood.example": "tallowood"},
        "classes": {"print-order": {"aim_s": 2, "deadline_s": 6}, "render-status": {"aim_s": 1, "deadline_s": 6}}
    });
    let mail = folder.write("mail.json", &mail.to_string());
    let mut config = json!({"limits": {"disk_mb": 3}, "settings": settings(20_000)});
    let mut program = Program::start(&folder.0, &config, Some(&mail));
    let text = format!("From: <{SENDER}>\r\nMessage-ID: <1@tallowood.example>\r\n\r\nten parts\r\n");
    let said = Client::new(program.addr("smtp")).send("EHLO c", SENDER, &["press@print.example"], &text);
    assert!(said[0].starts_with("250 2.0.0"), "{said:?}");
    until("its text", || print.taken("press@print.example").len() == 1);
    program.kill();
    config["settings"]["profiles"].as_array_mut().unwrap().push(added_class());
    let _program = Program::start(&folder.0, &config, Some(&mail));
    until("its bounce", || home.taken(SENDER).len() == 1 || print.tried("press@print.example") > 1);
    assert_eq!((print.tried("press@print.example"), home.taken(SENDER).len()), (1, 1));
}

fn names(classes: &[&str], tenants: &[&str]) -> PositionNames {
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    PositionNames { classes: owned(classes), tenants: owned(tenants), unlisted_class: classes.len() as u16 }
}

fn req(class: u16, tenant: u16) -> Arc<Req> {
    Arc::new(Req {
        id: format!("m{class}{tenant}"),
        front: 0,
        dest: 3,
        class,
        tenant,
        due: Micros(9_000_000),
        head: String::new(),
        body: vec![7; 20].into(),
        keep_id_until: Micros(0),
    })
}

fn open(storage: &MemoryStorage) -> Journal {
    Journal::open_storage(Box::new(storage.clone()), 400_000, Micros(100)).unwrap()
}

/// Class and tenant of each pending message, by position.
fn positions(journal: &Journal) -> Vec<(u16, u16)> {
    journal.pending().values().map(|state| (state.req.class, state.req.tenant)).collect()
}

#[test]
fn messages_keep_their_class_and_tenant_whatever_the_settings_list_meanwhile() {
    let storage = MemoryStorage::default();
    let mut journal = open(&storage);
    journal.set_position_names(names(&["order", "status"], &["tallowood", "carrabeen"]));
    journal.accept(&[(1, req(0, 0)), (2, req(1, 1))]).unwrap();
    drop(journal);
    let cases = [
        (names(&["order", "status"], &["tallowood", "carrabeen"]), [(0, 0), (1, 1)]),
        (names(&["new", "order", "status"], &["nilecover", "tallowood", "carrabeen"]), [(1, 1), (2, 2)]),
        (names(&["status", "order"], &["carrabeen", "tallowood"]), [(1, 1), (0, 0)]),
        // What is not listed is the class that never repeats, and no tenant.
        (names(&["status"], &["carrabeen"]), [(1, 1), (0, 0)]),
        (names(&["renamed", "status"], &["renamed", "carrabeen"]), [(2, 2), (1, 1)]),
        (names(&[], &[]), [(0, 0), (0, 0)]),
        (names(&["order", "status"], &["tallowood", "carrabeen"]), [(0, 0), (1, 1)]),
    ];
    for (n, (now, expected)) in cases.into_iter().enumerate() {
        let mut journal = open(&storage);
        journal.set_position_names(now);
        assert_eq!(positions(&journal), expected, "case {n}");
        // Enough that the pending messages are written again.
        for msg in 0..400 {
            let body = Req { body: vec![7; 900].into(), ..(*req(0, 0)).clone() };
            journal.accept(&[(1_000 + msg, Arc::new(body))]).unwrap();
            journal.end(1_000 + msg, Micros(200));
        }
    }
}

/// Guards against a licence to repeat from a record that holds a position alone.
#[test]
fn a_record_without_names_keeps_its_position_only_while_no_call_may_have_run() {
    let storage = MemoryStorage::default();
    let mut journal = open(&storage);
    journal.accept(&[(1, req(1, 0)), (2, req(1, 0)), (3, req(7, 0))]).unwrap();
    journal.start_attempt(2, Micros(150), "s-1", None).unwrap();
    drop(journal);
    let mut journal = open(&storage);
    journal.set_position_names(names(&["order", "status"], &["tallowood"]));
    assert_eq!(positions(&journal), [(1, 0), (2, 0), (2, 0)]);
}
