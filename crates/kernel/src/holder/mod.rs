//! Using slots that owners have granted.
//!
//! A holder keeps a slot when the request on it ends, and uses it for the next
//! request without asking, as long as that is fair: the request's customer is at
//! most a window ahead of the pool's frontier, or nobody else waits. Otherwise the
//! slot goes back. Control traffic is thus spent on moving slots, not on requests.
//! A slot granted for a customer may be used for that customer in any case, so
//! that a grant is never sent back at once.
//!
//! What a router wants is told to a few owners first and to twice as many after
//! every [`Settings::widen`] in which work has waited, near ones and those
//! reported to have free slots first. A want is told again only when it differs
//! much from what was told.

mod want;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Customer, Target};
use crate::key::Key;
use crate::message::{Grant, Hold, Message, Recall};
use crate::owner::GRANT_TIMEOUT;
use crate::queue::Lane;
use crate::settings::Settings;
use crate::table::Table;
use crate::time::Instant;

/// Owners asked at most for one lane.
pub const WIDTH: usize = 12;

/// Owners asked first.
const FIRST_WIDTH: usize = 1;

/// How much later a lane is told when all targets are busy, some with its requests.
const LATE: u32 = 10;

/// Time without a grant after which a want is told again: it may have been lost, or
/// its owner may have taken us for dead and forgotten it.
const UNANSWERED: Duration = Duration::from_secs(3);

/// Age after which a want that has ended is taken back.
const STALE: Duration = Duration::from_secs(10);

/// Slots held of one target.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The owner that gave them.
    pub owner: Key,
    /// Slots held.
    pub held: u32,
    /// Slots in use.
    pub busy: u32,
    /// Since when some slot is unused.
    pub idle_since: Instant,
    sequence: u64,
    stamp: u64,
    stated_at: Instant,
    recalled: bool,
    /// Whether requests sent to the target fail.
    unusable: bool,
    /// Slots to give back as soon as they are free.
    excess: u32,
    permits: BTreeMap<Customer, u32>,
}

impl Holding {
    /// Slots held and unused.
    #[must_use]
    pub const fn free(&self) -> u32 {
        self.held.saturating_sub(self.busy)
    }

    /// Whether a slot was granted for a customer and not used yet.
    #[must_use]
    pub fn permits(&self, customer: Customer) -> bool {
        self.permits.get(&customer).is_some_and(|count| *count > 0)
    }

    /// Takes off free slots that the owner has given out twice; true when there were.
    fn give_excess(&mut self) -> bool {
        let given = self.excess.min(self.free());
        self.excess -= given;
        self.held -= given;
        given > 0
    }

    /// Whether the owner asked for unused slots back.
    #[must_use]
    pub const fn recalled(&self) -> bool {
        self.recalled
    }
}

/// One thing told to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    count: u32,
}

/// What was told to one owner.
#[derive(Clone, Debug, Default)]
struct Desk {
    stamp: u64,
    told: BTreeMap<(Lane, Customer), Told>,
    at: Option<Instant>,
    /// When it was last told, or last granted something.
    proved: Option<Instant>,
}

/// Waiting requests of one customer in one lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The lane.
    pub lane: Lane,
    /// The customer.
    pub customer: Customer,
    /// Requests waiting.
    pub count: u32,
    /// Estimated cost of one, in units.
    pub cost: u64,
}

/// Counts of slots that moved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moved {
    /// Slots granted to this router.
    pub granted: u64,
    /// Slots given back.
    pub returned: u64,
    /// Slots given back that were never used since they were granted.
    pub unused: u64,
    /// Wants told.
    pub wants: u64,
}

/// All slots held, and what was asked for.
#[derive(Debug, Default)]
pub struct Holder {
    /// Counts of slots that moved.
    pub moved: Moved,
    holdings: BTreeMap<Target, Holding>,
    desks: BTreeMap<Key, Desk>,
    waiting_since: BTreeMap<Lane, Instant>,
    /// Stamps never repeat, even when an owner comes back.
    stamp: u64,
}

impl Holder {
    /// A holder of nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What is held of a target.
    #[must_use]
    pub fn get(&self, target: Target) -> Option<&Holding> {
        self.holdings.get(&target)
    }

    /// All holdings.
    pub fn all(&self) -> impl Iterator<Item = (Target, &Holding)> {
        self.holdings.iter().map(|(target, row)| (*target, row))
    }

    /// Sets a fixed holding, for the baselines without owners.
    pub fn fix(&mut self, now: Instant, target: Target, owner: Key, held: u32) {
        let holding = self.holding(now, target, owner);
        holding.held = held;
    }

    /// Takes a grant; a doubled or overtaken one is dropped, which is false.
    pub fn grant(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        owner: Key,
        grant: &Grant,
    ) -> bool {
        let holding = self.holding(now, target, owner);
        if holding.owner != owner || grant.sequence <= holding.sequence {
            return false;
        }
        let mut granted = 0;
        holding.sequence = grant.sequence;
        holding.idle_since = now;
        holding.recalled = false;
        for part in &grant.parts {
            holding.held += part.count;
            granted += u64::from(part.count);
            if let Some(customer) = table.customer_by_key(part.customer) {
                *holding.permits.entry(customer).or_default() += part.count;
            }
        }
        self.moved.granted += granted;
        self.note_granted(now, table, owner, grant);
        true
    }

