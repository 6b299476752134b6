//! Writing decisions down and telling them.

use std::sync::Arc;

use dunlinward_kernel::event::Outcome;
use dunlinward_kernel::id;
use dunlinward_kernel::table::Table;
use dunlinward_kernel::verdict::{Failure, Verdict};

use super::{Driver, End, Entry};
use crate::explain::ring::{Deed, Failed, Record, Subject};
use crate::explain::{
    Answer, Customer, Detail, Id, Question, Request, STEPS, Stage, Step, Target, Unknown, Why,
};

impl Driver {
    /// Writes a decision down.
    pub(super) fn record(&mut self, subject: Subject, deed: Deed) {
        let at = self.tools.clock.now();
        self.ring.push(Record { at, subject, deed });
    }

    /// Writes a decision on a request that is here down.
    pub(super) fn record_of(&mut self, request: id::Request, deed: Deed) {
        if let Some(entry) = self.entries.get(&request) {
            self.record(entry.subject(), deed);
        }
    }

    /// Writes the end of an attempt down.
    pub(super) fn record_end(&mut self, end: &End) {
        let (units, failed) = match end.report.outcome {
            Outcome::Completed { units } => (units, None),
            Outcome::Failed {
                units,
                failure,
                verdict,
                ..
            } => (units, Some(Failed { failure, verdict })),
        };
        let deed = Deed::Ended {
            attempt: end.attempt,
            target: end.place,
            units: u32::try_from(units).unwrap_or(u32::MAX),
            failed,
        };
        self.record(end.subject, deed);
    }

    /// What is known here about the question.
    pub(super) fn explain(&self, question: &Question) -> Answer {
        let told = match question {
            Question::Request(id) => self.explain_request(id),
            Question::Customer(name) => self.explain_customer(name),
            Question::Target(name) => self.explain_target(name),
        };
        told.unwrap_or_else(Answer::Unknown)
    }

    fn explain_request(&self, text: &str) -> Result<Answer, Unknown> {
        let id = Id::parse(text).ok_or_else(|| self.unknown(Why::NoId))?;
        let settings = self.kernel.settings();
        if id.router != settings.name {
            return Err(Unknown {
                router: Some(id.router),
                ..self.unknown(Why::OtherRouter)
            });
        }
        if id.incarnation != settings.incarnation {
            return Err(self.unknown(Why::EarlierRun));
        }
        let request = id::Request(id.number);
        let entry = self.entries.get(&request);
        let records = self
            .ring
            .latest(usize::MAX, |record| record.subject.request == request);
        if entry.is_none() && records.is_empty() {
            return Err(self.unknown(Why::NoRecord));
        }
        let waiting = entry.filter(|entry| !entry.is_running());
        Ok(Answer::Request(Box::new(Request {
            instance: Arc::clone(&settings.name),
            request: id.to_string(),
            stage: stage(entry),
            age_ms: entry.map(|entry| self.age_ms(entry)),
            steps: self.steps(&records),
            accounts: waiting.map_or_else(Vec::new, |entry| self.accounts(&entry.call.customer)),
            targets: waiting.map_or_else(Vec::new, |entry| self.candidates(entry)),
        })))
    }

    fn explain_customer(&self, name: &str) -> Result<Answer, Unknown> {
        let table = self.kernel.table();
        let customer = table.and_then(|table| table.customer(name));
        let customer = customer.ok_or_else(|| self.unknown(Why::NoSuchName))?;
        let own = self
            .entries
            .values()
            .filter(|entry| entry.subject().customer == customer);
        let (running, waiting): (Vec<_>, Vec<_>) = own.partition(|entry| entry.is_running());
        let records = self
            .ring
            .latest(STEPS, |record| record.subject.customer == customer);
        Ok(Answer::Customer(Customer {
            instance: Arc::clone(&self.kernel.settings().name),
            customer: Arc::from(name),
            accounts: self.accounts(name),
            waiting: waiting.len(),
            running: running.len(),
            oldest_waiting_ms: waiting.iter().map(|entry| self.age_ms(entry)).max(),
            steps: self.steps(&records),
        }))
    }

