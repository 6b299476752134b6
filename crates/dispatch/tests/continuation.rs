//! Streams that continue only at the software version that began them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bincode::config::standard;
use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::continuation::{
    Answer, Binding, Ledger, MAX_RESENT_AGE, Note, Origin, RETENTION, Report, Stream,
};
use dunlinward_dispatch::member::{Condition, Descriptor, Members};
use dunlinward_dispatch::registry::{Delta, Difference, Registry};
use dunlinward_dispatch::target::{State, Target, Version};
use dunlinward_dispatch::usage::Peer;

const V1: Version = Version(1);
const V2: Version = Version(2);
const SECOND: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(100);

fn pool() -> ServiceTag {
    ServiceTag::new("pool")
}

fn note(stream: u64, version: Version) -> Note {
    Note {
        stream: Stream(stream),
        service: pool(),
        version,
        age: Duration::ZERO,
    }
}

fn target(number: u16, version: Option<&str>) -> Target {
    Target {
        id: format!("i-{number}").into(),
        born: None,
        service: "pool".into(),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        domain: "a".into(),
        slots: 8,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: version.map(Into::into),
    }
}

fn router(number: u16) -> Descriptor {
    Descriptor {
        address: SocketAddr::from(([10, 1, 0, 1], number)),
        peer: Peer(u64::from(number)),
        domain: format!("d-{}", number % 3).into(),
        millicores: 250,
    }
}

fn members(count: u16) -> Members {
    let mut members = Members::new(router(0));
    for number in 1..count {
        members.upsert(&router(number), Condition::Healthy, START);
    }
    members
}

#[test]
fn streams_of_other_customers_services_and_attempts_are_told_apart() {
    let stream = Stream::new("pool", Some("c-1"), "a1");
    assert_eq!(stream, Stream::new("pool", Some("c-1"), "a1"));
    for other in [
        Stream::new("pool", Some("c-2"), "a1"),
        Stream::new("pool", None, "a1"),
        Stream::new("other", Some("c-1"), "a1"),
        Stream::new("pool", Some("c-1"), "a2"),
    ] {
        assert_ne!(stream, other);
    }
}

#[test]
fn a_stream_is_bound_to_the_version_that_sends_its_first_event() {
    let both = [Some(V1), Some(V2)];
    let bound = Binding::of_first_event(Some(V1), &both);
    assert!(bound.admits(Some(V1)));
    assert!(!bound.admits(Some(V2)));
    assert!(!bound.admits(None));
    let unknown = Binding::of_first_event(None, &[None, Some(V1)]);
    assert_eq!(unknown, Binding::Unknown);
    assert!(!unknown.admits(None));
    assert_eq!(Binding::of_first_event(None, &[None]), Binding::Free);
}

#[test]
fn origins_are_kept_for_a_time_and_an_id_used_twice_has_none() {
    let mut ledger = Ledger::default();
    ledger.record_own(note(1, V1), START);
    ledger.record_note(note(2, V2), START);
    ledger.record_note(note(1, V1), START + SECOND);
    ledger.record_note(note(2, V1), START + SECOND);
    assert_eq!(ledger.origin(Stream(1), START + SECOND), Origin::Known(V1));
    assert_eq!(ledger.origin(Stream(2), START + SECOND), Origin::Ambiguous);
    assert_eq!(ledger.origin(Stream(3), START + SECOND), Origin::Unknown);
    assert_eq!(ledger.origin(Stream(1), START + RETENTION), Origin::Unknown);
    ledger.prune(START + RETENTION);
    assert!(ledger.is_empty());
}

#[test]
fn a_note_that_comes_late_is_kept_no_longer() {
    let mut ledger = Ledger::default();
    let late = Note {
        age: RETENTION.saturating_sub(SECOND),
        ..note(1, V1)
    };
    ledger.record_note(late, START);
    assert_eq!(ledger.origin(Stream(1), START), Origin::Known(V1));
    assert_eq!(ledger.origin(Stream(1), START + SECOND), Origin::Unknown);
}

#[test]
fn the_oldest_streams_are_dropped_when_there_are_too_many() {
    let mut ledger = Ledger::default();
    for stream in 0..40_000 {
        ledger.record_note(note(stream, V1), START);
    }
    assert_eq!(ledger.len(), 1 << 15);
    assert_eq!(ledger.origin(Stream(0), START), Origin::Unknown);
    assert_eq!(ledger.origin(Stream(39_999), START), Origin::Known(V1));
}

#[test]
fn notes_go_once_to_each_keeper_of_a_recent_own_stream_of_a_mixed_service() {
    let mut ledger = Ledger::default();
    ledger.record_own(note(1, V1), START);
    ledger.record_note(note(2, V1), START);
    let keepers = |_| vec![Peer(1), Peer(2)];
    assert!(ledger.take_unsent(&[], START, keepers).is_empty());
    let unsent = ledger.take_unsent(&[pool()], START, keepers);
    let to: BTreeSet<_> = unsent.keys().copied().collect();
    assert_eq!(to, BTreeSet::from([Peer(1), Peer(2)]));
    assert_eq!(unsent[&Peer(1)], [note(1, V1)]);
    assert!(ledger.take_unsent(&[pool()], START, keepers).is_empty());
    let changed = |_| vec![Peer(2), Peer(3)];
    let unsent = ledger.take_unsent(&[pool()], START, changed);
    assert_eq!(unsent.keys().copied().collect::<Vec<_>>(), [Peer(3)]);
    let late = START + MAX_RESENT_AGE + SECOND;
    assert!(ledger.take_unsent(&[pool()], late, keepers).is_empty());
}

