//! Incremental updates of the list of targets.
//!
//! A list of thousands of targets takes many pages and seconds to read, while few of its entries
//! change. It is therefore read in full once, and from then on only the records written to the
//! store's log after it are read. Most of these records are heartbeats that change nothing.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Change, Listing, OUTAGE_GAP, Registry};
use crate::target::{State, Target};

/// Log records since a list; only the newest entry of each server.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    /// Entries that were written.
    pub written: Vec<Target>,
    /// Identities whose newest entry cannot be read.
    pub unreadable: Vec<Arc<str>>,
    /// Identities whose entries were dropped.
    pub dropped: Vec<Arc<str>>,
}

impl Registry {
    /// Applies the log records since the known list, up to the end of the log at `as_of`.
    pub fn apply_delta(&mut self, delta: Delta, as_of: Duration) -> Vec<Change> {
        let Some(read_at) = self.read_at.filter(|at| as_of >= *at) else {
            return Vec::new();
        };
        let outage = as_of.saturating_sub(read_at) > OUTAGE_GAP;
        if outage || as_of < self.retain_until || !self.is_incremental(&delta, as_of) {
            let listing = self.merged_listing(delta);
            return self.apply_list(listing, as_of);
        }
        self.apply_incremental(delta, as_of)
    }

    /// Applies the differences between a peer's list and the known one, as of the peer's list.
    /// `settled` says that the peer observed no outage.
    pub fn apply_peer_delta(
        &mut self,
        delta: Delta,
        settled: bool,
        as_of: Duration,
    ) -> Vec<Change> {
        if !settled {
            return self.apply_delta(delta, as_of);
        }
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        if !self.is_incremental(&delta, as_of) {
            let listing = self.merged_listing(delta);
            return self.apply_settled_list(listing, as_of);
        }
        self.retain_until = Duration::ZERO;
        self.settled_from = Duration::ZERO;
        self.apply_incremental(delta, as_of)
    }

    /// Whether a delta affects only the targets that it names.
    fn is_incremental(&self, delta: &Delta, as_of: Duration) -> bool {
        let other_writer =
            |it: &Target| it.born.is_none() && self.incarnations.newest(&it.id).is_some();
        self.retained.is_empty()
            && !self.restore.is_active(as_of)
            && delta.unreadable.is_empty()
            && !delta.written.iter().any(other_writer)
    }

    /// Applies a delta entry by entry.
    fn apply_incremental(&mut self, delta: Delta, as_of: Duration) -> Vec<Change> {
        self.read_at = Some(as_of);
        let by_id = &self.by_id;
        self.incarnations
            .refresh(as_of, |id| by_id.contains_key(id));
        self.prune(as_of);
        let mut changes = Vec::new();
        for id in delta.dropped {
            changes.extend(self.remove_entry(&id, as_of));
        }
        for target in delta.written {
            self.upsert_entry(target, as_of, &mut changes);
        }
        changes
    }

    /// Removes the target of a dropped entry.
    fn remove_entry(&mut self, id: &str, as_of: Duration) -> Option<Change> {
        let tag = *self.by_id.get(id)?;
        let old = self.remove(tag)?;
        self.restore.record_ended(tag, as_of);
        Some(Change::Ended(old))
    }

    /// Applies a written entry.
    fn upsert_entry(&mut self, target: Target, as_of: Duration, changes: &mut Vec<Change>) {
        let Ok(Some(mut target)) = self.newest_incarnation(target, as_of) else {
            return;
        };
        let tag = target.tag();
        if self.replaced.contains_key(&tag) || self.is_resurrected(&target, as_of) {
            return;
        }
        self.preserve_leaving(&mut target);
        self.preserve_version(&mut target);
        if !self.differs_from_known(&target) {
            return;
        }
        if self.by_id.get(&target.id).is_some_and(|it| *it != tag) {
            changes.extend(self.remove_entry(&target.id, as_of));
        }
        let target = Arc::new(target);
        changes.extend(self.change_for(&target));
        self.insert(target);
    }

    /// Whether an entry differs from the known state of its target.
    fn differs_from_known(&self, entry: &Target) -> bool {
        let Some(known) = self.targets.get(&entry.tag()) else {
            return true;
        };
        let state = match known.state {
            // A leaving target never becomes ready again.
            State::Leaving => State::Leaving,
            State::Ready | State::Unreadable => entry.state,
        };
        let cold_left = if entry.cold_left.is_zero() == known.cold_left.is_zero() {
            known.cold_left
        } else {
            entry.cold_left
        };
        let entry = Target {
            state,
            cold_left,
            ..entry.clone()
        };
        entry != **known
    }

    /// The known list with a delta applied.
    fn merged_listing(&self, delta: Delta) -> Listing {
        let written = delta.written.into_iter();
        let mut newest: HashMap<Arc<str>, Target> = written.map(|it| (it.id.clone(), it)).collect();
        let gone: HashSet<Arc<str>> = delta.dropped.into_iter().collect();
        let mut targets = Vec::with_capacity(self.targets.len() + newest.len());
        for known in self.listed() {
            if gone.contains(&known.id) {
                continue;
            }
            let target = newest.remove(&known.id);
            targets.push(target.unwrap_or_else(|| known.as_ref().clone()));
        }
        targets.extend(newest.into_values());
        let unreadable: HashSet<&str> = delta.unreadable.iter().map(AsRef::as_ref).collect();
        targets.retain(|it| !unreadable.contains(it.id.as_ref()));
        Listing {
            targets,
            unreadable: delta.unreadable,
        }
    }
}
