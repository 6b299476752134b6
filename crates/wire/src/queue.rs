//! Queue: messages that wait for a peer, bounded in number, bytes and age.
//!
//! When the queue is full the oldest message makes room. Messages between
//! routers restate what is current (totals, backlog, grants with a short
//! life), so a newer one is worth more than an older one, and the oldest is
//! the first to lose its meaning. For the same reason a message that waited
//! longer than the age limit is dropped rather than sent.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that each message of a batch counts beyond its own.
pub const OVERHEAD: usize = 16;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Most messages.
    pub messages: usize,
    /// Most bytes of messages; a single larger message is still taken.
    pub bytes: usize,
    /// Longest wait of a message.
    pub age: Duration,
}

/// Messages that wait for one peer, oldest first.
#[derive(Debug)]
pub struct Queue {
    bound: Bound,
    entries: VecDeque<Entry>,
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    at: Instant,
    message: Vec<u8>,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Messages that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a message; yields how many of the oldest were dropped for it.
    pub fn push(&mut self, at: Instant, message: Vec<u8>) -> usize {
        self.bytes += message.len();
        self.entries.push_back(Entry { at, message });
        let mut dropped = 0;
        while self.overfull() && self.take().is_some() {
            dropped += 1;
        }
        dropped
    }

    /// Drops the messages that waited too long; yields how many.
    pub fn expire(&mut self, now: Instant) -> usize {
        let mut dropped = 0;
        while self.overdue(now) && self.take().is_some() {
            dropped += 1;
        }
        dropped
    }

    /// Takes the oldest messages, up to `bytes` together but at least one.
    ///
    /// Each counts [`OVERHEAD`] bytes more than it has, which bounds their number.
    pub fn batch(&mut self, bytes: usize) -> Vec<Vec<u8>> {
        let mut batch = Vec::new();
        let mut size = 0;
        while let Some(entry) = self.entries.front() {
            size = entry.message.len().saturating_add(size + OVERHEAD);
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.extend(self.take());
        }
        batch
    }

    fn take(&mut self) -> Option<Vec<u8>> {
        let entry = self.entries.pop_front()?;
        self.bytes -= entry.message.len();
        Some(entry.message)
    }

    fn overfull(&self) -> bool {
        let many = self.entries.len() > self.bound.messages;
        let large = self.bytes > self.bound.bytes && self.entries.len() > 1;
        many || large
    }

    fn overdue(&self, now: Instant) -> bool {
        self.entries
            .front()
            .is_some_and(|entry| now.saturating_duration_since(entry.at) > self.bound.age)
    }
}
