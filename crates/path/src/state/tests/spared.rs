//! Targets that an owner spares: cold ones, and those of evacuated failure domains.

use dunlinward_dispatch::evacuation::Order;
use dunlinward_dispatch::store::Position;

use super::*;

/// Requests a second that a cold engine is made for.
const COLD_RATE: f64 = 6.1;

/// Requests within a second that a cold engine may get at the most.
const COLD_MOST: usize = 14;

/// When the owner has run for long enough to know the other routers.
const START: Duration = Duration::from_secs(10);

/// An owner whose first engines are cold for so long.
fn owner(cold: usize, time: Duration) -> Fleet {
    let mut fleet = Fleet::new(&[], 0);
    let mut configuration = table().configuration().clone();
    configuration.services[0].cold_rate = Some(COLD_RATE);
    fleet.owner.table = Some(Rc::new(Table::new(configuration)));
    let mut targets = targets();
    for target in targets.iter_mut().take(cold) {
        target.cold_left = time;
    }
    let list = TargetList {
        targets,
        unreadable: Vec::new(),
        as_of: START,
        settled: false,
        reading: None,
        position: None,
    };
    fleet.owner.take_list(list);
    fleet
}

/// Puts requests to an owner in each millisecond of a second; whatever it places ends at once. The
/// places that each engine got.
fn play(fleet: &mut Fleet, failed: bool) -> BTreeMap<Tag, usize> {
    play_from(fleet, START, failed)
}

fn play_from(fleet: &mut Fleet, start: Duration, failed: bool) -> BTreeMap<Tag, usize> {
    let settings = fleet.settings.clone();
    let mut given = BTreeMap::new();
    for number in 0..1_000 {
        let now = start + Duration::from_millis(number);
        let wish = Wish {
            failed,
            ..wish(0, now, number)
        };
        let answer = fleet.owner.answer(&settings, asker(1, number), wish, now);
        let Content::Grant(grant) = answer else {
            fleet.owner.withdraw(Peer(1), number, now);
            continue;
        };
        *given.entry(grant.tag).or_default() += 1;
        let returned = Return {
            tag: grant.tag,
            unread: grant.unread,
            outcome: None,
            not_run: None,
            content: None,
            refusal: None,
        };
        fleet.owner.returned(Peer(1), &returned, now);
    }
    given
}

#[test]
fn cold_engines_get_what_they_bear_and_warm_ones_the_rest() {
    let mut fleet = owner(3, Duration::from_secs(3));
    let given = play(&mut fleet, false);
    for (number, target) in targets().iter().enumerate() {
        let got = given.get(&target.tag()).copied().unwrap_or_default();
        if number < 3 {
            assert!((1..=COLD_MOST).contains(&got), "{number}: {got}");
        }
    }
    assert_eq!(given.values().sum::<usize>(), 1_000, "none is refused");
}

#[test]
fn a_fleet_of_cold_engines_serves_at_their_rate() {
    let mut fleet = owner(usize::from(ENGINES), Duration::from_secs(3));
    let given = play(&mut fleet, false);
    assert!(given.values().all(|it| *it <= COLD_MOST), "{given:?}");
    let all: usize = given.values().sum();
    assert!(all >= 5 * usize::from(ENGINES), "{all}");
}

#[test]
fn what_failed_elsewhere_is_not_sent_to_a_cold_engine() {
    let mut fleet = owner(3, Duration::from_secs(3));
    let given = play(&mut fleet, true);
    for target in targets().iter().take(3) {
        assert!(!given.contains_key(&target.tag()));
    }
}

/// After a restart of all, each of 64 routers takes itself for the owner until it knows the others.
#[test]
fn a_router_that_has_just_started_sends_nothing_to_cold_engines() {
    let mut fleet = owner(3, Duration::from_secs(3));
    let given = play_from(&mut fleet, Duration::ZERO, false);
    for target in targets().iter().take(3) {
        assert!(!given.contains_key(&target.tag()));
    }
    assert_eq!(given.values().sum::<usize>(), 1_000, "warm ones serve");
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
fn an_evacuated_domain_gets_nothing_and_counts_as_cold_when_it_is_open_again() {
    let mut fleet = owner(0, Duration::ZERO);
    evacuate(&mut fleet, "a", true, 1, START);
    assert!(play(&mut fleet, false).is_empty());
    evacuate(&mut fleet, "a", false, 2, START);
    let given = play(&mut fleet, false);
    assert!(!given.is_empty());
    assert!(given.values().all(|it| *it <= COLD_MOST), "{given:?}");
}
