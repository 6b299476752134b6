//! Throttling of customers beyond their share, in virtual time and with a model of owners that
//! serve a fixed number of requests per second by max-min fairness.

use std::collections::BTreeMap;
use std::time::Duration;

use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::share::{Shares, Standing};
use dunlinward_dispatch::throttle::{MAX_STANDING_AGE, Throttle};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Tokens of each request.
const COST: u64 = 1_000;

/// Window of the owner's shares.
const WINDOW: Duration = Duration::from_secs(4);

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(5);

/// Room that a request beyond its customer's share needs, in requests: so little that a customer with
/// most requests gets more than its level, as at real owners, whose pools of capacity are many.
const SPARE: f64 = 1.5;

const FLOOD: CustomerTag = CustomerTag(1);
const SMALL: CustomerTag = CustomerTag(2);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// One flooding customer, five that ask for more than their level, and a small one.
fn contention() -> Vec<(CustomerTag, f64)> {
    let others = (3..8).map(|it| (CustomerTag(it), 8.0));
    let others = others.chain([(SMALL, 2.0)]);
    [(FLOOD, 150.0)].into_iter().chain(others).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    throttled: u32,
    granted: u32,
}

/// One entry router and the owner that places its requests.
struct Model {
    throttle: Throttle,
    owner: Shares,
    /// Requests that the owner serves per second, and when it may serve the next one.
    rate: u64,
    tokens: f64,
    random: Pcg64Mcg,
    tallies: BTreeMap<CustomerTag, Tally>,
    now: Duration,
    /// Requests that reached the owner, by second.
    asked: BTreeMap<u64, u32>,
}

impl Model {
    fn new(ratio: f64, rate: u64, seed: u64) -> Self {
        Self {
            throttle: Throttle::new(ratio),
            owner: Shares::new(WINDOW),
            rate,
            tokens: 0.0,
            random: Pcg64Mcg::seed_from_u64(seed),
            tallies: BTreeMap::new(),
            now: Duration::ZERO,
            asked: BTreeMap::new(),
        }
    }

    /// Runs until `until` with customers that send at these rates per second.
    fn run(&mut self, loads: &[(CustomerTag, f64)], until: u64) {
        while self.now < Duration::from_secs(until) {
            self.now += STEP;
            let refill = f64::from(u32::try_from(self.rate).unwrap()) * STEP.as_secs_f64();
            self.tokens = (self.tokens + refill).min(4.0);
            for (customer, rate) in loads {
                if self.random.random_bool(rate * STEP.as_secs_f64()) {
                    self.request(*customer);
                }
            }
        }
    }

    fn request(&mut self, customer: CustomerTag) {
        let now = self.now;
        let draw = self.random.random();
        let tally = self.tallies.entry(customer).or_default();
        tally.sent += 1;
        if self.throttle.decide(customer, COST, draw, now).is_some() {
            tally.throttled += 1;
            return;
        }
        *self.asked.entry(now.as_secs()).or_default() += 1;
        let withheld = self.throttle.take_withheld(customer);
        let within = self.owner.share_ratio(customer, COST, now) >= 1.0;
        self.owner.record_demand(customer, COST + withheld, now);
        // A request beyond its customer's share gets only spare room.
        let needed = if within { 1.0 } else { SPARE };
        if self.tokens >= needed {
            self.tokens -= 1.0;
            self.owner.charge(customer, COST, now);
            self.throttle.record_grant(customer, now);
            tally.granted += 1;
        }
        let standing = self.owner.standing(customer, now);
        self.throttle.record_standing(customer, standing, now);
    }

    fn tally(&self, customer: CustomerTag) -> Tally {
        self.tallies[&customer]
    }

    fn total_granted(&self) -> u32 {
        self.tallies.values().map(|it| it.granted).sum()
    }

    /// Number of requests that reached the owner.
    fn total_asked(&self) -> u32 {
        self.asked.values().sum()
    }
}

/// Guards against throttling that leaves capacity unused or takes it from customers within their
/// share: as much is granted in total as without it, the customers beside the flooding one get at
/// least as much, and owners get fewer requests.
#[test]
fn throttle_wastes_no_capacity_and_owners_are_asked_less() {
    for seed in 0..8 {
        let results = [2.0, 0.0].map(|ratio| {
            let mut model = Model::new(ratio, 30, seed);
            model.run(&contention(), 40);
            model
        });
        let [on, off] = &results;
        println!("{:?}\n{:?}", on.tallies, off.tallies);
        println!("asked {} {}", on.total_asked(), off.total_asked());
        let (granted, before) = (on.total_granted(), off.total_granted());
        assert!(granted * 100 >= before * 98, "{granted} {before}");
        assert!(on.total_asked() * 4 < off.total_asked() * 3);
        let beside = granted - on.tally(FLOOD).granted;
        let beside_before = before - off.tally(FLOOD).granted;
        assert!(beside >= beside_before, "{beside} {beside_before}");
        assert_eq!(on.tally(SMALL).throttled, 0);
        let mut owner = on.owner.clone();
        let standing = owner.standing(FLOOD, on.now);
        assert!(standing.granted >= standing.level.unwrap(), "{standing:?}");
    }
}

