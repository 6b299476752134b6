//! Places granted to other routers, as leases.
//!
//! A place is room for one request at a target. The router that asked for it confirms the lease
//! with its next report, or declines the place: the place was granted after the request had been
//! refused, its target is unknown to that router, or the target has not run the request. A lease
//! that is neither confirmed nor declined expires, because such a message may be lost. A lease ends
//! once, however often its end is reported, and a request that is sent twice gets the same place.

use std::collections::HashMap;
use std::time::Duration;

use crate::content::ContentTag;
use crate::message::{CustomerTag, Grant};
use crate::prefix::Use;
use crate::share::Charge;
use crate::usage::{PEER_TIMEOUT, Peer};

/// Time within which a lease must be confirmed: a router that is silent for that long counts as
/// having no work. A router confirms within 0.3 s, and once more after 0.6 s.
pub const LEASE_TIMEOUT: Duration = PEER_TIMEOUT;

/// Identity of a request for a place, unique among all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Router that asks.
    pub peer: Peer,
    /// Number of the request at that router.
    pub number: u64,
}

/// Why a place is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The router that asked declined it.
    Withdrawn,
    /// It was used, but the target has not run the request.
    NotRun,
    /// It was not confirmed in time.
    Lapsed,
}

impl Reason {
    /// Label in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::NotRun => "not_run",
            Self::Lapsed => "lapsed",
        }
    }
}

/// Places granted to one router for one customer and not used, for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unused {
    /// Router that asked for them.
    pub peer: Peer,
    /// Customer that was charged for them.
    pub customer: CustomerTag,
    /// Why they were not used.
    pub reason: Reason,
    /// Number of places.
    pub places: u64,
    /// Tokens that the customer had been charged.
    pub tokens: u64,
}

/// A place granted to another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Place that was granted.
    pub grant: Grant,
    /// Charge to its customer, if it has one.
    pub charge: Option<Charge>,
    /// Prefix that is sent to the target, if the request has one.
    pub prefix: Option<Use>,
    /// Content of the request, if it is known.
    pub content: Option<ContentTag>,
}

/// End of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Lease that ended.
    pub lease: Lease,
    /// Whether it had been confirmed, so that the request was sent to the target.
    pub confirmed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Granted,
    Confirmed,
    Ended,
}

#[derive(Clone, Debug)]
struct Entry {
    lease: Lease,
    granted_at: Duration,
    state: State,
}

/// Places recently granted to other routers.
#[derive(Clone, Debug)]
pub struct Grants {
    retention: Duration,
    entries: HashMap<RequestId, Entry>,
    unused: HashMap<(CustomerTag, Peer, Reason), Unused>,
}

impl Grants {
    /// Creates an empty table; entries are retained for `retention`, the time for which charges
    /// count.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            entries: HashMap::new(),
            unused: HashMap::new(),
        }
    }

    /// Records a place that is granted.
    pub fn insert(&mut self, request: RequestId, lease: Lease, now: Duration) {
        let entry = Entry {
            lease,
            granted_at: now,
            state: State::Granted,
        };
        self.entries.insert(request, entry);
    }

    /// Place that was granted to a request.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Option<Grant> {
        self.entries.get(&request).map(|it| it.lease.grant)
    }

    /// Confirms that a place is used; returns the lease at the first confirmation only.
    pub fn confirm(&mut self, request: RequestId) -> Option<Lease> {
        let entry = self.entries.get_mut(&request)?;
        if entry.state != State::Granted {
            return None;
        }
        entry.state = State::Confirmed;
        Some(entry.lease)
    }

    /// Ends the lease of a place that is not used; `None` if it is unknown or has ended before.
    pub fn end(&mut self, request: RequestId, reason: Reason) -> Option<End> {
        let entry = self.entries.get_mut(&request)?;
        let previous = std::mem::replace(&mut entry.state, State::Ended);
        if previous == State::Ended {
            return None;
        }
        let lease = entry.lease;
        if let Some(charge) = lease.charge {
            self.record_unused(request.peer, charge, reason);
        }
        Some(End {
            lease,
            confirmed: previous == State::Confirmed,
        })
    }

    fn record_unused(&mut self, peer: Peer, charge: Charge, reason: Reason) {
        let customer = charge.customer;
        let empty = Unused {
            peer,
            customer,
            reason,
            places: 0,
            tokens: 0,
        };
        let key = (customer, peer, reason);
        let unused = self.unused.entry(key).or_insert(empty);
        unused.places += 1;
        unused.tokens += charge.tokens;
    }

    /// Ends leases that were not confirmed in time, and removes those that no message can refer to
    /// any more.
    pub fn expire(&mut self, now: Duration) -> Vec<End> {
        let retention = self.retention;
        self.entries
            .retain(|_, it| now.saturating_sub(it.granted_at) < retention);
        let is_late = |it: &Entry| {
            it.state == State::Granted && now.saturating_sub(it.granted_at) >= LEASE_TIMEOUT
        };
        let expired = self.entries.iter().filter(|(_, it)| is_late(it));
        let expired: Vec<_> = expired.map(|(request, _)| *request).collect();
        let ends = expired.into_iter();
        ends.filter_map(|it| self.end(it, Reason::Lapsed)).collect()
    }

    /// Removes and returns the unused places recorded since the last call, most tokens first.
    pub fn take_unused(&mut self) -> Vec<Unused> {
        let mut unused: Vec<_> = self.unused.drain().map(|(_, it)| it).collect();
        unused.sort_by_key(|it| {
            (
                std::cmp::Reverse(it.tokens),
                it.customer,
                it.peer,
                it.reason,
            )
        });
        unused
    }
}
