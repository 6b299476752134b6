//! Demand and service of customers, from the logs of routers.

use std::ffi::OsString;
use std::path::PathBuf;

use dunlinward_ctl::exit::Exit;
use dunlinward_ctl::line::Line;
use dunlinward_ctl::shares::{Ledger, Total};
use serde_json::{Value, json};

fn ledger(lines: &[Value]) -> Ledger {
    let mut ledger = Ledger::new();
    for line in lines {
        ledger.record(&Line::parse(&line.to_string()).unwrap());
    }
    ledger
}

fn sent(at: f64, id: &str, customer: &str, cost: u64) -> Value {
    json!({"at": at, "event": "sent", "id": id, "customer": customer, "cost": cost,
        "waited_ms": 10, "objective_ms": 500})
}

fn refused(at: f64, id: &str, customer: &str, cost: u64) -> Value {
    json!({"at": at, "event": "refused", "id": id, "customer": customer, "cost": cost,
        "after_ms": 10, "reason": "busy"})
}

/// Six seconds in which one customer gets a fifth of what the other one gets.
fn unequal() -> Vec<Value> {
    let mut lines = Vec::new();
    for second in 0..6 {
        let at = 100.5 + f64::from(second);
        for number in 0..10 {
            let id = format!("{second}-{number}");
            lines.push(sent(at, &format!("a{id}"), "a", 100));
            lines.push(if number < 2 {
                sent(at, &format!("b{id}"), "b", 100)
            } else {
                refused(at, &format!("b{id}"), "b", 100)
            });
        }
    }
    lines
}

#[test]
fn a_customer_that_gets_less_than_the_best_served_one_is_first() {
    let rows = ledger(&unequal()).rows(6);
    let total = Total {
        asked: 6_000,
        served: 1_200,
        refused: 48,
        waited: 6,
    };
    assert_eq!((&*rows[0].customer, &rows[0].total), ("b", &total));
    let worst = rows[0].worst.as_ref().expect("it waited all the time");
    assert_eq!((worst.from, worst.served, worst.due), (0, 1_200, 5_700));
    assert_eq!((&*worst.best, worst.best_served), ("a", 6_000));
    assert_eq!(rows[1].worst, None);
}

/// Guards against the demand of a customer that asks for little in single seconds being compared
/// with the sum of the best served one.
#[test]
fn what_is_due_is_the_lesser_of_both_second_by_second() {
    let lines = [
        sent(100.5, "a1", "a", 1_000),
        sent(101.5, "a2", "a", 10),
        refused(100.5, "b1", "b", 10),
        refused(101.5, "b2", "b", 10),
        refused(101.6, "b3", "b", 10),
        refused(101.7, "b4", "b", 10),
        refused(101.8, "b5", "b", 10),
    ];
    let rows = ledger(&lines).rows(2);
    let worst = rows[0].worst.as_ref().expect("it waited all the time");
    assert_eq!((worst.asked, worst.due), (50, 0));
    assert!((worst.ratio() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn an_attempt_waits_from_its_objective_to_its_first_event() {
    let lines = [
        sent(100.01, "a1", "a", 100),
        json!({"at": 103.0, "event": "answered", "id": "a1", "first_ms": 2_700, "after_ms": 3_000}),
        sent(104.01, "a2", "a", 100),
        json!({"at": 106.0, "event": "answered", "id": "a2", "first_ms": 400, "after_ms": 2_000}),
        sent(106.01, "a3", "a", 100),
        json!({"at": 107.7, "event": "caller_left", "id": "a3", "after_ms": 1_700}),
    ];
    assert_eq!(ledger(&lines).rows(6)[0].total.waited, 5);
}

/// Guards against demand that is counted twice: a request that was sent and then refused, or sent
/// again.
#[test]
fn an_attempt_is_demand_and_service_once() {
    let lines = [
        sent(100.0, "a1", "a", 100),
        sent(100.2, "a1", "a", 100),
        refused(100.4, "a1", "a", 100),
    ];
    let total = ledger(&lines).rows(6).remove(0).total;
    let expected = Total {
        asked: 100,
        served: 100,
        refused: 1,
        waited: 1,
    };
    assert_eq!(total, expected);
}

#[test]
fn refusals_without_lines_of_their_own_count() {
    let lines = [
        json!({"at": 100.0, "event": "refusals", "count": 30, "customers": {"a": 20, "b": 10},
            "tokens": {"a": 2_000, "b": 500}}),
        json!({"at": 101.0, "event": "crowded", "refused": 7, "by_customer": {"a": 7},
            "tokens": {"a": 700}}),
    ];
    let rows = ledger(&lines).rows(6);
    let total = &rows[0].total;
    assert_eq!((&*rows[0].customer, total.asked), ("a", 2_700));
    assert_eq!((total.refused, total.waited), (27, 2));
    assert_eq!(rows[1].total.refused, 10);
}

fn shares(name: &str, log: &str) -> (Exit, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, log).unwrap();
    let args = ["dunlinctl".into(), "shares".into(), path.into()];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = dunlinward_ctl::run(args.map(|it: OsString| it), &mut out, &mut err);
    assert!(err.is_empty());
    (exit, String::from_utf8(out).unwrap())
}

#[test]
fn customers_are_shown_in_a_table() {
    let lines: Vec<_> = unequal()
        .iter()
        .map(|it| format!("  1.2 r-1 {it}\n"))
        .collect();
    let (exit, out) = shares("unequal.log", &lines.concat());
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(out);
}

#[test]
fn a_log_without_requests_shows_no_customer() {
    let log = "not a line {\n{\"at\":1,\"event\":\"started\"}\n";
    assert_eq!(shares("idle.log", log), (Exit::NotFound, String::new()));
}
