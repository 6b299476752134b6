//! Streams of events, cut at the ends of events.
//!
//! Only whole events are passed on, so that a stream that breaks off in the
//! middle of one can go on at another target without a torn event between.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is put together; a longer one is passed on in pieces.
const LONGEST: usize = 256 * 1024;

/// Splits bytes into whole events and remembers the last event's number.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Nothing seen yet; `last` is the last event that the caller already has.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes; returns the whole events that they complete.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = if self.rest.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.rest.extend_from_slice(&bytes);
            let end = match last_end(&self.rest) {
                Some(end) => end,
                None if self.rest.len() > LONGEST => self.rest.len(),
                None => return None,
            };
            self.rest.split_to(end).freeze()
        };
        if let Some(number) = last_number(&whole) {
            self.last = Some(number);
        }
        Some(whole)
    }

    /// The bytes of an event that is not whole; they are kept no longer.
    pub fn take_rest(&mut self) -> Bytes {
        let length = self.rest.remaining();
        self.rest.split_to(length).freeze()
    }

    /// Number of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = rfind(bytes, b"\n\n");
    let long = rfind(bytes, b"\r\n\r\n");
    plain.max(long)
}

fn rfind(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    let at = bytes.windows(mark.len()).rposition(|it| it == mark)?;
    Some(at + mark.len())
}

fn last_number(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let number = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
