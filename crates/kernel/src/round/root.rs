//! Duties of the root: starting rounds, counting them and publishing the result.

use super::tally::State;
use super::tree::Tree;
use super::{
    IDLE_AFTER_ROUNDS, MISSED_ROUNDS_LISTED, Open, Rounds, Scope, ledger, root_timeout,
    truncate_spare,
};
use crate::key::Key;
use crate::message::{Broadcast, Message, Round};
use crate::time::Instant;

impl Rounds {
    pub(super) fn become_root(&mut self, now: Instant, scope: &mut Scope<'_>) {
        self.acting_root = true;
        self.next = now;
        self.misses.clear();
        self.last_missed.clear();
        let domain = self.domain;
        let known = self
            .tally
            .runs
            .values()
            .any(|state| state.domain == domain && state.number > 0);
        let state = self
            .tally
            .runs
            .entry(self.run)
            .or_insert_with(|| State::new(domain, now));
        state.heard = now;
        if !known {
            // No run of this domain is known here, as when both the former root and its deputy
            // failed: continue from the last totals received in a round.
            state.totals = ledger::nonzero_totals(scope.book);
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
            totals: ledger::totals(scope, self.number),
            spare: self.spare.clone(),
        };
        self.probe_suspect(scope);
        self.forward(now, scope, tree, None, down);
    }

    /// Computes the state to send: totals, waiting customers, raised accounts, free slots.
    pub(super) fn publish(&mut self, now: Instant, scope: &mut Scope<'_>) {
        let fresh = now - root_timeout(scope.settings);
        let waiting = self.tally.waiting(fresh);
        self.spare = self.tally.spare(fresh);
        scope.book.clear_waiting();
        scope.book.age_provisional();
        for (slot, routers) in &waiting {
            scope.book.set_waiting(slot.0, slot.1, *routers);
        }
        let oldest = self.number.saturating_sub(IDLE_AFTER_ROUNDS);
        self.last_waiting.retain(|_, number| *number >= oldest);
        if self.is_leader(fresh) {
            let raises = ledger::raises(scope, &waiting, &self.last_waiting);
            if let Some(state) = self.tally.runs.get_mut(&self.run) {
                for (slot, units) in raises {
                    *state.totals.entry(slot).or_default() += units;
                    scope.book.get_mut(slot.0, slot.1).fleet += units;
                }
            }
        }
        for slot in waiting.keys() {
            self.last_waiting.insert(*slot, self.number);
        }
        scope.book.note_round(now);
    }

    /// Whether this root has the least key among the roots heard since `fresh`.
    pub(super) fn is_leader(&self, fresh: Instant) -> bool {
        self.tally
            .runs
            .iter()
            .filter(|(_, state)| state.heard >= fresh)
            .map(|(run, _)| run.root)
            .min()
            .is_none_or(|least| least >= self.own_key)
    }

    /// Sends a probe to one suspected instance of this domain, in rotation.
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
        if let Some(state) = self.tally.runs.get_mut(&self.run) {
            state.number = open.round.number;
            state.heard = now;
            state.waiting = open.waiting;
            state.spare = truncate_spare(open.spare);
            for (slot, units) in open.amounts {
                *state.totals.entry(slot).or_default() += units;
                scope.book.get_mut(slot.0, slot.1).fleet += units;
            }
        }
        // The root's own charges are in the totals from here on.
        ledger::clear_sent(scope.book);
        self.answer = None;
        self.suspect_missed(now, scope, &open.missed);
        self.last_missed.push_front(open.missed);
        self.last_missed.truncate(MISSED_ROUNDS_LISTED);
        self.send_totals(now, scope);
    }

    pub(super) fn suspect_missed(&mut self, now: Instant, scope: &mut Scope<'_>, missed: &[Key]) {
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
