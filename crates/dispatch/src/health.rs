//! Targets that fail and are left alone for a while.
//!
//! Judged by this router's own traffic only, so nothing is probed. Failures in a
//! row eject a target for a time that doubles up to a limit; the first request
//! after it is the trial. One success readmits.

use std::collections::HashMap;
use std::time::Duration;

use crate::target::Tag;

/// Failures in a row that eject a target.
const FAILURES: u32 = 3;

/// First time of ejection.
const FIRST: Duration = Duration::from_millis(500);

/// Longest time of ejection.
const LONGEST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    until: Duration,
}

/// What happened to an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Good,
    /// It failed a request.
    Bad,
    /// It can't be reached.
    Unreachable,
}

/// Failures of all targets.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: HashMap<Tag, Record>,
}

impl Health {
    /// No failure seen.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an outcome; true if the target is ejected by it.
    pub fn note(&mut self, tag: Tag, outcome: Outcome, now: Duration) -> bool {
        if outcome == Outcome::Good {
            self.records.remove(&tag);
            return false;
        }
        let record = self.records.entry(tag).or_default();
        record.failures += if outcome == Outcome::Unreachable {
            FAILURES
        } else {
            1
        };
        if record.failures < FAILURES || now < record.until {
            return false;
        }
        record.failures = FAILURES - 1;
        let time = FIRST.saturating_mul(1 << record.ejections.min(4));
        record.ejections += 1;
        record.until = now + time.min(LONGEST);
        true
    }

    /// Whether a target is left alone now.
    #[must_use]
    pub fn ejected(&self, tag: Tag, now: Duration) -> bool {
        self.records.get(&tag).is_some_and(|it| now < it.until)
    }

    /// Forgets a target that has ended.
    pub fn forget(&mut self, tag: Tag) {
        self.records.remove(&tag);
    }
}
