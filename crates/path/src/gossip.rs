//! Greetings, by which routers know each other and the age of each other's views.
//!
//! Who greets whom, and what follows for who is alive, is decided by
//! [`dunlinward_dispatch::membership`]. Each greeting also tells the sender's views of the
//! platform. Whoever learns that a view has changed, or is much younger than it knew, tells a
//! few others at once, who do the same: so a change reaches three hundred routers in five
//! steps, with three greetings from each.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::membership::{Change, Effects};
use dunlinward_dispatch::message::{Content, Heartbeat, Views};

use crate::leaving;
use crate::node::Node;
use crate::view::{self, Part, Wanted};

/// Routers that are told of a change at once.
pub(crate) const TOLD: usize = 3;

/// How much younger a view must be than it was known to be for others to be told: half of the
/// time between two reads of the list of targets.
const YOUNGER_TOLD: Duration = Duration::from_millis(500);

/// A peer's list of targets that differs is fetched if it is younger by this much: more
/// than the error of ages, which leave out the way of a greeting.
const YOUNGER: Duration = Duration::from_millis(50);

/// Routers that are named in a line on those that ended.
const NAMED: usize = 4;

/// What the log is still to be told of who is alive.
#[derive(Debug, Default)]
pub struct Gossip {
    came: Cell<usize>,
    lost: RefCell<Vec<SocketAddr>>,
    /// When a router was lost last.
    lost_at: Cell<Option<Duration>>,
}

impl Gossip {
    /// When a router was lost last.
    pub(crate) fn lost_at(&self) -> Option<Duration> {
        self.lost_at.get()
    }
}

/// Greets others for as long as the router runs.
pub async fn run(node: Rc<Node>) {
    let mut timer = tokio::time::interval(node.settings.report_interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let late = timer.tick().await.elapsed();
        node.note_lateness(late);
        node.look_for_wake();
        let late = late + node.wake.take_late();
        let now = node.now();
        let effects = node.state.borrow_mut().membership.tick(now, late);
        carry_out(&node, effects);
        tell(&node);
    }
}

/// Takes over what changed and sends what is to be sent.
fn carry_out(node: &Node, effects: Effects) {
    let now = node.now();
    node.state.borrow_mut().apply(&effects, now);
    for change in &effects.changes {
        match change {
            Change::Updated(..) => node.gossip.came.set(node.gossip.came.get() + 1),
            Change::Ended(card) => {
                node.gossip.lost.borrow_mut().push(card.address);
                node.gossip.lost_at.set(Some(now));
            }
        }
    }
    for letter in effects.outgoing {
        let greeting = Heartbeat {
            packet: letter.packet,
            views: views(node),
        };
        node.send(letter.to, Content::Heartbeat(greeting));
    }
}

/// One line for all that changed since the last one: a fleet that starts has thousands of changes.
fn tell(node: &Node) {
    let came = node.gossip.came.take();
    let lost = node.gossip.lost.take();
    if came == 0 && lost.is_empty() {
        return;
    }
    let named = lost.iter().take(NAMED).map(ToString::to_string);
    let line = node.journal.line("members").with("heard", came);
    let line = line.with("lost", lost.len());
    let line = line.with("first_lost", named.collect::<Vec<_>>());
    drop(line.with("known", node.routers()));
}

/// Tells a few others of this router's views at once.
pub fn spread(node: &Node) {
    let (some, packet) = {
        let mut state = node.state.borrow_mut();
        let some = state.membership.sample(TOLD);
        if some.is_empty() {
            return;
        }
        (some, state.membership.gossip())
    };
    let views = views(node);
    node.send_all(&some, Content::Heartbeat(Heartbeat { packet, views }));
}

fn views(node: &Node) -> Views {
    let now = node.now();
    let state = node.state.borrow();
    Views {
        configuration: state.table.as_ref().map_or(0, |it| it.version()),
        configuration_read: state.configuration_reads.report(now),
        registry_read: state.registry_reads.report(now),
        registry_digest: state.registry.digest(),
        registry_position: state.registry_position,
        quarantine: state.quarantine_known.then(|| state.quarantine.digest()),
        evacuations: state.evacuations.digest(),
        era: state.store.newest(),
        leaving: state.registry.leaving().digest(),
    }
}

/// Takes a greeting.
pub fn hear(node: &Rc<Node>, greeting: Heartbeat) {
    let Heartbeat { packet, views } = greeting;
    let card = packet.sender.router.clone();
    if card.address == node.settings.link {
        return;
    }
    let now = node.now();
    let effects = {
        let mut state = node.state.borrow_mut();
        state.reachability.record_packet(&card.domain, now);
        state.membership.receive(packet, now)
    };
    carry_out(node, effects);
    if let Some(era) = views.era {
        // What a peer of an earlier era tells is older than what is known here, and ordered so.
        let _ = node.see_era(era, "peer");
    }
    leaving::compare(node, card.address, views.leaving);
    let news = compare(node, views, now);
    if news.wanted != Wanted::default() {
        view::fetch(node, card.address, news.wanted);
    }
    if news.younger {
        spread(node);
    }
}

/// What a greeting says of views that this router did not know.
#[derive(Clone, Copy, Debug, Default)]
struct News {
    /// Views that the sender knows better.
    wanted: Wanted,
    /// Whether a view that both know is much younger than this router knew.
    younger: bool,
}

/// What a peer knows better; the age of an equal view is taken over at once.
fn compare(node: &Node, views: Views, now: Duration) -> News {
    let mut state = node.state.borrow_mut();
    let mut news = News::default();
    let own = state.quarantine.digest();
    // A peer that knows of none will ask itself, but it is known then that the store keeps none.
    let differs = views.quarantine.is_some_and(|it| it != own && it != 0);
    state.quarantine_known |= views.quarantine.is_some() && !differs;
    let quarantine = differs && node.fetching.quarantine.due(now);
    news.wanted = news.wanted.with(Part::Quarantine, quarantine);
    let younger = |at: Duration, known: Option<Duration>| {
        known.is_some_and(|known| at >= known + YOUNGER_TOLD)
    };
    let differs = views.evacuations != state.evacuations.digest();
    let unknown = differs && views.evacuations != 0;
    let evacuations = unknown && node.fetching.evacuations.due(now);
    news.wanted = news.wanted.with(Part::Evacuations, evacuations);
    let version = state.table.as_ref().map_or(0, |it| it.version());
    let known = (1..=version).contains(&views.configuration);
    state.compared_with_peer |= known && !unknown;
    let newer = views.configuration > version;
    news.wanted = news.wanted.with(Part::Configuration, newer);
    if version > 0 && views.configuration == version && !differs {
        let known = state.configuration_reads.at();
        let reading = views.configuration_read;
        let at = reading.and_then(|it| state.receive_configuration(it, now));
        news.younger |= at.is_some_and(|at| younger(at, known));
    }
    let Some(reading) = views.registry_read else {
        return news;
    };
    let Some(at) = state.registry_reads.receive(reading, now) else {
        return news;
    };
    let known = state.registry.read_at();
    if views.registry_digest == state.registry.digest() {
        news.younger |= younger(at, known);
        state.confirm_registry(&views, reading, at);
        return news;
    }
    let later = known.is_none_or(|known| at > known + YOUNGER);
    news.wanted = news.wanted.with(Part::Targets, later);
    news
}
