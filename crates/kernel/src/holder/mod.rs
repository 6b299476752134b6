//! Use of the slots that owners have granted to this router.
//!
//! A holder keeps a slot when the request on it ends and reuses it for the next
//! request without asking the owner, as long as that is fair: the request's customer
//! is at most one window ahead of the pool's frontier, or no other customer waits.
//! Otherwise the slot is returned. Control traffic is thus proportional to the slots
//! that move, not to the requests. A slot granted for a customer may be used for that
//! customer in any case, so that a grant is never returned at once.
//!
//! Demand is reported to one owner first and to twice as many after every
//! [`Settings::widen_interval`] in which requests have waited, up to [`MAX_OWNERS`].
//! Owners of targets with free slots come first, then those of targets in this
//! router's failure domain. Demand is reported again when it differs much from the
//! last report or is not granted.

mod demand;

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

/// Most owners to which the demand of one lane is reported.
pub const MAX_OWNERS: usize = 12;

/// Owners to which new demand of a lane is reported first.
const INITIAL_OWNERS: usize = 1;

/// Factor on [`Settings::widen_interval`] while all targets are busy and some of this
/// router's slots are in use.
const BUSY_WIDEN_FACTOR: u32 = 10;

/// Time without a grant after which demand is reported again: the report may have
/// been lost, or its owner may have suspected this router and removed its demand.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(3);

/// Age of a report after which demand in it that has ended is withdrawn.
const WITHDRAW_DELAY: Duration = Duration::from_secs(10);

/// Slots held of one target.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The owner that granted them.
    pub owner: Key,
    /// Slots held.
    pub held: u32,
    /// Slots in use.
    pub busy: u32,
    /// Time of the last grant or end of a request.
    pub idle_since: Instant,
    sequence: u64,
    stamp: u64,
    /// Time of the last report to the owner.
    reported_at: Instant,
    recalled: bool,
    /// Whether requests sent to the target fail.
    unusable: bool,
    /// Slots to return as soon as they are free.
    excess: u32,
    /// Granted slots not used yet, by the customer that they were granted for.
    permits: BTreeMap<Customer, u32>,
}

impl Holding {
    /// Slots held and unused.
    #[must_use]
    pub const fn free(&self) -> u32 {
        self.held.saturating_sub(self.busy)
    }

    /// Whether a slot was granted for a customer and has not been used yet.
    #[must_use]
    pub fn permits(&self, customer: Customer) -> bool {
        self.permits.get(&customer).is_some_and(|count| *count > 0)
    }

    /// Removes free slots that the owner has recalled as excess; true if there were any.
    fn drop_excess(&mut self) -> bool {
        let returned = self.excess.min(self.free());
        self.excess -= returned;
        self.held -= returned;
        returned > 0
    }

    /// Whether the owner has recalled unused slots.
    #[must_use]
    pub const fn recalled(&self) -> bool {
        self.recalled
    }
}

/// Reported demand of one customer in one lane, less the slots granted since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Remainder {
    count: u32,
}

/// Demand last reported to one owner.
#[derive(Clone, Debug, Default)]
struct Report {
    stamp: u64,
    rows: BTreeMap<(Lane, Customer), Remainder>,
    sent_at: Option<Instant>,
    /// Time of the last report or grant.
    active_at: Option<Instant>,
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
    /// Estimated cost of one request, in units.
    pub cost: u64,
}

/// Counts of slots and reports exchanged with owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Slots granted to this router.
    pub granted: u64,
    /// Slots returned to owners.
    pub returned: u64,
    /// Slots returned that were not used since they were granted.
    pub unused: u64,
    /// Demand reports sent.
    pub demands: u64,
}

/// Slots held of all targets, and the demand reported to owners.
#[derive(Debug, Default)]
pub struct Holder {
    /// Counts of slots and reports exchanged with owners.
    pub counts: Counts,
    holdings: BTreeMap<Target, Holding>,
    reports: BTreeMap<Key, Report>,
    waiting_since: BTreeMap<Lane, Instant>,
    /// Last stamp used. Stamps are never reused, even when an owner returns.
    stamp: u64,
}

