//! A store that comes back from a copy some seconds old, and what routers then hold to.
//!
//! Fleets of 3, 64 and 300 routers under virtual time: a few read the store, all tell three others
//! drawn at random in each step of 100 ms what they know.

use std::time::Duration;

use dunlinward_dispatch::content::Digest;
use dunlinward_dispatch::evacuation::{Change, Evacuations, Order};
use dunlinward_dispatch::quarantine::{Entry, Finding, Ledger, Resolution};
use dunlinward_dispatch::registry::{LAPSE, OUTAGE, RETURN_TIME, Registry};
use dunlinward_dispatch::store::{Era, Position, RESTORE_TIME, Sight};
use dunlinward_dispatch::target::{State, Tag, Target};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SIZES: [usize; 3] = [3, 64, 300];

/// Routers that read the store, as two of each of three failure domains do.
const READERS: usize = 6;

/// Time between two greetings.
const STEP: Duration = Duration::from_millis(100);

/// Routers that each router tells in one step.
const TOLD: usize = 3;

/// A store that keeps orders for failure domains.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    log: Vec<(&'static str, bool)>,
}

impl Store {
    fn write(&mut self, domain: &'static str, evacuated: bool) {
        self.log.push((domain, evacuated));
    }

    /// Comes back with the state of `copy`.
    fn restore(&mut self, copy: &Self) {
        self.log.clone_from(&copy.log);
        self.era += 1;
    }

    fn position(&self, offset: usize) -> Position {
        Position {
            era: self.era,
            offset: offset.try_into().unwrap(),
        }
    }

    fn order(&self, offset: usize) -> Order {
        let (domain, evacuated) = self.log[offset];
        Order {
            domain: domain.into(),
            evacuated,
            at: self.position(offset + 1),
        }
    }

    /// The newest record of each key that was not dropped.
    fn list(&self) -> Vec<Order> {
        let newest = |domain| self.log.iter().rposition(|(it, _)| *it == domain);
        let domains: std::collections::BTreeSet<_> = self.log.iter().map(|(it, _)| *it).collect();
        let offsets = domains.into_iter().filter_map(newest);
        let orders = offsets.map(|it| self.order(it));
        orders.filter(|it| it.evacuated).collect()
    }
}

#[derive(Clone, Default)]
struct Router {
    era: Era,
    evacuations: Evacuations,
    /// Where it reads on.
    next: Option<Position>,
    changes: Vec<Change>,
}

impl Router {
    fn read(&mut self, store: &Store, now: Duration) {
        assert_ne!(self.era.see(store.era, now), Sight::Stale);
        let end = store.position(store.log.len());
        let follows = self.next.filter(|it| it.era == store.era);
        let changes = match follows {
            Some(from) if !self.evacuations.overdue(&self.era, now) => {
                let from = usize::try_from(from.offset).unwrap();
                let orders = (from..store.log.len()).map(|it| store.order(it));
                orders.filter_map(|it| self.evacuations.take(it)).collect()
            }
            _ => self
                .evacuations
                .take_list(store.list(), end, &self.era, now),
        };
        self.changes.extend(changes);
        self.next = Some(end);
    }

    fn hear(&mut self, other: &Self, now: Duration) {
        if let Some(era) = other.era.newest() {
            self.era.see(era, now);
        }
        if other.evacuations.digest() != self.evacuations.digest() {
            let orders: Vec<_> = other.evacuations.orders().collect();
            for order in orders.iter().filter(|it| it.evacuated) {
                self.era.see(order.at.era, now);
            }
            let changes = orders
                .into_iter()
                .filter_map(|it| self.evacuations.take(it));
            self.changes.extend(changes);
        }
    }
}

struct Fleet {
    routers: Vec<Router>,
    now: Duration,
    random: Pcg64Mcg,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            routers: vec![Router::default(); size],
            now: Duration::ZERO,
            random: Pcg64Mcg::seed_from_u64(7),
        }
    }

    /// Passes time; `store` answers the readers unless it is away, and `reaches` says which router
    /// reaches which.
    fn run(
        &mut self,
        time: Duration,
        store: Option<&Store>,
        reaches: impl Fn(usize, usize) -> bool,
    ) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for reader in self.routers.iter_mut().take(READERS) {
                if let Some(store) = store {
                    reader.read(store, self.now);
                }
            }
            let before = self.routers.clone();
            for (from, sender) in before.iter().enumerate() {
                for _ in 0..TOLD {
                    let to = self.random.random_range(0..before.len());
                    if reaches(from, to) {
                        self.routers[to].hear(sender, self.now);
                    }
                }
            }
        }
    }

    fn evacuated(&self, domain: &str) -> usize {
        let routers = self.routers.iter();
        routers
            .filter(|it| it.evacuations.evacuated(domain))
            .count()
    }
}

