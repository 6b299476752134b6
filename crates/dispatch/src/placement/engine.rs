//! Which model engine runs a request.
//!
//! An engine reads prompts one after another, so what a request waits for its first token is the
//! unread prompt tokens before it, its own, and what the engine lacks of its shared prefix. Each
//! candidate's cost is that sum; the cheapest that can begin within the request's objective is
//! chosen.
//!
//! Where engines tell what they keep, the lacking part is fetched from the memory of the engine
//! that keeps most of it, which takes far less time than reading it, so a request goes where least
//! waits and not where its prefix happens to be. Only what no engine keeps is read.
//!
//! Where an engine tells nothing, what was sent there is taken for kept. Reading a prefix anew then
//! costs more than its time, as it also takes memory and time from others, and a prefix that none
//! keeps has one home.

use std::sync::Arc;

use super::{Ask, Candidate, Choice, Policy};
use crate::prefix::{self, Prefix, Prompt};
use crate::target::{Tag, Target};

/// Fewest tokens that are fetched: an engine keeps memory in blocks of some 16 tokens, and reads
/// two of them in less time than a transfer takes to set up.
const FETCHED_LEAST: u64 = 32;

/// Part of its budget that may be unread at an engine where a request begins that alone is larger
/// than the budget.
const LARGE_BEGINS: f64 = 0.1;

/// What one candidate would have to do.
struct Way {
    /// Tokens that it has to read, and those that it could read in the time of a fetch.
    unread: f64,
    /// What the way costs others, as tokens.
    burden: f64,
    /// Whether all of the prefix is there.
    hit: bool,
    /// Whether only a part of the room may be used.
    anew: bool,
    fetch: Option<Arc<Target>>,
}

/// Chooses an engine, or none if no candidate has room.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are positive and far below 2^52"
)]
pub(super) fn choose(
    policy: &Policy,
    ask: &Ask<'_>,
    prompt: &Prompt,
    candidates: &[Candidate],
) -> Option<Choice> {
    let prefix = prompt.prefix();
    let kept = candidates.iter().any(|it| it.keeps);
    let home = if kept { None } else { home(prefix, candidates) };
    let source = source(candidates);
    let left = ask.objective.saturating_sub(ask.waited).as_secs_f64();
    let budget = ask.rate * left * policy.reading;
    let mut best: Option<(f64, Choice)> = None;
    for candidate in candidates {
        if !has_slot(policy, candidate, ask.room) {
            continue;
        }
        let way = match candidate.held {
            Some(held) => informed(policy, ask, prompt, candidate, held.expected, source),
            None => guessed(policy, prompt, candidate, prefix, home),
        };
        if way.anew && !ask.may_miss || way.fetch.is_some() && !ask.may_fetch {
            continue;
        }
        let room = if way.anew {
            ask.room * (policy.miss_room * ask.miss_scale).min(1.0)
        } else {
            ask.room
        };
        if way.anew && !has_slot(policy, candidate, room) {
            continue;
        }
        let before = candidate.load.unread as f64;
        let allowed = budget * room;
        if before + way.unread > allowed && before > allowed * LARGE_BEGINS {
            continue;
        }
        let running = f64::from(candidate.load.running) * policy.running;
        let cost = before + way.unread + way.burden + running;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let choice = Choice {
                target: candidate.target.clone(),
                unread: way.unread.round() as u64,
                hit: way.hit,
                fetch: way.fetch,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Whether an engine has a free slot of the part of all slots that may be used.
fn has_slot(policy: &Policy, candidate: &Candidate, room: f64) -> bool {
    let slots = f64::from(candidate.target.slots) * policy.fill * room;
    f64::from(candidate.load.running) + 1.0 <= slots.max(1.0)
}

/// The candidate that keeps most of the prefix, of those that have told.
fn source(candidates: &[Candidate]) -> Option<(&Candidate, u64)> {
    let told = candidates.iter().filter_map(|it| Some((it, it.held?.told)));
    told.max_by_key(|(candidate, held)| (*held, std::cmp::Reverse(candidate.load.unread)))
}

/// A candidate that has told how much of the prefix it keeps.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn informed(
    policy: &Policy,
    ask: &Ask<'_>,
    prompt: &Prompt,
    candidate: &Candidate,
    held: u64,
    source: Option<(&Candidate, u64)>,
) -> Way {
    let shared = prompt.shared_tokens();
    let fetched = source.map_or(0, |(_, most)| most.saturating_sub(held));
    let (fetched, seconds) = match ask.fetch_seconds {
        Some(seconds) if fetched >= FETCHED_LEAST => (fetched, seconds),
        _ => (0, 0.0),
    };
    let lacking = shared.saturating_sub(held + fetched) as f64;
    let fetch = source.filter(|_| fetched > 0);
    let fetching = fetched as f64 * seconds * ask.rate;
    Way {
        unread: prompt.own_tokens() as f64 + lacking + fetching,
        burden: lacking * policy.miss + fetching * policy.fetch,
        hit: held >= shared || candidate.keeps && lacking <= 0.0,
        anew: false,
        fetch: fetch.map(|(it, _)| it.target.clone()),
    }
}

/// A candidate of which only is known what was sent there.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn guessed(
    policy: &Policy,
    prompt: &Prompt,
    candidate: &Candidate,
    prefix: Option<Prefix>,
    home: Option<Tag>,
) -> Way {
    let hit = prefix.is_none() || candidate.keeps;
    let anew = !hit && home != Some(candidate.target.tag());
    let shared = prompt.shared_tokens() as f64;
    let lacking = if hit { 0.0 } else { shared };
    Way {
        unread: prompt.own_tokens() as f64 + lacking,
        burden: if anew { shared * policy.miss } else { 0.0 },
        hit,
        anew,
        fetch: None,
    }
}

/// Where a prefix is read that no target keeps.
fn home(prefix: Option<Prefix>, candidates: &[Candidate]) -> Option<Tag> {
    let prefix = prefix?;
    let tags = candidates.iter().map(|it| it.target.tag());
    tags.max_by_key(|tag| prefix::weight(prefix, *tag))
}
