//! The order of what was read from the platform's store.
//!
//! A store that comes back from a copy has lost what was written last: its offsets go back and are
//! given out again, with other records. It counts how often that happened, in its *era*, so a
//! [`Position`] is an offset with its era. What an earlier era says is late news; what a new one
//! lacks may only not have been written again yet, for [`RESTORE_TIME`].

use std::cmp::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long operators and targets may take to write again what a copy lacks: the time within which
/// the platform's pages want the whole fleet back after its worst fault, 15 s at the most.
pub const RESTORE_TIME: Duration = Duration::from_secs(15);

/// Where a record lies in the log of a topic.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store had come back from a copy.
    pub era: u64,
    /// Offset of the record in that era.
    pub offset: u64,
}

/// How the era of an answer stands to those known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// It is the newest one.
    Current,
    /// It is newer than all before: the store has come back from a copy.
    Restored,
    /// It is an earlier one: the answer is late, or what a peer says is.
    Stale,
}

/// The newest era that is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    newest: Option<u64>,
    restored_at: Option<Duration>,
}

impl Era {
    /// An answer of the store, or a peer, names an era. The first one of all is no sign that the
    /// store has come back from a copy.
    pub fn see(&mut self, era: u64, now: Duration) -> Sight {
        let Some(newest) = self.newest else {
            self.newest = Some(era);
            return Sight::Current;
        };
        match era.cmp(&newest) {
            Ordering::Less => {
                // Whoever starts after the store came back learns from this that it did.
                self.restored_at.get_or_insert(now);
                Sight::Stale
            }
            Ordering::Equal => Sight::Current,
            Ordering::Greater => {
                self.newest = Some(era);
                self.restored_at = Some(now);
                Sight::Restored
            }
        }
    }

    /// The newest era; none if nothing was heard of the store.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// How long ago the store came back from a copy; none if it never did.
    #[must_use]
    pub fn restored_since(&self, now: Duration) -> Option<Duration> {
        self.restored_at.map(|at| now.saturating_sub(at))
    }

    /// Whether what the newest era lacks may not have been written again yet.
    #[must_use]
    pub fn restoring(&self, now: Duration) -> bool {
        let since = self.restored_since(now);
        since.is_some_and(|it| it < RESTORE_TIME)
    }
}
