//! Memory for answers that are read whole before they are forwarded.
//!
//! An answer that is not a stream is kept until it is whole, so that its request can be sent again
//! if it breaks off. Each answer is bounded, but a router reads hundreds at the same time, and
//! targets may send without end. When the sum exceeds its limit, the longest answer is given up.
//! Usual answers are far shorter, so their callers do not notice.
//!
//! Invariant: the sum of all answers that were not given up is at most the limit.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Identity of an answer that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Answer(u64);

/// Bytes of the answers that are being read.
#[derive(Clone, Debug)]
pub struct Ledger {
    limit: u64,
    next: u64,
    total: u64,
    held: BTreeMap<Answer, u64>,
}

impl Ledger {
    /// Creates a ledger without answers, which together may have `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            next: 0,
            total: 0,
            held: BTreeMap::new(),
        }
    }

    /// Adds an answer of which nothing was read yet.
    pub fn begin(&mut self) -> Answer {
        let answer = Answer(self.next);
        self.next += 1;
        self.held.insert(answer, 0);
        answer
    }

    /// Records bytes that were read; returns the answers to be given up, which count no more. Of
    /// equally long answers the oldest is given up first. An unknown answer is ignored.
    pub fn grow(&mut self, answer: Answer, bytes: u64) -> Vec<Answer> {
        let Some(held) = self.held.get_mut(&answer) else {
            return Vec::new();
        };
        *held += bytes;
        self.total += bytes;
        let mut given_up = Vec::new();
        while self.total > self.limit {
            let longest = self
                .held
                .iter()
                .max_by_key(|(id, it)| (**it, Reverse(**id)));
            let Some(longest) = longest.map(|(id, _)| *id) else {
                break;
            };
            self.end(longest);
            given_up.push(longest);
        }
        given_up
    }

    /// Removes an answer.
    pub fn end(&mut self, answer: Answer) {
        let held = self.held.remove(&answer);
        self.total -= held.unwrap_or_default();
    }

    /// Whether an answer counts: it has neither ended nor been given up.
    #[must_use]
    pub fn holds(&self, answer: Answer) -> bool {
        self.held.contains_key(&answer)
    }

    /// Sum of the answers, in bytes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }
}
