//! Bounded log of refusals for lack of capacity.
//!
//! A flooding customer is refused hundreds of times per second. Beyond a number of refusals in one
//! interval, they are counted and logged as one line per interval, so that neither the log nor the
//! processor time for it grows with the flood.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::journal::millis;
use crate::node::Node;
use crate::reply::Reason;

/// Interval of the summary lines.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Refusals with a line of their own per interval: normal operation, in which operators look up
/// single requests, has fewer.
pub const MAX_LINES: u32 = 20;

/// Customers and routes named in a summary line, those with most refusals first.
const MAX_NAMES: usize = 8;

/// Name under which the refusals of all other customers and routes are counted, and those of which
/// neither is known.
const OTHER: &str = "other";

/// A refusal for lack of capacity.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Reason.
    pub reason: Reason,
    /// Customer, if known.
    pub customer: Option<Arc<str>>,
    /// Route, if known.
    pub route: Option<Arc<str>>,
    /// Tokens that the customer would have been charged.
    pub tokens: u64,
    /// Age of the customer's standing on which the refusal is based, if there is one.
    pub standing_age: Option<Duration>,
}

/// How a refusal is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// On a line of its own.
    Line,
    /// Within the summary of an interval, of which it is the first refusal.
    NewSummary {
        /// Time until the end of the interval.
        due_in: Duration,
    },
    /// Within a summary that has others.
    Summary,
}

/// Refusals of one interval that have no line of their own.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of refusals.
    pub count: u64,
    /// Number by reason.
    pub reasons: HashMap<&'static str, u64>,
    /// Number by customer.
    pub customers: HashMap<Option<Arc<str>>, u64>,
    /// Tokens by customer.
    pub tokens: HashMap<Option<Arc<str>>, u64>,
    /// Number by route.
    pub routes: HashMap<Option<Arc<str>>, u64>,
    /// Least and greatest age of the standings.
    pub standing_ages: Option<(Duration, Duration)>,
}

impl Summary {
    fn add(&mut self, refused: Refused) {
        self.count += 1;
        *self.reasons.entry(refused.reason.name()).or_default() += 1;
        *self.tokens.entry(refused.customer.clone()).or_default() += refused.tokens;
        *self.customers.entry(refused.customer).or_default() += 1;
        *self.routes.entry(refused.route).or_default() += 1;
        if let Some(age) = refused.standing_age {
            let (least, greatest) = self.standing_ages.unwrap_or((age, age));
            self.standing_ages = Some((least.min(age), greatest.max(age)));
        }
    }
}

/// Refusals of the current interval.
#[derive(Debug, Default)]
pub struct Recorder {
    interval_end: Duration,
    lines: u32,
    summary: Summary,
}

impl Recorder {
    /// Records a refusal; returns how it is logged.
    pub fn record(&mut self, refused: Refused, now: Duration) -> Treatment {
        if now >= self.interval_end && self.summary.count == 0 {
            self.interval_end = now + INTERVAL;
            self.lines = 0;
        }
        if self.lines < MAX_LINES {
            self.lines += 1;
            return Treatment::Line;
        }
        self.summary.add(refused);
        if self.summary.count > 1 {
            return Treatment::Summary;
        }
        let due_in = self.interval_end.saturating_sub(now);
        Treatment::NewSummary { due_in }
    }

    /// Takes the summary and ends the interval; none if all refusals had lines of their own.
    pub fn take(&mut self) -> Option<Summary> {
        let summary = std::mem::take(&mut self.summary);
        (summary.count > 0).then_some(summary)
    }
}

/// Whether a refusal is for lack of capacity, so that a flood causes many of them.
#[must_use]
pub fn lacks_capacity(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Busy | Reason::BackedOff | Reason::OverShare | Reason::Crowded
    )
}

/// Records a refusal; returns whether it is to be logged on a line of its own.
pub(crate) fn record(node: &Rc<Node>, refused: Refused) -> bool {
    let treatment = node.refusals.borrow_mut().record(refused, node.now());
    if let Treatment::NewSummary { due_in } = treatment {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(due_in).await;
            write(&node);
        });
    }
    treatment == Treatment::Line
}

/// Logs the summary of the current interval, if there is one.
pub(crate) fn write(node: &Node) {
    let summary = node.refusals.borrow_mut().take();
    let Some(summary) = summary else {
        return;
    };
    let line = node.journal.line("refusals").with("count", summary.count);
    let reasons: Map<_, _> = summary
        .reasons
        .into_iter()
        .map(|(reason, count)| (reason.to_owned(), count.into()))
        .collect();
    let line = line
        .with("reasons", reasons)
        .with("customers", largest(summary.customers))
        .with("tokens", largest(summary.tokens))
        .with("routes", largest(summary.routes));
    let (least, greatest) = summary.standing_ages.unzip();
    drop(
        line.with("standing_age_min_ms", least.map(millis))
            .with("standing_age_max_ms", greatest.map(millis)),
    );
}

/// The largest counts by name; the others are added up.
fn largest(counts: HashMap<Option<Arc<str>>, u64>) -> Map<String, Value> {
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let mut largest = Map::new();
    let mut other = 0;
    for (name, count) in counts {
        match name {
            Some(name) if largest.len() < MAX_NAMES => {
                largest.insert(name.as_ref().to_owned(), count.into());
            }
            _ => other += count,
        }
    }
    if other > 0 {
        largest.insert(OTHER.to_owned(), other.into());
    }
    largest
}
