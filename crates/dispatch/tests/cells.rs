//! Cells, their owners, and the load that an owner accounts for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::cell::{self, Cell, ServiceTag};
use dunlinward_dispatch::member::{Condition, Descriptor, Duty, Members, Scope};
use dunlinward_dispatch::prefix::{Part, Prefix, Prompt};
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::registry::Registry;
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::{Load, Peer, Usage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn targets(count: u16) -> Vec<Target> {
    let targets = (0..count).map(|number| Target {
        id: format!("i-{number}").into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        domain: "a".into(),
        born: None,
        slots: 16,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: None,
    });
    targets.collect()
}

fn cells(count: u16) -> HashMap<Tag, u16> {
    let mut registry = Registry::new().with_cell_targets(16);
    registry.apply_list(targets(count), ms(0));
    let cells = registry.all_cells();
    let tags = cells.flat_map(|(cell, targets)| targets.iter().map(move |it| (it.tag(), cell)));
    tags.map(|(tag, cell)| (tag, cell.index)).collect()
}

#[test]
fn every_target_is_in_one_cell_and_few_move_when_one_is_added() {
    assert_eq!(cells(9).values().max(), Some(&0));
    let (before, after) = (cells(140), cells(141));
    assert_eq!((before.len(), after.len()), (140, 141));
    let moved = before.iter().filter(|(tag, cell)| after[tag] != **cell);
    assert!(moved.count() <= 141 / 9 + 10);
    let mut registry = Registry::new().with_cell_targets(16);
    registry.apply_list(targets(140), ms(0));
    for target in registry.targets() {
        assert_eq!(registry.cell_of(target).index, before[&target.tag()]);
    }
}

#[test]
fn prefixes_are_distributed_over_cells_by_size() {
    let sizes = [10, 20, 0, 30];
    let mut homes = [0usize; 4];
    for number in 0..6_000 {
        let home = cell::home(Prefix(number * 0x9e37_79b9), &sizes);
        homes[usize::from(home.unwrap())] += 1;
    }
    for (count, size) in homes.iter().zip(sizes) {
        let expected = 100 * size;
        assert!(count.abs_diff(expected) <= expected / 10 + 1, "{homes:?}");
    }
    assert_eq!(homes[2], 0);
    assert_eq!(cell::home(Prefix(1), &[]), None);
    assert_eq!(cell::home(Prefix(1), &[5]), Some(0));
}

#[test]
fn a_service_has_a_bounded_number_of_cells() {
    let counts = [0, 9, 23, 24, 140, 600].map(|it| cell::count(it, 16));
    assert_eq!(counts, [1, 1, 1, 2, 9, cell::MAX_PER_REGION]);
    assert_eq!(cell::count(600, cell::TARGETS_PER_CELL), 12);
}

fn descriptor(number: u8) -> Descriptor {
    Descriptor {
        address: ([10, 0, 0, number], 7_400).into(),
        peer: Peer(u64::from(number)),
        domain: if number.is_multiple_of(2) {
            "even"
        } else {
            "odd"
        }
        .into(),
        millicores: 120,
    }
}

fn address(number: u8) -> SocketAddr {
    descriptor(number).address
}

/// A router's view in which all `others` have settled.
fn view(own: u8, others: &[u8]) -> Members {
    let mut members = Members::new(descriptor(own));
    for number in others {
        members.upsert(&descriptor(*number), Condition::Healthy, ms(0));
    }
    members
}

fn cell_at(index: u16) -> Cell {
    Cell {
        service: ServiceTag::new("pool"),
        region: Region::default(),
        index,
    }
}

#[test]
fn routers_that_know_each_other_agree_on_the_owner_of_each_cell() {
    let all = [1, 2, 3, 4, 5];
    let mut owners = HashMap::new();
    for index in 0..200 {
        let chosen = all.map(|own| {
            let others: Vec<_> = all.into_iter().filter(|it| *it != own).collect();
            view(own, &others).owner(cell_at(index), ms(2_000))
        });
        assert!(chosen.iter().all(|it| *it == chosen[0]));
        *owners.entry(chosen[0]).or_insert(0) += 1;
    }
    assert_eq!(owners.len(), 5);
    assert!(owners.values().all(|count| (20..=60).contains(count)));
}

#[test]
fn a_leaving_overloaded_or_new_router_owns_no_cells() {
    let mut members = view(1, &[2, 3]);
    let owners = |members: &Members, now| {
        let owners = (0..50).map(|index| members.owner(cell_at(index), now));
        owners.collect::<std::collections::HashSet<_>>()
    };
    assert!(owners(&members, ms(2_000)).contains(&address(2)));
    members.upsert(&descriptor(2), Condition::Overloaded, ms(1_900));
    members.upsert(&descriptor(3), Condition::Leaving, ms(1_900));
    assert_eq!(owners(&members, ms(2_000)), [address(1)].into());
    members.set_overloaded(true);
    assert_eq!(owners(&members, ms(2_000)).len(), 2);
    members.set_overloaded(false);
    members.upsert(&descriptor(2), Condition::Healthy, ms(2_000));
    members.upsert(&descriptor(4), Condition::Healthy, ms(2_000));
    assert!(!owners(&members, ms(2_100)).contains(&address(4)));
    assert!(owners(&members, ms(3_600)).contains(&address(4)));
    members.leave();
    assert!(!owners(&members, ms(3_600)).contains(&address(1)));
}

#[test]
fn an_unresponsive_router_is_excluded_longer_each_time() {
    let mut members = view(1, &[2]);
    let cell = (0..100)
        .map(cell_at)
        .find(|it| members.owner(*it, ms(2_000)) == address(2));
    let cell = cell.unwrap();
    assert!(!members.record_miss(address(2), ms(2_000)));
    members.record_answer(address(2));
    assert!(!members.record_miss(address(2), ms(2_000)));
    assert!(members.record_miss(address(2), ms(2_000)));
    assert_eq!(members.owner(cell, ms(2_400)), address(1));
    assert_eq!(members.owner(cell, ms(2_500)), address(2));
    assert!(!members.record_miss(address(2), ms(2_500)));
    assert!(members.record_miss(address(2), ms(2_500)));
    assert_eq!(members.owner(cell, ms(3_400)), address(1));
    assert_eq!(members.owner(cell, ms(3_500)), address(2));
}

#[test]
fn ended_routers_are_removed_and_a_restarted_one_is_new() {
    let mut members = view(1, &[2, 3]);
    members.remove(&descriptor(2));
    assert_eq!((members.count(), members.contains(address(3))), (2, true));
    let restarted = Descriptor {
        peer: Peer(99),
        ..descriptor(3)
    };
    assert!(members.upsert(&restarted, Condition::Healthy, ms(2_700)));
    assert!(!members.upsert(&restarted, Condition::Healthy, ms(2_800)));
    // The end of an earlier start doesn't remove the current one.
    members.remove(&descriptor(3));
    assert!(members.contains(address(3)));
    members.remove(&restarted);
    assert_eq!(members.count(), 1);
}

#[test]
fn each_duty_has_a_first_router_overall_and_in_each_domain() {
    let all = [1, 2, 3, 4, 5, 6];
    for duty in [Duty::Configuration, Duty::Targets] {
        let ranks = |scope| {
            let mut ranks = all.map(|own| {
                let others: Vec<_> = all.into_iter().filter(|it| *it != own).collect();
                view(own, &others).rank(duty, scope)
            });
            ranks.sort_unstable();
            ranks
        };
        assert_eq!(ranks(Scope::All), [0, 1, 2, 3, 4, 5]);
        assert_eq!(ranks(Scope::Domain), [0, 0, 1, 1, 2, 2]);
    }
}

/// Random sequences of placements, read prompts, released places and full reports: the load always
/// equals a naive count, and no more is released than was placed.
#[test]
fn load_of_a_target_matches_a_naive_sum_over_routers() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let tags = [Tag(1), Tag(2), Tag(3)];
    let peers = [Peer(1), Peer(2)];
    let mut usage = Usage::new();
    let mut naive: HashMap<(Peer, Tag), Load> = HashMap::new();
    for step in 0..5_000 {
        let now = ms(step);
        let tag = tags[random.random_range(0..3)];
        let peer = peers[random.random_range(0..2)];
        let unread = random.random_range(0..100);
        let held = naive.entry((peer, tag)).or_default();
        match random.random_range(0..8) {
            0..3 => {
                usage.begin_for(peer, tag, unread, now);
                held.running += 1;
                held.unread += unread;
            }
            3 => {
                usage.end_prefill_for(peer, tag, unread);
                held.unread = held.unread.saturating_sub(unread);
            }
            4..7 => {
                usage.end_for(peer, tag, unread);
                held.running = held.running.saturating_sub(1);
                held.unread = held.unread.saturating_sub(unread);
            }
            _ => {
                let load = Load { running: 2, unread };
                usage.apply_report(peer, [(tag, load)].into_iter(), now);
                naive.retain(|(it, _), _| *it != peer);
                naive.insert((peer, tag), load);
            }
        }
        for tag in tags {
            let loads = naive.iter().filter(|((_, it), _)| *it == tag);
            let running = loads.clone().map(|(_, it)| it.running).sum();
            let unread = loads.map(|(_, it)| it.unread).sum();
            assert_eq!(usage.total(tag), Load { running, unread }, "step {step}");
        }
    }
}

#[test]
fn a_brief_prompt_merges_its_shared_parts() {
    let part = |id, tokens| Part { id, tokens };
    let prompt = |own| Prompt {
        tokens: 1_000,
        answer_tokens: 9,
        parts: vec![part(1, 300), part(2, 500), part(own, 200)],
    };
    let (one, other) = (prompt(3).compact(), prompt(4).compact());
    assert_eq!(one, other);
    assert_eq!((one.shared_tokens(), one.own_tokens()), (800, 200));
    assert_eq!(one.prefix(), other.prefix());
    let mut alone = prompt(3);
    alone.parts.drain(..2);
    assert_eq!(alone.compact().prefix(), None);
}
