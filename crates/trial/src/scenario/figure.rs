//! What a script can compare or show.

use dunlinward_kernel::id::{Customer, Service};

use super::script::Value;
use crate::fleet::Fleet;
use crate::inject::End;
use crate::report;

/// A figure of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Figure {
    /// Requests forgotten without an answer.
    Lost,
    /// Second runs of requests that may not be repeated.
    Doubled,
    /// Refusals that said "not run" although it ran.
    FalseNotRun,
    /// Requests answered twice.
    AnsweredTwice,
    /// Requests answered whole.
    Whole,
    /// Refusals, or those with one reason.
    Refused(Option<String>),
    /// Requests whose router crashed.
    CutByCrash,
    /// Requests whose caller left.
    CallersLeft,
    /// Attempts tried again.
    Retries,
    /// Requests with the fleet now.
    Here,
    /// Requests that arrived and ended in no way, and are not with the fleet.
    Unaccounted,
    /// Violations of the fleet's invariants.
    Violations,
    /// Longest time that a slot was free while reachable work waited, in seconds.
    Idle,
    /// The gap between backlogged customers, in units per share.
    Gap,
    /// Slots used while work waited.
    Utilisation,
    /// Runs started at a target.
    Runs(usize),
    /// Whether a router has finished draining.
    Drained(usize),
    /// The most by which a router's accounts differ from what targets have done.
    AccountError,
    /// How a followed request ended.
    End(String),
}

/// Names of figures without an argument.
const PLAIN: &[(&str, Figure)] = &[
    ("lost", Figure::Lost),
    ("doubled", Figure::Doubled),
    ("false_not_run", Figure::FalseNotRun),
    ("answered_twice", Figure::AnsweredTwice),
    ("whole", Figure::Whole),
    ("refused", Figure::Refused(None)),
    ("cut_by_crash", Figure::CutByCrash),
    ("callers_left", Figure::CallersLeft),
    ("retries", Figure::Retries),
    ("here", Figure::Here),
    ("unaccounted", Figure::Unaccounted),
    ("violations", Figure::Violations),
    ("idle", Figure::Idle),
    ("gap", Figure::Gap),
    ("utilisation", Figure::Utilisation),
    ("account_error", Figure::AccountError),
];

impl Figure {
    /// The figure of a name without an argument.
    #[must_use]
    pub fn plain(name: &str) -> Option<Self> {
        let found = PLAIN.iter().find(|(other, _)| *other == name);
        found.map(|(_, figure)| figure.clone())
    }

    /// Its value now, given how followed requests are named.
    #[must_use]
    pub fn measure(&self, fleet: &Fleet, end: impl Fn(&str) -> Option<End>) -> Value {
        let count = match self {
            Self::Lost => fleet.meter.lost,
            Self::Doubled => fleet.meter.doubled,
            Self::FalseNotRun => fleet.meter.false_not_run,
            Self::AnsweredTwice => fleet.inject.answered_twice,
            Self::Whole => fleet.meter.whole,
            Self::Refused(None) => fleet.meter.refused,
            Self::Refused(Some(reason)) => refusals(fleet, reason),
            Self::CutByCrash => fleet.inject.cut_by_crash,
            Self::CallersLeft => fleet.inject.callers_left,
            Self::Retries => fleet.inject.retries,
            Self::Here => fleet.calls.len() as u64,
            Self::Unaccounted => unaccounted(fleet),
            Self::Violations => fleet.inject.watch.violations(),
            Self::Runs(target) => fleet.inject.runs[*target],
            Self::AccountError => account_error(fleet),
            Self::Idle => return Value::Number(fleet.longest_idle().as_secs_f64()),
            Self::Gap => return Value::Number(fleet.meter.gap()),
            Self::Utilisation => return Value::Number(fleet.meter.utilisation()),
            Self::Drained(router) => return word(yes(fleet.inject.drained[*router])),
            Self::End(name) => return word(&end(name).map_or("none".to_owned(), tell)),
        };
        Value::Number(number(count))
    }
}

/// The bound on the gap that the design states for a fleet.
#[must_use]
pub fn bound(fleet: &Fleet) -> f64 {
    report::bound(&fleet.trial)
}

fn refusals(fleet: &Fleet, reason: &str) -> u64 {
    let found = fleet
        .inject
        .refusals
        .iter()
        .find(|(name, _)| **name == reason);
    found.map_or(0, |(_, count)| *count)
}

fn unaccounted(fleet: &Fleet) -> u64 {
    let ended = fleet.meter.whole
        + fleet.meter.refused
        + fleet.meter.lost
        + fleet.inject.cut_by_crash
        + fleet.inject.callers_left;
    let here = fleet.calls.len() as u64;
    fleet.meter.requests.abs_diff(ended + here)
}

/// Over live routers and backlogged customers: what the router has on account
/// against what targets have done for the customer.
fn account_error(fleet: &Fleet) -> u64 {
    let done = fleet.received();
    let mut most = 0;
    for node in fleet.nodes.iter().filter(|node| node.up) {
        for (customer, units) in done.iter().enumerate().take(fleet.trial.backlogged) {
            let service = Service::new(fleet.load.habits[customer].service);
            let pool = fleet.table.pool(service);
            let account = node.kernel.book().get(pool, Customer::new(customer));
            let known = u64::try_from(account.service()).unwrap_or(0);
            most = most.max(known.abs_diff(*units));
        }
    }
    most
}

fn number(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn word(text: &str) -> Value {
    Value::Word(text.to_owned())
}

const fn yes(is: bool) -> &'static str {
    if is { "yes" } else { "no" }
}

fn tell(end: End) -> String {
    match end {
        End::Whole => "whole".to_owned(),
        End::Refused(refusal, verdict) => format!("{}/{}", refusal.name(), verdict.name()),
    }
}
