//! One stream and the phases that it goes through.

use super::block::Prompt;

/// Names a stream within its engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// What a stream cost, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the cache saved when the stream was first admitted.
    pub cached_tokens: u32,
    /// Tokens made.
    pub completion_tokens: u32,
}

/// What another engine needs to continue a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Export {
    /// The prompt.
    pub prompt: Prompt,
    /// Tokens to make in all.
    pub output_tokens: u32,
    /// Tokens made so far.
    pub generated: u32,
    /// Prompt tokens that the cache saved.
    pub cached_tokens: u32,
    /// Whether the prompt has been processed, so that its KV cache came along.
    pub processed: bool,
}

/// Where a stream stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It holds a slot and has so many tokens to process before it can decode.
    Prefilling { left: u32 },
    /// It holds a slot and makes tokens.
    Decoding,
    /// It was stopped and may be resumed.
    Paused,
    /// Its answer is complete.
    Finished,
}

#[derive(Debug)]
pub(super) struct Stream {
    pub prompt: Prompt,
    pub phase: Phase,
    pub generated: u32,
    output_tokens: u32,
    /// Set on the first admission.
    cached: Option<u32>,
    /// Whether the KV cache of all its tokens is at hand.
    warm: bool,
}

impl Stream {
    pub fn new(prompt: Prompt, output_tokens: u32) -> Self {
        Self {
            prompt,
            phase: Phase::Waiting,
            generated: 0,
            output_tokens,
            cached: None,
            warm: false,
        }
    }

    pub fn import(export: Export) -> Self {
        Self {
            prompt: export.prompt,
            phase: Phase::Waiting,
            generated: export.generated,
            output_tokens: export.output_tokens.max(export.generated + 1),
            cached: export.processed.then_some(export.cached_tokens),
            warm: export.processed,
        }
    }

    pub fn export(&self) -> Option<Export> {
        if self.phase == Phase::Finished {
            return None;
        }
        Some(Export {
            prompt: self.prompt.clone(),
            output_tokens: self.output_tokens,
            generated: self.generated,
            cached_tokens: self.cached.unwrap_or(0),
            processed: self.phase == Phase::Decoding,
        })
    }

    /// Takes a slot. At least one token is processed unless all came along.
    pub fn enter(&mut self, cached: u32) {
        self.cached.get_or_insert(cached);
        if self.warm {
            self.warm = false;
            self.phase = Phase::Decoding;
            return;
        }
        let left = (self.prompt.tokens + self.generated).saturating_sub(cached);
        self.phase = Phase::Prefilling { left: left.max(1) };
    }

    /// Processes prompt tokens; true when the stream begins to decode.
    pub fn prefill(&mut self, tokens: u32) -> bool {
        let Phase::Prefilling { left } = self.phase else {
            return false;
        };
        let left = left.saturating_sub(tokens);
        if left > 0 {
            self.phase = Phase::Prefilling { left };
            return false;
        }
        self.phase = Phase::Decoding;
        true
    }

    /// Makes a token and returns its index, when the stream is decoding.
    pub fn generate(&mut self) -> Option<u32> {
        if self.phase != Phase::Decoding {
            return None;
        }
        let index = self.generated;
        self.generated += 1;
        if self.generated >= self.output_tokens {
            self.phase = Phase::Finished;
        }
        Some(index)
    }

    /// Stops it; false when it stands still already.
    pub fn pause(&mut self) -> bool {
        let stands = matches!(self.phase, Phase::Paused | Phase::Finished);
        if !stands {
            self.phase = Phase::Paused;
        }
        !stands
    }

    /// Lets it wait again; false when it was not stopped.
    pub fn requeue(&mut self) -> bool {
        let paused = self.phase == Phase::Paused;
        if paused {
            self.phase = Phase::Waiting;
        }
        paused
    }

    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt.tokens,
            cached_tokens: self.cached.unwrap_or(0),
            completion_tokens: self.generated,
        }
    }
}
