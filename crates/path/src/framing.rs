//! Framing of answers: what marks the end of a body.

use hyper::Method;
use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;

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
        let empty = matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        if *method == Method::HEAD || empty || head.status.is_informational() {
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
