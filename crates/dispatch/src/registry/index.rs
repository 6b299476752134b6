//! Targets by service and cell, and the sum by which lists are compared.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use xxhash_rust::xxh64::xxh64;

use crate::cell::{self, Cell, ServiceTag};
use crate::region::{Region, Regions};
use crate::target::{State, Target};

/// The targets of the cells of a service in one region.
type Cells = Vec<Vec<Arc<Target>>>;

/// All known targets by service, and each service cut into cells.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    by_service: HashMap<Arc<str>, Vec<Arc<Target>>>,
    cells: HashMap<ServiceTag, BTreeMap<Region, Cells>>,
}

impl Index {
    /// Of these targets, in cells of about `cell_targets`.
    pub(super) fn new<'a>(
        targets: impl Iterator<Item = &'a Arc<Target>>,
        cell_targets: usize,
        regions: &Regions,
    ) -> Self {
        let mut by_service: HashMap<Arc<str>, Vec<Arc<Target>>> = HashMap::new();
        for target in targets {
            let service = by_service.entry(target.service.clone()).or_default();
            service.push(target.clone());
        }
        for targets in by_service.values_mut() {
            targets.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let cells = by_service
            .iter()
            .map(|(service, targets)| {
                let parts = by_region(targets, regions).into_iter();
                let parts = parts.map(|(region, it)| (region, cut(&it, cell_targets)));
                (ServiceTag::new(service), parts.collect())
            })
            .collect();
        Self { by_service, cells }
    }

    /// Targets of a service, in the order of their identities.
    pub(super) fn of(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The cells of a service in a region.
    pub(super) fn cells(&self, service: ServiceTag, region: Region) -> &[Vec<Arc<Target>>] {
        let cells = self.cells.get(&service).and_then(|it| it.get(&region));
        cells.map_or(&[], Vec::as_slice)
    }

    /// The regions in which a service has targets.
    pub(super) fn regions(&self, service: ServiceTag) -> impl Iterator<Item = Region> {
        let parts = self.cells.get(&service).into_iter();
        parts.flat_map(|it| it.keys().copied())
    }

    /// All cells that have targets.
    pub(super) fn all_cells(&self) -> impl Iterator<Item = (Cell, &[Arc<Target>])> {
        let parts = self.cells.iter().flat_map(|(service, parts)| {
            let parts = parts.iter();
            parts.map(move |(region, cells)| (*service, *region, cells))
        });
        parts.flat_map(|(service, region, cells)| {
            let numbered = (0u16..).zip(cells).filter(|(_, it)| !it.is_empty());
            numbered.map(move |(index, targets)| {
                let cell = Cell {
                    service,
                    region,
                    index,
                };
                (cell, targets.as_slice())
            })
        })
    }
}

fn by_region(targets: &[Arc<Target>], regions: &Regions) -> BTreeMap<Region, Vec<Arc<Target>>> {
    let mut parts: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for target in targets {
        let part = parts.entry(regions.of(&target.domain)).or_default();
        part.push(target.clone());
    }
    parts
}

/// Cuts the targets of a service in one region into cells.
fn cut(targets: &[Arc<Target>], cell_targets: usize) -> Cells {
    let count = cell::count(targets.len(), cell_targets);
    let mut cells = vec![Vec::new(); usize::from(count)];
    for target in targets {
        let index = cell::index(target.tag(), count);
        cells[usize::from(index)].push(target.clone());
    }
    cells
}

/// A short sum of a list; equal lists have equal ones.
pub(super) fn digest<'a>(targets: impl Iterator<Item = &'a Arc<Target>>) -> u64 {
    targets.fold(0, |all, it| all ^ sum(it))
}

/// A short sum of what lists are compared by.
pub(super) fn sum(target: &Target) -> u64 {
    let state = match target.state {
        State::Ready => 0,
        State::Leaving => 1,
        State::Unreadable => 2,
    };
    let cold = u64::from(!target.cold_left.is_zero()) << 34;
    let tag = u64::from(target.tag().0) << 2;
    xxh64(target.id.as_bytes(), tag ^ state ^ cold)
}
