//! Delays of stream events under pressure.

use std::time::Duration;

use dunlinward_dispatch::coalescing::{Pace, Policy};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(60);

const PAUSE_OBJECTIVE: Duration = Duration::from_millis(400);

/// Utilization above the threshold of a limit of 0.75.
const BUSY: f64 = 0.6;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn pace(last_forwarded: Option<u64>, last_pause: u64) -> Pace {
    Pace {
        last_forwarded: last_forwarded.map(ms),
        last_pause: ms(last_pause),
        pause_objective: PAUSE_OBJECTIVE,
    }
}

/// Times at which events that arrive at `arrivals` are forwarded.
fn forward(policy: &Policy, utilization: f64, arrivals: &[Duration]) -> Vec<Duration> {
    let mut forwarded: Vec<Duration> = Vec::new();
    let mut held: Vec<(Duration, usize)> = Vec::new();
    let mut last_arrival = None;
    let mut last_forwarded = None;
    for now in arrivals.iter().copied() {
        if let Some((release, count)) = held.pop_if(|it| it.0 <= now) {
            forwarded.extend(std::iter::repeat_n(release, count));
            last_forwarded = Some(release);
        }
        let pace = Pace {
            last_forwarded,
            last_pause: last_arrival.map_or(Duration::ZERO, |it| now.saturating_sub(it)),
            pause_objective: PAUSE_OBJECTIVE,
        };
        last_arrival = Some(now);
        let count = held.pop().map_or(1, |(_, count)| count + 1);
        if let Some(release) = policy.hold_until(&pace, utilization, now) {
            held.push((release, count));
        } else {
            forwarded.extend(std::iter::repeat_n(now, count));
            last_forwarded = Some(now);
        }
    }
    let rest = held.into_iter();
    let rest = rest.flat_map(|(release, count)| std::iter::repeat_n(release, count));
    forwarded.extend(rest);
    forwarded
}

/// Arrivals of a stream with random pauses of up to `longest` milliseconds.
fn arrivals(random: &mut Pcg64Mcg, longest: u64) -> Vec<Duration> {
    let mut at = ms(random.random_range(0..1_000));
    let mut next = || {
        at += Duration::from_micros(random.random_range(0..longest * 1_000));
        at
    };
    (0..60).map(|_| next()).collect()
}

/// Guards against delays at routers that have time to forward each event, or at which the feature
/// or the limit that it depends on is turned off.
#[test]
fn events_are_not_delayed_without_pressure() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let idle = [
        (Policy::new(0.75, TICK), 0.5),
        (Policy::new(0.75, TICK), 0.0),
        (Policy::new(0.0, TICK), 1.0),
        (Policy::new(0.75, Duration::ZERO), 1.0),
    ];
    for (policy, utilization) in idle {
        for _ in 0..20 {
            let arrivals = arrivals(&mut random, 90);
            assert_eq!(forward(&policy, utilization, &arrivals), arrivals);
        }
    }
}

/// Guards against a first event that is later because the router is busy: it decides whether the
/// answer is in time.
#[test]
fn the_first_event_is_never_delayed() {
    let policy = Policy::new(0.75, TICK);
    for now in [0, 1, 59, 60, 61, 100_001] {
        assert_eq!(policy.hold_until(&pace(None, 0), 1.0, ms(now)), None);
    }
}

#[test]
fn an_event_is_held_until_the_tick_after_the_last_forwarded_event() {
    let policy = Policy::new(0.75, TICK);
    let held = |last, now| policy.hold_until(&pace(Some(last), 10), BUSY, ms(now));
    assert_eq!(held(10, 20), Some(ms(60)));
    assert_eq!(held(59, 59), Some(ms(60)));
    assert_eq!(held(60, 61), Some(ms(120)));
    assert_eq!(held(10, 60), None);
    assert_eq!(held(10, 75), None);
}

/// Guards against delays of more than one tick, lost events and events out of order.
#[test]
fn delays_are_bounded_on_drawn_streams() {
    let policy = Policy::new(0.75, TICK);
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let arrivals = arrivals(&mut random, 40);
        let forwarded = forward(&policy, BUSY, &arrivals);
        assert_eq!(forwarded.len(), arrivals.len(), "seed {seed}");
        assert_eq!(forwarded[0], arrivals[0], "seed {seed}");
        assert!(forwarded.is_sorted(), "seed {seed}");
        for (arrival, forwarded) in arrivals.iter().zip(&forwarded) {
            let delay = forwarded.checked_sub(*arrival);
            let delay = delay.expect("no event is forwarded before it arrives");
            assert!(delay <= TICK, "seed {seed}: delay of {delay:?}");
        }
        let mut moments = forwarded.clone();
        moments.dedup();
        assert!(moments.len() * 2 < arrivals.len(), "seed {seed}");
    }
}

/// Guards against streams that each have timers of their own: all held events of a router are
/// forwarded on the same ticks.
#[test]
fn all_streams_share_the_ticks() {
    let policy = Policy::new(0.75, TICK);
    let mut random = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..200 {
        let last = random.random_range(0..100_000);
        let now = last + random.random_range(0..60);
        let release = policy.hold_until(&pace(Some(last), 10), BUSY, ms(now));
        let Some(release) = release else {
            continue;
        };
        assert_eq!(release.as_nanos() % TICK.as_nanos(), 0);
        assert!(release > ms(now) && release <= ms(last) + TICK);
    }
}

/// Guards against a delay on top of a pause that is already close to the objective.
#[test]
fn a_stream_with_long_pauses_is_not_delayed() {
    let policy = Policy::new(0.75, TICK);
    let held = |pause| policy.hold_until(&pace(Some(1_000), pause), 1.0, ms(1_001));
    assert_eq!(held(200), Some(ms(1_020)));
    assert_eq!(held(201), None);
    let slow: Vec<_> = (0..40).map(|it| ms(250 * it)).collect();
    assert_eq!(forward(&policy, BUSY, &slow), slow);
}

#[test]
fn the_threshold_is_a_quarter_below_that_of_the_limit_on_requests() {
    let held = |intake, utilization| {
        let policy = Policy::new(intake, TICK);
        policy.hold_until(&pace(Some(10), 10), utilization, ms(20))
    };
    assert_eq!(held(0.75, 0.5), None);
    assert_eq!(held(0.75, 0.51), Some(ms(60)));
    // A limit below the margin delays events at any utilization.
    assert_eq!(held(0.2, 0.0), None);
    assert_eq!(held(0.2, 0.01), Some(ms(60)));
}
