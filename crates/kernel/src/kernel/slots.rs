//! Dispatch on held slots, wants sent to owners, and assignment of owners.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh64::xxh64;

use super::Kernel;
use crate::account::Rank;
use crate::action::Action;
use crate::holder::{self, Demand};
use crate::id::{Customer, Pool, Request, Target};
use crate::key::Key;
use crate::plugin::Candidate;
use crate::queue::Lane;
use crate::rendezvous;
use crate::request::State;
use crate::settings::Admission;
use crate::table::Table;
use crate::time::Instant;

/// Interval between checks for wants to send; a new arrival triggers one at once.
const WANT_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between checks of idle slots and waiting requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Owners asked per waiting request while all targets are busy.
const MAX_OWNERS_PER_REQUEST: usize = 1;

/// Fraction of the maximum lead, as a divisor, that a customer must lag behind the
/// furthest one for a demand to go to all owners.
const LAG_DIVISOR: i64 = 2;

/// A request that can be dispatched now, and the permitted targets.
struct Selection {
    rank: Rank,
    request: Request,
    targets: Vec<Target>,
}

impl Kernel {
    /// Assigns targets to owners after a change of instances or configuration.
    pub(super) fn apply_membership(&mut self, now: Instant, table: &Arc<Table>) {
        if self.applied_version == Some(self.view.version) {
            return;
        }
        self.applied_version = Some(self.view.version);
        self.owner_orders.clear();
        match self.settings.admission {
            Admission::Owner => self.assign_owners(now, table),
            Admission::Static => self.assign_static_parts(now, table),
            Admission::Naive => self.assign_all_slots(now, table),
        }
    }

    fn assign_owners(&mut self, now: Instant, table: &Arc<Table>) {
        let mut local_targets = Vec::new();
        for at in 0..table.targets.len() {
            let target = Target::new(at);
            let row = &table.targets[at];
            if !row.live {
                self.owners.remove(&target);
                continue;
            }
            let domain = Key::new(table.domain_name(row.domain));
            let near = rendezvous::owner(self.view.live_in(domain), row.key);
            // Without live routers in the target's domain, routers of other domains own it, as
            // far as they can reach it.
            let owner = near.or_else(|| rendezvous::owner(self.view.live(), row.key));
            // When all routers are leaving, they stay owners among themselves, so that waiting
            // requests can finish during the drain.
            let owner = owner.or_else(|| rendezvous::owner(self.view.reachable(), row.key));
            let Some(owner) = owner else {
                self.owners.remove(&target);
                continue;
            };
            if owner == self.own_key {
                local_targets.push(target);
            }
            self.owners.insert(target, owner);
            self.holder
                .set_owner(now, table, target, owner, &mut self.outbox);
        }
        self.owner
            .assign(now + self.settings.takeover_delay, &local_targets);
        let suspects: Vec<Key> = self
            .view
            .all()
            .filter(|(_, member)| member.suspected.is_some())
            .map(|(key, _)| key)
            .collect();
        for key in suspects {
            self.owner.remove_router(key);
        }
    }

    /// Static baseline: divides each target's slots equally among the live routers.
    fn assign_static_parts(&mut self, now: Instant, table: &Arc<Table>) {
        let live: Vec<Key> = self.view.live().collect();
        let count = live.len().max(1);
        let place = live
            .iter()
            .position(|key| *key == self.own_key)
            .unwrap_or(0);
        for at in 0..table.targets.len() {
            let slots = table.targets[at].slots as usize;
            // The remainder goes to different routers from one target to the next.
            let extra = usize::from((place + at) % count < slots % count);
            let part = u32::try_from(slots / count + extra).unwrap_or(0);
            self.holder
                .set_fixed(now, Target::new(at), self.own_key, part);
        }
    }

    /// Naive baseline: each router uses every target as if no other router did.
    fn assign_all_slots(&mut self, now: Instant, table: &Arc<Table>) {
        for at in 0..table.targets.len() {
            self.holder
                .set_fixed(now, Target::new(at), self.own_key, u32::MAX / 2);
        }
    }

