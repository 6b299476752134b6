//! Mutable state of a router, and the decisions that depend on it.
//!
//! No method runs another task or drops a lease, either of which could borrow the state again.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::backoff::Backoffs;
use dunlinward_dispatch::budget::Budget;
use dunlinward_dispatch::cache::Caches;
use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::cold_start::{self, Limiter, Peak};
use dunlinward_dispatch::configuration::Table;
use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::continuation::{Binding, Ledger as Streams};
use dunlinward_dispatch::evacuation::{self, Evacuations};
use dunlinward_dispatch::grants::Grants;
use dunlinward_dispatch::harmful_part;
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::inflight::{Answered, InFlight};
use dunlinward_dispatch::interruptions::Interruptions;
use dunlinward_dispatch::member::{Descriptor, Members};
use dunlinward_dispatch::membership::{Change as MemberChange, Effects, Membership};
use dunlinward_dispatch::message::{CustomerTag, Views};
use dunlinward_dispatch::prefix::{History, Prompt};
use dunlinward_dispatch::quarantine::Ledger;
use dunlinward_dispatch::queue_order::{Kinds, RouteTag};
use dunlinward_dispatch::reachability::Reachability;
use dunlinward_dispatch::reading::{Reading, Readings};
use dunlinward_dispatch::refused::Contents;
use dunlinward_dispatch::region::{Constraint, Region};
use dunlinward_dispatch::registry::{Change, Delta, Listing, Registry};
use dunlinward_dispatch::replicas::Replicas;
use dunlinward_dispatch::retry::Detector;
use dunlinward_dispatch::return_schedule::{Arrival, Schedule};
use dunlinward_dispatch::round_trip::RoundTrips;
use dunlinward_dispatch::share::{self, Shares};
use dunlinward_dispatch::speed::Speeds;
use dunlinward_dispatch::store::{Era, Observation, Position};
use dunlinward_dispatch::target::{Tag, Target};
use dunlinward_dispatch::throttle::Throttle;
use dunlinward_dispatch::usage::{Peer, Usage};

use crate::node::{PeerDelta, TargetList};
use crate::queue::Waiter;
use crate::settings::Settings;

mod availability;
mod candidates;
mod homes;
mod leases;
mod placement;
mod returns;
mod suspects;
#[cfg(test)]
mod tests;

pub(crate) use availability::{Availability, Exclusion};

/// Bad outcomes eject no further target once one in this many targets of a service or
/// cell is ejected.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Part of a cell's capacity that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// All of it: the owner knows the load from all routers.
    All,
    /// An equal part for each router: no owner answers, so other routers may place requests too.
    Own,
}

/// A request for a place at a target.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Cell whose targets may run it.
    pub cell: Cell,
    /// Router that received it from its client.
    pub router: Peer,
    /// Failure domain of that router.
    pub domain: Arc<str>,
    /// Regions in which it may run.
    pub allowed: Constraint,
    /// Software version to which the stream that it continues is bound.
    pub binding: Binding,
    /// Content, unless it was answered recently.
    pub content: Option<ContentTag>,
    /// Prompt, if it is for a model engine.
    pub prompt: Option<Rc<Prompt>>,
    /// Customer, if any.
    pub customer: Option<CustomerTag>,
    /// Tokens charged to the customer.
    pub cost: u64,
    /// Route that it matches.
    pub route: RouteTag,
    /// Objective for the time to the first event.
    pub objective: Duration,
    /// Arrival time.
    pub arrived: Duration,
    /// Whether it is a retry of a refused request.
    pub is_retry: bool,
    /// Whether its tokens were already counted as demand.
    pub demand_counted: bool,
    /// Tokens of the customer's requests that its router refused without asking an owner, counted
    /// as demand with this request.
    pub withheld: u64,
    /// Time at which it was recorded whether the homes of its prefix had capacity for it.
    pub homes_recorded_at: Option<Duration>,
    /// Whether it has failed at a target and may go to one that is not cold.
    pub failed: bool,
    /// Targets on which it must not be placed: those that failed it, are ejected at its router, or
    /// were found excluded there after a grant.
    pub avoid: Vec<Tag>,
    /// Time at which it stops waiting for a place.
    pub deadline: Duration,
    /// Time at which its client stops waiting for the answer.
    pub expiry: Duration,
    /// Relation to the schedule of returns, at the owner.
    pub arrival: Arrival,
    /// Capacity that it may use.
    pub claim: Claim,
    /// Random value that breaks ties between targets.
    pub tie_breaker: u64,
    /// Time of its client's first attempt; for a first attempt, and for a retry if unknown, its
    /// arrival.
    pub first_attempt: Duration,
}

