//! Sums of the members that a router knows, by which two routers find what they know unequally.
//!
//! Members fall into parts by their addresses; the sum of a part doesn't depend on the
//! order in which they came. One sum over all goes with each packet, those of the parts
//! with a pull, so that only parts that differ are sent.

use xxhash_rust::xxh64::xxh64;

use crate::member::Card;

/// Parts: at 300 members some ten in each, a third of a kilobyte.
const PARTS: u8 = 32;

/// Sums by part.
#[derive(Clone, Debug)]
pub(super) struct Digest {
    parts: [u32; PARTS as usize],
}

impl Digest {
    /// The sum of nobody.
    pub(super) fn new() -> Self {
        Self {
            parts: [0; PARTS as usize],
        }
    }

    /// A member came or went.
    pub(super) fn flip(&mut self, card: &Card) {
        let seed = u64::from(card.address.port());
        let hash = xxh64(&card.peer.0.to_le_bytes(), seed);
        let [a, b, c, d, ..] = hash.to_le_bytes();
        self.parts[usize::from(part(card))] ^= u32::from_le_bytes([a, b, c, d]);
    }

    /// The sum over all parts.
    pub(super) fn sum(&self) -> u32 {
        // Rotated, so that equal changes of two parts don't cancel.
        let parts = self.parts.iter();
        parts.fold(0, |sum: u32, part| sum.rotate_left(1) ^ part)
    }

    /// The sums of the parts.
    pub(super) fn parts(&self) -> Vec<u32> {
        self.parts.to_vec()
    }

    /// The parts that differ from another router's sums.
    pub(super) fn differing(&self, sums: &[u32]) -> Vec<u8> {
        let parts = (0u8..).zip(&self.parts);
        let differing = parts.filter(|(part, sum)| sums.get(usize::from(*part)) != Some(sum));
        differing.map(|(part, _)| part).collect()
    }
}

/// The part that a member belongs to, by its address.
pub(super) fn part(card: &Card) -> u8 {
    let hash = xxh64(card.address.to_string().as_bytes(), 0);
    u8::try_from(hash % u64::from(PARTS)).unwrap_or_default()
}