#[test]
fn keepers_are_spread_over_failure_domains_and_few_change_with_a_router() {
    let mut members = members(9);
    let keepers = |members: &Members, key| -> Vec<Descriptor> {
        members.keepers(key).into_iter().cloned().collect()
    };
    let before: Vec<_> = (0..300).map(|key| keepers(&members, key)).collect();
    for keepers in &before {
        let domains: BTreeSet<_> = keepers.iter().map(|it| it.domain.clone()).collect();
        assert_eq!(domains.len(), 3);
    }
    let digest = members.keepers_digest();
    members.remove(&router(4));
    assert_ne!(members.keepers_digest(), digest);
    for (key, before) in (0..300).zip(&before) {
        let kept = before.iter().any(|it| it.peer == Peer(4));
        assert_eq!(keepers(&members, key) != *before, kept);
    }
}

#[test]
fn routers_that_shut_down_are_no_keepers_and_a_single_domain_has_three() {
    let mut members = Members::new(router(0));
    for number in [3, 6, 9, 12] {
        members.upsert(&router(number), Condition::Healthy, START);
    }
    members.upsert(&router(6), Condition::Leaving, START);
    for key in 0..100 {
        let keepers = members.keepers(key);
        assert_eq!(keepers.len(), 3);
        assert!(keepers.iter().all(|it| it.peer != Peer(6)));
    }
}

#[test]
fn corrupted_notes_and_answers_are_not_plausible() {
    let report = Report::new(vec![note(1, V1), note(2, V2)]);
    assert!(report.plausible());
    let bytes = bincode::serde::encode_to_vec(&report, standard()).unwrap();
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        let decoded = bincode::serde::decode_from_slice::<Report, _>(&changed, standard());
        let same = |it: &Report| {
            it.notes()
                .iter()
                .zip(report.notes())
                .all(|(a, b)| (a.stream, a.service, a.version) == (b.stream, b.service, b.version))
        };
        assert!(decoded.is_err() || decoded.is_ok_and(|(it, _)| !it.plausible() || same(&it)));
    }
    let answer = Answer::new(Stream(1), Origin::Known(V1));
    assert!(answer.plausible());
    let mut other = answer;
    other.origin = Origin::Known(V2);
    assert!(!other.plausible());
}

#[test]
fn a_version_counts_for_a_time_after_its_last_target_has_ended() {
    let mut registry = Registry::new();
    let versions = |registry: &Registry, at| registry.versions(pool(), at).len();
    let targets = vec![target(1, Some("v1")), target(2, Some("v2"))];
    registry.apply_list(targets, START);
    assert_eq!(versions(&registry, START), 2);
    assert_eq!(registry.mixed_services(START), [pool()]);
    let delta = Delta {
        dropped: vec!["i-1".into()],
        ..Delta::default()
    };
    registry.apply_delta(delta, START + SECOND);
    assert_eq!(versions(&registry, START + RETENTION), 2);
    let after = START + SECOND + RETENTION;
    assert_eq!(versions(&registry, after), 1);
    assert!(registry.mixed_services(after).is_empty());
    registry.record_version(pool(), Version::new("v0"), after);
    assert_eq!(versions(&registry, after), 2);
}

#[test]
fn lists_of_an_earlier_release_leave_known_versions_and_show_that_others_are_unknown() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target(1, Some("v1"))], START);
    assert!(!registry.lacks_versions());
    let list = vec![target(1, None), target(2, None)];
    registry.apply_list(list, START + SECOND);
    let version = |id| {
        let known = registry.targets().find(|it| it.id.as_ref() == id);
        known.unwrap().version.clone()
    };
    assert_eq!(version("i-1").as_deref(), Some("v1"));
    assert_eq!(version("i-2"), None);
    assert!(registry.lacks_versions());
    assert_eq!(registry.versions(pool(), START + SECOND).len(), 2);
}

#[test]
fn versions_travel_apart_from_the_targets_that_earlier_releases_decode() {
    let mut registry = Registry::new();
    let targets = vec![
        target(1, Some("v1")),
        target(2, Some("v2")),
        target(3, Some("v1")),
    ];
    registry.apply_list(targets.clone(), START);
    let difference = registry.difference_from(&Registry::new().checksums());
    let versions = difference.versions();
    let encode = |target| bincode::serde::encode_to_vec(target, standard()).unwrap();
    assert_eq!(encode(&targets[0]), encode(&target(1, None)));
    let bytes = bincode::serde::encode_to_vec(&difference, standard()).unwrap();
    let decoded = bincode::serde::decode_from_slice::<Difference, _>(&bytes, standard());
    let (decoded, _) = decoded.unwrap();
    assert!(decoded.targets().iter().all(|it| it.version.is_none()));
    let decoded = decoded.with_versions(&versions);
    let mut received = decoded.targets().to_vec();
    received.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(received, targets);
}
