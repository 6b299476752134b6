//! Forwarding of a target's answer to the caller.
//!
//! A stream of events is forwarded event by event. If its target fails, a resumable stream is
//! resumed at another target within the same answer. The failed attempt is dropped first, so that
//! no two targets work on the stream. Dropping a [`Relay`], for example because the caller has
//! disconnected, ends the work at the target.
//!
//! [`framing`] determines whether the end of a body is the end of the answer. The framing of the
//! first target's answer is kept for the caller: if a stream that has a framing of its own is
//! resumed at a target whose answer has none, its end is not known, and the caller's connection is
//! closed without it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dunlinward_dispatch::coalescing::{Pace, Policy};
use dunlinward_dispatch::configuration::Kind;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::target::Tag;
use hyper::body::{Body, Frame};
use snafu::Snafu;
use tokio::time::{Instant, Sleep};

use crate::attempt::{self, Attempt, Job, Verdict};
use crate::continuation;
use crate::event::Splitter;
use crate::exchange;
use crate::framing::{self, End, Framing};
use crate::held::Incomplete;
use crate::interruption::Cause;
use crate::journal::millis;
use crate::node::Node;
use crate::observation::Pauses;
use crate::quarantine;
use crate::request_log;

/// Time without data after which a resumable stream is resumed at another target, in multiples of
/// the route's objective.
const SILENCE_FACTOR: f64 = 2.0;

/// Limit of targets that are tried to resume a stream, if targets refuse it.
const MAX_RESUME_TARGETS: u32 = 3;

/// Limit of the bytes of events that are held; more are forwarded at once, so that a fast target
/// does not fill the router's memory.
const MAX_HELD_BYTES: usize = 8 * 1024;

/// Limit of the length of an event; a longer one is taken to have no end.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Limit of the parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// Reason of a failure by a closed connection.
const CONNECTION_CLOSED: &str = "broken_off";

/// Reason of a failure by an end within an event.
const WITHIN_EVENT: &str = "within_event";

/// Reason of a failure by an event that is too long.
const EVENT_TOO_LONG: &str = "event_too_long";

/// Reason of a failure by a target that has terminated at the end of its answer.
const TARGET_ENDED: &str = "target_ended";

/// Reason for which an answer has no end that can be forwarded.
const UNPROVEN: &str = "unproven_end";

/// Failure of an answer before its end, after which the caller's connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("answer is incomplete: {reason}"))]
pub struct Error {
    /// Why.
    pub reason: &'static str,
}

type Item = Option<Result<Bytes, Error>>;
type Resolution = Pin<Box<dyn Future<Output = End>>>;
type Resumption = Pin<Box<dyn Future<Output = (Box<Stream>, Result<(), Error>)>>>;

enum Phase {
    Forwarding(Box<Stream>),
    Resuming(Resumption),
    Done,
}

/// Body of an answer that is forwarded from a target.
pub struct Relay {
    phase: Phase,
    /// What marks the end of the answer to the caller.
    envelope: Framing,
}

impl Relay {
    /// Forwards the answer of `attempt`.
    #[must_use]
    pub fn new(node: Rc<Node>, job: Rc<Job>, attempt: Attempt, sends: u32) -> Self {
        let stream = Stream::new(node, job, attempt, sends);
        Self {
            envelope: stream.envelope,
            phase: Phase::Forwarding(Box::new(stream)),
        }
    }

    /// What marks the end of the answer to the caller.
    #[must_use]
    pub fn envelope(&self) -> Framing {
        self.envelope
    }

