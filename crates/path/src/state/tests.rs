//! An owner's decisions under load, driven in virtual time with routers, links and engines of a
//! few lines each.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dunlinward_dispatch::budget::Bound;
use dunlinward_dispatch::cell::{Cell, ServiceTag};
use dunlinward_dispatch::configuration::{Configuration, Engine, Limits, Service, Table};
use dunlinward_dispatch::message::{Content, CustomerTag, Grant, Return};
use dunlinward_dispatch::placement::Policy;
use dunlinward_dispatch::prefix::{Part, Prefix, Prompt};
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::target::{State as Condition, Tag, Target};
use dunlinward_dispatch::usage::{Peer, Usage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::queue::Asker;
use crate::settings::{ColdBound, Patience};

mod homes;
mod refusing;
mod returns;
mod spared;
mod suspects;

/// Engines of the fleet.
const ENGINES: u16 = 6;

/// Prompt tokens that one engine reads in a second.
const RATE: f64 = 20_000.0;

/// Tokens of each prompt.
const PROMPT: u64 = 1_000;

/// Time to the first token that callers expect; they are refused after 0.06 of it.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// How long an answer takes after its first token.
const ANSWERING: Duration = Duration::from_millis(500);

/// One way between two routers.
const LINK: Duration = Duration::from_millis(1);

/// How often routers tell which places they use.
const REPORTS: Duration = Duration::from_millis(300);

/// Shortest time between two passes over the queue.
const PASS_PAUSE: Duration = Duration::from_millis(3);

fn settings() -> Settings {
    let address = ([127, 0, 0, 1], 1).into();
    Settings {
        name: "owner".into(),
        domain: "a".into(),
        regions: Arc::default(),
        callers: address,
        ready: address,
        link: address,
        metrics: address,
        seeds: Vec::new(),
        repeats: Bound {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        cold: ColdBound {
            excess: 1.5,
            slack: 5.0,
        },
        share_window: Duration::from_secs(4),
        grace: Duration::from_secs(8),
        policy: Policy::default(),
        patience: Patience::default(),
        report_interval: Duration::from_millis(100),
        millicores: 500,
        cell_targets: 48,
        memory_interval: Duration::ZERO,
    }
}

fn table() -> Table {
    Table::new(Configuration {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: "pool".into(),
            connections: 600,
            cold_rate: None,
            engine: Some(Engine {
                memory_tokens: 1_000_000,
                fetch_seconds: None,
            }),
        }],
        customers: Vec::new(),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
            tokens_per_second: RATE * f64::from(ENGINES),
        },
    })
}

fn targets() -> Vec<Target> {
    let target = |port: u16| Target {
        id: format!("i-{port}").into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        born: None,
        slots: 64,
        state: Condition::Ready,
        cold_left: Duration::ZERO,
    };
    (0..ENGINES).map(target).collect()
}

/// A customer's load.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second.
    rate: u64,
    /// Router to which they come; each to another one if none.
    router: Option<u64>,
}

/// How a router's time between a question and its answer is spread.
#[derive(Clone, Copy, Debug)]
struct Delay {
    least: u64,
    most: u64,
}

/// Answers of an owner are read at once.
const PROMPT_ROUTER: Delay = Delay { least: 2, most: 3 };

/// A router whose event loop is late.
const LATE_ROUTER: Delay = Delay { least: 5, most: 60 };

/// Number of the router that is late.
const LATE: u64 = 0;

/// Routers of the fleet beside the owner.
const ROUTERS: u64 = 8;

/// A request at the router to which it came.
#[derive(Clone, Copy, Debug)]
struct Request {
    customer: usize,
    router: u64,
    waits: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A customer's next request comes to a router.
    Comes(usize),
    /// It is put to the owner.
    Put(u64),
    /// Its router refuses it.
    GivenUp(u64),
    /// Its router reads that it has a place.
    Granted(Grant),
    /// The owner hears that it does not wait.
    Withdrawn(u64),
    /// An engine has read a prompt.
    Read(u64, Grant),
    /// The owner hears that a place is free.
    Returned(u64, Return),
    /// The owner goes through its queue.
    Pass,
    /// Routers tell what they have and which places they use; the owner ends leases that are not
    /// confirmed.
    Report,
}

