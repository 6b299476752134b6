//! A log with everything that may happen to it, its readers, and a naive reading of the whole log beside them.

use std::fmt;

use crate::sample::file;
use dunlinward_config::revision::{
    Apply, Judgement, Ledger, Outcome, Record, Reset, Restate, Statement,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const READERS: usize = 5;

/// What the naive reading holds after a prefix.
#[derive(Clone, Debug, PartialEq)]
struct State {
    revision: u64,
    id: String,
    text: String,
}

/// How often the cases came up that the test is about.
#[derive(Default)]
pub struct Figures {
    records: usize,
    accepted: usize,
    expired: u64,
    restarts: usize,
    gaps: usize,
    adopted: usize,
    judged_late: usize,
    reset_adopted: usize,
    useless: usize,
    from_peers: usize,
    in_force: usize,
    reset_at_the_end: usize,
}

impl Figures {
    pub fn add(&mut self, other: &Self) {
        self.records += other.records;
        self.accepted += other.accepted;
        self.expired += other.expired;
        self.restarts += other.restarts;
        self.gaps += other.gaps;
        self.adopted += other.adopted;
        self.judged_late += other.judged_late;
        self.reset_adopted += other.reset_adopted;
        self.useless += other.useless;
        self.from_peers += other.from_peers;
        self.in_force += other.in_force;
        self.reset_at_the_end += other.reset_at_the_end;
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "records appended: {}", self.records)?;
        writeln!(f, "proposals accepted: {}", self.accepted)?;
        writeln!(f, "records expired: {}", self.expired)?;
        writeln!(f, "readers restarted: {}", self.restarts)?;
        writeln!(f, "gaps met by readers: {}", self.gaps)?;
        writeln!(f, "knowledge from a statement in the log: {}", self.adopted)?;
        writeln!(f, "proposals judged after waiting: {}", self.judged_late)?;
        writeln!(f, "knowledge from a reset: {}", self.reset_adopted)?;
        writeln!(f, "useless statements: {}", self.useless)?;
        writeln!(f, "knowledge from a peer: {}", self.from_peers)?;
        writeln!(f, "file from a peer without knowledge: {}", self.in_force)?;
        writeln!(
            f,
            "worlds in which nobody knew at the end: {}",
            self.reset_at_the_end
        )
    }
}

