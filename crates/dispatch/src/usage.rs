//! Work at each target: this router's own and what its peers report.
//!
//! A peer's part counts until the peer has been silent for [`PEER_TIMEOUT`]:
//! a router that ended takes its requests with it.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;

/// A peer that has been silent for this long has no work any more.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Work at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of those that wait for their first token.
    pub unread: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread += other.unread;
    }

    fn take(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
    }
}

/// Identity of a router's start, drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer(pub u64);

#[derive(Clone, Debug, Default)]
struct Report {
    at: Duration,
    loads: HashMap<Tag, Load>,
}

/// Work at all targets.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: HashMap<Tag, Load>,
    peers: HashMap<Peer, Report>,
    total: HashMap<Tag, Load>,
}

impl Usage {
    /// No work anywhere.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request was sent to a target, with prompt tokens to read.
    pub fn begin(&mut self, tag: Tag, unread: u64) {
        let load = Load { running: 1, unread };
        self.own.entry(tag).or_default().add(load);
        self.total.entry(tag).or_default().add(load);
    }

    /// Its prompt has been read.
    pub fn read(&mut self, tag: Tag, unread: u64) {
        for map in [&mut self.own, &mut self.total] {
            if let Some(load) = map.get_mut(&tag) {
                load.unread = load.unread.saturating_sub(unread);
            }
        }
    }

    /// It has ended.
    pub fn end(&mut self, tag: Tag) {
        for map in [&mut self.own, &mut self.total] {
            if let Some(load) = map.get_mut(&tag) {
                load.running = load.running.saturating_sub(1);
            }
        }
        if self.own.get(&tag) == Some(&Load::default()) {
            self.own.remove(&tag);
        }
    }

    /// A place at a target was given to a peer.
    pub fn begin_for(&mut self, peer: Peer, tag: Tag, unread: u64, now: Duration) {
        let load = Load { running: 1, unread };
        let report = self.peers.entry(peer).or_default();
        report.at = now;
        report.loads.entry(tag).or_default().add(load);
        self.total.entry(tag).or_default().add(load);
    }

    /// A peer's prompt has been read.
    pub fn read_for(&mut self, peer: Peer, tag: Tag, unread: u64) {
        self.take_for(peer, tag, Load { running: 0, unread });
    }

    /// A peer's request has ended.
    pub fn end_for(&mut self, peer: Peer, tag: Tag, unread: u64) {
        self.take_for(peer, tag, Load { running: 1, unread });
    }

    /// Takes no more than the peer has, as its whole report may have come in between.
    fn take_for(&mut self, peer: Peer, tag: Tag, load: Load) {
        let report = self.peers.get_mut(&peer);
        let Some(held) = report.and_then(|it| it.loads.get_mut(&tag)) else {
            return;
        };
        let taken = Load {
            running: held.running.min(load.running),
            unread: held.unread.min(load.unread),
        };
        held.take(taken);
        if let Some(total) = self.total.get_mut(&tag) {
            total.take(taken);
        }
    }

    /// Takes a peer's report.
    pub fn report(&mut self, peer: Peer, loads: impl Iterator<Item = (Tag, Load)>, now: Duration) {
        let loads: HashMap<Tag, Load> = loads.collect();
        let before = self.peers.insert(peer, Report { at: now, loads });
        let before = before.into_iter().flat_map(|it| it.loads);
        for (tag, load) in before {
            if let Some(total) = self.total.get_mut(&tag) {
                total.take(load);
            }
        }
        for (tag, load) in &self.peers[&peer].loads {
            self.total.entry(*tag).or_default().add(*load);
        }
    }

    /// Drops peers that have been silent, if any, and adds up the others.
    pub fn prune(&mut self, now: Duration) {
        let silent = |it: &Report| now.saturating_sub(it.at) >= PEER_TIMEOUT;
        if self.peers.values().any(silent) {
            self.sum(now);
        }
    }

    /// Drops peers that have been silent and adds up the others.
    pub fn sum(&mut self, now: Duration) {
        self.peers
            .retain(|_, it| now.saturating_sub(it.at) < PEER_TIMEOUT);
        self.total = self.own.clone();
        for report in self.peers.values() {
            for (tag, load) in &report.loads {
                self.total.entry(*tag).or_default().add(*load);
            }
        }
    }

    /// Work of all routers at a target.
    #[must_use]
    pub fn total(&self, tag: Tag) -> Load {
        self.total.get(&tag).copied().unwrap_or_default()
    }

    /// This router's own work at a target.
    #[must_use]
    pub fn own(&self, tag: Tag) -> Load {
        self.own.get(&tag).copied().unwrap_or_default()
    }

    /// This router's own work everywhere.
    pub fn all_own(&self) -> impl Iterator<Item = (Tag, Load)> {
        self.own.iter().map(|(tag, load)| (*tag, *load))
    }

    /// Routers at work, this one included.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.peers.len() + 1
    }
}
