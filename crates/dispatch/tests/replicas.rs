//! Further homes of prefixes: when they are added, where, and what clients get from them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::placement::{self, Candidate, Choice, Criteria, Policy};
use dunlinward_dispatch::prefix::{Part, Prefix, Prompt};
use dunlinward_dispatch::replicas::Replicas;
use dunlinward_dispatch::speed::Rating;
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::Load;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Tokens that an engine of the load test prefills in a millisecond.
const TOKENS_PER_MS: u64 = 25;

const SHARED_TOKENS: u64 = 5_000;
const OWN_TOKENS: u64 = 3_000;
const OBJECTIVE: Duration = Duration::from_millis(800);
const MAX_HOMES: usize = 4;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn prompt(prefix: u32) -> Prompt {
    Prompt {
        tokens: SHARED_TOKENS + OWN_TOKENS,
        answer_tokens: 300,
        parts: vec![
            Part {
                id: prefix,
                tokens: SHARED_TOKENS,
            },
            Part {
                id: 0,
                tokens: OWN_TOKENS,
            },
        ],
    }
}

fn target(number: u16) -> Arc<Target> {
    Arc::new(Target {
        id: format!("t{number}").into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], number).into(),
        domain: "a".into(),
        born: None,
        slots: 32,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: None,
    })
}

/// Engines of one cell, their prefill queues and the prefixes that they cache.
struct Engines {
    targets: Vec<Arc<Target>>,
    prefill_until: Vec<Duration>,
    cached: BTreeSet<(Tag, u32)>,
    replicas: Replicas,
    max_homes: usize,
    /// Prompt tokens prefilled that some engine had cached already.
    prefilled_again: u64,
}

impl Engines {
    fn new(count: u16, max_homes: usize) -> Self {
        Self {
            targets: (0..count).map(target).collect(),
            prefill_until: vec![Duration::ZERO; usize::from(count)],
            cached: BTreeSet::new(),
            replicas: Replicas::default(),
            max_homes,
            prefilled_again: 0,
        }
    }

    fn candidates(&self, prefix: u32, now: Duration) -> Vec<Candidate> {
        let numbered = self.targets.iter().zip(&self.prefill_until);
        let candidates = numbered.map(|(target, until)| {
            let left = until.saturating_sub(now).as_millis();
            Candidate {
                target: target.clone(),
                load: Load {
                    running: 0,
                    unread: u64::try_from(left).unwrap() * TOKENS_PER_MS,
                },
                local: false,
                assumed_cached: self.cached.contains(&(target.tag(), prefix)),
                prefix_match: None,
                rating: Rating::MEDIAN,
            }
        });
        candidates.collect()
    }

    /// Places a request as an owner does; returns the target and the time of the first token.
    fn place(&mut self, number: u32, now: Duration) -> Option<(Choice, Duration)> {
        let prompt = prompt(number);
        let prefix = prompt.prefix().unwrap();
        let candidates = self.candidates(number, now);
        let homes = candidates.iter().filter(|it| it.assumed_cached).count();
        let allow_replica = self.replicas.may_add(prefix, homes, self.max_homes, now);
        let criteria = Criteria {
            prompt: Some(&prompt),
            objective: OBJECTIVE,
            rate: 25_000.0,
            fetch_seconds: None,
            capacity_share: 1.0,
            miss_capacity_scale: 1.0,
            allow_fetch: true,
            waited: Duration::ZERO,
            allow_miss: false,
            allow_replica,
            tie_breaker: 3,
        };
        let choice = placement::choose(&Policy::default(), &criteria, &candidates);
        let full = choice.as_ref().is_none_or(|it| !it.hit);
        if homes > 0 {
            self.replicas.record(prefix, full, now);
        }
        let choice = choice?;
        if homes == 0 {
            self.replicas.record_first(prefix, now);
        }
        if choice.new_home {
            self.replicas.record_added(prefix, homes + 1, now);
            self.prefilled_again += SHARED_TOKENS;
        }
        let tag = choice.target.tag();
        let index = self.targets.iter().position(|it| it.tag() == tag).unwrap();
        let start = self.prefill_until[index].max(now);
        let end = start + ms(choice.unread / TOKENS_PER_MS);
        self.prefill_until[index] = end;
        self.cached.insert((tag, number));
        Some((choice, end))
    }
}

