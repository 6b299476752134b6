//! Requests that the driver keeps until the kernel forgets them.
//!
//! An entry holds the life of its request as one of four types. The kernel
//! decides when to send; the types decide whether that can be done at all.

use std::sync::Arc;

use dunlinward_kernel::event::{Arrival, Outcome};
use dunlinward_kernel::id;
use dunlinward_kernel::time::Instant;
use dunlinward_kernel::verdict::Verdict;

use crate::call::{Admitted, Call, Once, Permit, Repeatable, Sent};
use crate::explain::ring::Subject;
use crate::idempotency::Fate;
use crate::targets::Report;
use crate::targets::transport::Exchange;

/// The life of a request.
#[derive(Debug)]
enum Life {
    Repeatable(Admitted<Repeatable>),
    RepeatableSent(Sent<Repeatable>),
    Once(Admitted<Once>),
    OnceSent(Sent<Once>),
}

/// An attempt that runs.
#[derive(Debug)]
struct Running {
    number: u32,
    target: id::Target,
    exchange: Exchange,
}

/// A request at the driver.
#[derive(Debug)]
pub(crate) struct Entry {
    /// What was asked for.
    pub call: Arc<Call>,
    /// What the kernel is told at first.
    pub arrival: Arrival,
    arrived: Instant,
    life: Option<Life>,
    running: Option<Running>,
    units: u64,
}

impl Entry {
    /// A request that arrived at `arrived`.
    pub fn new(call: Arc<Call>, arrival: Arrival, arrived: Instant) -> Self {
        let life = if arrival.repeatable {
            Life::Repeatable(Admitted::new(Arc::clone(&call)))
        } else {
            Life::Once(Admitted::new(Arc::clone(&call)))
        };
        Self {
            call,
            arrival,
            arrived,
            life: Some(life),
            running: None,
            units: 0,
        }
    }

    /// The request as records name it.
    pub fn subject(&self) -> Subject {
        Subject {
            request: self.call.request,
            customer: self.arrival.customer,
            arrived: self.arrived,
        }
    }

    /// The right to send the request, if it can be sent now.
    pub fn send(&mut self) -> Option<Permit> {
        let (life, permit) = match self.life.take()? {
            Life::Repeatable(admitted) => {
                let (sent, permit) = admitted.send();
                (Life::RepeatableSent(sent), Some(permit))
            }
            Life::Once(admitted) => {
                let (sent, permit) = admitted.send();
                (Life::OnceSent(sent), Some(permit))
            }
            sent => (sent, None),
        };
        self.life = Some(life);
        permit
    }

    /// Notes the attempt that runs.
    pub fn run(&mut self, number: u32, target: id::Target, exchange: Exchange) {
        self.call.sink.select(number);
        self.running = Some(Running {
            number,
            target,
            exchange,
        });
        self.units = 0;
    }

    /// Takes the units of service that an attempt has used, and gives those
    /// that were not known before.
    pub fn progress(&mut self, number: u32, units: u64) -> u64 {
        if !self.runs(number) {
            return 0;
        }
        let new = units.saturating_sub(self.units);
        self.units = self.units.max(units);
        new
    }

    /// Whether an attempt is the one that runs.
    pub fn runs(&self, number: u32) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| running.number == number)
    }

    /// Whether an attempt runs.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// The target of the attempt that runs.
    pub fn runs_at(&self) -> Option<id::Target> {
        self.running.as_ref().map(|running| running.target)
    }

    /// Breaks an attempt off.
    pub fn cancel(&mut self, number: u32) {
        if self.runs(number)
            && let Some(running) = &self.running
        {
            self.call.sink.select(u32::MAX);
            running.exchange.abort();
        }
    }

    /// Takes the end of an attempt: what may follow depends on its kind.
    pub fn end(&mut self, number: u32, report: &mut Report) {
        if !self.runs(number) {
            return;
        }
        self.running = None;
        let delivered = matches!(
            report.outcome,
            Outcome::Completed { .. }
                | Outcome::Failed {
                    delivered: true,
                    ..
                }
        );
        self.life = self
            .life
            .take()
            .map(|life| match (life, report.proof.take()) {
                (Life::RepeatableSent(sent), Some(proof)) => Life::Repeatable(sent.not_run(proof)),
                (Life::OnceSent(sent), Some(proof)) => Life::Once(sent.not_run(proof)),
                (Life::RepeatableSent(sent), None) if !delivered => Life::Repeatable(sent.again()),
                (life, _) => life,
            });
    }

    /// Settles the claim by what the kernel told the caller.
    pub fn settle(&self, fate: Fate) {
        if let Some(ticket) = &self.call.ticket {
            ticket.settle(fate);
        }
    }

    /// Whether the request may have run so far.
    pub fn verdict(&self) -> Verdict {
        match self.life {
            Some(Life::Once(_) | Life::Repeatable(_)) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Settles the claim by the life's state, when nothing else did.
    pub fn forget(&self) {
        self.settle(match self.verdict() {
            Verdict::NotRun => Fate::NotRun,
            Verdict::MayHaveRun | Verdict::Ran => Fate::Unsure,
        });
    }
}
