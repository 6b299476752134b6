//! The targets that are known.
//!
//! The platform's list is read as a whole. A target that is missing has ended,
//! with one exception: entries lapse while the store is away and come back soon
//! after it, so after an outage a missing target is kept for [`RETURN_TIME`]. An
//! outage is a gap between lists, whoever read them: while a peer can read, entries
//! do not lapse for want of the store. What is kept so is this router's own guess: it
//! is not told to peers, and a list of a peer that saw no outage ends it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use crate::cell::{self, Cell, ServiceTag};
use crate::target::{State, Tag, Target};

/// How long a lapsed entry may take to come back after an outage of the store;
/// the operators' letter says about two seconds.
pub const RETURN_TIME: Duration = Duration::from_secs(2);

/// A list that comes this much later than the one before follows an outage. Lists are read
/// every 0.6 to 1.2 s; entries lapse after three heartbeats of about as long.
pub const OUTAGE: Duration = Duration::from_secs(2);

/// A change to what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target is new.
    Came(Arc<Target>),
    /// A target is about to end.
    Leaves(Arc<Target>),
    /// A target has ended.
    Ended(Arc<Target>),
}

/// Known targets and the age of that knowledge.
#[derive(Clone, Debug)]
pub struct Registry {
    cell_targets: usize,
    targets: HashMap<Tag, Arc<Target>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Target>>>,
    cells: HashMap<ServiceTag, Vec<Vec<Arc<Target>>>>,
    read_at: Option<Duration>,
    keep_until: Duration,
    /// From when on a list tells surely what has ended.
    settled_from: Duration,
    /// Targets that are kept though the newest list lacks them.
    kept: HashSet<Tag>,
    replaced: HashSet<Tag>,
    digest: u64,
}

impl Default for Registry {
    fn default() -> Self {
        Self::new()
    }
}

