//! Admission control by the utilization of this router's processor.
//!
//! [`dispatch::intake`](dunlinward_dispatch::intake) decides; this module measures the event loop
//! and carries out refusals. The busy time of the event loop is a metric of the runtime that is
//! available without unstable features; it includes time in which the loop was ready to run and had
//! no processor. The processor time of the thread is added, because on a router with a quota the
//! busy time says nothing until the quota is used up.
//!
//! The body of a refused request is read and not stored: closing a connection with unread bytes
//! resets it, and the client may lose the answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::configuration::Table;
use dunlinward_dispatch::intake::{Attempts, CROWDING_WINDOW, Intake, Priority, Sample, Work};
use dunlinward_dispatch::share;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use rustix::time::{ClockId, Timespec, clock_gettime};
use serde_json::{Map, Value};
use tokio::runtime::Handle;
use tokio::time::MissedTickBehavior;

use crate::admission::Admission;
use crate::handover::Counts;
use crate::node::Node;
use crate::reply::{Reason, Refusal};
use crate::settings::Settings;

/// Interval between two samples of the event loop.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which refusals are logged, in one line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Customers that a log line names, those with most refusals first.
const MAX_NAMED_CUSTOMERS: usize = 4;

/// `Retry-After` of a refused request: a neighbour can accept it at once, and a first event within
/// 400 ms is still possible.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// Refusals since the last log line.
#[derive(Debug, Default)]
struct Refusals {
    first_attempts: u64,
    others: u64,
    by_customer: BTreeMap<String, u64>,
    tokens: BTreeMap<String, u64>,
}

/// Admission control of one router.
#[derive(Debug)]
pub struct Gate {
    decision: RefCell<Intake>,
    refusals: RefCell<Refusals>,
    accepted: Cell<u64>,
    attempts: Cell<Attempts>,
}

impl Gate {
    /// Creates the admission control of a router with these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let utilization = settings.load_policy.intake_utilization;
        Self {
            decision: RefCell::new(
                Intake::new(utilization, settings.millicores)
                    .with_reserve(settings.load_policy.handover_reserve),
            ),
            refusals: RefCell::default(),
            accepted: Cell::default(),
            attempts: Cell::default(),
        }
    }

    fn record_attempt(&self, accepted: bool) {
        self.attempts.set(self.attempts.get().with(accepted));
    }

    /// Whether the next connection should be handed over to a neighbour.
    pub(crate) fn should_hand_over(&self, now: Duration) -> bool {
        self.decision.borrow_mut().should_hand_over(now)
    }

    /// Whether a connection of a neighbour can be taken.
    pub(crate) fn has_reserve(&self, now: Duration) -> bool {
        self.decision.borrow_mut().has_reserve(now)
    }

    /// Records a request that is forwarded to a neighbour.
    pub(crate) fn record_handover(&self) {
        self.decision.borrow_mut().record_handover();
    }

    /// Records the placement of another router's request.
    pub(crate) fn record_placement(&self) {
        self.decision.borrow_mut().record_placement();
    }
}

/// Decides whether a request, of which its customer would be charged `tokens`, is accepted.
///
/// # Errors
///
/// If this router has no processor time for it.
pub(crate) fn admit(
    node: &Rc<Node>,
    admission: &Admission,
    tokens: u64,
    is_retry: bool,
    resumes: bool,
) -> Result<(), Refusal> {
    let streams = admission.route.kind.streams();
    let work = if streams { Work::Stream } else { Work::Plain };
    let priority = if is_retry || resumes || !streams {
        Priority::High
    } else {
        Priority::Normal
    };
    let gate = &node.intake;
    let customer = admission.customer.as_ref();
    let mut decision = gate.decision.borrow_mut();
    if decision.admit(customer.map(share::tag), work, priority, node.now()) {
        gate.accepted.set(gate.accepted.get() + 1);
        gate.record_attempt(true);
        return Ok(());
    }
    gate.record_attempt(false);
    let mut refusals = gate.refusals.borrow_mut();
    match priority {
        Priority::Normal => refusals.first_attempts += 1,
        Priority::High => refusals.others += 1,
    }
    let name = customer.map(ToString::to_string).unwrap_or_default();
    *refusals.tokens.entry(name.clone()).or_default() += tokens;
    *refusals.by_customer.entry(name).or_default() += 1;
    node.metrics.add("refusals", Reason::Crowded.name(), 1);
    Err(Refusal::new(Reason::Crowded).with_retry_after(RETRY_AFTER))
}

