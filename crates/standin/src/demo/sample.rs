//! What the fleet itself tells while it runs.

use std::time::Instant;

use dunlinward_router::Router;
use snafu::ResultExt;

use super::{Error, Fleet, MetricsSnafu};
use crate::engine::api::Load;

/// Beginning of the lines that count control traffic.
const CONTROL: &str = "dunlinward_control_bytes";

/// How the fleet stands.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Slots of all engines.
    pub slots: u32,
    /// Engine streams running at the last look.
    pub running: u32,
    /// Streams waiting inside engines at the last look.
    pub inside: u32,
    /// Requests waiting at routers at the last count.
    pub queued: u32,
    /// Looks at the engines so far.
    looks: u32,
    /// Streams running, added up over all looks.
    running_sum: u64,
    /// Control traffic of all routers, in bytes, both ways.
    control: f64,
    control_first: f64,
    control_before: f64,
    counted: Instant,
    counted_first: Instant,
    counted_before: Instant,
    routers: usize,
}

impl Sample {
    /// The state at the beginning of the load.
    pub(super) fn first(fleet: &Fleet) -> Result<Self, Error> {
        let control = control(&fleet.routers)?;
        let now = Instant::now();
        Ok(Self {
            slots: fleet.engines().map(|(_, slots)| slots).sum(),
            running: 0,
            inside: 0,
            queued: 0,
            looks: 0,
            running_sum: 0,
            control,
            control_first: control,
            control_before: control,
            counted: now,
            counted_first: now,
            counted_before: now,
            routers: fleet.routers.len(),
        })
    }

    /// Looks how many streams the engines run; their reports lag a little.
    pub(super) fn look(&mut self, fleet: &Fleet) {
        let engines = fleet.engines();
        let loads = engines.filter_map(|(address, _)| fleet.get::<Load>(address, "/load"));
        let (mut running, mut inside) = (0, 0);
        for load in loads {
            running += u32::try_from(load.running).unwrap_or(u32::MAX);
            inside += u32::try_from(load.waiting).unwrap_or(u32::MAX);
        }
        self.running = running;
        self.inside = inside;
        self.looks += 1;
        self.running_sum += u64::from(running);
    }

    /// Counts control traffic and queues.
    pub(super) fn count(&mut self, fleet: &Fleet) -> Result<(), Error> {
        self.control_before = self.control;
        self.counted_before = self.counted;
        self.control = control(&fleet.routers)?;
        self.counted = Instant::now();
        let states = fleet.routers.iter().filter_map(Router::status);
        self.queued = states
            .flat_map(|state| state.customers)
            .map(|customer| customer.queued)
            .sum();
        Ok(())
    }

    /// Part of the slots that ran a stream at the last look.
    #[must_use]
    pub fn use_now(&self) -> f64 {
        f64::from(self.running) / f64::from(self.slots.max(1))
    }

    /// Part of the slots that ran a stream, on average over all looks.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub fn use_mean(&self) -> f64 {
        let all = f64::from(self.looks) * f64::from(self.slots);
        self.running_sum as f64 / all.max(1.0)
    }

    /// Control traffic of a router in bytes a second, both ways, since the
    /// count before the last.
    #[must_use]
    pub fn control_now(&self) -> f64 {
        let time = self.counted - self.counted_before;
        self.rate(self.control - self.control_before, time.as_secs_f64())
    }

    /// The same since the load began.
    #[must_use]
    pub fn control_mean(&self) -> f64 {
        let time = self.counted - self.counted_first;
        self.rate(self.control - self.control_first, time.as_secs_f64())
    }

    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    fn rate(&self, bytes: f64, seconds: f64) -> f64 {
        bytes / seconds.max(0.001) / (self.routers.max(1) as f64)
    }
}

/// Adds up the control traffic that all routers count.
fn control(routers: &[Router]) -> Result<f64, Error> {
    let mut sum = 0.0;
    for router in routers {
        let text = router.metrics().context(MetricsSnafu)?;
        let lines = text.lines().filter(|line| line.starts_with(CONTROL));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    Ok(sum)
}
