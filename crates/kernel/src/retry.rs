//! Backoff, limit of attempts and budget of retries.
//!
//! Whether a retry is allowed at all depends on the verdict and on whether the
//! request is repeatable (see [`crate::request`]). Backoff doubles from
//! [`MIN_BACKOFF`] to [`MAX_BACKOFF`], with jitter drawn from the settings' seed.
//!
//! Retries are paid from a budget to which each first attempt adds
//! [`EARNED_PER_REQUEST_PERMILLE`]. While every target fails, retries therefore add
//! at most a tenth to the load of each router and hence of the fleet. A retry is
//! exempt when the attempt did not reach its target, which adds no load there, or
//! did not run while another target works; in the latter case the request is retried
//! as long as it may wait in the queue.

use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use crate::id::Request;

/// Limit of attempts, the first included, unless the last did not run and another target
/// works.
pub const MAX_ATTEMPTS: u32 = 4;

/// Limit of attempts if the last did not reach its target and none works.
pub const MAX_UNSENT_ATTEMPTS: u32 = 8;

/// Backoff before the second attempt, without jitter.
pub const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest backoff, without jitter.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Amount that a first attempt adds to the budget, in thousandths of a retry.
pub const EARNED_PER_REQUEST_PERMILLE: u64 = 100;

/// Largest budget, in thousandths of a retry; also the initial one.
pub const MAX_BUDGET_PERMILLE: u64 = 10_000;

/// Thousandths in one retry, and in one whole backoff.
const THOUSANDTHS: u64 = 1_000;

/// Remaining budget of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    thousandths: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            thousandths: MAX_BUDGET_PERMILLE,
        }
    }
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds [`EARNED_PER_REQUEST_PERMILLE`] for a first attempt.
    pub fn earn(&mut self) {
        self.thousandths =
            (self.thousandths + EARNED_PER_REQUEST_PERMILLE).min(MAX_BUDGET_PERMILLE);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn spend(&mut self) -> bool {
        if self.thousandths < THOUSANDTHS {
            return false;
        }
        self.thousandths -= THOUSANDTHS;
        true
    }
}

/// Backoff after `attempts` attempts.
#[must_use]
pub fn backoff(seed: u64, request: Request, attempts: u32) -> Duration {
    let doubled = MIN_BACKOFF * 2u32.saturating_pow(attempts.saturating_sub(1));
    let base = doubled.min(MAX_BACKOFF);
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&request.0.to_le_bytes());
    bytes[8..].copy_from_slice(&attempts.to_le_bytes());
    let draw = xxh64(&bytes, seed) % THOUSANDTHS;
    // Between half of the backoff and all of it.
    let permille = u32::try_from(THOUSANDTHS / 2 + draw / 2).unwrap_or(1_000);
    base * permille / 1_000
}
