//! `apply` against a log in memory, with races, outages and lost answers.

use std::cell::Cell;
use std::sync::Mutex;
use std::time::Duration;

use dunlinward_config::Config;
use dunlinward_config::revision::{Apply, Ledger, Record, Restate, STREAM};
use dunlinward_ctl::clock::Clock;
use dunlinward_ctl::command::apply::{Attempt, End, Proposal, print};
use dunlinward_platform::Error;
use dunlinward_platform::log::memory::Memory;
use dunlinward_platform::log::{Log, Page, Query};

const FILE: &str = include_str!("../../../examples/config/dansk-eksamensforum.toml");
const WAIT: Duration = Duration::from_secs(5);

/// A file that differs by the share of one customer.
fn file(share: u32) -> String {
    FILE.replace("share = 40", &format!("share = {share}"))
}

fn proposal(id: &str, share: u32) -> Proposal {
    let text = file(share);
    let config = Config::parse(&text).unwrap();
    Proposal::new(id, "ann", &text, config)
}

fn record(id: &str, base: Option<u64>, share: u32) -> String {
    let text = file(share).into();
    Record::Apply(Apply {
        id: id.into(),
        base,
        author: "bo".into(),
        text,
    })
    .encode()
    .unwrap()
}

/// A clock whose sleeps take no time; one of them may make something happen.
#[derive(Default)]
struct Fake<'a> {
    now: Cell<Duration>,
    sleeps: Cell<usize>,
    on_sleep: Option<(usize, &'a dyn Fn())>,
}

impl Clock for Fake<'_> {
    fn now(&self) -> Duration {
        self.now.get()
    }

    fn sleep(&self, time: Duration) {
        self.now.set(self.now.get() + time);
        self.sleeps.set(self.sleeps.get() + 1);
        if let Some((count, action)) = self.on_sleep
            && count == self.sleeps.get()
        {
            action();
        }
    }
}

/// A log in which something happens just before or after an append.
#[derive(Default)]
struct Racing<'a> {
    log: Memory,
    rival: Mutex<Option<String>>,
    after: Option<&'a (dyn Fn(&Memory) + Sync)>,
}

impl Log for Racing<'_> {
    fn append(&self, stream: &str, data: &str) -> Result<u64, Error> {
        if let Some(rival) = self.rival.lock().unwrap().take() {
            self.log.append(stream, &rival)?;
        }
        let result = self.log.append(stream, data);
        if let Some(after) = self.after {
            after(&self.log);
        }
        result
    }

    fn read(&self, stream: &str, query: Query) -> Result<Page, Error> {
        self.log.read(stream, query)
    }
}

fn apply_at(log: &dyn Log, clock: &Fake, proposal: &Proposal) -> String {
    let end = Attempt::new(log, clock, STREAM, proposal)
        .run(WAIT)
        .unwrap();
    shown(&end)
}

fn apply(log: &dyn Log, proposal: &Proposal) -> String {
    apply_at(log, &Fake::default(), proposal)
}

fn shown(end: &End) -> String {
    let mut out = Vec::new();
    print(end, &mut out).unwrap();
    format!("{:?}: {}", end.exit(), String::from_utf8(out).unwrap())
}

fn len(log: &dyn Log) -> u64 {
    log.read(STREAM, Query::new(0)).unwrap().next
}

#[test]
fn files_are_accepted_one_after_the_other() {
    let log = Memory::new();
    assert_eq!(
        apply(&log, &proposal("a", 40)),
        "Done: accepted: revision 0\n"
    );
    assert_eq!(
        apply(&log, &proposal("b", 41)),
        "Done: accepted: revision 1\n"
    );
    let same = apply(&log, &proposal("c", 41));
    assert_eq!(same, "Done: unchanged: already in force as revision 1\n");
    assert_eq!(len(&log), 2);
}

#[test]
fn a_lost_answer_is_found_in_the_log() {
    let log = Memory::new();
    log.lose_answers(1);
    assert_eq!(
        apply(&log, &proposal("a", 40)),
        "Done: accepted: revision 0\n"
    );
    assert_eq!(len(&log), 1);
}

#[test]
fn a_lost_call_is_made_again() {
    let log = Memory::new();
    log.lose_calls(3);
    assert_eq!(
        apply(&log, &proposal("a", 40)),
        "Done: accepted: revision 0\n"
    );
    assert_eq!(len(&log), 1);
}

#[test]
fn a_short_outage_is_waited_out() {
    let log = Memory::new();
    log.set_outage(true);
    let end_outage = || log.set_outage(false);
    let clock = Fake {
        on_sleep: Some((4, &end_outage)),
        ..Fake::default()
    };
    assert_eq!(
        apply_at(&log, &clock, &proposal("a", 40)),
        "Done: accepted: revision 0\n"
    );
}

