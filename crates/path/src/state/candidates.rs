//! Which targets may run a request.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cold_start;
use dunlinward_dispatch::placement::Candidate;
use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::target::Target;

use super::{Claim, State, Wish};
use crate::settings::Settings;

/// Time after its start for which a router sends nothing to cold targets: until it knows the others it
/// takes itself for the owner of all cells, as they do after a restart of all. They hear of each other
/// within 1 s, and own nothing for 1.5 s more.
const ALONE: Duration = Duration::from_secs(3);

impl State {
    /// The targets that may run a request, with what is known of each; `kept` is how long an engine
    /// that tells nothing is taken to keep a prefix.
    pub(super) fn candidates(&self, wish: &Wish, kept: Duration, now: Duration) -> Vec<Candidate> {
        let prompt = wish.prompt.as_deref();
        let prefix = prompt.and_then(Prompt::prefix);
        let usable = |target: &&Arc<Target>| {
            let tag = target.tag();
            self.open(target)
                && self.backoffs.available_at(wish.router, tag, now) <= now
                && !self.reported.is_ejected(tag, now)
                && !wish.avoid.contains(&tag)
        };
        let usable = self
            .registry
            .targets_of_cell(wish.cell)
            .iter()
            .filter(usable);
        let usable = self.apart(wish, usable.collect(), now);
        let candidates = usable.into_iter().map(|target| {
            let tag = target.tag();
            Candidate {
                target: target.clone(),
                load: self.usage.total(tag),
                local: target.domain == wish.domain,
                assumed_cached: prefix.is_some_and(|it| self.memory.is_cached(it, tag, kept, now)),
                prefix_match: prompt.and_then(|it| self.caches.prefix_match(tag, it, now)),
            }
        });
        candidates.collect()
    }

    /// Leaves out cold targets that have had as many requests as they bear. One that failed elsewhere
    /// is not sent to a second one, nor is one that this router places without the owner.
    pub(super) fn spare_cold(
        &mut self,
        settings: &Settings,
        wish: &Wish,
        service: &str,
        candidates: &mut Vec<Candidate>,
        now: Duration,
    ) {
        let rate = self
            .table
            .as_ref()
            .and_then(|it| it.service(service)?.cold_rate);
        let Some(rate) = rate else {
            return;
        };
        let max_per_second = settings.cold.excess * rate + settings.cold.slack;
        let bound = cold_start::Bound {
            rate,
            max_per_second,
        };
        let known = self.members.count();
        let part = cold_start::rate_share(known, self.peak.max());
        let spared = wish.failed || wish.claim == Claim::Own || now < ALONE;
        candidates.retain(|it| {
            let tag = it.target.tag();
            if spared {
                !self.cold.is_cold(tag, now)
            } else {
                self.cold.allows(tag, bound, part, now)
            }
        });
    }
}
