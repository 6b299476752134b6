//! What a router tells of requests, customers and targets.

use std::fmt::Write as _;
use std::time::Duration;

use dunlinward_router::Router;
use serde_json::Value;

use crate::world::{Reply, World, agent, busy, completion, reply, request, send, wait};

/// Asks the operators' port.
fn explain(router: &Router, path: &str) -> (u16, Value) {
    let url = format!("http://{}/explain/{path}", router.operators_address());
    let Reply { status, body, .. } = reply(agent().get(url).call().unwrap());
    for secret in ["Why?", "key-alpha"] {
        assert!(!body.contains(secret), "{body}");
    }
    let told = serde_json::from_str(&body).unwrap_or_else(|err| panic!("{err}: {body}"));
    (status, told)
}

/// The steps without what differs from run to run. Whether a request had to wait
/// is up to the rounds, so that step is left out.
fn steps(told: &Value) -> Vec<String> {
    let steps = told["steps"].as_array().unwrap().iter();
    let steps = steps.filter(|step| step["step"] != "queued");
    let shown = steps.map(|step| {
        assert!(
            step["after_ms"].as_u64() <= step["at_ms"].as_u64(),
            "{step}"
        );
        let mut step = step.clone();
        let fields = step.as_object_mut().unwrap();
        for varying in ["at_ms", "after_ms", "request"] {
            assert!(fields.remove(varying).is_some(), "{varying}");
        }
        step.to_string()
    });
    shown.collect()
}

fn ask(router: &Router, tokens: u32) -> Reply {
    let asked = request(router, "POST", "/v1/chat/completions");
    send(asked.body(completion(tokens, true)).unwrap())
}

#[test]
fn a_served_request_is_told_step_by_step() {
    let world = World::new().with_engine(2);
    let router = world.router(world.settings("r1"));
    let id = ask(&router, 5).request_id.unwrap();
    let path = format!("request/{id}");
    wait("the end", || explain(&router, &path).1["stage"] == "over");
    let (status, told) = explain(&router, &path);
    assert_eq!(status, 200);
    assert_eq!(told["request"], *id);
    assert_eq!(told["instance"], "r1");
    insta::assert_snapshot!(steps(&told).join("\n"));
    // Customer and target tell the same from their sides.
    let (_, customer) = explain(&router, "customer/alpha");
    assert_eq!(steps(&customer), steps(&told));
    let (_, target) = explain(&router, "target/runner-0");
    assert_eq!(steps(&target), steps(&told)[1..]);
    assert_eq!(target["target"]["owner"], "r1");
}

#[test]
fn a_refused_request_is_told_with_its_attempts() {
    let world = World::new().with_absent("portal");
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/portal/receipts");
    let refused = send(asked.body("paper".to_owned()).unwrap());
    assert_eq!(refused.verdict.as_deref(), Some("not_run"));
    let id = refused.request_id.unwrap();
    let (_, told) = explain(&router, &format!("request/{id}"));
    assert_eq!(told["stage"], "over");
    let steps = steps(&told);
    assert!(steps[2].contains("connect_refused"), "{steps:?}");
    let last = steps.last().unwrap();
    assert!(
        last.contains("refused") && last.contains("not_run"),
        "{last}"
    );
}

/// While a request waits, the router tells what it waits for.
#[test]
fn a_waiting_request_is_told_with_the_targets_it_waits_for() {
    let world = World::new().with_engine(1);
    let router = world.router(world.settings("r1"));
    std::thread::scope(|scope| {
        let running = scope.spawn(|| ask(&router, 60));
        wait("a request on the slot", || busy(&router) == 1);
        let queued = scope.spawn(|| ask(&router, 1));
        wait("a request that waits", || {
            explain(&router, "customer/alpha").1["waiting"] == 1
        });
        let (_, customer) = explain(&router, "customer/alpha");
        assert_eq!(customer["running"], 1);
        assert!(customer["oldest_waiting_ms"].is_u64());
        assert_eq!(explain(&router, "target/runner-0").1["running"], 1);
        let latest = customer["steps"].as_array().unwrap().last().unwrap();
        assert_eq!(latest["step"], "queued");
        let id = latest["request"].as_str().unwrap();
        let (_, told) = explain(&router, &format!("request/{id}"));
        assert_eq!(told["stage"], "waiting");
        assert_eq!(told["targets"][0]["name"], "runner-0");
        assert_eq!(told["targets"][0]["busy"], 1);
        assert_eq!(told["accounts"][0]["queued"], 1);
        assert_eq!(queued.join().unwrap().request_id.as_deref(), Some(id));
        assert_eq!(running.join().unwrap().status, 200);
    });
}

#[test]
fn what_is_not_known_is_told_as_such() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/portal/receipts");
    let id = send(asked.body("paper".to_owned()).unwrap()).request_id;
    let id = id.unwrap();
    let (run, _) = id.rsplit_once('-').unwrap();
    let mut told = String::new();
    for path in [
        "request/r2-5f3a-7",
        "request/r1-1-1",
        &format!("request/{run}-999"),
        "request/paper",
        "request/-1-1",
        "customer/nobody",
        "target/nowhere",
    ] {
        let (status, answer) = explain(&router, path);
        let path = path.replace(run, "RUN");
        writeln!(told, "{path}: {status} {answer}").unwrap();
    }
    insta::assert_snapshot!(told);
    let url = format!("http://{}/explain/dance/1", router.operators_address());
    assert_eq!(reply(agent().get(url).call().unwrap()).status, 404);
}
