//! Callers' requests: from arrival to the last answer.

use std::sync::Arc;
use std::time::Duration;

use super::Kernel;
use crate::account::Meter;
use crate::action::Action;
use crate::event::{Arrival, Class, Outcome};
use crate::id::{Request, Service, Target};
use crate::queue::Lane;
use crate::request::{self, Failed, Life, Sent, Waiting};
use crate::retry;
use crate::table::Table;
use crate::time::Instant;
use crate::verdict::{Failure, Refusal, Verdict};

/// What a caller is told to wait when its queue is full or this router drains.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What failed, for the caller's last answer.
#[derive(Clone, Copy)]
struct Broken {
    verdict: Verdict,
    failure: Failure,
}

impl Kernel {
    pub(super) fn arrive(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        let request = arrival.request;
        if let Err(refusal) = self.admit(&arrival) {
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
        self.tell_at = now;
        self.requests.insert(request, Life::Waiting(waiting));
    }

    /// Why a request is refused on arrival, if it is.
    fn admit(&self, arrival: &Arrival) -> Result<(), Refusal> {
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
        let able = service.targets.iter().any(|target| {
            table.targets[target.row()].open()
                && table.serves(*target, arrival.service, arrival.model)
        });
        if !able {
            return Err(Refusal::NoTarget);
        }
        if self.queue.count(arrival.customer) >= table.queue_limit {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn enqueue(&mut self, request: &request::Request<Waiting>, again: bool) {
        let arrival = &request.arrival;
        let lane = lane(arrival);
        let class = if self.settings.quick_first {
            arrival.class
        } else {
            Class::Long
        };
        if again {
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

    /// Sends a waiting request to a target on a slot held here.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        request: Request,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let Some(Life::Waiting(waiting)) = self.requests.remove(&request) else {
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
        self.requests.insert(request, Life::Sent(sent));
    }

    /// The cost that a request is expected to have, in units.
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

    /// What a request is charged ahead of its use, in units.
    pub(super) fn reservation(&self, arrival: &Arrival) -> u64 {
        self.estimate(arrival)
            .saturating_mul(self.settings.reserve_permille)
            / 1_000
    }

    pub(super) fn progress(&mut self, request: Request, attempt: u32, units: u64) {
        let Some(Life::Sent(sent)) = self.requests.get_mut(&request) else {
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

    /// Takes a sent request off its slot and settles its charge.
    fn unload(
        &mut self,
        now: Instant,
        request: Request,
        units: u64,
    ) -> Option<request::Request<Sent>> {
        let Some(Life::Sent(mut sent)) = self.requests.remove(&request) else {
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

    pub(super) fn end(
        &mut self,
        now: Instant,
        request: Request,
        attempt: u32,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let current = matches!(
            self.requests.get(&request),
            Some(Life::Sent(sent)) if sent.attempts == attempt
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
                let broken = Broken { verdict, failure };
                self.fail(now, request, units, broken, delivered, actions);
            }
        }
    }

    fn complete(&mut self, now: Instant, request: Request, units: u64, actions: &mut Vec<Action>) {
        let Some(sent) = self.unload(now, request, units) else {
            return;
        };
        self.health.succeed(sent.stage.target);
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
        broken: Broken,
        delivered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.unload(now, request, units) else {
            return;
        };
        let refused = broken.verdict == Verdict::NotRun;
        if broken.failure != Failure::Cancelled {
            self.health.fail(now, sent.stage.target, refused);
        }
        // The budget and the count of attempts are for when nothing works.
        let elsewhere = refused && self.works_elsewhere(now, sent.arrival.service);
        let unsent = matches!(
            broken.failure,
            Failure::ConnectRefused | Failure::ConnectTimeout
        );
        let free = elsewhere || unsent;
        let most = if unsent {
            retry::MOST_UNSENT
        } else {
            retry::MOST_ATTEMPTS
        };
        let tired = !elsewhere && sent.attempts >= most;
        let worst = sent.worst.max(broken.verdict);
        match sent.failed(broken.verdict, delivered) {
            Failed::Again(waiting) if !tired && (free || self.budget.spend()) => {
                let wait = retry::wait(self.settings.seed, request, waiting.attempts);
                self.backoffs.insert((now + wait, request));
                self.requests.insert(request, Life::Backoff(waiting));
                actions.push(Action::Retry {
                    request,
                    failure: broken.failure,
                });
            }
            Failed::Again(_) if !tired => {
                self.refuse(
                    request,
                    Refusal::RetryBudget,
                    Some(broken.failure),
                    worst,
                    actions,
                );
            }
            Failed::Again(_) | Failed::Over => {
                self.refuse(
                    request,
                    Refusal::TargetFailed,
                    Some(broken.failure),
                    worst,
                    actions,
                );
            }
        }
    }

    /// Whether some target of a service is there to be tried.
    fn works_elsewhere(&self, now: Instant, service: Service) -> bool {
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
            if let Some(Life::Backoff(waiting)) = self.requests.remove(&request) {
                self.enqueue(&waiting, true);
                self.requests.insert(request, Life::Waiting(waiting));
            }
        }
    }

    pub(super) fn leave(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        match self.requests.get(&request) {
            Some(Life::Sent(sent)) => {
                let (attempt, used) = (sent.attempts, sent.stage.meter.used());
                actions.push(Action::Cancel { request, attempt });
                self.unload(now, request, used);
            }
            Some(Life::Waiting(waiting)) => {
                let arrival = waiting.arrival.clone();
                self.dequeue(&arrival);
            }
            Some(Life::Backoff(_)) => {}
            None => {
                self.dropped.late_events += 1;
                return;
            }
        }
        self.requests.remove(&request);
        self.forget(request, actions);
    }

    /// Ends what has passed its deadline or waited too long.
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
        let Some(life) = self.requests.get(&request) else {
            return;
        };
        let (arrival, worst) = match life {
            Life::Waiting(request) | Life::Backoff(request) => (&request.arrival, request.worst),
            Life::Sent(request) => (&request.arrival, Verdict::MayHaveRun),
        };
        let deadline = arrival.deadline.filter(|deadline| *deadline <= now);
        if let Life::Sent(sent) = life {
            let Some(deadline) = sent.arrival.deadline else {
                return;
            };
            if deadline > now {
                self.deadlines.insert((deadline, request));
                return;
            }
            let (attempt, used) = (sent.attempts, sent.stage.meter.used());
            actions.push(Action::Cancel { request, attempt });
            self.unload(now, request, used);
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

/// What a request needs of a target.
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
