//! A store restored from a backup some seconds old, and the state that routers keep in spite of it.
//!
//! Fleets of 3, 64 and 300 routers run in virtual time: a few read the store, and every router
//! sends its state to three routers drawn at random in each step of 100 ms.

use std::time::Duration;

use dunlinward_dispatch::content::Digest;
use dunlinward_dispatch::evacuation::{Change, Evacuations, Order};
use dunlinward_dispatch::quarantine::{Entry, Finding, Ledger, Resolution};
use dunlinward_dispatch::registry::{ENTRY_EXPIRY, OUTAGE_GAP, REAPPEARANCE_GRACE, Registry};
use dunlinward_dispatch::store::{Era, Observation, Position, RESTORE_WINDOW};
use dunlinward_dispatch::target::{State, Tag, Target};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SIZES: [usize; 3] = [3, 64, 300];

/// Number of routers that read the store: two in each of three failure domains.
const READERS: usize = 6;

/// Interval between two rounds of gossip.
const STEP: Duration = Duration::from_millis(100);

/// Number of routers to which each router sends its state in one step.
const FANOUT: usize = 3;

/// A store of evacuation orders.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    log: Vec<(&'static str, bool)>,
}

impl Store {
    fn write(&mut self, domain: &'static str, evacuated: bool) {
        self.log.push((domain, evacuated));
    }

    /// Restores the state of `backup`.
    fn restore(&mut self, backup: &Self) {
        self.log.clone_from(&backup.log);
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
    /// Position from which the next read continues.
    next_read: Option<Position>,
    changes: Vec<Change>,
}

impl Router {
    fn read(&mut self, store: &Store, now: Duration) {
        assert_ne!(self.era.observe(store.era, now), Observation::Stale);
        let end = store.position(store.log.len());
        let follows = self.next_read.filter(|it| it.era == store.era);
        let changes = match follows {
            Some(from) if !self.evacuations.has_expired(&self.era, now) => {
                let from = usize::try_from(from.offset).unwrap();
                let orders = (from..store.log.len()).map(|it| store.order(it));
                orders.filter_map(|it| self.evacuations.apply(it)).collect()
            }
            _ => self
                .evacuations
                .apply_list(store.list(), end, &self.era, now),
        };
        self.changes.extend(changes);
        self.next_read = Some(end);
    }

    fn merge(&mut self, other: &Self, now: Duration) {
        if let Some(era) = other.era.newest() {
            self.era.observe(era, now);
        }
        if other.evacuations.digest() != self.evacuations.digest() {
            let orders: Vec<_> = other.evacuations.orders().collect();
            for order in orders.iter().filter(|it| it.evacuated) {
                self.era.observe(order.at.era, now);
            }
            let changes = orders
                .into_iter()
                .filter_map(|it| self.evacuations.apply(it));
            self.changes.extend(changes);
        }
    }
}

struct Fleet {
    routers: Vec<Router>,
    now: Duration,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            routers: vec![Router::default(); size],
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(7),
        }
    }

    /// Advances the time by `time`; `store` is `None` while the store is unavailable, and `reaches`
    /// tells whether the first router can reach the second.
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
                for _ in 0..FANOUT {
                    let to = self.rng.random_range(0..before.len());
                    if reaches(from, to) {
                        self.routers[to].merge(sender, self.now);
                    }
                }
            }
        }
    }

    fn evacuated(&self, domain: &str) -> usize {
        let routers = self.routers.iter();
        routers
            .filter(|it| it.evacuations.is_evacuated(domain))
            .count()
    }
}

fn all_reachable(_: usize, _: usize) -> bool {
    true
}

/// Time after which all routers must know an order: half of the bound of 5 s for evacuations.
const CONVERGENCE_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn an_evacuation_stays_in_force_although_the_backup_lacks_it() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        let backup = store.clone();
        store.write("hall-c", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-c"), size);
        fleet.run(Duration::from_secs(1), None, all_reachable);
        store.restore(&backup);
        for _ in 0..20 {
            fleet.run(STEP, Some(&store), all_reachable);
            assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        }
        // The order is written again 5 s after the restore, and revoked later.
        fleet.run(Duration::from_secs(3), Some(&store), all_reachable);
        store.write("hall-c", true);
        fleet.run(
            RESTORE_WINDOW + CONVERGENCE_TIME,
            Some(&store),
            all_reachable,
        );
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        store.write("hall-c", false);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-c"), 0, "{size} routers");
        let reopened = Change::Reopened("hall-c".into());
        for router in &fleet.routers {
            let times = router.changes.iter().filter(|it| **it == reopened);
            assert_eq!(times.count(), 1, "{size} routers");
        }
    }
}

#[test]
fn an_order_that_is_never_written_again_ends_after_the_restore_window() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        let backup = store.clone();
        store.write("hall-c", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        store.restore(&backup);
        fleet.run(
            RESTORE_WINDOW.saturating_sub(STEP),
            Some(&store),
            all_reachable,
        );
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-c"), 0, "{size} routers");
    }
}

#[test]
fn a_router_that_starts_after_the_restore_learns_the_order_from_its_peers() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        let backup = store.clone();
        store.write("hall-c", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        store.restore(&backup);
        // A reader and another router restart without state.
        fleet.routers[0] = Router::default();
        fleet.routers[size - 1] = Router::default();
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
    }
}

/// The next record after a list lies at the position at which that list ended.
#[test]
fn a_domain_that_a_list_reopened_can_be_evacuated_by_the_next_record() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        store.write("hall-a", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        // The order is revoked while the store is unavailable, and its history is lost.
        store.write("hall-a", false);
        for router in &mut fleet.routers {
            router.next_read = None;
        }
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-a"), 0, "{size} routers");
        store.write("hall-a", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-a"), size, "{size} routers");
    }
}

