//! Exchange of totals between the roots of failure domains, and from a root to its deputy.

use std::collections::{BTreeMap, BTreeSet};

use super::tally::{Slot, State};
use super::tree::Tree;
use super::{Rounds, Scope, ledger, root_timeout};
use crate::key::Key;
use crate::message::{Message, Round, Total};
use crate::time::Instant;

impl Rounds {
    /// Sends the totals to the other domains' roots and to the deputy.
    pub(super) fn send_totals(&mut self, now: Instant, scope: &mut Scope<'_>) {
        let tree = Tree::new(scope.view, self.domain);
        let domains: BTreeSet<Key> = scope
            .view
            .all()
            .map(|(_, member)| member.domain)
            .filter(|domain| *domain != self.domain)
            .collect();
        self.suspect_silent_domains(now, scope, &domains);
        let total = self.total(scope);
        for domain in domains {
            if let Some(root) = self.contact(scope, domain) {
                scope.outbox.push((root, Message::Total(total.clone())));
            }
        }
        let deputy = tree.deputy();
        if let Some(deputy) = deputy {
            if self.deputy != Some(deputy) {
                self.send_runs(scope, deputy);
            }
            scope.outbox.push((deputy, Message::Total(total)));
        }
        self.deputy = deputy;
    }

    /// The root of another domain, or its members in rotation while all are suspected.
    pub(super) fn contact(&self, scope: &Scope<'_>, domain: Key) -> Option<Key> {
        Tree::new(scope.view, domain).root().or_else(|| {
            let members: Vec<Key> = scope
                .view
                .all()
                .filter(|(_, member)| member.domain == domain)
                .map(|(key, _)| key)
                .collect();
            let at = usize::try_from(self.number).unwrap_or(0) % members.len().max(1);
            members.get(at).copied()
        })
    }

    /// Suspects every instance of a domain whose root has not been heard for two time-outs.
    pub(super) fn suspect_silent_domains(
        &mut self,
        now: Instant,
        scope: &mut Scope<'_>,
        domains: &BTreeSet<Key>,
    ) {
        let timeout = root_timeout(scope.settings);
        for domain in domains {
            let heard = self
                .tally
                .runs
                .values()
                .filter(|state| state.domain == *domain)
                .map(|state| state.heard)
                .max();
            let since = heard.unwrap_or(self.started);
            if now.since(since) <= timeout * 2 {
                continue;
            }
            let members: Vec<Key> = scope.view.live_in(*domain).collect();
            for key in members {
                scope.view.suspect(now, key);
            }
        }
    }

    pub(super) fn total(&self, scope: &Scope<'_>) -> Total {
        let empty = BTreeMap::new();
        let state = self.tally.runs.get(&self.run);
        let totals = state.map_or(&empty, |state| &state.totals);
        let domain = self.domain;
        let included = |slot: &Slot| {
            let account = scope.book.get(slot.0, slot.1);
            let waits = state.is_some_and(|state| state.waiting.contains_key(slot));
            account.waiting > 0 || waits || ledger::rotates(scope.table, *slot, self.number)
        };
        let chosen: BTreeMap<Slot, i64> = totals
            .iter()
            .filter(|(slot, _)| included(slot))
            .map(|(slot, units)| (*slot, *units))
            .collect();
        let none = BTreeMap::new();
        let waiting = state.map_or(&none, |state| &state.waiting);
        Total {
            round: Round {
                run: self.run,
                number: self.number,
            },
            domain,
            revision: self.revision,
            totals: ledger::ledgers(scope.table, &chosen, waiting),
            suspects: scope
                .view
                .all()
                .filter(|(_, member)| member.domain == domain && member.suspected.is_some())
                .map(|(key, _)| key)
                .collect(),
            spare: state.map_or_else(Vec::new, |state| state.spare.clone()),
        }
    }

    /// Sends all runs in full to a new deputy, or to the root of a domain that is back.
    pub(super) fn send_runs(&self, scope: &mut Scope<'_>, to: Key) {
        let none = BTreeMap::new();
        let counted = self
            .tally
            .runs
            .iter()
            .filter(|(_, state)| !state.totals.is_empty());
        for (run, state) in counted {
            let totals = Total {
                round: Round {
                    run: *run,
                    number: state.number,
                },
                domain: state.domain,
                revision: self.revision,
                totals: ledger::ledgers(scope.table, &state.totals, &none),
                suspects: Vec::new(),
                spare: Vec::new(),
            };
            scope.outbox.push((to, Message::Total(totals)));
        }
    }

    /// Handles totals from another root, or from the root whose deputy this instance is.
    pub fn total_received(
        &mut self,
        now: Instant,
        from: Key,
        total: &Total,
        scope: &mut Scope<'_>,
    ) {
        let tree = Tree::new(scope.view, self.domain);
        let run = total.round.run;
        if run == self.run {
            return;
        }
        let own = total.domain == self.domain;
        self.revision = self.revision.max(total.revision);
        // Only a message from a root itself shows that it is back. If a forwarded one did,
        // two roots would send each other all runs without end.
        let direct = from == run.root && !own;
        let back = direct && scope.view.is_suspected(run.root);
        let known = self.tally.runs.contains_key(&run);
        let state = self
            .tally
            .runs
            .entry(run)
            .or_insert_with(|| State::new(total.domain, now));
        if total.round.number < state.number {
            return;
        }
        // A full copy of a round already received adds totals, but no change of the waiting
        // customers, free slots or suspects.
        if total.round.number > state.number {
            state.number = total.round.number;
            state.heard = now;
            state.spare.clone_from(&total.spare);
            state.suspects.clone_from(&total.suspects);
            state.waiting.clear();
        }
        for (slot, charge) in ledger::slots(scope.table, &total.totals) {
            state.totals.insert(slot, charge.units);
            if charge.waiting > 0 {
                state.waiting.insert(slot, charge.waiting);
            }
        }
        if direct {
            Self::adopt_domain_suspects(now, scope, total);
        }
        if self.acting_root {
            let touched: Vec<Slot> = ledger::slots(scope.table, &total.totals)
                .map(|(slot, _)| slot)
                .collect();
            for slot in touched {
                scope.book.get_mut(slot.0, slot.1).fleet = self.tally.sum(slot);
            }
            if back || (direct && !known) {
                self.send_runs(scope, run.root);
            }
        } else if !own && let Some(root) = tree.root().filter(|root| *root != from) {
            // The sender did not know the current root: forward the message to it.
            scope.outbox.push((root, Message::Total(total.clone())));
        }
    }

    /// Adopts the list of suspects that a root reports for its domain; all its other instances
    /// are cleared.
    pub(super) fn adopt_domain_suspects(now: Instant, scope: &mut Scope<'_>, total: &Total) {
        let members: Vec<Key> = scope
            .view
            .all()
            .filter(|(_, member)| member.domain == total.domain)
            .map(|(key, _)| key)
            .collect();
        for key in members {
            if total.suspects.contains(&key) {
                scope.view.suspect(now, key);
            } else {
                scope.view.clear_suspicion(key);
            }
        }
    }
}
