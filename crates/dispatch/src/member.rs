//! Which of the routers alive owns a cell or does a duty.
//!
//! Who is alive is told by [`crate::membership`]. The owner of a cell is chosen by rendezvous hashing over the routers alive, with
//! their processors' shares as weights, so routers mostly agree without a word. They
//! need not: an owner that was not meant places requests as well, and what it does
//! not know of is refused by the target as not run. A router that leaves requests
//! unanswered is passed over for a while, longer each time. One that has just come
//! is passed over until the others have had time to hear of it.

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

/// Time for which a router that has just been heard of owns nothing.
const SETTLING: Duration = Duration::from_millis(1_500);

/// Requests in a row that a router leaves unanswered before it is passed over.
const MISSES: u32 = 2;

/// First time for which a router is passed over.
const PASSED_FIRST: Duration = Duration::from_millis(500);

/// Doublings of that time at the most.
const DOUBLINGS: u32 = 4;

/// What a router says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Identity of its start.
    pub peer: Peer,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Thousandths of a core that it has.
    pub millicores: u32,
}

/// What a few routers do for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Waits for the configuration at the store.
    Configuration,
    /// Reads the list of targets at the store.
    Targets,
}

impl Duty {
    /// A cell that stands for it where routers are ranked.
    fn cell(self) -> Cell {
        let (name, index) = match self {
            Self::Configuration => ("duty of configuration", 0),
            Self::Targets => ("duty of targets", 0),
        };
        Cell {
            service: ServiceTag::new(name),
            region: Region::default(),
            index,
        }
    }
}

/// Among whom routers are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All routers.
    All,
    /// Those of the same failure domain.
    Domain,
}

/// Whether a router may own cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It may.
    Sound,
    /// It doesn't keep up with its callers.
    Behind,
    /// It is about to end.
    Leaving,
}

#[derive(Clone, Debug)]
struct Record {
    card: Card,
    since: Duration,
    condition: Condition,
    misses: u32,
    passes: u32,
    passed_until: Duration,
}

/// Routers that are known.
#[derive(Clone, Debug)]
pub struct Members {
    own: Card,
    regions: Arc<Regions>,
    condition: Condition,
    known: HashMap<SocketAddr, Record>,
    /// Owners found before, until anything changes.
    owners: RefCell<HashMap<Cell, Owner>>,
}

/// An owner found before.
#[derive(Clone, Copy, Debug)]
struct Owner {
    address: SocketAddr,
    /// When a router has settled, or is no longer passed over, so that it may be another one.
    until: Duration,
}

impl Members {
    /// Only this router.
    #[must_use]
    pub fn new(own: Card) -> Self {
        Self {
            own,
            regions: Arc::default(),
            condition: Condition::Sound,
            known: HashMap::new(),
            owners: RefCell::default(),
        }
    }

