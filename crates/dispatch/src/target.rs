//! A target: one incarnation of a server of a service.
//!
//! A server may restart under its previous identity. It retains no state from before the restart,
//! so a target is identified by the identity together with the start time ([`Tag`]): load, health,
//! memory and connections of an earlier incarnation do not apply to the next one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may get new work.
    Ready,
    /// It is about to end.
    Leaving,
    /// Its entry cannot be read: it gets no new work until a readable entry says that it may.
    Unreadable,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of the server, which may keep it across restarts.
    pub id: Arc<str>,
    /// Start time in milliseconds of Unix time by the server's own clock; `None` on platforms where
    /// each incarnation has an identity of its own.
    pub born: Option<u64>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: State,
    /// Remaining warm-up time, in which it takes few requests, as of its entry; zero once it is
    /// warm.
    pub cold_left: Duration,
    /// Name of its software version; `None` if unknown. Routers exchange it apart from the other fields,
    /// as earlier releases decode these by position.
    #[serde(skip)]
    pub version: Option<Arc<str>>,
}

/// Compact identifier of one incarnation of a server in messages and tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag(pub u32);

/// Compact identifier of a software version in messages and tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u32);

impl Version {
    /// Hashes the name of a version.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of the hash"
    )]
    pub fn new(name: &str) -> Self {
        Self(xxh64(name.as_bytes(), 0) as u32)
    }
}

impl Target {
    /// Its software version, if known.
    #[must_use]
    pub fn software(&self) -> Option<Version> {
        self.version.as_deref().map(Version::new)
    }

    /// The tag of this incarnation.
    #[must_use]
    pub fn tag(&self) -> Tag {
        match self.born {
            Some(born) => Tag::with_born(&self.id, born),
            None => Tag::new(&self.id),
        }
    }
}

impl Tag {
    /// The tag of an identity that is never reused.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self::with_born(id, 0)
    }

    /// The tag of the incarnation of `id` that started at `born`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a tag is the low half of the hash"
    )]
    pub fn with_born(id: &str, born: u64) -> Self {
        Self(xxh64(id.as_bytes(), born) as u32)
    }
}
