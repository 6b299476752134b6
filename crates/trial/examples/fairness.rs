//! One run under virtual time, by words: `fairness routers 35 targets 60 seconds 20`.
//!
//! The shortest way to a figure while the kernel changes; `measure -- fairness` of
//! the stand-ins has checked flags and more forms of output.

use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use dunlinward_kernel::settings::Admission;
use dunlinward_trial::report::Report;
use dunlinward_trial::spec::Trial;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let mut trial = Trial::new();
    for pair in words.chunks(2) {
        let value = pair.get(1).map_or("", String::as_str);
        if let Err(problem) = set(&mut trial, &pair[0], value) {
            eprintln!("{} {value}: {problem}", pair[0]);
            return ExitCode::from(2);
        }
    }
    match serde_json::to_string_pretty(&Report::of(&trial)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}

fn set(trial: &mut Trial, name: &str, value: &str) -> Result<(), String> {
    match name {
        "routers" => trial.routers = read(value)?,
        "targets" => trial.targets = read(value)?,
        "slots" => trial.slots = read(value)?,
        "customers" => trial.customers = read(value)?,
        "backlogged" => trial.backlogged = read(value)?,
        "domains" => trial.domains = read(value)?,
        "services" => trial.services = read(value)?,
        "skew" => trial.skew = read(value)?,
        "seed" => trial.seed = read(value)?,
        "flood" => trial.flood = read(value)?,
        "partition" => trial.partition = Duration::from_secs(read(value)?),
        "seconds" => trial.length = Duration::from_secs(read(value)?),
        "round" => trial.round = Duration::from_millis(read(value)?),
        "gap" => trial.gap_permille = read(value)?,
        "speed" => trial.speed = read(value)?,
        "light" => trial.light_permille = read(value)?,
        "policy" => trial.admission = policy(value)?,
        _ => return Err("no such word".to_owned()),
    }
    Ok(())
}

fn policy(value: &str) -> Result<Admission, String> {
    match value {
        "owner" => Ok(Admission::Owner),
        "static" => Ok(Admission::Static),
        "naive" => Ok(Admission::Naive),
        _ => Err("owner, static or naive".to_owned()),
    }
}

fn read<T: FromStr<Err: Display>>(value: &str) -> Result<T, String> {
    value.parse().map_err(|problem| format!("{problem}"))
}
