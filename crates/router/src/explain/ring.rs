//! The latest decisions, in bounded memory.

use std::collections::VecDeque;

use dunlinward_kernel::id;
use dunlinward_kernel::time::Instant;
use dunlinward_kernel::verdict::{Failure, Refusal, Verdict};

/// Records kept.
pub(crate) const RECORDS: usize = 1 << 16;

/// The request that a record is about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subject {
    /// The request.
    pub request: id::Request,
    /// Its customer.
    pub customer: id::Customer,
    /// When it arrived.
    pub arrived: Instant,
}

/// One decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deed {
    /// The request arrived.
    Arrived { service: id::Service },
    /// No slot was at hand, so it waits.
    Queued,
    /// It was sent to a target.
    Dispatched { attempt: u32, target: id::Target },
    /// The attempt ended: whole, or by a failure.
    Ended {
        attempt: u32,
        target: id::Target,
        units: u32,
        failed: Option<Failed>,
    },
    /// It will be tried again because of the failure.
    Retried { failure: Failure },
    /// It was refused.
    Refused {
        refusal: Refusal,
        failure: Option<Failure>,
        verdict: Verdict,
    },
    /// Its caller left.
    Left,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failed {
    /// Why.
    pub failure: Failure,
    /// Whether it may have run.
    pub verdict: Verdict,
}

/// A decision on a request at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// When.
    pub at: Instant,
    /// On which request.
    pub subject: Subject,
    /// Which decision.
    pub deed: Deed,
}

impl Record {
    /// The target of the record, if it is about one.
    pub fn target(&self) -> Option<id::Target> {
        match self.deed {
            Deed::Dispatched { target, .. } | Deed::Ended { target, .. } => Some(target),
            _ => None,
        }
    }
}

/// The latest records, at most a fixed number.
#[derive(Debug)]
pub(crate) struct Ring {
    records: VecDeque<Record>,
    limit: usize,
}

impl Ring {
    /// A ring of at most `limit` records, which takes memory as it fills.
    pub fn new(limit: usize) -> Self {
        Self {
            records: VecDeque::new(),
            limit,
        }
    }

    /// Adds a record, in the place of the oldest when the ring is full.
    pub fn push(&mut self, record: Record) {
        if self.records.len() >= self.limit {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// The latest `count` records that match, the oldest first.
    pub fn latest(&self, count: usize, matches: impl Fn(&Record) -> bool) -> Vec<&Record> {
        let newest = self.records.iter().rev();
        let mut found: Vec<_> = newest
            .filter(|record| matches(record))
            .take(count)
            .collect();
        found.reverse();
        found
    }

    /// Bytes that the ring takes now.
    #[cfg(test)]
    pub fn bytes(&self) -> usize {
        self.records.capacity() * size_of::<Record>()
    }
}

#[cfg(test)]
mod tests;