    /// Polls for the next bytes for the caller.
    pub fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Item> {
        loop {
            match &mut self.phase {
                Phase::Done => return Poll::Ready(None),
                Phase::Forwarding(stream) => match ready!(stream.poll_step(context)) {
                    Step::Forward(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Step::End => self.phase = Phase::Done,
                    Step::Interrupted(reason) => self.resume(reason),
                },
                Phase::Resuming(resumption) => {
                    let (stream, resumed) = ready!(resumption.as_mut().poll(context));
                    if let Err(error) = resumed {
                        self.phase = Phase::Done;
                        return Poll::Ready(Some(Err(error)));
                    }
                    self.phase = Phase::Forwarding(stream);
                }
            }
        }
    }

    fn resume(&mut self, reason: &'static str) {
        let phase = std::mem::replace(&mut self.phase, Phase::Done);
        if let Phase::Forwarding(stream) = phase {
            self.phase = Phase::Resuming(Box::pin(stream.resumed(reason)));
        }
    }
}

/// State of an answer that is being forwarded.
struct Stream {
    node: Rc<Node>,
    job: Rc<Job>,
    attempt: Option<Attempt>,
    splitter: Splitter,
    /// Charge of the event that is not complete.
    incomplete: Incomplete,
    /// What marks the end of the target's answer.
    framing: Framing,
    /// What marks the end of the answer to the caller.
    envelope: Framing,
    /// Finds out what the end of the body proves.
    resolution: Option<Resolution>,
    /// Bytes of an incomplete event when the answer last ended.
    incomplete_bytes: usize,
    sends: u32,
    answering: bool,
    ended: bool,
    timing: Timing,
    pauses: Pauses,
    /// When the router began to wait for the target, if it does. The runtime's clock stops while
    /// the instance is suspended, so a suspension is no time of waiting.
    read_started: Option<Instant>,
    policy: Policy,
    held: Held,
    /// Reason for which the answer broke off, while events that came before are forwarded.
    interrupted: Option<&'static str>,
    /// Whether these are still to be written.
    flushing: bool,
    /// Time until which data must come; set when a read begins.
    limit: Option<Duration>,
    alarm: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

/// Events that have arrived and are not forwarded yet.
#[derive(Default)]
struct Held {
    bytes: BytesMut,
    /// Time until which they are held.
    until: Duration,
    /// Number of events that were held, or parts with several events that arrived together.
    count: u64,
    /// When events were last forwarded.
    last_forwarded: Option<Duration>,
    /// Wakes the stream at the end of the delay. Reused, as each tick needs one.
    tick: Option<Pin<Box<Sleep>>>,
}

impl Held {
    /// Takes the held events, followed by `more`.
    fn release(&mut self, more: Bytes) -> Bytes {
        if self.bytes.is_empty() {
            return more;
        }
        self.bytes.extend_from_slice(&more);
        self.bytes.split().freeze()
    }

