//! What the neighbour of a forwarded connection still has to answer, should it be lost.
//!
//! The first router keeps the bytes of a request that it forwards until the first byte of the
//! answer has come. The neighbour states the end of each answer
//! ([`Frame::Answered`](super::frame::Frame::Answered)), so between two requests nothing is kept
//! and nothing is owed. It also states each send to a target, and writes that before the request.
//! If its connection ends without a reset, everything that it has written was received, so a
//! request without that statement has not run. Requests that a client sends ahead of answers can't be told apart by that:
//! if what was kept is not one whole request when its answer begins, the connection is no longer
//! tracked, and it is reset if its neighbour is lost.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};

/// Limit of the headers of a request whose end is determined.
const MAX_HEADERS: usize = 64;

/// Interim answer to a client that waits before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a lost neighbour has left unanswered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Debt {
    /// Nothing: the connection is idle.
    Nothing,
    /// An answer to this request.
    Request(Request),
}

/// A request whose neighbour was lost before it answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Bytes that were received of it.
    pub bytes: Bytes,
    /// When its first byte was received.
    pub at: Duration,
    /// Sends to targets that its neighbour has or may have stated; 0 if it has not run.
    pub sends: u32,
}

/// Progress of the requests on a forwarded connection.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// Bytes of the client behind the last request whose answer has begun.
    kept: BytesMut,
    /// When the first of these was received.
    since: Duration,
    /// Sends to targets of the request that these begin with.
    sends: u32,
    /// Whether an answer has begun and not ended.
    answering: bool,
    /// Whether the neighbour begins no further request.
    stopped: bool,
    /// Whether the requests can't be told apart.
    untracked: bool,
}

impl Pending {
    /// Number of bytes that are kept.
    pub(crate) fn kept(&self) -> usize {
        self.kept.len()
    }

    /// Number of bytes that are allocated for them.
    pub(crate) fn allocated(&self) -> usize {
        self.kept.capacity()
    }

    /// Records bytes of the client that are forwarded, of which up to `room` may be kept.
    pub(crate) fn record_request(&mut self, bytes: &[u8], room: usize, now: Duration) {
        if bytes.len() > room {
            self.give_up();
        }
        if self.untracked {
            return;
        }
        if self.kept.is_empty() {
            self.since = now;
        }
        self.kept.extend_from_slice(bytes);
    }

    /// Records that the neighbour sends the request to a target.
    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records bytes of an answer. An interim one, which the HTTP server writes by itself, does not
    /// begin it.
    pub(crate) fn record_answer(&mut self, bytes: &[u8]) {
        if self.answering || self.untracked || bytes == CONTINUE {
            return;
        }
        self.answering = true;
        self.sends = 0;
        if request_length(&self.kept) == Some(self.kept.len()) {
            self.kept = BytesMut::new();
        } else {
            self.give_up();
        }
    }

    /// Whether an answer has begun and not ended, or may have, as requests can't be told apart.
    pub(crate) fn is_answering(&self) -> bool {
        self.answering || self.untracked
    }

    /// Records that the answer is complete.
    pub(crate) fn record_end(&mut self) {
        self.answering = false;
        self.sends = 0;
    }

    /// Records that the neighbour begins no further request.
    pub(crate) fn record_stop(&mut self) {
        self.stopped = true;
    }

    fn give_up(&mut self) {
        self.untracked = true;
        self.kept = BytesMut::new();
    }

    /// Takes what is left unanswered; none if an answer was forwarded in part, or if requests can't
    /// be told apart. `received_all` tells whether everything that the neighbour has written was
    /// received.
    pub(crate) fn take_debt(&mut self, received_all: bool) -> Option<Debt> {
        if self.is_answering() {
            return None;
        }
        let bytes = std::mem::take(&mut self.kept).freeze();
        if bytes.is_empty() {
            return Some(Debt::Nothing);
        }
        let is_unused = self.stopped || (received_all && self.sends == 0);
        let least = u32::from(!is_unused);
        Some(Debt::Request(Request {
            bytes,
            at: self.since,
            sends: self.sends.max(least),
        }))
    }
}

/// Length of the first request in `bytes`; none if it is incomplete or its end can't be determined.
fn request_length(bytes: &[u8]) -> Option<usize> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(Status::Complete(head)) = request.parse(bytes) else {
        return None;
    };
    let mut length = 0;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Some(head + chunked_length(&bytes[head..])?);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            length = std::str::from_utf8(header.value)
                .ok()?
                .trim()
                .parse()
                .ok()?;
        }
    }
    head.checked_add(length).filter(|it| *it <= bytes.len())
}

/// Length of a chunked body without trailers.
fn chunked_length(bytes: &[u8]) -> Option<usize> {
    const LINE_END: &[u8] = b"\r\n";
    let mut at = 0;
    loop {
        let Ok(Status::Complete((start, size))) = httparse::parse_chunk_size(&bytes[at..]) else {
            return None;
        };
        let end = at.checked_add(start)?;
        let end = end.checked_add(usize::try_from(size).ok()?)?;
        if bytes.get(end..end.checked_add(LINE_END.len())?)? != LINE_END {
            return None;
        }
        at = end + LINE_END.len();
        if size == 0 {
            return Some(at);
        }
    }
}

#[cfg(test)]
mod tests;
