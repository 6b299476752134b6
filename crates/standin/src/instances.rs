//! The list of live and leaving instances, which lags behind its changes.
//!
//! A change is queued with the time from which readers see it. Changes take
//! effect in the order in which they were made.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::Server;
use crate::http::{Answer, Handler, Request};

/// How the list behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Time between a change and its visibility.
    pub lag: Duration,
    /// Instances that are visible from the start.
    pub instances: Vec<Instance>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::from_millis(500),
            instances: Vec::new(),
        }
    }
}

/// What an instance does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It routes.
    Router,
    /// It serves requests.
    Target,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The instance's name.
    pub name: Arc<str>,
    /// What it does.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: Arc<str>,
    /// Whether it stays.
    pub state: State,
}

/// The answer of `GET /instances`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// Instances in the order of names.
    pub instances: Vec<Instance>,
}

/// Faults on demand; each post replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuse reads with 503.
    pub outage: bool,
}

enum Change {
    Put(Instance),
    Delete(String),
}

struct Pending {
    visible_at: Instant,
    change: Change,
}

#[derive(Default)]
struct Registry {
    visible: BTreeMap<Arc<str>, Instance>,
    pending: VecDeque<Pending>,
    fault: Fault,
}

impl Registry {
    /// Lets the changes through whose time has come.
    fn settle(&mut self, now: Instant) {
        while let Some(pending) = self.pending.pop_front_if(|p| p.visible_at <= now) {
            match pending.change {
                Change::Put(instance) => {
                    self.visible.insert(Arc::clone(&instance.name), instance);
                }
                Change::Delete(name) => {
                    self.visible.remove(name.as_str());
                }
            }
        }
    }
}

struct Service {
    lag: Duration,
    registry: Mutex<Registry>,
}

/// Starts an instance list.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Server> {
    let visible = settings
        .instances
        .into_iter()
        .map(|instance| (Arc::clone(&instance.name), instance))
        .collect();
    let registry = Registry {
        visible,
        ..Registry::default()
    };
    let service = Service {
        lag: settings.lag,
        registry: Mutex::new(registry),
    };
    Server::start(settings.listen, Arc::new(service))
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: Change) {
        let visible_at = Instant::now() + self.lag;
        let pending = Pending { visible_at, change };
        self.lock().pending.push_back(pending);
    }

    fn list(&self) -> Answer {
        let mut registry = self.lock();
        if registry.fault.outage {
            return Answer::reason(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        registry.settle(Instant::now());
        let instances = registry.visible.values().cloned().collect();
        Answer::ok(&List { instances })
    }

    fn put(&self, request: &Request) -> Answer {
        match request.json::<Instance>() {
            Ok(instance) => {
                self.change(Change::Put(instance.clone()));
                Answer::ok(&instance)
            }
            Err(answer) => answer,
        }
    }

    fn delete(&self, name: &str) -> Answer {
        self.change(Change::Delete(name.to_owned()));
        Answer::ok(&name)
    }

    fn set_faults(&self, request: &Request) -> Answer {
        match request.json::<Fault>() {
            Ok(fault) => {
                self.lock().fault = fault.clone();
                Answer::ok(&fault)
            }
            Err(answer) => answer,
        }
    }
}

impl Handler for Service {
    fn handle(&self, request: &Request) -> Answer {
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["instances"]) => self.list(),
            (&Method::PUT, ["admin", "instances"]) => self.put(request),
            (&Method::DELETE, ["admin", "instances", name]) => self.delete(name),
            (&Method::POST, ["admin", "faults"]) => self.set_faults(request),
            _ => Answer::not_found(),
        }
    }
}