/// Reads the body of a refused request without storing it, within the limits of any body.
pub(crate) async fn drain<B>(node: &Rc<Node>, table: &Table, body: B)
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limits = table.limits();
    let mut body = Limited::new(body, limits.body_bytes);
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    let until = node.now() + limits.idle_timeout;
    // The answer is sent in any case; a client that sends more, or too slowly, may lose it.
    if node.timeout_at(until, reading).await.is_none() {
        node.metrics.add("undrained_bodies", "slow_body", 1);
    }
}

/// Measures the event loop for as long as the router runs.
pub async fn run(node: Rc<Node>) {
    if !node.intake.decision.borrow().is_on() {
        return;
    }
    let mut timer = tokio::time::interval(SAMPLE_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Reading::new(&node);
    let mut logged_at = node.now();
    let mut checked_at = node.now();
    loop {
        timer.tick().await;
        node.detect_suspension();
        let reading = Reading::new(&node);
        record(&node, last, reading);
        last = reading;
        if reading.at.saturating_sub(checked_at) >= CROWDING_WINDOW {
            checked_at = reading.at;
            if node.intake.attempts.take().is_crowded() {
                node.record_crowding();
            }
        }
        if reading.at.saturating_sub(logged_at) >= LOG_INTERVAL {
            logged_at = reading.at;
            log(&node);
        }
    }
}

fn record(node: &Node, last: Reading, reading: Reading) {
    let mut decision = node.intake.decision.borrow_mut();
    if reading.suspended > last.suspended {
        decision.discard(reading.at);
        return;
    }
    let sample = Sample {
        elapsed: reading.at.saturating_sub(last.at),
        busy: reading.busy.saturating_sub(last.busy),
        processor: reading.processor.saturating_sub(last.processor),
        running: node.held_places(),
        handed_over: node.handovers.open(),
        has_neighbor: has_neighbor(node),
    };
    decision.record_sample(sample, reading.at);
    node.utilization.set(decision.utilization());
}

/// Whether another router of the failure domain can accept retries.
fn has_neighbor(node: &Node) -> bool {
    let members = &node.state.borrow().members;
    let domain = &members.own().domain;
    let mut near = members.others().filter(|it| it.domain == *domain);
    near.any(|it| !members.is_leaving(it.address))
}

/// Totals since the start.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Duration,
    busy: Duration,
    processor: Duration,
    suspended: Duration,
}

impl Reading {
    fn new(node: &Node) -> Self {
        Self {
            at: node.now(),
            busy: Handle::current().metrics().worker_total_busy_duration(0),
            processor: thread_time(),
            suspended: node.clock.measure_suspended(),
        }
    }
}

/// Processor time of the event loop's thread.
fn thread_time() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = Duration::from_secs(u64::try_from(tv_sec).unwrap_or_default());
    seconds + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or_default())
}

/// Logs the refusals since the last line, if any, with the inputs of the decision.
fn log(node: &Node) {
    let accepted = node.intake.accepted.take();
    let refusals = node.intake.refusals.take();
    let handovers = node.handovers.take_counts();
    let count = refusals.first_attempts + refusals.others;
    if count == 0 && handovers == Counts::default() {
        return;
    }
    let line = node.journal.line("crowded").with("accepted", accepted);
    let line = line.with("refused", count);
    let line = line.with("refused_last", refusals.others);
    let line = line.with("handed_over", handovers.taken);
    let line = line.with("declined", handovers.declined);
    let line = line.with("by_customer", largest(refusals.by_customer));
    let line = line.with("tokens", largest(refusals.tokens));
    let summary = node.intake.decision.borrow().summary();
    let line = line.with("utilization", rounded(summary.utilization));
    let line = line.with("idle_utilization", rounded(summary.idle));
    let line = line.with("unit_ms", summary.cost.map(|it| rounded(it * 1_000.0)));
    let limit = summary.limit;
    let line = line.with("limit_per_s", limit.map(|it| rounded(it.units)));
    let line = line.with("level_per_s", limit.map(|it| rounded(it.level)));
    drop(line.with("customers", summary.customers));
}

/// The largest counts by customer.
fn largest(counts: BTreeMap<String, u64>) -> Map<String, Value> {
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(MAX_NAMED_CUSTOMERS);
    let counts = counts.into_iter();
    counts.map(|(name, count)| (name, count.into())).collect()
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