impl PlaceRequest {
    /// Whether it returns at the time for which its owner has booked tokens.
    pub(crate) fn is_on_time(&self) -> bool {
        matches!(self.arrival, Arrival::Kept { booked: true })
    }
}

/// Mutable state of a router.
pub(crate) struct State {
    pub(crate) table: Option<Rc<Table>>,
    /// Readings of the store at which the configuration in force was its newest.
    pub(crate) configuration_reads: Readings,
    pub(crate) registry: Registry,
    /// Whether a peer was found to have neither a newer configuration nor an unknown evacuation.
    pub(crate) compared_with_peer: bool,
    /// Newest known era of the store.
    pub(crate) store: Era,
    /// Failure domains whose targets get no requests.
    pub(crate) evacuations: Evacuations,
    /// Rate limits of cold targets.
    pub(crate) cold_limiter: Limiter,
    /// Largest recent number of known routers.
    peak: Peak,
    /// Readings of the list of targets in the store.
    pub(crate) registry_reads: Readings,
    /// Position in the store's log up to which the list is complete.
    pub(crate) registry_position: Option<Position>,
    pub(crate) usage: Usage,
    pub(crate) prefixes: History,
    /// Demand for prefixes whose homes are full.
    pub(crate) replicas: Replicas,
    /// Contents of engines' prefix caches, as reported by the engines of this router's cells.
    pub(crate) caches: Caches,
    pub(crate) health: Health,
    /// Backoff from targets that have refused requests.
    pub(crate) backoffs: Backoffs,
    /// Identity of this run of the router.
    peer: Peer,
    pub(crate) budget: Budget,
    pub(crate) shares: Shares,
    /// Service that each customer's kinds of request have received; none while kinds are not told
    /// apart.
    pub(crate) kinds: Option<Kinds>,
    pub(crate) reachability: Reachability,
    /// Round-trip times to the failure domains of other routers.
    pub(crate) round_trips: RoundTrips,
    /// Region of this router.
    region: Region,
    /// When cells of other regions last had no room for a customer's request from this router.
    full_cells: HashMap<(Cell, Option<CustomerTag>), Duration>,
    /// Detects retries by the timeouts that clients send.
    pub(crate) retries: Detector,
    /// Limits requests of customers beyond their share that are sent to owners.
    pub(crate) throttle: Throttle,
    /// Contents of requests that got no place in this router's cells, by which the owner detects
    /// retries.
    pub(crate) refused_contents: Contents,
    /// Times at which requests that got no place in this router's cells return.
    pub(crate) returns: Schedule,
    /// Failure detection of routers.
    pub(crate) membership: Membership,
    /// Live routers, and the assignment of cells to them.
    pub(crate) members: Members,
    pub(crate) queue: Vec<Waiter>,
    /// Health of the targets of this router's cells, from the outcomes that all routers report.
    reported_health: Health,
    /// Places recently granted to other routers.
    pub(crate) grants: Grants,
    /// Contents during whose runs targets terminated.
    pub(crate) quarantine: Ledger,
    /// Whether the store's quarantine records are known, from the store or from a peer.
    pub(crate) quarantine_known: bool,
    /// Runs of this router that ended without an answer.
    pub(crate) interruptions: Interruptions,
    /// Parts of prompts in runs that broke off, and in answers.
    pub(crate) part_runs: harmful_part::Runs,
    /// What ran at targets that terminated, if this router collects it.
    pub(crate) part_cases: harmful_part::Cases,
    /// Contents in flight for which this router granted places, and their targets.
    pub(crate) in_flight: InFlight,
    /// Contents that were answered to this router's clients.
    pub(crate) answered: Answered,
    /// Software versions that began streams.
    pub(crate) streams: Streams,
    /// Measured speeds of the targets of this router's cells.
    pub(crate) speeds: Speeds,
    /// Largest number of engines of a service seen when placing a prompt.
    engines_seen: usize,
}

