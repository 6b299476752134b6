//! Totals by run, and their sum.
//!
//! Every root counts what its own domain charged in a [`Run`] of its own, starting
//! from zero, and nobody else writes to that run. Merging two states is therefore
//! taking the later round of each run: order-free, safe against doubles, and the
//! same after a partition of any length. The fleet's total is the sum over runs,
//! those of dead roots included.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{Customer, Pool};
use crate::key::Key;
use crate::message::Run;
use crate::time::Instant;

/// A customer in a pool.
pub type Slot = (Pool, Customer);

/// What one run has counted.
#[derive(Clone, Debug)]
pub struct Sheet {
    /// The failure domain of the run.
    pub domain: Key,
    /// The latest round known.
    pub number: u64,
    /// When it was last heard.
    pub heard: Instant,
    /// Totals, in units.
    pub totals: BTreeMap<Slot, i64>,
    /// Accounts with requests waiting in the domain, and at how many routers.
    pub waiting: BTreeMap<Slot, u32>,
    /// Instances that the root suspects.
    pub suspects: Vec<Key>,
    /// Targets of the domain with free slots.
    pub spare: Vec<Key>,
}

impl Sheet {
    /// The sheet of a run that has counted nothing.
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

/// All runs known.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Sheets by run.
    pub sheets: BTreeMap<Run, Sheet>,
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
        self.sheets
            .values()
            .filter_map(|sheet| sheet.totals.get(&slot))
            .sum()
    }

    /// Every account that some run has counted.
    #[must_use]
    pub fn slots(&self) -> BTreeSet<Slot> {
        self.sheets
            .values()
            .flat_map(|sheet| sheet.totals.keys().copied())
            .collect()
    }

    /// Accounts waiting in any domain whose root was heard since `fresh`, and at how
    /// many routers.
    #[must_use]
    pub fn waiting(&self, fresh: Instant) -> BTreeMap<Slot, u32> {
        let mut waiting = BTreeMap::new();
        for sheet in self.sheets.values().filter(|sheet| sheet.heard >= fresh) {
            for (slot, routers) in &sheet.waiting {
                *waiting.entry(*slot).or_default() += routers;
            }
        }
        waiting
    }

    /// Targets with free slots in any domain whose root was heard since `fresh`.
    #[must_use]
    pub fn spare(&self, fresh: Instant) -> Vec<Key> {
        self.sheets
            .values()
            .filter(|sheet| sheet.heard >= fresh)
            .flat_map(|sheet| sheet.spare.iter().copied())
            .collect()
    }
}
