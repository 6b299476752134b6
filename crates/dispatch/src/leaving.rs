//! Targets that have announced that they are leaving.
//!
//! A target's own announcement is newer than its entry in the platform's list, and also arrives
//! while the store is unavailable. It is a fact about that incarnation of the server, independent
//! of the router that received it: routers forward it to each other, and only a new incarnation,
//! which has another [`Tag`], supersedes it. An entry that still says ready is stale.
//!
//! Each router retains every announcement for [`RETENTION`] after it was made, so routers that
//! exchange all their announcements converge to the same set, regardless of delivery order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::target::Tag;

/// How long an announcement is retained: far longer than a leaving target keeps running, which is
/// many seconds at the most, so that no stale entry makes it ready again.
pub const RETENTION: Duration = Duration::from_mins(10);

/// A target's announcement that it is leaving, as routers exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The target.
    pub tag: Tag,
    /// Time since the first router received the announcement from the target.
    pub age: Duration,
}

/// Announcements with a checksum, as a message. A false announcement that is accepted leaves a
/// target idle for minutes, and a single corrupted byte can turn a message of another kind into one
/// of this kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    notices: Vec<Notice>,
    checksum: u64,
}

impl Report {
    /// Announcements with their checksum.
    #[must_use]
    pub fn new(notices: Vec<Notice>) -> Self {
        let checksum = checksum(notices.iter().map(|it| it.tag));
        Self { notices, checksum }
    }

    /// Whether the checksum matches the announcements.
    #[must_use]
    pub fn plausible(&self) -> bool {
        checksum(self.notices.iter().map(|it| it.tag)) == self.checksum
    }

    /// The announcements.
    #[must_use]
    pub fn notices(&self) -> &[Notice] {
        &self.notices
    }
}

/// Order-independent checksum of tags; 0 if there are none.
fn checksum(tags: impl Iterator<Item = Tag>) -> u64 {
    tags.fold(0, |checksum, it| checksum ^ xxh64(&it.0.to_le_bytes(), 0))
}

/// All retained announcements.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// When each target first announced it.
    announced: BTreeMap<Tag, Duration>,
}

impl Notices {
    /// Records that a target announced at `at` that it is leaving; returns whether that is new.
    pub fn record(&mut self, tag: Tag, at: Duration) -> bool {
        let new = !self.announced.contains_key(&tag);
        self.announced.entry(tag).or_insert(at);
        new
    }

    /// Merges a peer's announcements; returns those that are new.
    pub fn merge(&mut self, notices: &[Notice], now: Duration) -> Vec<Notice> {
        let recent = notices.iter().filter(|it| it.age < RETENTION);
        let new = recent.filter(|it| self.record(it.tag, now.saturating_sub(it.age)));
        new.copied().collect()
    }

    /// All retained announcements, for sending to peers.
    #[must_use]
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let notices = self.announced.iter().map(|(tag, at)| Notice {
            tag: *tag,
            age: now.saturating_sub(*at),
        });
        notices.collect()
    }

    /// Whether a target has announced that it is leaving.
    #[must_use]
    pub fn contains(&self, tag: Tag) -> bool {
        self.announced.contains_key(&tag)
    }

    /// Digest of the retained announcements; 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        checksum(self.announced.keys().copied())
    }

    /// Drops announcements older than [`RETENTION`].
    pub fn prune(&mut self, now: Duration) {
        self.announced
            .retain(|_, at| now.saturating_sub(*at) < RETENTION);
    }
}
