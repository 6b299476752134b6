//! Requests that this router has put to owners, and what is still to be said of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::message::{Grant, Wait};
use tokio::sync::mpsc;

/// Reports in which a router says that it uses a place: one may be lost, and both come before the
/// lease lapses.
const CONFIRMATIONS: u32 = 2;

/// How long it is remembered when a request was put that was given up.
const LATE_MOST: Duration = Duration::from_secs(2);

/// What an owner answers.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// A place.
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

/// Requests that have been put to owners.
#[derive(Debug, Default)]
pub struct Pending {
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, mpsc::UnboundedSender<Answer>>>,
    /// Requests that were given up without a place, and when they were first put.
    given_up: RefCell<HashMap<u64, Duration>>,
    late: Cell<Late>,
    /// Places that are used, by the routers that gave them.
    accepted: RefCell<HashMap<SocketAddr, Vec<Accepted>>>,
}

/// A place that is used, and how often its giver has been told so.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    number: u64,
    told: u32,
}

/// Answers that came after their requests had been given up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Late {
    pub(crate) answers: u32,
    /// Of these, places.
    pub(crate) places: u32,
    /// Sum of the times from asking to the answer.
    pub(crate) time: Duration,
    pub(crate) longest: Duration,
}

impl Pending {
    /// A request is put to an owner: its number, and where its answers come.
    pub(crate) fn put(&self) -> (u64, mpsc::UnboundedReceiver<Answer>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answers) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(number, sender);
        (number, answers)
    }

    /// Hands an answer to its request; false if that waits no longer.
    pub(crate) fn answer(&self, number: u64, answer: Answer) -> bool {
        let waiting = self.waiting.borrow().get(&number).cloned();
        waiting.is_some_and(|it| it.send(answer).is_ok())
    }

    /// A request waits no longer.
    pub(crate) fn close(&self, number: u64) {
        self.waiting.borrow_mut().remove(&number);
    }

    /// A request that was first put at `asked` has been given up without a place.
    pub(crate) fn give_up(&self, number: u64, asked: Duration) {
        self.given_up.borrow_mut().insert(number, asked);
    }

    /// Tells with the next reports that a place is used.
    pub(crate) fn accept(&self, giver: SocketAddr, number: u64) {
        let mut accepted = self.accepted.borrow_mut();
        let accepted = accepted.entry(giver).or_default();
        accepted.push(Accepted { number, told: 0 });
    }

    /// Numbers of places that are used, for the next report to each router that gave some.
    pub(crate) fn confirmations(&self) -> HashMap<SocketAddr, Vec<u64>> {
        let mut accepted = self.accepted.borrow_mut();
        accepted.retain(|_, it| {
            it.retain(|it| it.told < CONFIRMATIONS);
            !it.is_empty()
        });
        let mut numbers = HashMap::new();
        for (giver, accepted) in accepted.iter_mut() {
            for it in accepted.iter_mut() {
                it.told += 1;
            }
            let told = accepted.iter().map(|it| it.number);
            numbers.insert(*giver, told.collect());
        }
        numbers
    }

    /// Late answers since the last call; forgets requests of which none will come.
    pub(crate) fn take_late(&self, now: Duration) -> Late {
        let mut given_up = self.given_up.borrow_mut();
        given_up.retain(|_, at| now.saturating_sub(*at) < LATE_MOST);
        self.late.take()
    }

    /// Notes an answer to a request that was given up; how late it is, if that is known.
    pub(crate) fn note_late(
        &self,
        number: u64,
        answer: &Answer,
        now: Duration,
    ) -> Option<Duration> {
        let asked = self.given_up.borrow_mut().remove(&number)?;
        let time = now.saturating_sub(asked);
        let mut late = self.late.get();
        late.answers += 1;
        late.places += u32::from(matches!(answer, Answer::Grant(_)));
        late.time += time;
        late.longest = late.longest.max(time);
        self.late.set(late);
        Some(time)
    }
}
