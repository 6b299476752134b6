//! A plain service: it answers any call after a set service time and counts
//! how often each call ran.
//!
//! The counts are the point. A test of "at most once" asks `GET /admin/runs`
//! and finds, per request id and idempotency key, how many times the service
//! did the work, whatever the caller was told. A run is counted when the work
//! starts, before its answer can be lost. The answer repeats the request's id
//! and a digest of its body, so that a caller can tell its own answer from
//! another's.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::Server;
use crate::http::{Answer, Handler, Request};

/// How often a wedged call looks whether the fault has ended.
const WEDGE_POLL: Duration = Duration::from_millis(20);

/// How a plain service behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Time that one call takes.
    pub service_time: Duration,
    /// Calls that run at once; more wait.
    pub slots: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Duration::from_millis(20),
            slots: 8,
        }
    }
}

/// Faults on demand; each post replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuse calls with 429 and the promise that they did not run.
    pub refuse: bool,
    /// Accept calls and answer none while set.
    pub wedge: bool,
    /// Answer with bytes that are no JSON.
    pub garbage: bool,
    /// Run the next so many calls and close their connections unanswered.
    pub lose_answers: u64,
    /// Wait this long before each call, in milliseconds.
    pub delay_ms: u64,
}

/// How often one call ran.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// The call's `x-request-id`; empty when it had none.
    pub request_id: String,
    /// The call's `idempotency-key`, when it had one.
    pub idempotency_key: Option<String>,
    /// Number of runs.
    pub count: u64,
}

/// The answer of `GET /admin/runs`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Record {
    /// Runs in the order of request id and key.
    pub runs: Vec<Run>,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Receipt {
    /// The call's `x-request-id`.
    pub request_id: String,
    /// The path that was called.
    pub path: String,
    /// How often this call has run by now.
    pub run: u64,
    /// Digest of the call's body, see [`digest`].
    pub digest: String,
}

/// The digest of a body in a [`Receipt`].
#[must_use]
pub fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxh64(body, 0))
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    request_id: String,
    idempotency_key: Option<String>,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<Key, u64>,
    running: usize,
    fault: Fault,
    stopped: bool,
}

struct Service {
    settings: Settings,
    state: Mutex<State>,
    freed: Condvar,
}

/// Starts a plain service.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Server> {
    let listen = settings.listen;
    let service = Service {
        settings,
        state: Mutex::default(),
        freed: Condvar::new(),
    };
    Server::start(listen, Arc::new(service))
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admin(&self, request: &Request) -> Answer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/admin/runs") => Answer::ok(&self.record()),
            (&Method::POST, "/admin/faults") => match request.json::<Fault>() {
                Ok(fault) => {
                    self.lock().fault = fault.clone();
                    Answer::ok(&fault)
                }
                Err(answer) => answer,
            },
            _ => Answer::not_found(),
        }
    }

    fn record(&self) -> Record {
        let state = self.lock();
        let runs = state.runs.iter().map(|(key, &count)| Run {
            request_id: key.request_id.clone(),
            idempotency_key: key.idempotency_key.clone(),
            count,
        });
        Record {
            runs: runs.collect(),
        }
    }

    /// Waits for a slot, counts the run and does the work.
    fn call(&self, request: &Request) -> Answer {
        let fault = self.lock().fault.clone();
        if fault.refuse {
            return Answer::not_run(StatusCode::TOO_MANY_REQUESTS, "refused on demand");
        }
        std::thread::sleep(Duration::from_millis(fault.delay_ms));
        let (key, run, lost) = self.begin(request);
        std::thread::sleep(self.settings.service_time);
        self.finish();
        self.stay_wedged();
        if lost {
            return Answer::Close;
        }
        if fault.garbage {
            return Answer::ok(&"\u{0}garbage");
        }
        Answer::ok(&Receipt {
            request_id: key.request_id,
            path: request.path.clone(),
            run,
            digest: digest(&request.body),
        })
    }

    /// Takes a slot and counts the run; tells whether its answer is to be lost.
    fn begin(&self, request: &Request) -> (Key, u64, bool) {
        let key = Key {
            request_id: request.header("x-request-id").unwrap_or_default().into(),
            idempotency_key: request.header("idempotency-key").map(Into::into),
        };
        let mut state = self.lock();
        while state.running >= self.settings.slots && !state.stopped {
            state = self
                .freed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.running += 1;
        let lost = state.fault.lose_answers > 0;
        state.fault.lose_answers = state.fault.lose_answers.saturating_sub(1);
        let count = state.runs.entry(key.clone()).or_default();
        *count += 1;
        let run = *count;
        (key, run, lost)
    }

    fn finish(&self) {
        self.lock().running -= 1;
        self.freed.notify_one();
    }

    fn stay_wedged(&self) {
        loop {
            let state = self.lock();
            if !state.fault.wedge || state.stopped {
                return;
            }
            drop(state);
            std::thread::sleep(WEDGE_POLL);
        }
    }
}

impl Handler for Service {
    fn handle(&self, request: &Request) -> Answer {
        if request.path.starts_with("/admin/") {
            self.admin(request)
        } else {
            self.call(request)
        }
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.freed.notify_all();
    }
}
