//! Messages of the membership protocol.
//!
//! An update is about one start of a router. Of two updates about the same start, the one with the
//! higher incarnation overrides the other; only that router raises it, to announce a change or to
//! refute a suspicion. At equal incarnations the graver status overrides, so that an older update
//! can't undo a suspicion.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::member::{Condition, Descriptor};

/// Liveness of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It runs.
    Alive,
    /// It left probes unanswered.
    Suspect,
    /// It was suspected for too long, or another start took its address.
    Ended,
}

/// State of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The router.
    pub router: Descriptor,
    /// Number of times that it has announced a change or refuted a suspicion.
    pub incarnation: u32,
    /// Whether it may own cells.
    pub condition: Condition,
    /// Whether it runs.
    pub status: Status,
}

impl Update {
    /// A router that has just started.
    #[must_use]
    pub fn new(router: Descriptor) -> Self {
        Self {
            router,
            incarnation: 0,
            condition: Condition::Healthy,
            status: Status::Alive,
        }
    }

    /// A copy with another status.
    #[must_use]
    pub fn with_status(&self, status: Status) -> Self {
        Self {
            status,
            ..self.clone()
        }
    }

    /// Whether this update takes precedence over `other`, which is about the same start.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}

/// Purpose of a packet, besides the updates in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests an answer with the same number.
    Probe(u64),
    /// Answers a probe.
    Ack(u64),
    /// Requests the receiver to probe another router and to relay its answer.
    Relay {
        /// Number of the probe at the sender.
        number: u64,
        /// The router to be probed.
        member: SocketAddr,
    },
    /// Only carries updates.
    Gossip,
    /// Requests the members of all buckets whose hashes differ from these.
    Pull(Vec<u32>),
    /// Answers a pull with all members of these buckets, in place of recent updates.
    Page(Vec<u8>),
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's own state.
    pub sender: Update,
    /// Digest of the members that the sender knows.
    pub digest: u32,
    /// Purpose of the packet.
    pub kind: Kind,
    /// Updates that the sender has recently received.
    pub updates: Vec<Update>,
}

/// A packet and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A router is new, or its condition has changed.
    Updated(Descriptor, Condition),
    /// A router has ended.
    Ended(Descriptor),
}
