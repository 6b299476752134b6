//! Whole answers, and refusals at the edge.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use dunlinward_standin::engine::api::{self, Chunk};

use crate::world::{
    PATIENCE, World, agent, busy, completion, fault, metric, request, run_count, runs, send, wait,
};

fn words(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str::<Chunk>(data).unwrap())
        .filter_map(|chunk| chunk.choices[0].delta.content.clone())
        .collect()
}

fn expected(tokens: u32) -> String {
    let tag = api::tag(&format!("Why? {}", api::marker(tokens)));
    (0..tokens).map(|index| api::word(&tag, index)).collect()
}

#[test]
fn a_stream_arrives_whole() {
    let world = World::new().with_engine(4);
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/v1/chat/completions").body(completion(40, true));
    let reply = send(asked.unwrap());
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert!(reply.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(words(&reply.body), expected(40));
    let id = reply.request_id.unwrap();
    assert_eq!(runs(&world.engines[0])[0].request_id, id);
    wait("a free slot", || busy(&router) == 0);
    let units = "dunlinward_service_units_total{customer=\"alpha\",service=\"questions\"}";
    assert!(metric(&router, units) >= 40);
}

#[test]
fn a_completion_and_a_call_arrive_whole() {
    let world = World::new()
        .with_engine(4)
        .with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/v1/chat/completions").body(completion(7, false));
    let reply = send(asked.unwrap());
    assert_eq!(reply.status, 200, "{}", reply.body);
    let whole: api::Completion = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(whole.choices[0].message.content, expected(7));
    let asked = request(&router, "POST", "/portal/receipts/7?sheet=2").body("paper".to_owned());
    let reply = send(asked.unwrap());
    assert_eq!(reply.status, 200, "{}", reply.body);
    let receipt: dunlinward_standin::plain::Receipt = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(receipt.path, "/receipts/7");
    assert_eq!(Some(receipt.request_id), reply.request_id);
    assert_eq!(receipt.digest, dunlinward_standin::plain::digest(b"paper"));
}

/// Each bad request is refused by its reason, counts, and reaches no target.
#[test]
fn bad_requests_are_refused_by_reason() {
    let world = World::new()
        .with_engine(4)
        .with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1").with_body_limit(1000));
    let chat = "/v1/chat/completions";
    let post = |path: &str| request(&router, "POST", path);
    let unkeyed = |path: &str| {
        let uri = format!("http://{}{path}", router.callers_address());
        ureq::http::Request::builder().method("POST").uri(uri)
    };
    let cases = [
        ("no key", unkeyed(chat).body(completion(3, true))),
        (
            "another key",
            unkeyed(chat)
                .header("authorization", "Bearer key-gamma")
                .body(completion(3, true)),
        ),
        ("no JSON", post(chat).body("{".to_owned())),
        (
            "no prompt",
            post(chat).body(r#"{"model":"essay"}"#.to_owned()),
        ),
        (
            "unknown model",
            post(chat).body(completion(3, true).replace("essay", "poem")),
        ),
        ("unknown service", post("/quotes/7").body(String::new())),
        (
            "a model service as a path",
            post("/questions/7").body(String::new()),
        ),
        ("GET", request(&router, "GET", chat).body(String::new())),
        (
            "unknown class",
            post(chat)
                .header("x-dunlinward-class", "slow")
                .body(completion(3, true)),
        ),
        (
            "deadline",
            post(chat)
                .header("x-dunlinward-deadline-ms", "soon")
                .body(completion(3, true)),
        ),
        ("large body", post("/portal/x").body("x".repeat(2000))),
    ];
    let mut lines = Vec::new();
    for (name, asked) in cases {
        let reply = send(asked.unwrap());
        let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
        let error = &body["error"];
        assert_eq!(error["request_id"].as_str(), reply.request_id.as_deref());
        assert_eq!(error["verdict"].as_str(), reply.verdict.as_deref());
        let reason = error["reason"].as_str().unwrap();
        let counter = format!("dunlinward_edge_refusals_total{{reason=\"{reason}\"}}");
        assert!(metric(&router, &counter) >= 1, "{counter}");
        let verdict = reply.verdict.unwrap();
        lines.push(format!("{name}: {} {reason} {verdict}", reply.status));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(run_count(&world.engines[0]), 0);
    assert_eq!(run_count(&world.plains[0]), 0);
    assert_eq!(router.status().unwrap().requests, 0);
}

#[test]
fn every_reason_is_counted_from_zero() {
    let world = World::new();
    let router = dunlinward_router::start(world.settings("r1")).unwrap();
    let text = router.metrics().unwrap();
    let names: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("reason=") && line.ends_with(" 0"))
        .filter(|line| !line.contains("lost_messages"))
        .collect();
    insta::assert_snapshot!(names.join("\n"));
}

#[test]
fn a_slow_head_is_cut_off() {
    let world = World::new();
    let settings = world
        .settings("r1")
        .with_header_timeout(Duration::from_millis(200));
    let router = dunlinward_router::start(settings).unwrap();
    for begun in ["", "POST /v1/chat/comp"] {
        let mut socket = TcpStream::connect(router.callers_address()).unwrap();
        socket.write_all(begun.as_bytes()).unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut rest = Vec::new();
        // Either a 408 or nothing, but an end.
        socket.read_to_end(&mut rest).unwrap();
    }
    wait("an end of the connection", || {
        metric(&router, "dunlinward_connections") == 0
    });
}

#[test]
fn a_slow_body_is_refused() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let settings = world.settings("r1");
    let router = world.router(settings.with_header_timeout(Duration::from_millis(200)));
    let mut socket = TcpStream::connect(router.callers_address()).unwrap();
    socket
        .write_all(
            b"POST /portal/x HTTP/1.1\r\nhost: r1\r\nauthorization: Bearer key-alpha\r\n\
              content-length: 10\r\n\r\npaper",
        )
        .unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("body_timeout"), "{answer}");
    assert_eq!(run_count(&world.plains[0]), 0);
}

