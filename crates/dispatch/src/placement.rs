//! Which target runs a request.
//!
//! An engine reads prompts one after another, so what a request waits for its
//! first token is the unread prompt tokens before it, its own, and its shared
//! prefix if the engine doesn't keep it. Each candidate's cost is that sum; the
//! cheapest that can begin within the request's objective is chosen. A prefix
//! that would be read anew costs more than its time, as it also takes memory
//! and time from others. Plain targets are chosen by their free slots.

use std::sync::Arc;
use std::time::Duration;

use crate::prefix::{self, Prefix, Prompt};
use crate::target::{Tag, Target};
use crate::usage::Load;

/// Figures by which targets are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Part of an engine's slots that is used.
    pub fill: f64,
    /// Part of the objective that may be taken by reading prompts.
    pub reading: f64,
    /// Weight of a prefix that is read anew, against its tokens.
    pub miss: f64,
    /// Part of a target's room that a request may use whose prefix is read anew there.
    pub miss_room: f64,
    /// Tokens by which one more running request counts.
    pub running: f64,
    /// Requests at a plain target for each of its slots.
    pub queue: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            fill: 0.6,
            reading: 1.3,
            miss: 4.0,
            miss_room: 0.1,
            running: 60.0,
            queue: 2.0,
        }
    }
}

/// A target with what is known of it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub target: Arc<Target>,
    /// Work of all routers there.
    pub load: Load,
    /// Whether it is in the router's own failure domain.
    pub local: bool,
    /// Whether it is taken to keep the request's prefix.
    pub keeps: bool,
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The prompt, if it is for a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Time to the first event that users expect.
    pub objective: Duration,
    /// Tokens a second that one engine reads.
    pub rate: f64,
    /// Part of the room that the request may use, 0 to 1.
    pub room: f64,
    /// Times the standard part of that room where its prefix is read anew.
    pub miss_scale: f64,
    /// How long it has waited.
    pub waited: Duration,
    /// Whether it has waited long enough to be read anew where its prefix is not.
    pub may_miss: bool,
    /// Spreads ties.
    pub draw: u64,
}

/// The target chosen.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Arc<Target>,
    /// Tokens that it has to read.
    pub unread: u64,
    /// Whether the shared prefix is taken to be there.
    pub hit: bool,
}

/// Chooses a target, or none if no candidate has room.
#[must_use]
pub fn choose(policy: &Policy, ask: &Ask<'_>, candidates: &[Candidate]) -> Option<Choice> {
    match ask.prompt {
        Some(prompt) => engine(policy, ask, prompt, candidates),
        None => plain(policy, ask, candidates),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn engine(
    policy: &Policy,
    ask: &Ask<'_>,
    prompt: &Prompt,
    candidates: &[Candidate],
) -> Option<Choice> {
    let prefix = prompt.prefix();
    let kept = candidates.iter().any(|it| it.keeps);
    let home = if kept { None } else { home(prefix, candidates) };
    let left = ask.objective.saturating_sub(ask.waited).as_secs_f64();
    let budget = ask.rate * left * policy.reading;
    let shared = prompt.shared_tokens();
    let mut best: Option<(f64, Choice)> = None;
    for candidate in candidates {
        let hit = prefix.is_none() || candidate.keeps;
        let anew = !hit && home != Some(candidate.target.tag());
        if anew && !ask.may_miss {
            continue;
        }
        let room = if anew {
            ask.room * (policy.miss_room * ask.miss_scale).min(1.0)
        } else {
            ask.room
        };
        let slots = f64::from(candidate.target.slots) * policy.fill * room;
        if f64::from(candidate.load.running) + 1.0 > slots.max(1.0) {
            continue;
        }
        let unread = prompt.own_tokens() + if hit { 0 } else { shared };
        let before = candidate.load.unread as f64;
        // One that alone is larger than the budget may begin where little waits.
        if before + unread as f64 > budget * room && before > budget * room * 0.1 {
            continue;
        }
        let missed = if anew {
            shared as f64 * policy.miss
        } else {
            0.0
        };
        let running = f64::from(candidate.load.running) * policy.running;
        let cost = before + unread as f64 + missed + running;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let target = candidate.target.clone();
            best = Some((
                cost,
                Choice {
                    target,
                    unread,
                    hit,
                },
            ));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Where a prefix is read that no target keeps.
fn home(prefix: Option<Prefix>, candidates: &[Candidate]) -> Option<Tag> {
    let prefix = prefix?;
    let tags = candidates.iter().map(|it| it.target.tag());
    tags.max_by_key(|tag| prefix::weight(prefix, *tag))
}

fn plain(policy: &Policy, ask: &Ask<'_>, candidates: &[Candidate]) -> Option<Choice> {
    let mut best: Option<(f64, u64, Choice)> = None;
    for candidate in candidates {
        let slots = f64::from(candidate.target.slots.max(1));
        let running = f64::from(candidate.load.running);
        if running + 1.0 > slots * policy.queue * ask.room {
            continue;
        }
        let remote = if candidate.local { 0.0 } else { 0.5 };
        let cost = (running + remote) / slots;
        let tie = prefix::weight(Prefix(ask.draw), candidate.target.tag());
        let better = best.as_ref().is_none_or(|(least, least_tie, _)| {
            cost < *least || (cost <= *least && tie < *least_tie)
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
                },
            ));
        }
    }
    best.map(|(_, _, choice)| choice)
}
