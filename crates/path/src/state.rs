//! Everything that changes at a router, and the decisions taken on it.
//!
//! No call here wakes a task or drops a lease, so the state is never borrowed twice.

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
use dunlinward_dispatch::evacuation::{self, Evacuations};
use dunlinward_dispatch::grants::Grants;
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::inflight::{Answered, InFlight};
use dunlinward_dispatch::interruptions::Interruptions;
use dunlinward_dispatch::member::{Descriptor, Members};
use dunlinward_dispatch::membership::{Change as MemberChange, Effects, Membership};
use dunlinward_dispatch::message::{CustomerTag, Views};
use dunlinward_dispatch::prefix::{History, Prompt};
use dunlinward_dispatch::quarantine::Ledger;
use dunlinward_dispatch::reachability::Reachability;
use dunlinward_dispatch::reading::{Reading, Readings};
use dunlinward_dispatch::refused::Contents;
use dunlinward_dispatch::region::{Constraint, Region};
use dunlinward_dispatch::registry::{Change, Delta, Listing, Registry};
use dunlinward_dispatch::retry::Detector;
use dunlinward_dispatch::round_trip::RoundTrips;
use dunlinward_dispatch::share::{self, Shares};
use dunlinward_dispatch::store::{Era, Observation, Position};
use dunlinward_dispatch::target::{Tag, Target};
use dunlinward_dispatch::usage::{Peer, Usage};

use crate::node::{PeerDelta, TargetList};
use crate::queue::Waiter;
use crate::settings::Settings;

mod barred;
mod candidates;
mod ended;
mod homes;
mod placing;
mod suspects;
#[cfg(test)]
mod tests;

pub(crate) use barred::{Bar, Opening};

/// At most one in so many targets of a service is ejected for failures.
const EJECTED_PART: usize = 3;

/// Which room of a cell a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// All of it, as the owner knows it.
    All,
    /// This router's own part, as no owner answers.
    Own,
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The cell whose targets may run it.
    pub cell: Cell,
    /// The router whose caller it is.
    pub router: Peer,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Regions in which it may run.
    pub allowed: Constraint,
    /// What it asks, unless that was answered lately.
    pub content: Option<ContentTag>,
    /// Its prompt.
    pub prompt: Option<Rc<Prompt>>,
    /// Its customer, if it has one.
    pub customer: Option<CustomerTag>,
    /// Tokens for which its customer is charged.
    pub cost: u64,
    /// Time to the first event that users expect.
    pub objective: Duration,
    /// When it arrived.
    pub arrived: Duration,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// Whether the tokens it asks for have been counted before.
    pub counted: bool,
    /// Whether a target has failed it.
    pub failed: bool,
    /// Targets that have failed it, or its router lately.
    pub avoid: Vec<Tag>,
    /// When it is given up.
    pub until: Duration,
    /// Which room it may use.
    pub claim: Claim,
    /// Spreads ties.
    pub draw: u64,
}

/// Everything that changes.
pub(crate) struct State {
    pub(crate) table: Option<Rc<Table>>,
    /// Readings by which the configuration was the store's newest.
    pub(crate) configuration_reads: Readings,
    pub(crate) registry: Registry,
    /// Whether a peer that knows a configuration knows nothing that this router lacks.
    pub(crate) compared: bool,
    /// The newest era of the store.
    pub(crate) store: Era,
    /// Failure domains whose targets get nothing.
    pub(crate) evacuations: Evacuations,
    /// Targets that bear few requests for now.
    pub(crate) cold: Limiter,
    /// Routers that were known lately.
    peak: Peak,
    /// Readings of the list of targets.
    pub(crate) registry_reads: Readings,
    /// Where the store's log goes on behind that list.
    pub(crate) registry_position: Option<Position>,
    pub(crate) usage: Usage,
    pub(crate) memory: History,
    /// What engines of this router's cells say that they keep.
    pub(crate) caches: Caches,
    pub(crate) health: Health,
    /// Targets that have turned requests away.
    pub(crate) backoffs: Backoffs,
    /// Identity of this router's start.
    peer: Peer,
    pub(crate) budget: Budget,
    pub(crate) shares: Shares,
    pub(crate) reach: Reachability,
    /// How long answers of other routers take.
    pub(crate) round_trips: RoundTrips,
    /// The region of this router.
    region: Region,
    /// Cells of other regions that had no room for a customer's request from here, and when.
    short: HashMap<(Cell, Option<CustomerTag>), Duration>,
    /// Which callers come back.
    pub(crate) tries: Detector,
    /// Requests that found no room at this router's cells.
    pub(crate) returns: Contents,
    /// Which routers are alive.
    pub(crate) membership: Membership,
    /// Which of them owns what.
    pub(crate) members: Members,
    pub(crate) queue: Vec<Waiter>,
    /// Failures that all routers report of the targets of this router's cells.
    reported: Health,
    /// Places given to other routers lately.
    pub(crate) grants: Grants,
    /// Contents under which targets ended.
    pub(crate) quarantine: Ledger,
    /// Whether what the store keeps of such contents is known, read or heard.
    pub(crate) quarantine_known: bool,
    /// Runs of this router that did not end with an answer.
    pub(crate) cuts: Interruptions,
    /// Where contents run for which this router gave places.
    pub(crate) copies: InFlight,
    /// Contents that this router's callers were answered.
    pub(crate) answered: Answered,
    engines_seen: usize,
}

