//! When a router calls the store for a view that others call for as well.
//!
//! Routers call in the order of their ranks: the first when the view has reached some age, each further
//! one a step later, in which what the one before has read would have come to it. So the callers are
//! few while all is well; while the store answers nobody they grow with the time that this lasts and not
//! with the fleet, as each that has failed pauses longer each time. A fleet that calls all at once when
//! a view is lost overruns the store, and so keeps the view lost.
//!
//! A router that hears nobody is first in rank, whoever it knew before.

use std::time::Duration;

/// Pauses after calls that failed, from the first to the longest.
type Pauses = (Duration, Duration);

/// Those of the routers that call for all: a store that is back is read within the longest.
const PAUSES: Pauses = (Duration::from_millis(250), Duration::from_millis(500));

/// Those of routers that only stand in for them.
const PAUSES_RESERVE: Pauses = (Duration::from_secs(1), Duration::from_secs(4));

/// Part of a step by which routers differ that take themselves to have the same rank.
const SPREAD: f64 = 0.35;

/// When a router of a rank calls.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Age of the view at which the first one does.
    pub first: Duration,
    /// How much later each further one does.
    pub step: Duration,
    /// Routers that call as long as all is well.
    pub callers: usize,
}

impl Turn {
    /// Age of the view at which a router calls; `chance` is from 0 to 1.
    #[must_use]
    pub fn age(&self, rank: usize, chance: f64) -> Duration {
        self.first + self.wait(rank, chance)
    }

    /// How long a router waits for those before it in rank.
    fn wait(&self, rank: usize, chance: f64) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let spread = if rank == 0 { 0.0 } else { SPREAD * chance };
        self.step.mul_f64(f64::from(rank) + spread)
    }
}

/// A router's calls for one view.
#[derive(Clone, Debug)]
pub struct Caller {
    turn: Turn,
    /// Drawn once.
    chance: f64,
    failures: u32,
    paused_until: Duration,
}

impl Caller {
    /// A router that has not called yet; `chance` is drawn from 0 to 1.
    #[must_use]
    pub fn new(turn: Turn, chance: f64) -> Self {
        Self {
            turn,
            chance,
            failures: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Whether a router of this rank calls as long as all is well.
    #[must_use]
    pub fn called_upon(&self, rank: usize) -> bool {
        rank < self.turn.callers
    }

    /// When it calls next, if nobody else confirms the view before; `known_at` is when the view was
    /// confirmed last. A view that was never known is called for at once, in the order of ranks.
    #[must_use]
    pub fn due(&self, known_at: Option<Duration>, rank: usize) -> Duration {
        let due = match known_at {
            Some(at) => at + self.turn.age(rank, self.chance),
            None => self.turn.wait(rank, self.chance),
        };
        due.max(self.paused_until)
    }

    /// When it calls again after a call that failed; at once if none did.
    #[must_use]
    pub fn resumes(&self) -> Duration {
        self.paused_until
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.paused_until = Duration::ZERO;
    }

    /// A call was not answered, or turned away.
    pub fn failed(&mut self, rank: usize, now: Duration) {
        let (first, most) = if self.called_upon(rank) {
            PAUSES
        } else {
            PAUSES_RESERVE
        };
        let pause = first.saturating_mul(1 << self.failures.min(8)).min(most);
        self.failures += 1;
        // Those that failed at the same moment don't try again at the same moment.
        self.paused_until = now + pause.mul_f64(0.5 + 0.5 * self.chance);
    }
}
