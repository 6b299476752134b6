//! Which connections of callers give way, and what is counted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dunlinward_dispatch::connections::{CONNECTION_BYTES, Others, Phase, Served, Slot, Table};
use dunlinward_dispatch::memory::{Account, Kind};
use dunlinward_dispatch::message::CustomerTag;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A table in which connections do this, each since another second.
fn table(limit: usize, phases: &[Phase]) -> (Table, Vec<Slot>) {
    let mut table = Table::new(limit);
    let slots = (0..).zip(phases).map(|(at, phase)| {
        let (slot, displaced) = table.open(0, seconds(at));
        assert_eq!(displaced, None);
        assert_eq!(table.enter(slot, *phase, seconds(at)), None);
        slot
    });
    let slots = slots.collect();
    (table, slots)
}

#[test]
fn the_connection_that_has_waited_longest_gives_way() {
    let phases = [Phase::Serving, Phase::Reading, Phase::Idle, Phase::Blocked];
    let (mut table, slots) = table(4, &phases);
    for (at, gone) in [(10, 1), (11, 2), (12, 3)] {
        let (_, displaced) = table.open(0, seconds(at));
        assert_eq!(displaced.unwrap().slot, slots[gone]);
        assert_eq!(displaced.unwrap().phase, phases[gone]);
    }
    assert_eq!(table.phase(slots[0]), Some(Phase::Serving));
    assert_eq!(table.count(), 4);
}

#[test]
fn a_connection_that_is_closing_gives_way_first() {
    let (mut table, slots) = table(3, &[Phase::Idle, Phase::Reading, Phase::Closing]);
    let (_, displaced) = table.open(0, seconds(5));
    assert_eq!(displaced.unwrap().slot, slots[2]);
}

#[test]
fn a_forwarded_request_gives_way_after_all_that_wait() {
    let phases = [Phase::Forwarded, Phase::Idle, Phase::Blocked];
    let (mut table, slots) = table(3, &phases);
    for (at, gone) in [(5, 1), (6, 2)] {
        let (new, displaced) = table.open(0, seconds(at));
        assert_eq!(displaced.unwrap().slot, slots[gone]);
        assert_eq!(table.enter(new, Phase::Serving, seconds(at)), None);
    }
    let (_, displaced) = table.open(0, seconds(7));
    assert_eq!(displaced.unwrap().slot, slots[0]);
}

#[test]
fn a_new_connection_is_closed_if_all_others_are_served() {
    let (mut table, slots) = table(2, &[Phase::Serving, Phase::Serving]);
    let (slot, displaced) = table.open(0, seconds(5));
    assert_eq!(displaced.unwrap().slot, slot);
    assert!(slots.iter().all(|it| table.phase(*it).is_some()));
    assert_eq!((table.phase(slot), table.count()), (None, 2));
}

#[test]
fn connections_that_are_not_callers_displace_callers() {
    let (mut table, slots) = table(4, &[Phase::Idle, Phase::Serving]);
    assert_eq!(table.make_room(1), None);
    assert_eq!(table.make_room(2).unwrap().slot, slots[0]);
    assert_eq!(table.make_room(3), None);
}

#[test]
fn heads_that_have_begun_expire() {
    let phases = [Phase::Head, Phase::Idle, Phase::Head, Phase::Reading];
    let (mut table, slots) = table(4, &phases);
    assert_eq!(table.expire_heads(seconds(1)), [slots[0]]);
    assert_eq!(table.count(), 3);
    assert_eq!(table.enter(slots[2], Phase::Serving, seconds(5)), None);
    assert!(table.expire_heads(seconds(9)).is_empty());
}

#[test]
fn the_connection_that_has_received_longest_gives_way() {
    let phases = [Phase::Idle, Phase::Reading, Phase::Head, Phase::Idle];
    let (table, slots) = table(9, &phases);
    let mut table = table.with_receiving_limit(2);
    let displaced = table.enter(slots[3], Phase::Head, seconds(5));
    assert_eq!(displaced.map(|it| it.slot), Some(slots[1]));
    assert_eq!(table.enter(slots[3], Phase::Reading, seconds(6)), None);
    assert_eq!(table.count(), 3);
}

#[test]
fn what_a_connection_goes_on_doing_keeps_its_time() {
    let (mut table, slots) = table(2, &[Phase::Idle, Phase::Idle]);
    assert_eq!(table.enter(slots[0], Phase::Idle, seconds(8)), None);
    let (_, displaced) = table.open(0, seconds(9));
    assert_eq!(displaced.unwrap().slot, slots[0]);
    assert_eq!(table.enter(slots[0], Phase::Serving, seconds(9)), None);
    assert_eq!(table.phase(slots[0]), None);
}

