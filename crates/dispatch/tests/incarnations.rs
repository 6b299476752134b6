//! Targets that restart under the same identity, and entries that cannot be read.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::registry::{Change, INCARNATION_RETENTION, Listing, OUTAGE_GAP, Registry};
use dunlinward_dispatch::target::{State, Target};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The server `id` that started at `born` and listens on `port`.
fn target(id: &str, born: u64, port: u16) -> Target {
    Target {
        id: id.into(),
        born: Some(born),
        service: "pool".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        slots: 10,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: None,
    }
}

fn leaving(mut target: Target) -> Target {
    target.state = State::Leaving;
    target
}

fn unreadable(targets: Vec<Target>, id: &str) -> Listing {
    Listing {
        targets,
        unreadable: vec![id.into()],
    }
}

/// Identity and start time of the targets that may get new work.
fn usable(registry: &Registry) -> Vec<(Arc<str>, Option<u64>)> {
    let ready = registry.targets_of_service("pool").iter();
    let ready = ready.filter(|it| it.state == State::Ready);
    ready.map(|it| (it.id.clone(), it.born)).collect()
}

fn only(id: &str, born: u64) -> Vec<(Arc<str>, Option<u64>)> {
    vec![(id.into(), Some(born))]
}

/// A server crashed and restarted between two reads of the list, at the same address or at another
/// one.
#[test]
fn a_new_incarnation_is_a_new_target_and_ends_the_earlier_one() {
    for port in [1, 2] {
        let mut registry = Registry::new();
        registry.apply_list(vec![target("a", 1_000, 1)], ms(0));
        let changes = registry.apply_list(vec![target("a", 2_000, port)], ms(900));
        assert_eq!(changes.len(), 2, "{changes:?}");
        let old = Arc::new(target("a", 1_000, 1));
        let new = Arc::new(target("a", 2_000, port));
        assert!(changes.contains(&Change::Ended(old)));
        assert!(changes.contains(&Change::Added(new)));
        assert_eq!(usable(&registry), only("a", 2_000));
    }
}

/// A leaving target never becomes ready again, but a new incarnation is another target.
#[test]
fn a_restarted_server_is_usable_at_once_after_leaving() {
    let mut registry = Registry::new();
    registry.apply_list(vec![leaving(target("a", 1_000, 1))], ms(0));
    registry.apply_list(vec![target("a", 1_000, 1)], ms(500));
    assert_eq!(usable(&registry), []);
    registry.apply_list(vec![target("a", 2_000, 1)], ms(900));
    assert_eq!(usable(&registry), only("a", 2_000));
}

/// Information about an earlier incarnation arrives late: from a peer with an older view, or from a
/// store that answers with stale data.
#[test]
fn an_older_incarnation_after_a_newer_one_changes_nothing() {
    for settled in [false, true] {
        let mut registry = Registry::new();
        registry.apply_list(vec![target("a", 2_000, 1)], ms(0));
        let late = vec![leaving(target("a", 1_000, 2))];
        let changes = if settled {
            registry.apply_settled_list(late, ms(900))
        } else {
            registry.apply_list(late, ms(900))
        };
        assert_eq!(changes, []);
        assert_eq!(usable(&registry), only("a", 2_000));
    }
}

/// The newer incarnation has ended meanwhile: the older one does not take its place.
#[test]
fn an_older_incarnation_is_ignored_after_the_newer_one_has_ended() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 2_000, 1)], ms(0));
    registry.apply_list(Vec::new(), ms(900));
    let changes = registry.apply_list(vec![target("a", 1_000, 1)], ms(1_800));
    assert_eq!(changes, []);
    assert_eq!(usable(&registry), []);
    assert!(INCARNATION_RETENTION > ms(1_800));
}

/// A server's clock was set back before it restarted: the server is not excluded forever.
#[test]
fn a_seemingly_older_incarnation_is_accepted_once_the_newer_one_is_forgotten() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 2_000, 1)], ms(0));
    let seconds = INCARNATION_RETENTION.as_secs();
    for second in 1..seconds {
        registry.apply_list(vec![target("a", 1_000, 1)], Duration::from_secs(second));
        assert_eq!(usable(&registry), only("a", 2_000));
    }
    registry.apply_list(vec![target("a", 1_000, 1)], INCARNATION_RETENTION);
    assert_eq!(usable(&registry), only("a", 1_000));
}