/// An owner, the routers that ask it, and the engines that they use.
struct Fleet {
    settings: Settings,
    owner: State,
    loads: Vec<Load>,
    requests: HashMap<u64, Request>,
    /// When each engine has read all that it was sent.
    read_until: HashMap<Tag, Duration>,
    /// Tokens of prompts that engines have read, by customer and second.
    begun: BTreeMap<(usize, u64), u64>,
    events: BTreeMap<(Duration, u64), Event>,
    random: Pcg64Mcg,
    next: u64,
    pass_at: Duration,
    /// What each router has at the engines.
    usages: Vec<Usage>,
    /// Places that routers use and have not told of.
    accepted: Vec<u64>,
    /// Part of the word that a place is not used that is lost, as of all datagrams.
    lost: f64,
    /// Whether routers take first tries for those of callers that come back.
    mistaken: bool,
}

impl Fleet {
    fn new(loads: &[Load], seed: u64) -> Self {
        let settings = settings();
        let mut owner = State::new(&settings, Peer(u64::MAX));
        owner.table = Some(Rc::new(table()));
        owner.registry.apply_list(targets(), Duration::ZERO);
        let mut fleet = Self {
            settings,
            owner,
            loads: loads.to_vec(),
            requests: HashMap::new(),
            read_until: HashMap::new(),
            begun: BTreeMap::new(),
            events: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            next: 0,
            pass_at: Duration::ZERO,
            usages: vec![Usage::new(); usize::try_from(ROUTERS).expect("a few")],
            accepted: Vec::new(),
            lost: 0.0,
            mistaken: false,
        };
        fleet.plan(REPORTS, Event::Report);
        for customer in 0..loads.len() {
            fleet.plan(Duration::ZERO, Event::Comes(customer));
        }
        fleet
    }

    /// With such a part of datagrams lost.
    fn with_lost(mut self, lost: f64) -> Self {
        self.lost = lost;
        self
    }

    fn plan(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn run(mut self, until: Duration) -> Self {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= until {
                break;
            }
            self.take(event, now);
        }
        self
    }

    fn take(&mut self, event: Event, now: Duration) {
        match event {
            Event::Comes(customer) => self.comes(customer, now),
            Event::Put(number) => self.put(number, now),
            Event::GivenUp(number) => self.given_up(number, now),
            Event::Granted(grant) => self.granted(grant, now),
            Event::Withdrawn(_) if self.random.random_bool(self.lost) => {}
            Event::Withdrawn(number) => {
                let peer = self.peer(number);
                self.owner.withdraw(peer, number, now);
            }
            Event::Read(number, grant) => self.read(number, grant, now),
            Event::Returned(number, returned) => {
                self.usage(number).end(returned.tag);
                let peer = self.peer(number);
                self.owner.returned(peer, &returned, now);
                self.room_came(now);
            }
            Event::Pass => self.pass(now),
            Event::Report => self.report(now),
        }
    }

    fn peer(&self, number: u64) -> Peer {
        Peer(self.requests[&number].router)
    }

    fn usage(&mut self, number: u64) -> &mut Usage {
        let router = self.requests[&number].router;
        &mut self.usages[usize::try_from(router).expect("a few")]
    }

    fn comes(&mut self, customer: usize, now: Duration) {
        let load = self.loads[customer];
        let mean = 1_000_000 / load.rate;
        let pause = Duration::from_micros(self.random.random_range(0..2 * mean));
        self.plan(now + pause, Event::Comes(customer));
        let router = load.router;
        let router = router.unwrap_or_else(|| self.random.random_range(1..ROUTERS));
        let number = self.next + 1;
        let request = Request {
            customer,
            router,
            waits: true,
        };
        self.requests.insert(number, request);
        self.plan(now + LINK, Event::Put(number));
        let patience = OBJECTIVE.mul_f64(self.settings.patience.first);
        self.plan(now + patience, Event::GivenUp(number));
    }

    fn put(&mut self, number: u64, now: Duration) {
        let request = self.requests[&number];
        let arrived = now.saturating_sub(LINK);
        let draw = self.random.random();
        let wish = Wish {
            returning: self.mistaken,
            ..wish(request.customer, arrived, draw)
        };
        let asker = asker(request.router, number);
        let answer = self.owner.answer(&self.settings, asker, wish, now);
        if let Content::Grant(grant) = answer {
            self.answered(grant, now);
        }
    }

    fn answered(&mut self, grant: Grant, now: Duration) {
        let router = self.requests[&grant.number].router;
        let delay = if router == LATE {
            LATE_ROUTER
        } else {
            PROMPT_ROUTER
        };
        let delay = self.random.random_range(delay.least..=delay.most);
        let delay = Duration::from_millis(delay).saturating_sub(LINK);
        self.plan(now + delay, Event::Granted(grant));
    }

