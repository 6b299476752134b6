//! Throttling at entry routers: its effect on what customers get, and the demand that it refuses.

use super::*;

/// Tokens of the request and of those refused before it.
const DEMAND: u64 = PROMPT_TOKENS + 5_000;

/// Demand of customer 0 as the owner counts it, in tokens, after requests with these numbers.
fn demand(requests: &[(u64, bool)]) -> u64 {
    let mut fleet = Fleet::new(&[], 0);
    let settings = fleet.settings.clone();
    for (number, demand_counted) in requests {
        let place_request = PlaceRequest {
            withheld: DEMAND - PROMPT_TOKENS,
            demand_counted: *demand_counted,
            ..place_request(0, Duration::ZERO, *number)
        };
        fleet
            .owner
            .answer(&settings, asker(1, *number), place_request, Duration::ZERO);
    }
    let uses = fleet.owner.shares.report(Duration::ZERO);
    uses.iter().map(|it| it.asked).sum()
}

/// Guards against local refusals that lower the level, because the owner does not see the demand.
#[test]
fn withheld_tokens_count_as_demand() {
    assert_eq!(demand(&[(1, false)]), DEMAND);
    assert_eq!(demand(&[(1, false), (2, false)]), 2 * DEMAND);
}

/// Guards against demand that is counted again with a request that is sent again.
#[test]
fn withheld_tokens_of_repeated_requests_count_once() {
    assert_eq!(demand(&[(1, false), (1, false)]), DEMAND);
    assert_eq!(demand(&[(1, false), (2, true)]), DEMAND);
}

/// Drawn loads that exceed the capacity: a flooding customer, three with much load and several with
/// little.
fn contention(seed: u64) -> Vec<Load> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let flood = Load {
        rate: random.random_range(300..600),
        router: Some(1),
    };
    let mut spread_load = |rates| Load {
        rate: random.random_range(rates),
        router: None,
    };
    let mut loads = vec![flood];
    loads.extend((0..3).map(|_| spread_load(40..90)));
    loads.extend((0..8).map(|_| spread_load(2..6)));
    loads
}

/// Guards against throttling that costs others or leaves engines idle, compared with the same load
/// without it: tokens served to the flooding customer, to the others and in total.
#[test]
fn throttle_takes_nothing_from_others_and_wastes_no_capacity() {
    let on = LoadPolicy {
        throttle_ratio: 2.0,
        ..LoadPolicy::OFF
    };
    for seed in 0..6 {
        let loads = contention(seed);
        let run = |policy| Fleet::with_policy(policy, &loads, seed).run(Duration::from_secs(14));
        let (on, off) = (run(on), run(LoadPolicy::OFF));
        let served = |fleet: &Fleet, customers: std::ops::Range<usize>| -> u64 {
            customers.map(|it| fleet.served(it, 4, 14)).sum()
        };
        let all = loads.len();
        println!(
            "seed {seed}: flood {} / {}, others {} / {}, asked {} / {}, throttled {:?}",
            served(&on, 0..1),
            served(&off, 0..1),
            served(&on, 1..all),
            served(&off, 1..all),
            on.asked,
            off.asked,
            on.throttled
        );
        assert!(to_f64(served(&on, 1..all)) >= 0.97 * to_f64(served(&off, 1..all)));
        assert!(to_f64(served(&on, 0..all)) >= 0.97 * to_f64(served(&off, 0..all)));
        assert!((4..all).all(|it| !on.throttled.contains_key(&it)));
    }
}

/// Guards against other decisions while all demand is met: nothing is refused by the throttle, and
/// each customer is served the same tokens.
#[test]
fn throttle_changes_nothing_while_demand_is_met() {
    let loads = [Load {
        rate: 10,
        router: None,
    }; 6];
    for seed in 0..4 {
        let run = |policy| Fleet::with_policy(policy, &loads, seed).run(Duration::from_secs(8));
        let (on, off) = (run(LoadPolicy::default()), run(LoadPolicy::OFF));
        assert_eq!(on.prefilled, off.prefilled);
        assert!(on.throttled.is_empty());
    }
}
