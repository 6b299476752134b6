//! Granting and recalling slots.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{GRANT_TIMEOUT, Owner, PendingGrant};
use crate::account::{Book, Rank};
use crate::id::{Customer, Target};
use crate::key::Key;
use crate::message::{Allocation, Grant, Message, Recall};
use crate::table::Table;
use crate::time::Instant;

impl Owner {
    /// Grants free slots of all owned targets in the fair order.
    pub fn grant_slots(
        &mut self,
        now: Instant,
        table: &Table,
        book: &mut Book,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let targets: Vec<Target> = self.owned.keys().copied().collect();
        for target in targets {
            self.query_overdue(now, table, target, outbox);
            self.reclaim_excess(now, table, target, outbox);
            self.grant_target(now, table, book, target, outbox);
        }
    }

    /// Queries routers that have not acknowledged a grant or repeated their report in
    /// time: a message may be lost, or the router may have restarted unnoticed.
    fn query_overdue(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let key = table.targets[target.row()].key;
        for (router, grantee) in &mut owned.grantees {
            let recently = grantee
                .queried_at
                .is_some_and(|at| now.since(at) < GRANT_TIMEOUT);
            if !recently && grantee.is_overdue(now) {
                grantee.queried_at = Some(now);
                outbox.push((
                    *router,
                    Message::Recall(Recall {
                        target: key,
                        count: 0,
                    }),
                ));
            }
        }
    }

    /// Recalls slots granted beyond the target's limit, at most once a second, from
    /// the routers that hold most first. Without it, slots granted twice during a
    /// change of owner would stay granted.
    fn reclaim_excess(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let row = &table.targets[target.row()];
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let mut excess = owned.held().saturating_sub(row.slots);
        let recently = owned
            .reclaimed_at
            .is_some_and(|at| now.since(at) < Duration::from_secs(1));
        if excess == 0 || recently {
            return;
        }
        owned.reclaimed_at = Some(now);
        let mut holders: Vec<(u32, Key)> = owned
            .grantees
            .iter()
            .map(|(router, grantee)| (grantee.reported, *router))
            .collect();
        holders.sort_unstable();
        for (held, router) in holders.into_iter().rev() {
            let count = held.min(excess);
            if count == 0 {
                return;
            }
            excess -= count;
            let target = row.key;
            outbox.push((router, Message::Recall(Recall { target, count })));
        }
    }

    fn grant_target(
        &mut self,
        now: Instant,
        table: &Table,
        book: &mut Book,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let row = &table.targets[target.row()];
        let has_demand = self.has_demand(table, target);
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        if now < owned.open_at || !row.accepts_work() || !has_demand {
            // A deadline left in place would wake the driver again and again.
            owned.batch_until = None;
            return;
        }
        let mut free = row.slots.saturating_sub(owned.held());
        if !owned.is_ready(now, free) {
            return;
        }
        let mut granted: BTreeMap<Key, Vec<Allocation>> = BTreeMap::new();
        while free > 0 {
            let Some((router, customer)) = self.take_next(now, table, book, target) else {
                break;
            };
            add_slot(
                granted.entry(router).or_default(),
                table.customers[customer.row()].key,
            );
            free -= 1;
        }
        for (router, allocations) in granted {
            let message = self.grant(now, table, target, router, allocations);
            outbox.push((router, message));
        }
        // Holders that know of waiting customers return unused slots without a recall.
        let known = row
            .services
            .iter()
            .any(|service| book.frontier(table.pool(*service)).is_some());
        if free == 0 && !known {
            self.recall_unused(now, table, target, outbox);
        }
    }

    /// Whether a router has recently reported that it cannot reach a target.
    fn is_backed_off(&self, now: Instant, router: Key, target: Target) -> bool {
        self.owned
            .get(&target)
            .and_then(|owned| owned.grantees.get(&router))
            .and_then(|grantee| grantee.backoff_until)
            .is_some_and(|until| now < until)
    }

    /// Takes one request off the demand that ranks first. For other routers its
    /// estimated cost is charged provisionally.
    fn take_next(
        &mut self,
        now: Instant,
        table: &Table,
        book: &mut Book,
        target: Target,
    ) -> Option<(Key, Customer)> {
        let mut best: Option<(Rank, u32, Key, usize)> = None;
        for (router, demands) in &self.demands {
            if self.is_backed_off(now, *router, target) {
                continue;
            }
            for (index, demand) in demands.rows.iter().enumerate() {
                if demand.count == 0
                    || !table.serves(target, demand.lane.service, demand.lane.model)
                {
                    continue;
                }
                let rank = book.rank(table.pool(demand.lane.service), demand.customer);
                let candidate = (rank, u32::MAX - demand.count, *router, index);
                if best.is_none_or(|best| candidate < best) {
                    best = Some(candidate);
                }
            }
        }
        let (_, _, router, index) = best?;
        let demand = &mut self.demands.get_mut(&router)?.rows[index];
        demand.count -= 1;
        if router != self.me {
            let pool = table.pool(demand.lane.service);
            let cost = i64::try_from(demand.cost).unwrap_or(i64::MAX);
            book.get_mut(pool, demand.customer).provisional[0] += cost;
        }
        Some((router, demand.customer))
    }

    fn grant(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        router: Key,
        allocations: Vec<Allocation>,
    ) -> Message {
        let count = allocations.iter().map(|allocation| allocation.count).sum();
        let mut sequence = 0;
        if let Some(owned) = self.owned.get_mut(&target) {
            let grantee = owned.grantees.entry(router).or_default();
            self.sequence += 1;
            sequence = self.sequence;
            grantee.pending.push_back(PendingGrant {
                sequence,
                count,
                sent_at: now,
            });
        }
        Message::Grant(Grant {
            target: table.targets[target.row()].key,
            sequence,
            allocations,
        })
    }

    /// Recalls unused slots while requests wait, at most once a second.
    fn recall_unused(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let has_demand = self.has_demand(table, target);
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let recently = owned
            .recalled_at
            .is_some_and(|at| now.since(at) < Duration::from_secs(1));
        if !has_demand || recently {
            return;
        }
        owned.recalled_at = Some(now);
        let key = table.targets[target.row()].key;
        for (router, grantee) in &owned.grantees {
            if grantee.held() > 0 {
                outbox.push((
                    *router,
                    Message::Recall(Recall {
                        target: key,
                        count: 0,
                    }),
                ));
            }
        }
    }
}

/// Adds one slot for a customer to the allocations of a grant.
fn add_slot(allocations: &mut Vec<Allocation>, customer: Key) {
    match allocations
        .iter_mut()
        .find(|allocation| allocation.customer == customer)
    {
        Some(allocation) => allocation.count += 1,
        None => allocations.push(Allocation { customer, count: 1 }),
    }
}
