//! Which requests are a caller's first try.
//!
//! Callers of one kind give every first try the same time, and a later try what is left of it. So
//! a time that comes often on a route is that of first tries, and a shorter one that is nearly
//! unique is what is left. The route's own limit is no measure: operators change it, and callers
//! don't follow. Until enough is seen, a request whose time is clearly shorter than its route's
//! limit is taken for a later try. Where each caller has a time of its own, times tell nothing, and
//! all are taken for first tries here.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A time counts as that of first tries if one request in so many brings it. What is left of a
/// later try is spread over tens of milliseconds, each below one in twenty.
const OFTEN: u32 = 10;

/// Requests of a route that must have been seen.
const ENOUGH: u32 = 20;

/// Requests after which all counts are halved, so that new habits replace old ones.
const MOST: u32 = 400;

/// How much shorter than the limit the time of a later try is at least: a first try loses less on
/// its way.
const MARGIN: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, Default)]
struct Times {
    /// How often each time came, in milliseconds.
    counts: HashMap<u64, u32>,
    seen: u32,
}

impl Times {
    fn note(&mut self, time: u64) {
        *self.counts.entry(time).or_default() += 1;
        self.seen += 1;
        if self.seen < MOST {
            return;
        }
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
        self.seen = self.counts.values().sum();
    }

    /// The longest time that comes often, if enough was seen.
    fn usual(&self) -> Option<u64> {
        if self.seen < ENOUGH {
            return None;
        }
        let often = |count: u32| count * OFTEN >= self.seen;
        let usual = self.counts.iter().filter(|(_, count)| often(**count));
        usual.map(|(time, _)| *time).max()
    }

    /// Whether first tries come with times of their own, so that a shorter one says nothing: less than
    /// half of all are close to the longest.
    #[expect(clippy::cast_possible_truncation, reason = "a small constant")]
    fn spread(&self) -> bool {
        let longest = self.counts.keys().max().copied().unwrap_or_default();
        let close = longest.saturating_sub(MARGIN.as_millis() as u64);
        let near = self.counts.iter().filter(|(time, _)| **time >= close);
        let near: u32 = near.map(|(_, count)| *count).sum();
        near * 2 < self.seen
    }

    fn is_usual(&self, time: u64) -> bool {
        let count = self.counts.get(&time).copied().unwrap_or_default();
        count * OFTEN >= self.seen
    }
}

/// Times that callers give, by route.
#[derive(Clone, Debug, Default)]
pub struct Tries {
    by_route: HashMap<Arc<str>, Times>,
}

impl Tries {
    /// No request seen yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request whose caller will wait for `time`, on a route with this `limit`; true if it
    /// is a later try of its caller.
    #[expect(clippy::cast_possible_truncation, reason = "milliseconds of a request")]
    pub fn later(&mut self, route: &Arc<str>, time: Duration, limit: Duration) -> bool {
        let milliseconds = time.as_millis() as u64;
        let times = self.by_route.entry(route.clone()).or_default();
        times.note(milliseconds);
        match times.usual() {
            Some(usual) => milliseconds < usual && !times.is_usual(milliseconds),
            // Who puts a request to an owner again is known there (`crate::returns`).
            None if times.spread() => false,
            None => time + MARGIN < limit,
        }
    }

    /// Forgets routes that are no longer served.
    pub fn retain(&mut self, served: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| served(route));
    }
}
