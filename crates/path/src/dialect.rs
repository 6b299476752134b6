//! What a frontend translates: heads of requests and answers.
//!
//! The data path knows HTTP, not the names of a platform's headers. A dialect
//! reads a caller's head into a [`Call`], writes the head that a target gets,
//! and reads a target's head into an [`Answer`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cache::{Query, Update};
use dunlinward_dispatch::prefix::Prompt;
use hyper::http::{request, response};
use hyper::{HeaderMap, Uri};

/// What a caller's head says.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity of this request; each try of a caller has its own.
    pub id: Arc<str>,
    /// Key of the customer.
    pub key: Option<Arc<str>>,
    /// Time that the caller will wait.
    pub left: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of an earlier answer.
    pub resume_after: Option<u64>,
}

/// Why a head can't be read.
#[derive(Clone, Debug)]
pub struct Malformed {
    /// What is wrong, for the log.
    pub reason: &'static str,
}

/// What the head for a target says beside the caller's own.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Time that is left.
    pub left: Duration,
    /// Identity of the target that is meant.
    pub target: &'a str,
    /// Customer that holds the caller's key.
    pub customer: Option<&'a str>,
    /// Last event that the caller has got.
    pub resume_after: Option<u64>,
    /// Engine from whose memory the target is to fetch what it lacks of the prompt.
    pub fetch: Option<SocketAddr>,
}

/// What a target's head says.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Identity of the request that it answers, if it names one.
    pub id: Option<Arc<str>>,
    /// Whether it bears the mark of a target's own answer.
    pub genuine: bool,
    /// Whether it says that the request has not run.
    pub not_run: bool,
    /// Whether its target says that it is about to end.
    pub leaving: bool,
    /// For how long its target, which turned the request away, wants nothing more from this router;
    /// none if it names no time.
    pub backoff: Result<Option<Duration>, Malformed>,
}

impl Answer {
    /// Whether it is surely the target's own, so that what it says of the target counts. Refusals
    /// bear no mark.
    #[must_use]
    pub fn own(&self) -> bool {
        self.not_run || (self.genuine && self.id.is_some())
    }
}

/// Translates heads.
pub trait Dialect {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// If the head can't be read.
    fn call(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// The headers for a target, from the caller's.
    fn headers(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Reads a target's head.
    fn answer(&self, head: &response::Parts) -> Answer;

    /// Path by which a model engine is asked about its memory.
    fn cache_path(&self, question: Query) -> Uri;

    /// Reads what it answers.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    fn cache_news(&self, question: Query, body: &[u8]) -> Result<Update, Malformed>;
}
