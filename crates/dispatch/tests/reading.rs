//! Ages of views that are passed on between routers.

use std::time::Duration;

use dunlinward_dispatch::reading::{Reading, Readings};
use dunlinward_dispatch::usage::Peer;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Each router reports to the next, and each message waits 30 ms. Passing on a plain age would
/// leave the view as young as when it was read.
#[test]
fn a_reading_passed_on_repeatedly_gets_no_younger() {
    let mut routers: Vec<_> = (1..=5).map(|it| Readings::new(Peer(it))).collect();
    routers[0].record(ms(1_000));
    let mut now = ms(1_000);
    for step in 0..500 {
        let from = step % 5;
        let reported = routers[from].report(now);
        now += ms(30);
        let to = (from + 1) % 5;
        let Some(reported) = reported else {
            continue;
        };
        if let Some(at) = routers[to].receive(reported, now) {
            routers[to].adopt(reported, at);
        }
    }
    assert_eq!(now, ms(16_000));
    for readings in &routers {
        let at = readings.at().unwrap();
        assert!(at <= ms(1_000 + 5 * 30), "{at:?}");
    }
}

#[test]
fn a_newer_reading_overrides_an_older_one_of_the_same_reader() {
    let mut readings = Readings::new(Peer(1));
    let reading = |number, age_ms| Reading {
        reader: 7,
        number,
        age_ms,
    };
    assert_eq!(readings.receive(reading(2, 100), ms(1_000)), Some(ms(900)));
    assert_eq!(readings.receive(reading(2, 0), ms(1_100)), Some(ms(900)));
    assert_eq!(readings.receive(reading(2, 400), ms(1_200)), Some(ms(800)));
    assert_eq!(readings.receive(reading(1, 0), ms(1_300)), None);
    assert_eq!(readings.receive(reading(3, 50), ms(1_400)), Some(ms(1_350)));
}

#[test]
fn a_router_reports_the_youngest_reading_of_its_view() {
    let mut readings = Readings::new(Peer(1));
    assert_eq!(readings.report(ms(0)), None);
    readings.record(ms(500));
    let older = Reading {
        reader: 7,
        number: 1,
        age_ms: 600,
    };
    let at = readings.receive(older, ms(1_000)).unwrap();
    readings.adopt(older, at);
    assert_eq!(readings.at(), Some(ms(500)));
    let younger = Reading {
        reader: 7,
        number: 2,
        age_ms: 100,
    };
    let at = readings.receive(younger, ms(1_000)).unwrap();
    readings.adopt(younger, at);
    let reported = readings.report(ms(1_200)).unwrap();
    assert_eq!(
        (reported.reader, reported.number, reported.age_ms),
        (7, 2, 300)
    );
}
