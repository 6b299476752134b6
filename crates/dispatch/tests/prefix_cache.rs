//! Tracking of engine caches, target selection by cached prefixes, and detection of caller retries.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cache::{Caches, Entry, MAX_REPORT_AGE, Match, Query, Status, Update};
use dunlinward_dispatch::placement::{self, Candidate, Criteria, Policy};
use dunlinward_dispatch::prefix::{self, Part, Prompt};
use dunlinward_dispatch::retry::Detector;
use dunlinward_dispatch::speed::Rating;
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::Load;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SINCE_START: Query = Query::Changes { since: 0 };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn entry(part: u32, tokens: u32) -> Entry {
    Entry { part, tokens }
}

fn update(epoch: u64, next: u64, entries: &[Entry]) -> Update {
    Update {
        born: None,
        epoch,
        next,
        gap: false,
        entries: entries.to_vec(),
    }
}

/// Two shared parts and one that is specific to the request.
fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        tokens: 1_000,
        answer_tokens: 10,
        parts: vec![part(1, 300), part(2, 500), part(0, 200)],
    }
}

fn matched(reported: u64, expected: u64) -> Match {
    Match { reported, expected }
}

#[test]
fn part_counts_only_if_all_parts_before_it_are_cached() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    assert_eq!(caches.prefix_match(tag, &prompt(), ms(0)), None);
    assert_eq!(caches.next_query(tag, ms(0)), Query::Listing);
    let second = update(7, 5, &[entry(2, 500)]);
    assert_eq!(
        caches.apply(tag, Query::Listing, second, ms(0)),
        Status::Current
    );
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(0)),
        Some(matched(0, 0))
    );
    let since = Query::Changes { since: 5 };
    assert_eq!(caches.next_query(tag, ms(0)), since);
    caches.apply(tag, since, update(7, 6, &[entry(1, 300)]), ms(10));
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(10)),
        Some(matched(800, 800))
    );
    let since = Query::Changes { since: 6 };
    caches.apply(
        tag,
        since,
        update(7, 8, &[entry(2, 100), entry(2, 50)]),
        ms(20),
    );
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(20)),
        Some(matched(350, 350))
    );
    caches.apply(
        tag,
        Query::Changes { since: 8 },
        update(7, 9, &[entry(1, 0)]),
        ms(30),
    );
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(30)),
        Some(matched(0, 0))
    );
}

#[test]
fn content_that_is_stale_or_from_before_a_restart_is_unknown() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    let all = [entry(1, 300), entry(2, 500)];
    caches.apply(tag, Query::Listing, update(7, 9, &all), ms(0));
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(4_999)),
        Some(matched(800, 800))
    );
    assert_eq!(caches.prefix_match(tag, &prompt(), MAX_REPORT_AGE), None);
    let since = Query::Changes { since: 9 };
    let restarted = caches.apply(tag, since, update(8, 1, &[entry(1, 300)]), ms(100));
    assert_eq!(restarted, Status::Gap);
    assert_eq!(caches.prefix_match(tag, &prompt(), ms(100)), None);
    assert_eq!(caches.next_query(tag, MAX_REPORT_AGE), Query::Listing);
    caches.apply(tag, Query::Listing, update(8, 2, &all[..1]), MAX_REPORT_AGE);
    assert_eq!(
        caches.prefix_match(tag, &prompt(), MAX_REPORT_AGE),
        Some(matched(300, 300))
    );
}

#[test]
fn content_is_unknown_after_a_gap_until_a_rate_limited_listing() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    let all = [entry(1, 300), entry(2, 500)];
    caches.apply(tag, Query::Listing, update(7, 9, &all), ms(0));
    let since = Query::Changes { since: 9 };
    let mut lost = update(7, 90, &[]);
    lost.gap = true;
    assert_eq!(caches.apply(tag, since, lost, ms(400)), Status::Gap);
    assert_eq!(caches.prefix_match(tag, &prompt(), ms(400)), None);
    assert_eq!(
        caches.next_query(tag, ms(800)),
        Query::Changes { since: 90 }
    );
    let current = caches.apply(
        tag,
        Query::Changes { since: 90 },
        update(7, 91, &all),
        ms(800),
    );
    assert_eq!(current, Status::Gap);
    assert_eq!(caches.next_query(tag, ms(2_000)), Query::Listing);
    caches.apply(tag, Query::Listing, update(7, 95, &all[..1]), ms(2_000));
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(2_000)),
        Some(matched(300, 300))
    );
}

