//! Statements in time: while some reader lives, a reader that starts now learns the accepted revision from the log.

mod sample;

use std::time::Duration;

use dunlinward_config::revision::{Apply, Ledger, Record, Restate, Schedule, Stated};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sample::file;

const RETENTION: Duration = Duration::from_secs(6400);
const STEP: Duration = Duration::from_secs(50);
const STEPS: u32 = 512;
const READERS: usize = 3;
const SEEDS: u64 = 3;

/// A log that keeps records for a time.
#[derive(Default)]
struct Log {
    first: usize,
    records: Vec<(Duration, String)>,
}

impl Log {
    fn append(&mut self, now: Duration, record: &Record) {
        self.records.push((now, record.encode().unwrap()));
    }

    fn expire(&mut self, now: Duration) {
        let old = |record: &(Duration, String)| record.0 + RETENTION <= now;
        while self.records.get(self.first).is_some_and(old) {
            self.first += 1;
        }
    }

    fn read(&self, ledger: &mut Ledger) {
        ledger.expire(self.first as u64);
        let from = usize::try_from(ledger.next()).unwrap();
        for (offset, (_, text)) in self.records.iter().enumerate().skip(from) {
            ledger.read(offset as u64, text);
        }
    }
}

/// A reader that keeps the log stated, as a router does.
struct Reader {
    ledger: Ledger,
    stated_to: u64,
    stated: Stated,
    is_new: bool,
}

impl Reader {
    fn new(now: Duration) -> Self {
        let stated = Stated {
            at: now,
            live: false,
        };
        Self {
            ledger: Ledger::new(),
            stated_to: 0,
            stated,
            is_new: true,
        }
    }

    /// Reads to the end; gives the statement that is due.
    fn turn(&mut self, log: &Log, now: Duration, rank: u32) -> Option<Record> {
        log.read(&mut self.ledger);
        if self.ledger.stated_to() > self.stated_to {
            self.stated_to = self.ledger.stated_to();
            self.stated = Stated {
                at: now,
                live: !self.is_new,
            };
        }
        self.is_new = false;
        let due = Schedule::new(RETENTION)
            .with_rank(rank)
            .is_due(now, self.stated);
        let statement = self
            .ledger
            .statement()
            .filter(|_| due && self.ledger.is_current())?;
        Some(Record::Restate(Restate {
            id: "statement".into(),
            statement,
        }))
    }
}

/// Runs one fleet; gives the statements written.
fn run(seed: u64, replaced: f64) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut log = Log::default();
    let mut readers: Vec<_> = (0..READERS).map(|_| Reader::new(Duration::ZERO)).collect();
    let mut statements = 0;
    for step in 0..STEPS {
        let now = STEP * step;
        log.expire(now);
        if step == 0 || rng.random_bool(0.003) {
            let base = readers[0]
                .ledger
                .accepted()
                .map(|accepted| accepted.revision);
            let id = format!("apply-{step}").into();
            let text = file(step + 1).into();
            log.append(
                now,
                &Record::Apply(Apply {
                    id,
                    base,
                    author: "ann".into(),
                    text,
                }),
            );
        }
        for (reader, rank) in readers.iter_mut().zip(0..) {
            if let Some(record) = reader.turn(&log, now, rank) {
                log.append(now, &record);
                statements += 1;
            }
        }
        let mut fresh = Ledger::new();
        log.read(&mut fresh);
        assert!(fresh.is_current(), "seed {seed}, step {step}");
        assert!(fresh.accepted().is_some(), "seed {seed}, step {step}");
        for reader in &mut readers {
            if rng.random_bool(replaced) {
                *reader = Reader::new(now);
            }
        }
    }
    statements
}

#[test]
fn a_reader_that_starts_at_any_time_learns_the_accepted_revision() {
    let mut lines = Vec::new();
    for replaced in [0.0, 0.001, 0.01, 0.1, 1.0] {
        let statements: usize = (0..SEEDS).map(|seed| run(seed, replaced)).sum();
        lines.push(format!(
            "replaced in a step with {replaced}: {statements} statements"
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
