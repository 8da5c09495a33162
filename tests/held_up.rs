//! Repeats within a deduplication window, if the process is suspended between reading its clock and writing the first byte.

mod common;

use common::{class, entry, settings, SenderHarness, S};
use indigohold::*;

/// How long a process may be suspended between reading its clock and writing.
const SUSPENDED_MICROS: u64 = 150_000;

/// Guards against a repeat that arrives after the partner's deduplication window has ended: the window is reduced by the time
/// for which the process may be suspended. From one second on, windows stay usable for more than half of their length.

#[test]
fn a_repeat_of_a_suspended_process_arrives_within_its_window() {
    for window_ms in [400, 1_000, 2_000, 3_000, 5_000, 8_000, 15_000] {
        let window = Micros(window_ms * 1_000);
        let mut settings = settings();
        settings.classes = vec![class(Effect::Keyed { group: DedupGroup::All, window })];
        let mut harness = SenderHarness::new(settings, vec![entry(1, 7)]);
        let first_sent = harness.now;
        let message = Message {
            id: MessageId(9),
            destination: DestinationId(7),
            class: ClassId(0),
            tenant: TenantId(0),
            key: None,
            due: Micros(first_sent + 60 * S),
        };
        harness.feed(vec![Event::Resumed {
            message,
            attempts: 1,
            first_uncertain: Some(common::sent_attempt(first_sent, 1)),
        }]);
        let may_begin = |at: u64| harness.sender.may_begin(Micros(at), MessageId(9), common::endpoint(1));
        let last_begin_ms = (0..window_ms).rev().find(|ms| may_begin(first_sent + ms * 1_000));
        let arrives = last_begin_ms.map_or(0, |ms| ms * 1_000 + SUSPENDED_MICROS);
        assert!(arrives < window.0, "window of {window_ms} ms: last begin after {last_begin_ms:?} ms");
        assert!(
            window_ms < 1_000 || last_begin_ms.is_some_and(|ms| ms > window_ms / 2),
            "window of {window_ms} ms: last begin after {last_begin_ms:?} ms"
        );
    }
}
