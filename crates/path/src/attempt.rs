//! One attempt to run a request at a target, up to the head of the answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::backoff::Refusal;
use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::configuration::Route;
use dunlinward_dispatch::content::Digest;
use dunlinward_dispatch::continuation::Binding;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::region::Constraint;
use hyper::body::Incoming;
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};

use crate::caller;
use crate::dialect::{Answer, Dispatch};
use crate::framing::{self, Framing};
use crate::handover::taken::Progress;
use crate::held::{Buffer, Content};
use crate::interruption::{self, Cause};
use crate::lease::Lease;
use crate::leaving;
use crate::node::Node;
use crate::pool::{self, Connection};
use crate::quarantine;
use crate::request_log;

/// Connect timeout as a fraction of the route's objective.
const CONNECT_TIMEOUT_FACTOR: f64 = 0.5;

/// Lower bound of the connect timeout; a lost packet is not retransmitted earlier.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after sending within which a failure of a reused connection may be caused by its target
/// closing it as idle at the same time.
const IDLE_CLOSE_WINDOW: Duration = Duration::from_millis(500);

/// Time without an answer after which a target counts as failing, in multiples of the route's
/// objective.
const SILENCE_FACTOR: f64 = 2.0;

/// Lower bound of the time without an answer after which a target counts as failing.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// A request that was admitted and read, and may be sent.
#[derive(Debug)]
pub struct Job {
    /// Id of the request.
    pub id: Arc<str>,
    /// Digest of its content.
    pub content: Digest,
    /// Head as received from the caller.
    pub head: request::Parts,
    /// Complete body.
    pub body: Rc<Buffer>,
    /// Route that it matches.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Arc<str>,
    /// Customer that its key belongs to.
    pub customer: Option<Arc<str>>,
    /// Regions in which its route and its customer allow it to run.
    pub allowed: Constraint,
    /// Prompt, if an engine runs the service.
    pub prompt: Option<Rc<Prompt>>,
    /// Tokens charged to its customer.
    pub cost: u64,
    /// Timeout that its caller requested, by default that of the route.
    pub caller_timeout: Duration,
    /// Whether it is taken for the retry of a request that was refused.
    pub returning: bool,
    /// When it arrived.
    pub arrived: Duration,
    /// When its client's first attempt was made; if it is that or this is unknown, when it arrived.
    pub first_attempt: Duration,
    /// When the timeout of its caller or its route expires.
    pub deadline: Duration,
    /// Id of the last event that the caller had received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumes: Option<Arc<str>>,
    /// Targets that may send the next event of its answer.
    pub binding: Cell<Binding>,
    /// Whether an attempt was sent of which it is not known that it has not run.
    pub may_have_run: Cell<bool>,
    /// Progress of its connection, if a neighbour forwards it.
    pub(crate) progress: Option<Progress>,
    /// Place among the requests that are served.
    pub(crate) _place: Option<caller::Place>,
}

impl Job {
    /// Sets its place among the requests that are served.
    pub(crate) fn with_place(self, place: caller::Place) -> Self {
        Self {
            _place: Some(place),
            ..self
        }
    }

    /// Sets the progress of its connection.
    pub(crate) fn with_progress(self, progress: Option<Progress>) -> Self {
        Self { progress, ..self }
    }

    /// States that it is about to be sent, if a neighbour forwards it.
    pub(crate) async fn state_send(&self) {
        if let Some(progress) = &self.progress {
            progress.state_send().await;
        }
    }
}

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No byte of it was sent.
    NotSent,
    /// The target reports that it has not run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// It has run and failed; another run is allowed and was taken from the retry budget.
    Repeat,
}

/// Failure of an attempt to obtain an answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason, as named in logs and metrics.
    pub reason: &'static str,
}

impl Failure {
    pub(crate) fn new(verdict: Verdict, reason: &'static str) -> Self {
        Self { verdict, reason }
    }
}

/// An answer of which the head was received.
pub struct Attempt {
    /// Head.
    pub head: response::Parts,
    /// Body, not read yet.
    pub body: Incoming,
    /// What marks the end of the body.
    pub framing: Framing,
    /// Place at the target.
    pub lease: Lease,
    connection: Connection,
    keep_alive: Duration,
}

