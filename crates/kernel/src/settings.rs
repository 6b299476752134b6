//! What one kernel is told at its start.
//!
//! Everything here is fixed for the life of the process; what operators change
//! while the fleet runs is in [`crate::table::Table`].

use std::sync::Arc;
use std::time::Duration;

/// How slots are given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Each target's slots are granted by its owner, in fair order.
    Owner,
    /// Each router has a fixed part of each target's slots: a baseline.
    Static,
    /// Each router sends what it has at once, first come first served: a baseline.
    Naive,
}

/// Settings of one kernel.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub name: Arc<str>,
    /// A number greater than that of every earlier run of this instance.
    pub incarnation: u64,
    /// Name of this instance's failure domain.
    pub domain: Arc<str>,
    /// How slots are given out.
    pub admission: Admission,
    /// Name of the placement plug-in.
    pub placement: Arc<str>,
    /// Seed for ties and jitter.
    pub seed: u64,
    /// Time between two rounds of accounts.
    pub round: Duration,
    /// How long messages to one router are gathered before they are sent.
    pub linger: Duration,
    /// How long an unused slot is kept while nobody else asks for it.
    pub hold: Duration,
    /// Time after which a want goes to more owners.
    pub widen: Duration,
    /// Least time between two wants to one owner.
    pub retell: Duration,
    /// How often a holder repeats what it holds, against lost messages.
    pub restate: Duration,
    /// How long a new owner listens before it grants.
    pub takeover: Duration,
    /// Rounds missed after which an instance counts as dead.
    pub missed_rounds: u32,
    /// How far a customer may run ahead of the pool's frontier before this router
    /// gives its slot up, when utilisation comes first: as far as the frontier moves
    /// in this time.
    pub window: Duration,
    /// Reservation of a running request, in thousandths of its estimated cost.
    pub reserve: u64,
    /// The most that a customer may be owed against the furthest ahead, in units
    /// per share.
    pub owed: u64,
    /// Whether quick requests go before long ones of the same customer.
    pub quick_first: bool,
}

impl Settings {
    /// Settings for today's sizes.
    #[must_use]
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: Arc::from(name),
            incarnation: 1,
            domain: Arc::from(domain),
            admission: Admission::Owner,
            placement: Arc::from("affinity"),
            seed: 0,
            round: Duration::from_millis(500),
            linger: Duration::from_millis(2),
            hold: Duration::from_secs(2),
            widen: Duration::from_millis(100),
            retell: Duration::from_secs(1),
            restate: Duration::from_secs(10),
            takeover: Duration::from_secs(1),
            missed_rounds: 3,
            window: Duration::from_secs(9),
            reserve: 1_000,
            owed: 262_144,
            quick_first: true,
        }
    }

    /// The same settings with another incarnation.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// The same settings with another way of giving out slots.
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

    /// The same settings with another time between rounds.
    #[must_use]
    pub fn with_round(mut self, round: Duration) -> Self {
        self.round = round;
        self
    }
}
