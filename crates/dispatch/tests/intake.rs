//! Admission control of an entry router under drawn loads, in virtual time.
//!
//! The router is modelled as one event loop with a processor quota: it handles work in order of
//! arrival. A request costs time when its head is handled and again with each of its events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use dunlinward_dispatch::intake::{Intake, Priority, Sample, Work};
use dunlinward_dispatch::message::CustomerTag;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Processor quota of the router, in thousandths of a core.
const MILLICORES: u32 = 90;

/// Processor time of a stream at its acceptance; with its events it costs 2.25 ms, so that a router
/// of 0.09 core serves 40 streams per second.
const HEAD_COST: Duration = Duration::from_micros(750);

/// Events of a stream, at [`EVENT_INTERVAL`].
const EVENTS: u32 = 30;

/// Processor time of one event.
const EVENT_COST: Duration = Duration::from_micros(50);

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Processor time of a refusal.
const REFUSAL_COST: Duration = Duration::from_micros(150);

/// Time of a target until the first event.
const PREFILL: Duration = Duration::from_millis(150);

/// Objective for the first event.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Interval of samples.
const INTERVAL: Duration = Duration::from_millis(100);

/// A customer's load.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests per second.
    rate: f64,
    from: Duration,
    until: Duration,
    priority: Priority,
}

impl Load {
    fn steady(rate: f64) -> Self {
        Self {
            rate,
            from: Duration::ZERO,
            until: Duration::MAX,
            priority: Priority::Normal,
        }
    }

    fn between(self, from: u64, until: u64) -> Self {
        Self {
            from: Duration::from_secs(from),
            until: Duration::from_secs(until),
            ..self
        }
    }

    fn with_priority(self, priority: Priority) -> Self {
        Self { priority, ..self }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// An event of a stream of a customer is ready: the arrival of the request, and its number.
    Stream(usize, Duration, u32),
    Sample,
}

/// What a customer's clients received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Router {
    intake: Intake,
    loads: Vec<Load>,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next: u64,
    /// When the event loop will have handled all work that has arrived.
    free_at: Duration,
    /// Processor time used, and time for which the loop was busy.
    processor: Duration,
    sampled_at: Duration,
    sampled_processor: Duration,
    running: usize,
    has_neighbor: bool,
    tallies: BTreeMap<usize, Tally>,
    /// Accepted requests by second.
    accepted: BTreeMap<u64, u32>,
    /// Lateness of each sample.
    lateness: Vec<(Duration, Duration)>,
    /// Longest time until a refusal.
    max_refusal_time: Duration,
    /// Results are counted for requests from this time on.
    measured_from: Duration,
}

impl Router {
    fn new(utilization: f64, loads: &[Load], seed: u64) -> Self {
        let mut router = Self {
            intake: Intake::new(utilization, MILLICORES),
            loads: loads.to_vec(),
            random: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next: 0,
            free_at: Duration::ZERO,
            processor: Duration::ZERO,
            sampled_at: Duration::ZERO,
            sampled_processor: Duration::ZERO,
            running: 0,
            has_neighbor: true,
            tallies: BTreeMap::new(),
            accepted: BTreeMap::new(),
            lateness: Vec::new(),
            max_refusal_time: Duration::ZERO,
            measured_from: Duration::ZERO,
        };
        for (customer, load) in loads.iter().enumerate() {
            router.schedule(load.from, Event::Arrival(customer));
        }
        router.schedule(INTERVAL, Event::Sample);
        router
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    /// Time at which work of a `cost` is done that is ready at `at`.
    fn work(&mut self, at: Duration, cost: Duration) -> Duration {
        self.processor += cost;
        let quota = f64::from(MILLICORES) / 1_000.0;
        self.free_at = self.free_at.max(at) + cost.div_f64(quota);
        self.free_at
    }

    fn run(mut self, seconds: u64) -> Self {
        let end = Duration::from_secs(seconds);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end {
                break;
            }
            match event {
                Event::Arrival(customer) => self.arrive(customer, at),
                Event::Stream(customer, arrived, number) => {
                    self.forward(customer, arrived, number, at);
                }
                Event::Sample => self.sample(at),
            }
        }
        self
    }

