//! Assignment of objects to instances without coordination.
//!
//! Rendezvous hashing, also known as highest random weight hashing (Thaler and
//! Ravishankar, 1998): an object is owned by the live instance whose hash with the
//! object's key is the greatest. When an instance fails, only its objects move, and
//! they are spread over the other instances.

use xxhash_rust::xxh64::xxh64;

use crate::key::Key;

/// The weight of an instance for an object.
#[must_use]
pub fn weight(instance: Key, object: Key) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&instance.number().to_le_bytes());
    bytes[4..].copy_from_slice(&object.number().to_le_bytes());
    xxh64(&bytes, 0)
}

/// The instance with the greatest weight for an object.
#[must_use]
pub fn owner(instances: impl Iterator<Item = Key>, object: Key) -> Option<Key> {
    instances.max_by_key(|instance| (weight(*instance, object), *instance))
}
