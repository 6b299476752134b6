//! Callers' connections, within the descriptors and the memory that a router has for them.
//!
//! A connection takes a descriptor and memory before it has sent anything, and each request that is
//! served needs another one for its target. At the limit, a connection that is accepted or opened
//! displaces one of a caller:
//!
//! - one that is closing already and only waits for its caller, first,
//! - otherwise the one that has waited for its caller for the longest time: for a head, for the
//!   rest of a body, or for room to write,
//! - one whose request was forwarded to a neighbour last, as the neighbour may be sending it.
//!
//! So a new connection, whose caller is about to send, outlasts those whose callers send nothing.
//! A connection whose request is being served does not wait for its caller and is not closed. If
//! that holds for all, the new one is closed: its request was not read, and its caller can send it
//! to another router. A head must be complete within the time that the configuration allows.
//!
//! A connection whose head or body is on its way has read buffers as well, so there is a lower limit
//! of these; the one that has been at it for the longest time is closed.
//!
//! A request that is served takes a connection to a target beside its caller's, so only half as many
//! are served as there may be connections. Near that, each customer has an equal part of them.
//!
//! Memory is one budget for connections and bodies. A connection takes more while it receives, while
//! its caller does not read, while a request is served, and while it is forwarded. A new one displaces
//! another one also when the budget is used up; bodies that can give way have done so before
//! ([`memory`](crate::memory)).
//!
//! Invariants: callers' connections and the others together do not exceed the limit, as long as the
//! others alone do not. What all of them and the bodies take exceeds the budget at most by what
//! that can't be closed grow by.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::memory::Holder;

/// Memory of a caller's connection in bytes, also of an idle one that has carried requests: its
/// buffers and its tasks.
pub const CONNECTION_BYTES: u64 = 24 * 1024;

/// Memory of a connection to a target, also of an idle one.
const TARGET_BYTES: u64 = 16 * 1024;

/// Memory of one whose head or body is on its way, in addition: what was read last, and the buffer
/// for what is read next.
const RECEIVING_BYTES: u64 = 24 * 1024;

/// Memory of one whose caller does not read, in addition: what is read of a stream until it waits.
const BLOCKED_BYTES: u64 = 24 * 1024;

/// Memory of a request that is served, beside its connections.
const SERVED_BYTES: u64 = 24 * 1024;

/// Memory of the forwarding of a connection to a neighbour, beside the caller's.
const FORWARDED_BYTES: u64 = 8 * 1024;

/// Memory of one whose caller does not read, in addition to that of a blocked connection: frames of
/// answers on their way.
const FORWARDED_BLOCKED_BYTES: u64 = 40 * 1024;

/// Memory of a connection that a neighbour has handed over, and of its frames.
const TAKEN_BYTES: u64 = 36 * 1024;

/// What is held beside callers' connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Others {
    /// Connections to targets, also idle ones.
    pub targets: usize,
    /// Connections that are forwarded to neighbours.
    pub forwarded: usize,
    /// Connections that neighbours have handed over.
    pub taken: usize,
    /// Requests that are served.
    pub served: usize,
    /// Bodies, in bytes.
    pub bodies: u64,
}

impl Others {
    /// Number of connections.
    #[must_use]
    pub fn count(self) -> usize {
        self.targets
            .saturating_add(self.forwarded)
            .saturating_add(self.taken)
    }

    /// Memory of all but bodies, in bytes.
    fn bytes(self) -> u64 {
        times(self.targets, TARGET_BYTES)
            .saturating_add(times(self.forwarded, FORWARDED_BYTES))
            .saturating_add(times(self.taken, TAKEN_BYTES))
            .saturating_add(times(self.served, SERVED_BYTES))
    }
}

impl From<usize> for Others {
    /// So many connections to targets, and nothing else.
    fn from(targets: usize) -> Self {
        Self {
            targets,
            ..Self::default()
        }
    }
}

fn times(count: usize, bytes: u64) -> u64 {
    u64::try_from(count).map_or(u64::MAX, |it| it.saturating_mul(bytes))
}

/// Identity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Waits for its caller to close it behind the last answer.
    Closing,
    /// Waits for the first byte of a head.
    Idle,
    /// Waits for the rest of a head.
    Head,
    /// Waits for the rest of a body.
    Reading,
    /// Is forwarded, and its request was not sent to a target yet.
    Forwarded,
    /// Waits for room to write an answer.
    Blocked,
    /// A request is being served.
    Serving,
}

