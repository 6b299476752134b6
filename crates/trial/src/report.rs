//! The figures of a run as one JSON object.

use std::collections::BTreeMap;
use std::time::Duration;

use dunlinward_kernel::settings::{Admission, Settings};
use serde::Serialize;

use crate::fleet::{Fleet, WARM_UP};
use crate::load::MOST_COST;
use crate::spec::Trial;

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// How slots were given out.
    pub policy: &'static str,
    /// Routers.
    pub routers: usize,
    /// Targets.
    pub targets: usize,
    /// Customers.
    pub customers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Zipf exponent of the spread.
    pub skew: f64,
    /// Seed.
    pub seed: u64,
    /// Largest gap between two customers while both were backlogged, per share.
    pub gap_units: f64,
    /// The gap that the design allows.
    pub gap_bound_units: f64,
    /// Slots used while work waited.
    pub utilisation: f64,
    /// Longest time a slot was free while reachable work waited.
    pub idle_waiting_ms: f64,
    /// Control traffic of a router, both ways, with framing: mean.
    pub control_bytes_per_node_s: f64,
    /// Control traffic of the busiest router.
    pub control_bytes_busiest_node_s: f64,
    /// Messages of a router a second, both ways.
    pub control_messages_per_node_s: f64,
    /// Messages sent by kind, of the whole fleet a second.
    pub messages_per_s: BTreeMap<&'static str, f64>,
    /// Slots granted a second, over the fleet.
    pub granted_per_s: f64,
    /// Part of the granted slots that was given back without being used.
    pub unused_ratio: f64,
    /// Processor time in kernels for a request.
    pub kernel_cpu_us_per_request: f64,
    /// Longest wait by customer.
    pub max_wait_ms: BTreeMap<String, f64>,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests without any answer.
    pub lost: u64,
    /// Requests that may not be repeated and ran twice.
    pub doubled: u64,
    /// Refusals that said not run although it ran.
    pub false_not_run: u64,
    /// Most runs that waited inside a target.
    pub over_admitted: usize,
}

impl Report {
    /// Runs a trial to its end.
    #[must_use]
    pub fn of(trial: &Trial) -> Self {
        let mut fleet = Fleet::new(trial.clone());
        let start = fleet.now + WARM_UP;
        if trial.partition > Duration::ZERO {
            let cut = start + trial.length / 4;
            fleet.run(cut);
            fleet.cut_domain(0, true);
            fleet.run(cut + trial.partition);
            fleet.cut_domain(0, false);
        }
        fleet.run(start + trial.length);
        Self::new(trial, &fleet)
    }

    /// The figures of a fleet that has run.
    #[must_use]
    pub fn new(trial: &Trial, fleet: &Fleet) -> Self {
        let meter = &fleet.meter;
        let seconds = (trial.length + WARM_UP).as_secs_f64();
        let nodes = trial.routers as f64;
        let bytes: u64 = meter.traffic.iter().map(|row| row.bytes).sum();
        let messages: u64 = meter.traffic.iter().map(|row| row.messages).sum();
        let most = meter.traffic.iter().map(|row| row.bytes).max().unwrap_or(0);
        let moved = (0..trial.routers).map(|at| fleet.node(at).holder().counts);
        let granted: u64 = moved.clone().map(|row| row.granted).sum();
        let unused: u64 = moved.map(|row| row.unused).sum();
        let max_wait_ms = meter
            .max_wait
            .iter()
            .map(|(customer, wait)| (format!("customer-{customer}"), millis(*wait)))
            .collect();
        Self {
            policy: policy(trial.admission),
            routers: trial.routers,
            targets: trial.targets,
            customers: trial.customers,
            domains: trial.domains,
            skew: trial.skew,
            seed: trial.seed,
            gap_units: meter.gap(),
            gap_bound_units: bound(trial),
            utilisation: meter.utilisation(),
            idle_waiting_ms: millis(meter.idle_waiting),
            control_bytes_per_node_s: bytes as f64 / nodes / seconds,
            control_bytes_busiest_node_s: most as f64 / seconds,
            control_messages_per_node_s: messages as f64 / nodes / seconds,
            messages_per_s: meter
                .kinds
                .iter()
                .map(|(kind, count)| (*kind, *count as f64 / seconds))
                .collect(),
            granted_per_s: granted as f64 / seconds,
            unused_ratio: unused as f64 / granted.max(1) as f64,
            kernel_cpu_us_per_request: meter.kernel.as_secs_f64() * 1e6
                / (meter.requests.max(1) as f64),
            max_wait_ms,
            requests: meter.requests,
            whole: meter.whole,
            refused: meter.refused,
            lost: meter.lost,
            doubled: meter.doubled,
            false_not_run: meter.false_not_run,
            over_admitted: meter.over_admitted,
        }
    }
}

/// The bound on the gap, in units per share; see docs/design/fairness.md.
#[must_use]
pub fn bound(trial: &Trial) -> f64 {
    let settings = Settings::new("bound", "bound");
    let slots = trial.targets * trial.slots / trial.services;
    let capacity = slots as f64 * trial.speed as f64;
    let age = trial.round.as_secs_f64();
    let lean = f64::from(1_000 - trial.gap_permille) / 1_000.0;
    let window = settings.window.as_secs_f64() * lean;
    2.0 * MOST_COST as f64 + capacity * age + capacity * window / shares(trial)
}

/// The least sum of shares of the backlogged customers of a service.
fn shares(trial: &Trial) -> f64 {
    let customers = trial.spec().customers;
    let sums = (0..trial.services).map(|service| {
        let rows = customers.iter().take(trial.backlogged).enumerate();
        let own = rows.filter(|(at, _)| at % trial.services == service);
        own.map(|(_, row)| f64::from(row.share)).sum::<f64>()
    });
    sums.fold(f64::INFINITY, f64::min).max(1.0)
}

const fn policy(admission: Admission) -> &'static str {
    match admission {
        Admission::Owner => "owner",
        Admission::Static => "static",
        Admission::Naive => "naive",
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
