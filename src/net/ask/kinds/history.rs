//! `history TENANT DESTINATION [since=TIME] [until=TIME] [after=MARK] [most=N]`: the history of a channel, a page at a time. No
//! texts go out. Each courier shows what its own book allows; the one that asked goes over it once more by its own.

use super::{Answers, Here, Piece};
use crate::api::Micros;
use crate::ask::Kind;
use crate::control::schema::SettingsNames;
use crate::history::reading::{Mark, Page};
use crate::history::retention::{About, Scope, ANY};
use crate::history::store::{EndKind, Kept};
use crate::net::ask::shape::{plain, AnswerShape};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::time::UNIX_EPOCH;

/// Messages of a page, and how many there may be: with the longest ids they fit into an answer.
const MOST: usize = 50;
const MOST_OF_ALL: usize = 200;
/// Messages in a piece.
const PIECE: usize = 32;
/// Letters of what a backend last said.
const SAID: usize = 120;

pub(super) struct Channel;

/// What is asked for.
#[derive(Debug, PartialEq)]
struct Wanted {
    scope: Scope,
    after: Mark,
    until: Option<Micros>,
    most: usize,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Row {
    /// Whose; empty on the wire.
    #[serde(default)]
    courier: String,
    id: String,
    ended_us: u64,
    number: u64,
    class: String,
    how: String,
    bytes: usize,
    backend: String,
    said: String,
}

impl Row {
    fn of(number: u64, kept: &Kept, words: &SettingsNames) -> Row {
        let how = match kept.how {
            EndKind::Delivered => "delivered",
            EndKind::GivenUp => "given_up",
            EndKind::HandedBack => "handed_back",
        };
        Row {
            courier: String::new(),
            id: kept.id.clone(),
            ended_us: kept.ended.0,
            number,
            class: SettingsNames::name_of(&words.classes, kept.class),
            how: how.into(),
            bytes: kept.body.len(),
            backend: plain(&kept.first.1, SAID),
            said: plain(&kept.said, SAID),
        }
    }

    fn mark(&self) -> Mark {
        (Micros(self.ended_us), self.number)
    }
}

/// What goes with a part's first piece.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Head {
    /// There may be more after this place.
    upto: Option<(u64, u64)>,
    /// So long ago enough others were last heard, for what they have forgotten; none where there are no others.
    heard_ms: Option<u64>,
}

fn moment(text: &str) -> Result<Micros, String> {
    let time = humantime::parse_rfc3339_weak(text).map_err(|e| format!("{text:?}: {e}"))?;
    let since = time.duration_since(UNIX_EPOCH).map_err(|_| format!("{text:?}: long past"))?;
    Ok(Micros(since.as_micros() as u64))
}

fn mark(text: &str) -> Option<Mark> {
    let (at, number) = text.split_once('/')?;
    Some((Micros(at.parse().ok()?), number.parse().ok()?))
}

fn wanted(words: &SettingsNames, subject: &str) -> Result<Wanted, String> {
    let mut all = subject.split(' ').filter(|word| !word.is_empty());
    let (Some(tenant), Some(dest)) = (all.next(), all.next()) else {
        return Err("it takes a tenant and a destination's number".into());
    };
    let place = words.tenants.iter().position(|name| name == tenant).and_then(|at| u16::try_from(at).ok());
    let tenant = place
        .filter(|at| *at < ANY)
        .ok_or_else(|| format!("{:?} is no tenant of the settings", plain(tenant, 64)))?;
    let dest = dest.parse().ok().filter(|dest| *dest < ANY);
    let dest = dest.ok_or_else(|| "the second word is no destination's number".to_owned())?;
    let scope = Scope { tenant, class: ANY, dest };
    let mut out = Wanted { scope, after: (Micros(0), 0), until: None, most: MOST };
    let mut since = None;
    for word in all {
        match word.split_once('=') {
            Some(("since", at)) => since = Some(moment(at)?),
            Some(("until", at)) => out.until = Some(moment(at)?),
            Some(("after", at)) => {
                out.after = mark(at).ok_or_else(|| format!("{:?} is no mark of a page", plain(at, 64)))?;
            }
            Some(("most", n)) => {
                let n = n.parse().ok().filter(|n| (1..=MOST_OF_ALL).contains(n));
                out.most = n.ok_or_else(|| format!("most is not within 1 to {MOST_OF_ALL}"))?;
            }
            _ => return Err(format!("{:?}: since=, until=, after= or most= was meant", plain(word, 64))),
        }
    }
    // Ended at that very moment counts in.
    let first = since.map_or((Micros(0), 0), |since| (since - Micros(1), u64::MAX));
    out.after = out.after.max(first);
    Ok(out)
}

