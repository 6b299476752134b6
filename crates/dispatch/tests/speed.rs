//! Estimates of targets' speeds from the reports of routers, and decisions with them.

use std::sync::Arc;
use std::time::Duration;

use bincode::config::standard;
use dunlinward_dispatch::message::{Content, Message};
use dunlinward_dispatch::placement::{self, Candidate, Criteria, Policy};
use dunlinward_dispatch::prefix::{Part, Prompt};
use dunlinward_dispatch::speed::{
    Bound, MAX_SAMPLE_AGE, MAX_SAMPLES, MAX_TARGETS, Observation, Rating, Report, Sample, Speeds,
};
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::{Load, Peer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of engines; every third is slow.
const ENGINES: u32 = 48;

/// Prefill rates in tokens per second.
const FAST: f64 = 45_000.0;
const SLOW: f64 = 19_700.0;

/// Part of the time to the first event that is no prefill.
const OVERHEAD_S: f64 = 0.05;

/// Lengths of prompts: half of them questions, the others classifications and long prompts.
const PROMPTS: [u64; 4] = [628, 826, 1_800, 6_610];

/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Routers that report.
const ROUTERS: u64 = 12;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Routers that send requests to engines and report what they measure.
struct Fleet {
    random: Pcg64Mcg,
    speeds: Speeds,
    now: Duration,
    numbers: u64,
    /// Prefill rate of each engine.
    rates: Vec<f64>,
    /// Requests per engine between two reports of all routers.
    requests: u32,
    /// Share of samples that are delayed, and the largest delay.
    delayed: (f64, Duration),
    /// Share of reports that are lost.
    loss: f64,
    /// Share of the streams that pause, at each engine.
    paused: Vec<f64>,
}

impl Fleet {
    fn new(seed: u64, rate: impl Fn(u32) -> f64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            speeds: Speeds::new(),
            now: Duration::ZERO,
            numbers: 0,
            rates: (0..ENGINES).map(rate).collect(),
            requests: 4,
            delayed: (0.0, Duration::ZERO),
            loss: 0.0,
            paused: vec![0.03; ENGINES as usize],
        }
    }

    fn mixed(seed: u64) -> Self {
        Self::new(seed, |it| if is_slow(it) { SLOW } else { FAST })
    }

    fn alike(seed: u64) -> Self {
        Self::new(seed, |_| FAST)
    }

    fn sample(&mut self, engine: u32) -> Sample {
        let own = PROMPTS[self.random.random_range(0..PROMPTS.len())];
        let queued = if self.random.random_bool(0.5) {
            0
        } else {
            self.random.random_range(0..own / 2)
        };
        // Part of the queue may have been read when the place was granted.
        let left = queued.checked_sub(self.random.random_range(0..=queued));
        #[expect(clippy::cast_precision_loss, reason = "a few thousand tokens")]
        let read = (own + left.unwrap_or(0)) as f64;
        let mut time = OVERHEAD_S + read / self.rates[engine as usize];
        let (share, longest) = self.delayed;
        if self.random.random_bool(share) {
            time += longest.as_secs_f64() * self.random.random_range(0.0..1.0);
        }
        Sample {
            tokens: own + queued,
            time: Duration::from_secs_f64(time),
        }
    }

    fn observation(&mut self, engine: u32) -> Observation {
        let samples: Vec<_> = (0..self.requests).map(|_| self.sample(engine)).collect();
        let paused = self.paused[engine as usize];
        let paused = (0..self.requests).filter(|_| self.random.random_bool(paused));
        Observation {
            tag: Tag(engine),
            paused_streams: u32::try_from(paused.count()).expect("a few"),
            streams: self.requests,
            longest_pause: Duration::ZERO,
            samples,
        }
    }

    /// All routers report what they have measured in one interval; each engine has requests of one
    /// of them.
    fn step(&mut self) {
        self.now += REPORT_INTERVAL;
        self.numbers += 1;
        let per_router = ENGINES / u32::try_from(ROUTERS).expect("a few");
        for router in 0..ROUTERS {
            let first = u32::try_from(router).expect("a few") * per_router;
            let engines = first..first + per_router;
            let report = Report {
                number: self.numbers,
                observations: engines.map(|it| self.observation(it)).collect(),
                bounds: Vec::new(),
            };
            if !self.random.random_bool(self.loss) {
                self.speeds.record(Peer(router), &report, self.now);
            }
        }
        self.speeds.refresh([tags()], self.now);
    }

    fn run(mut self, time: Duration) -> Self {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
        self
    }

    fn speed(&self, engine: u32) -> f64 {
        self.speeds.rating(Tag(engine)).speed
    }

    /// Number of engines whose rating is not that of the median.
    fn differing(&self) -> usize {
        let ratings = (0..ENGINES).map(|it| self.speeds.rating(Tag(it)));
        ratings.filter(|it| *it != Rating::MEDIAN).count()
    }

    fn assert_slow_ones_are_known(&self) {
        for engine in 0..ENGINES {
            let speed = self.speed(engine);
            if is_slow(engine) {
                assert!((0.3..0.75).contains(&speed), "engine {engine}: {speed}");
            } else {
                assert!((speed - 1.0).abs() < 0.25, "engine {engine}: {speed}");
            }
        }
    }
}

