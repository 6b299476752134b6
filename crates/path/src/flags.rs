//! The router's own settings on the data path, from flags and environment.
//!
//! Each flag has an environment variable named `DUNLINWARD_` and the flag in
//! capitals. A value that is not allowed ends the program with a message that
//! names the flag, the value and what is allowed.

use std::ffi::OsString;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgMatches, Command, Error};
use dunlinward_dispatch::cell;
use dunlinward_dispatch::placement::Policy;

use crate::settings::Patience;

/// Figures of the data path.
#[derive(Clone, Copy, Debug)]
pub struct Flags {
    /// Figures by which targets are chosen.
    pub policy: Policy,
    /// Figures by which requests wait.
    pub patience: Patience,
    /// Time between greetings to peers.
    pub report_interval: Duration,
    /// Targets of a cell, about.
    pub cell_targets: usize,
    /// Time between two questions to an engine about its memory; none are asked if it is zero.
    pub memory_interval: Duration,
}

#[derive(Clone, Copy)]
struct Figure {
    flag: &'static str,
    help: &'static str,
    least: f64,
    most: f64,
    standard: f64,
}

/// Standard time between reports in milliseconds; `docs/design/platform.md` has the trials.
const REPORT_MS: f64 = 100.0;

/// Standard time between questions to an engine about its memory in milliseconds: a prefix is sent
/// again some two seconds later, and each question costs about as much as a health check.
const MEMORY_MS: f64 = 400.0;

fn figure(flag: &'static str, help: &'static str, most: f64, standard: f64) -> Figure {
    Figure {
        flag,
        help,
        least: 0.0,
        most,
        standard,
    }
}

fn policy_figures() -> [Figure; 7] {
    let policy = Policy::default();
    [
        figure(
            "fill",
            "Part of an engine's slots that is used",
            1.0,
            policy.max_slot_utilization,
        ),
        figure(
            "reading",
            "Part of the objective for reading prompts",
            5.0,
            policy.prefill_budget,
        ),
        figure(
            "miss",
            "Weight of a prefix that is read anew",
            100.0,
            policy.miss_weight,
        ),
        figure(
            "miss-room",
            "Part of a target's room for a prefix read anew",
            1.0,
            policy.miss_capacity_share,
        ),
        figure(
            "fetch",
            "Times its length that a fetch from another engine counts",
            10_000.0,
            policy.fetch_weight,
        ),
        figure(
            "running",
            "Tokens by which a running request counts",
            10_000.0,
            policy.running_tokens,
        ),
        figure(
            "plain-queue",
            "Requests at a plain target for each slot",
            10.0,
            policy.plain_requests_per_slot,
        ),
    ]
}

fn patience_figures() -> [Figure; 6] {
    let patience = Patience::default();
    [
        figure(
            "wait-first",
            "Part of the objective that a request waits",
            5.0,
            patience.first,
        ),
        figure(
            "wait-returning",
            "The same for a caller that was refused",
            5.0,
            patience.returning,
        ),
        figure(
            "wait-miss",
            "Part of the objective before a prefix is read anew",
            5.0,
            patience.miss,
        ),
        figure(
            "come-back",
            "Part of the objective before a refused caller returns",
            5.0,
            patience.come_back,
        ),
        figure(
            "over-share",
            "Part of all room for requests beyond a share",
            1.0,
            patience.over_share,
        ),
        figure(
            "again",
            "Part of that room for callers that were refused",
            1.0,
            patience.again,
        ),
    ]
}

fn figures() -> Vec<Figure> {
    let interval = Figure {
        least: 10.0,
        ..figure(
            "report-ms",
            "Milliseconds between greetings to peers",
            10_000.0,
            REPORT_MS,
        )
    };
    #[expect(clippy::cast_precision_loss, reason = "a few dozen")]
    let cell = Figure {
        least: 1.0,
        ..figure(
            "cell-targets",
            "Targets whose requests one router places, about",
            1_000.0,
            cell::TARGETS_PER_CELL as f64,
        )
    };
    let memory = figure(
        "memory-ms",
        "Milliseconds between questions to an engine about its memory; 0 asks none",
        10_000.0,
        MEMORY_MS,
    );
    let patience = patience_figures().into_iter();
    let patience = patience.chain([interval, cell, memory]);
    policy_figures().into_iter().chain(patience).collect()
}

/// The environment variable of a flag.
fn variable(flag: &str) -> String {
    format!("DUNLINWARD_{}", flag.replace('-', "_").to_uppercase())
}

/// The command line.
#[must_use]
pub fn command(name: &'static str) -> Command {
    let args = figures().into_iter().map(|figure| {
        let Figure { least, most, .. } = figure;
        let parser = move |text: &str| number(text, least, most);
        let help = format!(
            "{} [{least} to {most}; default {}]",
            figure.help, figure.standard
        );
        Arg::new(figure.flag)
            .long(figure.flag)
            .env(variable(figure.flag))
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
            max_slot_utilization: value("fill"),
            prefill_budget: value("reading"),
            miss_weight: value("miss"),
            miss_capacity_share: value("miss-room"),
            fetch_weight: value("fetch"),
            running_tokens: value("running"),
            plain_requests_per_slot: value("plain-queue"),
        },
        patience: Patience {
            first: value("wait-first"),
            returning: value("wait-returning"),
            miss: value("wait-miss"),
            come_back: value("come-back"),
            over_share: value("over-share"),
            again: value("again"),
        },
        report_interval: Duration::from_secs_f64(value("report-ms") / 1_000.0),
        cell_targets: whole(value("cell-targets")),
        memory_interval: Duration::from_secs_f64(value("memory-ms") / 1_000.0),
    })
}

/// A figure of which only the whole part counts.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the flag's range is small and positive"
)]
fn whole(value: f64) -> usize {
    value.round() as usize
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
