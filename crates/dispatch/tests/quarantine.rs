//! Quarantine of contents that terminate targets: counting of terminations, clearing, sharing.

use std::time::Duration;

use dunlinward_dispatch::cell::{Cell, ServiceTag};
use dunlinward_dispatch::content::{Digest, Endpoint};
use dunlinward_dispatch::inflight::{Answered, InFlight};
use dunlinward_dispatch::interruptions::Interruptions;
use dunlinward_dispatch::quarantine::{
    Change, FIRST_HOLD, Finding, Ledger, OPEN_TIMEOUT, QUARANTINE_ENDS, Resolution, SUSPECT_ENDS,
    Status,
};
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::target::Tag;

const START: Duration = Duration::from_secs(100);

fn content(number: u128) -> Digest {
    Digest(number)
}

fn finding(number: u128, target: u32, resolution: Resolution) -> Finding {
    Finding {
        content: content(number),
        target: Tag(target),
        resolution,
    }
}

/// A ledger with `ends` targets that terminated under a content.
fn ledger_with_ends(number: u128, ends: u32) -> Ledger {
    let mut ledger = Ledger::new();
    for target in 0..ends {
        ledger.apply(finding(number, target, Resolution::Ended), START);
    }
    ledger
}

#[test]
fn two_ends_make_a_content_suspect_and_three_quarantine_it() {
    let mut ledger = Ledger::new();
    let mut steps = Vec::new();
    for target in 0..3 {
        let change = ledger.apply(finding(1, target, Resolution::Ended), START);
        steps.push((change, ledger.status(content(1), START)));
    }
    assert_eq!(
        steps,
        [
            (Some(Change::EndRecorded(1)), Status::Free),
            (Some(Change::EndRecorded(SUSPECT_ENDS)), Status::Suspect),
            (
                Some(Change::Quarantined(QUARANTINE_ENDS)),
                Status::Quarantined(FIRST_HOLD)
            ),
        ]
    );
    assert_eq!(ledger.status(content(2), START), Status::Free);
}

#[test]
fn a_target_counts_once_for_all_its_runs() {
    let mut ledger = Ledger::new();
    for _ in 0..5 {
        ledger.apply(finding(1, 7, Resolution::Open), START);
        ledger.apply(finding(1, 7, Resolution::Ended), START);
    }
    assert_eq!(ledger.status(content(1), START), Status::Free);
}

#[test]
fn an_answer_clears_a_content() {
    let mut ledger = ledger_with_ends(1, 3);
    assert_eq!(
        ledger.record_answer(content(1).tag(), START),
        Some(Change::Cleared)
    );
    assert_eq!(ledger.status(content(1), START), Status::Free);
    ledger.apply(finding(1, 9, Resolution::Ended), START);
    assert_eq!(ledger.status(content(1), START), Status::Free);
}

#[test]
fn an_open_run_counts_until_its_target_is_found_alive_or_it_times_out() {
    let mut ledger = ledger_with_ends(1, 2);
    ledger.apply(finding(1, 8, Resolution::Open), START);
    assert_eq!(ledger.status(content(1), START), Status::Held);
    let later = START + OPEN_TIMEOUT;
    assert_eq!(ledger.status(content(1), later), Status::Suspect);
    ledger.apply(finding(1, 8, Resolution::Alive), START);
    assert_eq!(ledger.status(content(1), START), Status::Suspect);
}

#[test]
fn each_failed_trial_lengthens_a_quarantine() {
    let mut ledger = ledger_with_ends(1, 3);
    let trial = START + FIRST_HOLD;
    assert_eq!(ledger.status(content(1), trial), Status::Suspect);
    let change = ledger.apply(finding(1, 3, Resolution::Ended), trial);
    assert_eq!(change, Some(Change::Quarantined(4)));
    let Status::Quarantined(left) = ledger.status(content(1), trial) else {
        panic!("the content is not quarantined after a failed trial");
    };
    assert!(left > FIRST_HOLD * 4);
    let day = START + Duration::from_hours(24);
    ledger.prune(day);
    assert!(matches!(
        ledger.status(content(1), trial + FIRST_HOLD),
        Status::Quarantined(_)
    ));
}

#[test]
fn routers_that_merge_each_others_entries_reach_the_same_digest() {
    let mut first = ledger_with_ends(1, 2);
    let mut second = Ledger::new();
    for target in [1, 2] {
        second.apply(finding(1, target, Resolution::Ended), START);
    }
    second.apply(finding(2, 5, Resolution::Ended), START);
    let [of_first, of_second]: [Vec<_>; 2] =
        [&first, &second].map(|it| it.entries(START).collect());
    // A content with one termination is not shared.
    assert_eq!(of_second.len(), 1);
    for entry in &of_second {
        first.merge(entry, START);
    }
    for entry in &of_first {
        second.merge(entry, START);
        assert_eq!(
            second.merge(entry, START),
            None,
            "the entry was merged before"
        );
    }
    assert_eq!(first.digest(), second.digest());
    assert_ne!(first.digest(), 0);
    assert!(matches!(
        first.status(content(1), START),
        Status::Quarantined(_)
    ));
}

