//! Index of targets by service and cell, and the checksum by which lists are compared.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use xxhash_rust::xxh64::xxh64;

use crate::cell::{self, Cell, ServiceTag};
use crate::region::{Region, Regions};
use crate::target::{State, Target};

/// The targets of each cell of a service in one region.
type Cells = Vec<Vec<Arc<Target>>>;

/// All known targets by service, and each service partitioned into cells.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    by_service: HashMap<Arc<str>, Vec<Arc<Target>>>,
    cells: HashMap<ServiceTag, BTreeMap<Region, Cells>>,
}

impl Index {
    /// Indexes targets, in cells of about `cell_targets` each.
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
                let parts = group_by_region(targets, regions).into_iter();
                let parts = parts.map(|(region, it)| (region, partition(&it, cell_targets)));
                (ServiceTag::new(service), parts.collect())
            })
            .collect();
        Self { by_service, cells }
    }

    /// Adds a target, or replaces it if it is known.
    pub(super) fn insert(&mut self, target: &Arc<Target>, cell_targets: usize, regions: &Regions) {
        let targets = self.by_service.entry(target.service.clone()).or_default();
        let new = upsert(targets, target);
        let region = regions.of(&target.domain);
        let parts = self.cells.entry(ServiceTag::new(&target.service));
        let cells = parts.or_default().entry(region).or_default();
        let size = cells.iter().map(Vec::len).sum::<usize>() + usize::from(new);
        let count = cell::count(size, cell_targets);
        if cells.len() == usize::from(count) {
            let index = cell::index(target.tag(), count);
            upsert(&mut cells[usize::from(index)], target);
        } else {
            *cells = partition(&targets_in_region(targets, region, regions), cell_targets);
        }
    }

    /// Removes a target.
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
            *cells = partition(&targets_in_region(targets, region, regions), cell_targets);
        }
    }

    /// Targets of a service, ordered by identity.
    pub(super) fn service_targets(&self, service: &str) -> &[Arc<Target>] {
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

/// Inserts or replaces a target in a list ordered by identity; returns whether it is new.
fn upsert(targets: &mut Vec<Arc<Target>>, target: &Arc<Target>) -> bool {
    match targets.binary_search_by(|it| it.id.cmp(&target.id)) {
        Ok(position) => {
            targets[position] = target.clone();
            false
        }
        Err(position) => {
            targets.insert(position, target.clone());
            true
        }
    }
}

fn targets_in_region(
    targets: &[Arc<Target>],
    region: Region,
    regions: &Regions,
) -> Vec<Arc<Target>> {
    let local = targets.iter();
    let local = local.filter(|it| regions.of(&it.domain) == region);
    local.cloned().collect()
}

fn group_by_region(
    targets: &[Arc<Target>],
    regions: &Regions,
) -> BTreeMap<Region, Vec<Arc<Target>>> {
    let mut parts: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for target in targets {
        let part = parts.entry(regions.of(&target.domain)).or_default();
        part.push(target.clone());
    }
    parts
}

/// Partitions the targets of a service in one region into cells.
fn partition(targets: &[Arc<Target>], cell_targets: usize) -> Cells {
    let count = cell::count(targets.len(), cell_targets);
    let mut cells = vec![Vec::new(); usize::from(count)];
    for target in targets {
        let index = cell::index(target.tag(), count);
        cells[usize::from(index)].push(target.clone());
    }
    cells
}

/// Checksum of the fields by which lists are compared.
pub(super) fn checksum(target: &Target) -> u64 {
    let state = match target.state {
        State::Ready => 0,
        State::Leaving => 1,
        State::Unreadable => 2,
    };
    let cold = u64::from(!target.cold_left.is_zero()) << 34;
    let tag = u64::from(target.tag().0) << 2;
    xxh64(target.id.as_bytes(), tag ^ state ^ cold)
}
