//! Selection of a model engine.
//!
//! An engine prefills prompts in order of arrival, so the time to a request's first token is
//! determined by the prompt tokens queued before it, its own tokens, and the part of its shared
//! prefix that the engine does not cache. The cost of a candidate is this sum plus weighted costs
//! for other requests; the cheapest candidate whose prefill queue fits the request's objective is
//! selected.
//!
//! If an engine reports its cache, the missing part of the prefix is fetched from the engine that
//! caches most of it. A fetch takes far less time than prefill, so a request goes to the engine
//! with the shortest queue, whether or not its prefix is cached there. Only tokens that no engine
//! caches, or that are too few for a fetch or cannot be fetched, are prefilled.
//!
//! If an engine reports nothing, the prefixes of requests sent there are assumed to be cached.
//! Recomputing a prefix then costs more than its prefill time, as it also takes memory and time
//! from other requests. A prefix that no engine caches is prefilled at one home engine.
//! While the engines that cache a prefix in demand are full, it gets a further home
//! ([`crate::replicas`]).
//!
//! The budget, the slots and the cost of a candidate follow its measured speed. At an engine whose
//! streams pause, the prefill queue is bounded further, and a prompt that exceeds the bound goes to
//! another engine while one has capacity.

use std::sync::Arc;

use super::{Candidate, Choice, Criteria, Policy};
use crate::prefix::{self, Prefix, Prompt};
use crate::target::{Tag, Target};

/// Smallest fetch. Engines cache blocks of about 16 tokens and prefill two of them in less time
/// than the setup of a transfer takes.
const MIN_FETCH_TOKENS: u64 = 32;

/// Largest prefill queue, as a ratio of the request's budget, at which an engine gets a request
/// that exceeds the budget.
const OVERSIZED_MAX_QUEUE_RATIO: f64 = 0.1;

/// Smallest prefill bound at which an engine whose streams pause gets a prompt that exceeds the
/// bound, if no other engine has capacity. Below it, such prompts have made too many streams pause.
const OVERSIZED_MIN_BOUND: f64 = 0.5;

/// Work of one candidate for the request.
struct Plan {
    /// Tokens to prefill, plus the tokens that the engine could prefill during the fetch.
    unread: f64,
    /// Cost for other requests, in tokens.
    external_cost: f64,
    /// Whether the whole prefix is expected in the cache.
    hit: bool,
    /// Whether the prefix is recomputed away from its home, which may use only a part of the
    /// capacity.
    recompute: bool,
    /// The engine to fetch the missing part of the prefix from.
    fetch: Option<Arc<Target>>,
}

/// Selects an engine; none if no candidate has capacity.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are positive and far below 2^52"
)]
pub(super) fn choose(
    policy: &Policy,
    criteria: &Criteria<'_>,
    prompt: &Prompt,
    candidates: &[Candidate],
) -> Option<Choice> {
    let prefix = prompt.prefix();
    let home = home(criteria, prefix, candidates);
    let replica_source = replica_source(criteria, candidates);
    let all_bounded = candidates.iter().all(|it| it.rating.is_bounded());
    let source = fetch_source(candidates);
    let remaining = criteria
        .objective
        .saturating_sub(criteria.waited)
        .as_secs_f64();
    let budget = criteria.rate * remaining * policy.prefill_budget;
    let mut best: Option<(f64, Choice)> = None;
    // The best of those whose streams the prompt would delay.
    let mut fallback: Option<(f64, Choice)> = None;
    for candidate in candidates {
        if !has_free_slot(policy, candidate, criteria.capacity_share) {
            continue;
        }
        let plan = match candidate.prefix_match {
            Some(matched) => plan_with_report(
                policy,
                criteria,
                prompt,
                candidate,
                matched.expected,
                source,
            ),
            None => plan_without_report(policy, criteria, prompt, candidate, home, replica_source),
        };
        if plan.recompute && !criteria.allow_miss || plan.fetch.is_some() && !criteria.allow_fetch {
            continue;
        }
        let capacity_share = if plan.recompute {
            criteria.capacity_share
                * (policy.miss_capacity_share * criteria.miss_capacity_scale).min(1.0)
        } else {
            criteria.capacity_share
        };
        if plan.recompute && !has_free_slot(policy, candidate, capacity_share) {
            continue;
        }
        let queued = candidate.load.unread as f64;
        let rating = candidate.rating;
        let allowed = budget * rating.speed * rating.prefill_bound * capacity_share;
        let oversized = queued + plan.unread > allowed;
        if oversized && queued > allowed * OVERSIZED_MAX_QUEUE_RATIO {
            continue;
        }
        let delays_streams = oversized && rating.is_bounded() && !all_bounded;
        if delays_streams && rating.prefill_bound < OVERSIZED_MIN_BOUND {
            continue;
        }
        let best = if delays_streams {
            &mut fallback
        } else {
            &mut best
        };
        let running = f64::from(candidate.load.running) * policy.running_tokens;
        let cost = (queued + plan.unread + plan.external_cost + running) / rating.speed;
        if best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost) {
            let choice = Choice {
                target: candidate.target.clone(),
                unread: plan.unread.round() as u64,
                hit: plan.hit,
                fetch: plan.fetch,
            };
            *best = Some((cost, choice));
        }
    }
    best.or(fallback).map(|(_, choice)| choice)
}

