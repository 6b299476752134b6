//! Targets that announce that they are leaving: the effect of lists, peers and new incarnations on
//! that state.

use std::time::Duration;

use dunlinward_dispatch::leaving::{Notice, Notices, RETENTION};
use dunlinward_dispatch::registry::{Change, OUTAGE_GAP, Registry};
use dunlinward_dispatch::target::{State, Tag, Target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn target(number: u16, born: u64) -> Target {
    Target {
        id: format!("i-{number}").into(),
        born: Some(born),
        service: "pool".into(),
        address: ([10, 0, 0, 1], number).into(),
        domain: "a".into(),
        slots: 8,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: None,
    }
}

fn list() -> Vec<Target> {
    vec![target(1, 1), target(2, 1)]
}

fn state(registry: &Registry, target: &Target) -> Option<State> {
    registry.get(target.tag()).map(|it| it.state)
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_list_that_still_says_ready_has_no_effect() {
    let mut registry = Registry::new();
    registry.apply_list(list(), SECOND);
    let (new, change) = registry.record_leaving(target(1, 1).tag(), SECOND);
    assert!(new);
    assert!(matches!(change, Some(Change::Leaving(_))));
    for second in 2..10 {
        registry.apply_list(list(), SECOND * second);
        registry.apply_settled_list(list(), SECOND * second);
        assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
    }
    assert_eq!(state(&registry, &target(2, 1)), Some(State::Ready));
}

#[test]
fn a_leaving_target_stays_leaving_when_its_entry_reappears_or_is_restored() {
    let mut registry = Registry::new();
    registry.apply_list(list(), SECOND);
    registry.record_leaving(target(1, 1).tag(), SECOND);
    registry.apply_list(vec![target(2, 1)], SECOND * 2);
    assert_eq!(state(&registry, &target(1, 1)), None);
    registry.apply_list(list(), SECOND * 2 + OUTAGE_GAP * 2);
    assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
    registry.record_restore(SECOND * 8);
    registry.apply_list(list(), SECOND * 9);
    assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
}

#[test]
fn an_announcement_before_the_first_list_takes_effect() {
    let mut registry = Registry::new();
    let tag = target(1, 1).tag();
    let age = Duration::ZERO;
    let (new, changes) = registry.merge_leaving(&[Notice { tag, age }], SECOND);
    assert_eq!((new.len(), changes.len()), (1, 0));
    registry.apply_list(list(), SECOND * 2);
    assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
}

#[test]
fn a_new_incarnation_under_the_same_identity_is_another_target() {
    let mut registry = Registry::new();
    registry.apply_list(list(), SECOND);
    registry.record_leaving(target(1, 1).tag(), SECOND);
    registry.apply_list(vec![target(1, 2), target(2, 1)], SECOND * 2);
    assert_eq!(state(&registry, &target(1, 2)), Some(State::Ready));
    // A late announcement of the earlier incarnation.
    registry.record_leaving(target(1, 1).tag(), SECOND * 3);
    assert_eq!(state(&registry, &target(1, 2)), Some(State::Ready));
}

/// Routers that receive and exchange announcements in random order converge to the same set, and
/// drop it after the retention period.
#[test]
fn routers_that_exchange_announcements_converge() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut routers = vec![Notices::default(); 5];
        let mut all = Vec::new();
        let mut now = SECOND;
        for _ in 0..60 {
            now += Duration::from_millis(rng.random_range(0..500));
            let router = rng.random_range(0..routers.len());
            if rng.random_bool(0.3) {
                let tag = Tag(rng.random_range(0..20));
                routers[router].record(tag, now);
                all.push(tag);
            } else {
                let notices = routers[rng.random_range(0..5)].notices(now);
                routers[router].merge(&notices, now);
            }
        }
        for _ in 0..2 {
            for one in 0..5 {
                for other in 0..5 {
                    let notices = routers[other].notices(now);
                    routers[one].merge(&notices, now);
                }
            }
        }
        for router in &routers {
            assert_eq!(router.digest(), routers[0].digest(), "seed {seed}");
            assert!(all.iter().all(|it| router.contains(*it)), "seed {seed}");
        }
        let after_retention = now + RETENTION;
        for router in &mut routers {
            router.prune(after_retention);
            assert_eq!(router.digest(), 0);
        }
    }
}

#[test]
fn an_old_announcement_of_a_peer_does_not_restart_its_retention() {
    let mut leaving = Notices::default();
    let tag = Tag(7);
    assert!(
        leaving
            .merge(
                &[Notice {
                    tag,
                    age: RETENTION
                }],
                SECOND
            )
            .is_empty()
    );
    let age = RETENTION.saturating_sub(SECOND);
    leaving.merge(&[Notice { tag, age }], RETENTION);
    leaving.prune(RETENTION + SECOND * 2);
    assert!(!leaving.contains(tag));
}
