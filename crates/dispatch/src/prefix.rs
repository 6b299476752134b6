//! Prompt prefixes and the targets that are assumed to cache them.
//!
//! An engine caches the shared parts of the prompts that it has prefilled, and evicts parts that
//! have not been used for some time. Routers report which prefixes they sent to which targets, so
//! that a router can derive where a prefix is cached. A prefix that no target caches has a home by
//! rendezvous hashing, which all routers compute alike without communication, so that two targets
//! do not prefill it at the same time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::cache::PartTag;
use crate::target::Tag;

/// Shortest time for which a prefix is assumed to be cached after its last use.
const MIN_RETENTION: Duration = Duration::from_secs(5);

/// Longest time for which a prefix is assumed to be cached after its last use, and for which uses
/// are stored.
const MAX_RETENTION: Duration = Duration::from_mins(1);

/// How long an engine caches a prefix after its last use: the time in which it prefills as many
/// tokens as its memory holds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn retention(memory_tokens: u64, tokens_per_second: f64) -> Duration {
    let seconds = memory_tokens as f64 / tokens_per_second.max(1.0);
    Duration::from_secs_f64(seconds.min(MAX_RETENTION.as_secs_f64())).max(MIN_RETENTION)
}

/// Largest number of stored uses.
const MAX_USES: usize = 8_192;

/// Identity of a prefix: the hash of its parts in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Tag of the part under the requested model.
    pub id: PartTag,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt as described by the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Total length in tokens.
    pub tokens: u64,
    /// Limit on the length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Parts in order; the last is specific to the request.
    pub parts: Vec<Part>,
}

/// The tag of the part that a caller identifies by `id`, under `model`; it differs between models.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "a tag is the low half of the hash"
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

    /// Tokens that are specific to this request.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// The prompt without the tag of its own part, the shortest form for messages to peers.
    #[must_use]
    pub fn compact(&self) -> Self {
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

    /// The prefix of all shared parts; none without shared parts.
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

/// Rendezvous weight of a target for a prefix; the target with the largest is its home.
#[must_use]
pub fn rendezvous_weight(prefix: Prefix, tag: Tag) -> u64 {
    xxh64(&tag.0.to_le_bytes(), prefix.0)
}

/// A prefix that was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Use {
    /// Low half of the prefix's hash.
    pub prefix: u32,
    /// The target.
    pub tag: Tag,
}

impl Use {
    /// Creates a use of a prefix at a target.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "uses carry the low half of the hash"
    )]
    pub fn new(prefix: Prefix, tag: Tag) -> Self {
        Self {
            prefix: prefix.0 as u32,
            tag,
        }
    }
}

/// Prefixes that this router and its peers recently sent to targets.
#[derive(Clone, Debug, Default)]
pub struct History {
    uses: HashMap<Use, Duration>,
    recent: VecDeque<(Duration, Use)>,
    /// Number of grants to peers that have been neither used nor withdrawn.
    granted: HashMap<Use, u32>,
}

impl History {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this router sends a prefix to a target.
    pub fn record_sent(&mut self, prefix: Prefix, tag: Tag, now: Duration) {
        let used = Use::new(prefix, tag);
        self.record_use(used, now);
        self.recent.push_back((now, used));
    }

    /// Records that a prefix was sent to a target, such as by a peer; ignored while `MAX_USES`
    /// unexpired uses are stored.
    pub fn record_use(&mut self, used: Use, now: Duration) {
        if self.uses.len() >= MAX_USES {
            self.uses
                .retain(|_, at| now.saturating_sub(*at) < MAX_RETENTION);
        }
        if self.uses.len() < MAX_USES {
            self.uses.insert(used, now);
        }
    }

    /// Records a grant to a peer, which may send the prefix to the target. Until the outcome is
    /// known it counts as sent, so that further requests with the prefix go to the same target.
    pub fn record_grant(&mut self, used: Use) {
        *self.granted.entry(used).or_default() += 1;
    }

    /// Records that a peer uses its grant.
    pub fn confirm_grant(&mut self, used: Use, now: Duration) {
        self.cancel_grant(used);
        self.record_use(used, now);
    }

    /// Records that a peer does not use its grant.
    pub fn cancel_grant(&mut self, used: Use) {
        if let Some(count) = self.granted.get_mut(&used) {
            *count -= 1;
            if *count == 0 {
                self.granted.remove(&used);
            }
        }
    }

    /// Uses by this router within the last `time`, for its report.
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

    /// Whether a target is assumed to cache a prefix: it was used there within `retention`, or a
    /// grant for it is outstanding.
    #[must_use]
    pub fn is_cached(&self, prefix: Prefix, tag: Tag, retention: Duration, now: Duration) -> bool {
        let used = Use::new(prefix, tag);
        let at = self.uses.get(&used);
        self.granted.contains_key(&used) || at.is_some_and(|at| now.saturating_sub(*at) < retention)
    }

    /// Removes a target that has ended.
    pub fn remove_target(&mut self, tag: Tag) {
        self.uses.retain(|it, _| it.tag != tag);
        self.granted.retain(|it, _| it.tag != tag);
    }
}
