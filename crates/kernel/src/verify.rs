//! Invariants of one kernel, checked independently of the code that maintains them.
//!
//! Tests call [`check`] after every step. It recomputes all state from the requests
//! themselves, in the simplest way, regardless of speed.

use std::collections::BTreeMap;

use crate::id::{Customer, Pool, Request, Target};
use crate::kernel::Kernel;
use crate::request::State;
use crate::settings::Admission;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The first request of a backlog is not waiting.
    FrontNotWaiting(Request),
    /// The queue's length differs from the number of waiting requests.
    QueueLength {
        /// Requests in the queue.
        queued: usize,
        /// Requests in the waiting state.
        waiting: usize,
    },
    /// The slots in use at a target differ from the requests sent to it.
    Busy {
        /// The target.
        target: Target,
        /// Slots in use.
        busy: u32,
        /// Requests sent.
        sent: u32,
    },
    /// An account's count of waiting requests is wrong.
    Queued {
        /// The pool.
        pool: Pool,
        /// The customer.
        customer: Customer,
    },
    /// An owner has granted more than twice the slots of a target.
    Overgranted {
        /// The target.
        target: Target,
        /// Slots granted.
        held: u32,
    },
}

/// Returns every violated invariant.
#[must_use]
pub fn check(kernel: &Kernel) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_queue(kernel, &mut violations);
    check_busy(kernel, &mut violations);
    check_accounts(kernel, &mut violations);
    check_grants(kernel, &mut violations);
    violations
}

fn check_queue(kernel: &Kernel, violations: &mut Vec<Violation>) {
    let mut waiting = 0;
    for (request, state) in kernel.requests() {
        if let State::Waiting(_) = state {
            waiting += 1;
            let _ = request;
        }
    }
    let length: usize = kernel
        .queue()
        .lanes()
        .flat_map(|(_, backlogs)| backlogs.values())
        .map(crate::queue::Backlog::len)
        .sum();
    if length != waiting || kernel.queue().len() != waiting {
        violations.push(Violation::QueueLength {
            queued: length,
            waiting,
        });
    }
    for (_, backlogs) in kernel.queue().lanes() {
        for backlog in backlogs.values() {
            let Some(front) = backlog.front() else {
                continue;
            };
            let found = kernel
                .requests()
                .any(|(request, state)| request == front && matches!(state, State::Waiting(_)));
            if !found {
                violations.push(Violation::FrontNotWaiting(front));
            }
        }
    }
}

fn check_busy(kernel: &Kernel, violations: &mut Vec<Violation>) {
    let mut sent: BTreeMap<Target, u32> = BTreeMap::new();
    for (_, state) in kernel.requests() {
        if let State::Sent(request) = state {
            *sent.entry(request.stage.target).or_default() += 1;
        }
    }
    for (target, holding) in kernel.holder().all() {
        let count = sent.get(&target).copied().unwrap_or(0);
        if holding.busy != count {
            violations.push(Violation::Busy {
                target,
                busy: holding.busy,
                sent: count,
            });
        }
    }
}

fn check_accounts(kernel: &Kernel, violations: &mut Vec<Violation>) {
    let Some(table) = kernel.table() else {
        return;
    };
    let mut waiting: BTreeMap<(Pool, Customer), u32> = BTreeMap::new();
    for (_, state) in kernel.requests() {
        if let State::Waiting(request) = state {
            let pool = table.pool(request.arrival.service);
            *waiting.entry((pool, request.arrival.customer)).or_default() += 1;
        }
    }
    for (pool, customer, account) in kernel.book().all() {
        let count = waiting.get(&(pool, customer)).copied().unwrap_or(0);
        if account.queued != count {
            violations.push(Violation::Queued { pool, customer });
        }
    }
}

fn check_grants(kernel: &Kernel, violations: &mut Vec<Violation>) {
    let Some(table) = kernel.table() else {
        return;
    };
    if kernel.settings().admission != Admission::Owner {
        return;
    }
    for target in kernel.owner().targets() {
        let held = kernel.owner().held(target).unwrap_or(0);
        // While two routers both act as owner of a target, up to twice its slots are granted.
        if held > table.targets[target.row()].slots * 2 {
            violations.push(Violation::Overgranted { target, held });
        }
    }
}
