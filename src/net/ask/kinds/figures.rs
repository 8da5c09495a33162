//! `figures`: what the operators' door tells by `telemetry`, from the published board.

use super::{nothing_to_choose, Answers, Here, Piece, ELSEWHERE};
use crate::ask::Kind;
use serde_json::Value;
use std::sync::atomic::Ordering;

pub(super) struct Figures;

impl Answers for Figures {
    fn kind(&self) -> Kind {
        Kind::Figures
    }

    fn check(&self, _: &Here, subject: &str) -> Result<(), String> {
        nothing_to_choose(subject)
    }

    fn needs_core(&self) -> bool {
        false
    }

    fn answer(&self, here: &Here, _: &str) -> Result<Vec<Piece>, String> {
        // What it had until it handed over is no figure of this courier's any more.
        if !here.serving.load(Ordering::SeqCst) {
            return Err(ELSEWHERE.into());
        }
        let board = &here.courier.board;
        let figures = board.read();
        // In short: a line for each member from each courier would be too much.
        let believed = here.believed.as_ref().map(|b| b.json(here.courier.clock.now()));
        let short = |all: Value| {
            let told = ["me", "incarnation", "here", "turn_ms", "view_ms", "entries", "superseded_by"];
            Value::Object(told.iter().map(|name| ((*name).to_owned(), all[*name].clone())).collect())
        };
        let text = figures.json(&here.words.classes, board.written(), believed.map(short));
        let body = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        Ok(vec![Piece { figure: figures.pending, settles: false, body }])
    }
}
