//! What became of a target under which an answer broke off.
//!
//! A connection that breaks off or falls silent may have been cut by the network, by a target
//! that fails one request, or by its end. After a break a new connection tells: what is refused has
//! ended, what is opened runs. After a silence, and where neither comes in time, the next request
//! tells, or the platform's list, which targets are gone.
//! What is found goes to the owner of the target's cell, which hears the same of all routers.

use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::content::Digest;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::interruptions::Report;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::quarantine::{Finding, Resolution};
use dunlinward_dispatch::target::{State as Condition, Target};

use crate::node::Node;
use crate::pool::{self, Error};
use crate::quarantine;

/// Time for a new connection to a target whose answer broke off: a target that runs accepts one
/// within some milliseconds, and behind a lost packet within a second.
const PROBE: Duration = Duration::from_millis(1_200);

/// How a run ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Its connection was closed.
    Closed,
    /// Nothing came for too long.
    Silent,
}

/// Notes that a run of `content` at a target did not end with an answer.
pub(crate) fn note(node: &Rc<Node>, target: &Arc<Target>, cell: Cell, content: Digest, how: Break) {
    let now = node.now();
    let tag = target.tag();
    let (asked, telling) = {
        let mut state = node.state.borrow_mut();
        // A target that was to end, or is not listed any more, ends for no fault of its runs.
        let known = state.registry.get(tag);
        if known.is_none_or(|it| it.state != Condition::Ready) {
            return;
        }
        state.answered.forget(content);
        let asked = state.interruptions.has_open(tag);
        (asked, state.interruptions.record(content, tag, cell, now))
    };
    tell(node, &[telling]);
    if !asked && how == Break::Closed {
        tokio::task::spawn_local(probe(node.clone(), target.clone()));
    }
}

async fn probe(node: Rc<Node>, target: Arc<Target>) {
    let opened = pool::open(target.address, PROBE).await;
    node.metrics.add("connections", &target.service, 1);
    match opened {
        Ok(connection) => {
            reached(&node, &target);
            let now = node.now();
            node.pool.put(target.tag(), connection, pool::UNNAMED, now);
        }
        Err(error) => {
            node.note(&target, Outcome::Unreachable);
            unreachable(&node, &target, &error);
        }
    }
}

/// A new connection to a target was opened.
pub(crate) fn reached(node: &Node, target: &Target) {
    settle(node, target, Resolution::Alive);
}

/// No connection to a target could be had. If it was refused, nobody listens there any more.
pub(crate) fn unreachable(node: &Node, target: &Target, error: &Error) {
    let refused = matches!(error, Error::Connect { source, .. }
        if source.kind() == ErrorKind::ConnectionRefused);
    if refused {
        settle(node, target, Resolution::Ended);
    }
}

/// The platform lists a target no more.
pub(crate) fn ended(node: &Node, target: &Target) {
    // One that had said that it leaves has not ended under its runs.
    let fate = if target.state == Condition::Leaving {
        Resolution::Alive
    } else {
        Resolution::Ended
    };
    settle(node, target, fate);
}

fn settle(node: &Node, target: &Target, fate: Resolution) {
    let settled = node
        .state
        .borrow_mut()
        .interruptions
        .resolve(target.tag(), fate);
    if settled.is_empty() {
        return;
    }
    if fate == Resolution::Ended {
        node.metrics.add("targets_down", &target.service, 1);
        let line = node.journal.line("target_down");
        let line = line.with("target", target.id.as_ref());
        drop(line.with("runs", settled.len()));
    }
    tell(node, &settled);
}

/// Takes over what this router has found, and tells whoever owns the target's cell.
fn tell(node: &Node, tellings: &[Report]) {
    let Some(first) = tellings.first() else {
        return;
    };
    let findings: Vec<_> = tellings.iter().map(|it| it.finding).collect();
    quarantine::hear(node, &findings);
    send(node, first.cell, findings);
}

fn send(node: &Node, cell: Cell, findings: Vec<Finding>) {
    let owner = node.state.borrow().members.owner(cell, node.now());
    if owner != node.settings.link {
        node.send(owner, Content::Findings(findings));
    }
}

/// Tells once more what may have been lost on its way.
pub(crate) fn tell_again(node: &Node) {
    let again = node
        .state
        .borrow_mut()
        .interruptions
        .next_repeats(node.now());
    for cell in again.chunk_by(|one, next| one.cell == next.cell) {
        let findings = cell.iter().map(|it| it.finding);
        send(node, cell[0].cell, findings.collect());
    }
}
