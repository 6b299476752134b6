//! Callers that leave, targets that fail, and drains.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use dunlinward_standin::instances::{Instance, Role, State};

use crate::world::{
    World, agent, busy, completion, fault, metric, request, run_count, runs, send, wait,
};

#[test]
fn a_caller_that_leaves_frees_the_slot_and_the_engine() {
    let world = World::new().with_engine(1);
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/v1/chat/completions").body(completion(5000, true));
    let response = agent().run(asked.unwrap()).unwrap();
    let mut reader = BufReader::new(response.into_body().into_reader());
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    assert_eq!(busy(&router), 1);
    drop(reader);
    wait("a free slot", || busy(&router) == 0);
    let load = || {
        let url = format!("http://{}/load", world.engines[0].address());
        let text = agent().get(url).call().unwrap().into_body();
        let load: dunlinward_standin::engine::api::Load =
            serde_json::from_str(&text.into_with_config().read_to_string().unwrap()).unwrap();
        load.running
    };
    wait("a free engine", || load() == 0);
    let asked = request(&router, "POST", "/v1/chat/completions").body(completion(3, true));
    assert_eq!(send(asked.unwrap()).status, 200);
    let left = "dunlinward_refusals_total{reason=\"caller_left\",verdict=\"may_have_run\"}";
    assert_eq!(metric(&router, left), 1);
}

/// A caller that waits is noticed as well, and its request never runs.
#[test]
fn a_waiting_caller_that_leaves_takes_its_request_along() {
    let world = World::new().with_engine(1);
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/v1/chat/completions").body(completion(5000, true));
    let running = agent().run(asked.unwrap()).unwrap();
    let body = completion(3, true);
    let mut socket = TcpStream::connect(router.callers_address()).unwrap();
    write!(
        socket,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r1\r\nauthorization: Bearer key-beta\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    wait("two requests", || router.status().unwrap().requests == 2);
    drop(socket);
    wait("one request", || router.status().unwrap().requests == 1);
    let left = "dunlinward_refusals_total{reason=\"caller_left\",verdict=\"not_run\"}";
    assert_eq!(metric(&router, left), 1);
    assert_eq!(run_count(&world.engines[0]), 1);
    drop(running);
}

#[test]
fn a_lost_answer_of_a_call_that_may_not_repeat_runs_once() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    fault(&world.plains[0], r#"{"lose_answers":1}"#);
    let asked = request(&router, "POST", "/portal/receipts").body("paper".to_owned());
    let reply = send(asked.unwrap());
    assert_eq!(reply.status, 502, "{}", reply.body);
    assert_eq!(reply.verdict.as_deref(), Some("may_have_run"));
    assert!(reply.body.contains("connection_lost"), "{}", reply.body);
    assert_eq!(run_count(&world.plains[0]), 1);
    wait("a free slot", || busy(&router) == 0);
}

#[test]
fn a_lost_answer_of_a_call_that_may_repeat_is_tried_again() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    fault(&world.plains[0], r#"{"lose_answers":1}"#);
    let asked = request(&router, "GET", "/portal/sheets/1").body(String::new());
    let reply = send(asked.unwrap());
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(run_count(&world.plains[0]), 2);
    let retried = "dunlinward_retries_total{reason=\"connection_lost\"}";
    assert_eq!(metric(&router, retried), 1);
}

#[test]
fn a_refused_connection_is_tried_elsewhere() {
    let world = World::new()
        .with_absent("portal")
        .with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    for number in 0..8 {
        let path = format!("/portal/receipts/{number}");
        let asked = request(&router, "POST", &path).body("paper".to_owned());
        let reply = send(asked.unwrap());
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(run_count(&world.plains[0]), 8);
    assert!(runs(&world.plains[0]).iter().all(|run| run.count == 1));
    let retried = "dunlinward_retries_total{reason=\"connect_refused\"}";
    assert!(metric(&router, retried) >= 1);
}

#[test]
fn an_explicit_refusal_says_not_run() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    fault(&world.plains[0], r#"{"refuse":true}"#);
    let asked = request(&router, "POST", "/portal/receipts").body("paper".to_owned());
    let reply = send(asked.unwrap());
    assert_eq!(reply.verdict.as_deref(), Some("not_run"), "{}", reply.body);
    assert!(reply.body.contains("target_refused"), "{}", reply.body);
    assert_eq!(run_count(&world.plains[0]), 0);
}

#[test]
fn a_cut_stream_is_never_whole() {
    let world = World::new().with_engine(2);
    let router = world.router(world.settings("r1"));
    fault(&world.engines[0], r#"{"cut_after":3}"#);
    let asked = request(&router, "POST", "/v1/chat/completions").body(completion(40, true));
    let response = agent().run(asked.unwrap()).unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.into_body().read_to_string().is_err());
    assert_eq!(run_count(&world.engines[0]), 1);
    wait("a free slot", || busy(&router) == 0);
}

#[test]
fn a_key_runs_once_and_repeats_its_answer() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    let post = |key: &str, body: &str| {
        let asked = request(&router, "POST", "/portal/receipts")
            .header("idempotency-key", key)
            .body(body.to_owned());
        send(asked.unwrap())
    };
    let first = post("a", "paper");
    assert_eq!((first.status, first.replayed), (200, false));
    let second = post("a", "paper");
    assert_eq!((second.status, second.replayed), (200, true));
    assert_eq!(first.body, second.body);
    let other = post("a", "another paper");
    assert_eq!(other.status, 422, "{}", other.body);
    fault(&world.plains[0], r#"{"lose_answers":1}"#);
    assert_eq!(post("b", "paper").verdict.as_deref(), Some("may_have_run"));
    let again = post("b", "paper");
    assert_eq!(again.status, 409);
    assert_eq!(again.verdict.as_deref(), Some("may_have_run"));
    fault(&world.plains[0], r#"{"refuse":true}"#);
    assert_eq!(post("c", "paper").verdict.as_deref(), Some("not_run"));
    fault(&world.plains[0], "{}");
    assert_eq!(post("c", "paper").status, 200);
    assert!(runs(&world.plains[0]).iter().all(|run| run.count == 1));
    assert_eq!(run_count(&world.plains[0]), 3);
}

#[test]
fn a_drain_cuts_nothing_and_takes_nothing() {
    let world = World::new().with_engine(2);
    let router = world.router(world.settings("r1"));
    std::thread::scope(|scope| {
        // Two run and two wait when the drain begins.
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let asked = request(&router, "POST", "/v1/chat/completions");
                let asked = asked.body(completion(60, true)).unwrap();
                scope.spawn(move || send(asked))
            })
            .collect();
        wait("four requests", || router.status().unwrap().requests == 4);
        wait("two that run", || busy(&router) == 2);
        let drain = scope.spawn(|| router.drain());
        wait("a drain", || router.draining());
        let refused = request(&router, "POST", "/v1/chat/completions").body(completion(3, true));
        let refused = send(refused.unwrap());
        assert_eq!(refused.status, 503);
        assert_eq!(refused.verdict.as_deref(), Some("not_run"));
        for caller in callers {
            let reply = caller.join().unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body);
            assert!(reply.body.ends_with("data: [DONE]\n\n"));
        }
        assert!(drain.join().unwrap());
    });
    router.stop();
}

