//! What clients receive when requests are placed by measured speeds. Simulates a cell of engines that
//! prefill in chunks between the steps that generate tokens, under a drawn load, in virtual time.
//!
//! Guards against streams at slow engines that pause beyond their objective, and against a remedy
//! that delays first events, refuses more, or favours one kind of request.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::placement::{self, Candidate, Criteria, Policy};
use dunlinward_dispatch::prefix::{Part, Prompt};
use dunlinward_dispatch::speed::{MAX_SAMPLES, Observation, Report, Sample, Speeds};
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::{Load, Peer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of engines in the cell.
const ENGINES: usize = 24;

/// Prefill rates in tokens per second; fast engines differ by some percent.
const FAST: [f64; 2] = [42_000.0, 48_000.0];
const SLOW: f64 = 19_700.0;

/// Tokens prefilled between two steps.
const CHUNK: u64 = 2_048;

/// Duration of a step, in which each stream gets a token.
const STEP: Duration = Duration::from_millis(4);

/// Tokens per event.
const EVENT_TOKENS: u32 = 7;

/// Rate that the configuration says an engine has.
const NOMINAL_RATE: f64 = 30_000.0;

const PAUSE_OBJECTIVE: Duration = Duration::from_millis(400);

const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// The router that owned the cell before.
const PREVIOUS_OWNER: Peer = Peer(ROUTERS);

/// Time within which a new owner knows the speeds.
const RELEARN_TIME: Duration = Duration::from_secs(2);

/// Age up to which routers report observations to a new owner.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(10);

/// Interval at which a waiting request is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(12);

/// Ratio of its objective for which a request waits for a place.
const MAX_WAIT: f64 = 0.06;

/// Routers that report; each receives an equal part of the requests.
const ROUTERS: u64 = 8;

/// Simulated time, and the part at its start that is not measured.
const SIMULATED_TIME: Duration = Duration::from_secs(80);
const WARM_UP: Duration = Duration::from_secs(20);

/// Slowdown of an engine for [`NOISE_TIME`] at random times, by this factor.
const NOISE_FACTOR: f64 = 2.5;
const NOISE_TIME: Duration = Duration::from_millis(600);
const NOISE_INTERVAL: Duration = Duration::from_secs(20);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    shared: u64,
    own: u64,
    events: u32,
    objective: Duration,
    /// Share of all requests.
    share: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        shared: 5_382,
        own: 6_610,
        events: 55,
        objective: Duration::from_millis(800),
        share: 0.25,
    },
    Kind {
        shared: 198,
        own: 628,
        events: 42,
        objective: Duration::from_millis(800),
        share: 0.45,
    },
    Kind {
        shared: 568,
        own: 1_800,
        events: 3,
        objective: Duration::from_millis(1_200),
        share: 0.3,
    },
];

/// Engines of the simulated cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mix {
    /// Two thirds fast, a third slow.
    Mixed,
    Alike,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    mix: Mix,
    learn: bool,
    /// Requested tokens as a ratio of the prefill rates of all engines.
    utilization: f64,
    seed: u64,
    faults: Faults,
}

/// Faults of the reports to the owner.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Share of reports that are lost.
    loss: f64,
    /// Share of reports that arrive twice.
    repeats: f64,
    /// Longest time until a report arrives.
    delay: Duration,
    /// When a new owner takes over.
    successor_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Retry(usize),
    /// The end of a chunk and a step at an engine.
    Step(usize),
    Noise(usize),
    Report,
    /// The arrival of a report, by its number, at the owner.
    Receive(u64),
    /// A new owner takes over.
    Successor,
}

#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    arrived: Duration,
    sent_at: Duration,
    engine: usize,
    queued: u64,
    /// Tokens that are not prefilled yet.
    left: u64,
    tokens: u32,
    events: u32,
    first: Option<Duration>,
    last: Duration,
    longest_pause: Duration,
}

