//! Failure domains whose targets get nothing until operators take that back.
//!
//! For each domain the newest order wins, by its [`Position`] in the operators' topic, whoever
//! brings it: a router that reads the store or a peer. So two routers that tell each other all they
//! know come to the same orders, in any sequence.
//!
//! A list of the store that lacks a known order ends it. Only if the store has come back from a copy
//! since, the order may just not have been written again: it stays in force, until the operators say
//! otherwise or [`RESTORE_TIME`](crate::store::RESTORE_TIME) is over. An order that comes back with
//! the copy though it was taken back is in force again until that is written again: to leave a
//! domain empty for a moment too long costs room, to send there breaks a promise.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::store::{Era, Position};

/// What operators said last of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether its targets are to get nothing.
    pub evacuated: bool,
    /// Where the log went on once that was said: just behind its record, or where the list ended
    /// that lacked it. So the next record, which lies there, is newer.
    pub at: Position,
}

/// A change of what is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Targets of this domain get nothing from now on.
    Evacuated(Arc<str>),
    /// They may get work again.
    Reopened(Arc<str>),
}

#[derive(Clone, Copy, Debug)]
struct Known {
    evacuated: bool,
    at: Position,
}

/// What operators said last of each failure domain.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    known: BTreeMap<Arc<str>, Known>,
}

impl Evacuations {
    /// Whether targets of a domain get nothing.
    #[must_use]
    pub fn evacuated(&self, domain: &str) -> bool {
        self.known.get(domain).is_some_and(|it| it.evacuated)
    }

    /// All orders.
    pub fn orders(&self) -> impl Iterator<Item = Order> {
        self.known.iter().map(|(domain, known)| Order {
            domain: domain.clone(),
            evacuated: known.evacuated,
            at: known.at,
        })
    }

    /// Takes an order, unless a newer one is known.
    pub fn take(&mut self, order: Order) -> Option<Change> {
        let Order {
            domain,
            evacuated,
            at,
        } = order;
        let before = self.known.get(&domain).copied();
        if before.is_some_and(|it| it.at >= at) {
            return None;
        }
        self.known.insert(domain.clone(), Known { evacuated, at });
        match (before.is_some_and(|it| it.evacuated), evacuated) {
            (false, true) => Some(Change::Evacuated(domain)),
            (true, false) => Some(Change::Reopened(domain)),
            _ => None,
        }
    }

    /// Takes the whole list of the store's newest orders, which ended at `end`.
    pub fn take_list(
        &mut self,
        listed: Vec<Order>,
        end: Position,
        era: &Era,
        now: Duration,
    ) -> Vec<Change> {
        let ended = self.orders().filter(|it| {
            let settled = it.at.era == end.era || !era.restoring(now);
            let lacks = !listed.iter().any(|listed| listed.domain == it.domain);
            it.evacuated && it.at < end && settled && lacks
        });
        let ended = ended.map(|it| Order {
            evacuated: false,
            at: end,
            ..it
        });
        let ended: Vec<_> = ended.collect();
        let all = listed.into_iter().chain(ended);
        all.filter_map(|it| self.take(it)).collect()
    }

    /// Whether an order is in force only as the store may lack it for now, and no longer should be.
    #[must_use]
    pub fn overdue(&self, era: &Era, now: Duration) -> bool {
        let newest = era.newest();
        let earlier = |it: &Known| newest.is_some_and(|newest| it.at.era < newest);
        let mut known = self.known.values();
        !era.restoring(now) && known.any(|it| it.evacuated && earlier(it))
    }

    /// A short sum of all orders; equal ones have equal sums, and none has 0.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.known.iter().fold(0, |seed, (domain, known)| {
            let seed = xxh64(domain.as_bytes(), seed ^ u64::from(known.evacuated));
            let seed = xxh64(&known.at.era.to_le_bytes(), seed);
            xxh64(&known.at.offset.to_le_bytes(), seed)
        })
    }
}
