//! Settings of a kernel.
//!
//! They are fixed for the life of the process. Configuration that operators change
//! at run time is in [`crate::table::Table`].

use std::sync::Arc;
use std::time::Duration;

/// How slots are allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The owner of a target grants its slots, in fair order.
    Owner,
    /// Baseline: each router uses a fixed part of each target's slots.
    Static,
    /// Baseline: each router dispatches at once, first come first served, without limit.
    Naive,
}

/// Settings of one kernel.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub name: Arc<str>,
    /// Number of this run of the instance, greater than that of every earlier run.
    pub incarnation: u64,
    /// Name of this instance's failure domain.
    pub domain: Arc<str>,
    /// How slots are allocated.
    pub admission: Admission,
    /// Name of the placement plug-in.
    pub placement: Arc<str>,
    /// Seed for tie-breaking and jitter.
    pub seed: u64,
    /// Interval between account rounds.
    pub round_interval: Duration,
    /// Time for which messages to one router are batched before they are sent.
    pub batch_delay: Duration,
    /// Time for which an unused slot is held while no other customer waits for it.
    pub idle_timeout: Duration,
    /// Interval after which waiting demand is reported to twice as many owners.
    pub widen_interval: Duration,
    /// Minimum interval between two demand reports to one owner.
    pub demand_interval: Duration,
    /// Interval at which a holder repeats its report of held slots, in case one was lost.
    pub report_interval: Duration,
    /// Time for which a new owner collects reports before it grants.
    pub takeover_delay: Duration,
    /// Consecutive missed rounds after which an instance is suspected.
    pub missed_rounds: u32,
    /// Lead over the pool's frontier up to which a customer keeps its slots at this
    /// router, when utilisation has priority over fairness: the advance of the frontier
    /// in this time.
    pub window: Duration,
    /// Units reserved for a running request, in thousandths of its estimated cost.
    pub reserve_permille: u64,
    /// Maximum lag of a customer behind the customer that is furthest ahead, in units
    /// per share.
    pub max_lag_units: u64,
    /// Whether quick requests precede long ones of the same customer.
    pub quick_first: bool,
}

impl Settings {
    /// Default settings of an instance.
    #[must_use]
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: Arc::from(name),
            incarnation: 1,
            domain: Arc::from(domain),
            admission: Admission::Owner,
            placement: Arc::from("affinity"),
            seed: 0,
            round_interval: Duration::from_millis(500),
            batch_delay: Duration::from_millis(2),
            idle_timeout: Duration::from_secs(2),
            widen_interval: Duration::from_millis(100),
            demand_interval: Duration::from_secs(1),
            report_interval: Duration::from_secs(10),
            takeover_delay: Duration::from_secs(1),
            missed_rounds: 3,
            window: Duration::from_secs(9),
            reserve_permille: 1_000,
            max_lag_units: 262_144,
            quick_first: true,
        }
    }

    /// The same settings with another incarnation.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// The same settings with another slot allocation.
    #[must_use]
    pub fn with_admission(mut self, admission: Admission) -> Self {
        self.admission = admission;
        self
    }

    /// The same settings with another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The same settings with another round interval.
    #[must_use]
    pub fn with_round_interval(mut self, interval: Duration) -> Self {
        self.round_interval = interval;
        self
    }
}