#[derive(Clone, Debug)]
struct Engine {
    rate: f64,
    target: Arc<Target>,
    load: Load,
    queue: VecDeque<usize>,
    streams: Vec<usize>,
    /// Requests prefilled by the chunk that runs.
    chunk: Vec<usize>,
    busy: bool,
    noisy_until: Duration,
    begun: u64,
    observation: Observation,
}

impl Engine {
    fn new(number: usize, rate: f64) -> Self {
        let target = Target {
            id: format!("t{number}").into(),
            service: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "a".into(),
            born: None,
            slots: 32,
            state: State::Ready,
            cold_left: Duration::ZERO,
            version: None,
        };
        Self {
            rate,
            observation: observation(target.tag()),
            target: Arc::new(target),
            load: Load::default(),
            queue: VecDeque::new(),
            streams: Vec::new(),
            chunk: Vec::new(),
            busy: false,
            noisy_until: Duration::ZERO,
            begun: 0,
        }
    }

    fn is_slow(&self) -> bool {
        self.rate <= SLOW
    }
}

fn observation(tag: Tag) -> Observation {
    Observation {
        tag,
        samples: Vec::new(),
        streams: 0,
        paused_streams: 0,
        longest_pause: Duration::ZERO,
    }
}

/// Result for one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    refused: u32,
    in_time: u32,
    first_total: Duration,
}

