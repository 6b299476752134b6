//! `dunlinctl explain`: what routers decided on a request, a customer or a target.
//!
//! A request is known to the one router that took it, so the routers are asked in
//! turn until one knows it. Customers and targets are known to all, each with
//! its own part, so all are asked.

mod show;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::status::{Customer, Target};
use super::{json_arg, millis_of, routers_arg, routers_of, timeout_arg};
use crate::error::{Error, JsonSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::operators::{self, Client};
pub use show::print;

/// The command line.
pub(super) fn command() -> Command {
    let about = |kind: &'static str, value: &'static str, text: &'static str| {
        let name = Arg::new("name").value_name(value).required(true);
        let name = name.help("What to explain");
        Command::new(kind).about(text).arg(name).args([
            routers_arg().required(true),
            timeout_arg(),
            json_arg(),
        ])
    };
    Command::new("explain")
        .about("Prints what routers decided, step by step")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(about(
            "request",
            "ID",
            "One request, by the id its caller got",
        ))
        .subcommand(about(
            "customer",
            "NAME",
            "The latest requests of a customer",
        ))
        .subcommand(about("target", "NAME", "The latest attempts at a target"))
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let (kind, matches) = matches.subcommand().expect("a kind is required");
    let name = matches
        .get_one::<String>("name")
        .expect("the name is required");
    let client = Client::new(millis_of(matches, "timeout"));
    let path = format!("explain/{kind}/{}", encode(name));
    let mut routers = Vec::new();
    for address in routers_of(matches) {
        let router = ask(&client, address, &path);
        let found = matches!(router.answer, Answer::Known(_));
        routers.push(router);
        if found && kind == "request" {
            break;
        }
    }
    if matches.get_flag("json") {
        let text = serde_json::to_string_pretty(&routers).context(JsonSnafu)?;
        writeln!(out, "{text}").context(WriteSnafu)?;
    } else {
        print(&routers, out).context(WriteSnafu)?;
    }
    Ok(exit(&routers, kind == "request"))
}

/// A router and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Router {
    /// Its operators' port.
    pub address: SocketAddr,
    /// What it tells.
    #[serde(flatten)]
    pub answer: Answer,
}

/// What a router tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Answer {
    /// It knows.
    Known(Box<Told>),
    /// It doesn't.
    Unknown(Unknown),
    /// It didn't answer.
    Unavailable {
        /// Why not.
        cause: String,
    },
}

/// What a router knows; which fields are there depends on what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The router that tells.
    pub instance: Arc<str>,
    /// The request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Arc<str>>,
    /// Whether the request waits, runs or is over.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stage: Option<Arc<str>>,
    /// Milliseconds since the request arrived.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// The customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
    /// The target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Target>,
    /// Requests that wait there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
    /// Requests that run from there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// Milliseconds since the oldest that waits has arrived.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub oldest_waiting_ms: Option<u64>,
    /// Accounts of the customer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<Customer>,
    /// Targets that could run a request that waits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<Target>,
    /// The steps, the oldest first.
    pub steps: Vec<Step>,
}

/// One decision on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the router started.
    pub at_ms: u64,
    /// Milliseconds since the request arrived.
    pub after_ms: u64,
    /// The request.
    pub request: Arc<str>,
    /// Its customer.
    pub customer: Arc<str>,
    /// The step.
    pub step: Arc<str>,
    /// The service asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Number of the attempt, from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// The target of the attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Arc<str>>,
    /// How the attempt ended: `whole` or a failure.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub end: Option<Arc<str>>,
    /// Why the request was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<Arc<str>>,
    /// Whether the request may have run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub verdict: Option<Arc<str>>,
    /// Units of service used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub units: Option<u32>,
}

/// A router that has nothing to tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unknown {
    /// The router.
    pub instance: Arc<str>,
    /// Why.
    pub unknown: Why,
    /// The router to ask.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub router: Option<Arc<str>>,
}

/// Why a router has nothing to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// The id names another router.
    OtherRouter,
    /// The id names an earlier run of the router.
    EarlierRun,
    /// There is no record of the request.
    NoRecord,
    /// The text is no request's id.
    NoId,
    /// The configuration has no such name.
    NoSuchName,
}

/// Asks the router whose operators' port is `address`.
#[must_use]
pub fn ask(client: &Client, address: SocketAddr, path: &str) -> Router {
    let answer = client.get(address, path).and_then(read);
    let answer = answer.unwrap_or_else(|cause| Answer::Unavailable {
        cause: cause.to_string(),
    });
    Router { address, answer }
}

fn read(answer: operators::Answer) -> Result<Answer, operators::Error> {
    match answer.status {
        // A router without this path answers 404 with nothing.
        400 | 404 if !answer.body.is_empty() => answer.read().map(Answer::Unknown),
        _ => answer.whole()?.read().map(Box::new).map(Answer::Known),
    }
}

/// The exit that tells of the answers; one that knows is enough for a request.
fn exit(routers: &[Router], request: bool) -> Exit {
    let some = |which: fn(&Answer) -> bool| routers.iter().any(|router| which(&router.answer));
    let known = some(|answer| matches!(answer, Answer::Known(_)));
    let away = some(|answer| matches!(answer, Answer::Unavailable { .. }));
    let wrong = some(|answer| matches!(answer, Answer::Unknown(why) if why.unknown == Why::NoId));
    match (known, away) {
        (true, _) if request => Exit::Done,
        _ if wrong => Exit::Usage,
        (_, true) => Exit::Unavailable,
        (true, false) => Exit::Done,
        (false, false) => Exit::NotFound,
    }
}

/// A name as part of a path.
fn encode(name: &str) -> String {
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~".contains(byte);
    let encoded = name.bytes().map(|byte| {
        if plain(&byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    });
    encoded.collect()
}
