//! Notes in a log of the platform's store, which outlives all routers.
//!
//! Ledgers are lost when all routers are killed at once. The notes of streams of
//! services with several versions are therefore also appended to a log, by one router for all: the
//! others send it theirs in batches, so the number of calls does not depend on the size of the
//! fleet. No event waits for that. The log is read for a stream that no router has recorded, and by
//! a router that has just started and may have missed that a version has ended.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::continuation::{MAX_NOTES, MAX_RESENT_AGE, Note, RETENTION, Report};
use dunlinward_dispatch::member::Duty;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::version_record::Record;
use tokio::sync::{Notify, watch};

use crate::node::Node;

/// Time for which notes are gathered before they are sent to the router that appends them, and by
/// that router before it appends them.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a request that only the log can answer waits for it to be read.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a request waits for the log to be read if one version is known.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Limit of notes that wait to be appended; the oldest are dropped.
const MAX_QUEUED: usize = 1 << 14;

/// What was read of the store.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Notes of the log of streams.
    pub notes: Vec<Note>,
    /// Records of the versions of services.
    pub versions: Vec<Record>,
}

/// Notes on their way to the log, and reads of it.
#[derive(Debug)]
pub struct Log {
    /// Notes of this router, each with the time of its stream's first event.
    gathered: RefCell<Vec<(Note, Duration)>>,
    gathered_some: Notify,
    /// Notes of all routers that this one appends.
    queued: RefCell<Vec<(Note, Duration)>>,
    queued_some: Notify,
    /// Number of the last read that was requested.
    requested: Cell<u64>,
    request: Notify,
    /// Number of the last read that has ended, and whether it succeeded.
    ended: watch::Sender<(u64, bool)>,
    /// Whether the log was read since the start.
    read_once: Cell<bool>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            gathered: RefCell::default(),
            gathered_some: Notify::new(),
            queued: RefCell::default(),
            queued_some: Notify::new(),
            requested: Cell::default(),
            request: Notify::new(),
            ended: watch::Sender::new((0, false)),
            read_once: Cell::default(),
        }
    }
}

impl Log {
    /// Adds the note of a stream that this router has begun at `at`.
    pub(super) fn add(&self, begun: Note, at: Duration) {
        self.gathered.borrow_mut().push((begun, at));
        self.gathered_some.notify_one();
    }

    fn queue(&self, notes: impl Iterator<Item = (Note, Duration)>) {
        let mut queued = self.queued.borrow_mut();
        queued.extend(notes);
        let excess = queued.len().saturating_sub(MAX_QUEUED);
        queued.drain(..excess);
        self.queued_some.notify_one();
    }
}

/// Notes with their current ages.
fn aged(notes: Vec<(Note, Duration)>, now: Duration) -> Vec<Note> {
    let notes = notes.into_iter().map(|(note, at)| Note {
        age: now.saturating_sub(at),
        ..note
    });
    notes.collect()
}

/// Sends this router's notes to the router that appends them, for as long as it runs.
pub async fn run(node: Rc<Node>) {
    loop {
        node.stream_log.gathered_some.notified().await;
        tokio::time::sleep(BATCH_INTERVAL).await;
        let gathered = node.stream_log.gathered.take();
        let writer = node.state.borrow().members.first(Duty::Streams);
        if writer == node.settings.link {
            node.stream_log.queue(gathered.into_iter());
            continue;
        }
        let notes = aged(gathered, node.now());
        for notes in notes.chunks(MAX_NOTES) {
            node.send(writer, Content::StreamRecords(Report::new(notes.to_vec())));
        }
    }
}

/// Handles notes that another router sends to be appended.
pub(crate) fn receive(node: &Node, report: &Report) {
    let now = node.now();
    let notes = report.notes().iter();
    let notes = notes.map(|it| (*it, now.saturating_sub(it.age)));
    node.stream_log.queue(notes);
}

/// Reads the log; whether that succeeded in time.
pub(super) async fn read(node: &Rc<Node>, timeout: Duration) -> bool {
    let log = &node.stream_log;
    let number = log.requested.get() + 1;
    log.requested.set(number);
    log.request.notify_one();
    let mut ended = log.ended.subscribe();
    let until = node.now() + timeout;
    let waiting = ended.wait_for(|(ended, _)| *ended >= number);
    match node.timeout_at(until, waiting).await {
        Some(Ok(ended)) => ended.1,
        Some(Err(_)) | None => false,
    }
}

/// Whether a service of one known version has had no other recently. After its
/// start the router may have missed that a version has ended: if all routers were killed, only the
/// store has a record of that. Without such a record nothing is proven, as it may have been lost or
/// written by an earlier release.
pub(super) async fn prove_single_version(node: &Rc<Node>, service: ServiceTag) -> bool {
    if node.now() >= RETENTION {
        return true;
    }
    if !node.stream_log.read_once.get() || !node.version_records.names(service) {
        read(node, CHECK_TIMEOUT).await;
    }
    node.stream_log.read_once.get() && node.version_records.names(service)
}

impl Node {
    /// The next notes to append to the log of streams, gathered for a short time.
    pub async fn next_stream_notes(&self) -> Vec<Note> {
        let log = &self.stream_log;
        loop {
            log.queued_some.notified().await;
            tokio::time::sleep(BATCH_INTERVAL).await;
            let queued = log.queued.take();
            if !queued.is_empty() {
                return aged(queued, self.now());
            }
        }
    }

    /// Queues notes again that could not be appended, unless no client resumes their streams any
    /// more.
    pub fn requeue_stream_notes(&self, notes: &[Note]) {
        let now = self.now();
        let notes = notes.iter().filter(|it| it.age <= MAX_RESENT_AGE);
        let notes = notes.map(|it| (*it, now.saturating_sub(it.age)));
        self.stream_log.queue(notes);
    }

    /// Waits until the log of streams is to be read; the number of the read.
    pub async fn next_stream_read(&self) -> u64 {
        let log = &self.stream_log;
        while log.requested.get() <= log.ended.borrow().0 {
            log.request.notified().await;
        }
        log.requested.get()
    }

    /// Records the result of a read of the log of streams and of the versions of services; `None`
    /// if it failed.
    pub fn end_stream_read(&self, number: u64, stored: Option<&Stored>) {
        if let Some(Stored { notes, versions }) = stored {
            super::record_notes(self, notes);
            self.record_versions(versions);
            self.stream_log.read_once.set(true);
        }
        let result = if stored.is_some() { "read" } else { "failed" };
        self.metrics.add("stream_log", result, 1);
        let line = self.journal.line("stream_log_read");
        let line = line.with("notes", stored.map(|it| it.notes.len()));
        drop(line.with("versions", stored.map(|it| it.versions.len())));
        self.stream_log
            .ended
            .send_replace((number, stored.is_some()));
    }
}
