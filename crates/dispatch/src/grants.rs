//! Places that an owner has given to other routers, and which of them are not used.
//!
//! A place is given in one datagram and may come too late: the router that asked has then refused
//! its caller, and says so. What it was given is remembered for as long as such word may come, and
//! a request that is put twice gets the same place.

use std::collections::HashMap;
use std::time::Duration;

use crate::report::{CustomerTag, Grant};
use crate::usage::Peer;

/// Identity of a request for a place among those of all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Request {
    /// The router that asks.
    pub peer: Peer,
    /// Number of the request there.
    pub number: u64,
}

/// What a place was given for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purpose {
    /// The customer that was charged.
    pub customer: CustomerTag,
    /// Tokens that it was charged.
    pub tokens: u64,
}

/// Places that one router did not use for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unused {
    /// The router that asked for them.
    pub peer: Peer,
    /// The customer.
    pub customer: CustomerTag,
    /// How many.
    pub places: u64,
    /// Tokens for which the customer was charged.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    grant: Grant,
    purpose: Option<Purpose>,
    at: Duration,
    withdrawn: bool,
}

/// Places given to other routers lately.
#[derive(Clone, Debug)]
pub struct Grants {
    kept: Duration,
    entries: HashMap<Request, Entry>,
    unused: HashMap<(CustomerTag, Peer), Unused>,
}

impl Grants {
    /// None given yet; each is remembered for `kept`.
    #[must_use]
    pub fn new(kept: Duration) -> Self {
        Self {
            kept,
            entries: HashMap::new(),
            unused: HashMap::new(),
        }
    }

    /// Notes a place that is given.
    pub fn give(
        &mut self,
        request: Request,
        grant: Grant,
        purpose: Option<Purpose>,
        now: Duration,
    ) {
        let entry = Entry {
            grant,
            purpose,
            at: now,
            withdrawn: false,
        };
        self.entries.insert(request, entry);
    }

    /// The place that a request was given.
    #[must_use]
    pub fn find(&self, request: Request) -> Option<Grant> {
        self.entries.get(&request).map(|it| it.grant)
    }

    /// A router does not use the place that it was given, if it was given one. Word that comes
    /// twice counts once.
    pub fn withdraw(&mut self, request: Request) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        if std::mem::replace(&mut entry.withdrawn, true) {
            return;
        }
        if let Some(purpose) = entry.purpose {
            self.note_unused(request.peer, purpose);
        }
    }

    fn note_unused(&mut self, peer: Peer, purpose: Purpose) {
        let customer = purpose.customer;
        let none = Unused {
            peer,
            customer,
            places: 0,
            tokens: 0,
        };
        let unused = self.unused.entry((customer, peer)).or_insert(none);
        unused.places += 1;
        unused.tokens += purpose.tokens;
    }

    /// Forgets places of which no word can come any more.
    pub fn prune(&mut self, now: Duration) {
        let kept = self.kept;
        self.entries
            .retain(|_, it| now.saturating_sub(it.at) < kept);
    }

    /// What was not used since the last call, most tokens first.
    pub fn take_unused(&mut self) -> Vec<Unused> {
        let mut unused: Vec<_> = self.unused.drain().map(|(_, it)| it).collect();
        unused.sort_by_key(|it| (std::cmp::Reverse(it.tokens), it.customer, it.peer));
        unused
    }
}
