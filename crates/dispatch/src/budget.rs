//! How often requests may be sent once more.
//!
//! The bound is on all routers together: over any window, sends beyond the first
//! stay below a ratio of the requests plus a fixed slack. Each router keeps to
//! its own part: the ratio of its own requests, and an equal part of the slack.
//! The parts add up to less than the whole, so the bound needs no word between
//! routers. [`SAFETY`] leaves room for windows that begin in the middle and for
//! routers that restart and count anew.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of the budget that is spent.
const SAFETY: f64 = 0.5;

/// The bound's figures.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond, for all routers, in a window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Repeats and requests of each service.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Bound,
    windows: HashMap<Arc<str>, Window>,
}

impl Budget {
    /// An untouched budget.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            windows: HashMap::new(),
        }
    }

    /// Notes a request for a service.
    pub fn request(&mut self, service: &Arc<str>, now: Duration) {
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
        trim(window, now, self.bound.window);
    }

    /// Takes one repeat for a service, unless the part of this router is spent.
    pub fn take(&mut self, service: &Arc<str>, routers: usize, now: Duration) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        trim(window, now, self.bound.window);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let allowed = {
            let own = window.requests.len() as f64 * self.bound.ratio;
            let part = self.bound.slack / routers.max(1) as f64;
            ((own + part) * SAFETY).max(1.0)
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
