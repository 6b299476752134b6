//! Admission control at an entry router, by the utilization of its processor.
//!
//! All connections of a client reach one router, so one client can send several times what a small
//! router can serve while its neighbours are idle. Beyond its capacity a router answers everybody
//! late; a request that it refuses at once is answered in time by a neighbour.
//!
//! Work is counted in units: an accepted stream is one unit, other work is a fixed fraction of it.
//! The cost of a unit, in seconds of the available processor, is the ratio of the measured use to
//! the units of the last seconds. Events of a stream are forwarded long after the stream was
//! accepted, so the ratio covers at least `LEARNING_UNITS` units. The processor's use while no
//! request of this router is in progress is no cost of a unit.
//!
//! The limit follows from the cost before the work arrives (feed-forward): the units per second
//! that use the permitted utilization. Measured utilization beyond it reduces the limit further
//! (proportional feedback, without memory, so that it does not oscillate with the streams in
//! progress). Work fills a token bucket of this rate:
//!
//! - While tokens are left, everything is accepted.
//! - Without tokens, each customer may still use a bucket of its own, filled at the max-min fair
//!   level of what owners' duties, refusals and requests of high priority leave. So a small customer
//!   is served beside a flooding one.
//! - Requests of high priority are accepted up to a debt of `MAX_DEBT`, and beyond it from a
//!   bucket of their own, filled at most of what duties and refusals leave.
//!
//! A new connection is handed over to a neighbour while less than the reserve, a part of the burst,
//! is left, or the measured utilization leaves no room for forwarding the others: forwarding bytes
//! costs a fraction of serving a stream, and much of it is still to come when a connection is
//! accepted. So what arrives beyond the limit is mostly served elsewhere and not refused. A router
//! takes connections of a neighbour only while neither holds for itself, and it does not hand them
//! on.
//!
//! Invariants: nothing is refused without a neighbour that can take the retry, before `MIN_UNITS`
//! units were measured, or while work arrives at less than the limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::message::CustomerTag;
use crate::share;

/// Units of a plain request, which has one answer instead of some 50 events.
const PLAIN_UNITS: f64 = 0.25;

/// Units of a refusal: it costs a nineteenth to a twenty-eighth of a stream of 42 events.
const REFUSAL_UNITS: f64 = 1.0 / 25.0;

/// Units of placing another router's request: a datagram received and one sent.
const PLACEMENT_UNITS: f64 = 0.1;

/// Units of a request that is forwarded to a neighbour as bytes, events of its answer included.
pub const HANDOVER_UNITS: f64 = 0.3;

/// Default reserve, as a fraction of the burst: requests on connections that are already served here
/// use it.
pub const HANDOVER_RESERVE: f64 = 0.5;

/// Utilization from which new connections are handed over, as a fraction of the target.
const HANDOVER_UTILIZATION: f64 = 0.65;

/// Units that must be measured before the cost is used: fewer may be one stream with a cold start.
const MIN_UNITS: f64 = 10.0;

/// Units of which the cost is the mean, unless they arrive within [`LEARNING_TIME`].
const LEARNING_UNITS: f64 = 200.0;

/// Time of which the cost is at least the mean: a usual stream lasts 2 to 4 seconds, so its events
/// fall into the same mean as its acceptance.
const LEARNING_TIME: f64 = 8.0;

/// Part of a stream's cost that is still to come, on average over the streams in progress. Without
/// it, the cost that is measured in the first seconds of a flood is that of accepting a stream.
const UNDONE: f64 = 0.5;

/// Time constant of a rise of the utilization without requests, in seconds: a start, with its views
/// and lists of targets, takes a second or two and says nothing of later.
const IDLE_RISE_TIME: f64 = 20.0;

/// Time constant of its fall, in seconds.
const IDLE_FALL_TIME: f64 = 1.0;

/// Upper limit of the utilization without requests, as a fraction of the target: with a higher one,
/// the cost of a unit would be a small difference of two large numbers.
const MAX_IDLE: f64 = 0.25;

/// Time constant of the measured utilization, in seconds: three samples, so that one garbage
/// collection of a neighbour on the machine does not reduce the limit.
const UTILIZATION_TIME: f64 = 0.3;

/// Time constant of arrival rates, in seconds: a customer with two requests per second needs about
/// a second to have a rate.
const RATE_TIME: f64 = 1.0;

