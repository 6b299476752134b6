//! When a failed attempt is tried again.
//!
//! The verdict and the service decide whether a retry is allowed at all (see
//! [`crate::request`]); this module decides when. Waits double from
//! [`FIRST_WAIT`] to [`LONGEST_WAIT`] with jitter drawn from the settings' seed.
//! Retries are paid from a budget that first attempts fill by [`BUDGET_SHARE`]
//! each, so that while every target fails, retries add a tenth to the load and no
//! more, on every router and hence over the fleet. A retry is free when
//! the attempt did not reach its target, which adds nothing to the target's load, or
//! was refused as not run while another target works; such a request then waits for
//! that one as long as its queue lets it.

use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use crate::id::Request;

/// Attempts at most, the first included, unless another target works.
pub const MOST_ATTEMPTS: u32 = 4;

/// Attempts at most when the last did not reach its target and none works.
pub const MOST_UNSENT: u32 = 8;

/// Wait before the second attempt, before jitter.
pub const FIRST_WAIT: Duration = Duration::from_millis(20);

/// Longest wait, before jitter.
pub const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// What one first attempt adds to the budget, in thousandths of a retry.
pub const BUDGET_SHARE: u64 = 100;

/// The fullest budget, in thousandths of a retry; also what a router starts with.
pub const BUDGET_MOST: u64 = 10_000;

const ONE: u64 = 1_000;

/// What retries may still be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    thousandths: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            thousandths: BUDGET_MOST,
        }
    }
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds for a first attempt.
    pub fn earn(&mut self) {
        self.thousandths = (self.thousandths + BUDGET_SHARE).min(BUDGET_MOST);
    }

    /// Pays for a retry; false when the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.thousandths < ONE {
            return false;
        }
        self.thousandths -= ONE;
        true
    }
}

/// The wait before the next attempt, after `attempts` attempts.
#[must_use]
pub fn wait(seed: u64, request: Request, attempts: u32) -> Duration {
    let doubled = FIRST_WAIT * 2u32.saturating_pow(attempts.saturating_sub(1));
    let base = doubled.min(LONGEST_WAIT);
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&request.0.to_le_bytes());
    bytes[8..].copy_from_slice(&attempts.to_le_bytes());
    let draw = xxh64(&bytes, seed) % ONE;
    // Between half of the wait and the whole of it.
    let permille = u32::try_from(ONE / 2 + draw / 2).unwrap_or(1_000);
    base * permille / 1_000
}
