//! Kernels against the naive version that knows everything, on the same load.

use std::time::Duration;

use dunlinward_kernel::time::Instant;
use dunlinward_trial::fleet::{Fleet, WARM_UP};
use dunlinward_trial::oracle;
use dunlinward_trial::report;
use dunlinward_trial::spec::Trial;

/// Generated trials.
const TRIALS: u64 = 24;

/// Least utilisation of the kernels against the naive version's.
const LEAST: f64 = 0.99;

fn trial(seed: u64) -> Trial {
    let mut trial = Trial::new();
    trial.seed = seed;
    trial.routers = 3 + usize::try_from(seed % 4).expect("small") * 2;
    trial.targets = 3 + usize::try_from(seed % 3).expect("small") * 3;
    trial.slots = 4 + usize::try_from(seed % 2).expect("small") * 4;
    trial.domains = 1 + usize::try_from(seed % 3).expect("small");
    trial.customers = 8;
    trial.backlogged = 2 + usize::try_from(seed % 3).expect("small");
    trial.skew = [0.0, 0.8, 1.5][usize::try_from(seed % 3).expect("small")];
    trial.length = Duration::from_secs(30);
    trial
}

/// What differs too much, in words.
fn compare(seed: u64) -> Vec<String> {
    let trial = trial(seed);
    let naive = oracle::run(&trial);
    let mut fleet = Fleet::new(trial.clone());
    fleet.run(Instant::ZERO + WARM_UP + trial.length);
    let mut wrong = Vec::new();
    let (used, least) = (fleet.meter.utilisation(), naive.utilisation * LEAST);
    if used < least {
        wrong.push(format!(
            "seed {seed}: {used:.4} of slots used, naive {:.4}",
            naive.utilisation
        ));
    }
    let bound = report::bound(&trial);
    let received = fleet.received();
    for (at, row) in trial
        .spec()
        .customers
        .iter()
        .enumerate()
        .take(trial.backlogged)
    {
        let share = f64::from(row.share);
        let difference = units(received[at].abs_diff(naive.received[at])) / share;
        if difference > bound {
            wrong.push(format!(
                "seed {seed}: customer {at} differs by {difference:.0}"
            ));
        }
    }
    wrong
}

fn units(count: u64) -> f64 {
    f64::from(u32::try_from(count).expect("a short run"))
}

#[test]
fn kernels_come_near_the_naive_version() {
    let wrong: Vec<String> = (1..=TRIALS).flat_map(compare).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
