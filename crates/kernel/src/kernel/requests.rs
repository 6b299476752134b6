//! Lifecycle of callers' requests, from arrival to the final answer.

use std::sync::Arc;
use std::time::Duration;

use super::Kernel;
use crate::account::Meter;
use crate::action::Action;
use crate::event::{Arrival, Class, Outcome};
use crate::id::{Request, Service, Target};
use crate::queue::Lane;
use crate::request::{self, Decision, Sent, State, Waiting};
use crate::retry;
use crate::table::Table;
use crate::time::Instant;
use crate::verdict::{Failure, Refusal, Verdict};

/// Delay suggested to the caller after a refusal that may be temporary.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Verdict and cause of a failed attempt.
#[derive(Clone, Copy)]
struct AttemptFailure {
    verdict: Verdict,
    failure: Failure,
}

impl Kernel {
    pub(super) fn handle_arrival(
        &mut self,
        now: Instant,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) {
        let request = arrival.request;
        if let Err(refusal) = self.check_admission(&arrival) {
            actions.push(Action::Refuse {
                request,
                refusal,
                failure: None,
                verdict: Verdict::NotRun,
                retry_after: retry_after(refusal),
            });
            return;
        }
        let Some(table) = self.table.clone() else {
            return;
        };
        self.budget.earn();
        let timeout = now + table.queue_timeout;
        let deadline = arrival
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
        self.deadlines.insert((deadline, request));
        let waiting = request::Request::new(arrival, now);
        self.enqueue(&waiting, false);
        self.send_wants_at = now;
        self.requests.insert(request, State::Waiting(waiting));
    }

    /// Checks whether a request can be queued; the error is the reason for its refusal.
    fn check_admission(&self, arrival: &Arrival) -> Result<(), Refusal> {
        if self.draining.is_some() {
            return Err(Refusal::Draining);
        }
        let table = self.table.as_ref().ok_or(Refusal::NotConfigured)?;
        let customer = table
            .customers
            .get(arrival.customer.row())
            .filter(|row| row.live);
        customer.ok_or(Refusal::CustomerRemoved)?;
        let service = table
            .services
            .get(arrival.service.row())
            .filter(|row| row.live)
            .ok_or(Refusal::ServiceRemoved)?;
        let servable = service.targets.iter().any(|target| {
            table.targets[target.row()].accepts_work()
                && table.serves(*target, arrival.service, arrival.model)
        });
        if !servable {
            return Err(Refusal::NoTarget);
        }
        if self.queue.count(arrival.customer) >= table.queue_limit {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn enqueue(&mut self, request: &request::Request<Waiting>, at_front: bool) {
        let arrival = &request.arrival;
        let lane = lane(arrival);
        let class = if self.settings.quick_first {
            arrival.class
        } else {
            Class::Long
        };
        if at_front {
            self.queue
                .push_front(lane, arrival.customer, class, arrival.request);
        } else {
            self.queue
                .push(lane, arrival.customer, class, arrival.request);
        }
        let pool = self.pool(arrival.service);
        self.book.get_mut(pool, arrival.customer).queued += 1;
    }

    fn dequeue(&mut self, arrival: &Arrival) {
        if self
            .queue
            .remove(lane(arrival), arrival.customer, arrival.request)
        {
            let pool = self.pool(arrival.service);
            let account = self.book.get_mut(pool, arrival.customer);
            account.queued = account.queued.saturating_sub(1);
        }
    }

    /// Dispatches a waiting request to a target, on a slot held by this router.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        request: Request,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let Some(State::Waiting(waiting)) = self.requests.remove(&request) else {
            return;
        };
        self.dequeue(&waiting.arrival);
        let arrival = &waiting.arrival;
        let (service, customer) = (arrival.service, arrival.customer);
        let mut meter = Meter::new(self.reservation(arrival));
        let pool = self.pool(service);
        self.book.charge(pool, customer, meter.admit());
        self.holder.occupy(target, customer);
        self.holder.record_dispatch(now, lane(arrival));
        let sent = waiting.send(now, target, meter);
        actions.push(Action::Dispatch {
            request,
            attempt: sent.attempts,
            target,
        });
        self.requests.insert(request, State::Sent(sent));
    }

