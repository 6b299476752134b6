//! Messages within their limits.

use bincode::{Decode, Encode};
use dunlinward_wire::codec::Error;
use dunlinward_wire::{decode, encode};
use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};

#[derive(Debug, PartialEq, Eq, Encode, Decode)]
enum Message {
    Report { customer: String, backlog: u64 },
    Grants(Vec<u32>),
}

fn report() -> Message {
    Message::Report {
        customer: "skole".to_owned(),
        backlog: 40,
    }
}

#[test]
fn a_message_survives() {
    let bytes = encode(&report(), 64).unwrap();
    assert_eq!(bytes, [0, 5, b's', b'k', b'o', b'l', b'e', 40]);
    assert_eq!(decode::<Message>(&bytes, 64).unwrap(), report());
}

#[test]
fn bad_messages_have_typed_errors() {
    let bytes = encode(&report(), 64).unwrap();
    let longer = [&bytes[..], &[0]].concat();
    let claim = [1, 253, 255, 255, 255, 255, 255, 255, 255, 255];
    let mut story = vec![encode(&report(), 7).unwrap_err()];
    for (bytes, limit) in [
        (&bytes[..], 7),
        (&bytes[..7], 64),
        (&longer[..], 64),
        (&[9][..], 64),
        (&claim[..], 64),
    ] {
        story.push(decode::<Message>(bytes, limit).unwrap_err());
    }
    let lines: Vec<_> = story.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn random_bytes_never_panic() {
    let mut random = StdRng::seed_from_u64(6);
    let mut good = 0;
    for _ in 0..20_000 {
        let mut bytes = vec![0; random.random_range(0..40)];
        random.fill_bytes(&mut bytes);
        if let Some(variant) = bytes.first_mut() {
            *variant &= 1;
        }
        match decode::<Message>(&bytes, 40) {
            Ok(message) => {
                good += 1;
                let again = encode(&message, 400).unwrap();
                assert_eq!(decode::<Message>(&again, 400).unwrap(), message);
            }
            Err(error) => assert!(matches!(
                error,
                Error::Decode { .. } | Error::Trailing { .. }
            )),
        }
    }
    assert!(good > 0);
}
