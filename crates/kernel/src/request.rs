//! The state of a request at this router, as a typestate.
//!
//! A request is [`Waiting`], then [`Sent`]. Only a waiting request can be sent,
//! which consumes it. A sent one becomes waiting again only through
//! [`Request::failed`], which takes a verdict and returns the request for a retry
//! only if it did not run or may be repeated. Code outside that function that
//! resends any other request does not compile.

use crate::account::Meter;
use crate::event::Arrival;
use crate::id::Target;
use crate::time::Instant;
use crate::verdict::Verdict;

/// Not sent yet, or to be retried.
#[derive(Clone, Copy, Debug)]
pub struct Waiting;

/// Sent to a target; it may be running.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The target of the attempt.
    pub target: Target,
    /// Meter of its charge.
    pub meter: Meter,
    /// Time at which it was sent.
    pub sent_at: Instant,
}

/// A request in one stage.
#[derive(Clone, Debug)]
pub struct Request<Stage> {
    /// The arrival.
    pub arrival: Arrival,
    /// Time of its arrival.
    pub arrived: Instant,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The worst verdict of all attempts so far.
    pub worst_verdict: Verdict,
    /// The stage.
    pub stage: Stage,
}

impl Request<Waiting> {
    /// A request that has just arrived.
    #[must_use]
    pub const fn new(arrival: Arrival, arrived: Instant) -> Self {
        Self {
            arrival,
            arrived,
            attempts: 0,
            worst_verdict: Verdict::NotRun,
            stage: Waiting,
        }
    }

    /// Marks the request as sent to a target and counts the attempt.
    #[must_use]
    pub fn send(self, sent_at: Instant, target: Target, meter: Meter) -> Request<Sent> {
        Request {
            arrival: self.arrival,
            arrived: self.arrived,
            attempts: self.attempts + 1,
            worst_verdict: self.worst_verdict,
            stage: Sent {
                target,
                meter,
                sent_at,
            },
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The request may be retried: it did not run or is repeatable, and the caller has
    /// received nothing.
    Retry(Request<Waiting>),
    /// The request may not be retried.
    Stop,
}

impl Request<Sent> {
    /// Ends a failed attempt. A retry is allowed if the request did not run or is
    /// repeatable, and no byte of an answer was `delivered` to the caller.
    #[must_use]
    pub fn failed(self, verdict: Verdict, delivered: bool) -> Decision {
        let retriable = verdict == Verdict::NotRun || self.arrival.repeatable;
        if delivered || !retriable {
            return Decision::Stop;
        }
        Decision::Retry(Request {
            arrival: self.arrival,
            arrived: self.arrived,
            attempts: self.attempts,
            worst_verdict: self.worst_verdict.max(verdict),
            stage: Waiting,
        })
    }
}

/// A request in any stage.
#[derive(Clone, Debug)]
pub enum State {
    /// Waiting in the queue.
    Waiting(Request<Waiting>),
    /// Waiting for the end of its backoff.
    Backoff(Request<Waiting>),
    /// Sent to a target.
    Sent(Request<Sent>),
}
