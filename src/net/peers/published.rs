//! What the notes' thread believes, for readers on other threads: one pointer that is swapped. Neither waits for the other.

use crate::api::Micros;
use crate::peers::{MemberStatus, MemberView, Refusal, Snapshot};
use arc_swap::ArcSwap;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// One moment's view.
#[derive(Debug, Default)]
pub struct View {
    /// Who is there, and what others say.
    pub fleet: Snapshot,
    /// What each rider believes, in their order.
    pub riders: Vec<Value>,
}

/// Where the view is.
#[derive(Debug, Default)]
pub struct Published {
    view: ArcSwap<View>,
    turned: AtomicU64,
}

impl Published {
    /// The view as last published. Danger: it stays as it was if the thread hangs; [`Published::turned`] says since when.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// When the thread last came round.
    pub fn turned(&self) -> Micros {
        Micros(self.turned.load(Ordering::Relaxed))
    }

    pub(super) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    pub(super) fn turn(&self, now: Micros) {
        self.turned.store(now.0, Ordering::Relaxed);
    }

    /// As operators read it. Ages are in milliseconds before `now`; `null`: never.
    pub fn json(&self, now: Micros) -> Value {
        let view = self.view();
        let fleet = &view.fleet;
        let ms = |at: Micros| (now - at).0 / 1_000;
        let age = |at: Option<Micros>| at.map(ms);
        let member = |(number, seen): (usize, &MemberView)| {
            json!({
                "member": number, "standing": word(seen.standing), "since_ms": ms(seen.since),
                "incarnation": seen.incarnation, "alive_ms": age(seen.last_alive), "heard_ms": age(seen.last_direct),
                "hears_this_ms": age(seen.last_heard_own), "whole": seen.whole,
            })
        };
        let here = |seen: &&MemberView| seen.standing == MemberStatus::Alive;
        let refused = Refusal::ALL.iter().zip(fleet.counts.refused);
        let refused: serde_json::Map<String, Value> =
            refused.map(|(why, n)| (format!("{why:?}").to_lowercase(), n.into())).collect();
        let [beats, changes, asks, answers, alone] = fleet.counts.sent;
        let [of_beats, of_changes, of_asks, of_answers, of_alone] = fleet.counts.sent_bytes;
        json!({
            "me": fleet.me,
            "incarnation": fleet.members.get(usize::from(fleet.me)).map(|m| m.incarnation),
            "turn_ms": ms(self.turned()),
            "view_ms": ms(fleet.taken_at),
            "here": fleet.members.iter().filter(here).count(),
            "members": fleet.members.iter().enumerate().map(member).collect::<Vec<_>>(),
            "entries": fleet.entries.len(),
            "of_former_lives": fleet.entries.iter().filter(|e| e.from_previous_run).count(),
            "superseded_by": fleet.superseded,
            "sent": {
                "notes": fleet.counts.notes, "bytes": fleet.counts.bytes,
                "beats": beats, "changes": changes, "asks": asks, "answers": answers, "alone": alone,
                "bytes_of": {
                    "beats": of_beats, "changes": of_changes, "asks": of_asks, "answers": of_answers, "alone": of_alone,
                },
            },
            "heard": fleet.counts.heard,
            "late": fleet.counts.late,
            "refused": refused,
            "parts_refused": fleet.counts.parts_refused,
            "given_up": fleet.counts.given_up,
            "unanswered": fleet.counts.unanswered,
            "riders": view.riders,
        })
    }
}

fn word(standing: MemberStatus) -> &'static str {
    match standing {
        MemberStatus::Unknown => "never",
        MemberStatus::Alive => "here",
        MemberStatus::Suspected => "suspected",
        MemberStatus::Down => "away",
    }
}
