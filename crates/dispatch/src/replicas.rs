//! Number of homes of a prompt prefix, by demand.
//!
//! A prefix is cached at the engine that its requests are sent to, its home. If it is requested
//! more than one engine can serve, requests wait or are refused although other engines have
//! capacity, because prefilling the prefix at any engine for each of them would take more time and
//! cache memory than it gains. So a prefix in demand gets further homes: one at a time, each
//! prefilled or fetched once, and only after requests with this prefix have repeatedly found its
//! homes full. The next home is the first engine without the prefix in rendezvous order, so that
//! owners choose the same one after a change of ownership.
//!
//! Clients of a customer whose requests share a prefix are then served by several engines instead
//! of being refused by one. A prefix whose demand ends is evicted by the engines themselves, as it
//! is not sent to them any more. The owner of a cell keeps this state in memory; a new owner starts
//! with the homes that routers report and grows them again.

use std::collections::HashMap;
use std::time::Duration;

use crate::prefix::Prefix;

/// Placements of a prefix that are taken into account.
const DECISIONS: u32 = 10;

/// Number of these that found the homes full before another home is added. A single burst that
/// the homes work off within the objective does not add one.
const MIN_FULL: u32 = 3;

/// Shortest time between two additional homes of a prefix. A new home relieves the others only
/// after it has the prefix, which takes up to half an objective.
const ADD_INTERVAL: Duration = Duration::from_millis(400);

/// Time without requests after which a prefix is forgotten.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of prefixes, of some 60 bytes each.
const MAX_PREFIXES: usize = 8_192;

/// Placements of requests with one prefix.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// The last placements, the newest in the lowest bit; a set bit found the homes full.
    full: u16,
    updated_at: Duration,
    added_at: Option<Duration>,
}

/// Demand for prefixes, at the owner of their cells.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    demands: HashMap<Prefix, Demand>,
}

impl Replicas {
    /// Records that a request was placed at a home of its prefix, or that the homes were full.
    /// Does nothing for a new prefix if the table is full.
    pub fn record(&mut self, prefix: Prefix, full: bool, now: Duration) {
        if self.demands.len() >= MAX_PREFIXES && !self.demands.contains_key(&prefix) {
            return;
        }
        let demand = self.demands.entry(prefix).or_default();
        let mask = (1 << DECISIONS) - 1;
        demand.full = ((demand.full << 1) | u16::from(full)) & mask;
        demand.updated_at = now;
    }

    /// Whether a prefix with `homes` homes may get another one, up to `max`.
    #[must_use]
    pub fn may_add(&self, prefix: Prefix, homes: usize, max: usize, now: Duration) -> bool {
        let Some(demand) = self.demands.get(&prefix) else {
            return false;
        };
        let recent = |at: Duration| now.saturating_sub(at) < ADD_INTERVAL;
        homes > 0
            && homes < max
            && demand.full.count_ones() >= MIN_FULL
            && !demand.added_at.is_some_and(recent)
    }

    /// Records that a prefix got another home. The placements before it no longer count.
    pub fn record_added(&mut self, prefix: Prefix, now: Duration) {
        if let Some(demand) = self.demands.get_mut(&prefix) {
            demand.full = 0;
            demand.added_at = Some(now);
        }
    }

    /// Forgets prefixes that are not requested any more.
    pub fn prune(&mut self, now: Duration) {
        self.demands
            .retain(|_, it| now.saturating_sub(it.updated_at) < RETENTION);
    }

    /// Number of prefixes whose demand is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.demands.len()
    }

    /// Whether no demand is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }
}
