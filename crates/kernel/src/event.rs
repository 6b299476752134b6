//! Events: the input of the kernel.
//!
//! Everything that can be delayed, lost, duplicated or reordered is an event, so that
//! a scenario can express each failure. Events about requests or attempts that the
//! kernel no longer knows are ignored and counted; they are not errors.

use std::sync::Arc;

use crate::id::{Customer, Model, Request, Service};
use crate::key::Key;
use crate::membership::Listed;
use crate::message::Message;
use crate::table::Table;
use crate::time::Instant;
use crate::verdict::{Failure, Verdict};

/// Latency class of a request: how soon its caller expects the first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Interactive: the caller expects a quick answer.
    Quick,
    /// Batch: the caller accepts a long wait.
    Long,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The driver's number for the request.
    pub request: Request,
    /// The customer that is charged.
    pub customer: Customer,
    /// The service requested.
    pub service: Service,
    /// The model requested, for services that have models.
    pub model: Option<Model>,
    /// The latency class.
    pub class: Class,
    /// The caller's estimate of the cost in units, if any. Used only as a prior.
    pub hint: Option<u64>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Time after which the caller no longer wants an answer.
    pub deadline: Option<Instant>,
    /// Chained hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix: Vec<u32>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was delivered in full.
    Completed {
        /// Units of service used.
        units: u64,
    },
    /// The attempt failed.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Why it failed.
        failure: Failure,
        /// Units of service used before the failure.
        units: u64,
        /// Whether the caller has received any byte of the answer.
        delivered: bool,
    },
}

/// An event, passed to the kernel with the time at which it happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due no later than [`crate::kernel::Kernel::wake_at`].
    Tick,
    /// A configuration was accepted.
    Configured(Arc<Table>),
    /// The platform's current list of instances.
    Listed(Vec<Listed>),
    /// A caller's request arrived.
    Arrived(Arrival),
    /// The caller disconnected.
    CallerLeft(Request),
    /// An attempt has used service and continues.
    Progressed {
        /// The request.
        request: Request,
        /// The attempt, as numbered in [`crate::action::Action::Dispatch`].
        attempt: u32,
        /// Units of service used so far by this attempt.
        units: u64,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: Request,
        /// The attempt, as numbered in [`crate::action::Action::Dispatch`].
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// Messages from another router, in the order in which its link delivered them.
    Received {
        /// Key of the sender's name.
        from: Key,
        /// Key of the sender's failure domain.
        domain: Key,
        /// The sender's incarnation.
        incarnation: u64,
        /// The messages.
        messages: Vec<Message>,
    },
    /// The link to another router is lost.
    LinkLost(Key),
    /// Stop accepting requests, finish the accepted ones, and hand over the held slots
    /// and the charges.
    Drain,
}
