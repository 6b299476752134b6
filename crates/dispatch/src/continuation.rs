//! Continuation of streams at the software version that began them.
//!
//! Targets of several versions of a service may serve side by side, and the events of two versions
//! do not fit together. Targets don't check this. A stream that breaks off, or that its client
//! resumes with another request at any router, may therefore continue only at a target of the
//! version that sent its first event.
//!
//! The router that forwards the first event records the version by the id of the client's attempt
//! ([`Stream`]), and sends a [`Note`] to a few keepers that follow from that id and the live routers
//! ([`crate::member::Members::keepers`]), before the event leaves. A router that gets a request to
//! resume a stream looks into its own [`Ledger`], then asks the keepers, then the other routers. If
//! no router has it, the request is refused: a guess could join two versions.
//!
//! While all targets of a service have had the same version for [`RETENTION`], streams are recorded
//! but no message is sent. Once a router learns of a second version, it sends the notes of the
//! streams that it has begun before.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::cell::ServiceTag;
use crate::target::Version;
use crate::usage::Peer;

/// Time for which the version of a stream is kept, and for which a version of which no target is
/// left still counts: longer than clients wait for a stream.
pub const RETENTION: Duration = Duration::from_mins(1);

/// Age up to which the notes of a stream are sent to routers that have become its keepers.
pub const MAX_RESENT_AGE: Duration = Duration::from_secs(20);

/// Limit of recorded streams, the oldest of which are dropped: some 4 MB.
const MAX_STREAMS: usize = 1 << 15;

/// Limit of notes in a message, which is one datagram.
pub const MAX_NOTES: usize = 1_024;

/// Identity of a stream: the service, the customer, and the id of the client's attempt that brought
/// its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stream(pub u64);

impl Stream {
    /// The identity of the stream that was begun by `attempt`. Ids are chosen by clients, so the
    /// customer is part of it.
    #[must_use]
    pub fn new(service: &str, customer: Option<&str>, attempt: &str) -> Self {
        let customer = customer.map_or(0, |it| xxh64(it.as_bytes(), 1));
        let seed = xxh64(service.as_bytes(), customer);
        Self(xxh64(attempt.as_bytes(), seed))
    }
}

/// Targets that may send the next event of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Binding {
    /// All: no event was sent yet.
    #[default]
    Free,
    /// Those of one software version.
    Version(Version),
    /// None: the version that sent the first event is unknown.
    Unknown,
}

impl Binding {
    /// Whether a target of this version may send the next event.
    #[must_use]
    pub fn admits(self, software: Option<Version>) -> bool {
        match self {
            Self::Free => true,
            Self::Version(version) => software == Some(version),
            Self::Unknown => false,
        }
    }

    /// The binding of a stream whose first event a target of this version sends; `versions` are
    /// those of its service. If no version is known at all, targets can't be distinguished.
    #[must_use]
    pub fn of_first_event(software: Option<Version>, versions: &[Option<Version>]) -> Self {
        match software {
            Some(version) => Self::Version(version),
            None if versions.iter().any(Option::is_some) => Self::Unknown,
            None => Self::Free,
        }
    }
}

/// What a router has recorded about the software version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// Nothing.
    Unknown,
    /// Several versions: two attempts have the same id.
    Ambiguous,
    /// The version.
    Known(Version),
}

/// The software version that began a stream, as routers exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The stream.
    pub stream: Stream,
    /// Its service.
    pub service: ServiceTag,
    /// The version.
    pub version: Version,
    /// Time since its first event.
    pub age: Duration,
}

/// Notes with a checksum, as a message: a corrupted note would join two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    notes: Vec<Note>,
    checksum: u64,
}

impl Report {
    /// Notes with their checksum.
    #[must_use]
    pub fn new(notes: Vec<Note>) -> Self {
        let checksum = Self::checksum(&notes);
        Self { notes, checksum }
    }

    /// Whether the checksum matches the notes.
    #[must_use]
    pub fn plausible(&self) -> bool {
        self.notes.len() <= MAX_NOTES && Self::checksum(&self.notes) == self.checksum
    }

    /// The notes.
    #[must_use]
    pub fn notes(&self) -> &[Note] {
        &self.notes
    }

    fn checksum(notes: &[Note]) -> u64 {
        notes.iter().fold(0, |sum, it| {
            let version = u64::from(it.version.0) << 32 | u64::from(it.service.0);
            xxh64(&it.stream.0.to_le_bytes(), sum ^ version)
        })
    }
}

/// Answer to the question which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The stream.
    pub stream: Stream,
    /// What the sender has recorded.
    pub origin: Origin,
    checksum: u64,
}

impl Answer {
    /// An answer with its checksum.
    #[must_use]
    pub fn new(stream: Stream, origin: Origin) -> Self {
        let checksum = Self::checksum(stream, origin);
        Self {
            stream,
            origin,
            checksum,
        }
    }

