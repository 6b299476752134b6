//! A sign for threads to end.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A sign that is given once.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    given: Mutex<bool>,
    changed: Condvar,
}

impl Stop {
    /// A sign that is not given yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the sign.
    pub fn give(&self) {
        *self.lock() = true;
        self.changed.notify_all();
    }

    /// Whether the sign was given.
    pub fn given(&self) -> bool {
        *self.lock()
    }

    /// Sleeps for `time` or until the sign; true when it was given.
    pub fn sleep(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        let mut given = self.lock();
        while !*given {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(given, left);
            given = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, bool> {
        self.given.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
