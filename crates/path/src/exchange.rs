//! Handling of one request, from its head to its answer.
//!
//! The request is checked against the configuration in force, its body is read, and it is placed,
//! sent and answered. After a failure it is sent again only if it has not run or may run twice, and
//! if the attempts of its route and the retry budget allow it; the retry budget does not limit
//! requests of which nothing was sent. A request that is given up is answered at once.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::configuration;
use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::memory::Kind;
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::prefix::{Prefix, Prompt};
use dunlinward_dispatch::quarantine::Status;
use dunlinward_dispatch::queue_order::RouteTag;
use dunlinward_dispatch::retry;
use dunlinward_dispatch::return_schedule::{self, Arrival};
use dunlinward_dispatch::share;
use dunlinward_dispatch::target::Tag;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::http::{request, response};
use hyper::{Request, Response};

use crate::admission::{self, Admission};
use crate::answer;
use crate::attempt::{self, Attempt, Failure, Job, Verdict};
use crate::caller::Place;
use crate::continuation;
use crate::framing::{self, End, Framing};
use crate::handover::pending;
use crate::handover::taken::Progress;
use crate::held::{Buffer, Content, GivenUp};
use crate::intake;
use crate::interruption::Cause;
use crate::node::Node;
use crate::quarantine;
use crate::relay::Relay;
use crate::reply::{Payload, Reason, Refusal};
use crate::request_log;
use crate::shutdown;
use crate::spillover;
use crate::state::{Claim, PlaceRequest, State};

/// Tries of one request beyond the attempts of its route after which it is not tried once more,
/// even if it has not run.
const EXTRA_TRIES: u32 = 2;

/// Timeout for the answer to an idempotent request that may be sent again, as a fraction of the
/// route's objective.
const ANSWER_TIMEOUT_FACTOR: f64 = 0.6;

/// `Retry-After` of requests that are refused by a router that is shutting down; another router can
/// accept them.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` of requests for which there is no memory or no connection: a neighbour may have
/// both at once, and others that end here free some soon.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason of a failure by the loss of a neighbour.
const NEIGHBOR_LOST: &str = "neighbor_lost";

/// Error of a body that is read.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Where a request was before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Past {
    /// Nowhere.
    #[default]
    New,
    /// At a neighbour that was lost before it answered.
    Forwarded {
        /// When this router received it.
        at: Duration,
        /// Times that it was or may have been sent to targets.
        sends: u32,
    },
}

impl Past {
    /// That of a request whose neighbour was lost.
    #[must_use]
    pub fn of(request: &pending::Request) -> Self {
        Self::Forwarded {
            at: request.at,
            sends: request.sends,
        }
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(self) -> bool {
        self.sends() > 0
    }

    /// Times that the request may have been sent to targets.
    fn sends(self) -> u32 {
        match self {
            Self::New => 0,
            Self::Forwarded { sends, .. } => sends,
        }
    }

    /// The failure after which the request is sent again, if it was sent before.
    fn failure(self) -> Option<Failure> {
        let failure = || Failure::new(Verdict::Unknown, NEIGHBOR_LOST);
        self.may_have_run().then(failure)
    }

    /// A refusal that does not state that a request has not run, if it may have.
    fn refusal(self, refusal: Refusal) -> Refusal {
        if !self.may_have_run() || !refusal.reason.guarantees_not_run() {
            return refusal;
        }
        Refusal::new(Reason::TargetFailed)
    }
}

/// Handles one request and returns the response to its caller.
pub async fn serve<B>(node: Rc<Node>, request: Request<B>, past: Past) -> Response<Payload>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    respond(node, request, past, None).await
}

/// Handles one request of a connection that a neighbour forwards.
pub(crate) async fn serve_taken<B>(
    node: Rc<Node>,
    request: Request<B>,
    progress: Progress,
) -> Response<Payload>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    respond(node, request, Past::New, Some(progress)).await
}

