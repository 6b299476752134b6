//! Random faults, interleaved, on many small fleets.
//!
//! Each run is a small fleet of its own seed. At random moments routers crash,
//! return, stand still and go on, ways are cut and joined, messages are lost and
//! doubled, targets refuse, decline, lose connections and become slow, answers come
//! twice, callers leave, lists leave routers out, and the configuration changes.
//! Then all is mended, the load rests, and every request must have had its end.
//! What is counted must be zero: requests lost, run twice, or refused as not run
//! although they ran.

use std::collections::BTreeSet;
use std::time::Duration;

use dunlinward_kernel::id::Request;
use dunlinward_kernel::time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::fleet::{Fleet, WARM_UP};
use crate::inject::Manner;
use crate::spec::Trial;

/// How long faults go on.
const TROUBLE: Duration = Duration::from_secs(6);

/// How long a fleet is given to end all that it has, once mended.
const QUIET: Duration = Duration::from_secs(40);

/// Mean time between two faults.
const EVERY: Duration = Duration::from_millis(200);

/// What many runs came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Seed of the first run; the others follow it.
    pub seed: u64,
    /// Runs made.
    pub runs: u64,
    /// Faults put in.
    pub faults: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests whose router crashed or whose caller left.
    pub cut: u64,
    /// Attempts tried again.
    pub retries: u64,
    /// Requests forgotten, unaccounted for, or without an end after all was mended.
    pub lost: u64,
    /// Requests that may not be repeated and ran twice.
    pub doubled: u64,
    /// Refusals that said "not run" although it ran.
    pub false_not_run: u64,
    /// Requests answered twice.
    pub answered_twice: u64,
    /// Requests in no stage or in several.
    pub misplaced: u64,
    /// Seeds of runs that broke something, the first few.
    pub broken: Vec<u64>,
}

impl Report {
    fn add(&mut self, seed: u64, fleet: &Fleet, faults: u64) {
        let (meter, inject) = (&fleet.meter, &fleet.inject);
        let cut = inject.cut_by_crash + inject.callers_left;
        let ended = meter.whole + meter.refused + meter.lost + cut;
        let lost = meter.lost + meter.requests.abs_diff(ended);
        let wrong = lost
            + meter.doubled
            + meter.false_not_run
            + inject.answered_twice
            + inject.watch.misplaced;
        if wrong > 0 && self.broken.len() < 10 {
            self.broken.push(seed);
        }
        self.runs += 1;
        self.faults += faults;
        self.requests += meter.requests;
        self.whole += meter.whole;
        self.refused += meter.refused;
        self.cut += cut;
        self.retries += inject.retries;
        self.lost += lost;
        self.doubled += meter.doubled;
        self.false_not_run += meter.false_not_run;
        self.answered_twice += inject.answered_twice;
        self.misplaced += inject.watch.misplaced;
    }

    /// Whether nothing was lost, doubled or told wrongly.
    #[must_use]
    pub const fn clean(&self) -> bool {
        self.broken.is_empty()
    }
}

/// Makes runs with the seeds from `seed` on.
#[must_use]
pub fn run(seed: u64, runs: u64) -> Report {
    let mut report = Report {
        seed,
        ..Report::default()
    };
    for at in 0..runs {
        let seed = seed.wrapping_add(at);
        let mut trouble = Trouble::new(seed);
        trouble.run();
        report.add(seed, &trouble.fleet, trouble.faults);
    }
    report
}

struct Trouble {
    fleet: Fleet,
    random: Pcg64Mcg,
    faults: u64,
}

