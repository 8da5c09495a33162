//! Probes: their cost in terms of the destination's send rate, and what their outcomes mean. Also refusals right after the
//! start, the end of a key's repeat window, and batches in slow start.

mod common;
use common::*;
use indigohold::*;

fn probing() -> Settings {
    let mut settings = settings();
    settings.limits.probes = true;
    settings
}

fn probes(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint = |action: &Action| match action {
        Action::Probe(endpoint) => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

impl SenderHarness {
    fn probed(&mut self, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
        let (latency, report) = (Micros(10_000), vec![]);
        self.feed(vec![Event::Probed { endpoint, outcome, latency, report }])
    }
}

const ENDPOINTS: u8 = 4;

/// A destination that refused a call, so that its send rate is low, and then could not be reached.
fn ejected_at_a_low_rate() -> SenderHarness {
    let mut harness = SenderHarness::new(probing(), (1..=ENDPOINTS).map(|n| entry(n, 7)).collect());
    harness.demand(1, 7, 0);
    harness.now += 10_000;
    harness.returns(1, Outcome::Refused(None));
    for id in 10..200 {
        harness.demand(id, 7, 0);
        let mut actions = harness.last_actions.clone();
        actions.extend(harness.wait(S / 2));
        let in_flight: Vec<u64> = harness.in_flight.iter().map(|attempt| attempt.id).collect();
        in_flight.iter().for_each(|id| actions.extend(harness.returns(*id, Outcome::ConnectFailed)));
        if !probes(&actions).is_empty() {
            return harness;
        }
    }
    panic!("never probed");
}

/// Guards against probes that are counted against the send rate one after another: at a low rate they delayed calls by a
/// minute, and an endpoint received nothing in that time after its recovery.
#[test]
fn many_probes_delay_the_next_call_by_one_gap_at_most() {
    let mut harness = ejected_at_a_low_rate();
    // The destination is unreachable for a minute, and each of its endpoints is probed repeatedly.
    let mut probed = probes(&harness.last_actions.clone());
    for _ in 0..240 {
        for endpoint in std::mem::take(&mut probed) {
            probed.extend(probes(&harness.probed(endpoint, Outcome::ConnectFailed)));
        }
        harness.demand(1_000 + harness.now, 7, 0);
        probed.extend(probes(&harness.last_actions.clone()));
        probed.extend(probes(&harness.wait(S / 4)));
    }
    probed.iter().for_each(|endpoint| drop(harness.probed(*endpoint, Outcome::ConnectFailed)));
    while !probes(&harness.last_actions).contains(&endpoint(1)) {
        harness.wait(5_000);
        let others: Vec<_> =
            probes(&harness.last_actions).into_iter().filter(|probed| *probed != endpoint(1)).collect();
        let found = probes(&harness.last_actions).contains(&endpoint(1));
        others.iter().for_each(|endpoint| drop(harness.probed(*endpoint, Outcome::ConnectFailed)));
        if found {
            break;
        }
    }
    harness.probed(endpoint(1), Outcome::Ok);
    harness.demand(900, 7, 0);
    let actions = harness.wait(10 * S);
    assert!(!attempted_ids(&actions).is_empty(), "a message is sent within a gap at the lowest rate");
}

/// Guards against a busy destination that stays ejected for as long as others use up its limit. It answers, so it is up.
#[test]
fn a_refused_probe_allows_a_half_open_request() {
    let mut harness = ejected_at_a_low_rate();
    harness.demand(900, 7, 0);
    harness.probed(endpoint(1), Outcome::Refused(None));
    let actions = harness.wait(10 * S);
    assert!(!attempted_ids(&actions).is_empty(), "a message is sent, and not only the next probe");
}

/// A destination that is at its limit from the start refuses several calls in a row. That is no outage, whether it ever
/// accepted a call or not, because too little time has passed.
#[test]
fn two_refusals_right_after_the_start_are_no_outage() {
    let mut runs_with_two_refusals = 0;
    for seed in 0..40 {
        let mut harness = SenderHarness::seeded(settings(), vec![], seed);
        // The clock of a real process begins far from 0.
        harness.now = 1_000_000 * S;
        let listed = harness.now;
        harness.feed(vec![Event::WholeList(vec![entry(1, 7)])]);
        let mut refused = 0;
        for id in 1..=8 {
            harness.demand(id, 7, 0);
            harness.wait(S / 2);
            let in_flight: Vec<u64> = harness.in_flight.iter().map(|attempt| attempt.id).collect();
            refused += in_flight.len();
            in_flight.iter().for_each(|id| drop(harness.returns(*id, Outcome::Refused(None))));
        }
        assert!(harness.now < listed + 5 * S);
        runs_with_two_refusals += usize::from(refused >= 2);
        assert!(!harness.sender.is_ejected(endpoint(1)), "seed {seed}, {refused} refusals");
    }
    assert!(runs_with_two_refusals > 0, "no run had two refusals");
}

/// Guards against a repeat that begins when the partner is about to forget the key. A sender that has just started knows no
/// latency, and a slow process needs time between its last clock reading and the last byte.
#[test]
fn a_repeat_leaves_a_margin_of_the_window_while_no_latency_is_known() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let due = Micros(harness.now + 28 * S);
    let message = Message {
        id: MessageId(1),
        destination: DestinationId(7),
        class: ClassId(1),
        tenant: TenantId(0),
        key: None,
        due,
    };
    let sent = Micros(harness.now);
    harness.feed(vec![Event::Resumed {
        message,
        attempts: 1,
        first_uncertain: Some(sent_attempt(sent.0, 1)),
    }]);
    let window = 12 * S;
    let may_begin = |now: u64| harness.sender.may_begin(Micros(now), MessageId(1), endpoint(1));
    assert!(may_begin(sent.0 + window - 300_000), "the margin is a fiftieth of twelve seconds, 240 ms");
    assert!(!may_begin(sent.0 + window - 200_000));
    assert!(!may_begin(sent.0 + window - 6_000));
}

/// Guards against a bound that overflows where no slow-start rule is set and calls carry several messages.
#[test]
fn batches_are_sent_to_a_returned_endpoint_without_a_slow_start_rule() {
    let mut settings = settings();
    settings.kinds[0].max_batch_size = 20;
    (settings.rules.cold_share, settings.rules.overload_factor) = (None, None);
    let mut harness = SenderHarness::new(settings, vec![entry(1, 7)]);
    harness.demand(1, 7, 0);
    harness.returns(1, Outcome::ConnectFailed);
    let mut sent = attempted_ids(&harness.wait(10 * S));
    assert!(!sent.is_empty(), "the half-open request");
    harness.returns(sent.remove(0), Outcome::Ok);
    let events = (2..=9).map(|id| harness.message(id, 7, 0, None)).collect();
    let mut attempted = attempted_ids(&harness.feed(events));
    attempted.extend(attempted_ids(&harness.wait(2 * S)));
    assert!(!attempted.is_empty(), "the batches are sent");
}
