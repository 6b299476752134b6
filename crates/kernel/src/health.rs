//! Targets that this router had better not try now.
//!
//! A target that refuses connections, or whose answers break, is left alone for a
//! time that doubles with every failure in a row, and is tried again after it. At
//! most half of the targets of a service are left alone at once: with more, it is
//! likelier that this router is the one cut off, and trying costs little.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Service, Target};
use crate::table::Table;
use crate::time::Instant;

/// Failures in a row before a target is left alone.
const FAILURES: u32 = 2;

/// First time for which a target is left alone.
const FIRST: Duration = Duration::from_millis(500);

/// Longest time for which a target is left alone.
const LONGEST: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Record {
    failures: u32,
    until: Instant,
}

/// Failures of targets as this router saw them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<Target, Record>,
}

impl Health {
    /// Nothing has failed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a failure.
    pub fn fail(&mut self, now: Instant, target: Target) {
        let record = self.records.entry(target).or_insert(Record {
            failures: 0,
            until: Instant::ZERO,
        });
        record.failures += 1;
        if record.failures >= FAILURES {
            let doublings = (record.failures - FAILURES).min(8);
            record.until = now + (FIRST * 2u32.pow(doublings)).min(LONGEST);
        }
    }

    /// Notes a success.
    pub fn succeed(&mut self, target: Target) {
        self.records.remove(&target);
    }

    /// Whether a target is left alone.
    #[must_use]
    pub fn ejected(&self, now: Instant, target: Target) -> bool {
        self.records
            .get(&target)
            .is_some_and(|record| now < record.until)
    }

    /// Whether a target may be given a request of a service.
    #[must_use]
    pub fn allows(&self, now: Instant, table: &Table, service: Service, target: Target) -> bool {
        if !self.ejected(now, target) {
            return true;
        }
        let targets = &table.services[service.row()].targets;
        let ejected = targets
            .iter()
            .filter(|other| self.ejected(now, **other))
            .count();
        ejected * 2 > targets.len()
    }
}
