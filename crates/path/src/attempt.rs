//! One attempt at a target, up to the head of its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::backoff::Refusal;
use dunlinward_dispatch::configuration::Route;
use dunlinward_dispatch::content::Digest;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::region::Constraint;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};

use crate::cut::{self, Break};
use crate::dialect::{Answer, Dispatch};
use crate::lease::Lease;
use crate::leaving;
use crate::node::Node;
use crate::pool::{self, Connection};
use crate::tell;

/// Part of its objective for which a request waits for a connection.
const CONNECT_PART: f64 = 0.5;

/// Shortest time for which it waits, as a lost packet is sent again only then.
const CONNECT_LEAST: Duration = Duration::from_millis(150);

/// Time within which an answer may cross the close of an idle connection.
const CROSSED: Duration = Duration::from_millis(500);

/// Objectives after which a target that has not begun to answer counts as failing.
const SILENCE: f64 = 2.0;

/// Shortest such time.
const SILENCE_LEAST: Duration = Duration::from_millis(800);

/// A request that has been read and may be sent.
#[derive(Debug)]
pub struct Job {
    /// Identity of the request.
    pub id: Arc<str>,
    /// What it asks.
    pub content: Digest,
    /// The caller's head.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// The route under which it arrived.
    pub route: Arc<Route>,
    /// The service that is to run it.
    pub service: Arc<str>,
    /// The customer that holds its key.
    pub customer: Option<Arc<str>>,
    /// Regions in which route and customer allow it to run.
    pub allowed: Constraint,
    /// Its prompt.
    pub prompt: Option<Rc<Prompt>>,
    /// Tokens for which its customer is charged.
    pub cost: u64,
    /// How long its caller said that it waits.
    pub caller_waits: Duration,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller or its route gives it up.
    pub deadline: Duration,
    /// Last event that the caller had when it asked.
    pub resume_after: Option<u64>,
}

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not a byte of it was sent.
    NotSent,
    /// The target says that it has not run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// It has run and failed; another run is allowed and taken from the budget.
    Repeat,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What happened, for logs and metrics.
    pub reason: &'static str,
}

impl Failure {
    fn new(verdict: Verdict, reason: &'static str) -> Self {
        Self { verdict, reason }
    }
}

/// A target's answer up to its head.
pub struct Attempt {
    /// Head of the answer.
    pub head: response::Parts,
    /// Rest of the answer.
    pub body: Incoming,
    /// The place at the target.
    pub lease: Lease,
    connection: Connection,
    keep: Duration,
}

impl Attempt {
    /// The answer was read to its end: keeps the connection.
    pub fn finish(self, node: &Node) {
        let Self {
            lease,
            connection,
            keep,
            ..
        } = self;
        let tag = lease.target.tag();
        drop(lease);
        node.pool.put(tag, connection, keep, node.now());
    }
}

/// Sends a request to the target of `lease` and waits until `limit` for its head.
///
/// # Errors
///
/// If there is no answer that belongs to the request.
pub async fn send(
    node: &Rc<Node>,
    job: &Job,
    lease: Lease,
    resume_after: Option<u64>,
    limit: Duration,
) -> Result<Attempt, Failure> {
    let target = lease.target.clone();
    if node.doubtful(&target) {
        node.pool.close(target.tag());
    }
    let connection = match node.pool.take(target.tag(), node.now()) {
        Some(connection) => connection,
        None => connect(node, job, &lease).await?,
    };
    // What has become known since the place was given, also while a connection was opened.
    let now = node.now();
    let barred = node.state.borrow().exclusion(&target, job.allowed, now);
    if let Some(bar) = barred {
        node.metrics.add("places_barred", bar.name(), 1);
        return Err(Failure::new(Verdict::NotSent, bar.name()));
    }
    let (response, connection) =
        exchange(node, job, &lease, connection, resume_after, limit).await?;
    let (head, body) = response.into_parts();
    let keep = pool::keep(&head.headers);
    check(node, job, &lease, &head)?;
    Ok(Attempt {
        head,
        body,
        lease,
        connection,
        keep,
    })
}