pub struct World {
    rng: Pcg64Mcg,
    log: Vec<String>,
    /// Oldest retained offset.
    first: usize,
    /// State after each prefix; one longer than the log.
    truth: Vec<Option<State>>,
    readers: Vec<Ledger>,
    /// Appends on their way, and copies of those whose answer was lost.
    in_flight: Vec<Record>,
    /// Statements that peers sent some time ago.
    sent: Vec<Statement>,
    ids: u32,
    pub figures: Figures,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            log: Vec::new(),
            first: 0,
            truth: vec![None],
            readers: vec![Ledger::new(); READERS],
            in_flight: Vec::new(),
            sent: Vec::new(),
            ids: 0,
            figures: Figures::default(),
        }
    }

    pub fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..20 => self.propose(),
            20..21 => self.reset(),
            21..32 => self.restate(),
            32..48 => self.land(),
            48..52 => self.expire(),
            52..88 => self.catch_up(),
            88..92 => self.restart(),
            92..94 => self.send(),
            94..98 => self.adopt(),
            _ => self.append_text("noise".to_owned()),
        }
    }

    /// Everything in flight lands, somebody states what is accepted, and every reader must come to know it.
    pub fn settle(&mut self) {
        while !self.in_flight.is_empty() {
            self.land();
        }
        for reader in 0..READERS {
            self.read(reader, usize::MAX);
        }
        let knows = |reader: &&Ledger| reader.is_current() && reader.accepted().is_some();
        let statement = self.readers.iter().find(knows).and_then(Ledger::statement);
        let record = if let Some(statement) = statement {
            Record::Restate(Restate {
                id: self.id(),
                statement,
            })
        } else {
            self.figures.reset_at_the_end += 1;
            self.reset_record(self.log.len())
        };
        self.append(&record);
        for reader in 0..READERS {
            self.read(reader, usize::MAX);
            assert!(self.readers[reader].is_current());
            assert_eq!(self.readers[reader].next(), self.log.len() as u64);
            assert!(self.readers[reader].accepted().is_some());
        }
    }

    fn id(&mut self) -> std::sync::Arc<str> {
        self.ids += 1;
        format!("id-{}", self.ids).into()
    }

    fn text(&mut self) -> String {
        if self.rng.random_bool(0.1) {
            "[fleet".to_owned()
        } else {
            file(self.ids + 1)
        }
    }

    /// An offset of late, such as a slow operator still believes in.
    fn recent(&mut self) -> usize {
        let len = self.log.len();
        if self.rng.random_bool(0.7) {
            return len;
        }
        self.rng.random_range(len.saturating_sub(8)..=len)
    }

    fn propose(&mut self) {
        let seen = self.recent();
        let base = self.truth[seen].as_ref().map(|state| state.revision);
        let (id, text) = (self.id(), self.text().into());
        self.send_off(Record::Apply(Apply {
            id,
            base,
            author: "ann".into(),
            text,
        }));
    }

    fn reset(&mut self) {
        let as_of = self.recent();
        let record = self.reset_record(as_of);
        self.send_off(record);
    }

    fn reset_record(&mut self, as_of: usize) -> Record {
        let (id, text) = (self.id(), file(self.ids + 1).into());
        Record::Reset(Reset {
            id,
            as_of: as_of as u64,
            author: "bo".into(),
            text,
        })
    }

    fn restate(&mut self) {
        let reader = self.rng.random_range(0..READERS);
        if let Some(statement) = self.readers[reader].statement() {
            let id = self.id();
            self.send_off(Record::Restate(Restate { id, statement }));
        }
    }

    /// An append lands now, later or not at all, and perhaps again.
    fn send_off(&mut self, record: Record) {
        if self.rng.random_bool(0.6) {
            self.append(&record);
            if self.rng.random_bool(0.2) {
                self.in_flight.push(record);
            }
        } else {
            self.in_flight.push(record);
        }
    }

    fn land(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let record = self.in_flight.swap_remove(index);
        if self.rng.random_bool(0.9) {
            self.append(&record);
        }
    }

    fn append(&mut self, record: &Record) {
        let offset = self.log.len() as u64;
        let before = self.truth.last().unwrap().clone();
        let after = naive(before.as_ref(), offset, record);
        self.figures.accepted += usize::from(before != after);
        self.log.push(record.encode().unwrap());
        self.truth.push(after);
        self.figures.records += 1;
    }

    fn append_text(&mut self, text: String) {
        self.log.push(text);
        self.truth.push(self.truth.last().unwrap().clone());
        self.figures.records += 1;
    }

    fn expire(&mut self) {
        let some = self.rng.random_range(self.first..=self.log.len());
        let first = if self.rng.random_bool(0.1) {
            some
        } else {
            some.min(self.first + 6)
        };
        self.figures.expired += (first - self.first) as u64;
        self.first = first;
    }

    fn catch_up(&mut self) {
        let reader = self.rng.random_range(0..READERS);
        let count = self.rng.random_range(1..12);
        self.read(reader, count);
    }

    fn read(&mut self, reader: usize, count: usize) {
        let was_current = self.readers[reader].is_current();
        self.readers[reader].expire(self.first as u64);
        if was_current && !self.readers[reader].is_current() {
            self.figures.gaps += 1;
        }
        // The log may hand out some records again.
        let again = self.rng.random_range(0..3);
        let next = usize::try_from(self.readers[reader].next()).unwrap();
        let from = next.saturating_sub(again).max(self.first);
        let end = next.saturating_add(count).min(self.log.len());
        for offset in from..end {
            let before = self.readers[reader].accepted().cloned();
            let outcome = self.readers[reader].read(offset as u64, &self.log[offset]);
            assert_eq!(outcome == Outcome::Seen, offset < next);
            self.weigh(offset, &outcome);
            self.check(reader, before.map(|accepted| accepted.revision));
        }
    }

    fn weigh(&mut self, offset: usize, outcome: &Outcome) {
        match outcome {
            Outcome::Judged(judgement) => {
                assert_eq!(judgement.offset, offset as u64);
                self.check_judgement(judgement);
            }
            Outcome::Adopted { judged } => {
                self.check_judgements(judged);
                if judged
                    .last()
                    .is_some_and(|last| last.offset == offset as u64)
                {
                    self.figures.reset_adopted += 1;
                } else {
                    self.figures.adopted += 1;
                    self.figures.judged_late += judged.len();
                }
            }
            Outcome::Useless => self.figures.useless += 1,
            Outcome::Malformed => assert_eq!(self.log[offset], "noise"),
            _ => {}
        }
    }

    fn check_judgements(&self, judged: &[Judgement]) {
        for judgement in judged {
            self.check_judgement(judgement);
        }
    }

    /// A judgement is that of the whole log.
    fn check_judgement(&self, judgement: &Judgement) {
        let offset = usize::try_from(judgement.offset).unwrap();
        let accepted = self.truth[offset] != self.truth[offset + 1];
        assert_eq!(judgement.void.is_none(), accepted, "at {offset}");
    }

    /// What a reader holds is true of the prefix that it claims to know, and no older than before.
    fn check(&self, reader: usize, before: Option<u64>) {
        let ledger = &self.readers[reader];
        let accepted = ledger.accepted().map(|accepted| accepted.revision);
        assert!(
            accepted >= before,
            "went back from {before:?} to {accepted:?}"
        );
        if let Some(statement) = ledger.statement() {
            let known = &self.truth[usize::try_from(statement.as_of).unwrap()];
            let held = State {
                revision: statement.revision,
                id: statement.apply_id.to_string(),
                text: statement.text.to_string(),
            };
            assert_eq!(known.as_ref(), Some(&held));
        }
        if ledger.is_current() {
            let known = &self.truth[usize::try_from(ledger.next()).unwrap()];
            assert_eq!(known.as_ref().map(|state| state.revision), accepted);
        }
    }

    fn restart(&mut self) {
        let reader = self.rng.random_range(0..READERS);
        self.readers[reader] = Ledger::new();
        self.figures.restarts += 1;
    }

    fn send(&mut self) {
        let reader = self.rng.random_range(0..READERS);
        self.sent.extend(self.readers[reader].statement());
    }

    fn adopt(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let reader = self.rng.random_range(0..READERS);
        let sent = self.rng.random_range(0..self.sent.len());
        let before = self.readers[reader]
            .accepted()
            .map(|accepted| accepted.revision);
        match self.readers[reader].adopt(&self.sent[sent]) {
            Outcome::Adopted { judged } => {
                self.check_judgements(&judged);
                self.figures.from_peers += 1;
            }
            Outcome::InForce => self.figures.in_force += 1,
            Outcome::Known => {}
            other => panic!("a true statement gave {other:?}"),
        }
        self.check(reader, before);
    }
}

/// The rule, read over the whole log without any of the ledger's cases.
fn naive(before: Option<&State>, offset: u64, record: &Record) -> Option<State> {
    let (id, text, based) = match record {
        Record::Apply(apply) => (
            &apply.id,
            &apply.text,
            apply.base == before.map(|state| state.revision),
        ),
        Record::Reset(reset) => (
            &reset.id,
            &reset.text,
            before.is_none_or(|state| state.revision < reset.as_of),
        ),
        Record::Restate(_) => return before.cloned(),
    };
    let doubled = before.is_some_and(|state| *state.id == **id);
    if !based || doubled || &**text == "[fleet" {
        return before.cloned();
    }
    Some(State {
        revision: offset,
        id: id.to_string(),
        text: text.to_string(),
    })
}
