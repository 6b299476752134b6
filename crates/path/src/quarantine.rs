//! What this router knows of contents under which targets ended: how it learns, whom it tells, and what
//! operators see and lift.

use dunlinward_dispatch::content::{ContentTag, Digest};
use dunlinward_dispatch::quarantine::{Change, Entry, Finding, SUSPECT_ENDS, Status};
use dunlinward_dispatch::target::Tag;
use tokio::sync::{Mutex, mpsc};

use crate::gossip;
use crate::node::Node;

/// Entries that the store is to keep, on their way to whoever writes them.
#[derive(Debug)]
pub(crate) struct Unwritten {
    sender: mpsc::UnboundedSender<Entry>,
    receiver: Mutex<mpsc::UnboundedReceiver<Entry>>,
}

impl Default for Unwritten {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver: Mutex::new(receiver),
        }
    }
}

/// Takes findings, this router's or a peer's.
pub(crate) fn hear(node: &Node, findings: &[Finding]) {
    for finding in findings {
        let change = node
            .state
            .borrow_mut()
            .quarantine
            .apply(*finding, node.now());
        if let Some(change) = change {
            to_be_written(node, finding.content, change);
            tell_change(node, finding.content, Some(finding.target), change);
        }
    }
}

/// A content was answered.
pub(crate) fn answered(node: &Node, content: ContentTag) {
    let now = node.now();
    let (digest, change) = {
        let mut state = node.state.borrow_mut();
        let digest = state.quarantine.content(content);
        (digest, state.quarantine.record_answer(content, now))
    };
    if let (Some(digest), Some(change)) = (digest, change) {
        to_be_written(node, digest, change);
        tell_change(node, digest, None, change);
    }
}

/// Keeps in mind that the store is to be told of a quarantine that this router began or ended.
fn to_be_written(node: &Node, content: Digest, change: Change) {
    let now = node.now();
    let state = node.state.borrow();
    let mut entries = state.quarantine.entries(now);
    let entry = entries.find(|it| it.content == content);
    let Some(entry) = entry.filter(|_| !matches!(change, Change::EndRecorded(_))) else {
        return;
    };
    if node.unwritten.sender.send(entry).is_err() {
        // Its receiver lives as long as the router.
        node.metrics.add("contents", "not_written", 1);
    }
}

fn tell_change(node: &Node, content: Digest, target: Option<Tag>, change: Change) {
    let (event, ends) = match change {
        Change::EndRecorded(ends) => ("content_charged", ends),
        Change::Quarantined(ends) => ("content_quarantined", ends),
        Change::Cleared => ("content_cleared", 0),
    };
    node.metrics.add("contents", event, 1);
    let state = node.state.borrow();
    let target = target.and_then(|it| state.registry.get(it)).cloned();
    let quarantined = state.quarantine.quarantined_count(node.now());
    drop(state);
    let line = node.journal.line(event);
    let line = line.with("content", content.to_string());
    let line = line.with("ends", ends);
    let line = line.with("target", target.map(|it| it.id.to_string()));
    drop(line.with("quarantined", quarantined));
    // A first end is the owner's alone to know.
    if !matches!(change, Change::EndRecorded(ends) if ends < SUSPECT_ENDS) {
        gossip::spread(node);
    }
}

impl Node {
    /// Takes what another router, or the store, tells of contents under which targets ended.
    pub fn take_quarantine(&self, entries: &[Entry]) {
        self.state.borrow_mut().quarantine_known = true;
        for entry in entries {
            let change = self.state.borrow_mut().quarantine.merge(entry, self.now());
            let Some(change) = change else {
                continue;
            };
            // Who tells of a quarantine has it written. This one is the sum of what both knew.
            if !entry.confirmed && matches!(change, Change::Quarantined(_)) {
                to_be_written(self, entry.content, change);
            }
            tell_change(self, entry.content, None, change);
        }
    }

    /// An operator says that a content is sound; false if nothing is held against it.
    pub(crate) fn lift(&self, content: Digest) -> bool {
        if self.standing_of(content) == Status::Free {
            return false;
        }
        let line = self.journal.line("quarantine_lifted");
        drop(line.with("content", content.to_string()));
        answered(self, content.tag());
        true
    }

    /// What is held against contents, for operators: one JSON object a line.
    pub(crate) fn quarantined(&self) -> String {
        let now = self.now();
        let state = self.state.borrow();
        let entries = state.quarantine.entries(now);
        let mut lines: Vec<_> = entries
            .filter(|it| !it.ends.is_empty())
            .map(|it| {
                let left = match state.quarantine.status(it.content, now) {
                    Status::Quarantined(left) => left.as_secs(),
                    _ => 0,
                };
                let content = it.content.to_string();
                let ends = it.ends.len();
                let line = serde_json::json!({"content": content, "ends": ends, "held_s": left});
                format!("{line}\n")
            })
            .collect();
        lines.sort();
        lines.concat()
    }

    /// Whether it is known which contents the store keeps.
    #[must_use]
    pub fn knows_quarantine(&self) -> bool {
        self.state.borrow().quarantine_known
    }

    /// The next entry that the store is to keep, or to drop if no target is charged to it.
    pub async fn next_unwritten(&self) -> Entry {
        let mut unwritten = self.unwritten.receiver.lock().await;
        match unwritten.recv().await {
            Some(entry) => entry,
            // The sender lives as long as the router.
            None => std::future::pending().await,
        }
    }

    /// What the store is to be told again, if it keeps `stored`.
    #[must_use]
    pub fn unkept_quarantine(&self, stored: &[Entry]) -> Vec<Entry> {
        let state = self.state.borrow();
        state.quarantine.missing_from(stored, self.now())
    }

    /// What may be done with a content.
    #[must_use]
    pub(crate) fn standing_of(&self, content: Digest) -> Status {
        let state = self.state.borrow();
        state.quarantine.status(content, self.now())
    }
}
