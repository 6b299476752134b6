//! Names as they travel between routers.
//!
//! Dense indices differ from router to router and from one configuration to the
//! next, and full names would fill the control budget. A [`Key`] is the low 32
//! bits of xxHash64 (seed 0) of a name: four bytes, the same everywhere. The
//! configuration check refuses two names of one kind that share a key, so within
//! an accepted configuration a key names one entity.

use bincode::{Decode, Encode};
use xxhash_rust::xxh64::xxh64;

/// Four bytes that stand for a name between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Key([u8; 4]);

impl Key {
    /// The key of a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let [a, b, c, d, ..] = xxh64(name.as_bytes(), 0).to_le_bytes();
        Self([a, b, c, d])
    }

    /// The key as a number, for hashing and logs.
    #[must_use]
    pub const fn number(self) -> u32 {
        u32::from_le_bytes(self.0)
    }
}
