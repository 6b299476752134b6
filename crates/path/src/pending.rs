//! Requests sent to owners, and confirmations of places that are still to be sent.
//!
//! An answer names its request by a number alone, and an owner may answer seconds later. A router
//! that has been restarted in the meantime must not take the answer for that of another request,
//! so each start numbers its requests from a random 32-bit value of its own. A number then
//! takes five bytes in a message, as it does at a router that has run for an hour.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::message::{Grant, Wait};
use dunlinward_dispatch::usage::Peer;
use tokio::sync::mpsc;

/// Reports that confirm one place: one may be lost, and both come before the lease expires.
const MAX_CONFIRMATIONS: u32 = 2;

/// Time for which an abandoned request is remembered.
const ABANDONED_RETENTION: Duration = Duration::from_secs(2);

/// An owner's answer.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// A place was granted.
    Grant(Grant),
    /// The request waits.
    Wait(Wait),
}

impl Answer {
    /// Label in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Grant(_) => "place",
            Self::Wait(_) => "wait",
        }
    }
}

/// An owner's answer, and the router that sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub(crate) from: SocketAddr,
    pub(crate) answer: Answer,
}

/// Requests that were sent to owners.
#[derive(Debug)]
pub struct Pending {
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    /// Requests that were abandoned without a place, and when they were first sent.
    abandoned: RefCell<HashMap<u64, Duration>>,
    late: Cell<Late>,
    /// Places that are used, by the routers that granted them.
    accepted: RefCell<HashMap<SocketAddr, Vec<Accepted>>>,
}

/// A place that is used, and the number of reports that have confirmed it.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    number: u64,
    reports: u32,
}

/// Answers that came after their requests had been abandoned.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Late {
    pub(crate) answers: u32,
    /// Number of answers that granted a place.
    pub(crate) places: u32,
    /// Sum of the times from the request to the answer.
    pub(crate) total: Duration,
    pub(crate) longest: Duration,
}

impl Pending {
    /// Creates a table of no requests, for the start of a router with this identity.
    pub(crate) fn new(start: Peer) -> Self {
        Self {
            next: Cell::new(start.0 >> 32),
            waiting: RefCell::default(),
            abandoned: RefCell::default(),
            late: Cell::default(),
            accepted: RefCell::default(),
        }
    }

    /// Registers a request: its number, and the channel of its answers.
    pub(crate) fn register(&self) -> (u64, mpsc::UnboundedReceiver<Reply>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answers) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(number, sender);
        (number, answers)
    }

    /// Delivers an answer to its request; false if that no longer waits.
    pub(crate) fn deliver(&self, number: u64, reply: Reply) -> bool {
        let waiting = self.waiting.borrow().get(&number).cloned();
        waiting.is_some_and(|it| it.send(reply).is_ok())
    }

    /// Removes a request that no longer waits.
    pub(crate) fn remove(&self, number: u64) {
        self.waiting.borrow_mut().remove(&number);
    }

    /// Records that a request first sent at `asked` was abandoned without a place.
    pub(crate) fn abandon(&self, number: u64, asked: Duration) {
        self.abandoned.borrow_mut().insert(number, asked);
    }

    /// Adds a place that is used to the next reports.
    pub(crate) fn confirm(&self, granter: SocketAddr, number: u64) {
        let mut accepted = self.accepted.borrow_mut();
        let accepted = accepted.entry(granter).or_default();
        accepted.push(Accepted { number, reports: 0 });
    }

    /// Numbers of places to confirm in the next report to each router that granted some.
    pub(crate) fn confirmations(&self) -> HashMap<SocketAddr, Vec<u64>> {
        let mut accepted = self.accepted.borrow_mut();
        accepted.retain(|_, it| {
            it.retain(|it| it.reports < MAX_CONFIRMATIONS);
            !it.is_empty()
        });
        let mut numbers = HashMap::new();
        for (granter, accepted) in accepted.iter_mut() {
            for it in accepted.iter_mut() {
                it.reports += 1;
            }
            let confirmed = accepted.iter().map(|it| it.number);
            numbers.insert(*granter, confirmed.collect());
        }
        numbers
    }

    /// Late answers since the last call; removes requests that are too old to be answered.
    pub(crate) fn take_late(&self, now: Duration) -> Late {
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|_, at| now.saturating_sub(*at) < ABANDONED_RETENTION);
        self.late.take()
    }

    /// Records an answer to an abandoned request; returns the time since that was first sent, if
    /// known.
    pub(crate) fn record_late(
        &self,
        number: u64,
        answer: &Answer,
        now: Duration,
    ) -> Option<Duration> {
        let asked = self.abandoned.borrow_mut().remove(&number)?;
        let time = now.saturating_sub(asked);
        let mut late = self.late.get();
        late.answers += 1;
        late.places += u32::from(matches!(answer, Answer::Grant(_)));
        late.total += time;
        late.longest = late.longest.max(time);
        self.late.set(late);
        Some(time)
    }
}
