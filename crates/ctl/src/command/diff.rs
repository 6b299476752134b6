//! `dunlinctl diff FILE`: what applying a file would change.

use std::io::Write;

use clap::{ArgMatches, Command};
use dunlinward_config::Config;
use dunlinward_config::diff;
use dunlinward_platform::log::Log;
use snafu::ResultExt;

use super::{check, file_arg, file_of, log_args, log_of, stream_of, text_of};
use crate::error::{Error, LogSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::follower::Follower;

/// The command line.
pub(super) fn command() -> Command {
    Command::new("diff")
        .about("Prints what applying a file would change")
        .arg(file_arg())
        .args(log_args())
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let path = file_of(matches);
    let Some(config) = check::read(path, &text_of(path)?, out)? else {
        return Ok(Exit::Problems);
    };
    compare(&log_of(matches), stream_of(matches), &config, out)
}

/// Prints the changes from the accepted configuration in `stream` to `config`.
///
/// # Errors
/// The log can't be read or the output not written.
pub fn compare(
    log: &dyn Log,
    stream: &str,
    config: &Config,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let mut follower = Follower::new(log, stream);
    follower.catch_up().context(LogSnafu)?;
    if !follower.is_current() {
        writeln!(
            out,
            "unknown: the log no longer tells which revision is accepted"
        )
        .context(WriteSnafu)?;
        return Ok(Exit::Untold);
    }
    let Some(accepted) = follower.accepted() else {
        writeln!(out, "nothing is accepted yet").context(WriteSnafu)?;
        return Ok(Exit::Differs);
    };
    let changes = diff::changes(&accepted.config, config);
    for change in &changes {
        writeln!(out, "{change}").context(WriteSnafu)?;
    }
    Ok(if changes.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}
