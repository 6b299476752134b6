//! What a router does for the cells that it owns.
//!
//! It counts the work of all routers at the targets, places their requests or lets
//! them wait in its queue, and hears how exchanges went. Each router tells it several
//! times a second the whole of what it has there, so lost messages don't add up and
//! a router that has just become the owner knows within a moment what it needs.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::message::{Content, LoadReport, Request, Return, TargetLoad};
use dunlinward_dispatch::prefix::Use;
use dunlinward_dispatch::region::Constraint;
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;

use crate::cut;
use crate::node::Node;
use crate::quarantine;
use crate::queue::Asker;
use crate::state::{Claim, PlaceRequest};

/// How often the log is told of places that were given and not used.
const UNUSED_TOLD: Duration = Duration::from_secs(1);

/// Lines on such places each time, those with most tokens first: bounds the log at a router that
/// owns much while many customers flood.
const UNUSED_LINES: usize = 8;

/// How often a router tells owners what it has at their targets.
const WORK_INTERVAL: Duration = Duration::from_millis(300);

/// How far back a new owner is told which prefixes were sent where.
const USES_TOLD: Duration = Duration::from_secs(20);

/// Prefixes that a new owner is told of at the most: a few kilobytes.
const USES_MOST: usize = 400;

/// A router asks for a place.
pub fn ask(node: &Rc<Node>, peer: Peer, address: SocketAddr, ask: Request) {
    let now = node.now();
    let asker = Asker {
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
            // The router that asks has chosen the cell by what it allows.
            allowed: Constraint::ANY,
            content: ask.content,
            prompt: ask.prompt.map(Rc::new),
            customer: ask.customer,
            cost: ask.cost,
            objective: ask.objective,
            arrived: now.saturating_sub(ask.waited),
            is_retry: ask.is_retry,
            demand_counted: ask.demand_counted,
            failed: ask.failed,
            avoid: ask.avoid,
            deadline: now + ask.max_wait,
            claim: Claim::All,
            tie_breaker: node.draw(),
        };
        state.answer(&node.settings, asker, wish, now)
    };
    node.send(address, answer);
    node.room_came();
}

/// A router's request no longer waits, and a place that it was given is not used.
pub fn withdraw(node: &Rc<Node>, peer: Peer, number: u64) {
    let now = node.now();
    node.state.borrow_mut().withdraw(peer, number, now);
    node.room_came();
}

/// A target has read a router's prompt.
pub fn read(node: &Rc<Node>, peer: Peer, tag: Tag, unread: u64) {
    let now = node.now();
    node.state
        .borrow_mut()
        .end_prefill_for(peer, tag, unread, now);
    node.room_came();
}

/// A router's place is free again.
pub fn returned(node: &Rc<Node>, peer: Peer, returned: Return) {
    let now = node.now();
    node.state.borrow_mut().return_place(peer, &returned, now);
    if let Some(outcome) = returned.outcome {
        node.note_reported(returned.tag, outcome);
        if let Some(content) = returned.content.filter(|_| outcome == Outcome::Good) {
            quarantine::answered(node, content);
        }
    }
    node.room_came();
}

/// A router tells what it has at the targets of this one's cells.
pub fn work(node: &Rc<Node>, peer: Peer, work: &LoadReport) {
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
    node.room_came();
}

impl Node {
    /// Notes how another router's exchange with a target went. A router that can't reach a
    /// target may itself be cut off, so that counts as any other failure.
    fn note_reported(&self, tag: Tag, outcome: Outcome) {
        let lost = outcome == Outcome::Unreachable;
        let outcome = match outcome {
            Outcome::Good => Outcome::Good,
            Outcome::Bad | Outcome::Unreachable => Outcome::Bad,
        };
        let now = self.now();
        if lost {
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

/// Tells owners what this router has at their targets, for as long as it runs.
pub async fn report_work(node: Rc<Node>) {
    let mut timer = tokio::time::interval(WORK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told = Told::default();
    let mut unused_told = node.now();
    loop {
        timer.tick().await;
        let now = node.now();
        let over = node.state.borrow_mut().prune(now);
        // Places of which nothing was heard for long count no more.
        node.room_came();
        for target in over {
            let line = node.journal.line("backoff_over");
            drop(line.with("target", target.id.as_ref()));
        }
        if now.saturating_sub(unused_told) >= UNUSED_TOLD {
            unused_told = now;
            tell_unused(&node);
            tell_late(&node);
        }
        let mut reports = told.next(&node);
        for (owner, numbers) in node.pending.confirmations() {
            reports.entry(owner).or_default().accepted = numbers;
        }
        cut::tell_again(&node);
        for (address, work) in reports {
            node.send(address, Content::LoadReport(work));
        }
    }
}

/// Tells the log of places that other routers were given and did not use.
fn tell_unused(node: &Node) {
    let unused = node.state.borrow_mut().grants.take_unused();
    for (rank, it) in unused.iter().enumerate() {
        node.metrics
            .add("unused_places", it.reason.name(), it.places);
        node.metrics
            .add("unused_tokens", it.reason.name(), it.tokens);
        if rank >= UNUSED_LINES {
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

/// Tells the log of answers of owners that came after their requests had been given up.
fn tell_late(node: &Node) {
    let late = node.pending.take_late(node.now());
    if late.answers == 0 {
        return;
    }
    let line = node.journal.line("answers_late");
    let line = line.with("answers", late.answers);
    let line = line.with("places", late.places);
    let line = line.with_ms("mean_ms", late.time / late.answers);
    drop(line.with_ms("longest_ms", late.longest));
}

/// What owners have been told.
#[derive(Default)]
struct Told {
    /// Owner of each cell at the last report.
    owners: HashMap<Cell, SocketAddr>,
    /// Owners whose last report said that something is at their targets.
    busy: HashSet<SocketAddr>,
}

impl Told {
    /// The reports that are due now.
    fn next(&mut self, node: &Rc<Node>) -> HashMap<SocketAddr, LoadReport> {
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
        let recent = state.prefixes.recent(USES_TOLD, now);
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
            let uses = uses.into_iter().take(USES_MOST);
            let refusals = refusals.iter().filter(|(tag, _)| tags.contains(tag));
            let report = reports.entry(owner).or_default();
            report.uses.extend(uses);
            report.refusals.extend(refusals.copied());
        }
        let customers = state.shares.report(now);
        // Also from a router that owns nothing any more: what it granted still counts.
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
