//! How late the events of a streamed answer arrive.
//!
//! A source makes [`EVENTS`] events [`SPACING`] apart and writes into each when it
//! was made, on the clock of this process. The reader takes the difference at each
//! arrival. A router that collected events before it passed them on would show up
//! as a lag of the time that it takes to make them.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Bytes;
use serde::Serialize;
use serde_json::json;
use snafu::{ResultExt, ensure};
use tokio::sync::mpsc;

use super::world::{self, CUSTOMER_KEY, MODEL};
use super::{AnswerSnafu, CallSnafu, Error};
use crate::Server;
use crate::engine::api::{Choice, Chunk, Delta, Usage};
use crate::http::{Answer, Handler, Part, Request};

/// Name of the service that answers so.
pub(super) const SERVICE: &str = "timed";

/// Events with content.
const EVENTS: u32 = 20;

/// Time between two events.
const SPACING: Duration = Duration::from_millis(50);

/// Figures of both ways.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// Events with content.
    pub events: u32,
    /// Time between two of them when made.
    pub spacing_ms: f64,
    /// From the source itself.
    pub direct: Lags,
    /// Through the router.
    pub through: Lags,
}

/// Figures of one streamed answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Lags {
    /// From the call to the first event, in milliseconds.
    #[serde(rename = "first_ms")]
    pub first: f64,
    /// From the call to the last event with content, in milliseconds.
    #[serde(rename = "last_ms")]
    pub last: f64,
    /// Longest time from making an event to its arrival, in milliseconds.
    #[serde(rename = "largest_lag_ms")]
    pub largest: f64,
}

/// Makes timed events.
struct Clock {
    start: Instant,
}

/// A running source.
pub(super) struct Source {
    server: Server,
    clock: Arc<Clock>,
}

impl Source {
    pub fn start() -> Result<Self, Error> {
        let clock = Arc::new(Clock {
            start: Instant::now(),
        });
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let handler: Arc<Clock> = Arc::clone(&clock);
        Ok(Self {
            server: Server::start(listen, handler)?,
            clock,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Reads one answer directly and one through a router.
    pub fn measure(&self, callers: SocketAddr) -> Result<Arrival, Error> {
        Ok(Arrival {
            events: EVENTS,
            spacing_ms: millis(SPACING),
            direct: self.read(self.address())?,
            through: self.read(callers)?,
        })
    }

    fn read(&self, address: SocketAddr) -> Result<Lags, Error> {
        let body = json!({"model": MODEL, "stream": true, "prompt": "Why?"});
        let started = Instant::now();
        let response = world::agent()
            .post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
            .header("x-dunlinward-service", SERVICE)
            .header("content-type", "application/json")
            .send(body.to_string())
            .context(CallSnafu)?;
        let mut arrivals = Vec::new();
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            if let Some(made) = made(&line?) {
                arrivals.push((
                    started.elapsed(),
                    self.clock.start.elapsed().saturating_sub(made),
                ));
            }
        }
        ensure!(
            arrivals.len() == EVENTS as usize,
            AnswerSnafu {
                what: format!("{} of {EVENTS} events arrived", arrivals.len()),
            }
        );
        let lags = arrivals.iter().map(|(_, lag)| *lag);
        Ok(Lags {
            first: millis(arrivals[0].0),
            last: millis(arrivals[arrivals.len() - 1].0),
            largest: millis(lags.max().unwrap_or_default()),
        })
    }
}

impl Handler for Clock {
    fn handle(&self, _: &Request) -> Answer {
        let (parts, receiver) = mpsc::unbounded_channel();
        let start = self.start;
        let thread = std::thread::Builder::new().name("timed-events".into());
        if thread.spawn(move || make(start, &parts)).is_err() {
            return Answer::Close;
        }
        let headers = vec![
            ("content-type", "text/event-stream".to_owned()),
            ("x-stream-id", SERVICE.to_owned()),
        ];
        Answer::Stream(headers, receiver)
    }
}

/// Makes all events of one answer.
fn make(start: Instant, parts: &mpsc::UnboundedSender<Part>) {
    for index in 0..EVENTS {
        std::thread::sleep(SPACING);
        let made = start.elapsed().as_micros().to_string();
        send(parts, event(index, Some(made)));
    }
    send(parts, event(EVENTS, None));
    send(parts, "data: [DONE]\n\n".to_owned());
}

fn send(parts: &mpsc::UnboundedSender<Part>, text: String) {
    // A reader that has left needs no event.
    let _ = parts.send(Part::Data(Bytes::from(text)));
}

fn event(index: u32, content: Option<String>) -> String {
    let usage = content.is_none().then_some(Usage {
        prompt_tokens: 1,
        cached_tokens: 0,
        completion_tokens: EVENTS,
    });
    let chunk = Chunk {
        id: SERVICE.into(),
        object: "chat.completion.chunk".into(),
        model: MODEL.into(),
        choices: vec![Choice {
            index: 0,
            delta: Delta { content },
            finish_reason: usage.map(|_| "stop".into()),
        }],
        usage,
    };
    let data = serde_json::to_string(&chunk).expect("a chunk is plain data");
    format!("id: {index}\ndata: {data}\n\n")
}

/// When the event in a line was made, if it has content.
fn made(line: &str) -> Option<Duration> {
    let chunk: Chunk = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
    let content = chunk.choices.into_iter().next()?.delta.content?;
    content.parse().ok().map(Duration::from_micros)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
