//! The configuration in force.
//!
//! A configuration is immutable and replaced as a whole by a newer version. A request keeps the
//! version under which it arrived. Routes are looked up by host and longest path prefix, customers
//! by key.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the requests of a route may be repeated, and the form of their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may be resumed at another target.
    Resumable,
}

impl Kind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that receives a part of the requests of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that it serves.
    pub host: Arc<str>,
    /// Prefix of the paths that it serves.
    pub prefix: Arc<str>,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Longest time until a request is given up.
    pub timeout: Duration,
    /// Expected time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Maximum number of targets that a request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest. Currently unused: all known routes of a service have the same.
    pub priority: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Services that receive its requests, with their weights.
    pub shares: Vec<Share>,
    /// Names of the regions in which its requests may run; any region if empty.
    pub regions: Vec<Arc<str>>,
    /// Longest pause between two events of a stream that clients expect, if it is configured.
    pub pause_objective: Option<Duration>,
}

/// A service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one target accepts from all clients. Currently unused: the limit on slots
    /// is reached first.
    pub connections: u32,
    /// Requests per second that one cold target can take; `None` if cold targets need no limit.
    pub cold_rate: Option<f64>,
    /// Properties of its targets if they are model engines.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Engine {
    /// Capacity of the cache of one engine, in tokens.
    pub memory_tokens: u64,
    /// Seconds per token to fetch cached state from another engine; `None` if engines can't.
    pub fetch_seconds: Option<f64>,
}

/// A customer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Keys that identify its requests.
    pub keys: Vec<Arc<str>>,
    /// Names of the regions in which its requests may run; any region if empty.
    pub regions: Vec<Arc<str>>,
}

/// Limits on clients, and the total rate of the model engines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request head, from its first byte.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens per second of all model engines; a prompt token counts once, a generated one twice.
    pub tokens_per_second: f64,
}

/// A complete configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a larger one is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services.
    pub services: Vec<Service>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Limits on clients.
    pub limits: Limits,
}

/// A configuration with its lookup tables.
#[derive(Clone, Debug)]
pub struct Table {
    configuration: Configuration,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    by_key: HashMap<Arc<str>, Arc<str>>,
    services: HashMap<Arc<str>, Service>,
    /// Regions of customers that are restricted to some.
    customer_regions: HashMap<Arc<str>, Vec<Arc<str>>>,
}

impl Table {
    /// Builds the lookup tables of a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_key = HashMap::new();
        for customer in &configuration.customers {
            for key in &customer.keys {
                by_key.insert(key.clone(), customer.name.clone());
            }
        }
        let restricted = configuration.customers.iter();
        let restricted = restricted.filter(|it| !it.regions.is_empty());
        let restricted = restricted.map(|it| (it.name.clone(), it.regions.clone()));
        let customer_regions = restricted.collect();
        let services = configuration.services.iter();
        let services = services.map(|it| (it.name.clone(), it.clone())).collect();
        Self {
            configuration,
            by_host,
            by_key,
            services,
            customer_regions,
        }
    }

    /// The underlying configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Limits of the configuration.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// Route of a host and path: the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Whether there is a route with this name.
    #[must_use]
    pub fn serves(&self, route: &str) -> bool {
        let mut routes = self.configuration.routes.iter();
        routes.any(|it| it.name.as_ref() == route)
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<str>> {
        self.by_key.get(key)
    }

    /// Names of the regions that a customer is restricted to, if any.
    #[must_use]
    pub fn regions_of(&self, customer: &str) -> Option<&[Arc<str>]> {
        self.customer_regions.get(customer).map(Vec::as_slice)
    }

    /// Names of all regions that routes and customers are restricted to.
    pub fn named_regions(&self) -> impl Iterator<Item = &Arc<str>> {
        let routes = self.configuration.routes.iter().flat_map(|it| &it.regions);
        let customers = self.configuration.customers.iter();
        routes.chain(customers.flat_map(|it| &it.regions))
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether any customer is configured.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        !self.configuration.customers.is_empty()
    }
}

impl Route {
    /// Service for a request; `draw` is a uniformly distributed random number.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|it| &it.service);
        }
        let mut remaining = draw % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }
}
