//! A target's answer on its way to the caller.
//!
//! A stream of events is passed on event by event. One that may be resumed goes
//! on at another target, within the same answer, when its target fails: the
//! attempt before is dropped first, so that no two targets work on it. Dropping
//! a [`Relay`], as when the caller has left, ends the work at the target.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::configuration::Kind;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::target::Tag;
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::attempt::{self, Attempt, Job, Verdict};
use crate::cut::Break;
use crate::event::Splitter;
use crate::exchange;
use crate::journal::millis;
use crate::node::Node;

/// Silence of a stream, in objectives, after which it goes on elsewhere if it may.
const SILENCE: f64 = 2.0;

/// Places that a stream which goes on is given at the most, where targets turn it away.
const PLACES: u32 = 3;

/// Why a stream failed whose connection was closed.
const CLOSED: &str = "broken_off";

/// An answer ends before its end; the caller's connection is broken off.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off: {reason}"))]
pub struct Broken {
    /// Why.
    pub reason: &'static str,
}

type Next = Option<Result<Bytes, Broken>>;
type Step = Pin<Box<dyn Future<Output = (Box<Flow>, Next)>>>;

enum Phase {
    Idle(Box<Flow>),
    Busy(Step),
    Done,
}

/// The body of an answer that comes from a target.
pub struct Relay {
    phase: Phase,
}

impl Relay {
    /// Passes on the answer of `attempt`.
    #[must_use]
    pub fn new(node: Rc<Node>, job: Rc<Job>, attempt: Attempt, sends: u32) -> Self {
        let splitter = Splitter::new(job.resume_after);
        let flow = Flow {
            node,
            job,
            attempt: Some(attempt),
            splitter,
            sends,
            begun: false,
            ended: false,
            pace: Pace::default(),
        };
        Self {
            phase: Phase::Idle(Box::new(flow)),
        }
    }

    /// The next bytes for the caller.
    pub fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Next> {
        loop {
            match std::mem::replace(&mut self.phase, Phase::Done) {
                Phase::Done => return Poll::Ready(None),
                Phase::Idle(mut flow) => {
                    self.phase = Phase::Busy(Box::pin(async move {
                        let next = flow.next().await;
                        (flow, next)
                    }));
                }
                Phase::Busy(mut step) => match step.as_mut().poll(context) {
                    Poll::Pending => {
                        self.phase = Phase::Busy(step);
                        return Poll::Pending;
                    }
                    Poll::Ready((flow, next)) => {
                        if matches!(next, Some(Ok(_))) {
                            self.phase = Phase::Idle(flow);
                        }
                        return Poll::Ready(next);
                    }
                },
            }
        }
    }
}

/// An answer under way.
struct Flow {
    node: Rc<Node>,
    job: Rc<Job>,
    attempt: Option<Attempt>,
    splitter: Splitter,
    sends: u32,
    begun: bool,
    ended: bool,
    pace: Pace,
}

/// When events came.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<Duration>,
    last: Duration,
    longest_pause: Duration,
}

