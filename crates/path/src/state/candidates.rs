//! Candidate targets for a request.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cold_start;
use dunlinward_dispatch::placement::Candidate;
use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::target::Target;

use super::{Claim, PlaceRequest, State};
use crate::settings::Settings;

/// Time after its start in which a router places no requests on cold targets. Until routers
/// discover each other, each regards itself as the owner of all cells, and after a restart of the
/// whole fleet all do so at once. Discovery takes up to 1 s, and a discovered router owns no cells
/// for 1.5 s.
const COLD_STARTUP_DELAY: Duration = Duration::from_secs(3);

impl State {
    /// Targets that may run a request, with their known state. `retention` is how long an engine
    /// that does not report its cache is assumed to cache a prefix.
    pub(super) fn candidates(
        &self,
        request: &PlaceRequest,
        retention: Duration,
        now: Duration,
    ) -> Vec<Candidate> {
        let prompt = request.prompt.as_deref();
        let prefix = prompt.and_then(Prompt::prefix);
        let usable = |target: &&Arc<Target>| {
            let tag = target.tag();
            self.is_available(target)
                && self.backoffs.available_at(request.router, tag, now) <= now
                && !self.reported_health.is_ejected(tag, now)
                && !request.avoid.contains(&tag)
                && request.binding.admits(target.software())
        };
        let usable = self
            .registry
            .targets_of_cell(request.cell)
            .iter()
            .filter(usable);
        let usable = self.isolate_suspect(request, usable.collect(), now);
        let candidates = usable.into_iter().map(|target| {
            let tag = target.tag();
            Candidate {
                target: target.clone(),
                load: self.usage.total(tag),
                local: target.domain == request.domain,
                assumed_cached: prefix
                    .is_some_and(|it| self.prefixes.is_cached(it, tag, retention, now)),
                prefix_match: prompt.and_then(|it| self.caches.prefix_match(tag, it, now)),
                rating: self.speeds.rating(tag),
            }
        });
        candidates.collect()
    }

    /// Rates the targets of the cells that this router owns by their measured speeds.
    pub(crate) fn refresh_speeds(&mut self, now: Duration) {
        let own = self.members.own().address;
        let owned = self
            .registry
            .all_cells()
            .filter(|(cell, _)| self.members.owner(*cell, now) == own);
        let cells = owned.map(|(_, targets)| targets.iter().map(|it| it.tag()).collect());
        self.speeds.refresh(cells, now);
    }

    /// Removes cold targets that have reached their rate limit. All cold targets are removed for a
    /// request that failed at another target, for one that this router places without the owner,
    /// and shortly after this router's start.
    pub(super) fn limit_cold(
        &mut self,
        settings: &Settings,
        request: &PlaceRequest,
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
        let known_routers = self.members.count();
        let rate_share = cold_start::rate_share(known_routers, self.peak.max());
        let exclude_cold =
            request.failed || request.claim == Claim::Own || now < COLD_STARTUP_DELAY;
        candidates.retain(|it| {
            let tag = it.target.tag();
            if exclude_cold {
                !self.cold_limiter.is_cold(tag, now)
            } else {
                self.cold_limiter.allows(tag, bound, rate_share, now)
            }
        });
    }
}
