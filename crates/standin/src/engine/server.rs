//! The engine over HTTP: it drives the model with real time.
//!
//! One thread waits for the model's next event, advances the model and hands
//! each event to the connection that its stream is attached to. What a stream
//! says at an index depends only on the stream and the index, so nothing is
//! kept for a resume but the number of events made.
//!
//! A connection that is lost leaves its stream running for `linger`; then the
//! stream is cancelled, which frees its slot. Until the model forgets it, it
//! can be resumed from any index, which attaches it to the new connection and
//! breaks the old one.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hyper::{Method, StatusCode};

use super::api::{self, Fault};
use super::model::{self, Engine, Id, Prompt};
use super::order::Ledger;
use super::sink::{Feed, Sink};
use super::state::{State, Stream};
use crate::Server;
use crate::http::{Answer, Handler, Request, Whole};
use crate::plain::{Record, Run};

/// Longest time between two looks for connections that were lost.
const POLL: Duration = Duration::from_millis(25);

/// How an engine server behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// The model.
    pub model: model::Settings,
    /// Seed of the lost cache events.
    pub seed: u64,
    /// Part of the stream ids that differs between runs of the same engine;
    /// the time of the start when it is not set.
    pub incarnation: Option<u64>,
    /// Tokens of an answer when the request does not say.
    pub default_tokens: u32,
    /// How long a stream runs on after its connection was lost.
    pub linger: Duration,
    /// Whether orders with an old fencing number are refused.
    pub check_fence: bool,
    /// Where a load order fetches weights, if anywhere.
    pub weights: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: model::Settings::default(),
            seed: 1,
            incarnation: None,
            default_tokens: 64,
            linger: Duration::from_secs(5),
            check_fence: true,
            weights: None,
        }
    }
}

struct Service {
    settings: Settings,
    incarnation: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    ledger: Ledger,
}

/// Starts an engine server.
///
/// # Errors
///
/// When the address cannot be bound or a thread cannot be started.
pub fn start(settings: Settings) -> io::Result<Server> {
    let listen = settings.listen;
    let state = State {
        engine: Engine::new(settings.model.clone(), settings.seed),
        streams: BTreeMap::new(),
        runs: BTreeMap::new(),
        fault: Fault::default(),
        stopped: false,
    };
    let service = Arc::new(Service {
        incarnation: settings.incarnation.unwrap_or_else(wall_clock),
        ledger: Ledger::new(settings.check_fence, settings.weights),
        settings,
        started: Instant::now(),
        state: Mutex::new(state),
        changed: Condvar::new(),
    });
    let driven = Arc::downgrade(&service);
    std::thread::Builder::new()
        .name("standin-engine".into())
        .spawn(move || drive(&driven))?;
    Server::start(listen, service)
}

