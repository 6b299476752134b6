//! Detection of retries by the owner that refused the first attempt.

use dunlinward_dispatch::content::ContentTag;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Requests a place from an owner; returns whether it was granted.
fn request(fleet: &mut Fleet, content: u64, number: u64, now: Duration) -> bool {
    let place_request = PlaceRequest {
        content: Some(ContentTag(content)),
        ..place_request(0, now, number)
    };
    let settings = fleet.settings.clone();
    let answer = fleet
        .owner
        .answer(&settings, asker(1, number), place_request, now);
    matches!(answer, Content::Grant(_))
}

/// Sends requests with content equal to their number until the engines have no room; returns the
/// number of the first request that is queued.
fn fill(fleet: &mut Fleet) -> u64 {
    let mut number = 1;
    while request(fleet, number, number, Duration::ZERO) {
        number += 1;
    }
    number
}

/// Whether a queued request counts as a retry; none if it is not queued.
fn queued_as_retry(fleet: &Fleet, number: u64) -> Option<bool> {
    let mut queue = fleet.owner.queue.iter();
    let waiter = queue.find(|it| it.origin.matches(Peer(1), number));
    waiter.map(|it| it.wish.is_retry)
}

#[test]
fn a_retry_is_detected_by_the_content_of_a_refused_request() {
    let mut fleet = Fleet::new(&[], 0);
    let refused = fill(&mut fleet);
    assert_eq!(queued_as_retry(&fleet, refused), Some(false));
    fleet.owner.withdraw(Peer(1), refused, Duration::ZERO);
    // A retry has another number, and a first attempt another content.
    request(&mut fleet, refused, 1_001, SECOND / 2);
    request(&mut fleet, 2_000, 1_002, SECOND / 2);
    assert_eq!(queued_as_retry(&fleet, 1_001), Some(true));
    assert_eq!(queued_as_retry(&fleet, 1_002), Some(false));
}

#[test]
fn a_request_that_timed_out_counts_as_refused_and_one_that_got_a_place_does_not() {
    let mut fleet = Fleet::new(&[], 0);
    let refused = fill(&mut fleet);
    let settings = fleet.settings.clone();
    fleet.owner.process_queue(&settings, SECOND);
    assert_eq!(queued_as_retry(&fleet, refused), None);
    let late = SECOND + SECOND / 2;
    request(&mut fleet, refused, 1_001, late);
    request(&mut fleet, 1, 1_002, late);
    assert_eq!(queued_as_retry(&fleet, 1_001), Some(true));
    assert_eq!(queued_as_retry(&fleet, 1_002), Some(false));
}

#[test]
fn refused_requests_are_forgotten_after_some_seconds() {
    let mut fleet = Fleet::new(&[], 0);
    let refused = fill(&mut fleet);
    fleet.owner.withdraw(Peer(1), refused, Duration::ZERO);
    request(&mut fleet, refused, 1_001, 6 * SECOND);
    assert_eq!(queued_as_retry(&fleet, 1_001), Some(false));
}

/// Utilization of the engines' prefill capacity in the last six of twelve seconds, 0 to 1, under
/// one customer with 1.25 times the capacity as its load and eight with little.
fn utilization(mark_as_retries: bool, seed: u64) -> f64 {
    let spread_load = |rate| Load { rate, router: None };
    let mut loads = vec![spread_load(150)];
    loads.extend([spread_load(4); 8]);
    let mut fleet = Fleet::new(&loads, seed);
    fleet.mark_as_retries = mark_as_retries;
    let fleet = fleet.run(12 * SECOND);
    let served: u64 = (0..loads.len()).map(|it| fleet.served(it, 6, 12)).sum();
    to_f64(served) / (PREFILL_RATE * f64::from(ENGINES) * 6.0)
}

/// Guards against first attempts that are treated as retries: they get only a fifth of the room
/// beyond a share, so they were refused while engines were idle, and the refusals counted as
/// contention for which more were refused.
#[test]
fn first_attempts_get_the_room_that_is_left() {
    for seed in 0..4 {
        let (used, as_retries) = (utilization(false, seed), utilization(true, seed));
        println!(
            "seed {seed}: utilization {used:.2}, {as_retries:.2} with attempts marked as retries"
        );
        assert!(used >= 0.9, "seed {seed}: utilization {used}");
    }
}
