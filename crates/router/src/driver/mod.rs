//! The thread that owns the kernel.
//!
//! Everything that happens reaches it through one inbox, in the order of
//! arrival; each item becomes one kernel step at the router's clock, and the
//! actions of a step are carried out before the next item is taken. The thread
//! never blocks on a socket: links queue, attempts run on their own threads.

mod entry;
mod explain;
mod inbox;
mod inspect;
mod reporter;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use dunlinward_kernel::action::Action;
use dunlinward_kernel::event::{Event, Outcome};
use dunlinward_kernel::id;
use dunlinward_kernel::kernel::Kernel;
use dunlinward_kernel::table::Table;
use dunlinward_kernel::verdict::{Failure, Refusal, Verdict};

use crate::clock::Clock;
use crate::envelope::Envelope;
use crate::explain::ring::{Deed, RECORDS, Ring};
use crate::idempotency::Fate;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::refusal::Notice;
use crate::state::State;
use crate::targets::{Attempt, Place, Report};
use crate::worker::Pool;
pub(crate) use entry::Entry;
pub(crate) use inbox::{End, Input};
use reporter::Reporter;

/// Longest sleep of the driver.
const SLEEP: Duration = Duration::from_secs(1);

/// What the driver needs of the router.
pub(crate) struct Tools {
    /// The router's clock.
    pub clock: Clock,
    /// Links to other routers.
    pub links: Arc<Links>,
    /// Threads for attempts.
    pub workers: Pool,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// What other threads may see.
    pub state: Arc<State>,
    /// The driver's own inbox, for attempts to report to.
    pub inbox: Sender<Input>,
}

/// The driver.
pub(crate) struct Driver {
    kernel: Kernel,
    tools: Tools,
    entries: HashMap<id::Request, Entry>,
    table: Option<Arc<Table>>,
    actions: Vec<Action>,
    published: Option<u64>,
    ring: Ring,
}

impl Driver {
    /// A driver of `kernel`.
    pub fn new(kernel: Kernel, tools: Tools) -> Self {
        Self {
            kernel,
            tools,
            entries: HashMap::new(),
            table: None,
            actions: Vec::new(),
            published: None,
            ring: Ring::new(RECORDS),
        }
    }

