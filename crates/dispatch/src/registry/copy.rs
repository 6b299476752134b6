//! A store that came back from a copy lists targets that have ended since, and lacks others.

use std::collections::HashMap;
use std::time::Duration;

use super::{RETURN_TIME, Registry};
use crate::store::RESTORE_TIME;
use crate::target::{Tag, Target};

/// Time within which the entry of a target that has ended lapses again in such a store: three
/// heartbeats of 1.2 s, and a reading.
pub const LAPSE: Duration = Duration::from_secs(5);

/// What is known against the lists of such a store.
#[derive(Clone, Debug, Default)]
pub(super) struct Copy {
    /// Targets that have ended lately, and when.
    ended: HashMap<Tag, Duration>,
    /// When the store came back.
    restored_at: Option<Duration>,
}

impl Copy {
    /// The store has come back.
    pub(super) fn restored(&mut self, now: Duration) {
        self.restored_at = Some(now);
    }

    /// A target has ended.
    pub(super) fn ended(&mut self, tag: Tag, as_of: Duration) {
        self.ended.insert(tag, as_of);
    }

    /// Forgets what ended before any copy was made.
    pub(super) fn prune(&mut self, as_of: Duration) {
        self.ended
            .retain(|_, at| as_of.saturating_sub(*at) < RESTORE_TIME);
    }

    /// Whether a list of `as_of` may have a target only as it was in the copy.
    pub(super) fn revives(&self, tag: Tag, as_of: Duration) -> bool {
        // Also one that was asked for before it was known that the store had come back.
        let lapsing = |at: Duration| as_of < at + LAPSE;
        self.restored_at.is_some_and(lapsing) && self.ended.contains_key(&tag)
    }

    /// Whether what such a store lists is still to be judged.
    pub(super) fn restoring(&self, as_of: Duration) -> bool {
        self.restored_at.is_some_and(|at| as_of < at + RESTORE_TIME)
    }

    /// Whether a peer's list of `as_of` that saw no outage tells what has ended. One from before the
    /// store came back says nothing of what the copy lacks.
    pub(super) fn settles(&self, as_of: Duration) -> bool {
        self.restored_at.is_none_or(|at| as_of > at + RETURN_TIME)
    }
}

impl Registry {
    /// The store has come back from a copy some seconds old. What the copy lacks is kept as after
    /// an outage; what it lists again though it had ended is not taken for alive.
    pub fn restored(&mut self, now: Duration) {
        self.copy.restored(now);
        self.keep_until = now + RETURN_TIME;
        self.settled_from = now + RETURN_TIME;
    }

    /// Whether a target is listed only as a copy of the store still has it.
    pub(super) fn revived(&self, target: &Target, as_of: Duration) -> bool {
        let tag = target.tag();
        !self.targets.contains_key(&tag) && self.copy.revives(tag, as_of)
    }
}
