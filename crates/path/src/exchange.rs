//! One request from its head to its answer.
//!
//! The request is checked against the configuration in force, its body is read,
//! and it is placed, sent and answered. What failed is sent once more only if it
//! has not run or may run twice, if its route allows another target, and if the
//! budget of repeats does. A request that is given up gets its answer at once.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::configuration::{Kind, Table};
use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::prefix::{Prefix, Prompt};
use dunlinward_dispatch::quarantine::{self, Status};
use dunlinward_dispatch::share;
use dunlinward_dispatch::target::Tag;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::http::{request, response};
use hyper::{Request, Response};

use crate::admission;
use crate::attempt::{self, Attempt, Failure, Job, Verdict};
use crate::cut::Break;
use crate::lending;
use crate::life;
use crate::node::Node;
use crate::relay::Relay;
use crate::reply::{Content, Reason, Refusal};
use crate::state::{Claim, PlaceRequest, State};
use crate::tell;

/// Sends of one request beyond its route's attempts, where it has not run.
const EXTRA_SENDS: u32 = 2;

/// Part of its objective for which a repeatable request waits for a plain answer.
const ANSWER_PART: f64 = 0.6;

/// Largest plain answer that is read whole before it is passed on.
const WHOLE_ANSWER: usize = 4 * 1024 * 1024;

/// Time after which a caller may come to another router than one that ends.
const LEAVING_RETURN: Duration = Duration::from_millis(50);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Serves one request.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Response<Content> {
    node.look_for_wake();
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let mut response = match answer(&node, head, body, arrived).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    };
    if node.leaving().is_some() || node.strain.behind() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn answer(
    node: &Rc<Node>,
    head: request::Parts,
    body: Incoming,
    arrived: Duration,
) -> Result<Response<Content>, Refusal> {
    let call = node.dialect.call(&head).map_err(|error| {
        let line = node.journal.line("refused").with("reason", "malformed");
        drop(line.with("error", error.reason));
        Refusal::new(Reason::Malformed)
    })?;
    let id = call.id.clone();
    let refused = |refusal: Refusal| {
        tell::refusal(node, &id, arrived, refusal, None);
        refusal
    };
    let admitted = admission::admit(node, &head, &call).map_err(refused)?;
    if life::ending(node, admitted.route.kind.streams()) {
        return Err(refused(
            Refusal::new(Reason::Leaving).with_retry_after(LEAVING_RETURN),
        ));
    }
    let body = read(node, &admitted.table, body).await.map_err(refused)?;
    let job = Rc::new(admission::job(node, head, body, call, admitted, arrived));
    if let Some(refusal) = unsafe_to_send(node, &job) {
        tell::refusal(node, &job.id, arrived, refusal, Some(&job));
        return Err(refusal);
    }
    let mut departure = tell::Departure {
        node: node.clone(),
        job: job.clone(),
        answered: false,
    };
    let answer = run(node, &job).await;
    departure.answered = true;
    if let Err(refusal) = &answer {
        tell::refusal(node, &job.id, arrived, *refusal, Some(&job));
    }
    answer
}

/// The refusal of a content under which targets have ended, or may have: it would end the next one.
/// Its caller learns after what time it may be tried again.
pub(crate) fn unsafe_to_send(node: &Rc<Node>, job: &Job) -> Option<Refusal> {
    match node.standing_of(job.content) {
        Status::Free | Status::Suspect => None,
        Status::Held => {
            Some(Refusal::new(Reason::Suspected).with_retry_after(quarantine::OPEN_TIMEOUT))
        }
        Status::Quarantined(left) => Some(Refusal::new(Reason::Quarantined).with_retry_after(left)),
    }
}

async fn read(node: &Rc<Node>, table: &Rc<Table>, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = table.limits();
    let reading = Limited::new(body, limits.body_bytes).collect();
    match node.until(node.now() + limits.idle_timeout, reading).await {
        None => Err(Refusal::new(Reason::SlowBody)),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::TooLarge)),
        Some(Err(_)) => Err(Refusal::new(Reason::Malformed)),
    }
}

/// What a request asks for, in the region that is its home.
///
/// # Errors
///
/// A refusal if it may run at no target.
pub(crate) fn wish(
    node: &Rc<Node>,
    job: &Job,
    failed: Option<Tag>,
    until: Duration,
) -> Result<PlaceRequest, Refusal> {
    let draft = Draft::new(node, job);
    let state = node.state.borrow();
    let home = state.home(&job.service, draft.prefix, job.allowed, node.now());
    let cell = home.ok_or_else(|| Refusal::new(Reason::NoTarget))?;
    Ok(draft.wish(&state, cell, failed, until))
}

