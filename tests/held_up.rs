//! A process is held up between its last look and the first byte: windows allow for it.

mod common;

use common::{class, entry, settings, SenderHarness, S};
use indigohold::*;

/// How long a process may be held up between reading its clock and writing.
const HELD_UP: u64 = 150_000;

#[test]
fn a_repeat_that_is_held_up_still_comes_within_its_window() {
    for window_ms in [400, 1_000, 2_000, 3_000, 5_000, 8_000, 15_000] {
        let window = Micros(window_ms * 1_000);
        let mut set = settings();
        set.classes = vec![class(Effect::Keyed { group: DedupGroup::All, window })];
        let mut bench = SenderHarness::new(set, vec![entry(1, 7)]);
        let sent = bench.now;
        let message = Message {
            id: MessageId(9),
            destination: DestinationId(7),
            class: ClassId(0),
            tenant: TenantId(0),
            key: None,
            due: Micros(sent + 60 * S),
        };
        bench.feed(vec![Event::Resumed {
            message,
            attempts: 1,
            first_uncertain: Some((Micros(sent), common::endpoint(1))),
        }]);
        let may_begin = |at: u64| bench.sender.may_begin(Micros(at), MessageId(9), common::endpoint(1));
        let last = (0..window_ms).rev().find(|ms| may_begin(sent + ms * 1_000));
        let arrives = last.map_or(0, |ms| ms * 1_000 + HELD_UP);
        assert!(arrives < window.0, "window of {window_ms} ms: begun after {last:?} ms");
        assert!(window_ms < 1_000 || last.is_some_and(|ms| ms > window_ms / 2), "{window_ms}: {last:?}");
    }
}
