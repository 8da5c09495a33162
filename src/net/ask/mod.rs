//! Questions to the fleet on sockets: what a courier answers for itself, and the thread that asks the others at their operators'
//! doors. What is decided lies in [`crate::ask`]; `docs/design/ask.md` says why it is carried so.

mod asked;
pub mod kinds;
mod link;
mod run;
pub mod shape;
mod whole;

use crate::api::Micros;
use crate::ask::gossip::SharedState;
use crate::ask::{AskConfig, Coordinator, CourierId as Number, Kind};
use crate::core::Courier;
use crate::net::peers::published::Published;
use crate::net::spawn;
use asked::Msg;
use crossbeam_channel::{bounded, Sender, TrySendError};
use kinds::{Answers, Here};
use mio::{Poll, Token, Waker};
use run::Run;
use shape::{AnswerShape, Piece};
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Questions and parts that wait for the core's lock.
const JOBS: usize = 64;
const WAKES: Token = Token(0);

/// Hands an answer over, whole; must not wait.
pub type Tell = Box<dyn FnOnce(String) + Send>;
type Done = Box<dyn FnOnce(Result<Vec<Piece>, String>) + Send>;

/// What needs the core's lock.
enum Job {
    /// This courier's own part of a question.
    Part { kind: Kind, subject: String, done: Done },
    /// A whole answer that its kind goes over before it is given.
    Whole { shape: Box<AnswerShape>, kind: Kind, tell: Tell },
}

/// What a courier answers for itself.
struct Own {
    name: String,
    life: u64,
    here: Here,
    kinds: Vec<Box<dyn Answers>>,
}

impl Own {
    fn of(&self, kind: Kind) -> Result<&dyn Answers, String> {
        let found = self.kinds.iter().find(|k| k.kind() == kind);
        found.map(AsRef::as_ref).ok_or_else(|| "this courier answers nothing of this kind".to_owned())
    }

    fn answer(&self, kind: Kind, subject: &str) -> Result<Vec<Piece>, String> {
        self.of(kind)?.answer(&self.here, subject)
    }

    fn check(&self, kind: Kind, subject: &str) -> Result<&dyn Answers, String> {
        let answers = self.of(kind)?;
        answers.check(&self.here, subject).map(|()| answers)
    }

    fn finish(&self, kind: Kind, shape: &mut AnswerShape) {
        if let Ok(answers) = self.of(kind) {
            answers.finish(&self.here, shape);
        }
    }
}

/// The lines of a whole answer.
fn text(shape: &AnswerShape) -> String {
    let text = serde_json::to_string(shape);
    text.map_or_else(|e| crate::admin::refusal(&e.to_string()), |text| format!("{text}\nEOF\n"))
}

/// Answers for this courier, and asks the others. Nothing here waits for a socket or a lock of the core's.
#[derive(Clone)]
pub struct Asker {
    own: Arc<Own>,
    jobs: Sender<Job>,
    /// None where the settings let couriers say nothing to each other.
    fleet: Option<(Sender<Msg>, Arc<Waker>)>,
    config: Arc<AskConfig>,
}

/// What there is to start with.
pub struct Setup {
    /// The core.
    pub courier: Arc<Courier>,
    /// Names of classes and tenants.
    pub words: crate::control::schema::SettingsNames,
    /// This process takes clients.
    pub serving: Arc<AtomicBool>,
    /// The operators' file.
    pub config: AskConfig,
    /// This courier's name in it.
    pub name: String,
    /// This life's number.
    pub life: u64,
    /// The settings let couriers speak to each other.
    pub may_ask: bool,
    /// What lies between this and the control thread.
    pub shared: SharedState,
    /// What the fleet believes; `None`: nothing is shared.
    pub believed: Option<Arc<Published>>,
}

