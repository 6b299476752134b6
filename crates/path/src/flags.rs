//! The router's own settings on the data path, from flags and environment.
//!
//! Each flag has an environment variable named `DUNLINWARD_` and the flag in
//! capitals. A value that is not allowed ends the program with a message that
//! names the flag, the value and what is allowed.

use std::ffi::OsString;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgMatches, Command, Error};
use dunlinward_dispatch::placement::Policy;

use crate::node::Patience;

/// Figures of the data path.
#[derive(Clone, Copy, Debug)]
pub struct Flags {
    /// Figures by which targets are chosen.
    pub policy: Policy,
    /// Figures by which requests wait.
    pub patience: Patience,
    /// Time between reports to peers.
    pub report_interval: Duration,
}

struct Figure {
    flag: &'static str,
    variable: &'static str,
    help: &'static str,
    least: f64,
    most: f64,
    standard: f64,
}

/// Standard time between reports in milliseconds; `docs/design/platform.md` has the trials.
const REPORT_MS: f64 = 100.0;

fn figures() -> [Figure; 12] {
    let policy = Policy::default();
    let patience = Patience::default();
    let figure = |flag, variable, help, least, most, standard| Figure {
        flag,
        variable,
        help,
        least,
        most,
        standard,
    };
    [
        figure(
            "fill",
            "DUNLINWARD_FILL",
            "Part of an engine's slots that is used",
            0.01,
            1.0,
            policy.fill,
        ),
        figure(
            "reading",
            "DUNLINWARD_READING",
            "Part of the objective for reading prompts",
            0.01,
            2.0,
            policy.reading,
        ),
        figure(
            "miss",
            "DUNLINWARD_MISS",
            "Weight of a prefix that is read anew",
            0.0,
            100.0,
            policy.miss,
        ),
        figure(
            "miss-room",
            "DUNLINWARD_MISS_ROOM",
            "Part of a target's room that a prefix read anew may use",
            0.0,
            1.0,
            policy.miss_room,
        ),
        figure(
            "running",
            "DUNLINWARD_RUNNING",
            "Tokens by which a running request counts",
            0.0,
            10_000.0,
            policy.running,
        ),
        figure(
            "plain-queue",
            "DUNLINWARD_PLAIN_QUEUE",
            "Requests at a plain target for each slot",
            0.1,
            10.0,
            policy.queue,
        ),
        figure(
            "wait-first",
            "DUNLINWARD_WAIT_FIRST",
            "Part of the objective that a request waits",
            0.0,
            5.0,
            patience.first,
        ),
        figure(
            "wait-returning",
            "DUNLINWARD_WAIT_RETURNING",
            "The same for a caller that was refused before",
            0.0,
            5.0,
            patience.returning,
        ),
        figure(
            "wait-miss",
            "DUNLINWARD_WAIT_MISS",
            "Part of the objective before a prefix may be read anew",
            0.0,
            5.0,
            patience.miss,
        ),
        figure(
            "come-back",
            "DUNLINWARD_COME_BACK",
            "Part of the objective after which a refused caller may come back",
            0.0,
            5.0,
            patience.come_back,
        ),
        figure(
            "over-share",
            "DUNLINWARD_OVER_SHARE",
            "Part of all room for requests beyond a share",
            0.0,
            1.0,
            patience.over_share,
        ),
        figure(
            "report-ms",
            "DUNLINWARD_REPORT_MS",
            "Milliseconds between reports to peers",
            10.0,
            10_000.0,
            REPORT_MS,
        ),
    ]
}

/// The command line.
#[must_use]
pub fn command(name: &'static str) -> Command {
    let args = figures().map(|figure| {
        let Figure { least, most, .. } = figure;
        let parser = move |text: &str| number(text, least, most);
        let help = format!(
            "{} [{least} to {most}; default {}]",
            figure.help, figure.standard
        );
        Arg::new(figure.flag)
            .long(figure.flag)
            .env(figure.variable)
            .value_parser(ValueParser::new(parser))
            .help(help)
    });
    Command::new(name)
        .about("Routes callers' requests to targets on the users' platform")
        .args(args)
}

fn number(text: &str, least: f64, most: f64) -> Result<f64, String> {
    let value: f64 = text
        .parse()
        .map_err(|_| format!("{text} is not a number"))?;
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(format!("must be {least} to {most}"))
}

/// Reads flags and environment.
///
/// # Errors
///
/// A message that names the flag, the value and what is allowed.
pub fn parse(
    name: &'static str,
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Flags, Error> {
    let matches = command(name).try_get_matches_from(arguments)?;
    let figures = figures();
    let value = |flag| value(&figures, &matches, flag);
    Ok(Flags {
        policy: Policy {
            fill: value("fill"),
            reading: value("reading"),
            miss: value("miss"),
            miss_room: value("miss-room"),
            running: value("running"),
            queue: value("plain-queue"),
        },
        patience: Patience {
            first: value("wait-first"),
            returning: value("wait-returning"),
            miss: value("wait-miss"),
            come_back: value("come-back"),
            over_share: value("over-share"),
        },
        report_interval: Duration::from_secs_f64(value("report-ms") / 1_000.0),
    })
}

fn value(figures: &[Figure], matches: &ArgMatches, flag: &str) -> f64 {
    let given = matches.get_one::<f64>(flag).copied();
    let standard = figures
        .iter()
        .find(|it| it.flag == flag)
        .map(|it| it.standard);
    given
        .or(standard)
        .expect("every flag has a standard figure")
}
