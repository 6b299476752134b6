//! Backoff: growing, jittered pauses between connection attempts.
//!
//! The pause doubles with each failure up to a cap, and a random half of it is
//! taken off, so that routers which lost the same peer at the same moment do
//! not come back together.

use std::time::Duration;

use rand::{Rng, RngCore};

/// Shape of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    most: Duration,
}

impl Backoff {
    /// Pauses from `first` up to `most`.
    #[must_use]
    pub fn new(first: Duration, most: Duration) -> Self {
        Self { first, most }
    }

    /// Pause after `failures` attempts in a row, between half and all of the full pause.
    pub fn pause(&self, failures: u32, random: &mut dyn RngCore) -> Duration {
        let factor = 1_u32.checked_shl(failures).unwrap_or(u32::MAX);
        let full = self.first.saturating_mul(factor).min(self.most);
        full.mul_f64(random.random_range(0.5..=1.0))
    }
}
