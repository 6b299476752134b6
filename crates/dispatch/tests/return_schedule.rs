//! Assigned times of refused requests: bounds, repeated and late messages, returns, and limits.

use std::time::Duration;

use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::return_schedule::{
    Arrival, CLIENT_ROUND_TRIP, Request, SLOT, Schedule, Supply,
};
use dunlinward_dispatch::share::Shares;
use dunlinward_dispatch::usage::Peer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);

/// A customer beyond its share whose returns can book 2,000 tokens per slot.
const SUPPLY: Supply = Supply {
    capacity: 400_000.0,
    share: 100_000.0,
    demand: 300_000.0,
};

const ON_TIME: Arrival = Arrival::Kept { booked: true };

/// A request that is refused at `refused_at`, with a deadline of 12 s.
fn request(content: u64, cost: u64, refused_at: Duration) -> Request {
    Request {
        content: ContentTag(content),
        customer: CustomerTag(1),
        cost,
        objective: Duration::from_millis(800),
        refused_at,
        expiry: refused_at + 12 * SECOND,
    }
}

/// Assigns a time to a request and refuses it.
fn refuse(schedule: &mut Schedule, request: &Request, supply: &Supply) -> Duration {
    let at = schedule.assign(request, Some(supply), request.refused_at);
    schedule.refuse(request.content);
    at.expect("there is contention")
}

/// Guards against a slot that is told to more clients than are served in it.
#[test]
fn no_slot_is_booked_beyond_capacity() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut schedule = Schedule::default();
    let supply = Supply {
        capacity: 100_000.0,
        ..SUPPLY
    };
    for content in 0..2_000 {
        let now = Duration::from_millis(content * 3);
        let drawn = Request {
            customer: CustomerTag(random.random_range(0..8)),
            expiry: now + Duration::from_millis(random.random_range(500..15_000)),
            ..request(content, random.random_range(100..5_000), now)
        };
        schedule.prune(now);
        refuse(&mut schedule, &drawn, &supply);
        for slot in 0..100 {
            let booked = schedule.booked(now + SLOT * slot);
            assert!(booked <= 10_000, "{booked} tokens in slot {slot}");
        }
    }
    let summary = schedule.take_summary();
    assert!(
        summary.assigned > 100 && summary.longest > 100,
        "{summary:?}"
    );
}

#[test]
fn requests_of_one_customer_are_spread_over_slots() {
    let mut schedule = Schedule::default();
    let times: Vec<_> = (0..4)
        .map(|it| refuse(&mut schedule, &request(it, 2_000, SECOND), &SUPPLY))
        .collect();
    assert!(
        times.windows(2).all(|it| it[0] + SLOT / 2 < it[1]),
        "{times:?}"
    );
}

/// A request of more tokens than one slot has returns when all of them are available.
#[test]
fn a_large_request_books_several_slots() {
    let mut schedule = Schedule::default();
    let at = refuse(&mut schedule, &request(1, 6_000, SECOND), &SUPPLY);
    assert!(at >= SECOND + SLOT * 2, "{at:?}");
    let booked: u64 = (0..5).map(|it| schedule.booked(SECOND + SLOT * it)).sum();
    assert_eq!(booked, 6_000);
}

/// Guards against a customer that fills the slots before others return.
#[test]
fn customers_that_return_share_the_slots() {
    let mut schedule = Schedule::default();
    let supply = Supply {
        capacity: 20_000.0,
        share: 100_000.0,
        demand: 0.0,
    };
    let other = Request {
        customer: CustomerTag(2),
        ..request(0, 400, SECOND)
    };
    refuse(&mut schedule, &other, &supply);
    let mut booked = [0; 2];
    for content in 1..40 {
        let customer = content % 2;
        let drawn = Request {
            customer: CustomerTag(u32::try_from(customer).expect("a few") + 2),
            ..request(content, 400, SECOND)
        };
        refuse(&mut schedule, &drawn, &supply);
        if schedule.has_booked(drawn.content) {
            booked[usize::try_from(customer).expect("a few")] += 400;
        }
    }
    let [even, odd] = booked;
    assert!(even * 2 >= odd && odd * 2 >= even && even > 0, "{booked:?}");
}

/// Guards against times that clients do not honour, and that leave no time for the answer.
#[test]
fn times_are_at_least_a_round_trip_and_at_most_a_third_of_the_remaining_time() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut schedule = Schedule::default();
    for content in 0..1_000 {
        let objective = Duration::from_millis(random.random_range(150..1_200));
        let remaining = Duration::from_millis(random.random_range(100..15_000));
        let drawn = Request {
            objective,
            expiry: SECOND + remaining,
            ..request(content, 2_000, SECOND)
        };
        let delay = refuse(&mut schedule, &drawn, &SUPPLY).saturating_sub(SECOND);
        assert!(delay >= CLIENT_ROUND_TRIP, "{delay:?}");
        let honoured = delay <= remaining / 3;
        let leaves_time = delay + objective <= remaining;
        assert!(
            delay == CLIENT_ROUND_TRIP || honoured && leaves_time,
            "{delay:?} of {remaining:?}, objective {objective:?}"
        );
    }
}