impl Asker {
    /// Starts its threads: one that makes parts, and one that asks. The error is a line.
    pub fn start(setup: Setup) -> Result<Asker, String> {
        let Setup { courier, words, serving, config, name, life, may_ask, shared, believed } = setup;
        let me = config.index_of(&name);
        let me = me.ok_or_else(|| format!("couriers: none goes by this one's name, {name:?}"))?;
        let fail = |e: io::Error| e.to_string();
        let clock = courier.clock;
        let config = Arc::new(config);
        let own = Arc::new(Own {
            name,
            life,
            here: Here { courier, words, serving, believed, fleet: config.clone() },
            kinds: kinds::all(),
        });
        let (jobs, todo) = bounded::<Job>(JOBS);
        let maker = own.clone();
        spawn("parts", move || {
            for job in todo {
                match job {
                    Job::Part { kind, subject, done } => done(maker.answer(kind, &subject)),
                    Job::Whole { mut shape, kind, tell } => {
                        maker.finish(kind, &mut shape);
                        tell(text(&shape));
                    }
                }
            }
        })
        .map_err(fail)?;
        let mut asker = Asker { own, jobs, fleet: None, config: config.clone() };
        if may_ask {
            let poll = Poll::new().map_err(fail)?;
            let waker = Arc::new(Waker::new(poll.registry(), WAKES).map_err(fail)?);
            // Room for questions, and beside it for what this courier itself says to those that are under way.
            let (to, inbox) = bounded(4 * config.limits.questions + JOBS);
            asker.fleet = Some((to, waker));
            let desk = Coordinator::new((*config).clone(), Number(me as u16), life);
            let run = Run::new(poll, inbox, desk, clock, me, asker.clone(), shared);
            spawn("ask", move || run.go()).map_err(fail)?;
        }
        Ok(asker)
    }

    /// No question of this kind waits longer.
    pub fn hard(&self, kind: Kind) -> Micros {
        self.config.answer_value(kind).max_wait
    }

    /// What this courier alone has to say: the lines of its pieces, or a refusal.
    pub fn part(&self, kind: Kind, subject: String, tell: Tell) {
        let own = self.own.clone();
        self.own_pieces(
            kind,
            subject,
            Box::new(move |said| {
                let lines = said.and_then(|pieces| shape::lines(&own.name, own.life, pieces));
                tell(lines.unwrap_or_else(|what| crate::admin::refusal(&what)));
            }),
        );
    }

    /// This courier's own pieces: made at once where no lock is needed, else on the thread that is there for it.
    fn own_pieces(&self, kind: Kind, subject: String, done: Done) {
        let answers = match self.own.check(kind, &subject) {
            Ok(answers) => answers,
            Err(what) => return done(Err(what)),
        };
        if !answers.needs_core() {
            return done(answers.answer(&self.own.here, &subject));
        }
        // Danger: whoever waited here for the core would be the door itself.
        self.job(Job::Part { kind, subject, done });
    }

    fn job(&self, job: Job) {
        let busy = "busy: too many questions at once";
        match self.jobs.try_send(job) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => match job {
                Job::Part { done, .. } => done(Err(busy.into())),
                Job::Whole { tell, .. } => tell(crate::admin::refusal(busy)),
            },
        }
    }

    /// Gives the answer of the fleet, gone over by its kind where that has something to add or to keep back.
    fn give(&self, kind: Kind, shape: AnswerShape, tell: Tell) {
        match self.own.of(kind).is_ok_and(|answers| answers.finishes()) {
            true => self.job(Job::Whole { shape: Box::new(shape), kind, tell }),
            false => tell(text(&shape)),
        }
    }

    /// Asks the fleet: a line of JSON ([`shape::AnswerShape`]) and a line `EOF`, or a refusal.
    pub fn ask(&self, kind: Kind, subject: String, tell: Tell) {
        if let Err(what) = self.own.check(kind, &subject) {
            return tell(crate::admin::refusal(&what));
        }
        let Some((to, waker)) = &self.fleet else {
            let what = "the settings let couriers say nothing to each other (limits.peers)";
            return tell(crate::admin::refusal(what));
        };
        // Danger: a crowd of questions would take the room of the own parts of those that are under way.
        if to.len() >= 2 * self.config.limits.questions {
            return Msg::Ask { kind, subject, tell }.busy();
        }
        match to.try_send(Msg::Ask { kind, subject, tell }) {
            // An error would say that the poller is gone, and its thread with it.
            Ok(()) => drop(waker.wake()),
            Err(TrySendError::Full(msg) | TrySendError::Disconnected(msg)) => msg.busy(),
        }
    }
}
