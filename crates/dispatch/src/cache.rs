//! Cached prompt parts at each engine, from the engine's reports.
//!
//! An engine numbers the changes of its prefix cache and returns them on request. The answers are
//! delayed, some changes are missing, and an engine that restarts has an empty cache and a new
//! numbering. A `Cache` therefore combines the last reported content with the prompts sent since,
//! which are prefilled before any later prompt because engines prefill in order of arrival.
//!
//! Invariants: content reported before a restart is discarded; after a gap the content is unknown
//! until a complete listing; content that was not confirmed within [`MAX_REPORT_AGE`] is unknown.

use std::collections::HashMap;
use std::time::Duration;

use crate::prefix::Prompt;
use crate::target::Tag;

/// Age from which a report is ignored: at full load (112 tokens per millisecond) an engine
/// replaces half of its memory (986,000 tokens) in this time.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// How long the parts of a sent prompt count as cached without a report: queueing, prefill and two
/// reports take less time.
const SENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest interval between two listings of one engine, as each delays the engine's work.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(2);

/// Hash of a prompt part under one model.
pub type PartTag = u32;

/// A query to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The changes from a sequence number on.
    Changes {
        /// The sequence number.
        since: u64,
    },
    /// The whole content of its cache.
    Listing,
}

/// Cached tokens of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The part.
    pub part: PartTag,
    /// Cached tokens; 0 if the part was evicted.
    pub tokens: u32,
}

/// An engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Start time of the answering engine, in milliseconds of Unix time; none if not reported.
    pub born: Option<u64>,
    /// Epoch of the sequence numbers, which changes with each restart.
    pub epoch: u64,
    /// Sequence number for the next query.
    pub next: u64,
    /// Whether the answer lacks changes that preceded these.
    pub gap: bool,
    /// Changes in order, or all entries of a listing.
    pub entries: Vec<Entry>,
}

/// State of the tracked content after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The content is up to date.
    Current,
    /// Changes are missing; a listing is required.
    Gap,
    /// The engine has restarted; the content is up to date.
    Restarted,
}

/// Tracked content of one engine's cache.
#[derive(Clone, Debug, Default)]
struct Cache {
    epoch: Option<u64>,
    next: u64,
    entries: HashMap<PartTag, u32>,
    /// Tokens of parts that were sent, and until when they count as cached.
    sent: HashMap<PartTag, (u32, Duration)>,
    /// When the content was last known to be complete.
    as_of: Option<Duration>,
    gap: bool,
    listed_at: Option<Duration>,
}

impl Cache {
    fn apply(&mut self, query: Query, update: Update, now: Duration) -> Status {
        let restarted = self.epoch.is_some_and(|it| it != update.epoch);
        if restarted {
            self.entries.clear();
            self.sent.clear();
        }
        let same_epoch = self.epoch == Some(update.epoch);
        self.epoch = Some(update.epoch);
        self.next = update.next;
        match query {
            Query::Listing => {
                self.entries.clear();
                self.gap = false;
            }
            Query::Changes { since } => {
                let contiguous = same_epoch || since == 0;
                self.gap |= update.gap || !contiguous;
            }
        }
        for entry in update.entries {
            self.apply_entry(entry);
        }
        self.as_of = (!self.gap).then_some(now);
        match (self.gap, restarted) {
            (true, _) => Status::Gap,
            (false, true) => Status::Restarted,
            (false, false) => Status::Current,
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        if entry.tokens == 0 {
            self.entries.remove(&entry.part);
        } else {
            self.entries.insert(entry.part, entry.tokens);
        }
    }

    fn is_current(&self, now: Duration) -> bool {
        self.as_of
            .is_some_and(|it| now.saturating_sub(it) < MAX_REPORT_AGE)
    }

    fn reported_tokens(&self, part: PartTag) -> u32 {
        self.entries.get(&part).copied().unwrap_or_default()
    }

    fn expected_tokens(&self, part: PartTag, now: Duration) -> u32 {
        let sent = self.sent.get(&part);
        let sent = sent.filter(|(_, until)| now < *until);
        let sent = sent.map_or(0, |(tokens, _)| *tokens);
        self.reported_tokens(part).max(sent)
    }
}

/// Cached tokens of a prompt's shared parts at one engine. A part counts only if all parts before
/// it are cached completely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Match {
    /// Tokens that the engine has reported, which other engines can fetch.
    pub reported: u64,
    /// Tokens that the engine does not have to prefill for a prompt sent now.
    pub expected: u64,
}

fn leading_tokens(prompt: &Prompt, cached: impl Fn(PartTag) -> u32) -> u64 {
    let mut tokens = 0;
    for part in prompt.shared() {
        let cached = u64::from(cached(part.id));
        tokens += cached.min(part.tokens);
        if cached < part.tokens {
            break;
        }
    }
    tokens
}

/// Tracked caches of all queried engines.
#[derive(Clone, Debug, Default)]
pub struct Caches {
    by_target: HashMap<Tag, Cache>,
}

impl Caches {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The next query to an engine.
    #[must_use]
    pub fn next_query(&self, tag: Tag, now: Duration) -> Query {
        let Some(cache) = self.by_target.get(&tag) else {
            return Query::Listing;
        };
        let listed = cache.listed_at;
        let may_list = listed.is_none_or(|it| now.saturating_sub(it) >= MIN_LISTING_INTERVAL);
        if cache.gap && may_list {
            return Query::Listing;
        }
        Query::Changes { since: cache.next }
    }

    /// Applies an engine's answer.
    pub fn apply(&mut self, tag: Tag, query: Query, update: Update, now: Duration) -> Status {
        let cache = self.by_target.entry(tag).or_default();
        if query == Query::Listing {
            cache.listed_at = Some(now);
        }
        cache.apply(query, update, now)
    }

    /// Records that a prompt is sent to an engine, which caches its shared parts after prefill.
    pub fn record_sent(&mut self, tag: Tag, prompt: &Prompt, now: Duration) {
        let Some(cache) = self.by_target.get_mut(&tag) else {
            return;
        };
        cache.sent.retain(|_, (_, until)| now < *until);
        for part in prompt.shared() {
            let tokens = u32::try_from(part.tokens).unwrap_or(u32::MAX);
            cache.sent.insert(part.id, (tokens, now + SENT_TIMEOUT));
        }
    }

    /// Cached tokens of a prompt's shared parts at an engine; none if its content is unknown.
    #[must_use]
    pub fn prefix_match(&self, tag: Tag, prompt: &Prompt, now: Duration) -> Option<Match> {
        let cache = self.by_target.get(&tag).filter(|it| it.is_current(now))?;
        Some(Match {
            reported: leading_tokens(prompt, |part| cache.reported_tokens(part)),
            expected: leading_tokens(prompt, |part| cache.expected_tokens(part, now)),
        })
    }

    /// Removes a target that has ended.
    pub fn remove_target(&mut self, tag: Tag) {
        self.by_target.remove(&tag);
    }
}