impl Attempt {
    /// Returns the connection to the pool after the answer was read to its end.
    pub fn finish(self, node: &Node) {
        let Self {
            lease,
            connection,
            keep_alive,
            ..
        } = self;
        let tag = lease.target.tag();
        drop(lease);
        node.pool.put(tag, connection, keep_alive, node.now());
    }
}

/// Sends a request to the target of `lease` and waits until `limit` for the head of its answer.
///
/// # Errors
///
/// If there is no valid answer to the request.
pub async fn send(
    node: &Rc<Node>,
    job: &Job,
    lease: Lease,
    resume_after: Option<u64>,
    limit: Duration,
) -> Result<Attempt, Failure> {
    let may_have_run = job.may_have_run.get();
    let result = try_send(node, job, lease, resume_after, limit).await;
    if let Err(failure) = &result
        && matches!(failure.verdict, Verdict::NotSent | Verdict::NotRun)
    {
        job.may_have_run.set(may_have_run);
    }
    result
}

async fn try_send(
    node: &Rc<Node>,
    job: &Job,
    lease: Lease,
    resume_after: Option<u64>,
    limit: Duration,
) -> Result<Attempt, Failure> {
    let target = lease.target.clone();
    if node.may_be_partitioned(&target) {
        node.pool.close(target.tag());
    }
    let connection = match node.pool.take(target.tag(), node.now()) {
        Some(connection) => connection,
        None => connect(node, job, &lease).await?,
    };
    // The target may have been barred since the place was granted, also while a connection was
    // opened.
    let now = node.now();
    let binding = job.binding.get();
    let barred = {
        let state = node.state.borrow();
        let service = ServiceTag::new(&job.service);
        state.exclusion_for(&target, service, job.allowed, binding, now)
    };
    if let Some(bar) = barred {
        node.metrics.add("places_barred", bar.name(), 1);
        return Err(Failure::new(Verdict::NotSent, bar.name()));
    }
    // It may have been quarantined while it waited.
    if let Some(refusal) = quarantine::refusal(node, job) {
        return Err(Failure::new(Verdict::NotSent, refusal.reason.name()));
    }
    let (response, connection) =
        exchange(node, job, &lease, connection, resume_after, limit).await?;
    let (mut head, body) = response.into_parts();
    let keep_alive = pool::keep_alive(&head.headers);
    validate(node, job, &lease, &head)?;
    let framing = Framing::new(&job.head.method, &head);
    framing::remove_framing(&job.head.method, &mut head);
    Ok(Attempt {
        head,
        body,
        framing,
        lease,
        connection,
        keep_alive,
    })
}

async fn connect(node: &Rc<Node>, job: &Job, lease: &Lease) -> Result<Connection, Failure> {
    let left = job.deadline.saturating_sub(node.now());
    let timeout = job
        .route
        .objective
        .mul_f64(CONNECT_TIMEOUT_FACTOR)
        .max(MIN_CONNECT_TIMEOUT);
    caller::make_room(node);
    let counted = node.pool.count();
    caller::close_displaced(node).await;
    let opened = node
        .pool
        .open_counted(lease.target.address, timeout.min(left), counted)
        .await;
    node.metrics.add("connections", &lease.target.service, 1);
    if opened.is_ok() {
        interruption::record_connection(node, &lease.target);
    }
    opened.map_err(|error| {
        lease.record_outcome(Outcome::Unreachable);
        interruption::record_connect_error(node, &lease.target, &error);
        let line = node
            .journal
            .line("connect_failed")
            .with("id", job.id.as_ref());
        let line = line.with("target", lease.target.id.as_ref());
        drop(line.with("error", error.to_string()));
        Failure::new(Verdict::NotSent, "connect_failed")
    })
}