#[test]
fn evacuations_survive_a_partition_during_an_outage_and_a_restore() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        let mut store = Store::default();
        store.write("hall-b", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        let backup = store.clone();
        store.write("hall-c", true);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        // A third of the routers is partitioned from the others, in the larger fleets without any
        // reader, while the store is unavailable and is then restored.
        let connected = |from: usize, to: usize| (from < size * 2 / 3) == (to < size * 2 / 3);
        fleet.run(Duration::from_secs(2), None, connected);
        store.restore(&backup);
        fleet.run(Duration::from_secs(2), Some(&store), connected);
        assert_eq!(fleet.evacuated("hall-b"), size, "{size} routers");
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
        store.write("hall-c", true);
        store.write("hall-b", false);
        fleet.run(CONVERGENCE_TIME, Some(&store), all_reachable);
        assert_eq!(fleet.evacuated("hall-b"), 0, "{size} routers");
        assert_eq!(fleet.evacuated("hall-c"), size, "{size} routers");
    }
}

#[test]
fn an_answer_of_an_earlier_era_is_stale() {
    let mut era = Era::default();
    assert_eq!(era.observe(3, Duration::ZERO), Observation::Current);
    assert!(
        !era.restoring(Duration::ZERO),
        "the first era observed does not indicate a restore"
    );
    assert_eq!(
        era.observe(4, Duration::from_secs(1)),
        Observation::Restored
    );
    assert_eq!(era.observe(3, Duration::from_secs(2)), Observation::Stale);
    assert_eq!(era.observe(4, Duration::from_secs(2)), Observation::Current);
    assert!(era.restoring(Duration::from_secs(2)));
    assert!(!era.restoring(Duration::from_secs(1) + RESTORE_WINDOW));
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
        version: None,
    }
}

fn known(registry: &Registry, id: &str) -> bool {
    registry.get(Tag::new(id)).is_some()
}

#[test]
fn targets_missing_from_the_backup_are_retained_and_ended_ones_in_it_ignored() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    let (old, new) = (target("old", 1), target("new", 2));
    registry.apply_list(vec![old.clone()], second);
    // The old target ends and the new one is added; then the store is restored from an earlier
    // backup.
    registry.apply_list(vec![new.clone()], 2 * second);
    registry.record_restore(3 * second);
    let changes = registry.apply_list(vec![old.clone()], 3 * second);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(known(&registry, "new") && !known(&registry, "old"));
    // The new target writes its entry again; the entry of the old one has not expired yet.
    let changes = registry.apply_list(vec![old.clone(), new.clone()], 4 * second);
    assert!(changes.is_empty(), "{changes:?}");
    // A target that stays listed for longer than the entry of an ended target takes to expire is
    // alive.
    registry.apply_list(vec![old, new], 3 * second + ENTRY_EXPIRY);
    assert!(known(&registry, "old"));
}

/// The list that reveals the restore was requested before the restore was known.
#[test]
fn the_first_list_of_the_backup_does_not_resurrect_targets_either() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    registry.apply_list(vec![target("old", 1), target("new", 2)], second);
    registry.apply_list(vec![target("new", 2)], 2 * second);
    let as_of = 3 * second;
    registry.record_restore(as_of + second / 10);
    let changes = registry.apply_list(vec![target("old", 1)], as_of);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(known(&registry, "new") && !known(&registry, "old"));
}

#[test]
fn a_target_that_is_not_written_again_within_the_return_time_has_ended() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1), target("b", 2)], second);
    registry.record_restore(2 * second);
    let step = OUTAGE_GAP / 2;
    registry.apply_list(vec![target("a", 1)], 2 * second + step);
    assert!(known(&registry, "b"));
    registry.apply_list(vec![target("a", 1)], 2 * second + REAPPEARANCE_GRACE);
    assert!(!known(&registry, "b"));
}

#[test]
fn a_peer_list_from_before_the_restore_does_not_end_targets_missing_from_the_backup() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1), target("b", 2)], second);
    registry.record_restore(2 * second);
    registry.apply_settled_list(vec![target("a", 1), target("b", 2)], 2 * second);
    registry.apply_list(vec![target("a", 1)], 2 * second + second / 2);
    assert!(known(&registry, "b"));
}

#[test]
fn a_leaving_target_stays_leaving_although_the_backup_lists_it_as_ready() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::new();
    let mut leaving = target("a", 1);
    leaving.state = State::Leaving;
    registry.apply_list(vec![leaving], second);
    registry.record_restore(2 * second);
    registry.apply_list(vec![target("a", 1)], 2 * second);
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
fn a_quarantine_missing_from_the_backup_is_written_again_and_a_lifted_one_in_it_dropped() {
    let now = Duration::from_secs(1);
    let content = Digest(5);
    let mut ledger = quarantined(content);
    let stored: Vec<Entry> = ledger.entries(now).collect();
    assert!(
        ledger.missing_from(&stored, now).is_empty(),
        "all is stored"
    );
    assert_eq!(ledger.missing_from(&[], now), stored, "the backup lacks it");
    ledger.record_answer(content.tag(), now);
    let dropped = ledger.missing_from(&stored, now);
    assert_eq!(
        dropped.len(),
        1,
        "the backup still has the lifted quarantine"
    );
    assert!(dropped[0].ends.is_empty());
    assert!(
        ledger.missing_from(&[], now).is_empty(),
        "nothing is to be dropped"
    );
}
