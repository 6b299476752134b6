//! Rate limits for cold targets.
//!
//! A target that has just started, or was emptied, handles few requests per second and ends under
//! more. Its registry entry gives the remaining time until it is warm, but entries are seconds old
//! when they are read. A target whose state is uncertain, because it was unreachable or its failure
//! domain was just reopened, therefore also counts as cold for [`UNCERTAIN_PERIOD`]; lists read
//! after that time show its state.
//!
//! The owner of a cell grants requests at its cold targets at the rate that they sustain. Two
//! routers may both regard themselves as the owner of a cell, so each uses a *share* of the rate
//! and of the burst as large as its side of the fleet, and a new owner starts without a burst.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::target::{Tag, Target};

/// How long a target counts as cold after a possible restart: entries are written every 1.2 s,
/// appear in lists 0.8 s later, and lists are read within 1.95 s.
pub const UNCERTAIN_PERIOD: Duration = Duration::from_secs(4);

/// Longest time between two refills of a bucket for which tokens accrue. An owner under load
/// refills the buckets of its cell about a hundred times per second; after a longer gap the router
/// was not the owner, and others used the rate. Without this limit, three owners that alternate
/// every 100 ms sent 20 requests in one second where at most 14 are allowed.
const MAX_REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// Request rates of a service's cold targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Sustained rate of a cold target, in requests per second.
    pub rate: f64,
    /// Largest number of requests that a cold target may get within one second.
    pub max_per_second: f64,
}

impl Bound {
    /// Capacity of the bucket, in requests. Two owners unaware of each other stay within the bound
    /// together: each sends at the sustained rate, and one of them the burst.
    fn burst(&self) -> f64 {
        (self.max_per_second - 2.0 * self.rate).max(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Requests that may be sent.
    tokens: f64,
    refilled_at: Duration,
}

/// Cold targets and their token buckets.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// When targets become warm according to their entries.
    listed: HashMap<Tag, Duration>,
    /// Until when targets count as cold after a possible restart.
    uncertain: HashMap<Tag, Duration>,
    buckets: HashMap<Tag, Bucket>,
}

impl Limiter {
    /// Applies a complete list of targets as of `as_of`.
    pub fn apply_list<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, as_of: Duration) {
        let cold = targets.filter(|it| !it.cold_left.is_zero());
        self.listed = cold.map(|it| (it.tag(), as_of + it.cold_left)).collect();
        self.uncertain.retain(|_, until| *until > as_of);
        self.buckets
            .retain(|tag, _| self.listed.contains_key(tag) || self.uncertain.contains_key(tag));
    }

    /// Applies entries that changed since the last list, as of `as_of`.
    pub fn apply_changes(&mut self, written: &[Target], as_of: Duration) {
        for target in written {
            let tag = target.tag();
            if target.cold_left.is_zero() {
                self.listed.remove(&tag);
            } else {
                self.listed.insert(tag, as_of + target.cold_left);
            }
        }
        self.uncertain.retain(|_, until| *until > as_of);
        self.buckets
            .retain(|tag, _| self.listed.contains_key(tag) || self.uncertain.contains_key(tag));
    }

    /// Records that a target may have restarted or been emptied.
    pub fn mark_uncertain(&mut self, tag: Tag, now: Duration) {
        self.uncertain.insert(tag, now + UNCERTAIN_PERIOD);
    }

    /// Whether a target is or may be cold.
    #[must_use]
    pub fn is_cold(&self, tag: Tag, now: Duration) -> bool {
        let until = |map: &HashMap<Tag, Duration>| map.get(&tag).is_some_and(|it| now < *it);
        until(&self.listed) || until(&self.uncertain)
    }

    /// Whether a target may get another request; `share` is this router's share of the
    /// rate, 0 to 1.
    pub fn allows(&mut self, tag: Tag, bound: Bound, share: f64, now: Duration) -> bool {
        !self.is_cold(tag, now) || self.refill(tag, bound, share, now).tokens >= 1.0
    }

    /// Records that a request is sent to a target.
    pub fn record_request(&mut self, tag: Tag, now: Duration) {
        if self.is_cold(tag, now)
            && let Some(bucket) = self.buckets.get_mut(&tag)
        {
            bucket.tokens -= 1.0;
        }
    }

    fn refill(&mut self, tag: Tag, bound: Bound, share: f64, now: Duration) -> Bucket {
        let bucket = self.buckets.entry(tag).or_insert(Bucket {
            tokens: 0.0,
            refilled_at: now,
        });
        let elapsed = now
            .saturating_sub(bucket.refilled_at)
            .min(MAX_REFILL_INTERVAL)
            .as_secs_f64();
        // At least one token: with a smaller capacity, a small share would never allow a request.
        let capacity = (bound.burst() * share).max(1.0);
        bucket.tokens = (bucket.tokens + elapsed * bound.rate * share).min(capacity);
        bucket.refilled_at = now;
        *bucket
    }
}

/// A router's share of a rate, 0 to 1, if it knows `known` routers and recently knew `most`: the
/// shares of both sides of a network partition add up to 1.
#[must_use]
pub fn rate_share(known: usize, most: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a few hundred routers")]
    let share = known as f64 / most.max(1) as f64;
    share.min(1.0)
}

/// Largest number of routers known at once within the last [`Peak::WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct Peak {
    counts: Vec<(Duration, usize)>,
}

impl Peak {
    /// How long a lost router counts: longer than most partitions last and routers take to restart.
    pub const WINDOW: Duration = Duration::from_secs(20);

    /// Records the number of known routers.
    pub fn record(&mut self, known: usize, now: Duration) {
        self.counts
            .retain(|(at, count)| now.saturating_sub(*at) < Self::WINDOW && *count > known);
        self.counts.push((now, known));
    }

    /// The largest recent number; 0 if none was recorded.
    #[must_use]
    pub fn max(&self) -> usize {
        self.counts.first().map_or(0, |(_, count)| *count)
    }
}

/// Tags of the targets in a failure domain.
pub fn tags_in_domain<'a>(
    targets: impl Iterator<Item = &'a Arc<Target>>,
    domain: &str,
) -> Vec<Tag> {
    let in_domain = targets.filter(|it| it.domain.as_ref() == domain);
    in_domain.map(|it| it.tag()).collect()
}
