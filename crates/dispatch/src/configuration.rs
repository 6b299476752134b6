//! The configuration in force.
//!
//! A configuration is taken whole and never changed: a newer version replaces
//! it. Requests keep the one under which they arrived. Route lookup is by host
//! and longest prefix; customers are found by key.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another target.
    Resumable,
}

impl Kind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight against the other parts of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that it serves.
    pub host: Arc<str>,
    /// Beginning of the paths that it serves.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for which a request is kept.
    pub timeout: Duration,
    /// Time to the answer, for streams to the first event, that users expect.
    pub objective: Duration,
    /// How many targets a request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the highest. Not used yet: all routes of a service have had one rank so far.
    pub priority: u32,
    /// Whether no key is asked for.
    pub anonymous: bool,
    /// Services and their weights.
    pub shares: Vec<Share>,
    /// Names of the regions in which its requests may run; any if there are none.
    pub regions: Vec<Arc<str>>,
}

/// A service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one target accepts from all callers. Not used yet: slots bind first.
    pub connections: u32,
    /// Requests a second that one target is made for while it is cold; none if that makes no
    /// difference to it.
    pub cold_rate: Option<f64>,
    /// What its targets are like if they are model engines.
    pub engine: Option<Engine>,
}

/// A service's model engines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Engine {
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Seconds in which one engine gives another one token's memory; none if it can't.
    pub fetch_seconds: Option<f64>,
}

/// A customer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Keys that its requests carry.
    pub keys: Vec<Arc<str>>,
    /// Names of the regions in which its requests may run; any if there are none.
    pub regions: Vec<Arc<str>>,
}

/// Limits on callers, and what the model engines can do together.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to come in. Not used yet: the idle limit ends slow heads.
    pub head_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
    /// Tokens a second of all model engines: read once, generated twice.
    pub tokens_per_second: f64,
}

/// A whole configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; larger is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// Limits.
    pub limits: Limits,
}

/// A configuration with its lookup tables.
#[derive(Clone, Debug)]
pub struct Table {
    configuration: Configuration,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    by_key: HashMap<Arc<str>, Arc<str>>,
    services: HashMap<Arc<str>, Service>,
    /// Regions of customers that are bound to some.
    customer_regions: HashMap<Arc<str>, Vec<Arc<str>>>,
}

impl Table {
    /// Builds the lookup tables.
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
        let bound = configuration.customers.iter();
        let bound = bound.filter(|it| !it.regions.is_empty());
        let bound = bound.map(|it| (it.name.clone(), it.regions.clone()));
        let customer_regions = bound.collect();
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

    /// The configuration itself.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// The route of a host and path: the one with the longest prefix.
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

    /// Names of the regions that a customer is bound to.
    #[must_use]
    pub fn regions_of(&self, customer: &str) -> Option<&[Arc<str>]> {
        self.customer_regions.get(customer).map(Vec::as_slice)
    }

    /// Names of all regions that routes and customers are bound to.
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

    /// Whether keys are asked for at all.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        !self.configuration.customers.is_empty()
    }
}

impl Route {
    /// The service for a request; `draw` is spread evenly over all its values.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|it| &it.service);
        }
        let mut rest = draw % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}