/// Work that may arrive at once, as a time at the limit: clients wait for the event loop at most
/// this long, which is within the shortest objective of a stream.
const MAX_BURST: f64 = 0.4;

/// Smallest burst in units, for the smallest routers.
const MIN_BURST: f64 = 4.0;

/// Debt up to which requests of high priority are accepted, as a time at the limit: beyond it their
/// answers would be late by more than an objective.
const MAX_DEBT: f64 = 1.0;

/// Fraction of the limit that first attempts get at least, however much is refused: a router that
/// only refuses serves nobody.
const MIN_SERVED: f64 = 0.2;

/// Lower limit of the factor by which measured utilization reduces the limit, so that new costs are
/// still learned.
const MIN_FEEDBACK: f64 = 0.1;

/// Rate, in units per second, below which a customer is forgotten.
const MIN_RATE: f64 = 0.01;

/// An interval longer than this, with less than [`MIN_STALL_USE`] of the processor used, was a
/// suspension: an overloaded router is late too, but uses its processor.
const MAX_STALL: Duration = Duration::from_millis(500);

/// Use of the processor below which a long interval was a suspension.
const MIN_STALL_USE: f64 = 0.5;

/// Ratio of processor time to busy time beyond which the clock of the processor time is not one:
/// on some virtual machines it returns the time of day, and a loop cannot use more than it is busy.
const MAX_CLOCK_RATIO: f64 = 1.25;

/// Time over which requests are counted to tell whether a router is crowded.
pub const CROWDING_WINDOW: Duration = Duration::from_millis(500);

/// A router is crowded if it refuses more than one request in this many: clients whose first
/// attempt is refused retry at the same router while it is ready, and a neighbour has room.
const CROWDING_DIVISOR: u64 = 5;

/// Refusals within [`CROWDING_WINDOW`] below which a router is not crowded.
const MIN_CROWDING_REFUSALS: u64 = 5;

/// Measured use of the event loop in an interval.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Length of the interval.
    pub elapsed: Duration,
    /// Time for which the event loop was busy, which includes waiting for the processor.
    pub busy: Duration,
    /// Processor time that the event loop used.
    pub processor: Duration,
    /// Requests of this router's clients that run at targets.
    pub running: usize,
    /// Connections that are forwarded to neighbours.
    pub handed_over: usize,
    /// Whether another router of the failure domain can take retries.
    pub has_neighbor: bool,
}

impl Sample {
    /// Utilization of a processor quota, 0 to 1. The busy time alone does not show how much is
    /// left: below its quota of 0.09 core a loop is busy for less than 0.09 of the time, and at the
    /// quota it is stopped while it is busy.
    fn utilization(&self, quota: f64) -> f64 {
        let elapsed = self.elapsed.as_secs_f64().max(f64::EPSILON);
        let busy = self.busy.as_secs_f64() / elapsed;
        if self.processor.as_secs_f64() > self.busy.as_secs_f64() * MAX_CLOCK_RATIO {
            return busy.clamp(0.0, 1.0);
        }
        let quota_use = self.processor.as_secs_f64() / (elapsed * quota);
        quota_use.max(busy).clamp(0.0, 1.0)
    }

    fn is_stall(&self, quota: f64) -> bool {
        let used = self.processor.as_secs_f64();
        self.elapsed > MAX_STALL && used < MIN_STALL_USE * quota * self.elapsed.as_secs_f64()
    }
}

/// Work that a request causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Forwarding a stream.
    Stream,
    /// Forwarding one answer.
    Plain,
}

impl Work {
    fn units(self) -> f64 {
        match self {
            Self::Stream => 1.0,
            Self::Plain => PLAIN_UNITS,
        }
    }
}

/// Order in which requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// A first attempt, which can be sent again to a neighbour.
    Normal,
    /// Refused last: a retry, which is not sent again, the resumption of a stream, or a plain
    /// request, which has little time.
    High,
}

/// Requests at a router since the last check for crowding.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    accepted: u64,
    refused: u64,
}

impl Attempts {
    /// Records a request.
    #[must_use]
    pub fn with(self, accepted: bool) -> Self {
        Self {
            accepted: self.accepted + u64::from(accepted),
            refused: self.refused + u64::from(!accepted),
        }
    }

    /// Whether the router refuses so many that its clients should go to others.
    #[must_use]
    pub fn is_crowded(self) -> bool {
        let total = self.accepted + self.refused;
        self.refused >= MIN_CROWDING_REFUSALS && self.refused * CROWDING_DIVISOR > total
    }
}

