//! Collection of observations at targets and their reports to owners.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::cell::{Cell, ServiceTag};
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::speed::{MAX_SAMPLES, MAX_TARGETS, Report, Sample};
use dunlinward_dispatch::target::Tag;
use dunlinward_path::observation::{Collector, Event, Pauses, Recipient};
use dunlinward_path::overload::Detector;

const OBJECTIVE: Duration = Duration::from_millis(400);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn cell() -> Cell {
    Cell {
        service: ServiceTag::new("pool"),
        region: Region::default(),
        index: 0,
    }
}

fn owner(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn work(tokens: u64) -> Event {
    Event::Work(Sample {
        tokens,
        time: ms(100),
    })
}

/// The report that is due to the only owner, if any.
fn due(collector: &mut Collector, owner: SocketAddr, now: Duration) -> Option<Report> {
    let tags: Vec<_> = (0..100).map(Tag).collect();
    let recipient = Recipient {
        cell: cell(),
        owner,
        tags,
        bounds: Vec::new(),
    };
    collector.due([recipient].into_iter(), now).remove(&owner)
}

/// Tokens of the samples in a report.
fn tokens(report: Option<Report>) -> Vec<u64> {
    let observations = report.map_or(Vec::new(), |it| it.observations);
    let samples = observations.iter().flat_map(|it| &it.samples);
    samples.map(|it| it.tokens).collect()
}

/// Guards against observations that count several times at an owner.
#[test]
fn an_owner_gets_each_observation_once() {
    let mut collector = Collector::default();
    collector.record(Tag(1), work(1_000), ms(1), ms(0));
    assert_eq!(tokens(due(&mut collector, owner(1), ms(300))), [1_000]);
    assert_eq!(due(&mut collector, owner(1), ms(600)), None);
    collector.record(Tag(1), work(2_000), ms(1), ms(700));
    assert_eq!(tokens(due(&mut collector, owner(1), ms(900))), [2_000]);
}

/// Guards against a new owner that needs long to learn the speeds, and against a previous one that
/// gets the same again when it returns.
#[test]
fn a_new_owner_gets_all_recent_observations() {
    let mut collector = Collector::default();
    for number in 0..12 {
        collector.record(Tag(1), work(number), ms(1), ms(1_000 * number));
    }
    let report = due(&mut collector, owner(1), ms(11_500));
    assert_eq!(tokens(report), (2..12).collect::<Vec<_>>());
    collector.record(Tag(1), work(12), ms(1), ms(11_600));
    let report = due(&mut collector, owner(2), ms(11_700));
    assert_eq!(tokens(report), (2..13).collect::<Vec<_>>());
    let report = due(&mut collector, owner(1), ms(12_000));
    assert_eq!(tokens(report), [12]);
}

/// Guards against reports that exceed what owners accept, and against growing memory.
#[test]
fn reports_are_bounded() {
    let mut collector = Collector::default();
    for number in 0..10_000 {
        let now = ms(u64::from(number) / 10);
        collector.record(Tag(number % 100), work(1_000), ms(1), now);
    }
    let report = due(&mut collector, owner(1), ms(1_000)).expect("it is due");
    assert_eq!(report.observations.len(), MAX_TARGETS);
    assert!(
        report
            .observations
            .iter()
            .all(|it| it.samples.len() <= MAX_SAMPLES)
    );
    assert!(report.is_plausible());
}

/// Guards against a router that is overloaded and reports its own delays as those of all targets.
#[test]
fn a_late_router_drops_its_observations() {
    let mut collector = Collector::default();
    let detector = Detector::default();
    for tenth in 0..10 {
        detector.record_lateness(ms(40), ms(100 * tenth));
    }
    assert!(!collector.record(Tag(1), work(1_000), detector.mean_lateness(), ms(1_000)));
    assert_eq!(due(&mut collector, owner(1), ms(1_000)), None);
    for tenth in 10..20 {
        detector.record_lateness(ms(1), ms(100 * tenth));
    }
    assert!(collector.record(Tag(1), work(1_000), detector.mean_lateness(), ms(2_000)));
}

/// Guards against numbers that repeat: owners would ignore the reports.
#[test]
fn reports_have_rising_numbers() {
    let mut collector = Collector::default();
    let mut last = 0;
    for round in 1..10 {
        collector.record(Tag(1), work(1_000), ms(1), ms(300 * round));
        let report = due(&mut collector, owner(1), ms(300 * round)).expect("it is due");
        assert!(report.number > last);
        last = report.number;
    }
}

/// Guards against a stream that counts as paused for each of its pauses, or both as paused and as
/// ended.
#[test]
fn a_stream_counts_once() {
    let mut pauses = Pauses::default();
    pauses.record_wait(ms(700));
    assert!(!pauses.record_event(OBJECTIVE), "time to the first event");
    pauses.record_wait(ms(100));
    assert!(!pauses.record_event(OBJECTIVE));
    assert!(pauses.ends_clean());
    pauses.record_wait(ms(300));
    pauses.record_wait(ms(300));
    assert!(pauses.record_event(OBJECTIVE));
    pauses.record_wait(ms(900));
    assert!(!pauses.record_event(OBJECTIVE));
    assert!(!pauses.ends_clean());
    assert_eq!(pauses.longest(), ms(900));
}

/// Guards against a slow client whose router reports that the target pauses: the events are there
/// when the client has read the previous ones, so the router does not wait for the target.
#[test]
fn a_slow_client_is_no_pause() {
    let mut pauses = Pauses::default();
    for _ in 0..10 {
        pauses.record_wait(Duration::ZERO);
        assert!(!pauses.record_event(OBJECTIVE));
    }
    assert!(pauses.ends_clean());
}
