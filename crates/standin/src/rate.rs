//! A token bucket of one second's depth.

use std::time::Instant;

/// Lets through a set number of calls a second.
pub(crate) struct Bucket {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second.max(1.0),
            filled: now,
        }
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        let limit = self.per_second.max(1.0);
        self.tokens = (self.tokens + passed * self.per_second).min(limit);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
