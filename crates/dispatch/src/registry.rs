//! The targets that are known.
//!
//! The platform's list is read as a whole once, and then what is written behind it ([`Delta`]). A target
//! that is missing has ended, with one exception: entries lapse while the store is away and come back soon
//! after it, so after an outage a missing target is kept for [`RETURN_TIME`]. An
//! outage is a gap between lists, whoever read them: while a peer can read, entries
//! do not lapse for want of the store. What is kept so is this router's own guess: it
//! is not told to peers, and a list of a peer that saw no outage ends it.
//!
//! A server may start again under its identity. Its newest start is remembered for longer than any
//! word of an earlier one is on its way, so such word changes nothing, whoever brings it. An entry
//! that can't be read suspends its target; what was heard of a drain stays.
//!
//! What a target says of itself goes before its entry, which may be old: one that has said that it
//! leaves ([`crate::leaving`]) does so in every list.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::cell::{self, Cell, ServiceTag};
use crate::leaving::Leaving;
use crate::region::{Region, Regions};
use crate::target::{State, Tag, Target};

mod copy;
mod delta;
mod index;
mod leave;
mod parts;
mod starts;

use copy::Copy;
pub use copy::LAPSE;
pub use delta::Delta;
use index::{Index, sum};
pub use parts::{Difference, Sums};
pub use starts::START_KEPT;
use starts::Starts;

/// How long a lapsed entry may take to come back after an outage of the store;
/// the operators' letter says about two seconds.
pub const RETURN_TIME: Duration = Duration::from_secs(2);

/// A list that comes this much later than the one before follows an outage. Lists are read
/// every 0.6 to 1.2 s; entries lapse after three heartbeats of about as long.
pub const OUTAGE: Duration = Duration::from_secs(2);

/// How long a target that another one has replaced stays so, whatever its entry says: longer than
/// word of it is on its way.
const REPLACED_KEPT: Duration = Duration::from_mins(1);

/// A change to what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target is new.
    Came(Arc<Target>),
    /// A target is about to end.
    Leaves(Arc<Target>),
    /// A target's entry can't be read any more: it gets no new work.
    Suspended(Arc<Target>),
    /// A target has ended.
    Ended(Arc<Target>),
}

/// A whole list of the platform's entries.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Targets of the entries that could be read.
    pub targets: Vec<Target>,
    /// Identities whose entries could not be read.
    pub unreadable: Vec<Arc<str>>,
}

impl From<Vec<Target>> for Listing {
    fn from(targets: Vec<Target>) -> Self {
        Self {
            targets,
            unreadable: Vec::new(),
        }
    }
}