#[test]
fn an_outdated_entry_does_not_restore_the_ends_of_a_cleared_content() {
    let outdated = ledger_with_ends(1, 3);
    let mut current = ledger_with_ends(1, 3);
    current.record_answer(content(1).tag(), START);
    let old: Vec<_> = outdated.entries(START).collect();
    for entry in &old {
        assert_eq!(current.merge(entry, START), None);
    }
    assert_eq!(current.status(content(1), START), Status::Free);
    let mut outdated = outdated;
    let new: Vec<_> = current.entries(START).collect();
    for entry in &new {
        assert_eq!(outdated.merge(entry, START), Some(Change::Cleared));
    }
    assert_eq!(outdated.digest(), current.digest());
}

#[test]
fn the_record_limit_evicts_contents_with_the_fewest_ends() {
    let mut ledger = ledger_with_ends(1, 3);
    for number in 2..20_000 {
        ledger.apply(finding(number, 1, Resolution::Ended), START);
    }
    assert!(matches!(
        ledger.status(content(1), START),
        Status::Quarantined(_)
    ));
    ledger.prune(START + Duration::from_hours(2));
    assert_eq!(ledger.quarantined_count(START), 1);
}

#[test]
fn contents_with_the_same_tag_are_not_confused() {
    let other = Digest((1 << 64) + 1);
    assert_eq!(other.tag(), content(1).tag());
    let mut ledger = ledger_with_ends(1, 3);
    assert_eq!(ledger.status(other, START), Status::Free);
    let finding = Finding {
        content: other,
        ..finding(1, 9, Resolution::Ended)
    };
    assert_eq!(ledger.apply(finding, START), None);
}

#[test]
fn digests_depend_on_customer_path_and_body() {
    let endpoint = Endpoint {
        method: "POST",
        host: "h.example",
        path: "/a",
    };
    let digest = Digest::new(endpoint, Some("c-1"), b"body");
    assert_eq!(digest, Digest::new(endpoint, Some("c-1"), b"body"));
    let path = Endpoint {
        path: "/ac-1",
        ..endpoint
    };
    let others = [
        Digest::new(endpoint, Some("c-2"), b"body"),
        Digest::new(endpoint, None, b"body"),
        Digest::new(endpoint, Some("c-1"), b"bodies"),
        Digest::new(path, None, b"body"),
    ];
    for other in others {
        assert_ne!(digest, other);
    }
}

#[test]
fn a_content_stays_in_flight_until_its_last_run_ends() {
    let mut in_flight = InFlight::new();
    let content = content(1).tag();
    in_flight.begin(content, Tag(1), START);
    in_flight.begin(content, Tag(1), START);
    in_flight.end(content, Tag(1));
    assert_eq!(in_flight.target(content), Some(Tag(1)));
    assert_eq!(in_flight.contents_on(Tag(1)).collect::<Vec<_>>(), [content]);
    // The end of a run on another target belongs to an earlier run.
    in_flight.end(content, Tag(2));
    assert_eq!(in_flight.target(content), Some(Tag(1)));
    in_flight.end(content, Tag(1));
    assert_eq!(in_flight.target(content), None);
    in_flight.begin(content, Tag(3), START);
    in_flight.prune(START + Duration::from_mins(1));
    assert_eq!(in_flight.target(content), None);
}

#[test]
fn answers_are_recorded_for_thousands_of_contents() {
    let mut answered = Answered::new();
    for number in 0..6_000 {
        answered.record(content(number));
    }
    assert!(answered.contains(content(5_999)));
    assert!(answered.contains(content(4_000)));
    assert!(!answered.contains(content(0)));
    answered.forget(content(5_999));
    assert!(!answered.contains(content(5_999)));
}

#[test]
fn the_state_of_a_target_resolves_all_its_runs_and_is_sent_three_times() {
    let cell = Cell {
        service: ServiceTag::new("pool"),
        region: Region::default(),
        index: 0,
    };
    let mut interruptions = Interruptions::new();
    for number in 1..=2 {
        let report = interruptions.record(content(number), Tag(1), cell, START);
        assert_eq!(report.finding.resolution, Resolution::Open);
    }
    interruptions.record(content(3), Tag(2), cell, START);
    assert_eq!(interruptions.resolve(Tag(1), Resolution::Ended).len(), 2);
    assert!(interruptions.resolve(Tag(1), Resolution::Alive).is_empty());
    let resolved = |sent: Vec<_>| {
        let sent = sent.into_iter();
        sent.filter(|it: &dunlinward_dispatch::interruptions::Report| {
            it.finding.resolution == Resolution::Ended
        })
        .count()
    };
    let sent: Vec<_> = (0..4)
        .map(|_| resolved(interruptions.next_repeats(START)))
        .collect();
    assert_eq!(sent, [2, 2, 0, 0]);
    assert!(interruptions.has_open(Tag(2)));
    interruptions.next_repeats(START + OPEN_TIMEOUT);
    assert!(!interruptions.has_open(Tag(2)));
}

/// Two contents ran together on two targets that terminated. The third termination under one of
/// them quarantines it, so that the other one is released.
#[test]
fn contents_that_ran_beside_a_quarantined_one_are_released() {
    let mut ledger = ledger_with_ends(1, 2);
    for target in 0..2 {
        ledger.apply(finding(2, target, Resolution::Ended), START);
    }
    assert_eq!(ledger.status(content(2), START), Status::Suspect);
    ledger.apply(finding(1, 2, Resolution::Ended), START);
    assert_eq!(ledger.status(content(2), START), Status::Free);
    // The first content explains the terminations of targets 0 to 2, so only that of target 3
    // counts.
    for target in 2..4 {
        ledger.apply(finding(2, target, Resolution::Ended), START);
    }
    assert_eq!(ledger.status(content(2), START), Status::Free);
}
