//! The monotone clock of one router.
//!
//! The kernel has no clock of its own; every event is stamped here. The clock
//! counts from the start of the router and is never compared across routers.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dunlinward_kernel::time;

/// A clock that counts from its making.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The moment now.
    #[must_use]
    pub fn now(&self) -> time::Instant {
        time::Instant::ZERO + self.start.elapsed()
    }

    /// Time from now until `moment`, zero when it has passed.
    #[must_use]
    pub fn until(&self, moment: time::Instant) -> Duration {
        moment.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// A number that rises with every start of an instance: microseconds of the
/// wall clock. It is the only use of the wall clock besides log lines; an
/// instance whose clock was set back is taken for an old run until it catches up.
#[must_use]
pub fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
