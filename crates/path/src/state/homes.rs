//! Which cell a request goes to.
//!
//! Each region has a home for each prefix, so that what is asked in one is read once there. A request
//! goes to the home in its router's region; to that of another region only while its own has no target
//! that may get anything, or no room, and only where operators allow it to run.

use std::time::Duration;

use dunlinward_dispatch::cell::{self, Cell, ServiceTag};
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::prefix::Prefix;
use dunlinward_dispatch::region::{Constraint, Region};
use xxhash_rust::xxh64::xxh64;

use super::{Opening, State};

/// Time for which a region that had no room for a request of another one is not asked again for that
/// customer: what floods one region must not be turned away by all.
const SHORT_PAUSE: Duration = Duration::from_millis(200);

impl State {
    /// The cell that is home to a prefix, or to a request without one. While none of its targets may
    /// get anything, that is the next one where one may. None if no target may run the request.
    pub(crate) fn home(
        &self,
        service: &str,
        prefix: Prefix,
        allowed: Constraint,
        now: Duration,
    ) -> Option<Cell> {
        let service = ServiceTag::new(service);
        if self.registry.regions(service).next().is_none() {
            // No list is known yet, or it has none of this service.
            let region = self.region;
            let cell = Cell {
                service,
                region,
                index: 0,
            };
            return allowed.admits(region).then_some(cell);
        }
        let regions = self.regions(service, prefix, allowed);
        let mut turns = regions
            .iter()
            .flat_map(|it| self.turns(service, *it, prefix));
        let open = turns.find(|it| self.opening(*it, now) == Opening::Now);
        let first = || self.turns(service, *regions.first()?, prefix).next();
        open.or_else(first)
    }

    /// The home in the next region after that of a cell which had no room.
    pub(crate) fn home_elsewhere(
        &self,
        full: Cell,
        prefix: Prefix,
        customer: Option<CustomerTag>,
        allowed: Constraint,
        now: Duration,
    ) -> Option<Cell> {
        let regions = self.regions(full.service, prefix, allowed);
        let others = regions.iter().filter(|it| **it != full.region);
        let homes = others.filter_map(|it| self.turns(full.service, *it, prefix).next());
        let mut roomy = homes.filter(|it| {
            let short = self.short.get(&(*it, customer)).copied();
            let short = short.is_some_and(|at| now.saturating_sub(at) < SHORT_PAUSE);
            !short && self.opening(*it, now) == Opening::Now
        });
        roomy.next()
    }

    /// A cell of another region had no room for a customer's request either.
    pub(crate) fn note_short(&mut self, cell: Cell, customer: Option<CustomerTag>, now: Duration) {
        self.short
            .retain(|_, at| now.saturating_sub(*at) < SHORT_PAUSE);
        self.short.insert((cell, customer), now);
    }

    /// Regions that may run a request: this router's own, and then the others in an order that differs
    /// from prefix to prefix, so that all of them lend alike.
    fn regions(&self, service: ServiceTag, prefix: Prefix, allowed: Constraint) -> Vec<Region> {
        let regions = self.registry.regions(service);
        let mut regions: Vec<_> = regions.filter(|it| allowed.admits(*it)).collect();
        regions.sort_by_key(|it| (*it != self.region, xxh64(&[it.0], prefix.0)));
        regions
    }

    /// The cells of a region that have targets, the home of a prefix first.
    fn turns(
        &self,
        service: ServiceTag,
        region: Region,
        prefix: Prefix,
    ) -> impl Iterator<Item = Cell> {
        let cells = self.registry.cells(service, region);
        let sizes: Vec<_> = cells.iter().map(Vec::len).collect();
        let home = cell::home(prefix, &sizes).unwrap_or_default();
        let count = u16::try_from(sizes.len()).unwrap_or(u16::MAX).max(1);
        let turns = (0..count).map(move |turn| Cell {
            service,
            region,
            index: (home + turn) % count,
        });
        turns.filter(move |it| sizes.get(usize::from(it.index)).is_some_and(|it| *it > 0))
    }
}
