//! Cells: the targets of a service, cut into groups that one router can oversee.
//!
//! The targets of a service are cut region by region, as the way to an owner in another one takes
//! longer than a request may wait. Those of a region are cut into cells of about equal size by
//! rendezvous hashing, so that every router cuts alike without a word between them and a
//! target that comes or ends moves few others. A prompt's prefix has its home in
//! one cell of each region. The requests of a cell are placed by one router, its owner (see
//! [`crate::member`]).

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::prefix::Prefix;
use crate::region::Region;
use crate::target::Tag;

/// Targets of a cell, about: the larger of two sizes that were measured on fleets of 90
/// and 140 engines (`docs/design/cells.md`).
pub const TARGETS: usize = 48;

/// Cells of a service in a region at the most: owners tell each other their customers, which grows
/// with the square of the cells (`docs/CAPACITY.md`).
pub const MOST: u16 = 12;

/// Short name of a service in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// The short name of a service.
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
    /// Its number among the cells of the service in that region.
    pub index: u16,
}

/// How many cells a service has in a region.
#[must_use]
pub fn count(targets: usize, per_cell: usize) -> u16 {
    let per_cell = per_cell.max(1);
    let cells = (targets + per_cell / 2) / per_cell;
    u16::try_from(cells).unwrap_or(u16::MAX).clamp(1, MOST)
}

/// The cell of a target among those of its region.
#[must_use]
pub fn index(tag: Tag, count: u16) -> u16 {
    let weight = |cell: &u16| xxh64(&tag.0.to_le_bytes(), u64::from(*cell));
    (0..count).max_by_key(weight).unwrap_or_default()
}

/// The cell that is home to a prefix; a larger cell is home to more.
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

/// Score of a weighted rendezvous: the largest is chosen, in proportion to the weights.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "53 bits of the hash suffice")]
pub fn score(hash: u64, weight: f64) -> f64 {
    const STEPS: f64 = (1u64 << 53) as f64;
    let unit = ((hash >> 11) as f64 + 0.5) / STEPS;
    weight / -unit.ln()
}
