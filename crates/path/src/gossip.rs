//! Heartbeats, which carry membership and the ages of the views of routers.
//!
//! [`dunlinward_dispatch::membership`] decides who sends to whom, and which routers are alive. Each
//! heartbeat also carries the versions of the sender's views of the platform. A router that learns
//! that a view has changed, or is much more recent than it knew, sends heartbeats to a few others
//! at once, which do the same: a change reaches 300 routers in five steps, with three heartbeats
//! from each router.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::member::Condition;
use dunlinward_dispatch::membership::{Change, Effects};
use dunlinward_dispatch::message::{Content, Heartbeat, Views};

use crate::leaving;
use crate::node::Node;
use crate::view::{self, Kind, Selection};

/// Number of routers to which a change is sent at once.
pub(crate) const FANOUT: usize = 3;

/// Difference in age from which a more recent confirmation of a view is passed on at once: half of
/// the interval between two reads of the list of targets.
const MIN_ANNOUNCED_GAIN: Duration = Duration::from_millis(500);

/// Difference in age from which a peer's list of targets is fetched, if its content differs: more
/// than the error of ages, which don't include the delay of a heartbeat.
const MIN_FETCHED_GAIN: Duration = Duration::from_millis(50);

/// Limit of names in a log line about lost routers.
const MAX_NAMED: usize = 4;

/// Membership changes that are not logged yet.
#[derive(Debug, Default)]
pub struct Gossip {
    updated: Cell<usize>,
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

/// Sends heartbeats for as long as the router runs.
pub async fn run(node: Rc<Node>) {
    let mut timer = tokio::time::interval(node.settings.heartbeat_interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let late = timer.tick().await.elapsed();
        node.record_lateness(late);
        node.detect_suspension();
        let late = late + node.suspensions.take_suspended();
        let now = node.now();
        let effects = node.state.borrow_mut().membership.tick(now, late);
        apply(&node, effects);
        log_changes(&node);
    }
}

/// Applies membership changes and sends the outgoing packets.
fn apply(node: &Node, effects: Effects) {
    let now = node.now();
    node.state.borrow_mut().apply(&effects, now);
    for change in &effects.changes {
        match change {
            Change::Updated(_, condition) => {
                node.gossip.updated.set(node.gossip.updated.get() + 1);
                if *condition == Condition::Leaving {
                    node.handovers.announce_change();
                }
            }
            Change::Ended(router) => {
                node.handovers.announce_change();
                node.gossip.lost.borrow_mut().push(router.address);
                node.gossip.lost_at.set(Some(now));
            }
        }
    }
    for outgoing in effects.outgoing {
        let heartbeat = Heartbeat {
            packet: outgoing.packet,
            views: views(node),
        };
        node.send(outgoing.to, Content::Heartbeat(heartbeat));
    }
}

/// Logs all changes since the last call in one line: a fleet that starts has thousands of changes.
fn log_changes(node: &Node) {
    let updated = node.gossip.updated.take();
    let lost = node.gossip.lost.take();
    if updated == 0 && lost.is_empty() {
        return;
    }
    let named = lost.iter().take(MAX_NAMED).map(ToString::to_string);
    let line = node.journal.line("members").with("heard", updated);
    let line = line.with("lost", lost.len());
    let line = line.with("first_lost", named.collect::<Vec<_>>());
    drop(line.with("known", node.routers()));
}

/// Sends this router's views to a few others at once.
pub fn push_views(node: &Node) {
    let (peers, packet) = {
        let mut state = node.state.borrow_mut();
        let peers = state.membership.sample(FANOUT);
        if peers.is_empty() {
            return;
        }
        (peers, state.membership.gossip())
    };
    let views = views(node);
    node.send_all(&peers, Content::Heartbeat(Heartbeat { packet, views }));
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

/// Handles a heartbeat.
pub fn receive(node: &Rc<Node>, heartbeat: Heartbeat) {
    let Heartbeat { packet, views } = heartbeat;
    let sender = packet.sender.router.clone();
    if sender.address == node.settings.link {
        return;
    }
    let now = node.now();
    let effects = {
        let mut state = node.state.borrow_mut();
        state.reachability.record_packet(&sender.domain, now);
        state.membership.receive(packet, now)
    };
    apply(node, effects);
    if let Some(era) = views.era {
        // Views of a peer that knows only an earlier era are used all the same: they are older than
        // those known here, and are ordered accordingly.
        let _ = node.observe_era(era, "peer");
    }
    leaving::compare(node, sender.address, views.leaving);
    let comparison = compare(node, views, now);
    if comparison.wanted != Selection::default() {
        view::fetch(node, sender.address, comparison.wanted);
    }
    if comparison.fresher {
        push_views(node);
    }
}

/// Result of comparing a heartbeat's views with this router's.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    /// Views to be fetched from the sender.
    wanted: Selection,
    /// Whether a view that both routers have is much more recent than was known here.
    fresher: bool,
}

/// Compares a peer's views with this router's. The age of an equal view is adopted at once.
fn compare(node: &Node, views: Views, now: Duration) -> Comparison {
    let mut state = node.state.borrow_mut();
    let mut comparison = Comparison::default();
    let own = state.quarantine.digest();
    // A peer without any record will fetch them itself, but its heartbeat shows that the store has
    // none.
    let differs = views.quarantine.is_some_and(|it| it != own && it != 0);
    state.quarantine_known |= views.quarantine.is_some() && !differs;
    let quarantine = differs && node.fetches.quarantine.is_due(now);
    comparison.wanted = comparison.wanted.with(Kind::Quarantine, quarantine);
    let fresher = |at: Duration, known: Option<Duration>| {
        known.is_some_and(|known| at >= known + MIN_ANNOUNCED_GAIN)
    };
    let differs = views.evacuations != state.evacuations.digest();
    let unknown = differs && views.evacuations != 0;
    let evacuations = unknown && node.fetches.evacuations.is_due(now);
    comparison.wanted = comparison.wanted.with(Kind::Evacuations, evacuations);
    let version = state.table.as_ref().map_or(0, |it| it.version());
    let known = (1..=version).contains(&views.configuration);
    state.compared_with_peer |= known && !unknown;
    let newer = views.configuration > version;
    comparison.wanted = comparison.wanted.with(Kind::Configuration, newer);
    if version > 0 && views.configuration == version && !differs {
        let known = state.configuration_reads.at();
        let reading = views.configuration_read;
        let at = reading.and_then(|it| state.receive_configuration(it, now));
        comparison.fresher |= at.is_some_and(|at| fresher(at, known));
    }
    let Some(reading) = views.registry_read else {
        return comparison;
    };
    let Some(at) = state.registry_reads.receive(reading, now) else {
        return comparison;
    };
    let known = state.registry.read_at();
    if views.registry_digest == state.registry.digest() {
        comparison.fresher |= fresher(at, known);
        state.confirm_registry(&views, reading, at);
        return comparison;
    }
    let is_later = known.is_none_or(|known| at > known + MIN_FETCHED_GAIN);
    comparison.wanted = comparison.wanted.with(Kind::Targets, is_later);
    comparison
}
