//! The router's list of targets: how updates are applied, and what changes of it cause.

use std::time::Duration;

use dunlinward_dispatch::registry::{Change, Delta};
use dunlinward_dispatch::store::Position;
use dunlinward_dispatch::target::{Tag, Target};

use crate::continuation;
use crate::gossip;
use crate::interruption;
use crate::node::{Node, PeerDelta, STORE, TargetList};

/// Source of a list that was received from a peer.
const PEER: &str = "peer";

/// Limit of changes that are logged one by one when a list comes from a peer.
const MAX_LOGGED_CHANGES: usize = 8;

impl Node {
    /// Applies a complete list of targets.
    pub fn apply_targets(&self, list: TargetList, source: &str) {
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
        // The changes of the first list are not handled one by one: the log line above has their
        // number, and none of its targets has just been added.
        if !first {
            self.handle_changes(&changes, source, as_of);
        }
        self.after_update(!changes.is_empty(), source);
    }

    /// Applies what was written to the store's log after the known list, up to `end`.
    pub fn apply_targets_delta(&self, delta: Delta, end: Position, as_of: Duration) {
        let changes = self.state.borrow_mut().apply_delta(delta, end, as_of);
        let Some(changes) = changes else {
            return;
        };
        self.handle_changes(&changes, STORE, as_of);
        self.after_update(!changes.is_empty(), STORE);
    }

    /// Applies the entries of a peer's list that this router's list lacks.
    pub(crate) fn apply_peer_targets(&self, update: PeerDelta) {
        let as_of = update.as_of;
        let first = self.targets_at().is_none();
        if first {
            let list = TargetList {
                targets: update.delta.written,
                unreadable: Vec::new(),
                as_of,
                settled: update.settled,
                reading: Some(update.reading),
                position: update.position,
            };
            self.apply_targets(list, PEER);
            return;
        }
        let changes = self.state.borrow_mut().apply_peer_delta(update);
        self.handle_changes(&changes, PEER, as_of);
        self.after_update(!changes.is_empty(), PEER);
    }

    /// Called after a list was applied or confirmed. Announces to peers a list that this router has
    /// read itself, and any `changed` list; after a change, also closes connections to removed
    /// targets and has waiting requests placed again.
    fn after_update(&self, changed: bool, source: &str) {
        if source == STORE || changed {
            gossip::push_views(self);
        }
        if changed {
            self.pool.evict(self.now(), |tag| self.is_removed(tag));
            self.notify_capacity();
            continuation::sync(self);
        }
    }

    /// Handles the changes of a list. The router that read the list from the store logs all of
    /// them, the others only the first [`MAX_LOGGED_CHANGES`]: otherwise a release in a large fleet
    /// would fill the logs of all routers.
    fn handle_changes(&self, changes: &[Change], source: &str, as_of: Duration) {
        let limit = if source == STORE {
            usize::MAX
        } else {
            MAX_LOGGED_CHANGES
        };
        for (number, change) in changes.iter().enumerate() {
            self.handle_change(change);
            if number < limit {
                self.log_change(change, source, as_of);
            }
        }
        let unlogged = changes.len().saturating_sub(limit);
        if unlogged > 0 {
            let line = self.journal.line("targets_changed");
            let line = line.with("more", unlogged).with("source", source);
            drop(line.with_ms("age_ms", self.now().saturating_sub(as_of)));
        }
    }

    fn handle_change(&self, change: &Change) {
        if let Change::Ended(target) = change {
            interruption::record_removal(self, target);
            self.remove_state(target.tag());
        }
    }

    /// Handles and logs a change that was reported by a target or a peer.
    pub(crate) fn apply_change(&self, change: &Change, source: &str, as_of: Duration) {
        self.handle_change(change);
        self.log_change(change, source, as_of);
    }

    /// Logs a change of the list of targets.
    fn log_change(&self, change: &Change, source: &str, as_of: Duration) {
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
        let line = line.with("version", target.version.as_deref());
        drop(line.with("source", source).with_ms("age_ms", age));
    }

    /// Handles a target's report that it restarted at `born`: the state of earlier incarnations is
    /// discarded. The target receives requests again as soon as it is listed.
    pub(crate) fn supersede_target(&self, target: &Target, born: u64) {
        let now = self.now();
        let change = self
            .state
            .borrow_mut()
            .registry
            .supersede(&target.id, born, now);
        if let Some(change) = change {
            self.apply_change(&change, "target", now);
            self.pool.evict(now, |tag| self.is_removed(tag));
            self.notify_capacity();
        }
    }

    fn is_removed(&self, tag: Tag) -> bool {
        self.state.borrow().registry.get(tag).is_none()
    }

    fn remove_state(&self, tag: Tag) {
        self.state.borrow_mut().remove_target(tag);
    }

    /// Whether a target with this identity is known.
    #[must_use]
    pub fn knows_target(&self, id: &str) -> bool {
        let state = self.state.borrow();
        state.registry.targets().any(|it| it.id.as_ref() == id)
    }

    /// Number of known targets.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.state.borrow().registry.targets().count()
    }

    /// When the list of targets was current, as read by this router or confirmed by a peer.
    #[must_use]
    pub fn targets_at(&self) -> Option<Duration> {
        self.detect_suspension();
        self.state.borrow().registry.read_at()
    }

    /// Time since the list of targets was current.
    #[must_use]
    pub fn targets_age(&self) -> Option<Duration> {
        let read_at = self.targets_at();
        read_at.map(|at| self.now().saturating_sub(at))
    }

    /// Position in the store's log after the list of targets; `None` if the whole list must be
    /// read.
    #[must_use]
    pub fn targets_position(&self) -> Option<Position> {
        let state = self.state.borrow();
        let position = state.registry_position;
        position.filter(|it| Some(it.era) == state.store.newest())
    }

    /// Discards the log position, as the store no longer has the records after it.
    pub fn clear_targets_position(&self) {
        self.state.borrow_mut().registry_position = None;
    }

    /// Whether the software version of some target is unknown.
    #[must_use]
    pub fn lacks_target_versions(&self) -> bool {
        self.state.borrow().registry.lacks_versions()
    }

    /// Removes a target whose address is now used by another one.
    pub fn remove_replaced_target(&self, target: &Target) {
        self.state
            .borrow_mut()
            .registry
            .remove_replaced(target.tag());
        interruption::record_removal(self, target);
        self.remove_state(target.tag());
        let line = self.journal.line("target_replaced");
        drop(line.with("target", target.id.as_ref()));
    }
}