/// Token bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens: f64,
    at: Duration,
}

impl Bucket {
    fn full(rate: f64, now: Duration) -> Self {
        Self {
            tokens: burst(rate),
            at: now,
        }
    }

    fn refill(&mut self, rate: f64, now: Duration) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.tokens = (self.tokens + rate * time).min(burst(rate));
    }
}

/// Capacity of a bucket that is filled at a rate.
fn burst(rate: f64) -> f64 {
    (rate * MAX_BURST).max(MIN_BURST)
}

/// A rate that is measured per interval, in units per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    mean: f64,
    /// Units of the current interval.
    units: f64,
}

impl Rate {
    fn advance(&mut self, seconds: f64) {
        let units = std::mem::take(&mut self.units);
        self.mean += (units / seconds - self.mean) * weight(seconds, RATE_TIME);
    }
}

/// Weight of a sample of `seconds` in a mean with a time constant.
fn weight(seconds: f64, constant: f64) -> f64 {
    1.0 - (-seconds / constant).exp()
}

#[derive(Clone, Copy, Debug)]
struct Customer {
    arrivals: Rate,
    bucket: Bucket,
}

/// Limits derived from the last sample, in units per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// All work.
    pub units: f64,
    /// First attempts of each customer.
    pub level: f64,
    /// Requests of high priority while the debt is largest.
    pub high: f64,
}

/// State of the decision, for a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Utilization, smoothed.
    pub utilization: f64,
    /// Utilization without requests in progress.
    pub idle: f64,
    /// Cost of a unit in seconds of the quota, if known.
    pub cost: Option<f64>,
    /// Limits, if any.
    pub limit: Option<Limit>,
    /// Customers with requests.
    pub customers: usize,
}

/// Decides which requests a router accepts.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Utilization up to which work is accepted; 0 turns the limit off.
    target: f64,
    /// Available processor, in cores.
    quota: f64,
    /// Fraction of the burst below which new connections are handed over; 0 turns this off.
    reserve: f64,
    utilization: f64,
    idle: f64,
    /// Seconds of the quota that the units below have used.
    spent: f64,
    units: f64,
    /// Units of the current interval.
    current: f64,
    /// Requests that ran at targets at the last sample.
    running: usize,
    placements: Rate,
    handovers: Rate,
    refusals: Rate,
    high: Rate,
    customers: HashMap<Option<CustomerTag>, Customer>,
    bucket: Bucket,
    high_bucket: Bucket,
    limit: Option<Limit>,
}

impl Intake {
    /// Creates a decision that limits the `utilization` of a processor of `millicores`; 0 turns it
    /// off.
    #[must_use]
    pub fn new(utilization: f64, millicores: u32) -> Self {
        Self {
            target: utilization,
            // The event loop is one thread.
            quota: f64::from(millicores.clamp(1, 1_000)) / 1_000.0,
            reserve: HANDOVER_RESERVE,
            utilization: 0.0,
            idle: 0.0,
            spent: 0.0,
            units: 0.0,
            current: 0.0,
            running: 0,
            placements: Rate::default(),
            handovers: Rate::default(),
            refusals: Rate::default(),
            high: Rate::default(),
            customers: HashMap::new(),
            bucket: Bucket::default(),
            high_bucket: Bucket::default(),
            limit: None,
        }
    }

