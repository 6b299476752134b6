//! Who is alive: probes, suspicion and news between routers.
//!
//! Each interval a router probes one other, in an order drawn anew for each turn. One
//! that doesn't answer is probed again, also by a few others, as only the way between
//! two routers may be cut. If none gets an answer it is suspected, and ended if it
//! doesn't say otherwise in time: a router that learns that it is suspected or counted
//! as ended speaks anew of itself under a higher incarnation. What a router learns goes
//! along with whatever it sends. Sums of what the sender knows go with each packet; a
//! router that keeps seeing other sums than its own pulls the parts that differ.
//!
//! What is sent doesn't grow with the fleet, but for the pulls of a router that has just
//! started; a death is known everywhere after the time of a probe and a suspicion, and a
//! time that grows with the logarithm of the fleet's size. The scheme is SWIM (Das, Gupta,
//! Motivala, 2002) with suspicion, refutation, and pulls by sums in place of its joins.
//!
//! Times are since this router's start. Nothing here sends: packets are returned.

mod digest;
mod news;
mod probe;
mod receive;
mod tick;
mod update;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::member::{Card, Condition};
use crate::usage::Peer;
use digest::Digest;
use news::News;
use probe::{Draws, Probe, Relayed, Ring};
pub use update::{Change, Kind, Outgoing, Packet, Status, Update};

/// Intervals for which a router is suspected before it counts as ended: 1 s at ten probes a
/// second, in which the suspicion is to reach it and its answer to reach all; a newcomer is known to
/// all of 600 after 0.26 to 0.52 s under virtual time.
const SUSPICION: u32 = 10;

/// How long it is remembered that a router has ended, and its address tried now and then: longer
/// than failure domains are usually cut off from each other.
const REMEMBERED: Duration = Duration::from_mins(2);

/// Intervals without a packet from anyone after which a router takes itself to have been cut off.
const ALONE: u32 = 10;

/// Routers remembered so at the most: 100 KB.
const REMEMBERED_MOST: usize = 1_024;

/// Members in a packet that answers a pull: about a kilobyte.
const PAGE: usize = 32;

#[derive(Clone, Debug)]
struct Record {
    update: Update,
    /// When it counts as ended, while it is suspected.
    suspected_until: Duration,
    /// Whether this router itself has found it silent.
    accused: bool,
}

#[derive(Clone, Debug)]
struct Tombstone {
    update: Update,
    at: Duration,
}

/// What came of a packet or a moment.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Packets to be sent.
    pub outgoing: Vec<Outgoing>,
    /// What changed in who is alive.
    pub changes: Vec<Change>,
    /// Routers that a probe of this one got no answer from in time.
    pub missed: Vec<SocketAddr>,
    /// How long routers took to answer a probe that was sent once.
    pub answered: Vec<(SocketAddr, Duration)>,
}

/// The routers that are alive, as far as this one knows.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Update,
    seeds: Vec<SocketAddr>,
    interval: Duration,
    // Ordered, so that what follows from them is the same each time.
    known: BTreeMap<SocketAddr, Record>,
    ended: BTreeMap<Peer, Tombstone>,
    digest: Digest,
    news: News,
    ring: Ring,
    draws: Draws,
    probes: Vec<Probe>,
    relayed: Vec<Relayed>,
    /// Members that are to be probed before their turn.
    urgent: VecDeque<SocketAddr>,
    /// Addresses at which two starts were told of; only an answer tells which one runs.
    doubted: Vec<SocketAddr>,
    ticks: u64,
    /// Packets in a row whose sums were others than this router's.
    differing: u32,
    pulled: Option<Duration>,
    /// When the last packet came.
    heard: Duration,
}

impl Membership {
    /// A router that knows only where to ask first; it probes one other each `interval`.
    #[must_use]
    pub fn new(own: Card, seeds: &[SocketAddr], interval: Duration) -> Self {
        let seeds = seeds.iter().filter(|it| **it != own.address);
        let mut digest = Digest::new();
        digest.flip(&own);
        Self {
            draws: Draws::new(own.peer),
            seeds: seeds.copied().collect(),
            own: Update::new(own),
            interval,
            known: BTreeMap::new(),
            ended: BTreeMap::new(),
            digest,
            news: News::default(),
            ring: Ring::default(),
            probes: Vec::new(),
            relayed: Vec::new(),
            urgent: VecDeque::new(),
            doubted: Vec::new(),
            ticks: 0,
            differing: 0,
            pulled: None,
            heard: Duration::ZERO,
        }
    }

    /// Says of this router whether it may own cells.
    pub fn set_condition(&mut self, condition: Condition) {
        if self.own.condition != condition {
            self.own.condition = condition;
            self.announce(self.own.incarnation);
        }
    }

    /// Speaks of this router under an incarnation above one that was told of it.
    fn announce(&mut self, told: u32) {
        self.own.incarnation = told.max(self.own.incarnation) + 1;
        self.news.push(self.own.clone());
    }

    /// Whether this router has heard nobody for long: it is cut off, or the others have ended.
    #[must_use]
    pub fn hears_nobody(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) >= self.interval * ALONE
    }

    /// Other routers that are taken to be alive.
    pub fn others(&self) -> impl Iterator<Item = &Card> {
        self.known.values().map(|it| &it.update.card)
    }

    /// Up to `count` other routers, drawn anew each time.
    pub fn some(&mut self, count: usize) -> Vec<SocketAddr> {
        self.ring.some(count, None, &mut self.draws)
    }

    /// A packet that only brings news.
    pub fn news(&mut self) -> Packet {
        self.packet(Kind::News)
    }

    /// A packet with news.
    fn packet(&mut self, kind: Kind) -> Packet {
        Packet {
            news: self.news.take(self.known.len() + 1),
            ..self.bare(kind)
        }
    }

    /// A packet without news, for whom they would be lost on.
    fn bare(&self, kind: Kind) -> Packet {
        Packet {
            sender: self.own.clone(),
            digest: self.digest.sum(),
            kind,
            news: Vec::new(),
        }
    }

    fn outgoing(&mut self, to: SocketAddr, kind: Kind) -> Outgoing {
        let packet = self.packet(kind);
        Outgoing { to, packet }
    }

    /// A router is new.
    fn insert(&mut self, update: Update, effects: &mut Effects) {
        self.digest.flip(&update.card);
        self.ring.insert(update.card.address, &mut self.draws);
        effects
            .changes
            .push(Change::Heard(update.card.clone(), update.condition));
        let record = Record {
            suspected_until: Duration::ZERO,
            accused: false,
            update,
        };
        self.known.insert(record.update.card.address, record);
    }

    /// A router has ended; it is remembered, so that no older update brings it back.
    fn end(&mut self, address: SocketAddr, now: Duration, effects: &mut Effects) {
        let Some(record) = self.known.remove(&address) else {
            return;
        };
        self.digest.flip(&record.update.card);
        self.ring.remove(address);
        self.probes.retain(|it| it.target != address);
        let update = record.update.with_status(Status::Ended);
        self.remember(update.clone(), now);
        self.news.push(update);
        effects.changes.push(Change::Lost(record.update.card));
    }

    fn remember(&mut self, update: Update, now: Duration) {
        if self.ended.len() >= REMEMBERED_MOST {
            let oldest = self.ended.iter().min_by_key(|(_, it)| it.at);
            if let Some(peer) = oldest.map(|(peer, _)| *peer) {
                self.ended.remove(&peer);
            }
        }
        let peer = update.card.peer;
        self.ended.insert(peer, Tombstone { update, at: now });
    }
}
