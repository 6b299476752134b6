//! Membership and failure detection: probes, suspicion and gossip between routers.
//!
//! In each interval a router probes one other router, in an order that is shuffled anew for each
//! round. A router that doesn't answer is probed again, also through a few others, as only the path
//! between two routers may be cut. If none of them gets an answer, it is suspected, and counts as
//! ended unless it refutes the suspicion in time: a router that learns that it is suspected or
//! counted as ended announces itself under a higher incarnation. Updates are piggybacked on all
//! packets. Each packet carries a digest of the sender's view; a router whose own digest keeps
//! differing pulls the buckets that differ.
//!
//! The size of messages doesn't depend on the size of the fleet, except for the pulls of a router
//! that has just started. The end of a router is known everywhere after a probe time-out, a
//! suspicion time-out, and a delay that grows with the logarithm of the fleet's size. The protocol
//! is SWIM (Das, Gupta, Motivala, 2002) with suspicion and refutation, and with digest-based pulls
//! in place of its joins.
//!
//! Times are relative to the start of this router. This module does no I/O: packets to be sent are
//! returned.

mod broadcast;
mod digest;
mod probe;
mod receive;
mod tick;
mod update;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::member::{Condition, Descriptor};
use crate::usage::Peer;
use broadcast::Queue;
use digest::Digest;
use probe::{Probe, Random, Relay, Schedule};
pub use update::{Change, Kind, Outgoing, Packet, Status, Update};

/// Probe intervals from suspicion to end: 1 s at ten probes a second, in which the suspicion has to
/// reach the router and its refutation all others. Under virtual time a newcomer is known to all of
/// 600 routers after 0.26 to 0.52 s.
const SUSPICION_INTERVALS: u32 = 10;

/// How long a tombstone is kept, and its address retried now and then: longer than network
/// partitions between failure domains usually last.
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(2);

/// Probe intervals without a packet after which a router considers itself isolated.
const ISOLATION_INTERVALS: u32 = 10;

/// Limit on the number of tombstones, about 100 KB.
const MAX_TOMBSTONES: usize = 1_024;

/// Members after which a page of an answer to a pull is closed, about a kilobyte.
const PAGE_MEMBERS: usize = 32;

#[derive(Clone, Debug)]
struct Record {
    update: Update,
    /// When it counts as ended, if it is suspected.
    suspected_until: Duration,
    /// Whether a probe of this router itself timed out.
    suspected_locally: bool,
}

#[derive(Clone, Debug)]
struct Tombstone {
    update: Update,
    at: Duration,
}

/// Results of a packet or a tick.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Packets to be sent.
    pub outgoing: Vec<Outgoing>,
    /// Changes of the membership.
    pub changes: Vec<Change>,
    /// Routers that did not answer a probe of this router in time.
    pub unanswered: Vec<SocketAddr>,
    /// Round-trip times of probes that were sent only once.
    pub round_trips: Vec<(SocketAddr, Duration)>,
}

/// This router's view of the routers that are alive.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Update,
    seeds: Vec<SocketAddr>,
    interval: Duration,
    // Ordered, so that iteration is deterministic.
    members: BTreeMap<SocketAddr, Record>,
    tombstones: BTreeMap<Peer, Tombstone>,
    digest: Digest,
    broadcasts: Queue,
    schedule: Schedule,
    random: Random,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    /// Members to be probed ahead of the schedule.
    priority: VecDeque<SocketAddr>,
    /// Addresses for which two incarnations of a router were reported; they are probed to find out
    /// which one runs.
    conflicting: Vec<SocketAddr>,
    ticks: u64,
    /// Consecutive packets whose digest differed from this router's.
    mismatches: u32,
    last_pull: Option<Duration>,
    /// When the last packet arrived.
    last_packet: Duration,
}

