//! Hellos seen lately.
//!
//! A replayed hello cannot become a session, since the acceptor's nonce is
//! fresh. Remembering the nonces of those that did become one lets a replay be
//! counted as what it is, and be refused before any answer is computed. Only
//! authenticated nonces are kept, so a stranger cannot push them out.

use std::collections::{HashSet, VecDeque};

use crate::hello::Nonce;

/// Most nonces remembered.
const MOST: usize = 4096;

/// Nonces of the latest sessions.
#[derive(Debug, Default)]
pub(super) struct Replay {
    order: VecDeque<Nonce>,
    seen: HashSet<Nonce>,
}

impl Replay {
    pub(super) fn contains(&self, nonce: &Nonce) -> bool {
        self.seen.contains(nonce)
    }

    /// Remembers a nonce; false when it was known.
    pub(super) fn insert(&mut self, nonce: Nonce) -> bool {
        if !self.seen.insert(nonce) {
            return false;
        }
        self.order.push_back(nonce);
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}