    fn arrive(&mut self, customer: usize, at: Duration) {
        let load = self.loads[customer];
        if at >= load.until {
            return;
        }
        let pause = -self.random.random_range(f64::EPSILON..1.0_f64).ln() / load.rate;
        self.schedule(
            at + Duration::from_secs_f64(pause),
            Event::Arrival(customer),
        );
        // The loop decides when it reaches the request.
        let now = self.free_at.max(at);
        let tag = CustomerTag(u32::try_from(customer).expect("a few"));
        let accepted = self
            .intake
            .admit(Some(tag), Work::Stream, load.priority, now);
        let cost = if accepted { HEAD_COST } else { REFUSAL_COST };
        let done = self.work(at, cost);
        let measured = at >= self.measured_from;
        let tally = self.tallies.entry(customer).or_default();
        tally.sent += u32::from(measured);
        if accepted {
            self.running += 1;
            *self.accepted.entry(at.as_secs()).or_default() += 1;
            self.schedule(done + PREFILL, Event::Stream(customer, at, 0));
        } else if measured {
            tally.refused += 1;
            self.max_refusal_time = self.max_refusal_time.max(done.saturating_sub(at));
        }
    }

    fn forward(&mut self, customer: usize, arrived: Duration, number: u32, at: Duration) {
        let done = self.work(at, EVENT_COST);
        if number == 0 && arrived >= self.measured_from {
            let tally = self.tallies.entry(customer).or_default();
            if done.saturating_sub(arrived) <= OBJECTIVE {
                tally.in_time += 1;
            } else {
                tally.late += 1;
            }
        }
        if number + 1 < EVENTS {
            let next = Event::Stream(customer, arrived, number + 1);
            self.schedule(at + EVENT_INTERVAL, next);
        } else {
            self.running -= 1;
        }
    }

    fn sample(&mut self, at: Duration) {
        let now = self.free_at.max(at);
        self.lateness.push((at, now.saturating_sub(at)));
        let elapsed = now.saturating_sub(self.sampled_at);
        // Work that is queued has been counted in `processor` already.
        let processor = self.processor.saturating_sub(self.sampled_processor);
        let quota = f64::from(MILLICORES) / 1_000.0;
        let sample = Sample {
            elapsed,
            busy: processor,
            processor: processor.min(elapsed.mul_f64(quota)),
            running: self.running,
            handed_over: 0,
            has_neighbor: self.has_neighbor,
        };
        self.intake.record_sample(sample, now);
        self.sampled_at = now;
        self.sampled_processor = self.processor;
        self.schedule(now + INTERVAL, Event::Sample);
    }

