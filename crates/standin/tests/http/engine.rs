//! The engine over HTTP: streams, resumes, moves, orders and faults.

use std::time::Duration;

use crate::support::{Client, json, lines};
use dunlinward_standin::{Server, engine};
use hyper::StatusCode;
use serde_json::{Value, json};

fn fast() -> engine::Settings {
    engine::Settings {
        model: engine::model::Settings {
            slots: 2,
            step_base: 500,
            step_slope: 0,
            load_lag: 0,
            ..engine::model::Settings::default()
        },
        incarnation: Some(0xa),
        ..engine::Settings::default()
    }
}

fn start(settings: engine::Settings) -> (Server, Client) {
    let server = engine::start(settings).unwrap();
    let client = Client::new(server.address());
    (server, client)
}

fn ask(tokens: u32) -> Value {
    json!({
        "model": "m",
        "messages": [{"role": "user", "content": format!("why {}", engine::api::marker(tokens))}],
        "stream": true,
    })
}

/// The ids of the events that arrive before the stream ends or breaks.
fn ids(response: ureq::http::Response<ureq::Body>) -> Vec<String> {
    lines(response)
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("id: ").map(str::to_owned))
        .collect()
}

#[test]
fn streamed_answer_is_whole() {
    let (_server, client) = start(fast());
    let response = client.post("/v1/chat/completions", &ask(3));
    assert_eq!(response.headers()["x-stream-id"], "a-1");
    let all: Vec<String> = lines(response).map(Result::unwrap).collect();
    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn whole_answer_has_the_same_words() {
    let (_server, client) = start(fast());
    let mut request = ask(3);
    request["stream"] = Value::Bool(false);
    let answer = json(client.post("/v1/completions", &request));
    insta::assert_snapshot!(serde_json::to_string_pretty(&answer).unwrap());
}

/// The engine is wedged after its first events: whatever arrived before that
/// was sent while the stream was unfinished.
#[test]
fn events_leave_before_the_stream_ends() {
    let (_server, client) = start(fast());
    let mut answer = lines(client.post("/v1/chat/completions", &ask(1_000_000)));
    assert_eq!(answer.next().unwrap().unwrap(), "id: 0");
    client.post("/admin/faults", &json!({"wedge": true}));
    let load = client.get_json("/load");
    assert!(load["age_ms"].is_u64(), "still served while wedged: {load}");
    drop(answer);
}

#[test]
fn cut_stream_resumes_where_it_broke() {
    let (_server, client) = start(fast());
    client.post("/admin/faults", &json!({"cut_after": 4}));
    let first = lines(client.post("/v1/chat/completions", &ask(10)));
    let first: Vec<_> = first.collect();
    assert!(first.last().unwrap().is_err(), "the connection broke");
    client.post("/admin/faults", &json!({}));
    let rest = ids(client.get("/streams/a-1?from=4"));
    assert_eq!(rest, ["4", "5", "6", "7", "8", "9", "10"]);
    let again = ids(client.get("/streams/a-1?from=9"));
    assert_eq!(again, ["9", "10"], "a finished stream is kept for a while");
}

#[test]
fn cancelled_stream_resumes_from_its_place() {
    let (_server, client) = start(fast());
    let mut answer = lines(client.post("/v1/chat/completions", &ask(200)));
    answer.next().unwrap().unwrap();
    assert_eq!(client.post("/streams/a-1/cancel", &()).status(), 200);
    let seen = answer.map_while(Result::ok).count();
    assert!(seen < 400, "the cancelled connection broke");
    let all = ids(client.get("/streams/a-1?from=0"));
    let expected: Vec<String> = (0..=200).map(|id| id.to_string()).collect();
    assert_eq!(all, expected);
}

#[test]
fn stream_moves_to_another_engine() {
    let (_from, from) = start(fast());
    let (_to, to) = start(engine::Settings {
        incarnation: Some(0xb),
        ..fast()
    });
    let mut answer = lines(from.post("/v1/chat/completions", &ask(300)));
    answer.next().unwrap().unwrap();
    let blob = json(from.post("/streams/a-1/export", &()));
    let made = blob["generated"].as_u64().unwrap();
    let imported = json(to.post("/streams/import", &blob));
    assert_eq!(imported, json!({"id": "b-1"}));
    let rest = ids(to.get(&format!("/streams/b-1?from={made}")));
    let expected: Vec<String> = (made..=300).map(|id| id.to_string()).collect();
    assert_eq!(rest, expected);
}

#[test]
fn lost_stream_is_cancelled_after_lingering() {
    let settings = engine::Settings {
        linger: Duration::ZERO,
        ..fast()
    };
    let (_server, client) = start(settings);
    client.post("/admin/faults", &json!({"cut_after": 1}));
    ids(client.post("/v1/chat/completions", &ask(1_000_000)));
    while client.get_json("/load")["running"] != 0 {
        std::thread::yield_now();
    }
    let status = client.post("/streams/a-1/cancel", &()).status();
    assert_eq!(status, StatusCode::NOT_FOUND, "nothing was left to stop");
}

#[test]
fn unknown_streams_are_not_found() {
    let (_server, client) = start(fast());
    for path in [
        "/streams/a-1/cancel",
        "/streams/b-1/export",
        "/streams/x/cancel",
    ] {
        assert_eq!(client.post(path, &()).status(), 404, "{path}");
    }
    assert_eq!(client.get("/streams/a-9?from=0").status(), 404);
}

#[test]
fn refusal_says_that_nothing_ran() {
    let (_server, client) = start(fast());
    client.post("/admin/faults", &json!({"refuse": true}));
    let refused = client.post("/v1/chat/completions", &ask(3));
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["x-not-run"], "1");
    assert_eq!(client.get_json("/admin/runs"), json!({"runs": []}));
}

#[test]
fn engine_that_checks_refuses_an_old_fence() {
    let mut results = Vec::new();
    for check_fence in [true, false] {
        let (_server, client) = start(engine::Settings {
            check_fence,
            ..fast()
        });
        for (fence, kind) in [(5, "load"), (5, "load"), (4, "unload")] {
            let order = json!({"fence": fence, "kind": kind, "model": "m", "version": "2"});
            let response = client.post("/orders", &order);
            let status = response.status().as_u16();
            results.push(format!(
                "{check_fence} {fence} {kind}: {status} {}",
                json(response)
            ));
        }
    }
    insta::assert_snapshot!(results.join("\n"));
}
