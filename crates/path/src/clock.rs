//! Time since the router's start, including the time that its instance was suspended.
//!
//! The runtime's clock stops while an instance is suspended, whereas clients, targets and other
//! routers go on. All ages, leases, deadlines and windows are measured by this clock; a moment is
//! converted to the runtime's clock only here, for timers. Wall-clock times are only written to
//! logs and records; no decision depends on them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Source of the suspended time.
#[derive(Clone, Debug)]
enum Source {
    /// The system's clock that includes suspended time, compared to the one that doesn't.
    System {
        /// Difference of the two clocks at the start.
        initial_difference: Duration,
    },
    /// Set by a test.
    Virtual(Suspension),
}

/// Total time for which a test has suspended its router.
#[derive(Clone, Debug, Default)]
pub struct Suspension(Rc<Cell<Duration>>);

impl Suspension {
    /// Suspends the router for `time`, which its runtime doesn't notice.
    pub fn add(&self, time: Duration) {
        self.0.set(self.0.get() + time);
    }
}

/// A router's clock.
#[derive(Debug)]
pub struct Clock {
    started_at: Instant,
    source: Source,
    suspended: Cell<Duration>,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        let monotonic = read(ClockId::Monotonic);
        // In this order of reads the difference is at most too large, so that no time is later
        // counted as suspended that wasn't.
        let initial_difference = read(ClockId::Boottime).saturating_sub(monotonic);
        Self::with_source(Source::System { initial_difference })
    }

    /// Creates a clock for tests, which set the suspended time.
    #[must_use]
    pub fn with_suspension(suspension: Suspension) -> Self {
        Self::with_source(Source::Virtual(suspension))
    }

    fn with_source(source: Source) -> Self {
        Self {
            started_at: Instant::now(),
            source,
            suspended: Cell::new(Duration::ZERO),
        }
    }

    /// Time since the start, including all suspensions found by
    /// [`measure_suspended`](Self::measure_suspended).
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed() + self.suspended.get()
    }

    /// Converts a moment to the runtime's clock, provided that the instance is not suspended until
    /// then.
    #[must_use]
    pub fn instant(&self, at: Duration) -> Instant {
        self.started_at + at.saturating_sub(self.suspended.get())
    }

    /// Measures the total time for which the instance was suspended since the start.
    /// [`now`](Self::now) does not measure it, because a request reads the clock some dozens of
    /// times.
    #[must_use]
    pub fn measure_suspended(&self) -> Duration {
        let suspended = match &self.source {
            Source::System { initial_difference } => {
                let boot_time = read(ClockId::Boottime);
                // In this order of reads the difference is at most too small.
                let difference = boot_time.saturating_sub(read(ClockId::Monotonic));
                difference.saturating_sub(*initial_difference)
            }
            Source::Virtual(suspension) => suspension.0.get(),
        };
        let total = self.suspended.get().max(suspended);
        self.suspended.set(total);
        total
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

fn read(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let seconds = Duration::from_secs(u64::try_from(tv_sec).unwrap_or_default());
    seconds + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or_default())
}
