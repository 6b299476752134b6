//! Budget for sending requests again.
//!
//! The bound applies to all routers together: over any window, the sends beyond the first stay
//! below a ratio of the requests plus a fixed slack. Each router keeps to its own part: the ratio
//! of its own requests, and an equal part of the slack. The sum of the parts is less than the
//! whole, so the bound needs no coordination between routers. `SPENT_FRACTION` leaves room for
//! windows that begin in the middle of the window of a router, and for routers that restart with
//! empty counts.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Fraction of the budget that may be spent.
const SPENT_FRACTION: f64 = 0.5;

/// Parameters of the bound.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Repeats per request.
    pub ratio: f64,
    /// Further repeats in a window, for all routers together.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Requests and repeats of each service within the window.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Bound,
    windows: HashMap<Arc<str>, Window>,
}

impl Budget {
    /// Creates an unspent budget.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            windows: HashMap::new(),
        }
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, service: &Arc<str>, now: Duration) {
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
        trim(window, now, self.bound.window);
    }

    /// Spends one repeat for a service; `false` if the part of this router is exhausted.
    pub fn try_take(&mut self, service: &Arc<str>, routers: usize, now: Duration) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        trim(window, now, self.bound.window);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let allowed = {
            let own = window.requests.len() as f64 * self.bound.ratio;
            let part = self.bound.slack / routers.max(1) as f64;
            ((own + part) * SPENT_FRACTION).max(1.0)
        };
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let spent = window.repeats.len() as f64;
        if spent + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

/// Removes entries older than `length`.
fn trim(window: &mut Window, now: Duration, length: Duration) {
    for queue in [&mut window.requests, &mut window.repeats] {
        while queue
            .front()
            .is_some_and(|at| now.saturating_sub(*at) > length)
        {
            queue.pop_front();
        }
    }
}
