//! What the decisions of the data path cost, by the size of the fleet.
//!
//! Prints, for each size, the bytes of one report and what all reports of a
//! router add up to, and the processor time to take a report in and to choose a
//! target. Figures are of this machine, one thread, after a warm-up.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bincode::config::standard;
use dunlinward_dispatch::placement::{self, Ask, Candidate, Policy};
use dunlinward_dispatch::prefix::{Memory, Part, Prefix, Prompt, Use};
use dunlinward_dispatch::report::{CustomerTag, CustomerUse, Report, TargetLoad};
use dunlinward_dispatch::share::Shares;
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::{Load, Peer, Usage};

/// Rounds of each measurement.
const ROUNDS: u32 = 2_000;

/// Time between reports in seconds.
const INTERVAL: f64 = 0.1;

struct Size {
    routers: u32,
    targets: u32,
    customers: u32,
    /// Requests a second at one router.
    requests: u32,
}

const SIZES: [Size; 3] = [
    Size {
        routers: 9,
        targets: 12,
        customers: 16,
        requests: 13,
    },
    Size {
        routers: 59,
        targets: 143,
        customers: 30,
        requests: 21,
    },
    Size {
        routers: 350,
        targets: 600,
        customers: 350,
        requests: 18,
    },
];

fn main() {
    println!("routers targets customers  report B  KB/s out  take us  choose us");
    for size in SIZES {
        let report = report(&size);
        let bytes = bincode::serde::encode_to_vec(&report, standard()).expect("a report encodes");
        let peers = f64::from(size.routers - 1);
        let length = f64::from(u32::try_from(bytes.len()).expect("a report is short"));
        let out = length * peers / INTERVAL / 1_024.0;
        println!(
            "{:7} {:7} {:9} {:9} {:9.1} {:8.1} {:10.1}",
            size.routers,
            size.targets,
            size.customers,
            bytes.len(),
            out,
            take(&size, &bytes),
            choose(&size),
        );
    }
}

/// A report of a router under load: two seconds of requests under way.
fn report(size: &Size) -> Report {
    let busy = (size.requests * 2).min(size.targets);
    let loads = (0..busy).map(|number| TargetLoad {
        tag: tag(number),
        load: Load {
            running: 1 + number % 4,
            unread: 4_000,
        },
    });
    let customers = (0..size.customers.min(size.requests * 4)).map(|number| CustomerUse {
        tag: CustomerTag(number.wrapping_mul(2_654_435_761)),
        asked: 20_000,
        granted: 18_000,
    });
    let uses =
        (0..size.requests * 3 / 10).map(|number| Use::new(Prefix(u64::from(number)), tag(number)));
    Report {
        sender: Peer(1),
        address: ([10, 1, 0, 1], 7400).into(),
        domain: "hall-a".into(),
        number: 100_000,
        configuration: 50,
        registry_age_ms: Some(700),
        registry_digest: u64::MAX / 3,
        leaving: false,
        loads: loads.collect(),
        customers: customers.collect(),
        uses: uses.collect(),
        peers: Vec::new(),
    }
}

fn tag(number: u32) -> Tag {
    Tag::new(&format!("i-{number}"))
}

/// Microseconds to take in one report of each peer, a report.
fn take(size: &Size, bytes: &[u8]) -> f64 {
    let (mut usage, mut shares, mut memory) = (
        Usage::new(),
        Shares::new(Duration::from_secs(4)),
        Memory::new(),
    );
    let begun = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round) * 100);
        let decoded = bincode::serde::decode_from_slice::<Report, _>(bytes, standard());
        let (report, _) = decoded.expect("a report decodes");
        let sender = Peer(u64::from(round % (size.routers - 1)));
        let loads = report.loads.iter().map(|it| (it.tag, it.load));
        usage.report(sender, loads, now);
        shares.hear(sender, &report.customers, now);
        for used in &report.uses {
            memory.hear(*used, now);
        }
    }
    micros(begun)
}

/// Microseconds to choose a target for a request.
fn choose(size: &Size) -> f64 {
    let prompt = Prompt {
        tokens: 17_000,
        answer_tokens: 120,
        parts: vec![
            Part {
                id: 1,
                tokens: 13_300,
            },
            Part {
                id: 2,
                tokens: 3_700,
            },
        ],
    };
    let candidates: Vec<_> = (0..size.targets)
        .map(|number| Candidate {
            target: Arc::new(Target {
                id: format!("i-{number}").into(),
                service: "pool".into(),
                address: ([10, 1, 0, 1], 80).into(),
                domain: "hall-a".into(),
                slots: 64,
                state: State::Ready,
            }),
            load: Load {
                running: number % 30,
                unread: u64::from(number % 7) * 1_000,
            },
            local: false,
            keeps: number % 9 == 0,
        })
        .collect();
    let ask = Ask {
        prompt: Some(&prompt),
        objective: Duration::from_millis(800),
        rate: 32_000.0,
        room: 1.0,
        waited: Duration::ZERO,
        may_miss: false,
        draw: 1,
    };
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        black_box(placement::choose(
            &Policy::default(),
            &ask,
            black_box(&candidates),
        ));
    }
    micros(begun)
}

fn micros(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