    /// Share of samples from `from` on that were later than 15 ms, from which a router is
    /// overloaded.
    fn late_samples(&self, from: u64) -> f64 {
        let from = Duration::from_secs(from);
        let late: Vec<_> = self.lateness.iter().filter(|it| it.0 >= from).collect();
        let count = late.iter().filter(|it| it.1 >= Duration::from_millis(15));
        to_f64(count.count()) / to_f64(late.len())
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

/// Ten seconds of a usual load, then a flood of one customer.
fn flooded(utilization: f64, seed: u64) -> Router {
    let loads = [
        Load::steady(300.0).between(10, 40),
        Load::steady(3.0),
        Load::steady(1.0),
    ];
    let mut router = Router::new(utilization, &loads, seed);
    router.measured_from = Duration::from_secs(10);
    router.run(40)
}

/// Guards against a router that is late for all customers because of one that sends 7 times its
/// capacity.
#[test]
fn flooded_router_stays_responsive_and_serves_what_it_can() {
    for seed in 0..8 {
        let (on, off) = (flooded(0.75, seed), flooded(0.0, seed));
        let (served, before) = (on.tallies[&0], off.tallies[&0]);
        println!("seed {seed}: on {:?} off {:?}", on.tallies, off.tallies);
        println!(
            "late samples {} accepted {:?} longest refusal {:?}",
            on.late_samples(11),
            on.accepted.values().collect::<Vec<_>>(),
            on.max_refusal_time
        );
        assert!(served.in_time > 10 * before.in_time.max(1));
        assert!(served.late * 20 <= served.in_time, "{served:?}");
        assert!(on.late_samples(11) < 0.1, "{}", on.late_samples(11));
    }
}

/// Guards against a small customer that is refused because of a flooding one at the same router.
#[test]
fn small_customers_are_served_beside_a_flooding_one() {
    let mut sum = [Tally::default(); 2];
    for seed in 0..8 {
        let router = flooded(0.75, seed);
        for (customer, total) in sum.iter_mut().enumerate() {
            let tally = router.tallies[&(customer + 1)];
            total.sent += tally.sent;
            total.in_time += tally.in_time;
        }
    }
    println!("{sum:?}");
    for total in sum {
        assert!(total.in_time * 10 >= total.sent * 9, "{total:?}");
    }
}

/// Guards against refusals, and thereby other decisions than without the limit, while there is
/// room: at half of the capacity, for random mixes of customers.
#[test]
fn nothing_is_refused_with_headroom() {
    for seed in 0..16 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let count: u16 = random.random_range(1..6);
        let rate = random.random_range(2.0..20.0);
        let loads = vec![Load::steady(rate / f64::from(count)); usize::from(count)];
        let (on, off) = (
            Router::new(0.75, &loads, seed).run(60),
            Router::new(0.0, &loads, seed).run(60),
        );
        assert_eq!(
            on.tallies, off.tallies,
            "{count} customers, {rate} per second"
        );
        assert!(on.tallies.values().all(|it| it.refused == 0));
    }
}

/// Guards against a reaction that is too late for the clients of a sudden flood, and against one
/// that oscillates: after 300 ms of a flood, the work accepted per second stays near its mean.
#[test]
fn limit_reacts_at_once_and_is_steady() {
    for seed in 0..8 {
        let router = flooded(0.75, seed);
        let onset = Duration::from_secs(10);
        let early = |it: &&(Duration, Duration)| it.0 >= onset && it.0 < onset + OBJECTIVE * 3;
        let latest = router.lateness.iter().filter(early).map(|it| it.1).max();
        assert!(latest.unwrap() < OBJECTIVE, "{latest:?}");
        let accepted: Vec<_> = (15..40).map(|it| router.accepted[&it]).collect();
        let mean = accepted.iter().sum::<u32>() / 25;
        let steady = |it: &u32| (mean / 3..=mean * 2).contains(it);
        assert!(accepted.iter().all(steady), "{accepted:?}");
    }
}

/// Guards against a second refusal of clients that have only one retry.
#[test]
fn retries_resumptions_and_plain_requests_are_refused_last() {
    for seed in 0..8 {
        let loads = [
            Load::steady(150.0),
            Load::steady(8.0).with_priority(Priority::High),
        ];
        let mut router = Router::new(0.75, &loads, seed);
        router.measured_from = Duration::from_secs(5);
        let router = router.run(30);
        let (first, again) = (router.tallies[&0], router.tallies[&1]);
        assert!(first.refused > 0);
        assert_eq!(again.refused, 0, "{again:?}");
        assert!(again.in_time * 20 >= again.sent * 19, "{again:?}");
    }
}

/// Guards against a router that is overloaded by retries alone, which it refuses last.
#[test]
fn requests_of_high_priority_are_limited_too() {
    let loads = [Load::steady(300.0).with_priority(Priority::High)];
    let mut router = Router::new(0.75, &loads, 1);
    router.measured_from = Duration::from_secs(10);
    let router = router.run(40);
    let tally = router.tallies[&0];
    let late_samples = router.late_samples(10);
    println!(
        "{tally:?}, late samples {late_samples} {:?}",
        router.accepted
    );
    assert!(tally.refused > 0);
    assert!(tally.late * 10 <= tally.in_time, "{tally:?}");
}

/// Guards against refusals that no neighbour can take.
#[test]
fn lone_router_accepts_everything() {
    let mut router = Router::new(0.75, &[Load::steady(300.0)], 1);
    router.has_neighbor = false;
    let router = router.run(5);
    assert_eq!(router.tallies[&0].refused, 0);
}

/// Guards against decisions without measurements after a restart, and against a restarted router
/// that the flood overloads before it has measured enough.
#[test]
fn restarted_router_accepts_until_it_has_samples() {
    let mut intake = Intake::new(0.75, MILLICORES);
    let accept =
        |intake: &mut Intake| intake.admit(None, Work::Stream, Priority::Normal, Duration::ZERO);
    assert!((0..1_000).all(|_| accept(&mut intake)));
    for seed in 0..4 {
        let mut router = Router::new(0.75, &[Load::steady(300.0)], seed);
        router.measured_from = Duration::from_secs(5);
        let router = router.run(30);
        println!("{:?} {:?}", router.accepted, router.tallies);
        assert!(router.late_samples(8) < 0.1, "{}", router.late_samples(8));
    }
}

/// Guards against a flood that is accepted because the router was busy without requests before, as
/// with its start: the difference to that utilization is no measure of the cost.
#[test]
fn work_before_the_first_request_does_not_raise_the_limit() {
    let loads = [Load::steady(300.0).between(10, 40)];
    let mut router = Router::new(0.75, &loads, 1);
    for second in 0..8 {
        let sample = Sample {
            elapsed: Duration::from_secs(1),
            busy: Duration::from_secs(1),
            processor: Duration::from_millis(90),
            running: 0,
            handed_over: 0,
            has_neighbor: true,
        };
        let now = Duration::from_secs(second);
        router.intake.record_sample(sample, now);
    }
    let router = router.run(40);
    println!("{:?}", router.accepted);
    assert!(router.late_samples(18) < 0.1, "{}", router.late_samples(18));
    let accepted: Vec<_> = (20..40).map(|it| router.accepted[&it]).collect();
    assert!(
        accepted.iter().all(|it| (3..30).contains(it)),
        "{accepted:?}"
    );
}

/// Guards against refusals after a suspension, which looks like a busy or an idle interval.
#[test]
fn interval_with_a_suspension_is_discarded() {
    for busy in [Duration::ZERO, Duration::from_secs(20)] {
        let mut router = Router::new(0.75, &[Load::steady(10.0)], 1).run(20);
        let intake = &mut router.intake;
        let before = intake.summary();
        let now = Duration::from_secs(40);
        let sample = Sample {
            elapsed: Duration::from_secs(20),
            busy,
            processor: Duration::from_millis(5),
            running: 0,
            handed_over: 0,
            has_neighbor: true,
        };
        intake.record_sample(sample, now);
        assert_eq!(intake.summary(), before);
        let mut burst = 0;
        while intake.admit(None, Work::Stream, Priority::Normal, now) && burst < 1_000 {
            burst += 1;
        }
        let limit = before.limit.unwrap().units;
        assert!(
            f64::from(burst) < limit * 1.5,
            "{burst} of {limit} per second"
        );
    }
}

/// Guards against a limit that takes an owner's placements for the cost of its clients' requests.
#[test]
fn placements_for_other_routers_are_counted_apart() {
    let run = |placements: u32| {
        let mut intake = Intake::new(0.75, 1_000);
        let mut now = Duration::ZERO;
        for _ in 0..300 {
            for _ in 0..placements {
                intake.record_placement();
            }
            assert!(intake.admit(None, Work::Stream, Priority::Normal, now));
            now += INTERVAL;
            // 2 ms for a stream and 0.2 ms for a placement.
            let used = Duration::from_micros(2_000 + 200 * u64::from(placements));
            let sample = Sample {
                elapsed: INTERVAL,
                busy: used,
                processor: used,
                running: 1,
                handed_over: 0,
                has_neighbor: true,
            };
            intake.record_sample(sample, now);
        }
        intake.summary().cost.unwrap()
    };
    let (alone, owner) = (run(0), run(100));
    assert!((owner / alone - 1.0).abs() < 0.05, "{alone} {owner}");
}

/// Guards against a limit on routers that have it turned off.
#[test]
fn zero_turns_it_off() {
    let router = Router::new(0.0, &[Load::steady(300.0)], 1).run(5);
    assert_eq!(router.tallies[&0].refused, 0);
    assert!(!router.intake.is_on());
}

/// Guards against a processor clock that counts the time of day: the router would take itself for
/// fully used and refuse nearly everything.
#[test]
fn processor_clock_that_exceeds_the_busy_time_is_ignored() {
    let mut intake = Intake::new(0.75, MILLICORES);
    let mut now = Duration::ZERO;
    for _ in 0..200 {
        for _ in 0..5 {
            assert!(intake.admit(None, Work::Stream, Priority::Normal, now));
        }
        now += INTERVAL;
        let sample = Sample {
            elapsed: INTERVAL,
            busy: INTERVAL / 5,
            processor: INTERVAL,
            running: 1,
            handed_over: 0,
            has_neighbor: true,
        };
        intake.record_sample(sample, now);
    }
    let utilization = intake.utilization();
    assert!((utilization - 0.2).abs() < 0.01, "{utilization}");
}