    /// Estimated cost of a request, in units.
    pub(super) fn estimate(&self, arrival: &Arrival) -> u64 {
        let prior = self
            .table
            .as_ref()
            .map_or(1, |table| table.services[arrival.service.row()].prior);
        self.estimates
            .get(&(arrival.service, arrival.customer))
            .copied()
            .unwrap_or_default()
            .get(arrival.hint.unwrap_or(prior))
    }

    /// Amount reserved for a request before it has used any service, in units.
    pub(super) fn reservation(&self, arrival: &Arrival) -> u64 {
        self.estimate(arrival)
            .saturating_mul(self.settings.reserve_permille)
            / 1_000
    }

    pub(super) fn record_progress(&mut self, request: Request, attempt: u32, units: u64) {
        let Some(State::Sent(sent)) = self.requests.get_mut(&request) else {
            self.dropped.late_events += 1;
            return;
        };
        if sent.attempts != attempt {
            self.dropped.late_events += 1;
            return;
        }
        let amount = sent.stage.meter.progress(units);
        let (service, customer) = (sent.arrival.service, sent.arrival.customer);
        let pool = self.pool(service);
        self.book.charge(pool, customer, amount);
    }

    /// Frees the slot of a sent request and settles its charge.
    fn release_slot(
        &mut self,
        now: Instant,
        request: Request,
        units: u64,
    ) -> Option<request::Request<Sent>> {
        let Some(State::Sent(mut sent)) = self.requests.remove(&request) else {
            return None;
        };
        let pool = self.pool(sent.arrival.service);
        let amount = sent.stage.meter.finish(units);
        self.book.charge(pool, sent.arrival.customer, amount);
        if let Some(table) = &self.table {
            self.holder
                .vacate(now, table, sent.stage.target, &mut self.outbox);
        }
        Some(sent)
    }

    pub(super) fn handle_end(
        &mut self,
        now: Instant,
        request: Request,
        attempt: u32,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let current = matches!(
            self.requests.get(&request),
            Some(State::Sent(sent)) if sent.attempts == attempt
        );
        if !current {
            self.dropped.late_events += 1;
            return;
        }
        match outcome {
            Outcome::Completed { units } => self.complete(now, request, units, actions),
            Outcome::Failed {
                verdict,
                failure,
                units,
                delivered,
            } => {
                let cause = AttemptFailure { verdict, failure };
                self.fail(now, request, units, cause, delivered, actions);
            }
        }
    }

    fn complete(&mut self, now: Instant, request: Request, units: u64, actions: &mut Vec<Action>) {
        let Some(sent) = self.release_slot(now, request, units) else {
            return;
        };
        self.health.record_success(sent.stage.target);
        self.estimates
            .entry((sent.arrival.service, sent.arrival.customer))
            .or_default()
            .learn(units);
        self.forget(request, actions);
    }

    fn fail(
        &mut self,
        now: Instant,
        request: Request,
        units: u64,
        cause: AttemptFailure,
        delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.release_slot(now, request, units) else {
            return;
        };
        let refused = cause.verdict == Verdict::NotRun;
        if cause.failure != Failure::Cancelled {
            self.health.record_failure(now, sent.stage.target, refused);
        }
        // A request that did not run is retried outside the retry budget and the limit of
        // attempts while another target is usable; these are for when no target works.
        let other_usable = refused && self.has_usable_target(now, sent.arrival.service);
        let unsent = matches!(
            cause.failure,
            Failure::ConnectRefused | Failure::ConnectTimeout
        );
        let budget_exempt = other_usable || unsent;
        let max_attempts = if unsent {
            retry::MAX_UNSENT_ATTEMPTS
        } else {
            retry::MAX_ATTEMPTS
        };
        let exhausted = !other_usable && sent.attempts >= max_attempts;
        let worst = sent.worst_verdict.max(cause.verdict);
        match sent.failed(cause.verdict, delivered) {
            Decision::Retry(waiting) if !exhausted && (budget_exempt || self.budget.spend()) => {
                let backoff = retry::backoff(self.settings.seed, request, waiting.attempts);
                self.backoffs.insert((now + backoff, request));
                self.requests.insert(request, State::Backoff(waiting));
                actions.push(Action::Retry {
                    request,
                    failure: cause.failure,
                });
            }
            Decision::Retry(_) if !exhausted => {
                self.refuse(
                    request,
                    Refusal::RetryBudget,
                    Some(cause.failure),
                    worst,
                    actions,
                );
            }
            Decision::Retry(_) | Decision::Stop => {
                self.refuse(
                    request,
                    Refusal::TargetFailed,
                    Some(cause.failure),
                    worst,
                    actions,
                );
            }
        }
    }

