//! The root's part: starting rounds, counting them, and telling what stands.

use super::tally::Sheet;
use super::tree::Tree;
use super::{IDLE, NAMED, Open, Rounds, Scope, book, limit, silence};
use crate::key::Key;
use crate::message::{Broadcast, Message, Round};
use crate::time::Instant;

impl Rounds {
    pub(super) fn begin_root(&mut self, now: Instant, scope: &mut Scope<'_>) {
        self.was_root = true;
        self.next = now;
        self.misses.clear();
        self.last_missed.clear();
        let domain = self.domain;
        let known = self
            .tally
            .sheets
            .values()
            .any(|sheet| sheet.domain == domain && sheet.number > 0);
        let sheet = self
            .tally
            .sheets
            .entry(self.run)
            .or_insert_with(|| Sheet::new(domain, now));
        sheet.heard = now;
        if !known {
            // Neither the former root nor its deputy is left: go on from the last totals told.
            sheet.totals = book::inherit(scope.book);
        }
    }

    /// Starts a round as root.
    pub(super) fn start(&mut self, now: Instant, scope: &mut Scope<'_>, tree: &Tree) {
        if self.open.is_some() {
            self.close(now, scope);
        }
        self.next = now + scope.settings.round_interval;
        self.heard = now;
        self.number += 1;
        self.publish(now, scope);
        let round = Round {
            run: self.run,
            number: self.number,
        };
        let down = Broadcast {
            round,
            path: Vec::new(),
            missed: self.last_missed.iter().cloned().collect(),
            suspects: scope.view.suspects().collect(),
            revision: self.revision,
            totals: book::totals(scope, self.number),
            spare: self.spare.clone(),
        };
        self.probe_suspect(scope);
        self.spread(now, scope, tree, None, down);
    }

    /// Works out the state to be told: totals, who waits, lifts, free slots.
    pub(super) fn publish(&mut self, now: Instant, scope: &mut Scope<'_>) {
        let fresh = now - silence(scope.settings);
        let waiting = self.tally.waiting(fresh);
        self.spare = self.tally.spare(fresh);
        scope.book.clear_waiting();
        scope.book.age_provisional();
        for (slot, routers) in &waiting {
            scope.book.set_waiting(slot.0, slot.1, *routers);
        }
        let oldest = self.number.saturating_sub(IDLE);
        self.waited.retain(|_, number| *number >= oldest);
        if self.leads(fresh) {
            let lifts = book::lifts(scope, &waiting, &self.waited);
            if let Some(sheet) = self.tally.sheets.get_mut(&self.run) {
                for (slot, units) in lifts {
                    *sheet.totals.entry(slot).or_default() += units;
                    scope.book.get_mut(slot.0, slot.1).fleet += units;
                }
            }
        }
        for slot in waiting.keys() {
            self.waited.insert(*slot, self.number);
        }
        scope.book.note_round(now);
    }

    pub(super) fn leads(&self, fresh: Instant) -> bool {
        self.tally
            .sheets
            .iter()
            .filter(|(_, sheet)| sheet.heard >= fresh)
            .map(|(run, _)| run.root)
            .min()
            .is_none_or(|least| least >= self.me)
    }

    /// Tells one suspected instance of this domain that we are here, in rotation.
    pub(super) fn probe_suspect(&mut self, scope: &mut Scope<'_>) {
        let domain = self.domain;
        let suspects: Vec<Key> = scope
            .view
            .all()
            .filter(|(_, member)| member.domain == domain && member.suspected.is_some())
            .map(|(key, _)| key)
            .collect();
        if suspects.is_empty() {
            return;
        }
        self.probe = (self.probe + 1) % suspects.len();
        scope.outbox.push((suspects[self.probe], Message::Probe));
    }

    pub(super) fn count(&mut self, now: Instant, scope: &mut Scope<'_>, open: Open) {
        if let Some(sheet) = self.tally.sheets.get_mut(&self.run) {
            sheet.number = open.round.number;
            sheet.heard = now;
            sheet.waiting = open.waiting;
            sheet.spare = limit(open.spare);
            for (slot, units) in open.amounts {
                *sheet.totals.entry(slot).or_default() += units;
                scope.book.get_mut(slot.0, slot.1).fleet += units;
            }
        }
        // The root's own part is in the totals from here on.
        book::settle_silently(scope.book);
        self.answer = None;
        self.judge_missed(now, scope, &open.missed);
        self.last_missed.push_front(open.missed);
        self.last_missed.truncate(NAMED);
        self.tell_roots(now, scope);
    }

    pub(super) fn judge_missed(&mut self, now: Instant, scope: &mut Scope<'_>, missed: &[Key]) {
        self.misses.retain(|key, _| missed.contains(key));
        for key in missed {
            let count = self.misses.entry(*key).or_default();
            *count += 1;
            if *count >= scope.settings.missed_rounds {
                scope.view.suspect(now, *key);
            }
        }
    }
}