impl Trouble {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut trial = Trial::new();
        trial.routers = random.random_range(1..=4);
        trial.targets = random.random_range(1..=3);
        trial.slots = random.random_range(1..=2);
        trial.domains = random.random_range(1..=2);
        trial.customers = 3;
        trial.backlogged = random.random_range(0..=2);
        trial.speed = 400;
        trial.seed = seed;
        let mut fleet = Fleet::new(trial);
        fleet.inject.watch.on = true;
        fleet.inject.repeatable_every = random.random_range(0..=3);
        if random.random_bool(0.3) {
            fleet.inject.deadline = Some(Duration::from_millis(random.random_range(200..4_000)));
        }
        Self {
            fleet,
            random,
            faults: 0,
        }
    }

    fn run(&mut self) {
        let mut now = Instant::ZERO + WARM_UP;
        let end = now + TROUBLE;
        while now < end {
            self.fleet.run(now);
            self.fault();
            self.faults += 1;
            now = now + EVERY.mul_f64(self.random.random_range(0.0..2.0));
        }
        self.fleet.run(end);
        self.mend();
        self.fleet.mute(true);
        self.fleet.run(end + QUIET);
    }

    fn fault(&mut self) {
        let trial = &self.fleet.trial;
        let (routers, targets, domains) = (trial.routers, trial.targets, trial.domains);
        let router = self.random.random_range(0..routers);
        let other = self.random.random_range(0..routers);
        let target = self.random.random_range(0..targets);
        let on = self.random.random_bool(0.5);
        match self.random.random_range(0..14) {
            0 => self.crash(router),
            1 => self.restart(router),
            2 => self.pause(router),
            3 => self.fleet.resume(router),
            4 => self.fleet.cut_way(router, other, on),
            5 => self.cut_domain(domains, on),
            6 => self.net(),
            7 | 8 => self.manner(target),
            9 => {
                let speed = if on { 400 } else { 40 };
                self.fleet.set_speed(target, speed);
            }
            10 => self.fleet.inject.echoes = on,
            11 => self.caller_leaves(),
            12 => {
                let unlisted = if on {
                    BTreeSet::from([router])
                } else {
                    BTreeSet::new()
                };
                self.fleet.list_without(unlisted, &[other]);
            }
            _ => self.configure(target, on),
        }
    }

    fn crash(&mut self, router: usize) {
        if self.fleet.nodes[router].up {
            self.fleet.crash(router);
        }
    }

    fn restart(&mut self, router: usize) {
        if !self.fleet.nodes[router].up {
            self.fleet.restart(router);
        }
    }

    fn pause(&mut self, router: usize) {
        if self.fleet.nodes[router].up {
            self.fleet.pause(router);
        }
    }

    fn cut_domain(&mut self, domains: usize, on: bool) {
        let domain = self.random.random_range(0..domains);
        self.fleet.cut_domain(domain, on);
    }

    fn net(&mut self) {
        self.fleet.net.loss = self.random.random_range(0..=200);
        self.fleet.net.doubles = self.random.random_range(0..=200);
    }

    fn manner(&mut self, target: usize) {
        let manners = [
            Manner::Runs,
            Manner::Refuses,
            Manner::Declines,
            Manner::Loses,
        ];
        let manner = manners[self.random.random_range(0..manners.len())];
        self.fleet.set_manner(target, manner);
    }

    fn caller_leaves(&mut self) {
        let calls: Vec<Request> = self.fleet.calls.keys().copied().collect();
        if !calls.is_empty() {
            let at = self.random.random_range(0..calls.len());
            self.fleet.leave(calls[at]);
        }
    }

    fn configure(&mut self, target: usize, on: bool) {
        self.fleet
            .reconfigure(|spec| spec.targets[target].leaving = on);
    }

    fn mend(&mut self) {
        let trial = self.fleet.trial.clone();
        for at in 0..trial.routers {
            self.fleet.resume(at);
            self.restart(at);
            for other in 0..trial.routers {
                self.fleet.cut_way(at, other, false);
            }
        }
        for domain in 0..trial.domains {
            self.fleet.cut_domain(domain, false);
        }
        for target in 0..trial.targets {
            self.fleet.set_manner(target, Manner::Runs);
            self.fleet.set_speed(target, trial.speed);
        }
        self.fleet.net.loss = 0;
        self.fleet.net.doubles = 0;
        self.fleet.inject.echoes = false;
        let everybody: Vec<usize> = (0..trial.routers).collect();
        self.fleet.list_without(BTreeSet::new(), &everybody);
        self.fleet.reconfigure(|spec| {
            for target in &mut spec.targets {
                target.leaving = false;
            }
        });
    }
}
