//! The hand-over under every interleaving: the two real machines of `upgrade::phase`, a channel that is cut anywhere, words
//! that come late, and either process killed or ended at any moment. What surrounds them is a small stand-in for the lock and
//! for the core, which follow the same order: the lock goes before `Yours` is said, and who holds it decides.

use indigohold::upgrade::phase::{Do, Heard, New, Next, Old, Said, VERSION};
use stateright::{Checker, Model, Property};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Ask,
    Passing,
    Whole,
    Ready,
    Yours,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Side {
    Old,
    New,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    old: Old,
    new: New,
    old_lives: bool,
    new_lives: bool,
    /// Who holds the folder's lock.
    lock: Option<Side>,
    /// The old process decides nothing while it passes.
    frozen: bool,
    /// Both ends of the channel: what is under way to each, and whether it is open.
    to_old: Vec<Word>,
    to_new: Vec<Word>,
    open: bool,
    asks: u8,
    /// Steps of the books: raised with each decision, and what the passed copy was as of.
    books: u8,
    copy: u8,
    fault: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Decide(Side),
    Claim,
    Ask,
    OldHears,
    OldRests(bool),
    OldGivesUp,
    NewHears,
    NewGivesUp,
    Cut,
    Kill(Side),
}

struct Whole;

impl World {
    fn cut(&mut self) {
        self.open = false;
    }

    fn old_does(&mut self, act: Do) {
        match act {
            Do::Settle => {}
            Do::Pass => {
                self.frozen = true;
                self.copy = self.books;
                self.to_new.extend([Word::Passing, Word::Whole]);
            }
            Do::TakeUp => {
                self.frozen = false;
                self.cut();
            }
            Do::Refuse => self.cut(),
            Do::LetGo => {
                if self.lock == Some(Side::Old) {
                    self.lock = None;
                }
                self.to_new.push(Word::Yours);
            }
            Do::Nothing => {}
        }
    }

    fn new_does(&mut self, next: Next) {
        match next {
            Next::SayReady => self.to_old.push(Word::Ready),
            Next::GoOn => {
                if self.lock.is_some() {
                    self.fault = Some("told that the folder is its own, and it is not");
                }
                if self.copy != self.books {
                    self.fault = Some("goes on with books that are not the last ones");
                }
                self.lock = Some(Side::New);
            }
            Next::Again => {
                self.cut();
                self.to_new.clear();
            }
            Next::Read | Next::End => {}
        }
    }
}

impl Model for Whole {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            old: Old::Serves,
            new: New::Asks,
            old_lives: true,
            new_lives: true,
            lock: Some(Side::Old),
            frozen: false,
            to_old: vec![],
            to_new: vec![],
            open: false,
            asks: 0,
            books: 0,
            copy: 0,
            fault: None,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        let serves = w.old_lives && w.old != Old::Left && !w.frozen;
        if serves && w.books < 3 {
            acts.push(Act::Decide(Side::Old));
        }
        if w.new_lives && w.lock == Some(Side::New) && w.books < 3 {
            acts.push(Act::Decide(Side::New));
        }
        if w.new_lives && w.new == New::Asks {
            if w.lock.is_none() {
                acts.push(Act::Claim);
            } else if w.old_lives && w.asks < 2 && !w.open && w.old == Old::Serves {
                acts.push(Act::Ask);
            }
        }
        if w.old_lives && !w.to_old.is_empty() {
            acts.push(Act::OldHears);
        }
        if w.old_lives && w.old == Old::Settles {
            acts.extend([Act::OldRests(true), Act::OldRests(false)]);
        }
        if w.old_lives && w.old == Old::Waits {
            acts.push(Act::OldGivesUp);
        }
        if w.new_lives && w.lock != Some(Side::New) {
            if !w.to_new.is_empty() {
                acts.push(Act::NewHears);
            } else if matches!(w.new, New::Reads | New::Ready) || w.new == New::Asks && w.asks > 0 && w.open {
                acts.push(Act::NewGivesUp);
            }
        }
        if w.open {
            acts.push(Act::Cut);
        }
        acts.extend(
            [Side::Old, Side::New]
                .into_iter()
                .filter(|s| match s {
                    Side::Old => w.old_lives,
                    Side::New => w.new_lives,
                })
                .map(Act::Kill),
        );
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut w = before.clone();
        match act {
            Act::Decide(side) => {
                if w.lock != Some(side) {
                    w.fault = Some("one decides that does not own");
                }
                w.books += 1;
            }
            Act::Claim => w.lock = Some(Side::New),
            Act::Ask => {
                (w.open, w.to_old, w.to_new) = (true, vec![Word::Ask], vec![]);
                w.asks += 1;
            }
            Act::OldHears => {
                let heard = match w.to_old.remove(0) {
                    Word::Ask => Heard::Asked(VERSION),
                    Word::Ready => Heard::Ready,
                    _ => Heard::Broken,
                };
                let act = w.old.hear(heard);
                w.old_does(act);
            }
            Act::OldRests(could) => {
                let act = w.old.hear(Heard::Settled(could));
                w.old_does(act);
            }
            Act::OldGivesUp => {
                let act = w.old.hear(Heard::Broken);
                w.old_does(act);
            }
            Act::NewHears => {
                let said = match w.to_new.remove(0) {
                    Word::Passing => Said::Passing,
                    Word::Whole => Said::Whole,
                    Word::Yours => Said::Yours,
                    _ => Said::Broken,
                };
                let next = w.new.hear(said);
                w.new_does(next);
            }
            Act::NewGivesUp => {
                let next = w.new.hear(Said::Broken);
                w.new_does(next);
            }
            // What is under way when a channel breaks may arrive or not.
            Act::Cut => {
                w.cut();
                w.to_old.clear();
            }
            Act::Kill(Side::Old) => {
                w.old_lives = false;
                w.cut();
                if w.lock == Some(Side::Old) {
                    w.lock = None;
                }
            }
            Act::Kill(Side::New) => {
                w.new_lives = false;
                w.cut();
                w.to_new.clear();
                if w.lock == Some(Side::New) {
                    w.lock = None;
                }
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner, and it alone decides", |_, w: &World| w.fault.is_none()),
            // Frozen for good: it waits for a word, and nothing ends the wait.
            Property::always("a frozen one can give up", |_, w: &World| {
                !w.old_lives || !w.frozen || matches!(w.old, Old::Waits | Old::Left)
            }),
            Property::always("never none for good", |_, w: &World| {
                let new_can = w.new_lives && w.new != New::Fails;
                let old_can = w.old_lives && w.old != Old::Left;
                // One that has left has let go, so whoever comes next finds the folder free.
                old_can || new_can || w.lock.is_none()
            }),
            Property::sometimes("it is handed over", |_, w: &World| w.new == New::Owns && w.books > 0),
            Property::sometimes("the old one takes up again", |_, w: &World| {
                w.old == Old::Serves && w.asks > 0 && w.new == New::Ready
            }),
            Property::sometimes("a kill frees it", |_, w: &World| {
                !w.old_lives && w.lock == Some(Side::New) && w.new == New::Asks
            }),
        ]
    }
}

#[test]
fn every_interleaving_keeps_one_owner() {
    let checker = Whole.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 500, "{}", checker.unique_state_count());
}