impl Phase {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Closing,
        Self::Idle,
        Self::Head,
        Self::Reading,
        Self::Forwarded,
        Self::Blocked,
        Self::Serving,
    ];

    /// Whether a head or a body is on its way.
    #[must_use]
    pub fn receives(self) -> bool {
        matches!(self, Self::Head | Self::Reading)
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Closing => "closing",
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Reading => "reading",
            Self::Forwarded => "forwarded",
            Self::Blocked => "blocked",
            Self::Serving => "serving",
        }
    }
}

/// Order in which connections are closed.
type Rank = (Turn, Duration, Slot);

/// Turn of a connection that waits for its caller, before those of later turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// Nothing is lost with it.
    Closing,
    /// Its caller is waited for.
    Waiting,
    /// A neighbour may be sending its request to a target.
    Forwarded,
}

/// The connection that a new one displaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Displaced {
    /// The connection; the new one itself if none can be closed.
    pub slot: Slot,
    /// What it did.
    pub phase: Phase,
}

/// Open connections.
#[derive(Clone, Debug)]
pub struct Table {
    limit: usize,
    /// Budget of connections and bodies, in bytes.
    memory: u64,
    next: u64,
    /// Limit of connections whose head or body is on its way.
    receiving_limit: usize,
    open: HashMap<Slot, (Phase, Duration)>,
    waiting: BTreeSet<Rank>,
    receiving: BTreeSet<(Duration, Slot)>,
    /// Connections that are blocked.
    blocked: usize,
}

