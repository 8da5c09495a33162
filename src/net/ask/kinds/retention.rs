//! `retention [TENANT]`: what each courier honours of retention, and, at the one that asked, for each tenant: honoured by all, by
//! whom not, who did not say and since when it is unheard, and the oldest message that anybody is known to hold.

use super::{Answers, Here, Piece};
use crate::api::Micros;
use crate::ask::Kind;
use crate::control::schema::SettingsNames;
use crate::history::keeper::Keeper;
use crate::history::retention::ANY;
use crate::net::ask::shape::{plain, AnswerShape, PartShape};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// What is for any tenant.
const EVERY: &str = "any";
/// Tenants in a piece; with 64 pieces there are more than a courier may have policies.
const PIECE: usize = 64;

pub(super) struct Honours;

/// What goes with a part's first piece.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Head {
    kept: u64,
    informed: bool,
    fresh: bool,
    /// So long ago enough others were last heard.
    heard_ms: Option<u64>,
    /// All that it knows is written down, and what that forbids is deleted.
    settled: bool,
}

/// One tenant at one courier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Line {
    tenant: String,
    version: u64,
    forgotten_until_ms: Option<u64>,
    oldest_ms: Option<u64>,
    /// Of all that it knows of the tenant. Danger: the newest version alone says nothing of what else is lacking.
    book: u64,
}

/// What is known of a courier that did not say.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct Unheard {
    why: String,
    /// When it was last alive, by the notes between couriers.
    since_ms: Option<u64>,
    /// The version that it last said it honoured.
    version: Option<u64>,
    oldest_ms: Option<u64>,
}

/// One tenant at the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct Tenant {
    tenant: String,
    version: u64,
    forgotten_until_ms: Option<u64>,
    by_all: bool,
    honoured_by: Vec<String>,
    /// Those that honour less, with their version, and those that have not yet deleted by what they know.
    not_by: BTreeMap<String, u64>,
    unheard: BTreeMap<String, Unheard>,
    oldest_ms: Option<u64>,
}

fn ms(at: Micros) -> u64 {
    at.0 / 1_000
}

fn lines(keeper: &Keeper, words: &SettingsNames, now: Micros, only: &str) -> Option<(Head, Vec<Line>)> {
    let history = keeper.history()?;
    let digests = history.book().digests();
    let head = Head {
        kept: history.len() as u64,
        informed: keeper.hearing.informed(),
        fresh: keeper.hearing.fresh(now),
        heard_ms: keeper.hearing.since().map(|at| ms(now - at)),
        settled: history.settled(),
    };
    let name = |tenant| {
        if tenant == ANY {
            EVERY.to_owned()
        } else {
            SettingsNames::name_of(&words.tenants, tenant)
        }
    };
    let all = [ANY].into_iter().chain(history.tenants()).map(|tenant| (tenant, name(tenant)));
    let wanted = |name: &str| only.is_empty() || name == only || name == EVERY;
    let told = all.filter(|(_, name)| wanted(name)).map(|(tenant, name)| {
        let said = history.honours(keeper.me, tenant, now);
        Line {
            tenant: name,
            version: said.version,
            forgotten_until_ms: (said.forgot > 0).then(|| u64::from(said.forgot) * 1_000),
            oldest_ms: said.oldest.map(ms),
            book: digests.get(&tenant).or(digests.get(&ANY)).copied().unwrap_or(0),
        }
    });
    Some((head, told.collect()))
}

impl Answers for Honours {
    fn kind(&self) -> Kind {
        Kind::Retention
    }

    fn check(&self, here: &Here, subject: &str) -> Result<(), String> {
        match subject.is_empty() || here.words.tenants.iter().any(|name| name == subject) {
            true => Ok(()),
            false => Err(format!("{:?} is no tenant of the settings", plain(subject, 64))),
        }
    }

    fn needs_core(&self) -> bool {
        true
    }

    fn answer(&self, here: &Here, subject: &str) -> Result<Vec<Piece>, String> {
        let said = here.history(|keeper, now| lines(keeper, &here.words, now, subject))?;
        let said = said.ok_or_else(|| here.no_history())?;
        let (head, lines) = said.ok_or("this courier's history is closed")?;
        let mut out = vec![Piece { figure: head.kept, settles: false, body: json!(head) }];
        let more = lines.chunks(PIECE);
        out.extend(more.map(|lines| Piece { figure: 0, settles: false, body: json!({ "tenants": lines }) }));
        Ok(out)
    }

