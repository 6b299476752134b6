//! The list of targets at this router: how it is taken, and what a change of it ends.

use std::time::Duration;

use dunlinward_dispatch::registry::{Change, Delta};
use dunlinward_dispatch::store::Position;
use dunlinward_dispatch::target::{Tag, Target};

use crate::cut;
use crate::gossip;
use crate::node::{List, Node, STORE, Told};

/// Source of a list that a peer has read.
const PEER: &str = "peer";

/// Lines on changes of a list that a peer has read.
const LINES: usize = 8;

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
                    None => state.registry_reads.record(as_of),
                }
            }
            (first, state.apply_list(list))
        };
        if first {
            let line = self.journal.line("targets_taken");
            let line = line.with("count", changes.len()).with("source", source);
            let age = self.now().saturating_sub(as_of);
            drop(line.with_ms("age_ms", age));
        }
        // Of the first list the count says enough: its targets are nobody's change.
        if !first {
            self.tell_changes(&changes, source, as_of);
        }
        self.targets_changed(!changes.is_empty(), source);
    }

    /// Takes what was written to the store's log behind the known list, up to `end`.
    pub fn take_targets_delta(&self, delta: Delta, end: Position, as_of: Duration) {
        let changes = self.state.borrow_mut().apply_delta(delta, end, as_of);
        let Some(changes) = changes else {
            return;
        };
        self.tell_changes(&changes, STORE, as_of);
        self.targets_changed(!changes.is_empty(), STORE);
    }

    /// Takes what a peer's list has that this router's has not.
    pub(crate) fn take_targets_told(&self, told: Told) {
        let as_of = told.as_of;
        let first = self.targets_at().is_none();
        if first {
            let list = List {
                targets: told.delta.written,
                unreadable: Vec::new(),
                as_of,
                settled: told.settled,
                reading: Some(told.reading),
                position: told.position,
            };
            self.take_targets(list, PEER);
            return;
        }
        let changes = self.state.borrow_mut().apply_peer_delta(told);
        self.tell_changes(&changes, PEER, as_of);
        self.targets_changed(!changes.is_empty(), PEER);
    }

    /// The list was taken or confirmed; `changed` if anything is new.
    fn targets_changed(&self, changed: bool, source: &str) {
        if source == STORE || changed {
            gossip::spread(self);
        }
        if changed {
            self.pool.trim(self.now(), |tag| self.gone(tag));
            self.room_came();
        }
    }

    /// Carries out the changes of a list. Its reader tells the log of each, the others of a few: in a
    /// large fleet a release would else fill the logs of all routers.
    fn tell_changes(&self, changes: &[Change], source: &str, as_of: Duration) {
        let most = if source == STORE { usize::MAX } else { LINES };
        for (number, change) in changes.iter().enumerate() {
            self.carry_out(change);
            if number < most {
                self.tell_change(change, source, as_of);
            }
        }
        let more = changes.len().saturating_sub(most);
        if more > 0 {
            let line = self.journal.line("targets_changed");
            let line = line.with("more", more).with("source", source);
            drop(line.with_ms("age_ms", self.now().saturating_sub(as_of)));
        }
    }

    fn carry_out(&self, change: &Change) {
        if let Change::Ended(target) = change {
            cut::ended(self, target);
            self.forget(target.tag());
        }
    }

    /// Carries out a change that a target or a peer has told, and tells the log.
    pub(crate) fn apply_change(&self, change: &Change, source: &str, as_of: Duration) {
        self.carry_out(change);
        self.tell_change(change, source, as_of);
    }

    /// The line on a change of the list of targets.
    fn tell_change(&self, change: &Change, source: &str, as_of: Duration) {
        let (event, target) = match change {
            Change::Added(target) => ("target_came", target),
            Change::Leaving(target) => ("target_leaves", target),
            Change::Suspended(target) => ("target_suspended", target),
            Change::Ended(target) => ("target_ended", target),
        };
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
            self.apply_change(&change, "target", now);
            self.pool.trim(now, |tag| self.gone(tag));
            self.room_came();
        }
    }

    fn gone(&self, tag: Tag) -> bool {
        self.state.borrow().registry.get(tag).is_none()
    }

    fn forget(&self, tag: Tag) {
        self.state.borrow_mut().remove_target(tag);
    }

    /// Whether a target with this identity is known.
    #[must_use]
    pub fn knows_target(&self, id: &str) -> bool {
        let state = self.state.borrow();
        state.registry.targets().any(|it| it.id.as_ref() == id)
    }

    /// How many targets are known.
    #[must_use]
    pub fn targets_known(&self) -> usize {
        self.state.borrow().registry.targets().count()
    }

    /// When the list of targets was true, its own or confirmed by a peer.
    #[must_use]
    pub fn targets_at(&self) -> Option<Duration> {
        self.look_for_wake();
        self.state.borrow().registry.read_at()
    }

    /// How long ago that was.
    #[must_use]
    pub fn targets_age(&self) -> Option<Duration> {
        let read_at = self.targets_at();
        read_at.map(|at| self.now().saturating_sub(at))
    }

    /// Where the store's log goes on behind the list of targets; none if the list has to be read as a
    /// whole.
    #[must_use]
    pub fn targets_position(&self) -> Option<Position> {
        let state = self.state.borrow();
        let position = state.registry_position;
        position.filter(|it| Some(it.era) == state.store.newest())
    }

    /// The store has forgotten what lies behind the list of targets.
    pub fn forget_targets_position(&self) {
        self.state.borrow_mut().registry_position = None;
    }

    /// Another target has this one's address.
    pub fn replaced(&self, target: &Target) {
        self.state
            .borrow_mut()
            .registry
            .remove_replaced(target.tag());
        cut::ended(self, target);
        self.forget(target.tag());
        let line = self.journal.line("target_replaced");
        drop(line.with("target", target.id.as_ref()));
    }
}
