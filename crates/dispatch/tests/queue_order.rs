//! Order of waiting requests, and fairness between a customer's kinds of request.

use std::time::Duration;

use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::queue_order::{Entry, Kinds, RouteTag};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WINDOW: Duration = Duration::from_secs(4);
const NOW: Duration = Duration::from_secs(10);
const A: CustomerTag = CustomerTag(1);
const B: CustomerTag = CustomerTag(2);
const LONG: RouteTag = RouteTag(1);
const SHORT: RouteTag = RouteTag(2);

/// Tokens of a long prompt.
const LONG_TOKENS: u64 = 6_600;

/// Tokens of a short prompt.
const SHORT_TOKENS: u64 = 600;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn entry(customer: CustomerTag, route: RouteTag, arrived: u64) -> Entry {
    Entry {
        customer: Some(customer),
        route,
        cost: if route == LONG {
            LONG_TOKENS
        } else {
            SHORT_TOKENS
        },
        within_share: true,
        is_retry: false,
        arrived: at(arrived),
    }
}

/// Accounts of a customer that was granted nine in ten of its short requests and one in ten of its
/// long ones.
fn starved() -> Kinds {
    let mut kinds = Kinds::new(WINDOW);
    for number in 0..20 {
        if number % 10 == 0 {
            kinds.record_granted(A, LONG, LONG_TOKENS, NOW);
            kinds.record_refused(A, SHORT, SHORT_TOKENS, NOW);
        } else {
            kinds.record_refused(A, LONG, LONG_TOKENS, NOW);
            kinds.record_granted(A, SHORT, SHORT_TOKENS, NOW);
        }
    }
    kinds
}

/// Guards against a changed order while all kinds are served: within the share, first attempts,
/// arrival, as the sort before did.
#[test]
fn while_all_kinds_are_served_the_order_is_that_of_arrival() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..200 {
        let mut kinds = Kinds::new(WINDOW);
        for _ in 0..50 {
            kinds.record_granted(A, SHORT, SHORT_TOKENS, NOW);
            kinds.record_granted(A, LONG, LONG_TOKENS, NOW);
        }
        // One refusal of fifty is chance.
        kinds.record_refused(A, LONG, LONG_TOKENS, NOW);
        let draw = |random: &mut Pcg64Mcg| Entry {
            within_share: random.random(),
            is_retry: random.random(),
            ..entry(
                if random.random() { A } else { B },
                if random.random() { LONG } else { SHORT },
                random.random_range(0..20),
            )
        };
        let entries: Vec<_> = (0..30).map(|_| draw(&mut random)).collect();
        let mut before: Vec<usize> = (0..30).collect();
        before.sort_by_key(|it| {
            let entry = &entries[*it];
            (!entry.within_share, entry.is_retry, entry.arrived)
        });
        assert_eq!(kinds.order(&entries, NOW), before);
        assert!((kinds.capacity_part(A, SHORT, NOW) - 1.0).abs() < f64::EPSILON);
    }
}

/// Guards against long prompts that wait behind short ones of the same customer, and against an
/// advantage of that customer over others.
#[test]
fn a_starved_kind_takes_the_first_places_of_its_customer() {
    let entries = [
        entry(A, SHORT, 0),
        entry(B, SHORT, 1),
        entry(A, SHORT, 2),
        entry(A, LONG, 3),
    ];
    assert_eq!(starved().order(&entries, NOW), [3, 1, 0, 2]);
}

/// Guards against precedence of a starved kind over requests that are served earlier: those within
/// the share, and first attempts.
#[test]
fn a_starved_kind_passes_no_other_class() {
    let retry = Entry {
        is_retry: true,
        ..entry(A, LONG, 0)
    };
    let beyond = Entry {
        within_share: false,
        ..entry(A, LONG, 0)
    };
    let entries = [beyond, retry, entry(A, SHORT, 5)];
    assert_eq!(starved().order(&entries, NOW), [2, 1, 0]);
}

/// Guards against a starved kind that takes all places: each place counts as service, so that the
/// other kind is next once both are served alike.
#[test]
fn places_alternate_once_kinds_are_served_alike() {
    let mut kinds = Kinds::new(WINDOW);
    for route in [LONG, SHORT] {
        for _ in 0..10 {
            kinds.record_refused(A, route, 1_000, NOW);
        }
    }
    let place = |route, arrived| Entry {
        cost: 1_000,
        ..entry(A, route, arrived)
    };
    let entries: Vec<_> = (0..8)
        .map(|it| place(if it < 4 { LONG } else { SHORT }, it))
        .collect();
    assert_eq!(kinds.order(&entries, NOW), [0, 4, 1, 5, 2, 6, 3, 7]);
}

/// Guards against kinds that use the room that a starved kind of the same customer needs, and
/// against limits on other customers or after the window.
#[test]
fn kinds_that_are_served_better_may_use_less_capacity() {
    let mut kinds = starved();
    let short = kinds.capacity_part(A, SHORT, NOW);
    assert!(short < 0.5, "{short}");
    assert!(short >= 0.2, "some room is always left: {short}");
    let full = |part: f64| (part - 1.0).abs() < f64::EPSILON;
    assert!(full(kinds.capacity_part(A, LONG, NOW)));
    assert!(full(kinds.capacity_part(B, SHORT, NOW)));
    assert_eq!(kinds.take_reduced(), 1);
    assert!(full(kinds.capacity_part(A, SHORT, NOW + WINDOW)));
    kinds.prune(NOW + WINDOW);
    assert!(full(kinds.capacity_part(A, SHORT, NOW)), "removed");
}

/// Guards against a limit because of one refusal, and because of a difference that is tolerated.
#[test]
fn a_single_refusal_limits_no_kind() {
    let mut kinds = Kinds::new(WINDOW);
    kinds.record_refused(A, LONG, LONG_TOKENS, NOW);
    kinds.record_granted(A, SHORT, SHORT_TOKENS, NOW);
    let part = kinds.capacity_part(A, SHORT, NOW);
    assert!(part > 0.75, "{part}");
}

/// Guards against an order that loses or repeats requests.
#[test]
fn the_order_is_a_permutation() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    for _ in 0..200 {
        let mut entries: Vec<_> = (0..random.random_range(0..40))
            .map(|it| Entry {
                customer: [Some(A), Some(B), None][random.random_range(0..3)],
                is_retry: random.random(),
                within_share: random.random(),
                ..entry(A, if random.random() { LONG } else { SHORT }, it)
            })
            .collect();
        entries.shuffle(&mut random);
        let mut order = starved().order(&entries, NOW);
        order.sort_unstable();
        assert_eq!(order, (0..entries.len()).collect::<Vec<_>>());
    }
}

/// Guards against accounts that grow with the tags in messages, by hostile or faulty peers.
#[test]
fn the_number_of_kinds_is_bounded() {
    let mut kinds = Kinds::new(WINDOW);
    for route in 0..1_000 {
        for _ in 0..20 {
            kinds.record_granted(A, RouteTag(route), SHORT_TOKENS, NOW);
        }
    }
    for _ in 0..200 {
        kinds.record_refused(A, RouteTag(999), SHORT_TOKENS, NOW);
    }
    let part = kinds.capacity_part(A, RouteTag(0), NOW);
    assert!(
        (part - 1.0).abs() < f64::EPSILON,
        "kind 999 is not counted: {part}"
    );
}
