//! A model engine in virtual time.
//!
//! The engine batches continuously. At most `slots` streams run at once; the
//! rest wait in the order in which they arrived, since engines know no
//! priorities. Work goes in *iterations*: an iteration processes a bounded
//! chunk of prompt tokens that are not cached, and one token for each stream
//! that has its prompt behind it. It lasts
//!
//! ```text
//! step_base + step_slope * running + prefill * prompt tokens processed
//! ```
//!
//! so a token takes longer the more streams run. Streams join and leave only
//! between iterations. A stream whose prompt ends in an iteration gets its
//! first token from the same iteration.
//!
//! Prompts are cut into [`block`]s whose keys chain, and finished prompts leave
//! their blocks in a [`cache`] of limited size. What happens in the cache is
//! told late and with gaps; the load is told with a lag.
//!
//! A stream that is cancelled or exported gives its slot up at once and is kept
//! for `retention`, within which it can be resumed. It then waits again at the
//! end of the queue, pays for whatever is no longer cached, and continues at
//! the index where it stood: each token is made once.
//!
//! All times are microseconds since a start that the caller chooses. Nothing
//! here reads a clock; the only randomness is the seeded loss of cache events.
//! The caller drives: [`Engine::next_event_at`] tells when to come back, and
//! [`Engine::advance`] returns what happened up to a time. Call `advance` with
//! the present time before any other method that takes one.

pub mod block;
pub mod cache;
mod iteration;
mod load;
mod stream;

use std::collections::{BTreeMap, VecDeque};

pub use block::{BLOCK_TOKENS, Prompt};
pub use cache::{Change, Notice, Page};
pub use load::Load;
pub use stream::{Export, Id, Usage};

use cache::Cache;
use iteration::Iteration;
use load::History;
use stream::{Phase, Stream};

/// How an engine behaves. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Streams that run at once.
    pub slots: usize,
    /// Time of an iteration without any work.
    pub step_base: u64,
    /// Time that each running stream adds to an iteration.
    pub step_slope: u64,
    /// Time that each uncached prompt token adds to an iteration.
    pub prefill: u64,
    /// Most prompt tokens that one iteration processes.
    pub prefill_chunk: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time until a cache event can be read.
    pub notice_delay: u64,
    /// Cache events that are lost, in thousandths.
    pub notice_loss: u32,
    /// Cache events that are kept for readers.
    pub notice_keep: usize,
    /// Age of the load that is reported.
    pub load_lag: u64,
    /// How long a stream that stands still or has finished is kept.
    pub retention: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            step_base: 8_000,
            step_slope: 500,
            prefill: 50,
            prefill_chunk: 512,
            cache_blocks: 4_096,
            notice_delay: 200_000,
            notice_loss: 20,
            notice_keep: 10_000,
            load_lag: 250_000,
            retention: 30_000_000,
        }
    }
}

/// Something that a stream's caller sees.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it happened.
    pub at: u64,
    /// The stream.
    pub stream: Id,
    /// What happened.
    pub kind: Kind,
}

/// What happened to a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The token with index 0 was made.
    FirstToken,
    /// A later token was made.
    Token {
        /// Its index in the answer.
        index: u32,
    },
    /// The answer is complete.
    Finished {
        /// What it cost.
        usage: Usage,
    },
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    streams: BTreeMap<Id, Stream>,
    waiting: VecDeque<Id>,
    running: Vec<Id>,
    /// Streams that stand still, with the time at which they are forgotten.
    expiring: VecDeque<Expiry>,
    iteration: Option<Iteration>,
    cache: Cache,
    history: History,
    next_id: u64,
    slowdown: u64,
    wedged: bool,
}

/// When a stream that stands still may be forgotten.
#[derive(Debug)]
struct Expiry {
    at: u64,
    stream: Id,
}

/// A slowdown of one: normal speed, in percent.
pub const NORMAL_SPEED: u64 = 100;

