//! Placement policies: the choice among targets that can run a request now.
//!
//! A placement does not affect fairness: the fair order is applied before, and each
//! candidate has a free slot.

use dunlinward_kernel::plugin::{Candidate, Placement};

/// Score of one cached prefix block, in thousandths of the target's slots.
const CACHED_BLOCK_SCORE: i64 = 50;

/// Score of a target in this router's failure domain, in thousandths of the target's
/// slots.
const SAME_DOMAIN_SCORE: i64 = 10;

/// Uniformly random choice.
fn random(candidate: &Candidate) -> i64 {
    i64::from(candidate.draw)
}

/// Least loaded: the share of free slots in thousandths, plus [`SAME_DOMAIN_SCORE`]
/// for the own failure domain; ties are broken by the pseudo-random draw.
fn least(candidate: &Candidate) -> i64 {
    let slots = i64::from(candidate.slots.max(1));
    let free = i64::from(candidate.free.min(candidate.slots)) * 1_000 / slots;
    let near = if candidate.same_domain {
        SAME_DOMAIN_SCORE
    } else {
        0
    };
    let tie = i64::from(candidate.draw >> 16);
    ((free + near) << 16) + tie
}

/// Cache affinity: [`CACHED_BLOCK_SCORE`] for each cached block, plus the score of
/// [`least`].
fn affinity(candidate: &Candidate) -> i64 {
    least(candidate) + ((i64::from(candidate.cached_blocks) * CACHED_BLOCK_SCORE) << 16)
}

inventory::submit! { Placement { name: "random", score: random } }
inventory::submit! { Placement { name: "least", score: least } }
inventory::submit! { Placement { name: "affinity", score: affinity } }
