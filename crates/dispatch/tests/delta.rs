//! Incremental updates and peer differences give the same registry as full lists.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::registry::{Delta, OUTAGE_GAP, Registry};
use dunlinward_dispatch::target::{State, Target};
use proptest::prelude::*;

/// Interval between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(600);

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
        version: None,
    }
}

fn listed(registry: &Registry) -> BTreeMap<Arc<str>, State> {
    let listed = registry.listed();
    listed.map(|it| (it.id.clone(), it.state)).collect()
}

/// All targets by service and by cell, and the checksums of the parts.
fn indexed(registry: &Registry) -> impl PartialEq + std::fmt::Debug + use<> {
    let ids = |targets: &[Arc<Target>]| targets.iter().map(|it| it.id.clone()).collect::<Vec<_>>();
    let mut cells: Vec<_> = registry
        .all_cells()
        .map(|(cell, it)| (cell, ids(it)))
        .collect();
    cells.sort();
    (
        ids(registry.targets_of_service("pool")),
        cells,
        registry.checksums(),
    )
}

fn ready_targets(count: u16) -> Vec<Target> {
    (0..count).map(|it| target(it, State::Ready)).collect()
}

/// A change to a target between two reads.
#[derive(Clone, Copy, Debug)]
enum Update {
    Written,
    Leaving,
    Dropped,
}

fn updates() -> impl Strategy<Value = Vec<Vec<(u16, Update)>>> {
    let update = prop_oneof![
        Just(Update::Written),
        Just(Update::Leaving),
        Just(Update::Dropped)
    ];
    prop::collection::vec(prop::collection::vec((0u16..24, update), 0..6), 1..12)
}

proptest! {
    /// A router that reads the log, one that reads full lists, and one that receives the
    /// differences from the first have the same state after each read.
    #[test]
    fn deltas_and_differences_give_the_same_state_as_full_lists(rounds in updates()) {
        let mut store: BTreeMap<u16, Target> =
            (0..12).map(|it| (it, target(it, State::Ready))).collect();
        let full_list = |store: &BTreeMap<u16, Target>| store.values().cloned().collect::<Vec<_>>();
        let new = || Registry::new().with_cell_targets(3);
        let (mut log_reader, mut full_reader, mut peer) = (new(), new(), new());
        for registry in [&mut log_reader, &mut full_reader, &mut peer] {
            registry.apply_list(full_list(&store), READ_INTERVAL);
        }
        for (round, updates) in (2u32..).zip(rounds) {
            let as_of = READ_INTERVAL * round;
            let mut touched = BTreeSet::new();
            for (number, update) in updates {
                touched.insert(number);
                match update {
                    Update::Written => drop(store.insert(number, target(number, State::Ready))),
                    Update::Leaving => drop(store.insert(number, target(number, State::Leaving))),
                    Update::Dropped => drop(store.remove(&number)),
                }
            }
            let mut delta = Delta::default();
            for number in touched {
                match store.get(&number) {
                    Some(it) => delta.written.push(it.clone()),
                    None => delta.dropped.push(target(number, State::Ready).id),
                }
            }
            log_reader.apply_delta(delta, as_of);
            full_reader.apply_list(full_list(&store), as_of);
            prop_assert_eq!(listed(&log_reader), listed(&full_reader));
            prop_assert_eq!(log_reader.digest(), full_reader.digest());
            prop_assert_eq!(log_reader.read_at(), Some(as_of));
            prop_assert_eq!(indexed(&log_reader), indexed(&full_reader));
            let difference = log_reader.difference_from(&peer.checksums());
            let delta = peer.delta_from(difference).expect("the list has not changed since");
            peer.apply_peer_delta(delta, round % 2 == 0, as_of);
            prop_assert_eq!(listed(&peer), listed(&log_reader));
            prop_assert_eq!(peer.digest(), log_reader.digest());
            prop_assert_eq!(indexed(&peer), indexed(&log_reader));
        }
    }
}

#[test]
fn an_unchanged_entry_that_is_written_again_changes_nothing() {
    let mut registry = Registry::new();
    registry.apply_list(ready_targets(20), READ_INTERVAL);
    let delta = Delta {
        written: ready_targets(20),
        ..Delta::default()
    };
    assert!(registry.apply_delta(delta, 2 * READ_INTERVAL).is_empty());
    assert_eq!(registry.read_at(), Some(2 * READ_INTERVAL));
}

#[test]
fn an_entry_that_expires_during_an_outage_is_retained_as_with_full_lists() {
    let mut registry = Registry::new();
    registry.apply_list(ready_targets(2), READ_INTERVAL);
    let dropped = Delta {
        dropped: vec![target(1, State::Ready).id],
        ..Delta::default()
    };
    let back = READ_INTERVAL + OUTAGE_GAP + Duration::from_millis(1);
    assert!(registry.apply_delta(dropped, back).is_empty());
    assert_eq!(registry.targets_of_service("pool").len(), 2);
    // The entry has not reappeared.
    let changes = registry.apply_delta(Delta::default(), back + OUTAGE_GAP);
    assert_eq!(changes.len(), 1);
    assert_eq!(registry.targets_of_service("pool").len(), 1);
}

#[test]
fn a_difference_to_a_list_that_has_since_changed_is_not_merged() {
    let (mut one, mut other) = (Registry::new(), Registry::new());
    one.apply_list(ready_targets(200), READ_INTERVAL);
    other.apply_list(ready_targets(150), READ_INTERVAL);
    let difference = one.difference_from(&other.checksums());
    other.apply_list(ready_targets(100), 2 * READ_INTERVAL);
    assert!(other.delta_from(difference).is_none());
}

/// Encoded bytes of a request and its answer for one change, as exchanged by two routers.
fn exchanged_bytes(count: u16) -> usize {
    let (mut old, mut new) = (Registry::new(), Registry::new());
    old.apply_list(ready_targets(count), READ_INTERVAL);
    let mut list = ready_targets(count);
    list[0].state = State::Leaving;
    new.apply_list(list, READ_INTERVAL);
    let config = bincode::config::standard();
    let request = bincode::serde::encode_to_vec(old.checksums(), config).unwrap();
    let answer = new.difference_from(&old.checksums());
    let answer = bincode::serde::encode_to_vec(&answer, config).unwrap();
    request.len() + answer.len()
}

/// Sending the whole list instead would grow with the number of targets: 0.5 MB for 10,000.
#[test]
fn exchanged_bytes_for_one_change_do_not_grow_with_the_list() {
    let (small, large) = (exchanged_bytes(1_000), exchanged_bytes(20_000));
    assert!(small < 2_500, "{small}");
    assert!(large < 8_500, "{large}");
}
