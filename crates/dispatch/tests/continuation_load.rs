//! Ways to know the software version that began a stream, on the same drawn load in virtual time.
//!
//! Nine routers in three failure domains begin 96 streams a second. A third of the streams breaks
//! off and is resumed at any live router. At 20 s and at 40 s targets of the next version come and
//! older ones leave, which each router learns up to 1.2 s later. At 30 s routers are killed, which
//! breaks all their streams off, and start again empty.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::cell::{self, ServiceTag};
use dunlinward_dispatch::continuation::{Ledger, Note, Origin, Stream};
use dunlinward_dispatch::member::{Condition, Descriptor, Members};
use dunlinward_dispatch::target::Version;
use dunlinward_dispatch::usage::Peer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use xxhash_rust::xxh64::xxh64;

const ROUTERS: u16 = 9;
const STREAMS: u64 = 96 * 60;
const KILL: f64 = 30.0;
/// Longest time until a router learns of a change of the targets.
const LAG: f64 = 1.2;
/// Longest time between the begin of a stream and its resumption.
const LIFETIME: f64 = 15.0;
/// Time until a note is stored.
const STORED: f64 = 0.1;

/// How the version that began a stream is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It follows from the stream's id and the targets, as the resuming router sees them.
    Rule,
    /// The same; refused unless it follows from all views of the last [`LIFETIME`].
    CertainRule,
    /// So many keepers are sent a note.
    Notes(usize),
    /// Three keepers are, and the store.
    Stored,
}

/// Targets of versions 0, 1 and 2 from a time on.
const PLANS: [(f64, [f64; 3]); 3] = [
    (0.0, [9.0, 0.0, 0.0]),
    (20.0, [4.0, 5.0, 0.0]),
    (40.0, [0.0, 5.0, 4.0]),
];

/// Version that the rule names for a stream, by weighted rendezvous hashing.
fn rule(stream: u64, plan: usize) -> u32 {
    let score = |version: &u32| {
        let hash = xxh64(&stream.to_le_bytes(), u64::from(*version));
        cell::score(hash, PLANS[plan].1[*version as usize])
    };
    (0..3).max_by(|a, b| score(a).total_cmp(&score(b))).unwrap()
}

/// The plan that a router sees, which learns of each change after its own lag.
fn seen(router: u16, at: f64) -> usize {
    let lag = |plan: usize| {
        let hash = xxh64(&router.to_le_bytes(), plan as u64) % 1_000;
        f64::from(u32::try_from(hash).unwrap()) / 1_000.0 * LAG
    };
    let known = |plan: &usize| *plan == 0 || PLANS[*plan].0 + lag(*plan) <= at;
    (0..PLANS.len()).rfind(known).unwrap()
}

fn time(at: f64) -> Duration {
    Duration::from_secs_f64(at)
}

/// Routers, of which those killed have another identity afterwards.
fn routers(killed: u16, at: f64) -> Vec<Descriptor> {
    let started = |number: u16| u64::from(number < killed && at > KILL) * 1_000;
    let routers = (0..ROUTERS).map(|number| Descriptor {
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        peer: Peer(u64::from(number) + 1 + started(number)),
        domain: format!("d-{}", number % 3).into(),
        millicores: 250,
    });
    routers.collect()
}

fn keepers(killed: u16, at: f64, stream: u64, count: usize) -> Vec<Peer> {
    let routers = routers(killed, at);
    let mut members = Members::new(routers[0].clone());
    for router in &routers[1..] {
        members.upsert(router, Condition::Healthy, Duration::ZERO);
    }
    let keepers = members.keepers(stream).into_iter().take(count);
    keepers.map(|it| it.peer).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    resumed: u32,
    continued: u32,
    refused: u32,
    mixed: u32,
}

/// What a resuming router finds: the version, or nothing.
struct Finder {
    way: Way,
    killed: u16,
    ledgers: HashMap<Peer, Ledger>,
    stored: HashMap<u64, (f64, u32)>,
}

