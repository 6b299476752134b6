//! Bodies of requests, charged to one account.
//!
//! Each body has a limit, and the account ([`dunlinward_dispatch::memory`]) bounds the sum, so that
//! many callers together do not use up the memory of the process. A body is copied into one buffer,
//! whatever the sizes of its chunks, and is charged with what is allocated for that. While it is
//! being read it may give way; once its request was given to the driver it may run, and does not.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use dunlinward_dispatch::memory::{Account, Entry, Kind};
use dunlinward_dispatch::share;
use tokio::sync::Notify;

/// Smallest allocation for a body.
const MIN_BYTES: usize = 1024;

/// A body was given up for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GivenUp;

/// All bodies that a router holds.
#[derive(Debug)]
pub(crate) struct Bodies {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    account: Account,
    /// Wakes the readers of bodies.
    readers: HashMap<Entry, Arc<Notify>>,
}

impl Bodies {
    /// Bodies which together may have `limit` bytes.
    pub fn new(limit: u64) -> Arc<Self> {
        let state = Mutex::new(State {
            account: Account::new(limit),
            readers: HashMap::new(),
        });
        Arc::new(Self {
            start: Instant::now(),
            state,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A charge, until it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    bodies: Arc<Bodies>,
    entry: Entry,
    given_up: Arc<Notify>,
}

impl Charge {
    /// A charge of nothing to a customer.
    pub fn new(bodies: &Arc<Bodies>, customer: &Arc<str>) -> Self {
        let mut state = bodies.state();
        let holder = Some(share::tag(customer));
        let entry = state
            .account
            .begin(holder, Kind::Request, bodies.start.elapsed());
        let given_up = Arc::new(Notify::new());
        state.readers.insert(entry, Arc::clone(&given_up));
        Self {
            bodies: Arc::clone(bodies),
            entry,
            given_up,
        }
    }

    /// Charges more bytes; others may give way, or this one.
    fn grow(&self, bytes: usize) -> Result<(), GivenUp> {
        let mut state = self.bodies.state();
        let now = self.bodies.start.elapsed();
        let victims = state.account.grow(self.entry, bytes as u64, now);
        for victim in victims {
            if let Some(reader) = state.readers.remove(&victim) {
                reader.notify_one();
            }
        }
        if state.account.holds(self.entry) {
            Ok(())
        } else {
            Err(GivenUp)
        }
    }

    /// Returns once it has given way.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// Keeps it from giving way, unless it has.
    pub fn pin(&self) -> Result<(), GivenUp> {
        let mut state = self.bodies.state();
        state.readers.remove(&self.entry);
        state.account.pin(self.entry);
        if state.account.holds(self.entry) {
            Ok(())
        } else {
            Err(GivenUp)
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.bodies.state();
        state.readers.remove(&self.entry);
        state.account.end(self.entry);
    }
}

/// A body that is being read.
#[derive(Debug, Default)]
pub(crate) struct Buffer(BytesMut);

impl Buffer {
    /// Appends bytes, which are charged first.
    pub fn push(&mut self, data: &[u8], charge: &Charge) -> Result<(), GivenUp> {
        let needed = self.0.len() + data.len();
        let capacity = self.0.capacity();
        if needed > capacity {
            let target = needed.next_power_of_two().max(MIN_BYTES);
            charge.grow(target - capacity)?;
            self.0.reserve(target - self.0.len());
        }
        self.0.extend_from_slice(data);
        Ok(())
    }

    /// All of it.
    pub fn complete(self) -> Bytes {
        self.0.freeze()
    }
}
