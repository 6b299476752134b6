//! Attempts: one request sent once to one target.
//!
//! An attempt owns a thread of the [`crate::worker::Pool`] from its dispatch to
//! its end and reports through the driver's inbox. Its verdict is strict:
//!
//! - nothing sent (refused, timed out while connecting): not run;
//! - the target's explicit `x-not-run: 1`, unless its status is a success: not run;
//! - anything else after the first byte was sent: may have run;
//! - whole only when the framing of the answer ended as it must, and for a
//!   stream with its own end mark.
//!
//! Answers that are not streamed are read whole before their head is passed on,
//! so a cut one is never half delivered and a repeatable request can be tried
//! again. A plain service's answer is passed on whatever its status; a model
//! engine's error status without `x-not-run` is a broken answer.

mod answer;
pub mod head;
pub mod stream;
pub mod transport;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_kernel::event::Outcome;
use dunlinward_kernel::verdict::{Failure, Verdict};
use ureq::http::Response;
use ureq::{Body, Timeout};

use crate::call::{Call, Permit, Shape};
use crate::metrics::Metrics;
use crate::reply::Closed;
use transport::Exchange;

/// Units of service of one call of a plain service.
pub const CALL_UNITS: u64 = 1;

/// Largest answer that is read whole, in bytes.
pub const ANSWER_LIMIT: u64 = 64 << 20;

/// Longest time to cancel a stream at its engine.
const CANCEL: Duration = Duration::from_secs(2);

/// Header by which a target says that it did not run a request.
const NOT_RUN: &str = "x-not-run";

/// Header that names an engine's stream.
const STREAM_ID: &str = "x-stream-id";

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the target.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long its answer may take.
    pub timeout: Duration,
}

/// One attempt, ready to run.
#[derive(Debug)]
pub struct Attempt {
    call: Arc<Call>,
    number: u32,
    place: Place,
    exchange: Exchange,
    metrics: Arc<Metrics>,
}

/// Proof that an attempt did not run at its target; made only in this module.
#[derive(Debug)]
pub struct NotRun(());

/// How an attempt ended.
#[derive(Debug)]
pub struct Report {
    /// What the kernel is told.
    pub outcome: Outcome,
    /// Proof that the attempt did not run, if it did not.
    pub proof: Option<NotRun>,
    /// Whether the caller is gone.
    pub left: bool,
}

impl Report {
    /// The report on an attempt of which nothing is known.
    #[must_use]
    pub const fn unknown() -> Self {
        Self {
            outcome: Outcome::Failed {
                verdict: Verdict::MayHaveRun,
                failure: Failure::AnswerBroken,
                units: 0,
                delivered: true,
            },
            proof: None,
            left: false,
        }
    }
}

/// Why an attempt stopped before its end.
#[derive(Debug)]
pub(crate) enum Stop {
    /// The target or the way to it failed.
    Failed(Failure),
    /// The target says that it did not run the request.
    Refused,
    /// The caller's end is closed.
    Closed(Closed),
}

/// What an attempt has done so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Units of service used.
    pub units: u64,
    /// Whether the caller has any byte.
    pub delivered: bool,
    /// The engine's name of the stream.
    pub stream: Option<String>,
}

impl Attempt {
    /// An attempt at `place`; it uses up the permit to send.
    #[must_use]
    pub fn new(permit: Permit, number: u32, place: Place, metrics: Arc<Metrics>) -> Self {
        let exchange = Exchange::new(place.timeout);
        Self {
            call: permit.call(),
            number,
            place,
            exchange,
            metrics,
        }
    }

    /// The handle to break the attempt off.
    #[must_use]
    pub fn exchange(&self) -> Exchange {
        self.exchange.clone()
    }

    /// Runs the attempt; `tell` is told of units used while it runs.
    pub fn run(self, mut tell: impl FnMut(u64)) -> Report {
        let mut progress = Progress::default();
        let ended = self.perform(&mut progress, &mut tell);
        self.report(ended, &progress)
    }

