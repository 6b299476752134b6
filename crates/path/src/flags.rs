//! Settings of the data path from command-line flags and environment variables.
//!
//! The environment variable of a flag is `DUNLINWARD_` followed by the flag in capitals. A value
//! that is not allowed ends the program with a message that names the flag, the value and the
//! allowed range.

use std::ffi::OsString;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgMatches, Command, Error};
use dunlinward_dispatch::cell;
use dunlinward_dispatch::placement::Policy;

use crate::settings::{LoadPolicy, QueuePolicy};

/// Parameters of the data path.
#[derive(Clone, Copy, Debug)]
pub struct Flags {
    /// Parameters of the choice of targets.
    pub policy: Policy,
    /// Parameters of the queue.
    pub queue_policy: QueuePolicy,
    /// Parameters of the decisions under heavy load.
    pub load_policy: LoadPolicy,
    /// Interval between heartbeats to peers.
    pub heartbeat_interval: Duration,
    /// Approximate number of targets per cell.
    pub cell_targets: usize,
    /// Interval between two queries to an engine's cache; zero disables them.
    pub cache_poll_interval: Duration,
}

#[derive(Clone, Copy)]
struct Parameter {
    flag: &'static str,
    help: &'static str,
    min: f64,
    max: f64,
    default: f64,
}

/// Default interval between heartbeats; see `docs/design/platform.md`.
const DEFAULT_HEARTBEAT_MS: f64 = 100.0;

/// Default interval between queries to an engine's cache: a prefix is sent again after some two
/// seconds, and a query costs about as much as a health check.
const DEFAULT_CACHE_POLL_MS: f64 = 400.0;

fn parameter(flag: &'static str, help: &'static str, max: f64, default: f64) -> Parameter {
    Parameter {
        flag,
        help,
        min: 0.0,
        max,
        default,
    }
}

fn placement_parameters() -> [Parameter; 7] {
    let policy = Policy::default();
    [
        parameter(
            "fill",
            "Largest fraction of an engine's slots that is used",
            1.0,
            policy.max_slot_utilization,
        ),
        parameter(
            "reading",
            "Time for prefill at an engine, as a multiple of the objective",
            5.0,
            policy.prefill_budget,
        ),
        parameter(
            "miss",
            "Extra cost of recomputing a token of a prefix",
            100.0,
            policy.miss_weight,
        ),
        parameter(
            "miss-room",
            "Fraction of a target's capacity for requests whose prefix is recomputed",
            1.0,
            policy.miss_capacity_share,
        ),
        parameter(
            "fetch",
            "Extra cost of a fetch from another engine, as a multiple of its duration",
            10_000.0,
            policy.fetch_weight,
        ),
        parameter(
            "running",
            "Cost of a running request in tokens",
            10_000.0,
            policy.running_tokens,
        ),
        parameter(
            "plain-queue",
            "Largest number of requests per slot at a plain target",
            10.0,
            policy.plain_requests_per_slot,
        ),
    ]
}

fn queue_parameters() -> [Parameter; 6] {
    let queue_policy = QueuePolicy::default();
    [
        parameter(
            "wait-first",
            "Wait of a first attempt, as a fraction of the objective",
            5.0,
            queue_policy.first_wait,
        ),
        parameter(
            "wait-returning",
            "Wait of a retry, as a fraction of the objective",
            5.0,
            queue_policy.retry_wait,
        ),
        parameter(
            "wait-miss",
            "Wait before a prefix is recomputed, as a fraction of the objective",
            5.0,
            queue_policy.miss_delay,
        ),
        parameter(
            "come-back",
            "Delay before a refused client retries, as a fraction of the objective",
            5.0,
            queue_policy.retry_delay,
        ),
        parameter(
            "over-share",
            "Fraction of the capacity for requests beyond a share",
            1.0,
            queue_policy.over_share_capacity,
        ),
        parameter(
            "again",
            "Fraction of that capacity for retries",
            1.0,
            queue_policy.retry_capacity,
        ),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "a small number")]
fn load_parameters() -> [Parameter; 8] {
    let load_policy = LoadPolicy::default();
    let homes = parameter(
        "prefix-homes",
        "Maximum number of homes of a prefix in a cell",
        64.0,
        load_policy.max_prefix_homes as f64,
    );
    [
        parameter(
            "intake",
            "Utilization of the event loop up to which all requests are accepted; 0 accepts all",
            1.0,
            load_policy.intake_utilization,
        ),
        parameter(
            "handover-reserve",
            "Part of the work that may arrive at once below which connections are handed over to \
             neighbours; 0 hands none over",
            1.0,
            load_policy.handover_reserve,
        ),
        parameter(
            "throttle",
            "Requests of a customer beyond its share that are sent to owners, as a multiple of \
             those granted; 0 sends all",
            100.0,
            load_policy.throttle_ratio,
        ),
        parameter(
            "event-delay-ms",
            "Longest delay in milliseconds of a stream's event while the event loop is busy",
            200.0,
            load_policy.event_delay.as_secs_f64() * 1_000.0,
        ),
        switch(
            "speeds",
            "Whether targets' speeds are measured and used (1) or not (0)",
            load_policy.learn_speeds,
        ),
        switch(
            "capacity-shares",
            "Whether shares are taken of the capacity (1) or of the tokens granted (0)",
            load_policy.share_capacity,
        ),
        switch(
            "scheduled-returns",
            "Whether owners schedule the return of refused requests (1) or not (0)",
            load_policy.schedule_returns,
        ),
        Parameter { min: 1.0, ..homes },
    ]
}

