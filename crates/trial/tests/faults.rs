//! Random faults from fixed seeds: nothing lost, doubled or told wrongly.

use dunlinward_trial::faults::{self, Report};

/// Runs of each part; parts run at the same time.
const RUNS: u64 = 5_000;

fn check(part: u64) {
    let report = faults::run(part * 1_000_000, RUNS);
    assert!(report.clean(), "{report:?}");
    // Faults must bite, or the run proves nothing.
    let Report {
        faults,
        refused,
        retries,
        cut,
        whole,
        ..
    } = report;
    assert!(faults > RUNS && refused > 0 && retries > 0 && cut > 0 && whole > RUNS);
}

#[test]
fn first_part() {
    check(1);
}

#[test]
fn second_part() {
    check(2);
}

#[test]
fn third_part() {
    check(3);
}

#[test]
fn fourth_part() {
    check(4);
}