/// The same in another region than that of a cell which had no room for it.
pub(crate) fn wish_elsewhere(
    node: &Rc<Node>,
    job: &Job,
    failed: Option<Tag>,
    full: Cell,
    until: Duration,
) -> Option<PlaceRequest> {
    let draft = Draft::new(node, job);
    let state = node.state.borrow();
    let (customer, now) = (draft.customer(), node.now());
    let cell = state.home_elsewhere(full, draft.prefix, customer, job.allowed, now)?;
    let wish = draft.wish(&state, cell, failed, until);
    Some(PlaceRequest {
        demand_counted: true,
        ..wish
    })
}

/// What is known of a request before its cell is.
struct Draft<'a> {
    node: &'a Node,
    job: &'a Job,
    content: Option<ContentTag>,
    /// Its prefix, or a number that stands for it.
    prefix: Prefix,
    draw: u64,
}

impl<'a> Draft<'a> {
    fn new(node: &'a Node, job: &'a Job) -> Self {
        let draw = node.draw();
        let state = node.state.borrow();
        let known = state.quarantine.status(job.content, node.now()) != Status::Free;
        let asked = known || !state.answered.contains(job.content);
        let content = asked.then(|| job.content.tag());
        // All that run a content that was not answered yet are placed by one owner.
        let spread = content.map_or(draw, |it| it.0);
        let prefix = job.prompt.as_deref().and_then(Prompt::prefix);
        Self {
            node,
            job,
            content,
            prefix: prefix.unwrap_or(Prefix(spread)),
            draw,
        }
    }

    /// The customer that is charged for it.
    fn customer(&self) -> Option<CustomerTag> {
        let customer = self.job.customer.as_ref();
        customer.filter(|_| self.job.cost > 0).map(share::tag)
    }

    fn wish(self, state: &State, cell: Cell, failed: Option<Tag>, until: Duration) -> PlaceRequest {
        let customer = self.customer();
        let Self { node, job, .. } = self;
        let mut avoid = state.ejected_targets(cell, node.now());
        avoid.extend(failed);
        PlaceRequest {
            cell,
            router: node.peer,
            domain: node.settings.domain.clone(),
            allowed: job.allowed,
            content: self.content,
            prompt: job.prompt.clone(),
            customer,
            cost: job.cost,
            objective: job.route.objective,
            arrived: job.arrived,
            is_retry: job.returning,
            demand_counted: failed.is_some(),
            failed: failed.is_some(),
            avoid,
            deadline: until,
            claim: Claim::All,
            tie_breaker: self.draw,
        }
    }
}

async fn run(node: &Rc<Node>, job: &Rc<Job>) -> Result<Response<Content>, Refusal> {
    let mut sends = 0;
    let mut exclude = None;
    let mut tries = 0;
    // A failure after which the request may have run; no refusal may deny it later.
    let mut may_have_run: Option<Failure> = None;
    loop {
        tries += 1;
        let lease = lending::place(node, job, exclude).await;
        let lease = lease.map_err(|refusal| match may_have_run {
            Some(failure) => final_refusal(node, job, failure),
            None => with_return(node, job, refusal),
        })?;
        let target = lease.target.clone();
        tell::sent(node, job, &lease, sends);
        let limit = answer_limit(node, job, sends);
        sends += 1;
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
        tell::failure(node, job, &target.id, failure);
        exclude = Some(target.tag());
        if matches!(failure.verdict, Verdict::Unknown | Verdict::Repeat) {
            may_have_run = Some(failure);
        }
        if !again(node, job, failure, sends, tries) {
            let failure = may_have_run.unwrap_or(failure);
            return Err(final_refusal(node, job, failure));
        }
    }
}

/// How long this try to place a request may last. It counts from now and not from the arrival, as a
/// second try comes after a target has had the request for longer than that.
pub(crate) fn give_up_at(node: &Rc<Node>, job: &Job) -> Duration {
    let patience = &node.settings.patience;
    let part = if job.returning {
        patience.returning
    } else {
        patience.first
    };
    let until = node.now() + job.route.objective.mul_f64(part);
    until.min(job.deadline)
}