/// A page in pieces.
fn pieces(page: &Page, heard_ms: Option<u64>, words: &SettingsNames) -> Vec<Piece> {
    let head = Head { upto: page.upto.map(|(at, number)| (at.0, number)), heard_ms };
    let rows: Vec<Row> = page.rows.iter().map(|(number, kept)| Row::of(*number, kept, words)).collect();
    let mut out = vec![Piece { figure: 0, settles: false, body: json!(head) }];
    out.extend(rows.chunks(PIECE).map(|rows| Piece {
        figure: rows.len() as u64,
        settles: false,
        body: json!({ "rows": rows }),
    }));
    out
}

impl Answers for Channel {
    fn kind(&self) -> Kind {
        Kind::History
    }

    fn check(&self, here: &Here, subject: &str) -> Result<(), String> {
        wanted(&here.words, subject).map(drop)
    }

    fn needs_core(&self) -> bool {
        true
    }

    fn answer(&self, here: &Here, subject: &str) -> Result<Vec<Piece>, String> {
        let Wanted { scope, after, until, most } = wanted(&here.words, subject)?;
        let said = here.history(|keeper, now| {
            let heard_ms = keeper.hearing.since().map(|at| (now - at).0 / 1_000);
            let Some((history, hearing)) = keeper.both() else {
                return Err("this courier's history is closed".to_owned());
            };
            let until = until.unwrap_or(now + Micros(1));
            let page = history.page(now, hearing, scope, (after, until), most).map_err(|e| e.to_string())?;
            page.map(|page| (page, heard_ms)).ok_or_else(|| {
                "it has not heard enough others in this life: some of what it holds may be forgotten".into()
            })
        })?;
        let (page, heard_ms) = said.ok_or_else(|| here.no_history())??;
        Ok(pieces(&page, heard_ms, &here.words))
    }

    fn finishes(&self) -> bool {
        true
    }

    /// Danger: an order to forget that this courier knows and another does not yet must not be undone by the other's answer.
    fn finish(&self, here: &Here, shape: &mut AnswerShape) {
        let Ok(Wanted { scope, after, most, .. }) = wanted(&here.words, &shape.subject) else { return };
        let merged = merge(shape, most);
        let gone = |row: &Row| {
            let class = here.words.classes.iter().position(|name| *name == row.class);
            let class = class.and_then(|at| u16::try_from(at).ok()).unwrap_or(ANY);
            let ended = Micros(row.ended_us);
            About { tenant: scope.tenant, class, dest: scope.dest, ended }
        };
        let (mut rows, mut next) = merged;
        let all = rows.len();
        // Where this courier keeps none itself, it knows nothing that the others do not.
        let looked = here.history(|keeper, now| {
            let book = keeper.history().map(|history| history.book());
            rows.retain(|row| book.is_none_or(|book| book.gone(now, &gone(row)).is_none()));
        });
        // Danger: what it knows of forgetting can't be asked now. None of it is shown, and the same page is to be asked for again.
        if looked.is_err() {
            rows.clear();
            next = Some(after);
        }
        shape.figure = rows.len() as u64;
        let next = next.map(|(at, number)| format!("{}/{number}", at.0));
        shape.together = Some(json!({ "withheld": all - rows.len(), "rows": rows, "next": next }));
    }
}

