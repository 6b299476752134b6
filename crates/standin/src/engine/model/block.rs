//! Prompts as chains of hashed blocks.
//!
//! A prompt's tokens are its words between white space. Every full block of
//! [`BLOCK_TOKENS`] tokens has a key: XXH64 over its words joined by single
//! spaces, with the key of the block before it as the seed (0 for the first).
//! Equal keys therefore mean equal prefixes. A last block that is not full has
//! no key and is never cached.

use std::sync::Arc;

use xxhash_rust::xxh64::xxh64;

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 16;

/// What the engine needs to know of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Keys of the full blocks in order.
    pub blocks: Arc<[u64]>,
    /// Number of tokens, including those after the last full block.
    pub tokens: u32,
}

impl Prompt {
    /// A prompt of known blocks.
    #[must_use]
    pub fn new(blocks: impl Into<Arc<[u64]>>, tokens: u32) -> Self {
        let blocks = blocks.into();
        Self { blocks, tokens }
    }

    /// A prompt of a text.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let words: Vec<&str> = text.split_whitespace().collect();
        let tokens = u32::try_from(words.len()).unwrap_or(u32::MAX);
        let blocks = words
            .chunks_exact(BLOCK_TOKENS as usize)
            .scan(0, |parent, block| {
                *parent = xxh64(block.join(" ").as_bytes(), *parent);
                Some(*parent)
            });
        Self::new(blocks.collect::<Vec<_>>(), tokens)
    }

    /// A made-up prompt: `shared` leading tokens common to a `family`, then
    /// `own` tokens that only the given `member` has.
    #[must_use]
    pub fn synthetic(family: u64, shared: u32, member: u64, own: u32) -> Self {
        let tokens = shared + own;
        let blocks = (0..tokens / BLOCK_TOKENS).scan(0, |parent, number| {
            let is_shared = (number + 1) * BLOCK_TOKENS <= shared;
            let content = if is_shared { family } else { !member };
            *parent = xxh64(&content.to_le_bytes(), *parent);
            Some(*parent)
        });
        Self::new(blocks.collect::<Vec<_>>(), tokens)
    }
}