    /// Whether the checksum matches the content.
    #[must_use]
    pub fn plausible(&self) -> bool {
        Self::checksum(self.stream, self.origin) == self.checksum
    }

    fn checksum(stream: Stream, origin: Origin) -> u64 {
        let origin = match origin {
            Origin::Unknown => 0,
            Origin::Ambiguous => 1,
            Origin::Known(version) => u64::from(version.0) << 2 | 2,
        };
        xxh64(&stream.0.to_le_bytes(), origin)
    }
}

/// A recorded stream.
#[derive(Clone, Debug)]
struct Entry {
    service: ServiceTag,
    /// None if two attempts with the same id were begun by different versions.
    version: Option<Version>,
    at: Duration,
    /// Keepers that were sent a note, if this router has forwarded the stream's events.
    informed: Option<Vec<Peer>>,
}

/// Versions that began recent streams.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Stream, Entry>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<(Duration, Stream)>,
}

impl Ledger {
    /// Records a peer's note.
    pub fn record_note(&mut self, note: Note, now: Duration) {
        let at = now.saturating_sub(note.age);
        self.record(note, at, now);
    }

    /// Records a stream whose events this router forwards.
    pub fn record_own(&mut self, note: Note, now: Duration) {
        self.record(note, now, now);
        if let Some(entry) = self.entries.get_mut(&note.stream) {
            entry.informed.get_or_insert_default();
        }
    }

    fn record(&mut self, note: Note, at: Duration, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&note.stream) {
            entry.version = entry.version.filter(|it| *it == note.version);
            return;
        }
        self.prune(now);
        if self.entries.len() >= MAX_STREAMS {
            self.drop_oldest();
        }
        let entry = Entry {
            service: note.service,
            version: Some(note.version),
            at,
            informed: None,
        };
        self.entries.insert(note.stream, entry);
        self.order.push_back((now, note.stream));
    }

    /// What is known of a stream.
    #[must_use]
    pub fn origin(&self, stream: Stream, now: Duration) -> Origin {
        let entry = self.entries.get(&stream);
        let entry = entry.filter(|it| now.saturating_sub(it.at) < RETENTION);
        match entry.map(|it| it.version) {
            None => Origin::Unknown,
            Some(None) => Origin::Ambiguous,
            Some(Some(version)) => Origin::Known(version),
        }
    }

    /// Notes of recent streams of this router for keepers that were not sent them, by keeper;
    /// `keepers` gives those of a stream. The notes count as sent.
    pub fn take_unsent(
        &mut self,
        services: &[ServiceTag],
        now: Duration,
        keepers: impl Fn(Stream) -> Vec<Peer>,
    ) -> HashMap<Peer, Vec<Note>> {
        let mut unsent: HashMap<Peer, Vec<Note>> = HashMap::new();
        for (stream, entry) in &mut self.entries {
            let age = now.saturating_sub(entry.at);
            let (Some(informed), Some(version)) = (&mut entry.informed, entry.version) else {
                continue;
            };
            if age > MAX_RESENT_AGE || !services.contains(&entry.service) {
                continue;
            }
            let note = Note {
                stream: *stream,
                service: entry.service,
                version,
                age,
            };
            let keepers = keepers(*stream);
            for keeper in keepers.iter().filter(|it| !informed.contains(it)) {
                unsent.entry(*keeper).or_default().push(note);
            }
            *informed = keepers;
        }
        unsent
    }

    /// Notes of this router's streams of these services, up to an age.
    #[must_use]
    pub fn own_notes(
        &self,
        services: &[ServiceTag],
        max_age: Duration,
        now: Duration,
    ) -> Vec<Note> {
        let own = self.entries.iter().filter(|(_, it)| {
            it.informed.is_some()
                && now.saturating_sub(it.at) <= max_age
                && services.contains(&it.service)
        });
        let notes = own.filter_map(|(stream, it)| {
            Some(Note {
                stream: *stream,
                service: it.service,
                version: it.version?,
                age: now.saturating_sub(it.at),
            })
        });
        notes.collect()
    }

    /// Records that the keepers of a stream were sent its note.
    pub fn record_sent(&mut self, stream: Stream, keepers: Vec<Peer>) {
        if let Some(entry) = self.entries.get_mut(&stream) {
            entry.informed = Some(keepers);
        }
    }

    /// Drops streams that were recorded before [`RETENTION`].
    pub fn prune(&mut self, now: Duration) {
        let expired = |it: &(Duration, Stream)| now.saturating_sub(it.0) >= RETENTION;
        while self.order.front().is_some_and(expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.entries.remove(&stream);
        }
    }

    /// Number of recorded streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
