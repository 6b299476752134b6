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
    last: Option<u64>,
}

impl Splitter {
    /// Creates a splitter; `last` is the id of the last event that the caller already has.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Appends bytes; returns the complete events, if any, or a part of an event that exceeds
    /// `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let events = if self.rest.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.rest.extend_from_slice(&bytes);
            let end = match last_event_end(&self.rest) {
                Some(end) => end,
                None if self.rest.len() > MAX_EVENT_BYTES => self.rest.len(),
                None => return None,
            };
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
        self.rest.split_to(length).freeze()
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

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = rfind(bytes, b"\n\n");
    let crlf = rfind(bytes, b"\r\n\r\n");
    lf.max(crlf)
}

fn rfind(bytes: &[u8], delimiter: &[u8]) -> Option<usize> {
    let at = bytes
        .windows(delimiter.len())
        .rposition(|it| it == delimiter)?;
    Some(at + delimiter.len())
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
