//! A store restored from a backup lists targets that have ended since, and lacks newer ones.

use std::collections::HashMap;
use std::time::Duration;

use super::{REAPPEARANCE_GRACE, Registry};
use crate::store::RESTORE_WINDOW;
use crate::target::{Tag, Target};

/// Time within which the entry of an ended target expires again in a restored store: three
/// heartbeats of 1.2 s, plus one read of the list.
pub const ENTRY_EXPIRY: Duration = Duration::from_secs(5);

/// State for judging the lists of a restored store.
#[derive(Clone, Debug, Default)]
pub(super) struct Restore {
    /// Recently ended targets and when they ended.
    ended: HashMap<Tag, Duration>,
    /// When the store was last restored.
    restored_at: Option<Duration>,
}

impl Restore {
    pub(super) fn record_restore(&mut self, now: Duration) {
        self.restored_at = Some(now);
    }

    pub(super) fn record_ended(&mut self, tag: Tag, as_of: Duration) {
        self.ended.insert(tag, as_of);
    }

    /// Drops targets that ended so long ago that no backup still lists them.
    pub(super) fn prune(&mut self, as_of: Duration) {
        self.ended
            .retain(|_, at| as_of.saturating_sub(*at) < RESTORE_WINDOW);
    }

    /// Whether a list as of `as_of` may contain an ended target only because the backup does.
    pub(super) fn may_resurrect(&self, tag: Tag, as_of: Duration) -> bool {
        // This includes lists requested before the restore was known.
        let unexpired = |at: Duration| as_of < at + ENTRY_EXPIRY;
        self.restored_at.is_some_and(unexpired) && self.ended.contains_key(&tag)
    }

    /// Whether the lists of a restored store are still to be treated with caution.
    pub(super) fn is_active(&self, as_of: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| as_of < at + RESTORE_WINDOW)
    }

    /// Whether a list as of `as_of`, from a peer that observed no outage, shows which targets have
    /// ended. A list from before the restore says nothing about what the backup lacks.
    pub(super) fn confirms_absence(&self, as_of: Duration) -> bool {
        self.restored_at
            .is_none_or(|at| as_of > at + REAPPEARANCE_GRACE)
    }
}

impl Registry {
    /// Records that the store was restored from a backup some seconds old. Targets that the backup
    /// lacks are retained as after an outage; ended targets that it lists again are not considered
    /// alive.
    pub fn record_restore(&mut self, now: Duration) {
        self.restore.record_restore(now);
        self.retain_until = now + REAPPEARANCE_GRACE;
        self.settled_from = now + REAPPEARANCE_GRACE;
    }

    /// Whether a target is listed only because a restored backup still contains it.
    pub(super) fn is_resurrected(&self, target: &Target, as_of: Duration) -> bool {
        let tag = target.tag();
        !self.targets.contains_key(&tag) && self.restore.may_resurrect(tag, as_of)
    }
}
