//! Ledgers of several routers that receive different findings in different orders converge once all
//! have merged each other's entries.

use std::collections::BTreeSet;
use std::time::Duration;

use dunlinward_dispatch::content::Digest;
use dunlinward_dispatch::quarantine::{Finding, Ledger, QUARANTINE_ENDS, Resolution, Status};
use dunlinward_dispatch::target::Tag;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NOW: Duration = Duration::from_secs(100);

const ROUTERS: usize = 5;

/// Contents that are requested.
const CONTENTS: u128 = 4;

/// Targets that findings name.
const TARGETS: u32 = 6;

/// Steps of a simulation.
const STEPS: usize = 60;

fn send(from: usize, to: usize, ledgers: &mut [Ledger]) {
    let entries: Vec<_> = ledgers[from].entries(NOW).collect();
    for entry in &entries {
        ledgers[to].merge(entry, NOW);
    }
}

fn exchange_all(ledgers: &mut [Ledger]) {
    // Twice, as entries received in the first round are passed on in the second.
    for _ in 0..2 {
        for from in 0..ROUTERS {
            for to in 0..ROUTERS {
                send(from, to, ledgers);
            }
        }
    }
}

fn random_finding(random: &mut Pcg64Mcg) -> Finding {
    let resolutions = [
        Resolution::Open,
        Resolution::Ended,
        Resolution::Ended,
        Resolution::Alive,
    ];
    Finding {
        content: Digest(random.random_range(0..CONTENTS)),
        target: Tag(random.random_range(0..TARGETS)),
        resolution: resolutions[random.random_range(0..resolutions.len())],
    }
}

fn simulate(seed: u64, answers: bool) -> Vec<Ledger> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut ledgers = vec![Ledger::new(); ROUTERS];
    for _ in 0..STEPS {
        let router = random.random_range(0..ROUTERS);
        match random.random_range(0..4) {
            0 if answers => {
                let content = Digest(random.random_range(0..CONTENTS));
                ledgers[router].record_answer(content.tag(), NOW);
            }
            1 => send(router, random.random_range(0..ROUTERS), &mut ledgers),
            _ => {
                ledgers[router].apply(random_finding(&mut random), NOW);
            }
        }
    }
    exchange_all(&mut ledgers);
    ledgers
}

#[test]
fn ledgers_converge_to_the_same_digest() {
    for seed in 0..500 {
        let ledgers = simulate(seed, seed % 2 == 0);
        let digests: BTreeSet<_> = ledgers.iter().map(Ledger::digest).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
    }
}

/// Without answers, all ledgers share the same terminations of each content, and a content that any
/// of them quarantines has enough of them.
#[test]
fn ledgers_without_answers_share_the_same_ends() {
    for seed in 0..200 {
        let ledgers = simulate(seed, false);
        for content in (0..CONTENTS).map(Digest) {
            let of = |ledger: &Ledger| {
                let mut entries = ledger.entries(NOW);
                let entry = entries.find(|it| it.content == content);
                entry.map(|it| it.ends)
            };
            let shared: Vec<_> = ledgers.iter().map(of).collect();
            assert!(shared.windows(2).all(|it| it[0] == it[1]), "seed {seed}");
            let held = ledgers
                .iter()
                .filter(|it| matches!(it.status(content, NOW), Status::Quarantined(_)));
            let ends = shared[0].as_ref().map_or(0, BTreeSet::len);
            if held.count() > 0 {
                assert!(ends >= QUARANTINE_ENDS, "seed {seed}: {ends}");
            }
        }
    }
}