impl Pace {
    fn event(&mut self, now: Duration) {
        if self.first.is_some() {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if !self.ended {
            self.tell("caller_left", "caller_left");
        }
    }
}

/// What a target's body brings next.
enum Piece {
    Bytes(Bytes),
    End,
    Failed(&'static str),
}

impl Flow {
    async fn next(&mut self) -> Next {
        loop {
            if self.ended {
                return None;
            }
            match self.piece().await {
                Piece::Bytes(bytes) => {
                    self.heard();
                    if let Some(whole) = self.splitter.push(bytes) {
                        self.pace.event(self.node.now());
                        return Some(Ok(whole));
                    }
                }
                Piece::End => {
                    let rest = self.splitter.take_rest();
                    self.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Piece::Failed(reason) => {
                    self.tell_cut(reason);
                    if let Err(broken) = self.go_on(reason).await {
                        self.ended = true;
                        self.tell("broken_off", broken.reason);
                        return Some(Err(broken));
                    }
                }
            }
        }
    }

    async fn piece(&mut self) -> Piece {
        let limit = self.limit();
        let Some(attempt) = &mut self.attempt else {
            return Piece::Failed("no_attempt");
        };
        match self.node.timeout_at(limit, attempt.body.frame()).await {
            None if limit >= self.job.deadline => Piece::Failed("expired"),
            None => Piece::Failed("silent"),
            Some(None) => Piece::End,
            Some(Some(Err(_))) => Piece::Failed(CLOSED),
            Some(Some(Ok(frame))) => Piece::Bytes(frame.into_data().unwrap_or_default()),
        }
    }

    fn limit(&self) -> Duration {
        let deadline = self.job.deadline;
        if self.may_go_on() {
            let silence = self.job.route.objective.mul_f64(SILENCE);
            return deadline.min(self.node.now() + silence);
        }
        deadline
    }

    fn may_go_on(&self) -> bool {
        self.job.route.kind == Kind::Resumable && self.sends < self.job.route.attempts
    }

    fn heard(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        attempt.lease.record_progress();
        if !std::mem::replace(&mut self.begun, true) {
            attempt.lease.record_prefill_end();
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(attempt) = self.attempt.take() {
            attempt.lease.record_outcome(Outcome::Good);
            attempt.finish(&self.node);
        }
        self.tell("answered", "complete");
    }

    fn tell(&self, event: &str, reason: &str) {
        let node = &self.node;
        let line = node.journal.line(event).with("id", self.job.id.as_ref());
        let line = line.with("reason", reason).with("sends", self.sends);
        let line = line.with("last_event", self.splitter.last());
        let first = self
            .pace
            .first
            .map(|it| millis(it.saturating_sub(self.job.arrived)));
        let line = line.with("first_ms", first);
        let line = line.with_ms("longest_pause_ms", self.pace.longest_pause);
        drop(line.with_ms("after_ms", node.now().saturating_sub(self.job.arrived)));
        node.metrics.add("streams", reason, 1);
        let route = &self.job.route.name;
        if let Some(first) = self.pace.first {
            let time = first.saturating_sub(self.job.arrived);
            node.metrics.time("first_event_seconds", route, time);
            node.metrics
                .time("longest_pause_seconds", route, self.pace.longest_pause);
        }
        let whole = node.now().saturating_sub(self.job.arrived);
        node.metrics.time("answer_seconds", route, whole);
    }

    /// The answer broke off under its target.
    fn tell_cut(&self, reason: &str) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let node = &self.node;
        let line = node.journal.line("stream_cut");
        let line = line.with("id", self.job.id.as_ref());
        let line = line.with("target", attempt.lease.target.id.as_ref());
        let line = line.with("content", self.job.content.to_string());
        drop(line.with("reason", reason));
    }

    /// Goes on at another target, or says why that can't be. A target that turns it away has run
    /// nothing, so the next one is asked.
    async fn go_on(&mut self, reason: &'static str) -> Result<(), Broken> {
        drop(self.splitter.take_rest());
        let mut failed = self.end_attempt(reason);
        let mut reason = reason;
        if !self.may_resume() {
            return Err(Broken { reason });
        }
        self.tell("resumed", reason);
        self.sends += 1;
        self.begun = false;
        for _ in 0..PLACES {
            let until = self.job.deadline;
            let Ok(wish) = exchange::wish(&self.node, &self.job, failed, until) else {
                return Err(Broken {
                    reason: "no_target",
                });
            };
            let Ok(lease) = self.node.place(wish).await else {
                return Err(Broken { reason: "no_room" });
            };
            let tag = lease.target.tag();
            let limit = self.job.deadline;
            let last = self.splitter.last();
            match attempt::send(&self.node, &self.job, lease, last, limit).await {
                Ok(attempt) if attempt.head.status.is_success() => {
                    self.attempt = Some(attempt);
                    return Ok(());
                }
                Ok(_) => {
                    let reason = "not_resumed";
                    return Err(Broken { reason });
                }
                Err(failure) => {
                    reason = failure.reason;
                    failed = Some(tag);
                    let ran = !matches!(failure.verdict, Verdict::NotSent | Verdict::NotRun);
                    if ran || !self.may_repeat() {
                        break;
                    }
                }
            }
        }
        Err(Broken { reason })
    }

    /// Ends the work of an attempt that failed; its target.
    fn end_attempt(&mut self, reason: &'static str) -> Option<Tag> {
        let attempt = self.attempt.take()?;
        if reason != "expired" {
            attempt.lease.record_outcome(Outcome::Bad);
            attempt.lease.record_interruption(if reason == CLOSED {
                Break::Closed
            } else {
                Break::Silent
            });
        }
        Some(attempt.lease.target.tag())
    }

    fn may_resume(&self) -> bool {
        self.may_go_on() && self.may_repeat()
    }

    /// Whether there is time to send it once more, it ends no target, and the budget allows it.
    fn may_repeat(&self) -> bool {
        let expired = self.node.now() >= self.job.deadline;
        let harmful = exchange::unsafe_to_send(&self.node, &self.job).is_some();
        !expired && !harmful && self.node.try_take_retry(&self.job.service)
    }
}
