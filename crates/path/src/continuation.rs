//! Continuation of streams at the software version that began them: what this router asks and tells
//! others, and what a request may run on.
//!
//! [`dunlinward_dispatch::continuation`] says which router knows what. A request that resumes a
//! stream is bound before it is placed (`bind`); any other one is bound when the first event of
//! its answer arrives (`record_begin`), so that it may break off and be resumed here. The binding
//! is checked wherever targets are: by the choice of the cell, by the list of targets that the owner
//! must avoid, when a grant is accepted, and before the first byte is sent.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::configuration::Kind;
use dunlinward_dispatch::continuation::{
    Answer, Binding, MAX_NOTES, Note, Origin, RETENTION, Report, Stream,
};
use dunlinward_dispatch::member::Duty;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::registry::OUTAGE_GAP;
use dunlinward_dispatch::target::Target;
use dunlinward_dispatch::usage::Peer;
use tokio::sync::mpsc;

pub mod stored;

use crate::attempt::Job;
use crate::inbound;
use crate::node::Node;
use crate::reply::{Reason, Refusal};

/// Time within which a router must answer a query: some round trips between failure domains.
const ANSWER_TIME: Duration = Duration::from_millis(25);

/// Times that a router is asked, as a datagram may be lost.
const MAX_QUERIES: u32 = 2;

/// Limit of routers that are asked if the keepers don't know a stream.
const MAX_ASKED: usize = 32;

/// Age up to which streams may not have been stored when another router begins to store them: the
/// time until the end of a router is noticed.
const UNSTORED_AGE: Duration = Duration::from_secs(5);

/// `Retry-After` of a request for which some routers did not answer.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Queries that wait for answers.
#[derive(Debug, Default)]
pub struct Queries {
    next: Cell<u64>,
    waiting: RefCell<HashMap<Stream, HashMap<u64, Sender>>>,
    /// State as of which all keepers have been sent their notes.
    synced: RefCell<Option<Synced>>,
}

/// What determines which router is sent which notes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Synced {
    /// Digest of the live routers.
    routers: u64,
    /// Services with several versions.
    services: Vec<ServiceTag>,
    /// The router that stores notes.
    writer: SocketAddr,
}

type Sender = mpsc::UnboundedSender<(SocketAddr, Origin)>;

/// The stream that a request begins or resumes; none if it may not be resumed.
pub(crate) fn stream(job: &Job) -> Option<Stream> {
    let attempt = job.resumes.as_ref().unwrap_or(&job.id);
    let resumable = job.route.kind == Kind::Resumable;
    resumable.then(|| Stream::new(&job.service, job.customer.as_deref(), attempt))
}

/// Whether a request resumes a stream of which its client has events.
fn resumes(job: &Job) -> bool {
    job.resume_after.is_some() || job.resumes.is_some()
}

/// Binds a request that resumes a stream to the software version that began it.
///
/// # Errors
///
/// A refusal if no router knows that version.
pub(crate) async fn bind(node: &Rc<Node>, job: &Job) -> Result<(), Refusal> {
    let Some(stream) = stream(job).filter(|_| resumes(job)) else {
        return Ok(());
    };
    if versions(node, job).len() == 1 {
        stored::learn_versions(node).await;
    }
    let versions = versions(node, job);
    if let [software] = versions.as_slice()
        && !may_lack_versions(node)
    {
        // All targets have the same version, or can't be told apart.
        let binding = Binding::of_first_event(*software, &versions);
        job.binding.set(binding);
        return Ok(());
    }
    let (found, source) = find(node, stream).await;
    node.metrics.add("stream_origins", source, 1);
    log_origin(node, job, found, source);
    let refusal = Refusal::new(Reason::UnknownOrigin);
    match found {
        Found::Origin(Origin::Known(version)) => job.binding.set(Binding::Version(version)),
        // Without an event the answer begins anew, which needs no version.
        _ if job.resume_after.is_none() => {}
        Found::Origin(_) => return Err(refusal),
        Found::Unanswered => return Err(refusal.with_retry_after(UNANSWERED_RETRY_AFTER)),
    }
    Ok(())
}

/// Whether targets of another version may have come that this router does not know: its list is
/// outdated, and it was suspended or has lost routers that may have newer ones. While the store is
/// away for all routers, no target can come.
fn may_lack_versions(node: &Node) -> bool {
    let now = node.now();
    let read_at = node.targets_at().unwrap_or_default();
    let outdated = now.saturating_sub(read_at) > OUTAGE_GAP;
    let lost = node.time_since_loss().is_some_and(|it| it < RETENTION);
    outdated && (lost || !node.views_confirmed())
}

/// Software versions of the targets of a request's service.
fn versions(node: &Node, job: &Job) -> Vec<Option<dunlinward_dispatch::target::Version>> {
    let service = ServiceTag::new(&job.service);
    let now = node.now();
    node.state.borrow().registry.versions(service, now)
}