impl Membership {
    /// A router that knows only its seeds; it probes one other router each `interval`.
    #[must_use]
    pub fn new(own: Descriptor, seeds: &[SocketAddr], interval: Duration) -> Self {
        let seeds = seeds.iter().filter(|it| **it != own.address);
        let mut digest = Digest::new();
        digest.toggle(&own);
        Self {
            random: Random::new(own.peer),
            seeds: seeds.copied().collect(),
            own: Update::new(own),
            interval,
            members: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            digest,
            broadcasts: Queue::default(),
            schedule: Schedule::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            priority: VecDeque::new(),
            conflicting: Vec::new(),
            ticks: 0,
            mismatches: 0,
            last_pull: None,
            last_packet: Duration::ZERO,
        }
    }

    /// Sets and announces whether this router may own cells.
    pub fn set_condition(&mut self, condition: Condition) {
        if self.own.condition != condition {
            self.own.condition = condition;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// Announces this router under an incarnation higher than one that was reported.
    fn raise_incarnation(&mut self, reported: u32) {
        self.own.incarnation = reported.max(self.own.incarnation) + 1;
        self.broadcasts.push(self.own.clone());
    }

    /// Whether no packet has arrived for `ISOLATION_INTERVALS`: this router is cut off, or all
    /// others have ended.
    #[must_use]
    pub fn is_isolated(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_packet) >= self.interval * ISOLATION_INTERVALS
    }

    /// Other routers that count as alive.
    pub fn others(&self) -> impl Iterator<Item = &Descriptor> {
        self.members.values().map(|it| &it.update.router)
    }

    /// Up to `count` other routers, drawn at random.
    pub fn sample(&mut self, count: usize) -> Vec<SocketAddr> {
        self.schedule.sample(count, None, &mut self.random)
    }

    /// A packet that only carries updates.
    pub fn gossip(&mut self) -> Packet {
        self.packet(Kind::Gossip)
    }

    /// A packet with piggybacked updates.
    fn packet(&mut self, kind: Kind) -> Packet {
        Packet {
            updates: self.broadcasts.take(self.members.len() + 1),
            ..self.packet_without_updates(kind)
        }
    }

    /// A packet without updates, for receivers on which piggybacked updates would be wasted.
    fn packet_without_updates(&self, kind: Kind) -> Packet {
        Packet {
            sender: self.own.clone(),
            digest: self.digest.combined(),
            kind,
            updates: Vec::new(),
        }
    }

    fn outgoing(&mut self, to: SocketAddr, kind: Kind) -> Outgoing {
        let packet = self.packet(kind);
        Outgoing { to, packet }
    }

    /// Adds a new router.
    fn insert(&mut self, update: Update, effects: &mut Effects) {
        self.digest.toggle(&update.router);
        self.schedule
            .insert(update.router.address, &mut self.random);
        effects
            .changes
            .push(Change::Updated(update.router.clone(), update.condition));
        let record = Record {
            suspected_until: Duration::ZERO,
            suspected_locally: false,
            update,
        };
        self.members.insert(record.update.router.address, record);
    }

    /// Removes a router and adds a tombstone, so that no older update brings it back.
    fn mark_ended(&mut self, address: SocketAddr, now: Duration, effects: &mut Effects) {
        let Some(record) = self.members.remove(&address) else {
            return;
        };
        self.digest.toggle(&record.update.router);
        self.schedule.remove(address);
        self.probes.retain(|it| it.member != address);
        let update = record.update.with_status(Status::Ended);
        self.add_tombstone(update.clone(), now);
        self.broadcasts.push(update);
        effects.changes.push(Change::Ended(record.update.router));
    }

    fn add_tombstone(&mut self, update: Update, now: Duration) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, it)| it.at);
            if let Some(peer) = oldest.map(|(peer, _)| *peer) {
                self.tombstones.remove(&peer);
            }
        }
        let peer = update.router.peer;
        self.tombstones.insert(peer, Tombstone { update, at: now });
    }
}
