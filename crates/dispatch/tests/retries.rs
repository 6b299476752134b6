//! Time between a client's first attempt and its retry.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::refused::Contents;
use dunlinward_dispatch::retry::{self, Detector};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_time_since_the_first_attempt_is_the_part_of_the_timeout_that_is_used_up() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let (route, mut detector): (Arc<str>, _) = ("r".into(), Detector::new());
    for number in 0..2_000 {
        let used = if number > 30 && random.random_ratio(1, 3) {
            random.random_range(100..400)
        } else {
            0
        };
        let timeout = ms(15_000 - used);
        detector.record(&route, timeout, ms(15_000));
        if number > 30 {
            let since = detector.since_first_attempt(&route, timeout);
            assert_eq!(since, Some(ms(used)), "request {number}");
        }
    }
}

/// Guards against a time that is derived from the route's limit, which operators change.
#[test]
fn the_time_is_unknown_without_a_frequent_timeout() {
    let (route, mut detector): (Arc<str>, _) = ("r".into(), Detector::new());
    assert_eq!(detector.since_first_attempt(&route, ms(100)), None);
    for number in 0..19 {
        detector.record(&route, ms(14_000), ms(15_000));
        let since = detector.since_first_attempt(&route, ms(13_900));
        assert_eq!(since, None, "request {number}");
    }
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let route: Arc<str> = "spread".into();
    for _ in 0..400 {
        let timeout = ms(random.random_range(8_500..=10_000));
        detector.record(&route, timeout, ms(10_000));
    }
    assert_eq!(detector.since_first_attempt(&route, ms(9_000)), None);
}

#[test]
fn a_retry_is_on_time_while_three_quarters_of_its_objective_are_left() {
    assert!(retry::is_on_time(ms(0), ms(800)));
    assert!(retry::is_on_time(ms(200), ms(800)));
    assert!(!retry::is_on_time(ms(201), ms(800)));
    assert!(!retry::is_on_time(ms(1), ms(0)));
}

#[test]
fn the_age_of_a_refusal_is_known_as_long_as_it_is_remembered() {
    let mut contents = Contents::default();
    contents.insert(ContentTag(1), ms(1_000));
    assert_eq!(contents.age(ContentTag(1), ms(1_070)), Some(ms(70)));
    assert_eq!(contents.age(ContentTag(2), ms(1_070)), None);
    assert_eq!(contents.age(ContentTag(1), ms(6_000)), None);
}