async fn exchange(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    mut connection: Connection,
    resume_after: Option<u64>,
    limit: Duration,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let request = request(node, job, lease, resume_after);
    let sent_at = node.now();
    lease.record_sent(job.content, job.prompt.clone());
    job.may_have_run.set(true);
    job.body.pin();
    let sent = connection.send(request);
    let sent = await_answer(node, job, lease, sent, limit).await;
    let Some(sent) = sent else {
        close_idle_if_reused(node, lease, &connection);
        lease.record_outcome(Outcome::Bad);
        lease.record_interruption(Cause::Silent);
        return Err(Failure::new(Verdict::Unknown, "no_answer"));
    };
    match sent {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => {
            if error.take_message().is_some() {
                lease.record_not_run();
                return Err(Failure::new(Verdict::NotSent, "connection_closed"));
            }
            close_idle_if_reused(node, lease, &connection);
            // That a target closed an idle connection at this moment says nothing about its health.
            if !connection.used || node.now() > sent_at + IDLE_CLOSE_WINDOW {
                lease.record_outcome(Outcome::Bad);
            }
            lease.record_interruption(Cause::Closed);
            Err(Failure::new(Verdict::Unknown, "broken_off"))
        }
    }
}

/// Closes the idle connections to a target if a reused one brought no answer: the others may be
/// dead as well, and only a new connection shows whether the target is reachable.
fn close_idle_if_reused(node: &Node, lease: &Lease, connection: &Connection) {
    if connection.used {
        node.pool.close(lease.target.tag());
    }
}

/// Waits for an answer until `limit`. A target that has not answered after [`SILENCE_FACTOR`] times
/// the objective is recorded as failing before that, and the wait goes on.
async fn await_answer<T>(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    answer: impl Future<Output = T>,
    limit: Duration,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    let silence = job.route.objective.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
    let early = limit.min(node.now() + silence);
    if let Some(answer) = node.timeout_at(early, answer.as_mut()).await {
        return Some(answer);
    }
    if early < limit {
        lease.record_outcome(Outcome::Bad);
        let line = node
            .journal
            .line("target_silent")
            .with("id", job.id.as_ref());
        let line = line.with("target", lease.target.id.as_ref());
        drop(line.with_ms("after_ms", silence));
    }
    node.timeout_at(limit, answer).await
}

fn request(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    resume_after: Option<u64>,
) -> Request<Content> {
    let dispatch = Dispatch {
        remaining: job.deadline.saturating_sub(node.now()),
        target: &lease.target.id,
        customer: job.customer.as_deref(),
        resume_after,
        fetch: lease.fetch,
    };
    let mut request = Request::new(Content::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = job.head.uri.clone();
    *request.headers_mut() = node.dialect.headers(&job.head.headers, &dispatch);
    request
}

/// Records what a target announces about itself, if the answer is known to come from it.
fn record_announcements(node: &Rc<Node>, lease: &Lease, status: StatusCode, answer: &Answer) {
    if !answer.is_from_target() {
        return;
    }
    if answer.leaving {
        leaving::record_announcement(node, &lease.target);
    }
    // A malformed backoff time counts as none: the refusal is recorded without one.
    let backoff = *answer.backoff.as_ref().unwrap_or(&None);
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if refusals.contains(&status) && (answer.not_run || backoff.is_some()) {
        lease.record_refusal(Refusal { backoff });
    }
}

/// Checks that an answer belongs to the request and comes from the target.
fn validate(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    head: &response::Parts,
) -> Result<(), Failure> {
    // The HTTP library skips other interim answers. This one has no final answer behind it.
    if head.status.is_informational() {
        lease.record_outcome(Outcome::Bad);
        return Err(Failure::new(Verdict::Unknown, "no_final_answer"));
    }
    let answer = node.dialect.answer(head);
    request_log::target_notice(node, job, lease, head.status, &answer);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        node.remove_replaced_target(&lease.target);
        lease.record_not_run();
        return Err(Failure::new(Verdict::NotRun, "misdirected"));
    }
    if answer.id.as_ref().is_some_and(|it| *it != job.id) {
        return Err(Failure::new(Verdict::Unknown, "other_answer"));
    }
    record_announcements(node, lease, head.status, &answer);
    if answer.not_run {
        lease.record_not_run();
        return Err(Failure::new(Verdict::NotRun, "turned_away"));
    }
    if !answer.genuine || answer.id.is_none() {
        lease.record_outcome(Outcome::Bad);
        return Err(Failure::new(Verdict::Unknown, "not_genuine"));
    }
    Ok(())
}
