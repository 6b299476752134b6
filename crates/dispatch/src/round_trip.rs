//! Round-trip times to failure domains.
//!
//! With a time-out that ignores distance, every router of a remote domain would seem not to answer.
//! Times are measured by probes and smoothed, and the time-out follows from their mean deviation as
//! in TCP (RFC 6298). The routers of a domain are at one location, so a probe of any of them counts
//! for all: at ten probes a second the times are known within a second of the start. A repeated
//! probe is not counted, as the answer may belong to either attempt.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new sample in the smoothed mean.
const MEAN_GAIN: f64 = 0.125;

/// Weight of a new sample in the smoothed deviation.
const DEVIATION_GAIN: f64 = 0.25;

/// Number of mean deviations above the mean after which an answer counts as overdue.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    seconds: f64,
    deviation: f64,
}

/// Round-trip time to a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundTrip {
    /// Smoothed mean.
    pub mean: Duration,
    /// Time within which an answer is expected.
    pub timeout: Duration,
}

/// Round-trip times by failure domain.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    by_domain: HashMap<Arc<str>, Estimate>,
}

impl RoundTrips {
    /// Records the round-trip time of a message to a domain.
    pub fn record(&mut self, domain: &Arc<str>, time: Duration) {
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
        estimate.seconds += MEAN_GAIN * error;
    }

    /// The round-trip time to a domain; none before the first sample.
    #[must_use]
    pub fn to(&self, domain: &str) -> Option<RoundTrip> {
        let estimate = self.by_domain.get(domain)?;
        let timeout = estimate.seconds + TIMEOUT_DEVIATIONS * estimate.deviation;
        Some(RoundTrip {
            mean: Duration::from_secs_f64(estimate.seconds),
            timeout: Duration::from_secs_f64(timeout),
        })
    }
}
