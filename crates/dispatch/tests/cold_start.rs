//! Rate limits for cold targets under one or several owners of their cell.

use std::time::Duration;

use dunlinward_dispatch::cold_start::{self, Bound, Limiter, Peak, UNCERTAIN_PERIOD};
use dunlinward_dispatch::target::{State, Tag, Target};

/// The limits of the platform: 6.1 requests per second sustained, and at most 1.5 times that plus 5
/// within one second.
const BOUND: Bound = Bound {
    rate: 6.1,
    max_per_second: 6.1 * 1.5 + 5.0,
};

/// Interval of requests for one target, which are far more than it sustains.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);

fn target(id: &str, cold_left: Duration) -> Target {
    Target {
        id: id.into(),
        born: None,
        service: "pool".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 32,
        state: State::Ready,
        cold_left,
        version: None,
    }
}

fn limiter_for(time: Duration) -> Limiter {
    let mut limiter = Limiter::default();
    limiter.apply_list([target("i-0", time)].iter(), Duration::ZERO);
    limiter
}

fn tag() -> Tag {
    target("i-0", Duration::ZERO).tag()
}

/// Simulates requests at owners that each send as many as they may. `active` returns the owners at
/// a point in time with their shares of the rate. Returns the times at which the target got
/// requests.
fn simulate(
    owners: usize,
    time: Duration,
    active: impl Fn(Duration) -> Vec<(usize, f64)>,
) -> Vec<Duration> {
    let mut owners: Vec<_> = (0..owners).map(|_| limiter_for(time * 2)).collect();
    let mut sent = Vec::new();
    let mut now = Duration::ZERO;
    while now < time {
        for (owner, share) in active(now) {
            let limiter = &mut owners[owner];
            if limiter.allows(tag(), BOUND, share, now) {
                limiter.record_request(tag(), now);
                sent.push(now);
            }
        }
        now += ARRIVAL_INTERVAL;
    }
    sent
}

/// Largest number of requests within one second.
fn max_per_second(sent: &[Duration]) -> usize {
    let within = |from: &Duration| {
        let end = *from + Duration::from_secs(1);
        sent.iter().filter(|it| (*from..end).contains(it)).count()
    };
    sent.iter().map(within).max().unwrap_or_default()
}

#[expect(clippy::cast_precision_loss, reason = "a few dozen requests")]
fn assert_within_bound(sent: &[Duration], case: &str) {
    let most = max_per_second(sent);
    assert!(
        most as f64 <= BOUND.max_per_second,
        "{case}: {most} in a second"
    );
}

#[test]
fn single_owner_sends_at_the_sustained_rate() {
    let time = Duration::from_secs(10);
    let sent = simulate(1, time, |_| vec![(0, 1.0)]);
    assert_within_bound(&sent, "one owner");
    // The rate is used: within a tenth of 6.1 requests per second.
    assert!((55..=64).contains(&sent.len()), "{}", sent.len());
}

#[test]
fn two_concurrent_owners_stay_within_the_bound() {
    let sent = simulate(2, Duration::from_secs(10), |_| vec![(0, 1.0), (1, 1.0)]);
    assert_within_bound(&sent, "two owners");
}

#[test]
fn alternating_owners_stay_within_the_bound() {
    for turn_ms in [100_u64, 300, 700, 1_000, 2_500] {
        let owns = |now: Duration| {
            let turn = now.as_millis() / u128::from(turn_ms);
            vec![(usize::try_from(turn % 3).unwrap(), 1.0)]
        };
        let sent = simulate(3, Duration::from_secs(10), owns);
        assert_within_bound(&sent, &format!("owners alternate every {turn_ms} ms"));
    }
}

#[test]
fn sides_of_a_partition_share_the_rate() {
    // Of 64 routers 43 are on one side of the partition and 21 on the other. Each side detects this
    // within a second and counts all routers until then.
    for detection_ms in [0_u64, 500, 1_000] {
        let owns = |now: Duration| {
            let known = now >= Duration::from_millis(detection_ms);
            let sides =
                [43, 21].map(|side| cold_start::rate_share(if known { side } else { 64 }, 64));
            vec![(0, sides[0]), (1, sides[1])]
        };
        let sent = simulate(2, Duration::from_secs(10), owns);
        assert_within_bound(
            &sent,
            &format!("a partition detected after {detection_ms} ms"),
        );
        assert!(sent.len() >= 50, "{}", sent.len());
    }
}

#[test]
fn warm_target_is_not_limited() {
    let mut limiter = limiter_for(Duration::ZERO);
    for _ in 0..100 {
        assert!(limiter.allows(tag(), BOUND, 1.0, Duration::ZERO));
        limiter.record_request(tag(), Duration::ZERO);
    }
}

#[test]
fn target_is_cold_for_the_time_in_its_entry_and_again_after_a_new_entry() {
    let second = Duration::from_secs(1);
    let mut limiter = limiter_for(second);
    assert!(limiter.is_cold(tag(), second / 2));
    assert!(!limiter.is_cold(tag(), second));
    let again = [target("i-0", 3 * second)];
    limiter.apply_list(again.iter(), 60 * second);
    assert!(limiter.is_cold(tag(), 62 * second));
    limiter.apply_list([target("i-0", Duration::ZERO)].iter(), 62 * second);
    assert!(!limiter.is_cold(tag(), 62 * second));
}

#[test]
fn target_that_may_have_restarted_is_cold_until_lists_show_its_state() {
    let mut limiter = limiter_for(Duration::ZERO);
    let now = Duration::from_secs(100);
    limiter.mark_uncertain(tag(), now);
    // A list that is read shortly afterwards may have been written before the restart.
    limiter.apply_list(
        [target("i-0", Duration::ZERO)].iter(),
        now + UNCERTAIN_PERIOD / 2,
    );
    assert!(limiter.is_cold(tag(), now + UNCERTAIN_PERIOD / 2));
    assert!(!limiter.is_cold(tag(), now + UNCERTAIN_PERIOD));
}

#[test]
fn peak_router_count_is_retained_for_the_window() {
    let mut peak = Peak::default();
    let second = Duration::from_secs(1);
    peak.record(64, second);
    peak.record(40, 2 * second);
    peak.record(43, 3 * second);
    assert_eq!(peak.max(), 64);
    peak.record(43, second + Peak::WINDOW);
    assert_eq!(peak.max(), 43);
    peak.record(70, 30 * second);
    assert_eq!(peak.max(), 70);
}
