//! What engines tell of their memory, and how requests are placed by it.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cache::{Caches, Entry, Finding, Held, News, Question, STALE};
use dunlinward_dispatch::placement::{self, Ask, Candidate, Policy};
use dunlinward_dispatch::prefix::{self, Part, Prompt};
use dunlinward_dispatch::retry::Detector;
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::Load;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SINCE_START: Question = Question::Changes { since: 0 };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn entry(part: u32, tokens: u32) -> Entry {
    Entry { part, tokens }
}

fn news(epoch: u64, next: u64, entries: &[Entry]) -> News {
    News {
        born: None,
        epoch,
        next,
        gap: false,
        entries: entries.to_vec(),
    }
}

/// Two shared parts and one of its own.
fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        tokens: 1_000,
        answer_tokens: 10,
        parts: vec![part(1, 300), part(2, 500), part(0, 200)],
    }
}

fn held(told: u64, expected: u64) -> Held {
    Held { told, expected }
}

#[test]
fn a_part_counts_only_if_all_before_it_are_kept() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    assert_eq!(caches.held(tag, &prompt(), ms(0)), None);
    assert_eq!(caches.question(tag, ms(0)), Question::Listing);
    let second = news(7, 5, &[entry(2, 500)]);
    assert_eq!(
        caches.take(tag, Question::Listing, second, ms(0)),
        Finding::Current
    );
    assert_eq!(caches.held(tag, &prompt(), ms(0)), Some(held(0, 0)));
    let since = Question::Changes { since: 5 };
    assert_eq!(caches.question(tag, ms(0)), since);
    caches.take(tag, since, news(7, 6, &[entry(1, 300)]), ms(10));
    assert_eq!(caches.held(tag, &prompt(), ms(10)), Some(held(800, 800)));
    let since = Question::Changes { since: 6 };
    caches.take(
        tag,
        since,
        news(7, 8, &[entry(2, 100), entry(2, 50)]),
        ms(20),
    );
    assert_eq!(caches.held(tag, &prompt(), ms(20)), Some(held(350, 350)));
    caches.take(
        tag,
        Question::Changes { since: 8 },
        news(7, 9, &[entry(1, 0)]),
        ms(30),
    );
    assert_eq!(caches.held(tag, &prompt(), ms(30)), Some(held(0, 0)));
}

#[test]
fn what_is_old_or_of_an_earlier_start_is_not_known() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    let all = [entry(1, 300), entry(2, 500)];
    caches.take(tag, Question::Listing, news(7, 9, &all), ms(0));
    assert_eq!(caches.held(tag, &prompt(), ms(4_999)), Some(held(800, 800)));
    assert_eq!(caches.held(tag, &prompt(), STALE), None);
    let since = Question::Changes { since: 9 };
    let restarted = caches.take(tag, since, news(8, 1, &[entry(1, 300)]), ms(100));
    assert_eq!(restarted, Finding::Gap);
    assert_eq!(caches.held(tag, &prompt(), ms(100)), None);
    assert_eq!(caches.question(tag, STALE), Question::Listing);
    caches.take(tag, Question::Listing, news(8, 2, &all[..1]), STALE);
    assert_eq!(caches.held(tag, &prompt(), STALE), Some(held(300, 300)));
}

#[test]
fn after_a_gap_nothing_is_believed_until_all_is_listed_and_listings_are_rare() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    let all = [entry(1, 300), entry(2, 500)];
    caches.take(tag, Question::Listing, news(7, 9, &all), ms(0));
    let since = Question::Changes { since: 9 };
    let mut lost = news(7, 90, &[]);
    lost.gap = true;
    assert_eq!(caches.take(tag, since, lost, ms(400)), Finding::Gap);
    assert_eq!(caches.held(tag, &prompt(), ms(400)), None);
    assert_eq!(
        caches.question(tag, ms(800)),
        Question::Changes { since: 90 }
    );
    let current = caches.take(
        tag,
        Question::Changes { since: 90 },
        news(7, 91, &all),
        ms(800),
    );
    assert_eq!(current, Finding::Gap);
    assert_eq!(caches.question(tag, ms(2_000)), Question::Listing);
    caches.take(tag, Question::Listing, news(7, 95, &all[..1]), ms(2_000));
    assert_eq!(caches.held(tag, &prompt(), ms(2_000)), Some(held(300, 300)));
}