/// Whether an engine has a free slot within the usable ratio of its slots.
fn has_free_slot(policy: &Policy, candidate: &Candidate, capacity_share: f64) -> bool {
    let utilization = policy.max_slot_utilization * candidate.rating.speed.min(1.0);
    let slots = f64::from(candidate.target.slots) * utilization * capacity_share;
    f64::from(candidate.load.running) + 1.0 <= slots.max(1.0)
}

/// The candidate that reports most cached tokens of the prefix, and their number.
fn fetch_source(candidates: &[Candidate]) -> Option<(&Candidate, u64)> {
    let reported = candidates
        .iter()
        .filter_map(|it| Some((it, it.prefix_match?.reported)));
    reported.max_by_key(|(candidate, cached)| (*cached, std::cmp::Reverse(candidate.load.unread)))
}

/// The plan for an engine with a recent cache report.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn plan_with_report(
    policy: &Policy,
    criteria: &Criteria<'_>,
    prompt: &Prompt,
    candidate: &Candidate,
    cached: u64,
    source: Option<(&Candidate, u64)>,
) -> Plan {
    let shared = prompt.shared_tokens();
    let fetched = source.map_or(0, |(_, most)| most.saturating_sub(cached));
    let (fetched, seconds_per_token) = match criteria.fetch_seconds {
        Some(seconds_per_token) if fetched >= MIN_FETCH_TOKENS => (fetched, seconds_per_token),
        _ => (0, 0.0),
    };
    let missing = shared.saturating_sub(cached + fetched) as f64;
    let fetch = source.filter(|_| fetched > 0);
    let fetch_cost = fetched as f64 * seconds_per_token * criteria.rate * candidate.rating.speed;
    Plan {
        unread: prompt.own_tokens() as f64 + missing + fetch_cost,
        external_cost: missing * policy.miss_weight + fetch_cost * policy.fetch_weight,
        hit: cached >= shared || candidate.assumed_cached && missing <= 0.0,
        recompute: false,
        fetch: fetch.map(|(it, _)| it.target.clone()),
    }
}

/// The plan for an engine without a cache report, from the prefixes sent there.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn plan_without_report(
    policy: &Policy,
    criteria: &Criteria<'_>,
    prompt: &Prompt,
    candidate: &Candidate,
    home: Option<Tag>,
    source: Option<&Candidate>,
) -> Plan {
    let hit = prompt.prefix().is_none() || candidate.assumed_cached;
    let recompute = !hit && home != Some(candidate.target.tag());
    let shared = prompt.shared_tokens() as f64;
    if let (false, false, Some(source), Some(seconds_per_token)) =
        (hit, recompute, source, criteria.fetch_seconds)
    {
        let fetch_cost = shared * seconds_per_token * criteria.rate * candidate.rating.speed;
        return Plan {
            unread: prompt.own_tokens() as f64 + fetch_cost,
            external_cost: fetch_cost * policy.fetch_weight,
            hit,
            recompute,
            fetch: Some(source.target.clone()),
        };
    }
    let missing = if hit { 0.0 } else { shared };
    Plan {
        unread: prompt.own_tokens() as f64 + missing,
        external_cost: if recompute {
            shared * policy.miss_weight
        } else {
            0.0
        },
        hit,
        recompute,
        fetch: None,
    }
}

/// The candidate from whose cache a new home of the prefix fetches it: the one with least to
/// prefill among those that are assumed to cache it.
fn replica_source<'a>(
    criteria: &Criteria<'_>,
    candidates: &'a [Candidate],
) -> Option<&'a Candidate> {
    let sources = candidates.iter().filter(|it| it.assumed_cached);
    let sources = sources.filter(|_| criteria.allow_replica && criteria.allow_fetch);
    sources.min_by_key(|it| it.load.unread)
}

/// The home of a prefix that no candidate caches, or the next home of one that may get another, by
/// rendezvous hashing. Engines whose streams pause count only if there are no others, as they cannot
/// take long prompts.
fn home(criteria: &Criteria<'_>, prefix: Option<Prefix>, candidates: &[Candidate]) -> Option<Tag> {
    let prefix = prefix?;
    let all_bounded = candidates.iter().all(|it| it.rating.is_bounded());
    let homes = candidates
        .iter()
        .filter(|it| all_bounded || !it.rating.is_bounded());
    if homes.clone().any(|it| it.assumed_cached) && !criteria.allow_replica {
        return None;
    }
    let tags = homes
        .filter(|it| !it.assumed_cached)
        .map(|it| it.target.tag());
    tags.max_by_key(|tag| prefix::rendezvous_weight(prefix, *tag))
}
