//! Using held slots, asking for more, and following owners.

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
use crate::request::Life;
use crate::settings::Admission;
use crate::table::Table;
use crate::time::Instant;

/// Time between two looks at what waits, unless something new does.
const TELL: Duration = Duration::from_millis(20);

/// Time between two looks at idle slots and waiting work.
const SWEEP: Duration = Duration::from_millis(100);

/// Owners told for each waiting request at most while all targets are busy.
const SURPLUS: usize = 1;

/// Part of the window by which a customer must be behind others to ask all owners.
const BEHIND: i64 = 2;

/// A request that may go now, and where it may go.
struct Choice {
    rank: Rank,
    request: Request,
    targets: Vec<Target>,
}

impl Kernel {
    /// Works out who owns what after a change of instances or configuration.
    pub(super) fn follow_members(&mut self, now: Instant, table: &Arc<Table>) {
        if self.seen_version == Some(self.view.version) {
            return;
        }
        self.seen_version = Some(self.view.version);
        self.orders.clear();
        match self.settings.admission {
            Admission::Owner => self.follow_owners(now, table),
            Admission::Static => self.fix_parts(now, table),
            Admission::Naive => self.fix_all(now, table),
        }
    }

    fn follow_owners(&mut self, now: Instant, table: &Arc<Table>) {
        let mut mine = Vec::new();
        for at in 0..table.targets.len() {
            let target = Target::new(at);
            let row = &table.targets[at];
            if !row.live {
                self.owners.remove(&target);
                continue;
            }
            let domain = Key::new(table.domain_name(row.domain));
            let near = rendezvous::owner(self.view.live_in(domain), row.key);
            // A domain without routers is served by the others, as far as they reach it.
            let owner = near.or_else(|| rendezvous::owner(self.view.live(), row.key));
            // When all are leaving, they go on among themselves: a drain ends what waits.
            let owner = owner.or_else(|| rendezvous::owner(self.view.reachable(), row.key));
            let Some(owner) = owner else {
                self.owners.remove(&target);
                continue;
            };
            if owner == self.me {
                mine.push(target);
            }
            self.owners.insert(target, owner);
            self.holder
                .set_owner(now, table, target, owner, &mut self.outbox);
        }
        self.owner.assign(now + self.settings.takeover_delay, &mine);
        let gone: Vec<Key> = self
            .view
            .all()
            .filter(|(_, member)| member.suspected.is_some())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.owner.remove_router(key);
        }
    }

    /// The static baseline: an equal part of each target for each live router.
    fn fix_parts(&mut self, now: Instant, table: &Arc<Table>) {
        let live: Vec<Key> = self.view.live().collect();
        let count = live.len().max(1);
        let place = live.iter().position(|key| *key == self.me).unwrap_or(0);
        for at in 0..table.targets.len() {
            let slots = table.targets[at].slots as usize;
            // The rest of the division goes to other routers for each target.
            let extra = usize::from((place + at) % count < slots % count);
            let part = u32::try_from(slots / count + extra).unwrap_or(0);
            self.holder.set_fixed(now, Target::new(at), self.me, part);
        }
    }

    /// The naive baseline: every router uses every target as if it were alone.
    fn fix_all(&mut self, now: Instant, table: &Arc<Table>) {
        for at in 0..table.targets.len() {
            self.holder
                .set_fixed(now, Target::new(at), self.me, u32::MAX / 2);
        }
    }

    /// Puts waiting requests on free slots in fair order, then gives back the rest.
    pub(super) fn use_slots(
        &mut self,
        now: Instant,
        table: &Arc<Table>,
        actions: &mut Vec<Action>,
    ) {
        while let Some(choice) = self.choose(now, table) {
            let target = self.place(table, &choice);
            self.dispatch(now, choice.request, target, actions);
        }
        if self.settings.admission == Admission::Owner {
            self.give_back(now, table);
        }
    }

    fn choose(&self, now: Instant, table: &Table) -> Option<Choice> {
        if self.queue.is_empty() {
            return None;
        }
        let free: Vec<Target> = self
            .holder
            .all()
            .filter(|(target, holding)| holding.free() > 0 && table.targets[target.row()].open())
            .map(|(target, _)| target)
            .collect();
        if free.is_empty() {
            return None;
        }
        let mut best: Option<Choice> = None;
        for (lane, lines) in self.queue.lanes() {
            let able = self.able(now, table, lane, &free);
            if able.is_empty() {
                continue;
            }
            let pool = table.pool(lane.service);
            for (customer, line) in lines {
                let Some(request) = line.front() else {
                    continue;
                };
                let rank = self.rank(table, lane, *customer, request);
                if best
                    .as_ref()
                    .is_some_and(|best| (best.rank, best.request) <= (rank, request))
                {
                    continue;
                }
                let targets = self.permitted(table, &able, pool, *customer);
                if !targets.is_empty() {
                    best = Some(Choice {
                        rank,
                        request,
                        targets,
                    });
                }
            }
        }
        best
    }

    fn able(&self, now: Instant, table: &Table, lane: Lane, free: &[Target]) -> Vec<Target> {
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

    /// Where a customer may go: anywhere unless it is far ahead of others, and then
    /// only where a slot was granted for it.
    fn permitted(
        &self,
        table: &Table,
        able: &[Target],
        pool: Pool,
        customer: Customer,
    ) -> Vec<Target> {
        let fair = self.settings.admission != Admission::Owner
            || self.book.lead(pool, customer) <= self.window(table, pool);
        if fair {
            return able.to_vec();
        }
        able.iter()
            .copied()
            .filter(|target| {
                self.holder
                    .get(*target)
                    .is_some_and(|holding| holding.permits(customer))
            })
            .collect()
    }

    /// The best of the targets on which a request may go.
    fn place(&self, table: &Table, choice: &Choice) -> Target {
        let first = choice.targets[0];
        let Some(placement) = self.placement else {
            return first;
        };
        let best = choice
            .targets
            .iter()
            .copied()
            .max_by_key(|target| (placement.score)(&self.candidate(table, choice, *target)));
        best.unwrap_or(first)
    }

    fn candidate(&self, table: &Table, choice: &Choice, target: Target) -> Candidate {
        let row = &table.targets[target.row()];
        let holding = self.holder.get(target);
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&choice.request.0.to_le_bytes());
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

    /// Gives back unused slots that others want, or that were unused for long.
    fn give_back(&mut self, now: Instant, table: &Arc<Table>) {
        let idle: Vec<Target> = self
            .holder
            .all()
            .filter(|(_, holding)| holding.free() > 0)
            .filter(|(target, holding)| {
                let row = &table.targets[target.row()];
                holding.recalled()
                    || !row.open()
                    || self.health.ejected(now, *target)
                    || now.since(holding.idle_since) >= self.settings.idle_timeout
                    || row
                        .services
                        .iter()
                        .any(|service| self.book.frontier(table.pool(*service)).is_some())
            })
            .map(|(target, _)| target)
            .collect();
        for target in idle {
            let unusable = self.health.ejected(now, target);
            self.holder.set_unusable(target, unusable);
            self.holder.release(now, table, target, &mut self.outbox);
        }
    }

    /// Tells owners what waits here.
    pub(super) fn tell_wants(&mut self, now: Instant, table: &Arc<Table>) {
        if self.settings.admission != Admission::Owner || now < self.tell_at {
            return;
        }
        self.tell_at = now + TELL;
        let lanes: Vec<Lane> = self.queue.lanes().map(|(lane, _)| lane).collect();
        self.holder.record_waiting(now, &lanes);
        let mut wanted: BTreeMap<Key, Vec<Demand>> = BTreeMap::new();
        let mut pause = self.settings.demand_interval;
        for lane in lanes {
            let order = self.order(table, lane);
            let full = self.full(table, lane);
            if !full {
                pause = TELL;
            }
            let width = self.holder.owner_count(now, lane, &self.settings, full);
            for demand in self.demands(lane) {
                let width = self.breadth(table, &demand, width, full);
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
                .report_demand(now, table, pause, owner, &demands, &mut self.outbox);
        }
    }

    /// Whether others wait for a lane's targets and none is known to have free slots.
    fn full(&self, table: &Table, lane: Lane) -> bool {
        let pool = table.pool(lane.service);
        let spare = self.rounds.spare();
        self.book.frontier(pool).is_some()
            && !table.services[lane.service.row()]
                .targets
                .iter()
                .any(|target| spare.contains(&table.targets[target.row()].key))
    }

    /// How many owners are told of a demand. While all targets are busy each of them
    /// grants by itself, and what comes beyond the demand goes back unused: so few
    /// waiting requests are told to few.
    fn breadth(&self, table: &Table, demand: &Demand, width: usize, full: bool) -> usize {
        let width = if self.behind(table, demand) {
            holder::MAX_OWNERS
        } else {
            width
        };
        if !full {
            return width;
        }
        let count = usize::try_from(demand.count).unwrap_or(holder::MAX_OWNERS);
        width.min(count.saturating_mul(SURPLUS))
    }

    /// Whether a customer is so far behind others that slots should come from afar.
    fn behind(&self, table: &Table, demand: &Demand) -> bool {
        let pool = table.pool(demand.lane.service);
        let Some(most) = self.book.vanguard(pool) else {
            return false;
        };
        let rank = self.book.rank(pool, demand.customer);
        rank.0 + self.window(table, pool) / BEHIND < most
    }

    /// How far ahead of the frontier a slot may be kept, in virtual time.
    fn window(&self, table: &Table, pool: Pool) -> i64 {
        let lean = 1_000 - table.gap_permille.min(1_000);
        self.book.advance(pool, self.settings.window * lean / 1_000)
    }

    fn demands(&self, lane: Lane) -> Vec<Demand> {
        let Some(lines) = self.queue.lane(lane) else {
            return Vec::new();
        };
        lines
            .iter()
            .map(|(customer, line)| Demand {
                lane,
                customer: *customer,
                count: u32::try_from(line.len()).unwrap_or(u32::MAX),
                cost: self.front_cost(line.front()),
            })
            .collect()
    }

    fn front_cost(&self, request: Option<Request>) -> u64 {
        let life = request.and_then(|request| self.requests.get(&request));
        match life {
            Some(Life::Waiting(waiting)) => self.reservation(&waiting.arrival),
            _ => 1,
        }
    }

    /// Owners of a lane's targets: with free slots first, then near, then by weight.
    fn order(&mut self, table: &Table, lane: Lane) -> Vec<Key> {
        if let Some(order) = self.orders.get(&lane) {
            return order.clone();
        }
        let mut places: Vec<(bool, bool, u64, Key)> = Vec::new();
        for target in &table.services[lane.service.row()].targets {
            let row = &table.targets[target.row()];
            let Some(owner) = self.owners.get(target) else {
                continue;
            };
            if !row.open() || !table.serves(*target, lane.service, lane.model) {
                continue;
            }
            let spare = self.rounds.spare().contains(&row.key);
            let near = *table.domain_name(row.domain) == self.settings.domain;
            let weight = rendezvous::weight(self.me, row.key);
            places.push((!spare, !near, weight, *owner));
        }
        places.sort_unstable();
        let mut order: Vec<Key> = Vec::new();
        for (_, _, _, owner) in places {
            if !order.contains(&owner) {
                order.push(owner);
            }
        }
        self.orders.insert(lane, order.clone());
        order
    }

    /// Whether time alone may bring something to do here.
    pub(super) fn needs_sweep(&self) -> bool {
        self.settings.admission == Admission::Owner
            && (!self.queue.is_empty() || self.holder.all().any(|(_, row)| row.free() > 0))
    }

    pub(super) fn sweep_when_due(&mut self, now: Instant, table: &Arc<Table>) {
        if now < self.sweep_at || self.settings.admission != Admission::Owner {
            return;
        }
        self.sweep_at = now + SWEEP;
        self.holder
            .repeat_reports(now, table, &self.settings, &mut self.outbox);
    }
}
