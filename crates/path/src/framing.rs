//! Framing of answers: what marks the end of a body, and what that proves.
//!
//! A length or a last chunk proves that a body is whole: the HTTP library reports an error if the
//! connection ends earlier. The end of the connection alone proves little, as a process that is
//! terminated closes its connections like one that is done. An answer that is framed by its
//! connection is therefore interrupted if it ends within an event, or if its target accepts no new
//! connection afterwards. Otherwise its end is unproven: the caller gets the answer as it was
//! framed, so that nothing claims more than the target did, and the run does not count as an
//! answer of its content.
//!
//! [`Framing`] alone decides. The headers from which it follows are not forwarded, as they frame the
//! bytes of the target and not those that the router sends.

use dunlinward_dispatch::target::Target;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::{request, response};
use hyper::{Method, StatusCode, Version};

use crate::attempt::{Attempt, Job};
use crate::interruption;
use crate::node::Node;

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which is zero for an answer that has no body.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Framing of the answer with this head to a request with this method (RFC 9112, section 6.3).
    #[must_use]
    pub fn new(method: &Method, head: &response::Parts) -> Self {
        if has_no_body(method, head) {
            return Self::Length;
        }
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        if let Some(last) = codings.next_back() {
            let last = last.to_str().unwrap_or_default().rsplit(',').next();
            let chunked = last.is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"));
            return if chunked {
                Self::Chunked
            } else {
                Self::Connection
            };
        }
        if head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

/// Whether an answer has no body, regardless of its headers (RFC 9112, section 6.3).
fn has_no_body(method: &Method, head: &response::Parts) -> bool {
    let empty = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    *method == Method::HEAD || empty || head.status.is_informational()
}

/// Removes the headers that frame the body of an answer. The length that an answer to a `HEAD`
/// request states frames nothing and stays.
pub fn remove_framing(method: &Method, head: &mut response::Parts) {
    let coded = head.headers.remove(TRANSFER_ENCODING).is_some();
    let mut lengths = head.headers.get_all(CONTENT_LENGTH).iter();
    let stated = lengths.next().filter(|_| lengths.next().is_none());
    let stated = stated.and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    head.headers.remove(CONTENT_LENGTH);
    if let Some(length) = stated.filter(|_| *method == Method::HEAD && !coded) {
        head.headers.insert(CONTENT_LENGTH, length.into());
    }
}

/// What marks the end of a stream towards its caller.
pub(crate) fn envelope(request: &request::Parts, attempt: &Attempt) -> Framing {
    // The server sends no chunks to a caller that speaks HTTP/1.0.
    if request.version == Version::HTTP_10 && !has_no_body(&request.method, &attempt.head) {
        return Framing::Connection;
    }
    attempt.framing
}

/// What the end of an answer's body proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Whole,
    /// The answer may be whole: its connection ended, and its target goes on.
    Unproven,
    /// The answer broke off.
    Interrupted,
}

/// Determines what the regular end of a body proves. Opens a connection to the target if the answer
/// was framed by its own.
pub(crate) async fn resolve_end(node: &Node, job: &Job, target: &Target, framing: Framing) -> End {
    if framing != Framing::Connection {
        return End::Whole;
    }
    let probe = interruption::probe(node, target);
    let accepted = node.timeout_at(job.deadline, probe).await;
    let end = if accepted.unwrap_or(false) {
        End::Unproven
    } else {
        End::Interrupted
    };
    let label = match end {
        End::Unproven => "unproven",
        End::Whole | End::Interrupted => "interrupted",
    };
    node.metrics.add("unframed_answers", label, 1);
    end
}

/// Frames an answer to the caller by its connection. An HTTP/1.1 response without a length would be
/// sent in chunks, whose last one claims that it is complete.
pub(crate) fn frame_by_connection(head: &mut response::Parts) {
    head.version = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    head.headers.insert(CONNECTION, close);
}
