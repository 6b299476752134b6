//! Forwarding of a target's answer to the caller.
//!
//! A stream of events is forwarded event by event. If its target fails, a resumable stream is
//! resumed at another target within the same answer. The failed attempt is dropped first, so that
//! no two targets work on the stream. Dropping a [`Relay`], for example because the caller has
//! disconnected, ends the work at the target.

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
use crate::event::Splitter;
use crate::exchange;
use crate::interruption::Cause;
use crate::journal::millis;
use crate::node::Node;
use crate::observation::Pauses;

/// Time without data after which a resumable stream is resumed at another target, in multiples of
/// the route's objective.
const SILENCE_FACTOR: f64 = 2.0;

/// Limit of targets that are tried to resume a stream, if targets refuse it.
const MAX_RESUME_TARGETS: u32 = 3;

/// Reason of a failure by a closed connection.
const CONNECTION_CLOSED: &str = "broken_off";

/// Failure of an answer before its end, after which the caller's connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("answer is incomplete: {reason}"))]
pub struct Error {
    /// Why.
    pub reason: &'static str,
}

type Item = Option<Result<Bytes, Error>>;
type NextFuture = Pin<Box<dyn Future<Output = (Box<Stream>, Item)>>>;

enum Phase {
    Idle(Box<Stream>),
    Busy(NextFuture),
    Done,
}

/// Body of an answer that is forwarded from a target.
pub struct Relay {
    phase: Phase,
}

impl Relay {
    /// Forwards the answer of `attempt`.
    #[must_use]
    pub fn new(node: Rc<Node>, job: Rc<Job>, attempt: Attempt, sends: u32) -> Self {
        let splitter = Splitter::new(job.resume_after);
        let stream = Stream {
            node,
            job,
            attempt: Some(attempt),
            splitter,
            sends,
            answering: false,
            ended: false,
            timing: Timing::default(),
            pauses: Pauses::default(),
        };
        Self {
            phase: Phase::Idle(Box::new(stream)),
        }
    }

    /// Polls for the next bytes for the caller.
    pub fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Item> {
        loop {
            match std::mem::replace(&mut self.phase, Phase::Done) {
                Phase::Done => return Poll::Ready(None),
                Phase::Idle(mut stream) => {
                    self.phase = Phase::Busy(Box::pin(async move {
                        let next = stream.next().await;
                        (stream, next)
                    }));
                }
                Phase::Busy(mut future) => match future.as_mut().poll(context) {
                    Poll::Pending => {
                        self.phase = Phase::Busy(future);
                        return Poll::Pending;
                    }
                    Poll::Ready((stream, next)) => {
                        if matches!(next, Some(Ok(_))) {
                            self.phase = Phase::Idle(stream);
                        }
                        return Poll::Ready(next);
                    }
                },
            }
        }
    }
}

/// State of an answer that is being forwarded.
struct Stream {
    node: Rc<Node>,
    job: Rc<Job>,
    attempt: Option<Attempt>,
    splitter: Splitter,
    sends: u32,
    answering: bool,
    ended: bool,
    timing: Timing,
    pauses: Pauses,
}

/// Arrival times of events.
#[derive(Clone, Copy, Debug, Default)]
struct Timing {
    first: Option<Duration>,
    last: Duration,
    longest_pause: Duration,
}

