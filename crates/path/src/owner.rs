//! Duties of a router for the cells that it owns.
//!
//! The owner of a cell counts the load of all routers at the cell's targets, places their requests
//! or queues them, and receives the outcomes of their exchanges. Each router reports its whole load
//! at these targets several times a second. So errors from lost messages don't accumulate, and a
//! router that has just become the owner soon has all that it needs.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::continuation::Binding;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::message::{Content, LoadReport, Request, Return, TargetLoad};
use dunlinward_dispatch::prefix::Use;
use dunlinward_dispatch::queue_order::Kinds;
use dunlinward_dispatch::region::Constraint;
use dunlinward_dispatch::return_schedule::Arrival;
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;

use crate::continuation;
use crate::interruption;
use crate::node::Node;
use crate::observation;
use crate::quarantine;
use crate::queue::Requester;
use crate::state::{Claim, PlaceRequest};

/// Interval at which unused places are logged.
const UNUSED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lines on unused places per interval, those with most tokens first: bounds the log of a router
/// that owns many cells while many customers flood.
const MAX_UNUSED_LINES: usize = 8;

/// Interval at which a router reports its load to owners.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Age up to which uses of prefixes are reported to a new owner.
const MAX_USE_AGE: Duration = Duration::from_secs(20);

/// Uses of prefixes in a report to a new owner: a few kilobytes.
const MAX_USES: usize = 400;

/// Handles a router's request for a place.
pub fn request(node: &Rc<Node>, peer: Peer, address: SocketAddr, ask: Request) {
    node.intake.record_placement();
    let now = node.now();
    let asker = Requester {
        peer,
        address,
        number: ask.number,
    };
    let answer = {
        let mut state = node.state.borrow_mut();
        let domain = state.members.domain(address);
        let wish = PlaceRequest {
            cell: ask.cell,
            router: peer,
            domain: domain.unwrap_or_else(|| node.settings.domain.clone()),
            // The requesting router has chosen the cell by the allowed regions.
            allowed: Constraint::ANY,
            // It has named the targets of other versions as targets to avoid.
            binding: Binding::Free,
            content: ask.content,
            prompt: ask.prompt.map(Rc::new),
            customer: ask.customer,
            cost: ask.cost,
            route: ask.route,
            objective: ask.objective,
            arrived: now.saturating_sub(ask.waited),
            is_retry: ask.is_retry,
            demand_counted: ask.demand_counted,
            withheld: ask.withheld,
            homes_recorded_at: None,
            failed: ask.failed,
            avoid: ask.avoid,
            deadline: now + ask.max_wait,
            expiry: now + ask.remaining,
            arrival: Arrival::Unscheduled,
            claim: Claim::All,
            tie_breaker: node.random(),
            first_attempt: now.saturating_sub(ask.waited + ask.since_first_attempt),
        };
        state.answer(&node.settings, asker, wish, now)
    };
    node.send(address, answer);
    node.notify_capacity();
}

/// Handles a withdrawn request: it no longer waits, and a place granted for it is not used.
pub fn withdraw(node: &Rc<Node>, peer: Peer, number: u64) {
    let now = node.now();
    node.state.borrow_mut().withdraw(peer, number, now);
    node.notify_capacity();
}

/// Handles a router's message that a target has read its prompt.
pub fn read(node: &Rc<Node>, peer: Peer, tag: Tag, unread: u64) {
    let now = node.now();
    node.state
        .borrow_mut()
        .end_prefill_for(peer, tag, unread, now);
    node.notify_capacity();
}

/// Handles the return of a router's place.
pub fn returned(node: &Rc<Node>, peer: Peer, returned: Return) {
    let now = node.now();
    node.state.borrow_mut().return_place(peer, &returned, now);
    if let Some(outcome) = returned.outcome {
        node.record_reported_outcome(returned.tag, outcome);
        if let Some(content) = returned.content.filter(|_| outcome == Outcome::Good) {
            quarantine::record_answer(node, content);
        }
    }
    node.notify_capacity();
}

/// Handles a router's report of its load at the targets of this router's cells.
pub fn load_report(node: &Rc<Node>, peer: Peer, work: &LoadReport) {
    let now = node.now();
    {
        let mut state = node.state.borrow_mut();
        let loads = work.loads.iter().map(|it| (it.tag, it.load));
        state.usage.apply_report(peer, loads, now);
        for used in &work.uses {
            state.prefixes.record_use(*used, now);
        }
        state.confirm(peer, &work.accepted, now);
        for (tag, refusal) in &work.refusals {
            state.backoffs.record_backoff(peer, *tag, *refusal, now);
        }
        if !work.customers.is_empty() {
            state.shares.record_peer(peer, &work.customers, now);
        }
    }
    node.notify_capacity();
}

