//! Cost of knowing the software versions that began streams, by the number of routers.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bincode::config::standard;
use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::continuation::{Answer, Ledger, Note, Origin, Report, Stream};
use dunlinward_dispatch::member::{Condition, Descriptor, Members};
use dunlinward_dispatch::message::{Content, Message};
use dunlinward_dispatch::target::Version;
use dunlinward_dispatch::usage::Peer;
use xxhash_rust::xxh64::xxh64;

const STREAMS: u64 = 2_000;

fn router(number: u16) -> Descriptor {
    Descriptor {
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        peer: Peer(xxh64(&number.to_le_bytes(), 0)),
        domain: format!("d-{}", number % 5).into(),
        millicores: 250,
    }
}

fn note(number: u64) -> Note {
    Note {
        stream: Stream(xxh64(&number.to_le_bytes(), 1)),
        service: ServiceTag::new("pool"),
        version: Version::new("v1"),
        age: Duration::from_millis(number % 1_000),
    }
}

fn bytes(content: Content) -> usize {
    let sender = router(1).peer;
    let message = Message { sender, content };
    let encoded = bincode::serde::encode_to_vec(&message, standard());
    encoded.map_or(0, |it| it.len())
}

fn main() {
    let one = note(1);
    let notes: Vec<_> = (0..100).map(note).collect();
    println!(
        "bytes: note {}, query {}, answer {}, batch of 100 {}",
        bytes(Content::StreamNotes(Report::new(vec![one]))),
        bytes(Content::StreamQuery(one.stream)),
        bytes(Content::StreamAnswer(Answer::new(
            one.stream,
            Origin::Known(one.version)
        ))),
        bytes(Content::StreamRecords(Report::new(notes))),
    );
    println!("routers, us a stream to record and choose keepers, ms to resend after a change");
    for count in [9, 64, 300, 985] {
        let mut members = Members::new(router(0));
        for number in 1..count {
            members.upsert(&router(number), Condition::Healthy, Duration::ZERO);
        }
        let mut ledger = Ledger::default();
        let keepers = |members: &Members, stream: Stream| -> Vec<Peer> {
            let keepers = members.keepers(stream.0).into_iter();
            keepers.map(|it| it.peer).collect()
        };
        let began = Instant::now();
        for number in 0..STREAMS {
            let origin = note(number);
            ledger.record_own(origin, Duration::ZERO);
            ledger.record_sent(origin.stream, keepers(&members, origin.stream));
        }
        let recording = began.elapsed();
        members.remove(&router(1));
        let began = Instant::now();
        let unsent = ledger.take_unsent(&[one.service], Duration::ZERO, |it| keepers(&members, it));
        let resending = began.elapsed();
        black_box(unsent);
        let each = recording.as_secs_f64() * 1e6 / f64::from(u32::try_from(STREAMS).unwrap_or(1));
        println!(
            "{count}: {each:.2}, {:.2}",
            resending.as_secs_f64() * 1_000.0
        );
    }
}