    /// Runs until [`Input::Stop`].
    pub fn run(mut self, inbox: &Receiver<Input>) {
        loop {
            match inbox.recv_timeout(self.sleep()) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => self.step(Event::Tick),
            }
        }
        self.abandon();
    }

    fn sleep(&self) -> Duration {
        self.kernel
            .wake_at()
            .map_or(SLEEP, |at| self.tools.clock.until(at).min(SLEEP))
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Call(entry) => self.arrive(*entry),
            Input::Progressed {
                request,
                attempt,
                units,
            } => self.progress(request, attempt, units),
            Input::Ended(end) => self.end(*end),
            Input::Event(event) => {
                self.note(&event);
                self.step(event);
            }
            Input::Inspect(answer) => {
                // A reader that is gone needs no answer.
                let _ = answer.send(self.inspect());
            }
            Input::Explain(question, answer) => {
                // As above.
                let _ = answer.send(self.explain(&question));
            }
            Input::Stop => {}
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.tools.clock.now();
        let begun = Instant::now();
        self.kernel.step(now, event, &mut self.actions);
        self.tools.metrics.stepped(begun.elapsed());
        let (moved, dropped) = (self.kernel.holder().counts, self.kernel.dropped());
        self.tools.metrics.kernel(moved, dropped);
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            self.act(action);
        }
        self.publish();
    }

    /// Takes what an event means to the driver itself.
    fn note(&mut self, event: &Event) {
        match event {
            Event::Configured(table) => self.table = Some(Arc::clone(table)),
            Event::CallerLeft(request) => {
                self.record_of(*request, Deed::Left);
                self.count_left(*request);
            }
            _ => {}
        }
    }

    fn count_left(&self, request: id::Request) {
        if let Some(entry) = self.entries.get(&request) {
            let verdict = entry.verdict();
            self.tools.metrics.refused(Refusal::CallerLeft, verdict);
        }
    }

    fn arrive(&mut self, entry: Entry) {
        let metrics = &self.tools.metrics;
        metrics.admitted(&entry.call.customer, &entry.call.service);
        let arrival = entry.arrival.clone();
        let (request, service) = (entry.call.request, arrival.service);
        self.entries.insert(request, entry);
        self.record_of(request, Deed::Arrived { service });
        self.step(Event::Arrived(arrival));
        let waits = self.entries.get(&request);
        if waits.is_some_and(|entry| !entry.is_running()) {
            self.record_of(request, Deed::Queued);
        }
    }

    fn progress(&mut self, request: id::Request, attempt: u32, units: u64) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        let new = entry.progress(attempt, units);
        let call = &entry.call;
        self.tools.metrics.used(&call.customer, &call.service, new);
        self.step(Event::Progressed {
            request,
            attempt,
            units,
        });
    }

    fn end(&mut self, mut end: End) {
        let call = &end.call;
        let (request, attempt) = (call.request, end.attempt);
        let (failure, units) = match end.report.outcome {
            Outcome::Completed { units } => (None, units),
            Outcome::Failed { failure, units, .. } => (Some(failure), units),
        };
        self.tools.metrics.ended(&end.target, failure);
        log::info!(
            request = &*call.name, customer = &*call.customer, target = &*end.target,
            reason = failure.map_or("whole", Failure::name);
            "attempt {attempt} ended"
        );
        self.record_end(&end);
        let call = &end.call;
        match self.entries.get_mut(&request) {
            Some(entry) => {
                let new = entry.progress(attempt, units);
                self.tools.metrics.used(&call.customer, &call.service, new);
                entry.end(attempt, &mut end.report);
            }
            None => settle_late(&end),
        }
        if end.report.left {
            self.record_of(request, Deed::Left);
            self.count_left(request);
            self.step(Event::CallerLeft(request));
        }
        self.step(Event::Ended {
            request,
            attempt,
            outcome: end.report.outcome,
        });
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { to, messages } => {
                self.tools.links.send(to, &Envelope::Kernel(messages));
            }
            Action::Dispatch {
                request,
                attempt,
                target,
            } => self.dispatch(request, attempt, target),
            Action::Cancel { request, attempt } => {
                if let Some(entry) = self.entries.get_mut(&request) {
                    entry.cancel(attempt);
                }
            }
            Action::Refuse {
                request,
                refusal,
                failure,
                verdict,
                retry_after,
            } => {
                let deed = Deed::Refused {
                    refusal,
                    failure,
                    verdict,
                };
                self.record_of(request, deed);
                let notice =
                    Notice::kernel(refusal, failure, verdict).with_retry_after(retry_after);
                self.tools.metrics.refused(refusal, verdict);
                self.refuse(request, &notice, verdict, refusal.name());
            }
            Action::Forget { request } => {
                if let Some(entry) = self.entries.remove(&request) {
                    entry.forget();
                }
            }
            Action::Retry { request, failure } => {
                self.record_of(request, Deed::Retried { failure });
                self.tools.metrics.retried(failure);
            }
            Action::Drained => self.tools.state.set_drained(),
        }
    }

    fn refuse(
        &mut self,
        request: id::Request,
        notice: &Notice,
        verdict: Verdict,
        reason: &'static str,
    ) {
        let Some(entry) = self.entries.get(&request) else {
            return;
        };
        log::info!(
            request = &*entry.call.name, customer = &*entry.call.customer, reason = reason;
            "refused, {}", verdict.name()
        );
        // Before the caller knows, so that its next try finds the claim settled.
        entry.settle(match verdict {
            Verdict::NotRun => Fate::NotRun,
            Verdict::MayHaveRun | Verdict::Ran => Fate::Unsure,
        });
        entry.call.sink.finish(notice.parts(&entry.call.name));
    }

    fn dispatch(&mut self, request: id::Request, number: u32, target: id::Target) {
        let place = self.place(request, target);
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        let (Some(place), Some(permit)) = (place, entry.send()) else {
            log::error!(request = &*entry.call.name; "attempt {number} cannot be sent");
            return self.unsent(request, number);
        };
        if number == 1 {
            let arrived = entry.subject().arrived;
            let waited = self.tools.clock.now().since(arrived);
            self.tools.metrics.waited(waited);
        }
        let reporter = Reporter {
            call: Arc::clone(&entry.call),
            number,
            subject: entry.subject(),
            place: target,
            target: Arc::clone(&place.name),
            inbox: self.tools.inbox.clone(),
            report: Report::unknown(),
        };
        let metrics = Arc::clone(&self.tools.metrics);
        let attempt = Attempt::new(permit, number, place, metrics);
        entry.run(number, target, attempt.exchange());
        self.record_of(
            request,
            Deed::Dispatched {
                attempt: number,
                target,
            },
        );
        let job = move || reporter::run(attempt, reporter);
        if let Err(err) = self.tools.workers.run(job) {
            // The job was dropped, and its reporter has told the end.
            log::error!("no thread for an attempt: {err}");
        }
    }

    fn place(&self, request: id::Request, target: id::Target) -> Option<Place> {
        let table = self.table.as_ref()?;
        let row = table.targets.get(target.row())?;
        let service = self.entries.get(&request)?.arrival.service;
        Some(Place {
            name: Arc::clone(&row.name),
            address: row.address,
            timeout: table.services.get(service.row())?.timeout,
        })
    }

    /// Reports an attempt that this router could not begin.
    fn unsent(&self, request: id::Request, attempt: u32) {
        let outcome = Outcome::Failed {
            verdict: Verdict::MayHaveRun,
            failure: Failure::Cancelled,
            units: 0,
            delivered: false,
        };
        let event = Event::Ended {
            request,
            attempt,
            outcome,
        };
        // The inbox is the driver's own and lives as long as it does.
        let _ = self.tools.inbox.send(Input::Event(event));
    }

    /// Ends what is left when the router stops.
    fn abandon(&mut self) {
        for entry in self.entries.values_mut() {
            entry.call.sink.finish(Vec::new());
        }
    }
}

/// An attempt whose request was forgotten can still prove that it did not run.
fn settle_late(end: &End) {
    if let Some(ticket) = &end.call.ticket
        && end.report.proof.is_some()
    {
        ticket.settle(Fate::NotRun);
    }
}
