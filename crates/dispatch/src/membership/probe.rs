//! Pending probes, and the order in which members are probed.
//!
//! Each member is probed once per round, in an order that is shuffled anew for each round, so that
//! two routers seldom probe the same member at once.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use crate::usage::Peer;

/// Probe intervals after which a probe is repeated, directly and through relays: 0.2 s at ten
/// probes a second, longer than a process is suspended once it has used up its CPU quota for a
/// period of 0.1 s.
const RETRY_INTERVALS: u32 = 2;

/// Probe intervals without any answer after which a router is suspected.
const SUSPECT_INTERVALS: u32 = 5;

/// Probe intervals after which a relayed probe is dropped.
const RELAY_TIMEOUT_INTERVALS: u32 = 5;

/// Deterministic pseudo-random numbers, seeded by a router's identity.
#[derive(Clone, Debug)]
pub(super) struct Random {
    seed: u64,
    count: u64,
}

impl Random {
    pub(super) fn new(peer: Peer) -> Self {
        Self {
            seed: peer.0,
            count: 0,
        }
    }

    /// A number below `end`; 0 if `end` is 0.
    pub(super) fn below(&mut self, end: usize) -> usize {
        self.count += 1;
        let value = xxh64(&self.count.to_le_bytes(), self.seed);
        let end = u64::try_from(end.max(1)).unwrap_or(1);
        usize::try_from(value % end).unwrap_or_default()
    }

    /// A number spread over all values.
    pub(super) fn next_u64(&mut self) -> u64 {
        self.count += 1;
        xxh64(&self.count.to_le_bytes(), self.seed)
    }
}

/// The order in which members are probed.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule {
    order: Vec<SocketAddr>,
    next: usize,
}

impl Schedule {
    /// Adds a member at a random position in the rest of the round.
    pub(super) fn insert(&mut self, address: SocketAddr, random: &mut Random) {
        let rest = self.order.len() + 1 - self.next;
        let index = self.next + random.below(rest);
        self.order.insert(index, address);
    }

    pub(super) fn remove(&mut self, address: SocketAddr) {
        if let Some(index) = self.order.iter().position(|it| *it == address) {
            self.order.remove(index);
            if index < self.next {
                self.next -= 1;
            }
        }
    }

    /// The next member to probe.
    pub(super) fn next(&mut self, random: &mut Random) -> Option<SocketAddr> {
        if self.next >= self.order.len() {
            self.next = 0;
            for index in (1..self.order.len()).rev() {
                self.order.swap(index, random.below(index + 1));
            }
        }
        let address = self.order.get(self.next).copied()?;
        self.next += 1;
        Some(address)
    }

    /// Up to `count` distinct members other than `exclude`.
    pub(super) fn sample(
        &self,
        count: usize,
        exclude: Option<SocketAddr>,
        random: &mut Random,
    ) -> Vec<SocketAddr> {
        let from = random.below(self.order.len());
        // Spread over the order, so that the same members aren't drawn together again.
        let stride = self.order.len() / count.max(1);
        let mut some = Vec::with_capacity(count);
        for step in 0..self.order.len().min(count) {
            let index = (from + step * stride.max(1)) % self.order.len();
            let address = self.order[index];
            if Some(address) != exclude {
                some.push(address);
            }
        }
        some
    }
}

/// A probe that awaits its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) member: SocketAddr,
    pub(super) sent: Duration,
    /// Whether the probe was sent a second time.
    retried: bool,
}

/// Next step for a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Repeat it, directly and through relays.
    Retry,
    /// Suspect the probed router.
    Suspect,
}

impl Probe {
    pub(super) fn new(number: u64, member: SocketAddr, now: Duration) -> Self {
        Self {
            number,
            member,
            sent: now,
            retried: false,
        }
    }

    /// The round-trip time; none if the probe was repeated, as either may have been answered.
    pub(super) fn round_trip(&self, now: Duration) -> Option<Duration> {
        (!self.retried).then(|| now.saturating_sub(self.sent))
    }

    /// The next step that is due; each is returned once.
    pub(super) fn next_action(&mut self, interval: Duration, now: Duration) -> Option<Action> {
        let waited = now.saturating_sub(self.sent);
        if waited >= interval * SUSPECT_INTERVALS {
            return Some(Action::Suspect);
        }
        if waited >= interval * RETRY_INTERVALS && !self.retried {
            self.retried = true;
            return Some(Action::Retry);
        }
        None
    }
}

/// A probe sent on behalf of another router.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    /// Number of the probe at this router.
    pub(super) number: u64,
    /// The router that requested it.
    pub(super) origin: SocketAddr,
    /// Number of the probe at the origin.
    pub(super) origin_number: u64,
    pub(super) sent: Duration,
}

impl Relay {
    /// Whether an answer would come too late.
    pub(super) fn is_expired(&self, interval: Duration, now: Duration) -> bool {
        now.saturating_sub(self.sent) >= interval * RELAY_TIMEOUT_INTERVALS
    }
}
