//! When the accepted revision has to be stated again.
//!
//! A late reader starts from a statement whose `as_of` is still retained, so the next one must be in the log well
//! before the last one expires: when half of the retention has gone by. A statement that was there when the reader
//! started has an unknown age and counts as half expired. Otherwise a fleet whose instances are replaced often
//! would never find it old enough. Readers wait a little longer by rank, so that one of them writes and the others
//! see it; two that write at once do no harm.

use std::ops::Range;
use std::time::Duration;

/// Ranks beyond this one wait no longer.
const MAX_RANK: u32 = 16;
/// Part of the retention that one rank waits longer, as a divisor.
const RANK_PART: u32 = 64;

/// When this reader last saw a statement of the accepted revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stated {
    /// Time of reading it.
    pub at: Duration,
    /// Whether the reader was at the end of the log then, so that the statement was new.
    pub live: bool,
}

/// Decides by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    retention: Duration,
    rank: u32,
}

impl Schedule {
    /// Schedule for a log that keeps records for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { retention, rank: 0 }
    }

    /// The same schedule for the reader of rank `rank`, from 0.
    #[must_use]
    pub fn with_rank(self, rank: u32) -> Self {
        Self { rank, ..self }
    }

    /// Whether a statement is due at `now`.
    #[must_use]
    pub fn is_due(&self, now: Duration, stated: Stated) -> bool {
        let half = self.retention / 2;
        let before = if stated.live { Duration::ZERO } else { half };
        let age = now.saturating_sub(stated.at) + before;
        age >= half + self.retention / RANK_PART * self.rank.min(MAX_RANK)
    }
}

/// Whether a statement is due because `stated_to` has come into the older half of the retained offsets.
///
/// For logs that keep a number of records; [`Schedule`] is for those that keep them for a time.
#[must_use]
pub fn due_by_count(retained: &Range<u64>, stated_to: u64) -> bool {
    let middle = retained.start + (retained.end - retained.start) / 2;
    retained.start > 0 && stated_to < middle
}
