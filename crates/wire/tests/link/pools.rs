//! Pools that talk to pools.

use std::net::TcpListener;
use std::time::Duration;

use crate::common::{PATIENCE, line, loopback, peer, settings, settle, start};
use dunlinward_wire::Key;
use dunlinward_wire::batch::MAX_MESSAGE;
use dunlinward_wire::counter::{Close, Loss};
use dunlinward_wire::hello::Refusal;
use dunlinward_wire::queue::Bound;

#[test]
fn two_pools_share_one_connection() {
    let (one, at_one) = start(settings("r1", 7));
    let (two, at_two) = start(settings("r2", 8));
    one.set_peers(&[peer("r2", two.address())]);
    one.send("r2", b"ping".to_vec()).unwrap();
    let mut story = vec![line(&at_two), line(&at_two)];
    two.send("r1", b"pong".to_vec()).unwrap();
    story.extend([line(&at_one), line(&at_one)]);
    insta::assert_snapshot!(story.join("\n"));
    let counters = one.counters();
    assert_eq!((counters.connects, counters.accepts), (1, 0));
    assert_eq!((counters.messages_out, counters.messages_in), (1, 1));
    assert!(counters.network_out() > counters.bytes_out);
}

#[test]
fn messages_of_a_session_keep_their_order() {
    let (one, _at_one) = start(settings("r1", 1));
    let (two, at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r2", two.address())]);
    let sizes = [0, 1, 100, 20_000, 300_000, 3, MAX_MESSAGE, 5];
    for size in sizes {
        one.send("r2", vec![b'x'; size]).unwrap();
    }
    assert_eq!(line(&at_two), "up r1 1 hall-a");
    let found = sizes.map(|_| line(&at_two).len() - "r1 1: ".len());
    assert_eq!(found, sizes);
}

#[test]
fn many_empty_messages_pass() {
    let bound = Bound {
        messages: 200_000,
        bytes: 1 << 20,
        age: Duration::from_mins(10),
    };
    let (one, _at_one) = start(settings("r1", 1).with_bound(bound));
    let (two, _at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r2", two.address())]);
    for _ in 0..100_000 {
        one.send("r2", Vec::new()).unwrap();
    }
    settle(&two, |counters| counters.messages_in == 100_000);
    assert_eq!(two.counters().accepts, 1);
}

#[test]
fn three_pools_reach_each_other() {
    let names = ["r1", "r2", "r3"];
    let pools = names.map(|name| start(settings(name, 1)));
    let addresses = [0, 1, 2].map(|i| peer(names[i], pools[i].0.address()));
    for (pool, _) in &pools {
        pool.set_peers(&addresses);
    }
    for (i, (pool, _)) in pools.iter().enumerate() {
        for name in names.iter().filter(|name| **name != names[i]) {
            pool.send(name, names[i].into()).unwrap();
        }
    }
    for (i, (pool, events)) in pools.iter().enumerate() {
        settle(pool, |counters| counters.messages_in == 2);
        let mut story: Vec<_> = (0..4).map(|_| line(events)).collect();
        story.sort();
        let others: Vec<_> = names.iter().filter(|name| **name != names[i]).collect();
        let mut expected: Vec<_> = others.iter().map(|n| format!("{n} 1: {n}")).collect();
        expected.extend(others.iter().map(|name| format!("up {name} 1 hall-a")));
        assert_eq!(story, expected);
    }
}

#[test]
fn another_key_is_refused() {
    let (one, _at_one) = start(settings("r1", 1));
    let other = Key::new(b"another key of twenty bytes").unwrap();
    let (two, at_two) = start(settings("r2", 1).with_key(other));
    one.set_peers(&[peer("r2", two.address())]);
    one.send("r2", b"secret".to_vec()).unwrap();
    settle(&one, |counters| counters.refusals(Refusal::Key) > 1);
    settle(&two, |counters| counters.refusals(Refusal::Closed) > 0);
    assert!(at_two.try_recv().is_err());
    assert_eq!(one.counters().connects, 0);
}

#[test]
fn another_version_is_refused() {
    let (one, _at_one) = start(settings("r1", 1).with_version(2));
    let (two, at_two) = start(settings("r2", 1).with_version(3));
    one.set_peers(&[peer("r2", two.address())]);
    one.send("r2", b"strange".to_vec()).unwrap();
    settle(&two, |counters| counters.refusals(Refusal::Version) > 0);
    settle(&one, |counters| counters.refusals(Refusal::Closed) > 0);
    assert!(at_two.try_recv().is_err());
}

#[test]
fn another_instance_at_the_address_is_refused() {
    let (one, _at_one) = start(settings("r1", 1));
    let (two, at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r3", two.address())]);
    one.send("r3", b"not for r2".to_vec()).unwrap();
    settle(&one, |counters| counters.refusals(Refusal::Instance) > 0);
    settle(&two, |counters| counters.refusals(Refusal::Closed) > 0);
    assert!(at_two.try_recv().is_err());
}

#[test]
fn a_restarted_peer_is_a_new_incarnation() {
    let (one, at_one) = start(settings("r1", 1));
    let (two, at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r2", two.address())]);
    one.send("r2", b"before".to_vec()).unwrap();
    let mut story = vec![line(&at_two), line(&at_two), line(&at_one)];
    drop(two);
    story.push(line(&at_one));
    let (two, at_two) = start(settings("r2", 2));
    one.set_peers(&[peer("r2", two.address())]);
    one.send("r2", b"after".to_vec()).unwrap();
    story.extend([line(&at_two), line(&at_two), line(&at_one)]);
    insta::assert_snapshot!(story.join("\n"));
    assert_eq!(one.counters().reconnects, 1);
}

#[test]
fn a_full_queue_drops_its_oldest() {
    let silent = TcpListener::bind(loopback()).unwrap();
    let bound = Bound {
        messages: 4,
        bytes: 1 << 20,
        age: Duration::from_mins(10),
    };
    let (one, _at_one) = start(settings("r1", 1).with_bound(bound));
    let address = silent.local_addr().unwrap();
    one.set_peers(&[peer("r2", address)]);
    for i in 0..10 {
        one.send("r2", format!("m{i}").into_bytes()).unwrap();
    }
    assert_eq!(one.counters().drops(Loss::Full), 6);
    let (two, at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r2", two.address())]);
    drop(silent);
    let story: Vec<_> = (0..5).map(|_| line(&at_two)).collect();
    insta::assert_snapshot!(story.join("\n"));
}

#[test]
fn what_waited_too_long_is_dropped() {
    let closed = TcpListener::bind(loopback()).unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let bound = Bound {
        messages: 4,
        bytes: 1 << 20,
        age: Duration::from_millis(1),
    };
    let (one, _at_one) = start(settings("r1", 1).with_bound(bound));
    one.set_peers(&[peer("r2", address)]);
    one.send("r2", b"soon old".to_vec()).unwrap();
    settle(&one, |counters| counters.drops(Loss::Stale) == 1);
}

#[test]
fn what_cannot_be_sent_is_refused_and_counted() {
    let (one, _at_one) = start(settings("r1", 1));
    one.set_peers(&[peer("r2", "127.0.0.1:9".parse().unwrap())]);
    assert_eq!(one.send("r3", Vec::new()), Err(Loss::Unknown));
    let large = vec![0; MAX_MESSAGE + 1];
    assert_eq!(one.send("r2", large), Err(Loss::Oversize));
    one.set_peers(&[]);
    assert_eq!(one.send("r2", Vec::new()), Err(Loss::Unknown));
    let counters = one.counters();
    assert_eq!(counters.drops(Loss::Unknown), 2);
    assert_eq!(counters.drops(Loss::Oversize), 1);
}

#[test]
fn an_idle_session_closes_and_opens_again() {
    let (one, at_one) = start(settings("r1", 1).with_idle(Duration::from_millis(50)));
    let (two, at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r2", two.address())]);
    one.send("r2", b"first".to_vec()).unwrap();
    let mut story = vec![line(&at_one), line(&at_one)];
    story.extend([line(&at_two), line(&at_two), line(&at_two)]);
    one.send("r2", b"second".to_vec()).unwrap();
    story.extend([line(&at_two), line(&at_two)]);
    insta::assert_snapshot!(story.join("\n"));
    settle(&one, |counters| counters.closes(Close::Idle) == 2);
    settle(&two, |counters| counters.closes(Close::Ended) == 2);
    assert_eq!(one.counters().reconnects, 1);
}

#[test]
fn a_flushed_pool_may_be_dropped() {
    let (one, _at_one) = start(settings("r1", 1));
    let (two, at_two) = start(settings("r2", 1));
    one.set_peers(&[peer("r2", two.address())]);
    for i in 0..100 {
        one.send("r2", format!("m{i}").into_bytes()).unwrap();
    }
    assert!(one.flush(PATIENCE));
    drop(one);
    assert_eq!(line(&at_two), "up r1 1 hall-a");
    for i in 0..100 {
        assert_eq!(line(&at_two), format!("r1 1: m{i}"));
    }
    assert_eq!(line(&at_two), "down r1 1");
}

#[test]
fn a_flush_ends_without_the_peer() {
    let silent = TcpListener::bind(loopback()).unwrap();
    let (one, _at_one) = start(settings("r1", 1));
    one.set_peers(&[peer("r2", silent.local_addr().unwrap())]);
    one.send("r2", b"nobody reads".to_vec()).unwrap();
    assert!(!one.flush(Duration::from_millis(10)));
}

#[test]
fn pools_that_dial_at_once_agree() {
    for round in 1..=20 {
        let (one, at_one) = start(settings("r1", round));
        let (two, at_two) = start(settings("r2", round));
        one.set_peers(&[peer("r2", two.address())]);
        two.set_peers(&[peer("r1", one.address())]);
        for _ in 0..10 {
            one.send("r2", b"from r1".to_vec()).unwrap();
            two.send("r1", b"from r2".to_vec()).unwrap();
        }
        for events in [&at_one, &at_two] {
            assert!(line(events).starts_with("up"));
            for _ in 0..10 {
                assert!(line(events).contains(": from"));
            }
        }
    }
}
