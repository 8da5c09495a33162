//! A random sweep over settings documents, within what the pages say: the courier's real core under each, in virtual time.
//! `PROPTEST_CASES` says how many; a document that fails is made as small as it can be.

use indigohold_lab::deployments::{play, World};
use proptest::option::of;
use proptest::prelude::*;
use proptest::sample::select;
use serde_json::{json, Map, Value};

const S: u64 = 1_000_000;

/// An object of these fields, each there or not.
fn some(fields: Vec<(&'static str, BoxedStrategy<Value>)>) -> BoxedStrategy<Value> {
    let fields: Vec<_> = fields
        .into_iter()
        .map(|(name, value)| prop::option::weighted(0.7, value).prop_map(move |v| v.map(|v| (name, v))))
        .collect();
    let object = |fields: Vec<Option<(&str, Value)>>| {
        Value::Object(
            fields.into_iter().flatten().map(|(name, v)| (name.to_owned(), v)).collect::<Map<_, _>>(),
        )
    };
    fields.prop_map(object).boxed()
}

fn whole(from: u64, to: u64) -> BoxedStrategy<Value> {
    (from..=to).prop_map(Value::from).boxed()
}

fn share(from: f64, to: f64) -> BoxedStrategy<Value> {
    (from..to).prop_map(Value::from).boxed()
}

fn flag() -> BoxedStrategy<Value> {
    any::<bool>().prop_map(Value::from).boxed()
}

fn flags(kinds: usize) -> BoxedStrategy<Value> {
    prop::collection::vec(any::<bool>(), kinds).prop_map(Value::from).boxed()
}

/// A class: wanted within 0.1 to 10 s, given up after up to eight times that.
fn profile() -> impl Strategy<Value = Value> {
    let times = (S / 10..10 * S, 1.5f64..8.0, S / 2..20 * S);
    let repeats = (select(vec!["pure", "token", "side_effect"]), select(vec!["all", "zone", "cell"]));
    (times, repeats, 0.05f64..10.0, of(0.0f64..1.0)).prop_map(|(times, repeats, worth, late)| {
        let (aim, deadlines, window) = times;
        let mut out = json!({"name": "c", "aim": aim, "deadline": (aim as f64 * deadlines) as u64, "worth": worth,
            "idempotency": repeats.0});
        if repeats.0 == "token" {
            (out["group"], out["repeatWindow"]) = (repeats.1.into(), window.into());
        }
        if let Some(late) = late {
            out["lateWorth"] = late.into();
        }
        out
    })
}

fn tenant() -> impl Strategy<Value = Value> {
    of(0.1f64..60.0)
        .prop_map(|quota| quota.map_or(json!({"name": "t"}), |q| json!({"name": "t", "quotaPerS": q})))
}

/// A document, as the platform tells it.
fn document() -> impl Strategy<Value = Value> {
    let kinds = 1usize..4;
    let fixed = (
        select(vec![1u32, 2, 3, 10, 40, 300]),
        prop::collection::vec(profile(), 1..4),
        select(vec!["automatic", "subscribe"]),
        of(select(vec!["off", "nominal", "rough", "live"])),
        1_000u64..50_000,
        prop::collection::vec(tenant(), 0..5),
        kinds,
        select(vec![vec![], vec!["x0"], vec!["x1", "x0"], vec!["y", "x0", "x1"]]),
    );
    fixed.prop_flat_map(|(couriers, profiles, discovery, weights, period, tenants, kinds, report)| {
        let bundles = prop::collection::vec(1u32..21, kinds).prop_map(Value::from).boxed();
        let fades = select(vec!["even", "by_half"]).prop_map(Value::from).boxed();
        let family = some(vec![
            ("bundleMax", bundles),
            ("kindApart", flags(kinds)),
            ("fades", fades),
            ("slots", whole(3, 64)),
        ]);
        let limits = some(vec![
            ("cancel", flag()),
            ("probing", flag()),
            ("peers", flag()),
            ("maxOpen", whole(8, 400)),
            ("tryLimit", whole(1, 12)),
            ("maxRetryAfter", whole(S / 5, 10 * S)),
        ]);
        let invariants = some(vec![
            ("answerSlack", whole(0, S / 2)),
            ("cold", whole(S, 20 * S)),
            ("coldShare", share(0.05, 1.0)),
            ("overloadFactor", share(1.1, 4.0)),
            ("tipAfter", whole(S / 5, 5 * S)),
            ("keyQuiet", whole(0, S)),
            ("mustAskIn", whole(2 * S, 30 * S)),
            ("stopSendingWithin", whole(50_000, S)),
        ]);
        (family, limits, invariants, of(0.0f64..1.0)).prop_map(move |(family, limits, invariants, over)| {
            let mut out = json!({"balancers": couriers, "profiles": profiles, "discovery": discovery,
                "period": period, "tenants": tenants, "failureDomains": ["a", "b"],
                "kinds": (0..kinds).map(|n| format!("k{n}")).collect::<Vec<_>>(), "loadReport": {"names": report}, "familyInfo": family,
                "limits": limits, "invariants": invariants});
            if let Some(weights) = weights {
                out["weights"] = weights.into();
            }
            if let Some(over) = over {
                out["overShareWorth"] = over.into();
            }
            out
        })
    })
}

/// What the document allows: the shortest of all aims and windows, in seconds, and calls at once.
fn least(document: &Value) -> (f64, f64) {
    let of = |p: &Value| p["aim"].as_u64().into_iter().chain(p["repeatWindow"].as_u64()).min().unwrap();
    let aims = document["profiles"].as_array().unwrap().iter().map(of);
    let slots = document["familyInfo"]["slots"].as_u64().unwrap_or(16);
    let room = document["limits"]["maxOpen"].as_u64().unwrap_or(64);
    (aims.min().unwrap() as f64 / 1e6, slots.min(room / 2) as f64)
}

/// Few cases beside the other tests; more by `PROPTEST_CASES`.
fn cases() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(cases())]

    /// Whatever goes wrong round it, the core does nothing that its settings do not permit, and owes nobody in the end.
    #[test]
    fn nothing_is_done_that_the_settings_do_not_permit(
        document in document(), seed in any::<u64>(), rate in 2.0f64..40.0, trouble in 0.02f64..0.6,
        endpoints in prop::collection::vec(1usize..4, 1..4),
    ) {
        let service = (0.01, 0.3);
        let world = World { seed, endpoints, rate, seconds: 6.0, service, trouble, weight: rate };
        let played = play(&document, &world).unwrap();
        prop_assert!(played.broken.is_empty(), "{:#?}", played.broken);
    }

    /// Where nothing goes wrong and there is room, what is handed in is delivered.
    #[test]
    fn what_is_handed_in_is_delivered_where_nothing_goes_wrong(
        document in document(), seed in any::<u64>(), endpoints in prop::collection::vec(1usize..4, 1..4),
    ) {
        let (aim, at_once) = least(&document);
        let service = (aim * 0.05, aim * 0.4);
        // A third of what calls out at once can do; the limit that is listed is four times this courier's part.
        let rate = (at_once / service.1 * 0.15).min(20.0);
        let weight = 4.0 * rate * document["balancers"].as_f64().unwrap();
        let world = World { seed, endpoints, rate, seconds: 8.0, service, trouble: 0.0, weight };
        let played = play(&document, &world).unwrap();
        prop_assert!(played.broken.is_empty(), "{:#?}", played.broken);
        let lost = played.wanted - played.delivered;
        prop_assert!(lost as f64 <= 0.05 * played.wanted as f64 + 2.0, "{played:?}");
    }
}
