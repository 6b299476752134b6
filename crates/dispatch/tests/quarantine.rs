//! Contents under which targets end: what is held against them, and what clears them.

use std::time::Duration;

use dunlinward_dispatch::cell::{Cell, ServiceTag};
use dunlinward_dispatch::content::{Address, Digest};
use dunlinward_dispatch::copies::{Answered, Copies};
use dunlinward_dispatch::cuts::Cuts;
use dunlinward_dispatch::quarantine::{
    Change, Fate, Finding, HOLD, Ledger, OPEN, QUARANTINED, SUSPECT, Standing,
};
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::target::Tag;

const START: Duration = Duration::from_secs(100);

fn content(number: u128) -> Digest {
    Digest(number)
}

fn found(number: u128, target: u32, fate: Fate) -> Finding {
    Finding {
        content: content(number),
        target: Tag(target),
        fate,
    }
}

/// A ledger that has heard of so many targets that ended under a content.
fn charged(number: u128, ends: u32) -> Ledger {
    let mut ledger = Ledger::new();
    for target in 0..ends {
        ledger.take(found(number, target, Fate::Ended), START);
    }
    ledger
}

#[test]
fn a_content_is_kept_apart_after_two_ends_and_not_sent_after_three() {
    let mut ledger = Ledger::new();
    let mut steps = Vec::new();
    for target in 0..3 {
        let change = ledger.take(found(1, target, Fate::Ended), START);
        steps.push((change, ledger.standing(content(1), START)));
    }
    assert_eq!(
        steps,
        [
            (Some(Change::Charged(1)), Standing::Free),
            (Some(Change::Charged(SUSPECT)), Standing::Suspect),
            (
                Some(Change::Quarantined(QUARANTINED)),
                Standing::Quarantined(HOLD)
            ),
        ]
    );
    assert_eq!(ledger.standing(content(2), START), Standing::Free);
}

#[test]
fn one_target_counts_once_however_many_runs_end_with_it() {
    let mut ledger = Ledger::new();
    for _ in 0..5 {
        ledger.take(found(1, 7, Fate::Open), START);
        ledger.take(found(1, 7, Fate::Ended), START);
    }
    assert_eq!(ledger.standing(content(1), START), Standing::Free);
}

#[test]
fn an_answer_clears_a_content_whatever_ended_before() {
    let mut ledger = charged(1, 3);
    assert_eq!(
        ledger.answered(content(1).tag(), START),
        Some(Change::Cleared)
    );
    assert_eq!(ledger.standing(content(1), START), Standing::Free);
    ledger.take(found(1, 9, Fate::Ended), START);
    assert_eq!(ledger.standing(content(1), START), Standing::Free);
}

#[test]
fn an_open_run_counts_until_its_target_is_found_alive_or_for_a_time() {
    let mut ledger = charged(1, 2);
    ledger.take(found(1, 8, Fate::Open), START);
    assert_eq!(ledger.standing(content(1), START), Standing::Held);
    let later = START + OPEN;
    assert_eq!(ledger.standing(content(1), later), Standing::Suspect);
    ledger.take(found(1, 8, Fate::Alive), START);
    assert_eq!(ledger.standing(content(1), START), Standing::Suspect);
}

#[test]
fn a_quarantine_ends_with_a_trial_and_each_failed_trial_makes_it_longer() {
    let mut ledger = charged(1, 3);
    let trial = START + HOLD;
    assert_eq!(ledger.standing(content(1), trial), Standing::Suspect);
    let change = ledger.take(found(1, 3, Fate::Ended), trial);
    assert_eq!(change, Some(Change::Quarantined(4)));
    let Standing::Quarantined(left) = ledger.standing(content(1), trial) else {
        panic!("it is held again");
    };
    assert!(left > HOLD * 4);
    let day = START + Duration::from_hours(24);
    ledger.prune(day);
    assert!(matches!(
        ledger.standing(content(1), trial + HOLD),
        Standing::Quarantined(_)
    ));
}

#[test]
fn routers_that_tell_each_other_come_to_the_same_sum_in_any_order() {
    let mut first = charged(1, 2);
    let mut second = Ledger::new();
    for target in [1, 2] {
        second.take(found(1, target, Fate::Ended), START);
    }
    second.take(found(2, 5, Fate::Ended), START);
    let [of_first, of_second]: [Vec<_>; 2] =
        [&first, &second].map(|it| it.entries(START).collect());
    // One end is the owner's alone to know.
    assert_eq!(of_second.len(), 1);
    for entry in &of_second {
        first.join(entry, START);
    }
    for entry in &of_first {
        second.join(entry, START);
        assert_eq!(second.join(entry, START), None, "it was known");
    }
    assert_eq!(first.digest(), second.digest());
    assert_ne!(first.digest(), 0);
    assert!(matches!(
        first.standing(content(1), START),
        Standing::Quarantined(_)
    ));
}

