//! Limits on requests to cold targets, and exclusion of evacuated failure domains.

use dunlinward_dispatch::evacuation::Order;
use dunlinward_dispatch::store::Position;

use super::*;

/// Sustained rate of a cold engine, in requests per second.
const COLD_RATE: f64 = 6.1;

/// Largest number of requests that a cold engine may get within one second.
const MAX_COLD_REQUESTS: usize = 14;

/// Time after the owner's start at which it places requests on cold engines.
const START: Duration = Duration::from_secs(10);

/// An owner whose first `cold` engines are cold for `cold_left`.
fn owner(cold: usize, cold_left: Duration) -> Fleet {
    let mut fleet = Fleet::new(&[], 0);
    let mut configuration = table().configuration().clone();
    configuration.services[0].cold_rate = Some(COLD_RATE);
    fleet.owner.table = Some(Rc::new(Table::new(configuration)));
    let mut targets = targets();
    for target in targets.iter_mut().take(cold) {
        target.cold_left = cold_left;
    }
    let list = TargetList {
        targets,
        unreadable: Vec::new(),
        as_of: START,
        settled: false,
        reading: None,
        position: None,
    };
    fleet.owner.apply_list(list);
    fleet
}

/// Requests a place in each millisecond of a second; requests that get one end at once. Returns the
/// number of places granted at each engine.
fn run_load(fleet: &mut Fleet, failed: bool) -> BTreeMap<Tag, usize> {
    run_load_from(fleet, START, failed)
}

fn run_load_from(fleet: &mut Fleet, start: Duration, failed: bool) -> BTreeMap<Tag, usize> {
    let settings = fleet.settings.clone();
    let mut granted = BTreeMap::new();
    for number in 0..1_000 {
        let now = start + Duration::from_millis(number);
        let place_request = PlaceRequest {
            failed,
            ..place_request(0, now, number)
        };
        let answer = fleet
            .owner
            .answer(&settings, asker(1, number), place_request, now);
        let Content::Grant(grant) = answer else {
            fleet.owner.withdraw(Peer(1), number, now);
            continue;
        };
        *granted.entry(grant.tag).or_default() += 1;
        let returned = Return {
            tag: grant.tag,
            unread: grant.unread,
            outcome: None,
            not_run: None,
            content: None,
            refusal: None,
        };
        fleet.owner.return_place(Peer(1), &returned, now);
    }
    granted
}

#[test]
fn cold_engines_get_their_rate_and_warm_ones_the_rest() {
    let mut fleet = owner(3, Duration::from_secs(3));
    let granted = run_load(&mut fleet, false);
    for (number, target) in targets().iter().enumerate() {
        let count = granted.get(&target.tag()).copied().unwrap_or_default();
        if number < 3 {
            assert!(
                (1..=MAX_COLD_REQUESTS).contains(&count),
                "engine {number}: {count}"
            );
        }
    }
    assert_eq!(
        granted.values().sum::<usize>(),
        1_000,
        "no request is refused"
    );
}

#[test]
fn a_fleet_of_cold_engines_serves_at_their_rate() {
    let mut fleet = owner(usize::from(ENGINES), Duration::from_secs(3));
    let granted = run_load(&mut fleet, false);
    assert!(
        granted.values().all(|it| *it <= MAX_COLD_REQUESTS),
        "{granted:?}"
    );
    let all: usize = granted.values().sum();
    assert!(all >= 5 * usize::from(ENGINES), "{all}");
}

#[test]
fn requests_that_failed_elsewhere_are_not_sent_to_cold_engines() {
    let mut fleet = owner(3, Duration::from_secs(3));
    let granted = run_load(&mut fleet, true);
    for target in targets().iter().take(3) {
        assert!(!granted.contains_key(&target.tag()));
    }
}

/// After a restart of the whole fleet, each of 64 routers regards itself as the owner until it has
/// discovered the others.
#[test]
fn a_router_that_has_just_started_sends_no_requests_to_cold_engines() {
    let mut fleet = owner(3, Duration::from_secs(3));
    let granted = run_load_from(&mut fleet, Duration::ZERO, false);
    for target in targets().iter().take(3) {
        assert!(!granted.contains_key(&target.tag()));
    }
    assert_eq!(
        granted.values().sum::<usize>(),
        1_000,
        "warm engines run all"
    );
}

fn evacuate(fleet: &mut Fleet, domain: &str, evacuated: bool, offset: u64, now: Duration) {
    let order = Order {
        domain: domain.into(),
        evacuated,
        at: Position { era: 0, offset },
    };
    fleet
        .owner
        .change_evacuations(now, |it| it.apply(order).into_iter().collect());
}

#[test]
fn an_evacuated_domain_gets_no_requests_and_counts_as_cold_when_it_is_reopened() {
    let mut fleet = owner(0, Duration::ZERO);
    evacuate(&mut fleet, "a", true, 1, START);
    assert!(run_load(&mut fleet, false).is_empty());
    evacuate(&mut fleet, "a", false, 2, START);
    let granted = run_load(&mut fleet, false);
    assert!(!granted.is_empty());
    assert!(
        granted.values().all(|it| *it <= MAX_COLD_REQUESTS),
        "{granted:?}"
    );
}
