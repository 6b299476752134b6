//! Targets that fail and are left alone for a while.
//!
//! Judged by this router's own traffic only, so nothing is probed. Each outcome
//! moves a mean of failures; a target whose mean is too high is ejected, for a
//! time that doubles up to a limit while it keeps failing. The first request
//! after it is the trial. A target that can't be reached is ejected at once.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;

/// Weight of the newest outcome in the mean.
const NEWEST: f64 = 0.25;

/// Mean of failures at which a target is ejected: three in a row, or over half of many.
const EJECTED: f64 = 0.55;

/// Mean with which an ejected target is tried again: one more failure ejects it.
const TRIAL: f64 = 0.5;

/// Mean below which earlier ejections are forgotten.
const SOUND: f64 = 0.1;

/// First time of ejection.
const FIRST: Duration = Duration::from_millis(500);

/// Longest time of ejection.
const LONGEST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    mean: f64,
    ejections: u32,
    until: Duration,
}

/// What happened to an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
        let failed = if outcome == Outcome::Good { 0.0 } else { 1.0 };
        let record = self.records.entry(tag).or_default();
        record.mean += (failed - record.mean) * NEWEST;
        if outcome == Outcome::Unreachable {
            record.mean = 1.0;
        }
        if record.mean < SOUND {
            record.ejections = 0;
        }
        if outcome == Outcome::Good || record.mean < EJECTED || now < record.until {
            return false;
        }
        record.mean = TRIAL;
        let time = FIRST.saturating_mul(1 << record.ejections.min(4));
        record.ejections += 1;
        record.until = now + time.min(LONGEST);
        true
    }

    /// Targets that are left alone now.
    pub fn all_ejected(&self, now: Duration) -> impl Iterator<Item = Tag> {
        let ejected = self.records.iter().filter(move |(_, it)| now < it.until);
        ejected.map(|(tag, _)| *tag)
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
