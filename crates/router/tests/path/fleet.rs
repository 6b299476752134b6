//! Several routers: configurations, slots and drains between them.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use dunlinward_kernel::key::Key;
use dunlinward_kernel::rendezvous;
use dunlinward_router::{Router, start};
use dunlinward_standin::instances::{Instance, Role, State};

use crate::world::{PATIENCE, World, completion, fault, request, run_count, runs, send, wait};

fn fleet(world: &World, count: usize) -> Vec<Router> {
    let routers: Vec<Router> = (1..=count)
        .map(|number| {
            let name = format!("r{number}");
            let router = start(world.settings(&name)).unwrap();
            world.list(&router, &name);
            router
        })
        .collect();
    wait("a whole view", || {
        routers.iter().all(|router| {
            let status = router.status().unwrap();
            status.instances.iter().filter(|one| one.live).count() == count
        })
    });
    routers
}

fn in_force(routers: &[Router], revision: u64) {
    wait("the same revision everywhere", || {
        routers
            .iter()
            .all(|router| router.revision() == Some(revision))
    });
}

/// Whichever router a caller comes to, and whoever owns the target, it is served.
#[test]
fn every_router_serves_every_target() {
    let world = World::new()
        .with_engine(2)
        .with_plain(Duration::from_millis(1));
    world.apply("first", None, &world.text(true));
    let routers = fleet(&world, 3);
    in_force(&routers, 0);
    for router in &routers {
        let asked = request(router, "POST", "/v1/chat/completions").body(completion(5, true));
        let reply = send(asked.unwrap());
        assert_eq!(reply.status, 200, "{}", reply.body);
        let asked = request(router, "POST", "/portal/receipts").body("paper".to_owned());
        let reply = send(asked.unwrap());
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(run_count(&world.engines[0]), 3);
    assert_eq!(run_count(&world.plains[0]), 3);
}

#[test]
fn a_new_revision_is_in_force_everywhere_and_a_void_one_nowhere() {
    let world = World::new().with_engine(2);
    let text = world.text(true);
    world.apply("first", None, &text);
    let routers = fleet(&world, 3);
    in_force(&routers, 0);
    // Routers may have stated the first one again meanwhile, which takes an offset.
    let second = world.apply("second", Some(0), &text.replace("share = 1", "share = 3"));
    world.apply("racer", Some(0), &text.replace("share = 1", "share = 9"));
    in_force(&routers, second);
    for router in &routers {
        let status = router.status().unwrap();
        wait("the new shares", || {
            let status = router.status().unwrap();
            status.customers.iter().all(|customer| customer.share == 3)
        });
        assert!(!status.customers.is_empty());
    }
    std::thread::sleep(Duration::from_millis(300));
    in_force(&routers, second);
}

/// The routers that are to read the log cannot reach it; another one can.
#[test]
fn a_revision_comes_into_force_although_no_reader_reaches_the_log() {
    let world = World::new().with_engine(2);
    let text = world.text(true);
    world.apply("first", None, &text);
    let mut names = ["r1", "r2", "r3"];
    names.sort_by_key(|name| rendezvous::weight(Key::new(name), Key::new("configuration")));
    let closed = closed_address();
    let routers: Vec<Router> = names
        .iter()
        .enumerate()
        .map(|(place, name)| {
            let settings = world.settings(name);
            // The least weight reads last; the two others are the readers.
            let settings = if place == 0 {
                settings
            } else {
                settings.with_log(closed)
            };
            let router = start(settings).unwrap();
            world.list(&router, name);
            router
        })
        .collect();
    in_force(&routers, 0);
    wait("a whole view", || {
        let live = |router: &Router| {
            let status = router.status().unwrap();
            status.instances.iter().filter(|one| one.live).count()
        };
        routers.iter().all(|router| live(router) == 3)
    });
    // Until it saw the others, the last one was its own reader; let that read end.
    std::thread::sleep(Duration::from_secs(2));
    let second = world.apply("second", Some(0), &text.replace("share = 1", "share = 3"));
    in_force(&routers, second);
}

/// An address at which nobody listens.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A router that starts while the log is away learns the configuration from a peer.
#[test]
fn a_router_started_empty_asks_a_peer() {
    let world = World::new().with_engine(2);
    world.apply("first", None, &world.text(true));
    let mut routers = fleet(&world, 1);
    in_force(&routers, 0);
    fault(&world.log, r#"{"outage":true}"#);
    let late = start(world.settings("r2")).unwrap();
    world.list(&late, "r2");
    routers.push(late);
    in_force(&routers, 0);
    let asked = request(&routers[1], "POST", "/v1/chat/completions").body(completion(5, true));
    assert_eq!(send(asked.unwrap()).status, 200);
}

/// Routers drain one after the other under load; no caller sees more than a
/// refusal that says "not run", and goes to the next router with it.
#[test]
fn a_rolling_drain_loses_and_doubles_nothing() {
    let world = World::new()
        .with_plain(Duration::from_millis(10))
        .with_plain(Duration::from_millis(10));
    world.apply("first", None, &world.text(true));
    let routers = fleet(&world, 3);
    in_force(&routers, 0);
    let addresses: Vec<_> = routers.iter().map(Router::callers_address).collect();
    let whole = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let addresses = &addresses;
                scope.spawn(move || (0..60).filter(|_| submit(addresses, caller)).count())
            })
            .collect();
        for (number, router) in routers.iter().enumerate().take(2) {
            std::thread::sleep(Duration::from_millis(300));
            world.list_entry(&Instance {
                name: format!("r{}", number + 1).into(),
                role: Role::Router,
                address: router.link_address(),
                failure_domain: "hall-a".into(),
                state: State::Leaving,
            });
            assert!(router.drain(), "r{}", number + 1);
        }
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum::<usize>()
    });
    assert_eq!(whole, 240);
    let ran: u64 = world.plains.iter().map(run_count).sum();
    assert_eq!(ran, 240);
    assert!(world.plains.iter().flat_map(runs).all(|run| run.count == 1));
}

/// Submits one receipt, going on to the next router while the answer is "not run".
fn submit(addresses: &[std::net::SocketAddr], caller: usize) -> bool {
    let begun = std::time::Instant::now();
    for address in addresses.iter().cycle().skip(caller) {
        assert!(begun.elapsed() < PATIENCE, "no answer");
        let asked = ureq::http::Request::builder()
            .method("POST")
            .uri(format!("http://{address}/portal/receipts"))
            .header("authorization", "Bearer key-alpha")
            .body("paper".to_owned());
        let reply = send(asked.unwrap());
        if reply.status == 200 {
            return true;
        }
        assert_eq!(reply.verdict.as_deref(), Some("not_run"), "{}", reply.body);
    }
    false
}
