//! Allocation of a target's slots by its owner.
//!
//! Each target has one owner: the live router of the target's failure domain with
//! the greatest rendezvous weight. The owner records the demand and the slots held
//! of every router, and grants a free slot to the customer that ranks first in the
//! fair order. No lease is needed: when membership views differ and two routers
//! both act as owner of a target, each grants at most the target's slots minus
//! those reported to it as held, so at most twice the target's slots are in use,
//! and only until the views converge.
//!
//! A router reports the total that it holds ([`Hold`]); the owner adds the grants
//! that the router had not received when it sent the report. A lost grant is thus
//! detected with the next report, at the latest after
//! [`crate::settings::Settings::report_interval`] and [`GRANT_TIMEOUT`]. A new owner
//! collects reports for [`crate::settings::Settings::takeover_delay`] before it
//! grants; meanwhile routers continue to use the slots that they hold.

mod grant;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::{Customer, Target};
use crate::key::Key;
use crate::message::{self, Backlog, Hold};
use crate::queue::Lane;
use crate::table::Table;
use crate::time::Instant;

/// Age after which an unacknowledged grant counts as lost.
pub const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which demands are collected before a batch of free slots is granted.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Time for which a router that cannot reach a target is granted no slots of it.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Free slots up to which grants are made without [`BATCH_DELAY`].
const MAX_UNBATCHED_SLOTS: u32 = 2;

/// Age of the last report after which a router that holds slots is queried; longer
/// than [`crate::settings::Settings::report_interval`].
const REPORT_TIMEOUT: Duration = Duration::from_secs(12);

/// A grant that the router has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct PendingGrant {
    sequence: u64,
    count: u32,
    sent_at: Instant,
}

/// Slots of one target that one router holds.
#[derive(Clone, Debug, Default)]
struct Grantee {
    reported: u32,
    stamp: u64,
    pending: VecDeque<PendingGrant>,
    /// Time of the last report of held slots.
    reported_at: Instant,
    /// Time until which no slots are granted because the router cannot reach the
    /// target.
    backoff_until: Option<Instant>,
    /// Time of the last query, until a report answers it.
    queried_at: Option<Instant>,
}

impl Grantee {
    fn held(&self) -> u32 {
        self.reported + self.pending.iter().map(|grant| grant.count).sum::<u32>()
    }

    /// Whether a report of held slots is overdue.
    fn is_overdue(&self, now: Instant) -> bool {
        let lost = self
            .pending
            .front()
            .is_some_and(|grant| now.since(grant.sent_at) >= GRANT_TIMEOUT);
        lost || (self.reported > 0 && now.since(self.reported_at) >= REPORT_TIMEOUT)
    }
}

/// A target that this router owns.
#[derive(Clone, Debug)]
struct Owned {
    open_at: Instant,
    grantees: BTreeMap<Key, Grantee>,
    /// Time of the last recall of unused slots.
    recalled_at: Option<Instant>,
    /// Time of the last recall of slots that were granted twice.
    reclaimed_at: Option<Instant>,
    /// Time until which demands are collected before a batch is granted.
    batch_until: Option<Instant>,
}

impl Owned {
    /// Whether `free` slots may be granted now. Up to [`MAX_UNBATCHED_SLOTS`] are
    /// granted at once; for more, demands are collected for [`BATCH_DELAY`], so that
    /// the first router to ask after an idle period does not receive all of them.
    fn is_ready(&mut self, now: Instant, free: u32) -> bool {
        if free <= MAX_UNBATCHED_SLOTS {
            self.batch_until = None;
            return true;
        }
        let until = *self.batch_until.get_or_insert(now + BATCH_DELAY);
        if now < until {
            return false;
        }
        self.batch_until = None;
        true
    }

    fn held(&self) -> u32 {
        self.grantees.values().map(Grantee::held).sum()
    }
}

/// Waiting requests of one customer in one lane of a router.
#[derive(Clone, Copy, Debug)]
struct Demand {
    lane: Lane,
    customer: Customer,
    count: u32,
    /// Estimated cost of one request, in units.
    cost: u64,
}

/// Demands last reported by one router.
#[derive(Clone, Debug, Default)]
struct Demands {
    stamp: u64,
    rows: Vec<Demand>,
}

/// State of the targets that this router owns.
#[derive(Debug)]
pub struct Owner {
    me: Key,
    owned: BTreeMap<Target, Owned>,
    demands: BTreeMap<Key, Demands>,
    /// Sequence number of the last grant of any target. Never reset, not even when
    /// ownership of a target is lost and regained, because its holders may not have
    /// noticed the change.
    sequence: u64,
}

