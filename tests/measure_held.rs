//! A measurement, left out unless it is asked for: what one round of the module costs by how many messages it holds.
//!
//!     cargo test --release --test measure_held -- --ignored --nocapture

mod common;

use common::{class, entry, keyed, settings, S};
use indigohold::*;
use std::time::Instant;

/// Sixteen destinations of which each has told to wait or is at its pace, so that nearly all is held.
#[test]
#[ignore = "a measurement"]
fn a_round_by_what_is_held() {
    println!("held  µs a round (nothing new)  µs a message handed in");
    for held in [10u64, 100, 300, 1_000, 3_000] {
        let mut settings = settings();
        settings.classes = vec![class(Effect::Safe), class(keyed())];
        settings.limits.max_open = Some(10_000);
        settings.limits.slots = Some(7);
        let mut sender = Sender::new(settings, 1);
        let mut actions = Vec::new();
        let list = (1..=32).map(|n| entry(n, u16::from(n) % 16)).collect();
        sender.handle(Micros(0), &[Event::WholeList(list)], &mut actions);
        let message = |id: u64, now: u64| Message {
            id: MessageId(id),
            destination: DestinationId((id % 16) as u16),
            class: ClassId((id % 2) as u16),
            tenant: TenantId(0),
            key: None,
            due: Micros(now + 28 * S),
        };
        let mut now = 1_000;
        for id in 0..held {
            now += 100;
            sender.handle(Micros(now), &[Event::Demand(message(id, now))], &mut actions);
        }
        // Every call out comes back refused with a wait.
        for action in std::mem::take(&mut actions) {
            if let Action::Try { id, endpoint: to, .. } = action {
                let outcome = Outcome::Refused(Some(Micros(20 * S)));
                let (latency, report) = (Micros(1000), Vec::new());
                let event = Event::Returned {
                    id,
                    endpoint: to,
                    outcome,
                    terminal: false,
                    latency,
                    attempt: 0,
                    report,
                };
                sender.handle(Micros(now), &[event], &mut actions);
            }
        }
        let rounds = 2_000u64;
        let begun = Instant::now();
        for n in 0..rounds {
            sender.handle(Micros(now + n), &[Event::TimerElapsed(TimerToken(0))], &mut actions);
        }
        let round = begun.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        now += rounds;
        let begun = Instant::now();
        for n in 0..200 {
            sender.handle(Micros(now + n), &[Event::Demand(message(100_000 + n, now))], &mut actions);
        }
        let each = begun.elapsed().as_secs_f64() * 1e6 / 200.0;
        println!("{held:5} {round:26.1} {each:23.1}");
    }
}
