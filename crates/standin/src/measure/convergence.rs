//! How long an accepted configuration takes to be in force everywhere.
//!
//! Real kernels run in virtual time, all with revision 1; revision 2 is appended
//! to the log at a random moment. What brings it to a router is modelled after
//! `configuration::reader` of the router, with its times:
//!
//! - the two routers of a failure domain with the greatest rendezvous weights wait
//!   at the log and get a record `LOG` after its append;
//! - such a reader tells the live routers of its failure domain, one after the
//!   other, each copy taking `COPY` to write and the network's delay;
//! - every other router asks a random peer every `ASK`;
//! - a reader that is cut from the log finds out after `LOST`, asks a random
//!   peer, and tries again after `AWAY`.
//!
//! Not modelled: parsing, links that are lost, and the load on the routers. From
//! the kernels come the rounds, which carry the greatest revision in force; when
//! each router *heard* of revision 2 by them is told beside. Routers do not act on
//! that today.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use clap::{ArgMatches, Command};
use dunlinward_kernel::event::Event;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::rendezvous;
use dunlinward_kernel::table::Table;
use dunlinward_kernel::time::Instant;
use dunlinward_trial::fleet::Fleet;
use dunlinward_trial::spec::Trial;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::arguments::{count, given, json, number};

/// Readers of a failure domain, as in the router.
const READERS: usize = 2;
/// From an append to its arrival at a reader that waits.
const LOG: Duration = Duration::from_millis(5);
/// Time to write one copy of a configuration.
const COPY: Duration = Duration::from_millis(1);
/// Time between two questions to peers, as in the router.
const ASK: Duration = Duration::from_secs(2);
/// Time after which a read of a log that is cut off fails, as in the router.
const LOST: Duration = Duration::from_millis(2_500);
/// Pause after such a read, as in the router.
const AWAY: Duration = Duration::from_millis(500);
/// The object whose weights choose the readers, as in the router.
const OBJECT: &str = "configuration";
/// Time before the append, for the rounds to begin.
const SETTLE: Duration = Duration::from_secs(10);
/// Time after the append at which the measurement ends.
const HORIZON: Duration = Duration::from_mins(1);
/// Time between two looks at what the rounds carry.
const LOOK: Duration = Duration::from_millis(50);
/// The revision that is applied.
const REVISION: u64 = 2;

/// The figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What is not real in them.
    pub modelled: &'static str,
    /// Routers.
    pub routers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Seed.
    pub seed: u64,
    /// All routers reach the log.
    pub up: Spread,
    /// Some random ones do not.
    pub cut: Spread,
    /// Both readers of one failure domain do not.
    pub readers_of_one_domain_cut: Spread,
    /// No reader of any failure domain does, all others do.
    pub all_readers_cut: Spread,
}

/// How a revision spread. A figure is absent when a router never got there.
#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    /// Routers cut from the log.
    pub cut: usize,
    /// Routers at which the revision came into force within the measurement.
    pub in_force: usize,
    /// Half of the routers have it in force.
    pub p50_ms: Option<f64>,
    /// All have.
    pub max_ms: Option<f64>,
    /// All have heard of it by the kernels' rounds or have it in force.
    pub heard_max_ms: Option<f64>,
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet.
    pub trial: Trial,
    /// Routers cut from the log, in thousandths.
    pub cut_permille: usize,
}

/// The command line.
pub(super) fn command() -> Command {
    Command::new("convergence")
        .about("Time until an accepted configuration is in force everywhere, partly modelled")
        .arg(number("routers", 1, "Routers [default: 350]"))
        .arg(number("domains", 1, "Failure domains [default: 5]"))
        .arg(number(
            "cut-permille",
            0,
            "Routers cut from the log [default: 100]",
        ))
        .arg(number("seed", 0, "Seed of everything random [default: 1]"))
        .arg(json())
}

impl Settings {
    /// The settings that a command line asks for.
    #[must_use]
    pub fn new(matches: &ArgMatches) -> Self {
        let mut trial = Trial::new();
        trial.routers = count(matches, "routers").unwrap_or(350);
        trial.domains = count(matches, "domains").unwrap_or(5).min(trial.routers);
        trial.targets = trial.domains;
        trial.backlogged = 0;
        trial.light_permille = 0;
        trial.round = Duration::from_secs(2);
        trial.seed = given(matches, "seed").unwrap_or(trial.seed);
        Self {
            trial,
            cut_permille: count(matches, "cut-permille").unwrap_or(100).min(1_000),
        }
    }
}

/// Makes the measurement.
#[must_use]
pub fn measure(settings: &Settings) -> Report {
    let trial = &settings.trial;
    let mut random = Pcg64Mcg::seed_from_u64(trial.seed);
    let mut order: Vec<usize> = (0..trial.routers).collect();
    order.shuffle(&mut random);
    order.truncate(trial.routers * settings.cut_permille / 1_000);
    let of_domain = |domain: usize| -> BTreeSet<usize> { readers(trial, domain) };
    let all = (0..trial.domains).flat_map(of_domain).collect();
    Report {
        modelled: "log, its readers, copies to peers and questions to peers; \
                   kernels, their rounds and the network's delays are the trial's",
        routers: trial.routers,
        domains: trial.domains,
        seed: trial.seed,
        up: Model::new(trial, BTreeSet::new()).run(),
        cut: Model::new(trial, order.into_iter().collect()).run(),
        readers_of_one_domain_cut: Model::new(trial, of_domain(0)).run(),
        all_readers_cut: Model::new(trial, all).run(),
    }
}

