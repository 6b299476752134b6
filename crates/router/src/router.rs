//! One router, from its start to its end.
//!
//! [`start`] opens the ports in the order link, operators, callers, so that no
//! caller is served before the rest stands, and takes them down the other way.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use dunlinward_kernel::kernel::Kernel;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::settings::Settings as KernelSettings;
use dunlinward_platform::instances::{self as platform_instances, List};
use dunlinward_platform::log::{self as platform_log, Log};
use dunlinward_wire::{Pool, link};
use rand::rngs::StdRng;
use rand::{SeedableRng, TryRngCore};
use snafu::{ResultExt, Snafu};

use crate::callers;
use crate::clock::{self, Clock};
use crate::configuration::Keeper;
use crate::configuration::reader::Reader;
use crate::current::Cell;
use crate::driver::{Driver, Input, Tools};
use crate::idempotency::{CLAIMS, Window};
use crate::instances::Follower;
use crate::links::{self, Links};
use crate::metrics::{self, Metrics};
use crate::operators;
use crate::settings::Settings;
use crate::state::{Snapshot, State};
use crate::stop::Stop;
use crate::worker;

/// Stack of the threads that follow the platform, in bytes.
const STACK: usize = 512 << 10;

/// How long the last messages to other routers may take to be written.
const FLUSH: Duration = Duration::from_millis(500);

/// A router that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The callers' port cannot be opened.
    #[snafu(display("cannot serve callers on {address}: {source}"))]
    Callers {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The operators' port cannot be opened.
    #[snafu(display("{source}"))]
    Operators {
        /// What the library said.
        source: operators::Unopened,
    },
    /// The links cannot be opened.
    #[snafu(display("{source}"))]
    Links {
        /// What the pool said.
        source: link::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// What they said.
        source: metrics::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
    /// The system gives no random numbers.
    #[snafu(display("the system gives no random numbers: {source}"))]
    Random {
        /// What the system said.
        source: rand::rand_core::OsError,
    },
}

/// A running router; it stops when dropped.
pub struct Router {
    callers: callers::Listener,
    operators: operators::Listener,
    link: SocketAddr,
    settings: Settings,
    driver: Sender<Input>,
    state: Arc<State>,
    cell: Arc<Cell>,
    metrics: Arc<Metrics>,
    workers: worker::Pool,
    /// Gone after the stop, so that the pool under them can end.
    links: Option<Arc<Links>>,
    stop: Arc<Stop>,
    threads: Vec<JoinHandle<()>>,
    stopped: bool,
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router")
            .field("name", &self.settings.name)
            .finish_non_exhaustive()
    }
}

/// Starts a router.
///
/// # Errors
///
/// When a port cannot be opened or the system refuses a thread.
pub fn start(settings: Settings) -> Result<Router, Error> {
    let clock = Clock::new();
    let incarnation = clock::incarnation();
    let prefix: Arc<str> = Arc::from(format!("{}-{incarnation:x}", settings.name));
    let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
    let (driver, inbox) = channel();
    let (events, arrived) = channel();
    let pool = Arc::new(open_links(&settings, incarnation, events)?);
    metrics.watch(&pool);
    let link = pool.address();
    let cell = Arc::new(Cell::new());
    let state = Arc::new(State::new());
    let stop = Arc::new(Stop::new());
    let workers = worker::Pool::new(settings.workers);
    let links = Arc::new(Links::new(pool, Arc::clone(&metrics)));
    let keeper = Arc::new(Keeper::new(
        Arc::clone(&cell),
        driver.clone(),
        Arc::clone(&metrics),
    ));
    let kernel = Kernel::new(kernel_settings(&settings, incarnation), clock.now());
    let tools = Tools {
        clock,
        links: Arc::clone(&links),
        workers: workers.clone(),
        metrics: Arc::clone(&metrics),
        state: Arc::clone(&state),
        inbox: driver.clone(),
    };
    let follower = Follower {
        name: Arc::clone(&settings.name),
        seed: settings.seed,
        peers: settings.peers.clone(),
        list: settings.instances.map(list),
        driver: driver.clone(),
        links: Arc::clone(&links),
        keeper: Arc::clone(&keeper),
        stop: Arc::clone(&stop),
    };
    let reader = Reader {
        prefix: Arc::clone(&prefix),
        me: Key::new(&settings.name),
        log: settings.log.map(log),
        stream: Arc::clone(&settings.stream),
        retention: settings.retention,
        seed: settings.seed,
        keeper: Arc::clone(&keeper),
        links: Arc::clone(&links),
        state: Arc::clone(&state),
        stop: Arc::clone(&stop),
    };
    let serving = {
        let (links, driver) = (Arc::downgrade(&links), driver.clone());
        move || links::serve(&links, &arrived, &driver, &keeper)
    };
    let threads = vec![
        spawn("driver", move || Driver::new(kernel, tools).run(&inbox))?,
        spawn("links-inbox", serving)?,
        spawn("instances", move || follower.run())?,
        spawn("configuration", move || reader.run())?,
    ];
    let desk = operators::Desk {
        cell: Arc::clone(&cell),
        driver: driver.clone(),
        state: Arc::clone(&state),
        metrics: Arc::clone(&metrics),
    };
    let operators = operators::Listener::start(settings.operators, desk).context(OperatorsSnafu)?;
    let desk = callers::Desk {
        prefix,
        cell: Arc::clone(&cell),
        driver: driver.clone(),
        claims: Arc::new(Window::new(CLAIMS)),
        metrics: Arc::clone(&metrics),
        clock,
        connections: settings.connections,
        header_timeout: settings.header_timeout,
        body_limit: settings.body_limit,
        bodies: callers::Bodies::new(settings.body_memory as u64),
        count: AtomicU64::new(0),
    };
    let address = settings.callers;
    let callers = callers::Listener::start(address, Arc::new(desk));
    Ok(Router {
        callers: callers.context(CallersSnafu { address })?,
        operators,
        link,
        settings,
        driver,
        state,
        cell,
        metrics,
        workers,
        links: Some(links),
        stop,
        threads,
        stopped: false,
    })
}

