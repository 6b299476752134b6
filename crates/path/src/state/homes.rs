//! Selection of the cell that runs a request.
//!
//! Each prefix has a home cell in each region, so that it is prefilled once per region. A request
//! goes to the home in the region of its router. It goes to the home in another region only if that
//! region is allowed, and only while its own region has no available target or no room.

use std::time::Duration;

use dunlinward_dispatch::cell::{self, Cell, ServiceTag};
use dunlinward_dispatch::continuation::Binding;
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::prefix::Prefix;
use dunlinward_dispatch::region::{Constraint, Region};
use xxhash_rust::xxh64::xxh64;

use super::{Availability, State};

/// Time for which a cell in another region that had no room for a customer's request is not asked
/// again for that customer. Otherwise each request of a flood in one region would be sent to, and
/// refused in, all regions.
const FULL_CELL_RETRY_DELAY: Duration = Duration::from_millis(200);

impl State {
    /// Home cell of a prefix, or of a number that stands in for one. If no target of it is
    /// available, the next cell with an available target, or the first one if there is none. Only
    /// cells with a target that the binding admits count. None if no target may run the request or,
    /// while no target of the service is known, if this router's region is not allowed.
    pub(crate) fn home(
        &self,
        service: &str,
        prefix: Prefix,
        allowed: Constraint,
        binding: Binding,
        now: Duration,
    ) -> Option<Cell> {
        let service = ServiceTag::new(service);
        if self.registry.regions(service).next().is_none() {
            // No list is known yet, or it has no target of this service.
            let region = self.region;
            let cell = Cell {
                service,
                region,
                index: 0,
            };
            return allowed.admits(region).then_some(cell);
        }
        let regions = self.regions(service, prefix, allowed);
        let cells = || {
            let regions = regions.iter();
            let cells = regions.flat_map(|it| self.ranked_cells(service, *it, prefix));
            cells.filter(|it| self.has_version(*it, binding))
        };
        let available =
            cells().find(|it| self.availability(*it, binding, now) == Availability::Now);
        available.or_else(|| cells().next())
    }

    /// Whether a cell has a target that may continue a stream, available or not.
    fn has_version(&self, cell: Cell, binding: Binding) -> bool {
        let mut targets = self.registry.targets_of_cell(cell).iter();
        binding == Binding::Free || targets.any(|it| binding.admits(it.software()))
    }

    /// Home cell of a prefix in the first other region whose cell is available and had no lack of
    /// room for the customer lately, for a request that found no room in `full`.
    pub(crate) fn home_elsewhere(
        &self,
        full: Cell,
        prefix: Prefix,
        customer: Option<CustomerTag>,
        allowed: Constraint,
        binding: Binding,
        now: Duration,
    ) -> Option<Cell> {
        let regions = self.regions(full.service, prefix, allowed);
        let others = regions.iter().filter(|it| **it != full.region);
        let homes = others.filter_map(|it| self.ranked_cells(full.service, *it, prefix).next());
        let mut available = homes.filter(|it| {
            let full_at = self.full_cells.get(&(*it, customer)).copied();
            let is_full = full_at.is_some_and(|at| now.saturating_sub(at) < FULL_CELL_RETRY_DELAY);
            !is_full && self.availability(*it, binding, now) == Availability::Now
        });
        available.next()
    }

    /// Records that a cell of another region had no room for a customer's request.
    pub(crate) fn record_full_cell(
        &mut self,
        cell: Cell,
        customer: Option<CustomerTag>,
        now: Duration,
    ) {
        self.full_cells
            .retain(|_, at| now.saturating_sub(*at) < FULL_CELL_RETRY_DELAY);
        self.full_cells.insert((cell, customer), now);
    }

    /// Allowed regions: first this router's own, then the others in an order that depends on the
    /// prefix, so that all of them take an equal part of another region's overflow.
    fn regions(&self, service: ServiceTag, prefix: Prefix, allowed: Constraint) -> Vec<Region> {
        let regions = self.registry.regions(service);
        let mut regions: Vec<_> = regions.filter(|it| allowed.admits(*it)).collect();
        regions.sort_by_key(|it| (*it != self.region, xxh64(&[it.0], prefix.0)));
        regions
    }

    /// Cells of a region that have targets, in order from the home of a prefix.
    fn ranked_cells(
        &self,
        service: ServiceTag,
        region: Region,
        prefix: Prefix,
    ) -> impl Iterator<Item = Cell> {
        let targets = self.registry.cells(service, region);
        let sizes: Vec<_> = targets.iter().map(Vec::len).collect();
        let home = cell::home(prefix, &sizes).unwrap_or_default();
        let count = u16::try_from(sizes.len()).unwrap_or(u16::MAX).max(1);
        let cells = (0..count).map(move |step| Cell {
            service,
            region,
            index: (home + step) % count,
        });
        cells.filter(move |it| sizes.get(usize::from(it.index)).is_some_and(|it| *it > 0))
    }
}
