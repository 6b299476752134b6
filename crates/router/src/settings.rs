//! What one router is told at its start.
//!
//! The binary fills [`Settings`] from flags and environment variables (see
//! [`crate::flags`]); tests and the demo build them with `new` and `with_`
//! methods. What operators change while the fleet runs is in the configuration.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_config::revision::STREAM;
use dunlinward_wire::Key;

/// Default time for which the log keeps records.
pub const RETENTION: Duration = Duration::from_hours(1);
/// Default number of callers' connections open at once.
pub const CONNECTIONS: usize = 4096;
/// Default time for a request's head and for its body.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Default largest request body in bytes; the configuration may lower it.
pub const BODY_LIMIT: usize = 4 << 20;
/// Default memory for all request bodies together in bytes.
pub const BODY_MEMORY: usize = 256 << 20;
/// Default number of attempts that run at once.
pub const WORKERS: usize = 1024;
/// Default time for a graceful shutdown.
pub const DRAIN: Duration = Duration::from_secs(30);
/// Default time between two rounds of accounts.
pub const ROUND: Duration = Duration::from_millis(500);

/// A peer that is known without the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it accepts links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}

/// Settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other routers connect.
    pub link: SocketAddr,
    /// The log service.
    pub log: Option<SocketAddr>,
    /// The instance list.
    pub instances: Option<SocketAddr>,
    /// Peers known without the instance list.
    pub peers: Vec<Peer>,
    /// The secret that routers share; never logged.
    pub fleet_key: Key,
    /// Stream of the log that carries configurations.
    pub stream: Arc<str>,
    /// How long the log keeps records, at least.
    pub retention: Duration,
    /// Longest graceful shutdown.
    pub drain: Duration,
    /// Callers' connections open at once.
    pub connections: usize,
    /// Time for a request's head, and again for its body.
    pub header_timeout: Duration,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Memory for all request bodies together, in bytes.
    pub body_memory: usize,
    /// Attempts that run at once.
    pub workers: usize,
    /// Seed for ties and jitter.
    pub seed: u64,
    /// Time between two rounds of accounts.
    pub round: Duration,
}

impl Settings {
    /// Settings of an instance that listens on free ports of the loopback address.
    #[must_use]
    pub fn new(name: impl Into<Arc<str>>, domain: impl Into<Arc<str>>, fleet_key: Key) -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.into(),
            domain: domain.into(),
            callers: free,
            operators: free,
            link: free,
            log: None,
            instances: None,
            peers: Vec::new(),
            fleet_key,
            stream: Arc::from(STREAM),
            retention: RETENTION,
            drain: DRAIN,
            connections: CONNECTIONS,
            header_timeout: HEADER_TIMEOUT,
            body_limit: BODY_LIMIT,
            body_memory: BODY_MEMORY,
            workers: WORKERS,
            seed: 0,
            round: ROUND,
        }
    }

    /// The same settings with the address of the log service.
    #[must_use]
    pub fn with_log(mut self, address: SocketAddr) -> Self {
        self.log = Some(address);
        self
    }

    /// The same settings with the address of the instance list.
    #[must_use]
    pub fn with_instances(mut self, address: SocketAddr) -> Self {
        self.instances = Some(address);
        self
    }

    /// The same settings with peers known without the instance list.
    #[must_use]
    pub fn with_peers(mut self, peers: Vec<Peer>) -> Self {
        self.peers = peers;
        self
    }

    /// The same settings with the address where other routers connect.
    #[must_use]
    pub fn with_link(mut self, address: SocketAddr) -> Self {
        self.link = address;
        self
    }

    /// The same settings with another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The same settings with other memory for all bodies together, in bytes.
    #[must_use]
    pub fn with_body_memory(mut self, bytes: usize) -> Self {
        self.body_memory = bytes;
        self
    }

    /// The same settings with another bound on callers' connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// The same settings with another time for a request's head and body.
    #[must_use]
    pub fn with_header_timeout(mut self, time: Duration) -> Self {
        self.header_timeout = time;
        self
    }

    /// The same settings with another bound on request bodies.
    #[must_use]
    pub fn with_body_limit(mut self, bytes: usize) -> Self {
        self.body_limit = bytes;
        self
    }
}
