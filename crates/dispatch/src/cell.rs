//! Cells: groups of the targets of a service, each small enough for one router to schedule.
//!
//! The targets of a service are divided by region, as the round trip to an owner in another region
//! takes longer than a request may wait. The targets of a region are divided into cells of about
//! equal size by rendezvous hashing, so that all routers arrive at the same cells without
//! coordination and a target that is added or removed moves few others. Each prefix of a prompt has
//! a home cell in each region. The requests of a cell are placed by one router, its owner (see
//! [`crate::member`]).

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::prefix::Prefix;
use crate::region::Region;
use crate::target::Tag;

/// Approximate number of targets in a cell; `docs/design/cells.md` compares two sizes on fleets of
/// 90 and 140 engines, of which this is the larger.
pub const TARGETS_PER_CELL: usize = 48;

/// Limit on the number of cells of a service in a region: owners report their customers to each
/// other, and this traffic grows with the square of the number of cells (`docs/CAPACITY.md`).
pub const MAX_PER_REGION: u16 = 12;

/// Hash of a service's name, for use in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Hashes the name of a service.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of the hash"
    )]
    pub fn new(service: &str) -> Self {
        Self(xxh64(service.as_bytes(), 0) as u32)
    }
}

/// Identity of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// Its service.
    pub service: ServiceTag,
    /// The region of its targets.
    pub region: Region,
    /// Its index among the cells of the service in that region.
    pub index: u16,
}

/// Number of cells of a service in a region.
#[must_use]
pub fn count(targets: usize, per_cell: usize) -> u16 {
    let per_cell = per_cell.max(1);
    let cells = (targets + per_cell / 2) / per_cell;
    u16::try_from(cells)
        .unwrap_or(u16::MAX)
        .clamp(1, MAX_PER_REGION)
}

/// Index of a target's cell among the `count` cells of its region.
#[must_use]
pub fn index(tag: Tag, count: u16) -> u16 {
    let weight = |cell: &u16| xxh64(&tag.0.to_le_bytes(), u64::from(*cell));
    (0..count).max_by_key(weight).unwrap_or_default()
}

/// Index of the home cell of a prefix; cells are chosen in proportion to their sizes.
#[must_use]
pub fn home(prefix: Prefix, sizes: &[usize]) -> Option<u16> {
    let numbered = (0u16..).zip(sizes).filter(|(_, size)| **size > 0);
    #[expect(clippy::cast_precision_loss, reason = "a few hundred targets")]
    let scored = numbered.map(|(index, size)| {
        let hash = xxh64(&index.to_le_bytes(), prefix.0);
        (score(hash, *size as f64), index)
    });
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, index)| index)
}

/// Score for weighted rendezvous hashing: the candidate with the largest score is chosen, in
/// proportion to the weights.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "53 bits of the hash suffice")]
pub fn score(hash: u64, weight: f64) -> f64 {
    const STEPS: f64 = (1u64 << 53) as f64;
    let unit = ((hash >> 11) as f64 + 0.5) / STEPS;
    weight / -unit.ln()
}
