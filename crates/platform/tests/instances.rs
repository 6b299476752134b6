//! The list of instances: the client against a stand-in, and the fake.

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