/// Counts of a drawn load.
#[derive(Debug, Default)]
struct Counts {
    asked: u32,
    in_time: u32,
    refused: u32,
    prefilled_again: u64,
}

/// Plays 10 s in which one prefix in forty gets a third of 60 requests per second.
fn play(seed: u64, max_homes: usize) -> Counts {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut engines = Engines::new(30, max_homes);
    let mut counts = Counts::default();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(10) {
        now += ms(random.random_range(1..=32));
        let prefix = if random.random_bool(0.33) {
            0
        } else {
            random.random_range(1..40)
        };
        counts.asked += 1;
        match engines.place(prefix, now) {
            Some((_, first)) if first <= now + OBJECTIVE => counts.in_time += 1,
            Some(_) => {}
            None => counts.refused += 1,
        }
    }
    counts.prefilled_again = engines.prefilled_again;
    counts
}

#[test]
fn requests_of_a_popular_prefix_are_not_refused_beside_idle_engines() {
    for seed in 0..8 {
        let one = play(seed, 1);
        let more = play(seed, MAX_HOMES);
        assert!(
            one.refused * 10 > one.asked,
            "the load needs more homes: {one:?}"
        );
        // Homes are added within the first 2 s; after that nobody is refused for want of a home.
        assert!(more.refused * 10 < more.asked, "{one:?} {more:?}");
        assert!(more.in_time > one.in_time, "{one:?} {more:?}");
        // Three further homes of the popular prefix, and one of another at the most.
        assert!(more.prefilled_again <= 4 * SHARED_TOKENS, "{more:?}");
    }
}

#[test]
fn prefix_without_full_homes_keeps_one() {
    let mut replicas = Replicas::default();
    let prefix = Prefix(1);
    for step in 0..100 {
        // One full placement in five, never three of ten.
        replicas.record(prefix, step % 5 == 0, ms(step * 10));
        assert!(
            !replicas.may_add(prefix, 1, MAX_HOMES, ms(step * 10)),
            "{step}"
        );
    }
}

#[test]
fn homes_are_added_one_at_a_time_and_up_to_the_limit() {
    let mut replicas = Replicas::default();
    let prefix = Prefix(1);
    let full = |replicas: &mut Replicas, now| {
        for _ in 0..3 {
            replicas.record(prefix, true, now);
        }
    };
    replicas.record(prefix, false, ms(0));
    full(&mut replicas, ms(1_000));
    assert!(replicas.may_add(prefix, 1, MAX_HOMES, ms(1_000)));
    replicas.record_added(prefix, 2, ms(1_000));
    full(&mut replicas, ms(1_100));
    assert!(
        !replicas.may_add(prefix, 2, MAX_HOMES, ms(1_100)),
        "too soon"
    );
    assert!(replicas.may_add(prefix, 2, MAX_HOMES, ms(1_400)));
    assert!(!replicas.may_add(prefix, MAX_HOMES, MAX_HOMES, ms(1_400)));
    assert!(
        !replicas.may_add(prefix, 0, MAX_HOMES, ms(1_400)),
        "no home at all"
    );
    let added = replicas.take_added();
    assert_eq!((added.homes, added.max_homes), (1, 2));
    assert_eq!(replicas.take_added().homes, 0);
}

/// Guards against a home that is added, and may fetch the prefix, before the first one has
/// prefilled it.
#[test]
fn no_home_is_added_while_the_first_one_prefills() {
    let mut replicas = Replicas::default();
    let prefix = Prefix(1);
    for step in 0..40 {
        let now = ms(step * 10);
        replicas.record(prefix, true, now);
        assert!(!replicas.may_add(prefix, 1, MAX_HOMES, now), "{step}");
    }
    assert!(replicas.may_add(prefix, 1, MAX_HOMES, ms(400)));
    // The prefix was evicted and is prefilled again.
    replicas.record_first(prefix, ms(500));
    replicas.record(prefix, true, ms(500));
    replicas.record(prefix, true, ms(500));
    replicas.record(prefix, true, ms(500));
    assert!(!replicas.may_add(prefix, 1, MAX_HOMES, ms(800)));
    assert!(replicas.may_add(prefix, 1, MAX_HOMES, ms(900)));
}

