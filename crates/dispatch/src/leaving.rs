//! Targets that have said themselves that they are about to end.
//!
//! A target's own word is younger than its entry in the platform's list, and comes also while the
//! store is away. It is a fact of that start of the server, not of the router that heard it: routers
//! tell it to each other, and nothing takes it back but a new start, which has another [`Tag`]. An
//! entry that still says ready is only older.
//!
//! Each router keeps all words for [`KEPT`] after they were said, so two routers that tell each other
//! all they know come to the same ones, in any sequence.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::target::Tag;

/// How long a word is kept: far longer than a target that leaves goes on, which is many seconds at
/// the most, so that no late entry brings it back.
pub const KEPT: Duration = Duration::from_mins(10);

/// A target's word as routers tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The target.
    pub tag: Tag,
    /// How long ago it said so, to the first router that heard it.
    pub age: Duration,
}

/// Words with a sum, in a message. One that is taken for true though nobody meant it leaves a target
/// idle for minutes, and a message of another kind differs from one of this by a byte.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    words: Vec<Word>,
    sum: u64,
}

impl Report {
    /// These words.
    #[must_use]
    pub fn new(words: Vec<Word>) -> Self {
        let sum = sum(words.iter().map(|it| it.tag));
        Self { words, sum }
    }

    /// Whether a router can mean this.
    #[must_use]
    pub fn plausible(&self) -> bool {
        sum(self.words.iter().map(|it| it.tag)) == self.sum
    }

    /// The words.
    #[must_use]
    pub fn words(&self) -> &[Word] {
        &self.words
    }
}

/// A short sum, in any order; 0 of nothing.
fn sum(tags: impl Iterator<Item = Tag>) -> u64 {
    tags.fold(0, |sum, it| sum ^ xxh64(&it.0.to_le_bytes(), 0))
}

/// All such words.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// When each target said it first.
    said: BTreeMap<Tag, Duration>,
}

impl Leaving {
    /// A target said at `at` that it leaves; true if that is new.
    pub fn note(&mut self, tag: Tag, at: Duration) -> bool {
        let new = !self.said.contains_key(&tag);
        self.said.entry(tag).or_insert(at);
        new
    }

    /// Takes what a peer tells; the words that are new.
    pub fn hear(&mut self, words: &[Word], now: Duration) -> Vec<Word> {
        let young = words.iter().filter(|it| it.age < KEPT);
        let new = young.filter(|it| self.note(it.tag, now.saturating_sub(it.age)));
        new.copied().collect()
    }

    /// All that is known, for peers.
    #[must_use]
    pub fn words(&self, now: Duration) -> Vec<Word> {
        let words = self.said.iter().map(|(tag, at)| Word {
            tag: *tag,
            age: now.saturating_sub(*at),
        });
        words.collect()
    }

    /// Whether a target has said that it leaves.
    #[must_use]
    pub fn contains(&self, tag: Tag) -> bool {
        self.said.contains_key(&tag)
    }

    /// A short sum of what is known; 0 for nothing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        sum(self.said.keys().copied())
    }

    /// Forgets what was said long ago.
    pub fn prune(&mut self, now: Duration) {
        self.said.retain(|_, at| now.saturating_sub(*at) < KEPT);
    }
}
