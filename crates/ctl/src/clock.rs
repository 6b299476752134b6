//! Time, which tests replace.

use std::thread;
use std::time::{Duration, Instant};

/// A clock to wait by.
pub trait Clock {
    /// Time since some fixed moment.
    fn now(&self) -> Duration;
    /// Waits.
    fn sleep(&self, time: Duration);
}

/// The clock of the system.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// The clock, starting now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn sleep(&self, time: Duration) {
        thread::sleep(time);
    }
}
