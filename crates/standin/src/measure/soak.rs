//! A whole fleet under load and hostile callers for a while.
//!
//! The fleet and its customers are those of the demonstration, one of them
//! flooding; beside them run the callers of the module `hostile`. Everything is in
//! one process, so its memory is that of routers, stand-ins and callers together:
//! what counts is whether it grows. Threads are bounded by the load's clients and
//! the routers' own limits.

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use serde::Serialize;
use serde_json::json as value;

use super::arguments::{count, given, json, number};
use super::hostile::Hostile;
use super::machine::Machine;
use super::{DemoSnafu, Error};
use crate::demo::{self, Deployment, Fleet};
use crate::load;
use crate::load::tally::{Failure, Tally};
use snafu::ResultExt;

/// Part of the time after which the memory counts as that of a warm fleet.
const WARM: u32 = 4;

/// Time between two looks at the process.
const LOOK: Duration = Duration::from_millis(250);

/// How long calls may go on after the load has ended.
const DRAIN: Duration = Duration::from_secs(20);

/// The figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The machine before.
    pub before: Machine,
    /// How long the load lasted.
    pub seconds: f64,
    /// Routers.
    pub routers: usize,
    /// Calls of customers that started.
    pub requests: u64,
    /// Calls that got their whole answer.
    pub whole: u64,
    /// Calls that did not, by what went wrong.
    pub failed: BTreeMap<String, u64>,
    /// Hostile connections made, by kind.
    pub hostile: BTreeMap<&'static str, u64>,
    /// Resident memory of the process before the load, in KiB.
    pub rss_start_kib: Option<u64>,
    /// After a quarter of the time.
    pub rss_warm_kib: Option<u64>,
    /// At the end of the load.
    pub rss_end_kib: Option<u64>,
    /// When the calls had ended and the fleet was still up.
    pub rss_after_kib: Option<u64>,
    /// Most threads of the process.
    pub threads_most: Option<u64>,
}

/// The command line.
pub(super) fn command() -> Command {
    Command::new("soak")
        .about("A fleet in this process under load and hostile callers: memory and errors")
        .arg(number(
            "seconds",
            1,
            "How long the load lasts [default: 60]",
        ))
        .arg(number("routers", 1, "Routers [default: 9]"))
        .arg(number("seed", 0, "Seed of the load [default: 1]"))
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .default_value("dansk")
                .value_parser(|text: &str| text.parse::<Deployment>())
                .help("dansk or tickworks"),
        )
        .arg(json())
}

/// The settings that a command line asks for.
///
/// # Panics
///
/// Never: the deployment has a default.
#[must_use]
pub fn settings(matches: &ArgMatches) -> demo::Settings {
    demo::Settings {
        deployment: *matches.get_one("deployment").expect("it has a default"),
        time: Duration::from_secs(given(matches, "seconds").unwrap_or(60)),
        routers: count(matches, "routers").unwrap_or(9),
        seed: given(matches, "seed").unwrap_or(1),
    }
}

/// Makes the measurement.
///
/// # Errors
///
/// When the fleet or a thread does not start.
pub fn measure(settings: &demo::Settings) -> Result<Report, Error> {
    let before = Machine::now();
    let fleet = Fleet::start(settings).context(DemoSnafu)?;
    let rss_start = process("VmRSS:");
    let hostile = Hostile::start(&fleet.callers(), &slow_request(&fleet))?;
    let load = load::start(&demo::load(settings, &fleet))?;
    let started = Instant::now();
    let mut warm = None;
    let mut threads = None;
    while started.elapsed() < settings.time {
        std::thread::sleep(LOOK);
        threads = threads.max(process("Threads:"));
        if started.elapsed() >= settings.time / WARM {
            warm = warm.or_else(|| process("VmRSS:"));
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let rss_end = process("VmRSS:");
    let hostile = hostile.stop();
    let tallies = load.stop(DRAIN);
    let rss_after = process("VmRSS:");
    fleet.stop();
    Ok(Report {
        before,
        seconds,
        routers: settings.routers,
        requests: tallies.iter().map(|tally| tally.started).sum(),
        whole: tallies.iter().map(Tally::whole).sum(),
        failed: failed(&tallies),
        hostile,
        rss_start_kib: rss_start,
        rss_warm_kib: warm,
        rss_end_kib: rss_end,
        rss_after_kib: rss_after,
        threads_most: threads,
    })
}

/// A valid streamed request of the first customer.
fn slow_request(fleet: &Fleet) -> String {
    let customers = &fleet.config.customers;
    let services = &fleet.config.services;
    let customer = customers.first().map_or("", |customer| &*customer.name);
    let service = services.iter().find(|service| !service.models.is_empty());
    let model = service.map_or("", |service| &*service.models[0]);
    let name = service.map_or("", |service| &*service.name);
    let body = value!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": "Why? [[tokens=64]]"}],
    });
    let body = body.to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-{customer}\r\n\
         X-Dunlinward-Service: {name}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn failed(tallies: &[Tally]) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    let works = tallies.iter().flat_map(|tally| tally.works.values());
    for (failure, number) in works.flat_map(|count| &count.failed) {
        *sums.entry(name(failure)).or_default() += number;
    }
    sums
}

fn name(failure: &Failure) -> String {
    match failure {
        Failure::Refused(reason) => format!("refused: {reason}"),
        Failure::Unanswered => "unanswered".into(),
        Failure::Broken => "broken".into(),
        Failure::Wrong => "wrong".into(),
        Failure::Abandoned => "abandoned at the end".into(),
    }
}

/// A number that the system tells of this process.
fn process(name: &str) -> Option<u64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