impl Engine {
    /// An idle engine; `seed` decides which cache events are lost.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let cache = Cache::new(&settings, seed);
        let history = History::new(settings.load_lag);
        Self {
            settings,
            streams: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            expiring: VecDeque::new(),
            iteration: None,
            cache,
            history,
            next_id: 1,
            slowdown: NORMAL_SPEED,
            wedged: false,
        }
    }

    /// Takes a request and returns its stream.
    ///
    /// At least one token is made, whatever `output_tokens` says.
    pub fn submit(&mut self, now: u64, prompt: Prompt, output_tokens: u32) -> Id {
        self.admit(now, Stream::new(prompt, output_tokens.max(1)))
    }

    /// Time of the next iteration's end, when one is under way.
    #[must_use]
    pub fn next_event_at(&self) -> Option<u64> {
        if self.wedged {
            return None;
        }
        self.iteration.as_ref().map(|iteration| iteration.ends_at)
    }

    /// Does everything that is due by `now` and returns it in order.
    pub fn advance(&mut self, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(ends_at) = self.next_event_at().filter(|&at| at <= now) {
            if let Some(iteration) = self.iteration.take() {
                self.complete(iteration, &mut events);
            }
            self.begin(ends_at);
        }
        self.forget(now);
        events
    }

    /// Stops a stream and frees its slot; false when nothing was to stop.
    pub fn cancel(&mut self, now: u64, id: Id) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        if !stream.pause() {
            return false;
        }
        self.running.retain(|&other| other != id);
        self.waiting.retain(|&other| other != id);
        self.expire_later(now, id);
        self.record_load(now);
        true
    }

    /// Lets a stopped stream wait for a slot again; false when it is unknown.
    ///
    /// For a stream that waits, runs or has finished nothing changes.
    pub fn resume(&mut self, now: u64, id: Id) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        if stream.requeue() {
            self.expiring.retain(|expiry| expiry.stream != id);
            self.waiting.push_back(id);
            self.start(now);
        }
        true
    }

    /// Stops a stream, frees its slot and returns what another engine needs to
    /// continue it; `None` when it is unknown or finished.
    pub fn export(&mut self, now: u64, id: Id) -> Option<Export> {
        let export = self.streams.get(&id)?.export()?;
        self.cancel(now, id);
        Some(export)
    }

    /// Takes over a stream from another engine; it continues at the index where
    /// it stood and pays for no token that came along.
    pub fn import(&mut self, now: u64, export: Export) -> Id {
        self.admit(now, Stream::import(export))
    }

    /// The load as it was some time ago.
    #[must_use]
    pub fn load(&self, now: u64) -> Load {
        self.history.at(now)
    }

    /// The load as it is, which a real engine would not tell.
    #[must_use]
    pub fn true_load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            age: 0,
            cached_tokens: self.cache.tokens(),
        }
    }

    /// Cache events that can be read by `now`, from a sequence number on.
    #[must_use]
    pub fn cache_events(&self, now: u64, from: u64) -> Page {
        self.cache.page(now, from)
    }

    /// Leading tokens of a prompt that are cached now.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        self.cache.peek(&prompt.blocks)
    }

    /// Number of tokens that a stream has made.
    #[must_use]
    pub fn generated(&self, id: Id) -> Option<u32> {
        self.streams.get(&id).map(|stream| stream.generated)
    }

    /// What a stream has cost, when it has finished.
    #[must_use]
    pub fn usage(&self, id: Id) -> Option<Usage> {
        let stream = self.streams.get(&id)?;
        (stream.phase == Phase::Finished).then(|| stream.usage())
    }

    /// Makes iterations that begin from now on take `percent` of their time.
    pub fn set_slowdown(&mut self, percent: u64) {
        self.slowdown = percent.max(1);
    }

    /// Stops all progress, or lets it go on.
    pub fn set_wedged(&mut self, now: u64, wedged: bool) {
        self.wedged = wedged;
        if let Some(iteration) = &mut self.iteration {
            iteration.ends_at = iteration.ends_at.max(now);
        }
    }

    fn admit(&mut self, now: u64, stream: Stream) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        self.streams.insert(id, stream);
        self.waiting.push_back(id);
        self.start(now);
        id
    }

    /// Begins an iteration unless one is under way.
    fn start(&mut self, now: u64) {
        if self.iteration.is_none() {
            self.begin(now);
        } else {
            self.record_load(now);
        }
    }

    fn expire_later(&mut self, now: u64, id: Id) {
        let at = now + self.settings.retention;
        self.expiring.push_back(Expiry { at, stream: id });
    }

    fn forget(&mut self, now: u64) {
        while let Some(expiry) = self.expiring.pop_front_if(|expiry| expiry.at <= now) {
            self.streams.remove(&expiry.stream);
        }
    }

    fn record_load(&mut self, now: u64) {
        let load = self.true_load();
        self.history.record(now, load);
    }
}