async fn respond<B>(
    node: Rc<Node>,
    request: Request<B>,
    past: Past,
    progress: Option<Progress>,
) -> Response<Payload>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    node.detect_suspension();
    let (head, body) = request.into_parts();
    let mut response = match handle(&node, head, body, past, progress).await {
        Ok(response) => response,
        Err(refusal) => past.refusal(refusal).response(),
    };
    if node.leaving_since().is_some() || node.overload.is_overloaded() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Refuses a request that was pipelined on a connection that is being returned to a neighbour.
pub(crate) fn refuse_released(node: &Node) -> Response<Payload> {
    let refusal = Refusal::new(Reason::Released).with_retry_after(LEAVING_RETRY_AFTER);
    node.metrics.add("refusals", refusal.reason.name(), 1);
    refusal.response()
}

async fn handle<B>(
    node: &Rc<Node>,
    head: request::Parts,
    body: B,
    past: Past,
    progress: Option<Progress>,
) -> Result<Response<Payload>, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    let arrived = match past {
        Past::New => node.now(),
        Past::Forwarded { at, .. } => at,
    };
    let call = node.dialect.call(&head).map_err(|error| {
        let line = node.journal.line("refused").with("reason", "malformed");
        drop(line.with("error", error.reason));
        Refusal::new(Reason::Malformed)
    })?;
    let id = call.id.clone();
    let refused = |refusal: Refusal| {
        request_log::refusal(node, &id, arrived, refusal, None);
        refusal
    };
    let admitted = admission::admit(node, &head, &call).map_err(refused)?;
    if shutdown::refuses_requests(node, admitted.route.kind.streams()) {
        return Err(refused(leaving()));
    }
    // Refused requests count too: without their timeouts, those of retries would be frequent.
    let is_retry = admission::record_timeout(node, &call, &admitted);
    let resumes = call.resume_after.is_some();
    let tokens = admitted.cost(&call);
    let again = resumes || past != Past::New;
    if let Err(refusal) = intake::admit(node, &admitted, tokens, is_retry, again) {
        intake::drain(node, &admitted.table, body).await;
        return Err(refusal);
    }
    let reading = read_body(node, &admitted, body);
    let body = shutdown::before_exit(node, reading).await;
    let body = body.unwrap_or_else(|| Err(leaving())).map_err(refused)?;
    let place = Place::take(node, admitted.holder()).ok_or_else(|| refused(no_connection()))?;
    let job = admission::job(node, head, body, call, admitted, is_retry, arrived);
    let job = Rc::new(job.with_progress(progress).with_place(place));
    if let Some(refusal) = quarantine::refusal(node, &job) {
        request_log::refusal(node, &job.id, arrived, refusal, Some(&job));
        return Err(refusal);
    }
    let mut caller_guard = request_log::Disconnect {
        node: node.clone(),
        job: job.clone(),
        answered: false,
    };
    let running = async {
        tokio::select! {
            biased;
            // A body that was sent does not give way.
            () = job.body.given_up() => Err(no_memory()),
            // Requests whose bodies are being read need no room for its state.
            answer = Box::pin(run(node, &job, past)) => answer,
        }
    };
    let answer = shutdown::before_exit(node, running).await;
    let answer = answer.unwrap_or_else(|| Err(given_up(&job)));
    caller_guard.answered = true;
    if let Err(refusal) = &answer {
        request_log::refusal(node, &job.id, arrived, *refusal, Some(&job));
    }
    answer
}

/// Refusal of a request that another router can accept.
fn leaving() -> Refusal {
    Refusal::new(Reason::Leaving).with_retry_after(LEAVING_RETRY_AFTER)
}

/// Answer to a request that is given up because the router exits.
fn given_up(job: &Job) -> Refusal {
    if job.may_have_run.get() {
        Refusal::new(Reason::GivenUp)
    } else {
        leaving()
    }
}

