//! Many routers that learn under virtual time which of them are alive.
//!
//! Drives [`Membership`] alone: packets are delayed, lost and cut, routers start, stand
//! still, end and start again. Everything follows from the seed. What a router knows is
//! compared with who really runs.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::config::standard;
use dunlinward_dispatch::member::Descriptor;
use dunlinward_dispatch::membership::{Change, Effects, Membership, Packet};
use dunlinward_dispatch::usage::Peer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Bytes around a packet: the sender's identity, the views that go with it, and the heads of UDP
/// and IP.
const AROUND: u64 = 9 + 20 + 28;

/// Routers that the others are told of in their settings.
const SEEDS: usize = 3;

/// Time after a way was opened in which nobody can have heard of it yet.
const FIRST_WORDS: Duration = Duration::from_millis(120);

/// Time within which all routers of a fleet start.
const STARTS: u64 = 300;

/// The size and shape of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Routers.
    pub routers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Packets of a thousand that are lost.
    pub loss_permille: u32,
    /// Time between two probes of a router.
    pub interval: Duration,
    /// Way between failure domains.
    pub delay: Duration,
    /// Where all chance comes from.
    pub seed: u64,
}

impl Plan {
    /// So many routers in five domains, without losses.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        Self {
            routers,
            domains: 5.min(routers),
            loss_permille: 0,
            interval: Duration::from_millis(100),
            delay: Duration::from_micros(1_400),
            seed: 1,
        }
    }

    /// With so many packets of a thousand lost.
    #[must_use]
    pub fn with_loss(mut self, permille: u32) -> Self {
        self.loss_permille = permille;
        self
    }

    /// With another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

enum Event {
    Tick { router: usize, start: u64 },
    Packet { to: usize, packet: Packet },
}

struct Router {
    membership: Membership,
    card: Descriptor,
    domain: usize,
    runs: bool,
    /// Number of its start.
    start: u64,
    started: Duration,
    /// It does nothing until then.
    paused_until: Duration,
    /// What came meanwhile.
    inbox: Vec<Packet>,
    sent: Traffic,
}

/// What was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams.
    pub packets: u64,
    /// Bytes with heads.
    pub bytes: u64,
}

/// A fleet of routers.
pub struct Fleet {
    plan: Plan,
    routers: Vec<Router>,
    places: BTreeMap<SocketAddr, usize>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    now: Duration,
    random: Pcg64Mcg,
    cut: BTreeSet<usize>,
    alone: BTreeSet<usize>,
    /// When a way was opened last.
    opened: Duration,
    /// Routers that another one took to have ended although they ran and could be reached.
    false_ends: u64,
}

