//! Records of the software versions of services, which outlive all routers.
//!
//! A router that has just started learns from the list of targets which versions serve now. That the
//! list has one version does not prove that a stream of unknown origin belongs to it: the version
//! that began the stream may have ended while all routers were down. Therefore the platform's store
//! keeps a record for each version of a service. It is written before the version's first target
//! is used, and again, with the time, when its last one has ended. One router writes for all,
//! and only what differs from the records that it has just read, so the number of calls follows the
//! number of changes.
//!
//! Invariants: a version that has served within [`RETENTION`] is recorded, unless the store took no
//! record when its first target came. A record is never taken for the end of a version; only a list
//! of targets is. A version that is recorded as present and is not listed counts as having ended
//! just now, as the time is unknown.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::cell::ServiceTag;
use crate::continuation::RETENTION;
use crate::target::Version;

/// A software version of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lineage {
    /// The service.
    pub service: ServiceTag,
    /// The version.
    pub version: Version,
}

/// What the store has of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The version.
    pub lineage: Lineage,
    /// Time since its last target ended; `None` if it had targets when the record was written.
    pub ended: Option<Duration>,
}

impl Record {
    /// Whether streams that it began may still be resumed.
    #[must_use]
    pub fn counts(&self) -> bool {
        self.ended.is_none_or(|it| it < RETENTION)
    }
}

/// A write that makes a record agree with the list of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Sets a record.
    Set(Record),
    /// Removes the record of a version whose streams have all ended.
    Remove(Lineage),
}

/// Changes that make the `stored` records agree with the versions that have targets.
#[must_use]
pub fn changes(present: &BTreeSet<Lineage>, stored: &[Record]) -> Vec<Change> {
    let is_stored = |lineage: &Lineage| {
        let mut stored = stored.iter();
        stored.any(|it| it.lineage == *lineage && it.ended.is_none())
    };
    let new = present.iter().filter(|it| !is_stored(it));
    let new = new.map(|it| {
        Change::Set(Record {
            lineage: *it,
            ended: None,
        })
    });
    let former = stored.iter().filter(|it| !present.contains(&it.lineage));
    let former = former.filter_map(|it| match it.ended {
        None => Some(Change::Set(Record {
            ended: Some(Duration::ZERO),
            ..*it
        })),
        Some(_) if !it.counts() => Some(Change::Remove(it.lineage)),
        Some(_) => None,
    });
    new.chain(former).collect()
}
