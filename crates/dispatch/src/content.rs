//! Identity of a request's content.
//!
//! Each of a caller's attempts has its own request identity, while the content is the same for all
//! of them. Contents are identified by a digest, so that records of them are small and reveal
//! nothing of the body.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::cache::PartTag;

/// Digest of a request's content: 128 bits of SHA-256, which are collision-resistant. It covers
/// the customer, so no caller can collide with another customer's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub u128);

/// Method, host and path of a request.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host without port.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
}

impl Digest {
    /// Computes the digest of a request of `customer`. Other parts of the head are left out, as
    /// they may differ between a caller's attempts, such as the remaining time.
    #[must_use]
    pub fn new(endpoint: Endpoint<'_>, customer: Option<&str>, body: &[u8]) -> Self {
        Self::of_segments(endpoint, customer, [body])
    }

    /// The same for a body in segments; it does not depend on where these begin.
    #[must_use]
    pub fn of_segments(
        endpoint: Endpoint<'_>,
        customer: Option<&str>,
        body: impl IntoIterator<Item = impl AsRef<[u8]>>,
    ) -> Self {
        let customer = customer.unwrap_or_default();
        let mut hash = Sha256::new();
        for field in [endpoint.method, endpoint.host, endpoint.path, customer] {
            // The length prefix keeps different fields from giving the same bytes.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field.as_bytes());
        }
        for segment in body {
            hash.update(segment);
        }
        let hash: [u8; 32] = hash.finalize().into();
        let (first, _) = hash.split_at(size_of::<u128>());
        Self(
            first
                .iter()
                .fold(0, |sum, byte| sum << 8 | u128::from(*byte)),
        )
    }
}

impl Digest {
    /// Identifies a part of prompts in records of contents. A digest of a content has such a value
    /// once in 2^96.
    #[must_use]
    pub fn of_part(part: PartTag) -> Self {
        Self(u128::from(part))
    }

    /// The part of prompts that it identifies; none if it is the digest of a content.
    #[must_use]
    pub fn part(self) -> Option<PartTag> {
        PartTag::try_from(self.0).ok()
    }

    /// Parses a hexadecimal digest.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl Display for Digest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Short identifier of a content in messages between routers: half of its digest. To collide with
/// another customer's content takes 2^64 tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentTag(pub u64);

impl Digest {
    /// The short identifier.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low half of the digest"
    )]
    pub fn tag(self) -> ContentTag {
        ContentTag(self.0 as u64)
    }
}