fn is_slow(engine: u32) -> bool {
    engine % 3 == 2
}

fn tags() -> Vec<Tag> {
    (0..ENGINES).map(Tag).collect()
}

fn report(number: u64, tag: Tag, samples: &[Sample]) -> Report {
    Report {
        number,
        observations: vec![Observation {
            tag,
            samples: samples.to_vec(),
            streams: 0,
            paused_streams: 0,
            longest_pause: Duration::ZERO,
        }],
        bounds: Vec::new(),
    }
}

/// Guards against an owner that treats slow engines as the others for long after it has taken over
/// their cell.
#[test]
fn slow_engines_are_known_within_two_seconds() {
    for seed in 0..8 {
        let fleet = Fleet::mixed(seed).run(ms(4_000));
        fleet.assert_slow_ones_are_known();
        let mut successor = Fleet::mixed(seed + 100);
        successor.now = fleet.now;
        // Routers report their observations of the last 10 s to a new owner, here as those of 3 s.
        successor.requests = 40;
        successor.step();
        successor.requests = 4;
        let successor = successor.run(ms(1_700));
        let slow = (0..ENGINES).filter(|it| is_slow(*it));
        let known = slow.filter(|it| successor.speed(*it) < 1.0).count();
        assert_eq!(known, 16, "seed {seed}");
        successor.run(ms(2_000)).assert_slow_ones_are_known();
    }
}

/// Guards against decisions that change where all targets are alike, by chance, by different kinds
/// of request, or by queues that were read in part.
#[test]
fn alike_engines_are_rated_alike() {
    let mut differing = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::alike(seed);
        for _ in 0..100 {
            fleet.step();
            differing += fleet.differing();
        }
    }
    assert_eq!(differing, 0);
}

/// Guards against an engine with short prompts only that counts as slow, because the time to its
/// first events is hardly prefill.
#[test]
fn engine_with_short_prompts_only_is_not_slow() {
    let mut speeds = Speeds::new();
    let sample = |tokens: u64| {
        #[expect(clippy::cast_precision_loss, reason = "a few thousand tokens")]
        let time = Duration::from_secs_f64(OVERHEAD_S + tokens as f64 / FAST);
        Sample { tokens, time }
    };
    for number in 1..=3 {
        for engine in 0..5 {
            let tokens = if engine == 0 { 628 } else { 6_610 };
            let report = report(number, Tag(engine), &[sample(tokens); 8]);
            speeds.record(Peer(u64::from(engine)), &report, ms(300 * number));
        }
    }
    speeds.refresh([tags()], ms(900));
    assert_eq!(speeds.rating(Tag(0)), Rating::MEDIAN);
}

/// Guards against delays at the measuring routers, on their links or by stalls of 0.6 s at engines
/// that make an engine appear slow.
#[test]
fn delayed_samples_do_not_change_the_ratings() {
    let cases = [(0.3, 600), (0.15, 3_000), (0.5, 100)];
    for (seed, (share, longest)) in (0..).zip(cases) {
        let mut fleet = Fleet::mixed(seed);
        fleet.delayed = (share, ms(longest));
        fleet.run(ms(9_000)).assert_slow_ones_are_known();
        let mut fleet = Fleet::alike(seed);
        fleet.delayed = (share, ms(longest));
        assert_eq!(fleet.run(ms(9_000)).differing(), 0);
    }
}

