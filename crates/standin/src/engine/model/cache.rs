//! The prefix cache and its late, incomplete events.
//!
//! The cache holds a limited number of blocks and evicts the one that was used
//! least recently. Using a prefix touches its blocks from the last to the
//! first, so that a chain loses its end before its beginning.
//!
//! Each change gets the next sequence number. A seeded fraction of the changes
//! is lost: the number is spent and the event never appears, which is how a
//! reader can tell that there was a gap.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Settings;
use super::block::BLOCK_TOKENS;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It came into the cache.
    Stored,
    /// It left the cache.
    Evicted,
}

/// One cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Notice {
    /// Its sequence number.
    pub seq: u64,
    /// What happened.
    pub change: Change,
    /// The key of the block.
    pub block: u64,
}

/// What a reader gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Oldest sequence number that is kept.
    pub first: u64,
    /// Sequence number after the newest that can be read.
    pub next: u64,
    /// Events in order; missing numbers are gaps.
    pub events: Vec<Notice>,
}

/// An event with the time from which it can be read; `None` when it was lost.
#[derive(Debug)]
struct Entry {
    visible_at: u64,
    notice: Option<Notice>,
}

#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    /// Last use by block.
    used: HashMap<u64, u64>,
    /// Blocks by last use.
    order: BTreeMap<u64, u64>,
    uses: u64,
    delay: u64,
    loss: u32,
    keep: usize,
    first: u64,
    entries: VecDeque<Entry>,
    rng: Pcg64Mcg,
}

impl Cache {
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            capacity: settings.cache_blocks,
            used: HashMap::new(),
            order: BTreeMap::new(),
            uses: 0,
            delay: settings.notice_delay,
            loss: settings.notice_loss,
            keep: settings.notice_keep,
            first: 0,
            entries: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Tokens held.
    pub fn tokens(&self) -> u64 {
        self.used.len() as u64 * u64::from(BLOCK_TOKENS)
    }

    /// Leading tokens that are cached.
    pub fn peek(&self, blocks: &[u64]) -> u32 {
        let hits = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block));
        u32::try_from(hits.count()).unwrap_or(u32::MAX) * BLOCK_TOKENS
    }

    /// Leading tokens that are cached, which counts as a use of them.
    pub fn touch(&mut self, blocks: &[u64]) -> u32 {
        let tokens = self.peek(blocks);
        let hits = (tokens / BLOCK_TOKENS) as usize;
        for &block in blocks[..hits].iter().rev() {
            self.mark(block);
        }
        tokens
    }

    /// Brings a whole chain in, as far as it fits.
    pub fn store(&mut self, now: u64, blocks: &[u64]) {
        let fitting = &blocks[..blocks.len().min(self.capacity)];
        for &block in fitting.iter().rev() {
            if !self.mark(block) {
                self.note(now, Change::Stored, block);
            }
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.note(now, Change::Evicted, block);
        }
    }

    pub fn page(&self, now: u64, from: u64) -> Page {
        let visible = self.entries.partition_point(|e| e.visible_at <= now);
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let events = self.entries.iter().take(visible).skip(skip);
        Page {
            first: self.first,
            next: self.first + visible as u64,
            events: events.filter_map(|entry| entry.notice).collect(),
        }
    }

    /// Marks a block as used now; true when it was there before.
    fn mark(&mut self, block: u64) -> bool {
        self.uses += 1;
        self.order.insert(self.uses, block);
        match self.used.insert(block, self.uses) {
            Some(before) => self.order.remove(&before).is_some(),
            None => false,
        }
    }

    fn note(&mut self, now: u64, change: Change, block: u64) {
        let seq = self.first + self.entries.len() as u64;
        let lost = self.rng.random_ratio(self.loss.min(1000), 1000);
        let notice = Notice { seq, change, block };
        self.entries.push_back(Entry {
            visible_at: now + self.delay,
            notice: (!lost).then_some(notice),
        });
        if self.entries.len() > self.keep {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}
