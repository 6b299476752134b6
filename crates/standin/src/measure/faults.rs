//! Random faults on many small fleets in virtual time; see [`dunlinward_trial::faults`].

use clap::{ArgMatches, Command};
use dunlinward_trial::faults::{self, Report};

use super::arguments::{given, json, number};

/// Runs when none are given.
const RUNS: u64 = 20;

/// The command line.
pub(super) fn command() -> Command {
    Command::new("faults")
        .about("Random faults on many small fleets in virtual time: what was lost or doubled")
        .arg(number("seed", 0, "Seed of the first run [default: 1]"))
        .arg(number(
            "runs",
            1,
            "Runs, with the seeds that follow [default: 20]",
        ))
        .arg(json())
}

/// Makes the measurement.
#[must_use]
pub fn measure(matches: &ArgMatches) -> Report {
    let seed = given(matches, "seed").unwrap_or(1);
    faults::run(seed, given(matches, "runs").unwrap_or(RUNS))
}
