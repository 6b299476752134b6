//! Prompt prefixes and the targets that keep them.
//!
//! An engine keeps what it has read of a prompt's shared parts until they have
//! not been used for a while. Routers tell each other which prefix they sent
//! where, so each knows the targets that keep one. A prefix that none keeps has
//! a home by rendezvous hashing, the same at every router without a word
//! between them, so that it is not read at two targets at once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::cache::PartTag;
use crate::target::Tag;

/// Shortest time for which a target is taken to keep a prefix after its last use.
const KEPT_LEAST: Duration = Duration::from_secs(5);

/// Longest such time, and that for which uses are remembered.
const KEPT_MOST: Duration = Duration::from_mins(1);

/// How long an engine keeps what is not used: the time in which as much is read as its
/// memory holds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn kept(memory_tokens: u64, tokens_per_second: f64) -> Duration {
    let seconds = memory_tokens as f64 / tokens_per_second.max(1.0);
    Duration::from_secs_f64(seconds.min(KEPT_MOST.as_secs_f64())).max(KEPT_LEAST)
}

/// Uses remembered at the most.
const MOST: usize = 8_192;

/// Identity of a prefix: the hash of its parts in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Short name of the part, as read by the model that is asked for.
    pub id: PartTag,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt as a request describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Tokens in all.
    pub tokens: u64,
    /// Tokens that the answer may have at most.
    pub answer_tokens: u64,
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<Part>,
}

/// The short name of a part that a caller names `id`, as `model` reads it.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "a short name is the low half of the hash"
)]
pub fn part_tag(model: &str, id: u64) -> PartTag {
    xxh64(&id.to_le_bytes(), xxh64(model.as_bytes(), 0)) as PartTag
}

impl Prompt {
    /// The parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Tokens of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|it| it.tokens).sum()
    }

    /// Tokens that only this request has.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// The same with no name for its own part, as short as it can be told to a peer.
    #[must_use]
    pub fn brief(&self) -> Self {
        let own = Part {
            id: 0,
            tokens: self.own_tokens(),
        };
        let shared = self.shared().iter().copied();
        Self {
            tokens: self.tokens,
            answer_tokens: self.answer_tokens,
            parts: shared.chain([own]).collect(),
        }
    }

    /// The prefix of all shared parts, if there is one.
    #[must_use]
    pub fn prefix(&self) -> Option<Prefix> {
        let shared = self.shared();
        if shared.is_empty() {
            return None;
        }
        let hash = shared
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

/// A prefix that was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Use {
    /// Low half of the prefix's identity.
    pub prefix: u32,
    /// The target.
    pub tag: Tag,
}

impl Use {
    /// A use of a prefix at a target.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of the hash"
    )]
    pub fn new(prefix: Prefix, tag: Tag) -> Self {
        Self {
            prefix: prefix.0 as u32,
            tag,
        }
    }
}

/// Prefixes that were sent to targets lately, by this router and its peers.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    uses: HashMap<Use, Duration>,
    recent: VecDeque<(Duration, Use)>,
    /// Places that peers were given and have neither used nor withdrawn.
    expected: HashMap<Use, u32>,
}

impl Memory {
    /// Nothing sent yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that this router sends a prefix to a target.
    pub fn note(&mut self, prefix: Prefix, tag: Tag, now: Duration) {
        let used = Use::new(prefix, tag);
        self.hear(used, now);
        self.recent.push_back((now, used));
    }

    /// Notes what a peer sent.
    pub fn hear(&mut self, used: Use, now: Duration) {
        if self.uses.len() >= MOST {
            self.uses
                .retain(|_, at| now.saturating_sub(*at) < KEPT_MOST);
        }
        if self.uses.len() < MOST {
            self.uses.insert(used, now);
        }
    }

    /// A peer was given a place, and so may send the prefix there. Until that is known, it counts as
    /// sent: requests with the same prefix that come meanwhile go to the same target.
    pub fn expect(&mut self, used: Use) {
        *self.expected.entry(used).or_default() += 1;
    }

    /// A peer that was given a place uses it.
    pub fn sent(&mut self, used: Use, now: Duration) {
        self.not_sent(used);
        self.hear(used, now);
    }

    /// A peer that was given a place does not use it.
    pub fn not_sent(&mut self, used: Use) {
        if let Some(count) = self.expected.get_mut(&used) {
            *count -= 1;
            if *count == 0 {
                self.expected.remove(&used);
            }
        }
    }

    /// What this router sent within `time`, for its report.
    pub fn recent(&mut self, time: Duration, now: Duration) -> Vec<Use> {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > time)
        {
            self.recent.pop_front();
        }
        self.recent.iter().map(|(_, used)| *used).collect()
    }

    /// Whether a target is taken to keep a prefix that was used within `kept`.
    #[must_use]
    pub fn keeps(&self, prefix: Prefix, tag: Tag, kept: Duration, now: Duration) -> bool {
        let used = Use::new(prefix, tag);
        let at = self.uses.get(&used);
        self.expected.contains_key(&used) || at.is_some_and(|at| now.saturating_sub(*at) < kept)
    }

    /// Forgets a target that has ended.
    pub fn forget(&mut self, tag: Tag) {
        self.uses.retain(|it, _| it.tag != tag);
        self.expected.retain(|it, _| it.tag != tag);
    }
}
