//! Memory that others can make a router hold.
//!
//! Bodies of requests are kept until their answers have ended, so that they can be sent again, and
//! answers that are not streams are read whole. Each has a bound of its own, but a router holds
//! hundreds at the same time, and what they add up to is decided by callers and targets. The
//! account bounds the sum.
//!
//! An entry is charged with what is allocated for it. When the sum would exceed the limit, entries
//! are given up:
//!
//! - Small entries, up to [`SMALL_BYTES`], have a part of the limit that larger ones can't use, so
//!   usual requests are accepted beside any number of large ones.
//! - The holder with the most bytes gives way first. A holder is the customer of a request; bodies
//!   of one customer do not displace those of another one that holds less.
//! - Of its large entries, the one with the largest product of bytes and age gives way. A body that
//!   stops short of its end loses against one that makes progress, however large that is.
//! - Entries that are pinned do not give way: their requests were sent and may run.
//! - The body of a request that is the only large entry does not give way, so that one request
//!   within the limits of the configuration is accepted on a router whose memory is smaller.
//!
//! Connections take memory too ([`connections`](crate::connections)). While they leave less than the
//! limit, that is the limit, but for a part that bodies have in any case.
//!
//! Invariants: the sum of large entries is at most the limit less the reserve, and the sum of all
//! entries is at most the limit, but for one body that is the only large entry, and for pinned entries
//! after connections have taken room.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::message::CustomerTag;

/// Size up to which an entry is small, in bytes.
pub const SMALL_BYTES: u64 = 16 * 1024;

/// Part of the limit that only small entries can use.
const RESERVE_DIVISOR: u64 = 4;

/// Part of the limit that bodies have whatever connections take.
const LEAST_DIVISOR: u64 = 4;

/// Whom an entry is charged to; none for requests without a customer.
pub type Holder = Option<CustomerTag>;

/// What is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Body of a request, from its first byte to the end of the answer.
    Request,
    /// Answer that is read whole, until the caller has received it.
    Answer,
    /// Bytes of requests that were forwarded to a neighbour.
    Forwarded,
    /// Event of a stream that is not complete.
    Event,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Request, Self::Answer, Self::Forwarded, Self::Event];

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Forwarded => "forwarded",
            Self::Event => "event",
        }
    }
}

/// Identity of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Entry(u64);

#[derive(Clone, Debug)]
struct Hold {
    holder: Holder,
    kind: Kind,
    bytes: u64,
    since: Duration,
    pinned: bool,
}

impl Hold {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_BYTES
    }
}

/// Account of the memory that others make a router hold.
#[derive(Clone, Debug)]
pub struct Account {
    limit: u64,
    /// The same, or less while connections take a part of it.
    current: u64,
    next: u64,
    total: u64,
    large_total: u64,
    entries: BTreeMap<Entry, Hold>,
    /// Large entries.
    large: BTreeSet<Entry>,
    /// Bytes of each holder that has any.
    holders: HashMap<Holder, u64>,
}

