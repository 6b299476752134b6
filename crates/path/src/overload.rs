//! Detection of overload of this router.
//!
//! Clients are spread unevenly over routers, and one large client may send more than a small
//! machine can handle. A router detects this by its own timers, which fire late while its event
//! loop is overloaded. An overloaded router reports that it is not ready and asks its clients to
//! close their connections, so that new connections go to other routers, and it owns no cells until
//! it has recovered. The same holds for a router that cannot accept connections because its file
//! descriptors are used up, and for one that refuses requests because its processor is used up
//! ([`crate::intake`]): retries of a client reach the same router while it is ready.

use std::cell::Cell;
use std::time::Duration;

use crate::node::Node;

/// Weight of the newest sample in the mean lateness: at ten samples per second, the mean covers
/// about half a second.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Mean lateness from which a router is overloaded: a tenth of the shortest known objective.
const OVERLOAD_LATENESS_S: f64 = 0.015;

/// Mean lateness below which it has recovered.
const RECOVERY_LATENESS_S: f64 = 0.005;

/// Shortest time for which a router counts as overloaded: the platform checks readiness once per
/// second and must see two failures. Doubles each time that the router is overloaded again soon
/// after its recovery, as the same clients return.
const MIN_OVERLOAD: Duration = Duration::from_millis(2_500);

/// Limit of that time after repeated overload.
const MAX_OVERLOAD: Duration = Duration::from_secs(20);

/// Time after recovery within which another overload counts as a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(8);

/// Overload state, from the lateness of this router's timers.
#[derive(Debug, Default)]
pub struct Detector {
    /// Mean lateness in seconds.
    mean_s: Cell<f64>,
    /// While overloaded: the earliest end of the overload.
    min_end: Cell<Option<Duration>>,
    /// Minimum duration of the last overload.
    last_duration: Cell<Duration>,
    recovered_at: Cell<Duration>,
}

impl Detector {
    /// Whether the router is overloaded.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.min_end.get().is_some()
    }

    /// Mean lateness of this router's timers.
    #[must_use]
    pub fn mean_lateness(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.get())
    }

    /// Records a timer that fired `late`; returns whether the overload state changed.
    pub fn record_lateness(&self, late: Duration, now: Duration) -> bool {
        let mean_s = self.mean_s.get();
        let mean_s = mean_s + (late.as_secs_f64() - mean_s) * SAMPLE_WEIGHT;
        self.mean_s.set(mean_s);
        match self.min_end.get() {
            None if mean_s >= OVERLOAD_LATENESS_S => self.start_overload(now),
            Some(min_end) if mean_s < RECOVERY_LATENESS_S && now >= min_end => {
                self.min_end.set(None);
                self.recovered_at.set(now);
            }
            _ => return false,
        }
        true
    }

    /// Records that a connection could not be accepted; returns whether the overload state changed.
    pub fn record_accept_failure(&self, now: Duration) -> bool {
        self.prolong(now)
    }

    /// Records that requests are refused because the processor is used up; returns whether the
    /// overload state changed.
    pub fn record_crowding(&self, now: Duration) -> bool {
        self.prolong(now)
    }

    /// Starts an overload, or prolongs the present one.
    fn prolong(&self, now: Duration) -> bool {
        let before = self.is_overloaded();
        if before {
            let min_end = self.min_end.get().unwrap_or_default();
            self.min_end.set(Some(min_end.max(now + MIN_OVERLOAD)));
        } else {
            self.start_overload(now);
        }
        !before
    }

    fn start_overload(&self, now: Duration) {
        let last_duration = self.last_duration.get();
        let relapsed = now.saturating_sub(self.recovered_at.get()) < RELAPSE_WINDOW;
        let duration = if relapsed && !last_duration.is_zero() {
            (last_duration * 2).min(MAX_OVERLOAD)
        } else {
            MIN_OVERLOAD
        };
        self.last_duration.set(duration);
        self.min_end.set(Some(now + duration));
    }
}

impl Node {
    /// Records a timer of this router that fired late.
    pub(crate) fn record_lateness(&self, late: Duration) {
        if self.overload.record_lateness(late, self.now()) {
            self.report_overload(late);
        }
    }

    /// Records that a connection could not be accepted, so that clients are sent to other routers.
    pub(crate) fn record_accept_failure(&self) {
        if self.overload.record_accept_failure(self.now()) {
            self.report_overload(Duration::ZERO);
        }
    }

    /// Records that requests are refused because the processor is used up, so that new connections
    /// go to other routers.
    pub(crate) fn record_crowding(&self) {
        if self.overload.record_crowding(self.now()) {
            self.report_overload(Duration::ZERO);
        }
    }

    fn report_overload(&self, late: Duration) {
        let overloaded = self.overload.is_overloaded();
        let event = if overloaded { "behind" } else { "caught_up" };
        let line = self.journal.line(event).with_ms("late_ms", late);
        drop(line.with("open", self.open.get()));
        self.metrics.add("strain", event, 1);
        self.state.borrow_mut().set_overloaded(overloaded);
    }
}
