//! Which answers are given up while targets send without end, on drawn loads.

use dunlinward_dispatch::answer_memory::Ledger;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT: u64 = 1_000_000;

/// Answers without end among some that end, with as many at a time as there are routers' requests.
#[test]
fn only_the_longest_answers_are_given_up_and_the_sum_is_bounded() {
    for (seed, endless) in [(0, 10), (1, 100), (2, 400)] {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut ledger = Ledger::new(LIMIT);
        let mut floods: Vec<_> = (0..endless).map(|_| ledger.begin()).collect();
        let (mut given_up, mut served) = (0, 0);
        for _ in 0..5_000 {
            let flood = random.random_range(0..floods.len());
            for cut in ledger.grow(floods[flood], random.random_range(1..20_000)) {
                let at = floods.iter().position(|it| *it == cut);
                floods[at.expect("only floods are given up")] = ledger.begin();
                given_up += 1;
            }
            let sound = ledger.begin();
            let cut = ledger.grow(sound, random.random_range(1..800));
            for cut in cut {
                assert_ne!(cut, sound);
                let at = floods.iter().position(|it| *it == cut);
                floods[at.expect("only floods are given up")] = ledger.begin();
            }
            ledger.end(sound);
            served += 1;
            assert!(ledger.total() <= LIMIT);
        }
        assert!(given_up > 0 && served == 5_000, "{given_up} {served}");
    }
}

#[test]
fn answers_within_the_limit_are_not_given_up() {
    let mut ledger = Ledger::new(LIMIT);
    let answers: Vec<_> = (0..10).map(|_| ledger.begin()).collect();
    for answer in &answers {
        assert!(ledger.grow(*answer, LIMIT / 10).is_empty());
    }
    for answer in answers {
        ledger.end(answer);
        ledger.end(answer);
    }
    assert_eq!(ledger.total(), 0);
}

#[test]
fn an_answer_that_is_longer_than_the_limit_is_given_up() {
    let mut ledger = Ledger::new(LIMIT);
    let (short, long) = (ledger.begin(), ledger.begin());
    assert!(ledger.grow(short, 1).is_empty());
    assert_eq!(ledger.grow(long, LIMIT), [long]);
    assert!(ledger.grow(long, 1).is_empty());
    assert_eq!(ledger.total(), 1);
}
