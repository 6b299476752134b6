//! What was received, and the figures made of it.
//!
//! The gap is the largest change, over any time in which two customers of a
//! service both had work waiting, of the difference between what they received
//! per unit of share. Utilisation counts slots in use against all slots while work
//! waited that could reach them, sampled every [`SAMPLE`]. Idle time is exact: it
//! runs from when a target has a free slot and reachable work waits until either
//! ends.

use std::collections::BTreeMap;
use std::time::Duration;

use dunlinward_kernel::time::Instant;

/// Time between two samples.
pub const SAMPLE: Duration = Duration::from_millis(50);

/// Two customers compared.
#[derive(Clone, Copy, Debug)]
struct Span {
    least: f64,
    most: f64,
}

/// Traffic of one router, in bytes, both ways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes.
    pub bytes: u64,
    /// Messages.
    pub messages: u64,
}

/// All that is measured.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests refused.
    pub refused: u64,
    /// Runs started beyond the first of a request that may not be repeated.
    pub doubled: u64,
    /// Requests that were forgotten without an answer.
    pub lost: u64,
    /// Refusals that said not run although it ran.
    pub false_not_run: u64,
    /// Longest wait by customer.
    pub max_wait: BTreeMap<usize, Duration>,
    /// Traffic by router.
    pub traffic: Vec<Traffic>,
    /// Messages by kind.
    pub kinds: BTreeMap<&'static str, u64>,
    /// Processor time spent in kernels.
    pub kernel: Duration,
    /// Steps of kernels.
    pub steps: u64,
    /// Longest time a slot was free while reachable work waited.
    pub idle_waiting: Duration,
    /// The most runs that a target was given beyond its slots.
    pub over_admitted: usize,
    busy: u64,
    slots: u64,
    spans: BTreeMap<(usize, usize), Span>,
    gap: f64,
}

impl Meter {
    /// A meter for a number of routers.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        Self {
            traffic: vec![Traffic::default(); routers],
            ..Self::default()
        }
    }

    /// Notes slots in use and in all at a moment in which work waited.
    pub fn sample_slots(&mut self, busy: u64, slots: u64) {
        self.busy += busy;
        self.slots += slots;
    }

    /// Notes what two customers have received per share, both with work waiting.
    pub fn sample_pair(&mut self, pair: (usize, usize), difference: f64) {
        let span = self.spans.entry(pair).or_insert(Span {
            least: difference,
            most: difference,
        });
        span.least = span.least.min(difference);
        span.most = span.most.max(difference);
        self.gap = self.gap.max(span.most - span.least);
    }

    /// Notes that one of two customers has no work waiting.
    pub fn end_pair(&mut self, pair: (usize, usize)) {
        self.spans.remove(&pair);
    }

    /// The gap, in units per unit of share.
    #[must_use]
    pub const fn gap(&self) -> f64 {
        self.gap
    }

    /// Slots in use against all slots while work waited.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        if self.slots == 0 {
            return 1.0;
        }
        self.busy as f64 / self.slots as f64
    }

    /// Notes that a request waited for a time.
    pub fn waited(&mut self, customer: usize, since: Instant, now: Instant) {
        let wait = now.since(since);
        let most = self.max_wait.entry(customer).or_default();
        *most = (*most).max(wait);
    }
}