impl State {
    /// Creates the state of a router that has received no views yet.
    pub(crate) fn new(settings: &Settings, peer: Peer) -> Self {
        let descriptor = Descriptor {
            address: settings.link,
            peer,
            domain: settings.domain.clone(),
            millicores: settings.millicores,
        };
        Self {
            table: None,
            configuration_reads: Readings::new(peer),
            compared_with_peer: false,
            store: Era::default(),
            evacuations: Evacuations::default(),
            cold_limiter: Limiter::default(),
            peak: Peak::default(),
            registry: Registry::new()
                .with_cell_targets(settings.cell_targets)
                .with_regions(settings.regions.clone()),
            registry_reads: Readings::new(peer),
            registry_position: None,
            usage: Usage::new(),
            prefixes: History::new(),
            replicas: Replicas::default(),
            caches: Caches::new(),
            health: Health::new(),
            backoffs: Backoffs::default(),
            peer,
            budget: Budget::new(settings.repeats),
            shares: Shares::new(settings.share_window)
                .with_capacity(settings.load_policy.share_capacity),
            kinds: settings
                .load_policy
                .share_capacity
                .then(|| Kinds::new(settings.share_window)),
            reachability: Reachability::new(settings.heartbeat_interval),
            round_trips: RoundTrips::default(),
            region: settings.regions.of(&settings.domain),
            full_cells: HashMap::new(),
            retries: Detector::new(),
            throttle: Throttle::new(settings.load_policy.throttle_ratio, settings.share_window),
            refused_contents: Contents::default(),
            returns: Schedule::default(),
            membership: Membership::new(
                descriptor.clone(),
                &settings.seeds,
                settings.heartbeat_interval,
            ),
            members: Members::new(descriptor).with_regions(settings.regions.clone()),
            queue: Vec::new(),
            reported_health: Health::new(),
            grants: Grants::new(settings.share_window),
            quarantine: Ledger::new(),
            quarantine_known: false,
            interruptions: Interruptions::new(),
            part_runs: harmful_part::Runs::new(),
            part_cases: harmful_part::Cases::new(),
            in_flight: InFlight::new(),
            answered: Answered::new(),
            streams: Streams::default(),
            speeds: Speeds::new(),
            engines_seen: 0,
        }
    }

    /// Removes expired entries and records how many routers are known. Returns the targets whose
    /// backoff for this router has ended.
    pub(crate) fn prune(&mut self, now: Duration) -> Vec<Arc<Target>> {
        self.usage.prune(now);
        self.quarantine.prune(now);
        self.peak.record(self.members.count(), now);
        self.in_flight.prune(now);
        self.throttle.prune(now);
        self.refused_contents.prune(now);
        self.replicas.prune(now);
        self.returns.prune(now);
        if let Some(kinds) = &mut self.kinds {
            kinds.prune(now);
        }
        self.expire_grants(now);
        let over = self.backoffs.prune(self.peer, now);
        let over = over.into_iter().filter_map(|it| self.registry.get(it));
        over.cloned().collect()
    }

