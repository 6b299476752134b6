//! Callers' connections, within the descriptors and the memory that a router has for them.
//!
//! A connection takes a descriptor and memory before it has sent anything. At the limit, a new one
//! is accepted and another one is closed:
//!
//! - one that is closing already and only waits for its caller, first,
//! - otherwise the one that has waited for its caller for the longest time: for a head, for the
//!   rest of a body, or for room to write.
//!
//! So a new connection, whose caller is about to send, outlasts those whose callers send nothing.
//! A connection whose request is being served does not wait for its caller and is not closed. If
//! that holds for all, the new one is closed: its request was not read, and its caller can send it
//! to another router.
//!
//! Invariant: no more connections than the limit are open.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Identity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Waits for its caller to close it behind the last answer.
    Closing,
    /// Waits for a head.
    Idle,
    /// Waits for the rest of a body.
    Reading,
    /// Waits for room to write an answer.
    Blocked,
    /// A request is being served.
    Serving,
}

impl Phase {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Closing => "closing",
            Self::Idle => "idle",
            Self::Reading => "reading",
            Self::Blocked => "blocked",
            Self::Serving => "serving",
        }
    }
}

/// Order in which connections are closed.
type Rank = (bool, Duration, Slot);

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
    next: u64,
    open: HashMap<Slot, (Phase, Duration)>,
    waiting: BTreeSet<Rank>,
}

impl Table {
    /// Creates a table without connections, for up to `limit`.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next: 0,
            open: HashMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    fn rank(slot: Slot, phase: Phase, since: Duration) -> Option<Rank> {
        (phase != Phase::Serving).then_some((phase != Phase::Closing, since, slot))
    }

    /// Adds a connection that waits for its first head. At the limit one is displaced, which counts
    /// no more.
    pub fn open(&mut self, now: Duration) -> (Slot, Option<Displaced>) {
        let slot = Slot(self.next);
        self.next += 1;
        let displaced = if self.open.len() < self.limit {
            None
        } else {
            let first = self.waiting.first().map(|(_, _, slot)| *slot);
            let phase = first.map(|it| self.open[&it].0);
            let displaced = first.zip(phase);
            Some(displaced.map_or(
                Displaced {
                    slot,
                    phase: Phase::Idle,
                },
                |(slot, phase)| Displaced { slot, phase },
            ))
        };
        if let Some(displaced) = displaced {
            self.close(displaced.slot);
        }
        if displaced.is_none_or(|it| it.slot != slot) {
            self.insert(slot, Phase::Idle, now);
        }
        (slot, displaced)
    }

    fn insert(&mut self, slot: Slot, phase: Phase, since: Duration) {
        self.open.insert(slot, (phase, since));
        self.waiting.extend(Self::rank(slot, phase, since));
    }

    /// Records what a connection does from now on. One that does the same as before keeps its time;
    /// one that was displaced or closed is ignored.
    pub fn enter(&mut self, slot: Slot, phase: Phase, now: Duration) {
        let Some((before, since)) = self.open.get(&slot).copied() else {
            return;
        };
        if before == phase {
            return;
        }
        if let Some(rank) = Self::rank(slot, before, since) {
            self.waiting.remove(&rank);
        }
        self.insert(slot, phase, now);
    }

    /// What a connection does; none if it was displaced or closed.
    #[must_use]
    pub fn phase(&self, slot: Slot) -> Option<Phase> {
        self.open.get(&slot).map(|(phase, _)| *phase)
    }

    /// Removes a connection.
    pub fn close(&mut self, slot: Slot) {
        if let Some((phase, since)) = self.open.remove(&slot)
            && let Some(rank) = Self::rank(slot, phase, since)
        {
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
    pub fn is_short(&self) -> bool {
        self.open.len() >= self.limit / 4 * 3
    }
}