impl Served {
    fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }

    fn mean_first(&self) -> Duration {
        self.first_total / (self.asked - self.refused).max(1)
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
struct Outcome {
    kinds: [Served; 3],
    /// Streams, and those that paused, at slow and at fast engines.
    streams: [(u32, u32); 2],
    /// Tokens begun at slow and at fast engines.
    begun: [u64; 2],
    /// Target of each request.
    choices: Vec<Option<usize>>,
    /// Slow engines that a new owner knows as slow after [`RELEARN_TIME`].
    relearned: usize,
}

impl Outcome {
    fn paused_share(&self, slow: bool) -> f64 {
        let (streams, paused) = self.streams[usize::from(!slow)];
        f64::from(paused) / f64::from(streams.max(1))
    }

    /// Mean time to the first event over all kinds.
    fn mean_first(&self) -> Duration {
        let total: Duration = self.kinds.iter().map(|it| it.first_total).sum();
        let served: u32 = self.kinds.iter().map(|it| it.asked - it.refused).sum();
        total / served.max(1)
    }

    fn in_time_ratio(&self) -> f64 {
        let in_time: u32 = self.kinds.iter().map(|it| it.in_time).sum();
        let asked: u32 = self.kinds.iter().map(|it| it.asked).sum();
        f64::from(in_time) / f64::from(asked)
    }
}

struct Fleet {
    case: Case,
    random: Pcg64Mcg,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    speeds: Speeds,
    /// Reports of the last seconds, by number, with their times.
    reports: BTreeMap<u64, (Duration, Report)>,
    last_report: u64,
    requests_per_second: f64,
    outcome: Outcome,
}

impl Fleet {
    fn simulate(case: Case) -> Outcome {
        let rate = |number: usize| match (case.mix, number % 3) {
            (Mix::Mixed, 2) => SLOW,
            (Mix::Mixed, kind) => FAST[kind],
            (Mix::Alike, _) => FAST[0],
        };
        let engines: Vec<_> = (0..ENGINES).map(|it| Engine::new(it, rate(it))).collect();
        #[expect(clippy::cast_precision_loss, reason = "a few thousand tokens")]
        let mean: f64 = KINDS.iter().map(|it| it.share * it.own as f64).sum();
        let capacity: f64 = engines.iter().map(|it| it.rate).sum();
        let mut fleet = Self {
            case,
            random: Pcg64Mcg::seed_from_u64(case.seed),
            engines,
            requests: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            speeds: Speeds::new(),
            reports: BTreeMap::new(),
            last_report: 0,
            requests_per_second: case.utilization * capacity / mean,
            outcome: Outcome::default(),
        };
        fleet.schedule(Duration::ZERO, Event::Arrival);
        fleet.schedule(REPORT_INTERVAL, Event::Report);
        if let Some(at) = case.faults.successor_at {
            fleet.schedule(at, Event::Successor);
        }
        for engine in 0..ENGINES {
            let at = NOISE_INTERVAL.mul_f64(fleet.random.random());
            fleet.schedule(at, Event::Noise(engine));
        }
        fleet.run()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn run(mut self) -> Outcome {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= SIMULATED_TIME {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now),
                Event::Retry(request) => self.place(request, now),
                Event::Step(engine) => self.finish_step(engine, now),
                Event::Noise(engine) => {
                    self.engines[engine].noisy_until = now + NOISE_TIME;
                    let pause = NOISE_INTERVAL.mul_f64(0.5 + self.random.random::<f64>());
                    self.schedule(now + pause, Event::Noise(engine));
                }
                Event::Report => self.report(now),
                Event::Receive(number) => self.receive(number, now),
                Event::Successor => self.replace_owner(now),
            }
        }
        for engine in &self.engines {
            self.outcome.begun[usize::from(!engine.is_slow())] += engine.begun;
        }
        self.outcome
    }

    fn arrive(&mut self, now: Duration) {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let pause = -uniform.ln() / self.requests_per_second;
        self.schedule(now + Duration::from_secs_f64(pause), Event::Arrival);
        let mut draw: f64 = self.random.random();
        let kind = KINDS.iter().position(|it| {
            draw -= it.share;
            draw < 0.0
        });
        let kind = kind.unwrap_or(0);
        self.requests.push(Request {
            kind,
            arrived: now,
            sent_at: now,
            engine: 0,
            queued: 0,
            left: KINDS[kind].own,
            tokens: 0,
            events: 0,
            first: None,
            last: now,
            longest_pause: Duration::ZERO,
        });
        if now >= WARM_UP {
            self.outcome.kinds[kind].asked += 1;
        }
        self.place(self.requests.len() - 1, now);
    }

    fn place(&mut self, number: usize, now: Duration) {
        let choice = self.choose(number, now);
        let request = &mut self.requests[number];
        let objective = KINDS[request.kind].objective;
        let waited = now.saturating_sub(request.arrived);
        let Some(index) = choice else {
            if waited < objective.mul_f64(MAX_WAIT) {
                self.schedule(now + RETRY_INTERVAL, Event::Retry(number));
                return;
            }
            self.outcome.choices.push(None);
            if request.arrived >= WARM_UP {
                self.outcome.kinds[request.kind].refused += 1;
            }
            return;
        };
        self.outcome.choices.push(Some(index));
        let engine = &mut self.engines[index];
        request.sent_at = now;
        request.engine = index;
        request.queued = engine.load.unread;
        engine.load.unread += request.left;
        engine.load.running += 1;
        if now >= WARM_UP {
            engine.begun += request.left;
        }
        engine.queue.push_back(number);
        if !engine.busy {
            self.start_step(index, now);
        }
    }

    fn choose(&self, number: usize, now: Duration) -> Option<usize> {
        let request = &self.requests[number];
        let kind = KINDS[request.kind];
        let part = |id: u32, tokens| Part { id, tokens };
        let prompt = Prompt {
            tokens: kind.shared + kind.own,
            answer_tokens: 400,
            parts: vec![part(1, kind.shared), part(2, kind.own)],
        };
        let candidates = self.engines.iter().map(|it| Candidate {
            target: it.target.clone(),
            load: it.load,
            local: true,
            assumed_cached: true,
            prefix_match: None,
            rating: self.speeds.rating(it.target.tag()),
        });
        let candidates: Vec<_> = candidates.collect();
        let criteria = Criteria {
            prompt: Some(&prompt),
            objective: kind.objective,
            rate: NOMINAL_RATE,
            fetch_seconds: None,
            capacity_share: 1.0,
            miss_capacity_scale: 1.0,
            waited: now.saturating_sub(request.arrived),
            allow_fetch: true,
            allow_miss: true,
            allow_replica: false,
            tie_breaker: 0,
        };
        let choice = placement::choose(&Policy::default(), &criteria, &candidates)?;
        let tag = choice.target.tag();
        self.engines.iter().position(|it| it.target.tag() == tag)
    }

    /// Starts a chunk and a step, if there is work.
    fn start_step(&mut self, index: usize, now: Duration) {
        let engine = &mut self.engines[index];
        engine.busy = !engine.queue.is_empty() || !engine.streams.is_empty();
        if !engine.busy {
            return;
        }
        let mut room = CHUNK;
        while let Some(number) = engine.queue.front().copied().filter(|_| room > 0) {
            let request = &mut self.requests[number];
            let tokens = request.left.min(room);
            request.left -= tokens;
            room -= tokens;
            if request.left == 0 {
                engine.queue.pop_front();
                engine.chunk.push(number);
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "a few thousand tokens")]
        let mut seconds = (CHUNK - room) as f64 / engine.rate;
        if !engine.streams.is_empty() {
            seconds += STEP.as_secs_f64();
        }
        if now < engine.noisy_until {
            seconds *= NOISE_FACTOR;
        }
        self.schedule(now + Duration::from_secs_f64(seconds), Event::Step(index));
    }

    fn finish_step(&mut self, index: usize, now: Duration) {
        let streams = std::mem::take(&mut self.engines[index].streams);
        for number in streams {
            self.requests[number].tokens += 1;
            if self.requests[number].tokens.is_multiple_of(EVENT_TOKENS) {
                self.send_event(number, now);
            }
            let request = &self.requests[number];
            if request.events < KINDS[request.kind].events {
                self.engines[index].streams.push(number);
            }
        }
        for number in std::mem::take(&mut self.engines[index].chunk) {
            self.send_event(number, now);
            self.engines[index].streams.push(number);
        }
        self.start_step(index, now);
    }

    fn send_event(&mut self, number: usize, now: Duration) {
        let request = &mut self.requests[number];
        let engine = &mut self.engines[request.engine];
        let own = KINDS[request.kind].own;
        request.events += 1;
        let pause = now.saturating_sub(request.last);
        request.last = now;
        if request.first.is_none() {
            request.first = Some(now);
            engine.load.unread -= own;
            if request.queued <= own / 2 && engine.observation.samples.len() < MAX_SAMPLES {
                engine.observation.samples.push(Sample {
                    tokens: own + request.queued,
                    time: now.saturating_sub(request.sent_at),
                });
            }
            return;
        }
        let was_paused = request.longest_pause > PAUSE_OBJECTIVE;
        request.longest_pause = request.longest_pause.max(pause);
        let paused = request.longest_pause > PAUSE_OBJECTIVE;
        let ended = request.events >= KINDS[request.kind].events;
        if paused && !was_paused {
            engine.observation.streams += 1;
            engine.observation.paused_streams += 1;
        } else if ended && !paused {
            engine.observation.streams += 1;
        }
        if ended {
            engine.load.running -= 1;
            self.finish(number);
        }
    }

    fn finish(&mut self, number: usize) {
        let request = &self.requests[number];
        if request.arrived < WARM_UP {
            return;
        }
        let kind = &mut self.outcome.kinds[request.kind];
        let first = request.first.unwrap_or_default();
        let first = first.saturating_sub(request.arrived);
        let paused = request.longest_pause > PAUSE_OBJECTIVE;
        kind.first_total += first;
        kind.in_time += u32::from(!paused && first <= KINDS[request.kind].objective);
        let slow = self.engines[request.engine].is_slow();
        let streams = &mut self.outcome.streams[usize::from(!slow)];
        streams.0 += 1;
        streams.1 += u32::from(paused);
    }

    fn report(&mut self, now: Duration) {
        self.schedule(now + REPORT_INTERVAL, Event::Report);
        if !self.case.learn {
            return;
        }
        self.last_report += 1;
        let number = self.last_report;
        let observations = self.engines.iter_mut().map(|it| {
            let empty = observation(it.target.tag());
            std::mem::replace(&mut it.observation, empty)
        });
        let observations = observations.collect();
        let report = Report {
            number,
            observations,
            bounds: Vec::new(),
        };
        self.reports.insert(number, (now, report));
        let is_recent = |at: Duration| now.saturating_sub(at) < MAX_REPORTED_AGE;
        self.reports.retain(|_, (at, _)| is_recent(*at));
        self.send_report(number, now);
        self.refresh(now);
        let relearned_at = self.case.faults.successor_at.map(|it| it + RELEARN_TIME);
        if relearned_at.is_some_and(|it| now <= it && now + REPORT_INTERVAL > it) {
            self.outcome.relearned = self.known_slow();
        }
    }

    fn send_report(&mut self, number: u64, now: Duration) {
        let Faults {
            loss,
            repeats,
            delay,
            ..
        } = self.case.faults;
        // The faults have a source of their own, so that they do not change the drawn load.
        let mut random = Pcg64Mcg::seed_from_u64(number);
        if random.random_bool(loss) {
            return;
        }
        let copies = if random.random_bool(repeats) { 2 } else { 1 };
        for _ in 0..copies {
            let at = now + delay.mul_f64(random.random());
            self.schedule(at, Event::Receive(number));
        }
    }

    fn receive(&mut self, number: u64, now: Duration) {
        if let Some((_, report)) = self.reports.get(&number) {
            self.speeds.record(Peer(number % ROUTERS), report, now);
        }
    }

    /// A new owner gets the observations of the last seconds with the first reports.
    fn replace_owner(&mut self, now: Duration) {
        assert!(self.known_slow() > 0);
        let tags = self.engines.iter().map(|it| it.target.tag());
        let tags: Vec<_> = tags.collect();
        let bounds = Report {
            number: 1,
            observations: Vec::new(),
            bounds: self.speeds.handover(&tags, now),
        };
        self.speeds = Speeds::new();
        self.speeds.record(PREVIOUS_OWNER, &bounds, now);
        for number in self.reports.keys().copied().collect::<Vec<_>>() {
            self.send_report(number, now);
        }
    }

    fn refresh(&mut self, now: Duration) {
        let tags = self.engines.iter().map(|it| it.target.tag());
        self.speeds.refresh([tags.collect()], now);
    }

    /// Slow engines that the owner knows as slow.
    fn known_slow(&self) -> usize {
        let slow = self.engines.iter().filter(|it| it.is_slow());
        let speeds = slow.map(|it| self.speeds.rating(it.target.tag()).speed);
        speeds.filter(|it| *it < 1.0).count()
    }
}