impl Account {
    /// Creates an account without entries, which together may have `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            current: limit,
            next: 0,
            total: 0,
            large_total: 0,
            entries: BTreeMap::new(),
            large: BTreeSet::new(),
            holders: HashMap::new(),
        }
    }

    /// Adds an entry without bytes.
    pub fn begin(&mut self, holder: Holder, kind: Kind, now: Duration) -> Entry {
        let entry = Entry(self.next);
        self.next += 1;
        let hold = Hold {
            holder,
            kind,
            bytes: 0,
            since: now,
            pinned: false,
        };
        self.entries.insert(entry, hold);
        entry
    }

    /// Charges bytes to an entry; returns the entries to be given up, which count no more. The entry
    /// itself may be among them. An unknown entry is ignored.
    pub fn grow(&mut self, entry: Entry, bytes: u64, now: Duration) -> Vec<Entry> {
        let Some(hold) = self.entries.get_mut(&entry) else {
            return Vec::new();
        };
        let was_large = hold.is_large();
        hold.bytes += bytes;
        self.total += bytes;
        *self.holders.entry(hold.holder).or_default() += bytes;
        if was_large {
            self.large_total += bytes;
        } else if hold.is_large() {
            self.large_total += hold.bytes;
            self.large.insert(entry);
        }
        self.give_up(now)
    }

    /// Sets the memory that is left for entries; returns those to be given up, which count no more.
    pub fn fit(&mut self, room: u64, now: Duration) -> Vec<Entry> {
        self.current = room.clamp(self.limit / LEAST_DIVISOR, self.limit);
        self.give_up(now)
    }

    fn give_up(&mut self, now: Duration) -> Vec<Entry> {
        let mut given_up = Vec::new();
        while let Some(victim) = self.excess(now) {
            self.end(victim);
            given_up.push(victim);
        }
        given_up
    }

    /// The entry that gives way next, if a limit is exceeded.
    fn excess(&self, now: Duration) -> Option<Entry> {
        let part = self.current - self.current / RESERVE_DIVISOR;
        let exceeds = self.large_total > part || self.total > self.current;
        if !exceeds {
            return None;
        }
        if !self.is_one_above(part) {
            let victim = self.heaviest(self.large.iter().copied(), now);
            if victim.is_some() {
                return victim;
            }
        }
        // Small entries keep their part beside a body that exceeds the other one.
        let beyond = self.large_total.saturating_sub(part);
        if self.total - beyond <= self.current {
            return None;
        }
        let small = self.entries.keys().filter(|it| !self.large.contains(it));
        self.heaviest(small.copied(), now)
    }

    /// Whether there is one large entry only, a body above this size.
    fn is_one_above(&self, part: u64) -> bool {
        let first = self.large.first().filter(|_| self.large.len() == 1);
        let hold = first.and_then(|it| self.entries.get(it));
        hold.is_some_and(|it| it.kind == Kind::Request && it.bytes > part)
    }

    /// The entry of the largest holder with the most bytes over the most time, the older of equal
    /// ones; none if all are pinned.
    fn heaviest(&self, entries: impl Iterator<Item = Entry>, now: Duration) -> Option<Entry> {
        let holds = entries.map(|it| (it, &self.entries[&it]));
        let unpinned = holds.filter(|(_, hold)| !hold.pinned && hold.bytes > 0);
        let weighed = unpinned.map(|(entry, hold)| {
            let held = self.holders.get(&hold.holder).copied().unwrap_or_default();
            let age = now.saturating_sub(hold.since).as_millis();
            let weight = u128::from(hold.bytes) * (age + 1);
            // Equal amounts of two holders must not make the choice depend on their tags.
            (held, weight, std::cmp::Reverse(entry))
        });
        weighed.max().map(|(_, _, entry)| entry.0)
    }

    /// Pins an entry: it is not given up any more.
    pub fn pin(&mut self, entry: Entry) {
        if let Some(hold) = self.entries.get_mut(&entry) {
            hold.pinned = true;
        }
    }

    /// Removes an entry.
    pub fn end(&mut self, entry: Entry) {
        let Some(hold) = self.entries.remove(&entry) else {
            return;
        };
        self.total -= hold.bytes;
        if self.large.remove(&entry) {
            self.large_total -= hold.bytes;
        }
        if let Some(held) = self.holders.get_mut(&hold.holder) {
            *held -= hold.bytes;
            if *held == 0 {
                self.holders.remove(&hold.holder);
            }
        }
    }

    /// Whether an entry counts: it has neither ended nor been given up.
    #[must_use]
    pub fn holds(&self, entry: Entry) -> bool {
        self.entries.contains_key(&entry)
    }

    /// Sum of all entries, in bytes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Limit of that sum, in bytes.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Whether more than half of the limit is used, so that no neighbour should add to it.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.total > self.current / 2
    }

    /// Sum of the entries of a kind, in bytes.
    #[must_use]
    pub fn total_of(&self, kind: Kind) -> u64 {
        let of_kind = self.entries.values().filter(|it| it.kind == kind);
        of_kind.map(|it| it.bytes).sum()
    }

    /// The holder with the most bytes, and these.
    #[must_use]
    pub fn largest_holder(&self) -> Option<(Holder, u64)> {
        let holders = self.holders.iter().map(|(holder, bytes)| (*holder, *bytes));
        holders.max_by_key(|(holder, bytes)| (*bytes, *holder))
    }
}