/// Reads a body within its limits, which is given up if the memory for bodies is used up.
async fn read_body<B>(node: &Rc<Node>, admitted: &Admission, body: B) -> Result<Rc<Buffer>, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    let limits = admitted.table.limits();
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(Refusal::new(Reason::BodyTooLarge));
    }
    let buffer = Buffer::new(&node.held, admitted.holder(), Kind::Request, node.now());
    let reading = async {
        tokio::select! {
            biased;
            () = buffer.given_up() => Err(no_memory()),
            read = copy_body(node, Limited::new(body, limits.body_bytes), &buffer) => read,
        }
    };
    let until = node.now() + limits.idle_timeout;
    let read = node.timeout_at(until, reading).await;
    read.unwrap_or_else(|| Err(Refusal::new(Reason::BodyTimeout)))?;
    Ok(buffer)
}

async fn copy_body<B>(node: &Node, mut body: Limited<B>, buffer: &Buffer) -> Result<(), Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let is_large = error.is::<LengthLimitError>();
            Refusal::new(if is_large {
                Reason::BodyTooLarge
            } else {
                Reason::Malformed
            })
        })?;
        let data = frame.into_data().unwrap_or_default();
        let pushed = buffer.push(&data, body.size_hint().exact(), node.now());
        pushed.map_err(|GivenUp| no_memory())?;
    }
    buffer.complete();
    Ok(())
}

/// Refusal of a request that no connection to a target is left for.
fn no_connection() -> Refusal {
    Refusal::new(Reason::NoConnection).with_retry_after(NO_ROOM_RETRY_AFTER)
}

/// Refusal of a request whose body gives way.
fn no_memory() -> Refusal {
    Refusal::new(Reason::NoMemory).with_retry_after(NO_ROOM_RETRY_AFTER)
}

/// Placement request for a job in its home region.
///
/// # Errors
///
/// If the job may run at no target.
pub(crate) fn placement_request(
    node: &Rc<Node>,
    job: &Job,
    failed: Option<Tag>,
    until: Duration,
) -> Result<PlaceRequest, Refusal> {
    let draft = Draft::new(node, job);
    let state = node.state.borrow();
    let binding = job.binding.get();
    let home = state.home(&job.service, draft.prefix, job.allowed, binding, node.now());
    let cell = home.ok_or_else(|| Refusal::new(Reason::NoTarget))?;
    Ok(draft.placement_request(&state, cell, failed, until))
}

/// Placement request for a job in another region than that of a cell that had no room for it.
pub(crate) fn placement_request_elsewhere(
    node: &Rc<Node>,
    job: &Job,
    failed: Option<Tag>,
    full: Cell,
    until: Duration,
) -> Option<PlaceRequest> {
    let draft = Draft::new(node, job);
    let state = node.state.borrow();
    let (customer, now) = (draft.customer(), node.now());
    let (allowed, binding) = (job.allowed, job.binding.get());
    let cell = state.home_elsewhere(full, draft.prefix, customer, allowed, binding, now)?;
    let wish = draft.placement_request(&state, cell, failed, until);
    Some(PlaceRequest {
        demand_counted: true,
        ..wish
    })
}

/// The part of a placement request that does not depend on the cell.
struct Draft<'a> {
    node: &'a Node,
    job: &'a Job,
    content: Option<ContentTag>,
    /// Prefix of its prompt, or a substitute if it has none.
    prefix: Prefix,
    draw: u64,
}

impl<'a> Draft<'a> {
    fn new(node: &'a Node, job: &'a Job) -> Self {
        let draw = node.random();
        let state = node.state.borrow();
        let recorded = state.quarantine.status(job.content, node.now()) != Status::Free;
        let relevant = recorded || !state.answered.contains(job.content);
        let content = relevant.then(|| job.content.tag());
        // All runs of a content that was not answered yet are placed by the same owner.
        let substitute = content.map_or(draw, |it| it.0);
        let prefix = job.prompt.as_deref().and_then(Prompt::prefix);
        Self {
            node,
            job,
            content,
            prefix: prefix.unwrap_or(Prefix(substitute)),
            draw,
        }
    }

