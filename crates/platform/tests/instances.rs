//! The list of instances: the client against a stand-in, and the fake.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use dunlinward_platform::Error;
use dunlinward_platform::instances::{Client, Instance, List, Role, State, memory::Memory};
use dunlinward_standin::instances::{Settings, start};

fn instance() -> Instance {
    Instance {
        name: "r1".into(),
        role: Role::Router,
        address: "127.0.0.1:7001".parse().unwrap(),
        failure_domain: "hall-a".into(),
        state: State::Leaving,
    }
}

#[test]
fn the_client_reads_the_list() {
    let listed = dunlinward_standin::instances::Instance {
        name: "r1".into(),
        role: dunlinward_standin::instances::Role::Router,
        address: "127.0.0.1:7001".parse().unwrap(),
        failure_domain: "hall-a".into(),
        state: dunlinward_standin::instances::State::Leaving,
    };
    let settings = Settings {
        instances: vec![listed],
        ..Settings::default()
    };
    let server = start(settings).unwrap();
    let list = Client::new(server.address()).with_timeout(Duration::from_secs(20));
    assert_eq!(list.list().unwrap(), [instance()]);
    server.stop();
    assert!(matches!(
        list.list().unwrap_err(),
        Error::Connect { .. } | Error::Lost { .. }
    ));
}

#[test]
fn the_fake_has_outages() {
    let list = Memory::new();
    list.set(vec![instance()]);
    assert_eq!(list.list().unwrap(), [instance()]);
    list.set_outage(true);
    assert!(matches!(
        list.list().unwrap_err(),
        Error::Unavailable { status: 503 }
    ));
}

/// A server that gives one answer with this body.
fn canned(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    });
    address
}

/// One instance that can't be read costs no other of the list.
#[test]
fn an_odd_instance_costs_no_other_of_the_list() {
    let sound = serde_json::to_value(instance()).unwrap();
    let mut port = sound.clone();
    port["address"] = "127.0.0.1:70000".into();
    let mut role = sound.clone();
    role["role"] = "batch".into();
    let nested = format!("{}1{}", "[".repeat(100), "]".repeat(100));
    let odd = ["null", "7", "[]", "{}", "1e300", "-1", &nested];
    let odd = odd.map(str::to_owned).into_iter();
    for odd in odd.chain([port.to_string(), role.to_string()]) {
        let address = canned(format!(r#"{{"instances":[{odd},{sound},{odd}]}}"#));
        let list = Client::new(address).with_timeout(Duration::from_secs(20));
        assert_eq!(list.list().unwrap(), [instance()], "{odd}");
    }
}

/// An answer that is no list is an error, however deep it goes.
#[test]
fn an_answer_that_is_no_list_is_an_error() {
    let nested = "[".repeat(1_000_000);
    for body in [
        nested.clone(),
        format!(r#"{{"instances":[{nested}"#),
        "7".into(),
    ] {
        let list = Client::new(canned(body)).with_timeout(Duration::from_secs(20));
        assert!(matches!(list.list().unwrap_err(), Error::Answer { .. }));
    }
}