/// A server restarts at another address while the store is unavailable: its earlier incarnation is
/// not retained as targets that may reappear are.
#[test]
fn after_an_outage_an_earlier_incarnation_is_not_retained_beside_the_next() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1_000, 1), target("b", 1_000, 2)], ms(0));
    registry.apply_list(vec![target("a", 2_000, 3)], OUTAGE_GAP + ms(1));
    let incarnations = registry.targets_of_service("pool").iter();
    let incarnations: Vec<_> = incarnations.map(|it| (it.id.as_ref(), it.born)).collect();
    assert_eq!(incarnations, [("a", Some(2_000)), ("b", Some(1_000))]);
}

/// A target reports its restart before its entry does.
#[test]
fn a_superseded_incarnation_gets_no_new_work() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1_000, 1)], ms(0));
    let old = Arc::new(target("a", 1_000, 1));
    assert_eq!(
        registry.supersede("a", 2_000, ms(300)),
        Some(Change::Ended(old))
    );
    assert_eq!(registry.supersede("a", 1_000, ms(300)), None);
    assert_eq!(
        registry.apply_list(vec![target("a", 1_000, 1)], ms(900)),
        []
    );
    assert_eq!(usable(&registry), []);
    registry.apply_list(vec![target("a", 2_000, 1)], ms(1_800));
    assert_eq!(usable(&registry), only("a", 2_000));
}

#[test]
fn lists_with_different_incarnations_of_a_server_differ() {
    let mut one = Registry::new();
    let mut other = Registry::new();
    one.apply_list(vec![target("a", 1_000, 1)], ms(0));
    other.apply_list(vec![target("a", 2_000, 1)], ms(0));
    assert_ne!(one.digest(), other.digest());
}

/// On platforms where each incarnation has an identity of its own, entries have no start time.
#[test]
fn a_target_without_a_start_time_is_unchanged_by_the_next_list() {
    let mut registry = Registry::new();
    let plain = Target {
        born: None,
        ..target("a", 0, 1)
    };
    registry.apply_list(vec![plain.clone()], ms(0));
    assert_eq!(registry.apply_list(vec![plain], ms(900)), []);
    assert_eq!(usable(&registry), [("a".into(), None)]);
}

/// Another writer has overwritten an entry: its target gets no new work, and requests running there
/// continue, until the entry can be read again or is gone.
#[test]
fn an_entry_that_becomes_unreadable_suspends_its_target() {
    let mut registry = Registry::new();
    let both = || vec![target("a", 1_000, 1), target("b", 1_000, 2)];
    registry.apply_list(both(), ms(0));
    let overwritten = unreadable(vec![target("b", 1_000, 2)], "a");
    let changes = registry.apply_list(overwritten.clone(), ms(900));
    assert!(matches!(&changes[..], [Change::Suspended(it)] if it.id.as_ref() == "a"));
    assert_eq!(usable(&registry), only("b", 1_000));
    assert_eq!(registry.apply_list(overwritten, ms(1_800)), []);
    assert!(registry.get(target("a", 1_000, 1).tag()).is_some());
    let changes = registry.apply_list(both(), ms(2_700));
    assert!(matches!(&changes[..], [Change::Added(it)] if it.id.as_ref() == "a"));
    assert_eq!(usable(&registry).len(), 2);
    let unknown = unreadable(both(), "c");
    assert_eq!(registry.apply_list(unknown, ms(3_600)), []);
    let removed = registry.apply_list(vec![target("b", 1_000, 2)], ms(4_500));
    assert!(matches!(&removed[..], [Change::Ended(it)] if it.id.as_ref() == "a"));
}

/// A drain that was announced stays in effect: the entry was overwritten with unreadable data, and
/// then written again in its earlier state.
#[test]
fn a_leaving_target_stays_leaving_although_its_entry_was_unreadable() {
    let mut registry = Registry::new();
    registry.apply_list(vec![leaving(target("a", 1_000, 1))], ms(0));
    registry.apply_list(unreadable(Vec::new(), "a"), ms(900));
    registry.apply_list(vec![target("a", 1_000, 1)], ms(1_800));
    assert_eq!(usable(&registry), []);
    assert_eq!(registry.targets_of_service("pool")[0].state, State::Leaving);
}
