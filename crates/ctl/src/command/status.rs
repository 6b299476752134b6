//! `dunlinctl status`: the accepted revision of the log and what each router has in force.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dunlinward_platform::log::Log;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use ureq::Agent;

use super::{log_args, log_of, millis_of, stream_of};
use crate::error::{Error, JsonSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::follower::Follower;

/// The command line.
pub(super) fn command() -> Command {
    let routers = Arg::new("routers")
        .long("router")
        .env("DUNLINCTL_ROUTERS")
        .value_name("ADDR")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' port of a router; may be repeated");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON in place of a table");
    Command::new("status")
        .about("Prints the accepted revision and what each router has in force")
        .args(log_args())
        .args([routers, json])
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let timeout = millis_of(matches, "timeout");
    let routers = matches
        .get_many::<SocketAddr>("routers")
        .unwrap_or_default();
    let status = Status {
        log: look(&log_of(matches), stream_of(matches)),
        routers: routers.map(|address| ask(*address, timeout)).collect(),
    };
    if matches.get_flag("json") {
        let text = serde_json::to_string_pretty(&status).context(JsonSnafu)?;
        writeln!(out, "{text}").context(WriteSnafu)?;
    } else {
        print(&status, out).context(WriteSnafu)?;
    }
    Ok(status.exit())
}

/// What the command found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The accepted revision.
    pub log: Accepted,
    /// The routers, in the order of the command line.
    pub routers: Vec<Router>,
}

/// What the log tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Accepted {
    /// The accepted revision.
    Accepted {
        /// The revision.
        revision: u64,
        /// Who proposed it.
        author: Arc<str>,
        /// Name of the fleet in it.
        fleet: Arc<str>,
    },
    /// Nothing was ever accepted.
    Nothing,
    /// The log no longer tells.
    Untold,
    /// The log can't be read.
    Unavailable {
        /// Why not.
        cause: String,
    },
}

/// One router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Router {
    /// Its operators' port.
    pub address: SocketAddr,
    /// What it says of itself.
    #[serde(flatten)]
    pub answer: Answer,
}

/// What a router says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Answer {
    /// It answered.
    Reached(Report),
    /// It didn't.
    Unavailable {
        /// Why not.
        cause: String,
    },
}

/// The part of a router's status that this command shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The revision in force.
    pub revision: Option<u64>,
    /// Whether it drains.
    pub draining: bool,
    /// Requests that run or wait there.
    pub requests: u64,
}

impl Status {
    /// The exit that tells of this status.
    #[must_use]
    pub fn exit(&self) -> Exit {
        let accepted = match &self.log {
            Accepted::Accepted { revision, .. } => Some(*revision),
            Accepted::Nothing => None,
            Accepted::Untold => return Exit::Untold,
            Accepted::Unavailable { .. } => return Exit::Unavailable,
        };
        let mut exit = Exit::Done;
        for router in &self.routers {
            match &router.answer {
                Answer::Unavailable { .. } => return Exit::Unavailable,
                Answer::Reached(report) if report.revision != accepted => exit = Exit::Differs,
                Answer::Reached(_) => {}
            }
        }
        exit
    }
}

/// Reads the accepted revision of `stream`.
#[must_use]
pub fn look(log: &dyn Log, stream: &str) -> Accepted {
    let mut follower = Follower::new(log, stream);
    if let Err(cause) = follower.catch_up() {
        return Accepted::Unavailable {
            cause: cause.to_string(),
        };
    }
    match follower.accepted() {
        _ if !follower.is_current() => Accepted::Untold,
        None => Accepted::Nothing,
        Some(accepted) => Accepted::Accepted {
            revision: accepted.revision,
            author: Arc::clone(&accepted.author),
            fleet: Arc::clone(&accepted.config.fleet.name),
        },
    }
}

/// Asks the router whose operators' port is `address`.
#[must_use]
pub fn ask(address: SocketAddr, timeout: Duration) -> Router {
    let config = Agent::config_builder().proxy(None).max_redirects(0);
    let agent: Agent = config.timeout_global(Some(timeout)).build().into();
    let body = agent
        .get(format!("http://{address}/status"))
        .call()
        .and_then(|mut response| response.body_mut().read_to_vec());
    let report = body
        .map_err(|error| error.to_string())
        .and_then(|body| serde_json::from_slice(&body).map_err(|error| error.to_string()));
    let answer = match report {
        Ok(report) => Answer::Reached(report),
        Err(cause) => Answer::Unavailable { cause },
    };
    Router { address, answer }
}

/// Prints `status` as a table.
///
/// # Errors
/// The output can't be written.
pub fn print(status: &Status, out: &mut dyn Write) -> io::Result<()> {
    match &status.log {
        Accepted::Accepted {
            revision,
            author,
            fleet,
        } => {
            writeln!(out, "accepted: revision {revision} of {fleet} by {author}")?;
        }
        Accepted::Nothing => writeln!(out, "accepted: nothing yet")?,
        Accepted::Untold => writeln!(out, "accepted: unknown, the log no longer tells")?,
        Accepted::Unavailable { cause } => writeln!(out, "accepted: unknown: {cause}")?,
    }
    if status.routers.is_empty() {
        return Ok(());
    }
    let head = [
        "ROUTER",
        "INSTANCE",
        "FAILURE DOMAIN",
        "REVISION",
        "STATE",
        "REQUESTS",
    ];
    let head = head.map(str::to_owned);
    let rows: Vec<_> = std::iter::once(head)
        .chain(status.routers.iter().map(row))
        .collect();
    table(&rows, out)
}

fn row(router: &Router) -> [String; 6] {
    let address = router.address.to_string();
    match &router.answer {
        Answer::Reached(report) => [
            address,
            report.instance.to_string(),
            report.failure_domain.to_string(),
            report
                .revision
                .map_or_else(|| "none".to_owned(), |revision| revision.to_string()),
            if report.draining {
                "draining"
            } else {
                "serving"
            }
            .to_owned(),
            report.requests.to_string(),
        ],
        Answer::Unavailable { cause } => {
            let none = || "-".to_owned();
            [
                address,
                none(),
                none(),
                none(),
                format!("unavailable: {cause}"),
                none(),
            ]
        }
    }
}

/// Prints `rows` with each column as wide as its widest cell.
fn table<const N: usize>(rows: &[[String; N]], out: &mut dyn Write) -> io::Result<()> {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    for row in rows {
        let cells = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}