impl Node {
    /// Records the outcome of another router's exchange with a target. A router that can't reach a
    /// target may itself be partitioned, so that counts as any other failure.
    fn record_reported_outcome(&self, tag: Tag, outcome: Outcome) {
        let unreachable = outcome == Outcome::Unreachable;
        let outcome = match outcome {
            Outcome::Good => Outcome::Good,
            Outcome::Bad | Outcome::Unreachable => Outcome::Bad,
        };
        let now = self.now();
        if unreachable {
            self.state
                .borrow_mut()
                .cold_limiter
                .mark_uncertain(tag, now);
        }
        let target = self.state.borrow().registry.get(tag).cloned();
        let Some(target) = target else {
            return;
        };
        let ejected = self
            .state
            .borrow_mut()
            .record_peer_outcome(&target, outcome, now);
        if ejected {
            self.metrics.add("ejections", &target.service, 1);
            let line = self.journal.line("target_ejected");
            let line = line.with("target", target.id.as_ref());
            drop(line.with("outcome", "Bad").with("source", "routers"));
        }
    }
}

/// Reports this router's load at targets to their owners for as long as it runs.
pub async fn report_load(node: Rc<Node>) {
    let mut timer = tokio::time::interval(REPORT_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reporter = Reporter::default();
    let mut unused_logged = node.now();
    let mut speeds_logged = node.now();
    loop {
        timer.tick().await;
        let now = node.now();
        let expired = node.state.borrow_mut().prune(now);
        // Places that were not confirmed in time have expired.
        node.notify_capacity();
        for target in expired {
            let line = node.journal.line("backoff_over");
            drop(line.with("target", target.id.as_ref()));
        }
        if now.saturating_sub(unused_logged) >= UNUSED_LOG_INTERVAL {
            unused_logged = now;
            log_unused(&node);
            log_replicas(&node);
            log_late(&node);
            log_returns(&node);
            log_level(&node);
        }
        continuation::sync(&node);
        let mut reports = reporter.due(&node);
        for (owner, numbers) in node.pending.confirmations() {
            reports.entry(owner).or_default().accepted = numbers;
        }
        interruption::resend_findings(&node);
        for (address, report) in reports {
            node.send(address, Content::LoadReport(report));
        }
        observation::report(&node);
        observation::log_speeds(&node, &mut speeds_logged);
    }
}

/// Logs places that were granted to other routers and not used.
fn log_unused(node: &Node) {
    let unused = node.state.borrow_mut().grants.take_unused();
    for (rank, it) in unused.iter().enumerate() {
        node.metrics
            .add("unused_places", it.reason.name(), it.places);
        node.metrics
            .add("unused_tokens", it.reason.name(), it.tokens);
        if rank >= MAX_UNUSED_LINES {
            continue;
        }
        let state = node.state.borrow();
        let line = node.journal.line("places_unused");
        let line = line.with("customer", state.customer_name(it.customer).as_deref());
        let address = state.members.address(it.peer);
        let line = line.with("asked_by", address.map(|it| it.to_string()));
        let line = line.with("reason", it.reason.name());
        drop(line.with("places", it.places).with("tokens", it.tokens));
    }
}

/// Logs how many homes of prefixes were added since the last line.
fn log_replicas(node: &Node) {
    let (added, prefixes) = {
        let mut state = node.state.borrow_mut();
        (state.replicas.take_added(), state.replicas.len())
    };
    if added.homes == 0 {
        return;
    }
    node.metrics.add("prefix_homes", "added", added.homes);
    let line = node.journal.line("prefix_homes_added");
    let line = line.with("homes", added.homes).with("prefixes", prefixes);
    let line = line.with("most_homes", added.max_homes);
    drop(line.with("limit", node.settings.load_policy.max_prefix_homes));
}

/// Logs the level of the customers' shares with its inputs, if a decision used it lately.
fn log_level(node: &Node) {
    let (level, age, reduced) = {
        let mut state = node.state.borrow_mut();
        let reduced = state.kinds.as_mut().map_or(0, Kinds::take_reduced);
        let age = state.shares.level_age(node.now());
        (state.shares.level(), age, reduced)
    };
    node.metrics.add("kind_limits", "reduced", reduced);
    let Some(age) = age.filter(|it| *it < UNUSED_LOG_INTERVAL) else {
        return;
    };
    let Some(tokens) = level.tokens else {
        node.metrics.add("share_levels", "none", 1);
        return;
    };
    node.metrics.add("share_levels", "contention", 1);
    let line = node.journal.line("share_level").with("level", tokens);
    let line = line.with("asked", level.asked);
    let line = line.with("granted", level.granted);
    let line = line.with("configured", level.configured);
    let line = line.with("weight", level.weight);
    let line = line.with("customers", level.customers);
    let line = line.with("kinds_reduced", reduced);
    drop(line.with_ms("age_ms", age));
}

/// Logs answers of owners that came after their requests had been abandoned.
fn log_late(node: &Node) {
    let late = node.pending.take_late(node.now());
    if late.answers == 0 {
        return;
    }
    let line = node.journal.line("answers_late");
    let line = line.with("answers", late.answers);
    let line = line.with("places", late.places);
    let line = line.with_ms("mean_ms", late.total / late.answers);
    drop(line.with_ms("longest_ms", late.longest));
}

/// Logs and counts the returns that this router scheduled, or that came at or before their time.
fn log_returns(node: &Node) {
    let summary = node.state.borrow_mut().returns.take_summary();
    let counts = [
        ("assigned", summary.assigned),
        ("longest", summary.longest),
        ("kept", summary.kept),
        ("kept_longest", summary.kept_longest),
        ("early", summary.early),
        ("refused_twice", summary.refused_twice),
        ("refused_longest", summary.refused_longest),
        ("overflowed", summary.overflowed),
    ];
    if counts.iter().all(|(_, count)| *count == 0) {
        return;
    }
    let mut line = node.journal.line("returns");
    for (name, count) in counts {
        node.metrics.add("returns", name, count);
        line = line.with(name, count);
    }
    drop(
        line.with("entries", summary.entries)
            .with("booked_tokens", summary.booked),
    );
}

/// State of the reports to owners.
#[derive(Default)]
struct Reporter {
    /// Owner of each cell at the last report.
    owners: HashMap<Cell, SocketAddr>,
    /// Owners whose last report contained load.
    busy: HashSet<SocketAddr>,
}

impl Reporter {
    /// The reports that are due now.
    fn due(&mut self, node: &Rc<Node>) -> HashMap<SocketAddr, LoadReport> {
        let now = node.now();
        let own = node.settings.link;
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let mut reports: HashMap<SocketAddr, LoadReport> = HashMap::new();
        for (tag, load) in state.usage.own_loads().filter(|(_, it)| it.running > 0) {
            let Some(target) = state.registry.get(tag) else {
                continue;
            };
            let owner = state.members.owner(state.registry.cell_of(target), now);
            if owner != own {
                let report = reports.entry(owner).or_default();
                report.loads.push(TargetLoad { tag, load });
            }
        }
        let mut owners = HashSet::new();
        let recent = state.prefixes.recent(MAX_USE_AGE, now);
        let refusals: Vec<_> = state.backoffs.backoffs_for(node.peer, now).collect();
        for (cell, targets) in state.registry.all_cells() {
            let owner = state.members.owner(cell, now);
            let before = self.owners.insert(cell, owner);
            owners.insert(owner);
            if owner == own || before == Some(owner) {
                continue;
            }
            let tags: HashSet<_> = targets.iter().map(|it| it.tag()).collect();
            let uses = recent.iter().filter(|it| tags.contains(&it.tag));
            let uses: HashSet<Use> = uses.copied().collect();
            let uses = uses.into_iter().take(MAX_USES);
            let refusals = refusals.iter().filter(|(tag, _)| tags.contains(tag));
            let report = reports.entry(owner).or_default();
            report.uses.extend(uses);
            report.refusals.extend(refusals.copied());
        }
        let customers = state.shares.report(now);
        // Also from a router that owns no cells any more: what it granted still counts.
        for owner in owners.iter().filter(|it| **it != own) {
            if !customers.is_empty() {
                let report = reports.entry(*owner).or_default();
                report.customers.clone_from(&customers);
            }
        }
        for owner in std::mem::take(&mut self.busy) {
            reports.entry(owner).or_default();
        }
        let busy = reports.iter().filter(|(_, it)| !it.loads.is_empty());
        self.busy = busy.map(|(owner, _)| *owner).collect();
        reports
    }
}