/// A sent prompt is prefilled before any later one, but cannot be fetched until it is reported.
#[test]
fn sent_prompt_is_expected_until_a_timeout_and_cannot_be_fetched() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    caches.apply(tag, SINCE_START, update(7, 0, &[]), ms(0));
    caches.record_sent(tag, &prompt(), ms(100));
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(100)),
        Some(matched(0, 800))
    );
    let since = Query::Changes { since: 0 };
    caches.apply(tag, since, update(7, 0, &[]), ms(1_600));
    assert_eq!(
        caches.prefix_match(tag, &prompt(), ms(1_600)),
        Some(matched(0, 0))
    );
    caches.remove_target(tag);
    assert_eq!(caches.prefix_match(tag, &prompt(), ms(1_600)), None);
}

/// Compares the tracked content with that of an engine whose cache changes at random and whose
/// reports are delayed, partial and incomplete. Whenever the content is known, it must equal the
/// engine's content at the time of its answer.
#[test]
fn tracked_content_matches_the_engine_whenever_it_is_known() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (tag, mut caches) = (Tag::new("a"), Caches::new());
        let (mut epoch, mut content) = (1, [0u32; 3]);
        let mut log: Vec<Entry> = Vec::new();
        let mut oldest_available = 0;
        let mut known = 0;
        for step in 0..400 {
            let now = ms(step * 400);
            for _ in 0..random.random_range(0..4) {
                let part = random.random_range(1..3u32);
                let tokens = [0, 300, 500][random.random_range(0..3)];
                content[part as usize] = tokens;
                log.push(entry(part, tokens));
            }
            if random.random_ratio(1, 40) {
                (epoch, content, oldest_available) = (epoch + 1, [0; 3], 0);
                log.clear();
            }
            if random.random_ratio(1, 20) {
                oldest_available = log.len();
            }
            if random.random_ratio(1, 10) {
                continue;
            }
            let query = caches.next_query(tag, now);
            let next = log.len() as u64;
            let answer = match query {
                Query::Listing => {
                    update(epoch, next, &[entry(1, content[1]), entry(2, content[2])])
                }
                Query::Changes { since } => {
                    let since = usize::try_from(since).unwrap();
                    let from = since.max(oldest_available).min(log.len());
                    let mut changes = update(epoch, next, &log[from..]);
                    changes.gap = since < oldest_available;
                    changes
                }
            };
            caches.apply(tag, query, answer, now);
            let reference = {
                let first = u64::from(content[1]).min(300);
                let second = u64::from(content[2]).min(500);
                first + if content[1] >= 300 { second } else { 0 }
            };
            if let Some(matched) = caches.prefix_match(tag, &prompt(), now) {
                known += 1;
                assert_eq!(matched.reported, reference, "seed {seed}, step {step}");
            }
        }
        assert!(known > 150, "seed {seed}: known {known} times");
    }
}

#[test]
fn part_tags_differ_between_models() {
    assert_ne!(prefix::part_tag("m", 1), prefix::part_tag("n", 1));
    assert_ne!(prefix::part_tag("m", 1), prefix::part_tag("m", 2));
    assert_eq!(prefix::part_tag("m", 1), prefix::part_tag("m", 1));
}

fn candidate(number: u16, unread: u64, reported: u64, expected: u64) -> Candidate {
    Candidate {
        target: Arc::new(Target {
            id: format!("t{number}").into(),
            service: "pool".into(),
            address: ([127, 0, 0, 1], number).into(),
            domain: "a".into(),
            born: None,
            slots: 10,
            state: State::Ready,
            cold_left: Duration::ZERO,
            version: None,
        }),
        load: Load { running: 0, unread },
        local: false,
        assumed_cached: false,
        prefix_match: Some(matched(reported, expected)),
        rating: Rating::MEDIAN,
    }
}

fn criteria(prompt: &Prompt) -> Criteria<'_> {
    Criteria {
        prompt: Some(prompt),
        objective: ms(1_000),
        rate: 10_000.0,
        fetch_seconds: Some(1e-7),
        capacity_share: 1.0,
        miss_capacity_scale: 1.0,
        waited: ms(0),
        allow_fetch: true,
        allow_miss: false,
        allow_replica: false,
        tie_breaker: 3,
    }
}

/// The selected engine, its prefill tokens, and the engine that it fetches from.
fn chosen(criteria: &Criteria<'_>, candidates: &[Candidate]) -> (String, u64, Option<String>) {
    let choice = placement::choose(&Policy::default(), criteria, candidates).unwrap();
    let fetch = choice.fetch.map(|it| it.id.to_string());
    (choice.target.id.to_string(), choice.unread, fetch)
}

