//! A whole fleet in one process, under load, with a live table.
//!
//! [`run`] starts the platform's stand-ins, the targets and the routers of a
//! [`Deployment`], publishes its configuration on the log as an operator would,
//! lets its customers call, one of them flooding, and writes what happens:
//! service by customer over its share, use of the target slots, control traffic,
//! and at the end what callers got.
//!
//! All of it shares one machine, so the figures show that the fleet works and
//! compare customers with each other; they say nothing about speed elsewhere.

mod deployment;
mod fleet;
mod sample;
mod scene;
mod table;

use std::io::{self, Write};
use std::time::{Duration, Instant};

use snafu::Snafu;

pub use deployment::Deployment;
pub use fleet::Fleet;
pub use sample::Sample;

use crate::load;

/// Time between two tables.
const PERIOD: Duration = Duration::from_secs(2);

/// Time between two looks at the targets' slots.
const LOOK: Duration = Duration::from_millis(250);

/// How long calls may go on after the load has ended.
const DRAIN: Duration = Duration::from_secs(20);

/// How a router's clients are spread: the first gets most.
const SKEW: f64 = 1.0;

/// What to show.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whose fleet.
    pub deployment: Deployment,
    /// How long the load lasts.
    pub time: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Seed of the load and of the lost cache events.
    pub seed: u64,
}

/// Why the demonstration could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A stand-in, a thread or the output failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// What the system said.
        source: io::Error,
    },
    /// The example configuration is wrong.
    #[snafu(display("the example configuration is wrong:\n{report}"))]
    Config {
        /// What the checks said.
        report: String,
    },
    /// The configuration could not be written as a record.
    #[snafu(display("the configuration cannot be published: {source}"))]
    Record {
        /// What the library said.
        source: dunlinward_config::error::Error,
    },
    /// The log or the list did not take a change.
    #[snafu(display("the stand-in at {url} did not answer: {source}"))]
    Platform {
        /// What was called.
        url: String,
        /// What the library said.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// A router did not start.
    #[snafu(display("{source}"))]
    Router {
        /// What it said.
        #[snafu(source(from(dunlinward_router::Error, Box::new)))]
        source: Box<dunlinward_router::Error>,
    },
    /// Some router lacks the configuration or does not know the others.
    #[snafu(display(
        "not every router knows the configuration and the others after {} s",
        time.as_secs()
    ))]
    Unsettled {
        /// How long was waited.
        time: Duration,
    },
    /// A router cannot tell its metrics.
    #[snafu(display("{source}"))]
    Metrics {
        /// What it said.
        source: dunlinward_router::metrics::Error,
    },
}

/// What came of a demonstration.
#[derive(Clone, Debug)]
pub struct Summary {
    /// What customers got, in the order of the configuration.
    pub tallies: Vec<load::tally::Tally>,
    /// How the fleet stood when the load ended.
    pub sample: Sample,
}

/// The load of a demonstration, for a fleet that was started with its settings.
#[must_use]
pub fn load(settings: &Settings, fleet: &Fleet) -> load::Settings {
    scene::load(settings, fleet)
}

/// Runs a demonstration and writes it to `out`.
///
/// # Errors
///
/// When something does not start or the output fails.
pub fn run(settings: &Settings, out: &mut dyn Write) -> Result<Summary, Error> {
    let fleet = Fleet::start(settings)?;
    table::addresses(out, settings.deployment, &fleet)?;
    let load = scene::load(settings, &fleet);
    let load = load::start(&load)?;
    let started = Instant::now();
    let mut sample = Sample::first(&fleet)?;
    let mut shown = started;
    while started.elapsed() < settings.time {
        std::thread::sleep(LOOK);
        sample.look(&fleet);
        if shown.elapsed() >= PERIOD {
            shown = Instant::now();
            sample.count(&fleet)?;
            let tallies = scene::by_customer(&load.tallies());
            table::live(out, &tallies, &sample, started.elapsed())?;
        }
    }
    sample.count(&fleet)?;
    let under_load = scene::by_customer(&load.tallies());
    let tallies = scene::by_customer(&load.stop(DRAIN));
    let flooder = settings.deployment.flooder();
    table::summary(out, flooder, &under_load, &tallies, &sample)?;
    fleet.stop();
    Ok(Summary { tallies, sample })
}