/// Guards against homes that are added for placements long ago.
#[test]
fn old_placements_do_not_count() {
    let mut replicas = Replicas::default();
    let prefix = Prefix(1);
    for second in [0, 1, 2] {
        replicas.record(prefix, true, ms(second * 1_000));
    }
    assert!(replicas.may_add(prefix, 1, MAX_HOMES, ms(3_999)));
    assert!(!replicas.may_add(prefix, 1, MAX_HOMES, ms(4_000)));
    // One full placement in three seconds, never three within the window.
    let mut replicas = Replicas::default();
    for step in 0..20 {
        let now = ms(step * 3_000);
        replicas.record(prefix, true, now);
        assert!(!replicas.may_add(prefix, 1, MAX_HOMES, now), "{step}");
    }
}

/// Guards against a prefix that is recomputed elsewhere for one request and counts as another home.
#[test]
fn recomputed_prefix_is_no_new_home() {
    let prompt = prompt(1);
    let mut engines = Engines::new(4, MAX_HOMES);
    engines.cached.insert((engines.targets[0].tag(), 1));
    let mut busy = engines.candidates(1, ms(0));
    busy[0].load.unread = 50_000;
    let choose = |allow_replica, candidates: &[Candidate]| {
        let criteria = Criteria {
            prompt: Some(&prompt),
            objective: OBJECTIVE,
            rate: 25_000.0,
            fetch_seconds: None,
            capacity_share: 1.0,
            miss_capacity_scale: 1.0,
            allow_fetch: true,
            waited: Duration::ZERO,
            allow_miss: true,
            allow_replica,
            tie_breaker: 3,
        };
        placement::choose(&Policy::default(), &criteria, candidates).unwrap()
    };
    let choice = choose(false, &busy);
    assert!(!choice.hit && !choice.new_home);
    assert!(choose(true, &busy).new_home);
    let idle = engines.candidates(1, ms(0));
    assert!(!choose(true, &idle).new_home, "the home has capacity");
    engines.cached.clear();
    let uncached = engines.candidates(1, ms(0));
    assert!(!choose(false, &uncached).new_home, "it is the first home");
}

#[test]
fn limit_of_one_home_changes_no_choice() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut off = Engines::new(10, 1);
    let mut on = Engines::new(10, MAX_HOMES);
    // Load that each home can serve, so that no prefix needs another one.
    for step in 0..200 {
        let now = ms(step * 400);
        let prefix = random.random_range(0..40);
        let tag = |placed: Option<(Choice, Duration)>| placed.map(|(it, _)| it.target.tag());
        assert_eq!(tag(off.place(prefix, now)), tag(on.place(prefix, now)));
    }
}

#[test]
fn prefix_is_fetched_by_a_new_home_where_engines_support_it() {
    let prompt = prompt(1);
    let mut engines = Engines::new(4, MAX_HOMES);
    engines.cached.insert((engines.targets[0].tag(), 1));
    let candidates = engines.candidates(1, ms(0));
    let mut criteria = Criteria {
        prompt: Some(&prompt),
        objective: OBJECTIVE,
        rate: 25_000.0,
        fetch_seconds: Some(1e-7),
        capacity_share: 1.0,
        miss_capacity_scale: 1.0,
        allow_fetch: true,
        waited: Duration::ZERO,
        allow_miss: false,
        allow_replica: true,
        tie_breaker: 3,
    };
    let mut busy = candidates.clone();
    busy[0].load.unread = 50_000;
    let choice = placement::choose(&Policy::default(), &criteria, &busy).unwrap();
    assert!(choice.new_home);
    assert_eq!(choice.fetch.unwrap().tag(), engines.targets[0].tag());
    assert!(choice.unread < OWN_TOKENS + 100, "{}", choice.unread);
    criteria.allow_fetch = false;
    let choice = placement::choose(&Policy::default(), &criteria, &busy).unwrap();
    assert!(choice.fetch.is_none());
    assert_eq!(choice.unread, SHARED_TOKENS + OWN_TOKENS);
}

#[test]
fn table_is_bounded_and_forgets_idle_prefixes() {
    let mut replicas = Replicas::default();
    for number in 0..20_000 {
        replicas.record(Prefix(number), true, ms(0));
    }
    assert_eq!(replicas.len(), 8_192);
    replicas.prune(Duration::from_secs(10));
    assert!(replicas.is_empty());
}
