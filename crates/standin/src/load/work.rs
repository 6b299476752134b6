//! Customers, the work that they ask for, and the desk where a customer's
//! clients come for their next call.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::distr::weighted::WeightedIndex;
use rand::distr::{Distribution, Open01};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Settings;

/// How a customer's calls arrive.
#[derive(Clone, Copy, Debug)]
pub enum Arrivals {
    /// At random times at a mean rate, from at most so many clients.
    Open {
        /// Mean calls in a second.
        per_second: f64,
        /// Calls under way at once.
        clients: usize,
    },
    /// From clients that each wait for their answer and then pause.
    Closed {
        /// Number of clients.
        clients: usize,
        /// Pause after an answer.
        pause: Duration,
    },
}

impl Arrivals {
    /// Number of clients, each of which is a thread.
    #[must_use]
    pub fn clients(self) -> usize {
        match self {
            Self::Open { clients, .. } | Self::Closed { clients, .. } => clients,
        }
    }
}

/// Who calls, and for what.
#[derive(Clone, Debug)]
pub struct Customer {
    /// The customer's name.
    pub name: Arc<str>,
    /// The bearer key.
    pub key: Arc<str>,
    /// The share that was declared, for reports.
    pub share: u32,
    /// How calls arrive.
    pub arrivals: Arrivals,
    /// What is asked for.
    pub mix: Vec<Item>,
}

impl Customer {
    /// A customer with the key `key-<name>` and no work yet.
    #[must_use]
    pub fn new(name: impl Into<Arc<str>>, share: u32, arrivals: Arrivals) -> Self {
        let name = name.into();
        Self {
            key: format!("key-{name}").into(),
            name,
            share,
            arrivals,
            mix: Vec::new(),
        }
    }

    /// Adds work with a weight against the rest of the mix.
    #[must_use]
    pub fn with_work(mut self, weight: u32, work: Work) -> Self {
        self.mix.push(Item { weight, work });
        self
    }
}

/// A part of a customer's mix.
#[derive(Clone, Debug)]
pub struct Item {
    /// Weight against the rest.
    pub weight: u32,
    /// What is asked for.
    pub work: Work,
}

/// One kind of call.
#[derive(Clone, Debug)]
pub struct Work {
    /// Name in reports.
    pub name: Arc<str>,
    /// Path to call.
    pub path: Arc<str>,
    /// Service to name in a header, for calls of models.
    pub service: Option<Arc<str>>,
    /// What is called.
    pub kind: Kind,
}

/// What is called.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A model.
    Model(Completion),
    /// A plain service by GET.
    Lookup,
    /// A plain service by POST with a fresh idempotency key.
    Submission {
        /// Size of the body in bytes.
        bytes: usize,
    },
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The model.
    pub model: Arc<str>,
    /// Leading words that all of the customer's prompts share.
    pub shared_words: u32,
    /// Further words of each prompt.
    pub own_words: RangeInclusive<u32>,
    /// Tokens of the answer.
    pub output_tokens: RangeInclusive<u32>,
    /// The `max_tokens` that is sent, which is a rough hint only.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// One call to make.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Number among the customer's calls.
    pub number: u64,
    /// When it should start.
    pub due: Instant,
    /// Where it goes.
    pub router: SocketAddr,
    /// What is asked for.
    pub work: Work,
    /// Seed of its content.
    pub seed: u64,
}

/// Hands out a customer's calls.
#[derive(Debug)]
pub(super) struct Desk {
    pub customer: Customer,
    routers: Vec<SocketAddr>,
    ranks: Option<WeightedIndex<f64>>,
    mix: Option<WeightedIndex<u32>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: Pcg64Mcg,
    next: u64,
    due: Instant,
}

impl Desk {
    pub fn new(settings: &Settings, customer: Customer, seed: u64, started: Instant) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut routers = settings.routers.clone();
        routers.shuffle(&mut rng);
        let ranks = (1u32..).take(routers.len());
        let weights = ranks.map(|rank| f64::from(rank).powf(-settings.skew));
        let mix = customer.mix.iter().map(|item| item.weight);
        Self {
            ranks: WeightedIndex::new(weights).ok(),
            mix: WeightedIndex::new(mix).ok(),
            customer,
            routers,
            state: Mutex::new(State {
                rng,
                next: 0,
                due: started,
            }),
        }
    }

    /// The next call; `None` when there is nothing to ask or nobody to ask it.
    pub fn call(&self) -> Option<Call> {
        let (ranks, mix) = (self.ranks.as_ref()?, self.mix.as_ref()?);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let number = state.next;
        state.next += 1;
        let due = match self.customer.arrivals {
            Arrivals::Open { per_second, .. } => state.arrive(per_second),
            Arrivals::Closed { .. } => Instant::now(),
        };
        Some(Call {
            number,
            due,
            router: self.routers[ranks.sample(&mut state.rng)],
            work: self.customer.mix[mix.sample(&mut state.rng)].work.clone(),
            seed: state.rng.random(),
        })
    }
}

/// Longest gap between two open arrivals, in seconds.
const MAX_GAP: f64 = 3600.0;

impl State {
    /// Draws the time of the next open arrival.
    fn arrive(&mut self, per_second: f64) -> Instant {
        let draw: f64 = Open01.sample(&mut self.rng);
        let gap = (-draw.ln() / per_second).clamp(0.0, MAX_GAP);
        self.due += Duration::from_secs_f64(gap);
        self.due
    }
}
