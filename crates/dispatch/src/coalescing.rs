//! When the next events of a stream may be forwarded.
//!
//! A router under pressure forwards thousands of small events per second, each with a write to its
//! client. Events that arrive shortly after one another are forwarded together on ticks that all
//! streams share, so that one turn of the event loop serves many of them and the router has time
//! left for other clients' requests. A client gets the same bytes, each at most one tick after the
//! event that was forwarded before it.
//!
//! The first event decides whether an answer is in time and is never delayed. A stream whose last
//! pause was close to its pause objective is not delayed either, because a delay would extend the
//! next pause.

use std::time::Duration;

/// Utilization below that of the limit on requests from which events are coalesced: coalescing
/// costs clients only milliseconds, so it begins before requests are refused.
const UTILIZATION_MARGIN: f64 = 0.25;

/// Fraction of the pause objective that the last pause may take up if the next event is delayed.
/// The rest is left for the delay and for the client's network.
const MAX_PAUSE_FRACTION: f64 = 0.5;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Utilization of the event loop above which events are delayed; `None` if they never are.
    threshold: Option<f64>,
    /// Interval between ticks, which is the longest delay.
    tick: Duration,
}

impl Policy {
    /// Creates a policy for a router that limits requests from `intake_utilization` on; zero in
    /// either argument turns delays off.
    #[must_use]
    pub fn new(intake_utilization: f64, tick: Duration) -> Self {
        let enabled = intake_utilization > 0.0 && !tick.is_zero();
        let threshold = (intake_utilization - UTILIZATION_MARGIN).max(0.0);
        Self {
            threshold: enabled.then_some(threshold),
            tick,
        }
    }

    /// Time until which an event that has just arrived is held; `None` if it may be forwarded at
    /// once.
    #[must_use]
    pub fn hold_until(&self, pace: &Pace, utilization: f64, now: Duration) -> Option<Duration> {
        let under_pressure = self.threshold.is_some_and(|it| utilization > it);
        if !under_pressure || pace.is_slow() {
            return None;
        }
        let release = self.next_tick(pace.last_forwarded?);
        (now < release).then_some(release)
    }

    /// First tick after a moment.
    fn next_tick(&self, after: Duration) -> Duration {
        let past = after.as_nanos() % self.tick.as_nanos();
        let past = u64::try_from(past).unwrap_or_default();
        after + self.tick.saturating_sub(Duration::from_nanos(past))
    }
}

/// Pace of one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// When events were last forwarded; `None` before the first.
    pub last_forwarded: Option<Duration>,
    /// Time between the two events that arrived last.
    pub last_pause: Duration,
    /// Longest pause between events that the client expects.
    pub pause_objective: Duration,
}

impl Pace {
    /// Whether the last pause was so long that a delay could lead to one beyond the objective.
    fn is_slow(&self) -> bool {
        self.last_pause > self.pause_objective.mul_f64(MAX_PAUSE_FRACTION)
    }
}
