//! Bearer keys, of which the configuration holds only digests.
//!
//! A caller proves which customer it is by a bearer key. The file carries the SHA-256 digest of each key, so a
//! leaked file gives no access. Digests are compared in constant time and every customer is looked at for every
//! key, so the time of a look-up tells nothing about which digest came near.

use std::fmt;
use std::str::FromStr;

use serde::{Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{DigestSnafu, Error};
use crate::file::Customer;

/// Bytes of a SHA-256 digest.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of one bearer key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digest of the bearer key `key`.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Whether both digests are equal, in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || DigestSnafu { text }.build();
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES {
            return Err(bad());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let high = nibble(pair[0]).ok_or_else(bad)?;
            let low = nibble(pair[1]).ok_or_else(bad)?;
            *byte = (high << 4) | low;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

/// Position in `customers` of the one whose bearer key is `key`.
#[must_use]
pub fn find(customers: &[Customer], key: &str) -> Option<usize> {
    let digest = Digest::new(key);
    let mut found = None;
    for (position, customer) in customers.iter().enumerate() {
        for known in &customer.key_sha256 {
            if known.matches(&digest) {
                found = Some(position);
            }
        }
    }
    found
}

fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
