//! Bound of queued prefill at a target whose streams pause beyond their objective.
//!
//! An engine prefills between the steps that generate tokens, so a long prefill queue delays the
//! streams that run beside it; how much depends on the engine's speed, its chunk size and the number
//! of tokens per event, none of which the router knows. The bound is learned from the pauses
//! instead: it is reduced while too many streams pause and raised slowly once they do not.

use std::collections::VecDeque;
use std::time::Duration;

/// Share of the streams of a target that may pause beyond their objective. Streams that pause are
/// worth a third to the client; at targets that are fast enough, up to 0.06 do.
const MAX_PAUSED_SHARE: f64 = 0.06;

/// Share below which the bound is raised, which keeps the mean below [`MAX_PAUSED_SHARE`].
const LOW_PAUSED_SHARE: f64 = 0.03;

/// Streams below which the bound is left as it is.
const MIN_STREAMS: u32 = 24;

/// Period over which streams are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Interval of adjustments of the bound: the prefill queue of an engine changes within a second.
const STEP: Duration = Duration::from_secs(1);

/// Factor of a reduction.
const REDUCTION: f64 = 0.75;

/// Amount of a raise within [`QUIET_TIME`] of a paused stream. One incident makes most streams of a
/// target pause, so the bound may reach the point of the next incident only once in some 20 s.
const RAISE: f64 = 0.005;

/// Amount of a raise after that.
const QUIET_RAISE: f64 = 0.015;

/// Time without a paused stream after which the cause of the pauses is assumed to have ended.
const QUIET_TIME: Duration = Duration::from_secs(20);

/// Smallest bound, at which short prompts are still accepted.
const MIN_BOUND: f64 = 0.15;

/// A target is bounded only if its share of paused streams is this many times that of the median:
/// pauses that all targets have come from links or clients, or from a load that has no better place.
const MIN_MEDIAN_RATIO: f64 = 2.0;

/// Incidents after which a target is bounded. A single one may be a short stall of the target, which
/// makes most of its streams pause at once.
const MIN_INCIDENTS: usize = 3;

/// Time between paused streams from which they belong to different incidents.
const INCIDENT_GAP: Duration = Duration::from_millis(900);

/// Standard deviations by which the number of paused streams must exceed the allowed one before a
/// target is bounded: chance must not bound targets that are alike.
const ERROR_DEVIATIONS: f64 = 4.0;

/// Streams that paused or ended at one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    counts: VecDeque<(Duration, u32, u32)>,
    /// The reduction of the bound: the bound is 1 less this.
    reduction: f64,
    adjusted_at: Duration,
    paused_at: Duration,
}

impl Pauses {
    pub(super) fn record(&mut self, streams: u32, paused: u32, now: Duration) {
        if streams > 0 {
            self.counts.push_back((now, streams, paused));
            if paused > 0 {
                self.paused_at = now;
            }
        }
    }

    pub(super) fn prune(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) >= WINDOW;
        while self.counts.front().is_some_and(|(at, ..)| is_old(*at)) {
            self.counts.pop_front();
        }
    }

    /// Adopts the bound of a previous owner; false if this owner has adjusted it itself.
    pub(super) fn adopt(&mut self, bound: f64, now: Duration) -> bool {
        if !self.adjusted_at.is_zero() {
            return false;
        }
        self.reduction = 1.0 - bound.clamp(MIN_BOUND, 1.0);
        self.adjusted_at = now;
        self.paused_at = now;
        true
    }

    /// Number of streams, and of those that paused.
    pub(super) fn counts(&self) -> (u32, u32) {
        let add = |sum: (u32, u32), it: &(Duration, u32, u32)| {
            (sum.0.saturating_add(it.1), sum.1.saturating_add(it.2))
        };
        self.counts.iter().fold((0, 0), add)
    }

    /// Factor on the prefill budget; exactly 1 while the target is not bounded.
    pub(super) fn bound(&self) -> f64 {
        1.0 - self.reduction
    }

    fn share(&self) -> Option<f64> {
        let (streams, paused) = self.counts();
        (streams >= MIN_STREAMS).then(|| f64::from(paused) / f64::from(streams))
    }

    /// Adjusts the bound; `median` is the share of paused streams at the median target of the cell.
    pub(super) fn adjust(&mut self, median: f64, now: Duration) {
        let due = now.saturating_sub(self.adjusted_at) >= STEP;
        let Some(share) = self.share().filter(|_| due) else {
            return;
        };
        let bounded = self.reduction > 0.0;
        let too_many = if bounded {
            share > MAX_PAUSED_SHARE
        } else {
            share > median * MIN_MEDIAN_RATIO
                && self.exceeds_by_error()
                && self.incidents() >= MIN_INCIDENTS
        };
        if too_many {
            let bound = (self.bound() * REDUCTION).max(MIN_BOUND);
            self.reduction = 1.0 - bound;
            // Streams that paused under the previous bound say nothing about the new one.
            self.counts.clear();
            self.adjusted_at = now;
        } else if bounded && share < LOW_PAUSED_SHARE {
            let quiet = now.saturating_sub(self.paused_at) >= QUIET_TIME;
            let raise = if quiet { QUIET_RAISE } else { RAISE };
            self.reduction = (self.reduction - raise).max(0.0);
            self.adjusted_at = now;
        }
    }

    /// Number of separate incidents that made streams pause.
    fn incidents(&self) -> usize {
        let paused = self.counts.iter().filter(|(.., paused)| *paused > 0);
        let mut last: Option<Duration> = None;
        let starts = paused.filter(|(at, ..)| {
            let starts = last.is_none_or(|it| at.saturating_sub(it) >= INCIDENT_GAP);
            last = if starts { Some(*at) } else { last };
            starts
        });
        starts.count()
    }

    /// Whether more streams paused than chance explains at [`MAX_PAUSED_SHARE`].
    fn exceeds_by_error(&self) -> bool {
        let (streams, paused) = self.counts();
        let allowed = f64::from(streams) * MAX_PAUSED_SHARE;
        let error = ERROR_DEVIATIONS * (allowed * (1.0 - MAX_PAUSED_SHARE)).sqrt();
        f64::from(paused) > allowed + error
    }
}

/// Share of paused streams at the median target; zero if none has enough streams.
pub(super) fn median_share<'a>(targets: impl Iterator<Item = &'a Pauses>) -> f64 {
    let mut shares: Vec<f64> = targets.filter_map(Pauses::share).collect();
    shares.sort_by(f64::total_cmp);
    shares.get(shares.len() / 2).copied().unwrap_or(0.0)
}
