//! Failure domains that may be cut off from this router.
//!
//! Routers of all domains probe each other. When probes into a domain go unanswered and
//! no router of it has been heard since, the way there may be cut. The
//! domain's targets may still be up, so they are not left out; but a connection
//! that was open before proves nothing, and a new one does.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Probes into a domain in a row that must go unanswered.
const MISSED: u32 = 2;

/// Intervals between probes for which all its routers must be silent: 0.4 s. Computed for twenty
/// packets a second drawn evenly from three hundred routers, sixty of a domain are all silent for so
/// long once in five times, so unanswered probes must come on top.
const SILENT: u32 = 4;

/// A domain that has been silent for this long has no routers; that says nothing of its targets.
const ENDED: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    heard: Duration,
    missed: u32,
}

/// When routers of each domain were heard.
#[derive(Clone, Debug)]
pub struct Reach {
    interval: Duration,
    domains: HashMap<Arc<str>, Contact>,
}

impl Reach {
    /// Nothing heard yet; `interval` is the time between probes of a router.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            domains: HashMap::new(),
        }
    }

    /// A router of a domain was heard.
    pub fn hear(&mut self, domain: &Arc<str>, now: Duration) {
        let contact = Contact {
            heard: now,
            missed: 0,
        };
        self.domains.insert(domain.clone(), contact);
    }

    /// A router of a domain left a probe unanswered.
    pub fn miss(&mut self, domain: &str) {
        if let Some(contact) = self.domains.get_mut(domain) {
            contact.missed += 1;
        }
    }

    /// Whether the way to a domain may be cut.
    #[must_use]
    pub fn doubtful(&self, domain: &str, now: Duration) -> bool {
        self.domains.get(domain).is_some_and(|contact| {
            let silent = now.saturating_sub(contact.heard);
            let long = silent >= self.interval * SILENT && silent < ENDED;
            long && contact.missed >= MISSED
        })
    }
}
