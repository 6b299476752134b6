//! Pools that meet a dialer which misbehaves.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use dunlinward_wire::counter::{Close, Loss};
use dunlinward_wire::hello::{Confirm, Refusal};
use dunlinward_wire::{Event, encode, frame::MAX_PAYLOAD};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use crate::common::{self, Raw, frame, hello, line, peer, run, sealed, settings, settle, start};

/// Opens a session with a pool, sends `bytes` and expects it closed for `close`.
fn closes_only_that_link(close: Close, bytes: Vec<u8>) {
    let (one, at_one) = start(settings("r1", 1));
    let (two, at_two) = start(settings("r2", 1));
    two.set_peers(&[peer("r1", one.address())]);
    two.send("r1", b"before".to_vec()).unwrap();
    let mut story = vec![line(&at_one), line(&at_one)];
    run(async {
        let (mut raw, mut session) = Raw::open(one.address(), hello("evil", 1, 1)).await;
        raw.send(sealed(&mut session, b"a good frame"));
        raw.send(bytes);
        raw.finish();
        assert!(raw.receive().await.is_none());
    });
    story.extend([line(&at_one), line(&at_one), line(&at_one)]);
    two.send("r1", b"after".to_vec()).unwrap();
    story.push(line(&at_one));
    assert_eq!(
        story,
        [
            "up r2 1 hall-a",
            "r2 1: before",
            "up evil 1 hall-a",
            "evil 1: a good frame",
            "down evil 1",
            "r2 1: after",
        ]
    );
    assert_eq!(line(&at_two), "up r1 1 hall-a");
    let counters = one.counters();
    assert_eq!(counters.closes(close), 1);
    let closes: u64 = Close::ALL.iter().map(|close| counters.closes(*close)).sum();
    assert_eq!(closes, 1);
    assert_eq!((two.counters().connects, two.counters().reconnects), (1, 0));
}

#[test]
fn garbage_closes_only_its_link() {
    let mut garbage = vec![0; 40_000];
    StdRng::seed_from_u64(5).fill_bytes(&mut garbage);
    garbage[0] = 0xff;
    closes_only_that_link(Close::Frame, garbage);
}

#[test]
fn an_oversized_length_closes_only_its_link() {
    let [_, length @ ..] = u32::try_from(MAX_PAYLOAD + 1).unwrap().to_be_bytes();
    closes_only_that_link(Close::Frame, [&[1], &length[..]].concat());
}

#[test]
fn a_truncated_frame_closes_only_its_link() {
    let whole = frame(&b"a frame that is cut"[..]);
    closes_only_that_link(Close::Truncated, whole[..10].to_vec());
}

#[test]
fn an_unsealed_frame_closes_only_its_link() {
    let forged = frame(&b"a grant for everyone"[..]);
    closes_only_that_link(Close::Seal, forged.to_vec());
    closes_only_that_link(Close::Seal, frame(&b"short"[..]).to_vec());
}

#[test]
fn a_sealed_frame_of_another_layout_closes_its_link() {
    let (one, at_one) = start(settings("r1", 1));
    run(async {
        let (mut raw, mut session) = Raw::open(one.address(), hello("evil", 1, 1)).await;
        raw.send(frame(session.sealer.seal(&[9, 200, 1])));
        assert!(raw.receive().await.is_none());
    });
    assert_eq!(
        [line(&at_one), line(&at_one)],
        ["up evil 1 hall-a", "down evil 1"]
    );
    assert_eq!(one.counters().closes(Close::Frame), 1);
}

#[test]
fn a_repeated_frame_closes_its_link() {
    let (one, at_one) = start(settings("r1", 1));
    run(async {
        let (mut raw, mut session) = Raw::open(one.address(), hello("evil", 1, 1)).await;
        let repeated = sealed(&mut session, b"once");
        raw.send(repeated.clone());
        raw.send(repeated);
        assert!(raw.receive().await.is_none());
    });
    let story = [line(&at_one), line(&at_one), line(&at_one)];
    assert_eq!(story, ["up evil 1 hall-a", "evil 1: once", "down evil 1"]);
    assert_eq!(one.counters().closes(Close::Seal), 1);
}

#[test]
fn a_wrong_confirmation_is_refused() {
    let (one, at_one) = start(settings("r1", 1));
    run(async {
        let mut raw = Raw::connect(one.address()).await;
        raw.send(frame(encode(&hello("evil", 1, 1), 1024).unwrap()));
        assert!(raw.receive().await.is_some());
        let confirm = Confirm { tag: [9; 32] };
        raw.send(frame(encode(&confirm, 1024).unwrap()));
        assert!(raw.receive().await.is_none());
    });
    settle(&one, |counters| counters.refusals(Refusal::Key) == 1);
    assert!(at_one.try_recv().is_err());
}

