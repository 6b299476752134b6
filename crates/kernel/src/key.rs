//! Names in messages between routers.
//!
//! Dense indices differ between routers and between configurations, and full names
//! would exceed the control traffic budget. A [`Key`] is the low 32 bits of the
//! xxHash64 (seed 0) of a name: four bytes, the same at all routers. Configurations in
//! which two names of one kind have the same key are rejected, so that within an
//! accepted configuration a key identifies one entity.

use bincode::{Decode, Encode};
use xxhash_rust::xxh64::xxh64;

/// Four-byte hash that identifies a name between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Key([u8; 4]);

impl Key {
    /// The key of a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let [a, b, c, d, ..] = xxh64(name.as_bytes(), 0).to_le_bytes();
        Self([a, b, c, d])
    }

    /// The key as an integer, for hashing and logs.
    #[must_use]
    pub const fn number(self) -> u32 {
        u32::from_le_bytes(self.0)
    }
}
