//! The tree over which a failure domain sums its accounts.
//!
//! Reachable instances of the domain are sorted by their rendezvous weight for it,
//! leaving ones last, so that they still hand over what they have charged; the
//! first is the root, and the one at place `i` has the children `2i + 1` and
//! `2i + 2`. Every instance works this out from its own view. Where views differ
//! for a moment an instance is asked twice or not at all; the rounds notice both.
//! Two children keep every node's traffic within three links.

use std::cmp::Reverse;

use crate::key::Key;
use crate::membership::View;
use crate::rendezvous::weight;

/// Children of a node.
const FAN_OUT: usize = 2;

/// The tree of one failure domain, as one instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    order: Vec<Key>,
}

impl Tree {
    /// The tree over the reachable instances of a domain.
    #[must_use]
    pub fn new(view: &View, domain: Key) -> Self {
        let mut order: Vec<(bool, Reverse<(u64, Key)>)> = view
            .all()
            .filter(|(_, member)| member.domain == domain && member.reachable())
            .map(|(key, member)| (member.leaving, Reverse((weight(key, domain), key))))
            .collect();
        order.sort_unstable();
        Self {
            order: order
                .into_iter()
                .map(|(_, Reverse((_, key)))| key)
                .collect(),
        }
    }

    /// The root.
    #[must_use]
    pub fn root(&self) -> Option<Key> {
        self.order.first().copied()
    }

    /// The instance that becomes root when the root dies.
    #[must_use]
    pub fn deputy(&self) -> Option<Key> {
        self.order.get(1).copied()
    }

    /// Children of an instance.
    #[must_use]
    pub fn children(&self, of: Key) -> Vec<Key> {
        let Some(place) = self.place(of) else {
            return Vec::new();
        };
        let first = place * FAN_OUT + 1;
        self.order
            .iter()
            .skip(first)
            .take(FAN_OUT)
            .copied()
            .collect()
    }

    fn place(&self, of: Key) -> Option<usize> {
        self.order.iter().position(|key| *key == of)
    }
}
