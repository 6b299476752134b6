//! Giving slots out, and asking for them back.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{GRANT_LOST, Owner, Unseen};
use crate::account::{Book, Rank};
use crate::id::{Customer, Target};
use crate::key::Key;
use crate::message::{Grant, Message, Part, Recall};
use crate::table::Table;
use crate::time::Instant;

impl Owner {
    /// Gives free slots to who comes first in the fair order.
    pub fn fill(
        &mut self,
        now: Instant,
        table: &Table,
        book: &mut Book,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let targets: Vec<Target> = self.owned.keys().copied().collect();
        for target in targets {
            self.ask_after(now, table, target, outbox);
            self.reduce(now, table, target, outbox);
            self.fill_target(now, table, book, target, outbox);
        }
    }

    /// Asks entries that do not say whether a grant has come, or whether they still
    /// hold what they said: it may be lost, or they may have restarted unheard.
    fn ask_after(
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
        for (entry, grantee) in &mut owned.grantees {
            let lately = grantee.asked.is_some_and(|at| now.since(at) < GRANT_LOST);
            if !lately && grantee.is_silent(now) {
                grantee.asked = Some(now);
                outbox.push((
                    *entry,
                    Message::Recall(Recall {
                        target: key,
                        count: 0,
                    }),
                ));
            }
        }
    }

    /// Asks slots back that were given out twice, once a second, those first who hold
    /// most: what a change of owners doubled would otherwise stay so.
    fn reduce(
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
        let lately = owned
            .reduced
            .is_some_and(|at| now.since(at) < Duration::from_secs(1));
        if excess == 0 || lately {
            return;
        }
        owned.reduced = Some(now);
        let mut holders: Vec<(u32, Key)> = owned
            .grantees
            .iter()
            .map(|(entry, grantee)| (grantee.stated, *entry))
            .collect();
        holders.sort_unstable();
        for (held, entry) in holders.into_iter().rev() {
            let count = held.min(excess);
            if count == 0 {
                return;
            }
            excess -= count;
            let target = row.key;
            outbox.push((entry, Message::Recall(Recall { target, count })));
        }
    }

    fn fill_target(
        &mut self,
        now: Instant,
        table: &Table,
        book: &mut Book,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let row = &table.targets[target.row()];
        let wanted = self.wanted(table, target);
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        if now < owned.open_at || !row.accepts_work() || !wanted {
            // Nothing to wait for; a time that is kept would wake the router without end.
            owned.gather = None;
            return;
        }
        let mut free = row.slots.saturating_sub(owned.held());
        if !owned.ready(now, free) {
            return;
        }
        let mut given: BTreeMap<Key, Vec<Part>> = BTreeMap::new();
        while free > 0 {
            let Some((entry, customer)) = self.next(now, table, book, target) else {
                break;
            };
            add(
                given.entry(entry).or_default(),
                table.customers[customer.row()].key,
            );
            free -= 1;
        }
        for (entry, parts) in given {
            let message = self.grant(now, table, target, entry, parts);
            outbox.push((entry, message));
        }
        // Holders that know of waiting customers give unused slots back by themselves.
        let known = row
            .services
            .iter()
            .any(|service| book.frontier(table.pool(*service)).is_some());
        if free == 0 && !known {
            self.recall(now, table, target, outbox);
        }
    }

    /// Whether an entry has said lately that it cannot reach a target.
    fn shuns(&self, now: Instant, entry: Key, target: Target) -> bool {
        self.owned
            .get(&target)
            .and_then(|owned| owned.grantees.get(&entry))
            .and_then(|grantee| grantee.shuns)
            .is_some_and(|until| now < until)
    }

    /// Takes the wish that comes first and charges it provisionally.
    fn next(
        &mut self,
        now: Instant,
        table: &Table,
        book: &mut Book,
        target: Target,
    ) -> Option<(Key, Customer)> {
        let mut best: Option<(Rank, u32, Key, usize)> = None;
        for (entry, wishes) in &self.wishes {
            if self.shuns(now, *entry, target) {
                continue;
            }
            for (at, wish) in wishes.rows.iter().enumerate() {
                if wish.count == 0 || !table.serves(target, wish.lane.service, wish.lane.model) {
                    continue;
                }
                let rank = book.rank(table.pool(wish.lane.service), wish.customer);
                let place = (rank, u32::MAX - wish.count, *entry, at);
                if best.is_none_or(|best| place < best) {
                    best = Some(place);
                }
            }
        }
        let (_, _, entry, at) = best?;
        let wish = &mut self.wishes.get_mut(&entry)?.rows[at];
        wish.count -= 1;
        if entry != self.me {
            let pool = table.pool(wish.lane.service);
            let cost = i64::try_from(wish.cost).unwrap_or(i64::MAX);
            book.get_mut(pool, wish.customer).provisional[0] += cost;
        }
        Some((entry, wish.customer))
    }

    fn grant(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        entry: Key,
        parts: Vec<Part>,
    ) -> Message {
        let count = parts.iter().map(|part| part.count).sum();
        let mut sequence = 0;
        if let Some(owned) = self.owned.get_mut(&target) {
            let grantee = owned.grantees.entry(entry).or_default();
            self.sequence += 1;
            sequence = self.sequence;
            grantee.unseen.push_back(Unseen {
                sequence,
                count,
                at: now,
            });
        }
        Message::Grant(Grant {
            target: table.targets[target.row()].key,
            sequence,
            parts,
        })
    }

    /// Asks for unused slots back while somebody waits, once a second at most.
    fn recall(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let waits = self.wanted(table, target);
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let lately = owned
            .recalled
            .is_some_and(|at| now.since(at) < Duration::from_secs(1));
        if !waits || lately {
            return;
        }
        owned.recalled = Some(now);
        let key = table.targets[target.row()].key;
        for (entry, grantee) in &owned.grantees {
            if grantee.held() > 0 {
                outbox.push((
                    *entry,
                    Message::Recall(Recall {
                        target: key,
                        count: 0,
                    }),
                ));
            }
        }
    }
}

fn add(parts: &mut Vec<Part>, customer: Key) {
    match parts.iter_mut().find(|part| part.customer == customer) {
        Some(part) => part.count += 1,
        None => parts.push(Part { customer, count: 1 }),
    }
}
