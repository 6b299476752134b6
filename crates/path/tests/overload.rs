//! When a router counts as overloaded, and for how long.

use std::time::Duration;

use dunlinward_path::overload::Detector;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Records timers that fire `late` milliseconds late, ten per second, from `from` to `to`.
fn record(overload: &Detector, late: u64, from: u64, to: u64) {
    for now in (from..to).step_by(100) {
        overload.note(ms(late), ms(now));
    }
}

/// Time at which it has recovered, if timers are on time from `from` on.
fn recovery(overload: &Detector, from: u64) -> u64 {
    let mut times = (from..from + 60_000).step_by(100);
    let time = times.find(|now| {
        overload.note(ms(0), ms(*now));
        !overload.behind()
    });
    time.unwrap()
}

#[test]
fn overload_requires_repeated_late_timers() {
    let overload = Detector::default();
    record(&overload, 60, 0, 100);
    assert!(!overload.behind());
    record(&overload, 0, 100, 2_000);
    record(&overload, 30, 2_000, 3_000);
    assert!(overload.behind());
}

#[test]
fn relapse_doubles_minimum_duration_until_router_was_stable() {
    let overload = Detector::default();
    record(&overload, 100, 0, 200);
    assert!(overload.behind());
    let first = recovery(&overload, 200);
    assert!((2_500..3_000).contains(&first), "{first}");
    record(&overload, 100, first + 1_000, first + 1_200);
    let second = recovery(&overload, first + 1_200);
    assert!((5_000..7_000).contains(&(second - first)), "{second}");
    record(&overload, 100, second + 9_000, second + 9_200);
    let third = recovery(&overload, second + 9_200);
    assert!(third - second - 9_000 < 3_000, "{third}");
}

#[test]
fn router_stays_overloaded_while_its_timers_are_late() {
    let overload = Detector::default();
    record(&overload, 100, 0, 30_000);
    assert!(overload.behind());
    assert!(recovery(&overload, 30_000) < 33_000);
}

/// A router whose file descriptors are used up accepts no connections, although its timers fire on
/// time.
#[test]
fn failed_accepts_overload_router_until_they_cease() {
    let overload = Detector::default();
    assert!(overload.refusing(ms(1_000)));
    assert!(overload.behind());
    assert!(!overload.refusing(ms(3_000)));
    record(&overload, 0, 3_000, 5_400);
    assert!(overload.behind());
    assert!(recovery(&overload, 5_400) < 6_000);
}
