//! The plain service, the log, the instance list and the weight store.

use std::time::Duration;

use crate::support::{Client, json};
use dunlinward_standin::{instances, log, plain, weights};
use serde_json::{Value, json};

fn offsets(page: &Value) -> Vec<u64> {
    let records = page["records"].as_array().unwrap().iter();
    records.map(|r| r["offset"].as_u64().unwrap()).collect()
}

#[test]
fn log_counts_from_zero_and_forgets_the_oldest() {
    let server = log::start(log::Settings {
        max_records: 3,
        ..log::Settings::default()
    })
    .unwrap();
    let client = Client::new(server.address());
    let empty = client.get_json("/streams/s/records?from=0");
    assert_eq!(empty, json!({"first": 0, "next": 0, "records": []}));
    for number in 0..5 {
        let receipt = json(client.post("/streams/s/records", &number));
        assert_eq!(receipt, json!({"offset": number}));
    }
    let page = client.get_json("/streams/s/records?from=0&max=2");
    insta::assert_snapshot!(page);
    let end = client.get_json("/streams/s/records?from=5");
    assert_eq!(end, json!({"first": 2, "next": 5, "records": []}));
    let other = client.get_json("/streams/t/records?from=0");
    assert_eq!(other["next"], 0, "streams are apart");
}

#[test]
fn log_read_waits_for_the_next_record() {
    let server = log::start(log::Settings::default()).unwrap();
    let address = server.address();
    let reader = std::thread::spawn(move || {
        Client::new(address).get_json("/streams/s/records?from=0&wait_ms=30000")
    });
    Client::new(address).post("/streams/s/records", &"x");
    assert_eq!(offsets(&reader.join().unwrap()), [0]);
}

#[test]
fn log_outage_refuses_and_appends_nothing() {
    let server = log::start(log::Settings::default()).unwrap();
    let client = Client::new(server.address());
    client.post("/admin/faults", &json!({"outage": true}));
    assert_eq!(client.post("/streams/s/records", &1).status(), 503);
    assert_eq!(client.get("/streams/s/records?from=0").status(), 503);
    client.post("/admin/faults", &json!({}));
    assert_eq!(client.get_json("/streams/s/records?from=0")["next"], 0);
}

#[test]
fn log_loses_the_answer_of_an_append_that_worked() {
    let server = log::start(log::Settings::default()).unwrap();
    let client = Client::new(server.address());
    client.post("/admin/faults", &json!({"lose_answers": 1}));
    assert!(client.try_post("/streams/s/records", &1).is_err());
    assert_eq!(json(client.post("/streams/s/records", &2))["offset"], 1);
    let page = client.get_json("/streams/s/records?from=0");
    assert_eq!(offsets(&page), [0, 1]);
}

#[test]
fn log_refuses_appends_over_its_rate() {
    let server = log::start(log::Settings {
        appends_per_second: 0,
        ..log::Settings::default()
    })
    .unwrap();
    let client = Client::new(server.address());
    assert_eq!(client.post("/streams/s/records", &1).status(), 200);
    assert_eq!(client.post("/streams/s/records", &2).status(), 429);
    assert_eq!(client.get_json("/streams/s/records?from=0")["next"], 1);
}

#[test]
fn log_rejects_what_is_no_text() {
    let server = log::start(log::Settings::default()).unwrap();
    let url = format!("http://{}/streams/s/records", server.address());
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into();
    assert_eq!(agent.post(url).send(&[0xff][..]).unwrap().status(), 400);
}

fn target(name: &str, state: &str) -> Value {
    json!({
        "name": name, "role": "target", "address": "127.0.0.1:7001",
        "failure_domain": "hall-a", "state": state,
    })
}

#[test]
fn instance_changes_become_visible_in_order() {
    let server = instances::start(instances::Settings {
        lag: Duration::ZERO,
        ..instances::Settings::default()
    })
    .unwrap();
    let client = Client::new(server.address());
    client.put("/admin/instances", &target("t2", "live"));
    client.put("/admin/instances", &target("t1", "live"));
    client.put("/admin/instances", &target("t1", "leaving"));
    client.delete("/admin/instances/t2");
    let list = client.get_json("/instances");
    assert_eq!(list, json!({"instances": [target("t1", "leaving")]}));
}

#[test]
fn instance_list_lags_and_has_outages() {
    let first = serde_json::from_value(target("t1", "live")).unwrap();
    let server = instances::start(instances::Settings {
        lag: Duration::from_hours(1),
        instances: vec![first],
        ..instances::Settings::default()
    })
    .unwrap();
    let client = Client::new(server.address());
    client.put("/admin/instances", &target("t1", "leaving"));
    let list = client.get_json("/instances");
    assert_eq!(list, json!({"instances": [target("t1", "live")]}));
    client.post("/admin/faults", &json!({"outage": true}));
    assert_eq!(client.get("/instances").status(), 503);
    assert_eq!(
        client.put("/admin/instances", &json!({"name": 1})).status(),
        400
    );
}

#[test]
fn plain_service_counts_runs_whatever_the_caller_hears() {
    let server = plain::start(plain::Settings {
        service_time: Duration::ZERO,
        ..plain::Settings::default()
    })
    .unwrap();
    let client = Client::new(server.address());
    client.post("/admin/faults", &json!({"refuse": true}));
    let refused = client.post("/receipts", &1);
    assert_eq!(refused.headers()["x-not-run"], "1");
    assert_eq!(client.get_json("/admin/runs"), json!({"runs": []}));
    client.post("/admin/faults", &json!({"lose_answers": 1}));
    assert!(client.try_post("/receipts", &1).is_err());
    let receipt = json(client.post("/receipts", &1));
    insta::assert_snapshot!(format!("{receipt}\n{}", client.get_json("/admin/runs")));
}

#[test]
fn weight_store_refuses_over_its_rate() {
    let server = weights::start(weights::Settings {
        delay: Duration::ZERO,
        fetches_per_second: 0,
        ..weights::Settings::default()
    })
    .unwrap();
    let client = Client::new(server.address());
    assert_eq!(client.get("/weights/m/1").status(), 200);
    assert_eq!(client.get("/weights/m/1").status(), 429);
    assert_eq!(client.get("/weights/m").status(), 404);
}

#[test]
fn stopped_server_breaks_its_connections() {
    let server = plain::start(plain::Settings::default()).unwrap();
    let client = Client::new(server.address());
    client.post("/x", &1);
    server.stop();
    assert!(client.try_post("/x", &1).is_err());
}
