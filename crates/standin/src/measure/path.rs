//! What a router adds to the time of an answer.
//!
//! The same short completions go to an engine stand-in directly and through a
//! router, in turn from the same client, with the order changed at every pair, so
//! that whatever else the machine does hits both alike. Clients wait for each
//! answer. Added time is the difference of the quantiles of both ways.
//!
//! Slots are plentiful, so that nothing queues: this is the cost of the path, not
//! of sharing. `Arrival` shows that events of a stream pass through as they come.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{ArgMatches, Command};
use serde::Serialize;
use serde_json::json;
use snafu::{ResultExt, ensure};
use ureq::Agent;

use super::arguments::{count, json as json_flag, number};
use super::arrival::{self, Arrival};
use super::machine::Machine;
use super::times::{Quantiles, Times};
use super::world::{self, CUSTOMER_KEY, MODEL, Target, World};
use super::{AnswerSnafu, CallSnafu, Error};
use crate::engine;

/// Answers for each way, kind and concurrency.
const REQUESTS: usize = 500;

/// Clients at once in the moderate case.
const CLIENTS: usize = 8;

/// Pairs that each client makes before it measures.
const WARM_UP: usize = 20;

/// Tokens of an answer.
const TOKENS: u32 = 4;

/// Time of the engine for each token.
const STEP: Duration = Duration::from_millis(2);

/// Slots of the engine, more than there can be calls.
const SLOTS: usize = 256;

/// Name of the short completions' service.
const SHORT: &str = "short";

/// What to measure.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Answers for each way, kind and concurrency.
    pub requests: usize,
    /// Clients at once in the moderate case.
    pub clients: usize,
}

/// The figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The machine before.
    pub before: Machine,
    /// The machine after.
    pub after: Machine,
    /// Figures of one client, then of several.
    pub levels: Vec<Level>,
    /// Arrival of events.
    pub arrival: Arrival,
}

/// Figures of a number of clients.
#[derive(Clone, Debug, Serialize)]
pub struct Level {
    /// Clients at once.
    pub clients: usize,
    /// Answers measured for each way and kind.
    pub requests: usize,
    /// Time to a whole answer that is not streamed.
    pub whole: Compared,
    /// Time to the first token of a streamed answer.
    pub first_token: Compared,
}

/// The two ways.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    /// From the engine itself.
    pub direct: Quantiles,
    /// Through the router.
    pub through: Quantiles,
    /// The difference.
    pub added: Quantiles,
}

/// One way to the engine.
struct Way {
    url: String,
    agent: Agent,
}

/// Both ways of one client.
struct Client {
    ways: [Way; 2],
    times: [Times; 2],
}

/// The command line.
pub(super) fn command() -> Command {
    Command::new("path")
        .about("Time that a router adds, in real time on this machine")
        .arg(number(
            "requests",
            1,
            "Answers for each way, kind and concurrency [default: 500]",
        ))
        .arg(number(
            "clients",
            2,
            "Clients at once in the moderate case [default: 8]",
        ))
        .arg(json_flag())
}

impl Settings {
    /// The settings that a command line asks for.
    #[must_use]
    pub fn new(matches: &ArgMatches) -> Self {
        Self {
            requests: count(matches, "requests").unwrap_or(REQUESTS),
            clients: count(matches, "clients").unwrap_or(CLIENTS).min(SLOTS),
        }
    }
}

/// Makes the measurement.
///
/// # Errors
///
/// When something does not start or a call fails.
pub fn measure(settings: &Settings) -> Result<Report, Error> {
    let before = Machine::now();
    let engine = start_engine()?;
    let timed = arrival::Source::start()?;
    let world = World::new(&[
        Target {
            name: SHORT,
            address: engine.address(),
            slots: SLOTS,
        },
        Target {
            name: arrival::SERVICE,
            address: timed.address(),
            slots: SLOTS,
        },
    ])?;
    let callers = world.router.callers_address();
    let mut levels = Vec::new();
    for clients in [1, settings.clients] {
        levels.push(level(settings, clients, engine.address(), callers)?);
    }
    let arrival = timed.measure(callers)?;
    Ok(Report {
        before,
        after: Machine::now(),
        levels,
        arrival,
    })
}

