//! Records of contents under which targets terminated: how this router learns about and shares
//! them, and the operators' interface to list and lift quarantines.

use std::net::SocketAddr;
use std::rc::Rc;

use dunlinward_dispatch::cache::PartTag;
use dunlinward_dispatch::content::{ContentTag, Digest};
use dunlinward_dispatch::harmful_part::{Evidence, Report, SETTLE};
use dunlinward_dispatch::member::Duty;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::quarantine::{Change, Entry, Finding, OPEN_TIMEOUT, SUSPECT_ENDS, Status};
use dunlinward_dispatch::target::Tag;
use tokio::sync::{Mutex, mpsc};

use crate::attempt::Job;
use crate::gossip;
use crate::node::Node;
use crate::reply::{Reason, Refusal};

/// Queue of entries to be written to the store.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    sender: mpsc::UnboundedSender<Entry>,
    receiver: Mutex<mpsc::UnboundedReceiver<Entry>>,
}

impl Default for WriteQueue {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver: Mutex::new(receiver),
        }
    }
}

/// Refusal of a request whose content, or a part of whose prompt, has terminated targets or may have,
/// and would terminate the next one; with the time after which it may be tried again.
pub(crate) fn refusal(node: &Node, job: &Job) -> Option<Refusal> {
    let state = node.state.borrow();
    let now = node.now();
    if let Some(prompt) = job.prompt.as_deref()
        && let Some((_, left)) = state.quarantine.part_status(prompt, now)
    {
        return Some(Refusal::new(Reason::HarmfulPart).with_retry_after(left));
    }
    match state.quarantine.status(job.content, now) {
        Status::Free | Status::Suspect => None,
        Status::Held => Some(Refusal::new(Reason::Suspected).with_retry_after(OPEN_TIMEOUT)),
        Status::Quarantined(left) => Some(Refusal::new(Reason::Quarantined).with_retry_after(left)),
    }
}

/// Sends the parts of this router's runs at a target to the router that collects them, if the
/// target has terminated.
pub(crate) fn report_parts(node: &Node, target: Tag, terminated: bool) {
    let now = node.now();
    let (reports, collector) = {
        let mut state = node.state.borrow_mut();
        let reports = state.part_runs.resolve(target, terminated, now);
        (reports, state.members.first(Duty::Terminations))
    };
    for report in reports {
        node.metrics.add("terminations", "reported", 1);
        if collector == node.settings.link {
            receive_termination(node, &report);
        } else {
            node.send(collector, Content::Termination(report));
        }
    }
}

/// Handles a report of this router or a peer on a target that terminated.
pub(crate) fn receive_termination(node: &Node, report: &Report) {
    node.metrics.add("terminations", "received", 1);
    let now = node.now();
    node.state.borrow_mut().part_cases.record(report, now);
    node.terminations.notify_one();
}

/// Evaluates reports of targets that terminated until the router terminates.
pub async fn run(node: Rc<Node>) {
    loop {
        node.terminations.notified().await;
        node.sleep_until(node.now() + SETTLE).await;
        evaluate_parts(&node);
    }
}

/// Handles another router's question when this one last answered a part.
pub(crate) fn receive_query(node: &Node, from: SocketAddr, part: PartTag) {
    let evidence = node.state.borrow().part_runs.evidence(part, node.now());
    if evidence.is_answered() {
        node.send(from, Content::PartAnswer(evidence));
    }
}

/// Handles an answer to this router's question.
pub(crate) fn receive_answer(node: &Node, evidence: Evidence) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    state.part_cases.record_answer(evidence, now);
}

/// Asks all routers, this one included, when a part was last answered.
fn ask_for_answers(node: &Node, part: PartTag) {
    node.metrics.add("terminations", "asked", 1);
    let (own, others): (_, Vec<_>) = {
        let state = node.state.borrow();
        let others = state.members.others().map(|it| it.address).collect();
        (state.part_runs.evidence(part, node.now()), others)
    };
    receive_answer(node, own);
    node.send_all(&others, Content::PartQuery(part));
    node.terminations.notify_one();
}

/// Quarantines the parts that are harmful by what was reported so far.
fn evaluate_parts(node: &Node) {
    let now = node.now();
    let verdict = node.state.borrow_mut().part_cases.evaluate(now);
    if let Some(part) = verdict.query {
        ask_for_answers(node, part);
    }
    for harm in verdict.harms {
        let mut state = node.state.borrow_mut();
        let change = state.quarantine.quarantine_part(&harm, now);
        drop(state);
        if let Some(change) = change {
            let content = Digest::of_part(harm.part);
            queue_write(node, content, change);
            report_change(node, content, harm.ends.last().copied(), change);
        }
    }
}

