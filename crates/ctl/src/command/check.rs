//! `dunlinctl check FILE`: every problem of a file, without any system.

use std::io::Write;
use std::path::Path;

use clap::{ArgMatches, Command};
use dunlinward_config::Config;
use dunlinward_config::check;
use snafu::ResultExt;

use super::{file_arg, file_of, text_of};
use crate::error::{Error, WriteSnafu};
use crate::exit::Exit;

/// The command line.
pub(super) fn command() -> Command {
    Command::new("check")
        .about("Prints every problem of a file")
        .arg(file_arg())
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let path = file_of(matches);
    let config = read(path, &text_of(path)?, out)?;
    Ok(if config.is_some() {
        Exit::Done
    } else {
        Exit::Problems
    })
}

/// Prints the problems of `text` as `file:line: problem` and gives the configuration if it has no errors.
///
/// # Errors
/// The output can't be written.
pub fn read(path: &Path, text: &str, out: &mut dyn Write) -> Result<Option<Config>, Error> {
    let checked = check::run(text);
    for problem in checked.report.problems() {
        writeln!(out, "{}:{}: {problem}", path.display(), problem.line).context(WriteSnafu)?;
    }
    Ok(checked.config)
}
