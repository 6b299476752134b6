//! Frames in any split, whole and damaged.

use bytes::{Bytes, BytesMut};
use dunlinward_wire::frame::{Error, HEADER, MAX_PAYLOAD};
use dunlinward_wire::{Decoder, Frame};
use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};

/// Streams tried by each property.
const ROUNDS: usize = 20_000;

fn payload(random: &mut StdRng) -> Bytes {
    let mut payload = vec![0; random.random_range(0..80)];
    random.fill_bytes(&mut payload);
    payload.into()
}

fn stream(payloads: &[Bytes]) -> Vec<u8> {
    let mut out = BytesMut::new();
    for payload in payloads {
        Frame::new(payload.clone()).unwrap().write(&mut out);
    }
    out.to_vec()
}

/// Feeds a stream in random pieces; yields its payloads and how it ended.
fn read(stream: &[u8], random: &mut StdRng) -> (Vec<Bytes>, Result<(), Error>) {
    let mut decoder = Decoder::new();
    let mut payloads = Vec::new();
    let mut rest = stream;
    while !rest.is_empty() {
        let (piece, later) = rest.split_at(random.random_range(1..=rest.len()));
        decoder.push(piece);
        rest = later;
        loop {
            match decoder.pop() {
                Ok(Some(frame)) => payloads.push(frame.into_payload()),
                Ok(None) => break,
                Err(error) => {
                    assert_eq!(decoder.pop(), Err(error), "an error is final");
                    assert_eq!(decoder.finish(), Err(error));
                    return (payloads, Err(error));
                }
            }
        }
    }
    (payloads, decoder.finish())
}

#[test]
fn any_split_yields_the_same_frames() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..ROUNDS {
        let count = random.random_range(0..6);
        let payloads: Vec<_> = (0..count).map(|_| payload(&mut random)).collect();
        let found = read(&stream(&payloads), &mut random);
        assert_eq!(found, (payloads, Ok(())));
    }
}

#[test]
fn a_mutation_leaves_the_frames_before_it() {
    let mut random = StdRng::seed_from_u64(2);
    let mut failed = 0;
    for _ in 0..ROUNDS {
        let payloads: Vec<_> = (0..4).map(|_| payload(&mut random)).collect();
        let mut bytes = stream(&payloads);
        let at = random.random_range(0..bytes.len());
        bytes[at] ^= random.random_range(1..=255_u8);
        let (found, end) = read(&bytes, &mut random);
        let whole = payloads
            .iter()
            .scan(0, |end, payload| {
                *end += HEADER + payload.len();
                Some(*end)
            })
            .filter(|end| *end <= at)
            .count();
        assert_eq!(found[..whole], payloads[..whole]);
        failed += usize::from(end.is_err());
    }
    assert!(failed > ROUNDS / 20, "only {failed} mutations were noticed");
}

#[test]
fn random_bytes_never_panic() {
    let mut random = StdRng::seed_from_u64(3);
    for _ in 0..ROUNDS {
        let mut bytes = vec![0; random.random_range(1..200)];
        random.fill_bytes(&mut bytes);
        if random.random_bool(0.5) {
            bytes[0] = 1;
        }
        let (found, end) = read(&bytes, &mut random);
        let held: usize = found.iter().map(Bytes::len).sum();
        assert!(held <= bytes.len());
        assert!(end.is_err() || held + found.len() * HEADER == bytes.len());
    }
}

#[test]
fn damage_has_a_typed_error() {
    let mut story = Vec::new();
    let cases: [&[u8]; 6] = [
        &[0],
        &[2, 0, 0, 0],
        &[1, 0x10, 0, 1],
        &[1, 0xff, 0xff, 0xff],
        &[1, 0, 0],
        &[1, 0, 0, 2, 7],
    ];
    for bytes in cases {
        let (found, end) = read(bytes, &mut StdRng::seed_from_u64(4));
        assert!(found.is_empty());
        story.push(format!("{bytes:?}: {}", end.unwrap_err()));
    }
    insta::assert_snapshot!(story.join("\n"));
}

#[test]
fn the_bound_is_exact() {
    assert!(Frame::new(vec![0; MAX_PAYLOAD]).is_ok());
    let size = MAX_PAYLOAD + 1;
    let limit = MAX_PAYLOAD;
    let error = Error::Oversize { size, limit };
    assert_eq!(Frame::new(vec![0; size]), Err(error));
    let mut decoder = Decoder::new().with_limit(2);
    decoder.push(&stream(&[
        Bytes::from_static(b"ab"),
        Bytes::from_static(b"abc"),
    ]));
    assert_eq!(decoder.pop().unwrap().unwrap().into_payload(), "ab");
    let error = Error::Oversize { size: 3, limit: 2 };
    assert_eq!(decoder.pop(), Err(error));
}
