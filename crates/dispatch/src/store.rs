//! Ordering of records read from the platform's store.
//!
//! A store that is restored from a backup has lost its latest writes: its offsets go back and are
//! assigned again, to other records. The store counts its restores in an *era*, so a [`Position`]
//! is an offset together with its era. Data of an earlier era is stale. Records that a new era
//! lacks may simply not have been written again yet, for [`RESTORE_WINDOW`] after the restore.

use std::cmp::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long operators and targets may take to rewrite what a backup lacks: the time within which
/// the platform requires the whole fleet to recover from its worst fault, at most 15 s.
pub const RESTORE_WINDOW: Duration = Duration::from_secs(15);

/// Position of a record in the log of a topic.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of times that the store had been restored from a backup.
    pub era: u64,
    /// Offset of the record in that era.
    pub offset: u64,
}

/// How an observed era compares to the newest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It is the newest known era.
    Current,
    /// It is newer than all known eras: the store was restored from a backup.
    Restored,
    /// It is an earlier era: the answer, or the peer's information, is stale.
    Stale,
}

/// The newest known era.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    newest: Option<u64>,
    restored_at: Option<Duration>,
}

impl Era {
    /// Records the era named by an answer of the store or by a peer. The first era observed does
    /// not indicate a restore.
    pub fn observe(&mut self, era: u64, now: Duration) -> Observation {
        let Some(newest) = self.newest else {
            self.newest = Some(era);
            return Observation::Current;
        };
        match era.cmp(&newest) {
            Ordering::Less => {
                // A router that starts after the restore learns of it this way.
                self.restored_at.get_or_insert(now);
                Observation::Stale
            }
            Ordering::Equal => Observation::Current,
            Ordering::Greater => {
                self.newest = Some(era);
                self.restored_at = Some(now);
                Observation::Restored
            }
        }
    }

    /// The newest known era; `None` if the store's era has not been observed.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// Time since the last known restore of the store; `None` if no restore is known.
    #[must_use]
    pub fn time_since_restore(&self, now: Duration) -> Option<Duration> {
        self.restored_at.map(|at| now.saturating_sub(at))
    }

    /// Whether records that the newest era lacks may not have been written again yet.
    #[must_use]
    pub fn restoring(&self, now: Duration) -> bool {
        let since = self.time_since_restore(now);
        since.is_some_and(|it| it < RESTORE_WINDOW)
    }
}
