//! The types of a parsed configuration.
//!
//! A [`Config`] only exists when its text passed every check, so its readers need no checks of their own: names
//! are unique within their kind, every reference resolves and every number is in range. Items keep the order of
//! the file. [`wire_key`] gives the short key under which routers name an item to each other; the checks refuse
//! two names of one kind that share a key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use snafu::ResultExt;
use xxhash_rust::xxh64::xxh64;

use crate::check::{self, Report};
use crate::error::{Error, WriteSnafu};
use crate::key::{self, Digest};

/// Default weight of the fairness gap against utilisation.
pub const GAP_WEIGHT: f64 = 0.5;
/// Default largest request body, in bytes.
pub const BODY_BYTES: u64 = 1 << 20;
/// Default number of queued requests of one customer at one router.
pub const QUEUE_PER_CUSTOMER: u32 = 256;
/// Default longest wait in a queue, in milliseconds.
pub const QUEUE_TIMEOUT_MS: u64 = 30_000;
/// Default longest graceful shutdown, in milliseconds.
pub const DRAIN_MS: u64 = 30_000;
/// Default time for which an idempotency key is remembered, in seconds.
pub const IDEMPOTENCY_WINDOW_S: u64 = 600;
/// Default longest time for one attempt at a target, in milliseconds.
pub const TIMEOUT_MS: u64 = 120_000;

/// A whole configuration that passed every check.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Config {
    /// What holds for the whole fleet.
    pub fleet: Fleet,
    /// Bounds on sizes, queues and times.
    pub limits: Limits,
    /// Customers, in the order of the file.
    #[serde(rename = "customer")]
    pub customers: Vec<Customer>,
    /// Services, in the order of the file.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Targets, in the order of the file.
    #[serde(rename = "target")]
    pub targets: Vec<Target>,
}

/// What holds for the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fleet {
    /// Name of the fleet.
    pub name: Arc<str>,
    /// Region in which it runs.
    pub region: Arc<str>,
    /// Names of its failure domains.
    pub failure_domains: Vec<Arc<str>>,
    /// 0.0 puts utilisation first, 1.0 puts the fairness gap first.
    pub gap_weight: f64,
}

/// Bounds on sizes, queues and times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Most queued requests of one customer at one router.
    pub queue_per_customer: u32,
    /// Longest wait in a queue, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Time for which an idempotency key is remembered, in seconds.
    pub idempotency_window_s: u64,
}

/// A customer and its share of the capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Weight of the customer against the others.
    pub share: u32,
    /// Digests of the bearer keys of the customer.
    pub key_sha256: Vec<Digest>,
}

/// A service that customers call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// What stands behind it.
    pub kind: Kind,
    /// Latency class of a request that names none.
    pub class: Class,
    /// Models it accepts; empty for a plain service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Arc<str>>,
    /// Methods that may be repeated; always empty for a model service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<Vec<Method>>,
    /// Whether a completion may be repeated; always none for a plain service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable_completions: Option<bool>,
    /// Longest time for one attempt at a target, in milliseconds.
    pub timeout_ms: u64,
}

/// A target that serves one service or several.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Name of the target.
    pub name: Arc<str>,
    /// Names of the services it serves.
    pub services: Vec<Arc<str>>,
    /// Failure domain in which it runs.
    pub failure_domain: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Most requests that run on it at once.
    pub slots: u32,
    /// Models it holds; empty for a plain service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Arc<str>>,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fence: bool,
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// Latency class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// The caller waits at the screen.
    Quick,
    /// The caller comes back later.
    Long,
}

/// HTTP method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// GET
    Get,
    /// HEAD
    Head,
    /// OPTIONS
    Options,
    /// PUT
    Put,
    /// DELETE
    Delete,
    /// POST
    Post,
    /// PATCH
    Patch,
}

/// An item that has a name.
pub(crate) trait Named {
    /// Its name.
    fn name(&self) -> &Arc<str>;
}

impl Named for Customer {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for Target {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Method {
    /// Every method, in the order of the messages.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::Head,
        Self::Options,
        Self::Put,
        Self::Delete,
        Self::Post,
        Self::Patch,
    ];

    /// Methods that may be repeated when a plain service names none.
    pub const REPEATABLE: [Self; 2] = [Self::Get, Self::Head];

    /// The method as HTTP writes it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Options => "OPTIONS",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Post => "POST",
            Self::Patch => "PATCH",
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: BODY_BYTES,
            queue_per_customer: QUEUE_PER_CUSTOMER,
            queue_timeout_ms: QUEUE_TIMEOUT_MS,
            drain_ms: DRAIN_MS,
            idempotency_window_s: IDEMPOTENCY_WINDOW_S,
        }
    }
}

impl Limits {
    /// Longest wait in a queue.
    #[must_use]
    pub fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_timeout_ms)
    }

    /// Longest graceful shutdown.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Time for which an idempotency key is remembered.
    #[must_use]
    pub fn idempotency_window(&self) -> Duration {
        Duration::from_secs(self.idempotency_window_s)
    }
}

impl Service {
    /// Longest time for one attempt at a target.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Whether a request with `method` may run more than once.
    ///
    /// Completions come by POST, so a model service answers for POST by its own flag and GET is always repeatable.
    #[must_use]
    pub fn is_repeatable(&self, method: &str) -> bool {
        match &self.repeatable {
            Some(methods) => methods.iter().any(|known| known.as_str() == method),
            None if method == Method::Post.as_str() => self.repeatable_completions.unwrap_or(false),
            None => Method::REPEATABLE
                .iter()
                .any(|known| known.as_str() == method),
        }
    }
}

impl Target {
    /// Whether the target serves the service `name`.
    #[must_use]
    pub fn serves(&self, name: &str) -> bool {
        self.services.iter().any(|service| &**service == name)
    }
}

impl Config {
    /// Parses and checks a whole file; warnings don't fail it.
    ///
    /// # Errors
    /// The report of every problem.
    pub fn parse(text: &str) -> Result<Self, Report> {
        let checked = check::run(text);
        checked.config.ok_or(checked.report)
    }

    /// The same configuration with every target at the address that `place` gives it.
    #[must_use]
    pub fn with_addresses(mut self, mut place: impl FnMut(&Target) -> SocketAddr) -> Self {
        for target in &mut self.targets {
            target.address = place(target);
        }
        self
    }

    /// The configuration as a file, without the comments of the text it came from.
    ///
    /// # Errors
    /// The TOML library refused it.
    pub fn to_text(&self) -> Result<String, Error> {
        toml::to_string(self).context(WriteSnafu)
    }

    /// The customer whose bearer key is `key`.
    #[must_use]
    pub fn customer_of(&self, key: &str) -> Option<&Customer> {
        key::find(&self.customers, key).map(|position| &self.customers[position])
    }

    /// The customer `name`.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| &*customer.name == name)
    }

    /// The service `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The target `name`.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.targets.iter().find(|target| &*target.name == name)
    }

    /// Targets that serve the service `name`.
    pub fn targets_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .iter()
            .filter(move |target| target.serves(name))
    }
}

/// Short key of a name between routers: the low 32 bits of its XXH64 with seed 0.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the key is the low half of the hash"
)]
pub fn wire_key(name: &str) -> u32 {
    xxh64(name.as_bytes(), 0) as u32
}
