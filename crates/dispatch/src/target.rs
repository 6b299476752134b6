//! A target: one start of a server of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may.
    Ready,
    /// It is about to end.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of this start; a restart has another one.
    pub id: Arc<str>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: State,
}

/// Short name of a target in messages and tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag(pub u32);

impl Target {
    /// The short name.
    #[must_use]
    pub fn tag(&self) -> Tag {
        Tag::new(&self.id)
    }
}

impl Tag {
    /// The short name of an identity.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of the hash"
    )]
    pub fn new(id: &str) -> Self {
        Self(xxh64(id.as_bytes(), 0) as u32)
    }
}
