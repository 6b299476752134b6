//! Recognizes retries of requests that were refused for lack of room.
//!
//! A retry has the same content under another identity and mostly arrives at another router, but
//! it is sent to the same owner. Where clients give each first attempt another timeout, nothing
//! else distinguishes a retry from a first attempt. When first attempts carried 0.85 to 1 of one
//! timeout, all of them were taken for retries, which get a fifth of the room beyond a share, and
//! clients got 0.717 of the worth that they asked for.

use std::collections::HashMap;
use std::time::Duration;

use crate::content::ContentTag;

/// Time for which a refused request is remembered: clients are told to retry after one objective,
/// which is at most 1 s on known platforms, and some take longer.
const RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of requests remembered, of some 32 bytes each: enough for an owner that refuses
/// 1,500 a second.
const MAX_ENTRIES: usize = 8_192;

/// Contents of recently refused requests.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    refused: HashMap<ContentTag, Duration>,
}

impl Contents {
    /// Records a request that left the queue before there was room for it; does nothing if the
    /// table is full.
    pub fn insert(&mut self, content: ContentTag, now: Duration) {
        if self.refused.len() < MAX_ENTRIES || self.refused.contains_key(&content) {
            self.refused.insert(content, now);
        }
    }

    /// Whether a request with this content is a retry of a refused one.
    #[must_use]
    pub fn contains(&self, content: ContentTag, now: Duration) -> bool {
        self.age(content, now).is_some()
    }

    /// Time since a request with this content was last refused; `None` if it was not.
    #[must_use]
    pub fn age(&self, content: ContentTag, now: Duration) -> Option<Duration> {
        let at = self.refused.get(&content)?;
        let age = now.saturating_sub(*at);
        (age < RETENTION).then_some(age)
    }

    /// Removes expired entries.
    pub fn prune(&mut self, now: Duration) {
        self.refused
            .retain(|_, at| now.saturating_sub(*at) < RETENTION);
    }
}
