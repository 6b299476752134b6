//! The life of a request at this router, as a typestate.
//!
//! A request is [`Waiting`], then [`Sent`]. Only a waiting request can be sent,
//! which consumes it; a sent one becomes waiting again only through
//! [`Request::failed`], which demands a verdict and gives the request back for a
//! second try solely when that cannot run it twice. So a resend of a request that
//! may have run and may not be repeated does not compile outside that function.

use crate::account::Meter;
use crate::event::Arrival;
use crate::id::Target;
use crate::time::Instant;
use crate::verdict::Verdict;

/// Not sent, or known not to have run.
#[derive(Clone, Copy, Debug)]
pub struct Waiting;

/// Sent to a target; it may be running.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Where to.
    pub target: Target,
    /// What it is charged.
    pub meter: Meter,
    /// When it was sent.
    pub at: Instant,
}

/// A request in one stage of its life.
#[derive(Clone, Debug)]
pub struct Request<Stage> {
    /// As it came.
    pub arrival: Arrival,
    /// When it came.
    pub arrived: Instant,
    /// Attempts made so far.
    pub attempts: u32,
    /// The worst verdict of all attempts so far.
    pub worst: Verdict,
    /// The stage.
    pub stage: Stage,
}

impl Request<Waiting> {
    /// A request that has just come.
    #[must_use]
    pub const fn new(arrival: Arrival, arrived: Instant) -> Self {
        Self {
            arrival,
            arrived,
            attempts: 0,
            worst: Verdict::NotRun,
            stage: Waiting,
        }
    }

    /// The request, sent to a target.
    #[must_use]
    pub fn send(self, at: Instant, target: Target, meter: Meter) -> Request<Sent> {
        Request {
            arrival: self.arrival,
            arrived: self.arrived,
            attempts: self.attempts + 1,
            worst: self.worst,
            stage: Sent { target, meter, at },
        }
    }
}

/// What a failed attempt leaves.
#[derive(Clone, Debug)]
pub enum Failed {
    /// It may be tried again without running twice or confusing the caller.
    Again(Request<Waiting>),
    /// It is over.
    Over,
}

impl Request<Sent> {
    /// Ends a failed attempt. Another is allowed when the request did not run, or
    /// is repeatable and the caller has seen no byte of an answer.
    #[must_use]
    pub fn failed(self, verdict: Verdict, delivered: bool) -> Failed {
        let harmless = verdict == Verdict::NotRun || self.arrival.repeatable;
        if delivered || !harmless {
            return Failed::Over;
        }
        Failed::Again(Request {
            arrival: self.arrival,
            arrived: self.arrived,
            attempts: self.attempts,
            worst: self.worst.max(verdict),
            stage: Waiting,
        })
    }
}

/// A request in any stage.
#[derive(Clone, Debug)]
pub enum Life {
    /// Waiting in the queue.
    Waiting(Request<Waiting>),
    /// Waiting for its next try.
    Backoff(Request<Waiting>),
    /// Sent to a target.
    Sent(Request<Sent>),
}