    /// Dispatches waiting requests on free slots in fair order, then releases slots that
    /// need not be kept.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: Instant,
        table: &Arc<Table>,
        actions: &mut Vec<Action>,
    ) {
        while let Some(selection) = self.select_request(now, table) {
            let target = self.select_target(table, &selection);
            self.dispatch(now, selection.request, target, actions);
        }
        if self.settings.admission == Admission::Owner {
            self.release_unused(now, table);
        }
    }

    fn select_request(&self, now: Instant, table: &Table) -> Option<Selection> {
        if self.queue.is_empty() {
            return None;
        }
        let free: Vec<Target> = self
            .holder
            .all()
            .filter(|(target, holding)| {
                holding.free() > 0 && table.targets[target.row()].accepts_work()
            })
            .map(|(target, _)| target)
            .collect();
        if free.is_empty() {
            return None;
        }
        let mut best: Option<Selection> = None;
        for (lane, backlogs) in self.queue.lanes() {
            let eligible = self.eligible(now, table, lane, &free);
            if eligible.is_empty() {
                continue;
            }
            let pool = table.pool(lane.service);
            for (customer, backlog) in backlogs {
                let Some(request) = backlog.front() else {
                    continue;
                };
                let rank = self.rank(table, lane, *customer, request);
                if best
                    .as_ref()
                    .is_some_and(|best| (best.rank, best.request) <= (rank, request))
                {
                    continue;
                }
                let targets = self.permitted(table, &eligible, pool, *customer);
                if !targets.is_empty() {
                    best = Some(Selection {
                        rank,
                        request,
                        targets,
                    });
                }
            }
        }
        best
    }

    fn eligible(&self, now: Instant, table: &Table, lane: Lane, free: &[Target]) -> Vec<Target> {
        free.iter()
            .copied()
            .filter(|target| table.serves(*target, lane.service, lane.model))
            .filter(|target| self.health.allows(now, table, lane.service, *target))
            .collect()
    }

    fn rank(&self, table: &Table, lane: Lane, customer: Customer, request: Request) -> Rank {
        match self.settings.admission {
            Admission::Naive => Rank(i64::try_from(request.0).unwrap_or(i64::MAX)),
            Admission::Static | Admission::Owner => {
                self.book.rank(table.pool(lane.service), customer)
            }
        }
    }

    /// Targets that a customer may use: all eligible ones or, if its lead exceeds the
    /// maximum, only those with a slot granted for it.
    fn permitted(
        &self,
        table: &Table,
        eligible: &[Target],
        pool: Pool,
        customer: Customer,
    ) -> Vec<Target> {
        let unrestricted = self.settings.admission != Admission::Owner
            || self.book.lead(pool, customer) <= self.max_lead(table, pool);
        if unrestricted {
            return eligible.to_vec();
        }
        eligible
            .iter()
            .copied()
            .filter(|target| {
                self.holder
                    .get(*target)
                    .is_some_and(|holding| holding.permits(customer))
            })
            .collect()
    }

    /// The permitted target that the placement rates highest.
    fn select_target(&self, table: &Table, selection: &Selection) -> Target {
        let first = selection.targets[0];
        let Some(placement) = self.placement else {
            return first;
        };
        let best = selection
            .targets
            .iter()
            .copied()
            .max_by_key(|target| (placement.score)(&self.candidate(table, selection, *target)));
        best.unwrap_or(first)
    }

    fn candidate(&self, table: &Table, selection: &Selection, target: Target) -> Candidate {
        let row = &table.targets[target.row()];
        let holding = self.holder.get(target);
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&selection.request.0.to_le_bytes());
        bytes[8..].copy_from_slice(&row.key.number().to_le_bytes());
        let draw = xxh64(&bytes, self.settings.seed).to_le_bytes();
        Candidate {
            target,
            free: holding.map_or(0, |holding| match self.settings.admission {
                Admission::Naive => row.slots.saturating_sub(holding.busy),
                Admission::Static | Admission::Owner => holding.free(),
            }),
            slots: row.slots,
            cached_blocks: 0,
            same_domain: *table.domain_name(row.domain) == self.settings.domain,
            draw: u32::from_le_bytes([draw[0], draw[1], draw[2], draw[3]]),
        }
    }

    /// Releases unused slots that were recalled, have been idle for the hold time, belong to
    /// a target that takes no new work or is ejected, or compete with waiting customers.
    fn release_unused(&mut self, now: Instant, table: &Arc<Table>) {
        let idle: Vec<Target> = self
            .holder
            .all()
            .filter(|(_, holding)| holding.free() > 0)
            .filter(|(target, holding)| {
                let row = &table.targets[target.row()];
                holding.recalled()
                    || !row.accepts_work()
                    || self.health.is_ejected(now, *target)
                    || now.since(holding.idle_since) >= self.settings.idle_timeout
                    || row
                        .services
                        .iter()
                        .any(|service| self.book.frontier(table.pool(*service)).is_some())
            })
            .map(|(target, _)| target)
            .collect();
        for target in idle {
            let unusable = self.health.is_ejected(now, target);
            self.holder.set_unusable(target, unusable);
            self.holder.release(now, table, target, &mut self.outbox);
        }
    }

    /// Sends the demands of waiting requests to owners.
    pub(super) fn send_wants(&mut self, now: Instant, table: &Arc<Table>) {
        if self.settings.admission != Admission::Owner || now < self.send_wants_at {
            return;
        }
        self.send_wants_at = now + WANT_INTERVAL;
        let lanes: Vec<Lane> = self.queue.lanes().map(|(lane, _)| lane).collect();
        self.holder.record_waiting(now, &lanes);
        let mut wanted: BTreeMap<Key, Vec<Demand>> = BTreeMap::new();
        let mut interval = self.settings.demand_interval;
        for lane in lanes {
            let order = self.owner_order(table, lane);
            let saturated = self.saturated(table, lane);
            if !saturated {
                interval = WANT_INTERVAL;
            }
            let width = self
                .holder
                .owner_count(now, lane, &self.settings, saturated);
            for demand in self.demands(lane) {
                let width = self.fan_out(table, &demand, width, saturated);
                for owner in order.iter().take(width) {
                    wanted.entry(*owner).or_default().push(demand);
                }
            }
        }
        for owner in self.holder.reported_owners() {
            wanted.entry(owner).or_default();
        }
        for (owner, demands) in wanted {
            self.holder
                .report_demand(now, table, interval, owner, &demands, &mut self.outbox);
        }
    }

    /// Whether customers wait for a lane's targets and none is known to have free slots.
    fn saturated(&self, table: &Table, lane: Lane) -> bool {
        let pool = table.pool(lane.service);
        let spare = self.rounds.spare();
        self.book.frontier(pool).is_some()
            && !table.services[lane.service.row()]
                .targets
                .iter()
                .any(|target| spare.contains(&table.targets[target.row()].key))
    }

    /// Number of owners that a demand is sent to. While all targets are busy, each owner
    /// grants independently and slots beyond the demand are returned unused, so a small
    /// demand goes to few owners.
    fn fan_out(&self, table: &Table, demand: &Demand, width: usize, saturated: bool) -> usize {
        let width = if self.lags(table, demand) {
            holder::MAX_OWNERS
        } else {
            width
        };
        if !saturated {
            return width;
        }
        let count = usize::try_from(demand.count).unwrap_or(holder::MAX_OWNERS);
        width.min(count.saturating_mul(MAX_OWNERS_PER_REQUEST))
    }

    /// Whether a customer lags so far behind that all owners should be asked.
    fn lags(&self, table: &Table, demand: &Demand) -> bool {
        let pool = table.pool(demand.lane.service);
        let Some(greatest) = self.book.vanguard(pool) else {
            return false;
        };
        let rank = self.book.rank(pool, demand.customer);
        rank.0 + self.max_lead(table, pool) / LAG_DIVISOR < greatest
    }

    /// Maximum lead over the frontier at which a customer may use any held slot, in virtual
    /// time.
    fn max_lead(&self, table: &Table, pool: Pool) -> i64 {
        let permille = 1_000 - table.gap_permille.min(1_000);
        self.book
            .advance(pool, self.settings.window * permille / 1_000)
    }

    fn demands(&self, lane: Lane) -> Vec<Demand> {
        let Some(backlogs) = self.queue.lane(lane) else {
            return Vec::new();
        };
        backlogs
            .iter()
            .map(|(customer, backlog)| Demand {
                lane,
                customer: *customer,
                count: u32::try_from(backlog.len()).unwrap_or(u32::MAX),
                cost: self.front_cost(backlog.front()),
            })
            .collect()
    }

    fn front_cost(&self, request: Option<Request>) -> u64 {
        let state = request.and_then(|request| self.requests.get(&request));
        match state {
            Some(State::Waiting(waiting)) => self.reservation(&waiting.arrival),
            _ => 1,
        }
    }

    /// Owners of a lane's targets: those with free slots first, then those of targets in
    /// this failure domain, then by rendezvous weight.
    fn owner_order(&mut self, table: &Table, lane: Lane) -> Vec<Key> {
        if let Some(order) = self.owner_orders.get(&lane) {
            return order.clone();
        }
        let mut ranked: Vec<(bool, bool, u64, Key)> = Vec::new();
        for target in &table.services[lane.service.row()].targets {
            let row = &table.targets[target.row()];
            let Some(owner) = self.owners.get(target) else {
                continue;
            };
            if !row.accepts_work() || !table.serves(*target, lane.service, lane.model) {
                continue;
            }
            let spare = self.rounds.spare().contains(&row.key);
            let near = *table.domain_name(row.domain) == self.settings.domain;
            let weight = rendezvous::weight(self.own_key, row.key);
            ranked.push((!spare, !near, weight, *owner));
        }
        ranked.sort_unstable();
        let mut order: Vec<Key> = Vec::new();
        for (_, _, _, owner) in ranked {
            if !order.contains(&owner) {
                order.push(owner);
            }
        }
        self.owner_orders.insert(lane, order.clone());
        order
    }

    /// Whether the periodic check is needed, with requests waiting or unused slots held.
    pub(super) fn needs_sweep(&self) -> bool {
        self.settings.admission == Admission::Owner
            && (!self.queue.is_empty() || self.holder.all().any(|(_, row)| row.free() > 0))
    }

    pub(super) fn restate_when_due(&mut self, now: Instant, table: &Arc<Table>) {
        if now < self.sweep_at || self.settings.admission != Admission::Owner {
            return;
        }
        self.sweep_at = now + SWEEP_INTERVAL;
        self.holder
            .repeat_reports(now, table, &self.settings, &mut self.outbox);
    }
}
