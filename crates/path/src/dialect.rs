//! Interface for translating the heads of requests and answers.
//!
//! The data path is independent of the names of a platform's headers. A dialect parses a caller's
//! head into a [`Call`], creates the headers that are sent to a target, and parses a target's head
//! into an [`Answer`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cache::{Query, Update};
use dunlinward_dispatch::prefix::Prompt;
use hyper::http::{request, response};
use hyper::{HeaderMap, Uri};

/// Parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request; each attempt of a caller has its own.
    pub id: Arc<str>,
    /// Customer key, if there is one.
    pub key: Option<Arc<str>>,
    /// Timeout that the caller requests, if any.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received of an earlier answer.
    pub resume_after: Option<u64>,
    /// Id of the earlier attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<Arc<str>>,
}

/// A head or body that can't be parsed.
#[derive(Clone, Debug)]
pub struct Malformed {
    /// Reason, for the log.
    pub reason: &'static str,
}

/// Information for a target that is added to the caller's headers.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Time until the deadline.
    pub remaining: Duration,
    /// Id of the intended target.
    pub target: &'a str,
    /// Customer that the caller's key belongs to.
    pub customer: Option<&'a str>,
    /// Id of the last event that was sent to the caller or that it had received before.
    pub resume_after: Option<u64>,
    /// Engine from whose cache the target fetches the missing part of the prompt's prefix.
    pub fetch: Option<SocketAddr>,
}

/// Parsed head of a target's answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Id of the request that it answers, if it contains one.
    pub id: Option<Arc<str>>,
    /// Whether it contains the mark by which targets identify their answers.
    pub genuine: bool,
    /// Whether it states that the request has not run.
    pub not_run: bool,
    /// Whether the target announces that it is leaving.
    pub leaving: bool,
    /// Backoff time that the target, which refused the request, requests from this router, if any.
    pub backoff: Result<Option<Duration>, Malformed>,
}

impl Answer {
    /// Whether it is known to come from the target, so that its statements about the target are
    /// accepted. Refusals contain no mark.
    #[must_use]
    pub fn is_from_target(&self) -> bool {
        self.not_run || (self.genuine && self.id.is_some())
    }
}

/// Translation between the heads of a platform and those of the data path.
pub trait Dialect {
    /// Parses a caller's head.
    ///
    /// # Errors
    ///
    /// If the head is malformed.
    fn call(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// Creates the headers for a target from those of the caller.
    fn headers(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Parses a target's head.
    fn answer(&self, head: &response::Parts) -> Answer;

    /// Path of a query to a model engine for the state of its prefix cache.
    fn cache_path(&self, query: Query) -> Uri;

    /// Parses the answer to a query.
    ///
    /// # Errors
    ///
    /// If the answer is malformed.
    fn cache_update(&self, query: Query, body: &[u8]) -> Result<Update, Malformed>;
}
