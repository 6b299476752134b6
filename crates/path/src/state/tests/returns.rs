//! Callers that were refused and come back, as the owner knows them.

use dunlinward_dispatch::content::ContentTag;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Puts a request to an owner; whether it got a place.
fn put(fleet: &mut Fleet, content: u64, number: u64, now: Duration) -> bool {
    let wish = Wish {
        content: Some(ContentTag(content)),
        ..wish(0, now, number)
    };
    let settings = fleet.settings.clone();
    let answer = fleet.owner.answer(&settings, asker(1, number), wish, now);
    matches!(answer, Content::Grant(_))
}

/// An owner whose engines have no room left: the first request that waits, and its number.
fn full(fleet: &mut Fleet) -> u64 {
    let mut number = 1;
    while put(fleet, number, number, Duration::ZERO) {
        number += 1;
    }
    number
}

fn waits_as_returning(fleet: &Fleet, number: u64) -> Option<bool> {
    let mut queue = fleet.owner.queue.iter();
    let waiter = queue.find(|it| it.origin.matches(Peer(1), number));
    waiter.map(|it| it.wish.returning)
}

#[test]
fn who_was_refused_is_known_by_what_it_asks_when_it_comes_back() {
    let mut fleet = Fleet::new(&[], 0);
    let refused = full(&mut fleet);
    assert_eq!(waits_as_returning(&fleet, refused), Some(false));
    fleet.owner.withdraw(Peer(1), refused, Duration::ZERO);
    // A later try has another number, a first one another content.
    put(&mut fleet, refused, 1_001, SECOND / 2);
    put(&mut fleet, 2_000, 1_002, SECOND / 2);
    assert_eq!(waits_as_returning(&fleet, 1_001), Some(true));
    assert_eq!(waits_as_returning(&fleet, 1_002), Some(false));
}

#[test]
fn who_gave_up_without_a_word_counts_as_refused_and_who_got_a_place_does_not() {
    let mut fleet = Fleet::new(&[], 0);
    let refused = full(&mut fleet);
    let settings = fleet.settings.clone();
    fleet.owner.pass(&settings, SECOND);
    assert_eq!(waits_as_returning(&fleet, refused), None);
    let late = SECOND + SECOND / 2;
    put(&mut fleet, refused, 1_001, late);
    put(&mut fleet, 1, 1_002, late);
    assert_eq!(waits_as_returning(&fleet, 1_001), Some(true));
    assert_eq!(waits_as_returning(&fleet, 1_002), Some(false));
}

#[test]
fn a_request_is_a_first_one_again_after_some_seconds() {
    let mut fleet = Fleet::new(&[], 0);
    let refused = full(&mut fleet);
    fleet.owner.withdraw(Peer(1), refused, Duration::ZERO);
    put(&mut fleet, refused, 1_001, 6 * SECOND);
    assert_eq!(waits_as_returning(&fleet, 1_001), Some(false));
}

/// One customer asks for 1.25 times what there is, eight ask for little. Part of what the engines can
/// read that they read in the last six of twelve seconds.
fn engines_used(mistaken: bool, seed: u64) -> f64 {
    let spread = |rate| Load { rate, router: None };
    let mut loads = vec![spread(150)];
    loads.extend([spread(4); 8]);
    let mut fleet = Fleet::new(&loads, seed);
    fleet.mistaken = mistaken;
    let fleet = fleet.run(12 * SECOND);
    let served: u64 = (0..loads.len()).map(|it| fleet.served(it, 6, 12)).sum();
    to_f64(served) / (RATE * f64::from(ENGINES) * 6.0)
}

/// Where first tries were taken for later ones, engines idled while they were refused: they get a fifth of
/// the room beyond a share, and whose refusals prove the contention is refused for it.
#[test]
fn first_tries_find_the_room_that_there_is() {
    for seed in 0..4 {
        let (used, mistaken) = (engines_used(false, seed), engines_used(true, seed));
        println!("seed {seed}: {used:.2} of the engines' time used, {mistaken:.2} if mistaken");
        assert!(used >= 0.9, "{seed}: {used}");
    }
}
