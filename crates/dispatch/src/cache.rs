//! What each engine keeps of prompts' shared parts, by its own reports.
//!
//! An engine numbers the changes of its memory and tells them when it is asked. The answers come
//! late, some changes are never told, and an engine that restarts has nothing and counts anew. So
//! a [`Cache`] is what the engine last said, and what was sent there since and will be read before
//! anything that is sent later, as engines read in order of arrival.
//!
//! Invariants: nothing of an earlier start is believed; after a gap nothing is believed until the
//! whole memory has been listed; what was not confirmed within [`STALE`] is not known.

use std::collections::HashMap;
use std::time::Duration;

use crate::prefix::Prompt;
use crate::target::Tag;

/// Age at which reports are worth nothing: an engine replaces half of its memory in this time at
/// full load (112 tokens a ms, 986,000 tokens).
pub const STALE: Duration = Duration::from_secs(5);

/// How long a prompt that was sent is taken to be read or about to be, without a report: waiting,
/// reading and two reports take less than that.
const EXPECTED: Duration = Duration::from_millis(1_500);

/// Shortest time between two listings, as each delays the engine's work.
const LISTING_PAUSE: Duration = Duration::from_secs(2);

/// Short name of a part of a prompt, as read by one model.
pub type PartTag = u32;

/// What is asked of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Changes from a number on.
    Changes {
        /// The number.
        since: u64,
    },
    /// All that it keeps.
    Listing,
}

/// How much of a part an engine keeps now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The part.
    pub part: PartTag,
    /// Tokens of it; 0 if it is gone.
    pub tokens: u32,
}

/// An engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// When the engine that answers started, if it says so.
    pub born: Option<u64>,
    /// Differs after a restart.
    pub epoch: u64,
    /// Number from which to ask next.
    pub next: u64,
    /// Whether changes before these are no longer told.
    pub gap: bool,
    /// The changes in their order, or all entries of a listing.
    pub entries: Vec<Entry>,
}

/// What an answer showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing but changes.
    Current,
    /// Changes are missing; the memory must be listed.
    Gap,
    /// The engine has restarted.
    Restarted,
}

/// One engine's memory.
#[derive(Clone, Debug, Default)]
struct Cache {
    epoch: Option<u64>,
    next: u64,
    entries: HashMap<PartTag, u32>,
    /// Tokens of parts that were sent, and until when they are expected.
    expected: HashMap<PartTag, (u32, Duration)>,
    /// When it was known to be complete.
    as_of: Option<Duration>,
    gap: bool,
    listed_at: Option<Duration>,
}

impl Cache {
    fn take(&mut self, question: Question, news: News, now: Duration) -> Finding {
        let restarted = self.epoch.is_some_and(|it| it != news.epoch);
        if restarted {
            self.entries.clear();
            self.expected.clear();
        }
        let known = self.epoch == Some(news.epoch);
        self.epoch = Some(news.epoch);
        self.next = news.next;
        match question {
            Question::Listing => {
                self.entries.clear();
                self.gap = false;
            }
            Question::Changes { since } => {
                let whole = known || since == 0;
                self.gap |= news.gap || !whole;
            }
        }
        for entry in news.entries {
            self.set(entry);
        }
        self.as_of = (!self.gap).then_some(now);
        match (self.gap, restarted) {
            (true, _) => Finding::Gap,
            (false, true) => Finding::Restarted,
            (false, false) => Finding::Current,
        }
    }

    fn set(&mut self, entry: Entry) {
        if entry.tokens == 0 {
            self.entries.remove(&entry.part);
        } else {
            self.entries.insert(entry.part, entry.tokens);
        }
    }

    fn known(&self, now: Duration) -> bool {
        self.as_of.is_some_and(|it| now.saturating_sub(it) < STALE)
    }

    fn told(&self, part: PartTag) -> u32 {
        self.entries.get(&part).copied().unwrap_or_default()
    }

    fn tokens(&self, part: PartTag, now: Duration) -> u32 {
        let expected = self.expected.get(&part);
        let expected = expected.filter(|(_, until)| now < *until);
        let expected = expected.map_or(0, |(tokens, _)| *tokens);
        self.told(part).max(expected)
    }
}

/// Tokens of a prompt's shared parts that an engine has: those of the first parts, as a part
/// counts only if all before it are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Tokens that it has said it keeps, so that another engine can fetch them.
    pub told: u64,
    /// Tokens that it need not read for a prompt sent now.
    pub expected: u64,
}

fn first_tokens(prompt: &Prompt, kept: impl Fn(PartTag) -> u32) -> u64 {
    let mut tokens = 0;
    for part in prompt.shared() {
        let kept = u64::from(kept(part.id));
        tokens += kept.min(part.tokens);
        if kept < part.tokens {
            break;
        }
    }
    tokens
}

/// The memories of all engines that are asked.
#[derive(Clone, Debug, Default)]
pub struct Caches {
    by_target: HashMap<Tag, Cache>,
}

impl Caches {
    /// Nothing known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What to ask an engine now.
    #[must_use]
    pub fn question(&self, tag: Tag, now: Duration) -> Question {
        let Some(cache) = self.by_target.get(&tag) else {
            return Question::Listing;
        };
        let listed = cache.listed_at;
        let may_list = listed.is_none_or(|it| now.saturating_sub(it) >= LISTING_PAUSE);
        if cache.gap && may_list {
            return Question::Listing;
        }
        Question::Changes { since: cache.next }
    }

    /// Takes an engine's answer.
    pub fn take(&mut self, tag: Tag, question: Question, news: News, now: Duration) -> Finding {
        let cache = self.by_target.entry(tag).or_default();
        if question == Question::Listing {
            cache.listed_at = Some(now);
        }
        cache.take(question, news, now)
    }

    /// A prompt is sent to an engine, which will keep its shared parts once it has read them.
    pub fn sent(&mut self, tag: Tag, prompt: &Prompt, now: Duration) {
        let Some(cache) = self.by_target.get_mut(&tag) else {
            return;
        };
        cache.expected.retain(|_, (_, until)| now < *until);
        for part in prompt.shared() {
            let tokens = u32::try_from(part.tokens).unwrap_or(u32::MAX);
            cache.expected.insert(part.id, (tokens, now + EXPECTED));
        }
    }

    /// What an engine has of a prompt's shared parts. None if nothing certain is known.
    #[must_use]
    pub fn held(&self, tag: Tag, prompt: &Prompt, now: Duration) -> Option<Held> {
        let cache = self.by_target.get(&tag).filter(|it| it.known(now))?;
        Some(Held {
            told: first_tokens(prompt, |part| cache.told(part)),
            expected: first_tokens(prompt, |part| cache.tokens(part, now)),
        })
    }

    /// Forgets a target that has ended.
    pub fn forget(&mut self, tag: Tag) {
        self.by_target.remove(&tag);
    }
}
