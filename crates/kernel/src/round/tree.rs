//! The tree over which a failure domain sums its accounts.
//!
//! Reachable instances of the domain are sorted by their rendezvous weight for it.
//! Leaving ones come last, but are included so that their charges are still counted.
//! The first is the root, and the one at index `i` has the children `2i + 1` and
//! `2i + 2`. Every instance computes the tree from its own view. While views differ,
//! an instance may receive a round twice or not at all; the rounds detect both.
//! Two children per node limit the traffic of a node to three links.

use std::cmp::Reverse;

use crate::key::Key;
use crate::membership::View;
use crate::rendezvous::weight;

/// Greatest number of children of a node.
const FAN_OUT: usize = 2;

/// The tree of one failure domain, from the view of one instance.
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

    /// The root of the domain.
    #[must_use]
    pub fn root(&self) -> Option<Key> {
        self.order.first().copied()
    }

    /// The instance that becomes root when the root fails.
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
