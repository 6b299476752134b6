//! The size and shape of a trial.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_kernel::event::Class;
use dunlinward_kernel::settings::Admission;
use dunlinward_kernel::table::{CustomerSpec, ServiceSpec, Spec, TargetSpec};

/// Everything that a run depends on.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Routers.
    pub routers: usize,
    /// Targets.
    pub targets: usize,
    /// Slots of a target.
    pub slots: usize,
    /// Customers.
    pub customers: usize,
    /// Customers that always have work waiting.
    pub backlogged: usize,
    /// Failure domains.
    pub domains: usize,
    /// Model services, each on its own targets.
    pub services: usize,
    /// Zipf exponent of a customer's requests over the routers; 0 is even.
    pub skew: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Whether the first backlogged customer sends a hundred times its share.
    pub flood: bool,
    /// How long the first failure domain is cut off.
    pub partition: Duration,
    /// Length of the run.
    pub length: Duration,
    /// How slots are given out.
    pub admission: Admission,
    /// Time between rounds.
    pub round: Duration,
    /// Between utilisation first (0) and the gap first (1000).
    pub gap_permille: u32,
    /// Units a second of one run.
    pub speed: u64,
    /// Load of the customers that are not backlogged, of all capacity, in thousandths.
    pub light_permille: u32,
}

impl Trial {
    /// Today's sizes.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            routers: 9,
            targets: 9,
            slots: 16,
            customers: 16,
            backlogged: 4,
            domains: 3,
            services: 1,
            skew: 1.2,
            seed: 1,
            flood: false,
            partition: Duration::ZERO,
            length: Duration::from_mins(1),
            admission: Admission::Owner,
            round: Duration::from_millis(500),
            gap_permille: 500,
            speed: 100,
            light_permille: 300,
        }
    }

    /// Name of a failure domain.
    #[must_use]
    pub fn domain(&self, at: usize) -> Arc<str> {
        Arc::from(format!("domain-{}", at % self.domains))
    }

    /// Name of a router.
    #[must_use]
    pub fn router(at: usize) -> Arc<str> {
        Arc::from(format!("router-{at}"))
    }

    /// The configuration of the trial.
    #[must_use]
    pub fn spec(&self) -> Spec {
        Spec {
            revision: 1,
            gap_permille: self.gap_permille,
            queue_limit: 100_000,
            queue_timeout: Duration::from_hours(1),
            domains: (0..self.domains).map(|at| self.domain(at)).collect(),
            customers: (0..self.customers).map(customer).collect(),
            services: (0..self.services).map(service).collect(),
            targets: (0..self.targets).map(|at| self.target(at)).collect(),
        }
    }

    fn target(&self, at: usize) -> TargetSpec {
        TargetSpec {
            name: Arc::from(format!("target-{at}")),
            services: vec![service(at / self.domains % self.services).name],
            models: Vec::new(),
            domain: self.domain(at),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: u32::try_from(self.slots).unwrap_or(u32::MAX),
            leaving: false,
        }
    }
}

impl Default for Trial {
    fn default() -> Self {
        Self::new()
    }
}

fn customer(at: usize) -> CustomerSpec {
    CustomerSpec {
        name: Arc::from(format!("customer-{at}")),
        // Shares differ, as between a large member school and a small one.
        share: [1, 1, 2, 4][at % 4],
    }
}

fn service(at: usize) -> ServiceSpec {
    ServiceSpec {
        name: Arc::from(format!("service-{at}")),
        class: Class::Long,
        timeout: Duration::from_mins(5),
        prior: 150,
    }
}
