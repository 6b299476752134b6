//! Continuation of streams at the software version that began them: which targets a request may run
//! on, and the notes that routers send each other.
//!
//! [`dunlinward_dispatch::continuation`] determines which routers have the version of a stream. A
//! request that resumes a stream is bound before it is placed (`bind`); any other one is bound when
//! the first event of its answer arrives (`record_begin`), so that it may break off and be resumed
//! here. The binding is checked wherever targets are: by the choice of the cell, by the list of
//! targets that the owner must avoid, when a grant is accepted, and before the first byte is sent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::configuration::Kind;
use dunlinward_dispatch::continuation::{Binding, MAX_NOTES, Note, Origin, Report, Stream};
use dunlinward_dispatch::member::Duty;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::registry::OUTAGE_GAP;
use dunlinward_dispatch::target::{Target, Version};
use dunlinward_dispatch::usage::Peer;

pub(crate) mod recorded;
pub(crate) mod search;
pub mod stored;

use crate::attempt::Job;
use crate::journal::millis;
use crate::node::Node;
use crate::reply::{Reason, Refusal};
use search::{Found, Source, Witness};

/// Age up to which streams may not have been stored when another router begins to store them: the
/// time until the end of a router is noticed.
const UNSTORED_AGE: Duration = Duration::from_secs(5);

/// `Retry-After` of a request for which some routers did not answer.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// State as of which all keepers have been sent their notes.
#[derive(Debug, Default)]
pub struct Synced(RefCell<Option<Basis>>);

/// What determines which router is sent which notes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Basis {
    /// Digest of the live routers.
    routers: u64,
    /// Services with several versions.
    services: Vec<ServiceTag>,
    /// The router that stores notes.
    writer: SocketAddr,
}

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
/// A refusal if that version is not found.
pub(crate) async fn bind(node: &Rc<Node>, job: &Job) -> Result<(), Refusal> {
    let Some(stream) = stream(job).filter(|_| resumes(job)) else {
        return Ok(());
    };
    if job.resume_after.is_none() && versions(node, job).len() == 1 {
        // Without an event the answer begins anew, which needs no version.
        return Ok(());
    }
    let service = ServiceTag::new(&job.service);
    let mut witness = Witness::Store;
    if versions(node, job).len() == 1 {
        witness = choose_witness(node, service).await;
    }
    let mut known = versions(node, job);
    if known.len() > 1 {
        witness = Witness::Store;
    }
    let (found, source) = search::find(node, stream, witness).await;
    if source == Source::Store {
        known = versions(node, job);
    }
    if let [software] = known.as_slice()
        && begins_at(node, *software, found, source, service)
    {
        job.binding.set(Binding::of_first_event(*software, &known));
        node.metrics.add("single_versions", source.label(), 1);
        log_bound(node, job, source);
        return Ok(());
    }
    let source = match found {
        Found::Origin(Origin::Unknown) => "unknown",
        Found::Unanswered => "unanswered",
        Found::Origin(_) => source.label(),
    };
    node.metrics.add("stream_origins", source, 1);
    log_origin(node, job, found, source);
    let refusal = Refusal::new(Reason::UnknownOrigin);
    match found {
        Found::Origin(Origin::Known(version)) => job.binding.set(Binding::Version(version)),
        _ if job.resume_after.is_none() => {}
        Found::Origin(_) => return Err(refusal),
        Found::Unanswered => return Err(refusal.with_retry_after(UNANSWERED_RETRY_AFTER)),
    }
    Ok(())
}

/// Whether a stream began at the only version that this router knew when it asked. A router that uses
/// another version has sent a note to the keepers, and the store has a record of that version, before
/// the first event.
fn begins_at(
    node: &Node,
    software: Option<Version>,
    found: Found,
    source: Source,
    service: ServiceTag,
) -> bool {
    match found {
        Found::Origin(Origin::Known(version)) => software == Some(version),
        Found::Origin(Origin::Ambiguous) => false,
        Found::Origin(Origin::Unknown) | Found::Unanswered => match source {
            Source::AllKeepers | Source::AllRouters => true,
            Source::Store => node.version_records.names(service),
            _ => false,
        },
    }
}

/// Who must know a stream that began at a version unknown to this router.
///
/// Routers on the other side of a cut choose other keepers once they have lost this one. A list
/// that was confirmed after the last loss shows that this side of the cut sees the store. An outdated
/// list is no such proof, so all routers have to answer: while the store is away for all of them, no
/// target can come. A router that has just started may have missed the end of a version.
async fn choose_witness(node: &Rc<Node>, service: ServiceTag) -> Witness {
    let read_at = node.targets_at().unwrap_or_default();
    let lost = node.gossip.lost_at().is_some_and(|it| it >= read_at);
    let alone = node.routers() == 1 && !node.has_no_peers();
    if lost || alone || !node.views_confirmed() {
        return Witness::Store;
    }
    if !stored::prove_single_version(node, service).await {
        return Witness::Store;
    }
    if node.now().saturating_sub(read_at) > OUTAGE_GAP {
        Witness::Routers
    } else {
        Witness::Keepers
    }
}

/// Software versions of the targets of a request's service.
fn versions(node: &Node, job: &Job) -> Vec<Option<Version>> {
    let service = ServiceTag::new(&job.service);
    let now = node.now();
    node.state.borrow().registry.versions(service, now)
}

/// Records that the first event of a request's answer has come from `target`, and sends a note to
/// the keepers of its stream. To be called before the event is forwarded.
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
    node.version_records.announce_change();
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.streams.prune(now);
    let services = state.registry.mixed_services(now);
    let current = Basis {
        routers: state.members.keepers_digest(),
        writer: state.members.first(Duty::Streams),
        services,
    };
    let before = node.synced.0.replace(Some(current.clone()));
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

/// Logs a stream that is bound to the only version that this router knows.
fn log_bound(node: &Node, job: &Job, source: Source) {
    let line = node.journal.line("stream_bound");
    let line = line.with("id", job.id.as_ref());
    let line = line.with("resumes", job.resumes.as_deref());
    let line = line.with("source", source.label());
    let line = line.with("targets_age_ms", node.targets_age().map(millis));
    let since_loss = node.time_since_loss().map(millis);
    let line = line.with("since_loss_ms", since_loss);
    drop(line.with("views_confirmed", node.views_confirmed()));
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
