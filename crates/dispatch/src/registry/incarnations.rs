//! Newest incarnation of each server that publishes a start time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long the newest incarnation of a server is remembered after it was last listed: longer than
/// messages about an earlier one can be in flight, which is some seconds. After that a seemingly
/// older incarnation is accepted, since the server's clock may have been set back.
pub const INCARNATION_RETENTION: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug)]
struct Incarnation {
    born: u64,
    /// When it was last listed.
    listed_at: Duration,
    /// Whether an earlier incarnation was listed after it.
    contradicted: bool,
}

/// Newest incarnations by the servers' identities.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnations {
    by_id: HashMap<Arc<str>, Incarnation>,
    refreshed_at: Duration,
}

impl Incarnations {
    /// Records a listed incarnation; returns the newest start time of that server.
    pub(super) fn record(&mut self, id: &Arc<str>, born: u64, listed_at: Duration) -> u64 {
        let listed = Incarnation {
            born,
            listed_at,
            contradicted: false,
        };
        let incarnation = self.by_id.entry(id.clone()).or_insert(listed);
        if born >= incarnation.born {
            *incarnation = listed;
        } else {
            incarnation.contradicted = true;
        }
        incarnation.born
    }

    /// The newest start time of a server, if one is known.
    pub(super) fn newest(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).map(|it| it.born)
    }

    /// Drops incarnations that have not been listed for [`INCARNATION_RETENTION`]; after that, any
    /// start time of their servers is accepted.
    pub(super) fn prune(&mut self, now: Duration) {
        self.by_id
            .retain(|_, it| now.saturating_sub(it.listed_at) < INCARNATION_RETENTION);
    }

    /// Marks incarnations of servers that are still listed as recently listed, unless the entries
    /// since are of an earlier one. Runs at most once per third of [`INCARNATION_RETENTION`].
    pub(super) fn refresh(&mut self, now: Duration, listed: impl Fn(&str) -> bool) {
        if now.saturating_sub(self.refreshed_at) < INCARNATION_RETENTION / 3 {
            return;
        }
        self.refreshed_at = now;
        for (id, incarnation) in &mut self.by_id {
            if listed(id) && !incarnation.contradicted {
                incarnation.listed_at = now;
            }
        }
    }
}
