//! Settings of a router, and the parameters of its queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::Bound;
use dunlinward_dispatch::intake::HANDOVER_RESERVE;
use dunlinward_dispatch::placement::Policy;
use dunlinward_dispatch::region::Regions;

/// Settings of a router, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Regions of failure domains that are close to each other.
    pub regions: Arc<Regions>,
    /// Address on which clients connect.
    pub callers: SocketAddr,
    /// Address of the platform's readiness checks.
    pub ready: SocketAddr,
    /// Address on which peers send messages and fetch views; the port is the same at all routers.
    pub link: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Routers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Limit of requests that are sent again.
    pub repeats: Bound,
    /// Window over which customers' shares are measured.
    pub share_window: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Parameters of the choice of targets.
    pub policy: Policy,
    /// Parameters of the queue.
    pub queue_policy: QueuePolicy,
    /// Parameters of the decisions under heavy load.
    pub load_policy: LoadPolicy,
    /// Limit of requests to cold targets.
    pub cold: ColdBound,
    /// Interval between heartbeats to peers.
    pub heartbeat_interval: Duration,
    /// This router's processor, in thousandths of a core.
    pub millicores: u32,
    /// Memory of the process in bytes, if it is bounded.
    pub memory: Option<u64>,
    /// Sockets that the process may have open, if that is bounded.
    pub descriptors: Option<usize>,
    /// Approximate number of targets per cell.
    pub cell_targets: usize,
    /// Interval between two queries to an engine's cache; zero disables them.
    pub cache_poll_interval: Duration,
}

/// Limit of the requests that a cold target receives in one second, relative to its rated
/// throughput.
#[derive(Clone, Copy, Debug)]
pub struct ColdBound {
    /// Factor of that rate.
    pub excess: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

/// How long requests wait for a target, and when refused clients may retry.
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicy {
    /// Wait of a first attempt, as a fraction of its objective.
    pub first_wait: f64,
    /// Wait of a retry, as a fraction of its objective.
    pub retry_wait: f64,
    /// Wait before a request may be placed where its prefix is not cached, as a fraction of its
    /// objective.
    pub miss_delay: f64,
    /// Delay after which a refused client may retry, as a fraction of its objective.
    pub retry_delay: f64,
    /// Fraction of the capacity that is available to a request beyond its customer's share.
    pub over_share_capacity: f64,
    /// Fraction of that capacity that is available to a retry, which is late.
    pub retry_capacity: f64,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            // Time spent in this queue is lost at the engine, where a prompt is queued again. With
            // 0.06 instead of 0.2, clients got 0.853 of the worth that they asked for instead of
            // 0.838 (mean of five days of high load and faults).
            first_wait: 0.06,
            miss_delay: 0.04,
            retry_wait: 0.06,
            retry_delay: 1.0,
            over_share_capacity: 0.8,
            retry_capacity: 0.2,
        }
    }
}

/// Parameters of the decisions under heavy load. Each decision can be turned off.
#[derive(Clone, Copy, Debug)]
pub struct LoadPolicy {
    /// Utilization of the event loop up to which an entry router accepts all requests; 0 turns
    /// the limit off.
    pub intake_utilization: f64,
    /// Part of the work that may arrive at once below which connections are handed over to
    /// neighbours; 0 turns this off.
    pub handover_reserve: f64,
    /// Requests of a customer beyond its share that are sent to owners, as a multiple of those that
    /// owners grant; 0 turns the limit off.
    pub throttle_ratio: f64,
    /// Longest delay of an event of a stream while the event loop is busy; zero turns it off.
    pub event_delay: Duration,
    /// Whether targets' speeds are measured and used.
    pub learn_speeds: bool,
    /// Whether shares are taken of the capacity rather than of the tokens granted.
    pub share_capacity: bool,
    /// Whether owners schedule the return of refused requests.
    pub schedule_returns: bool,
    /// Maximum number of homes of a prefix in a cell.
    pub max_prefix_homes: usize,
}

impl LoadPolicy {
    /// The policy with all decisions turned off.
    pub const OFF: Self = Self {
        intake_utilization: 0.0,
        handover_reserve: 0.0,
        throttle_ratio: 0.0,
        event_delay: Duration::ZERO,
        learn_speeds: false,
        share_capacity: false,
        schedule_returns: false,
        max_prefix_homes: 1,
    };

    /// Whether retries that can still be answered in time count as first attempts. Without these
    /// decisions, refused clients retry too late for that.
    #[must_use]
    pub fn accepts_retries_on_time(&self) -> bool {
        self.schedule_returns || self.intake_utilization > 0.0
    }
}

impl Default for LoadPolicy {
    fn default() -> Self {
        Self {
            intake_utilization: 0.9,
            handover_reserve: HANDOVER_RESERVE,
            throttle_ratio: 2.0,
            max_prefix_homes: 4,
            learn_speeds: true,
            event_delay: Duration::from_millis(60),
            // Off, as customers with little load get less with it under high load.
            share_capacity: false,
            ..Self::OFF
        }
    }
}
