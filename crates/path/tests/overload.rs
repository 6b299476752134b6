//! When a router counts as overloaded, and for how long.

use std::time::Duration;

use dunlinward_path::overload::Detector;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Records timers that fire `late` milliseconds late, ten per second, from `from` to `to`.
fn record(detector: &Detector, late: u64, from: u64, to: u64) {
    for now in (from..to).step_by(100) {
        detector.record_lateness(ms(late), ms(now));
    }
}

/// Time at which it has recovered, if timers are on time from `from` on.
fn recovery(detector: &Detector, from: u64) -> u64 {
    let mut times = (from..from + 60_000).step_by(100);
    let time = times.find(|now| {
        detector.record_lateness(ms(0), ms(*now));
        !detector.is_overloaded()
    });
    time.unwrap()
}

#[test]
fn overload_requires_repeated_late_timers() {
    let detector = Detector::default();
    record(&detector, 60, 0, 100);
    assert!(!detector.is_overloaded());
    record(&detector, 0, 100, 2_000);
    record(&detector, 30, 2_000, 3_000);
    assert!(detector.is_overloaded());
}

#[test]
fn relapse_doubles_minimum_duration_until_router_was_stable() {
    let detector = Detector::default();
    record(&detector, 100, 0, 200);
    assert!(detector.is_overloaded());
    let first = recovery(&detector, 200);
    assert!((2_500..3_000).contains(&first), "{first}");
    record(&detector, 100, first + 1_000, first + 1_200);
    let second = recovery(&detector, first + 1_200);
    assert!((5_000..7_000).contains(&(second - first)), "{second}");
    record(&detector, 100, second + 9_000, second + 9_200);
    let third = recovery(&detector, second + 9_200);
    assert!(third - second - 9_000 < 3_000, "{third}");
}

#[test]
fn router_stays_overloaded_while_its_timers_are_late() {
    let detector = Detector::default();
    record(&detector, 100, 0, 30_000);
    assert!(detector.is_overloaded());
    assert!(recovery(&detector, 30_000) < 33_000);
}

/// A router whose file descriptors are used up accepts no connections, although its timers fire on
/// time.
#[test]
fn failed_accepts_overload_router_until_they_cease() {
    let detector = Detector::default();
    assert!(detector.record_accept_failure(ms(1_000)));
    assert!(detector.is_overloaded());
    assert!(!detector.record_accept_failure(ms(3_000)));
    record(&detector, 0, 3_000, 5_400);
    assert!(detector.is_overloaded());
    assert!(recovery(&detector, 5_400) < 6_000);
}

/// Guards against a router that stays in rotation while it refuses requests: clients whose attempt
/// is refused would retry at the same router.
#[test]
fn crowded_router_is_overloaded_until_it_accepts_again() {
    let detector = Detector::default();
    assert!(detector.record_crowding(ms(1_000)), "the state changes");
    assert!(!detector.record_crowding(ms(2_000)), "it is prolonged");
    record(&detector, 0, 2_000, 4_000);
    assert!(detector.is_overloaded());
    let recovered = recovery(&detector, 4_000);
    assert!((4_500..4_700).contains(&recovered), "{recovered}");
}