/// Guards against a lossy link to one owner that leaves it without estimates.
#[test]
fn half_of_the_reports_suffice() {
    for seed in 0..4 {
        let mut fleet = Fleet::mixed(seed);
        fleet.loss = 0.5;
        fleet.run(ms(8_000)).assert_slow_ones_are_known();
    }
}

/// Guards against a datagram that the network duplicates, and a late one, that count again.
#[test]
fn repeated_and_outdated_reports_are_ignored() {
    let mut speeds = Speeds::new();
    let sample = Sample {
        tokens: 1_000,
        time: ms(50),
    };
    let report = |number| report(number, Tag(1), &[sample]);
    assert!(speeds.record(Peer(1), &report(5), ms(300)));
    assert!(!speeds.record(Peer(1), &report(5), ms(310)));
    assert!(!speeds.record(Peer(1), &report(4), ms(320)));
    assert!(speeds.record(Peer(1), &report(6), ms(600)));
    // A router that has restarted has a new identity and counts from one again.
    assert!(speeds.record(Peer(2), &report(1), ms(600)));
}

/// Guards against an engine that is replaced by one of another speed and keeps its rating.
#[test]
fn new_incarnation_starts_at_the_median() {
    let mut fleet = Fleet::mixed(3).run(ms(4_000));
    let (old, new) = (
        Target::tag(&target(2, Some(1))),
        Target::tag(&target(2, Some(2))),
    );
    assert_ne!(old, new);
    assert!(fleet.speed(2) < 1.0);
    assert_eq!(fleet.speeds.rating(new), Rating::MEDIAN);
    fleet.speeds.forget(Tag(2));
    assert_eq!(fleet.speeds.rating(Tag(2)), Rating::MEDIAN);
}

/// Guards against estimates that outlive the state that they were measured in.
#[test]
fn ratings_expire_without_samples() {
    let mut fleet = Fleet::mixed(4).run(ms(4_000));
    let last = fleet.now;
    fleet.speeds.refresh([tags()], last + MAX_SAMPLE_AGE / 2);
    assert!(fleet.differing() > 0);
    fleet.speeds.refresh([tags()], last + MAX_SAMPLE_AGE);
    assert_eq!(fleet.differing(), 0);
}

/// Guards against a target that is reported as a thousand times faster than any engine and attracts
/// all requests.
#[test]
fn reports_of_impossible_rates_are_dropped_whole() {
    let sample = |tokens, time| Sample { tokens, time };
    let content = |sample: Sample| Content::Observations(report(1, Tag(1), &[sample]));
    assert!(content(sample(6_610, ms(150))).plausible());
    assert!(content(sample(0, ms(40))).plausible());
    assert!(content(sample(0, Duration::from_micros(50))).plausible());
    let impossible = [
        sample(6_610, ms(1)),
        sample(6_610, Duration::ZERO),
        sample(0, Duration::ZERO),
        sample(0, Duration::from_nanos(1)),
        sample(0, Duration::from_micros(49)),
        sample(u64::MAX, ms(1_000)),
        sample(1, Duration::MAX),
    ];
    for sample in impossible {
        assert!(!content(sample).plausible(), "{sample:?}");
    }
    let many = report(1, Tag(1), &[sample(100, ms(50)); MAX_SAMPLES + 1]);
    assert!(!many.is_plausible());
    let mut paused = report(1, Tag(1), &[]);
    paused.observations[0].paused_streams = 1;
    assert!(!paused.is_plausible());
    let mut bounded = report(1, Tag(1), &[]);
    let tag = Tag(1);
    bounded.bounds = vec![Bound { tag, percent: 0 }];
    assert!(!bounded.is_plausible());
}

/// Guards against a new owner that lets streams pause until it has learned the bounds itself, and
/// against a late report of a previous owner that replaces what it has learned since.
#[test]
fn a_new_owner_adopts_the_bounds_of_the_previous_one() {
    let mut fleet = Fleet::mixed(8);
    fleet.paused[2] = 0.4;
    let mut fleet = fleet.run(ms(15_000));
    let now = fleet.now;
    let bounds = fleet.speeds.handover(&tags(), now);
    assert_eq!(bounds.len(), 1);
    let report = |number, bounds: &[Bound]| Report {
        number,
        observations: Vec::new(),
        bounds: bounds.to_vec(),
    };
    let mut successor = Speeds::new();
    successor.record(Peer(1), &report(1, &bounds), now);
    successor.refresh([tags()], now);
    let expected = fleet.speeds.rating(Tag(2)).prefill_bound;
    let adopted = successor.rating(Tag(2)).prefill_bound;
    assert!((adopted - expected).abs() < 0.011, "{adopted} {expected}");
    let other = Bound {
        tag: Tag(2),
        percent: 90,
    };
    successor.record(Peer(1), &report(2, &[other]), now);
    successor.refresh([tags()], now);
    assert!(successor.rating(Tag(2)).prefill_bound < 0.9);
    fleet.speeds.refresh([tags()], now + ms(3_000));
    assert!(fleet.speeds.handover(&tags(), now + ms(3_000)).is_empty());
}