    /// Sets which failure domains lie near each other.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<Regions>) -> Self {
        self.regions = regions;
        self
    }

    /// This router itself.
    #[must_use]
    pub fn own(&self) -> &Card {
        &self.own
    }

    /// This router is about to end: it owns nothing any more.
    pub fn leave(&mut self) {
        self.condition = Condition::Leaving;
        self.owners.get_mut().clear();
    }

    /// Whether this router may own cells.
    #[must_use]
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// This router doesn't keep up, or does again.
    pub fn set_behind(&mut self, behind: bool) {
        self.condition = match (self.condition, behind) {
            (Condition::Leaving, _) => Condition::Leaving,
            (_, true) => Condition::Behind,
            (_, false) => Condition::Sound,
        };
        self.owners.get_mut().clear();
    }

    /// A router is alive; true if it was not known.
    pub fn hear(&mut self, card: &Card, condition: Condition, now: Duration) -> bool {
        self.owners.get_mut().clear();
        let known = self.known.get_mut(&card.address);
        if let Some(record) = known.filter(|it| it.card.peer == card.peer) {
            record.condition = condition;
            return false;
        }
        let record = Record {
            card: card.clone(),
            since: now,
            condition,
            misses: 0,
            passes: 0,
            passed_until: Duration::ZERO,
        };
        self.known.insert(card.address, record);
        true
    }

    /// A start of a router has ended.
    pub fn remove(&mut self, card: &Card) {
        self.owners.get_mut().clear();
        let known = self.known.get(&card.address);
        if known.is_some_and(|it| it.card.peer == card.peer) {
            self.known.remove(&card.address);
        }
    }

    /// Whether a router is about to end.
    #[must_use]
    pub fn leaves(&self, address: SocketAddr) -> bool {
        let record = self.known.get(&address);
        record.is_some_and(|it| it.condition == Condition::Leaving)
    }

    /// How many routers come before this one in a duty, of all or of its failure domain.
    #[must_use]
    pub fn rank(&self, duty: Duty, scope: Scope) -> usize {
        let own = score(&self.own, duty.cell());
        let others = self.known.values();
        let others = others.filter(|it| it.condition != Condition::Leaving);
        let others = others.map(|it| &it.card);
        let near = others.filter(|it| scope == Scope::All || it.domain == self.own.domain);
        near.filter(|it| score(it, duty.cell()) > own).count()
    }

    /// Other routers that are alive.
    pub fn others(&self) -> impl Iterator<Item = &Card> {
        self.known.values().map(|it| &it.card)
    }

    /// Where a start of a router that is alive listens.
    #[must_use]
    pub fn address(&self, peer: Peer) -> Option<SocketAddr> {
        let card = self.others().find(|it| it.peer == peer);
        card.map(|it| it.address)
    }

    /// The failure domain of a router that is alive.
    #[must_use]
    pub fn domain(&self, address: SocketAddr) -> Option<Arc<str>> {
        let record = self.known.get(&address)?;
        Some(record.card.domain.clone())
    }

    /// Whether a router is known.
    #[must_use]
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.known.contains_key(&address)
    }

    /// Routers alive, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// The router that places the requests of a cell.
    #[must_use]
    pub fn owner(&self, cell: Cell, now: Duration) -> SocketAddr {
        let found = self.owners.borrow().get(&cell).copied();
        if let Some(owner) = found.filter(|it| now < it.until) {
            return owner.address;
        }
        let owner = Owner {
            address: self.find_owner(cell, now),
            until: self.next_turn(now),
        };
        self.owners.borrow_mut().insert(cell, owner);
        owner.address
    }

    /// When a router will have settled or will no longer be passed over, the first of all.
    fn next_turn(&self, now: Duration) -> Duration {
        let records = self.known.values();
        let turns = records.flat_map(|it| [it.since + SETTLING, it.passed_until]);
        let next = turns.filter(|it| *it > now).min();
        next.unwrap_or(Duration::MAX)
    }

    fn find_owner(&self, cell: Cell, now: Duration) -> SocketAddr {
        let settled = |it: &&Record| now.saturating_sub(it.since) >= SETTLING;
        let answering = self.known.values().filter(|it| now >= it.passed_until);
        let any = self.known.values().any(|it| settled(&it));
        let settled: Vec<_> = answering.filter(|it| !any || settled(it)).collect();
        // Better a router that is behind than one that knows nothing of the cell.
        for condition in [Condition::Sound, Condition::Behind] {
            let others = settled.iter().filter(|it| it.condition == condition);
            let own = (self.condition == condition).then_some(&self.own);
            let cards: Vec<_> = others.map(|it| &it.card).chain(own).collect();
            // From another region it only stands in for a region that has no router.
            let near = cards.iter().copied();
            let near = near.filter(|it| self.regions.of(&it.domain) == cell.region);
            let best = best(near, cell).or_else(|| best(cards.iter().copied(), cell));
            if let Some(best) = best {
                return best.address;
            }
        }
        self.own.address
    }

    /// A router left a request unanswered; true if it is passed over from now on.
    pub fn missed(&mut self, address: SocketAddr, now: Duration) -> bool {
        let Some(record) = self.known.get_mut(&address) else {
            return false;
        };
        record.misses += 1;
        if record.misses < MISSES || now < record.passed_until {
            return false;
        }
        record.misses = 0;
        let time = PASSED_FIRST.saturating_mul(1 << record.passes.min(DOUBLINGS));
        record.passes += 1;
        record.passed_until = now + time;
        self.owners.get_mut().clear();
        true
    }

    /// A router answered a request.
    pub fn answered(&mut self, address: SocketAddr) {
        if let Some(record) = self.known.get_mut(&address) {
            record.misses = 0;
            record.passes = 0;
        }
    }
}

/// The router that comes first as the owner of a cell.
fn best<'a>(cards: impl Iterator<Item = &'a Card>, cell: Cell) -> Option<&'a Card> {
    cards.max_by(|a, b| score(a, cell).total_cmp(&score(b, cell)))
}

/// Score of a router as the owner of a cell. The work of an owner comes on top of that for
/// callers, of whom a small machine gets as many as a large one, so the weight is the square
/// of the processor's share.
fn score(card: &Card, cell: Cell) -> f64 {
    let region = u64::from(cell.region.0) << 48;
    let seed = region | u64::from(cell.service.0) << 16 | u64::from(cell.index);
    let hash = xxh64(&card.peer.0.to_le_bytes(), seed);
    let weight = f64::from(card.millicores.max(1)).powi(2);
    cell::score(hash, weight)
}