impl Router {
    /// Where callers connect.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators connect.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where other routers connect.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link
    }

    /// The accepted revision that is in force here.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.cell.get().map(|current| current.revision)
    }

    /// The router's state now; nothing when its driver does not answer.
    #[must_use]
    pub fn status(&self) -> Option<Snapshot> {
        operators::inspect(&self.driver)
    }

    /// All metrics as text.
    ///
    /// # Errors
    ///
    /// When they cannot be written.
    pub fn metrics(&self) -> Result<String, metrics::Error> {
        self.metrics.text()
    }

    /// Whether a drain began, here or at the operators' port.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.state.draining()
    }

    /// Refuses new requests and waits for the others to end; false when the
    /// drain timeout of the settings was over before.
    #[must_use]
    pub fn drain(&self) -> bool {
        operators::begin_drain(&self.state, &self.driver);
        if self.cell.get().is_none() {
            // Without a configuration nothing was ever admitted.
            return true;
        }
        let drained = self.state.wait_drained(self.settings.drain);
        if let Some(links) = &self.links
            && !links.flush(FLUSH)
        {
            log::debug!("some messages to other routers were not written");
        }
        drained
    }

    /// Ends the router at once; requests that still run are cut.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if self.stopped {
            return;
        }
        self.stopped = true;
        self.stop.give();
        // A driver that is gone needs no sign.
        let _ = self.driver.send(Input::Stop);
        self.callers.stop();
        self.operators.stop();
        self.workers.stop();
        self.links = None;
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of the router panicked");
            }
        }
        self.metrics.stop();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

fn open_links(
    settings: &Settings,
    incarnation: u64,
    events: Sender<link::Event>,
) -> Result<Pool, Error> {
    let mut seed = <StdRng as SeedableRng>::Seed::default();
    rand::rngs::OsRng
        .try_fill_bytes(&mut seed)
        .context(RandomSnafu)?;
    let settings = link::Settings::new(
        settings.link,
        Arc::clone(&settings.name),
        incarnation,
        Arc::clone(&settings.domain),
        settings.fleet_key.clone(),
        StdRng::from_seed(seed),
    )
    .with_idle(links::IDLE);
    Pool::new(settings, events).context(LinksSnafu)
}

fn kernel_settings(settings: &Settings, incarnation: u64) -> KernelSettings {
    KernelSettings::new(&settings.name, &settings.domain)
        .with_incarnation(incarnation)
        .with_seed(settings.seed)
        .with_round_interval(settings.round)
}

fn log(address: SocketAddr) -> Box<dyn Log> {
    Box::new(platform_log::Client::new(address))
}

fn list(address: SocketAddr) -> Box<dyn List> {
    Box::new(platform_instances::Client::new(address))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, Error> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK)
        .spawn(run)
        .context(ThreadSnafu)
}