/// Guards against a report that does not fit into a datagram, which would never arrive.
#[test]
fn largest_report_fits_into_a_datagram() {
    let sample = Sample {
        tokens: 1 << 40,
        time: Duration::from_nanos(299_999_999_999),
    };
    let observation = |tag| Observation {
        tag: Tag(u32::MAX - tag),
        samples: vec![sample; MAX_SAMPLES],
        streams: 1_000_000,
        paused_streams: 1_000_000,
        longest_pause: sample.time,
    };
    let count = u32::try_from(MAX_TARGETS).expect("a few");
    let report = Report {
        number: u64::MAX,
        observations: (0..count).map(observation).collect(),
        bounds: vec![
            Bound {
                tag: Tag(u32::MAX),
                percent: 100,
            };
            MAX_TARGETS
        ],
    };
    let message = Message {
        sender: Peer(u64::MAX),
        content: Content::Observations(report),
    };
    let bytes = bincode::serde::encode_to_vec(message, standard()).expect("it can be encoded");
    assert!(bytes.len() < 60_000, "{}", bytes.len());
}

/// Guards against prompts that keep delaying the streams of an engine, and against a bound that
/// stays after its cause has ended.
#[test]
fn prefill_is_bounded_while_streams_pause() {
    let mut fleet = Fleet::mixed(5);
    fleet.paused = (0..ENGINES)
        .map(|it| if is_slow(it) { 0.32 } else { 0.04 })
        .collect();
    let mut fleet = fleet.run(ms(15_000));
    for engine in 0..ENGINES {
        let rating = fleet.speeds.rating(Tag(engine));
        assert_eq!(rating.is_bounded(), is_slow(engine), "{engine}: {rating:?}");
    }
    fleet.paused = vec![0.0; ENGINES as usize];
    let bound = |fleet: &Fleet| fleet.speeds.rating(Tag(2)).prefill_bound;
    let before = bound(&fleet);
    let fleet = fleet.run(ms(10_000));
    let after = bound(&fleet);
    assert!(after > before && after < before + 0.25, "{before} {after}");
    let fleet = fleet.run(ms(90_000));
    assert!((0..ENGINES).all(|it| !fleet.speeds.rating(Tag(it)).is_bounded()));
}

/// Guards against a bound that stays for hours after a peak, because under light load there are
/// never enough streams to measure a share; and against one that is lifted at once.
#[test]
fn a_bound_is_lifted_under_light_load() {
    let mut fleet = Fleet::mixed(9);
    fleet.paused[2] = 0.4;
    let mut fleet = fleet.run(ms(15_000));
    let peak = fleet.now;
    let bound = fleet.speeds.rating(Tag(2)).prefill_bound;
    assert!(bound < 0.8, "{bound}");
    let mut lifted = None;
    for second in 1..=120 {
        let now = peak + ms(1_000 * second);
        if second % 2 == 0 {
            let mut clean = report(fleet.numbers + second, Tag(2), &[]);
            clean.observations[0].streams = 1;
            fleet.speeds.record(Peer(0), &clean, now);
        }
        fleet.speeds.refresh([tags()], now);
        if !fleet.speeds.rating(Tag(2)).is_bounded() {
            lifted.get_or_insert(ms(1_000 * second));
        }
    }
    let lifted = lifted.expect("the bound is lifted within two minutes");
    assert!(lifted > ms(20_000), "{lifted:?}");
}

/// Guards against a router behind a lossy link, and against a load that is too high everywhere:
/// pauses at all targets say nothing about any of them.
#[test]
fn pauses_at_all_engines_bound_none() {
    let mut fleet = Fleet::alike(6);
    fleet.paused = vec![0.3; ENGINES as usize];
    for _ in 0..100 {
        fleet.step();
        assert_eq!(fleet.differing(), 0);
    }
}

