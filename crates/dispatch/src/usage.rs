//! Load at each target: this router's own and that reported by its peers.
//!
//! The load of a peer counts until there was neither a report from it nor a grant to it for
//! [`PEER_TIMEOUT`]: the requests of a router end with its process.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;

/// Time without a report from a peer or a grant to it after which its load is dropped.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Load at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens to prefill for requests that have not had their first token.
    pub unread: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread += other.unread;
    }

    fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
    }
}

/// Random identity of one run of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer(pub u64);

#[derive(Clone, Debug, Default)]
struct Report {
    updated_at: Duration,
    loads: HashMap<Tag, Load>,
}

/// Load at all targets.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: HashMap<Tag, Load>,
    peers: HashMap<Peer, Report>,
    total: HashMap<Tag, Load>,
}

impl Usage {
    /// Creates a table without load.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was sent to a target with `unread` prompt tokens to prefill.
    pub fn begin(&mut self, tag: Tag, unread: u64) {
        let load = Load { running: 1, unread };
        self.own.entry(tag).or_default().add(load);
        self.total.entry(tag).or_default().add(load);
    }

    /// Records that a target has prefilled `unread` tokens of a request.
    pub fn end_prefill(&mut self, tag: Tag, unread: u64) {
        for map in [&mut self.own, &mut self.total] {
            if let Some(load) = map.get_mut(&tag) {
                load.unread = load.unread.saturating_sub(unread);
            }
        }
    }

    /// Records that a request at a target has ended.
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

    /// Records that a peer was granted a request at a target.
    pub fn begin_for(&mut self, peer: Peer, tag: Tag, unread: u64, now: Duration) {
        let load = Load { running: 1, unread };
        let report = self.peers.entry(peer).or_default();
        report.updated_at = now;
        report.loads.entry(tag).or_default().add(load);
        self.total.entry(tag).or_default().add(load);
    }

    /// Records that a target has prefilled `unread` tokens of a peer's request.
    pub fn end_prefill_for(&mut self, peer: Peer, tag: Tag, unread: u64) {
        self.subtract_for(peer, tag, Load { running: 0, unread });
    }

    /// Records that a peer's request has ended, of which `unread` tokens still counted as not
    /// prefilled.
    pub fn end_for(&mut self, peer: Peer, tag: Tag, unread: u64) {
        self.subtract_for(peer, tag, Load { running: 1, unread });
    }

    /// Subtracts at most the peer's current load, which a report may have replaced meanwhile.
    fn subtract_for(&mut self, peer: Peer, tag: Tag, load: Load) {
        let report = self.peers.get_mut(&peer);
        let Some(current) = report.and_then(|it| it.loads.get_mut(&tag)) else {
            return;
        };
        let removed = Load {
            running: current.running.min(load.running),
            unread: current.unread.min(load.unread),
        };
        current.subtract(removed);
        if let Some(total) = self.total.get_mut(&tag) {
            total.subtract(removed);
        }
    }

    /// Replaces the load of a peer by its report.
    pub fn apply_report(
        &mut self,
        peer: Peer,
        loads: impl Iterator<Item = (Tag, Load)>,
        now: Duration,
    ) {
        let loads: HashMap<Tag, Load> = loads.collect();
        let previous = self.peers.insert(
            peer,
            Report {
                updated_at: now,
                loads,
            },
        );
        let previous = previous.into_iter().flat_map(|it| it.loads);
        for (tag, load) in previous {
            if let Some(total) = self.total.get_mut(&tag) {
                total.subtract(load);
            }
        }
        for (tag, load) in &self.peers[&peer].loads {
            self.total.entry(*tag).or_default().add(*load);
        }
    }

    /// Drops peers whose load was not updated for [`PEER_TIMEOUT`], and recomputes the totals if
    /// there were any.
    pub fn prune(&mut self, now: Duration) {
        let expired = |it: &Report| now.saturating_sub(it.updated_at) >= PEER_TIMEOUT;
        if self.peers.values().any(expired) {
            self.recompute_totals(now);
        }
    }

    /// Drops peers whose load was not updated for [`PEER_TIMEOUT`], and recomputes the totals.
    pub fn recompute_totals(&mut self, now: Duration) {
        self.peers
            .retain(|_, it| now.saturating_sub(it.updated_at) < PEER_TIMEOUT);
        self.total = self.own.clone();
        for report in self.peers.values() {
            for (tag, load) in &report.loads {
                self.total.entry(*tag).or_default().add(*load);
            }
        }
    }

    /// Load of all routers at a target.
    #[must_use]
    pub fn total(&self, tag: Tag) -> Load {
        self.total.get(&tag).copied().unwrap_or_default()
    }

    /// This router's own load at a target.
    #[must_use]
    pub fn own(&self, tag: Tag) -> Load {
        self.own.get(&tag).copied().unwrap_or_default()
    }

    /// This router's own load at all targets.
    pub fn own_loads(&self) -> impl Iterator<Item = (Tag, Load)> {
        self.own.iter().map(|(tag, load)| (*tag, *load))
    }

    /// Number of routers with a recent update, including this one.
    #[must_use]
    pub fn router_count(&self) -> usize {
        self.peers.len() + 1
    }
}
