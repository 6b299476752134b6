//! Greetings, by which routers know each other and the age of each other's views.
//!
//! Each interval a router greets the next few of those it knows, so that what it
//! sends and receives doesn't grow with the fleet. Whoever has read the list of
//! targets from the store, or is about to end, greets all at once. Routers become
//! known from the seeds in the settings, from greetings that come in, and from the
//! lists in them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::report::{Content, Greeting};

use crate::journal::millis;
use crate::node::Node;
use crate::view::{self, Wanted};

/// Routers greeted in each interval: with 40 greetings a second of about 60 bytes the
/// fleet's control traffic stays within the 4 KB/s that it is designed for.
pub const FANOUT: usize = 4;

/// A list of peers goes with every so many greetings, and strangers are greeted as often.
const LIST_EVERY: u64 = 10;

/// Peers in a list at the most.
const LIST_MOST: usize = 16;

/// Greetings to a router that was only told of, before it is forgotten.
const STRANGER_TRIES: u32 = 3;

/// A peer's list of targets that differs is fetched if it is younger by this much: more
/// than the error of ages, which leave out the way of a greeting.
const YOUNGER: Duration = Duration::from_millis(50);

/// What greetings are under way.
#[derive(Debug, Default)]
pub struct Gossip {
    /// Routers that were told of and have not been heard, with the greetings sent to them.
    strangers: RefCell<HashMap<SocketAddr, u32>>,
    /// Whether all are to be greeted next.
    all: Cell<bool>,
    next: Cell<usize>,
}

impl Gossip {
    /// Greets all routers at the next turn.
    pub fn greet_all(&self) {
        self.all.set(true);
    }
}

/// Greets others for as long as the router runs.
pub async fn run(node: Rc<Node>) {
    let mut number = 0;
    let mut timer = tokio::time::interval(node.settings.report_interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let tick = timer.tick().await;
        node.note_lateness(tick.elapsed());
        number += 1;
        prune(&node);
        let due = due(&node, number);
        if !due.is_empty() {
            let greeting = greeting(&node, number);
            node.send_all(&due, Content::Greeting(greeting));
        }
    }
}

fn prune(node: &Rc<Node>) {
    let now = node.now();
    let ended = {
        let mut state = node.state.borrow_mut();
        let ended = state.members.prune(now);
        let turn = state.members.turn();
        state.reach.set_turn(turn);
        ended
    };
    for card in ended {
        let line = node.journal.line("member_lost");
        let line = line.with("peer", card.address.to_string());
        drop(line.with("domain", card.domain.as_ref()));
    }
}

fn due(node: &Rc<Node>, number: u64) -> Vec<SocketAddr> {
    let gossip = &node.gossip;
    let mut known: Vec<_> = {
        let state = node.state.borrow();
        state.members.others().map(|it| it.address).collect()
    };
    known.sort_unstable();
    let mut due = if gossip.all.take() || known.len() <= FANOUT {
        known
    } else {
        let from = gossip.next.get() % known.len();
        gossip.next.set(from + FANOUT);
        let turn = known.iter().cycle().skip(from).take(FANOUT);
        turn.copied().collect()
    };
    if number % LIST_EVERY == 1 {
        due.extend(strangers(node));
    }
    due
}

/// Routers that are to be greeted though nothing has been heard of them.
fn strangers(node: &Rc<Node>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let own = node.settings.link;
    let mut strangers = node.gossip.strangers.borrow_mut();
    for seed in node.settings.seeds.iter().filter(|it| **it != own) {
        if !state.members.knows(*seed) {
            strangers.insert(*seed, 0);
        }
    }
    strangers.retain(|address, tries| !state.members.knows(*address) && *tries < STRANGER_TRIES);
    for tries in strangers.values_mut() {
        *tries += 1;
    }
    strangers.keys().copied().collect()
}

fn greeting(node: &Rc<Node>, number: u64) -> Greeting {
    let now = node.now();
    let state = node.state.borrow();
    let age = state.registry.read_at().map(|at| now.saturating_sub(at));
    let listed = number % LIST_EVERY == 1;
    let others = state.members.others().map(|it| it.address);
    let others = others.filter(|_| listed);
    Greeting {
        card: state.members.own().clone(),
        leaving: node.leaving().is_some(),
        behind: node.strain.behind(),
        configuration: state.table.as_ref().map_or(0, |it| it.version()),
        configuration_age_ms: state
            .configuration_at
            .map_or(u64::MAX, |at| millis(now.saturating_sub(at))),
        registry_age_ms: age.map(millis),
        registry_digest: state.registry.digest(),
        peers: others.take(LIST_MOST).collect(),
    }
}

/// Takes a greeting.
pub fn hear(node: &Rc<Node>, greeting: &Greeting) {
    let own = node.settings.link;
    let card = &greeting.card;
    if card.address == own {
        return;
    }
    let now = node.now();
    let new = {
        let mut state = node.state.borrow_mut();
        if greeting.leaving {
            state.reach.leave(card.peer);
        } else {
            state.reach.hear(card.peer, &card.domain, now);
        }
        state.members.hear(card, greeting.condition(), now)
    };
    if new {
        let line = node.journal.line("member_came");
        let line = line.with("peer", card.address.to_string());
        drop(line.with("domain", card.domain.as_ref()));
    }
    meet(node, greeting);
    let wanted = wanted(node, greeting, now);
    if wanted != Wanted::default() {
        view::fetch(node, card.address, wanted);
    }
}

/// Notes routers that a greeting tells of.
fn meet(node: &Rc<Node>, greeting: &Greeting) {
    let own = node.settings.link;
    let state = node.state.borrow();
    let mut strangers = node.gossip.strangers.borrow_mut();
    for address in greeting.peers.iter().filter(|it| **it != own) {
        if !state.members.knows(*address) {
            strangers.entry(*address).or_default();
        }
    }
}

/// What a peer knows better; the age of an equal list is taken over at once.
fn wanted(node: &Rc<Node>, greeting: &Greeting, now: Duration) -> Wanted {
    let mut state = node.state.borrow_mut();
    let version = state.table.as_ref().map_or(0, |it| it.version());
    let mut wanted = Wanted {
        configuration: greeting.configuration > version,
        targets: false,
    };
    if version > 0 && greeting.configuration == version {
        let age = Duration::from_millis(greeting.configuration_age_ms);
        state.confirm_configuration(now.saturating_sub(age));
    }
    let Some(age) = greeting.registry_age_ms.map(Duration::from_millis) else {
        return wanted;
    };
    let as_of = now.saturating_sub(age);
    if greeting.registry_digest == state.registry.digest() {
        state.registry.confirm(greeting.registry_digest, as_of);
        return wanted;
    }
    let own = state.registry.read_at();
    wanted.targets = own.is_none_or(|own| as_of > own + YOUNGER);
    wanted
}