impl Registry {
    /// An empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self {
            cell_targets: cell::TARGETS,
            targets: HashMap::new(),
            by_service: HashMap::new(),
            cells: HashMap::new(),
            read_at: None,
            keep_until: Duration::ZERO,
            settled_from: Duration::ZERO,
            kept: HashSet::new(),
            replaced: HashSet::new(),
            digest: 0,
        }
    }

    /// Sets how many targets a cell has, about.
    #[must_use]
    pub fn with_cell_targets(mut self, targets: usize) -> Self {
        self.cell_targets = targets;
        self
    }

    /// Takes a whole list that was true at `as_of`; an older list than the known one is ignored.
    pub fn take(&mut self, list: Vec<Target>, as_of: Duration) -> Vec<Change> {
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        let gap = self.read_at.map(|at| as_of.saturating_sub(at));
        if gap.is_some_and(|it| it > OUTAGE) {
            self.keep_until = as_of + RETURN_TIME;
        }
        if gap.is_none_or(|it| it > OUTAGE) {
            // A router that has just started can't know of an outage before.
            self.settled_from = as_of + RETURN_TIME;
        }
        self.replace(list, as_of)
    }

    /// Takes the list of a peer that saw no outage: what is missing there has ended.
    pub fn take_settled(&mut self, list: Vec<Target>, as_of: Duration) -> Vec<Change> {
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        self.keep_until = Duration::ZERO;
        self.settled_from = Duration::ZERO;
        self.replace(list, as_of)
    }

    fn replace(&mut self, list: Vec<Target>, as_of: Duration) -> Vec<Change> {
        self.read_at = Some(as_of);
        self.kept.clear();
        let mut changes = Vec::new();
        let mut next = HashMap::with_capacity(list.len());
        let listed: HashSet<Tag> = list.iter().map(Target::tag).collect();
        self.replaced.retain(|tag| listed.contains(tag));
        for mut target in list {
            if self.replaced.contains(&target.tag()) {
                continue;
            }
            // Nothing that leaves stays after all: a list that says so is older than it seems.
            let known = self.targets.get(&target.tag());
            if known.is_some_and(|it| it.state == State::Leaving) {
                target.state = State::Leaving;
            }
            let target = Arc::new(target);
            match self.targets.get(&target.tag()) {
                None => changes.push(Change::Came(target.clone())),
                Some(old) if old.state != target.state && target.state == State::Leaving => {
                    changes.push(Change::Leaves(target.clone()));
                }
                Some(_) => {}
            }
            next.insert(target.tag(), target);
        }
        let keep = as_of < self.keep_until;
        for (tag, old) in &self.targets {
            if next.contains_key(tag) {
                continue;
            }
            let replaced = next.values().any(|it| it.address == old.address);
            if keep && !replaced {
                next.insert(*tag, old.clone());
                self.kept.insert(*tag);
            } else {
                changes.push(Change::Ended(old.clone()));
            }
        }
        self.targets = next;
        self.index();
        changes
    }

    /// A peer had the same list, true at `as_of`.
    pub fn confirm(&mut self, digest: u64, as_of: Duration) {
        if digest == self.digest && self.read_at.is_some_and(|at| as_of > at) {
            self.read_at = Some(as_of);
        }
    }

    /// A short sum of the list; equal lists have equal ones.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Forgets a target that another one has replaced at its address, also if it is still listed.
    pub fn forget(&mut self, tag: Tag) {
        self.replaced.insert(tag);
        if self.targets.remove(&tag).is_some() {
            self.index();
        }
    }

    fn index(&mut self) {
        self.by_service.clear();
        for target in self.targets.values() {
            let service = self.by_service.entry(target.service.clone()).or_default();
            service.push(target.clone());
        }
        for targets in self.by_service.values_mut() {
            targets.sort_by(|a, b| a.id.cmp(&b.id));
        }
        self.cells = self.cut();
        let mut listed: Vec<_> = self.listed().collect();
        listed.sort_by_key(|it| it.tag());
        self.digest = listed.into_iter().fold(0, |seed, it| {
            let leaving = u64::from(it.state == State::Leaving);
            xxh64(it.id.as_bytes(), seed ^ leaving)
        });
    }

    /// Cuts each service into cells.
    fn cut(&self) -> HashMap<ServiceTag, Vec<Vec<Arc<Target>>>> {
        let services = self.by_service.iter();
        let cut = services.map(|(service, targets)| {
            let count = cell::count(targets.len(), self.cell_targets);
            let mut cells = vec![Vec::new(); usize::from(count)];
            for target in targets {
                let index = cell::index(target.tag(), count);
                cells[usize::from(index)].push(target.clone());
            }
            (ServiceTag::new(service), cells)
        });
        cut.collect()
    }

    /// The cells of a service.
    #[must_use]
    pub fn cells(&self, service: ServiceTag) -> &[Vec<Arc<Target>>] {
        self.cells.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Targets of a cell, in the order of their identities.
    #[must_use]
    pub fn of_cell(&self, cell: Cell) -> &[Arc<Target>] {
        let cells = self.cells(cell.service);
        cells
            .get(usize::from(cell.index))
            .map_or(&[], Vec::as_slice)
    }

    /// All cells that have targets.
    pub fn all_cells(&self) -> impl Iterator<Item = (Cell, &[Arc<Target>])> {
        self.cells.iter().flat_map(|(service, cells)| {
            let numbered = (0u16..).zip(cells).filter(|(_, it)| !it.is_empty());
            numbered.map(|(index, targets)| {
                let cell = Cell {
                    service: *service,
                    index,
                };
                (cell, targets.as_slice())
            })
        })
    }

    /// The cell of a target.
    #[must_use]
    pub fn cell_of(&self, target: &Target) -> Cell {
        let service = ServiceTag::new(&target.service);
        let count = u16::try_from(self.cells(service).len()).unwrap_or(u16::MAX);
        Cell {
            service,
            index: cell::index(target.tag(), count),
        }
    }

    /// Targets of a service, in the order of their identities.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Targets of the newest list, without those that are kept for a while.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Target>> {
        let targets = self.targets.iter();
        let listed = targets.filter(|(tag, _)| !self.kept.contains(tag));
        listed.map(|(_, target)| target)
    }

    /// Whether no outage of late leaves it open which targets have ended.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.read_at.is_some_and(|at| at >= self.settled_from)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// A target by its short name.
    #[must_use]
    pub fn get(&self, tag: Tag) -> Option<&Arc<Target>> {
        self.targets.get(&tag)
    }

    /// When the newest list was true.
    #[must_use]
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }
}
