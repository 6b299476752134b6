//! What targets say of their own leaving: how this router learns, and whom it tells.
//!
//! The first router that hears it stops at once, and tells the owner of the target's cell in the same
//! moment, and a few others, who pass it on. What got lost on its way is made good by greetings, whose sum
//! of such words differs then: whoever sees another sum tells its own words. So two routers agree after
//! one message each way, and one that has started or woken knows within its first greetings.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::leaving::{Notice, Report};
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::registry::Change;
use dunlinward_dispatch::target::Target;

use crate::gossip;
use crate::node::Node;

/// Source of a word that a target said to this router.
const TARGET: &str = "target";

/// Source of a word that another router told.
const PEER: &str = "peer";

/// A target says in an answer that it leaves.
pub(crate) fn said(node: &Node, target: &Target) {
    let now = node.now();
    let (new, change) = {
        let mut state = node.state.borrow_mut();
        state.registry.record_leaving(target.tag(), now)
    };
    if !new {
        return;
    }
    carry_out(node, change.as_slice(), TARGET);
    let owner = {
        let state = node.state.borrow();
        let cell = state.registry.cell_of(target);
        state.members.owner(cell, now)
    };
    let line = node.journal.line("leaving_told");
    let line = line.with("target", target.id.as_ref());
    drop(line.with("owner", owner.to_string()));
    let word = [Notice {
        tag: target.tag(),
        age: Duration::ZERO,
    }];
    if owner != node.settings.link {
        node.send(owner, Content::Leaving(Report::new(word.to_vec())));
    }
    spread(node, &word);
}

/// Another router tells of targets that have said so.
pub(crate) fn hear(node: &Node, words: &[Notice]) {
    let now = node.now();
    let (new, changes) = node.state.borrow_mut().registry.merge_leaving(words, now);
    carry_out(node, &changes, PEER);
    spread(node, &new);
}

/// Tells a few others at once what is new here; each that did not know does the same.
fn spread(node: &Node, new: &[Notice]) {
    if new.is_empty() {
        return;
    }
    let some = node.state.borrow_mut().membership.sample(gossip::TOLD);
    node.send_all(&some, Content::Leaving(Report::new(new.to_vec())));
}

/// A greeting names a sum of such words: if it is another one, its sender learns what is known here.
pub(crate) fn compare(node: &Node, sender: SocketAddr, digest: u64) {
    let own = node.state.borrow().registry.leaving().digest();
    if own != digest && own != 0 {
        let words = node.state.borrow().registry.leaving().notices(node.now());
        node.send(sender, Content::Leaving(Report::new(words)));
    }
}

fn carry_out(node: &Node, changes: &[Change], source: &str) {
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