    fn finishes(&self) -> bool {
        true
    }

    fn finish(&self, here: &Here, shape: &mut AnswerShape) {
        let unheard = |keeper: &Keeper| {
            let place = |name: &str| here.fleet.index_of(name).map(|at| at as u64);
            // Danger: numbers that differ would tell of another courier.
            let same = place(&shape.asked) == Some(keeper.me);
            let of = |name: &str| keeper.others.get(&place(name)?).filter(|_| same).cloned();
            let all = shape.missing.iter().map(|gone| (gone.courier.clone(), of(&gone.courier)));
            all.collect::<BTreeMap<_, _>>()
        };
        let known = here.history(|keeper, _| unheard(keeper)).ok().flatten().unwrap_or_default();
        let last = |name: &str, tenant: &str| {
            let other = known.get(name).cloned().flatten().unwrap_or_default();
            let place =
                here.words.tenants.iter().position(|of| of == tenant).and_then(|at| u16::try_from(at).ok());
            let said = place.and_then(|place| other.tenants.get(&place).copied());
            (other.alive.map(ms), said)
        };
        shape.together = Some(json!({ "tenants": merge(shape, last) }));
    }
}

/// What one that did not say last said of a tenant: when it was last alive, and its version, forgotten second and oldest.
type Last = (Option<u64>, Option<(u64, u32, Option<u32>)>);

fn merge(shape: &AnswerShape, last: impl Fn(&str, &str) -> Last) -> Vec<Tenant> {
    let mut said: Vec<Said> = shape.parts.iter().filter(|part| part.whole).map(Said::of).collect();
    said.sort_by_key(|s| s.courier);
    let tenants: BTreeSet<&str> = said.iter().flat_map(|s| s.lines.keys().map(String::as_str)).collect();
    let of = |tenant: &str| {
        let lines: Vec<(&Said, &Line)> = said.iter().filter_map(|s| Some((s, s.line(tenant)?))).collect();
        let mut version = lines.iter().map(|(_, l)| l.version).max().unwrap_or(0);
        let mut forgotten = lines.iter().filter_map(|(_, l)| l.forgotten_until_ms).max();
        // Two books of one version: most have the whole of it, or the one that was asked.
        let newest = lines.iter().filter(|(_, l)| (l.version, l.forgotten_until_ms) == (version, forgotten));
        let mut books: BTreeMap<u64, (usize, bool)> = BTreeMap::new();
        for (s, line) in newest {
            let (n, asked) = books.entry(line.book).or_default();
            (*n, *asked) = (*n + 1, *asked || s.courier == shape.asked);
        }
        let book = books.into_iter().max_by_key(|(_, rank)| *rank).map(|(book, _)| book);
        let mut oldest_ms = lines.iter().filter_map(|(_, l)| l.oldest_ms).min();
        let mut unheard = BTreeMap::new();
        for gone in &shape.missing {
            let (since_ms, said) = last(&gone.courier, tenant);
            let (its, forgot, oldest) = said.unwrap_or_default();
            let oldest = oldest.map(|at| u64::from(at) * 1_000);
            oldest_ms = oldest_ms.into_iter().chain(oldest).min();
            version = version.max(its);
            forgotten = forgotten.max((forgot > 0).then(|| u64::from(forgot) * 1_000));
            let (why, its) = (gone.why.clone(), said.map(|_| its));
            unheard.insert(gone.courier.clone(), Unheard { why, since_ms, version: its, oldest_ms: oldest });
        }
        let (mut honoured_by, mut not_by) = (Vec::new(), BTreeMap::new());
        for s in &said {
            let same =
                |l: &&Line| Some(l.book) == book && l.version >= version && l.forgotten_until_ms >= forgotten;
            let line = s.line(tenant);
            match line.filter(same).filter(|_| s.settled) {
                Some(_) => honoured_by.push(s.courier.to_owned()),
                None => drop(not_by.insert(s.courier.to_owned(), line.map_or(0, |line| line.version))),
            }
        }
        let (tenant, by_all) = (tenant.to_owned(), not_by.is_empty() && unheard.is_empty());
        let forgotten_until_ms = forgotten;
        Tenant { tenant, version, forgotten_until_ms, by_all, honoured_by, not_by, unheard, oldest_ms }
    };
    // What is said of any tenant is worth a line only where there is something.
    let all = tenants.into_iter().map(of);
    all.filter(|t| t.tenant != EVERY || t.version > 0 || t.forgotten_until_ms.is_some()).collect()
}

