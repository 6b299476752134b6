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
use dunlinward_dispatch::speed::{MAX_SAMPLES, Observation, Rating, Report, Sample, Speeds};
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
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Retry(usize),
    /// The end of a chunk and a step at an engine.
    Step(usize),
    Noise(usize),
    Report,
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
}

impl Outcome {
    fn paused_share(&self, slow: bool) -> f64 {
        let (streams, paused) = self.streams[usize::from(!slow)];
        f64::from(paused) / f64::from(streams.max(1))
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
    reports: u64,
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
            reports: 0,
            requests_per_second: case.utilization * capacity / mean,
            outcome: Outcome::default(),
        };
        fleet.schedule(Duration::ZERO, Event::Arrival);
        fleet.schedule(REPORT_INTERVAL, Event::Report);
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
        let part = |id: u32, tokens| Part {
            id: id.into(),
            tokens,
        };
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
        self.reports += 1;
        let observations = self.engines.iter_mut().map(|it| {
            let empty = observation(it.target.tag());
            std::mem::replace(&mut it.observation, empty)
        });
        let report = Report {
            number: self.reports,
            observations: observations.collect(),
        };
        if self.case.learn {
            let router = Peer(self.reports % ROUTERS);
            self.speeds.record(router, &report, now);
            let tags = self.engines.iter().map(|it| it.target.tag());
            self.speeds.refresh([tags.collect()], now);
        }
    }
}

fn compare(utilization: f64, seed: u64) -> [Outcome; 2] {
    [false, true].map(|learn| {
        let outcome = Fleet::simulate(Case {
            mix: Mix::Mixed,
            learn,
            utilization,
            seed,
        });
        println!(
            "utilization {utilization}, seed {seed}, learn {learn}: in time {:.3} {:?}, first {:?}, \
             refused {:?}, paused at slow {:.3}, fast {:.3}, begun at slow {:.3}",
            outcome.in_time_ratio(),
            outcome.kinds.map(|it| (it.in_time_ratio() * 1_000.0).round() / 1_000.0),
            outcome.kinds.map(|it| it.mean_first()),
            outcome.kinds.map(|it| it.refused),
            outcome.paused_share(true),
            outcome.paused_share(false),
            begun_ratio(&outcome),
        );
        outcome
    })
}

/// Tokens begun per slow engine and unit of its rate, relative to fast engines.
#[expect(clippy::cast_precision_loss, reason = "some million tokens")]
fn begun_ratio(outcome: &Outcome) -> f64 {
    let [slow, fast] = outcome.begun;
    let fast_rate = FAST[0] + FAST[1];
    (slow as f64 / SLOW) / (fast as f64 / fast_rate)
}

#[test]
fn trial() {
    for utilization in [0.4, 0.6, 0.8, 1.0, 1.3] {
        for seed in 0..2 {
            compare(utilization, seed);
        }
    }
}

/// Decisions of alike engines are those without measurement.
#[test]
fn alike_engines_get_the_same_requests() {
    for (seed, utilization) in (0..).zip([0.3, 0.6, 0.9]) {
        let [off, on] = [false, true].map(|learn| {
            Fleet::simulate(Case {
                mix: Mix::Alike,
                learn,
                utilization,
                seed,
            })
        });
        assert!(off.choices.len() > 1_000);
        assert_eq!(off.choices, on.choices, "utilization {utilization}");
    }
    assert_eq!(Rating::default(), Rating::MEDIAN);
}
