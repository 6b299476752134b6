//! What the kernel asks its driver to do.
//!
//! Actions are carried out in order. None of them needs an answer to be correct:
//! what comes of it returns as an event, or not at all.

use std::time::Duration;

use crate::id::{Request, Target};
use crate::key::Key;
use crate::message::Message;
use crate::verdict::{Failure, Refusal, Verdict};

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send messages to another router in one frame; they may be lost.
    Send {
        /// Key of the receiver's name.
        to: Key,
        /// What to send.
        messages: Vec<Message>,
    },
    /// Send the request to a target.
    Dispatch {
        /// The request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Where to.
        target: Target,
    },
    /// Stop an attempt at its target; its late events will be ignored.
    Cancel {
        /// The request.
        request: Request,
        /// The attempt.
        attempt: u32,
    },
    /// Give the caller its final answer: a refusal.
    Refuse {
        /// The request.
        request: Request,
        /// Why.
        refusal: Refusal,
        /// The failure of the last attempt, if there was one.
        failure: Option<Failure>,
        /// Whether the request may have run.
        verdict: Verdict,
        /// When a new try makes sense, if that can be told.
        retry_after: Option<Duration>,
    },
    /// The request is over; the driver may forget it.
    Forget {
        /// The request.
        request: Request,
    },
    /// A failed attempt will be tried again.
    Retry {
        /// The request.
        request: Request,
        /// The failure that is being retried.
        failure: Failure,
    },
    /// A drain is complete: nothing runs or waits here any more.
    Drained,
}