/// What one courier said.
struct Said<'a> {
    courier: &'a str,
    settled: bool,
    lines: BTreeMap<String, Line>,
}

impl Said<'_> {
    fn of(part: &PartShape) -> Said<'_> {
        let head = part.says.first().and_then(|head| serde_json::from_value::<Head>(head.clone()).ok());
        let tenants = part.says.iter().filter_map(|body| body.get("tenants"));
        let lines = tenants.flat_map(|lines| Vec::<Line>::deserialize(lines).unwrap_or_default());
        Said {
            courier: &part.courier,
            settled: head.is_some_and(|head| head.settled),
            lines: lines.map(|line| (line.tenant.clone(), line)).collect(),
        }
    }

    /// Where a courier neither keeps anything of a tenant nor has a word on it, what it has for all holds.
    fn line(&self, tenant: &str) -> Option<&Line> {
        self.lines.get(tenant).or_else(|| self.lines.get(EVERY))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::ask::shape::MissingShape;

    fn line(tenant: &str, version: u64, forgot: Option<u64>, oldest: Option<u64>, book: u64) -> Line {
        let tenant = tenant.into();
        Line { tenant, version, forgotten_until_ms: forgot, oldest_ms: oldest, book }
    }

    fn part(courier: &str, settled: bool, lines: Vec<Line>) -> PartShape {
        let head = Head { kept: 1, informed: true, fresh: true, heard_ms: None, settled };
        let mut says = vec![json!(head)];
        says.extend(lines.chunks(1).map(|lines| json!({ "tenants": lines })));
        PartShape { courier: courier.into(), whole: true, after_ms: 1.0, figure: 1, says }
    }

    /// Guards against a courier that is taken to honour what it does not, by each way in which it may not.
    #[test]
    fn who_honours_less_or_differently_or_has_not_said_is_named_for_each_tenant() {
        let any = || line(EVERY, 1, None, None, 7);
        let parts = vec![
            part(
                "a",
                true,
                vec![any(), line("t", 3, Some(9_000), Some(50_000), 31), line("u", 1, None, Some(8), 7)],
            ),
            part("b", true, vec![any(), line("t", 3, Some(9_000), Some(40_000), 31)]),
            part("old", true, vec![any(), line("t", 2, Some(9_000), None, 22)]),
            part("other", true, vec![any(), line("t", 3, Some(9_000), None, 30)]),
            part("slow", false, vec![any(), line("t", 3, Some(9_000), Some(1_000), 31)]),
            part("none", true, vec![any()]),
        ];
        let gone = MissingShape {
            courier: "gone".into(),
            why: "away".into(),
            detail: String::new(),
            share: 0.1,
            some: false,
            before: None,
        };
        let shape = AnswerShape {
            kind: "retention".into(),
            subject: String::new(),
            asked: "a".into(),
            complete: false,
            majority: true,
            fleet: 7,
            heard: 6,
            share: 0.9,
            figure: 6,
            waited_ms: 1.0,
            stopped: "nobody_left".into(),
            parts,
            missing: vec![gone],
            together: None,
        };
        let last = |name: &str, tenant: &str| match (name, tenant) {
            ("gone", "t") => (Some(777), Some((2, 5, Some(2)))),
            ("gone", _) => (Some(777), None),
            _ => (None, None),
        };
        let all = merge(&shape, last);
        assert_eq!(all.iter().map(|t| t.tenant.as_str()).collect::<Vec<_>>(), [EVERY, "t", "u"]);
        let t = &all[1];
        assert_eq!(
            (t.version, t.forgotten_until_ms, t.by_all, t.oldest_ms),
            (3, Some(9_000), false, Some(1_000))
        );
        assert_eq!(t.honoured_by, ["a", "b"]);
        let not: Vec<(&str, u64)> = t.not_by.iter().map(|(name, v)| (name.as_str(), *v)).collect();
        assert_eq!(not, [("none", 1), ("old", 2), ("other", 3), ("slow", 3)]);
        let gone = &t.unheard["gone"];
        assert_eq!((gone.since_ms, gone.version, gone.oldest_ms), (Some(777), Some(2), Some(2_000)));
        // Nobody but the first keeps anything of it: what all have for any tenant holds.
        assert_eq!((all[2].honoured_by.len(), all[2].unheard.len(), all[2].oldest_ms), (5, 1, Some(8)));
        assert!(all[2].not_by.contains_key("slow"));
    }
}
