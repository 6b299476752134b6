//! Schedule by which routers poll the store for a view that they share.
//!
//! Routers poll in the order of their ranks: the first once the view has reached some age, each
//! further one a step later, in which the result of the one before would have reached it. So few
//! routers poll as long as the store answers. While it answers nobody, the number of polling
//! routers grows with the length of the outage and not with the size of the fleet, as each failed
//! router backs off exponentially. A fleet whose routers all poll at once when a view is lost
//! overloads the store, and so never regains the view.
//!
//! An isolated router ranks first, regardless of the routers that it knew before.

use std::time::Duration;

/// Delays after failed polls: the first and the longest.
type Backoff = (Duration, Duration);

/// Delays of the designated pollers: a store that is back is read within the longest.
const POLLER_BACKOFF: Backoff = (Duration::from_millis(250), Duration::from_millis(500));

/// Delays of routers that only stand in for them.
const STANDBY_BACKOFF: Backoff = (Duration::from_secs(1), Duration::from_secs(4));

/// Range of the random delay of routers that assume the same rank, as a fraction of a step.
const JITTER: f64 = 0.35;

/// Poll times by rank.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Age of the view at which the first router polls.
    pub first_age: Duration,
    /// Delay between consecutive ranks.
    pub step: Duration,
    /// Number of routers that poll in normal operation.
    pub pollers: usize,
}

impl Schedule {
    /// Age of the view at which a router polls; `random` is from 0 to 1.
    #[must_use]
    pub fn poll_age(&self, rank: usize, random: f64) -> Duration {
        self.first_age + self.rank_delay(rank, random)
    }

    /// Time for which a router waits for those before it in rank.
    fn rank_delay(&self, rank: usize, random: f64) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let jitter = if rank == 0 { 0.0 } else { JITTER * random };
        self.step.mul_f64(f64::from(rank) + jitter)
    }
}

/// State of a router's polls for one view.
#[derive(Clone, Debug)]
pub struct Poller {
    schedule: Schedule,
    /// Drawn once, from 0 to 1.
    random: f64,
    failures: u32,
    retry_at: Duration,
}

impl Poller {
    /// A router that has not polled yet; `random` is from 0 to 1.
    #[must_use]
    pub fn new(schedule: Schedule, random: f64) -> Self {
        Self {
            schedule,
            random,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Whether a router of this rank polls in normal operation.
    #[must_use]
    pub fn is_designated(&self, rank: usize) -> bool {
        rank < self.schedule.pollers
    }

    /// Time of the next poll, unless another router confirms the view before; `known_at` is when
    /// the view was last confirmed. A view that was never known is polled for at once, in the order
    /// of ranks.
    #[must_use]
    pub fn next_poll(&self, known_at: Option<Duration>, rank: usize) -> Duration {
        let due = match known_at {
            Some(at) => at + self.schedule.poll_age(rank, self.random),
            None => self.schedule.rank_delay(rank, self.random),
        };
        due.max(self.retry_at)
    }

    /// Earliest time of the next poll after a failed one; zero if none failed.
    #[must_use]
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Records an answered poll.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = Duration::ZERO;
    }

    /// Records a poll that was not answered or was rejected.
    pub fn record_failure(&mut self, rank: usize, now: Duration) {
        let (first, longest) = if self.is_designated(rank) {
            POLLER_BACKOFF
        } else {
            STANDBY_BACKOFF
        };
        let pause = first.saturating_mul(1 << self.failures.min(8)).min(longest);
        self.failures += 1;
        // Jitter, so that routers that failed at the same moment don't retry at the same moment.
        self.retry_at = now + pause.mul_f64(0.5 + 0.5 * self.random);
    }
}
