//! What reaches the kernel.
//!
//! Everything that can be late, lost, doubled or crossed is an event here, so
//! each failure is a line of a scenario. Events about requests or attempts that
//! the kernel no longer knows are ignored and counted, never an error.

use std::sync::Arc;

use crate::id::{Customer, Model, Request, Service};
use crate::key::Key;
use crate::member::Listed;
use crate::message::Message;
use crate::table::Table;
use crate::time::Instant;
use crate::verdict::{Failure, Verdict};

/// How soon a caller expects its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A quick question: its caller watches.
    Quick,
    /// Long work: its caller will wait.
    Long,
}

/// A request as it enters the queue.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The driver's number for the request.
    pub request: Request,
    /// Who is charged.
    pub customer: Customer,
    /// What is asked for.
    pub service: Service,
    /// The model named, for model services.
    pub model: Option<Model>,
    /// The latency class.
    pub class: Class,
    /// The caller's hint at the cost in units, if any: a prior, never trusted.
    pub hint: Option<u64>,
    /// Whether a second run is harmless.
    pub repeatable: bool,
    /// When the caller gives up.
    pub deadline: Option<Instant>,
    /// Chained hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix: Vec<u32>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered; `units` of service were used in all.
    Whole {
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

/// Something that happened, to be passed to the kernel with its time.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at the latest when [`crate::kernel::Kernel::wake_at`] says.
    Tick,
    /// A configuration was accepted.
    Configured(Arc<Table>),
    /// The platform's instance list, as far as it is known.
    Listed(Vec<Listed>),
    /// A caller's request arrived.
    Arrived(Arrival),
    /// The caller went away.
    Left(Request),
    /// An attempt has used `units` of service so far.
    Progressed {
        /// The request.
        request: Request,
        /// The attempt, as numbered in the dispatch.
        attempt: u32,
        /// Units of service used so far by this attempt.
        units: u64,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: Request,
        /// The attempt, as numbered in the dispatch.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// Messages from another router, in the order of its link.
    Received {
        /// Key of the sender's name.
        from: Key,
        /// Key of the sender's failure domain.
        domain: Key,
        /// The sender's incarnation.
        incarnation: u64,
        /// What it sent.
        messages: Vec<Message>,
    },
    /// The link to another router is lost.
    LinkLost(Key),
    /// Stop taking requests, finish what runs, hand over what is held.
    Drain,
}
