//! Iterations: who gets a slot, what is worked on, and what comes of it.

use super::stream::Phase;
use super::{Engine, Event, Id, Kind, NORMAL_SPEED};

/// An iteration under way.
#[derive(Debug)]
pub(super) struct Iteration {
    pub ends_at: u64,
    /// Streams that get a token when it ends.
    decoding: Vec<Id>,
    /// Prompt tokens processed in it.
    prefilling: Vec<Prefill>,
}

/// One stream's part of the prompt work of an iteration.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    stream: Id,
    tokens: u32,
}

impl Engine {
    /// Admits waiting streams and begins an iteration if any stream runs.
    pub(super) fn begin(&mut self, now: u64) {
        while self.running.len() < self.settings.slots {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.enter(id);
        }
        self.record_load(now);
        if !self.running.is_empty() {
            self.iteration = Some(self.plan(now));
        }
    }

    /// Gives a stream a slot and looks up what of it is cached.
    fn enter(&mut self, id: Id) {
        if let Some(stream) = self.streams.get_mut(&id) {
            let cached = self.cache.touch(&stream.prompt.blocks);
            stream.enter(cached);
            self.running.push(id);
        }
    }

    /// Shares the prompt work of an iteration out in the order of admission.
    fn plan(&self, now: u64) -> Iteration {
        let mut budget = self.settings.prefill_chunk.max(1);
        let mut decoding = Vec::new();
        let mut prefilling = Vec::new();
        for &id in &self.running {
            match self.streams.get(&id).map(|stream| stream.phase) {
                Some(Phase::Prefilling { left }) if budget > 0 => {
                    let tokens = left.min(budget);
                    budget -= tokens;
                    prefilling.push(Prefill { stream: id, tokens });
                }
                Some(Phase::Decoding) => decoding.push(id),
                _ => {}
            }
        }
        Iteration {
            ends_at: now + self.duration(&prefilling),
            decoding,
            prefilling,
        }
    }

    fn duration(&self, prefilling: &[Prefill]) -> u64 {
        let prompt: u64 = prefilling.iter().map(|part| u64::from(part.tokens)).sum();
        let running = self.running.len() as u64;
        let time = self.settings.step_base
            + self.settings.step_slope * running
            + self.settings.prefill * prompt;
        (time * self.slowdown / NORMAL_SPEED).max(1)
    }

    /// Applies the work of an iteration to the streams that are still there.
    pub(super) fn complete(&mut self, iteration: Iteration, events: &mut Vec<Event>) {
        let at = iteration.ends_at;
        for part in iteration.prefilling {
            let Some(stream) = self.streams.get_mut(&part.stream) else {
                continue;
            };
            if stream.prefill(part.tokens) {
                self.cache.store(at, &stream.prompt.blocks);
                self.emit(at, part.stream, events);
            }
        }
        for id in iteration.decoding {
            self.emit(at, id, events);
        }
    }

    /// Makes one token of a stream that is decoding.
    fn emit(&mut self, at: u64, id: Id, events: &mut Vec<Event>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let Some(index) = stream.generate() else {
            return;
        };
        let kind = match index {
            0 => Kind::FirstToken,
            _ => Kind::Token { index },
        };
        events.push(Event {
            at,
            stream: id,
            kind,
        });
        if stream.phase == Phase::Finished {
            let usage = stream.usage();
            let kind = Kind::Finished { usage };
            events.push(Event {
                at,
                stream: id,
                kind,
            });
            self.running.retain(|&other| other != id);
            self.expire_later(at, id);
        }
    }
}
