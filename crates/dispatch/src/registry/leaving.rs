//! Precedence of targets' own announcements that they are leaving over the platform's list.

use std::sync::Arc;
use std::time::Duration;

use super::{Change, Registry};
use crate::leaving::{Notice, Notices};
use crate::target::{State, Tag};

impl Registry {
    /// Records a target's announcement that it is leaving; returns whether it is new, and the
    /// change that results.
    pub fn record_leaving(&mut self, tag: Tag, now: Duration) -> (bool, Option<Change>) {
        let new = self.leaving.record(tag, now);
        (new, self.mark_leaving(tag))
    }

    /// Merges a peer's announcements; returns those that are new, and the changes that result.
    pub fn merge_leaving(
        &mut self,
        notices: &[Notice],
        now: Duration,
    ) -> (Vec<Notice>, Vec<Change>) {
        let new = self.leaving.merge(notices, now);
        let changes = new
            .iter()
            .filter_map(|it| self.mark_leaving(it.tag))
            .collect();
        (new, changes)
    }

    /// The retained announcements.
    #[must_use]
    pub fn leaving(&self) -> &Notices {
        &self.leaving
    }

    fn mark_leaving(&mut self, tag: Tag) -> Option<Change> {
        let known = self.targets.get_mut(&tag)?;
        if known.state == State::Leaving {
            return None;
        }
        Arc::make_mut(known).state = State::Leaving;
        let change = Change::Leaving(known.clone());
        self.rebuild_index();
        Some(change)
    }
}
