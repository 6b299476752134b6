//! What targets say themselves of their leaving, against what lists say.

use std::sync::Arc;
use std::time::Duration;

use super::{Change, Registry};
use crate::leaving::{Leaving, Word};
use crate::target::{State, Tag};

impl Registry {
    /// A target says itself that it leaves: whether that is new, and the change that follows.
    pub fn says_leaving(&mut self, tag: Tag, now: Duration) -> (bool, Option<Change>) {
        let new = self.leaving.note(tag, now);
        (new, self.leave(tag))
    }

    /// Takes what a peer tells of targets that have said that they leave: the words that are new, and
    /// the changes that follow.
    pub fn hear_leaving(&mut self, words: &[Word], now: Duration) -> (Vec<Word>, Vec<Change>) {
        let new = self.leaving.hear(words, now);
        let changes = new.iter().filter_map(|it| self.leave(it.tag)).collect();
        (new, changes)
    }

    /// What targets have said of their leaving.
    #[must_use]
    pub fn leaving(&self) -> &Leaving {
        &self.leaving
    }

    fn leave(&mut self, tag: Tag) -> Option<Change> {
        let known = self.targets.get_mut(&tag)?;
        if known.state == State::Leaving {
            return None;
        }
        Arc::make_mut(known).state = State::Leaving;
        let change = Change::Leaves(known.clone());
        self.index();
        Some(change)
    }
}
