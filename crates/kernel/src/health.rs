//! Ejection of failing targets.
//!
//! A target that cannot be reached or that refuses a request is ejected at once, one
//! whose answers fail after the second failure in a row. The ejection time doubles
//! with every further failure; after it the target is used again.
//!
//! When all targets of a service that accept work are ejected, any of them may be
//! used: it is then more likely that this router is partitioned, and an attempt costs
//! little. While one target works, the number of ejected ones is not limited: in a
//! partitioned failure domain the local targets are reachable, and trying the many
//! others only uses up the requests' attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Service, Target};
use crate::table::Table;
use crate::time::Instant;

/// Consecutive failures before a target is ejected.
const EJECTION_THRESHOLD: u32 = 2;

/// Duration of a first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Record {
    failures: u32,
    ejected_until: Instant,
}

/// Failures of targets as observed by this router.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<Target, Record>,
}

impl Health {
    /// State without failures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failure; `refused` if the request did not run.
    pub fn record_failure(&mut self, now: Instant, target: Target, refused: bool) {
        let record = self.records.entry(target).or_insert(Record {
            failures: 0,
            ejected_until: Instant::ZERO,
        });
        // A target that is unreachable or refuses is expected to do so for the next request.
        record.failures += if refused { EJECTION_THRESHOLD } else { 1 };
        if record.failures >= EJECTION_THRESHOLD {
            let doublings = (record.failures - EJECTION_THRESHOLD).min(8);
            record.ejected_until = now + (FIRST_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        }
    }

    /// Records a success, which ends any ejection.
    pub fn record_success(&mut self, target: Target) {
        self.records.remove(&target);
    }

    /// Whether a target is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, target: Target) -> bool {
        self.records
            .get(&target)
            .is_some_and(|record| now < record.ejected_until)
    }

    /// Whether requests of a service may be sent to a target.
    #[must_use]
    pub fn allows(&self, now: Instant, table: &Table, service: Service, target: Target) -> bool {
        !self.is_ejected(now, target) || self.all_ejected(now, table, service)
    }

    /// Whether every target of a service that accepts work is ejected.
    #[must_use]
    pub fn all_ejected(&self, now: Instant, table: &Table, service: Service) -> bool {
        let targets = &table.services[service.row()].targets;
        targets
            .iter()
            .filter(|target| table.targets[target.row()].accepts_work())
            .all(|target| self.is_ejected(now, *target))
    }
}