impl Table {
    /// Creates a table without connections, for up to `limit`.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            memory: u64::MAX,
            next: 0,
            receiving_limit: limit,
            open: HashMap::new(),
            waiting: BTreeSet::new(),
            receiving: BTreeSet::new(),
            blocked: 0,
        }
    }

    /// Sets the budget of connections and bodies, in bytes.
    #[must_use]
    pub fn with_memory(mut self, bytes: u64) -> Self {
        self.memory = bytes;
        self
    }

    /// Sets the limit of connections whose head or body is on its way.
    #[must_use]
    pub fn with_receiving_limit(mut self, limit: usize) -> Self {
        self.receiving_limit = limit;
        self
    }

    fn rank(slot: Slot, phase: Phase, since: Duration) -> Option<Rank> {
        let turn = match phase {
            Phase::Closing => Turn::Closing,
            Phase::Idle | Phase::Head | Phase::Reading | Phase::Blocked => Turn::Waiting,
            Phase::Forwarded => Turn::Forwarded,
            Phase::Serving => return None,
        };
        Some((turn, since, slot))
    }

    /// Adds a connection that waits for its first head, beside so many that are not callers'. At
    /// the limit one is displaced, which counts no more.
    pub fn open(&mut self, others: impl Into<Others>, now: Duration) -> (Slot, Option<Displaced>) {
        let others = others.into();
        let slot = Slot(self.next);
        self.next += 1;
        if !self.is_full(others) {
            self.insert(slot, Phase::Idle, now);
            return (slot, None);
        }
        let displaced = self.make_room(others);
        if displaced.is_some() {
            self.insert(slot, Phase::Idle, now);
        }
        let phase = Phase::Idle;
        (slot, displaced.or(Some(Displaced { slot, phase })))
    }

    /// Displaces a connection if another one would exceed the limit; none if no caller is waited
    /// for.
    pub fn make_room(&mut self, others: impl Into<Others>) -> Option<Displaced> {
        if !self.is_full(others) {
            return None;
        }
        self.displace()
    }

    /// Displaces a connection if what is open has grown beyond the memory; none if no caller is
    /// waited for. Its caller's part counts no more at once, the rest once it is closed.
    pub fn shed(&mut self, others: impl Into<Others>) -> Option<Displaced> {
        let others = others.into();
        let used = self.bytes(others).saturating_add(others.bodies);
        (used > self.memory).then(|| self.displace())?
    }

    /// Closes the connection that has waited for its caller for the longest time.
    fn displace(&mut self) -> Option<Displaced> {
        let (.., slot) = *self.waiting.first()?;
        let phase = self.phase(slot)?;
        self.close(slot);
        Some(Displaced { slot, phase })
    }

    /// Whether one more would exceed the limit.
    #[must_use]
    pub fn is_full(&self, others: impl Into<Others>) -> bool {
        let others = others.into();
        let used = self.bytes(others).saturating_add(others.bodies);
        self.open.len().saturating_add(others.count()) >= self.limit
            || used.saturating_add(CONNECTION_BYTES) > self.memory
    }

    /// Whether more are open than the limit, as some that were displaced are not closed yet.
    #[must_use]
    pub fn is_over(&self, others: impl Into<Others>) -> bool {
        self.open.len().saturating_add(others.into().count()) > self.limit
    }

    /// Memory of all connections, in bytes.
    fn bytes(&self, others: Others) -> u64 {
        times(self.open.len(), CONNECTION_BYTES)
            .saturating_add(times(self.receiving.len(), RECEIVING_BYTES))
            .saturating_add(times(self.blocked, BLOCKED_BYTES))
            .saturating_add(times(
                self.blocked.min(others.forwarded),
                FORWARDED_BLOCKED_BYTES,
            ))
            .saturating_add(others.bytes())
    }

    /// Memory that connections leave for bodies, in bytes.
    #[must_use]
    pub fn room(&self, others: Others) -> u64 {
        self.memory.saturating_sub(self.bytes(others))
    }

    /// Removes and returns the connections that have waited for the rest of a head since `before`.
    pub fn expire_heads(&mut self, before: Duration) -> Vec<Slot> {
        let open = self.open.iter();
        let expired = open.filter(|(_, (phase, since))| *phase == Phase::Head && *since <= before);
        let expired: Vec<_> = expired.map(|(slot, _)| *slot).collect();
        for slot in &expired {
            self.close(*slot);
        }
        expired
    }

    fn insert(&mut self, slot: Slot, phase: Phase, since: Duration) {
        self.open.insert(slot, (phase, since));
        self.waiting.extend(Self::rank(slot, phase, since));
        if phase.receives() {
            self.receiving.insert((since, slot));
        }
        self.blocked += usize::from(phase == Phase::Blocked);
    }

    /// Records what a connection does from now on; returns one that is displaced, as too many
    /// receive. One that does the same as before keeps its time; one that was displaced or closed
    /// is ignored.
    pub fn enter(&mut self, slot: Slot, phase: Phase, now: Duration) -> Option<Displaced> {
        let (before, _) = self.open.get(&slot).copied()?;
        if before == phase {
            return None;
        }
        self.close(slot);
        self.insert(slot, phase, now);
        if self.receiving.len() <= self.receiving_limit {
            return None;
        }
        let (_, slot) = *self.receiving.first()?;
        let phase = self.phase(slot)?;
        self.close(slot);
        Some(Displaced { slot, phase })
    }

    /// What a connection does; none if it was displaced or closed.
    #[must_use]
    pub fn phase(&self, slot: Slot) -> Option<Phase> {
        self.open.get(&slot).map(|(phase, _)| *phase)
    }

    /// Removes a connection.
    pub fn close(&mut self, slot: Slot) {
        let Some((phase, since)) = self.open.remove(&slot) else {
            return;
        };
        self.receiving.remove(&(since, slot));
        self.blocked -= usize::from(phase == Phase::Blocked);
        if let Some(rank) = Self::rank(slot, phase, since) {
            self.waiting.remove(&rank);
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Number of open connections that do this.
    #[must_use]
    pub fn count_of(&self, phase: Phase) -> usize {
        self.open.values().filter(|(it, _)| *it == phase).count()
    }

    /// Limit of open connections.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether so many are open that no neighbour should add more.
    #[must_use]
    pub fn is_short(&self, others: impl Into<Others>) -> bool {
        let others = others.into();
        let used = self.bytes(others).saturating_add(others.bodies);
        self.open.len().saturating_add(others.count()) >= self.limit / 4 * 3
            || used > self.memory / 4 * 3
    }
}

/// Requests that are being served.
#[derive(Clone, Debug)]
pub struct Served {
    limit: usize,
    total: usize,
    /// Requests of each customer that has any.
    by_holder: HashMap<Holder, usize>,
}

impl Served {
    /// Creates a count of no requests, for this limit of connections.
    #[must_use]
    pub fn new(connections: usize) -> Self {
        Self {
            limit: (connections / 2).max(1),
            total: 0,
            by_holder: HashMap::new(),
        }
    }

    /// Adds a request of a customer; false if it must not be served now.
    pub fn begin(&mut self, holder: Holder) -> bool {
        let own = self.by_holder.get(&holder).copied().unwrap_or_default();
        let shared = self.limit - self.limit / 4;
        let holders = self.by_holder.len() + usize::from(own == 0);
        let is_beyond_part = own > 0 && own >= shared / holders;
        if self.total >= self.limit || self.total >= shared && is_beyond_part {
            return false;
        }
        self.total += 1;
        self.by_holder.insert(holder, own + 1);
        true
    }

    /// Removes a request of a customer.
    pub fn end(&mut self, holder: Holder) {
        let Some(own) = self.by_holder.get_mut(&holder) else {
            return;
        };
        self.total -= 1;
        *own -= 1;
        if *own == 0 {
            self.by_holder.remove(&holder);
        }
    }

    /// Number of requests.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }
}