/// A parameter that is on from a half upwards.
fn switch(flag: &'static str, help: &'static str, default: bool) -> Parameter {
    parameter(flag, help, 1.0, f64::from(u8::from(default)))
}

fn parameters() -> Vec<Parameter> {
    let interval = Parameter {
        min: 10.0,
        ..parameter(
            "report-ms",
            "Milliseconds between heartbeats to peers",
            10_000.0,
            DEFAULT_HEARTBEAT_MS,
        )
    };
    #[expect(clippy::cast_precision_loss, reason = "a few dozen")]
    let cell = Parameter {
        min: 1.0,
        ..parameter(
            "cell-targets",
            "Approximate number of targets per cell, whose requests one router places",
            1_000.0,
            cell::TARGETS_PER_CELL as f64,
        )
    };
    let cache_poll = parameter(
        "memory-ms",
        "Milliseconds between queries to an engine's cache; 0 disables them",
        10_000.0,
        DEFAULT_CACHE_POLL_MS,
    );
    let queue = queue_parameters().into_iter();
    let queue = queue.chain([interval, cell, cache_poll]);
    let queue = queue.chain(load_parameters());
    placement_parameters().into_iter().chain(queue).collect()
}

/// The environment variable of a flag.
fn variable(flag: &str) -> String {
    format!("DUNLINWARD_{}", flag.replace('-', "_").to_uppercase())
}

/// The command line.
#[must_use]
pub fn command(name: &'static str) -> Command {
    let args = parameters().into_iter().map(|parameter| {
        let Parameter { min, max, .. } = parameter;
        let parser = move |text: &str| parse_number(text, min, max);
        let help = format!(
            "{} [{min} to {max}; default {}]",
            parameter.help, parameter.default
        );
        Arg::new(parameter.flag)
            .long(parameter.flag)
            .env(variable(parameter.flag))
            .value_parser(ValueParser::new(parser))
            .help(help)
    });
    Command::new(name)
        .about("Routes client requests to targets on the users' platform")
        .args(args)
}

fn parse_number(text: &str, min: f64, max: f64) -> Result<f64, String> {
    let value: f64 = text
        .parse()
        .map_err(|_| format!("{text} is not a number"))?;
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(format!("must be {min} to {max}"))
}

/// Parses flags and environment variables.
///
/// # Errors
///
/// A message that names the flag, the value and the allowed range.
pub fn parse(
    name: &'static str,
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Flags, Error> {
    let matches = command(name).try_get_matches_from(arguments)?;
    let parameters = parameters();
    let value = |flag| value(&parameters, &matches, flag);
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
        queue_policy: QueuePolicy {
            first_wait: value("wait-first"),
            retry_wait: value("wait-returning"),
            miss_delay: value("wait-miss"),
            retry_delay: value("come-back"),
            over_share_capacity: value("over-share"),
            retry_capacity: value("again"),
        },
        load_policy: LoadPolicy {
            intake_utilization: value("intake"),
            handover_reserve: value("handover-reserve"),
            throttle_ratio: value("throttle"),
            event_delay: Duration::from_secs_f64(value("event-delay-ms") / 1_000.0),
            learn_speeds: value("speeds") >= 0.5,
            share_capacity: value("capacity-shares") >= 0.5,
            schedule_returns: value("scheduled-returns") >= 0.5,
            max_prefix_homes: round(value("prefix-homes")),
        },
        heartbeat_interval: Duration::from_secs_f64(value("report-ms") / 1_000.0),
        cell_targets: round(value("cell-targets")),
        cache_poll_interval: Duration::from_secs_f64(value("memory-ms") / 1_000.0),
    })
}

/// Rounds a value to a whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the flag's range is small and positive"
)]
fn round(value: f64) -> usize {
    value.round() as usize
}

fn value(parameters: &[Parameter], matches: &ArgMatches, flag: &str) -> f64 {
    let given = matches.get_one::<f64>(flag).copied();
    let default = parameters
        .iter()
        .find(|it| it.flag == flag)
        .map(|it| it.default);
    given.or(default).expect("every flag has a default")
}
