//! The newest start of each server that says when it started.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long the newest start of a server is remembered after it was last listed: longer than any
/// word of an earlier one is on its way, which is some seconds. After that a start that seems older
/// counts, as the server's clock may have been set back.
pub const START_KEPT: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug)]
struct Start {
    born: u64,
    /// When it was last listed.
    at: Duration,
}

/// Newest starts by the servers' identities.
#[derive(Clone, Debug, Default)]
pub(super) struct Starts {
    by_id: HashMap<Arc<str>, Start>,
    refreshed: Duration,
}

impl Starts {
    /// Notes a start that is listed; the newest one of that server.
    pub(super) fn note(&mut self, id: &Arc<str>, born: u64, at: Duration) -> u64 {
        let start = self.by_id.entry(id.clone());
        let start = start.or_insert(Start { born, at });
        if born >= start.born {
            *start = Start { born, at };
        }
        start.born
    }

    /// The newest start of a server, if it has said one.
    pub(super) fn newest(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).map(|it| it.born)
    }

    /// Forgets starts of servers that were not listed for long, whatever earlier ones were.
    pub(super) fn prune(&mut self, now: Duration) {
        self.by_id
            .retain(|_, it| now.saturating_sub(it.at) < START_KEPT);
    }

    /// Notes that servers are still listed as before, now and then.
    pub(super) fn refresh(&mut self, now: Duration, listed: impl Fn(&str) -> bool) {
        if now.saturating_sub(self.refreshed) < START_KEPT / 3 {
            return;
        }
        self.refreshed = now;
        for (id, start) in &mut self.by_id {
            if listed(id) {
                start.at = now;
            }
        }
    }
}
