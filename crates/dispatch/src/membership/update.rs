//! What routers tell each other of who is alive.
//!
//! An update is about one start of one router. Of two updates about the same start the
//! one with the higher incarnation holds; only that router itself raises it, to say
//! something new of itself or that it is alive after all. With equal incarnations the
//! graver one holds, so a suspicion can't be undone by an older update.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::member::{Card, Condition};

/// Whether a router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It does.
    Alive,
    /// It left probes unanswered.
    Suspect,
    /// It was suspected for too long, or another start took its address.
    Ended,
}

/// What is said of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The router.
    pub card: Card,
    /// How often it has spoken anew of itself.
    pub incarnation: u32,
    /// Whether it may own cells.
    pub condition: Condition,
    /// Whether it runs.
    pub status: Status,
}

impl Update {
    /// A router that has just started.
    #[must_use]
    pub fn new(card: Card) -> Self {
        Self {
            card,
            incarnation: 0,
            condition: Condition::Sound,
            status: Status::Alive,
        }
    }

    /// The same router, running or not.
    #[must_use]
    pub fn with_status(&self, status: Status) -> Self {
        Self {
            status,
            ..self.clone()
        }
    }

    /// Whether this holds against `other`, said of the same start.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}

/// What a packet is for, beside the news in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an answer with the same number.
    Probe(u64),
    /// Answers a probe.
    Ack(u64),
    /// Asks the receiver to probe another router and to pass its answer on.
    Relay {
        /// Number of the probe at the sender.
        number: u64,
        /// The router to be probed.
        target: SocketAddr,
    },
    /// Only brings news.
    News,
    /// Asks for the members of all parts whose sums differ from these.
    Pull(Vec<u32>),
    /// Answers that with all members of these parts, in place of news.
    Page(Vec<u8>),
}

/// A message on who is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// What the sender says of itself.
    pub sender: Update,
    /// Sum of the members that the sender knows.
    pub digest: u32,
    /// What the packet is for.
    pub kind: Kind,
    /// What the sender has learned lately.
    pub news: Vec<Update>,
}

/// A packet and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// What changed in who is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A router is new, or says something new of itself.
    Heard(Card, Condition),
    /// A router has ended.
    Lost(Card),
}
