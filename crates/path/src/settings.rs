//! What a router is told, and the figures by which requests wait.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::Bound;
use dunlinward_dispatch::placement::Policy;
use dunlinward_dispatch::region::Regions;

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Which failure domains lie near each other.
    pub regions: Arc<Regions>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether this router takes callers.
    pub ready: SocketAddr,
    /// Where peers send reports and fetch views; the same port at all routers.
    pub link: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Routers to greet first.
    pub seeds: Vec<SocketAddr>,
    /// Bound on requests that are sent once more.
    pub repeats: Bound,
    /// Window over which customers' shares hold.
    pub share_window: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Figures by which targets are chosen.
    pub policy: Policy,
    /// Figures by which requests wait.
    pub patience: Patience,
    /// Bound on requests to cold targets.
    pub cold: ColdBound,
    /// Time between greetings to peers.
    pub report_interval: Duration,
    /// Thousandths of a core that this router has.
    pub millicores: u32,
    /// Targets of a cell, about.
    pub cell_targets: usize,
    /// Time between two questions to an engine about its memory; none are asked if it is zero.
    pub memory_interval: Duration,
}

/// How many requests a cold target may get in one second, against the rate that it is made for.
#[derive(Clone, Copy, Debug)]
pub struct ColdBound {
    /// Times that rate.
    pub excess: f64,
    /// And so many more.
    pub slack: f64,
}

/// How long requests wait and when refused callers may come back.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Part of its objective that a request waits.
    pub first: f64,
    /// The same for a caller that was refused before.
    pub returning: f64,
    /// Part of its objective after which a request may go where its prefix is not.
    pub miss: f64,
    /// Part of the objective after which a refused caller may come back.
    pub come_back: f64,
    /// Part of all room that a request beyond its customer's share may use.
    pub over_share: f64,
    /// Part of that room that it may use if its caller was refused before, and so is late.
    pub again: f64,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            // Time spent here is lost at the engine, where a prompt waits again: with 0.06 instead of
            // 0.2 callers got 0.853 of the worth they asked for instead of 0.838 (mean of five
            // days of high load and faults).
            first: 0.06,
            miss: 0.04,
            returning: 0.06,
            come_back: 1.0,
            over_share: 0.8,
            again: 0.2,
        }
    }
}