    fn explain_target(&self, name: &str) -> Result<Answer, Unknown> {
        let unknown = || self.unknown(Why::NoSuchName);
        let table = self.kernel.table().ok_or_else(unknown)?;
        let at = table
            .targets
            .iter()
            .position(|row| row.live && *row.name == *name)
            .ok_or_else(unknown)?;
        let target = id::Target::new(at);
        let running = self
            .entries
            .values()
            .filter(|entry| entry.runs_at() == Some(target));
        let records = self
            .ring
            .latest(STEPS, |record| record.target() == Some(target));
        Ok(Answer::Target(Target {
            instance: Arc::clone(&self.kernel.settings().name),
            target: self.target(table, at),
            running: running.count(),
            steps: self.steps(&records),
        }))
    }

    fn unknown(&self, why: Why) -> Unknown {
        Unknown {
            instance: Arc::clone(&self.kernel.settings().name),
            unknown: why,
            router: None,
        }
    }

    fn age_ms(&self, entry: &Entry) -> u64 {
        let age = self.tools.clock.now().since(entry.subject().arrived);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    fn accounts(&self, customer: &str) -> Vec<crate::state::Customer> {
        let table = self.kernel.table();
        let mut all = table.map_or_else(Vec::new, |table| self.customers(table));
        all.retain(|account| *account.name == *customer);
        all
    }

    /// Targets that serve what a request names.
    fn candidates(&self, entry: &Entry) -> Vec<crate::state::Target> {
        let Some(table) = self.kernel.table() else {
            return Vec::new();
        };
        let arrival = &entry.arrival;
        let serves = table.targets.iter().enumerate().filter(|(_, row)| {
            let model = arrival
                .model
                .is_none_or(|model| row.models.contains(&model));
            row.live && model && row.services.contains(&arrival.service)
        });
        serves.map(|(at, _)| self.target(table, at)).collect()
    }

    fn steps(&self, records: &[&Record]) -> Vec<Step> {
        let Some(table) = self.kernel.table() else {
            return Vec::new();
        };
        let steps = records.iter().map(|record| self.tell(table, record));
        steps.collect()
    }

    fn tell(&self, table: &Table, record: &Record) -> Step {
        let settings = self.kernel.settings();
        let subject = &record.subject;
        let id = Id {
            router: Arc::clone(&settings.name),
            incarnation: settings.incarnation,
            number: subject.request.0,
        };
        let (step, detail) = told(table, record.deed);
        Step {
            at_ms: record.at.as_micros() / 1000,
            after_ms: (record.at.as_micros() - subject.arrived.as_micros()) / 1000,
            request: id.to_string(),
            customer: Arc::clone(&table.customers[subject.customer.row()].name),
            step,
            detail,
        }
    }
}

fn stage(entry: Option<&Entry>) -> Stage {
    match entry {
        None => Stage::Over,
        Some(entry) if entry.is_running() => Stage::Running,
        Some(_) => Stage::Waiting,
    }
}

/// A decision in words and names.
fn told(table: &Table, deed: Deed) -> (&'static str, Detail) {
    let target = |target: id::Target| Some(Arc::clone(&table.targets[target.row()].name));
    let none = Detail::default();
    match deed {
        Deed::Arrived { service } => {
            let service = Some(Arc::clone(&table.services[service.row()].name));
            ("arrived", Detail { service, ..none })
        }
        Deed::Queued => ("queued", none),
        Deed::Dispatched {
            attempt,
            target: at,
        } => {
            let detail = Detail {
                attempt: Some(attempt),
                target: target(at),
                ..none
            };
            ("dispatched", detail)
        }
        Deed::Ended {
            attempt,
            target: at,
            units,
            failed,
        } => {
            let detail = Detail {
                attempt: Some(attempt),
                target: target(at),
                end: Some(failed.map_or("whole", |failed| failed.failure.name())),
                verdict: failed.map(|failed| failed.verdict.name()),
                units: Some(units),
                ..none
            };
            ("ended", detail)
        }
        Deed::Retried { failure } => {
            let end = Some(failure.name());
            ("retried", Detail { end, ..none })
        }
        Deed::Refused {
            refusal,
            failure,
            verdict,
        } => {
            let detail = Detail {
                reason: Some(refusal.name()),
                end: failure.map(Failure::name),
                verdict: Some(Verdict::name(verdict)),
                ..none
            };
            ("refused", detail)
        }
        Deed::Left => ("left", none),
    }
}
