//! Summary of refusals for lack of capacity.

use std::time::Duration;

use dunlinward_path::refusal_log::{INTERVAL, MAX_LINES, Recorder, Refused, Treatment};
use dunlinward_path::reply::Reason;

fn refused(reason: Reason, customer: &str, age_ms: u64) -> Refused {
    Refused {
        reason,
        customer: Some(customer.into()),
        route: Some("r".into()),
        tokens: 100,
        standing_age: Some(Duration::from_millis(age_ms)),
    }
}

/// Records refusals; returns the number with lines of their own.
fn record(recorder: &mut Recorder, count: u32, now: Duration) -> u32 {
    let refusals = (0..count).map(|_| refused(Reason::Busy, "c", 1));
    let lines = refusals.filter(|it| recorder.record(it.clone(), now) == Treatment::Line);
    u32::try_from(lines.count()).expect("a few")
}

/// Guards against missing lines at routers that are not flooded: operators look up single requests.
#[test]
fn few_refusals_have_lines_of_their_own() {
    let mut recorder = Recorder::default();
    for interval in 0..5 {
        let now = INTERVAL * interval;
        assert_eq!(record(&mut recorder, MAX_LINES, now), MAX_LINES);
    }
    assert!(recorder.take().is_none());
}

/// Guards against a log that grows with a flood, and against refusals that are counted in no line.
#[test]
fn many_refusals_are_counted_in_one_summary() {
    let mut recorder = Recorder::default();
    for interval in 0..3 {
        let now = INTERVAL * interval;
        assert_eq!(record(&mut recorder, MAX_LINES, now), MAX_LINES);
        let first = recorder.record(refused(Reason::Busy, "a", 30), now + INTERVAL / 2);
        let due_in = INTERVAL / 2;
        assert_eq!(first, Treatment::NewSummary { due_in });
        for (reason, customer, age) in [
            (Reason::OverShare, "a", 700),
            (Reason::Crowded, "a", 5),
            (Reason::Busy, "b", 40),
        ] {
            let treatment = recorder.record(refused(reason, customer, age), now + INTERVAL / 2);
            assert_eq!(treatment, Treatment::Summary);
        }
        let summary = recorder.take().expect("there are more than lines");
        assert_eq!(summary.count, 4);
        assert_eq!(summary.reasons["busy"], 2);
        assert_eq!(summary.reasons["over_share"], 1);
        assert_eq!(summary.reasons["crowded"], 1);
        assert_eq!(summary.customers[&Some("a".into())], 3);
        assert_eq!(summary.customers[&Some("b".into())], 1);
        assert_eq!(summary.tokens[&Some("a".into())], 300);
        assert_eq!(summary.tokens[&Some("b".into())], 100);
        assert_eq!(summary.routes[&Some("r".into())], 4);
        let ms = Duration::from_millis;
        assert_eq!(summary.standing_ages, Some((ms(5), ms(700))));
        assert!(recorder.take().is_none());
    }
}

/// Guards against lines of their own during a flood if the summary is written late, by a router
/// that is busy.
#[test]
fn the_interval_lasts_until_its_summary_is_taken() {
    let mut recorder = Recorder::default();
    assert_eq!(record(&mut recorder, 30, Duration::ZERO), MAX_LINES);
    assert_eq!(record(&mut recorder, 30, INTERVAL * 2), 0);
    assert_eq!(recorder.take().map(|it| it.count), Some(40));
    assert_eq!(record(&mut recorder, 30, INTERVAL * 2), MAX_LINES);
}