/// Microseconds since the epoch.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    micros(since.unwrap_or_default())
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Drives the model until the server stops.
fn drive(service: &Weak<Service>) {
    while let Some(service) = service.upgrade() {
        let mut state = service.lock();
        if state.stopped {
            return;
        }
        let now = service.now();
        state.pump(now, micros(service.settings.linger));
        let next = state.engine.next_event_at();
        let wait = next.map_or(POLL, |at| {
            Duration::from_micros(at.saturating_sub(now)).min(POLL)
        });
        drop(
            service
                .changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        micros(self.started.elapsed())
    }

    /// Locks the state with the model brought up to the present.
    fn present(&self) -> (MutexGuard<'_, State>, u64) {
        let mut state = self.lock();
        let now = self.now();
        state.pump(now, micros(self.settings.linger));
        (state, now)
    }

    fn id_text(&self, id: Id) -> String {
        format!("{:x}-{}", self.incarnation, id.0)
    }

    fn parse_id(&self, text: &str) -> Option<Id> {
        let (incarnation, number) = text.split_once('-')?;
        let same = u64::from_str_radix(incarnation, 16) == Ok(self.incarnation);
        same.then(|| number.parse().ok().map(Id)).flatten()
    }

    fn complete(&self, request: &Request) -> Answer {
        let body: api::Request = match request.json() {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let (mut state, now) = self.present();
        if state.fault.refuse {
            return Answer::not_run(StatusCode::TOO_MANY_REQUESTS, "refused on demand");
        }
        let run = request.header("x-request-id").unwrap_or_default();
        *state.runs.entry(run.to_owned()).or_default() += 1;
        if state.fault.garbage {
            return garbage();
        }
        let text = body.text();
        let tokens = body.output_tokens(self.settings.default_tokens);
        let id = state.engine.submit(now, Prompt::from_text(&text), tokens);
        let feed = Feed::new(self.id_text(id), body.model, api::tag(&text));
        let (sink, answer) = if body.stream {
            Sink::stream(feed.id(), 0)
        } else {
            Sink::whole()
        };
        state.streams.insert(
            id,
            Stream {
                feed,
                sink: Some(sink),
                detached_at: None,
            },
        );
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn resume(&self, id: &str, request: &Request) -> Answer {
        let from = request.number("from").unwrap_or(0);
        let from = u32::try_from(from).unwrap_or(u32::MAX);
        let (mut state, now) = self.present();
        let Some(id) = self.parse_id(id) else {
            return Answer::not_found();
        };
        if !state.engine.resume(now, id) {
            return Answer::not_found();
        }
        let cut_after = state.fault.cut_after;
        let Some(stream) = state.streams.get_mut(&id) else {
            return Answer::not_found();
        };
        if let Some(old) = stream.sink.take() {
            old.cut();
        }
        let (sink, answer) = Sink::stream(stream.feed.id(), from);
        stream.sink = Some(sink);
        stream.detached_at = None;
        stream.flow(cut_after);
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn cancel(&self, id: &str) -> Answer {
        let (mut state, now) = self.present();
        let Some(id) = self.parse_id(id) else {
            return Answer::not_found();
        };
        if !state.engine.cancel(now, id) {
            return Answer::not_found();
        }
        state.cut(id);
        Answer::ok(&"cancelled")
    }

    fn export(&self, id: &str) -> Answer {
        let (mut state, now) = self.present();
        let Some(id) = self.parse_id(id) else {
            return Answer::not_found();
        };
        let Some(export) = state.engine.export(now, id) else {
            return Answer::not_found();
        };
        state.cut(id);
        let Some(stream) = state.streams.get(&id) else {
            return Answer::not_found();
        };
        let (model, tag) = (stream.feed.model(), stream.feed.tag());
        Answer::ok(&api::Blob::new(model.to_owned(), tag.to_owned(), &export))
    }

    fn import(&self, request: &Request) -> Answer {
        let blob: api::Blob = match request.json() {
            Ok(blob) => blob,
            Err(answer) => return answer,
        };
        let (mut state, now) = self.present();
        let id = state.engine.import(now, blob.export());
        let mut feed = Feed::new(self.id_text(id), blob.model, blob.tag);
        if let Some(last) = blob.generated.checked_sub(1) {
            feed.made(last);
        }
        let imported = api::Imported {
            id: feed.id().to_owned(),
        };
        state.streams.insert(
            id,
            Stream {
                feed,
                sink: None,
                detached_at: Some(now),
            },
        );
        drop(state);
        self.changed.notify_all();
        Answer::ok(&imported)
    }

    fn load(&self) -> Answer {
        let (state, now) = self.present();
        let load = state.engine.load(now);
        Answer::ok(&api::Load {
            running: load.running,
            waiting: load.waiting,
            age_ms: load.age / 1000,
            cached_tokens: load.cached_tokens,
        })
    }

    fn cache_events(&self, request: &Request) -> Answer {
        let from = request.number("from").unwrap_or(0);
        let (state, now) = self.present();
        let page = state.engine.cache_events(now, from);
        Answer::ok(&api::Notices::from(page))
    }

    fn runs(&self) -> Answer {
        let state = self.lock();
        let runs = state.runs.iter().map(|(request_id, &count)| Run {
            request_id: request_id.clone(),
            idempotency_key: None,
            count,
        });
        Answer::ok(&Record {
            runs: runs.collect(),
        })
    }

    fn set_faults(&self, request: &Request) -> Answer {
        let fault: Fault = match request.json() {
            Ok(fault) => fault,
            Err(answer) => return answer,
        };
        let (mut state, now) = self.present();
        state.engine.set_slowdown(fault.slow_percent);
        state.engine.set_wedged(now, fault.wedge);
        state.fault = fault.clone();
        drop(state);
        self.changed.notify_all();
        Answer::ok(&fault)
    }
}

/// An answer that no client of an engine understands.
fn garbage() -> Answer {
    let body = "\u{0}\u{1}garbage".into();
    Answer::Whole(Whole::bytes(StatusCode::OK, "text/event-stream", body))
}

impl Handler for Service {
    fn handle(&self, request: &Request) -> Answer {
        let segments = request.segments();
        match (&request.method, segments.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"] | ["v1", "completions"]) => {
                self.complete(request)
            }
            (&Method::POST, ["streams", "import"]) => self.import(request),
            (&Method::POST, ["streams", id, "cancel"]) => self.cancel(id),
            (&Method::POST, ["streams", id, "export"]) => self.export(id),
            (&Method::GET, ["streams", id]) => self.resume(id, request),
            (&Method::GET, ["load"]) => self.load(),
            (&Method::GET, ["cache", "events"]) => self.cache_events(request),
            (&Method::POST, ["orders"]) => self.ledger.order(request),
            (&Method::GET, ["orders"]) => self.ledger.standing(),
            (&Method::GET, ["admin", "runs"]) => self.runs(),
            (&Method::POST, ["admin", "faults"]) => self.set_faults(request),
            _ => Answer::not_found(),
        }
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}
