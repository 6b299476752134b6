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
//! of being refused by one. Homes are not released here: a prefix that is not requested any more is
//! evicted by the engines themselves. The owner of a cell keeps this state in memory; a new owner
//! starts with the homes that routers report and grows them again.

use std::collections::HashMap;
use std::time::Duration;

use crate::prefix::Prefix;

/// Placements of a prefix that are taken into account.
const DECISIONS: u32 = 10;

/// Number of these that found the homes full before another home is added. A single burst that
/// the homes work off within the objective does not add one.
const MIN_FULL: usize = 3;

/// Time for which older placements count. Engines work off their prefill queues within 1.3
/// objectives, about 1 s, so homes that were full longer ago are no sign of demand. Several seconds
/// include requests of a prefix that arrive a second apart.
const WINDOW: Duration = Duration::from_secs(4);

/// Shortest time between two additional homes of a prefix, and between its first placement and the
/// first of them. A home relieves the others, and others can fetch the prefix from it, only after it
/// has prefilled the prefix, which takes up to half an objective.
const ADD_INTERVAL: Duration = Duration::from_millis(400);

/// Time without requests after which a prefix is forgotten.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of prefixes, of some 120 bytes each.
const MAX_PREFIXES: usize = 8_192;

/// Placements of requests with one prefix.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// The last placements, the newest in the lowest bit; a set bit found the homes full.
    full: u16,
    /// Times of the last placements that found the homes full, the newest first.
    full_at: [Duration; MIN_FULL],
    known_at: Duration,
    updated_at: Duration,
    added_at: Option<Duration>,
}

/// Homes that were added in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Added {
    /// Number of additional homes.
    pub homes: u64,
    /// Largest number of homes of one prefix that got another one.
    pub max_homes: usize,
}

/// Demand for prefixes, at the owner of their cells.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    demands: HashMap<Prefix, Demand>,
    added: Added,
}

impl Replicas {
    /// Records that a request was placed at a home of its prefix, or that the homes were full. Only
    /// requests that may use all of a home's capacity are recorded, each of them once. Does nothing
    /// for a new prefix if the table is full.
    pub fn record(&mut self, prefix: Prefix, full: bool, now: Duration) {
        if self.demands.len() >= MAX_PREFIXES && !self.demands.contains_key(&prefix) {
            return;
        }
        let demand = self.demands.entry(prefix).or_insert_with(|| Demand {
            known_at: now,
            ..Demand::default()
        });
        if full {
            demand.full_at.rotate_right(1);
            demand.full_at[0] = now;
        }
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
        // With enough full placements among the last ones, these are the newest full placements.
        let counts = |at: &Duration| now.saturating_sub(*at) < WINDOW;
        homes > 0
            && homes < max
            && demand.full.count_ones() as usize >= MIN_FULL
            && demand.full_at.iter().all(counts)
            && !recent(demand.known_at)
            && !demand.added_at.is_some_and(recent)
    }

    /// Records that a prefix got another home and has `homes` now. The placements before it no
    /// longer count.
    pub fn record_added(&mut self, prefix: Prefix, homes: usize, now: Duration) {
        self.added.homes += 1;
        self.added.max_homes = self.added.max_homes.max(homes);
        if let Some(demand) = self.demands.get_mut(&prefix) {
            demand.full = 0;
            demand.added_at = Some(now);
        }
    }

    /// Records that a prefix without homes is sent to its first one, which has yet to prefill it.
    /// Earlier placements no longer count. Does nothing for a new prefix if the table is full.
    pub fn record_first(&mut self, prefix: Prefix, now: Duration) {
        self.demands.remove(&prefix);
        if self.demands.len() < MAX_PREFIXES {
            let demand = Demand {
                known_at: now,
                updated_at: now,
                ..Demand::default()
            };
            self.demands.insert(prefix, demand);
        }
    }

    /// Homes that were added since the last call.
    pub fn take_added(&mut self) -> Added {
        std::mem::take(&mut self.added)
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
