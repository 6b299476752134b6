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
        if !outage && self.kept.is_empty() && !self.altered_by(&delta) {
            self.read_at = Some(as_of);
            return Vec::new();
        }
        let listing = self.with_delta(delta);
        self.take(listing, as_of)
    }

    /// Whether a delta says anything that is not known.
    fn altered_by(&self, delta: &Delta) -> bool {
        if !delta.unreadable.is_empty() {
            return true;
        }
        let dropped: HashSet<&str> = delta.dropped.iter().map(AsRef::as_ref).collect();
        let ended = !dropped.is_empty()
            && self
                .targets
                .values()
                .any(|it| dropped.contains(it.id.as_ref()));
        ended || delta.written.iter().any(|it| self.alters(it))
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
