//! Fairness, utilisation and control traffic of many kernels in virtual time.
//!
//! The figures are those of [`dunlinward_trial::report::Report`]; this only turns
//! a command line into a [`Trial`]. From `LARGE` routers on, sizes that are not
//! given follow the design's: one customer in ten has work waiting all the time,
//! several model services exist, and rounds are as long as the traffic allows.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use dunlinward_kernel::settings::Admission;
use dunlinward_trial::report::Report;
use dunlinward_trial::spec::Trial;
use snafu::ensure;

use super::arguments::{count, flag, given, json, number};
use super::{ArgumentsSnafu, Error};

/// Number of routers from which on a fleet has the design's shape.
const LARGE: usize = 100;

/// Model services of a large fleet.
const LARGE_SERVICES: usize = 6;

/// Customers of a large fleet for each one that always has work waiting.
const LARGE_BACKLOGGED: usize = 10;

/// Time between two rounds of a large fleet.
const LARGE_ROUND: Duration = Duration::from_secs(2);

/// Most that a weight in thousandths may be.
const PERMILLE: u64 = 1_000;

/// The command line.
pub(super) fn command() -> Command {
    Command::new("fairness")
        .about("Fairness gap, utilisation and control traffic in virtual time")
        .arg(number("routers", 1, "Routers [default: 9]"))
        .arg(number("targets", 1, "Targets [default: 9]"))
        .arg(number("customers", 1, "Customers [default: 16]"))
        .arg(number("domains", 1, "Failure domains [default: 3]"))
        .arg(
            Arg::new("skew")
                .long("skew")
                .value_name("Z")
                .value_parser(skew)
                .help("Zipf exponent of a customer's spread over the routers [default: 1.2]"),
        )
        .arg(number("seed", 0, "Seed of everything random [default: 1]"))
        .arg(number("slots", 1, "Slots of a target [default: 16]"))
        .arg(number(
            "backlogged",
            1,
            "Customers that always have work waiting [default: 4, large: a tenth]",
        ))
        .arg(number(
            "services",
            1,
            "Model services, each with its own targets [default: 1, large: 6]",
        ))
        .arg(number("seconds", 1, "Length of the load [default: 60]"))
        .arg(number(
            "round-ms",
            50,
            "Time between two rounds [default: 500, large: 2000]",
        ))
        .arg(
            Arg::new("gap-permille")
                .long("gap-permille")
                .value_name("N")
                .value_parser(value_parser!(u64).range(..=PERMILLE))
                .help("Utilisation first (0) or gap first (1000) [default: 500]"),
        )
        .arg(flag(
            "flood",
            "The first backlogged customer sends a hundred times its share",
        ))
        .arg(number(
            "partition",
            0,
            "Seconds for which the first failure domain is cut off [default: 0]",
        ))
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME")
                .value_parser(["naive", "static", "owner"])
                .default_value("owner")
                .help("How slots are given out"),
        )
        .arg(json())
}

/// The trial that a command line asks for.
///
/// # Errors
///
/// When its sizes contradict each other.
pub fn trial(matches: &ArgMatches) -> Result<Trial, Error> {
    let mut trial = Trial::new();
    sizes(matches, &mut trial);
    shape(matches, &mut trial);
    ensure!(
        trial.backlogged <= trial.customers,
        ArgumentsSnafu {
            what: "there are fewer customers than backlogged ones",
        }
    );
    ensure!(
        trial.targets >= trial.domains * trial.services,
        ArgumentsSnafu {
            what: "every service needs a target in every failure domain",
        }
    );
    ensure!(
        trial.routers >= trial.domains,
        ArgumentsSnafu {
            what: "every failure domain needs a router",
        }
    );
    Ok(trial)
}

/// Makes the measurement.
#[must_use]
pub fn measure(trial: &Trial) -> Report {
    Report::of(trial)
}

fn sizes(matches: &ArgMatches, trial: &mut Trial) {
    let of = |name, default| count(matches, name).unwrap_or(default);
    trial.routers = of("routers", trial.routers);
    trial.targets = of("targets", trial.targets);
    trial.customers = of("customers", trial.customers);
    trial.domains = of("domains", trial.domains);
    trial.slots = of("slots", trial.slots);
    if trial.routers >= LARGE {
        trial.services = LARGE_SERVICES;
        trial.backlogged = trial.customers / LARGE_BACKLOGGED;
        trial.round = LARGE_ROUND;
    }
    trial.services = of("services", trial.services);
    trial.backlogged = of("backlogged", trial.backlogged);
}

fn shape(matches: &ArgMatches, trial: &mut Trial) {
    trial.skew = matches.get_one("skew").copied().unwrap_or(trial.skew);
    trial.seed = given(matches, "seed").unwrap_or(trial.seed);
    trial.flood = matches.get_flag("flood");
    if let Some(seconds) = given(matches, "partition") {
        trial.partition = Duration::from_secs(seconds);
    }
    if let Some(seconds) = given(matches, "seconds") {
        trial.length = Duration::from_secs(seconds);
    }
    if let Some(millis) = given(matches, "round-ms") {
        trial.round = Duration::from_millis(millis);
    }
    if let Some(weight) = given(matches, "gap-permille") {
        trial.gap_permille = u32::try_from(weight).unwrap_or(trial.gap_permille);
    }
    trial.admission = match matches.get_one::<String>("policy").map(String::as_str) {
        Some("naive") => Admission::Naive,
        Some("static") => Admission::Static,
        _ => Admission::Owner,
    };
}

fn skew(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(skew) if (0.0..=10.0).contains(&skew) => Ok(skew),
        _ => Err("a number from 0 to 10".to_owned()),
    }
}
