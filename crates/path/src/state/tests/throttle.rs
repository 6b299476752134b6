//! Demand that entry routers refused without asking the owner.

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