/// A router that starts to own a target listens before it grants, so nothing runs yet.
#[test]
fn a_drain_before_the_first_grant_ends_what_waits() {
    let world = World::new().with_engine(2);
    let router = world.router(world.settings("r1"));
    std::thread::scope(|scope| {
        let asked = request(&router, "POST", "/v1/chat/completions").body(completion(5, true));
        let asked = asked.unwrap();
        let caller = scope.spawn(move || send(asked));
        wait("a request", || router.status().unwrap().requests == 1);
        assert!(router.drain());
        assert_eq!(caller.join().unwrap().status, 200);
    });
}

#[test]
fn a_leaving_target_gets_nothing_new() {
    let world = World::new()
        .with_plain(Duration::from_millis(1))
        .with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    world.list_entry(&Instance {
        name: "portal-0".into(),
        role: Role::Target,
        address: world.plains[0].address(),
        failure_domain: "hall-a".into(),
        state: State::Leaving,
    });
    wait("a leaving target", || {
        let status = router.status().unwrap();
        status.targets.iter().any(|target| target.leaving)
    });
    for _ in 0..8 {
        let asked = request(&router, "POST", "/portal/receipts").body("paper".to_owned());
        assert_eq!(send(asked.unwrap()).status, 200);
    }
    assert_eq!(run_count(&world.plains[0]), 0);
    assert_eq!(run_count(&world.plains[1]), 8);
}
