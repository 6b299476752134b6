//! Lists that are told by what has changed: the same as whole lists.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::registry::{Delta, OUTAGE, Registry};
use dunlinward_dispatch::target::{State, Target};
use proptest::prelude::*;

/// Time between two readings.
const STEP: Duration = Duration::from_millis(600);

fn target(number: u16, state: State) -> Target {
    Target {
        id: format!("i-{number}").into(),
        born: None,
        service: "pool".into(),
        address: ([10, 0, 0, 1], number + 1).into(),
        domain: "a".into(),
        slots: 8,
        state,
        cold_left: Duration::ZERO,
    }
}

fn listed(registry: &Registry) -> BTreeMap<Arc<str>, State> {
    let listed = registry.listed();
    listed.map(|it| (it.id.clone(), it.state)).collect()
}

/// All that is found by service and cell, and the sums of parts.
fn indexed(registry: &Registry) -> impl PartialEq + std::fmt::Debug + use<> {
    let ids = |targets: &[Arc<Target>]| targets.iter().map(|it| it.id.clone()).collect::<Vec<_>>();
    let mut cells: Vec<_> = registry
        .all_cells()
        .map(|(cell, it)| (cell, ids(it)))
        .collect();
    cells.sort();
    (ids(registry.of("pool")), cells, registry.sums())
}

fn some(count: u16) -> Vec<Target> {
    (0..count).map(|it| target(it, State::Ready)).collect()
}

/// What happens to a target between two readings.
#[derive(Clone, Copy, Debug)]
enum Event {
    Written,
    Leaves,
    Dropped,
}

fn events() -> impl Strategy<Value = Vec<Vec<(u16, Event)>>> {
    let event = prop_oneof![
        Just(Event::Written),
        Just(Event::Leaves),
        Just(Event::Dropped)
    ];
    prop::collection::vec(prop::collection::vec((0u16..24, event), 0..6), 1..12)
}

proptest! {
    /// A router that reads what is written, one that reads whole lists, and one that is told by the first
    /// what differs, know the same after each reading.
    #[test]
    fn what_is_written_and_what_differs_say_the_same_as_whole_lists(rounds in events()) {
        let mut store: BTreeMap<u16, Target> = (0..12).map(|it| (it, target(it, State::Ready))).collect();
        let whole = |store: &BTreeMap<u16, Target>| store.values().cloned().collect::<Vec<_>>();
        let new = || Registry::new().with_cell_targets(3);
        let (mut reader, mut naive, mut peer) = (new(), new(), new());
        for registry in [&mut reader, &mut naive, &mut peer] {
            registry.take(whole(&store), STEP);
        }
        for (round, happened) in (2u32..).zip(rounds) {
            let as_of = STEP * round;
            let mut touched = BTreeSet::new();
            for (number, event) in happened {
                touched.insert(number);
                match event {
                    Event::Written => drop(store.insert(number, target(number, State::Ready))),
                    Event::Leaves => drop(store.insert(number, target(number, State::Leaving))),
                    Event::Dropped => drop(store.remove(&number)),
                }
            }
            let mut delta = Delta::default();
            for number in touched {
                match store.get(&number) {
                    Some(it) => delta.written.push(it.clone()),
                    None => delta.dropped.push(target(number, State::Ready).id),
                }
            }
            reader.take_delta(delta, as_of);
            naive.take(whole(&store), as_of);
            prop_assert_eq!(listed(&reader), listed(&naive));
            prop_assert_eq!(reader.digest(), naive.digest());
            prop_assert_eq!(reader.read_at(), Some(as_of));
            prop_assert_eq!(indexed(&reader), indexed(&naive));
            let difference = reader.differing(&peer.sums());
            let delta = peer.delta_of(difference).expect("nothing changed meanwhile");
            peer.take_told(delta, round % 2 == 0, as_of);
            prop_assert_eq!(listed(&peer), listed(&reader));
            prop_assert_eq!(peer.digest(), reader.digest());
            prop_assert_eq!(indexed(&peer), indexed(&reader));
        }
    }
}

#[test]
fn what_only_says_that_a_target_is_there_changes_nothing() {
    let mut registry = Registry::new();
    registry.take(some(20), STEP);
    let delta = Delta {
        written: some(20),
        ..Delta::default()
    };
    assert!(registry.take_delta(delta, 2 * STEP).is_empty());
    assert_eq!(registry.read_at(), Some(2 * STEP));
}

#[test]
fn an_entry_that_lapses_over_an_outage_is_kept_as_with_whole_lists() {
    let mut registry = Registry::new();
    registry.take(some(2), STEP);
    let dropped = Delta {
        dropped: vec![target(1, State::Ready).id],
        ..Delta::default()
    };
    let back = STEP + OUTAGE + Duration::from_millis(1);
    assert!(registry.take_delta(dropped, back).is_empty());
    assert_eq!(registry.of("pool").len(), 2);
    // It has not come back.
    let changes = registry.take_delta(Delta::default(), back + OUTAGE);
    assert_eq!(changes.len(), 1);
    assert_eq!(registry.of("pool").len(), 1);
}

#[test]
fn a_difference_to_a_list_that_has_changed_meanwhile_is_not_merged() {
    let (mut one, mut other) = (Registry::new(), Registry::new());
    one.take(some(200), STEP);
    other.take(some(150), STEP);
    let difference = one.differing(&other.sums());
    other.take(some(100), 2 * STEP);
    assert!(other.delta_of(difference).is_none());
}

/// Bytes of a question and its answer for one change, as two routers tell each other.
fn exchanged(count: u16) -> usize {
    let (mut old, mut new) = (Registry::new(), Registry::new());
    old.take(some(count), STEP);
    let mut list = some(count);
    list[0].state = State::Leaving;
    new.take(list, STEP);
    let encode = bincode::config::standard();
    let question = bincode::serde::encode_to_vec(old.sums(), encode).unwrap();
    let answer = new.differing(&old.sums());
    let answer = bincode::serde::encode_to_vec(&answer, encode).unwrap();
    question.len() + answer.len()
}

/// The whole list grows with the targets: 0.5 MB for 10,000.
#[test]
fn what_routers_tell_each_other_of_a_change_does_not_follow_the_list() {
    let (small, large) = (exchanged(1_000), exchanged(20_000));
    assert!(small < 2_500, "{small}");
    assert!(large < 8_500, "{large}");
}
