//! The load report, which tells how things stood a while ago.

use std::collections::VecDeque;

/// An engine's load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Streams that run.
    pub running: usize,
    /// Streams that wait inside the engine.
    pub waiting: usize,
    /// Age of the report in microseconds.
    pub age: u64,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct Sample {
    at: u64,
    load: Load,
}

/// Samples back to the one that is reported now.
#[derive(Debug)]
pub(super) struct History {
    lag: u64,
    samples: VecDeque<Sample>,
}

impl History {
    pub fn new(lag: u64) -> Self {
        let samples = VecDeque::new();
        Self { lag, samples }
    }

    pub fn record(&mut self, now: u64, load: Load) {
        if self.samples.back().is_some_and(|last| last.load == load) {
            return;
        }
        self.samples.push_back(Sample { at: now, load });
        let seen = now.saturating_sub(self.lag);
        while self.samples.get(1).is_some_and(|second| second.at <= seen) {
            self.samples.pop_front();
        }
    }

    pub fn at(&self, now: u64) -> Load {
        let seen = now.saturating_sub(self.lag);
        let upto = self.samples.partition_point(|sample| sample.at <= seen);
        let load = match upto {
            0 => Load::default(),
            _ => self.samples[upto - 1].load,
        };
        Load {
            age: now - seen,
            ..load
        }
    }
}