fn simulate(mix: Mix, learn: bool, utilization: f64, seed: u64) -> Outcome {
    Fleet::simulate(Case {
        mix,
        learn,
        utilization,
        seed,
        faults: Faults::default(),
    })
}

/// Tokens begun at slow engines by their rate, relative to fast engines.
#[expect(clippy::cast_precision_loss, reason = "some million tokens")]
fn begun_ratio(outcome: &Outcome) -> f64 {
    let [slow, fast] = outcome.begun;
    let fast_rate = FAST[0] + FAST[1];
    (slow as f64 / SLOW) / (fast as f64 / fast_rate)
}

fn print(utilization: f64, seed: u64, label: &str, outcome: &Outcome) {
    let kinds = outcome.kinds.map(|it| {
        let (in_time, refused, first) = (it.in_time_ratio(), it.refused, it.mean_first());
        format!("{in_time:.3} in time, {refused} refused, {first:.1?}")
    });
    println!(
        "{utilization} {seed} {label}: in time {:.3}, paused at slow {:.3}, at fast {:.3}, begun {:.2}, {kinds:?}",
        outcome.in_time_ratio(),
        outcome.paused_share(true),
        outcome.paused_share(false),
        begun_ratio(outcome),
    );
}

/// Guards against streams at slow engines that pause beyond their objective, whatever the load, and
/// against first events that come later or kinds of request that are served less for it.
#[test]
fn streams_at_slow_engines_pause_no_more_than_elsewhere() {
    for utilization in [0.4, 0.6, 0.8, 1.0, 1.3] {
        for seed in 0..3 {
            let off = simulate(Mix::Mixed, false, utilization, seed);
            let on = simulate(Mix::Mixed, true, utilization, seed);
            print(utilization, seed, "off", &off);
            print(utilization, seed, "on", &on);
            assert!(off.paused_share(true) > 0.1);
            assert!(on.paused_share(true) < 0.06);
            assert!(on.paused_share(false) < 0.06);
            assert!(on.in_time_ratio() > off.in_time_ratio());
            assert!(on.mean_first() < off.mean_first());
            for (on, off) in on.kinds.iter().zip(off.kinds) {
                assert!(on.in_time_ratio() > off.in_time_ratio());
                // Long prompts move to fast engines, where short ones wait for some milliseconds.
                assert!(on.mean_first() < off.mean_first() + Duration::from_millis(10));
            }
        }
    }
}

