//! Probes that wait for an answer, and the order in which members are probed.
//!
//! Each member is probed once before any is probed again, in an order drawn anew for
//! each turn, so that two routers seldom probe the same one at once.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use crate::usage::Peer;

/// Intervals after which a probe is sent once more, by this router and by others: 0.2 s at ten
/// probes a second, longer than a machine may stand still that has used up its part of a tenth
/// of a second.
const DIRECT: u32 = 2;

/// Intervals after which a router that nobody got an answer from is suspected.
const LIMIT: u32 = 5;

/// Intervals for which a probe on another's behalf is remembered.
const RELAYED: u32 = 5;

/// Draws numbers in an order that follows from a router's identity.
#[derive(Clone, Debug)]
pub(super) struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    pub(super) fn new(peer: Peer) -> Self {
        Self {
            seed: peer.0,
            count: 0,
        }
    }

    /// A number below `end`; 0 if that is 0.
    pub(super) fn below(&mut self, end: usize) -> usize {
        self.count += 1;
        let drawn = xxh64(&self.count.to_le_bytes(), self.seed);
        let end = u64::try_from(end.max(1)).unwrap_or(1);
        usize::try_from(drawn % end).unwrap_or_default()
    }

    /// A number that is spread over all values.
    pub(super) fn number(&mut self) -> u64 {
        self.count += 1;
        xxh64(&self.count.to_le_bytes(), self.seed)
    }
}

/// The order in which members are probed.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    order: Vec<SocketAddr>,
    next: usize,
}

impl Ring {
    /// A member came: it gets a place drawn from the rest of the turn.
    pub(super) fn insert(&mut self, address: SocketAddr, draws: &mut Draws) {
        let rest = self.order.len() + 1 - self.next;
        let place = self.next + draws.below(rest);
        self.order.insert(place, address);
    }

    /// A member went.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        if let Some(place) = self.order.iter().position(|it| *it == address) {
            self.order.remove(place);
            if place < self.next {
                self.next -= 1;
            }
        }
    }

    /// The next member to probe.
    pub(super) fn next(&mut self, draws: &mut Draws) -> Option<SocketAddr> {
        if self.next >= self.order.len() {
            self.next = 0;
            for place in (1..self.order.len()).rev() {
                self.order.swap(place, draws.below(place + 1));
            }
        }
        let address = self.order.get(self.next).copied()?;
        self.next += 1;
        Some(address)
    }

    /// Up to `count` members other than `not`, each at most once.
    pub(super) fn some(
        &self,
        count: usize,
        not: Option<SocketAddr>,
        draws: &mut Draws,
    ) -> Vec<SocketAddr> {
        let from = draws.below(self.order.len());
        // Far from each other in the order, so that the same ones don't come together again.
        let stride = self.order.len() / count.max(1);
        let mut some = Vec::with_capacity(count);
        for step in 0..self.order.len().min(count) {
            let place = (from + step * stride.max(1)) % self.order.len();
            let address = self.order[place];
            if Some(address) != not {
                some.push(address);
            }
        }
        some
    }
}

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) target: SocketAddr,
    pub(super) sent: Duration,
    /// Whether it was sent once more.
    again: bool,
}

/// What is due for a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// To be sent once more, and by others.
    Again,
    /// Its router is suspected.
    Suspect,
}

impl Probe {
    pub(super) fn new(number: u64, target: SocketAddr, now: Duration) -> Self {
        Self {
            number,
            target,
            sent: now,
            again: false,
        }
    }

    /// How long its answer took, unless it was sent again and either may have been answered.
    pub(super) fn time_of_answer(&self, now: Duration) -> Option<Duration> {
        (!self.again).then(|| now.saturating_sub(self.sent))
    }

    /// What is due, once for each.
    pub(super) fn due(&mut self, interval: Duration, now: Duration) -> Option<Due> {
        let waited = now.saturating_sub(self.sent);
        if waited >= interval * LIMIT {
            return Some(Due::Suspect);
        }
        if waited >= interval * DIRECT && !self.again {
            self.again = true;
            return Some(Due::Again);
        }
        None
    }
}

/// A probe sent on another router's behalf.
#[derive(Clone, Debug)]
pub(super) struct Relayed {
    /// Its number here.
    pub(super) number: u64,
    /// Who asked for it.
    pub(super) origin: SocketAddr,
    /// Its number there.
    pub(super) origin_number: u64,
    pub(super) sent: Duration,
}

impl Relayed {
    /// Whether its answer comes too late.
    pub(super) fn over(&self, interval: Duration, now: Duration) -> bool {
        now.saturating_sub(self.sent) >= interval * RELAYED
    }
}
