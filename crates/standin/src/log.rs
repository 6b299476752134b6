//! The append-only log service: streams of records with offsets.
//!
//! Offsets start at 0 in each stream and rise by one. A stream keeps its newest
//! `max_records` records; a reader that asks for an older one gets the oldest
//! that is left. Appends over the rate are refused with 429 and have not taken
//! effect. In an outage everything is refused with 503. With `lose_answers` an
//! append takes effect and its connection is closed unanswered, so that the
//! caller cannot tell whether it worked.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::Server;
use crate::http::{Answer, Handler, Request};
use crate::rate::Bucket;

/// Most records in one answer when the reader sets no limit.
const DEFAULT_MAX: u64 = 1000;

/// Longest time that a read may wait for a record.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How the log behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Records that a stream keeps.
    pub max_records: usize,
    /// Appends that are taken in a second over all streams.
    pub appends_per_second: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_records: 100_000,
            appends_per_second: 500,
        }
    }
}

/// Faults on demand; each post replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuse everything with 503.
    pub outage: bool,
    /// The next so many appends take effect and are not answered.
    pub lose_answers: u64,
    /// Wait this long before each call takes effect, in milliseconds.
    pub delay_ms: u64,
}

/// The answer to an append.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// The record's offset.
    pub offset: u64,
}

/// One record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The record's offset.
    pub offset: u64,
    /// The record's text.
    pub data: Arc<str>,
}

/// The answer to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Oldest offset that is kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records in the order of offsets.
    pub records: Vec<Entry>,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Arc<str>>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, data: Arc<str>, keep: usize) -> u64 {
        let offset = self.next();
        self.records.push_back(data);
        while self.records.len() > keep {
            self.records.pop_front();
            self.first += 1;
        }
        offset
    }

    fn page(&self, from: u64, max: u64) -> Page {
        let from = from.max(self.first);
        let upto = self.next().min(from.saturating_add(max));
        let records = (from..upto).filter_map(|offset| {
            let place = usize::try_from(offset - self.first).ok()?;
            let data = Arc::clone(self.records.get(place)?);
            Some(Entry { offset, data })
        });
        Page {
            first: self.first,
            next: self.next(),
            records: records.collect(),
        }
    }
}

struct State {
    streams: BTreeMap<String, Stream>,
    bucket: Bucket,
    fault: Fault,
    stopped: bool,
}

struct Service {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts a log service.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Server> {
    let listen = settings.listen;
    let state = State {
        streams: BTreeMap::new(),
        bucket: Bucket::new(settings.appends_per_second, Instant::now()),
        fault: Fault::default(),
        stopped: false,
    };
    let service = Service {
        settings,
        state: Mutex::new(state),
        changed: Condvar::new(),
    };
    Server::start(listen, Arc::new(service))
}

fn outage() -> Answer {
    Answer::reason(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, request: &Request) -> Answer {
        match request.json::<Fault>() {
            Ok(fault) => {
                self.lock().fault = fault.clone();
                self.changed.notify_all();
                Answer::ok(&fault)
            }
            Err(answer) => answer,
        }
    }

    fn append(&self, stream: &str, request: &Request) -> Answer {
        let Ok(data) = std::str::from_utf8(&request.body) else {
            return Answer::reason(StatusCode::BAD_REQUEST, "record is not UTF-8");
        };
        let mut state = self.lock();
        if state.fault.outage {
            return outage();
        }
        if !state.bucket.take(Instant::now()) {
            return Answer::reason(StatusCode::TOO_MANY_REQUESTS, "append rate");
        }
        let keep = self.settings.max_records;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.append(data.into(), keep);
        self.changed.notify_all();
        if state.fault.lose_answers > 0 {
            state.fault.lose_answers -= 1;
            return Answer::Close;
        }
        Answer::ok(&Receipt { offset })
    }

    fn read(&self, stream: &str, request: &Request) -> Answer {
        let from = request.number("from").unwrap_or(0);
        let max = request.number("max").unwrap_or(DEFAULT_MAX);
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let until = Instant::now() + wait;
        let empty = Stream::default();
        let mut state = self.lock();
        loop {
            if state.fault.outage {
                return outage();
            }
            let page = state.streams.get(stream).unwrap_or(&empty).page(from, max);
            let left = until.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || left.is_zero() || state.stopped {
                return Answer::ok(&page);
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Handler for Service {
    fn handle(&self, request: &Request) -> Answer {
        let segments = request.segments();
        if let (&Method::POST, ["admin", "faults"]) = (&request.method, segments.as_slice()) {
            return self.set_faults(request);
        }
        let delay = self.lock().fault.delay_ms;
        std::thread::sleep(Duration::from_millis(delay));
        match (&request.method, segments.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, request),
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, request),
            _ => Answer::not_found(),
        }
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}
