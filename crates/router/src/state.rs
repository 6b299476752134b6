//! What other threads may see of the driver.
//!
//! The driver owns the kernel alone. Others see a few facts that it publishes
//! (`State`) or ask for a copy of the rest ([`Snapshot`]).

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dunlinward_kernel::key::Key;
use serde::Serialize;

/// Facts that the driver publishes.
#[derive(Debug, Default)]
pub(crate) struct State {
    draining: AtomicBool,
    drained: Mutex<bool>,
    changed: Condvar,
    live: Mutex<Arc<[Key]>>,
}

impl State {
    /// The state of a router that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a drain began; true for the first.
    pub fn begin_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    /// Whether the router drains.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Notes that nothing runs or waits any more.
    pub fn set_drained(&self) {
        *self.lock() = true;
        self.changed.notify_all();
    }

    /// Waits until nothing runs or waits; false when the time is over before.
    pub fn wait_drained(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut drained = self.lock();
        while !*drained {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(drained, left);
            drained = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Live instances of this router's failure domain.
    pub fn live(&self) -> Arc<[Key]> {
        Arc::clone(&self.live.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Publishes the live instances of this router's failure domain.
    pub fn set_live(&self, live: &[Key]) {
        *self.live.lock().unwrap_or_else(PoisonError::into_inner) = Arc::from(live);
    }

    fn lock(&self) -> MutexGuard<'_, bool> {
        self.drained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A router's state at one moment.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// The accepted revision.
    pub revision: Option<u64>,
    /// Whether it drains.
    pub draining: bool,
    /// Requests that run or wait here.
    pub requests: usize,
    /// Instances known here.
    pub instances: Vec<Instance>,
    /// Accounts, one for each customer and competition.
    pub customers: Vec<Customer>,
    /// Targets of the configuration.
    pub targets: Vec<Target>,
}

/// An instance as seen here.
#[derive(Clone, Debug, Serialize)]
pub struct Instance {
    /// Its name, or its key while no name is known.
    pub name: Arc<str>,
    /// Whether it may be given duties.
    pub live: bool,
    /// Whether it is suspected to be dead or cut off.
    pub suspected: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An account as seen here.
#[derive(Clone, Debug, Serialize)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// First service of the competition.
    pub pool: Arc<str>,
    /// Its weight.
    pub share: u32,
    /// Service received over the fleet, in units, as known here.
    pub service_units: i64,
    /// Requests waiting here.
    pub queued: u32,
}

/// A target as seen here.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Name of the instance that hands out its slots.
    pub owner: Option<Arc<str>>,
    /// Slots it has in all.
    pub slots: u32,
    /// Slots held here.
    pub held: u32,
    /// Of these, slots in use.
    pub busy: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}