impl State {
    /// Nothing known yet.
    pub(crate) fn new(settings: &Settings, peer: Peer) -> Self {
        let card = Descriptor {
            address: settings.link,
            peer,
            domain: settings.domain.clone(),
            millicores: settings.millicores,
        };
        Self {
            table: None,
            configuration_reads: Readings::new(peer),
            compared: false,
            store: Era::default(),
            evacuations: Evacuations::default(),
            cold: Limiter::default(),
            peak: Peak::default(),
            registry: Registry::new()
                .with_cell_targets(settings.cell_targets)
                .with_regions(settings.regions.clone()),
            registry_reads: Readings::new(peer),
            registry_position: None,
            usage: Usage::new(),
            memory: History::new(),
            caches: Caches::new(),
            health: Health::new(),
            backoffs: Backoffs::default(),
            peer,
            budget: Budget::new(settings.repeats),
            shares: Shares::new(settings.share_window),
            reach: Reachability::new(settings.heartbeat_interval),
            round_trips: RoundTrips::default(),
            region: settings.regions.of(&settings.domain),
            short: HashMap::new(),
            tries: Detector::new(),
            returns: Contents::default(),
            membership: Membership::new(card.clone(), &settings.seeds, settings.heartbeat_interval),
            members: Members::new(card).with_regions(settings.regions.clone()),
            queue: Vec::new(),
            reported: Health::new(),
            grants: Grants::new(settings.share_window),
            quarantine: Ledger::new(),
            quarantine_known: false,
            cuts: Interruptions::new(),
            copies: InFlight::new(),
            answered: Answered::new(),
            engines_seen: 0,
        }
    }

    /// Forgets routers that have been silent, and answers that are no longer asked for. Returns
    /// the targets whose named time is over for this router.
    pub(crate) fn prune(&mut self, now: Duration) -> Vec<Arc<Target>> {
        self.usage.prune(now);
        self.quarantine.prune(now);
        self.peak.record(self.members.count(), now);
        self.copies.prune(now);
        self.returns.prune(now);
        self.lapse(now);
        let over = self.backoffs.prune(self.peer, now);
        let over = over.into_iter().filter_map(|it| self.registry.get(it));
        over.cloned().collect()
    }

    /// Takes over what changed in who is alive.
    pub(crate) fn apply(&mut self, effects: &Effects, now: Duration) {
        for change in &effects.changes {
            match change {
                MemberChange::Updated(card, condition) => {
                    self.members.upsert(card, *condition, now);
                }
                MemberChange::Ended(card) => self.members.remove(card),
            }
        }
        for (address, time) in &effects.round_trips {
            if let Some(domain) = self.members.domain(*address) {
                self.round_trips.record(&domain, *time);
            }
        }
        for address in &effects.unanswered {
            // The silence of a router that is about to end says nothing of its domain.
            if !self.members.is_leaving(*address)
                && let Some(domain) = self.members.domain(*address)
            {
                self.reach.record_miss(&domain);
            }
        }
    }

    /// This router doesn't keep up, or does again.
    pub(crate) fn set_behind(&mut self, behind: bool) {
        self.members.set_overloaded(behind);
        self.membership.set_condition(self.members.condition());
    }

    /// This router is about to end.
    pub(crate) fn leave(&mut self) {
        self.members.leave();
        self.membership.set_condition(self.members.condition());
    }

    /// A peer tells by which reading the configuration in force was the store's newest; when that
    /// was, if it is not known to be older.
    pub(crate) fn hear_configuration(
        &mut self,
        reading: Reading,
        now: Duration,
    ) -> Option<Duration> {
        let at = self.configuration_reads.receive(reading, now)?;
        self.configuration_reads.adopt(reading, at);
        Some(at)
    }

