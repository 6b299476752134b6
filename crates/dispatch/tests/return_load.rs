//! What clients receive under floods with scheduled returns, compared with a fixed `Retry-After` of
//! one objective. Simulates an owner, its engines and clients in virtual time, with the owner's
//! accounts and a short model of its placement rules.
//!
//! Guards against returns into the same flood: a client has one retry, so one that is refused twice
//! gets nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::return_schedule::{
    self, Arrival, CLIENT_ROUND_TRIP, Request, SLOT, Schedule, Summary,
};
use dunlinward_dispatch::share::Shares;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Tokens per second that the engines prefill.
const CAPACITY: f64 = 600_000.0;

/// Window over which tokens are shared.
const WINDOW: Duration = Duration::from_secs(4);

const CUSTOMERS: usize = 12;

/// Kinds of request: long prompts, questions and classifications with a short deadline.
const KINDS: usize = 3;

/// Usual load of all customers, relative to the capacity.
const USUAL_LOAD: f64 = 0.6;

/// Customers that flood.
const FLOODING: usize = 3;

const FLOOD_START: Duration = Duration::from_secs(8);
const FLOOD_TIME: Duration = Duration::from_secs(8);
const SIMULATED_TIME: Duration = Duration::from_secs(32);

/// End of first attempts: all that were refused have returned by the end.
const LAST_ARRIVAL: Duration = Duration::from_secs(24);

/// Shortest time between two passes over the queue.
const PASS_INTERVAL: Duration = Duration::from_millis(3);

/// Wait of a request at the owner, and prefill queued at engines, as fractions of the objective.
const WAIT_RATIO: f64 = 0.06;
const PREFILL_RATIO: f64 = 0.6;

/// Room for requests beyond a share, and the part of it for retries.
const OVER_SHARE_ROOM: f64 = 0.8;
const RETRY_ROOM: f64 = 0.2;

/// Room for returns that have booked tokens.
const ON_TIME_ROOM: f64 = 2.0;

/// Ratio of clients that return at a time of their own.
const IGNORING: f64 = 0.3;

/// Worth of a late answer, relative to one in time.
const LATE_WORTH: f64 = 0.3;

const SEEDS: u64 = 12;

#[derive(Clone, Copy, Debug)]
struct Kind {
    cost: u64,
    objective: Duration,
    deadline: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    customer: usize,
    kind: usize,
    /// When the client first asked.
    first: Duration,
    /// When this attempt arrives.
    arrived: Duration,
    /// Time at which it was told to return, if it is a retry that keeps it.
    told: Option<Told>,
    is_retry: bool,
    on_time: bool,
    content: u64,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    at: Duration,
    booked: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(usize),
    Attempt(Attempt),
    Pass,
}

/// What clients received, by time of the flood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    asked: u32,
    /// Served within the objective, counted from the first attempt.
    in_time: u32,
    late: u32,
    /// Refused once and not returned, or refused twice.
    unserved: u32,
    /// Returns that kept their time, and those of them that were served within their objective from
    /// then, served later, or refused.
    kept: Return,
    /// The same for those with booked tokens.
    booked: Return,
    /// Returns at a time of the client's own.
    early: Return,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Return {
    all: u32,
    in_time: u32,
    refused: u32,
}

impl Return {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.in_time += other.in_time;
        self.refused += other.refused;
    }

    fn in_time_ratio(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all.max(1))
    }

    fn refused_ratio(self) -> f64 {
        f64::from(self.refused) / f64::from(self.all.max(1))
    }
}