    /// Applies membership changes, round-trip times and unanswered probes.
    pub(crate) fn apply(&mut self, effects: &Effects, now: Duration) {
        for change in &effects.changes {
            match change {
                MemberChange::Updated(descriptor, condition) => {
                    self.members.upsert(descriptor, *condition, now);
                }
                MemberChange::Ended(descriptor) => {
                    self.members.remove(descriptor);
                    self.drop_waiting(descriptor.peer);
                }
            }
        }
        for (address, time) in &effects.round_trips {
            if let Some(domain) = self.members.domain(*address) {
                self.round_trips.record(&domain, *time);
            }
        }
        for address in &effects.unanswered {
            // A router that is shutting down may be silent although its domain is reachable.
            if !self.members.is_leaving(*address)
                && let Some(domain) = self.members.domain(*address)
            {
                self.reachability.record_miss(&domain);
            }
        }
    }

    /// Removes the requests of a start that has ended from the queue: nobody would use their places.
    /// A router that was wrongly taken to have ended sends its requests again.
    fn drop_waiting(&mut self, peer: Peer) {
        self.queue.retain(|it| !it.origin.is_of(peer));
    }

    /// Sets whether this router is overloaded, and announces it.
    pub(crate) fn set_overloaded(&mut self, behind: bool) {
        self.members.set_overloaded(behind);
        self.membership.set_condition(self.members.condition());
    }

    /// Announces that this router is shutting down.
    pub(crate) fn leave(&mut self) {
        self.members.leave();
        self.membership.set_condition(self.members.condition());
    }

    /// Applies a peer's reading at which the configuration in force was the newest of the store.
    /// Returns its date; none if its reader has read again since.
    pub(crate) fn receive_configuration(
        &mut self,
        reading: Reading,
        now: Duration,
    ) -> Option<Duration> {
        let at = self.configuration_reads.receive(reading, now)?;
        self.configuration_reads.adopt(reading, at);
        Some(at)
    }

    /// Applies the reading of a peer whose list of targets equals the known one.
    pub(crate) fn confirm_registry(&mut self, views: &Views, reading: Reading, at: Duration) {
        self.registry.confirm(views.registry_digest, at);
        self.registry_reads.adopt(reading, at);
        // An equal list is complete up to the same log position.
        self.registry_position = self.registry_position.max(views.registry_position);
    }

    /// Applies a list of all targets.
    pub(crate) fn apply_list(&mut self, list: TargetList) -> Vec<Change> {
        let listing = Listing {
            targets: list.targets,
            unreadable: list.unreadable,
        };
        let changes = if list.settled {
            self.registry.apply_settled_list(listing, list.as_of)
        } else {
            self.registry.apply_list(listing, list.as_of)
        };
        if self.registry.read_at() == Some(list.as_of) {
            self.registry_position = list.position;
            let listed = self.registry.listed().map(AsRef::as_ref);
            self.cold_limiter.apply_list(listed, list.as_of);
        }
        changes
    }

    /// Applies the records in the store's log since the known list, up to `end`; none if the known
    /// list is newer or complete beyond `end`.
    pub(crate) fn apply_delta(
        &mut self,
        delta: Delta,
        end: Position,
        as_of: Duration,
    ) -> Option<Vec<Change>> {
        let older = self.registry.read_at().is_none_or(|at| as_of < at);
        if older || self.registry_position.is_none_or(|it| end < it) {
            return None;
        }
        self.registry_reads.record(as_of);
        self.registry_position = Some(end);
        let written = delta.written.clone();
        let changes = self.registry.apply_delta(delta, as_of);
        self.cold_limiter.apply_changes(&written, as_of);
        Some(changes)
    }

    /// Applies the entries of a peer's list that the known list lacks, unless the peer's is older.
    pub(crate) fn apply_peer_delta(&mut self, told: PeerDelta) -> Vec<Change> {
        let as_of = told.as_of;
        if self.registry.read_at().is_none_or(|at| as_of < at) {
            return Vec::new();
        }
        self.registry_reads.adopt(told.reading, as_of);
        self.registry_position = told.position;
        let written = told.delta.written.clone();
        let changes = self
            .registry
            .apply_peer_delta(told.delta, told.settled, as_of);
        self.cold_limiter.apply_changes(&written, as_of);
        changes
    }

