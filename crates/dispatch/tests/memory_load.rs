//! What ordinary callers get beside crowds that hold bodies, by the way in which memory is shared.

use std::fmt::Write;
use std::time::Duration;

use dunlinward_dispatch::memory::{Account, Entry, Holder, Kind};
use dunlinward_dispatch::message::CustomerTag;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT: u64 = 30_000_000;
const LARGEST_BODY: u64 = 4_000_000;

/// Clients of the crowd, and steps of 10 ms that are played.
const CROWD: usize = 300;
const STEPS: u64 = 2_000;
const STEP: Duration = Duration::from_millis(10);

/// Bytes that a client sends in a step at most.
const STEP_BYTES: u64 = 256 * 1024;

/// Steps after which a body that has stopped is given up by its time-out.
const TIMEOUT: u64 = 1_500;

/// Whose customer the crowd is.
#[derive(Clone, Copy, Debug)]
enum Crowd {
    Own,
    OfAnOrdinary,
    Spread,
}

/// How memory is shared.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Each body has a bound of its own only.
    Unbounded,
    /// A body is accepted if its announced length fits beside the others.
    Reserved,
    /// The longest body gives way.
    Longest,
    /// The account decides.
    Account,
}

struct Body {
    entry: Entry,
    length: u64,
    speed: u64,
    sent: u64,
    begun: u64,
    /// Step at which its answer is complete, once it is sent.
    answered: Option<u64>,
    crowd: bool,
}

struct World {
    way: Way,
    account: Account,
    bodies: Vec<Body>,
    peak: u64,
    /// Ordinary bodies: small served, small, large served, large.
    served: [u64; 4],
}

impl World {
    fn held(&self) -> u64 {
        self.bodies.iter().map(|it| it.sent).sum()
    }

    fn announced(&self) -> u64 {
        self.bodies.iter().map(|it| it.length).sum()
    }

    fn begin(&mut self, holder: Holder, length: u64, speed: u64, crowd: bool, step: u64) {
        if !crowd {
            self.served[if length > 16_384 { 3 } else { 1 }] += 1;
        }
        if matches!(self.way, Way::Reserved) && self.announced() + length > LIMIT {
            return;
        }
        let now = STEP * u32::try_from(step).unwrap();
        self.bodies.push(Body {
            entry: self.account.begin(holder, Kind::Request, now),
            length,
            speed,
            sent: 0,
            begun: step,
            answered: None,
            crowd,
        });
    }

    /// Bodies that give way after one has grown.
    fn excess(&mut self, grown: Entry, bytes: u64, now: Duration) -> Vec<Entry> {
        match self.way {
            Way::Unbounded | Way::Reserved => Vec::new(),
            Way::Account => self.account.grow(grown, bytes, now),
            Way::Longest => {
                let mut held = self.held();
                if held <= LIMIT {
                    return Vec::new();
                }
                let mut by_length: Vec<_> = self.bodies.iter().collect();
                by_length.sort_by_key(|it| std::cmp::Reverse(it.sent));
                let mut given_up = Vec::new();
                for body in by_length {
                    if held > LIMIT && body.answered.is_none() {
                        held -= body.sent;
                        given_up.push(body.entry);
                    }
                }
                given_up
            }
        }
    }

    fn step(&mut self, step: u64, random: &mut Pcg64Mcg) {
        let now = STEP * u32::try_from(step).unwrap();
        for at in 0..self.bodies.len() {
            let Some(body) = self.bodies.get_mut(at) else {
                break;
            };
            // The crowd's bodies stop one byte short.
            let end = body.length - u64::from(body.crowd);
            let bytes = body.speed.min(end - body.sent);
            if bytes == 0 {
                continue;
            }
            body.sent += bytes;
            let entry = body.entry;
            if body.sent == body.length {
                body.answered = Some(step + random.random_range(5..30));
            }
            let is_sent = body.answered.is_some();
            let given_up = self.excess(entry, bytes, now);
            if is_sent {
                self.account.pin(entry);
            }
            self.bodies.retain(|it| !given_up.contains(&it.entry));
        }
        self.peak = self.peak.max(self.held());
        let (ended, rest) = std::mem::take(&mut self.bodies)
            .into_iter()
            .partition(|it| {
                let is_late = it.crowd && step > it.begun + TIMEOUT;
                it.answered.is_some_and(|at| at <= step) || is_late
            });
        self.bodies = rest;
        let ended: Vec<Body> = ended;
        for body in ended {
            self.account.end(body.entry);
            if !body.crowd {
                self.served[if body.length > 16_384 { 2 } else { 0 }] += 1;
            }
        }
    }
}

fn play(way: Way, crowd: Crowd, seed: u64) -> World {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World {
        way,
        account: Account::new(LIMIT),
        bodies: Vec::new(),
        peak: 0,
        served: [0; 4],
    };
    for step in 0..STEPS {
        let open = world.bodies.iter().filter(|it| it.crowd).count();
        // Clients whose bodies gave way come again.
        for _ in open..CROWD {
            let holder = match crowd {
                Crowd::Own => 100,
                Crowd::OfAnOrdinary => 0,
                Crowd::Spread => random.random_range(0..20),
            };
            let length = random.random_range(LARGEST_BODY / 4..LARGEST_BODY);
            let rate = STEP_BYTES >> random.random_range(0..6);
            world.begin(Some(CustomerTag(holder)), length, rate, true, step);
        }
        let holder = Some(CustomerTag(random.random_range(0..20)));
        let small = random.random_range(500..8_000);
        world.begin(holder, small, STEP_BYTES, false, step);
        if step % 20 == 0 {
            let large = random.random_range(100_000..LARGEST_BODY);
            world.begin(holder, large, STEP_BYTES, false, step);
        }
        world.step(step, &mut random);
    }
    world
}

#[test]
fn ordinary_callers_beside_crowds_by_the_way_in_which_memory_is_shared() {
    let mut table =
        String::from("crowd, way: peak MB, small and large ordinary bodies served, %\n");
    for crowd in [Crowd::Own, Crowd::OfAnOrdinary, Crowd::Spread] {
        for way in [Way::Unbounded, Way::Reserved, Way::Longest, Way::Account] {
            let world = play(way, crowd, 0);
            if matches!(way, Way::Account) {
                assert!(world.peak <= LIMIT, "{}", world.peak);
            }
            let peak = world.peak / 1_000_000;
            let [small, smalls, large, larges] = world.served;
            let (small, large) = (100 * small / smalls, 100 * large / larges);
            writeln!(table, "{crowd:?}, {way:?}: {peak}, {small}, {large}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
