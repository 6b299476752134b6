//! What was written since a list, in place of a whole new one.
//!
//! A list of thousands of targets takes many pages and seconds to read, while little of it changes. So
//! it is read whole once, and from then on what is written to the store's log behind it. Most of that
//! only says that a target is still there, and changes nothing.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Change, Listing, OUTAGE, Registry};
use crate::target::{State, Target};

/// What the log says behind a list, each server's newest entry only.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    /// Entries that were written.
    pub written: Vec<Target>,
    /// Identities whose newest entry can't be read.
    pub unreadable: Vec<Arc<str>>,
    /// Identities whose entries were dropped.
    pub dropped: Vec<Arc<str>>,
}

impl Registry {
    /// Takes what the log says behind the known list, up to its end at `as_of`.
    pub fn take_delta(&mut self, delta: Delta, as_of: Duration) -> Vec<Change> {
        let Some(read_at) = self.read_at.filter(|at| as_of >= *at) else {
            return Vec::new();
        };
        let outage = as_of.saturating_sub(read_at) > OUTAGE;
        if outage || as_of < self.keep_until || !self.plain(&delta, as_of) {
            let listing = self.with_delta(delta);
            return self.take(listing, as_of);
        }
        self.apply(delta, as_of)
    }

    /// Takes what a peer's list has that the known one has not, both as of the same reading.
    pub fn take_told(&mut self, delta: Delta, settled: bool, as_of: Duration) -> Vec<Change> {
        if !settled {
            return self.take_delta(delta, as_of);
        }
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        if !self.plain(&delta, as_of) {
            let listing = self.with_delta(delta);
            return self.take_settled(listing, as_of);
        }
        self.keep_until = Duration::ZERO;
        self.settled_from = Duration::ZERO;
        self.apply(delta, as_of)
    }

    /// Whether nothing but what a delta names can change by it.
    fn plain(&self, delta: &Delta, as_of: Duration) -> bool {
        let other_writer = |it: &Target| it.born.is_none() && self.starts.newest(&it.id).is_some();
        self.kept.is_empty()
            && !self.copy.restoring(as_of)
            && delta.unreadable.is_empty()
            && !delta.written.iter().any(other_writer)
    }

    /// Carries out a delta, entry by entry.
    fn apply(&mut self, delta: Delta, as_of: Duration) -> Vec<Change> {
        self.read_at = Some(as_of);
        let by_id = &self.by_id;
        self.starts.refresh(as_of, |id| by_id.contains_key(id));
        self.prune(as_of);
        let mut changes = Vec::new();
        for id in delta.dropped {
            changes.extend(self.drop_entry(&id, as_of));
        }
        for target in delta.written {
            self.write_entry(target, as_of, &mut changes);
        }
        changes
    }

    /// The entry of a server was dropped.
    fn drop_entry(&mut self, id: &str, as_of: Duration) -> Option<Change> {
        let tag = *self.by_id.get(id)?;
        let old = self.remove(tag)?;
        self.copy.ended(tag, as_of);
        Some(Change::Ended(old))
    }

    /// An entry was written.
    fn write_entry(&mut self, target: Target, as_of: Duration, changes: &mut Vec<Change>) {
        let Ok(Some(mut target)) = self.newest_start(target, as_of) else {
            return;
        };
        let tag = target.tag();
        if self.replaced.contains_key(&tag) || self.revived(&target, as_of) {
            return;
        }
        self.keep_leaving(&mut target);
        if !self.alters(&target) {
            return;
        }
        if self.by_id.get(&target.id).is_some_and(|it| *it != tag) {
            changes.extend(self.drop_entry(&target.id, as_of));
        }
        let target = Arc::new(target);
        changes.extend(self.change(&target));
        self.insert(target);
    }

    /// Whether an entry says other things of its target than are known.
    fn alters(&self, entry: &Target) -> bool {
        let Some(known) = self.targets.get(&entry.tag()) else {
            return true;
        };
        let state = match known.state {
            // Nothing that leaves stays after all.
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
    fn with_delta(&self, delta: Delta) -> Listing {
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
