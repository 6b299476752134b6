//! Log lines and metrics of one request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::share::Standing;
use hyper::StatusCode;

use crate::attempt::{Failure, Job};
use crate::dialect::Answer;
use crate::journal::{Line, millis};
use crate::lease::Lease;
use crate::node::Node;
use crate::refusal_log;
use crate::reply::Refusal;

/// Logs a caller that leaves before the head of its answer.
pub struct Disconnect {
    /// The router.
    pub node: Rc<Node>,
    /// The request.
    pub job: Rc<Job>,
    /// Whether it got an answer.
    pub answered: bool,
}

impl Drop for Disconnect {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let node = &self.node;
        let line = node
            .journal
            .line("caller_left")
            .with("id", self.job.id.as_ref());
        drop(line.with_ms("after_ms", node.now().saturating_sub(self.job.arrived)));
        node.metrics.add("callers_left", &self.job.route.name, 1);
    }
}

/// Logs a request that was refused or abandoned.
pub fn refusal(
    node: &Rc<Node>,
    id: &Arc<str>,
    arrived: Duration,
    refused: Refusal,
    job: Option<&Job>,
) {
    let reason = refused.reason;
    node.metrics.add("refusals", reason.name(), 1);
    if refusal_log::lacks_capacity(reason) {
        let now = node.now();
        let entry = refusal_log::Refused {
            reason,
            customer: job.and_then(|it| it.customer.clone()),
            route: job.map(|it| it.route.name.clone()),
            tokens: job.map_or(0, |it| it.cost),
            standing_age: refused.standing_at.map(|at| now.saturating_sub(at)),
        };
        if !refusal_log::record(node, entry) {
            return;
        }
    }
    let line = node.journal.line("refused").with_text("id", id);
    let line = line
        .with("reason", reason.name())
        .with("status", reason.status().as_u16());
    let mut line = line.with_ms("after_ms", node.now().saturating_sub(arrived));
    if let Some(job) = job {
        line = line.with("content", job.content.to_string());
        line = with_properties(job, refused.standing, line);
    }
    let line = line.with("owner", refused.owner.map(|it| it.to_string()));
    let line = line.with("retry_after_ms", refused.retry_after.map(millis));
    let line = line.with("scheduled_ms", refused.scheduled_return.map(millis));
    let age = refused.standing_at.map(|at| node.now().saturating_sub(at));
    let line = line.with("standing_age_ms", age.map(millis));
    drop(node.with_views(line));
}

/// Adds properties of a request and its customer's standing.
fn with_properties(job: &Job, standing: Option<Standing>, line: Line) -> Line {
    let line = line
        .with("route", job.route.name.as_ref())
        .with("customer", job.customer.as_deref())
        .with("returning", job.returning)
        .with_ms("caller_waits_ms", job.caller_timeout)
        .with_ms("objective_ms", job.route.objective)
        .with("cost", job.cost);
    let Some(standing) = standing else {
        return line;
    };
    line.with("granted", standing.granted)
        .with("level", standing.level)
}

/// Logs a request that is sent to a target; `resume_after` is the last event that its caller has.
pub fn sent(node: &Rc<Node>, job: &Job, lease: &Lease, sends: u32, resume_after: Option<u64>) {
    let line = node.journal.line("sent").with("id", job.id.as_ref());
    let line = line.with("target", lease.target.id.as_ref());
    let line = line.with("version", lease.target.version.as_deref());
    let line = line.with("resumes", job.resumes.as_deref());
    let line = line.with("resume_after", resume_after);
    let line = with_properties(job, lease.standing, line);
    let line = line.with("content", job.content.to_string());
    let line = line.with("owner", lease.owner.to_string());
    let line = line.with("hit", lease.hit).with("sends", sends);
    let line = line.with("unread_tokens", lease.unread());
    let line = line.with("fetch_from", lease.fetch.map(|it| it.to_string()));
    let prefix = job.prompt.as_deref().and_then(Prompt::prefix);
    let line = line.with("prefix", prefix.map(|it| format!("{:016x}", it.0)));
    let waited = node.now().saturating_sub(job.arrived);
    let line = line.with_ms("waited_ms", waited);
    drop(node.with_views(line));
}

/// Logs what a target states about itself in an answer, if anything.
pub fn target_notice(
    node: &Rc<Node>,
    job: &Job,
    lease: &Lease,
    status: StatusCode,
    answer: &Answer,
) {
    if !answer.leaving && matches!(answer.backoff, Ok(None)) {
        return;
    }
    let word = match (&answer.backoff, answer.leaving) {
        (Err(_), _) => "malformed",
        (Ok(Some(_)), _) => "backoff",
        (Ok(None), _) => "leaving",
    };
    node.metrics.add("target_words", word, 1);
    let line = node.journal.line("target_says").with("id", job.id.as_ref());
    let line = line.with("target", lease.target.id.as_ref());
    let line = line.with("born", lease.target.born);
    let line = line.with("status", status.as_u16());
    let line = line.with("genuine", answer.genuine);
    let line = line.with("not_run", answer.not_run);
    let line = line.with("leaving", answer.leaving);
    let line = match &answer.backoff {
        Ok(time) => line.with("backoff_ms", time.map(millis)),
        Err(error) => line.with("malformed", error.reason),
    };
    let running = node.state.borrow().usage.own(lease.target.tag()).running;
    drop(line.with("running", running));
}

/// Logs a request whose neighbour was lost before it answered.
pub fn regained(node: &Rc<Node>, job: &Job, failed: Failure) {
    node.metrics.add("failures", failed.reason, 1);
    let line = node.journal.line("request_regained");
    let line = line.with("id", job.id.as_ref());
    let waited = node.now().saturating_sub(job.arrived);
    drop(line.with_ms("after_ms", waited));
}

/// Logs an attempt that brought no answer.
pub fn failure(node: &Rc<Node>, job: &Job, target: &str, failed: Failure) {
    node.metrics.add("failures", failed.reason, 1);
    let line = node
        .journal
        .line("attempt_failed")
        .with("id", job.id.as_ref());
    let line = line.with("target", target).with("reason", failed.reason);
    let line = line.with("content", job.content.to_string());
    drop(line.with("verdict", format!("{:?}", failed.verdict)));
}