    /// Customer that is charged for it, if its cost is not zero.
    fn customer(&self) -> Option<CustomerTag> {
        let customer = self.job.customer.as_ref();
        customer.filter(|_| self.job.cost > 0).map(share::tag)
    }

    fn placement_request(
        self,
        state: &State,
        cell: Cell,
        failed: Option<Tag>,
        until: Duration,
    ) -> PlaceRequest {
        let customer = self.customer();
        let Self { node, job, .. } = self;
        let mut avoid = state.ejected_targets(cell, node.now());
        avoid.extend(failed);
        // The owner need not know that the request is bound.
        let binding = job.binding.get();
        let other_versions = state.other_versions(cell, binding);
        // A failed request gets no cold target, unless its binding excludes the others.
        let avoids_cold = failed.is_some() && other_versions.is_empty();
        avoid.extend(other_versions);
        PlaceRequest {
            cell,
            router: node.peer,
            domain: node.settings.domain.clone(),
            allowed: job.allowed,
            binding,
            content: self.content,
            prompt: job.prompt.clone(),
            customer,
            cost: job.cost,
            route: RouteTag::new(&job.route.name),
            objective: job.route.objective,
            arrived: job.arrived,
            is_retry: job.returning,
            demand_counted: failed.is_some(),
            withheld: 0,
            homes_recorded_at: None,
            failed: avoids_cold,
            avoid,
            deadline: until,
            expiry: job.deadline,
            arrival: Arrival::Unscheduled,
            claim: Claim::All,
            tie_breaker: self.draw,
            first_attempt: job.first_attempt,
        }
    }
}

