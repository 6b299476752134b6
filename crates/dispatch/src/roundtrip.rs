//! How long a message and its answer take to each failure domain.
//!
//! A time-out that knows nothing of the way takes every router of a far domain for one that doesn't
//! answer. Times are measured on probes, smoothed, and bounded by their deviation as TCP does it
//! (RFC 6298). Routers of one domain lie at one place, so a probe of any of them counts for all: with
//! ten probes a second the times are known within a second of the start. A probe that was sent twice
//! is not counted, as its answer may be one to either.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Part of a new time in the smoothed one.
const GAIN: f64 = 0.125;

/// Part of a new deviation in the smoothed one.
const DEVIATION_GAIN: f64 = 0.25;

/// Deviations beyond the smoothed time within which an answer is expected.
const DEVIATIONS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    seconds: f64,
    deviation: f64,
}

/// Time to a failure domain and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundTrip {
    /// In the mean.
    pub mean: Duration,
    /// Within which an answer is expected.
    pub limit: Duration,
}

/// Times to the failure domains that are known.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    by_domain: HashMap<Arc<str>, Estimate>,
}

impl RoundTrips {
    /// A message to a domain was answered after `time`.
    pub fn note(&mut self, domain: &Arc<str>, time: Duration) {
        let seconds = time.as_secs_f64();
        let Some(estimate) = self.by_domain.get_mut(domain) else {
            let first = Estimate {
                seconds,
                deviation: seconds / 2.0,
            };
            self.by_domain.insert(domain.clone(), first);
            return;
        };
        let error = seconds - estimate.seconds;
        estimate.deviation += DEVIATION_GAIN * (error.abs() - estimate.deviation);
        estimate.seconds += GAIN * error;
    }

    /// The time to a domain and back; none if nothing of it was answered yet.
    #[must_use]
    pub fn to(&self, domain: &str) -> Option<RoundTrip> {
        let estimate = self.by_domain.get(domain)?;
        let limit = estimate.seconds + DEVIATIONS * estimate.deviation;
        Some(RoundTrip {
            mean: Duration::from_secs_f64(estimate.seconds),
            limit: Duration::from_secs_f64(limit),
        })
    }
}