impl Owner {
    /// An owner without targets.
    #[must_use]
    pub const fn new(me: Key) -> Self {
        Self {
            me,
            owned: BTreeMap::new(),
            demands: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Replaces the set of owned targets; new ones are granted from `open_at` on.
    pub fn assign(&mut self, open_at: Instant, targets: &[Target]) {
        self.owned.retain(|target, _| targets.contains(target));
        for target in targets {
            self.owned.entry(*target).or_insert_with(|| Owned {
                open_at,
                grantees: BTreeMap::new(),
                recalled_at: None,
                reclaimed_at: None,
                batch_until: None,
            });
        }
    }

    /// Owned targets.
    pub fn targets(&self) -> impl Iterator<Item = Target> {
        self.owned.keys().copied()
    }

    /// Slots of an owned target that routers hold, as far as known.
    #[must_use]
    pub fn held(&self, target: Target) -> Option<u32> {
        self.owned.get(&target).map(Owned::held)
    }

    /// Slots of an owned target that each router holds, as far as known.
    pub fn grantees(&self, target: Target) -> impl Iterator<Item = (Key, u32)> {
        self.owned
            .get(&target)
            .into_iter()
            .flat_map(|owned| &owned.grantees)
            .map(|(router, grantee)| (*router, grantee.held()))
    }

    /// The next time at which slots may be granted without a further event.
    #[must_use]
    pub fn next_grant_after(&self, now: Instant) -> Option<Instant> {
        self.owned
            .values()
            .flat_map(|owned| {
                [
                    Some(owned.open_at).filter(|at| *at > now),
                    owned.batch_until,
                ]
            })
            .flatten()
            .min()
    }

    /// Owned targets with free slots and no reported demand.
    #[must_use]
    pub fn spare_targets(&self, now: Instant, table: &Table) -> Vec<Key> {
        self.owned
            .iter()
            .filter(|(target, owned)| {
                let row = &table.targets[target.row()];
                let free = row.accepts_work() && now >= owned.open_at && owned.held() < row.slots;
                free && !self.has_demand(table, **target)
            })
            .map(|(target, _)| table.targets[target.row()].key)
            .collect()
    }

    /// Records the demands that a router reports; outdated reports are ignored.
    pub fn record_demand(&mut self, table: &Table, from: Key, report: &message::Demand) {
        let demands = self.demands.entry(from).or_default();
        if report.stamp <= demands.stamp {
            return;
        }
        demands.stamp = report.stamp;
        demands.rows = report
            .backlogs
            .iter()
            .filter_map(|backlog| resolve(table, backlog))
            .collect();
    }

    /// Records the slots that a router reports as held; outdated reports are ignored.
    pub fn record_hold(&mut self, now: Instant, from: Key, target: Target, hold: &Hold) {
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let grantee = owned.grantees.entry(from).or_default();
        if hold.stamp <= grantee.stamp {
            return;
        }
        grantee.stamp = hold.stamp;
        grantee.reported = hold.count;
        grantee.backoff_until = hold.unusable.then_some(now + UNREACHABLE_BACKOFF);
        grantee.reported_at = now;
        grantee.queried_at = None;
        grantee.pending.retain(|grant| {
            grant.sequence > hold.sequence && now.since(grant.sent_at) < GRANT_TIMEOUT
        });
    }

    /// Removes the demands and held slots of a dead or restarted router.
    pub fn remove_router(&mut self, router: Key) {
        self.demands.remove(&router);
        for owned in self.owned.values_mut() {
            owned.grantees.remove(&router);
        }
    }

    /// Whether any reported demand could use a slot of the target.
    fn has_demand(&self, table: &Table, target: Target) -> bool {
        self.demands
            .values()
            .flat_map(|demands| &demands.rows)
            .any(|demand| {
                demand.count > 0 && table.serves(target, demand.lane.service, demand.lane.model)
            })
    }
}

/// Resolves the keys of a reported demand; `None` if one is not in the table.
fn resolve(table: &Table, backlog: &Backlog) -> Option<Demand> {
    let service = table.service_by_key(backlog.service)?;
    let model = match backlog.model {
        Some(key) => Some(table.model_by_key(key)?),
        None => None,
    };
    Some(Demand {
        lane: Lane { service, model },
        customer: table.customer_by_key(backlog.customer)?,
        count: backlog.count,
        cost: backlog.cost,
    })
}