impl Finder {
    fn begin(&mut self, stream: u64, router: u16, at: f64, version: u32) {
        let count = match self.way {
            Way::Rule | Way::CertainRule => return,
            Way::Notes(count) => count,
            Way::Stored => 3,
        };
        let begun = Note {
            stream: Stream(stream),
            service: ServiceTag(0),
            version: Version(version),
            age: Duration::ZERO,
        };
        let own = routers(self.killed, at)[usize::from(router)].peer;
        let mut holders = keepers(self.killed, at, stream, count);
        holders.push(own);
        for holder in holders {
            let ledger = self.ledgers.entry(holder).or_default();
            ledger.record_note(begun, time(at));
        }
        self.stored.insert(stream, (at + STORED, version));
    }

    fn find(&self, stream: u64, router: u16, begun: f64, at: f64) -> Option<u32> {
        match self.way {
            Way::Rule => Some(rule(stream, seen(router, at))),
            Way::CertainRule => {
                let first = |plan: usize| PLANS.get(plan + 1).map_or(f64::MAX, |it| it.0 + LAG);
                let possible =
                    (0..PLANS.len()).filter(|it| PLANS[*it].0 <= at && first(*it) >= at - LIFETIME);
                let versions: Vec<_> = possible.map(|it| rule(stream, it)).collect();
                versions
                    .iter()
                    .all(|it| *it == versions[0])
                    .then_some(versions[0])
            }
            Way::Notes(_) | Way::Stored => {
                let live = routers(self.killed, at).into_iter();
                let mut ledgers = live.filter_map(|it| self.ledgers.get(&it.peer));
                let found = ledgers.find_map(|it| match it.origin(Stream(stream), time(at)) {
                    Origin::Known(version) => Some(version.0),
                    Origin::Unknown | Origin::Ambiguous => None,
                });
                let stored = self.stored.get(&stream).filter(|(stored, _)| {
                    let in_time = begun > KILL || *stored <= KILL || at < KILL;
                    self.way == Way::Stored && in_time
                });
                found.or(stored.map(|(_, version)| *version))
            }
        }
    }
}

fn play(way: Way, killed: u16) -> Tally {
    let mut random = Pcg64::seed_from_u64(7);
    let mut finder = Finder {
        way,
        killed,
        ledgers: HashMap::new(),
        stored: HashMap::new(),
    };
    let mut tally = Tally::default();
    let mut pending: Vec<(f64, u64, u16, f64, u32)> = Vec::new();
    for number in 0..STREAMS {
        let stream = xxh64(&number.to_le_bytes(), 1);
        #[expect(clippy::cast_precision_loss, reason = "some thousand streams")]
        let begun = number as f64 / 96.0;
        let router = random.random_range(0..ROUTERS);
        let length = random.random_range(0.5..3.0);
        let breaks = random.random_range(0.0..1.0) < 0.33;
        let broken = begun + random.random_range(0.0..length);
        let next = random.random_range(0..ROUTERS);
        // Without a rule, a stream begins anywhere: in proportion to the targets.
        let drawn = rule(random.random_range(0..u64::MAX), seen(router, begun));
        let version = match way {
            Way::Rule | Way::CertainRule => rule(stream, seen(router, begun)),
            Way::Notes(_) | Way::Stored => drawn,
        };
        finder.begin(stream, router, begun, version);
        let cut = router < killed && (begun..begun + length).contains(&KILL);
        if cut {
            pending.push((KILL + 0.5, stream, next, begun, version));
        } else if breaks {
            pending.push((broken + 0.1, stream, next, begun, version));
        }
    }
    for (at, stream, router, begun, version) in pending {
        tally.resumed += 1;
        match finder.find(stream, router, begun, at) {
            None => tally.refused += 1,
            Some(found) if found == version => tally.continued += 1,
            Some(_) => tally.mixed += 1,
        }
    }
    tally
}

#[test]
fn ways_to_know_the_version_that_began_a_stream() {
    let mut table = String::new();
    let ways = [
        Way::Rule,
        Way::CertainRule,
        Way::Notes(1),
        Way::Notes(2),
        Way::Notes(3),
        Way::Stored,
    ];
    for killed in [0, 1, 3, ROUTERS] {
        for way in ways {
            let tally = play(way, killed);
            writeln!(table, "{killed} killed, {way:?}: {tally:?}").unwrap();
            assert!(way == Way::Rule || tally.mixed == 0, "{table}");
        }
    }
    insta::assert_snapshot!(table);
}
