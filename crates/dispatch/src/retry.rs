//! Distinguishes first attempts of clients from retries, by the timeouts that they send.
//!
//! Clients of one kind send every first attempt with the same timeout, and a retry with what is
//! left of it. So a timeout that is frequent on a route is that of first attempts, and a shorter,
//! nearly unique one is a remainder. The limit of the route is not used as the reference, because
//! operators change it and clients don't follow. Until a route has enough samples, a request whose
//! timeout is clearly shorter than the limit of the route counts as a retry. Where each client has
//! a timeout of its own, timeouts carry no information, and all requests count as first attempts
//! here.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A timeout counts as frequent if at least one request in this many carries it. The remainders
/// sent with retries are spread over tens of milliseconds, each below one request in twenty.
const FREQUENT_DIVISOR: u32 = 10;

/// Number of requests of a route that are needed to tell retries by frequency.
const MIN_SAMPLES: u32 = 20;

/// Number of requests after which all counts are halved, so that new timeouts replace old ones.
const MAX_SAMPLES: u32 = 400;

/// Least difference between the limit of a route and the timeout of a retry: a first attempt loses
/// less than that in transit.
const RETRY_MARGIN: Duration = Duration::from_millis(50);

/// Fraction of the objective that may have passed since the first attempt if its retry is on time.
/// The rest is enough for a place, the prompt and the first event, so that the client still gets
/// its answer within the objective.
const ON_TIME_FRACTION: f64 = 0.25;

/// Whether a retry can still be answered within its objective, which counts from the first
/// attempt.
#[must_use]
pub fn is_on_time(since_first_attempt: Duration, objective: Duration) -> bool {
    since_first_attempt <= objective.mul_f64(ON_TIME_FRACTION)
}

/// Frequency of timeouts on one route.
#[derive(Clone, Debug, Default)]
struct Timeouts {
    /// Number of requests by timeout in milliseconds.
    counts: HashMap<u64, u32>,
    samples: u32,
}

impl Timeouts {
    fn record(&mut self, timeout: u64) {
        *self.counts.entry(timeout).or_default() += 1;
        self.samples += 1;
        if self.samples < MAX_SAMPLES {
            return;
        }
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
        self.samples = self.counts.values().sum();
    }

    /// The longest frequent timeout, in milliseconds; `None` if there are too few samples.
    fn longest_frequent(&self) -> Option<u64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let is_frequent = |count: u32| count * FREQUENT_DIVISOR >= self.samples;
        let frequent = self.counts.iter().filter(|(_, count)| is_frequent(**count));
        frequent.map(|(timeout, _)| *timeout).max()
    }

    /// Whether first attempts have varying timeouts, so that a shorter one doesn't mark a retry:
    /// less than half of all requests are close to the longest timeout.
    #[expect(clippy::cast_possible_truncation, reason = "a small constant")]
    fn is_spread(&self) -> bool {
        let longest = self.counts.keys().max().copied().unwrap_or_default();
        let close = longest.saturating_sub(RETRY_MARGIN.as_millis() as u64);
        let near = self.counts.iter().filter(|(timeout, _)| **timeout >= close);
        let near: u32 = near.map(|(_, count)| *count).sum();
        near * 2 < self.samples
    }

    fn is_frequent(&self, timeout: u64) -> bool {
        let count = self.counts.get(&timeout).copied().unwrap_or_default();
        count * FREQUENT_DIVISOR >= self.samples
    }
}

/// Timeouts that clients send, by route.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    by_route: HashMap<Arc<str>, Timeouts>,
}

impl Detector {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request with a `timeout` on a route with a `limit`; returns whether it is a retry.
    #[expect(clippy::cast_possible_truncation, reason = "milliseconds of a request")]
    pub fn record(&mut self, route: &Arc<str>, timeout: Duration, limit: Duration) -> bool {
        let milliseconds = timeout.as_millis() as u64;
        let timeouts = self.by_route.entry(route.clone()).or_default();
        timeouts.record(milliseconds);
        match timeouts.longest_frequent() {
            Some(longest) => milliseconds < longest && !timeouts.is_frequent(milliseconds),
            // Owners recognize requests that are sent to them again (`crate::refused`).
            None if timeouts.is_spread() => false,
            None => timeout + RETRY_MARGIN < limit,
        }
    }

    /// Time between the first attempt of a recorded request and this one, if the timeouts of its
    /// route tell it; zero for a first attempt.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "milliseconds of a request")]
    pub fn since_first_attempt(&self, route: &str, timeout: Duration) -> Option<Duration> {
        let milliseconds = timeout.as_millis() as u64;
        let timeouts = self.by_route.get(route)?;
        let longest = timeouts.longest_frequent()?;
        if timeouts.is_frequent(milliseconds) {
            return Some(Duration::ZERO);
        }
        Some(Duration::from_millis(longest.saturating_sub(milliseconds)))
    }

    /// Removes routes that are no longer served.
    pub fn retain(&mut self, served: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| served(route));
    }
}
