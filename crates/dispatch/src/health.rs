//! Outlier ejection: failing targets get no requests for a time.
//!
//! Uses the outcomes of routers' exchanges with targets; there are no periodic
//! health checks. Each outcome updates a moving average of failures. A target
//! whose average is too high is ejected, for a time that doubles up to a limit
//! while the target keeps failing. The first request after it is a trial. An
//! unreachable target is ejected at once.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;

/// Weight of the newest outcome in the average.
const NEWEST_WEIGHT: f64 = 0.25;

/// Average at which a target is ejected: three failures in a row, or over half of many outcomes.
const EJECTION_THRESHOLD: f64 = 0.55;

/// Average of an ejected target at its trial, so that one more failure ejects it again.
const TRIAL_AVERAGE: f64 = 0.5;

/// Average below which the number of earlier ejections is reset.
const RESET_THRESHOLD: f64 = 0.1;

/// First ejection time.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection time.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    average: f64,
    ejections: u32,
    until: Duration,
}

/// Outcome of an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered correctly.
    Good,
    /// The target failed the request.
    Bad,
    /// The target could not be reached.
    Unreachable,
}

/// Failure averages and ejections of all targets.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: HashMap<Tag, Record>,
}

impl Health {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an outcome; returns whether it ejects the target.
    pub fn record(&mut self, tag: Tag, outcome: Outcome, now: Duration) -> bool {
        let failed = if outcome == Outcome::Good { 0.0 } else { 1.0 };
        let record = self.records.entry(tag).or_default();
        record.average += (failed - record.average) * NEWEST_WEIGHT;
        if outcome == Outcome::Unreachable {
            record.average = 1.0;
        }
        if record.average < RESET_THRESHOLD {
            record.ejections = 0;
        }
        if outcome == Outcome::Good || record.average < EJECTION_THRESHOLD || now < record.until {
            return false;
        }
        record.average = TRIAL_AVERAGE;
        let time = FIRST_EJECTION.saturating_mul(1 << record.ejections.min(4));
        record.ejections += 1;
        record.until = now + time.min(LONGEST_EJECTION);
        true
    }

    /// Targets that are ejected now.
    pub fn ejected(&self, now: Duration) -> impl Iterator<Item = Tag> {
        let ejected = self.records.iter().filter(move |(_, it)| now < it.until);
        ejected.map(|(tag, _)| *tag)
    }

    /// Whether a target is ejected now.
    #[must_use]
    pub fn is_ejected(&self, tag: Tag, now: Duration) -> bool {
        self.records.get(&tag).is_some_and(|it| now < it.until)
    }

    /// Removes a target that has terminated.
    pub fn forget(&mut self, tag: Tag) {
        self.records.remove(&tag);
    }
}
