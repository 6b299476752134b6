//! Settings of a pool.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::CryptoRng;

use crate::backoff::Backoff;
use crate::hello::{self, Key};
use crate::queue::Bound;

/// How a pool listens, names itself and bounds its links.
pub struct Settings {
    pub(super) listen: SocketAddr,
    pub(super) advertise: Option<SocketAddr>,
    pub(super) instance: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) failure_domain: Arc<str>,
    pub(super) key: Key,
    pub(super) random: Box<dyn CryptoRng + Send>,
    pub(super) version: u16,
    pub(super) bound: Bound,
    pub(super) backoff: Backoff,
    pub(super) opening: usize,
    pub(super) hello: Duration,
    pub(super) idle: Duration,
    pub(super) dead: Duration,
}

impl Settings {
    /// Settings of the instance `instance`, started as `incarnation`.
    ///
    /// `random` yields nonces and jitter and has to be unpredictable outside tests.
    #[must_use]
    pub fn new(
        listen: SocketAddr,
        instance: impl Into<Arc<str>>,
        incarnation: u64,
        failure_domain: impl Into<Arc<str>>,
        key: Key,
        random: impl CryptoRng + Send + 'static,
    ) -> Self {
        Self {
            listen,
            advertise: None,
            instance: instance.into(),
            incarnation,
            failure_domain: failure_domain.into(),
            key,
            random: Box::new(random),
            version: hello::VERSION,
            bound: Bound {
                messages: 1024,
                bytes: 4 << 20,
                age: Duration::from_secs(5),
            },
            backoff: Backoff::new(Duration::from_millis(50), Duration::from_secs(2)),
            opening: 64,
            hello: Duration::from_secs(2),
            idle: Duration::from_mins(1),
            dead: Duration::from_secs(10),
        }
    }

    /// Sets the key of the fleet.
    #[must_use]
    pub fn with_key(mut self, key: Key) -> Self {
        self.key = key;
        self
    }

    /// Sets the address told to peers; by default the one listened on.
    #[must_use]
    pub fn with_advertise(mut self, address: SocketAddr) -> Self {
        self.advertise = Some(address);
        self
    }

    /// Sets the version of the messages; both ends have to agree.
    #[must_use]
    pub fn with_version(mut self, version: u16) -> Self {
        self.version = version;
        self
    }

    /// Sets the bound of the queue of each peer.
    #[must_use]
    pub fn with_bound(mut self, bound: Bound) -> Self {
        self.bound = bound;
        self
    }

    /// Sets the pauses between attempts to dial a peer.
    #[must_use]
    pub fn with_backoff(mut self, backoff: Backoff) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets how many accepted connections may be opening at once.
    #[must_use]
    pub fn with_opening(mut self, connections: usize) -> Self {
        self.opening = connections;
        self
    }

    /// Sets the time within which a connection has to become a session.
    #[must_use]
    pub fn with_hello(mut self, time: Duration) -> Self {
        self.hello = time;
        self
    }

    /// Sets the time without messages after which a session is closed.
    #[must_use]
    pub fn with_idle(mut self, time: Duration) -> Self {
        self.idle = time;
        self
    }

    /// Sets the time after which a connection that takes no data counts as dead.
    #[must_use]
    pub fn with_dead(mut self, time: Duration) -> Self {
        self.dead = time;
        self
    }
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("listen", &self.listen)
            .field("instance", &self.instance)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
