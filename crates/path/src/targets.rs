//! The list of targets at this router: how it is taken, and what a change of it ends.

use std::time::Duration;

use dunlinward_dispatch::registry::Change;
use dunlinward_dispatch::target::{Tag, Target};

use crate::cut;
use crate::gossip;
use crate::node::{List, Node, STORE};

impl Node {
    /// Takes a list of targets.
    pub fn take_targets(&self, list: List, source: &str) {
        let as_of = list.as_of;
        let (first, changes) = {
            let mut state = self.state.borrow_mut();
            let first = state.registry.read_at().is_none();
            if state.registry.read_at().is_none_or(|at| as_of >= at) {
                match list.reading {
                    Some(reading) => state.registry_reads.adopt(reading, as_of),
                    None => state.registry_reads.read(as_of),
                }
            }
            (first, state.take_list(list))
        };
        if first {
            let line = self.journal.line("targets_taken");
            let line = line.with("count", changes.len()).with("source", source);
            let age = self.now().saturating_sub(as_of);
            drop(line.with_ms("age_ms", age));
        }
        // Of the first list the count says enough: its targets are nobody's change.
        for change in changes.iter().filter(|_| !first) {
            self.tell_change(change, source, as_of);
        }
        if source == STORE || !changes.is_empty() {
            gossip::spread(self);
        }
        if !changes.is_empty() {
            self.pool.trim(self.now(), |tag| self.gone(tag));
            self.room_came();
        }
    }

    /// Carries out a change of the list of targets.
    pub(crate) fn tell_change(&self, change: &Change, source: &str, as_of: Duration) {
        let (event, target) = match change {
            Change::Came(target) => ("target_came", target),
            Change::Leaves(target) => ("target_leaves", target),
            Change::Suspended(target) => ("target_suspended", target),
            Change::Ended(target) => ("target_ended", target),
        };
        if let Change::Ended(target) = change {
            cut::ended(self, target);
            self.forget(target.tag());
        }
        let age = self.now().saturating_sub(as_of);
        let line = self.journal.line(event).with("target", target.id.as_ref());
        let line = line.with("born", target.born);
        let line = line.with("service", target.service.as_ref());
        drop(line.with("source", source).with_ms("age_ms", age));
    }

    /// A target says that it has started again, at `born`: nothing of the earlier start holds. It
    /// gets work again as soon as it is listed.
    pub(crate) fn superseded(&self, target: &Target, born: u64) {
        let now = self.now();
        let change = self
            .state
            .borrow_mut()
            .registry
            .supersede(&target.id, born, now);
        if let Some(change) = change {
            self.tell_change(&change, "target", now);
            self.pool.trim(now, |tag| self.gone(tag));
            self.room_came();
        }
    }

    fn gone(&self, tag: Tag) -> bool {
        self.state.borrow().registry.get(tag).is_none()
    }

    fn forget(&self, tag: Tag) {
        self.state.borrow_mut().forget(tag);
    }

    /// Whether a target with this identity is known.
    #[must_use]
    pub fn knows_target(&self, id: &str) -> bool {
        let state = self.state.borrow();
        state.registry.all().any(|it| it.id.as_ref() == id)
    }

    /// How many targets are known.
    #[must_use]
    pub fn targets_known(&self) -> usize {
        self.state.borrow().registry.all().count()
    }

    /// Age of the list of targets, its own or confirmed by a peer.
    #[must_use]
    pub fn targets_age(&self) -> Option<Duration> {
        self.look_for_wake();
        let read_at = self.state.borrow().registry.read_at();
        read_at.map(|at| self.now().saturating_sub(at))
    }

    /// Another target has this one's address.
    pub fn replaced(&self, target: &Target) {
        self.state.borrow_mut().registry.forget(target.tag());
        cut::ended(self, target);
        self.forget(target.tag());
        let line = self.journal.line("target_replaced");
        drop(line.with("target", target.id.as_ref()));
    }
}
