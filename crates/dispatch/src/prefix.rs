//! Prompt prefixes and the targets that keep them.
//!
//! An engine keeps what it has read of a prompt's shared parts. Each shared
//! prefix has an order of targets by rendezvous hashing, the same at every
//! router without a word between them; the first is its home. Besides, a router
//! remembers to which targets it sent a prefix lately.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use crate::target::Tag;

/// How long a target is taken to keep a prefix after its last use.
const KEPT: Duration = Duration::from_secs(10);

/// Uses remembered at the most.
const MOST: usize = 8_192;

/// Identity of a prefix: the hash of its parts in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part, as the caller names it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt as a request describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens in all.
    pub tokens: u64,
    /// Tokens that the answer may have at most.
    pub answer_tokens: u64,
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Tokens of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|it| it.tokens).sum()
    }

    /// Tokens that only this request has.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// The prefix of all shared parts, if there is one.
    #[must_use]
    pub fn prefix(&self) -> Option<Prefix> {
        let shared = self.parts.len().saturating_sub(1);
        if shared == 0 {
            return None;
        }
        let hash = self.parts[..shared]
            .iter()
            .fold(0, |seed, part| xxh64(&part.id.to_le_bytes(), seed));
        Some(Prefix(hash))
    }
}

/// Weight of a target for a prefix; the largest is its home.
#[must_use]
pub fn weight(prefix: Prefix, tag: Tag) -> u64 {
    xxh64(&tag.0.to_le_bytes(), prefix.0)
}

/// Prefixes that this router sent to targets lately.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    uses: HashMap<(Prefix, Tag), Duration>,
}

impl Memory {
    /// Nothing sent yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a target has read a prefix.
    pub fn note(&mut self, prefix: Prefix, tag: Tag, now: Duration) {
        if self.uses.len() >= MOST {
            self.uses.retain(|_, at| now.saturating_sub(*at) < KEPT);
        }
        if self.uses.len() < MOST {
            self.uses.insert((prefix, tag), now);
        }
    }

    /// Whether a target is taken to keep a prefix.
    #[must_use]
    pub fn keeps(&self, prefix: Prefix, tag: Tag, now: Duration) -> bool {
        let at = self.uses.get(&(prefix, tag));
        at.is_some_and(|at| now.saturating_sub(*at) < KEPT)
    }

    /// Forgets a target that has ended.
    pub fn forget(&mut self, tag: Tag) {
        self.uses.retain(|(_, it), _| *it != tag);
    }
}