fn all(_: usize, _: usize) -> bool {
    true
}

/// All routers know of it: the bound for evacuations is 5 s.
const KNOWN: Duration = Duration::from_millis(2_500);

#[test]
fn an_evacuation_in_force_never_goes_back_though_the_copy_lacks_it() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        fleet.run(KNOWN, Some(&store), all);
        let copy = store.clone();
        store.write("hall-c", true);
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-c"), size);
        fleet.run(Duration::from_secs(1), None, all);
        store.restore(&copy);
        for _ in 0..20 {
            fleet.run(STEP, Some(&store), all);
            assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        }
        // Written again 5 s later, and taken back after that.
        fleet.run(Duration::from_secs(3), Some(&store), all);
        store.write("hall-c", true);
        fleet.run(RESTORE_TIME + KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        store.write("hall-c", false);
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-c"), 0, "{size} routers");
        let reopened = Change::Reopened("hall-c".into());
        for router in &fleet.routers {
            let times = router.changes.iter().filter(|it| **it == reopened);
            assert_eq!(times.count(), 1, "{size} routers");
        }
    }
}

#[test]
fn what_is_never_written_again_ends_after_a_while() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        let copy = store.clone();
        store.write("hall-c", true);
        fleet.run(KNOWN, Some(&store), all);
        store.restore(&copy);
        fleet.run(RESTORE_TIME.saturating_sub(STEP), Some(&store), all);
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-c"), 0, "{size} routers");
    }
}

#[test]
fn a_router_that_starts_in_the_gap_learns_it_from_its_peers() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        let copy = store.clone();
        store.write("hall-c", true);
        fleet.run(KNOWN, Some(&store), all);
        store.restore(&copy);
        // A reader and another one restart empty.
        fleet.routers[0] = Router::default();
        fleet.routers[size - 1] = Router::default();
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
    }
}

/// The next record after a list lies where that list ended.
#[test]
fn what_a_list_ended_can_be_evacuated_again_with_the_next_record() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        store.write("hall-a", true);
        fleet.run(KNOWN, Some(&store), all);
        // The order is taken back while the store is away, and the history is lost with it.
        store.write("hall-a", false);
        for router in &mut fleet.routers {
            router.next = None;
        }
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-a"), 0, "{size} routers");
        store.write("hall-a", true);
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-a"), size, "{size} routers");
    }
}

#[test]
fn two_evacuations_a_cut_and_an_outage_around_the_moment() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        store.write("hall-b", true);
        fleet.run(KNOWN, Some(&store), all);
        let copy = store.clone();
        store.write("hall-c", true);
        fleet.run(KNOWN, Some(&store), all);
        // A third is cut off from the others, all of it without a reader, while the store is away
        // and comes back.
        let cut = |from: usize, to: usize| (from < size * 2 / 3) == (to < size * 2 / 3);
        fleet.run(Duration::from_secs(2), None, cut);
        store.restore(&copy);
        fleet.run(Duration::from_secs(2), Some(&store), cut);
        assert_eq!(fleet.evacuated("hall-b"), size, "{size} routers");
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        store.write("hall-c", true);
        store.write("hall-b", false);
        fleet.run(KNOWN, Some(&store), all);
        assert_eq!(fleet.evacuated("hall-b"), 0, "{size} routers");
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
    }
}

#[test]
fn an_answer_of_an_earlier_era_is_known_as_such() {
    let mut era = Era::default();
    assert_eq!(era.see(3, Duration::ZERO), Sight::Current);
    assert!(
        !era.restoring(Duration::ZERO),
        "the first one seen says nothing"
    );
    assert_eq!(era.see(4, Duration::from_secs(1)), Sight::Restored);
    assert_eq!(era.see(3, Duration::from_secs(2)), Sight::Stale);
    assert_eq!(era.see(4, Duration::from_secs(2)), Sight::Current);
    assert!(era.restoring(Duration::from_secs(2)));
    assert!(!era.restoring(Duration::from_secs(1) + RESTORE_TIME));
}

