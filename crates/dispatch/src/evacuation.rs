//! Evacuated failure domains: their targets get no requests until operators reopen them.
//!
//! For each domain the newest order wins, by its [`Position`] in the operators' topic, whether a
//! router received it from the store or from a peer. Routers that exchange all their orders
//! therefore converge to the same orders, regardless of delivery order.
//!
//! A known order that is missing from the store's list has ended. The exception is a store restored
//! from a backup since: the order may not have been written again yet, so it stays in force until
//! the operators say otherwise or [`RESTORE_WINDOW`](crate::store::RESTORE_WINDOW) has passed. An
//! order that a restore brings back after it was revoked is in force again until its revocation is
//! written again: leaving a domain empty slightly too long costs capacity, whereas sending requests
//! there breaks a guarantee.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::store::{Era, Position};

/// The operators' newest order for one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether its targets get no requests.
    pub evacuated: bool,
    /// Position in the log after this order: just behind its record, or the end of the list that
    /// lacked it. The next record, which lies at this position, is therefore newer.
    pub at: Position,
}

/// A change to the orders in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Targets of this domain get no more requests.
    Evacuated(Arc<str>),
    /// Targets of this domain may get requests again.
    Reopened(Arc<str>),
}

#[derive(Clone, Copy, Debug)]
struct Status {
    evacuated: bool,
    at: Position,
}

/// The operators' newest order for each failure domain.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    known: BTreeMap<Arc<str>, Status>,
}

impl Evacuations {
    /// Whether the targets of a domain get no requests.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.known.get(domain).is_some_and(|it| it.evacuated)
    }

    /// All known orders.
    pub fn orders(&self) -> impl Iterator<Item = Order> {
        self.known.iter().map(|(domain, status)| Order {
            domain: domain.clone(),
            evacuated: status.evacuated,
            at: status.at,
        })
    }

    /// Applies an order, unless one as new is known.
    pub fn apply(&mut self, order: Order) -> Option<Change> {
        let Order {
            domain,
            evacuated,
            at,
        } = order;
        let before = self.known.get(&domain).copied();
        if before.is_some_and(|it| it.at >= at) {
            return None;
        }
        self.known.insert(domain.clone(), Status { evacuated, at });
        match (before.is_some_and(|it| it.evacuated), evacuated) {
            (false, true) => Some(Change::Evacuated(domain)),
            (true, false) => Some(Change::Reopened(domain)),
            _ => None,
        }
    }

    /// Applies the full list of the store's newest orders, which ended at `end`.
    pub fn apply_list(
        &mut self,
        listed: Vec<Order>,
        end: Position,
        era: &Era,
        now: Duration,
    ) -> Vec<Change> {
        let revoked = self.orders().filter(|it| {
            let settled = it.at.era == end.era || !era.restoring(now);
            let absent = !listed.iter().any(|listed| listed.domain == it.domain);
            it.evacuated && it.at < end && settled && absent
        });
        let revoked = revoked.map(|it| Order {
            evacuated: false,
            at: end,
            ..it
        });
        let revoked: Vec<_> = revoked.collect();
        let all = listed.into_iter().chain(revoked);
        all.filter_map(|it| self.apply(it)).collect()
    }

    /// Whether an evacuation of an earlier era is still in force although the time for writing it
    /// again has passed.
    #[must_use]
    pub fn has_expired(&self, era: &Era, now: Duration) -> bool {
        let newest = era.newest();
        let earlier = |it: &Status| newest.is_some_and(|newest| it.at.era < newest);
        let mut known = self.known.values();
        !era.restoring(now) && known.any(|it| it.evacuated && earlier(it))
    }

    /// Digest of all orders; equal orders have equal digests, 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.known.iter().fold(0, |seed, (domain, status)| {
            let seed = xxh64(domain.as_bytes(), seed ^ u64::from(status.evacuated));
            let seed = xxh64(&status.at.era.to_le_bytes(), seed);
            xxh64(&status.at.offset.to_le_bytes(), seed)
        })
    }
}
