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

    /// A target is new, or something about it is.
    pub(super) fn put(&mut self, target: &Arc<Target>, cell_targets: usize, regions: &Regions) {
        let targets = self.by_service.entry(target.service.clone()).or_default();
        let new = put(targets, target);
        let region = regions.of(&target.domain);
        let parts = self.cells.entry(ServiceTag::new(&target.service));
        let cells = parts.or_default().entry(region).or_default();
        let size = cells.iter().map(Vec::len).sum::<usize>() + usize::from(new);
        let count = cell::count(size, cell_targets);
        if cells.len() == usize::from(count) {
            let index = cell::index(target.tag(), count);
            put(&mut cells[usize::from(index)], target);
        } else {
            *cells = cut(&of_region(targets, region, regions), cell_targets);
        }
    }

    /// A target has ended.
    pub(super) fn remove(&mut self, target: &Target, cell_targets: usize, regions: &Regions) {
        let Some(targets) = self.by_service.get_mut(&target.service) else {
            return;
        };
        targets.retain(|it| it.id != target.id);
        let region = regions.of(&target.domain);
        let service = ServiceTag::new(&target.service);
        let Some(parts) = self.cells.get_mut(&service) else {
            return;
        };
        let Some(cells) = parts.get_mut(&region) else {
            return;
        };
        for cell in cells.iter_mut() {
            cell.retain(|it| it.id != target.id);
        }
        let left = cells.iter().map(Vec::len).sum();
        if left == 0 {
            parts.remove(&region);
        } else if cells.len() != usize::from(cell::count(left, cell_targets)) {
            *cells = cut(&of_region(targets, region, regions), cell_targets);
        }
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

/// Puts a target in its place in the order of identities; whether it is new.
fn put(targets: &mut Vec<Arc<Target>>, target: &Arc<Target>) -> bool {
    match targets.binary_search_by(|it| it.id.cmp(&target.id)) {
        Ok(place) => {
            targets[place] = target.clone();
            false
        }
        Err(place) => {
            targets.insert(place, target.clone());
            true
        }
    }
}

fn of_region(targets: &[Arc<Target>], region: Region, regions: &Regions) -> Vec<Arc<Target>> {
    let near = targets.iter();
    let near = near.filter(|it| regions.of(&it.domain) == region);
    near.cloned().collect()
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
