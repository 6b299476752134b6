//! `dunlinctl completions SHELL`: completions of the command line.

use std::io::Write;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use snafu::ResultExt;

use crate::error::{Error, WriteSnafu};
use crate::exit::Exit;

/// The command line.
pub(super) fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .required(true)
        .value_parser(value_parser!(Shell))
        .help("The shell");
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(shell)
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let shell = *matches
        .get_one::<Shell>("shell")
        .expect("the shell is required");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut super::cli(), "dunlinctl", &mut script);
    out.write_all(&script).context(WriteSnafu)?;
    Ok(Exit::Done)
}
