//! Live routers, and which of them owns a cell or performs a duty.
//!
//! [`crate::membership`] tells which routers are alive. The owner of a cell is chosen by rendezvous
//! hashing over these routers, weighted by their CPU quotas, so routers usually agree without
//! coordination. Agreement isn't required: an unintended owner places requests as well, and where
//! it doesn't know of other work at a target, the target refuses its request as not run. A router
//! that leaves requests unanswered is excluded for a while, longer each time. A newly discovered
//! router is excluded until the others have had time to discover it, too.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::cell::{self, Cell, ServiceTag};
use crate::region::{Region, Regions};
use crate::usage::Peer;

/// Time after its discovery during which a router owns no cells.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Consecutive unanswered requests after which a router is excluded.
const MISS_THRESHOLD: u32 = 2;

/// Duration of a router's first exclusion.
const INITIAL_EXCLUSION: Duration = Duration::from_millis(500);

/// Limit on the number of times that the duration of an exclusion doubles.
const MAX_EXCLUSION_DOUBLINGS: u32 = 4;

/// Neighbours that are asked to take a connection, at most.
const HANDOVER_CANDIDATES: usize = 2;

/// Routers that record the origin of a stream. With three failure domains, one is in each.
const KEEPERS: usize = 3;

/// Description of one start of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Address at which it receives messages.
    pub address: SocketAddr,
    /// Identity of this start.
    pub peer: Peer,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// CPU quota in thousandths of a core.
    pub millicores: u32,
}

/// Work that a few routers do on behalf of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Watches the configuration in the store.
    Configuration,
    /// Reads the list of targets from the store.
    Targets,
    /// Writes the software versions that began streams to the store.
    Streams,
    /// Collects what ran at targets that terminated.
    Terminations,
}

impl Duty {
    /// A placeholder cell by which routers are ranked for this duty.
    fn cell(self) -> Cell {
        let (name, index) = match self {
            Self::Configuration => ("duty of configuration", 0),
            Self::Targets => ("duty of targets", 0),
            Self::Streams => ("duty of streams", 0),
            Self::Terminations => ("duty of terminations", 0),
        };
        Cell {
            service: ServiceTag::new(name),
            region: Region::default(),
            index,
        }
    }
}

/// The set of routers in a ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All routers.
    All,
    /// Routers of the same failure domain.
    Domain,
}

/// Whether a router may own cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Eligible.
    Healthy,
    /// Overloaded: doesn't keep up with its callers.
    Overloaded,
    /// Shutting down.
    Leaving,
}

#[derive(Clone, Debug)]
struct Record {
    router: Descriptor,
    discovered_at: Duration,
    condition: Condition,
    misses: u32,
    exclusions: u32,
    excluded_until: Duration,
}

/// The live routers.
#[derive(Clone, Debug)]
pub struct Members {
    own: Descriptor,
    regions: Arc<Regions>,
    condition: Condition,
    known: HashMap<SocketAddr, Record>,
    /// Cached owners, cleared by every change.
    owners: RefCell<HashMap<Cell, Owner>>,
}

/// A cached owner.
#[derive(Clone, Copy, Debug)]
struct Owner {
    address: SocketAddr,
    /// When another router may become eligible, as it has settled or its exclusion ends.
    valid_until: Duration,
}

impl Members {
    /// A view that holds only this router.
    #[must_use]
    pub fn new(own: Descriptor) -> Self {
        Self {
            own,
            regions: Arc::default(),
            condition: Condition::Healthy,
            known: HashMap::new(),
            owners: RefCell::default(),
        }
    }