impl Fleet {
    /// All routers start within 0.3 s.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let mut fleet = Self {
            plan,
            routers: Vec::new(),
            places: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            now: Duration::ZERO,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            cut: BTreeSet::new(),
            alone: BTreeSet::new(),
            opened: Duration::ZERO,
            false_ends: 0,
        };
        for number in 0..plan.routers {
            let card = fleet.card(number, 1);
            fleet.places.insert(card.address, number);
            let membership = fleet.membership(card.clone());
            fleet.routers.push(Router {
                membership,
                card,
                domain: number % plan.domains,
                runs: false,
                start: 1,
                started: Duration::ZERO,
                paused_until: Duration::ZERO,
                inbox: Vec::new(),
                sent: Traffic::default(),
            });
            let at = Duration::from_millis(fleet.random.random_range(0..STARTS));
            fleet.begin(number, at);
        }
        fleet
    }

    fn card(&self, number: usize, start: u64) -> Descriptor {
        let place = u64::try_from(number).unwrap_or_default();
        let [.., high, low] = place.to_be_bytes();
        let domain = number % self.plan.domains;
        let identity = place << 32 | start << 8 | self.plan.seed;
        Descriptor {
            address: ([10, 1, high, low], 7_400).into(),
            peer: Peer(identity.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            domain: Arc::from(format!("domain-{domain}")),
            millicores: 250,
        }
    }

    fn membership(&self, card: Descriptor) -> Membership {
        let seeds = (0..SEEDS.min(self.plan.routers)).map(|it| self.card(it, 1).address);
        let seeds: Vec<_> = seeds.collect();
        Membership::new(card, &seeds, self.plan.interval)
    }

    fn begin(&mut self, number: usize, at: Duration) {
        let router = &mut self.routers[number];
        router.runs = true;
        router.started = at;
        let start = router.start;
        self.push(
            at,
            Event::Tick {
                router: number,
                start,
            },
        );
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// A router's process is killed.
    pub fn kill(&mut self, number: usize) {
        self.routers[number].runs = false;
        self.routers[number].inbox.clear();
    }

    /// A router that was killed starts again, with another identity at the same address.
    pub fn start_again(&mut self, number: usize) {
        let start = self.routers[number].start + 1;
        let card = self.card(number, start);
        let membership = self.membership(card.clone());
        let router = &mut self.routers[number];
        router.start = start;
        router.card = card;
        router.membership = membership;
        self.begin(number, self.now);
    }

    /// A router does nothing for a while.
    pub fn pause(&mut self, number: usize, time: Duration) {
        self.routers[number].paused_until = self.now + time;
    }

    /// A failure domain is cut off from the others.
    pub fn cut(&mut self, domain: usize) {
        self.cut.insert(domain);
    }

    /// The way to a failure domain is open again.
    pub fn join(&mut self, domain: usize) {
        self.cut.remove(&domain);
        self.opened = self.now;
    }

    /// A router is cut off from all others, or no longer.
    pub fn set_alone(&mut self, number: usize, alone: bool) {
        if alone {
            self.alone.insert(number);
        } else {
            self.alone.remove(&number);
            self.opened = self.now;
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.routers[from].domain, self.routers[to].domain);
        let cut = a != b && (self.cut.contains(&a) || self.cut.contains(&b));
        !cut && !self.alone.contains(&from) && !self.alone.contains(&to)
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until: Duration) {
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some((_, event)) = self.events.pop_first() {
                self.take(event);
            }
        }
        self.now = until;
    }

    /// Lets time pass until `done`, looked at every 10 ms; how long that took, if not longer than `limit`.
    pub fn run_while(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let from = self.now;
        while !done(self) {
            if self.now.saturating_sub(from) >= limit {
                return None;
            }
            self.run_until(self.now + Duration::from_millis(10));
        }
        Some(self.now.saturating_sub(from))
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick { router, start } => self.tick(router, start),
            Event::Packet { to, packet } => self.deliver(to, packet),
        }
    }

    fn tick(&mut self, number: usize, start: u64) {
        let now = self.now;
        let interval = self.plan.interval;
        let router = &mut self.routers[number];
        if !router.runs || router.start != start {
            return;
        }
        let due = now.max(router.paused_until);
        if due > now {
            self.push(
                due,
                Event::Tick {
                    router: number,
                    start,
                },
            );
            return;
        }
        let late = router
            .paused_until
            .saturating_sub(now.saturating_sub(interval));
        let late = if router.paused_until == now {
            late
        } else {
            Duration::ZERO
        };
        let local = now.saturating_sub(router.started);
        // A process that wakes runs its timers before it reads its sockets.
        let effects = router.membership.tick(local, late);
        let inbox = std::mem::take(&mut router.inbox);
        self.carry_out(number, effects);
        for packet in inbox {
            self.deliver(number, packet);
        }
        self.push(
            now + interval,
            Event::Tick {
                router: number,
                start,
            },
        );
    }

    fn deliver(&mut self, number: usize, packet: Packet) {
        let now = self.now;
        let router = &mut self.routers[number];
        if !router.runs {
            return;
        }
        if router.paused_until > now {
            router.inbox.push(packet);
            return;
        }
        let local = now.saturating_sub(router.started);
        let effects = router.membership.receive(packet, local);
        self.carry_out(number, effects);
    }

    fn carry_out(&mut self, number: usize, effects: Effects) {
        for change in &effects.changes {
            if let Change::Ended(card) = change {
                self.judge(number, card);
            }
        }
        for letter in effects.outgoing {
            let Some(&to) = self.places.get(&letter.to) else {
                continue;
            };
            let bytes = bincode::serde::encode_to_vec(&letter.packet, standard());
            let length = bytes.map_or(0, |it| it.len());
            let sent = &mut self.routers[number].sent;
            sent.packets += 1;
            sent.bytes += AROUND + u64::try_from(length).unwrap_or_default();
            let lost = self.random.random_range(0..1_000) < self.plan.loss_permille;
            if lost || !self.reaches(number, to) {
                continue;
            }
            let spread = self.random.random_range(0..500);
            let at = self.now + self.plan.delay + Duration::from_micros(spread);
            let packet = letter.packet;
            self.push(at, Event::Packet { to, packet });
        }
    }

    fn judge(&mut self, by: usize, card: &Descriptor) {
        let Some(&number) = self.places.get(&card.address) else {
            return;
        };
        let router = &self.routers[number];
        let runs = router.runs && router.card.peer == card.peer && router.paused_until <= self.now;
        let reached =
            self.reaches(by, number) && self.now.saturating_sub(self.opened) >= FIRST_WORDS;
        if runs && reached {
            self.false_ends += 1;
        }
    }

    /// Whether each router that runs knows exactly those that run and can be reached.
    #[must_use]
    pub fn agree(&self) -> bool {
        (0..self.routers.len()).all(|number| self.right(number))
    }

    /// Whether what a router knows is who runs and can be reached.
    fn right(&self, number: usize) -> bool {
        let router = &self.routers[number];
        if !router.runs {
            return true;
        }
        let others = (0..self.routers.len()).filter(|it| *it != number);
        let run = others.filter(|it| self.routers[*it].runs && self.reaches(number, *it));
        let run: HashSet<_> = run.map(|it| self.routers[it].card.peer).collect();
        let known: HashSet<_> = router.membership.others().map(|it| it.peer).collect();
        run == known
    }

    /// How many routers know of the start that a router runs with.
    #[must_use]
    pub fn known_by(&self, number: usize) -> usize {
        let peer = self.routers[number].card.peer;
        let routers = self.routers.iter().filter(|it| it.runs);
        let know = routers.filter(|it| it.membership.others().any(|other| other.peer == peer));
        know.count()
    }

    /// The fewest and the most others that a router which runs knows.
    #[must_use]
    pub fn known(&self) -> (usize, usize) {
        let routers = self.routers.iter().filter(|it| it.runs);
        let counts = routers.map(|it| it.membership.others().count());
        counts.fold((usize::MAX, 0), |(least, most), it| {
            (least.min(it), most.max(it))
        })
    }

    /// How often a router was taken to have ended although it ran and could be reached.
    #[must_use]
    pub fn false_ends(&self) -> u64 {
        self.false_ends
    }

    /// What all routers have sent.
    #[must_use]
    pub fn sent(&self) -> Traffic {
        self.routers
            .iter()
            .fold(Traffic::default(), |sum, it| Traffic {
                packets: sum.packets + it.sent.packets,
                bytes: sum.bytes + it.sent.bytes,
            })
    }
}
