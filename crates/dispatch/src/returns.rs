//! Requests that were refused for want of room, to be known when their callers come back.
//!
//! A later try asks the same content under another identity, mostly at another router, but it is put
//! to the same owner. Where callers give each first try another time, nothing else tells it from a
//! first one: on a day on which first tries came with 0.85 to 1 of one time, all of them were taken
//! for later ones, which get a fifth of the room beyond a share, and callers got 0.717 of the worth
//! that they asked for.

use std::collections::HashMap;
use std::time::Duration;

use crate::content::ContentTag;

/// How long a refused request is remembered: callers are told to come back after one objective, 1 s at
/// the most on known platforms, and some take longer.
const KEPT: Duration = Duration::from_secs(5);

/// Requests that are remembered at the most, some 32 bytes each: an owner that refuses 1,500 a second
/// remembers them all.
const MOST: usize = 8_192;

/// Contents that were refused lately.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    refused: HashMap<ContentTag, Duration>,
}

impl Returns {
    /// A request was given up before there was room for it.
    pub fn refused(&mut self, content: ContentTag, now: Duration) {
        if self.refused.len() < MOST || self.refused.contains_key(&content) {
            self.refused.insert(content, now);
        }
    }

    /// Whether a request for this content is of a caller that comes back.
    #[must_use]
    pub fn returning(&self, content: ContentTag, now: Duration) -> bool {
        let at = self.refused.get(&content);
        at.is_some_and(|at| now.saturating_sub(*at) < KEPT)
    }

    /// Forgets what was refused too long ago.
    pub fn prune(&mut self, now: Duration) {
        self.refused.retain(|_, at| now.saturating_sub(*at) < KEPT);
    }
}