    fn poll_tick(&mut self, node: &Node, context: &mut Context<'_>) -> Poll<()> {
        if node.now() >= self.until {
            return Poll::Ready(());
        }
        let at = node.instant(self.until);
        let tick = self
            .tick
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        if tick.deadline() != at {
            tick.as_mut().reset(at);
        }
        tick.as_mut().poll(context)
    }
}

/// Arrival times of events.
#[derive(Clone, Copy, Debug, Default)]
struct Timing {
    first: Option<Duration>,
    last: Duration,
    last_pause: Duration,
    longest_pause: Duration,
}

impl Timing {
    fn record(&mut self, now: Duration) {
        if self.first.is_some() {
            self.last_pause = now.saturating_sub(self.last);
            self.longest_pause = self.longest_pause.max(self.last_pause);
        }
        self.first.get_or_insert(now);
        self.last = now;
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.node.is_stopped() {
            self.report("answer_cut", "stopped");
        } else {
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

impl From<Option<Result<Frame<Bytes>, hyper::Error>>> for Chunk {
    fn from(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            None => Self::End,
            Some(Err(_)) => Self::Failed(CONNECTION_CLOSED),
            Some(Ok(frame)) => Self::Bytes(frame.into_data().unwrap_or_default()),
        }
    }
}

/// What the stream does next.
enum Step {
    Forward(Bytes),
    Interrupted(&'static str),
    End,
}

impl Stream {
    fn new(node: Rc<Node>, job: Rc<Job>, attempt: Attempt, sends: u32) -> Self {
        let load_policy = &node.settings.load_policy;
        let policy = Policy::new(load_policy.intake_utilization, load_policy.event_delay);
        Self {
            splitter: Splitter::new(job.resume_after),
            incomplete: Incomplete::new(&node.held),
            framing: attempt.framing,
            envelope: framing::envelope(&job.head, &attempt),
            resolution: None,
            incomplete_bytes: 0,
            node,
            job,
            attempt: Some(attempt),
            sends,
            answering: false,
            ended: false,
            timing: Timing::default(),
            pauses: Pauses::default(),
            read_started: None,
            policy,
            held: Held::default(),
            interrupted: None,
            flushing: false,
            limit: None,
            alarm: None,
        }
    }

    fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        loop {
            if self.ended {
                return Poll::Ready(Step::End);
            }
            if self.flushing {
                // The server writes what was forwarded only before a wait, and drops it if an error
                // follows at once.
                self.flushing = false;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            if let Some(reason) = self.interrupted.take() {
                return Poll::Ready(Step::Interrupted(reason));
            }
            if let Some(resolution) = &mut self.resolution {
                let end = ready!(resolution.as_mut().poll(context));
                self.resolution = None;
                self.handle_end(end);
                continue;
            }
            let Poll::Ready(chunk) = self.poll_chunk(context) else {
                if self.held.bytes.is_empty() {
                    return Poll::Pending;
                }
                ready!(self.held.poll_tick(&self.node, context));
                // While the client takes these, the body is not polled.
                self.record_wait();
                return Poll::Ready(self.forward(Bytes::new()));
            };
            if let Some(step) = self.handle(chunk) {
                return Poll::Ready(step);
            }
        }
    }

    /// Handles what was read; returns what to do, if anything yet.
    fn handle(&mut self, chunk: Chunk) -> Option<Step> {
        match chunk {
            Chunk::Bytes(bytes) => {
                self.record_data();
                let limit = self.incomplete.limit(bytes.len());
                let events = self.splitter.push_within(limit, bytes);
                let length = self.splitter.incomplete_bytes();
                self.incomplete.record(length, self.node.now());
                let events = events?;
                if self.splitter.forwarded_bytes() > MAX_EVENT_BYTES {
                    return self.interrupt(EVENT_TOO_LONG);
                }
                self.record_begin();
                self.timing.record(self.node.now());
                self.record_pause();
                self.hold_or_forward(events)
            }
            Chunk::End => {
                self.incomplete_bytes = self.splitter.incomplete_bytes();
                if self.splitter.is_within_event() {
                    return self.interrupt(WITHIN_EVENT);
                }
                let line_ends = self.splitter.take_incomplete();
                self.held.bytes.extend_from_slice(&line_ends);
                self.resolve_end();
                self.flush_held()
            }
            Chunk::Failed(reason) => self.interrupt(reason),
        }
    }

    /// Interrupts the answer once the complete events that were held are forwarded.
    fn interrupt(&mut self, reason: &'static str) -> Option<Step> {
        self.log_interruption(reason);
        self.interrupted = Some(reason);
        self.flush_held()
    }

    /// Forwards the held events, which are delayed neither by a resumption nor by the end.
    fn flush_held(&mut self) -> Option<Step> {
        self.flushing = !self.held.bytes.is_empty();
        self.flushing.then(|| self.forward(Bytes::new()))
    }

    /// Begins to find out what the end of the body proves.
    fn resolve_end(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if self.framing != Framing::Connection {
            self.finish(End::Whole);
            return;
        }
        let (node, job) = (self.node.clone(), self.job.clone());
        let target = attempt.lease.target.clone();
        self.resolution = Some(Box::pin(async move {
            framing::resolve_end(&node, &job, &target, Framing::Connection).await
        }));
    }

    /// Handles the end of the body; all that came before was forwarded.
    fn handle_end(&mut self, end: End) {
        let reason = match end {
            End::Unproven if self.envelope != Framing::Connection => UNPROVEN,
            End::Whole | End::Unproven => return self.finish(end),
            End::Interrupted => TARGET_ENDED,
        };
        self.log_interruption(reason);
        self.interrupted = Some(reason);
    }

    /// Binds the stream to the software version of the target that sends its first event.
    fn record_begin(&self) {
        let first = self.timing.first.is_none();
        if let Some(attempt) = self.attempt.as_ref().filter(|_| first) {
            continuation::record_begin(&self.node, &self.job, &attempt.lease.target);
        }
    }

    fn hold_or_forward(&mut self, events: Bytes) -> Option<Step> {
        let pace = Pace {
            last_forwarded: self.held.last_forwarded,
            last_pause: self.timing.last_pause,
            pause_objective: self.pause_objective(),
        };
        let (utilization, now) = (self.node.utilization.get(), self.timing.last);
        let until = self.policy.hold_until(&pace, utilization, now);
        match until {
            Some(until) if self.held.bytes.len() + events.len() <= MAX_HELD_BYTES => {
                self.held.bytes.extend_from_slice(&events);
                self.held.until = until;
                self.held.count += 1;
                None
            }
            _ => Some(self.forward(events)),
        }
    }

    /// Forwards the held events, followed by `more`.
    fn forward(&mut self, more: Bytes) -> Step {
        self.held.last_forwarded = Some(self.node.now());
        Step::Forward(self.held.release(more))
    }

    /// Longest pause that clients expect; if the route names none, its objective for the first
    /// event.
    fn pause_objective(&self) -> Duration {
        let route = &self.job.route;
        route.pause_objective.unwrap_or(route.objective)
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        self.read_started.get_or_insert_with(Instant::now);
        let limit = if let Some(limit) = self.limit {
            limit
        } else {
            *self.limit.insert(self.read_limit())
        };
        if let Poll::Ready(chunk) = self.poll_body(context) {
            return Poll::Ready(chunk);
        }
        ready!(self.poll_limit(limit, context));
        // Data that is ready by then counts even if this task runs late.
        if let Poll::Ready(chunk) = self.poll_body(context) {
            return Poll::Ready(chunk);
        }
        let expired = limit >= self.job.deadline;
        Poll::Ready(Chunk::Failed(if expired { "expired" } else { "silent" }))
    }

    fn poll_body(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        let Some(attempt) = &mut self.attempt else {
            return Poll::Ready(Chunk::Failed("no_attempt"));
        };
        let frame = ready!(Pin::new(&mut attempt.body).poll_frame(context));
        self.limit = None;
        self.record_wait();
        Poll::Ready(frame.into())
    }

    /// Ends the measurement of the current wait for the target; the next read begins a new one.
    fn record_wait(&mut self) {
        if let Some(started) = self.read_started.take() {
            self.pauses.record_wait(started.elapsed());
        }
    }

    /// Waits until `limit`. The alarm of an earlier read is kept, as most reads end long before
    /// their limit: it fires too early and is then set again.
    fn poll_limit(&mut self, limit: Duration, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let node = &self.node;
            let alarm = self.alarm.get_or_insert_with(|| {
                let node = node.clone();
                Box::pin(async move { node.sleep_until(limit).await })
            });
            ready!(alarm.as_mut().poll(context));
            self.alarm = None;
            if self.node.now() >= limit {
                return Poll::Ready(());
            }
        }
    }

    fn read_limit(&self) -> Duration {
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

    fn finish(&mut self, end: End) {
        self.ended = true;
        if let Some(attempt) = self.attempt.as_ref().filter(|_| self.pauses.ends_clean()) {
            attempt.lease.record_stream(false, self.pauses.longest());
        }
        if let Some(attempt) = self.attempt.take() {
            if end != End::Whole {
                attempt.lease.record_unproven();
            }
            attempt.lease.record_outcome(Outcome::Good);
            attempt.finish(&self.node);
        }
        let reason = if end == End::Whole {
            "complete"
        } else {
            "unproven"
        };
        self.report("answered", reason);
    }

    fn report(&mut self, event: &str, reason: &str) {
        let node = &self.node;
        let line = node.journal.line(event).with("id", self.job.id.as_ref());
        let line = line.with("reason", reason).with("sends", self.sends);
        let line = line.with("last_event", self.splitter.last_id());
        let line = line.with("framing", self.framing.name());
        let line = line.with("incomplete_bytes", self.incomplete_bytes);
        let first = self
            .timing
            .first
            .map(|it| millis(it.saturating_sub(self.job.arrived)));
        let line = line.with("first_ms", first);
        let line = line.with_ms("longest_pause_ms", self.timing.longest_pause);
        let held = std::mem::take(&mut self.held.count);
        let line = line.with("held_events", held);
        drop(line.with_ms("after_ms", node.now().saturating_sub(self.job.arrived)));
        node.metrics.add("streams", reason, 1);
        node.metrics.add("answer_framings", self.framing.name(), 1);
        let route = &self.job.route.name;
        if held > 0 {
            node.metrics.add("held_events", route, held);
        }
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
        let target = &attempt.lease.target;
        let line = line.with("target", target.id.as_ref());
        let line = line.with("version", target.version.as_deref());
        let line = line.with("last_event", self.splitter.last_id());
        let line = line.with("framing", self.framing.name());
        let line = line.with("incomplete_bytes", self.splitter.incomplete_bytes());
        let line = line.with("content", self.job.content.to_string());
        let line = line.with("parts", self.shared_parts());
        let answering = self
            .timing
            .first
            .map(|it| millis(node.now().saturating_sub(it)));
        let line = line.with("answering_ms", answering);
        drop(line.with("reason", reason));
    }

    /// Tags of the first shared parts of the prompt.
    fn shared_parts(&self) -> Vec<String> {
        let prompt = self.job.prompt.iter();
        let parts = prompt.flat_map(|it| it.shared()).take(MAX_LOGGED_PARTS);
        parts.map(|it| format!("{:08x}", it.id)).collect()
    }

    /// Resumes the stream; logs its end if that fails.
    async fn resumed(mut self: Box<Self>, reason: &'static str) -> (Box<Self>, Result<(), Error>) {
        let resumed = self.resume(reason).await;
        if let Err(error) = &resumed {
            self.ended = true;
            self.report("broken_off", error.reason);
        }
        (self, resumed)
    }

    /// Resumes the stream at another target, or returns why that is not possible. A target that
    /// refuses the request has not run it, so the next one is tried.
    async fn resume(&mut self, reason: &'static str) -> Result<(), Error> {
        drop(self.splitter.take_incomplete());
        self.incomplete.record(0, self.node.now());
        let mut failed = self.end_attempt(reason);
        let mut reason = reason;
        if !self.may_resume() {
            return Err(Error { reason });
        }
        self.report("resumed", reason);
        self.sends += 1;
        self.answering = false;
        self.pauses = Pauses::default();
        self.read_started = None;
        // The limit of a silent read has passed; the next target gets a new one.
        self.limit = None;
        self.alarm = None;
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
            request_log::sent(&self.node, &self.job, &lease, self.sends - 1, last);
            self.job.state_send().await;
            match attempt::send(&self.node, &self.job, lease, last, limit).await {
                Ok(attempt) if attempt.head.status.is_success() => {
                    self.framing = attempt.framing;
                    self.attempt = Some(attempt);
                    return Ok(());
                }
                Ok(_) => {
                    return Err(Error {
                        reason: "not_resumed",
                    });
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
        let cause = match reason {
            "expired" => None,
            CONNECTION_CLOSED | WITHIN_EVENT | EVENT_TOO_LONG | TARGET_ENDED | UNPROVEN => {
                Some(Cause::Closed)
            }
            _ => Some(Cause::Silent),
        };
        if let Some(cause) = cause {
            // A target that goes on after an unproven end has not failed.
            if reason != UNPROVEN {
                attempt.lease.record_outcome(Outcome::Bad);
            }
            attempt.lease.record_interruption(cause);
        }
        Some(attempt.lease.target.tag())
    }

    /// Whether another target may go on, which begins with a whole event.
    fn may_resume(&self) -> bool {
        self.is_resumable() && self.splitter.forwarded_bytes() == 0 && self.may_repeat()
    }

    /// Whether there is time to send the request again, its content is not quarantined, and the
    /// retry budget allows it.
    fn may_repeat(&self) -> bool {
        let expired = self.node.now() >= self.job.deadline;
        let unsafe_to_send = quarantine::refusal(&self.node, &self.job).is_some();
        !expired && !unsafe_to_send && self.node.try_take_retry(&self.job.service)
    }
}