impl Outcome {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.unserved += other.unserved;
        self.kept.add(other.kept);
        self.booked.add(other.booked);
        self.early.add(other.early);
    }

    /// Worth of what clients received, relative to what they asked for.
    fn worth(&self) -> f64 {
        let worth = f64::from(self.in_time) + LATE_WORTH * f64::from(self.late);
        worth / f64::from(self.asked.max(1))
    }

    fn unserved_ratio(&self) -> f64 {
        f64::from(self.unserved) / f64::from(self.asked.max(1))
    }

    /// Ratio of all returns that were refused again.
    fn refused_twice(&self) -> f64 {
        let refused = self.kept.refused + self.early.refused;
        f64::from(refused) / f64::from((self.kept.all + self.early.all).max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Return after one objective.
    Fixed,
    Scheduled,
}

struct Fleet {
    mode: Mode,
    kinds: Vec<Kind>,
    /// Requests per second of each customer.
    rates: Vec<f64>,
    floods: Vec<f64>,
    shares: Shares,
    schedule: Schedule,
    queue: Vec<Attempt>,
    /// When the engines have prefilled all that they received.
    prefilled_at: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    random: Pcg64Mcg,
    next: u64,
    outcomes: BTreeMap<(usize, usize), Outcome>,
    /// Largest ratio of the tokens booked in a slot to what is served in it.
    fullest_slot: f64,
}

fn seconds(from: f64, to: f64, random: &mut Pcg64Mcg) -> Duration {
    Duration::from_secs_f64(random.random_range(from..to))
}

#[expect(clippy::cast_precision_loss, reason = "token counts are small")]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}

impl Fleet {
    fn new(mode: Mode, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let kinds = [(12_600, 12.0, 15.0), (1_430, 12.0, 13.0), (2_400, 3.0, 3.1)];
        let kinds = kinds.map(|(cost, from, to)| Kind {
            cost,
            objective: seconds(0.4, 1.2, &mut random),
            deadline: seconds(from, to, &mut random),
        });
        let mean = kinds.iter().map(|it| to_f64(it.cost)).sum::<f64>() / 3.0;
        let weights: Vec<f64> = (0..CUSTOMERS)
            .map(|_| random.random_range(0.3..1.0))
            .collect();
        let sum: f64 = weights.iter().sum();
        let rates = weights
            .iter()
            .map(|it| it / sum * USUAL_LOAD * CAPACITY / mean);
        let mut floods = vec![1.0; CUSTOMERS];
        for flood in &mut floods[..FLOODING] {
            *flood = random.random_range(5.0..14.0);
        }
        let mut fleet = Self {
            mode,
            kinds: kinds.to_vec(),
            rates: rates.collect(),
            floods,
            shares: Shares::new(WINDOW),
            schedule: Schedule::default(),
            queue: Vec::new(),
            prefilled_at: Duration::ZERO,
            events: BTreeMap::new(),
            random,
            next: 0,
            outcomes: BTreeMap::new(),
            fullest_slot: 0.0,
        };
        for customer in 0..CUSTOMERS {
            fleet.push(Duration::ZERO, Event::Arrival(customer));
        }
        fleet.push(PASS_INTERVAL, Event::Pass);
        fleet
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn run(mut self) -> Self {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= SIMULATED_TIME {
                break;
            }
            match event {
                Event::Arrival(customer) => self.arrive(customer, now),
                Event::Attempt(attempt) => self.ask(attempt, now),
                Event::Pass => self.pass(now),
            }
        }
        self
    }

    fn arrive(&mut self, customer: usize, now: Duration) {
        let floods = (FLOOD_START..FLOOD_START + FLOOD_TIME).contains(&now);
        let rate = self.rates[customer] * if floods { self.floods[customer] } else { 1.0 };
        let pause = Duration::from_secs_f64(self.random.random_range(0.0..2.0) / rate);
        if now + pause < LAST_ARRIVAL {
            self.push(now + pause, Event::Arrival(customer));
        }
        let attempt = Attempt {
            customer,
            kind: self.random.random_range(0..self.kinds.len()),
            first: now,
            arrived: now,
            told: None,
            is_retry: false,
            on_time: false,
            content: self.next,
        };
        self.outcome(&attempt).asked += 1;
        self.ask(attempt, now);
    }

    fn outcome(&mut self, attempt: &Attempt) -> &mut Outcome {
        let key = (attempt.customer, attempt.kind);
        self.outcomes.entry(key).or_default()
    }

    fn ask(&mut self, mut attempt: Attempt, now: Duration) {
        let content = ContentTag(attempt.content);
        if self.mode == Mode::Scheduled {
            let arrival = self.schedule.arrive(content, now);
            attempt.on_time = arrival == Arrival::Kept { booked: true };
        }
        let cost = self.kinds[attempt.kind].cost;
        self.shares.record_demand(tag(attempt.customer), cost, now);
        if !self.queue.is_empty() || !self.try_place(&attempt, now) {
            self.queue.push(attempt);
            self.assign(&attempt, now);
        }
    }

    /// Assigns a time to a queued request.
    fn assign(&mut self, attempt: &Attempt, now: Duration) -> Option<Duration> {
        if self.mode == Mode::Fixed {
            return None;
        }
        let kind = self.kinds[attempt.kind];
        let customer = tag(attempt.customer);
        let supply = self.shares.supply(customer, Some(CAPACITY), now);
        let request = Request {
            content: ContentTag(attempt.content),
            customer,
            cost: kind.cost,
            objective: kind.objective,
            refused_at: attempt.arrived + kind.objective.mul_f64(WAIT_RATIO),
            expiry: attempt.first + kind.deadline,
        };
        let at = self.schedule.assign(&request, supply.as_ref(), now);
        if let (Some(at), Some(supply)) = (at, supply) {
            let served = supply.capacity * SLOT.as_secs_f64();
            let booked = to_f64(self.schedule.booked(at)) / served;
            self.fullest_slot = self.fullest_slot.max(booked);
        }
        at
    }

    fn ratio(&mut self, attempt: &Attempt, now: Duration) -> f64 {
        let cost = self.kinds[attempt.kind].cost;
        let ratio = self.shares.share_ratio(tag(attempt.customer), cost, now);
        if attempt.on_time {
            ratio.max(1.0)
        } else {
            ratio
        }
    }

    fn try_place(&mut self, attempt: &Attempt, now: Duration) -> bool {
        let kind = self.kinds[attempt.kind];
        let ratio = self.ratio(attempt, now);
        let room = match (ratio < 1.0, attempt.is_retry) {
            (false, _) if attempt.on_time => ON_TIME_ROOM,
            (false, _) => 1.0,
            (true, false) => OVER_SHARE_ROOM * ratio * ratio,
            (true, true) => OVER_SHARE_ROOM * ratio * ratio * RETRY_ROOM,
        };
        let queued = self.prefilled_at.saturating_sub(now);
        if queued > kind.objective.mul_f64(PREFILL_RATIO * room) {
            return false;
        }
        self.shares.charge(tag(attempt.customer), kind.cost, now);
        let prefill = Duration::from_secs_f64(to_f64(kind.cost) / CAPACITY);
        self.prefilled_at = self.prefilled_at.max(now) + prefill;
        let begins = self.prefilled_at;
        self.schedule.place(ContentTag(attempt.content));
        let outcome = self.outcome(attempt);
        if begins <= attempt.first + kind.objective {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
        let told = attempt.told;
        let from = told.map_or(attempt.arrived, |it| it.at);
        let served = Return {
            all: 1,
            in_time: u32::from(begins <= from + kind.objective),
            refused: 0,
        };
        self.record_return(attempt, served);
        true
    }

    fn record_return(&mut self, attempt: &Attempt, served: Return) {
        if !attempt.is_retry {
            return;
        }
        let outcome = self.outcome(attempt);
        match attempt.told {
            Some(told) => {
                outcome.kept.add(served);
                if told.booked {
                    outcome.booked.add(served);
                }
            }
            None => outcome.early.add(served),
        }
    }

    fn pass(&mut self, now: Duration) {
        self.push(now + PASS_INTERVAL, Event::Pass);
        self.schedule.prune(now);
        let mut queue = Vec::new();
        for attempt in std::mem::take(&mut self.queue) {
            let wait = self.kinds[attempt.kind].objective.mul_f64(WAIT_RATIO);
            if now >= attempt.arrived + wait {
                self.refuse(attempt, now);
            } else {
                let beyond = self.ratio(&attempt, now) < 1.0;
                queue.push((beyond, attempt.is_retry, attempt.arrived, attempt));
            }
        }
        queue.sort_by_key(|it| (it.0, it.1, it.2));
        for (.., attempt) in queue {
            if !self.try_place(&attempt, now) {
                self.queue.push(attempt);
            }
        }
    }

    fn refuse(&mut self, attempt: Attempt, now: Duration) {
        let scheduled = self.assign(&attempt, now);
        let content = ContentTag(attempt.content);
        let booked = self.schedule.has_booked(content);
        self.schedule.refuse(content);
        if attempt.is_retry {
            self.outcome(&attempt).unserved += 1;
            let refused = Return {
                all: 1,
                in_time: 0,
                refused: 1,
            };
            self.record_return(&attempt, refused);
            return;
        }
        let kind = self.kinds[attempt.kind];
        let remaining = (attempt.first + kind.deadline).saturating_sub(now);
        let longest = return_schedule::longest_delay(remaining, kind.objective);
        let delay = scheduled.map_or(kind.objective, |it| it.saturating_sub(now));
        let delay = delay.max(CLIENT_ROUND_TRIP).min(longest);
        let ignores = self.random.random_bool(IGNORING);
        let own = self.random.random_range(0.05..1.0);
        let told = Told {
            at: now + delay,
            booked,
        };
        let delay = if ignores {
            Duration::from_secs_f64(own)
        } else {
            delay
        };
        let at = now + delay + Duration::from_millis(6);
        let attempt = Attempt {
            arrived: at,
            told: (!ignores).then_some(told),
            is_retry: true,
            ..attempt
        };
        self.push(at, Event::Attempt(attempt));
    }

    fn total(&self, filter: impl Fn(usize, usize) -> bool) -> Outcome {
        let mut total = Outcome::default();
        let all = self.outcomes.iter();
        for (_, outcome) in all.filter(|((customer, kind), _)| filter(*customer, *kind)) {
            total.add(*outcome);
        }
        total
    }
}

fn tag(customer: usize) -> CustomerTag {
    CustomerTag(u32::try_from(customer).expect("a few customers"))
}

fn print(name: &str, outcome: &Outcome) {
    println!(
        "{name:>12}: asked {:5} in time {:5} late {:4} unserved {:4} worth {:.3} | kept {:4} in \
         time {:.2} refused {:.2} | booked {:4} in time {:.2} refused {:.2} | early {:4} refused \
         {:.2} | refused twice {:.2}",
        outcome.asked,
        outcome.in_time,
        outcome.late,
        outcome.unserved,
        outcome.worth(),
        outcome.kept.all,
        outcome.kept.in_time_ratio(),
        outcome.kept.refused_ratio(),
        outcome.booked.all,
        outcome.booked.in_time_ratio(),
        outcome.booked.refused_ratio(),
        outcome.early.all,
        outcome.early.refused_ratio(),
        outcome.refused_twice(),
    );
}

fn simulate(mode: Mode) -> Vec<Fleet> {
    (0..SEEDS)
        .map(|seed| Fleet::new(mode, seed).run())
        .collect()
}

fn sum(fleets: &[Fleet], filter: impl Fn(usize, usize) -> bool) -> Outcome {
    let mut total = Outcome::default();
    for fleet in fleets {
        total.add(fleet.total(&filter));
    }
    total
}

fn print_all(mode: Mode, fleets: &[Fleet]) {
    println!("{mode:?}");
    print("all", &sum(fleets, |_, _| true));
    print("flooding", &sum(fleets, is_flooding));
    print(
        "others",
        &sum(fleets, |customer, kind| !is_flooding(customer, kind)),
    );
    for kind in 0..KINDS {
        print(&format!("kind {kind}"), &sum(fleets, |_, it| it == kind));
    }
}

fn is_flooding(customer: usize, _: usize) -> bool {
    customer < FLOODING
}

/// The aims of the schedule: of the clients that keep a time with booked tokens, 0.8 are served
/// within their objective from then and fewer than 1 in 10 are refused twice.
#[test]
fn returns_with_booked_tokens_are_served() {
    let fleets = simulate(Mode::Scheduled);
    print_all(Mode::Scheduled, &fleets);
    let all = sum(&fleets, |_, _| true);
    let flooding = sum(&fleets, is_flooding);
    let others = sum(&fleets, |customer, kind| !is_flooding(customer, kind));
    for (name, outcome) in [("all", all), ("flooding", flooding), ("others", others)] {
        let booked = outcome.booked;
        assert!(booked.all > 100, "{name}: {booked:?}");
        assert!(booked.in_time_ratio() >= 0.8, "{name}: {booked:?}");
        assert!(booked.refused_ratio() < 0.1, "{name}: {booked:?}");
    }
    for kind in 0..KINDS {
        let booked = sum(&fleets, |_, it| it == kind).booked;
        assert!(booked.in_time_ratio() >= 0.8, "kind {kind}: {booked:?}");
        assert!(booked.refused_ratio() < 0.1, "kind {kind}: {booked:?}");
    }
}

/// Clients get more than with a fixed time of one objective: altogether, the flooding customers, and
/// each kind of request. The other customers lose less than one in a hundred.
#[test]
fn clients_get_more_than_with_a_fixed_time() {
    let fixed = simulate(Mode::Fixed);
    let scheduled = simulate(Mode::Scheduled);
    print_all(Mode::Fixed, &fixed);
    let compare = |name: &str, filter: &dyn Fn(usize, usize) -> bool, loss: f64| {
        let before = sum(&fixed, filter);
        let after = sum(&scheduled, filter);
        let (old, new) = (before.worth(), after.worth());
        assert!(new >= old - loss, "{name}: worth {old:.3}, now {new:.3}");
        let (old, new) = (before.refused_twice(), after.refused_twice());
        assert!(new < old, "{name}: {old:.3} refused twice, now {new:.3}");
        let (old, new) = (before.unserved_ratio(), after.unserved_ratio());
        assert!(new < old, "{name}: {old:.3} unserved, now {new:.3}");
    };
    compare("all", &|_, _| true, 0.0);
    compare("flooding", &is_flooding, 0.0);
    compare(
        "others",
        &|customer, kind| !is_flooding(customer, kind),
        0.01,
    );
    for kind in 0..KINDS {
        compare(&format!("kind {kind}"), &|_, it| it == kind, 0.005);
    }
}

/// Guards against clients that gain by ignoring their time: they are served less often than those
/// that keep it.
#[test]
fn early_returns_gain_nothing() {
    let fleets = simulate(Mode::Scheduled);
    for seed in 0..fleets.len() {
        let all = sum(&fleets[seed..=seed], |_, _| true);
        let (kept, early) = (all.kept.refused_ratio(), all.early.refused_ratio());
        assert!(
            early > kept,
            "seed {seed}: refused {early:.2}, {kept:.2} that keep their time"
        );
    }
}

/// Guards against bookings of more than the engines prefill.
#[test]
fn no_slot_is_assigned_more_than_can_be_served() {
    for (seed, fleet) in simulate(Mode::Scheduled).iter().enumerate() {
        let fullest = fleet.fullest_slot;
        assert!(fullest > 0.0 && fullest <= 1.0, "seed {seed}: {fullest:.2}");
    }
}

/// Without contention no time is assigned, and all decisions are those without a schedule.
#[test]
fn nothing_changes_without_contention() {
    for seed in 0..SEEDS {
        let quiet = |mode| {
            let mut fleet = Fleet::new(mode, seed);
            // Half of the usual load, as bursts at the usual one refuse a few requests.
            fleet.floods = vec![1.0; CUSTOMERS];
            fleet.rates.iter_mut().for_each(|it| *it /= 2.0);
            fleet.run()
        };
        let (before, mut after) = (quiet(Mode::Fixed), quiet(Mode::Scheduled));
        let (old, new) = (before.total(|_, _| true), after.total(|_, _| true));
        assert_eq!(old, new, "seed {seed}");
        assert_eq!(
            after.schedule.take_summary(),
            Summary::default(),
            "seed {seed}"
        );
    }
}