/// The routers of a failure domain that read the log.
fn readers(trial: &Trial, domain: usize) -> BTreeSet<usize> {
    let object = Key::new(OBJECT);
    let mut members: Vec<usize> = (0..trial.routers)
        .filter(|at| at % trial.domains == domain)
        .collect();
    members.sort_by_key(|at| {
        let key = Key::new(&Trial::router(*at));
        Reverse((rendezvous::weight(key, object), key))
    });
    members.into_iter().take(READERS).collect()
}

/// Something that will happen to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Act {
    /// The log's record or a peer's copy arrives.
    Take,
    /// It asks a random peer, now and again after a time.
    Ask,
    /// A peer asks it.
    Answer(usize),
    /// Look what the rounds carry.
    Look,
}

struct Model {
    fleet: Fleet,
    trial: Trial,
    table: Arc<Table>,
    cut: BTreeSet<usize>,
    readers: BTreeSet<usize>,
    random: Pcg64Mcg,
    acts: BinaryHeap<Reverse<(Instant, usize, Act)>>,
    start: Instant,
    in_force: BTreeMap<usize, Duration>,
    heard: BTreeMap<usize, Duration>,
}

impl Model {
    fn new(trial: &Trial, cut: BTreeSet<usize>) -> Self {
        let mut spec = trial.spec();
        spec.revision = REVISION;
        let mut random = Pcg64Mcg::seed_from_u64(trial.seed);
        let jitter = trial.round.mul_f64(random.random());
        Self {
            fleet: Fleet::new(trial.clone()),
            trial: trial.clone(),
            table: Arc::new(Table::new(&spec)),
            cut,
            readers: (0..trial.domains)
                .flat_map(|domain| readers(trial, domain))
                .collect(),
            random,
            acts: BinaryHeap::new(),
            start: Instant::ZERO + SETTLE + jitter,
            in_force: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Spread {
        self.begin();
        let end = self.start + HORIZON;
        while let Some(Reverse((at, router, act))) = self.acts.pop() {
            if at > end || self.heard.len() + self.in_force.len() == 2 * self.trial.routers {
                break;
            }
            self.fleet.run(at);
            match act {
                Act::Take => self.take(router),
                Act::Ask => self.ask(router),
                Act::Answer(to) => self.answer(router, to),
                Act::Look => self.look(),
            }
        }
        self.spread()
    }

    fn begin(&mut self) {
        for router in 0..self.trial.routers {
            let reads = self.readers.contains(&router);
            if reads && !self.cut.contains(&router) {
                self.acts
                    .push(Reverse((self.start + LOG, router, Act::Take)));
            } else {
                // Where it stands in its own turn when the record is appended.
                let phase = self.period(router).mul_f64(self.random.random());
                self.acts
                    .push(Reverse((self.start + phase, router, Act::Ask)));
            }
        }
        self.acts.push(Reverse((self.start + LOOK, 0, Act::Look)));
    }

    /// Time between two questions of a router.
    fn period(&mut self, router: usize) -> Duration {
        let jitter = self.random.random_range(0.75..1.25);
        if self.readers.contains(&router) {
            return LOST + AWAY.mul_f64(jitter);
        }
        ASK.mul_f64(jitter)
    }

    fn take(&mut self, router: usize) {
        if self.in_force.contains_key(&router) {
            return;
        }
        let now = self.fleet.now;
        self.in_force.insert(router, now.since(self.start));
        self.fleet
            .step(router, Event::Configured(Arc::clone(&self.table)));
        if self.readers.contains(&router) && !self.cut.contains(&router) {
            self.tell(router);
        }
    }

    /// A reader passes on what it read.
    fn tell(&mut self, reader: usize) {
        let mut at = self.fleet.now;
        let domains = self.trial.domains;
        for peer in (0..self.trial.routers).filter(|at| at % domains == reader % domains) {
            if peer != reader {
                at = at + COPY;
                self.acts
                    .push(Reverse((at + self.fleet.net.near, peer, Act::Take)));
            }
        }
    }

    fn ask(&mut self, router: usize) {
        let now = self.fleet.now;
        let peer = self.random.random_range(0..self.trial.routers);
        if peer != router {
            let at = now + self.delay(router, peer);
            self.acts.push(Reverse((at, peer, Act::Answer(router))));
        }
        let next = now + self.period(router);
        if !self.in_force.contains_key(&router) {
            self.acts.push(Reverse((next, router, Act::Ask)));
        }
    }

    fn answer(&mut self, router: usize, to: usize) {
        if self.in_force.contains_key(&router) {
            let at = self.fleet.now + COPY + self.delay(router, to);
            self.acts.push(Reverse((at, to, Act::Take)));
        }
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let net = &self.fleet.net;
        let near = from % self.trial.domains == to % self.trial.domains;
        if near { net.near } else { net.far }
    }

    fn look(&mut self) {
        let now = self.fleet.now;
        for router in 0..self.trial.routers {
            if self.fleet.node(router).rounds().revision >= REVISION {
                let after = now.since(self.start);
                self.heard.entry(router).or_insert(after);
            }
        }
        self.acts.push(Reverse((now + LOOK, 0, Act::Look)));
    }

    fn spread(&self) -> Spread {
        let (half, most) = self.quantiles(&self.in_force);
        Spread {
            cut: self.cut.len(),
            in_force: self.in_force.len(),
            p50_ms: half,
            max_ms: most,
            heard_max_ms: self.quantiles(&self.heard).1,
        }
    }

    /// The times by which half of the routers and all of them got there.
    fn quantiles(&self, times: &BTreeMap<usize, Duration>) -> (Option<f64>, Option<f64>) {
        let mut sorted: Vec<Duration> = times.values().copied().collect();
        sorted.sort_unstable();
        let half = self.trial.routers.div_ceil(2);
        let at = |place: usize| sorted.get(place).map(|time| time.as_secs_f64() * 1e3);
        (at(half - 1), at(self.trial.routers - 1))
    }
}
