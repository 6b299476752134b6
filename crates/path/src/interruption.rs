//! Detection of whether a target has terminated after an answer broke off.
//!
//! A connection that is closed or silent may have been interrupted by the network, by a target that
//! fails a single request, or by the termination of the target. After a closed connection a new one
//! is opened: if it is refused, the target has terminated; if it is accepted, the target is alive.
//! After a silence, and if the new connection is neither accepted nor refused in time, the next
//! connection to the target or its removal from the platform's list resolves the state. Findings
//! are sent to the owner of the target's cell, which receives them from all routers.

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

/// Connect timeout of a probe. A live target accepts a connection within some milliseconds, and
/// within a second after a lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How an answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection was closed.
    Closed,
    /// No data was received in time.
    Silent,
}

/// Records that a run of `content` at a target ended without a complete answer.
pub(crate) fn record(
    node: &Rc<Node>,
    target: &Arc<Target>,
    cell: Cell,
    content: Digest,
    how: Cause,
) {
    let now = node.now();
    let tag = target.tag();
    let (probing, report) = {
        let mut state = node.state.borrow_mut();
        // A target that is leaving or is no longer listed does not terminate because of its runs.
        let known = state.registry.get(tag);
        if known.is_none_or(|it| it.state != Condition::Ready) {
            return;
        }
        state.answered.forget(content);
        let probing = state.interruptions.has_open(tag);
        (probing, state.interruptions.record(content, tag, cell, now))
    };
    report_findings(node, &[report]);
    if !probing && how == Cause::Closed {
        let (node, target) = (node.clone(), target.clone());
        tokio::task::spawn_local(async move {
            probe(&node, &target).await;
        });
    }
}

/// Opens a connection to a target and keeps it for later requests; returns whether it was accepted.
pub(crate) async fn probe(node: &Node, target: &Target) -> bool {
    let opened = node.pool.open(target.address, PROBE_TIMEOUT).await;
    node.metrics.add("connections", &target.service, 1);
    match opened {
        Ok(connection) => {
            record_connection(node, target);
            let now = node.now();
            node.pool
                .put(target.tag(), connection, pool::DEFAULT_KEEP_ALIVE, now);
            true
        }
        Err(error) => {
            node.record_outcome(target, Outcome::Unreachable);
            record_connect_error(node, target, &error);
            false
        }
    }
}

/// Resolves open runs at a target to which a new connection was opened.
pub(crate) fn record_connection(node: &Node, target: &Target) {
    resolve(node, target, Resolution::Alive);
}

/// Resolves open runs at a target to which no connection could be opened, if it was refused: then
/// no process listens there any more.
pub(crate) fn record_connect_error(node: &Node, target: &Target, error: &Error) {
    let refused = matches!(error, Error::Connect { source, .. }
        if source.kind() == ErrorKind::ConnectionRefused);
    if refused {
        resolve(node, target, Resolution::Ended);
    }
}

/// Resolves open runs at a target that the platform no longer lists.
pub(crate) fn record_removal(node: &Node, target: &Target) {
    // A target that had announced that it is leaving was not terminated by its runs.
    let resolution = if target.state == Condition::Leaving {
        Resolution::Alive
    } else {
        Resolution::Ended
    };
    resolve(node, target, resolution);
}

fn resolve(node: &Node, target: &Target, resolution: Resolution) {
    let resolved = node
        .state
        .borrow_mut()
        .interruptions
        .resolve(target.tag(), resolution);
    if resolved.is_empty() {
        return;
    }
    quarantine::report_parts(node, target.tag(), resolution == Resolution::Ended);
    if resolution == Resolution::Ended {
        node.metrics.add("targets_down", &target.service, 1);
        let line = node.journal.line("target_down");
        let line = line.with("target", target.id.as_ref());
        drop(line.with("runs", resolved.len()));
    }
    report_findings(node, &resolved);
}

/// Applies findings of this router and sends them to the owner of the target's cell.
fn report_findings(node: &Node, reports: &[Report]) {
    let Some(first) = reports.first() else {
        return;
    };
    let findings: Vec<_> = reports.iter().map(|it| it.finding).collect();
    quarantine::receive_findings(node, &findings);
    send(node, first.cell, findings);
}

fn send(node: &Node, cell: Cell, findings: Vec<Finding>) {
    let owner = node.state.borrow().members.owner(cell, node.now());
    if owner != node.settings.link {
        node.send(owner, Content::Findings(findings));
    }
}

/// Sends again findings whose messages may have been lost.
pub(crate) fn resend_findings(node: &Node) {
    let repeats = node
        .state
        .borrow_mut()
        .interruptions
        .next_repeats(node.now());
    for cell in repeats.chunk_by(|one, next| one.cell == next.cell) {
        let findings = cell.iter().map(|it| it.finding);
        send(node, cell[0].cell, findings.collect());
    }
}
