//! The answer of the fleet, put together from what came.

use super::asked::Asked;
use super::shape::{word, AnswerShape, BeforeShape, MissingShape, PartShape};
use super::Asker;
use crate::api::Micros;
use crate::ask::{Answer, MissingReason};

fn ms(span: Micros) -> f64 {
    span.0 as f64 / 1_000.0
}

fn why(why: MissingReason) -> (&'static str, &'static str) {
    match why {
        MissingReason::Away => ("away", "known to be away; it was not asked"),
        MissingReason::Late => ("late", "silent so far; no longer worth the wait"),
        MissingReason::Refused => ("refused", "it does not answer this"),
        MissingReason::Unknown => ("unknown", "silent so far, and it never answered this process"),
        MissingReason::Restarted => ("restarted", "it restarted again and again while it was asked"),
    }
}

/// `told`: the notes between couriers say who is there.
pub(super) fn whole(
    asked: &mut Asked, answer: &Answer, asker: &Asker, me: usize, now: Micros, told: bool,
) -> AnswerShape {
    let name = |place: usize| asker.config.couriers[place].name.clone();
    let (mut parts, mut missing, mut figure) = (Vec::new(), Vec::new(), answer.figure);
    let own_came = match asked.own.take() {
        Some(Ok(pieces)) => {
            let own: u64 = pieces.iter().map(|piece| piece.figure).sum();
            figure = figure.saturating_add(own);
            let says = pieces.into_iter().map(|piece| piece.body).collect();
            let after_ms = ms(asked.own_after);
            parts.push(PartShape { courier: name(me), whole: true, after_ms, figure: own, says });
            true
        }
        own => {
            let (why, detail) = match own {
                Some(Err(what)) => ("refused".to_owned(), what),
                _ => ("late".to_owned(), "this courier's own core has not answered".to_owned()),
            };
            let (share, some, before) = (0.0, false, None);
            missing.push(MissingShape { courier: name(me), why, detail, share, some, before });
            false
        }
    };
    let came: Vec<usize> = answer.completed.iter().map(|c| usize::from(c.0)).collect();
    for (place, got) in std::mem::take(&mut asked.parts) {
        parts.push(PartShape {
            courier: name(place),
            whole: came.contains(&place),
            after_ms: ms(got.after),
            figure: got.figure,
            says: got.says.into_values().collect(),
        });
    }
    for part in &answer.missing {
        let place = usize::from(part.courier.0);
        let (word, words) = why(part.reason);
        missing.push(MissingShape {
            courier: name(place),
            why: word.into(),
            detail: asked.details.remove(&place).unwrap_or_else(|| words.into()),
            share: part.share,
            some: part.partial,
            before: part.previous.map(|b| BeforeShape { figure: b.figure, age_ms: b.age.0 / 1_000 }),
        });
    }
    let (fleet, heard) = (asker.config.couriers.len(), asked.heard.len() + 1);
    let open =
        answer.missing.iter().any(|part| matches!(part.reason, MissingReason::Late | MissingReason::Unknown));
    let stopped = match () {
        () if asked.settled => "found",
        () if answer.missing.is_empty() => "all_came",
        () if !open => "nobody_left",
        () if now >= asked.hard => "hard_bound",
        () => "not_worth_more",
    };
    AnswerShape {
        kind: word(asked.kind).into(),
        subject: asked.subject.clone(),
        asked: name(me),
        complete: asked.settled || answer.complete && own_came,
        majority: 2 * heard > fleet || told && answer.majority,
        fleet,
        heard,
        share: answer.share,
        figure,
        waited_ms: ms(now - asked.since),
        stopped: stopped.into(),
        parts,
        missing,
        together: None,
    }
}
