//! XOR digests of the known members, with which two routers find the differences between their
//! views.
//!
//! Members are assigned to buckets by the hash of their address; the hash of a bucket doesn't
//! depend on the order of insertion. Each packet carries one digest over all buckets, a pull
//! carries the hash of each bucket, so that only buckets that differ are sent.

use xxhash_rust::xxh64::xxh64;

use crate::member::Descriptor;

/// Number of buckets; at 300 members each holds about ten, a third of a kilobyte.
const BUCKETS: u8 = 32;

/// Hash of each bucket.
#[derive(Clone, Debug)]
pub(super) struct Digest {
    buckets: [u32; BUCKETS as usize],
}

impl Digest {
    /// The digest of an empty view.
    pub(super) fn new() -> Self {
        Self {
            buckets: [0; BUCKETS as usize],
        }
    }

    /// Adds or removes a member.
    pub(super) fn toggle(&mut self, router: &Descriptor) {
        let seed = u64::from(router.address.port());
        let hash = xxh64(&router.peer.0.to_le_bytes(), seed);
        let [a, b, c, d, ..] = hash.to_le_bytes();
        self.buckets[usize::from(bucket(router))] ^= u32::from_le_bytes([a, b, c, d]);
    }

    /// The digest over all buckets.
    pub(super) fn combined(&self) -> u32 {
        // Rotated, so that equal changes of two buckets don't cancel.
        let buckets = self.buckets.iter();
        buckets.fold(0, |sum: u32, bucket| sum.rotate_left(1) ^ bucket)
    }

    /// The hash of each bucket.
    pub(super) fn buckets(&self) -> Vec<u32> {
        self.buckets.to_vec()
    }

    /// The buckets whose hashes differ from those of another router.
    pub(super) fn differing(&self, sums: &[u32]) -> Vec<u8> {
        let buckets = (0u8..).zip(&self.buckets);
        let differing = buckets.filter(|(bucket, sum)| sums.get(usize::from(*bucket)) != Some(sum));
        differing.map(|(bucket, _)| bucket).collect()
    }
}

/// The bucket of a member, by its address.
pub(super) fn bucket(router: &Descriptor) -> u8 {
    let hash = xxh64(router.address.to_string().as_bytes(), 0);
    u8::try_from(hash % u64::from(BUCKETS)).unwrap_or_default()
}