    fn perform(&self, progress: &mut Progress, tell: &mut dyn FnMut(u64)) -> Result<(), Stop> {
        if self.exchange.aborted() {
            return Err(Stop::Failed(Failure::Cancelled));
        }
        let response = self.request()?;
        // The library skips other interim answers. This one has no final answer behind it.
        if response.status().is_informational() {
            return Err(Stop::Failed(Failure::AnswerBroken));
        }
        let refused = response.headers().get(NOT_RUN);
        if refused.is_some_and(|value| value == "1") {
            // A success that was not run is a head that was begun twice, and proves nothing.
            let stop = if response.status().is_success() {
                Stop::Failed(Failure::AnswerBroken)
            } else {
                Stop::Refused
            };
            return Err(stop);
        }
        progress.stream = stream_id(&response);
        match self.call.shape {
            Shape::Plain => self.plain(response, progress),
            Shape::Completion => self.completion(response, progress),
            Shape::Stream => self.stream(response, progress, tell),
        }
    }

    fn request(&self) -> Result<Response<Body>, Stop> {
        let request = head::request(&self.call, &self.place, self.number)
            .map_err(|_| Stop::Failed(Failure::AnswerBroken))?;
        let agent = self.exchange.agent();
        let sent = if self.call.body.is_empty() {
            agent.run(request.map(|_| ()))
        } else {
            agent.run(request)
        };
        sent.map_err(|err| Stop::Failed(self.failure(&err)))
    }

    /// What an error of the library means, given whether anything was sent.
    pub(crate) fn failure(&self, err: &ureq::Error) -> Failure {
        let late = matches!(err, ureq::Error::Timeout(_));
        match (self.exchange.sent(), err) {
            (false, ureq::Error::Timeout(Timeout::Connect)) => Failure::ConnectTimeout,
            (false, _) if late => Failure::ConnectTimeout,
            (false, _) => Failure::ConnectRefused,
            (true, _) if late => Failure::AnswerTimeout,
            (true, ureq::Error::Io(_)) => Failure::ConnectionLost,
            (true, _) => Failure::AnswerBroken,
        }
    }

    fn report(&self, ended: Result<(), Stop>, progress: &Progress) -> Report {
        let stop = match ended {
            Ok(()) => {
                return Report {
                    outcome: Outcome::Completed {
                        units: progress.units,
                    },
                    proof: None,
                    left: false,
                };
            }
            Err(stop) => stop,
        };
        let refused = matches!(stop, Stop::Refused);
        let left = matches!(stop, Stop::Closed(Closed::Left));
        let failure = match stop {
            Stop::Refused => Failure::TargetRefused,
            Stop::Closed(_) => Failure::Cancelled,
            Stop::Failed(_) if self.exchange.aborted() => Failure::Cancelled,
            Stop::Failed(failure) => failure,
        };
        let not_run = refused || !self.exchange.sent();
        if !not_run {
            self.cancel(progress);
        }
        Report {
            outcome: Outcome::Failed {
                verdict: verdict(not_run),
                failure,
                units: progress.units,
                delivered: progress.delivered,
            },
            proof: not_run.then_some(NotRun(())),
            left,
        }
    }

    /// Tells the engine that nobody waits for the stream any more.
    fn cancel(&self, progress: &Progress) {
        let Some(stream) = &progress.stream else {
            return;
        };
        let path = format!("/streams/{stream}/cancel");
        let url = transport::url(self.place.address, &path);
        let cancelled = Exchange::new(CANCEL).agent().post(&url).send_empty();
        if let Err(err) = cancelled {
            log::warn!(target = &*self.place.name, request = &*self.call.name; "cancel failed: {err}");
        }
    }
}

fn verdict(not_run: bool) -> Verdict {
    if not_run {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// The stream's id, when it can stand in a path.
fn stream_id(response: &Response<Body>) -> Option<String> {
    let id = response.headers().get(STREAM_ID)?.to_str().ok()?;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (!id.is_empty() && id.bytes().all(plain)).then(|| id.to_owned())
}
