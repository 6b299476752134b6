//! The command line of the measurements.
#![cfg(feature = "fleet")]

use std::time::Duration;

use clap::ArgMatches;
use dunlinward_kernel::settings::Admission;
use dunlinward_standin::demo::Deployment;
use dunlinward_standin::measure::{self, convergence, fairness, path, soak};
use dunlinward_trial::spec::Trial;

fn parse(line: &str) -> Result<ArgMatches, String> {
    let words = std::iter::once("measure").chain(line.split_whitespace());
    let matches = measure::command().try_get_matches_from(words);
    matches.map_err(|err| err.to_string())
}

fn sub(line: &str) -> ArgMatches {
    let matches = parse(line).unwrap();
    matches.subcommand().unwrap().1.clone()
}

fn trial(line: &str) -> Trial {
    fairness::trial(&sub(line)).unwrap()
}

#[test]
fn todays_sizes_are_the_default() {
    assert_eq!(
        format!("{:?}", trial("fairness")),
        format!("{:?}", Trial::new())
    );
}

#[test]
fn a_large_fleet_has_the_designs_shape() {
    let line = "fairness --routers 350 --targets 600 --customers 350 --domains 5";
    let large = trial(line);
    assert_eq!((large.services, large.backlogged), (6, 35));
    assert_eq!(large.round, Duration::from_secs(2));
    let given = trial(&format!(
        "{line} --services 2 --backlogged 9 --round-ms 500"
    ));
    assert_eq!((given.services, given.backlogged), (2, 9));
    assert_eq!(given.round, Duration::from_millis(500));
}

#[test]
fn every_argument_arrives() {
    let line = "fairness --routers 12 --targets 24 --customers 30 --domains 4 --skew 0.5 \
                --seed 7 --slots 3 --backlogged 5 --services 2 --seconds 90 --round-ms 700 \
                --gap-permille 900 --flood --partition 20 --policy static --json";
    let trial = trial(line);
    assert_eq!(
        (trial.routers, trial.targets, trial.customers),
        (12, 24, 30)
    );
    assert_eq!((trial.domains, trial.slots, trial.backlogged), (4, 3, 5));
    assert_eq!(
        (trial.services, trial.seed, trial.gap_permille),
        (2, 7, 900)
    );
    assert!((trial.skew - 0.5).abs() < f64::EPSILON);
    assert!(trial.flood);
    assert_eq!(trial.partition, Duration::from_secs(20));
    assert_eq!(trial.length, Duration::from_secs(90));
    assert_eq!(trial.round, Duration::from_millis(700));
    assert_eq!(trial.admission, Admission::Static);
}

#[test]
fn contradictions_are_refused() {
    for (line, says) in [
        ("fairness --customers 3", "fewer customers"),
        ("fairness --targets 2", "needs a target"),
        ("fairness --routers 2", "needs a router"),
    ] {
        let err = fairness::trial(&sub(line)).unwrap_err().to_string();
        assert!(err.contains(says), "{line}: {err}");
    }
}

#[test]
fn bad_values_are_refused() {
    for line in [
        "",
        "speed",
        "fairness --routers 0",
        "fairness --skew -1",
        "fairness --skew much",
        "fairness --gap-permille 1001",
        "fairness --policy fair",
        "path --requests 0",
        "path --clients 1",
        "faults --runs 0",
        "convergence --routers none",
        "soak --deployment somewhere",
    ] {
        assert!(parse(line).is_err(), "{line}");
    }
}

#[test]
fn clients_stay_within_the_slots() {
    let settings = path::Settings::new(&sub("path --requests 5 --clients 100000"));
    assert_eq!((settings.requests, settings.clients), (5, 256));
}

#[test]
fn convergence_takes_the_designs_size() {
    let settings = convergence::Settings::new(&sub("convergence"));
    assert_eq!((settings.trial.routers, settings.trial.domains), (350, 5));
    assert_eq!(settings.cut_permille, 100);
    let line = "convergence --routers 3 --domains 9 --cut-permille 5000 --seed 4";
    let settings = convergence::Settings::new(&sub(line));
    assert_eq!((settings.trial.routers, settings.trial.domains), (3, 3));
    assert_eq!((settings.cut_permille, settings.trial.seed), (1000, 4));
}

/// A revision never appears at a router before the append, and without any cut it
/// appears at every router.
#[test]
fn a_revision_gets_everywhere() {
    let line = "convergence --routers 12 --domains 3 --cut-permille 250";
    let report = convergence::measure(&convergence::Settings::new(&sub(line)));
    assert_eq!((report.up.cut, report.up.in_force), (0, 12));
    assert_eq!((report.cut.cut, report.cut.in_force), (3, 12));
    assert!(report.up.p50_ms.unwrap() > 0.0);
    assert!(report.up.p50_ms <= report.up.max_ms);
}

#[test]
fn a_soak_is_of_the_demonstrations_fleet() {
    let settings = soak::settings(&sub("soak --seconds 7 --deployment tickworks --seed 3"));
    assert_eq!(settings.time, Duration::from_secs(7));
    assert_eq!((settings.routers, settings.seed), (9, 3));
    assert_eq!(settings.deployment, Deployment::Tickworks);
}