#[test]
fn who_was_away_while_a_content_was_cleared_does_not_bring_its_ends_back() {
    let away = charged(1, 3);
    let mut here = charged(1, 3);
    here.answered(content(1).tag(), START);
    let old: Vec<_> = away.entries(START).collect();
    for entry in &old {
        assert_eq!(here.join(entry, START), None);
    }
    assert_eq!(here.standing(content(1), START), Standing::Free);
    let mut away = away;
    let news: Vec<_> = here.entries(START).collect();
    for entry in &news {
        assert_eq!(away.join(entry, START), Some(Change::Cleared));
    }
    assert_eq!(away.digest(), here.digest());
}

#[test]
fn what_is_remembered_is_bounded_and_the_worst_is_kept_longest() {
    let mut ledger = charged(1, 3);
    for number in 2..20_000 {
        ledger.take(found(number, 1, Fate::Ended), START);
    }
    assert!(matches!(
        ledger.standing(content(1), START),
        Standing::Quarantined(_)
    ));
    ledger.prune(START + Duration::from_hours(2));
    assert_eq!(ledger.quarantined(START), 1);
}

#[test]
fn a_short_name_of_another_content_accuses_nobody() {
    let other = Digest((1 << 64) + 1);
    assert_eq!(other.tag(), content(1).tag());
    let mut ledger = charged(1, 3);
    assert_eq!(ledger.standing(other, START), Standing::Free);
    let finding = Finding {
        content: other,
        ..found(1, 9, Fate::Ended)
    };
    assert_eq!(ledger.take(finding, START), None);
}

#[test]
fn the_digest_tells_customers_paths_and_bodies_apart_and_nothing_else() {
    let address = Address {
        method: "POST",
        host: "h.example",
        path: "/a",
    };
    let digest = Digest::new(address, Some("c-1"), b"body");
    assert_eq!(digest, Digest::new(address, Some("c-1"), b"body"));
    let path = Address {
        path: "/ac-1",
        ..address
    };
    let others = [
        Digest::new(address, Some("c-2"), b"body"),
        Digest::new(address, None, b"body"),
        Digest::new(address, Some("c-1"), b"bodies"),
        Digest::new(path, None, b"body"),
    ];
    for other in others {
        assert_ne!(digest, other);
    }
}

#[test]
fn copies_of_a_content_are_known_by_where_they_run_until_the_last_has_ended() {
    let mut copies = Copies::new();
    let content = content(1).tag();
    copies.begin(content, Tag(1), START);
    copies.begin(content, Tag(1), START);
    copies.end(content, Tag(1));
    assert_eq!(copies.target(content), Some(Tag(1)));
    assert_eq!(copies.at(Tag(1)).collect::<Vec<_>>(), [content]);
    // An end at another target is of an older run.
    copies.end(content, Tag(2));
    assert_eq!(copies.target(content), Some(Tag(1)));
    copies.end(content, Tag(1));
    assert_eq!(copies.target(content), None);
    copies.begin(content, Tag(3), START);
    copies.prune(START + Duration::from_mins(1));
    assert_eq!(copies.target(content), None);
}

#[test]
fn answers_are_remembered_for_thousands_of_contents() {
    let mut answered = Answered::new();
    for number in 0..6_000 {
        answered.note(content(number));
    }
    assert!(answered.contains(content(5_999)));
    assert!(answered.contains(content(4_000)));
    assert!(!answered.contains(content(0)));
    answered.forget(content(5_999));
    assert!(!answered.contains(content(5_999)));
}

#[test]
fn the_fate_of_a_target_settles_all_its_runs_and_is_told_three_times() {
    let cell = Cell {
        service: ServiceTag::new("pool"),
        region: Region::default(),
        index: 0,
    };
    let mut cuts = Cuts::new();
    for number in 1..=2 {
        let told = cuts.note(content(number), Tag(1), cell, START);
        assert_eq!(told.finding.fate, Fate::Open);
    }
    cuts.note(content(3), Tag(2), cell, START);
    assert_eq!(cuts.settle(Tag(1), Fate::Ended).len(), 2);
    assert!(cuts.settle(Tag(1), Fate::Alive).is_empty());
    let settled = |told: Vec<_>| {
        let told = told.into_iter();
        told.filter(|it: &dunlinward_dispatch::cuts::Telling| it.finding.fate == Fate::Ended)
            .count()
    };
    let told: Vec<_> = (0..4).map(|_| settled(cuts.again(START))).collect();
    assert_eq!(told, [2, 2, 0, 0]);
    assert!(cuts.open(Tag(2)));
    cuts.again(START + OPEN);
    assert!(!cuts.open(Tag(2)));
}

/// Two contents ran beside each other at two ends; the third of one of them explains all three.
#[test]
fn who_ran_beside_a_quarantined_content_is_free_again() {
    let mut ledger = charged(1, 2);
    for target in 0..2 {
        ledger.take(found(2, target, Fate::Ended), START);
    }
    assert_eq!(ledger.standing(content(2), START), Standing::Suspect);
    ledger.take(found(1, 2, Fate::Ended), START);
    assert_eq!(ledger.standing(content(2), START), Standing::Free);
    // And what ends with it later is not held against who was there.
    for target in 2..4 {
        ledger.take(found(2, target, Fate::Ended), START);
    }
    assert_eq!(ledger.standing(content(2), START), Standing::Free);
}
