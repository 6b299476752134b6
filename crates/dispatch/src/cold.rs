//! Targets that are cold, and how many requests each of them may get.
//!
//! A target that has just started, or was emptied, bears few requests a second and ends under many.
//! Its entry says for how long it is cold, but the entry is seconds old when it is read, so a target
//! of which that is not sure counts as cold too: one that could not be reached, or whose failure
//! domain was just reopened, until a list that was read [`DOUBT`] later says that it is warm.
//!
//! The owner of a cell gives its cold targets places at the rate that they bear. Two routers may take
//! themselves for the owner of one cell at once, so each of them has a *part* of the burst and of the
//! rate as large as its side of the fleet, and none that is new begins with a burst.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::target::{Tag, Target};

/// How long a target counts as cold after a sign that it may have started anew: entries are written
/// every 1.2 s, lists show them 0.8 s later and are read within 1.95 s.
pub const DOUBT: Duration = Duration::from_secs(4);

/// Longest time between two looks at a target for which its rate accrues. An owner under load looks at
/// all targets of its cell some hundred times a second; a router that did not look was not the owner,
/// and what it may give was given by others: three owners that take turns of 100 ms gave 20 requests
/// in a second otherwise, where 14 are borne.
const ACCRUES: Duration = Duration::from_millis(100);

/// Rates that the targets of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests a second that a cold target is made for.
    pub rate: f64,
    /// Requests within one second that it must never get.
    pub most: f64,
}

impl Bound {
    /// Places that may be given at once. Two owners that don't know of each other then stay within
    /// the bound together: each gives the rate, and one of them the burst.
    fn burst(&self) -> f64 {
        (self.most - 2.0 * self.rate).max(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Places that may be given.
    tokens: f64,
    at: Duration,
}

/// What is known of cold targets.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    /// Until when targets are cold by their entries.
    listed: HashMap<Tag, Duration>,
    /// Until when it is not sure that targets are warm.
    doubted: HashMap<Tag, Duration>,
    buckets: HashMap<Tag, Bucket>,
}

impl Cold {
    /// Takes what a list that was true at `as_of` says.
    pub fn list<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, as_of: Duration) {
        let cold = targets.filter(|it| !it.cold_left.is_zero());
        self.listed = cold.map(|it| (it.tag(), as_of + it.cold_left)).collect();
        self.doubted.retain(|_, until| *until > as_of);
        self.buckets
            .retain(|tag, _| self.listed.contains_key(tag) || self.doubted.contains_key(tag));
    }

    /// Takes what entries say that were written since such a list, up to `as_of`.
    pub fn renew(&mut self, written: &[Target], as_of: Duration) {
        for target in written {
            let tag = target.tag();
            if target.cold_left.is_zero() {
                self.listed.remove(&tag);
            } else {
                self.listed.insert(tag, as_of + target.cold_left);
            }
        }
        self.doubted.retain(|_, until| *until > as_of);
        self.buckets
            .retain(|tag, _| self.listed.contains_key(tag) || self.doubted.contains_key(tag));
    }

    /// A target may have started anew, or been emptied.
    pub fn doubt(&mut self, tag: Tag, now: Duration) {
        self.doubted.insert(tag, now + DOUBT);
    }

    /// Whether a target is cold, or may be.
    #[must_use]
    pub fn is_cold(&self, tag: Tag, now: Duration) -> bool {
        let until = |map: &HashMap<Tag, Duration>| map.get(&tag).is_some_and(|it| now < *it);
        until(&self.listed) || until(&self.doubted)
    }

    /// Whether a target may get one request more; `part` is the part of the rate that is this
    /// router's, 0 to 1.
    pub fn allows(&mut self, tag: Tag, bound: Bound, part: f64, now: Duration) -> bool {
        !self.is_cold(tag, now) || self.refill(tag, bound, part, now).tokens >= 1.0
    }

    /// A target gets a request.
    pub fn note(&mut self, tag: Tag, now: Duration) {
        if self.is_cold(tag, now)
            && let Some(bucket) = self.buckets.get_mut(&tag)
        {
            bucket.tokens -= 1.0;
        }
    }

    fn refill(&mut self, tag: Tag, bound: Bound, part: f64, now: Duration) -> Bucket {
        let bucket = self.buckets.entry(tag).or_insert(Bucket {
            tokens: 0.0,
            at: now,
        });
        let passed = now.saturating_sub(bucket.at).min(ACCRUES).as_secs_f64();
        // One place at least may be saved up, or a small part would never come to one.
        let most = (bound.burst() * part).max(1.0);
        bucket.tokens = (bucket.tokens + passed * bound.rate * part).min(most);
        bucket.at = now;
        *bucket
    }
}

/// The part of a rate that is a router's which knows `known` routers, of `most` that it knew lately:
/// both sides of a cut together then have the whole.
#[must_use]
pub fn part(known: usize, most: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a few hundred routers")]
    let part = known as f64 / most.max(1) as f64;
    part.min(1.0)
}

/// Most routers that were known within the last [`Peak::KEPT`].
#[derive(Clone, Debug, Default)]
pub struct Peak {
    counts: Vec<(Duration, usize)>,
}

impl Peak {
    /// How long a router counts after it was lost: longer than cuts usually last, and than routers
    /// take to start again.
    pub const KEPT: Duration = Duration::from_secs(20);

    /// Notes how many are known.
    pub fn note(&mut self, known: usize, now: Duration) {
        self.counts
            .retain(|(at, count)| now.saturating_sub(*at) < Self::KEPT && *count > known);
        self.counts.push((now, known));
    }

    /// The most that were known lately; 0 if none were noted.
    #[must_use]
    pub fn most(&self) -> usize {
        self.counts.first().map_or(0, |(_, count)| *count)
    }
}

/// Tags of the targets of a failure domain.
pub fn of_domain<'a>(targets: impl Iterator<Item = &'a Arc<Target>>, domain: &str) -> Vec<Tag> {
    let of = targets.filter(|it| it.domain.as_ref() == domain);
    of.map(|it| it.tag()).collect()
}
