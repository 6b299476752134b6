//! Customers and what they send.
//!
//! A backlogged customer keeps a number of requests with the fleet, three times
//! its fair part of the slots, and sends the next when one ends. Others send at
//! random times. Each customer has routers that it prefers: its requests are
//! spread by a Zipf law over a random order of the routers.

use std::time::Duration;

use dunlinward_kernel::event::Class;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::spec::Trial;

/// Outstanding requests of a backlogged customer, per fair slot.
const DEPTH: usize = 3;

/// How much more a flooding customer sends.
const FLOOD: usize = 100;

/// The most that a request costs, in units.
pub const MOST_COST: u64 = 600;

/// Mean cost of a request, in units.
pub const MEAN_COST: u64 = 155;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its cost in units, which only the target knows.
    pub cost: u64,
    /// Its latency class.
    pub class: Class,
}

/// One customer's habits.
#[derive(Clone, Debug)]
pub struct Habit {
    /// Service that it uses.
    pub service: usize,
    /// Requests kept with the fleet; zero for a customer that is not backlogged.
    pub outstanding: usize,
    /// Mean time between requests of a customer that is not backlogged.
    pub interval: Duration,
    /// Sum of router weights up to each router.
    cumulative: Vec<f64>,
    order: Vec<usize>,
}

/// All customers' habits.
#[derive(Clone, Debug)]
pub struct Load {
    /// Habits by customer.
    pub habits: Vec<Habit>,
}

impl Load {
    /// The load of a trial.
    #[must_use]
    pub fn new(trial: &Trial, random: &mut Pcg64Mcg) -> Self {
        let shares: Vec<usize> = trial
            .spec()
            .customers
            .iter()
            .map(|row| row.share as usize)
            .collect();
        let habits = (0..trial.customers)
            .map(|at| habit(trial, random, &shares, at))
            .collect();
        Self { habits }
    }

    /// The router that takes a customer's next request.
    #[must_use]
    pub fn router(&self, random: &mut Pcg64Mcg, customer: usize) -> usize {
        let habit = &self.habits[customer];
        let total = habit.cumulative.last().copied().unwrap_or(1.0);
        let draw = random.random::<f64>() * total;
        let place = habit.cumulative.partition_point(|sum| *sum < draw);
        habit.order[place.min(habit.order.len() - 1)]
    }

    /// Time to the next request of a customer that is not backlogged.
    #[must_use]
    pub fn pause(&self, random: &mut Pcg64Mcg, customer: usize) -> Duration {
        let draw: f64 = random.random::<f64>().max(1e-9);
        self.habits[customer].interval.mul_f64(-draw.ln())
    }
}

/// A request: seven in ten are quick, the others long.
#[must_use]
pub fn job(random: &mut Pcg64Mcg) -> Job {
    if random.random_range(0..10) < 7 {
        Job {
            cost: random.random_range(10..=90),
            class: Class::Quick,
        }
    } else {
        Job {
            cost: random.random_range(200..=MOST_COST),
            class: Class::Long,
        }
    }
}

fn habit(trial: &Trial, random: &mut Pcg64Mcg, shares: &[usize], at: usize) -> Habit {
    let mut order: Vec<usize> = (0..trial.routers).collect();
    order.shuffle(random);
    let mut sum = 0.0;
    let cumulative = (1..=trial.routers)
        .map(|rank| {
            let rank = f64::from(u32::try_from(rank).unwrap_or(u32::MAX));
            sum += rank.powf(-trial.skew);
            sum
        })
        .collect();
    let light = trial.customers.saturating_sub(trial.backlogged).max(1);
    let capacity = trial.targets * trial.slots;
    Habit {
        service: at % trial.services,
        outstanding: outstanding(trial, shares, at),
        interval: interval(trial, capacity, light),
        cumulative,
        order,
    }
}

fn outstanding(trial: &Trial, shares: &[usize], at: usize) -> usize {
    if at >= trial.backlogged {
        return 0;
    }
    let rivals: usize = (0..trial.backlogged)
        .filter(|other| other % trial.services == at % trial.services)
        .map(|other| shares[other])
        .sum();
    let slots = trial.targets * trial.slots / trial.services;
    let fair = (slots * shares[at]).div_ceil(rivals.max(1));
    // Customers differ in how hard they push, and not as their shares do.
    let push = [1, 4, 2, 1][(at / 4 + at) % 4];
    let flood = if trial.flood && at == 0 { FLOOD } else { 1 };
    fair * DEPTH * push * flood
}

fn interval(trial: &Trial, capacity: usize, light: usize) -> Duration {
    let units = capacity as u64 * trial.speed * u64::from(trial.light_permille) / 1_000;
    if units == 0 {
        return Duration::from_hours(1_000);
    }
    let each = units as f64 / light as f64;
    Duration::from_secs_f64(MEAN_COST as f64 / each)
}
