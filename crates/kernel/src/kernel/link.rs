//! Messages in and out, membership and rounds.

use std::sync::Arc;

use super::{Kernel, Mail};
use crate::action::Action;
use crate::key::Key;
use crate::membership::{Contact, Listed};
use crate::message::{Grant, Hold, Message};
use crate::request::Life;
use crate::round::Scope;
use crate::settings::Admission;
use crate::table::Table;
use crate::time::Instant;

impl Kernel {
    pub(super) fn list(&mut self, now: Instant, listed: &[Listed]) {
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
            Contact::Restarted => self.forget_router(now, from),
            Contact::Same | Contact::Back => {}
        }
        for message in messages {
            self.take(now, from, message);
        }
    }

    /// What a router held ended with its run; what it owned it knows nothing of.
    fn forget_router(&mut self, now: Instant, router: Key) {
        self.owner.remove_router(router);
        if let Some(table) = self.table.clone() {
            self.holder
                .owner_restarted(now, &table, router, &mut self.outbox);
        }
    }

    fn take(&mut self, now: Instant, from: Key, message: Message) {
        let Some(table) = self.table.clone() else {
            return;
        };
        match message {
            Message::Broadcast(down) => {
                self.with_rounds(now, &table, |rounds, scope| {
                    rounds.down(now, from, down, scope);
                });
                self.orders.clear();
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
            Message::Grant(grant) => self.take_grant(now, &table, from, &grant),
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

    fn take_grant(&mut self, now: Instant, table: &Arc<Table>, from: Key, grant: &Grant) {
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
            // Not the owner in our view: give it all back, so that nothing leaks there.
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

    /// Runs a part of the rounds with what it may touch.
    fn with_rounds(
        &mut self,
        now: Instant,
        table: &Table,
        work: impl FnOnce(&mut crate::round::Rounds, &mut Scope<'_>),
    ) {
        let mut scope = Scope {
            settings: &self.settings,
            table,
            view: &mut self.view,
            book: &mut self.book,
            spare: self.owner.spare_targets(now, table),
            outbox: &mut self.outbox,
        };
        work(&mut self.rounds, &mut scope);
    }

    pub(super) fn run_rounds(&mut self, now: Instant, table: &Table) {
        let due = self.rounds.is_due(now, &self.settings, &self.view);
        if self.settings.admission == Admission::Owner && due {
            self.mark_overdue(now, table);
            self.with_rounds(now, table, |rounds, scope| rounds.tick(now, scope));
            self.orders.clear();
        }
    }

    /// Notes whose requests have waited here for a round or longer.
    fn mark_overdue(&mut self, now: Instant, table: &Table) {
        for (_, _, account) in self.book.all_mut() {
            account.overdue = false;
        }
        for (lane, lines) in self.queue.lanes() {
            for (customer, line) in lines {
                let late = line.heads().any(|head| match self.requests.get(&head) {
                    Some(Life::Waiting(request)) => {
                        now.since(request.arrived) >= self.settings.round_interval
                    }
                    _ => false,
                });
                if late {
                    let pool = table.pool(lane.service);
                    self.book.get_mut(pool, *customer).overdue = true;
                }
            }
        }
    }

    /// Puts what the parts want to say into the mail; true when some was for us.
    pub(super) fn post(&mut self, now: Instant) -> bool {
        let mut own = false;
        while !self.outbox.is_empty() {
            for (to, message) in std::mem::take(&mut self.outbox) {
                if to == self.me {
                    own = true;
                    self.take(now, to, message);
                    continue;
                }
                let mail = self.mail.entry(to).or_insert_with(|| Mail {
                    since: now,
                    messages: Vec::new(),
                });
                mail.messages.push(message);
            }
        }
        own
    }

    pub(super) fn send_mail(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let batch_delay = self.settings.batch_delay;
        let due: Vec<Key> = self
            .mail
            .iter()
            .filter(|(_, mail)| now >= mail.since + batch_delay)
            .map(|(to, _)| *to)
            .collect();
        for to in due {
            if let Some(mail) = self.mail.remove(&to) {
                actions.push(Action::Send {
                    to,
                    messages: mail.messages,
                });
            }
        }
    }

    pub(super) fn drain(&mut self, now: Instant) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now);
        self.view.mark_leaving(self.me);
        let others: Vec<Key> = self.view.live().collect();
        for other in others {
            self.outbox.push((other, Message::Leaving));
        }
    }

    /// Says once that nothing is left here, neither requests nor uncounted charges.
    pub(super) fn finish_drain(&mut self, actions: &mut Vec<Action>) {
        if self.draining.is_none() || self.drained || !self.requests.is_empty() {
            return;
        }
        let told = self
            .book
            .all()
            .all(|(_, _, account)| account.unsent == 0 && account.sent == 0);
        if told || self.settings.admission != Admission::Owner {
            self.drained = true;
            actions.push(Action::Drained);
        }
    }
}
