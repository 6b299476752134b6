//! Between the roots of failure domains, and from a root to its deputy.

use std::collections::{BTreeMap, BTreeSet};

use super::tally::{Sheet, Slot};
use super::tree::Tree;
use super::{Rounds, Scope, book, silence};
use crate::key::Key;
use crate::message::{Message, Round, Total};
use crate::time::Instant;

impl Rounds {
    /// Tells the totals to the other domains' roots and to the deputy.
    pub(super) fn tell_roots(&mut self, now: Instant, scope: &mut Scope<'_>) {
        let tree = Tree::new(scope.view, self.domain);
        let domains: BTreeSet<Key> = scope
            .view
            .all()
            .map(|(_, member)| member.domain)
            .filter(|domain| *domain != self.domain)
            .collect();
        self.suspect_silent(now, scope, &domains);
        let total = self.total(scope);
        for domain in domains {
            if let Some(root) = self.contact(scope, domain) {
                scope.outbox.push((root, Message::Total(total.clone())));
            }
        }
        let deputy = tree.deputy();
        if let Some(deputy) = deputy {
            if self.deputy != Some(deputy) {
                self.brief(scope, deputy);
            }
            scope.outbox.push((deputy, Message::Total(total)));
        }
        self.deputy = deputy;
    }

    /// The root of another domain, or some member of it while all are suspected.
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

    /// A domain whose root has been silent counts as cut off, all of it.
    pub(super) fn suspect_silent(
        &mut self,
        now: Instant,
        scope: &mut Scope<'_>,
        domains: &BTreeSet<Key>,
    ) {
        let silence = silence(scope.settings);
        for domain in domains {
            let heard = self
                .tally
                .sheets
                .values()
                .filter(|sheet| sheet.domain == *domain)
                .map(|sheet| sheet.heard)
                .max();
            let since = heard.unwrap_or(self.started);
            if now.since(since) <= silence * 2 {
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
        let sheet = self.tally.sheets.get(&self.run);
        let totals = sheet.map_or(&empty, |sheet| &sheet.totals);
        let domain = self.domain;
        let told = |slot: &Slot| {
            let account = scope.book.get(slot.0, slot.1);
            let waits = sheet.is_some_and(|sheet| sheet.waiting.contains_key(slot));
            account.waiting > 0 || waits || book::rotates(scope.table, *slot, self.number)
        };
        let chosen: BTreeMap<Slot, i64> = totals
            .iter()
            .filter(|(slot, _)| told(slot))
            .map(|(slot, units)| (*slot, *units))
            .collect();
        let none = BTreeMap::new();
        let waiting = sheet.map_or(&none, |sheet| &sheet.waiting);
        Total {
            round: Round {
                run: self.run,
                number: self.number,
            },
            domain,
            revision: self.revision,
            totals: book::ledgers(scope.table, &chosen, waiting),
            suspects: scope
                .view
                .all()
                .filter(|(_, member)| member.domain == domain && member.suspected.is_some())
                .map(|(key, _)| key)
                .collect(),
            spare: sheet.map_or_else(Vec::new, |sheet| sheet.spare.clone()),
        }
    }

    /// Gives a new deputy, or a domain that is back, all runs in full.
    pub(super) fn brief(&self, scope: &mut Scope<'_>, to: Key) {
        let none = BTreeMap::new();
        let counted = self
            .tally
            .sheets
            .iter()
            .filter(|(_, sheet)| !sheet.totals.is_empty());
        for (run, sheet) in counted {
            let totals = Total {
                round: Round {
                    run: *run,
                    number: sheet.number,
                },
                domain: sheet.domain,
                revision: self.revision,
                totals: book::ledgers(scope.table, &sheet.totals, &none),
                suspects: Vec::new(),
                spare: Vec::new(),
            };
            scope.outbox.push((to, Message::Total(totals)));
        }
    }

    /// Another root, or the root we stand by for, tells its totals.
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
        // Only a root itself shows that it is back; what others tell of it does not,
        // or two roots would brief each other without end.
        let direct = from == run.root && !own;
        let back = direct && scope.view.is_suspected(run.root);
        let known = self.tally.sheets.contains_key(&run);
        let sheet = self
            .tally
            .sheets
            .entry(run)
            .or_insert_with(|| Sheet::new(total.domain, now));
        if total.round.number < sheet.number {
            return;
        }
        // A whole copy of a round already heard brings totals, but no news of who waits.
        if total.round.number > sheet.number {
            sheet.number = total.round.number;
            sheet.heard = now;
            sheet.spare.clone_from(&total.spare);
            sheet.suspects.clone_from(&total.suspects);
            sheet.waiting.clear();
        }
        for (slot, charge) in book::slots(scope.table, &total.totals) {
            sheet.totals.insert(slot, charge.units);
            if charge.waiting > 0 {
                sheet.waiting.insert(slot, charge.waiting);
            }
        }
        if direct {
            Self::clear_domain(now, scope, total);
        }
        if self.was_root {
            let touched: Vec<Slot> = book::slots(scope.table, &total.totals)
                .map(|(slot, _)| slot)
                .collect();
            for slot in touched {
                scope.book.get_mut(slot.0, slot.1).fleet = self.tally.sum(slot);
            }
            if back || (direct && !known) {
                self.brief(scope, run.root);
            }
        } else if !own && let Some(root) = tree.root().filter(|root| *root != from) {
            // Sent to us while its sender knew no better: pass it to the root.
            scope.outbox.push((root, Message::Total(total.clone())));
        }
    }

    /// A root speaks for its domain: who is suspected there, and that the rest is not.
    pub(super) fn clear_domain(now: Instant, scope: &mut Scope<'_>, total: &Total) {
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
