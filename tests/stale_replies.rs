//! Second copies of earlier replies of a mail server that come while the reply to a message's text is due.

#[path = "support/mailbox.rs"]
mod mailbox;
mod support;

use mailbox::*;
use std::thread;
use std::time::Duration;
use support::*;

const SENDER: &str = "orders@tallowood.example";
const BUSY: &str = "451 4.3.0 busy";

/// A courier between one partner's mail server, for both classes, and the sender's own.
struct Site {
    folder: Folder,
    config: serde_json::Value,
    mail: std::path::PathBuf,
    partner: Mailbox,
    home: Mailbox,
}

impl Site {
    fn new(lmtp: bool, fault: impl Fn(&str, usize) -> Fault + Send + Sync + 'static) -> Site {
        let (partner, home) = (mailbox(lmtp, fault), mailbox(false, |_, _| Fault::None));
        let folder = Folder::new();
        let service = if lmtp { "lmtp" } else { "smtp" };
        let zone = format!(
            "$TTL 60\n@ IN SOA ns hostmaster ( 10 3600 600 86400 60 )\n@ IN NS ns\nns IN A 127.0.0.1\n\
             _{service}._tcp.print IN SRV 0 1 {0} mail\n_{service}._tcp.band IN SRV 0 1 {0} mail\n\
             _smtp._tcp.tallowood IN SRV 0 1 {1} mail\nmail IN A 127.0.0.1\n",
            partner.addr.port(),
            home.addr.port()
        );
        folder.write("partners.zone", &zone);
        let mail = serde_json::json!({
            "enabled": true, "hostname": "courier.test", "smtp": "127.0.0.1:0",
            "zones": [{"origin": "example", "file": "partners.zone"}],
            "partners": [
                {"domain": "print.example", "dest": 50001, "class": "print-order"},
                {"domain": "band.example", "dest": 50002, "class": "render-status"},
                {"domain": "tallowood.example", "dest": 50003, "class": "render-status"}],
            "senders": {"tallowood.example": "tallowood"},
            "classes": {"print-order": {"aim_s": 2, "deadline_s": 8}, "render-status": {"aim_s": 1, "deadline_s": 8}}
        });
        let mail = folder.write("mail.json", &mail.to_string());
        let config = serde_json::json!({"limits": {"disk_mb": 3}, "settings": settings(20_000)});
        Site { folder, config, mail, partner, home }
    }

    /// Hands in a message to each of these, one after another, and waits until each is taken by the partner or bounced.
    fn send_to(&self, recipients: &[&str]) {
        let mut program = Program::start(&self.folder.0, &self.config, Some(&self.mail));
        let smtp = program.addr("smtp");
        for (number, to) in recipients.iter().enumerate() {
            let text =
                format!("Subject: parts\r\nMessage-ID: <{number}@tallowood.example>\r\n\r\nten parts\r\n");
            let said = Client::new(smtp).send("EHLO c", SENDER, &[to], &text);
            assert!(said[0].starts_with("250 "), "{said:?}");
            until(&format!("the end of the message to {to}"), || self.has_ended(to));
            // A connection that is kept is idle by then.
            thread::sleep(Duration::from_millis(20));
        }
        for to in recipients {
            let taken = self.partner.taken(to).len();
            assert!(taken <= 1 || to.ends_with("@band.example"), "{to} was taken {taken} times");
        }
    }

    fn has_ended(&self, to: &str) -> bool {
        let bounced = |seen: &Seen| seen.text.contains(&format!("rfc822; {to}\n"));
        !self.partner.taken(to).is_empty() || self.home.taken(SENDER).iter().any(bounced)
    }
}

/// Guards against a stale reply to RCPT that ends a message whose text the server did not take.
#[test]
fn a_copy_of_the_reply_to_rcpt_delivers_no_message() {
    for lmtp in [false, true] {
        let site =
            Site::new(lmtp, |_, nth| if nth == 1 { Fault::TextAfterRcptCopy(BUSY) } else { Fault::None });
        site.send_to(&["order@print.example", "status@band.example"]);
    }
}

/// Guards against a repeat of an order that was taken, after a stale reply ahead of the server's 250.
#[test]
fn an_order_taken_behind_a_stale_reply_is_not_doubled() {
    let site = Site::new(false, |_, _| Fault::TextAfterRcptCopy("250 2.0.0 taken"));
    site.send_to(&["order@print.example", "another@print.example"]);
}

/// Guards against a stale reply to an earlier message's text that ends the next message on that connection.
#[test]
fn a_copy_of_the_reply_to_an_earlier_text_delivers_no_message() {
    let fault = |to: &str, nth: usize| match (to.starts_with("first"), nth) {
        (false, 1) => Fault::TextAfterTextCopy(BUSY),
        _ => Fault::None,
    };
    let site = Site::new(false, fault);
    // Connections are kept where messages are frequent.
    let frequent: Vec<String> = (0..8).map(|n| format!("first-{n}@print.example")).collect();
    let mut recipients: Vec<&str> = frequent.iter().map(String::as_str).collect();
    recipients.extend(["second@print.example", "third@print.example"]);
    site.send_to(&recipients);
}