    /// The owner has taken its grants off what we told it; so do we.
    fn note_granted(&mut self, now: Instant, table: &Table, owner: Key, grant: &Grant) {
        let Some(desk) = self.desks.get_mut(&owner) else {
            return;
        };
        desk.proved = Some(now);
        for part in &grant.parts {
            let Some(customer) = table.customer_by_key(part.customer) else {
                continue;
            };
            let mut left = part.count;
            for ((_, other), told) in &mut desk.told {
                if *other == customer {
                    let taken = told.count.min(left);
                    told.count -= taken;
                    left -= taken;
                }
            }
        }
    }

    /// Uses a free slot for a customer.
    pub fn occupy(&mut self, target: Target, customer: Customer) {
        if let Some(holding) = self.holdings.get_mut(&target) {
            holding.busy += 1;
            if let Some(count) = holding.permits.get_mut(&customer) {
                *count -= 1;
                if *count == 0 {
                    holding.permits.remove(&customer);
                }
            }
        }
    }

    /// Ends the use of a slot.
    pub fn vacate(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let Some(holding) = self.holdings.get_mut(&target) else {
            return;
        };
        holding.busy = holding.busy.saturating_sub(1);
        holding.idle_since = now;
        if holding.give_excess() {
            self.state(now, table, target, outbox);
        }
    }

    /// The owner asks for slots back, and to be told what is held.
    pub fn recall(
        &mut self,
        now: Instant,
        table: &Table,
        recall: Recall,
        owner: Key,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let Some(target) = table.target_by_key(recall.target) else {
            return;
        };
        let unknown = !self.holdings.contains_key(&target);
        let holding = self.holding(now, target, owner);
        if holding.owner != owner {
            return;
        }
        holding.recalled = true;
        holding.excess = recall.count.min(holding.held);
        let given = holding.give_excess();
        if given || unknown || now.since(holding.stated_at) >= GRANT_TIMEOUT {
            self.state(now, table, target, outbox);
        }
    }

    /// A stamp greater than all before.
    pub fn next_stamp(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    /// Notes whether requests sent to a target fail; told with the next statement.
    pub fn mark(&mut self, target: Target, unusable: bool) {
        if let Some(holding) = self.holdings.get_mut(&target) {
            holding.unusable = unusable;
        }
    }

    /// Gives all unused slots of a target back.
    pub fn release(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let Some(holding) = self.holdings.get_mut(&target) else {
            return;
        };
        holding.recalled = false;
        if holding.free() == 0 {
            return;
        }
        let unused: u32 = holding.permits.values().sum();
        self.moved.returned += u64::from(holding.free());
        self.moved.unused += u64::from(unused.min(holding.free()));
        holding.held = holding.busy;
        holding.permits.clear();
        self.state(now, table, target, outbox);
    }

    /// Tells the owner of a target what is held.
    pub fn state(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        self.stamp += 1;
        let stamp = self.stamp;
        let Some(holding) = self.holdings.get_mut(&target) else {
            return;
        };
        holding.stamp = stamp;
        holding.stated_at = now;
        let hold = Hold {
            target: table.targets[target.row()].key,
            stamp,
            sequence: holding.sequence,
            count: holding.held,
            unusable: holding.unusable,
        };
        outbox.push((holding.owner, Message::Hold(hold)));
    }

    /// Repeats what was stated longer ago than the settings say.
    pub fn restate(
        &mut self,
        now: Instant,
        table: &Table,
        settings: &Settings,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let due: Vec<Target> = self
            .holdings
            .iter()
            .filter(|(_, holding)| now.since(holding.stated_at) >= settings.restate)
            .map(|(target, _)| *target)
            .collect();
        for target in due {
            self.state(now, table, target, outbox);
        }
    }

    /// Follows a target to its new owner and tells it what is held.
    pub fn move_owner(
        &mut self,
        now: Instant,
        table: &Table,
        target: Target,
        owner: Key,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let Some(holding) = self.holdings.get_mut(&target) else {
            return;
        };
        if holding.owner == owner {
            return;
        }
        holding.owner = owner;
        holding.sequence = 0;
        holding.recalled = false;
        holding.excess = 0;
        self.state(now, table, target, outbox);
    }

    /// An owner has restarted: it knows nothing of what we hold or want.
    pub fn owner_restarted(
        &mut self,
        now: Instant,
        table: &Table,
        owner: Key,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        self.desks.remove(&owner);
        let targets: Vec<Target> = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.owner == owner)
            .map(|(target, _)| *target)
            .collect();
        for target in targets {
            if let Some(holding) = self.holdings.get_mut(&target) {
                holding.sequence = 0;
            }
            self.state(now, table, target, outbox);
        }
    }

    fn holding(&mut self, now: Instant, target: Target, owner: Key) -> &mut Holding {
        self.holdings.entry(target).or_insert_with(|| Holding {
            owner,
            held: 0,
            busy: 0,
            idle_since: now,
            sequence: 0,
            stamp: 0,
            stated_at: now,
            recalled: false,
            unusable: false,
            excess: 0,
            permits: BTreeMap::new(),
        })
    }
}