    /// Sets the fraction of the burst below which new connections are handed over; 0 turns this off,
    /// and taking the connections of neighbours.
    #[must_use]
    pub fn with_reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self
    }

    /// Whether it is turned on.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.target > 0.0
    }

    /// Measured utilization, smoothed.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// State for a log line.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            utilization: self.utilization,
            idle: self.idle,
            cost: self.cost(),
            limit: self.limit,
            customers: self.customers.len(),
        }
    }

    /// Decides on a request; returns whether it is accepted.
    pub fn admit(
        &mut self,
        customer: Option<CustomerTag>,
        work: Work,
        priority: Priority,
        now: Duration,
    ) -> bool {
        let units = work.units();
        let accepted = match self.limit {
            None => {
                self.record_arrival(customer, units, priority, f64::MAX, now);
                true
            }
            Some(limit) => {
                self.bucket.refill(limit.units, now);
                self.high_bucket.refill(limit.high, now);
                self.record_arrival(customer, units, priority, limit.level, now);
                self.admit_limited(customer, units, priority, limit)
            }
        };
        if accepted {
            self.use_units(units, units);
        } else {
            self.refusals.units += REFUSAL_UNITS;
            self.use_units(REFUSAL_UNITS, self.refusal_tokens());
        }
        accepted
    }

    /// Records the placement of another router's request.
    pub fn record_placement(&mut self) {
        self.placements.units += PLACEMENT_UNITS;
        self.use_units(PLACEMENT_UNITS, PLACEMENT_UNITS);
    }

    /// Whether the next connection should be handed over to a neighbour. In deep debt it is not, as
    /// a refusal costs less than forwarding.
    pub fn should_hand_over(&mut self, now: Duration) -> bool {
        self.is_on() && self.reserve > 0.0 && !self.has_reserve(now) && !self.is_exhausted()
    }

    /// Whether the processor is used up and the debt is largest.
    fn is_exhausted(&self) -> bool {
        let in_debt = |limit: Limit| self.bucket.tokens <= -limit.units * MAX_DEBT;
        self.utilization >= self.target && self.limit.is_some_and(in_debt)
    }

    /// Whether enough of the burst is left to take a connection of a neighbour.
    pub fn has_reserve(&mut self, now: Duration) -> bool {
        if self.reserve <= 0.0 {
            return false;
        }
        if self.is_on() && self.utilization >= self.target * HANDOVER_UTILIZATION {
            return false;
        }
        let Some(limit) = self.limit else {
            return true;
        };
        self.bucket.refill(limit.units, now);
        self.bucket.tokens >= burst(limit.units) * self.reserve
    }

    /// Records a request that is forwarded to a neighbour.
    pub fn record_handover(&mut self) {
        self.handovers.units += HANDOVER_UNITS;
        self.use_units(HANDOVER_UNITS, HANDOVER_UNITS);
    }

    /// Records the use of the event loop since the last sample.
    pub fn record_sample(&mut self, sample: Sample, now: Duration) {
        if sample.is_stall(self.quota) {
            self.discard(now);
            return;
        }
        let seconds = sample.elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let utilization = sample.utilization(self.quota);
        self.utilization += (utilization - self.utilization) * weight(seconds, UTILIZATION_TIME);
        let accepted = self.current;
        self.learn(sample, utilization);
        self.placements.advance(seconds);
        self.handovers.advance(seconds);
        self.refusals.advance(seconds);
        self.high.advance(seconds);
        for customer in self.customers.values_mut() {
            customer.arrivals.advance(seconds);
        }
        self.customers.retain(|_, it| it.arrivals.mean >= MIN_RATE);
        self.set_limit(sample.has_neighbor, accepted, now);
    }

    /// Discards the current interval: the router was suspended for a part of it.
    pub fn discard(&mut self, now: Duration) {
        self.current = 0.0;
        let Self {
            placements,
            handovers,
            refusals,
            high,
            ..
        } = self;
        for rate in [placements, handovers, refusals, high] {
            rate.units = 0.0;
        }
        self.bucket.at = now;
        self.high_bucket.at = now;
        for customer in self.customers.values_mut() {
            customer.arrivals.units = 0.0;
            customer.bucket.at = now;
        }
    }

    fn record_arrival(
        &mut self,
        customer: Option<CustomerTag>,
        units: f64,
        priority: Priority,
        level: f64,
        now: Duration,
    ) {
        if priority == Priority::High {
            self.high.units += units;
            return;
        }
        let customer = self.customers.entry(customer).or_insert_with(|| Customer {
            arrivals: Rate::default(),
            bucket: Bucket::full(level, now),
        });
        customer.arrivals.units += units;
        customer.bucket.refill(level, now);
    }

    fn admit_limited(
        &mut self,
        customer: Option<CustomerTag>,
        units: f64,
        priority: Priority,
        limit: Limit,
    ) -> bool {
        let own = self.customers.get_mut(&customer);
        match (priority, own) {
            (Priority::High, _) | (Priority::Normal, None) => {
                let is_open = self.bucket.tokens > -limit.units * MAX_DEBT;
                let has_tokens = self.high_bucket.tokens >= units;
                if !is_open && has_tokens {
                    self.high_bucket.tokens -= units;
                }
                is_open || has_tokens
            }
            (Priority::Normal, Some(own)) if own.bucket.tokens >= units => {
                own.bucket.tokens -= units;
                true
            }
            (Priority::Normal, Some(_)) => self.bucket.tokens >= units,
        }
    }

    fn use_units(&mut self, units: f64, tokens: f64) {
        self.current += units;
        let Some(limit) = self.limit else {
            return;
        };
        // Refusals continue at the largest debt, and must still reduce what is accepted.
        let floor = -2.0 * limit.units * MAX_DEBT;
        self.bucket.tokens = (self.bucket.tokens - tokens).max(floor);
    }

    /// Tokens that a refusal uses: its units, unless refusals would use more than all but
    /// [`MIN_SERVED`] of the limit.
    fn refusal_tokens(&self) -> f64 {
        let limit = self.limit.map_or(0.0, |it| it.units);
        let available = limit * (1.0 - MIN_SERVED);
        let scale = available / self.refusals.mean.max(f64::EPSILON);
        REFUSAL_UNITS * scale.min(1.0)
    }

    /// Learns the cost of a unit, and the utilization without requests.
    fn learn(&mut self, sample: Sample, utilization: f64) {
        let seconds = sample.elapsed.as_secs_f64();
        let units = std::mem::take(&mut self.current);
        let growth = to_f64(sample.running) - to_f64(self.running);
        self.running = sample.running;
        let works = sample.running > 0 || sample.handed_over > 0;
        if units <= 0.0 && !works && growth >= 0.0 {
            self.learn_idle(utilization, seconds);
            return;
        }
        let age = (units / LEARNING_UNITS).min(seconds / LEARNING_TIME);
        let keep = (-age).exp();
        self.spent = self.spent * keep + (utilization - self.idle).max(0.0) * seconds;
        let done = units - UNDONE * growth;
        self.units = (self.units * keep + done).max(0.0);
    }

    fn learn_idle(&mut self, utilization: f64, seconds: f64) {
        let constant = if utilization < self.idle {
            IDLE_FALL_TIME
        } else {
            IDLE_RISE_TIME
        };
        let idle = self.idle + (utilization - self.idle) * weight(seconds, constant);
        self.idle = idle.min(MAX_IDLE * self.target);
    }

    /// Cost of a unit in seconds of the quota, if known.
    fn cost(&self) -> Option<f64> {
        let known = self.units >= MIN_UNITS && self.spent > 0.0;
        known.then(|| self.spent / self.units)
    }

    fn set_limit(&mut self, has_neighbor: bool, accepted: f64, now: Duration) {
        let cost = self.cost().filter(|_| has_neighbor && self.is_on());
        let Some(cost) = cost else {
            self.limit = None;
            return;
        };
        let units = (self.target - self.idle) / cost * self.feedback();
        let left = units - self.placements.mean - self.handovers.mean - self.refusals.mean;
        let level = self.level((left - self.high.mean).max(units * MIN_SERVED));
        let high = left.max(units * MIN_SERVED) * (1.0 - MIN_SERVED);
        match self.limit {
            None => {
                self.bucket = Bucket::full(units, now);
                // What has just been accepted without a limit is still to be done.
                self.bucket.tokens -= accepted;
                self.high_bucket = Bucket::full(high, now);
            }
            Some(limit) => {
                self.bucket.refill(limit.units, now);
                self.high_bucket.refill(limit.high, now);
            }
        }
        for customer in self.customers.values_mut() {
            customer.bucket.refill(level, now);
        }
        self.limit = Some(Limit { units, level, high });
    }

    /// Factor by which utilization beyond the target reduces the limit.
    fn feedback(&self) -> f64 {
        if self.utilization <= self.target || self.target >= 1.0 {
            return 1.0;
        }
        let left = (1.0 - self.utilization) / (1.0 - self.target);
        left.max(MIN_FEEDBACK)
    }

    /// Max-min fair rate of one customer's first attempts, if all together may have `rate`.
    fn level(&self, rate: f64) -> f64 {
        let rates = self.customers.values().map(|it| it.arrivals.mean);
        let level = share::level(rates.map(to_thousandths).collect(), to_thousandths(rate));
        level.map_or(rate, from_thousandths)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are positive and far below 2^50"
)]
fn to_thousandths(rate: f64) -> u64 {
    (rate * 1_000.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "rates are far below 2^50")]
fn from_thousandths(rate: u64) -> f64 {
    rate as f64 / 1_000.0
}