fn target(id: &str, port: u16) -> Target {
    Target {
        id: id.into(),
        born: None,
        service: "pool".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        slots: 8,
        state: State::Ready,
        cold_left: Duration::ZERO,
    }
}

fn known(registry: &Registry, id: &str) -> bool {
    registry.get(Tag::new(id)).is_some()
}

#[test]
fn targets_that_the_copy_lacks_are_not_gone_and_those_back_in_it_not_alive() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    let (old, new) = (target("old", 1), target("new", 2));
    registry.take(vec![old.clone()], second);
    // The old one ends, the new one comes; then the copy of before.
    registry.take(vec![new.clone()], 2 * second);
    registry.restored(3 * second);
    let changes = registry.take(vec![old.clone()], 3 * second);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(known(&registry, "new") && !known(&registry, "old"));
    // The new one writes its entry again; that of the old one has not lapsed yet.
    let changes = registry.take(vec![old.clone(), new.clone()], 4 * second);
    assert!(changes.is_empty(), "{changes:?}");
    // One that is listed for longer than a dead one's entry lives is alive.
    registry.take(vec![old, new], 3 * second + LAPSE);
    assert!(known(&registry, "old"));
}

/// The list that shows that the store came back was asked for before that was known.
#[test]
fn the_first_list_of_the_copy_brings_nothing_back_either() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    registry.take(vec![target("old", 1), target("new", 2)], second);
    registry.take(vec![target("new", 2)], 2 * second);
    let as_of = 3 * second;
    registry.restored(as_of + second / 10);
    let changes = registry.take(vec![target("old", 1)], as_of);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(known(&registry, "new") && !known(&registry, "old"));
}

#[test]
fn a_target_that_is_not_written_again_within_the_time_of_return_has_ended() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1), target("b", 2)], second);
    registry.restored(2 * second);
    let step = OUTAGE / 2;
    registry.take(vec![target("a", 1)], 2 * second + step);
    assert!(known(&registry, "b"));
    registry.take(vec![target("a", 1)], 2 * second + RETURN_TIME);
    assert!(!known(&registry, "b"));
}

#[test]
fn a_peer_that_read_before_the_store_came_back_does_not_end_what_the_copy_lacks() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1), target("b", 2)], second);
    registry.restored(2 * second);
    registry.take_settled(vec![target("a", 1), target("b", 2)], 2 * second);
    registry.take(vec![target("a", 1)], 2 * second + second / 2);
    assert!(known(&registry, "b"));
}

#[test]
fn a_target_that_leaves_stays_so_though_the_copy_says_that_it_is_ready() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    let mut leaving = target("a", 1);
    leaving.state = State::Leaving;
    registry.take(vec![leaving], second);
    registry.restored(2 * second);
    registry.take(vec![target("a", 1)], 2 * second);
    let state = registry.get(Tag::new("a")).map(|it| it.state);
    assert_eq!(state, Some(State::Leaving));
}

fn quarantined(content: Digest) -> Ledger {
    let mut ledger = Ledger::new();
    for target in 0..3 {
        let finding = Finding {
            content,
            target: Tag(target),
            resolution: Resolution::Ended,
        };
        ledger.apply(finding, Duration::ZERO);
    }
    ledger
}

#[test]
fn a_quarantine_that_the_copy_lacks_is_written_again_and_one_that_was_ended_is_dropped() {
    let now = Duration::from_secs(1);
    let content = Digest(5);
    let mut ledger = quarantined(content);
    let stored: Vec<Entry> = ledger.entries(now).collect();
    assert!(ledger.missing_from(&stored, now).is_empty(), "all is kept");
    assert_eq!(ledger.missing_from(&[], now), stored, "the copy lacks it");
    ledger.record_answer(content.tag(), now);
    let dropped = ledger.missing_from(&stored, now);
    assert_eq!(dropped.len(), 1, "the copy keeps what was ended");
    assert!(dropped[0].ends.is_empty());
    assert!(
        ledger.missing_from(&[], now).is_empty(),
        "nothing is to be dropped"
    );
}
