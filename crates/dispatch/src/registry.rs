//! Registry of the known targets.
//!
//! The platform's list is read in full once; after that only the log records written since are read
//! ([`Delta`]). A target that is missing from the list has ended, with one exception: entries
//! expire during a store outage and reappear shortly after it, so after an outage a missing target
//! is retained for [`REAPPEARANCE_GRACE`]. An outage is a gap between lists, whichever router read
//! them: as long as a peer can read, entries do not expire because of the store. A retained target
//! is a local assumption of this router: it is not sent to peers, and a list from a peer that
//! observed no outage ends it.
//!
//! A server may restart under the same identity. Its newest incarnation is remembered for longer
//! than messages about an earlier one can be in flight, so such messages have no effect, whoever
//! sends them. An entry that cannot be read suspends its target; a drain that was already announced
//! stays in effect.
//!
//! A target's own announcements take precedence over its entry, which may be stale: a target that
//! has announced that it is leaving ([`crate::leaving`]) is leaving in every list.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::cell::{self, Cell, ServiceTag};
use crate::leaving::Notices;
use crate::region::{Region, Regions};
use crate::target::{State, Tag, Target, Version};
use crate::version_record::Lineage;

mod delta;
mod incarnations;
mod index;
mod leaving;
mod partition;
mod restore;
mod versions;

pub use delta::Delta;
pub use incarnations::INCARNATION_RETENTION;
use incarnations::Incarnations;
use index::{Index, checksum};
pub use partition::{Checksums, Difference, VersionList};
pub use restore::ENTRY_EXPIRY;
use restore::Restore;
use versions::Versions;

/// How long an expired entry may take to reappear after an outage of the store; operators expect
/// about two seconds.
pub const REAPPEARANCE_GRACE: Duration = Duration::from_secs(2);

/// Minimum gap between two lists that counts as an outage. Lists are read every 0.6 to 1.2 s;
/// entries expire after three heartbeats of about that length.
pub const OUTAGE_GAP: Duration = Duration::from_secs(2);

/// How long a target that was replaced by another one stays excluded, whatever its entry says:
/// longer than messages about it can be in flight.
const REPLACED_RETENTION: Duration = Duration::from_mins(1);

/// A change to the known targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target was added, or may get new work again.
    Added(Arc<Target>),
    /// A target is about to end.
    Leaving(Arc<Target>),
    /// A target's entry can no longer be read: the target gets no new work.
    Suspended(Arc<Target>),
    /// A target has ended.
    Ended(Arc<Target>),
}

/// A full list of the platform's entries.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Targets whose entries could be read.
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

