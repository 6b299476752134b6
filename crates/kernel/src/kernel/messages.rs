//! Messages to and from other routers, membership, account rounds and draining.

use std::sync::Arc;

use super::{Batch, Kernel};
use crate::action::Action;
use crate::key::Key;
use crate::membership::{Contact, Listed};
use crate::message::{Grant, Hold, Message};
use crate::request::State;
use crate::round::Scope;
use crate::settings::Admission;
use crate::table::Table;
use crate::time::Instant;

impl Kernel {
    pub(super) fn apply_listing(&mut self, now: Instant, listed: &[Listed]) {
        self.view.apply_list(listed);
        self.view.prune(now);
    }

    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: Key,
        domain: Key,
        incarnation: u64,
        messages: Vec<Message>,
    ) {
        match self.view.record_message(now, from, domain, incarnation) {
            Contact::Stale => {
                self.dropped.stale_messages += messages.len() as u64;
                return;
            }
            Contact::Restarted => self.discard_router(now, from),
            Contact::Same | Contact::Back => {}
        }
        for message in messages {
            self.handle_message(now, from, message);
        }
    }

    /// Handles the restart of a router: its holdings ended with its earlier run, and as an
    /// owner it has lost the record of its grants.
    fn discard_router(&mut self, now: Instant, router: Key) {
        self.owner.remove_router(router);
        if let Some(table) = self.table.clone() {
            self.holder
                .owner_restarted(now, &table, router, &mut self.outbox);
        }
    }

    fn handle_message(&mut self, now: Instant, from: Key, message: Message) {
        let Some(table) = self.table.clone() else {
            return;
        };
        match message {
            Message::Broadcast(down) => {
                self.with_rounds(now, &table, |rounds, scope| {
                    rounds.down(now, from, down, scope);
                });
                self.owner_orders.clear();
            }
            Message::Aggregate(up) => {
                self.with_rounds(now, &table, |rounds, scope| {
                    rounds.up(from, &up, scope);
                });
            }
            Message::Total(total) => {
                self.with_rounds(now, &table, |rounds, scope| {
                    rounds.total_received(now, from, &total, scope);
                });
            }
            Message::Probe => {
                self.with_rounds(now, &table, |rounds, scope| rounds.probed(from, scope));
            }
            Message::Demand(demand) => self.owner.record_demand(&table, from, &demand),
            Message::Grant(grant) => self.apply_grant(now, &table, from, &grant),
            Message::Hold(hold) => match table.target_by_key(hold.target) {
                Some(target) => self.owner.record_hold(now, from, target, &hold),
                None => self.dropped.unknown_names += 1,
            },
            Message::Recall(recall) => {
                if table.target_by_key(recall.target).is_none() {
                    self.dropped.unknown_names += 1;
                }
                self.holder
                    .recall(now, &table, recall, from, &mut self.outbox);
            }
            Message::Leaving => self.view.mark_leaving(from),
        }
    }

    fn apply_grant(&mut self, now: Instant, table: &Arc<Table>, from: Key, grant: &Grant) {
        let Some(target) = table.target_by_key(grant.target) else {
            self.dropped.unknown_names += 1;
            return;
        };
        let owner = self.owners.get(&target).copied().unwrap_or(from);
        if owner == from && self.holder.grant(now, table, target, from, grant) {
            return;
        }
        self.dropped.void_grants += 1;
        if owner != from {
            // The sender is not the owner in this router's view: state that nothing is held, so
            // that no slot leaks at the sender.
            let hold = Hold {
                target: grant.target,
                stamp: self.holder.next_stamp(),
                sequence: grant.sequence,
                count: 0,
                unusable: false,
            };
            self.outbox.push((from, Message::Hold(hold)));
        }
    }

    /// Calls the rounds with the state that they use.
    fn with_rounds(
        &mut self,
        now: Instant,
        table: &Table,
        call: impl FnOnce(&mut crate::round::Rounds, &mut Scope<'_>),
    ) {
        let mut scope = Scope {
            settings: &self.settings,
            table,
            view: &mut self.view,
            book: &mut self.book,
            spare: self.owner.spare_targets(now, table),
            outbox: &mut self.outbox,
        };
        call(&mut self.rounds, &mut scope);
    }

    pub(super) fn run_rounds(&mut self, now: Instant, table: &Table) {
        let due = self.rounds.is_due(now, &self.settings, &self.view);
        if self.settings.admission == Admission::Owner && due {
            self.mark_overdue(now, table);
            self.with_rounds(now, table, |rounds, scope| rounds.tick(now, scope));
            self.owner_orders.clear();
        }
    }

    /// Marks the accounts of customers whose requests have waited at this router for a round
    /// or longer.
    fn mark_overdue(&mut self, now: Instant, table: &Table) {
        for (_, _, account) in self.book.all_mut() {
            account.overdue = false;
        }
        for (lane, backlogs) in self.queue.lanes() {
            for (customer, backlog) in backlogs {
                let has_overdue =
                    backlog
                        .first_by_class()
                        .any(|head| match self.requests.get(&head) {
                            Some(State::Waiting(request)) => {
                                now.since(request.arrived) >= self.settings.round_interval
                            }
                            _ => false,
                        });
                if has_overdue {
                    let pool = table.pool(lane.service);
                    self.book.get_mut(pool, *customer).overdue = true;
                }
            }
        }
    }

    /// Moves outgoing messages into the batches of their receivers and handles those to
    /// this router at once; true when there were any.
    pub(super) fn deliver_outbox(&mut self, now: Instant) -> bool {
        let mut handled = false;
        while !self.outbox.is_empty() {
            for (to, message) in std::mem::take(&mut self.outbox) {
                if to == self.own_key {
                    handled = true;
                    self.handle_message(now, to, message);
                    continue;
                }
                let batch = self.batches.entry(to).or_insert_with(|| Batch {
                    since: now,
                    messages: Vec::new(),
                });
                batch.messages.push(message);
            }
        }
        handled
    }

    pub(super) fn flush_batches(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let batch_delay = self.settings.batch_delay;
        let due: Vec<Key> = self
            .batches
            .iter()
            .filter(|(_, batch)| now >= batch.since + batch_delay)
            .map(|(to, _)| *to)
            .collect();
        for to in due {
            if let Some(batch) = self.batches.remove(&to) {
                actions.push(Action::Send {
                    to,
                    messages: batch.messages,
                });
            }
        }
    }

    pub(super) fn start_drain(&mut self, now: Instant) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now);
        self.view.mark_leaving(self.own_key);
        let others: Vec<Key> = self.view.live().collect();
        for other in others {
            self.outbox.push((other, Message::Leaving));
        }
    }

    /// Reports once that the drain is complete: no request is left and, with owners, no
    /// charge that the fleet's totals may lack.
    pub(super) fn finish_drain(&mut self, actions: &mut Vec<Action>) {
        if self.draining.is_none() || self.drained || !self.requests.is_empty() {
            return;
        }
        let charges_confirmed = self
            .book
            .all()
            .all(|(_, _, account)| account.unsent == 0 && account.sent == 0);
        if charges_confirmed || self.settings.admission != Admission::Owner {
            self.drained = true;
            actions.push(Action::Drained);
        }
    }
}
