//! `dunlinctl status`: the accepted revision of the log and what each router has in force and sees.

mod show;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::{ArgMatches, Command};
use dunlinward_platform::log::Log;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{json_arg, log_args, log_of, millis_of, routers_arg, routers_of, stream_of};
use crate::error::{Error, JsonSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::follower::Follower;
use crate::operators::Client;
pub use show::print;

/// The command line.
pub(super) fn command() -> Command {
    Command::new("status")
        .about("Prints the accepted revision and what each router has in force and sees")
        .args(log_args())
        .args([routers_arg(), json_arg()])
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let client = Client::new(millis_of(matches, "timeout"));
    let status = Status {
        log: look(&log_of(matches), stream_of(matches)),
        routers: routers_of(matches)
            .map(|address| ask(&client, address))
            .collect(),
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
    /// Instances as it sees them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub instances: Vec<Instance>,
    /// Accounts, one for each customer and competition.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
    /// Targets as it sees them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<Target>,
}

/// An instance as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Whether it may be given duties.
    pub live: bool,
    /// Whether it is suspected to be dead or cut off.
    pub suspected: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An account as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// First service of the competition.
    pub pool: Arc<str>,
    /// Weight of the customer.
    pub share: u32,
    /// Service received over the fleet, in units, as known there.
    pub service_units: i64,
    /// Requests that wait there.
    pub queued: u32,
}

/// A target as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The instance that hands out its slots.
    pub owner: Option<Arc<str>>,
    /// Slots it has in all.
    pub slots: u32,
    /// Slots held by the router that tells.
    pub held: u32,
    /// Of these, slots in use.
    pub busy: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
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
pub fn ask(client: &Client, address: SocketAddr) -> Router {
    let answer = client.get(address, "status");
    let report = answer.and_then(|answer| answer.whole()?.read());
    let answer = match report {
        Ok(report) => Answer::Reached(report),
        Err(cause) => Answer::Unavailable {
            cause: cause.to_string(),
        },
    };
    Router { address, answer }
}
