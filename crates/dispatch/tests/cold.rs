//! How many requests cold targets get, whoever owns their cell.

use std::time::Duration;

use dunlinward_dispatch::cold::{self, Bound, Cold, DOUBT, Peak};
use dunlinward_dispatch::target::{State, Tag, Target};

/// The rates of the platform's sheet: 6.1 a second, and never more than 1.5 times that and 5 more.
const BOUND: Bound = Bound {
    rate: 6.1,
    most: 6.1 * 1.5 + 5.0,
};

/// Requests that come for one target, far more than it bears: one each 5 ms.
const STEP: Duration = Duration::from_millis(5);

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
    }
}

fn cold_for(time: Duration) -> Cold {
    let mut cold = Cold::default();
    cold.list([target("i-0", time)].iter(), Duration::ZERO);
    cold
}

fn tag() -> Tag {
    target("i-0", Duration::ZERO).tag()
}

/// Plays a load on owners that each give what they may; `owns` says which of them have a turn at a
/// moment, and the part of the rate that is theirs. The times at which the target got a request.
fn play(
    owners: usize,
    time: Duration,
    owns: impl Fn(Duration) -> Vec<(usize, f64)>,
) -> Vec<Duration> {
    let mut owners: Vec<_> = (0..owners).map(|_| cold_for(time * 2)).collect();
    let mut given = Vec::new();
    let mut now = Duration::ZERO;
    while now < time {
        for (owner, part) in owns(now) {
            let cold = &mut owners[owner];
            if cold.allows(tag(), BOUND, part, now) {
                cold.note(tag(), now);
                given.push(now);
            }
        }
        now += STEP;
    }
    given
}

/// Most requests within one second.
fn densest(given: &[Duration]) -> usize {
    let within = |from: &Duration| {
        let end = *from + Duration::from_secs(1);
        given.iter().filter(|it| (*from..end).contains(it)).count()
    };
    given.iter().map(within).max().unwrap_or_default()
}

#[expect(clippy::cast_precision_loss, reason = "a few dozen requests")]
fn assert_borne(given: &[Duration], case: &str) {
    let most = densest(given);
    assert!(most as f64 <= BOUND.most, "{case}: {most} in a second");
}

#[test]
fn one_owner_gives_the_rate_that_a_cold_target_is_made_for() {
    let time = Duration::from_secs(10);
    let given = play(1, time, |_| vec![(0, 1.0)]);
    assert_borne(&given, "one owner");
    // Room is used: within a tenth of 6.1 a second.
    assert!((55..=64).contains(&given.len()), "{}", given.len());
}

#[test]
fn two_routers_that_both_take_themselves_for_the_owner_stay_within_the_bound() {
    let given = play(2, Duration::from_secs(10), |_| vec![(0, 1.0), (1, 1.0)]);
    assert_borne(&given, "two owners");
}

#[test]
fn owners_that_follow_one_another_stay_within_the_bound() {
    for turn_ms in [100_u64, 300, 700, 1_000, 2_500] {
        let owns = |now: Duration| {
            let turn = now.as_millis() / u128::from(turn_ms);
            vec![(usize::try_from(turn % 3).unwrap(), 1.0)]
        };
        let given = play(3, Duration::from_secs(10), owns);
        assert_borne(&given, &format!("owners change each {turn_ms} ms"));
    }
}

#[test]
fn the_sides_of_a_cut_have_a_part_each() {
    // Of 64 routers 43 are on one side, 21 on the other, as each side learns within a second; before
    // that each still counts all.
    for learn_ms in [0_u64, 500, 1_000] {
        let owns = |now: Duration| {
            let known = now >= Duration::from_millis(learn_ms);
            let sides = [43, 21].map(|side| cold::part(if known { side } else { 64 }, 64));
            vec![(0, sides[0]), (1, sides[1])]
        };
        let given = play(2, Duration::from_secs(10), owns);
        assert_borne(&given, &format!("a cut learnt after {learn_ms} ms"));
        assert!(given.len() >= 50, "{}", given.len());
    }
}

#[test]
fn a_warm_target_is_not_held_back() {
    let mut cold = cold_for(Duration::ZERO);
    for _ in 0..100 {
        assert!(cold.allows(tag(), BOUND, 1.0, Duration::ZERO));
        cold.note(tag(), Duration::ZERO);
    }
}

#[test]
fn a_target_is_cold_as_long_as_its_entry_says_and_again_whenever_one_says_so() {
    let second = Duration::from_secs(1);
    let mut cold = cold_for(second);
    assert!(cold.is_cold(tag(), second / 2));
    assert!(!cold.is_cold(tag(), second));
    let again = [target("i-0", 3 * second)];
    cold.list(again.iter(), 60 * second);
    assert!(cold.is_cold(tag(), 62 * second));
    cold.list([target("i-0", Duration::ZERO)].iter(), 62 * second);
    assert!(!cold.is_cold(tag(), 62 * second));
}

#[test]
fn a_target_that_may_have_started_anew_counts_as_cold_until_lists_can_tell() {
    let mut cold = cold_for(Duration::ZERO);
    let now = Duration::from_secs(100);
    cold.doubt(tag(), now);
    // A list that is read at once may have been written before.
    cold.list([target("i-0", Duration::ZERO)].iter(), now + DOUBT / 2);
    assert!(cold.is_cold(tag(), now + DOUBT / 2));
    assert!(!cold.is_cold(tag(), now + DOUBT));
}

#[test]
fn the_most_routers_known_lately_are_remembered_for_a_while() {
    let mut peak = Peak::default();
    let second = Duration::from_secs(1);
    peak.note(64, second);
    peak.note(40, 2 * second);
    peak.note(43, 3 * second);
    assert_eq!(peak.most(), 64);
    peak.note(43, second + Peak::KEPT);
    assert_eq!(peak.most(), 43);
    peak.note(70, 30 * second);
    assert_eq!(peak.most(), 70);
}
