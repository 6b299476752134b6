//! The hello and the seals that follow it.

use bytes::Bytes;
use dunlinward_wire::hello::{Acceptor, Dialer, Hello, MIN_KEY, Refusal, Session, VERSION};
use dunlinward_wire::seal::{Broken, SEAL};
use dunlinward_wire::{Identity, Key};

fn key(byte: u8) -> Key {
    Key::new(&[byte; MIN_KEY]).unwrap()
}

fn hello(instance: &str, nonce: u8) -> Hello {
    Hello {
        version: VERSION,
        nonce: [nonce; 16],
        identity: Identity {
            instance: instance.into(),
            incarnation: 1,
            failure_domain: "bkk-silom".into(),
            listen: "127.0.0.1:7001".parse().unwrap(),
        },
    }
}

/// A hello whose parts `alter` may change on the way; yields both sessions.
fn shake(alter: impl Fn(u8, &mut Hello)) -> Result<(Session, Session), Refusal> {
    let dialer = Dialer::new(key(1), hello("r1", 1));
    let mut received = dialer.hello().clone();
    alter(0, &mut received);
    let (mut answer, acceptor) = Acceptor::new(key(1), hello("r2", 2), received)?;
    alter(1, &mut answer.hello);
    let (confirm, at_dialer) = dialer.finish(answer)?;
    Ok((at_dialer, acceptor.finish(&confirm)?))
}

#[test]
fn both_ends_learn_of_each_other() {
    let (at_dialer, at_acceptor) = shake(|_, _| {}).unwrap();
    assert_eq!(at_dialer.peer, hello("r2", 2).identity);
    assert_eq!(at_acceptor.peer, hello("r1", 1).identity);
}

#[test]
fn each_field_of_each_hello_is_authenticated() {
    let alterations: [fn(&mut Hello); 5] = [
        |hello| hello.nonce[15] ^= 1,
        |hello| hello.identity.instance = "r3".into(),
        |hello| hello.identity.incarnation += 1,
        |hello| hello.identity.failure_domain = "bkk-lat".into(),
        |hello| hello.identity.listen.set_port(7002),
    ];
    for alteration in alterations {
        for message in [0, 1] {
            let result = shake(|at, hello| {
                if at == message {
                    alteration(hello);
                }
            });
            assert_eq!(result.err(), Some(Refusal::Key));
        }
    }
    let older = shake(|_, hello| hello.version += 1);
    assert_eq!(older.err(), Some(Refusal::Version));
}

#[test]
fn either_end_notices_another_key() {
    let dialer = Dialer::new(key(1), hello("r1", 1));
    let offered = hello("r1", 1);
    let (answer, acceptor) = Acceptor::new(key(2), hello("r2", 2), offered.clone()).unwrap();
    assert_eq!(dialer.finish(answer).err(), Some(Refusal::Key));
    let (answer, _) = Acceptor::new(key(1), hello("r2", 2), offered.clone()).unwrap();
    let (confirm, _) = Dialer::new(key(1), offered).finish(answer).unwrap();
    assert_eq!(acceptor.finish(&confirm).err(), Some(Refusal::Key));
}

#[test]
fn an_old_exchange_does_not_verify_again() {
    let offered = hello("r1", 1);
    let (answer, _) = Acceptor::new(key(1), hello("r2", 2), offered.clone()).unwrap();
    let (confirm, _) = Dialer::new(key(1), offered.clone())
        .finish(answer.clone())
        .unwrap();
    let (_, fresh) = Acceptor::new(key(1), hello("r2", 3), offered).unwrap();
    assert_eq!(fresh.finish(&confirm).err(), Some(Refusal::Key));
    let fresh = Dialer::new(key(1), hello("r1", 4));
    assert_eq!(fresh.finish(answer).err(), Some(Refusal::Key));
}

#[test]
fn a_tag_cannot_be_reflected() {
    let offered = hello("r1", 1);
    let (answer, acceptor) = Acceptor::new(key(1), hello("r2", 2), offered).unwrap();
    let tag = answer.tag;
    let confirm = dunlinward_wire::hello::Confirm { tag };
    assert_eq!(acceptor.finish(&confirm).err(), Some(Refusal::Key));
}

#[test]
fn seals_bind_message_position_direction_and_session() {
    let (mut one, mut two) = shake(|_, _| {}).unwrap();
    let first = one.sealer.seal(b"first");
    let second = one.sealer.seal(b"second");
    assert_eq!(first.len(), 5 + SEAL);
    assert_eq!(one.opener.open(first.clone()), Err(Broken), "reflected");
    assert_eq!(two.opener.open(first.clone()).unwrap(), "first");
    let (_, mut fresh) = shake(|_, _| {}).unwrap();
    assert_eq!(fresh.opener.open(second.clone()), Err(Broken), "reordered");
    let mut altered = second.to_vec();
    altered[0] ^= 1;
    assert_eq!(two.opener.open(altered.into()), Err(Broken), "altered");
    let short = Bytes::from_static(b"seven..");
    assert_eq!(fresh.opener.open(short), Err(Broken), "short");
    let dialer = Dialer::new(key(1), hello("r1", 9));
    let (answer, _) = Acceptor::new(key(1), hello("r2", 2), hello("r1", 9)).unwrap();
    let (_, mut other) = dialer.finish(answer).unwrap();
    let (_, mut fresh) = shake(|_, _| {}).unwrap();
    let strange = other.sealer.seal(b"first");
    assert_eq!(fresh.opener.open(strange), Err(Broken), "other session");
}

#[test]
fn a_key_has_a_least_length_and_stays_secret() {
    let short = Key::new(&[7; MIN_KEY - 1]).unwrap_err();
    assert_eq!(short.to_string(), "key of 15 bytes, at least 16 are needed");
    assert_eq!(format!("{:?}", key(7)), "Key");
}
