//! The load generator, against the stand-ins themselves.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_standin::load::tally::{Failure, Tally};
use dunlinward_standin::load::work::{Arrivals, Completion, Customer, Kind, Work};
use dunlinward_standin::{engine, load, plain};
use serde_json::json;

use crate::support::Client;

const CLOSED: Arrivals = Arrivals::Closed {
    clients: 2,
    pause: Duration::ZERO,
};

fn completion(stream: bool) -> Work {
    Work {
        name: if stream { "stream" } else { "whole" }.into(),
        path: "/v1/chat/completions".into(),
        service: None,
        kind: Kind::Model(Completion {
            model: "m".into(),
            shared_words: 32,
            own_words: 4..=20,
            output_tokens: 1..=5,
            max_tokens: Some(100),
            stream,
        }),
    }
}

fn submission() -> Work {
    Work {
        name: "submission".into(),
        path: "/receipts".into(),
        service: None,
        kind: Kind::Submission { bytes: 100 },
    }
}

fn fast_engine() -> engine::Settings {
    engine::Settings {
        model: engine::model::Settings {
            step_base: 200,
            step_slope: 0,
            ..engine::model::Settings::default()
        },
        ..engine::Settings::default()
    }
}

/// Runs a load of one customer until a condition holds.
fn run(router: SocketAddr, customer: Customer, until: impl Fn(&Tally) -> bool) -> Tally {
    let settings = load::Settings::new(vec![router], vec![customer]);
    let load = load::start(&settings).unwrap();
    while !until(&load.tallies()[0]) {
        std::thread::yield_now();
    }
    load.stop(Duration::from_secs(30)).remove(0)
}

#[test]
fn whole_answers_are_recognised() {
    let server = engine::start(fast_engine()).unwrap();
    let customer = Customer::new("c", 1, CLOSED)
        .with_work(1, completion(true))
        .with_work(1, completion(false));
    let tally = run(server.address(), customer, |tally| tally.whole() >= 20);
    assert_eq!(tally.failed(), 0, "{:?}", tally.works);
    assert_eq!(tally.whole(), tally.started);
    let stream = &tally.works["stream"];
    assert_eq!(stream.first_token.len(), stream.whole);
    let (first, last) = (&stream.first_token, &stream.latency);
    assert!(0 < first.min() && first.min() <= last.min());
    assert!(first.max() <= last.max());
    assert!(tally.tokens > tally.whole());
}

#[test]
fn submissions_run_once_with_their_own_answers() {
    let server = plain::start(plain::Settings {
        service_time: Duration::ZERO,
        ..plain::Settings::default()
    })
    .unwrap();
    let open = Arrivals::Open {
        per_second: 500.0,
        clients: 4,
    };
    let customer = Customer::new("c", 1, open).with_work(1, submission());
    let tally = run(server.address(), customer, |tally| tally.whole() >= 20);
    assert_eq!(tally.failed(), 0, "{:?}", tally.works);
    let runs = Client::new(server.address()).get_json("/admin/runs");
    let runs = runs["runs"].as_array().unwrap();
    assert_eq!(runs.len() as u64, tally.whole());
    for run in runs {
        assert_eq!(run["count"], 1);
        assert_eq!(run["idempotency_key"], run["request_id"]);
    }
}

#[test]
fn failures_are_told_apart() {
    let server = engine::start(fast_engine()).unwrap();
    let client = Client::new(server.address());
    let cases = [
        (
            json!({"refuse": true}),
            Failure::Refused("refused on demand".into()),
        ),
        (json!({"cut_after": 0}), Failure::Broken),
        (json!({"garbage": true}), Failure::Broken),
    ];
    for (fault, failure) in cases {
        client.post("/admin/faults", &fault);
        let customer = Customer::new("c", 1, CLOSED).with_work(1, completion(true));
        let tally = run(server.address(), customer, |tally| tally.failed() > 0);
        assert_eq!(tally.whole(), 0, "{fault}");
        let failures: Vec<_> = tally.works["stream"].failed.keys().collect();
        assert_eq!(failures, [&failure], "{fault}");
    }
}

#[test]
fn answer_to_another_prompt_is_wrong() {
    let server = plain::start(plain::Settings::default()).unwrap();
    let customer = Customer::new("c", 1, CLOSED).with_work(1, completion(false));
    let tally = run(server.address(), customer, |tally| tally.failed() > 0);
    let failures: Vec<_> = tally.works["whole"].failed.keys().collect();
    assert_eq!(failures, [&Failure::Wrong]);
}

#[test]
fn unreachable_router_is_told() {
    let server = plain::start(plain::Settings::default()).unwrap();
    let address = server.address();
    server.stop();
    let customer = Customer::new("c", 1, CLOSED).with_work(1, submission());
    let tally = run(address, customer, |tally| tally.failed() > 0);
    let failures: Vec<_> = tally.works["submission"].failed.keys().collect();
    assert_eq!(failures, [&Failure::Unanswered]);
}
