//! Detection of network partitions between this router and failure domains.
//!
//! Routers of all domains probe each other. When probes into a domain time out and no packet from
//! any of its routers has arrived since, the path there may be cut. The domain's targets may still
//! be up, so they stay eligible; but a connection that was already open no longer proves that a
//! target is reachable, while a new one does.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Consecutive probes into a domain that must time out.
const MIN_MISSES: u32 = 2;

/// Probe intervals without a packet from any router of the domain: 0.4 s. With twenty packets a
/// second drawn evenly from three hundred routers, sixty of them in the domain, a silence of this
/// length occurs once in five times, so timed-out probes are required as well.
const MIN_SILENCE_INTERVALS: u32 = 4;

/// A domain that has been silent for this long has no routers; this says nothing about its targets.
const MAX_SILENCE: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    last_packet: Duration,
    misses: u32,
}

/// Contacts with the routers of each domain.
#[derive(Clone, Debug)]
pub struct Reachability {
    interval: Duration,
    domains: HashMap<Arc<str>, Contact>,
}

impl Reachability {
    /// No contacts yet; `interval` is the time between two probes of a router.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            domains: HashMap::new(),
        }
    }

    /// Records a packet from a router of a domain.
    pub fn record_packet(&mut self, domain: &Arc<str>, now: Duration) {
        let contact = Contact {
            last_packet: now,
            misses: 0,
        };
        self.domains.insert(domain.clone(), contact);
    }

    /// Records that a probe to a router of a domain timed out.
    pub fn record_miss(&mut self, domain: &str) {
        if let Some(contact) = self.domains.get_mut(domain) {
            contact.misses += 1;
        }
    }

    /// Whether the path to a domain may be cut.
    #[must_use]
    pub fn may_be_partitioned(&self, domain: &str, now: Duration) -> bool {
        self.domains.get(domain).is_some_and(|contact| {
            let silence = now.saturating_sub(contact.last_packet);
            let in_range =
                silence >= self.interval * MIN_SILENCE_INTERVALS && silence < MAX_SILENCE;
            in_range && contact.misses >= MIN_MISSES
        })
    }
}