#[test]
fn a_long_outage_leaves_nothing() {
    let log = Memory::new();
    log.set_outage(true);
    let end = apply(&log, &proposal("a", 40));
    let text = "Unavailable: unavailable: nothing was applied: refused for now with status 503\n";
    assert_eq!(end, text);
    log.set_outage(false);
    assert_eq!(len(&log), 0);
}

#[test]
fn a_lost_answer_before_an_outage_is_unknown_and_the_next_run_tells() {
    let outage = |log: &Memory| log.set_outage(true);
    let log = Racing {
        after: Some(&outage),
        ..Racing::default()
    };
    log.log.lose_answers(1);
    let end = apply(&log, &proposal("a", 40));
    assert!(
        end.starts_with("Unknown: unknown: the file may have been accepted"),
        "{end}"
    );
    log.log.set_outage(false);
    let end = apply(&log, &proposal("b", 40));
    assert_eq!(end, "Done: unchanged: already in force as revision 0\n");
    assert_eq!(len(&log), 1);
}

#[test]
fn an_outage_after_the_append_is_waited_out() {
    let outage = |log: &Memory| log.set_outage(true);
    let log = Racing {
        after: Some(&outage),
        ..Racing::default()
    };
    let end_outage = || log.log.set_outage(false);
    let clock = Fake {
        on_sleep: Some((3, &end_outage)),
        ..Fake::default()
    };
    assert_eq!(
        apply_at(&log, &clock, &proposal("a", 40)),
        "Done: accepted: revision 0\n"
    );
    assert_eq!(len(&log.log), 1);
}

#[test]
fn the_second_of_two_racing_operators_learns_what_the_first_changed() {
    let log = Racing::default();
    apply(&log, &proposal("a", 40));
    *log.rival.lock().unwrap() = Some(record("rival", Some(0), 55));
    insta::assert_snapshot!(apply(&log, &proposal("b", 41)));
    let next = apply(&log, &proposal("b2", 41));
    assert_eq!(next, "Done: accepted: revision 3\n");
}

#[test]
fn a_late_copy_of_the_own_record_does_no_harm() {
    let log = Memory::new();
    let late = record("a", None, 40);
    log.append(STREAM, &late).unwrap();
    log.append(STREAM, &late).unwrap();
    assert_eq!(
        apply(&log, &proposal("b", 41)),
        "Done: accepted: revision 2\n"
    );
    log.append(STREAM, &late).unwrap();
    let same = apply(&log, &proposal("c", 41));
    assert_eq!(same, "Done: unchanged: already in force as revision 2\n");
}

#[test]
fn a_file_that_was_replaced_comes_back_only_when_asked_for() {
    let log = Memory::new();
    log.lose_answers(1);
    apply(&log, &proposal("a", 40));
    apply(&log, &proposal("b", 41));
    let mut again = proposal("a2", 40);
    insta::assert_snapshot!(apply(&log, &again));
    assert_eq!(len(&log), 2);
    again.again = true;
    assert_eq!(apply(&log, &again), "Done: accepted: revision 2\n");
}

#[test]
fn without_a_statement_only_a_reset_helps() {
    let log = Memory::new();
    apply(&log, &proposal("a", 40));
    log.expire(STREAM, 1);
    let mut next = proposal("b", 41);
    insta::assert_snapshot!(apply(&log, &next));
    assert_eq!(len(&log), 1);
    next.reset = true;
    assert_eq!(apply(&log, &next), "Done: accepted: revision 1\n");
    assert_eq!(
        apply(&log, &proposal("c", 42)),
        "Done: accepted: revision 2\n"
    );
}

#[test]
fn a_statement_gives_the_base() {
    let log = Memory::new();
    apply(&log, &proposal("a", 40));
    let mut ledger = Ledger::new();
    ledger.read(0, &log.read(STREAM, Query::new(0)).unwrap().records[0].data);
    let statement = ledger.statement().unwrap();
    let restate = Record::Restate(Restate {
        id: "r".into(),
        statement,
    });
    log.append(STREAM, &restate.encode().unwrap()).unwrap();
    log.expire(STREAM, 1);
    assert_eq!(
        apply(&log, &proposal("b", 41)),
        "Done: accepted: revision 2\n"
    );
}

/// Whatever is lost, no run claims more than the log holds, and a second run settles it.
#[test]
fn every_mix_of_losses_is_told_truly() {
    for (calls, answers) in (0..4).flat_map(|calls| (0..4).map(move |answers| (calls, answers))) {
        let log = Memory::new();
        log.lose_calls(calls);
        log.lose_answers(answers);
        let end = apply(&log, &proposal("a", 40));
        assert_eq!(
            end, "Done: accepted: revision 0\n",
            "{calls} calls, {answers} answers"
        );
        assert_eq!(len(&log), 1);
    }
}