/// All rows of all parts in their order, up to where nothing is lacking of any part that is whole, and where to go on. The
/// parts keep their heads.
fn merge(shape: &mut AnswerShape, most: usize) -> (Vec<Row>, Option<Mark>) {
    let (mut rows, mut upto) = (Vec::new(), None::<Mark>);
    for part in &mut shape.parts {
        let said = std::mem::take(&mut part.says);
        for mut body in said {
            if let Some(more) = body.get_mut("rows").map(Value::take) {
                let more: Vec<Row> = serde_json::from_value(more).unwrap_or_default();
                rows.extend(more.into_iter().map(|row| Row { courier: part.courier.clone(), ..row }));
                continue;
            }
            let head: Option<Head> = serde_json::from_value(body.clone()).ok();
            let end = head.and_then(|head| head.upto).map(|(at, number)| (Micros(at), number));
            upto = upto.into_iter().chain(end).min();
            part.says.push(body);
        }
    }
    rows.sort_by(|a, b| (a.mark(), &a.courier).cmp(&(b.mark(), &b.courier)));
    // Danger: beyond that place a part may hold more that it has not said; shown now, what lies between would never be.
    rows.retain(|row| upto.is_none_or(|upto| row.mark() <= upto));
    if let Some(last) = rows.get(most - 1).map(Row::mark).filter(|_| rows.len() > most) {
        // Equal marks of two couriers go together, or the second would be passed over.
        rows.retain(|row| row.mark() <= last);
        upto = Some(last);
    }
    (rows, upto)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::ask::shape::PartShape;

    fn words() -> SettingsNames {
        SettingsNames { classes: vec!["order".into()], tenants: vec!["t0".into(), "t1".into()] }
    }

    #[test]
    fn what_is_asked_for_is_read_and_what_is_wrong_is_named() {
        let read = |subject: &str| wanted(&words(), subject);
        let all = read("t1 7").unwrap();
        assert_eq!(
            (all.scope, all.after, all.most),
            (Scope { tenant: 1, class: ANY, dest: 7 }, (Micros(0), 0), MOST)
        );
        let from = read("t1 7 since=1970-01-01T00:00:02Z until=1970-01-01T00:01:00Z most=3").unwrap();
        assert_eq!((from.after, from.until), ((Micros(1_999_999), u64::MAX), Some(Micros(60_000_000))));
        assert_eq!(
            read("t1 7 since=1970-01-01T00:00:02Z after=5000000/9").unwrap().after,
            (Micros(5_000_000), 9)
        );
        for (subject, words) in [
            ("", "a tenant and"),
            ("t1", "a tenant and"),
            ("t9 7", "no tenant"),
            ("t1 x", "no destination"),
            ("t1 65535", "no destination"),
            ("t1 7 since=noon", "noon"),
            ("t1 7 after=5", "no mark"),
            ("t1 7 most=0", "1 to 200"),
            ("t1 7 most=201", "1 to 200"),
            ("t1 7 now", "was meant"),
        ] {
            let said = read(subject).unwrap_err();
            assert!(said.contains(words), "{subject:?}: {said}");
        }
    }

    /// One courier's part: the numbers that it holds, in microseconds, up to `most` of those after `after`.
    fn part(courier: &str, holds: &[u64], after: Mark, most: usize) -> PartShape {
        let row = |n: &u64| Row {
            courier: String::new(),
            id: format!("{courier}-{n}"),
            ended_us: *n,
            number: *n % 3,
            class: "order".into(),
            how: "delivered".into(),
            bytes: 1,
            backend: String::new(),
            said: String::new(),
        };
        let mut rows: Vec<Row> = holds.iter().map(row).filter(|row| row.mark() > after).collect();
        rows.sort_by_key(Row::mark);
        let more = rows.len() > most;
        rows.truncate(most);
        let upto = rows.last().filter(|_| more).map(|row| (row.ended_us, row.number));
        let head = json!(Head { upto, heard_ms: Some(1) });
        let chunks = rows.chunks(2).map(|rows| json!({ "rows": rows }));
        let says = [head].into_iter().chain(chunks).collect();
        PartShape { courier: courier.into(), whole: true, after_ms: 1.0, figure: 0, says }
    }

    fn shape(parts: Vec<PartShape>) -> AnswerShape {
        AnswerShape {
            kind: "history".into(),
            subject: "t1 7".into(),
            asked: "a".into(),
            complete: true,
            majority: true,
            fleet: 3,
            heard: 3,
            share: 1.0,
            figure: 0,
            waited_ms: 1.0,
            stopped: "all_came".into(),
            parts,
            missing: Vec::new(),
            together: None,
        }
    }

    /// Guards against a message that no page shows, and against one that two do, also where two couriers have equal marks.
    #[test]
    fn pages_show_each_message_once_in_order_whatever_each_courier_holds() {
        let holds: [Vec<u64>; 3] =
            [(0..40).map(|n| n * 3).collect(), (60..70).chain(5..8).collect(), vec![6, 9, 9_000]];
        for most in [1, 3, 4, 50] {
            let (mut after, mut shown, mut pages) = ((Micros(0), 0), Vec::new(), 0);
            loop {
                let parts = ["a", "b", "c"].iter().zip(&holds).map(|(name, h)| part(name, h, after, most));
                let mut all = shape(parts.collect());
                let (rows, next) = merge(&mut all, most);
                assert!(all.parts.iter().all(|part| part.says.len() == 1), "rows are not told twice");
                assert!(rows.len() <= most + 2 && rows.windows(2).all(|w| w[0].mark() <= w[1].mark()));
                shown.extend(rows.into_iter().map(|row| (row.ended_us, row.courier)));
                pages += 1;
                match next {
                    Some(next) => assert!(std::mem::replace(&mut after, next) < next, "it goes on"),
                    None => break,
                }
            }
            let mut expected: Vec<(u64, String)> = Vec::new();
            for (name, holds) in ["a", "b", "c"].iter().zip(&holds) {
                expected.extend(holds.iter().filter(|n| **n > 0).map(|n| (*n, (*name).to_owned())));
            }
            expected.sort();
            assert_eq!(shown, expected, "{most} a page");
            assert!(pages >= expected.len() / (most + 2));
        }
    }
}