/// Guards against local refusals that look like less demand: the level would become unlimited, or
/// that of a smaller demand.
#[test]
fn demand_refused_locally_counts_at_the_owner() {
    for seed in 0..4 {
        let levels = [2.0, 0.0].map(|ratio| {
            let mut model = Model::new(ratio, 30, seed);
            model.run(&contention(), 20);
            model.owner.standing(SMALL, model.now).level.unwrap()
        });
        assert!(levels[0].abs_diff(levels[1]) * 5 < levels[1], "{levels:?}");
    }
}

/// Guards against demand that is lost or counted twice.
#[test]
fn withheld_tokens_are_taken_once() {
    let mut throttle = Throttle::new(2.0);
    for _ in 0..100 {
        assert!(throttle.decide(FLOOD, COST, 0.0, ms(0)).is_none());
    }
    throttle.record_standing(FLOOD, over(), ms(0));
    for _ in 0..5 {
        assert!(throttle.decide(FLOOD, COST, 0.0, ms(10)).is_some());
    }
    assert!(throttle.decide(FLOOD, COST, 0.999, ms(20)).is_none());
    assert_eq!(throttle.take_withheld(FLOOD), 5 * COST);
    assert_eq!(throttle.take_withheld(FLOOD), 0);
}

fn over() -> Standing {
    Standing {
        granted: 1_300,
        level: Some(1_000),
    }
}

/// Requests of a customer, all refused by owners, that are throttled with a draw of zero.
fn is_throttled(standing: Option<Standing>, age: Duration) -> bool {
    let mut throttle = Throttle::new(2.0);
    for _ in 0..50 {
        assert!(throttle.decide(FLOOD, COST, 0.0, ms(100)).is_none());
    }
    if let Some(standing) = standing {
        throttle.record_standing(FLOOD, standing, ms(100));
    }
    let throttled = throttle.decide(FLOOD, COST, 0.0, ms(100) + age);
    assert!(throttled.is_none_or(|it| it.age == age && Some(it.standing) == standing));
    throttled.is_some()
}

/// Guards against refusals without knowledge, with old knowledge, and of customers within their
/// level or close to it.
#[test]
fn only_a_recent_standing_far_over_the_level_throttles() {
    let standing = |granted, level| Some(Standing { granted, level });
    assert!(is_throttled(Some(over()), ms(0)));
    assert!(is_throttled(
        Some(over()),
        MAX_STANDING_AGE.saturating_sub(ms(1))
    ));
    assert!(!is_throttled(Some(over()), MAX_STANDING_AGE));
    assert!(!is_throttled(None, ms(0)));
    assert!(!is_throttled(standing(1_250, Some(1_000)), ms(0)));
    assert!(!is_throttled(standing(900, Some(1_000)), ms(0)));
    assert!(!is_throttled(standing(u64::MAX, None), ms(0)));
    assert!(!is_throttled(standing(u64::MAX, Some(u64::MAX)), ms(0)));
}

/// Guards against a customer within its level that is throttled: random loads below the level.
#[test]
fn customer_within_its_level_is_never_throttled() {
    for seed in 0..16 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut loads = contention();
        loads.retain(|it| it.0 != SMALL);
        loads.push((SMALL, random.random_range(0.5..2.5)));
        let mut model = Model::new(2.0, 30, seed);
        model.run(&loads, 20);
        assert_eq!(model.tally(SMALL).throttled, 0);
        assert!(model.tally(FLOOD).throttled > 0);
    }
}

/// Guards against a throttle that outlives its reason: a new owner starts with empty accounts and
/// grants, and the customer is served as without a throttle within two seconds.
#[test]
fn throttle_recovers_within_two_seconds_after_a_change_of_owner() {
    for seed in 0..8 {
        let mut model = Model::new(2.0, 30, seed);
        let loads = contention();
        model.run(&loads, 20);
        assert!(model.tally(FLOOD).throttled > 1_000);
        // The new owner has room for all.
        model.owner = Shares::new(WINDOW);
        model.rate = 400;
        model.run(&loads, 22);
        model.tallies.clear();
        model.run(&loads, 26);
        let flood = model.tally(FLOOD);
        assert!(flood.granted * 20 >= flood.sent * 19, "{flood:?}");
    }
}

/// Guards against a throttle where it is turned off.
#[test]
fn zero_turns_it_off() {
    let mut model = Model::new(0.0, 30, 1);
    model.run(&contention(), 10);
    assert_eq!(model.tally(FLOOD).throttled, 0);
}