#[test]
fn a_replayed_hello_is_refused() {
    let (one, _at_one) = start(settings("r1", 1));
    run(async {
        let (_raw, _session) = Raw::open(one.address(), hello("r2", 1, 1)).await;
        let mut replay = Raw::connect(one.address()).await;
        replay.send(frame(encode(&hello("r2", 1, 1), 1024).unwrap()));
        assert!(replay.receive().await.is_none());
    });
    settle(&one, |counters| counters.refusals(Refusal::Replay) == 1);
    assert_eq!(one.counters().accepts, 1);
}

#[test]
fn malformed_hellos_are_refused() {
    let (one, at_one) = start(settings("r1", 1));
    let long = frame(vec![0; 1025]);
    let strange = frame(&b"no hello"[..]);
    let other = [2, 0, 0, 1, 0].to_vec();
    for bytes in [long, strange, other.into()] {
        run(async {
            let mut raw = Raw::connect(one.address()).await;
            raw.send(bytes);
            assert!(raw.receive().await.is_none());
        });
    }
    settle(&one, |counters| counters.refusals(Refusal::Malformed) == 2);
    settle(&one, |counters| counters.refusals(Refusal::Version) == 1);
    assert!(at_one.try_recv().is_err());
}

#[test]
fn strangers_are_closed() {
    let (one, at_one) = start(settings("r1", 1));
    let mut rude = TcpStream::connect(one.address()).unwrap();
    rude.write_all(b"GET / HTTP/1.1\r\n\r\n and more than a preface takes")
        .unwrap();
    settle(&one, |counters| counters.refusals(Refusal::Malformed) == 1);
    let hello = Duration::from_millis(50);
    let (two, at_two) = start(settings("r2", 1).with_hello(hello));
    let mut silent = TcpStream::connect(two.address()).unwrap();
    settle(&two, |counters| counters.refusals(Refusal::Timeout) == 1);
    silent.set_read_timeout(Some(common::PATIENCE)).unwrap();
    let mut rest = Vec::new();
    silent.read_to_end(&mut rest).unwrap();
    assert!(at_one.try_recv().is_err());
    assert!(at_two.try_recv().is_err());
}

#[test]
fn only_so_many_connections_may_be_opening() {
    let (one, _at_one) = start(settings("r1", 1).with_opening(2));
    let open = || TcpStream::connect(one.address()).unwrap();
    let _connections = [open(), open(), open(), open()];
    settle(&one, |counters| counters.refusals(Refusal::Busy) == 2);
}

#[test]
fn a_later_incarnation_supersedes() {
    let (one, at_one) = start(settings("r1", 1));
    run(async {
        let (mut old, _session) = Raw::open(one.address(), hello("r2", 1, 1)).await;
        let (_new, _session) = Raw::open(one.address(), hello("r2", 2, 2)).await;
        assert!(old.receive().await.is_none());
        let mut late = Raw::connect(one.address()).await;
        late.shake(hello("r2", 1, 3)).await;
        assert!(late.receive().await.is_none());
    });
    let story: Vec<_> = (0..4).map(|_| line(&at_one)).collect();
    insta::assert_snapshot!(story.join("\n"));
    let counters = one.counters();
    assert_eq!(counters.closes(Close::Superseded), 1);
    assert_eq!(counters.refusals(Refusal::Incarnation), 1);
}

#[test]
fn a_burst_of_small_frames_is_no_offence() {
    let (one, _at_one) = start(settings("r1", 1));
    run(async {
        let (mut raw, mut session) = Raw::open(one.address(), hello("r2", 1, 1)).await;
        for _ in 0..20_000 {
            raw.send(sealed(&mut session, b"!"));
        }
        while one.counters().messages_in < 20_000 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert_eq!(one.counters().accepts, 1);
}

#[test]
fn a_peer_that_takes_no_bytes_is_closed() {
    let (one, at_one) = start(settings("r1", 1).with_dead(Duration::from_millis(300)));
    run(async {
        let (_raw, _session) = Raw::open(one.address(), hello("r2", 1, 1)).await;
        for _ in 0..8 {
            one.send("r2", vec![0; 100_000]).unwrap();
        }
        while one.counters().closes(Close::Stall) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert_eq!(line(&at_one), "up r2 1 hall-a");
    assert!(matches!(common::next(&at_one), Event::Down { .. }));
    assert_eq!(one.counters().drops(Loss::Lost), 1);
}
