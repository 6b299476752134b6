//! The commands, one file each, and the flags they share.

pub mod apply;
pub mod check;
pub mod completions;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod shares;
pub mod status;
pub mod story;

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dunlinward_config::revision::STREAM;
use dunlinward_platform::log::Client;
use snafu::ResultExt;

use crate::error::{Error, FileSnafu};
use crate::exit::Exit;

/// Longest time for one call, in milliseconds.
const TIMEOUT_MS: &str = "5000";

/// The exit codes, see [`Exit`].
const EXITS: &str = "Exit codes:
  0  done, or nothing had to be done
  1  the file has errors
  2  bad usage, or the file can't be read
  3  diff found changes, or status a router with another revision
  4  another file was accepted instead
  5  the file may or may not have been accepted; run the command again
  6  a system can't be reached and nothing was changed; run the command again
  7  the log no longer tells which revision is accepted
  8  no router that was asked knows what explain asks about, or no log has a line for story or shares";

/// The whole command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("dunlinctl")
        .about("Configures, shows and explains a dunlinward fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXITS)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(diff::command())
        .subcommand(apply::command())
        .subcommand(status::command())
        .subcommand(explain::command())
        .subcommand(story::command())
        .subcommand(shares::command())
        .subcommand(drain::command())
        .subcommand(completions::command())
}

/// Runs the command that `matches` names.
///
/// # Errors
/// The command failed early.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches, out),
        Some(("diff", matches)) => diff::run(matches, out),
        Some(("apply", matches)) => apply::run(matches, out),
        Some(("status", matches)) => status::run(matches, out),
        Some(("explain", matches)) => explain::run(matches, out),
        Some(("story", matches)) => story::run(matches, out),
        Some(("shares", matches)) => shares::run(matches, out),
        Some(("drain", matches)) => drain::run(matches, out),
        Some(("completions", matches)) => completions::run(matches, out),
        other => unreachable!("clap lets no other command pass: {other:?}"),
    }
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The configuration file")
}

fn log_args() -> [Arg; 3] {
    let log = Arg::new("log")
        .long("log")
        .env("DUNLINCTL_LOG")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("IP number and port of the platform's log");
    let stream = Arg::new("stream")
        .long("stream")
        .env("DUNLINCTL_STREAM")
        .value_name("NAME")
        .default_value(STREAM)
        .help("Stream of the configuration");
    [log, stream, timeout_arg()]
}

fn router_logs_arg() -> Arg {
    Arg::new("logs")
        .value_name("LOG")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Logs of routers; - for standard input")
}

fn routers_arg() -> Arg {
    Arg::new("routers")
        .long("router")
        .env("DUNLINCTL_ROUTERS")
        .value_name("ADDR")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' port of a router; may be repeated")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON in place of a table")
}

fn timeout_arg() -> Arg {
    Arg::new("timeout")
        .long("timeout-ms")
        .env("DUNLINCTL_TIMEOUT_MS")
        .value_name("MS")
        .default_value(TIMEOUT_MS)
        .value_parser(value_parser!(u64).range(1..))
        .help("Longest time for one call")
}

fn file_of(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("file")
        .expect("the file is required")
}

fn log_of(matches: &ArgMatches) -> Client {
    let address = matches
        .get_one::<SocketAddr>("log")
        .expect("the log is required");
    Client::new(*address).with_timeout(millis_of(matches, "timeout"))
}

fn routers_of(matches: &ArgMatches) -> impl Iterator<Item = SocketAddr> {
    let routers = matches.get_many("routers");
    routers.unwrap_or_default().copied()
}

fn stream_of(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>("stream")
        .expect("the stream has a default")
}

fn millis_of(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(
        *matches
            .get_one::<u64>(name)
            .expect("the time has a default"),
    )
}

fn text_of(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}
