//! Why a request went where it went.
//!
//! The driver writes down each decision on a request as it carries it out, in a
//! `ring::Ring` of fixed-size records: when, which request, which step. Names
//! are looked up only when somebody asks, so a record costs no allocation, and
//! the ring's bound is the bound on memory. Neither prompts nor keys come here.
//!
//! A request's id begins with the name of the router that took it, see
//! [`Id`]. A router that is asked about a request of another one therefore can
//! say whom to ask without any message between them. What was refused at the
//! edge, before the driver knew of it, stands in the log lines only.

pub(crate) mod ring;

use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::state;

/// Steps told at most of one customer or target, the latest.
pub const STEPS: usize = 100;

/// The parts of a request's id: `NAME-INCARNATION-NUMBER`, the second in hex.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Id {
    /// Name of the router that took the request.
    pub router: Arc<str>,
    /// The incarnation of that router.
    pub incarnation: u64,
    /// The number of the request there.
    pub number: u64,
}

impl Id {
    /// The id that a text writes, if it is one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(3, '-');
        let number = parts.next()?.parse().ok()?;
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let router = parts.next().filter(|name| !name.is_empty())?;
        Some(Self {
            router: Arc::from(router),
            incarnation,
            number,
        })
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            router,
            incarnation,
            number,
        } = self;
        write!(f, "{router}-{incarnation:x}-{number}")
    }
}

/// What somebody asks about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// A request, by its id.
    Request(String),
    /// A customer, by its name.
    Customer(String),
    /// A target, by its name.
    Target(String),
}

/// What a router tells.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Answer {
    /// Of a request.
    Request(Box<Request>),
    /// Of a customer.
    Customer(Customer),
    /// Of a target.
    Target(Target),
    /// Nothing.
    Unknown(Unknown),
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It waits, at first or before a retry.
    Waiting,
    /// An attempt runs.
    Running,
    /// It is over.
    Over,
}

/// What is known of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// The router that tells.
    pub instance: Arc<str>,
    /// The request's id.
    pub request: String,
    /// Where it stands.
    pub stage: Stage,
    /// Milliseconds since it arrived, while it is not over.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Its steps, the oldest first; the ring may have lost early ones.
    pub steps: Vec<Step>,
    /// While it waits: the accounts of its customer.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<state::Customer>,
    /// While it waits: the targets that could run it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<state::Target>,
}

/// What is known of a customer.
#[derive(Clone, Debug, Serialize)]
pub struct Customer {
    /// The router that tells.
    pub instance: Arc<str>,
    /// The customer.
    pub customer: Arc<str>,
    /// Its accounts.
    pub accounts: Vec<state::Customer>,
    /// Its requests that wait here.
    pub waiting: usize,
    /// Its requests that run from here.
    pub running: usize,
    /// Milliseconds since the oldest that waits has arrived.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub oldest_waiting_ms: Option<u64>,
    /// The latest steps, the oldest first.
    pub steps: Vec<Step>,
}

/// What is known of a target.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// The router that tells.
    pub instance: Arc<str>,
    /// The target.
    pub target: state::Target,
    /// Requests that run there from here.
    pub running: usize,
    /// The latest steps, the oldest first.
    pub steps: Vec<Step>,
}

/// One decision on a request.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Milliseconds since the router started.
    pub at_ms: u64,
    /// Milliseconds since the request arrived.
    pub after_ms: u64,
    /// The request.
    pub request: String,
    /// Its customer.
    pub customer: Arc<str>,
    /// `arrived`, `queued`, `dispatched`, `ended`, `retried`, `refused` or `left`.
    pub step: &'static str,
    /// What the step was about.
    #[serde(flatten)]
    pub detail: Detail,
}

/// What a step was about, as far as it applies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Detail {
    /// The service asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Number of the attempt, from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// The target of the attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Arc<str>>,
    /// How the attempt ended, or why it is tried again: `whole` or a failure.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub end: Option<&'static str>,
    /// Why the request was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
    /// Whether the request may have run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub verdict: Option<&'static str>,
    /// Units of service used by the attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub units: Option<u32>,
}

/// Why a router has nothing to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// The id names another router, which is the one to ask.
    OtherRouter,
    /// The id names an earlier run of this router; its records ended with it.
    EarlierRun,
    /// The request was refused at the edge, or its records were overwritten.
    NoRecord,
    /// The text is no request's id.
    NoId,
    /// The configuration in force here has no such name.
    NoSuchName,
}

/// A router that has nothing to tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unknown {
    /// The router that was asked.
    pub instance: Arc<str>,
    /// Why it has nothing to tell.
    pub unknown: Why,
    /// The router to ask.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub router: Option<Arc<str>>,
}