fn target(number: u32, born: Option<u64>) -> Target {
    Target {
        id: format!("t{number}").into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        born,
        slots: 32,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: None,
    }
}

fn candidate(number: u32, rating: Rating) -> Candidate {
    Candidate {
        target: Arc::new(target(number, None)),
        load: Load::default(),
        local: true,
        assumed_cached: true,
        prefix_match: None,
        rating,
    }
}

fn criteria(prompt: Option<&Prompt>) -> Criteria<'_> {
    Criteria {
        prompt,
        objective: ms(800),
        rate: 30_000.0,
        fetch_seconds: None,
        capacity_share: 1.0,
        miss_capacity_scale: 1.0,
        waited: ms(0),
        allow_fetch: true,
        allow_miss: true,
        allow_replica: false,
        tie_breaker: 3,
    }
}

fn prompt(tokens: u64) -> Prompt {
    Prompt {
        tokens,
        answer_tokens: 400,
        parts: vec![Part { id: 1, tokens }],
    }
}

/// Rating of an engine with the given speed and no paused streams.
fn rated(speed: f64) -> Rating {
    Rating {
        speed,
        ..Rating::MEDIAN
    }
}

/// Guards against slow engines that get as many prompts as fast ones.
#[test]
fn work_is_placed_in_proportion_to_the_speed() {
    let prompt = prompt(628);
    let mut all = [candidate(0, Rating::MEDIAN), candidate(1, rated(0.5))];
    let mut placed = [0u32; 2];
    while let Some(choice) = placement::choose(&Policy::default(), &criteria(Some(&prompt)), &all) {
        let index = all.iter().position(|it| it.target.id == choice.target.id);
        let index = index.expect("a candidate");
        placed[index] += 1;
        all[index].load.running += 1;
        all[index].load.unread += choice.unread;
    }
    assert_eq!(placed, [19, 9]);
}

/// Guards against long prompts that delay the streams of an engine whose streams pause, while
/// another engine has capacity; and against prompts that no engine takes because all are bounded.
#[test]
fn long_prompt_avoids_an_engine_whose_streams_pause() {
    let long = prompt(6_610);
    let short = prompt(628);
    let bounded = |prefill_bound| Rating {
        speed: 0.45,
        prefill_bound,
    };
    let choose = |prompt: &Prompt, all: &[Candidate]| {
        placement::choose(&Policy::default(), &criteria(Some(prompt)), all)
            .map(|it| it.target.id.to_string())
    };
    let mut all = [candidate(0, Rating::MEDIAN), candidate(1, bounded(0.4))];
    all[0].load.unread = 9_000;
    assert_eq!(choose(&long, &all).as_deref(), Some("t0"));
    assert_eq!(choose(&short, &all).as_deref(), Some("t1"));
    all[0].load.unread = 40_000;
    assert_eq!(choose(&long, &all), None);
    all[1] = candidate(1, bounded(0.5));
    all[1].rating.speed = 0.4;
    assert_eq!(choose(&long, &all).as_deref(), Some("t1"));
    all[1] = candidate(1, bounded(0.2));
    assert_eq!(choose(&long, &all[1..]).as_deref(), Some("t1"));
}

/// Guards against a plain target that answers slowly and gets as many requests as the others.
#[test]
fn slow_plain_target_gets_fewer_requests() {
    let mut speeds = Speeds::new();
    for number in 1..=4 {
        for target in 0..3 {
            let time = if target == 2 { ms(80) } else { ms(40) };
            let sample = Sample { tokens: 0, time };
            let report = report(number, Tag(target), &[sample; 4]);
            speeds.record(Peer(u64::from(target)), &report, ms(300 * number));
        }
        speeds.refresh([tags()], ms(300 * number));
        let known = speeds.rating(Tag(2)) != Rating::MEDIAN;
        assert_eq!(known, number >= 3, "after {} samples", number * 4);
    }
    let mut all = [0, 1, 2].map(|it| candidate(it, speeds.rating(Tag(it))));
    let mut placed = [0u32; 3];
    for _ in 0..50 {
        let choice = placement::choose(&Policy::default(), &criteria(None), &all).expect("room");
        let index = all.iter().position(|it| it.target.id == choice.target.id);
        let index = index.expect("a candidate");
        placed[index] += 1;
        all[index].load.running += 1;
    }
    assert_eq!(placed, [20, 20, 10]);
}