impl Timing {
    fn record(&mut self, now: Duration) {
        if self.first.is_some() {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.ended {
            self.report("caller_left", "caller_left");
        }
    }
}

/// Result of reading from a target's body.
enum Chunk {
    Bytes(Bytes),
    End,
    Failed(&'static str),
}

impl Stream {
    async fn next(&mut self) -> Item {
        loop {
            if self.ended {
                return None;
            }
            let started = self.node.now();
            let chunk = self.read_chunk().await;
            let waited = self.node.now().saturating_sub(started);
            self.pauses.record_wait(waited);
            match chunk {
                Chunk::Bytes(bytes) => {
                    self.record_data();
                    if let Some(events) = self.splitter.push(bytes) {
                        self.timing.record(self.node.now());
                        self.record_pause();
                        return Some(Ok(events));
                    }
                }
                Chunk::End => {
                    let rest = self.splitter.take_incomplete();
                    self.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Chunk::Failed(reason) => {
                    self.log_interruption(reason);
                    if let Err(error) = self.resume(reason).await {
                        self.ended = true;
                        self.report("broken_off", error.reason);
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    async fn read_chunk(&mut self) -> Chunk {
        let limit = self.limit();
        let Some(attempt) = &mut self.attempt else {
            return Chunk::Failed("no_attempt");
        };
        match self.node.timeout_at(limit, attempt.body.frame()).await {
            None if limit >= self.job.deadline => Chunk::Failed("expired"),
            None => Chunk::Failed("silent"),
            Some(None) => Chunk::End,
            Some(Some(Err(_))) => Chunk::Failed(CONNECTION_CLOSED),
            Some(Some(Ok(frame))) => Chunk::Bytes(frame.into_data().unwrap_or_default()),
        }
    }

    fn limit(&self) -> Duration {
        let deadline = self.job.deadline;
        if self.is_resumable() {
            let silence = self.job.route.objective.mul_f64(SILENCE_FACTOR);
            return deadline.min(self.node.now() + silence);
        }
        deadline
    }

    fn is_resumable(&self) -> bool {
        self.job.route.kind == Kind::Resumable && self.sends < self.job.route.attempts
    }

    fn record_data(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        attempt.lease.record_progress();
        if !std::mem::replace(&mut self.answering, true) {
            attempt.lease.record_prefill_end();
        }
    }

    /// Records an event, and the stream as paused if it is the first time that it is.
    fn record_pause(&mut self) {
        let Some(objective) = self.job.route.pause_objective else {
            return;
        };
        if self.pauses.record_event(objective)
            && let Some(attempt) = &self.attempt
        {
            attempt.lease.record_stream(true, self.pauses.longest());
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(attempt) = self.attempt.as_ref().filter(|_| self.pauses.ends_clean()) {
            attempt.lease.record_stream(false, self.pauses.longest());
        }
        if let Some(attempt) = self.attempt.take() {
            attempt.lease.record_outcome(Outcome::Good);
            attempt.finish(&self.node);
        }
        self.report("answered", "complete");
    }

    fn report(&self, event: &str, reason: &str) {
        let node = &self.node;
        let line = node.journal.line(event).with("id", self.job.id.as_ref());
        let line = line.with("reason", reason).with("sends", self.sends);
        let line = line.with("last_event", self.splitter.last_id());
        let first = self
            .timing
            .first
            .map(|it| millis(it.saturating_sub(self.job.arrived)));
        let line = line.with("first_ms", first);
        let line = line.with_ms("longest_pause_ms", self.timing.longest_pause);
        drop(line.with_ms("after_ms", node.now().saturating_sub(self.job.arrived)));
        node.metrics.add("streams", reason, 1);
        let route = &self.job.route.name;
        if let Some(first) = self.timing.first {
            let time = first.saturating_sub(self.job.arrived);
            node.metrics.time("first_event_seconds", route, time);
            node.metrics
                .time("longest_pause_seconds", route, self.timing.longest_pause);
        }
        let total = node.now().saturating_sub(self.job.arrived);
        node.metrics.time("answer_seconds", route, total);
    }

    /// Logs that the answer broke off at its target.
    fn log_interruption(&self, reason: &str) {
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

    /// Resumes the stream at another target, or returns why that is not possible. A target that
    /// refuses the request has not run it, so the next one is tried.
    async fn resume(&mut self, reason: &'static str) -> Result<(), Error> {
        drop(self.splitter.take_incomplete());
        let mut failed = self.end_attempt(reason);
        let mut reason = reason;
        if !self.may_resume() {
            return Err(Error { reason });
        }
        self.report("resumed", reason);
        self.sends += 1;
        self.answering = false;
        self.pauses = Pauses::default();
        for _ in 0..MAX_RESUME_TARGETS {
            let until = self.job.deadline;
            let Ok(wish) = exchange::placement_request(&self.node, &self.job, failed, until) else {
                return Err(Error {
                    reason: "no_target",
                });
            };
            let Ok(lease) = self.node.place(wish).await else {
                return Err(Error { reason: "no_room" });
            };
            let target = lease.target.tag();
            let limit = self.job.deadline;
            let last = self.splitter.last_id();
            match attempt::send(&self.node, &self.job, lease, last, limit).await {
                Ok(attempt) if attempt.head.status.is_success() => {
                    self.attempt = Some(attempt);
                    return Ok(());
                }
                Ok(_) => {
                    let reason = "not_resumed";
                    return Err(Error { reason });
                }
                Err(failure) => {
                    reason = failure.reason;
                    failed = Some(target);
                    let ran = !matches!(failure.verdict, Verdict::NotSent | Verdict::NotRun);
                    if ran || !self.may_repeat() {
                        break;
                    }
                }
            }
        }
        Err(Error { reason })
    }

    /// Ends the work of an attempt that failed; returns its target.
    fn end_attempt(&mut self, reason: &'static str) -> Option<Tag> {
        let attempt = self.attempt.take()?;
        if reason != "expired" {
            attempt.lease.record_outcome(Outcome::Bad);
            attempt
                .lease
                .record_interruption(if reason == CONNECTION_CLOSED {
                    Cause::Closed
                } else {
                    Cause::Silent
                });
        }
        Some(attempt.lease.target.tag())
    }

    fn may_resume(&self) -> bool {
        self.is_resumable() && self.may_repeat()
    }

    /// Whether there is time to send the request again, its content is not quarantined, and the
    /// retry budget allows it.
    fn may_repeat(&self) -> bool {
        let expired = self.node.now() >= self.job.deadline;
        let unsafe_to_send = exchange::quarantine_refusal(&self.node, &self.job).is_some();
        !expired && !unsafe_to_send && self.node.try_take_retry(&self.job.service)
    }
}