    /// Records an era of the store, as reported by the store or a peer.
    pub(crate) fn observe_era(&mut self, era: u64, now: Duration) -> Observation {
        let observation = self.store.observe(era, now);
        if observation == Observation::Restored {
            self.registry.record_restore(now);
        }
        observation
    }

    /// Changes the evacuations of failure domains by `update`. The targets of a reopened domain may
    /// have become cold in the meantime, so they are marked as uncertain.
    pub(crate) fn change_evacuations(
        &mut self,
        now: Duration,
        update: impl FnOnce(&mut Evacuations) -> Vec<evacuation::Change>,
    ) -> Vec<evacuation::Change> {
        let changes = update(&mut self.evacuations);
        for change in &changes {
            let evacuation::Change::Reopened(domain) = change else {
                continue;
            };
            for tag in cold_start::tags_in_domain(self.registry.targets(), domain) {
                self.cold_limiter.mark_uncertain(tag, now);
            }
        }
        changes
    }

    /// Name of a customer; none if it is not in the configuration in force.
    pub(crate) fn customer_name(&self, tag: CustomerTag) -> Option<Arc<str>> {
        let customers = &self.table.as_ref()?.configuration().customers;
        let customer = customers.iter().find(|it| share::tag(&it.name) == tag);
        customer.map(|it| it.name.clone())
    }

    /// Removes the state of a target that has terminated.
    pub(crate) fn remove_target(&mut self, tag: Tag) {
        self.prefixes.remove_target(tag);
        self.caches.remove_target(tag);
        self.health.forget(tag);
        self.reported_health.forget(tag);
        self.backoffs.forget(tag);
        self.speeds.forget(tag);
    }

    /// Records an outcome of this router's own exchange; true if the target is ejected by it.
    pub(crate) fn record_outcome(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Duration,
    ) -> bool {
        self.mark_if_unreachable(target, outcome, now);
        if outcome == Outcome::Good {
            self.backoffs.record_running(target.tag(), now);
        }
        let targets = self.registry.targets_of_service(&target.service);
        record_outcome(&mut self.health, targets, target, outcome, now)
    }

    /// Marks an unreachable target as uncertain, as it may have restarted and be cold.
    fn mark_if_unreachable(&mut self, target: &Target, outcome: Outcome, now: Duration) {
        if outcome == Outcome::Unreachable {
            self.cold_limiter.mark_uncertain(target.tag(), now);
        }
    }

    /// Records an outcome that another router reported; true if the target is ejected by it.
    pub(crate) fn record_peer_outcome(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Duration,
    ) -> bool {
        let cell = self.registry.cell_of(target);
        let targets = self.registry.targets_of_cell(cell);
        record_outcome(&mut self.reported_health, targets, target, outcome, now)
    }

    /// Targets of a cell that are ejected at this router.
    pub(crate) fn ejected_targets(&self, cell: Cell, now: Duration) -> Vec<Tag> {
        let targets = self.registry.targets_of_cell(cell);
        let tags = targets.iter().map(|it| it.tag());
        tags.filter(|it| self.health.is_ejected(*it, now)).collect()
    }
}

/// Records an outcome, unless it is bad and enough of `targets` are ejected; true if the target is
/// ejected by it.
fn record_outcome(
    health: &mut Health,
    targets: &[Arc<Target>],
    target: &Target,
    outcome: Outcome,
    now: Duration,
) -> bool {
    let ejected = targets.iter().filter(|it| health.is_ejected(it.tag(), now));
    let enough = ejected.count() * MAX_EJECTED_DIVISOR >= targets.len();
    if outcome == Outcome::Bad && enough {
        return false;
    }
    health.record(target.tag(), outcome, now)
}