/// Connections of 3,000 callers come, go and do anything, beside a varying number of others.
#[test]
fn the_limit_holds_and_served_connections_stay_for_drawn_callers() {
    const LIMIT: usize = 3_000;
    const RECEIVING: usize = 500;
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut table = Table::new(LIMIT).with_receiving_limit(RECEIVING);
    let mut open: BTreeMap<Slot, Phase> = BTreeMap::new();
    let mut closed = 0;
    for step in 0..100_000u64 {
        let now = Duration::from_millis(step);
        let others = random.random_range(0..1_000);
        if random.random_range(0..3) == 0 {
            let (slot, displaced) = table.open(others, now);
            open.insert(slot, Phase::Idle);
            if let Some(displaced) = displaced {
                let phase = open.remove(&displaced.slot);
                assert_eq!(phase, Some(displaced.phase));
                assert_ne!(phase, Some(Phase::Serving));
                closed += 1;
            }
        } else if let Some(displaced) = table.make_room(others) {
            assert_ne!(open.remove(&displaced.slot), Some(Phase::Serving));
        }
        let at = random.random_range(0..open.len().max(1));
        if let Some((slot, phase)) = open.iter_mut().nth(at) {
            *phase = Phase::ALL[random.random_range(0..Phase::ALL.len())];
            if let Some(displaced) = table.enter(*slot, *phase, now) {
                let phase = open.remove(&displaced.slot);
                assert!(phase.is_some_and(|it| it.receives() && it == displaced.phase));
            }
        }
        if step % 1_000 == 0 {
            assert_eq!(table.count(), open.len());
            for phase in Phase::ALL {
                let count = open.values().filter(|it| **it == phase).count();
                assert_eq!(table.count_of(phase), count);
            }
            let receiving = open.values().filter(|it| it.receives()).count();
            assert!(table.count() <= LIMIT && receiving <= RECEIVING);
        }
    }
    assert!(closed > 1_000, "{closed}");
}

#[test]
fn a_connection_gives_way_when_the_memory_is_used_up() {
    let budget = 4 * CONNECTION_BYTES;
    let (table, slots) = table(100, &[Phase::Idle, Phase::Idle, Phase::Idle]);
    let mut table = table.with_memory(budget);
    assert!(!table.is_full(0) && table.is_full(1));
    assert_eq!(table.room(Others::default()), CONNECTION_BYTES);
    let bodies = Others {
        bodies: 1,
        ..Others::default()
    };
    let (_, displaced) = table.open(bodies, seconds(9));
    assert_eq!(displaced.unwrap().slot, slots[0]);
    // One that receives takes more.
    assert_eq!(table.shed(0), None);
    assert_eq!(table.enter(slots[2], Phase::Reading, seconds(7)), None);
    assert_eq!(table.enter(slots[1], Phase::Reading, seconds(9)), None);
    assert!(table.is_full(0));
    assert_eq!(table.shed(0).unwrap().slot, slots[2]);
    assert_eq!(table.shed(0), None);
}

/// Connections and bodies come, grow and go; what all of them take is counted again each time.
#[test]
fn connections_and_bodies_share_a_budget_for_drawn_callers() {
    const BUDGET: u64 = 60_000_000;
    const BODIES: u64 = 20_000_000;
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let mut table = Table::new(9_000).with_memory(BUDGET);
    let mut account = Account::new(BODIES);
    let mut open: BTreeMap<Slot, Phase> = BTreeMap::new();
    let mut bodies = BTreeSet::new();
    let (mut least, mut displaced_count) = (u64::MAX, 0);
    for step in 0..60_000u64 {
        let now = Duration::from_millis(step);
        let serving = open.values().filter(|it| **it == Phase::Serving).count();
        let mut others = Others {
            targets: serving,
            served: serving,
            ..Others::default()
        };
        let room = table.room(others);
        for gone in account.fit(room.saturating_sub(CONNECTION_BYTES), now) {
            bodies.remove(&gone);
        }
        others.bodies = account.total();
        let (slot, displaced) = table.open(others, now);
        open.insert(slot, Phase::Idle);
        if let Some(displaced) = displaced {
            open.remove(&displaced.slot);
            displaced_count += 1;
        }
        let at = random.random_range(0..open.len());
        let (slot, phase) = open.iter_mut().nth(at).unwrap();
        // One in sixteen is served at the end.
        *phase = Phase::ALL[random.random_range(0..Phase::ALL.len())];
        if *phase == Phase::Serving && random.random_range(0..2) == 0 {
            *phase = Phase::Idle;
        }
        assert_eq!(table.enter(*slot, *phase, now), None);
        let body = account.begin(None, Kind::Request, now);
        bodies.insert(body);
        for gone in account.grow(body, random.random_range(0..40_000), now) {
            bodies.remove(&gone);
        }
        if random.random_range(0..2) == 0 {
            let body = bodies.pop_first().unwrap();
            account.end(body);
        }
        let used = BUDGET - table.room(others);
        let idle = u64::try_from(open.len()).unwrap() * CONNECTION_BYTES;
        assert!(used >= idle, "{used} of {} connections", open.len());
        assert!(account.total() <= BODIES);
        let floor = BODIES / 4;
        // A step may add what a served request with a body on its way takes.
        let slack = 8 * CONNECTION_BYTES;
        assert!(used + account.total() <= BUDGET + floor + slack);
        least = least.min(BUDGET.saturating_sub(used + account.total()));
    }
    assert!(least < CONNECTION_BYTES && displaced_count > 1_000);
}

#[test]
fn a_customer_does_not_take_all_places_of_served_requests() {
    let [crowd, other] = [1, 2].map(|it| Some(CustomerTag(it)));
    let mut served = Served::new(200);
    let begun = (0..200).filter(|_| served.begin(crowd)).count();
    assert_eq!(begun, 75);
    let begun = (0..200).filter(|_| served.begin(other)).count();
    assert_eq!((begun, served.total()), (25, 100));
    assert!(!served.begin(None));
    for _ in 0..40 {
        served.end(crowd);
    }
    assert!(served.begin(crowd) && served.begin(None) && served.begin(other));
}

#[test]
fn requests_below_three_quarters_of_the_limit_are_served_whoever_sends_them() {
    let mut served = Served::new(400);
    let customers = (0..150).map(|it| Some(CustomerTag(it % 2)));
    assert!(customers.into_iter().all(|it| served.begin(it)));
}
