//! Measurements of a fleet, each one subcommand of the example `measure`.
//!
//! Two kinds of figures come from here, and they must not be mixed up. [`path`]
//! and [`soak`] take real time: routers, stand-ins and callers share this machine, so their
//! figures hold for this machine and its load, which is printed with them.
//! [`fairness`], [`faults`] and [`convergence`] take virtual time: they step real
//! kernels between modelled targets, so that the same arguments give the same
//! figures on any machine, except for processor time.
//!
//! A measurement is a command line, settings that are made of it, and a report of
//! plain data. [`run`] prints a report as one JSON object or as a table.

mod arguments;
mod arrival;
pub mod convergence;
pub mod fairness;
pub mod faults;
mod hostile;
mod machine;
pub mod path;
mod print;
pub mod soak;
mod times;
mod world;

use std::io::{self, Write};

use clap::{ArgMatches, Command};
use serde::Serialize;
use snafu::Snafu;

pub use world::World;

/// Why a measurement could not be made.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A stand-in, a thread or the output failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// What the system said.
        source: io::Error,
    },
    /// The report could not be written.
    #[snafu(display("the report cannot be written: {source}"), context(false))]
    Json {
        /// What the library said.
        source: serde_json::Error,
    },
    /// The configuration could not be written as a record.
    #[snafu(display("the configuration cannot be published: {source}"))]
    Record {
        /// What the library said.
        source: dunlinward_config::error::Error,
    },
    /// A stand-in did not take a change.
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
    /// The router served nothing in time.
    #[snafu(display("the router serves nothing after {seconds} s"))]
    Unsettled {
        /// How long was waited.
        seconds: u64,
    },
    /// A call of the measurement failed.
    #[snafu(display("a call failed: {source}"))]
    Call {
        /// What the library said.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// An answer was not what was asked for.
    #[snafu(display("an answer is wrong: {what}"))]
    Answer {
        /// In what way.
        what: String,
    },
    /// The fleet of the demonstration did not start.
    #[snafu(display("{source}"))]
    Demo {
        /// What it said.
        source: crate::demo::Error,
    },
    /// The arguments contradict each other.
    #[snafu(display("{what}"))]
    Arguments {
        /// In what way.
        what: &'static str,
    },
}

/// The command line with every measurement.
#[must_use]
pub fn command() -> Command {
    Command::new("measure")
        .about("Measures a fleet of routers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(path::command())
        .subcommand(fairness::command())
        .subcommand(faults::command())
        .subcommand(convergence::command())
        .subcommand(soak::command())
}

/// Makes the measurement that was asked for and prints its figures.
///
/// # Errors
///
/// When it cannot be made or the output fails.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("path", matches)) => {
            let settings = path::Settings::new(matches);
            show(matches, out, &path::measure(&settings)?)
        }
        Some(("fairness", matches)) => {
            let trial = fairness::trial(matches)?;
            show(matches, out, &fairness::measure(&trial))
        }
        Some(("faults", matches)) => show(matches, out, &faults::measure(matches)),
        Some(("convergence", matches)) => {
            let settings = convergence::Settings::new(matches);
            show(matches, out, &convergence::measure(&settings))
        }
        Some(("soak", matches)) => {
            let settings = soak::settings(matches);
            show(matches, out, &soak::measure(&settings)?)
        }
        _ => ArgumentsSnafu {
            what: "no such measurement",
        }
        .fail(),
    }
}

fn show(matches: &ArgMatches, out: &mut dyn Write, report: &impl Serialize) -> Result<(), Error> {
    if matches.get_flag(arguments::JSON) {
        print::json(out, report)
    } else {
        print::table(out, report)
    }
}