    /// A peer with the same list of targets tells by which reading it has it.
    pub(crate) fn confirm_registry(&mut self, views: &Views, reading: Reading, at: Duration) {
        self.registry.confirm(views.registry_digest, at);
        self.registry_reads.adopt(reading, at);
        // The same list is as complete here, up to the same place.
        self.registry_position = self.registry_position.max(views.registry_position);
    }

    /// Takes a list of targets.
    pub(crate) fn take_list(&mut self, list: TargetList) -> Vec<Change> {
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
            self.cold.apply_list(listed, list.as_of);
        }
        changes
    }

    /// Takes what was written to the store's log behind the known list, up to `end`; none if more is
    /// known by now.
    pub(crate) fn take_delta(
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
        self.cold.apply_changes(&written, as_of);
        Some(changes)
    }

    /// Takes what a peer's list has that the known one has not, if it is not older.
    pub(crate) fn take_told(&mut self, told: PeerDelta) -> Vec<Change> {
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
        self.cold.apply_changes(&written, as_of);
        changes
    }

    /// The store, or a peer, names an era.
    pub(crate) fn observe_era(&mut self, era: u64, now: Duration) -> Observation {
        let sight = self.store.observe(era, now);
        if sight == Observation::Restored {
            self.registry.record_restore(now);
        }
        sight
    }

    /// Takes orders to evacuate failure domains, by `take`. Targets of a domain that is reopened may
    /// have become cold meanwhile.
    pub(crate) fn change_evacuations(
        &mut self,
        now: Duration,
        take: impl FnOnce(&mut Evacuations) -> Vec<evacuation::Change>,
    ) -> Vec<evacuation::Change> {
        let changes = take(&mut self.evacuations);
        for change in &changes {
            let evacuation::Change::Reopened(domain) = change else {
                continue;
            };
            for tag in cold_start::tags_in_domain(self.registry.targets(), domain) {
                self.cold.mark_uncertain(tag, now);
            }
        }
        changes
    }

    /// Name of a customer; none if the configuration in force doesn't have it.
    pub(crate) fn customer_name(&self, tag: CustomerTag) -> Option<Arc<str>> {
        let customers = &self.table.as_ref()?.configuration().customers;
        let customer = customers.iter().find(|it| share::tag(&it.name) == tag);
        customer.map(|it| it.name.clone())
    }

    /// A target has ended.
    pub(crate) fn forget(&mut self, tag: Tag) {
        self.memory.remove_target(tag);
        self.caches.remove_target(tag);
        self.health.forget(tag);
        self.reported.forget(tag);
        self.backoffs.forget(tag);
    }

    /// Notes an outcome; true if the target is ejected by it.
    pub(crate) fn note(&mut self, target: &Target, outcome: Outcome, now: Duration) -> bool {
        self.doubt_cold(target, outcome, now);
        if outcome == Outcome::Good {
            self.backoffs.record_running(target.tag(), now);
        }
        let targets = self.registry.targets_of_service(&target.service);
        note(&mut self.health, targets, target, outcome, now)
    }

    /// Who could not be reached may have started anew.
    fn doubt_cold(&mut self, target: &Target, outcome: Outcome, now: Duration) {
        if outcome == Outcome::Unreachable {
            self.cold.mark_uncertain(target.tag(), now);
        }
    }

    /// Notes an outcome of another router; true if the target is ejected by it.
    pub(crate) fn note_reported(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Duration,
    ) -> bool {
        let cell = self.registry.cell_of(target);
        let targets = self.registry.targets_of_cell(cell);
        note(&mut self.reported, targets, target, outcome, now)
    }

    /// Targets of a cell that this router leaves alone.
    pub(crate) fn avoided(&self, cell: Cell, now: Duration) -> Vec<Tag> {
        let targets = self.registry.targets_of_cell(cell);
        let tags = targets.iter().map(|it| it.tag());
        tags.filter(|it| self.health.is_ejected(*it, now)).collect()
    }
}

fn note(
    health: &mut Health,
    targets: &[Arc<Target>],
    target: &Target,
    outcome: Outcome,
    now: Duration,
) -> bool {
    let ejected = targets.iter().filter(|it| health.is_ejected(it.tag(), now));
    let enough = ejected.count() * EJECTED_PART >= targets.len();
    if outcome == Outcome::Bad && enough {
        return false;
    }
    health.record(target.tag(), outcome, now)
}
