//! Target selection for requests.
//!
//! Plain targets are selected here by slot utilization, model engines in `engine` by estimated
//! prefill work.

mod engine;

use std::sync::Arc;
use std::time::Duration;

use crate::cache::Match;
use crate::prefix::{self, Prefix, Prompt};
use crate::speed::Rating;
use crate::target::Target;
use crate::usage::Load;

/// Parameters of target selection.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Largest ratio of an engine's slots that is used.
    pub max_slot_utilization: f64,
    /// Time for prefill at an engine, as a multiple of the request's objective.
    pub prefill_budget: f64,
    /// Extra cost of a token of a shared prefix that has to be recomputed, in tokens.
    pub miss_weight: f64,
    /// Ratio of a target's capacity that is available to a request whose prefix is recomputed
    /// there.
    pub miss_capacity_share: f64,
    /// Extra cost of a fetch from another engine's cache, as a multiple of its duration: it
    /// occupies the links and the memory of both engines.
    pub fetch_weight: f64,
    /// Cost of each running request, in tokens.
    pub running_tokens: f64,
    /// Largest number of requests per slot at a plain target.
    pub plain_requests_per_slot: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_slot_utilization: 0.6,
            prefill_budget: 1.3,
            miss_weight: 4.0,
            miss_capacity_share: 0.1,
            fetch_weight: 300.0,
            running_tokens: 60.0,
            plain_requests_per_slot: 2.0,
        }
    }
}

/// A target that may run a request, with its known state.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub target: Arc<Target>,
    /// Load from all routers.
    pub load: Load,
    /// Whether it is in the failure domain of the router that received the request.
    pub local: bool,
    /// Whether it is assumed to cache the request's prefix, from the requests sent there.
    pub assumed_cached: bool,
    /// Cached tokens of the request's shared parts; none without a recent report.
    pub prefix_match: Option<Match>,
    /// Measured speed.
    pub rating: Rating,
}

/// Criteria of a request for its target.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The prompt; none unless the request is for a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Objective for the time to the first event.
    pub objective: Duration,
    /// Prefill rate of the median engine, in tokens per second.
    pub rate: f64,
    /// Seconds per token of a fetch from another engine's cache; none if fetches are not supported.
    pub fetch_seconds: Option<f64>,
    /// Ratio of the capacity that the request may use, 0 to 1.
    pub capacity_share: f64,
    /// Factor on [`Policy::miss_capacity_share`] for this request.
    pub miss_capacity_scale: f64,
    /// Whether cached prefixes may be fetched from other engines for it.
    pub allow_fetch: bool,
    /// Time since its arrival.
    pub waited: Duration,
    /// Whether its prefix may be recomputed at an engine that does not cache it.
    pub allow_miss: bool,
    /// Whether its prefix may get another home, as those that cache it are full.
    pub allow_replica: bool,
    /// Random value that breaks ties between plain targets.
    pub tie_breaker: u64,
}

/// The selected target.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Arc<Target>,
    /// Prompt tokens to prefill there.
    pub unread: u64,
    /// Whether the shared prefix is expected in the target's cache.
    pub hit: bool,
    /// The target from whose cache the missing part of the prefix is fetched.
    pub fetch: Option<Arc<Target>>,
}

/// Selects a target; none if no candidate has capacity.
#[must_use]
pub fn choose(
    policy: &Policy,
    criteria: &Criteria<'_>,
    candidates: &[Candidate],
) -> Option<Choice> {
    match criteria.prompt {
        Some(prompt) => engine::choose(policy, criteria, prompt, candidates),
        None => choose_plain(policy, criteria, candidates),
    }
}

fn choose_plain(
    policy: &Policy,
    criteria: &Criteria<'_>,
    candidates: &[Candidate],
) -> Option<Choice> {
    let mut best: Option<(f64, u64, Choice)> = None;
    for candidate in candidates {
        let slots = f64::from(candidate.target.slots.max(1));
        let running = f64::from(candidate.load.running);
        if running + 1.0 > slots * policy.plain_requests_per_slot * criteria.capacity_share {
            continue;
        }
        let remote_penalty = if candidate.local { 0.0 } else { 0.5 };
        let cost = (running + remote_penalty) / slots / candidate.rating.speed;
        let tie = prefix::rendezvous_weight(Prefix(criteria.tie_breaker), candidate.target.tag());
        let better = best.as_ref().is_none_or(|(best_cost, best_tie, _)| {
            cost < *best_cost || (cost <= *best_cost && tie < *best_tie)
        });
        if better {
            let target = candidate.target.clone();
            best = Some((
                cost,
                tie,
                Choice {
                    target,
                    unread: 0,
                    hit: true,
                    fetch: None,
                },
            ));
        }
    }
    best.map(|(_, _, choice)| choice)
}