    fn given_up(&mut self, number: u64, now: Duration) {
        if let Some(request) = self.requests.get_mut(&number)
            && std::mem::replace(&mut request.waits, false)
        {
            self.plan(now + LINK, Event::Withdrawn(number));
        }
    }

    fn granted(&mut self, grant: Grant, now: Duration) {
        let number = grant.number;
        let request = self.requests.get_mut(&number).expect("it was put");
        if !std::mem::replace(&mut request.waits, false) {
            self.plan(now + LINK, Event::Withdrawn(number));
            return;
        }
        self.accepted.push(number);
        self.usage(number).begin(grant.tag, grant.unread);
        let free = self.read_until.entry(grant.tag).or_default();
        *free = now.max(*free) + Duration::from_secs_f64(to_f64(grant.unread) / RATE);
        let read = *free;
        self.plan(read, Event::Read(number, grant));
    }

    fn read(&mut self, number: u64, grant: Grant, now: Duration) {
        let customer = self.requests[&number].customer;
        *self.begun.entry((customer, now.as_secs())).or_default() += PROMPT;
        self.usage(number).end_prefill(grant.tag, grant.unread);
        let peer = self.peer(number);
        self.owner.read_for(peer, grant.tag, grant.unread, now);
        let returned = Return {
            tag: grant.tag,
            unread: 0,
            outcome: None,
            not_run: None,
            content: None,
            refusal: None,
        };
        self.plan(now + ANSWERING, Event::Returned(number, returned));
        self.room_came(now);
    }

    fn room_came(&mut self, now: Duration) {
        if self.pass_at <= now {
            self.pass_at = now + PASS_PAUSE;
            self.plan(self.pass_at, Event::Pass);
        }
    }

    fn report(&mut self, now: Duration) {
        for number in std::mem::take(&mut self.accepted) {
            let peer = self.peer(number);
            self.owner.confirm(peer, &[number], now);
        }
        for (peer, usage) in (0..).map(Peer).zip(&self.usages) {
            self.owner.usage.apply_report(peer, usage.own_loads(), now);
        }
        self.owner.expire_grants(now);
        self.room_came(now);
        self.plan(now + REPORTS, Event::Report);
    }

    fn pass(&mut self, now: Duration) {
        for (_, grant) in self.owner.pass(&self.settings, now).peers {
            self.answered(grant, now);
        }
    }

    /// The first customer gets at least half of what the best served one does.
    fn expect_share(&self, seed: u64) {
        let served = self.served(0, 6, 12);
        let best = (1..3).map(|it| self.served(it, 6, 12)).max();
        let best = best.unwrap_or_default();
        assert!(
            served * 2 >= best && best > 0,
            "seed {seed}: {served} tokens, another customer {best}"
        );
    }

    /// Tokens that a customer was served from one second to another.
    fn served(&self, customer: usize, from: u64, to: u64) -> u64 {
        (from..to)
            .filter_map(|second| self.begun.get(&(customer, second)))
            .sum()
    }
}

fn tag(customer: usize) -> CustomerTag {
    CustomerTag(u32::try_from(customer).expect("a few customers"))
}

/// A request that arrived at a router.
fn wish(customer: usize, arrived: Duration, draw: u64) -> Wish {
    let prompt = Prompt {
        tokens: PROMPT,
        answer_tokens: 0,
        parts: vec![Part {
            id: 0,
            tokens: PROMPT,
        }],
    };
    Wish {
        cell: Cell {
            service: ServiceTag::new("pool"),
            region: Region::default(),
            index: 0,
        },
        router: Peer(0),
        domain: "a".into(),
        allowed: Constraint::ANY,
        content: None,
        prompt: Some(Rc::new(prompt)),
        customer: Some(tag(customer)),
        cost: PROMPT,
        objective: OBJECTIVE,
        arrived,
        returning: false,
        counted: false,
        failed: false,
        avoid: Vec::new(),
        until: arrived + OBJECTIVE.mul_f64(Patience::default().first),
        claim: Claim::All,
        draw,
    }
}

fn asker(router: u64, number: u64) -> Asker {
    Asker {
        peer: Peer(router),
        address: ([127, 0, 0, 2], 1).into(),
        number,
    }
}