fn answer_limit(node: &Rc<Node>, job: &Job, sends: u32) -> Duration {
    let more = sends + 1 < job.route.attempts;
    if job.route.kind == Kind::Idempotent && more {
        let part = job.route.objective.mul_f64(ANSWER_PART);
        return job.deadline.min(node.now() + part);
    }
    job.deadline
}

fn again(node: &Rc<Node>, job: &Job, failure: Failure, sends: u32, tries: u32) -> bool {
    let attempts = job.route.attempts;
    let over = node.now() >= job.deadline || tries > attempts + EXTRA_SENDS;
    if over || unsafe_to_send(node, job).is_some() {
        return false;
    }
    match failure.verdict {
        Verdict::NotSent | Verdict::Repeat => true,
        Verdict::NotRun => node.may_repeat(&job.service),
        Verdict::Unknown => {
            let repeatable = matches!(job.route.kind, Kind::Idempotent | Kind::Resumable);
            repeatable && sends < attempts && node.may_repeat(&job.service)
        }
    }
}

fn final_refusal(node: &Rc<Node>, job: &Job, failure: Failure) -> Refusal {
    let expired = node.now() >= job.deadline;
    let reason = match (failure.verdict, expired) {
        (Verdict::Unknown | Verdict::Repeat, true) => Reason::Expired,
        (Verdict::Unknown | Verdict::Repeat, false) => Reason::TargetFailed,
        (_, true) => Reason::ExpiredUnsent,
        (Verdict::NotSent, false) => Reason::NoTarget,
        (Verdict::NotRun, false) => Reason::TurnedAway,
    };
    with_return(node, job, Refusal::new(reason))
}

fn with_return(node: &Rc<Node>, job: &Job, refusal: Refusal) -> Refusal {
    let unavailable = refusal.reason.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
    if !unavailable || refusal.retry_after.is_some() {
        return refusal;
    }
    let part = node.settings.patience.come_back;
    refusal.with_retry_after(job.route.objective.mul_f64(part))
}

/// Turns a target's answer into the caller's.
async fn accept(
    node: &Rc<Node>,
    job: &Rc<Job>,
    attempt: Attempt,
    sends: u32,
) -> Result<Response<Content>, Failure> {
    if attempt.head.status.is_server_error() {
        let repeatable = job.route.kind == Kind::Idempotent && sends < job.route.attempts;
        if repeatable && node.may_repeat(&job.service) {
            attempt.lease.survived();
            return Err(Failure {
                verdict: Verdict::Repeat,
                reason: "target_error",
            });
        }
    }
    if job.route.kind.streams() && attempt.head.status.is_success() {
        let head = answer_head(&attempt.head, true);
        let relay = Relay::new(node.clone(), job.clone(), attempt, sends);
        return Ok(Response::from_parts(
            head,
            Content::Relayed(Box::new(relay)),
        ));
    }
    whole(node, job, attempt, sends).await
}

/// Reads a plain answer to its end before it is passed on, so that one cut short can be tried again.
async fn whole(
    node: &Rc<Node>,
    job: &Job,
    mut attempt: Attempt,
    sends: u32,
) -> Result<Response<Content>, Failure> {
    let limit = answer_limit(node, job, sends.saturating_sub(1));
    let reading = Limited::new(&mut attempt.body, WHOLE_ANSWER).collect();
    let read = node.until(limit, reading).await;
    let body = match read {
        Some(Ok(body)) => body.to_bytes(),
        broken => {
            attempt.lease.note(Outcome::Bad);
            attempt.lease.cut(match broken {
                Some(_) => Break::Closed,
                None => Break::Silent,
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
    attempt.lease.note(outcome);
    attempt.lease.survived();
    let head = answer_head(&attempt.head, false);
    let line = node.journal.line("answered").with("id", job.id.as_ref());
    let line = line
        .with("status", head.status.as_u16())
        .with("sends", sends);
    drop(line.with_ms("after_ms", node.now().saturating_sub(job.arrived)));
    let whole = node.now().saturating_sub(job.arrived);
    node.metrics.time("answer_seconds", &job.route.name, whole);
    attempt.finish(node);
    Ok(Response::from_parts(head, Content::Whole(body)))
}

fn answer_head(head: &response::Parts, stream: bool) -> response::Parts {
    let mut answer = Response::new(()).into_parts().0;
    answer.status = head.status;
    answer.headers = head.headers.clone();
    for name in CONNECTION_HEADERS {
        answer.headers.remove(name);
    }
    if stream {
        answer.headers.remove(CONTENT_LENGTH);
    }
    answer
}