/// A request for which there are no tokens in time gets the longest time that its client honours.
#[test]
fn a_request_without_tokens_gets_the_longest_time() {
    let mut schedule = Schedule::default();
    let at = refuse(&mut schedule, &request(1, 1_000_000, SECOND), &SUPPLY);
    assert!(
        at + SLOT > SECOND + 4 * SECOND && at <= SECOND + 4 * SECOND,
        "{at:?}"
    );
    assert!(!schedule.has_booked(ContentTag(1)));
    assert_eq!(schedule.take_summary().longest, 1);
    assert_eq!(
        schedule.arrive(ContentTag(1), at),
        Arrival::Kept { booked: false }
    );
}

#[test]
fn no_time_is_assigned_without_contention() {
    let mut schedule = Schedule::default();
    assert_eq!(
        schedule.assign(&request(1, 2_000, SECOND), None, SECOND),
        None
    );
    schedule.refuse(ContentTag(1));
    assert!(!schedule.contains(ContentTag(1)));
    assert_eq!(schedule.take_summary().entries, 0);
}

/// Guards against a repeated message, or one that comes after the refusal, that books again or
/// changes the time that the client was told.
#[test]
fn repeated_and_late_messages_get_the_same_time() {
    let mut schedule = Schedule::default();
    let asked = request(1, 2_000, SECOND);
    let now = Duration::from_millis(960);
    let at = schedule.assign(&asked, Some(&SUPPLY), now);
    refuse(&mut schedule, &request(2, 2_000, SECOND), &SUPPLY);
    let later = Request {
        refused_at: SECOND + Duration::from_millis(30),
        ..asked
    };
    assert_eq!(schedule.assign(&later, Some(&SUPPLY), SECOND), at);
    schedule.refuse(asked.content);
    schedule.refuse(asked.content);
    assert_eq!(schedule.assign(&later, Some(&SUPPLY), SECOND), at);
    // Contention has ended meanwhile.
    assert_eq!(schedule.assign(&later, None, SECOND), at);
    let summary = schedule.take_summary();
    assert_eq!((summary.assigned, summary.booked), (2, 4_000));
}

/// Guards against tokens that stay booked for a request that got a place after all.
#[test]
fn a_placed_request_gives_its_tokens_back() {
    let mut schedule = Schedule::default();
    let first = schedule.assign(&request(1, 2_000, SECOND), Some(&SUPPLY), SECOND);
    schedule.place(ContentTag(1));
    assert_eq!(schedule.take_summary().booked, 0);
    let second = refuse(&mut schedule, &request(2, 2_000, SECOND), &SUPPLY);
    assert_eq!(first, Some(second));
}

/// A grant may come after its request was refused with the time that it was told.
#[test]
fn a_request_that_was_placed_too_late_keeps_its_time() {
    let mut schedule = Schedule::default();
    let asked = request(1, 2_000, SECOND);
    let at = schedule
        .assign(&asked, Some(&SUPPLY), SECOND)
        .expect("contention");
    schedule.place(asked.content);
    schedule.refuse(asked.content);
    assert!(schedule.contains(asked.content));
    assert_eq!(
        schedule.arrive(asked.content, at),
        Arrival::Kept { booked: false }
    );
}

#[test]
fn a_request_that_returns_on_time_is_recognized_once() {
    let mut schedule = Schedule::default();
    let asked = request(1, 2_000, SECOND);
    let at = refuse(&mut schedule, &asked, &SUPPLY);
    assert_eq!(schedule.arrive(ContentTag(2), at), Arrival::Unscheduled);
    assert_eq!(schedule.arrive(asked.content, at + SLOT), ON_TIME);
    assert_eq!(
        schedule.arrive(asked.content, at + SLOT),
        Arrival::Unscheduled
    );
    schedule.place(asked.content);
    let summary = schedule.take_summary();
    assert_eq!((summary.kept, summary.refused_twice), (1, 0));
}

/// Guards against clients that gain by ignoring their time: they keep it and are not preferred.
#[test]
fn an_early_return_keeps_its_time() {
    let mut schedule = Schedule::default();
    let first = request(1, 8_000, SECOND);
    let at = refuse(&mut schedule, &first, &SUPPLY);
    let early = SECOND + SLOT;
    assert_eq!(schedule.arrive(first.content, early), Arrival::Early);
    let again = Request {
        refused_at: early + SLOT,
        ..first
    };
    assert_eq!(schedule.assign(&again, Some(&SUPPLY), early), Some(at));
    schedule.refuse(first.content);
    assert_eq!(schedule.arrive(first.content, at), ON_TIME);
    let summary = schedule.take_summary();
    assert_eq!((summary.assigned, summary.early, summary.kept), (1, 1, 1));
}

