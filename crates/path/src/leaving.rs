//! Targets' announcements that they are leaving: how this router learns about them, and whom it
//! notifies.
//!
//! The first router to which a target announces that it is leaving stops sending it requests at
//! once. At the same time it notifies the owner of the target's cell and a few other routers, which
//! pass the notice on. Lost messages are made up for by heartbeats, which carry a digest of the
//! known announcements: a router that receives another digest than its own sends its announcements
//! to the sender. So two routers agree after one message in each direction, and a router that has
//! started, or resumed from a suspension, learns the announcements from its first heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::leaving::{Notice, Report};
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::registry::Change;
use dunlinward_dispatch::target::Target;

use crate::gossip;
use crate::node::Node;

/// Source of an announcement received from the target.
const TARGET: &str = "target";

/// Source of an announcement received from another router.
const PEER: &str = "peer";

/// Handles a target's announcement, in an answer, that it is leaving.
pub(crate) fn record_announcement(node: &Node, target: &Target) {
    let now = node.now();
    let (new, change) = {
        let mut state = node.state.borrow_mut();
        state.registry.record_leaving(target.tag(), now)
    };
    if !new {
        return;
    }
    apply(node, change.as_slice(), TARGET);
    let owner = {
        let state = node.state.borrow();
        let cell = state.registry.cell_of(target);
        state.members.owner(cell, now)
    };
    let line = node.journal.line("leaving_told");
    let line = line.with("target", target.id.as_ref());
    drop(line.with("owner", owner.to_string()));
    let notice = [Notice {
        tag: target.tag(),
        age: Duration::ZERO,
    }];
    if owner != node.settings.link {
        node.send(owner, Content::Leaving(Report::new(notice.to_vec())));
    }
    push(node, &notice);
}

/// Handles announcements received from another router.
pub(crate) fn receive(node: &Node, notices: &[Notice]) {
    let now = node.now();
    let (new, changes) = node.state.borrow_mut().registry.merge_leaving(notices, now);
    apply(node, &changes, PEER);
    push(node, &new);
}

/// Sends new announcements to a few others at once; each that didn't know them does the same.
fn push(node: &Node, new: &[Notice]) {
    if new.is_empty() {
        return;
    }
    let peers = node.state.borrow_mut().membership.sample(gossip::FANOUT);
    node.send_all(&peers, Content::Leaving(Report::new(new.to_vec())));
}

/// Compares the digest in a heartbeat with this router's; if they differ, sends the announcements
/// known here, if any, to the sender.
pub(crate) fn compare(node: &Node, sender: SocketAddr, digest: u64) {
    let own = node.state.borrow().registry.leaving().digest();
    if own != digest && own != 0 {
        let notices = node.state.borrow().registry.leaving().notices(node.now());
        node.send(sender, Content::Leaving(Report::new(notices)));
    }
}

fn apply(node: &Node, changes: &[Change], source: &str) {
    let now = node.now();
    for change in changes {
        node.apply_change(change, source, now);
        if let Change::Leaving(target) = change {
            node.metrics.add("targets_leaving", source, 1);
            node.pool.close(target.tag());
        }
    }
    if !changes.is_empty() {
        node.notify_capacity();
    }
}
