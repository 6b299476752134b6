//! Totals by run, and their sum.
//!
//! Every root counts the charges of its own domain in a [`Run`] of its own, starting
//! from zero, and is the only writer of that run. Merging two states therefore takes
//! the later round of each run, which is commutative and idempotent and works after a
//! partition of any length. The fleet's total is the sum over all runs, including
//! those of failed roots.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{Customer, Pool};
use crate::key::Key;
use crate::message::Run;
use crate::time::Instant;

/// A customer in a pool.
pub type Slot = (Pool, Customer);

/// State of one run as last received.
#[derive(Clone, Debug)]
pub struct State {
    /// The failure domain of the run.
    pub domain: Key,
    /// Number of the latest round known.
    pub number: u64,
    /// When the run was last heard of.
    pub heard: Instant,
    /// Totals, in units.
    pub totals: BTreeMap<Slot, i64>,
    /// Accounts with requests waiting in the domain, with the number of routers.
    pub waiting: BTreeMap<Slot, u32>,
    /// Instances that the root suspects.
    pub suspects: Vec<Key>,
    /// Targets of the domain with free slots.
    pub spare: Vec<Key>,
}

impl State {
    /// State of a run that has counted nothing.
    #[must_use]
    pub const fn new(domain: Key, heard: Instant) -> Self {
        Self {
            domain,
            number: 0,
            heard,
            totals: BTreeMap::new(),
            waiting: BTreeMap::new(),
            suspects: Vec::new(),
            spare: Vec::new(),
        }
    }
}

/// All known runs.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// State by run.
    pub runs: BTreeMap<Run, State>,
}

impl Tally {
    /// A tally without runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The fleet's total of an account, in units.
    #[must_use]
    pub fn sum(&self, slot: Slot) -> i64 {
        self.runs
            .values()
            .filter_map(|state| state.totals.get(&slot))
            .sum()
    }

    /// Accounts that appear in the totals of any run.
    #[must_use]
    pub fn slots(&self) -> BTreeSet<Slot> {
        self.runs
            .values()
            .flat_map(|state| state.totals.keys().copied())
            .collect()
    }

    /// Accounts waiting in any domain whose root was heard since `fresh`, with the number
    /// of routers.
    #[must_use]
    pub fn waiting(&self, fresh: Instant) -> BTreeMap<Slot, u32> {
        let mut waiting = BTreeMap::new();
        for state in self.runs.values().filter(|state| state.heard >= fresh) {
            for (slot, routers) in &state.waiting {
                *waiting.entry(*slot).or_default() += routers;
            }
        }
        waiting
    }

    /// Targets with free slots in any domain whose root was heard since `fresh`.
    #[must_use]
    pub fn spare(&self, fresh: Instant) -> Vec<Key> {
        self.runs
            .values()
            .filter(|state| state.heard >= fresh)
            .flat_map(|state| state.spare.iter().copied())
            .collect()
    }
}
