//! Contents in flight: concurrent runs of the same content.
//!
//! Until a content has been answered, its concurrent runs are all placed on one target while that
//! has room. So a content that terminates targets terminates one before the next one is at risk,
//! however many routers receive requests for it. Contents with a recent answer run on any target.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::content::{ContentTag, Digest};
use crate::target::Tag;

/// Retention of a run whose end was not reported: longer than callers wait (15 s).
const RUN_RETENTION: Duration = Duration::from_secs(20);

/// Limit of contents recorded as answered, at 60 bytes each: 0.25 MB.
const MAX_ANSWERED: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Runs {
    target: Tag,
    count: u32,
    at: Duration,
}

/// Contents in flight and the target of each.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    running: HashMap<ContentTag, Runs>,
}

impl InFlight {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a content is sent to a target, which replaces any other target of it.
    pub fn begin(&mut self, content: ContentTag, target: Tag, now: Duration) {
        let none = Runs {
            target,
            count: 0,
            at: now,
        };
        let runs = self.running.entry(content).or_insert(none);
        if runs.target != target {
            *runs = none;
        }
        runs.count += 1;
        runs.at = now;
    }

    /// Records the end of a run, with or without an answer.
    pub fn end(&mut self, content: ContentTag, target: Tag) {
        let Some(runs) = self.running.get_mut(&content) else {
            return;
        };
        if runs.target != target {
            return;
        }
        runs.count = runs.count.saturating_sub(1);
        if runs.count == 0 {
            self.running.remove(&content);
        }
    }

    /// The target that runs a content.
    #[must_use]
    pub fn target(&self, content: ContentTag) -> Option<Tag> {
        self.running.get(&content).map(|it| it.target)
    }

    /// Contents that run on a target.
    pub fn contents_on(&self, target: Tag) -> impl Iterator<Item = ContentTag> {
        let running = self.running.iter();
        let there = running.filter(move |(_, it)| it.target == target);
        there.map(|(content, _)| *content)
    }

    /// Removes contents whose last run began more than `RUN_RETENTION` ago.
    pub fn prune(&mut self, now: Duration) {
        self.running.retain(|_, it| it.at + RUN_RETENTION > now);
    }
}

/// Contents with a recent answer at this router.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    /// Half of the contents; replaces `older` when full.
    newer: HashSet<Digest>,
    older: HashSet<Digest>,
}

impl Answered {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer to a content.
    pub fn record(&mut self, content: Digest) {
        if self.newer.len() >= MAX_ANSWERED / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(content);
    }

    /// Removes a content, a run of which ended without an answer: earlier answers prove nothing
    /// then.
    pub fn forget(&mut self, content: Digest) {
        self.newer.remove(&content);
        self.older.remove(&content);
    }

    /// Whether a content has a recent answer.
    #[must_use]
    pub fn contains(&self, content: Digest) -> bool {
        self.newer.contains(&content) || self.older.contains(&content)
    }
}
