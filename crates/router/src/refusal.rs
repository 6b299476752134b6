//! What a caller is told when its request is refused.
//!
//! Two kinds of reasons: those of the edge ([`Reason`]), found before the
//! request reaches the kernel, and those of the kernel
//! ([`dunlinward_kernel::verdict::Refusal`]). Each answer carries its verdict, so
//! that a caller knows whether it may try again.

use std::time::Duration;

use bytes::Bytes;
use dunlinward_kernel::verdict::{Failure, Refusal, Verdict};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, StatusCode};
use serde::Serialize;

use crate::idempotency::Answer;
use crate::reply::{Head, Part};

/// Header that carries the request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that carries the verdict of a refusal.
pub const VERDICT: HeaderName = HeaderName::from_static("x-dunlinward-verdict");

macro_rules! reasons {
    ($($(#[$item:meta])* $variant:ident = $name:literal, $status:ident, $verdict:ident;)*) => {
        /// Why the edge refuses a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[$item])* $variant,)*
        }

        impl Reason {
            /// Every reason, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name used in answers, logs and metrics.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// The status of the answer.
            #[must_use]
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$variant => StatusCode::$status,)*
                }
            }

            /// Whether the request may have run.
            #[must_use]
            pub const fn verdict(self) -> Verdict {
                match self {
                    $(Self::$variant => Verdict::$verdict,)*
                }
            }
        }
    };
}

reasons!(
    /// No bearer key, or one of no customer.
    KeyWrong = "key_wrong", UNAUTHORIZED, NotRun;
    /// The path or the model names no service.
    ServiceUnknown = "service_unknown", NOT_FOUND, NotRun;
    /// The service exists but takes no such path or method.
    PathUnknown = "path_unknown", NOT_FOUND, NotRun;
    /// The body is not JSON of the expected form.
    BodyMalformed = "body_malformed", BAD_REQUEST, NotRun;
    /// The body is larger than allowed.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE, NotRun;
    /// The memory for bodies is used up, and this one gives way.
    BodiesFull = "bodies_full", SERVICE_UNAVAILABLE, NotRun;
    /// The body did not come in time.
    BodyTimeout = "body_timeout", REQUEST_TIMEOUT, NotRun;
    /// A header of ours has a value that is not allowed.
    HeaderMalformed = "header_malformed", BAD_REQUEST, NotRun;
    /// Too many callers are connected.
    ConnectionsFull = "connections_full", SERVICE_UNAVAILABLE, NotRun;
    /// No configuration has been accepted yet.
    NotConfigured = "not_configured", SERVICE_UNAVAILABLE, NotRun;
    /// This router is stopping.
    Stopping = "stopping", SERVICE_UNAVAILABLE, NotRun;
    /// The answer was cut before its caller had any of it.
    Lost = "lost", INTERNAL_SERVER_ERROR, MayHaveRun;
    /// A request with the same idempotency key runs now.
    KeyRunning = "idempotency_running", CONFLICT, MayHaveRun;
    /// A request with the same idempotency key may have run.
    KeyUnsure = "idempotency_unsure", CONFLICT, MayHaveRun;
    /// A request with the same idempotency key ran; its answer is not kept.
    KeyRan = "idempotency_ran", CONFLICT, Ran;
    /// The idempotency key was used for another request.
    KeyMismatch = "idempotency_mismatch", UNPROCESSABLE_ENTITY, NotRun;
    /// No further idempotency key can be remembered now.
    KeysFull = "idempotency_full", SERVICE_UNAVAILABLE, NotRun;
);

/// A refusal as the caller will read it.
#[derive(Clone, Debug)]
pub struct Notice {
    status: StatusCode,
    reason: &'static str,
    failure: Option<&'static str>,
    verdict: Verdict,
    retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    failure: Option<&'a str>,
    verdict: &'a str,
    request_id: &'a str,
}

impl Notice {
    /// A refusal by the edge.
    #[must_use]
    pub fn edge(reason: Reason) -> Self {
        let busy = reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        Self {
            status: reason.status(),
            reason: reason.name(),
            failure: None,
            verdict: reason.verdict(),
            retry_after: busy.then_some(Duration::from_secs(1)),
        }
    }

    /// A refusal by the kernel.
    #[must_use]
    pub fn kernel(refusal: Refusal, failure: Option<Failure>, verdict: Verdict) -> Self {
        Self {
            status: status(refusal, failure),
            reason: refusal.name(),
            failure: failure.map(Failure::name),
            verdict,
            retry_after: None,
        }
    }

    /// The same refusal with the time after which a new try makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, after: Option<Duration>) -> Self {
        self.retry_after = after;
        self
    }

    /// The refusal as an answer to the request `id`.
    ///
    /// # Panics
    ///
    /// Never: the body is plain data.
    #[must_use]
    pub fn answer(&self, id: &str) -> Answer {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(VERDICT, HeaderValue::from_static(self.verdict.name()));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds(after)));
        }
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(REQUEST_ID, id);
        }
        let detail = Detail {
            reason: self.reason,
            failure: self.failure,
            verdict: self.verdict.name(),
            request_id: id,
        };
        let body = serde_json::to_vec(&Body { error: detail }).expect("plain data");
        let head = Head {
            status: self.status,
            headers,
        };
        let body = Bytes::from(body);
        Answer { head, body }
    }

    /// The refusal as the parts of an answer.
    ///
    /// # Panics
    ///
    /// Never: the body is plain data.
    #[must_use]
    pub fn parts(&self, id: &str) -> Vec<Part> {
        let answer = self.answer(id);
        vec![Part::Head(answer.head), Part::Data(answer.body), Part::End]
    }
}

/// Whole seconds, rounded up, at least one.
fn seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0 || time.is_zero())
}

fn status(refusal: Refusal, failure: Option<Failure>) -> StatusCode {
    match refusal {
        Refusal::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        Refusal::QueueTimeout | Refusal::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Refusal::CustomerRemoved => StatusCode::UNAUTHORIZED,
        Refusal::ServiceRemoved => StatusCode::NOT_FOUND,
        Refusal::TargetFailed if failure == Some(Failure::AnswerTimeout) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        Refusal::TargetFailed => StatusCode::BAD_GATEWAY,
        Refusal::NoTarget
        | Refusal::Draining
        | Refusal::NotConfigured
        | Refusal::RetryBudget
        | Refusal::CallerLeft => StatusCode::SERVICE_UNAVAILABLE,
    }
}