    /// Sets the regions of the failure domains.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<Regions>) -> Self {
        self.regions = regions;
        self
    }

    /// This router itself.
    #[must_use]
    pub fn own(&self) -> &Descriptor {
        &self.own
    }

    /// Marks this router as shutting down; it owns no cells any more.
    pub fn leave(&mut self) {
        self.condition = Condition::Leaving;
        self.owners.get_mut().clear();
    }

    /// The condition of this router.
    #[must_use]
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Marks this router as overloaded, or as eligible again.
    pub fn set_overloaded(&mut self, overloaded: bool) {
        self.condition = match (self.condition, overloaded) {
            (Condition::Leaving, _) => Condition::Leaving,
            (_, true) => Condition::Overloaded,
            (_, false) => Condition::Healthy,
        };
        self.owners.get_mut().clear();
    }

    /// Adds or updates a live router; true if it was not known.
    pub fn upsert(&mut self, router: &Descriptor, condition: Condition, now: Duration) -> bool {
        self.owners.get_mut().clear();
        let known = self.known.get_mut(&router.address);
        if let Some(record) = known.filter(|it| it.router.peer == router.peer) {
            record.condition = condition;
            return false;
        }
        let record = Record {
            router: router.clone(),
            discovered_at: now,
            condition,
            misses: 0,
            exclusions: 0,
            excluded_until: Duration::ZERO,
        };
        self.known.insert(router.address, record);
        true
    }

    /// Removes a start of a router.
    pub fn remove(&mut self, router: &Descriptor) {
        self.owners.get_mut().clear();
        let known = self.known.get(&router.address);
        if known.is_some_and(|it| it.router.peer == router.peer) {
            self.known.remove(&router.address);
        }
    }

    /// Whether a router is shutting down.
    #[must_use]
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        let record = self.known.get(&address);
        record.is_some_and(|it| it.condition == Condition::Leaving)
    }

    /// Number of routers that precede this one in a duty, among all or in its failure domain.
    #[must_use]
    pub fn rank(&self, duty: Duty, scope: Scope) -> usize {
        let own = score(&self.own, duty.cell());
        let others = self.known.values();
        let others = others.filter(|it| it.condition != Condition::Leaving);
        let others = others.map(|it| &it.router);
        let near = others.filter(|it| scope == Scope::All || it.domain == self.own.domain);
        near.filter(|it| score(it, duty.cell()) > own).count()
    }

    /// The router that performs a duty for all.
    #[must_use]
    pub fn first(&self, duty: Duty) -> SocketAddr {
        let others = self.known.values();
        let others = others.filter(|it| it.condition != Condition::Leaving);
        let own = (self.condition != Condition::Leaving).then_some(&self.own);
        let routers = others.map(|it| &it.router).chain(own);
        highest_score(routers, duty.cell()).map_or(self.own.address, |it| it.address)
    }

    /// Other live routers.
    pub fn others(&self) -> impl Iterator<Item = &Descriptor> {
        self.known.values().map(|it| &it.router)
    }

    /// Address of a live start of a router.
    #[must_use]
    pub fn address(&self, peer: Peer) -> Option<SocketAddr> {
        let router = self.others().find(|it| it.peer == peer);
        router.map(|it| it.address)
    }

    /// The failure domain of a live router.
    #[must_use]
    pub fn domain(&self, address: SocketAddr) -> Option<Arc<str>> {
        let record = self.known.get(&address)?;
        Some(record.router.domain.clone())
    }

    /// Whether a router is known.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.known.contains_key(&address)
    }

    /// Number of live routers, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// The router that places the requests of a cell.
    #[must_use]
    pub fn owner(&self, cell: Cell, now: Duration) -> SocketAddr {
        let cached = self.owners.borrow().get(&cell).copied();
        if let Some(owner) = cached.filter(|it| now < it.valid_until) {
            return owner.address;
        }
        let owner = Owner {
            address: self.compute_owner(cell, now),
            valid_until: self.next_eligibility_change(now),
        };
        self.owners.borrow_mut().insert(cell, owner);
        owner.address
    }

    /// The earliest time at which a router will have settled or its exclusion will end.
    fn next_eligibility_change(&self, now: Duration) -> Duration {
        let records = self.known.values();
        let changes = records.flat_map(|it| [it.discovered_at + SETTLING_TIME, it.excluded_until]);
        let next = changes.filter(|it| *it > now).min();
        next.unwrap_or(Duration::MAX)
    }

    fn compute_owner(&self, cell: Cell, now: Duration) -> SocketAddr {
        let settled = |it: &&Record| now.saturating_sub(it.discovered_at) >= SETTLING_TIME;
        let included = self.known.values().filter(|it| now >= it.excluded_until);
        let any_settled = self.known.values().any(|it| settled(&it));
        let settled: Vec<_> = included.filter(|it| !any_settled || settled(it)).collect();
        // An overloaded router is preferred over one that knows nothing of the cell.
        for condition in [Condition::Healthy, Condition::Overloaded] {
            let others = settled.iter().filter(|it| it.condition == condition);
            let own = (self.condition == condition).then_some(&self.own);
            let routers: Vec<_> = others.map(|it| &it.router).chain(own).collect();
            // A router of another region is chosen only if the cell's region has none.
            let near = routers.iter().copied();
            let near = near.filter(|it| self.regions.of(&it.domain) == cell.region);
            let best =
                highest_score(near, cell).or_else(|| highest_score(routers.iter().copied(), cell));
            if let Some(best) = best {
                return best.address;
            }
        }
        self.own.address
    }

    /// Routers of the same failure domain that may take a connection, in the order in which they
    /// are asked: drawn at random, weighted by their CPU quotas.
    #[must_use]
    pub fn handover_candidates(&self, draw: u64) -> Vec<SocketAddr> {
        let near = self.known.values();
        let near = near.filter(|it| it.condition == Condition::Healthy);
        let near = near.map(|it| &it.router);
        let near = near.filter(|it| it.domain == self.own.domain);
        let mut scored: Vec<_> = near
            .map(|it| {
                let hash = xxh64(&it.peer.0.to_le_bytes(), draw);
                (
                    cell::score(hash, f64::from(it.millicores.max(1))),
                    it.address,
                )
            })
            .collect();
        scored.sort_unstable_by(|(a, _), (b, _)| b.total_cmp(a));
        scored.truncate(HANDOVER_CANDIDATES);
        scored.into_iter().map(|(_, address)| address).collect()
    }

    /// Live routers that record the origin of a stream, by its hash: the one with the highest
    /// weight in each of several failure domains, then those with the next highest weights.
    #[must_use]
    pub fn keepers(&self, key: u64) -> Vec<&Descriptor> {
        let others = self.known.values();
        let others = others.filter(|it| it.condition != Condition::Leaving);
        let own = (self.condition != Condition::Leaving).then_some(&self.own);
        let routers = others.map(|it| &it.router).chain(own);
        let mut routers: Vec<_> = routers
            .map(|it| (xxh64(&it.peer.0.to_le_bytes(), key), it))
            .collect();
        routers.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let mut keepers: Vec<&Descriptor> = Vec::with_capacity(KEEPERS);
        for (_, router) in &routers {
            if keepers.len() < KEEPERS && !keepers.iter().any(|it| it.domain == router.domain) {
                keepers.push(router);
            }
        }
        for (_, router) in &routers {
            if keepers.len() < KEEPERS && !keepers.iter().any(|it| it.peer == router.peer) {
                keepers.push(router);
            }
        }
        keepers
    }

    /// Digest of the live routers: it differs after a change that may change the keepers.
    #[must_use]
    pub fn keepers_digest(&self) -> u64 {
        let others = self.known.values();
        let others = others.filter(|it| it.condition != Condition::Leaving);
        let peers = others.map(|it| it.router.peer);
        peers.fold(0, |digest, it| digest ^ xxh64(&it.0.to_le_bytes(), 0))
    }

    /// Records that a router left a request unanswered; true if it is excluded from now on.
    pub fn record_miss(&mut self, address: SocketAddr, now: Duration) -> bool {
        let Some(record) = self.known.get_mut(&address) else {
            return false;
        };
        record.misses += 1;
        if record.misses < MISS_THRESHOLD || now < record.excluded_until {
            return false;
        }
        record.misses = 0;
        let time =
            INITIAL_EXCLUSION.saturating_mul(1 << record.exclusions.min(MAX_EXCLUSION_DOUBLINGS));
        record.exclusions += 1;
        record.excluded_until = now + time;
        self.owners.get_mut().clear();
        true
    }

    /// Records that a router answered a request.
    pub fn record_answer(&mut self, address: SocketAddr) {
        if let Some(record) = self.known.get_mut(&address) {
            record.misses = 0;
            record.exclusions = 0;
        }
    }
}

/// The router with the highest score for a cell.
fn highest_score<'a>(
    routers: impl Iterator<Item = &'a Descriptor>,
    cell: Cell,
) -> Option<&'a Descriptor> {
    routers.max_by(|a, b| score(a, cell).total_cmp(&score(b, cell)))
}

/// Score of a router as the owner of a cell. Small and large machines serve the same number of
/// callers, and the work of an owner comes on top of that, so the weight is the square of the CPU
/// quota.
fn score(router: &Descriptor, cell: Cell) -> f64 {
    let region = u64::from(cell.region.0) << 48;
    let seed = region | u64::from(cell.service.0) << 16 | u64::from(cell.index);
    let hash = xxh64(&router.peer.0.to_le_bytes(), seed);
    let weight = f64::from(router.millicores.max(1)).powi(2);
    cell::score(hash, weight)
}