/// A request that is refused twice mostly does not return again, so it books no tokens that others
/// need.
#[test]
fn a_request_that_is_refused_twice_books_nothing() {
    let mut schedule = Schedule::default();
    let first = request(1, 2_000, SECOND);
    let at = refuse(&mut schedule, &first, &SUPPLY);
    assert_eq!(schedule.arrive(first.content, at), ON_TIME);
    let again = Request {
        refused_at: at + SLOT,
        ..first
    };
    let second = schedule.assign(&again, Some(&SUPPLY), at);
    assert!(second > Some(at + 3 * SECOND), "{second:?}");
    assert_eq!(
        schedule.assign(&again, Some(&SUPPLY), at + SLOT / 2),
        second
    );
    schedule.refuse(first.content);
    assert!(!schedule.has_booked(first.content));
    let summary = schedule.take_summary();
    assert_eq!(
        (summary.kept, summary.refused_twice, summary.booked),
        (1, 1, 0)
    );
}

#[test]
fn a_return_after_its_time_is_no_longer_preferred() {
    let mut schedule = Schedule::default();
    let asked = request(1, 2_000, SECOND);
    let at = refuse(&mut schedule, &asked, &SUPPLY);
    assert_eq!(
        schedule.arrive(asked.content, at + SECOND),
        Arrival::Unscheduled
    );
    let again = Request {
        refused_at: at + SECOND,
        ..asked
    };
    let second = schedule.assign(&again, Some(&SUPPLY), at + SECOND);
    assert!(second > Some(at + SECOND), "{second:?}");
}

/// After a change of owner or a restart of all routers, the schedule is empty: a return counts as a
/// first attempt, and is assigned a new time if it is refused.
#[test]
fn a_new_owner_assigns_new_times() {
    let mut before = Schedule::default();
    let asked = request(1, 2_000, SECOND);
    let at = refuse(&mut before, &asked, &SUPPLY);
    let mut after = Schedule::default();
    assert_eq!(after.arrive(asked.content, at), Arrival::Unscheduled);
    // A late withdrawal of the request that the previous owner had queued changes nothing.
    after.refuse(asked.content);
    after.place(asked.content);
    assert!(!after.contains(asked.content));
    let again = Request {
        refused_at: at,
        ..asked
    };
    let second = refuse(&mut after, &again, &SUPPLY);
    assert!(second > at);
    assert_eq!(after.arrive(asked.content, second), ON_TIME);
}

/// Guards against unbounded memory, and against an old time that holds back new ones.
#[test]
fn the_schedule_is_bounded_and_expires() {
    let mut schedule = Schedule::default();
    for content in 0..20_000 {
        schedule.assign(&request(content, 10, SECOND), Some(&SUPPLY), SECOND);
        schedule.refuse(ContentTag(content));
    }
    let summary = schedule.take_summary();
    assert_eq!(summary.entries, 8_192);
    assert_eq!(summary.overflowed, 20_000 - 8_192);
    assert!(summary.booked > 0);
    schedule.prune(20 * SECOND);
    let summary = schedule.take_summary();
    assert_eq!((summary.entries, summary.booked), (0, 0));
}

/// The same arguments give the same times, whenever they are passed: there is no hidden clock.
#[test]
fn times_depend_on_the_arguments_only() {
    let assign = |offset: Duration| {
        let mut schedule = Schedule::default();
        let times = (0..200).map(|content| {
            let now = offset + Duration::from_millis(content * 7);
            schedule.prune(now);
            refuse(&mut schedule, &request(content, 1_500, now), &SUPPLY).saturating_sub(offset)
        });
        times.collect::<Vec<_>>()
    };
    assert_eq!(assign(SECOND), assign(SECOND));
    assert_eq!(assign(SECOND), assign(1_000 * SECOND));
}

/// Routers share what a customer is served: each owner books its part of it.
#[test]
fn owners_book_their_part_of_a_share() {
    let mut shares = Shares::new(4 * SECOND);
    let customer = CustomerTag(1);
    let small = CustomerTag(2);
    assert_eq!(shares.supply(customer, None, SECOND), None);
    shares.record_demand(customer, 300_000, SECOND);
    shares.charge(customer, 40_000, SECOND);
    shares.record_demand(small, 1_000, SECOND);
    shares.charge(small, 1_000, SECOND);
    let now = SECOND + SLOT;
    let alone = shares.supply(customer, None, now).expect("contention");
    assert!((alone.share - 10_000.0).abs() < 1.0, "{alone:?}");
    assert!((alone.capacity - 10_250.0).abs() < 1.0, "{alone:?}");
    let uses = [(customer, 300_000, 40_000), (small, 1_000, 1_000)];
    let uses = uses.map(
        |(tag, asked, granted)| dunlinward_dispatch::message::CustomerUse {
            tag,
            asked,
            granted,
        },
    );
    shares.record_peer(Peer(9), &uses, now);
    let half = shares.supply(customer, Some(30_000.0), now + SLOT);
    let half = half.expect("contention");
    assert!((half.share - 10_000.0).abs() < 1.0, "{half:?}");
    assert!((half.capacity - 15_000.0).abs() < 1.0, "{half:?}");
}