/// Result of a search for the version that began a stream.
#[derive(Clone, Copy, Debug)]
enum Found {
    /// What the routers know, all of which have answered unless one knows the version.
    Origin(Origin),
    /// No router that has answered knows the version, and others have not answered.
    Unanswered,
}

/// Searches for the version that began a stream: here, at its keepers, at other routers, then in
/// the store.
async fn find(node: &Rc<Node>, stream: Stream) -> (Found, &'static str) {
    let now = node.now();
    let own = node.state.borrow().streams.origin(stream, now);
    if own != Origin::Unknown {
        return (Found::Origin(own), "own");
    }
    let link = node.settings.link;
    let (keepers, others) = {
        let state = node.state.borrow();
        let keepers = state.members.keepers(stream.0);
        let keepers: Vec<_> = keepers.iter().map(|it| it.address).collect();
        let others = state.members.others().map(|it| it.address);
        let mut others: Vec<_> = others.filter(|it| !keepers.contains(it)).collect();
        others.sort_unstable();
        if others.len() > MAX_ASKED {
            let first = usize::try_from(stream.0 % others.len() as u64).unwrap_or_default();
            others.rotate_left(first);
            others.truncate(MAX_ASKED);
        }
        let keepers = keepers.into_iter().filter(|it| *it != link);
        (keepers.collect::<Vec<_>>(), others)
    };
    let mut unanswered = false;
    for (asked, source) in [(keepers, "keeper"), (others, "other")] {
        match ask(node, stream, asked).await {
            Found::Origin(Origin::Unknown) => {}
            Found::Unanswered => unanswered = true,
            found @ Found::Origin(_) => return (found, source),
        }
    }
    let read = stored::read(node, stored::READ_TIMEOUT).await;
    let stored = node.state.borrow().streams.origin(stream, node.now());
    match (stored, read && !unanswered) {
        (Origin::Unknown, true) => (Found::Origin(Origin::Unknown), "unknown"),
        (Origin::Unknown, false) => (Found::Unanswered, "unanswered"),
        (stored, _) => (Found::Origin(stored), "store"),
    }
}

/// Asks routers for the version that began a stream; returns once one knows it or all have answered.
async fn ask(node: &Rc<Node>, stream: Stream, mut asked: Vec<SocketAddr>) -> Found {
    let mut query = Query::new(node, stream);
    for _ in 0..MAX_QUERIES {
        if asked.is_empty() {
            break;
        }
        node.send_all(&asked, Content::StreamQuery(stream));
        let until = node.now() + ANSWER_TIME.max(longest_round_trip(node, &asked));
        while let Some((from, origin)) = query.receive(until).await {
            if origin != Origin::Unknown {
                return Found::Origin(origin);
            }
            asked.retain(|it| *it != from);
            if asked.is_empty() {
                break;
            }
        }
    }
    if asked.is_empty() {
        Found::Origin(Origin::Unknown)
    } else {
        Found::Unanswered
    }
}

fn longest_round_trip(node: &Node, addresses: &[SocketAddr]) -> Duration {
    let state = node.state.borrow();
    let domains = addresses.iter().filter_map(|it| state.members.domain(*it));
    let times = domains.filter_map(|it| state.round_trips.to(&it));
    times.map(|it| it.timeout).max().unwrap_or_default()
}

/// A query that waits for answers until it is dropped.
struct Query<'a> {
    node: &'a Rc<Node>,
    stream: Stream,
    number: u64,
    answers: mpsc::UnboundedReceiver<(SocketAddr, Origin)>,
}

impl<'a> Query<'a> {
    fn new(node: &'a Rc<Node>, stream: Stream) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        let number = node.queries.next.get();
        node.queries.next.set(number + 1);
        let mut waiting = node.queries.waiting.borrow_mut();
        waiting.entry(stream).or_default().insert(number, sender);
        drop(waiting);
        Self {
            node,
            stream,
            number,
            answers,
        }
    }

    async fn receive(&mut self, until: Duration) -> Option<(SocketAddr, Origin)> {
        if let Some(answer) = self.node.timeout_at(until, self.answers.recv()).await {
            return answer;
        }
        // On a late router, timers fire before the messages that came in time have been read.
        inbound::receive_batch(self.node);
        self.answers.try_recv().ok()
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        let mut waiting = self.node.queries.waiting.borrow_mut();
        if let Some(queries) = waiting.get_mut(&self.stream) {
            queries.remove(&self.number);
            if queries.is_empty() {
                waiting.remove(&self.stream);
            }
        }
    }
}

