//! Targets that say themselves that they leave: what lists, peers and new starts change in that.

use std::time::Duration;

use dunlinward_dispatch::leaving::{KEPT, Leaving, Word};
use dunlinward_dispatch::registry::{Change, OUTAGE, Registry};
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
fn a_list_that_still_says_ready_changes_nothing() {
    let mut registry = Registry::new();
    registry.take(list(), SECOND);
    let (new, change) = registry.says_leaving(target(1, 1).tag(), SECOND);
    assert!(new);
    assert!(matches!(change, Some(Change::Leaves(_))));
    for second in 2..10 {
        registry.take(list(), SECOND * second);
        registry.take_settled(list(), SECOND * second);
        assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
    }
    assert_eq!(state(&registry, &target(2, 1)), Some(State::Ready));
}

#[test]
fn an_entry_that_lapsed_and_comes_back_or_comes_with_a_copy_leaves_still() {
    let mut registry = Registry::new();
    registry.take(list(), SECOND);
    registry.says_leaving(target(1, 1).tag(), SECOND);
    registry.take(vec![target(2, 1)], SECOND * 2);
    assert_eq!(state(&registry, &target(1, 1)), None);
    registry.take(list(), SECOND * 2 + OUTAGE * 2);
    assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
    registry.restored(SECOND * 8);
    registry.take(list(), SECOND * 9);
    assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
}

#[test]
fn a_word_that_comes_before_the_first_list_holds() {
    let mut registry = Registry::new();
    let tag = target(1, 1).tag();
    let age = Duration::ZERO;
    let (new, changes) = registry.hear_leaving(&[Word { tag, age }], SECOND);
    assert_eq!((new.len(), changes.len()), (1, 0));
    registry.take(list(), SECOND * 2);
    assert_eq!(state(&registry, &target(1, 1)), Some(State::Leaving));
}

#[test]
fn a_new_start_under_the_identity_is_another_target() {
    let mut registry = Registry::new();
    registry.take(list(), SECOND);
    registry.says_leaving(target(1, 1).tag(), SECOND);
    registry.take(vec![target(1, 2), target(2, 1)], SECOND * 2);
    assert_eq!(state(&registry, &target(1, 2)), Some(State::Ready));
    // Late word of the earlier start.
    registry.says_leaving(target(1, 1).tag(), SECOND * 3);
    assert_eq!(state(&registry, &target(1, 2)), Some(State::Ready));
}

/// Routers that hear words in drawn sequences, tell each other in drawn sequences, and start anew.
#[test]
fn routers_that_tell_each_other_come_to_the_same() {
    for seed in 0..200 {
        let mut draw = StdRng::seed_from_u64(seed);
        let mut routers = vec![Leaving::default(); 5];
        let mut all = Vec::new();
        let mut now = SECOND;
        for _ in 0..60 {
            now += Duration::from_millis(draw.random_range(0..500));
            let router = draw.random_range(0..routers.len());
            if draw.random_bool(0.3) {
                let tag = Tag(draw.random_range(0..20));
                routers[router].note(tag, now);
                all.push(tag);
            } else {
                let words = routers[draw.random_range(0..5)].words(now);
                routers[router].hear(&words, now);
            }
        }
        for _ in 0..2 {
            for one in 0..5 {
                for other in 0..5 {
                    let words = routers[other].words(now);
                    routers[one].hear(&words, now);
                }
            }
        }
        for router in &routers {
            assert_eq!(router.digest(), routers[0].digest(), "seed {seed}");
            assert!(all.iter().all(|it| router.contains(*it)), "seed {seed}");
        }
        let nobody_says_it_again = now + KEPT;
        for router in &mut routers {
            router.prune(nobody_says_it_again);
            assert_eq!(router.digest(), 0);
        }
    }
}

#[test]
fn an_old_word_of_a_peer_does_not_begin_anew() {
    let mut leaving = Leaving::default();
    let tag = Tag(7);
    assert!(leaving.hear(&[Word { tag, age: KEPT }], SECOND).is_empty());
    let age = KEPT.saturating_sub(SECOND);
    leaving.hear(&[Word { tag, age }], KEPT);
    leaving.prune(KEPT + SECOND * 2);
    assert!(!leaving.contains(tag));
}