/// Known targets and the time of the newest list.
#[derive(Clone, Debug)]
pub struct Registry {
    cell_targets: usize,
    regions: Arc<Regions>,
    targets: HashMap<Tag, Arc<Target>>,
    /// Tag of the known incarnation of each server.
    by_id: HashMap<Arc<str>, Tag>,
    index: Index,
    read_at: Option<Duration>,
    retain_until: Duration,
    /// From this time on, absence from a list means that a target has ended.
    settled_from: Duration,
    /// Targets that are retained although the newest list lacks them.
    retained: HashSet<Tag>,
    /// Targets that were replaced at their addresses, with the time of the list at which that
    /// happened.
    replaced: HashMap<Tag, Duration>,
    /// State that guards against stale entries of a store restored from a backup.
    restore: Restore,
    /// Newest incarnations of the servers that publish a start time.
    incarnations: Incarnations,
    /// Targets that have announced that they are leaving.
    leaving: Notices,
    versions: Versions,
    digest: u64,
    checksums: Checksums,
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
            retain_until: Duration::ZERO,
            settled_from: Duration::ZERO,
            retained: HashSet::new(),
            replaced: HashMap::new(),
            restore: Restore::default(),
            incarnations: Incarnations::default(),
            leaving: Notices::default(),
            versions: Versions::default(),
            digest: 0,
            checksums: Checksums::empty(),
        }
    }

    /// Sets the approximate number of targets per cell.
    #[must_use]
    pub fn with_cell_targets(mut self, targets: usize) -> Self {
        self.cell_targets = targets;
        self
    }

    /// Sets which failure domains belong to the same region.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<Regions>) -> Self {
        self.regions = regions;
        self
    }

    /// Applies a full list as of `as_of`; a list older than the known one is ignored.
    pub fn apply_list(&mut self, list: impl Into<Listing>, as_of: Duration) -> Vec<Change> {
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        let gap = self.read_at.map(|at| as_of.saturating_sub(at));
        if gap.is_some_and(|it| it > OUTAGE_GAP) {
            self.retain_until = as_of + REAPPEARANCE_GRACE;
        }
        if gap.is_none_or(|it| it > OUTAGE_GAP) {
            // A router that has just started cannot know whether an outage preceded it.
            self.settled_from = as_of + REAPPEARANCE_GRACE;
        }
        self.apply_full(list.into(), as_of)
    }

    /// Applies the list of a peer that observed no outage: targets missing from it have ended,
    /// unless the store was restored from a backup shortly before `as_of`.
    pub fn apply_settled_list(&mut self, list: impl Into<Listing>, as_of: Duration) -> Vec<Change> {
        if self.read_at.is_some_and(|at| as_of < at) {
            return Vec::new();
        }
        if self.restore.confirms_absence(as_of) {
            self.retain_until = Duration::ZERO;
            self.settled_from = Duration::ZERO;
        }
        self.apply_full(list.into(), as_of)
    }

    fn apply_full(&mut self, listing: Listing, as_of: Duration) -> Vec<Change> {
        self.read_at = Some(as_of);
        self.retained.clear();
        let list = self.reconcile(listing, as_of);
        let mut changes = Vec::new();
        let mut next = HashMap::with_capacity(list.len());
        for target in list {
            if self.replaced.contains_key(&target.tag()) {
                continue;
            }
            let target = Arc::new(target);
            changes.extend(self.change_for(&target));
            next.insert(target.tag(), target);
        }
        self.remove_missing(&mut next, &mut changes, as_of);
        self.targets = next;
        self.rebuild_index();
        changes
    }

    /// Reconciles a list with what is known: the newest incarnation of each server, suspended if
    /// its entry cannot be read, and leaving once that was announced.
    fn reconcile(&mut self, listing: Listing, as_of: Duration) -> Vec<Target> {
        let Listing {
            targets,
            mut unreadable,
        } = listing;
        self.prune(as_of);
        let mut list = Vec::with_capacity(targets.len());
        for target in targets {
            match self.newest_incarnation(target, as_of) {
                Ok(target) => list.extend(target.filter(|it| !self.is_resurrected(it, as_of))),
                Err(id) => unreadable.push(id),
            }
        }
        if !unreadable.is_empty() {
            list.extend(self.suspended_targets(&unreadable));
        }
        for target in &mut list {
            self.preserve_leaving(target);
            self.preserve_version(target);
        }
        list
    }

    /// Keeps the known version of a target: peers of an earlier release send none.
    fn preserve_version(&self, target: &mut Target) {
        if target.version.is_none() {
            let known = self.targets.get(&target.tag());
            target.version = known.and_then(|it| it.version.clone());
        }
    }

    /// Keeps a leaving target leaving: an entry that says otherwise is stale.
    fn preserve_leaving(&self, target: &mut Target) {
        let tag = target.tag();
        let known = self.targets.get(&tag);
        let leaves = known.is_some_and(|it| it.state == State::Leaving);
        if leaves || self.leaving.contains(tag) {
            target.state = State::Leaving;
        }
    }

    /// Drops state that has outlived its retention period.
    fn prune(&mut self, as_of: Duration) {
        self.incarnations.prune(as_of);
        self.restore.prune(as_of);
        self.leaving.prune(as_of);
        self.replaced
            .retain(|_, at| as_of.saturating_sub(*at) < REPLACED_RETENTION);
    }

    /// Returns the listed target if it is the newest incarnation of its server, else the newest one
    /// if it is known. An entry without a start time, for a server that has published one, comes
    /// from another writer and returns the identity as an error.
    fn newest_incarnation(
        &mut self,
        target: Target,
        as_of: Duration,
    ) -> Result<Option<Target>, Arc<str>> {
        let Some(born) = target.born else {
            return match self.incarnations.newest(&target.id) {
                Some(_) => Err(target.id),
                None => Ok(Some(target)),
            };
        };
        let newest = self.incarnations.record(&target.id, born, as_of);
        if born == newest {
            return Ok(Some(target));
        }
        let known = self.targets.get(&Tag::with_born(&target.id, newest));
        Ok(known.map(|it| it.as_ref().clone()))
    }

    /// Known targets among the unreadable identities, marked unreadable.
    fn suspended_targets(&self, unreadable: &[Arc<str>]) -> Vec<Target> {
        let ids: HashSet<&str> = unreadable.iter().map(AsRef::as_ref).collect();
        let known = self.targets.values();
        let known = known.filter(|it| ids.contains(it.id.as_ref()));
        let suspended = known.map(|it| Target {
            state: State::Unreadable,
            ..it.as_ref().clone()
        });
        suspended.collect()
    }

    /// The change that a target's new state amounts to, if any.
    fn change_for(&self, target: &Arc<Target>) -> Option<Change> {
        let known = self.targets.get(&target.tag());
        if known.is_some_and(|it| it.state == target.state) {
            return None;
        }
        let target = target.clone();
        Some(match target.state {
            State::Ready => Change::Added(target),
            State::Leaving if known.is_none() => Change::Added(target),
            State::Leaving => Change::Leaving(target),
            State::Unreadable => Change::Suspended(target),
        })
    }

    /// Ends targets that the newest list lacks, except those retained after an outage.
    fn remove_missing(
        &mut self,
        next: &mut HashMap<Tag, Arc<Target>>,
        changes: &mut Vec<Change>,
        as_of: Duration,
    ) {
        let retain = as_of < self.retain_until;
        let missing = self
            .targets
            .iter()
            .filter(|(tag, _)| !next.contains_key(tag));
        let missing: Vec<_> = missing.map(|(tag, it)| (*tag, it.clone())).collect();
        for (tag, old) in missing {
            let replaced = next
                .values()
                .any(|it| it.address == old.address || it.id == old.id);
            if retain && !replaced {
                next.insert(tag, old);
                self.retained.insert(tag);
            } else {
                self.restore.record_ended(tag, as_of);
                changes.push(Change::Ended(old));
            }
        }
    }

    /// Records that a server reported a start at `born`, and ends its earlier incarnation.
    pub fn supersede(&mut self, id: &str, born: u64, now: Duration) -> Option<Change> {
        if self.incarnations.newest(id).is_some_and(|it| it >= born) {
            return None;
        }
        self.incarnations.record(&id.into(), born, now);
        let old = self.targets.values().find(|it| it.id.as_ref() == id)?;
        let old = old.clone();
        self.targets.remove(&old.tag());
        self.rebuild_index();
        Some(Change::Ended(old))
    }

    /// Advances the time of the list to `as_of` if a peer's list as of then has the same digest.
    pub fn confirm(&mut self, digest: u64, as_of: Duration) {
        if digest == self.digest && self.read_at.is_some_and(|at| as_of > at) {
            self.read_at = Some(as_of);
        }
    }

    /// Digest of the list; equal lists have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Removes a target that was replaced by another one at its address, even if it is still
    /// listed.
    pub fn remove_replaced(&mut self, tag: Tag) {
        let read_at = self.read_at.unwrap_or_default();
        self.replaced.insert(tag, read_at);
        if self.targets.remove(&tag).is_some() {
            self.rebuild_index();
        }
    }

    fn rebuild_index(&mut self) {
        self.index = Index::new(self.targets.values(), self.cell_targets, &self.regions);
        let by_id = self.targets.iter();
        self.by_id = by_id.map(|(tag, it)| (it.id.clone(), *tag)).collect();
        let at = self.read_at.unwrap_or_default();
        self.versions.rebuild(self.targets.values(), at);
        let mut checksums = Checksums::empty();
        let mut digest = 0;
        for target in self.listed() {
            digest ^= checksum(target);
            checksums.toggle(target);
        }
        self.checksums = checksums;
        self.digest = digest;
    }

    /// Adds a target, or replaces it if it is known.
    fn insert(&mut self, target: Arc<Target>) {
        let tag = target.tag();
        self.digest ^= checksum(&target);
        self.checksums.toggle(&target);
        self.index.insert(&target, self.cell_targets, &self.regions);
        self.by_id.insert(target.id.clone(), tag);
        self.versions.add(&target);
        if let Some(old) = self.targets.insert(tag, target) {
            self.versions.remove(&old, self.read_at.unwrap_or_default());
            self.digest ^= checksum(&old);
            self.checksums.toggle(&old);
        }
    }

    fn remove(&mut self, tag: Tag) -> Option<Arc<Target>> {
        let old = self.targets.remove(&tag)?;
        self.digest ^= checksum(&old);
        self.checksums.toggle(&old);
        self.index.remove(&old, self.cell_targets, &self.regions);
        self.by_id.remove(&old.id);
        self.versions.remove(&old, self.read_at.unwrap_or_default());
        Some(old)
    }

    /// Software versions of the targets of a service, also of those that ended within
    /// [`RETENTION`](crate::continuation::RETENTION); `None` stands for an unknown one.
    #[must_use]
    pub fn versions(&self, service: ServiceTag, now: Duration) -> Vec<Option<Version>> {
        self.versions.of(service, now)
    }

    /// Software versions that have targets.
    pub fn present_versions(&self) -> impl Iterator<Item = Lineage> + '_ {
        self.versions.present()
    }

    /// Services with targets of which [`Registry::versions`] names several versions.
    #[must_use]
    pub fn mixed_services(&self, now: Duration) -> Vec<ServiceTag> {
        self.versions.mixed(now)
    }

    /// Whether the software version of some target is unknown.
    #[must_use]
    pub fn lacks_versions(&self) -> bool {
        self.versions.lacks_some()
    }

    /// Records a peer's report that a service had targets of a version at `at`.
    pub fn record_version(&mut self, service: ServiceTag, version: Version, at: Duration) {
        self.versions.record(service, version, at);
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

    /// Targets of a cell, ordered by identity.
    #[must_use]
    pub fn targets_of_cell(&self, cell: Cell) -> &[Arc<Target>] {
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

    /// Targets of a service, ordered by identity.
    #[must_use]
    pub fn targets_of_service(&self, service: &str) -> &[Arc<Target>] {
        self.index.service_targets(service)
    }

    /// Targets of the newest list, without those that are retained after an outage.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Target>> {
        let targets = self.targets.iter();
        let listed = targets.filter(|(tag, _)| !self.retained.contains(tag));
        listed.map(|(_, target)| target)
    }

    /// Whether no recent outage leaves it uncertain which targets have ended.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.read_at.is_some_and(|at| at >= self.settled_from)
    }

    /// All targets, including those that are retained after an outage.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// Looks up a target by its tag.
    #[must_use]
    pub fn get(&self, tag: Tag) -> Option<&Arc<Target>> {
        self.targets.get(&tag)
    }

    /// Time as of which the newest list holds.
    #[must_use]
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }
}
