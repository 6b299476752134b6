//! Failure domains that may be cut off from this router.
//!
//! Routers of all domains report several times a second. When every router of a
//! domain that reported lately has fallen silent, the way there may be cut. The
//! domain's targets may still be up, so they are not left out; but a connection
//! that was open before proves nothing, and a new one does.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::usage::Peer;

/// Reports in a row that must be missing from each router of a domain.
const MISSED: u32 = 4;

/// A router that has been silent for this long has ended; it says nothing of its domain.
const ENDED: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
struct Heard {
    domain: Arc<str>,
    at: Duration,
}

/// When routers of each domain were heard.
#[derive(Clone, Debug)]
pub struct Reach {
    silence: Duration,
    heard: HashMap<Peer, Heard>,
}

impl Reach {
    /// Nothing heard yet; `interval` is the time between reports.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            silence: interval * MISSED,
            heard: HashMap::new(),
        }
    }

    /// A router of a domain was heard.
    pub fn hear(&mut self, peer: Peer, domain: &Arc<str>, now: Duration) {
        let domain = domain.clone();
        self.heard.insert(peer, Heard { domain, at: now });
        self.heard.retain(|_, it| now.saturating_sub(it.at) < ENDED);
    }

    /// A router is about to end; its silence means nothing.
    pub fn leave(&mut self, peer: Peer) {
        self.heard.remove(&peer);
    }

    /// Whether the way to a domain may be cut.
    #[must_use]
    pub fn doubtful(&self, domain: &str, now: Duration) -> bool {
        let mut known = false;
        for heard in self
            .heard
            .values()
            .filter(|it| it.domain.as_ref() == domain)
        {
            let silent = now.saturating_sub(heard.at);
            if silent < self.silence {
                return false;
            }
            known |= silent < ENDED;
        }
        known
    }
}