#[expect(clippy::cast_precision_loss, reason = "token counts are small")]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Three customers ask for more than there is, eight ask for little. All requests of the first
/// come to one router.
fn flood(router: u64) -> Vec<Load> {
    let spread = |rate| Load { rate, router: None };
    let first = Load {
        rate: 300,
        router: Some(router),
    };
    let mut loads = vec![first, spread(100), spread(100)];
    loads.extend([spread(4); 8]);
    loads
}

/// Users saw a customer that asked for more than all others wait for six seconds, in each of them
/// with requests refused, and get less than half of what another one got; shares promise it half.
///
/// Its requests came to two routers that were busy with them and read the owner's answers late, by
/// 57 and 265 ms in the mean, where a request waits 18 to 36 ms. So most places came after their
/// requests had been refused. They were given back, but not what the customer had been charged for
/// them: the owner then held it to be over its share and refused it as such, while it had had less
/// than half of it.
///
/// Evidence: of what it was charged in the six seconds, 41 in 100 was sent to engines and 59 in 100
/// was in places that were not used. Its account stood at 1.25 times its share, and two in three of
/// its refusals were for that. Here it got 13 in 100 of what another one did (seed 0); with the
/// charges taken back 96 in 100.
#[test]
fn a_customer_whose_router_is_late_gets_its_share() {
    for seed in 0..4 {
        let fleet = Fleet::new(&flood(LATE), seed).run(Duration::from_secs(12));
        fleet.expect_share(seed);
    }
}

/// The word that a place is not used is a datagram and may be lost: a lease that is not confirmed
/// lapses. With half of them lost the customer gets 54 in 100 of what another one does (seed 0);
/// with leases that never lapse 37 in 100.
#[test]
fn a_customer_whose_router_is_late_gets_its_share_though_words_are_lost() {
    for seed in 0..4 {
        let fleet = Fleet::new(&flood(LATE), seed).with_lost(0.5);
        let fleet = fleet.run(Duration::from_secs(12));
        fleet.expect_share(seed);
    }
}

/// A prompt whose first part others share.
fn shared_prompt() -> Prompt {
    let part = |id| Part { id, tokens: 500 };
    Prompt {
        tokens: PROMPT,
        answer_tokens: 0,
        parts: vec![part(1), part(2)],
    }
}

/// What a place that is not used leaves behind beside its charge: the next request with the same
/// prefix was sent to an engine that had never read it, as if that were already there.
#[test]
fn an_engine_is_taken_to_keep_a_prefix_only_while_a_place_there_may_be_used() {
    let mut fleet = Fleet::new(&[], 0);
    let prefix = shared_prompt().prefix().expect("a part is shared");
    let give = |fleet: &mut Fleet, number| {
        let wish = Wish {
            content: None,
            prompt: Some(Rc::new(shared_prompt())),
            ..wish(0, Duration::ZERO, 0)
        };
        let asker = asker(1, number);
        let settings = fleet.settings.clone();
        let answer = fleet.owner.answer(&settings, asker, wish, Duration::ZERO);
        let Content::Grant(grant) = answer else {
            panic!("the engines are idle: {answer:?}");
        };
        grant.tag
    };
    let now = Duration::from_millis(10);
    let keeps = |fleet: &Fleet, tag| {
        let kept = Duration::from_secs(5);
        fleet.owner.memory.is_cached(prefix, tag, kept, now)
    };
    let tags = [1, 2, 3].map(|number| give(&mut fleet, number));
    assert!(tags.iter().all(|it| *it == tags[0]), "its home");
    fleet.owner.withdraw(Peer(1), 1, now);
    assert!(keeps(&fleet, tags[0]), "two may be used");
    fleet.owner.withdraw(Peer(1), 3, now);
    fleet.owner.withdraw(Peer(1), 2, now);
    assert!(!keeps(&fleet, tags[0]));
    let tag = give(&mut fleet, 4);
    fleet.owner.confirm(Peer(1), &[4], now);
    fleet.owner.withdraw(Peer(1), 4, now);
    assert!(keeps(&fleet, tag), "it was sent there");
}

/// The model itself: with the same load at a router that is not late, all three get as much.
#[test]
fn a_customer_whose_router_is_not_late_gets_its_share() {
    let fleet = Fleet::new(&flood(1), 0).run(Duration::from_secs(12));
    let served: Vec<_> = (0..3).map(|it| fleet.served(it, 6, 12)).collect();
    let least = served.iter().min().copied().unwrap_or_default();
    let most = served.iter().max().copied().unwrap_or_default();
    assert!(least * 5 >= most * 4, "{served:?}");
}
