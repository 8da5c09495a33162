//! Where senders may probe: what probes cost the destination's pace, and what their answers say of it.

mod common;
use common::*;
use indigohold::*;

fn probing() -> Settings {
    let mut settings = settings();
    settings.limits.probes = true;
    settings
}

fn probes(actions: &[Action]) -> Vec<EndpointId> {
    let at = |a: &Action| match a {
        Action::Probe(at) => Some(*at),
        _ => None,
    };
    actions.iter().filter_map(at).collect()
}

impl SenderHarness {
    fn probed(&mut self, at: EndpointId, outcome: Outcome) -> Vec<Action> {
        let (latency, report) = (Micros(10_000), vec![]);
        self.feed(vec![Event::Probed { endpoint: at, outcome, latency, report }])
    }
}

const ENDPOINTS: u8 = 4;

/// A destination that refused once, so that it has a low pace, and then could not be reached.
fn out_at_a_low_pace() -> SenderHarness {
    let mut b = SenderHarness::new(probing(), (1..=ENDPOINTS).map(|n| entry(n, 7)).collect());
    b.demand(1, 7, 0);
    b.now += 10_000;
    b.returns(1, Outcome::Refused(None));
    for id in 10..200 {
        b.demand(id, 7, 0);
        let mut done = b.last_actions.clone();
        done.extend(b.wait(S / 2));
        let out: Vec<u64> = b.in_flight.iter().map(|a| a.id).collect();
        out.iter().for_each(|id| done.extend(b.returns(*id, Outcome::ConnectFailed)));
        if !probes(&done).is_empty() {
            return b;
        }
    }
    panic!("never probed");
}

/// Guards against probes that are each counted behind the last: at a low pace they put calls off for a minute, and the
/// endpoint, once up, gets nothing for as long.
#[test]
fn many_probes_put_the_next_call_off_by_one_gap_at_most() {
    let mut b = out_at_a_low_pace();
    // It stays out for a minute, and each of its endpoints is asked again and again.
    let mut asked = probes(&b.last_actions.clone());
    for _ in 0..240 {
        for at in std::mem::take(&mut asked) {
            asked.extend(probes(&b.probed(at, Outcome::ConnectFailed)));
        }
        b.demand(1_000 + b.now, 7, 0);
        asked.extend(probes(&b.last_actions.clone()));
        asked.extend(probes(&b.wait(S / 4)));
    }
    asked.iter().for_each(|at| drop(b.probed(*at, Outcome::ConnectFailed)));
    while !probes(&b.last_actions).contains(&endpoint(1)) {
        b.wait(5_000);
        let others: Vec<_> = probes(&b.last_actions).into_iter().filter(|at| *at != endpoint(1)).collect();
        let found = probes(&b.last_actions).contains(&endpoint(1));
        others.iter().for_each(|at| drop(b.probed(*at, Outcome::ConnectFailed)));
        if found {
            break;
        }
    }
    b.probed(endpoint(1), Outcome::Ok);
    b.demand(900, 7, 0);
    let done = b.wait(10 * S);
    assert!(!attempted_ids(&done).is_empty(), "a message may try within a gap of the slowest pace");
}

/// Guards against a busy destination that counts as out for as long as others use its limit up: it answers, so it is up.
#[test]
fn a_probe_that_is_told_full_lets_a_message_try() {
    let mut b = out_at_a_low_pace();
    b.demand(900, 7, 0);
    b.probed(endpoint(1), Outcome::Refused(None));
    let done = b.wait(10 * S);
    assert!(!attempted_ids(&done).is_empty(), "a message tries, and not only the next probe");
}

/// A destination at its limit from the first second refuses in a row; that is no outage, whether anything was ever taken
/// there or not: nothing has been silent for long.
#[test]
fn two_refusals_right_after_the_start_are_no_outage() {
    let mut soon = 0;
    for seed in 0..40 {
        let mut b = SenderHarness::seeded(settings(), vec![], seed);
        // The clock of a real life begins far from 0.
        b.now = 1_000_000 * S;
        let listed = b.now;
        b.feed(vec![Event::WholeList(vec![entry(1, 7)])]);
        let mut refused = 0;
        for id in 1..=8 {
            b.demand(id, 7, 0);
            b.wait(S / 2);
            let out: Vec<u64> = b.in_flight.iter().map(|a| a.id).collect();
            refused += out.len();
            out.iter().for_each(|id| drop(b.returns(*id, Outcome::Refused(None))));
        }
        assert!(b.now < listed + 5 * S);
        soon += usize::from(refused >= 2);
        assert!(!b.sender.is_ejected(endpoint(1)), "seed {seed}, {refused} refusals");
    }
    assert!(soon > 0, "no two refusals came so soon");
}

/// Guards against a repeat that is begun when its partner is about to forget the key: whoever has just started knows no
/// latency there, and between the last look and the last byte a slow process needs its time.
#[test]
fn a_repeat_keeps_a_part_of_the_window_where_no_latency_is_known() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let due = Micros(b.now + 28 * S);
    let message = Message {
        id: MessageId(1),
        destination: DestinationId(7),
        class: ClassId(1),
        tenant: TenantId(0),
        key: None,
        due,
    };
    let sent = Micros(b.now);
    b.feed(vec![Event::Resumed { message, attempts: 1, first_uncertain: Some((sent, endpoint(1))) }]);
    let window = 12 * S;
    let may = |at: u64| b.sender.may_begin(Micros(at), MessageId(1), endpoint(1));
    assert!(may(sent.0 + window - 300_000), "a fiftieth of twelve seconds is 240 ms");
    assert!(!may(sent.0 + window - 200_000));
    assert!(!may(sent.0 + window - 6_000));
}

/// Guards against a bound that overflows where no rule of coldness is set and calls take several messages.
#[test]
fn bundles_go_to_a_returned_endpoint_where_no_coldness_is_told() {
    let mut settings = settings();
    settings.kinds[0].max_batch_size = 20;
    (settings.rules.cold_share, settings.rules.overload_factor) = (None, None);
    let mut b = SenderHarness::new(settings, vec![entry(1, 7)]);
    b.demand(1, 7, 0);
    b.returns(1, Outcome::ConnectFailed);
    let mut sent = attempted_ids(&b.wait(10 * S));
    assert!(!sent.is_empty(), "its trial");
    b.returns(sent.remove(0), Outcome::Ok);
    let events = (2..=9).map(|id| b.message(id, 7, 0, None)).collect();
    let mut went = attempted_ids(&b.feed(events));
    went.extend(attempted_ids(&b.wait(2 * S)));
    assert!(!went.is_empty(), "they go");
}