async fn connect(node: &Rc<Node>, job: &Job, lease: &Lease) -> Result<Connection, Failure> {
    let left = job.deadline.saturating_sub(node.now());
    let part = job.route.objective.mul_f64(CONNECT_PART).max(CONNECT_LEAST);
    let opened = pool::open(lease.target.address, part.min(left)).await;
    node.metrics.add("connections", &lease.target.service, 1);
    if opened.is_ok() {
        cut::reached(node, &lease.target);
    }
    opened.map_err(|error| {
        lease.note(Outcome::Unreachable);
        cut::unreachable(node, &lease.target, &error);
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
    let begun = node.now();
    lease.sent(job.content);
    let sent = connection.sender.try_send_request(request);
    let sent = wait(node, job, lease, sent, limit).await;
    let Some(sent) = sent else {
        doubt(node, lease, &connection);
        lease.note(Outcome::Bad);
        lease.cut(Break::Silent);
        return Err(Failure::new(Verdict::Unknown, "no_answer"));
    };
    match sent {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => {
            if error.take_message().is_some() {
                lease.not_run();
                return Err(Failure::new(Verdict::NotSent, "connection_closed"));
            }
            doubt(node, lease, &connection);
            // An idle connection that its target closed just then says nothing of its health.
            if !connection.used || node.now() > begun + CROSSED {
                lease.note(Outcome::Bad);
            }
            lease.cut(Break::Closed);
            Err(Failure::new(Verdict::Unknown, "broken_off"))
        }
    }
}

/// A kept connection brought no answer: the others to that target may be as dead, and a new one
/// shows whether the target is there.
fn doubt(node: &Node, lease: &Lease, connection: &Connection) {
    if connection.used {
        node.pool.close(lease.target.tag());
    }
}

/// Waits for an answer until `limit`; a target that is silent for long has failed already
/// before that.
async fn wait<T>(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    answer: impl Future<Output = T>,
    limit: Duration,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    let silence = job.route.objective.mul_f64(SILENCE).max(SILENCE_LEAST);
    let early = limit.min(node.now() + silence);
    if let Some(answer) = node.until(early, answer.as_mut()).await {
        return Some(answer);
    }
    if early < limit {
        lease.note(Outcome::Bad);
        let line = node
            .journal
            .line("target_silent")
            .with("id", job.id.as_ref());
        let line = line.with("target", lease.target.id.as_ref());
        drop(line.with_ms("after_ms", silence));
    }
    node.until(limit, answer).await
}

fn request(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        left: job.deadline.saturating_sub(node.now()),
        target: &lease.target.id,
        customer: job.customer.as_deref(),
        resume_after,
        fetch: lease.fetch,
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = job.head.uri.clone();
    *request.headers_mut() = node.dialect.headers(&job.head.headers, &dispatch);
    request
}

/// Takes what a target says of itself in an answer that is surely its own.
fn hear(node: &Rc<Node>, lease: &Lease, status: StatusCode, answer: &Answer) {
    if !answer.own() {
        return;
    }
    if answer.leaving {
        leaving::said(node, &lease.target);
    }
    // A time that can't be read is none: the refusal counts as a plain one.
    let named = *answer.backoff.as_ref().unwrap_or(&None);
    let full = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if full.contains(&status) && (answer.not_run || named.is_some()) {
        lease.refused(Refusal { backoff: named });
    }
}

/// Whether an answer belongs to the request and comes from the target.
fn check(node: &Rc<Node>, job: &Job, lease: &Lease, head: &response::Parts) -> Result<(), Failure> {
    let answer = node.dialect.answer(head);
    tell::said(node, job, lease, head.status, &answer);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        node.replaced(&lease.target);
        lease.not_run();
        return Err(Failure::new(Verdict::NotRun, "misdirected"));
    }
    if answer.id.as_ref().is_some_and(|it| *it != job.id) {
        return Err(Failure::new(Verdict::Unknown, "other_answer"));
    }
    hear(node, lease, head.status, &answer);
    if answer.not_run {
        lease.not_run();
        return Err(Failure::new(Verdict::NotRun, "turned_away"));
    }
    if !answer.genuine || answer.id.is_none() {
        lease.note(Outcome::Bad);
        return Err(Failure::new(Verdict::Unknown, "not_genuine"));
    }
    Ok(())
}
