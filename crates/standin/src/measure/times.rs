//! Measured times and their quantiles.

use std::time::Duration;

use serde::Serialize;

/// Times as they were measured.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    all: Vec<Duration>,
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// The median.
    #[serde(rename = "p50_ms")]
    pub p50: f64,
    /// The time that one in a hundred exceeds.
    #[serde(rename = "p99_ms")]
    pub p99: f64,
}

impl Times {
    pub fn add(&mut self, time: Duration) {
        self.all.push(time);
    }

    pub fn append(&mut self, mut other: Self) {
        self.all.append(&mut other.all);
    }

    pub fn quantiles(&self) -> Quantiles {
        let mut sorted = self.all.clone();
        sorted.sort_unstable();
        Quantiles {
            p50: rank(&sorted, 50),
            p99: rank(&sorted, 99),
        }
    }
}

impl Quantiles {
    /// How much more these are than others.
    pub(super) fn beyond(self, other: Self) -> Self {
        Self {
            p50: self.p50 - other.p50,
            p99: self.p99 - other.p99,
        }
    }
}

/// The least time that `percent` of all times do not exceed, in milliseconds.
pub(super) fn rank(sorted: &[Duration], percent: usize) -> f64 {
    let place = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted
        .get(place)
        .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}
