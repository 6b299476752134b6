//! A target: one start of a server of a service.
//!
//! A server that starts again may do so under the identity that it had. It knows nothing of before
//! then, so what counts as one target is an identity with the moment of its start ([`Tag`]): what is
//! known of an earlier start, its load, health, memory and connections, says nothing of the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may.
    Ready,
    /// It is about to end.
    Leaving,
    /// Its entry can't be read: it gets no new work until that says again that it may.
    Unreadable,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of the server, which may have it again after a restart.
    pub id: Arc<str>,
    /// When it started, in milliseconds of Unix time by its own clock; none on platforms where each
    /// start has an identity of its own.
    pub born: Option<u64>,
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
    /// How much longer it bears few requests, as of its entry; zero once it is warm.
    pub cold_left: Duration,
}

/// Short name of one start of a server in messages and tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag(pub u32);

impl Target {
    /// The short name.
    #[must_use]
    pub fn tag(&self) -> Tag {
        match self.born {
            Some(born) => Tag::with_born(&self.id, born),
            None => Tag::new(&self.id),
        }
    }
}

impl Tag {
    /// The short name of an identity that no other start has.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self::with_born(id, 0)
    }

    /// The short name of the start of an identity at `born`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of the hash"
    )]
    pub fn with_born(id: &str, born: u64) -> Self {
        Self(xxh64(id.as_bytes(), born) as u32)
    }
}