/// What was sent is read before anything that is sent later, but can't be fetched yet.
#[test]
fn what_was_sent_is_expected_there_for_a_while_and_is_no_source() {
    let (tag, mut caches) = (Tag::new("a"), Caches::new());
    caches.take(tag, SINCE_START, news(7, 0, &[]), ms(0));
    caches.sent(tag, &prompt(), ms(100));
    assert_eq!(caches.held(tag, &prompt(), ms(100)), Some(held(0, 800)));
    let since = Question::Changes { since: 0 };
    caches.take(tag, since, news(7, 0, &[]), ms(1_600));
    assert_eq!(caches.held(tag, &prompt(), ms(1_600)), Some(held(0, 0)));
    caches.forget(tag);
    assert_eq!(caches.held(tag, &prompt(), ms(1_600)), None);
}

/// An engine that changes at random and tells late, in pieces and with gaps, against one that
/// is asked for all: whenever something is known, it is what the engine had when it answered.
#[test]
fn a_followed_memory_is_that_of_a_naive_version_whenever_it_is_known() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (tag, mut caches) = (Tag::new("a"), Caches::new());
        let (mut epoch, mut kept) = (1, [0u32; 3]);
        let mut log: Vec<Entry> = Vec::new();
        let mut first_told = 0;
        let mut known = 0;
        for step in 0..400 {
            let now = ms(step * 400);
            for _ in 0..random.random_range(0..4) {
                let part = random.random_range(1..3u32);
                let tokens = [0, 300, 500][random.random_range(0..3)];
                kept[part as usize] = tokens;
                log.push(entry(part, tokens));
            }
            if random.random_ratio(1, 40) {
                (epoch, kept, first_told) = (epoch + 1, [0; 3], 0);
                log.clear();
            }
            if random.random_ratio(1, 20) {
                first_told = log.len();
            }
            if random.random_ratio(1, 10) {
                continue;
            }
            let question = caches.question(tag, now);
            let next = log.len() as u64;
            let answer = match question {
                Question::Listing => news(epoch, next, &[entry(1, kept[1]), entry(2, kept[2])]),
                Question::Changes { since } => {
                    let since = usize::try_from(since).unwrap();
                    let from = since.max(first_told).min(log.len());
                    let mut told = news(epoch, next, &log[from..]);
                    told.gap = since < first_told;
                    told
                }
            };
            caches.take(tag, question, answer, now);
            let naive = {
                let first = u64::from(kept[1]).min(300);
                let second = u64::from(kept[2]).min(500);
                first + if kept[1] >= 300 { second } else { 0 }
            };
            if let Some(held) = caches.held(tag, &prompt(), now) {
                known += 1;
                assert_eq!(held.told, naive, "seed {seed}, step {step}");
            }
        }
        assert!(known > 150, "seed {seed}: known {known} times");
    }
}

#[test]
fn parts_of_different_models_are_different() {
    assert_ne!(prefix::part_tag("m", 1), prefix::part_tag("n", 1));
    assert_ne!(prefix::part_tag("m", 1), prefix::part_tag("m", 2));
    assert_eq!(prefix::part_tag("m", 1), prefix::part_tag("m", 1));
}

fn candidate(number: u16, unread: u64, told: u64, expected: u64) -> Candidate {
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
        }),
        load: Load { running: 0, unread },
        local: false,
        keeps: false,
        held: Some(held(told, expected)),
    }
}

fn ask(prompt: &Prompt) -> Ask<'_> {
    Ask {
        prompt: Some(prompt),
        objective: ms(1_000),
        rate: 10_000.0,
        fetch_seconds: Some(1e-7),
        room: 1.0,
        miss_scale: 1.0,
        waited: ms(0),
        may_fetch: true,
        may_miss: false,
        draw: 3,
    }
}

