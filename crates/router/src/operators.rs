//! The operators' port.
//!
//! Answers here are whole and callers few, so rouille serves it. `/health` says
//! that the process lives, `/ready` whether callers should be sent here: only
//! with a configuration in force and while not draining.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use dunlinward_kernel::event::Event;
use rouille::{Request, Response, Server};
use snafu::Snafu;

use crate::current::Cell;
use crate::driver::Input;
use crate::explain::{Answer, Question, Why};
use crate::metrics::Metrics;
use crate::state::{Snapshot, State};
use crate::stop::Stop;

/// How long the driver may take to tell something.
const INSPECT: Duration = Duration::from_secs(2);

/// Threads of the port.
const THREADS: usize = 4;

/// How often the port looks whether it is to end.
const POLL: Duration = Duration::from_millis(50);

const PROMETHEUS: &str = "text/plain; version=0.0.4";

/// What the operators' port needs of the router.
pub(crate) struct Desk {
    /// The configuration in force.
    pub cell: Arc<Cell>,
    /// The driver's inbox.
    pub driver: Sender<Input>,
    /// What the driver publishes.
    pub state: Arc<State>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// The listener of the operators' port.
pub(crate) struct Listener {
    address: SocketAddr,
    stop: Arc<Stop>,
    thread: Option<JoinHandle<()>>,
}

/// The port could not be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot serve operators on {address}: {message}"))]
pub struct Unopened {
    /// The address.
    address: SocketAddr,
    /// What the library said.
    message: String,
}

impl Listener {
    /// Binds the address and starts to serve.
    pub fn start(listen: SocketAddr, desk: Desk) -> Result<Self, Unopened> {
        let server = Server::new(listen, move |request| desk.answer(request));
        let server = server.map_err(|err| Unopened {
            address: listen,
            message: err.to_string(),
        })?;
        let server = server.pool_size(THREADS);
        let address = server.server_addr();
        let stop = Arc::new(Stop::new());
        let stopped = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || {
                while !stopped.given() {
                    server.poll_timeout(POLL);
                }
            });
        let thread = thread.map_err(|err| Unopened {
            address,
            message: err.to_string(),
        })?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// The address that operators connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the port.
    pub fn stop(&mut self) {
        self.stop.give();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the operators panicked");
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Desk {
    fn answer(&self, request: &Request) -> Response {
        match (request.method(), request.url().as_str()) {
            ("GET", "/health") => Response::text("ok\n"),
            ("GET", "/ready") => self.ready(),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/status") => self.status(),
            ("POST", "/drain") => self.drain(),
            ("GET", path) => match question(path) {
                Some(question) => self.explain(question),
                None => Response::empty_404(),
            },
            _ => Response::empty_404(),
        }
    }

    fn explain(&self, question: Question) -> Response {
        match ask(&self.driver, question) {
            Some(answer) => Response::json(&answer).with_status_code(status_of(&answer)),
            None => Response::text("the driver does not answer\n").with_status_code(503),
        }
    }

    fn ready(&self) -> Response {
        if self.state.draining() {
            return Response::text("draining\n").with_status_code(503);
        }
        if self.cell.get().is_none() {
            return Response::text("not configured\n").with_status_code(503);
        }
        Response::text("ready\n")
    }

    fn metrics(&self) -> Response {
        match self.metrics.text() {
            Ok(text) => Response::from_data(PROMETHEUS, text),
            Err(err) => Response::text(err.to_string()).with_status_code(500),
        }
    }

    fn status(&self) -> Response {
        match inspect(&self.driver) {
            Some(snapshot) => Response::json(&snapshot),
            None => Response::text("the driver does not answer\n").with_status_code(503),
        }
    }

    fn drain(&self) -> Response {
        begin_drain(&self.state, &self.driver);
        Response::text("draining\n").with_status_code(202)
    }
}

/// The question that a path asks.
fn question(path: &str) -> Option<Question> {
    let (kind, name) = path.strip_prefix("/explain/")?.split_once('/')?;
    let name = name.to_owned();
    match kind {
        "request" => Some(Question::Request(name)),
        "customer" => Some(Question::Customer(name)),
        "target" => Some(Question::Target(name)),
        _ => None,
    }
}

fn status_of(answer: &Answer) -> u16 {
    match answer {
        Answer::Unknown(unknown) if unknown.unknown == Why::NoId => 400,
        Answer::Unknown(_) => 404,
        _ => 200,
    }
}

/// Asks the driver about a request, a customer or a target.
fn ask(driver: &Sender<Input>, question: Question) -> Option<Answer> {
    let (answer, answered) = channel();
    driver.send(Input::Explain(question, answer)).ok()?;
    answered.recv_timeout(INSPECT).ok()
}

/// Asks the driver for its state.
pub(crate) fn inspect(driver: &Sender<Input>) -> Option<Snapshot> {
    let (answer, answered) = channel();
    driver.send(Input::Inspect(answer)).ok()?;
    answered.recv_timeout(INSPECT).ok()
}

/// Begins a drain, once.
pub(crate) fn begin_drain(state: &State, driver: &Sender<Input>) {
    if state.begin_drain() {
        // A driver that is gone has nothing to drain.
        let _ = driver.send(Input::Event(Event::Drain));
    }
}
