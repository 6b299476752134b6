//! A list in memory, for tests.

use std::sync::{Mutex, MutexGuard};

use super::{Instance, List};
use crate::error::Error;

/// Status of a list in an outage.
const OUTAGE: u16 = 503;

/// The list.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    instances: Vec<Instance>,
    outage: bool,
}

impl Memory {
    /// An empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces every instance.
    pub fn set(&self, instances: Vec<Instance>) {
        self.lock().instances = instances;
    }

    /// Refuses every call from now on, or no longer.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl List for Memory {
    fn list(&self) -> Result<Vec<Instance>, Error> {
        let state = self.lock();
        if state.outage {
            return Err(Error::Unavailable { status: OUTAGE });
        }
        Ok(state.instances.clone())
    }
}