fn start_engine() -> Result<crate::Server, Error> {
    let settings = engine::Settings {
        model: engine::model::Settings {
            slots: SLOTS,
            step_base: u64::try_from(STEP.as_micros()).unwrap_or(u64::MAX),
            step_slope: 0,
            prefill: 0,
            ..engine::model::Settings::default()
        },
        ..engine::Settings::default()
    };
    Ok(engine::start(settings)?)
}

fn level(
    settings: &Settings,
    clients: usize,
    engine: SocketAddr,
    callers: SocketAddr,
) -> Result<Level, Error> {
    let each = settings.requests.div_ceil(clients);
    Ok(Level {
        clients,
        requests: each * clients,
        whole: compare(clients, each, engine, callers, false)?,
        first_token: compare(clients, each, engine, callers, true)?,
    })
}

/// Lets all clients make their calls.
fn compare(
    clients: usize,
    each: usize,
    engine: SocketAddr,
    callers: SocketAddr,
    stream: bool,
) -> Result<Compared, Error> {
    let results: Vec<Result<[Times; 2], Error>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..clients)
            .map(|_| scope.spawn(|| Client::new(engine, callers).run(each, stream)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("clients do not panic"))
            .collect()
    });
    let mut direct = Times::default();
    let mut through = Times::default();
    for result in results {
        let [one, two] = result?;
        direct.append(one);
        through.append(two);
    }
    let (direct, through) = (direct.quantiles(), through.quantiles());
    Ok(Compared {
        direct,
        through,
        added: through.beyond(direct),
    })
}

impl Client {
    fn new(engine: SocketAddr, callers: SocketAddr) -> Self {
        Self {
            ways: [Way::new(engine), Way::new(callers)],
            times: Default::default(),
        }
    }

    fn run(mut self, pairs: usize, stream: bool) -> Result<[Times; 2], Error> {
        for pair in 0..WARM_UP + pairs {
            for turn in 0..2 {
                let way = (pair + turn) % 2;
                let time = self.ways[way].call(stream)?;
                if pair >= WARM_UP {
                    self.times[way].add(time);
                }
            }
        }
        Ok(self.times)
    }
}

impl Way {
    fn new(address: SocketAddr) -> Self {
        Self {
            url: format!("http://{address}/v1/chat/completions"),
            agent: world::agent(),
        }
    }

    /// Makes one call; gives the time to the whole answer or the first token.
    fn call(&self, stream: bool) -> Result<Duration, Error> {
        let body = json!({
            "model": MODEL,
            "stream": stream,
            "messages": [{"role": "user", "content": engine::api::marker(TOKENS)}],
        });
        let started = Instant::now();
        let response = self
            .agent
            .post(&self.url)
            .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
            .header("x-dunlinward-service", SHORT)
            .header("content-type", "application/json")
            .send(body.to_string())
            .context(CallSnafu)?;
        let status = response.status();
        let reader = BufReader::new(response.into_body().into_reader());
        let (time, text) = read(reader, started, stream)?;
        let last = engine::api::word(&engine::api::tag(&engine::api::marker(TOKENS)), TOKENS - 1);
        ensure!(
            status.is_success() && text.contains(&last),
            AnswerSnafu {
                what: format!("{status}: {text}"),
            }
        );
        Ok(time)
    }
}

/// Reads an answer to its end; gives the time that counts and the text.
fn read(
    mut reader: impl BufRead,
    started: Instant,
    stream: bool,
) -> Result<(Duration, String), Error> {
    let mut text = String::new();
    let mut first = None;
    if stream {
        while reader.read_line(&mut text)? > 0 {
            if first.is_none() && text.contains("\"content\"") {
                first = Some(started.elapsed());
            }
        }
    } else {
        reader.read_to_string(&mut text)?;
    }
    Ok((first.unwrap_or_else(|| started.elapsed()), text))
}