impl Holder {
    /// A holder without slots.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Slots held of a target.
    #[must_use]
    pub fn get(&self, target: Target) -> Option<&Holding> {
        self.holdings.get(&target)
    }

    /// All holdings.
    pub fn all(&self) -> impl Iterator<Item = (Target, &Holding)> {
        self.holdings.iter().map(|(target, row)| (*target, row))
    }

    /// Sets a fixed number of held slots, for the baselines without owners.
    pub fn set_fixed(&mut self, now: Instant, target: Target, owner: Key, held: u32) {
        let holding = self.holding(now, target, owner);
        holding.held = held;
    }

    /// Applies a grant; false if it is duplicated, outdated or not from the current
    /// owner.
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
        for allocation in &grant.allocations {
            holding.held += allocation.count;
            granted += u64::from(allocation.count);
            if let Some(customer) = table.customer_by_key(allocation.customer) {
                *holding.permits.entry(customer).or_default() += allocation.count;
            }
        }
        self.counts.granted += granted;
        self.deduct_granted(now, table, owner, grant);
        true
    }

    /// Deducts granted slots from the reported demand, as the owner has done.
    fn deduct_granted(&mut self, now: Instant, table: &Table, owner: Key, grant: &Grant) {
        let Some(report) = self.reports.get_mut(&owner) else {
            return;
        };
        report.active_at = Some(now);
        for allocation in &grant.allocations {
            let Some(customer) = table.customer_by_key(allocation.customer) else {
                continue;
            };
            let mut left = allocation.count;
            for ((_, other), remainder) in &mut report.rows {
                if *other == customer {
                    let deducted = remainder.count.min(left);
                    remainder.count -= deducted;
                    left -= deducted;
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

    /// Ends the use of a slot, and returns it if the owner has recalled it as excess.
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
        if holding.drop_excess() {
            self.report(now, table, target, outbox);
        }
    }

    /// Applies an owner's recall; reports the held slots unless that was done within
    /// [`GRANT_TIMEOUT`].
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
        let returned = holding.drop_excess();
        if returned || unknown || now.since(holding.reported_at) >= GRANT_TIMEOUT {
            self.report(now, table, target, outbox);
        }
    }

    /// A stamp greater than all before it.
    pub fn next_stamp(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    /// Records whether requests sent to a target fail, for the next report.
    pub fn set_unusable(&mut self, target: Target, unusable: bool) {
        if let Some(holding) = self.holdings.get_mut(&target) {
            holding.unusable = unusable;
        }
    }

    /// Returns all unused slots of a target to its owner.
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
        self.counts.returned += u64::from(holding.free());
        self.counts.unused += u64::from(unused.min(holding.free()));
        holding.held = holding.busy;
        holding.permits.clear();
        self.report(now, table, target, outbox);
    }

    /// Reports the held slots of a target to its owner.
    pub fn report(
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
        holding.reported_at = now;
        let hold = Hold {
            target: table.targets[target.row()].key,
            stamp,
            sequence: holding.sequence,
            count: holding.held,
            unusable: holding.unusable,
        };
        outbox.push((holding.owner, Message::Hold(hold)));
    }

    /// Repeats reports of held slots that are older than [`Settings::report_interval`].
    pub fn repeat_reports(
        &mut self,
        now: Instant,
        table: &Table,
        settings: &Settings,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        let due: Vec<Target> = self
            .holdings
            .iter()
            .filter(|(_, holding)| now.since(holding.reported_at) >= settings.report_interval)
            .map(|(target, _)| *target)
            .collect();
        for target in due {
            self.report(now, table, target, outbox);
        }
    }

    /// Sets the new owner of a target and reports the held slots to it.
    pub fn set_owner(
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
        self.report(now, table, target, outbox);
    }

    /// Repeats the reports of held slots to an owner that has restarted and lost them,
    /// and discards the record of reported demand so that it is reported again.
    pub fn owner_restarted(
        &mut self,
        now: Instant,
        table: &Table,
        owner: Key,
        outbox: &mut Vec<(Key, Message)>,
    ) {
        self.reports.remove(&owner);
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
            self.report(now, table, target, outbox);
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
            reported_at: now,
            recalled: false,
            unusable: false,
            excess: 0,
            permits: BTreeMap::new(),
        })
    }
}
