//! Utilization of the event loop: the share of time for which it was busy.

use std::rc::Rc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::{Instant, MissedTickBehavior};

use crate::node::Node;

/// Interval over which the utilization is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Measures the utilization for as long as the router runs.
pub async fn run(node: Rc<Node>) {
    let metrics = Handle::current().metrics();
    let mut timer = tokio::time::interval(SAMPLE_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut busy = metrics.worker_total_busy_duration(0);
    let mut sampled_at = Instant::now();
    loop {
        timer.tick().await;
        let now = Instant::now();
        let total = metrics.worker_total_busy_duration(0);
        let elapsed = now.saturating_duration_since(sampled_at);
        if elapsed >= SAMPLE_INTERVAL / 2 {
            node.utilization
                .set(utilization(total.saturating_sub(busy), elapsed));
            busy = total;
            sampled_at = now;
        }
    }
}

fn utilization(busy: Duration, elapsed: Duration) -> f64 {
    (busy.as_secs_f64() / elapsed.as_secs_f64()).clamp(0.0, 1.0)
}
