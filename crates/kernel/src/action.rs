//! Actions: the output of the kernel.
//!
//! The driver carries out actions in order. The kernel waits for no result: the
//! outcome of an action arrives as an event, or not at all.

use std::time::Duration;

use crate::id::{Request, Target};
use crate::key::Key;
use crate::message::Message;
use crate::verdict::{Failure, Refusal, Verdict};

/// An action for the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send messages to another router in one frame, without guarantee of delivery.
    Send {
        /// Key of the receiver's name.
        to: Key,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Send the request to a target.
    Dispatch {
        /// The request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The target.
        target: Target,
    },
    /// Cancel an attempt at its target; later events of it are ignored.
    Cancel {
        /// The request.
        request: Request,
        /// The attempt.
        attempt: u32,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        request: Request,
        /// The reason.
        refusal: Refusal,
        /// The failure of the last attempt, if there was one.
        failure: Option<Failure>,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Time after which the caller may retry, if known.
        retry_after: Option<Duration>,
    },
    /// The request is complete; the driver may release its state.
    Forget {
        /// The request.
        request: Request,
    },
    /// A failed attempt will be retried.
    Retry {
        /// The request.
        request: Request,
        /// The failure of the attempt.
        failure: Failure,
    },
    /// The drain is complete: no requests run or wait, and all charges are counted.
    Drained,
}
