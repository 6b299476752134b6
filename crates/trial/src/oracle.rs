//! The naive version: one queue for the whole fleet that knows everything.
//!
//! It sees every request the moment it comes, every target the moment a slot is
//! free, and what every customer has received, and gives each free slot to the
//! waiting customer that has received least per share. It has no routers, no
//! messages and no faults. Kernels are measured against it on the same load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use dunlinward_kernel::event::Class;
use dunlinward_kernel::time::Instant;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::load::{self, Job, Load};
use crate::spec::Trial;

/// Time from an answer to its customer's next request, as the fleet's callers take.
const NEXT: Duration = Duration::from_millis(1);

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Units that each customer received.
    pub received: Vec<u64>,
    /// Slots used against all slots, over the time that work waited.
    pub utilisation: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Free { customer: usize, cost: u64 },
    Arrive { customer: usize },
}

struct Queue {
    trial: Trial,
    load: Load,
    shares: Vec<u64>,
    random: Pcg64Mcg,
    heap: BinaryHeap<Reverse<(Instant, u64, Happening)>>,
    order: u64,
    waiting: Vec<[VecDeque<Job>; 2]>,
    charged: Vec<u64>,
    done: Vec<u64>,
    free: usize,
    busy_time: u128,
    slot_time: u128,
}

/// Runs a trial with one service through the naive version for its length.
#[must_use]
pub fn run(trial: &Trial) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(trial.seed);
    let load = Load::new(trial, &mut random);
    let spec = trial.spec();
    let mut queue = Queue {
        shares: spec
            .customers
            .iter()
            .map(|row| u64::from(row.share))
            .collect(),
        waiting: vec![[VecDeque::new(), VecDeque::new()]; trial.customers],
        charged: vec![0; trial.customers],
        done: vec![0; trial.customers],
        free: trial.targets * trial.slots,
        heap: BinaryHeap::new(),
        order: 0,
        busy_time: 0,
        slot_time: 0,
        trial: trial.clone(),
        load,
        random,
    };
    queue.run()
}

impl Queue {
    fn run(&mut self) -> Outcome {
        for customer in 0..self.trial.customers {
            for _ in 0..self.load.habits[customer].outstanding.max(1) {
                self.schedule(Instant::ZERO, Happening::Arrive { customer });
            }
        }
        let end = Instant::ZERO + self.trial.length;
        let mut now = Instant::ZERO;
        while let Some(Reverse((at, _, happening))) = self.heap.pop() {
            let until = at.min(end);
            self.count(until.since(now));
            now = until;
            if at > end {
                break;
            }
            self.happen(now, happening);
            self.fill(now);
        }
        let utilisation = if self.slot_time == 0 {
            1.0
        } else {
            float(self.busy_time) / float(self.slot_time)
        };
        Outcome {
            received: self.done.clone(),
            utilisation,
        }
    }

    fn schedule(&mut self, at: Instant, happening: Happening) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, happening)));
    }

    /// Counts a time in which nothing changed.
    fn count(&mut self, span: Duration) {
        if self.waiting.iter().flatten().all(VecDeque::is_empty) {
            return;
        }
        let slots = self.trial.targets * self.trial.slots;
        self.slot_time += span.as_micros() * slots as u128;
        self.busy_time += span.as_micros() * (slots - self.free) as u128;
    }

    fn happen(&mut self, now: Instant, happening: Happening) {
        match happening {
            Happening::Arrive { customer } => {
                let job = load::job(&mut self.random);
                let line = usize::from(job.class == Class::Long);
                self.waiting[customer][line].push_back(job);
                if self.load.habits[customer].outstanding == 0 {
                    let pause = self.load.pause(&mut self.random, customer);
                    self.schedule(now + pause, Happening::Arrive { customer });
                }
            }
            Happening::Free { customer, cost } => {
                self.free += 1;
                self.done[customer] += cost;
                if self.load.habits[customer].outstanding > 0 {
                    self.schedule(now + NEXT, Happening::Arrive { customer });
                }
            }
        }
    }

    /// Gives free slots to who has received least.
    fn fill(&mut self, now: Instant) {
        while self.free > 0 {
            let waiting = (0..self.trial.customers).filter(|at| self.waits(*at));
            let least = waiting.min_by_key(|at| self.charged[*at] * 1_024 / self.shares[*at]);
            let Some(customer) = least else {
                return;
            };
            let [quick, long] = &mut self.waiting[customer];
            let Some(job) = quick.pop_front().or_else(|| long.pop_front()) else {
                return;
            };
            self.free -= 1;
            // It knows everything, the cost included.
            self.charged[customer] += job.cost;
            let span = Duration::from_micros(job.cost * 1_000_000 / self.trial.speed);
            let cost = job.cost;
            self.schedule(now + span, Happening::Free { customer, cost });
        }
    }

    fn waits(&self, customer: usize) -> bool {
        self.waiting[customer].iter().any(|line| !line.is_empty())
    }
}

fn float(micros: u128) -> f64 {
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)).as_secs_f64()
}