/// Records an answer to a prompt, which clears its parts: they do not terminate their targets.
pub(crate) fn record_answered_parts(node: &Node, prompt: &Prompt) {
    let parts: Vec<_> = {
        let state = node.state.borrow();
        state.quarantine.recorded_parts(prompt).collect()
    };
    for part in parts {
        record_answer(node, Digest::of_part(part).tag());
    }
}

/// Applies findings of this router or a peer.
pub(crate) fn receive_findings(node: &Node, findings: &[Finding]) {
    for finding in findings {
        let change = node
            .state
            .borrow_mut()
            .quarantine
            .apply(*finding, node.now());
        if let Some(change) = change {
            queue_write(node, finding.content, change);
            report_change(node, finding.content, Some(finding.target), change);
        }
    }
}

/// Records that a content was answered.
pub(crate) fn record_answer(node: &Node, content: ContentTag) {
    let now = node.now();
    let (digest, change) = {
        let mut state = node.state.borrow_mut();
        let digest = state.quarantine.content(content);
        (digest, state.quarantine.record_answer(content, now))
    };
    if let (Some(digest), Some(change)) = (digest, change) {
        queue_write(node, digest, change);
        report_change(node, digest, None, change);
    }
}

/// Queues the entry of a quarantine that this router started or ended for writing to the store.
fn queue_write(node: &Node, content: Digest, change: Change) {
    let now = node.now();
    let state = node.state.borrow();
    let mut entries = state.quarantine.entries(now);
    let entry = entries.find(|it| it.content == content);
    let Some(entry) = entry.filter(|_| !matches!(change, Change::EndRecorded(_))) else {
        return;
    };
    if node.quarantine_writes.sender.send(entry).is_err() {
        // The receiver lives as long as the router.
        node.metrics.add("contents", "not_written", 1);
    }
}

fn report_change(node: &Node, content: Digest, target: Option<Tag>, change: Change) {
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
    let line = line.with("part", content.part().map(|it| format!("{it:08x}")));
    let line = line.with("ends", ends);
    let line = line.with("target", target.map(|it| it.id.to_string()));
    drop(line.with("quarantined", quarantined));
    // A first termination is not shared: only the owner of the target's cell needs it.
    if !matches!(change, Change::EndRecorded(ends) if ends < SUSPECT_ENDS) {
        gossip::push_views(node);
    }
}

impl Node {
    /// Merges the entries of another router or the store.
    pub fn merge_quarantine(&self, entries: &[Entry]) {
        self.state.borrow_mut().quarantine_known = true;
        for entry in entries {
            let change = self.state.borrow_mut().quarantine.merge(entry, self.now());
            let Some(change) = change else {
                continue;
            };
            // Whoever reports a quarantine has it written. This one results only from merging the
            // terminations that both sides knew.
            if !entry.confirmed && matches!(change, Change::Quarantined(_)) {
                queue_write(self, entry.content, change);
            }
            report_change(self, entry.content, None, change);
        }
    }

    /// Lifts a quarantine on behalf of an operator; returns `false` if nothing is recorded against
    /// the content.
    pub(crate) fn lift_quarantine(&self, content: Digest) -> bool {
        if self.content_status(content) == Status::Free {
            return false;
        }
        let line = self.journal.line("quarantine_lifted");
        drop(line.with("content", content.to_string()));
        record_answer(self, content.tag());
        true
    }

    /// Contents with recorded terminations, for operators: one JSON object per line.
    pub(crate) fn quarantine_listing(&self) -> String {
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
                let mut line =
                    serde_json::json!({"content": content, "ends": ends, "held_s": left});
                if let Some(part) = it.content.part() {
                    line["part"] = format!("{part:08x}").into();
                }
                format!("{line}\n")
            })
            .collect();
        lines.sort();
        lines.concat()
    }

    /// Whether the records in the store are known.
    #[must_use]
    pub fn knows_quarantine(&self) -> bool {
        self.state.borrow().quarantine_known
    }

    /// The next entry to be written to the store, or to be deleted if it has no terminations.
    pub async fn next_quarantine_write(&self) -> Entry {
        let mut quarantine_writes = self.quarantine_writes.receiver.lock().await;
        match quarantine_writes.recv().await {
            Some(entry) => entry,
            // The sender lives as long as the router.
            None => std::future::pending().await,
        }
    }

    /// Entries that are missing from the store, which holds `stored`.
    #[must_use]
    pub fn missing_quarantine(&self, stored: &[Entry]) -> Vec<Entry> {
        let state = self.state.borrow();
        state.quarantine.missing_from(stored, self.now())
    }

    /// Restrictions on sending a content.
    #[must_use]
    pub(crate) fn content_status(&self, content: Digest) -> Status {
        let state = self.state.borrow();
        state.quarantine.status(content, self.now())
    }
}