#[test]
fn idle_engine_fetches_the_prefix_from_a_busy_one() {
    let prompt = prompt();
    let idle = [candidate(0, 0, 0, 0), candidate(1, 100, 800, 800)];
    assert_eq!(
        chosen(&criteria(&prompt), &idle),
        ("t1".into(), 200, None),
        "a short queue does not justify a fetch"
    );
    let busy = [candidate(0, 0, 0, 0), candidate(1, 9_000, 800, 800)];
    let (target, unread, fetch) = chosen(&criteria(&prompt), &busy);
    assert_eq!((target.as_str(), fetch.as_deref()), ("t0", Some("t1")));
    assert!(unread < 210, "a fetch does not count as prefill: {unread}");
    let mut slow = criteria(&prompt);
    slow.fetch_seconds = None;
    assert_eq!(chosen(&slow, &busy), ("t0".into(), 1_000, None));
}

/// Such a request waits for capacity at the engine that caches its prefix, but a prefix that no
/// engine caches is prefilled for it as well.
#[test]
fn request_without_permission_to_fetch_does_not_fetch() {
    let prompt = prompt();
    let mut beyond = criteria(&prompt);
    beyond.allow_fetch = false;
    let mut all = [candidate(0, 0, 0, 0), candidate(1, 9_000, 800, 800)];
    assert_eq!(chosen(&beyond, &all), ("t1".into(), 200, None));
    all[1].load.running = 10;
    assert!(placement::choose(&Policy::default(), &beyond, &all).is_none());
    assert!(placement::choose(&Policy::default(), &criteria(&prompt), &all).is_some());
    let uncached = [candidate(0, 0, 0, 0), candidate(1, 100, 0, 0)];
    assert_eq!(chosen(&beyond, &uncached), ("t0".into(), 1_000, None));
}

#[test]
fn expected_but_unreported_tokens_are_not_fetched() {
    let prompt = prompt();
    let sent = [candidate(0, 0, 0, 0), candidate(1, 200, 0, 800)];
    assert_eq!(chosen(&criteria(&prompt), &sent), ("t1".into(), 200, None));
    let busy = [candidate(0, 0, 0, 0), candidate(1, 9_000, 0, 800)];
    assert_eq!(
        chosen(&criteria(&prompt), &busy),
        ("t0".into(), 1_000, None)
    );
}

#[test]
fn few_missing_tokens_are_prefilled_and_not_fetched() {
    let prompt = prompt();
    let nearly = [candidate(0, 0, 780, 780), candidate(1, 9_000, 800, 800)];
    assert_eq!(
        chosen(&criteria(&prompt), &nearly),
        ("t0".into(), 220, None)
    );
}

/// Callers give each first try 15 s, and a later try the remaining time. The time limit of the
/// route changes to 7 s and back in the meantime.
#[test]
fn later_tries_are_detected_by_rare_deadlines_whatever_the_route_limit() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let (route, mut tries): (Arc<str>, _) = ("r".into(), Detector::new());
    let mut wrong = 0;
    for number in 0..2_000 {
        let limit = if (600..1_200).contains(&number) {
            7_000
        } else {
            15_000
        };
        let later = number > 30 && random.random_ratio(1, 3);
        let time = if later {
            15_000 - 300 - random.random_range(0..80)
        } else {
            15_000
        };
        wrong += u32::from(tries.record(&route, ms(time), ms(limit)) != later);
    }
    assert_eq!(wrong, 0);
}

#[test]
fn route_with_few_requests_or_two_kinds_of_callers_has_first_tries() {
    let (route, mut tries): (Arc<str>, _) = ("r".into(), Detector::new());
    assert!(!tries.record(&route, ms(14_980), ms(15_000)));
    assert!(tries.record(&route, ms(14_500), ms(15_000)));
    for _ in 0..50 {
        tries.record(&route, ms(15_000), ms(15_000));
        tries.record(&route, ms(3_000), ms(15_000));
    }
    assert!(!tries.record(&route, ms(3_000), ms(15_000)));
    assert!(!tries.record(&route, ms(15_000), ms(15_000)));
    assert!(tries.record(&route, ms(2_600), ms(15_000)));
    tries.retain(|_| false);
    assert!(!tries.record(&route, ms(15_000), ms(15_000)));
}

/// Each caller has a deadline of its own, 8.5 to 10 s, and the route a limit of 10 s. Guards
/// against detection by the route's limit, which counted all of these as later tries.
#[test]
fn first_tries_with_individual_deadlines_do_not_count_as_later_tries() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let (route, mut tries): (Arc<str>, _) = ("r".into(), Detector::new());
    let mut later = 0;
    for _ in 0..2_000 {
        let time = random.random_range(8_500..=10_000);
        later += u32::from(tries.record(&route, ms(time), ms(10_000)));
    }
    assert!(later <= 10, "{later}");
}
