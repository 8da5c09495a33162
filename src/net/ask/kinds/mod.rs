//! The kinds of questions that a courier answers for itself, a file each. A new one is a file and a line in [`all`].

mod figures;
mod held;
mod history;
mod place;
mod retention;

use super::shape::{AnswerShape, Piece};
use crate::api::Micros;
use crate::ask::{AskConfig, Kind};
use crate::control::schema::SettingsNames;
use crate::core::Courier;
use crate::history::keeper::Keeper;
use crate::net::peers::published::Published;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An answer waits so long for the history's file.
const PATIENCE: Duration = Duration::from_millis(500);

/// What answers are made of.
pub struct Here {
    /// The core. Danger: its lock may be held over a slow disk; see [`Answers::needs_core`].
    pub courier: Arc<Courier>,
    /// Names of classes and tenants.
    pub words: SettingsNames,
    /// This process takes clients.
    pub serving: Arc<AtomicBool>,
    /// What the fleet believes; `None`: nothing is shared.
    pub believed: Option<Arc<Published>>,
    /// Who may be asked, by number.
    pub fleet: Arc<AskConfig>,
}

impl Here {
    /// Looks into the history; `None`: there is none. The error says that its file is at work: what else is asked must not wait
    /// behind one that hangs.
    fn history<T>(&self, by: impl FnOnce(&mut Keeper, Micros) -> T) -> Result<Option<T>, String> {
        let said = self.courier.with_history_until(Instant::now() + PATIENCE, by);
        said.map_err(|_| "busy: this courier's history is at work, ask again".to_owned())
    }

    /// Why there is none.
    fn no_history(&self) -> String {
        match self.serving.load(Ordering::SeqCst) {
            true => "no history is kept here".to_owned(),
            false => ELSEWHERE.to_owned(),
        }
    }
}

/// One kind of question.
pub trait Answers: Send + Sync {
    /// Which.
    fn kind(&self) -> Kind;

    /// Whether this can be asked at all; the error says what is wrong with the subject. Looked at by the asker, before it asks
    /// anybody, and by whoever answers.
    fn check(&self, here: &Here, subject: &str) -> Result<(), String>;

    /// Whether the answer takes the core's lock or waits for the history: then it is made on the thread that is there for it, else on the caller's, which
    /// must not wait.
    fn needs_core(&self) -> bool;

    /// The answer, 1 to 64 pieces; the error is a refusal in words. The subject has been checked.
    fn answer(&self, here: &Here, subject: &str) -> Result<Vec<Piece>, String>;

    /// Whether the whole answer is gone over once more before it is given, on the thread that may take the core's lock.
    fn finishes(&self) -> bool {
        false
    }

    /// Does so, at the courier that asked.
    fn finish(&self, _: &Here, _: &mut AnswerShape) {}
}

/// All kinds that are answered here.
pub fn all() -> Vec<Box<dyn Answers>> {
    vec![
        Box::new(place::Place),
        Box::new(held::Held::default()),
        Box::new(figures::Figures),
        Box::new(history::Channel),
        Box::new(retention::Honours),
    ]
}

/// For kinds that leave nothing to choose.
fn nothing_to_choose(subject: &str) -> Result<(), String> {
    match subject {
        "" => Ok(()),
        _ => Err("it takes no further word".into()),
    }
}

/// Another process has the messages now, or not this one yet: by its other door that may be had.
pub(super) const ELSEWHERE: &str = "this process does not serve; ask another";