/// Guards against slow engines that get as much work as fast ones while all are busy.
#[test]
fn work_is_begun_in_proportion_to_the_speed() {
    for (seed, utilization) in (0..).zip([0.8, 1.0, 1.3]) {
        let off = simulate(Mix::Mixed, false, utilization, seed);
        let on = simulate(Mix::Mixed, true, utilization, seed);
        assert!(begun_ratio(&off) > 1.25, "{}", begun_ratio(&off));
        let ratio = begun_ratio(&on);
        assert!((0.75..1.15).contains(&ratio), "{ratio}");
    }
}

/// Guards against decisions that change where all engines are alike.
#[test]
fn alike_engines_get_the_same_requests() {
    for (seed, utilization) in (0..).zip([0.3, 0.5, 0.7, 0.9, 1.2]) {
        let off = simulate(Mix::Alike, false, utilization, seed);
        let on = simulate(Mix::Alike, true, utilization, seed);
        assert!(off.choices.len() > 1_000);
        assert_eq!(off.choices, on.choices, "utilization {utilization}");
    }
}

/// Guards against an owner that has taken over and places requests for long as if all were alike.
#[test]
fn a_new_owner_relearns_the_speeds() {
    for seed in 0..3 {
        let faults = Faults {
            successor_at: Some(Duration::from_secs(40)),
            ..Faults::default()
        };
        let outcome = Fleet::simulate(Case {
            mix: Mix::Mixed,
            learn: true,
            utilization: 0.8,
            seed,
            faults,
        });
        print(0.8, seed, "successor", &outcome);
        assert_eq!(outcome.relearned, ENGINES / 3, "seed {seed}");
        assert!(outcome.paused_share(true) < 0.06);
    }
}

/// Guards against lost, late and repeated reports that make targets appear alike, or bound the wrong
/// ones.
#[test]
fn faults_of_reports_are_tolerated() {
    let faults = [
        Faults {
            loss: 0.5,
            ..Faults::default()
        },
        Faults {
            repeats: 0.5,
            delay: Duration::from_millis(200),
            ..Faults::default()
        },
        Faults {
            loss: 0.2,
            repeats: 0.3,
            delay: Duration::from_secs(2),
            successor_at: None,
        },
    ];
    for (seed, faults) in (0..).zip(faults) {
        let off = simulate(Mix::Mixed, false, 0.8, seed);
        let outcome = Fleet::simulate(Case {
            mix: Mix::Mixed,
            learn: true,
            utilization: 0.8,
            seed,
            faults,
        });
        print(0.8, seed, "faults", &outcome);
        assert!(outcome.paused_share(true) < 0.1);
        assert!(outcome.in_time_ratio() > off.in_time_ratio());
    }
}
