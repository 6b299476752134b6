//! A caller's request and its life as types.
//!
//! A [`Call`] is what the caller asked for. Around it, [`Admitted`] is a request
//! of which nothing has left this router and [`Sent`] one that was handed to an
//! attempt. The type parameter says whether a second run is harmless.
//!
//! Only an [`Admitted`] request can be sent, and sending consumes it. A [`Sent`]
//! one becomes [`Admitted`] again in two ways: [`Sent::not_run`], which needs the
//! [`NotRun`] proof that only the place that talks to targets can make, and
//! `Sent::<Repeatable>::again`, which does not exist for [`Once`]. A resend of a
//! request that may not be repeated therefore does not compile.

use std::marker::PhantomData;
use std::sync::Arc;

use bytes::Bytes;
use dunlinward_kernel::id;
use hyper::{HeaderMap, Method};

use crate::callers::Charge;
use crate::idempotency::Ticket;
use crate::reply::Sink;
use crate::targets::NotRun;

/// How a target is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A model engine that streams its answer.
    Stream,
    /// A model engine that answers at once.
    Completion,
    /// A plain service.
    Plain,
}

/// What a caller asked for.
#[derive(Debug)]
pub struct Call {
    /// The number of the request in this router.
    pub request: id::Request,
    /// The id told to caller and target.
    pub name: Arc<str>,
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// The method.
    pub method: Method,
    /// Path and query at the target.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How the target is spoken to.
    pub shape: Shape,
    /// The way back to the caller.
    pub sink: Sink,
    /// The claim on an idempotency key, if one was given.
    pub ticket: Option<Ticket>,
    /// The charge of the body.
    pub(crate) _charge: Charge,
}

/// A second run is harmless.
#[derive(Debug)]
pub enum Repeatable {}

/// A second run must never happen.
#[derive(Debug)]
pub enum Once {}

/// A request of which nothing has left this router.
#[derive(Debug)]
pub struct Admitted<Kind> {
    call: Arc<Call>,
    kind: PhantomData<Kind>,
}

/// A request that was handed to an attempt.
#[derive(Debug)]
pub struct Sent<Kind> {
    call: Arc<Call>,
    kind: PhantomData<Kind>,
}

/// The right to send a call once.
#[derive(Debug)]
pub struct Permit {
    call: Arc<Call>,
}

impl Permit {
    /// The call to send; using it up ends the right.
    #[must_use]
    pub fn call(self) -> Arc<Call> {
        self.call
    }
}

impl<Kind> Admitted<Kind> {
    /// A request as it arrives.
    #[must_use]
    pub fn new(call: Arc<Call>) -> Self {
        let kind = PhantomData;
        Self { call, kind }
    }

    /// Hands the request to an attempt.
    #[must_use]
    pub fn send(self) -> (Sent<Kind>, Permit) {
        let call = Arc::clone(&self.call);
        let sent = Sent {
            call: self.call,
            kind: self.kind,
        };
        (sent, Permit { call })
    }
}

impl<Kind> Sent<Kind> {
    /// The attempt certainly did not run, so the request is as it was before.
    #[must_use]
    pub fn not_run(self, _proof: NotRun) -> Admitted<Kind> {
        Admitted::new(self.call)
    }
}

impl Sent<Repeatable> {
    /// The attempt may have run, which does no harm.
    #[must_use]
    pub fn again(self) -> Admitted<Repeatable> {
        Admitted::new(self.call)
    }
}
