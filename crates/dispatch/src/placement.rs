//! Which target runs a request.
//!
//! Model engines are chosen in [`engine`], plain targets here, by their free slots.

mod engine;

use std::sync::Arc;
use std::time::Duration;

use crate::cache::Held;
use crate::prefix::{self, Prefix, Prompt};
use crate::target::Target;
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
    /// Times its own length that a fetch from another engine's memory counts, as it takes the links
    /// and the memory of both.
    pub fetch: f64,
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
            fetch: 300.0,
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
    /// Whether it is taken to keep the request's prefix, from what was sent there.
    pub keeps: bool,
    /// What it has of the request's shared parts, if it has told lately.
    pub held: Option<Held>,
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
    /// Seconds in which an engine fetches one token from another's memory; none if it can't.
    pub fetch_seconds: Option<f64>,
    /// Part of the room that the request may use, 0 to 1.
    pub room: f64,
    /// Times the standard part of that room where its prefix is read anew.
    pub miss_scale: f64,
    /// Whether memory may be moved for it.
    pub may_fetch: bool,
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
    /// The target from whose memory it is to fetch what it lacks of the prefix.
    pub fetch: Option<Arc<Target>>,
}

/// Chooses a target, or none if no candidate has room.
#[must_use]
pub fn choose(policy: &Policy, ask: &Ask<'_>, candidates: &[Candidate]) -> Option<Choice> {
    match ask.prompt {
        Some(prompt) => engine::choose(policy, ask, prompt, candidates),
        None => plain(policy, ask, candidates),
    }
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
                    fetch: None,
                },
            ));
        }
    }
    best.map(|(_, _, choice)| choice)
}