async fn run(node: &Rc<Node>, job: &Rc<Job>, past: Past) -> Result<Response<Payload>, Refusal> {
    let mut sends = past.sends();
    let mut exclude = None;
    let mut tries = sends;
    // The last failure after which the request may have run; no later refusal may claim that it
    // has not.
    let mut may_have_run = past.failure();
    if let Some(failure) = may_have_run {
        request_log::regained(node, job, failure);
        if !may_try_again(node, job, failure, sends, tries) {
            return Err(final_refusal(node, job, failure));
        }
    }
    continuation::bind(node, job).await?;
    loop {
        tries += 1;
        let lease = spillover::place(node, job, exclude).await;
        let lease = lease.map_err(|refusal| match may_have_run {
            Some(failure) => final_refusal(node, job, failure),
            None => with_default_retry_after(node, job, refusal),
        })?;
        let target = lease.target.clone();
        let waited = node.now().saturating_sub(job.arrived);
        node.metrics.time("queued_seconds", &job.route.name, waited);
        request_log::sent(node, job, &lease, sends, job.resume_after);
        let limit = answer_limit(node, job, sends);
        sends += 1;
        job.state_send().await;
        let outcome = attempt::send(node, job, lease, job.resume_after, limit).await;
        let outcome = match outcome {
            Ok(attempt) => accept(node, job, attempt, sends).await,
            Err(failure) => Err(failure),
        };
        let failure = match outcome {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        if failure.verdict == Verdict::NotSent {
            sends -= 1;
        }
        request_log::failure(node, job, &target.id, failure);
        exclude = Some(target.tag());
        if matches!(failure.verdict, Verdict::Unknown | Verdict::Repeat) {
            may_have_run = Some(failure);
        }
        if !may_try_again(node, job, failure, sends, tries) {
            let failure = may_have_run.unwrap_or(failure);
            return Err(final_refusal(node, job, failure));
        }
    }
}

/// Time limit for placing a request. It counts from now and not from the arrival, because by the
/// time of a second try the request may have been at a target for longer than the limit.
pub(crate) fn placement_deadline(node: &Rc<Node>, job: &Job) -> Duration {
    let queue_policy = &node.settings.queue_policy;
    let part = if job.returning && !is_on_time(node, job) {
        queue_policy.retry_wait
    } else {
        queue_policy.first_wait
    };
    let until = node.now() + job.route.objective.mul_f64(part);
    until.min(job.deadline)
}

/// Whether a retry counts as a first attempt, as its answer can still be in time.
fn is_on_time(node: &Node, job: &Job) -> bool {
    let elapsed = job.arrived.saturating_sub(job.first_attempt);
    let known = !elapsed.is_zero();
    known
        && node.settings.load_policy.accepts_retries_on_time()
        && retry::is_on_time(elapsed, job.route.objective)
}

fn answer_limit(node: &Rc<Node>, job: &Job, sends: u32) -> Duration {
    let attempts_left = sends + 1 < job.route.attempts;
    if job.route.kind == configuration::Kind::Idempotent && attempts_left {
        let timeout = job.route.objective.mul_f64(ANSWER_TIMEOUT_FACTOR);
        return job.deadline.min(node.now() + timeout);
    }
    job.deadline
}

fn may_try_again(node: &Rc<Node>, job: &Job, failure: Failure, sends: u32, tries: u32) -> bool {
    let attempts = job.route.attempts;
    let exhausted = node.now() >= job.deadline || tries > attempts + EXTRA_TRIES;
    if exhausted || quarantine::refusal(node, job).is_some() {
        return false;
    }
    match failure.verdict {
        Verdict::NotSent | Verdict::Repeat => true,
        Verdict::NotRun => node.try_take_retry(&job.service),
        Verdict::Unknown => {
            let repeatable = matches!(
                job.route.kind,
                configuration::Kind::Idempotent | configuration::Kind::Resumable
            );
            repeatable && sends < attempts && node.try_take_retry(&job.service)
        }
    }
}

fn final_refusal(node: &Rc<Node>, job: &Job, failure: Failure) -> Refusal {
    let not_run = matches!(failure.verdict, Verdict::NotSent | Verdict::NotRun);
    if let Some(refusal) = quarantine::refusal(node, job).filter(|_| not_run) {
        return refusal;
    }
    let expired = node.now() >= job.deadline;
    let reason = match (failure.verdict, expired) {
        (Verdict::Unknown | Verdict::Repeat, true) => Reason::Expired,
        (Verdict::Unknown | Verdict::Repeat, false) => Reason::TargetFailed,
        (_, true) => Reason::ExpiredUnsent,
        (Verdict::NotSent, false) => Reason::NoTarget,
        (Verdict::NotRun, false) => Reason::Rejected,
    };
    with_default_retry_after(node, job, Refusal::new(reason))
}

fn with_default_retry_after(node: &Rc<Node>, job: &Job, refusal: Refusal) -> Refusal {
    let unavailable = refusal.reason.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
    if !unavailable || refusal.retry_after.is_some() {
        return refusal;
    }
    if let Some(time) = refusal.scheduled_return {
        return refusal.with_retry_after(honoured_delay(node, job, time));
    }
    let part = node.settings.queue_policy.retry_delay;
    refusal.with_retry_after(job.route.objective.mul_f64(part))
}

/// Bounds a scheduled delay by what the client honours now.
fn honoured_delay(node: &Node, job: &Job, delay: Duration) -> Duration {
    let remaining = job.deadline.saturating_sub(node.now());
    let longest = return_schedule::longest_delay(remaining, job.route.objective);
    delay.max(return_schedule::CLIENT_ROUND_TRIP).min(longest)
}

/// Converts a target's answer into the response to the caller.
async fn accept(
    node: &Rc<Node>,
    job: &Rc<Job>,
    attempt: Attempt,
    sends: u32,
) -> Result<Response<Payload>, Failure> {
    if attempt.head.status.is_server_error() {
        let repeatable =
            job.route.kind == configuration::Kind::Idempotent && sends < job.route.attempts;
        if repeatable && node.try_take_retry(&job.service) {
            attempt.lease.record_alive();
            return Err(Failure {
                verdict: Verdict::Repeat,
                reason: "target_error",
            });
        }
    }
    if job.route.kind.streams() && attempt.head.status.is_success() {
        let mut head = response_head(&attempt.head, true);
        if attempt.framing == Framing::Connection {
            framing::frame_by_connection(&mut head);
        }
        let relay = Relay::new(node.clone(), job.clone(), attempt, sends);
        return Ok(Response::from_parts(
            head,
            Payload::Relayed(Box::new(relay)),
        ));
    }
    read_whole(node, job, attempt, sends).await
}

/// Reads an answer that is not a stream to its end before it is forwarded, so that the request can
/// be tried again if the answer breaks off.
async fn read_whole(
    node: &Rc<Node>,
    job: &Job,
    mut attempt: Attempt,
    sends: u32,
) -> Result<Response<Payload>, Failure> {
    let limit = answer_limit(node, job, sends.saturating_sub(1));
    let holder = job.customer.as_ref().map(share::tag);
    let reading = answer::read(node, holder, &mut attempt.body);
    let read = node.timeout_at(limit, reading).await;
    let end = match &read {
        Some(Ok(_)) => {
            let target = &attempt.lease.target;
            framing::resolve_end(node, job, target, attempt.framing).await
        }
        _ => End::Interrupted,
    };
    let body = match read {
        Some(Ok(body)) if end != End::Interrupted => body,
        Some(Err(answer::Error::GivenUp)) => {
            // The target has not failed as far as is known.
            attempt.lease.record_alive();
            node.metrics.add("answers_given_up", &job.service, 1);
            return Err(Failure {
                verdict: Verdict::Unknown,
                reason: "no_memory",
            });
        }
        broken => {
            attempt.lease.record_outcome(Outcome::Bad);
            attempt.lease.record_interruption(match broken {
                Some(_) => Cause::Closed,
                None => Cause::Silent,
            });
            return Err(Failure {
                verdict: Verdict::Unknown,
                reason: "cut_short",
            });
        }
    };
    let outcome = if attempt.head.status.is_server_error() {
        Outcome::Bad
    } else {
        Outcome::Good
    };
    if end == End::Unproven && outcome == Outcome::Good {
        attempt.lease.record_unproven();
    }
    attempt.lease.record_outcome(outcome);
    attempt.lease.record_alive();
    if outcome == Outcome::Good && job.prompt.is_none() {
        attempt.lease.record_answer();
    }
    let mut head = response_head(&attempt.head, false);
    let line = node.journal.line("answered").with("id", job.id.as_ref());
    let line = line
        .with("status", head.status.as_u16())
        .with("framing", attempt.framing.name())
        .with("sends", sends);
    drop(line.with_ms("after_ms", node.now().saturating_sub(job.arrived)));
    let total = node.now().saturating_sub(job.arrived);
    node.metrics.time("answer_seconds", &job.route.name, total);
    node.metrics
        .add("answer_framings", attempt.framing.name(), 1);
    attempt.finish(node);
    let content = Content::new(body);
    if end == End::Unproven {
        framing::frame_by_connection(&mut head);
        return Ok(Response::from_parts(head, Payload::Unframed(content)));
    }
    Ok(Response::from_parts(head, Payload::Complete(content)))
}

fn response_head(head: &response::Parts, stream: bool) -> response::Parts {
    let mut answer = Response::new(()).into_parts().0;
    answer.status = head.status;
    answer.headers = head.headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        answer.headers.remove(name);
    }
    if stream {
        answer.headers.remove(CONTENT_LENGTH);
    }
    answer
}
