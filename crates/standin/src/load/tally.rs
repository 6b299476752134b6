//! What a customer got.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Counts and times of one customer.
#[derive(Clone, Debug)]
pub struct Tally {
    /// The customer.
    pub name: Arc<str>,
    /// Its declared share.
    pub share: u32,
    /// Calls started.
    pub started: u64,
    /// Open arrivals that started late because every client was busy. Their
    /// times count from when they were due, so with many of these the times
    /// tell of the generator's queue and not only of the fleet.
    pub late: u64,
    /// Model tokens received, as they come, and uncached prompt tokens when an
    /// answer ends.
    pub tokens: u64,
    /// Counts by kind of work.
    pub works: BTreeMap<Arc<str>, Count>,
}

/// Counts and times of one kind of work. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Count {
    /// Calls that got their whole answer.
    pub whole: u64,
    /// Calls that did not, by what went wrong.
    pub failed: BTreeMap<Failure, u64>,
    /// Time to the whole answer.
    pub latency: Histogram<u64>,
    /// Time to the first token of a streamed answer.
    pub first_token: Histogram<u64>,
}

/// How a call can go wrong for its caller.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// It was refused with this reason.
    Refused(Arc<str>),
    /// The router could not be reached or gave no answer.
    Unanswered,
    /// The answer broke off.
    Broken,
    /// The answer was not the one to this call.
    Wrong,
    /// The load ended first.
    Abandoned,
}

impl Default for Count {
    fn default() -> Self {
        Self {
            whole: 0,
            failed: BTreeMap::new(),
            latency: histogram(),
            first_token: histogram(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the number of digits is in range")
}

impl Count {
    /// Adds another's counts and times.
    pub fn add(&mut self, other: &Self) {
        self.whole += other.whole;
        for (failure, count) in &other.failed {
            *self.failed.entry(failure.clone()).or_default() += count;
        }
        // Histograms that resize by themselves take any value.
        let _ = self.latency.add(&other.latency);
        let _ = self.first_token.add(&other.first_token);
    }
}

impl Tally {
    /// Nothing yet.
    #[must_use]
    pub fn new(name: &Arc<str>, share: u32) -> Self {
        Self {
            name: Arc::clone(name),
            share,
            started: 0,
            late: 0,
            tokens: 0,
            works: BTreeMap::new(),
        }
    }

    /// Adds another's counts and times.
    pub fn add(&mut self, other: &Self) {
        self.started += other.started;
        self.late += other.late;
        self.tokens += other.tokens;
        for (work, count) in &other.works {
            self.count(work).add(count);
        }
    }

    /// Calls that got their whole answer.
    #[must_use]
    pub fn whole(&self) -> u64 {
        self.works.values().map(|count| count.whole).sum()
    }

    /// Calls that ended in a failure.
    #[must_use]
    pub fn failed(&self) -> u64 {
        let failed = self.works.values().flat_map(|count| count.failed.values());
        failed.sum()
    }

    pub(super) fn first_token(&mut self, work: &Arc<str>, time: Duration) {
        record(&mut self.count(work).first_token, time);
    }

    pub(super) fn end(&mut self, work: &Arc<str>, result: Result<(), Failure>, time: Duration) {
        let count = self.count(work);
        match result {
            Ok(()) => {
                count.whole += 1;
                record(&mut count.latency, time);
            }
            Err(failure) => *count.failed.entry(failure).or_default() += 1,
        }
    }

    fn count(&mut self, work: &Arc<str>) -> &mut Count {
        self.works.entry(Arc::clone(work)).or_default()
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    // The only error is that of a histogram which does not resize by itself.
    let _ = histogram.record(micros);
}
