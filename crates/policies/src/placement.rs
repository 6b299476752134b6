//! Which of the targets that could run a request now is taken.
//!
//! All of them are fair choices: the fair order has been applied before a
//! placement is asked, and each candidate has a free slot.

use dunlinward_kernel::plugin::{Candidate, Placement};

/// Worth of one cached prefix block against one free slot in a thousand.
const BLOCK_WORTH: i64 = 50;

/// Worth of being in the same failure domain, in thousandths of free slots.
const NEAR_WORTH: i64 = 10;

fn random(candidate: &Candidate) -> i64 {
    i64::from(candidate.draw)
}

/// Free slots in thousandths of all, a bit for being near, ties by draw.
fn least(candidate: &Candidate) -> i64 {
    let slots = i64::from(candidate.slots.max(1));
    let free = i64::from(candidate.free.min(candidate.slots)) * 1_000 / slots;
    let near = if candidate.near { NEAR_WORTH } else { 0 };
    let tie = i64::from(candidate.draw >> 16);
    ((free + near) << 16) + tie
}

/// Cached blocks first, free slots as in [`least`] second.
fn affinity(candidate: &Candidate) -> i64 {
    least(candidate) + ((i64::from(candidate.cached) * BLOCK_WORTH) << 16)
}

inventory::submit! { Placement { name: "random", worth: random } }
inventory::submit! { Placement { name: "least", worth: least } }
inventory::submit! { Placement { name: "affinity", worth: affinity } }
