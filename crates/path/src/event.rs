//! Splitting of server-sent event streams at event boundaries.
//!
//! Only complete events are forwarded, so that a stream that breaks off within an event can be
//! resumed at another target without a partial event in between.

use bytes::{Buf, Bytes, BytesMut};

/// Limit of the bytes that are buffered for an incomplete event; a longer event is forwarded in
/// parts.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into complete events and records the id of the last one.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// Bytes of `rest` at the beginning in which no event ends.
    searched: usize,
    /// Bytes of an incomplete event that were returned already.
    forwarded: usize,
    last: Option<u64>,
}

impl Splitter {
    /// Creates a splitter; `last` is the id of the last event that the caller already has.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            searched: 0,
            forwarded: 0,
            last,
        }
    }

    /// Appends bytes; returns the complete events, if any, or a part of an event that exceeds
    /// `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        self.push_within(MAX_EVENT_BYTES, bytes)
    }

    /// The same, with a part of an event that exceeds `limit`, if that is less.
    pub(crate) fn push_within(&mut self, limit: usize, bytes: Bytes) -> Option<Bytes> {
        let limit = limit.min(MAX_EVENT_BYTES);
        let events = if self.rest.is_empty() && ends_event(&bytes) {
            self.forwarded = 0;
            bytes
        } else {
            self.rest.extend_from_slice(&bytes);
            let end = last_event_end(&self.rest, self.searched);
            self.searched = self.rest.len();
            if end.is_none() && self.rest.len() <= limit {
                return None;
            }
            self.forwarded = match end {
                Some(_) => 0,
                None => self.forwarded + self.rest.len(),
            };
            let end = end.unwrap_or(self.rest.len());
            self.searched -= end;
            self.rest.split_to(end).freeze()
        };
        if let Some(id) = last_event_id(&events) {
            self.last = Some(id);
        }
        Some(events)
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        let length = self.rest.remaining();
        self.searched = 0;
        self.rest.split_to(length).freeze()
    }

    /// Whether the bytes so far end within an event. Line ends between events belong to none.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.forwarded > 0 || !self.rest.iter().all(|it| matches!(it, b'\r' | b'\n'))
    }

    /// Number of bytes of an incomplete event that were returned already.
    #[must_use]
    pub fn forwarded_bytes(&self) -> usize {
        self.forwarded
    }

    /// Number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }
}

/// Whether `bytes` end with an empty line; lines end with LF, CR or both.
fn ends_event(bytes: &[u8]) -> bool {
    strip_line_end(bytes).is_some_and(|it| strip_line_end(it).is_some())
}

fn strip_line_end(bytes: &[u8]) -> Option<&[u8]> {
    let line = bytes.strip_suffix(b"\r\n");
    let line = line.or_else(|| bytes.strip_suffix(b"\n"));
    line.or_else(|| bytes.strip_suffix(b"\r"))
}

/// Position at which the last event ends; none ends up to `searched`.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    (searched + 1..=bytes.len())
        .rev()
        .find(|end| matches!(bytes[end - 1], b'\r' | b'\n') && ends_event(&bytes[..*end]))
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