#[test]
fn one_connection_too_many_is_turned_away() {
    let world = World::new();
    let router = dunlinward_router::start(world.settings("r1").with_connections(1)).unwrap();
    let held = TcpStream::connect(router.callers_address()).unwrap();
    wait("the first connection", || {
        metric(&router, "dunlinward_connections") == 1
    });
    let reply = send(
        request(&router, "GET", "/portal/x")
            .body(String::new())
            .unwrap(),
    );
    assert_eq!(reply.status, 503);
    assert_eq!(reply.verdict.as_deref(), Some("not_run"));
    assert!(reply.request_id.is_some());
    assert!(reply.body.contains("connections_full"));
    drop(held);
    wait("a free place", || {
        metric(&router, "dunlinward_connections") == 0
    });
    let reply = send(
        request(&router, "GET", "/portal/x")
            .body(String::new())
            .unwrap(),
    );
    assert!(reply.body.contains("not_configured"), "{}", reply.body);
}

#[test]
fn operators_see_health_readiness_and_status() {
    let world = World::new().with_engine(4);
    let router = dunlinward_router::start(world.settings("r1")).unwrap();
    let get = |path: &str| {
        let url = format!("http://{}{path}", router.operators_address());
        crate::world::reply(agent().get(url).call().unwrap())
    };
    assert_eq!(get("/health").status, 200);
    assert_eq!(get("/ready").status, 503);
    world.apply("first", None, &world.text(true));
    wait("readiness", || get("/ready").status == 200);
    let status: serde_json::Value = serde_json::from_str(&get("/status").body).unwrap();
    assert_eq!(status["instance"], "r1");
    assert_eq!(status["revision"], 0);
    assert_eq!(status["targets"][0]["slots"], 4);
    assert!(
        get("/metrics")
            .body
            .contains("dunlinward_kernel_step_seconds_bucket")
    );
    fault(&world.log, r#"{"outage":true}"#);
    assert_eq!(get("/ready").status, 200);
}