    /// Whether a target of a service accepts work and is not ejected.
    fn has_usable_target(&self, now: Instant, service: Service) -> bool {
        self.table
            .as_ref()
            .is_some_and(|table| !self.health.all_ejected(now, table, service))
    }

    pub(super) fn end_backoffs(&mut self, now: Instant) {
        while let Some((at, request)) = self.backoffs.first().copied() {
            if at > now {
                return;
            }
            self.backoffs.pop_first();
            if let Some(State::Backoff(waiting)) = self.requests.remove(&request) {
                self.enqueue(&waiting, true);
                self.requests.insert(request, State::Waiting(waiting));
            }
        }
    }

    pub(super) fn cancel_request(
        &mut self,
        now: Instant,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        match self.requests.get(&request) {
            Some(State::Sent(sent)) => {
                let (attempt, used) = (sent.attempts, sent.stage.meter.used());
                actions.push(Action::Cancel { request, attempt });
                self.release_slot(now, request, used);
            }
            Some(State::Waiting(waiting)) => {
                let arrival = waiting.arrival.clone();
                self.dequeue(&arrival);
            }
            Some(State::Backoff(_)) => {}
            None => {
                self.dropped.late_events += 1;
                return;
            }
        }
        self.requests.remove(&request);
        self.forget(request, actions);
    }

    /// Ends requests that are past their deadline or the queue timeout.
    pub(super) fn expire(&mut self, now: Instant, table: &Arc<Table>, actions: &mut Vec<Action>) {
        while let Some((at, request)) = self.deadlines.first().copied() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            self.expire_one(now, table, request, actions);
        }
    }

    fn expire_one(
        &mut self,
        now: Instant,
        table: &Arc<Table>,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let (arrival, worst) = match state {
            State::Waiting(request) | State::Backoff(request) => {
                (&request.arrival, request.worst_verdict)
            }
            State::Sent(request) => (&request.arrival, Verdict::MayHaveRun),
        };
        let deadline = arrival.deadline.filter(|deadline| *deadline <= now);
        if let State::Sent(sent) = state {
            let Some(deadline) = sent.arrival.deadline else {
                return;
            };
            if deadline > now {
                self.deadlines.insert((deadline, request));
                return;
            }
            let (attempt, used) = (sent.attempts, sent.stage.meter.used());
            actions.push(Action::Cancel { request, attempt });
            self.release_slot(now, request, used);
            self.refuse(request, Refusal::DeadlinePassed, None, worst, actions);
            return;
        }
        let refusal = if deadline.is_some() {
            Refusal::DeadlinePassed
        } else if table.customers[arrival.customer.row()].live {
            Refusal::QueueTimeout
        } else {
            Refusal::CustomerRemoved
        };
        let arrival = arrival.clone();
        self.dequeue(&arrival);
        self.refuse(request, refusal, None, worst, actions);
    }

    fn refuse(
        &mut self,
        request: Request,
        refusal: Refusal,
        failure: Option<Failure>,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Refuse {
            request,
            refusal,
            failure,
            verdict,
            retry_after: retry_after(refusal),
        });
        self.forget(request, actions);
    }

    fn forget(&mut self, request: Request, actions: &mut Vec<Action>) {
        self.requests.remove(&request);
        actions.push(Action::Forget { request });
    }
}

/// The lane of a request.
pub(super) fn lane(arrival: &Arrival) -> Lane {
    Lane {
        service: arrival.service,
        model: arrival.model,
    }
}

fn retry_after(refusal: Refusal) -> Option<Duration> {
    match refusal {
        Refusal::QueueFull
        | Refusal::QueueTimeout
        | Refusal::Draining
        | Refusal::NotConfigured
        | Refusal::NoTarget
        | Refusal::RetryBudget => Some(RETRY_AFTER),
        Refusal::DeadlinePassed
        | Refusal::CustomerRemoved
        | Refusal::ServiceRemoved
        | Refusal::TargetFailed
        | Refusal::CallerLeft => None,
    }
}
