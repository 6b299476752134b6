//! A target with a number of slots and a fixed speed for each.
//!
//! Requests beyond the slots wait inside in order of arrival, as they do in an
//! engine that knows no priorities. A run takes its cost divided by the speed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dunlinward_kernel::time::Instant;

/// One run, numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run(pub u64);

/// A run that has started.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// When it started.
    pub since: Instant,
    /// Its cost in units.
    pub cost: u64,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Runs at once.
    pub slots: usize,
    /// Units a second of one run.
    pub speed: u64,
    running: BTreeMap<Run, Running>,
    waiting: VecDeque<(Run, u64)>,
}

impl Engine {
    /// An idle target.
    #[must_use]
    pub const fn new(slots: usize, speed: u64) -> Self {
        Self {
            slots,
            speed,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Takes a run; it starts now or waits inside.
    pub fn submit(&mut self, now: Instant, run: Run, cost: u64) -> Option<Instant> {
        if self.running.len() < self.slots {
            return Some(self.start(now, run, cost));
        }
        self.waiting.push_back((run, cost));
        None
    }

    /// Takes a run out, finished or not; gives the run that starts in its place.
    pub fn remove(&mut self, now: Instant, run: Run) -> Option<(Run, Instant)> {
        self.waiting.retain(|(other, _)| *other != run);
        self.running.remove(&run)?;
        let (next, cost) = self.waiting.pop_front()?;
        let end = self.start(now, next, cost);
        Some((next, end))
    }

    /// Runs that have started.
    pub fn running(&self) -> impl Iterator<Item = (Run, Running)> {
        self.running.iter().map(|(run, row)| (*run, *row))
    }

    /// Number of runs that have started.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Number of runs waiting inside.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Units a run has used.
    #[must_use]
    pub fn used(&self, now: Instant, run: Run) -> u64 {
        self.running.get(&run).map_or(0, |row| {
            let micros = u64::try_from(now.since(row.since).as_micros()).unwrap_or(u64::MAX);
            (micros.saturating_mul(self.speed) / 1_000_000).min(row.cost)
        })
    }

    fn start(&mut self, now: Instant, run: Run, cost: u64) -> Instant {
        self.running.insert(run, Running { since: now, cost });
        now + Duration::from_micros(cost * 1_000_000 / self.speed)
    }
}
