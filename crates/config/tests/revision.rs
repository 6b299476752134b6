//! The fold over the log: single cases first, then generated logs against a naive reading of the whole log.

mod sample;
mod world;

use dunlinward_config::revision::{
    Apply, Judgement, Ledger, Outcome, Reason, Record, Reset, Restate, Schedule, Stated, Statement,
    due_by_count,
};
use sample::file;
use std::time::Duration;
use world::{Figures, World};

fn apply(id: &str, base: Option<u64>, text: &str) -> String {
    let apply = Apply {
        id: id.into(),
        base,
        author: "ann".into(),
        text: text.into(),
    };
    Record::Apply(apply).encode().unwrap()
}

fn restate(statement: Statement) -> String {
    Record::Restate(Restate {
        id: "restate".into(),
        statement,
    })
    .encode()
    .unwrap()
}

fn void(outcome: Outcome) -> Reason {
    match outcome {
        Outcome::Judged(Judgement {
            void: Some(reason), ..
        }) => reason,
        other => panic!("not void: {other:?}"),
    }
}

fn revision(ledger: &Ledger) -> Option<u64> {
    ledger.accepted().map(|accepted| accepted.revision)
}

#[test]
fn records_have_a_stable_form() {
    let statement = Statement {
        revision: 3,
        as_of: 9,
        apply_id: "a".into(),
        author: "ann".into(),
        text: "t".into(),
    };
    let reset = Reset {
        id: "b".into(),
        as_of: 4,
        author: "bo".into(),
        text: "t".into(),
    };
    let records = [
        Record::Apply(Apply {
            id: "a".into(),
            base: None,
            author: "ann".into(),
            text: "t".into(),
        }),
        Record::Restate(Restate {
            id: "c".into(),
            statement,
        }),
        Record::Reset(reset),
    ];
    let lines: Vec<_> = records
        .iter()
        .map(|record| record.encode().unwrap())
        .collect();
    for (record, line) in records.iter().zip(&lines) {
        assert_eq!(&Record::decode(line).unwrap(), record);
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_first_of_two_racing_operators_wins() {
    let mut ledger = Ledger::new();
    ledger.read(0, &apply("a", None, &file(1)));
    ledger.read(1, &apply("b", Some(0), &file(2)));
    let late = void(ledger.read(2, &apply("c", Some(0), &file(3))));
    assert_eq!(late, Reason::Superseded { accepted: Some(1) });
    assert_eq!(revision(&ledger), Some(1));
}

#[test]
fn a_doubled_record_is_void() {
    let mut ledger = Ledger::new();
    let record = apply("a", None, &file(1));
    ledger.read(0, &record);
    assert_eq!(void(ledger.read(1, &record)), Reason::Doubled);
    ledger.read(2, &apply("b", Some(0), &file(2)));
    assert_eq!(
        void(ledger.read(3, &record)),
        Reason::Superseded { accepted: Some(2) }
    );
    assert_eq!(revision(&ledger), Some(2));
}

#[test]
fn a_bad_file_is_void_and_leaves_the_base() {
    let mut ledger = Ledger::new();
    let bad = void(ledger.read(0, &apply("a", None, "[fleet")));
    assert!(matches!(bad, Reason::Text(report) if report.has_errors()));
    assert_eq!(ledger.read(1, "no record"), Outcome::Malformed);
    ledger.read(2, &apply("b", None, &file(1)));
    assert_eq!(revision(&ledger), Some(2));
}

#[test]
fn a_late_reader_judges_what_raced_with_the_statement() {
    let mut early = Ledger::new();
    early.read(0, &apply("a", None, &file(1)));
    let statement = restate(early.statement().unwrap());
    let mut late = Ledger::new();
    late.expire(1);
    assert_eq!(
        late.read(1, &apply("b", Some(0), &file(2))),
        Outcome::Pending
    );
    assert_eq!(late.accepted(), None);
    let judged = vec![Judgement {
        offset: 1,
        id: "b".into(),
        void: None,
    }];
    assert_eq!(late.read(2, &statement), Outcome::Adopted { judged });
    assert_eq!((revision(&late), late.is_current()), (Some(1), true));
}

#[test]
fn a_statement_from_before_the_first_read_record_is_of_no_use() {
    let mut early = Ledger::new();
    early.read(0, &apply("a", None, &file(1)));
    let statement = restate(early.statement().unwrap());
    let mut late = Ledger::new();
    late.expire(2);
    assert_eq!(late.read(2, &statement), Outcome::Useless);
    assert_eq!((late.accepted(), late.is_current()), (None, false));
}

#[test]
fn a_reader_that_was_away_keeps_its_file_and_judges_nothing() {
    let mut ledger = Ledger::new();
    ledger.read(0, &apply("a", None, &file(1)));
    ledger.expire(5);
    assert_eq!(
        ledger.read(5, &apply("b", Some(0), &file(2))),
        Outcome::Pending
    );
    assert_eq!((revision(&ledger), ledger.is_current()), (Some(0), false));
}

#[test]
fn a_peer_gives_an_empty_reader_its_file() {
    let mut peer = Ledger::new();
    peer.read(0, &apply("a", None, &file(1)));
    peer.read(1, "filler");
    let mut ledger = Ledger::new();
    let statement = peer.statement().unwrap();
    assert_eq!(
        ledger.adopt(&statement),
        Outcome::Adopted { judged: vec![] }
    );
    assert_eq!((ledger.next(), ledger.accepted()), (2, peer.accepted()));
    assert_eq!(ledger.adopt(&statement), Outcome::Known);
    assert_eq!(ledger.read(0, &apply("a", None, &file(1))), Outcome::Seen);
}

#[test]
fn a_newer_record_stops_the_judging_until_a_statement_from_beyond() {
    let mut ledger = Ledger::new();
    ledger.read(0, &apply("a", None, &file(1)));
    let newer = "{\"version\":2,\"kind\":\"apply\"}";
    assert_eq!(ledger.read(1, newer), Outcome::Newer { version: 2 });
    assert_eq!(
        ledger.read(2, &apply("c", Some(0), &file(3))),
        Outcome::Pending
    );
    let statement = Statement {
        revision: 1,
        as_of: 2,
        apply_id: "b".into(),
        author: "bo".into(),
        text: file(2).into(),
    };
    let outcome = ledger.read(3, &restate(statement));
    let reason = Reason::Superseded { accepted: Some(1) };
    let judged = vec![Judgement {
        offset: 2,
        id: "c".into(),
        void: Some(reason),
    }];
    assert_eq!(outcome, Outcome::Adopted { judged });
    assert_eq!(revision(&ledger), Some(1));
}

#[test]
fn a_doubled_reset_does_not_revert() {
    let reset = Reset {
        id: "r".into(),
        as_of: 5,
        author: "bo".into(),
        text: file(1).into(),
    };
    let record = Record::Reset(reset).encode().unwrap();
    let mut ledger = Ledger::new();
    ledger.expire(5);
    assert!(matches!(ledger.read(5, &record), Outcome::Adopted { .. }));
    ledger.read(6, &apply("a", Some(5), &file(2)));
    assert_eq!(
        void(ledger.read(7, &record)),
        Reason::Superseded { accepted: Some(6) }
    );
    assert_eq!(revision(&ledger), Some(6));
}

#[test]
fn a_reset_is_not_judged_while_a_proposal_is_pending() {
    let reset = Reset {
        id: "r".into(),
        as_of: 5,
        author: "bo".into(),
        text: file(1).into(),
    };
    let mut ledger = Ledger::new();
    ledger.read(5, &apply("a", Some(3), &file(2)));
    assert_eq!(
        ledger.read(6, &Record::Reset(reset).encode().unwrap()),
        Outcome::Pending
    );
    assert_eq!(ledger.accepted(), None);
}

#[test]
fn a_statement_is_due_at_half_of_the_retention() {
    let minute = |count: u64| Duration::from_secs(60 * count);
    let schedule = Schedule::new(minute(64));
    let live = Stated {
        at: minute(10),
        live: true,
    };
    assert!(!schedule.is_due(minute(41), live));
    assert!(schedule.is_due(minute(42), live));
    assert!(!schedule.with_rank(2).is_due(minute(43), live));
    assert!(schedule.with_rank(2).is_due(minute(44), live));
    assert!(
        schedule.with_rank(1000).is_due(minute(58), live),
        "before three quarters"
    );
    let found = Stated {
        at: minute(10),
        live: false,
    };
    assert!(schedule.is_due(minute(10), found), "its age is unknown");
    assert!(!schedule.with_rank(1).is_due(minute(10), found));
    assert!(!due_by_count(&(0..100), 0), "nothing expired yet");
    assert!(due_by_count(&(10..100), 54));
    assert!(!due_by_count(&(10..100), 55));
}

/// Generated logs of racing operators, expiring and doubled records, late statements, restarts and peers.
#[test]
fn readers_agree_with_the_whole_log_and_never_go_back() {
    const WORLDS: u64 = 2000;
    const STEPS: usize = 120;
    let mut figures = Figures::default();
    for seed in 0..WORLDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
        figures.add(&world.figures);
    }
    insta::assert_snapshot!(figures.to_string());
}