/// What was chosen: the engine, what it reads, and from where it fetches.
fn chosen(ask: &Ask<'_>, candidates: &[Candidate]) -> (String, u64, Option<String>) {
    let choice = placement::choose(&Policy::default(), ask, candidates).unwrap();
    let fetch = choice.fetch.map(|it| it.id.to_string());
    (choice.target.id.to_string(), choice.unread, fetch)
}

#[test]
fn a_busy_engine_gives_its_prefix_to_an_idle_one() {
    let prompt = prompt();
    let idle = [candidate(0, 0, 0, 0), candidate(1, 100, 800, 800)];
    assert_eq!(
        chosen(&ask(&prompt), &idle),
        ("t1".into(), 200, None),
        "a short queue is no reason to move memory"
    );
    let busy = [candidate(0, 0, 0, 0), candidate(1, 9_000, 800, 800)];
    let (target, unread, fetch) = chosen(&ask(&prompt), &busy);
    assert_eq!((target.as_str(), fetch.as_deref()), ("t0", Some("t1")));
    assert!(unread < 210, "a fetch is no reading: {unread}");
    let mut slow = ask(&prompt);
    slow.fetch_seconds = None;
    assert_eq!(chosen(&slow, &busy), ("t0".into(), 1_000, None));
}

/// It waits for room where its prefix is, but what none keeps is read for it too.
#[test]
fn no_memory_is_moved_for_who_is_beyond_its_share() {
    let prompt = prompt();
    let mut beyond = ask(&prompt);
    beyond.may_fetch = false;
    let mut all = [candidate(0, 0, 0, 0), candidate(1, 9_000, 800, 800)];
    assert_eq!(chosen(&beyond, &all), ("t1".into(), 200, None));
    all[1].load.running = 10;
    assert!(placement::choose(&Policy::default(), &beyond, &all).is_none());
    assert!(placement::choose(&Policy::default(), &ask(&prompt), &all).is_some());
    let cold = [candidate(0, 0, 0, 0), candidate(1, 100, 0, 0)];
    assert_eq!(chosen(&beyond, &cold), ("t0".into(), 1_000, None));
}

#[test]
fn what_is_only_expected_is_not_fetched() {
    let prompt = prompt();
    let sent = [candidate(0, 0, 0, 0), candidate(1, 200, 0, 800)];
    assert_eq!(chosen(&ask(&prompt), &sent), ("t1".into(), 200, None));
    let busy = [candidate(0, 0, 0, 0), candidate(1, 9_000, 0, 800)];
    assert_eq!(chosen(&ask(&prompt), &busy), ("t0".into(), 1_000, None));
}

#[test]
fn a_few_tokens_are_read_and_not_fetched() {
    let prompt = prompt();
    let nearly = [candidate(0, 0, 780, 780), candidate(1, 9_000, 800, 800)];
    assert_eq!(chosen(&ask(&prompt), &nearly), ("t0".into(), 220, None));
}

/// Callers give each first try 15 s; those that come back have what is left. The route's own
/// limit is changed to 7 s on the way and back.
#[test]
fn later_tries_are_told_by_times_that_come_seldom_whatever_the_limit() {
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
fn a_route_with_few_requests_or_two_kinds_of_callers_has_first_tries() {
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

/// Each caller has a time of its own, 8.5 to 10 s, and the route a limit of 10 s: with the limit as
/// measure all of them were taken for later tries.
#[test]
fn first_tries_with_times_of_their_own_are_not_taken_for_later_ones() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let (route, mut tries): (Arc<str>, _) = ("r".into(), Detector::new());
    let mut later = 0;
    for _ in 0..2_000 {
        let time = random.random_range(8_500..=10_000);
        later += u32::from(tries.record(&route, ms(time), ms(10_000)));
    }
    assert!(later <= 10, "{later}");
}