/// Records that the first event of a request's answer has come from `target`, and tells the keepers
/// of its stream. To be called before the event is forwarded.
pub(crate) fn record_begin(node: &Node, job: &Job, target: &Target) {
    let Some(stream) = stream(job) else {
        return;
    };
    let software = {
        let state = node.state.borrow();
        let known = state.registry.get(target.tag());
        known.map_or_else(|| target.software(), |it| it.software())
    };
    let versions = versions(node, job);
    let binding = match job.binding.get() {
        Binding::Free => Binding::of_first_event(software, &versions),
        bound => bound,
    };
    job.binding.set(binding);
    let Binding::Version(version) = binding else {
        return;
    };
    let now = node.now();
    let begun = Note {
        stream,
        service: ServiceTag::new(&job.service),
        version,
        age: Duration::ZERO,
    };
    node.state.borrow_mut().streams.record_own(begun, now);
    if versions.len() <= 1 {
        return;
    }
    let keepers = keepers(node, stream);
    let addresses: Vec<_> = keepers.iter().map(|(_, address)| *address).collect();
    node.send_all(&addresses, Content::StreamNotes(Report::new(vec![begun])));
    node.metrics.add("stream_notes", "sent", 1);
    node.stream_log.add(begun, now);
    let keepers = keepers.into_iter().map(|(peer, _)| peer).collect();
    node.state.borrow_mut().streams.record_sent(stream, keepers);
}

/// Keepers of a stream other than this router.
fn keepers(node: &Node, stream: Stream) -> Vec<(Peer, SocketAddr)> {
    let state = node.state.borrow();
    let keepers = state.members.keepers(stream.0).into_iter();
    let keepers = keepers.filter(|it| it.peer != node.peer);
    keepers.map(|it| (it.peer, it.address)).collect()
}

/// Sends the notes of this router's streams to routers that have become their keepers, and, once a
/// service has a second version, those of streams that began before.
pub(crate) fn sync(node: &Node) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.streams.prune(now);
    let services = state.registry.mixed_services(now);
    let current = Synced {
        routers: state.members.keepers_digest(),
        writer: state.members.first(Duty::Streams),
        services,
    };
    let before = node.queries.synced.replace(Some(current.clone()));
    if before.as_ref() == Some(&current) || current.services.is_empty() {
        return;
    }
    let services = &current.services;
    if before.is_none_or(|it| it.writer != current.writer || it.services != *services) {
        // What the earlier writer was sent last may not have been stored.
        for begun in state.streams.own_notes(services, UNSTORED_AGE, now) {
            node.stream_log.add(begun, now.saturating_sub(begun.age));
        }
    }
    let members = &state.members;
    let keepers = |stream: Stream| {
        let keepers = members.keepers(stream.0).into_iter();
        let keepers = keepers.filter(|it| it.peer != node.peer);
        keepers.map(|it| it.peer).collect()
    };
    let unsent = state.streams.take_unsent(services, now, keepers);
    let mut sent = 0;
    for (peer, notes) in unsent {
        let Some(address) = members.address(peer) else {
            continue;
        };
        for notes in notes.chunks(MAX_NOTES) {
            sent += notes.len() as u64;
            node.send(address, Content::StreamNotes(Report::new(notes.to_vec())));
        }
    }
    if sent > 0 {
        node.metrics.add("stream_notes", "resent", sent);
        let line = node.journal.line("stream_notes_resent");
        let line = line.with("notes", sent);
        let line = line.with("services", services.len());
        drop(line.with("streams", state.streams.len()));
    }
}

/// Handles notes of another router.
pub(crate) fn receive_notes(node: &Node, report: &Report) {
    record_notes(node, report.notes());
    let count = report.notes().len() as u64;
    node.metrics.add("stream_notes", "received", count);
}

fn record_notes(node: &Node, notes: &[Note]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for note in notes {
        state.streams.record_note(*note, now);
        let at = now.saturating_sub(note.age);
        state
            .registry
            .record_version(note.service, note.version, at);
    }
}

/// Answers another router's query.
pub(crate) fn receive_query(node: &Node, from: SocketAddr, stream: Stream) {
    let now = node.now();
    let origin = node.state.borrow().streams.origin(stream, now);
    node.send(from, Content::StreamAnswer(Answer::new(stream, origin)));
}

/// Delivers an answer to the queries that wait for it.
pub(crate) fn receive_answer(node: &Node, from: SocketAddr, answer: Answer) {
    let waiting = node.queries.waiting.borrow();
    for sender in waiting
        .get(&answer.stream)
        .into_iter()
        .flat_map(HashMap::values)
    {
        // A query that has ended needs no answer.
        sender.send((from, answer.origin)).ok();
    }
}

fn log_origin(node: &Node, job: &Job, found: Found, source: &str) {
    let line = node
        .journal
        .line("stream_resumed")
        .with("id", job.id.as_ref());
    let line = line.with("resumes", job.resumes.as_deref());
    let line = line.with("resume_after", job.resume_after);
    let line = line.with("source", source);
    drop(line.with("origin", format!("{found:?}")));
}
