//! Invariants of one kernel, checked apart from the code that keeps them.
//!
//! Tests call [`check`] after every step. It works everything out again from the
//! requests themselves, the slowest and plainest way.

use std::collections::BTreeMap;

use crate::id::{Customer, Pool, Request, Target};
use crate::kernel::Kernel;
use crate::request::State;
use crate::settings::Admission;

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A waiting request is not in the queue exactly once.
    NotQueuedOnce(Request),
    /// The queue holds more requests than wait.
    QueueLength {
        /// Requests in the queue.
        queued: usize,
        /// Requests waiting.
        waiting: usize,
    },
    /// Slots in use differ from requests sent.
    Busy {
        /// The target.
        target: Target,
        /// Slots in use.
        busy: u32,
        /// Requests sent.
        sent: u32,
    },
    /// The account's count of waiting requests is wrong.
    Queued {
        /// The pool.
        pool: Pool,
        /// The customer.
        customer: Customer,
    },
    /// An owner has given out more slots than a target has.
    Overgranted {
        /// The target.
        target: Target,
        /// Slots given out.
        held: u32,
    },
}

/// Every invariant that does not hold.
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
    for (request, life) in kernel.requests() {
        if let State::Waiting(_) = life {
            waiting += 1;
            let _ = request;
        }
    }
    let lines: usize = kernel
        .queue()
        .lanes()
        .flat_map(|(_, lines)| lines.values())
        .map(crate::queue::Backlog::len)
        .sum();
    if lines != waiting || kernel.queue().len() != waiting {
        violations.push(Violation::QueueLength {
            queued: lines,
            waiting,
        });
    }
    for (_, lines) in kernel.queue().lanes() {
        for line in lines.values() {
            let Some(front) = line.front() else {
                continue;
            };
            let found = kernel
                .requests()
                .any(|(request, life)| request == front && matches!(life, State::Waiting(_)));
            if !found {
                violations.push(Violation::NotQueuedOnce(front));
            }
        }
    }
}

fn check_busy(kernel: &Kernel, violations: &mut Vec<Violation>) {
    let mut sent: BTreeMap<Target, u32> = BTreeMap::new();
    for (_, life) in kernel.requests() {
        if let State::Sent(request) = life {
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
    for (_, life) in kernel.requests() {
        if let State::Waiting(request) = life {
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
        // Twice the slots is the bound while two routers dispute a target.
        if held > table.targets[target.row()].slots * 2 {
            violations.push(Violation::Overgranted { target, held });
        }
    }
}