/// Known targets and the age of that knowledge.
#[derive(Clone, Debug)]
pub struct Registry {
    cell_targets: usize,
    regions: Arc<Regions>,
    targets: HashMap<Tag, Arc<Target>>,
    /// The target that each server is listed as.
    by_id: HashMap<Arc<str>, Tag>,
    index: Index,
    read_at: Option<Duration>,
    keep_until: Duration,
    /// From when on a list tells surely what has ended.
    settled_from: Duration,
    /// Targets that are kept though the newest list lacks them.
    kept: HashSet<Tag>,
    /// Targets that others have replaced at their addresses, and as of which list.
    replaced: HashMap<Tag, Duration>,
    /// What a store that came back from a copy may tell wrongly.
    copy: Copy,
    /// Newest starts of servers that say when they started.
    starts: Starts,
    /// Targets that have said themselves that they leave.
    leaving: Leaving,
    digest: u64,
    sums: Sums,
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
            cell_targets: cell::TARGETS_PER_CELL,
            regions: Arc::default(),
            targets: HashMap::new(),
            by_id: HashMap::new(),
            index: Index::default(),
            read_at: None,
            keep_until: Duration::ZERO,
            settled_from: Duration::ZERO,
            kept: HashSet::new(),
            replaced: HashMap::new(),
            copy: Copy::default(),
            starts: Starts::default(),
            leaving: Leaving::default(),
            digest: 0,
            sums: Sums::zero(),
        }
    }

    /// Sets how many targets a cell has, about.
    #[must_use]
    pub fn with_cell_targets(mut self, targets: usize) -> Self {
        self.cell_targets = targets;
        self
    }

    /// Sets which failure domains lie near each other.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<Regions>) -> Self {
        self.regions = regions;
        self
    }

    /// Takes a whole list that was true at `as_of`; an older list than the known one is ignored.
    pub fn take(&mut self, list: impl Into<Listing>, as_of: Duration) -> Vec<Change> {
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
        self.replace(list.into(), as_of)
    }

    /// Takes the list of a peer that saw no outage: what is missing there has ended.
    pub fn take_settled(&mut self, list: impl Into<Listing>, as_of: Duration) -> Vec<Change> {
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        if self.copy.settles(as_of) {
            self.keep_until = Duration::ZERO;
            self.settled_from = Duration::ZERO;
        }
        self.replace(list.into(), as_of)
    }

    fn replace(&mut self, listing: Listing, as_of: Duration) -> Vec<Change> {
        self.read_at = Some(as_of);
        self.kept.clear();
        let list = self.current(listing, as_of);
        let mut changes = Vec::new();
        let mut next = HashMap::with_capacity(list.len());
        for target in list {
            if self.replaced.contains_key(&target.tag()) {
                continue;
            }
            let target = Arc::new(target);
            changes.extend(self.change(&target));
            next.insert(target.tag(), target);
        }
        self.end_missing(&mut next, &mut changes, as_of);
        self.targets = next;
        self.index();
        changes
    }

    /// The targets of a list as they stand by all that is known: the newest start of each server,
    /// suspended if its entry can't be read, and leaving once it has said so.
    fn current(&mut self, listing: Listing, as_of: Duration) -> Vec<Target> {
        let Listing {
            targets,
            mut unreadable,
        } = listing;
        self.prune(as_of);
        let mut list = Vec::with_capacity(targets.len());
        for target in targets {
            match self.newest_start(target, as_of) {
                Ok(target) => list.extend(target.filter(|it| !self.revived(it, as_of))),
                Err(id) => unreadable.push(id),
            }
        }
        if !unreadable.is_empty() {
            list.extend(self.suspended(&unreadable));
        }
        for target in &mut list {
            self.keep_leaving(target);
        }
        list
    }

    /// Nothing that leaves stays after all: an entry that says so is older than it seems.
    fn keep_leaving(&self, target: &mut Target) {
        let tag = target.tag();
        let known = self.targets.get(&tag);
        let leaves = known.is_some_and(|it| it.state == State::Leaving);
        if leaves || self.leaving.contains(tag) {
            target.state = State::Leaving;
        }
    }

    /// Forgets what is too old to matter.
    fn prune(&mut self, as_of: Duration) {
        self.starts.prune(as_of);
        self.copy.prune(as_of);
        self.leaving.prune(as_of);
        self.replaced
            .retain(|_, at| as_of.saturating_sub(*at) < REPLACED_KEPT);
    }

    /// What a list says of a server, if that is its newest start; else that one, if it is known. An
    /// entry that says no start though its server has said one is of another writer.
    fn newest_start(
        &mut self,
        target: Target,
        as_of: Duration,
    ) -> Result<Option<Target>, Arc<str>> {
        let Some(born) = target.born else {
            return match self.starts.newest(&target.id) {
                Some(_) => Err(target.id),
                None => Ok(Some(target)),
            };
        };
        let newest = self.starts.note(&target.id, born, as_of);
        if born == newest {
            return Ok(Some(target));
        }
        let known = self.targets.get(&Tag::with_born(&target.id, newest));
        Ok(known.map(|it| it.as_ref().clone()))
    }

    /// Known targets whose entries can't be read.
    fn suspended(&self, unreadable: &[Arc<str>]) -> Vec<Target> {
        let ids: HashSet<&str> = unreadable.iter().map(AsRef::as_ref).collect();
        let known = self.targets.values();
        let known = known.filter(|it| ids.contains(it.id.as_ref()));
        let suspended = known.map(|it| Target {
            state: State::Unreadable,
            ..it.as_ref().clone()
        });
        suspended.collect()
    }

    /// What is new about a target.
    fn change(&self, target: &Arc<Target>) -> Option<Change> {
        let known = self.targets.get(&target.tag());
        if known.is_some_and(|it| it.state == target.state) {
            return None;
        }
        let target = target.clone();
        Some(match target.state {
            State::Ready => Change::Came(target),
            State::Leaving if known.is_none() => Change::Came(target),
            State::Leaving => Change::Leaves(target),
            State::Unreadable => Change::Suspended(target),
        })
    }

    /// Ends what the newest list lacks, but for what is kept after an outage.
    fn end_missing(
        &mut self,
        next: &mut HashMap<Tag, Arc<Target>>,
        changes: &mut Vec<Change>,
        as_of: Duration,
    ) {
        let keep = as_of < self.keep_until;
        let missing = self
            .targets
            .iter()
            .filter(|(tag, _)| !next.contains_key(tag));
        let missing: Vec<_> = missing.map(|(tag, it)| (*tag, it.clone())).collect();
        for (tag, old) in missing {
            let replaced = next
                .values()
                .any(|it| it.address == old.address || it.id == old.id);
            if keep && !replaced {
                next.insert(tag, old);
                self.kept.insert(tag);
            } else {
                self.copy.ended(tag, as_of);
                changes.push(Change::Ended(old));
            }
        }
    }

    /// A server says that it started at `born`: what is known of an earlier start has ended.
    pub fn supersede(&mut self, id: &str, born: u64, now: Duration) -> Option<Change> {
        if self.starts.newest(id).is_some_and(|it| it >= born) {
            return None;
        }
        self.starts.note(&id.into(), born, now);
        let old = self.targets.values().find(|it| it.id.as_ref() == id)?;
        let old = old.clone();
        self.targets.remove(&old.tag());
        self.index();
        Some(Change::Ended(old))
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
        let read_at = self.read_at.unwrap_or_default();
        self.replaced.insert(tag, read_at);
        if self.targets.remove(&tag).is_some() {
            self.index();
        }
    }

    fn index(&mut self) {
        self.index = Index::new(self.targets.values(), self.cell_targets, &self.regions);
        let by_id = self.targets.iter();
        self.by_id = by_id.map(|(tag, it)| (it.id.clone(), *tag)).collect();
        let mut sums = Sums::zero();
        let mut digest = 0;
        for target in self.listed() {
            digest ^= sum(target);
            sums.flip(target);
        }
        self.sums = sums;
        self.digest = digest;
    }

    /// A target is new, or something about it is.
    fn insert(&mut self, target: Arc<Target>) {
        let tag = target.tag();
        self.digest ^= sum(&target);
        self.sums.flip(&target);
        self.index.put(&target, self.cell_targets, &self.regions);
        self.by_id.insert(target.id.clone(), tag);
        if let Some(old) = self.targets.insert(tag, target) {
            self.digest ^= sum(&old);
            self.sums.flip(&old);
        }
    }

    fn remove(&mut self, tag: Tag) -> Option<Arc<Target>> {
        let old = self.targets.remove(&tag)?;
        self.digest ^= sum(&old);
        self.sums.flip(&old);
        self.index.remove(&old, self.cell_targets, &self.regions);
        self.by_id.remove(&old.id);
        Some(old)
    }

    /// The cells of a service in a region.
    #[must_use]
    pub fn cells(&self, service: ServiceTag, region: Region) -> &[Vec<Arc<Target>>] {
        self.index.cells(service, region)
    }

    /// The regions in which a service has targets.
    pub fn regions(&self, service: ServiceTag) -> impl Iterator<Item = Region> {
        self.index.regions(service)
    }

    /// The region of a target.
    #[must_use]
    pub fn region_of(&self, target: &Target) -> Region {
        self.regions.of(&target.domain)
    }

    /// Targets of a cell, in the order of their identities.
    #[must_use]
    pub fn of_cell(&self, cell: Cell) -> &[Arc<Target>] {
        let cells = self.cells(cell.service, cell.region);
        cells
            .get(usize::from(cell.index))
            .map_or(&[], Vec::as_slice)
    }

    /// All cells that have targets.
    pub fn all_cells(&self) -> impl Iterator<Item = (Cell, &[Arc<Target>])> {
        self.index.all_cells()
    }

    /// The cell of a target.
    #[must_use]
    pub fn cell_of(&self, target: &Target) -> Cell {
        let service = ServiceTag::new(&target.service);
        let region = self.region_of(target);
        let count = u16::try_from(self.cells(service, region).len()).unwrap_or(u16::MAX);
        Cell {
            service,
            region,
            index: cell::index(target.tag(), count),
        }
    }

    /// Targets of a service, in the order of their identities.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Arc<Target>] {
        self.index.of(service)
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
