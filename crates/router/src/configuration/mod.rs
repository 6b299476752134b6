//! The accepted configuration: from the log or a peer into force.
//!
//! [`Keeper`] holds this router's ledger of the log's configuration stream. What
//! the reader reads ([`reader`]) and what peers state both go into it, and
//! whenever the accepted revision rises the new tables go to the driver first
//! and to the callers' threads after. The ledger lets no revision fall, so
//! nothing reverts, whichever way a configuration comes.

pub(crate) mod reader;
mod spec;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dunlinward_config::revision::{Ledger, Outcome, Record, Restate};
use dunlinward_kernel::event::Event;
use dunlinward_kernel::table::Table;

use crate::current::{Cell, Current};
use crate::driver::Input;
use crate::metrics::Metrics;

#[derive(Debug, Default)]
struct Kept {
    ledger: Ledger,
    table: Option<Arc<Table>>,
    leaving: BTreeSet<Arc<str>>,
}

/// What one router knows of the configuration.
#[derive(Debug)]
pub(crate) struct Keeper {
    kept: Mutex<Kept>,
    cell: Arc<Cell>,
    driver: Sender<Input>,
    metrics: Arc<Metrics>,
}

impl Keeper {
    /// A keeper that knows nothing.
    pub fn new(cell: Arc<Cell>, driver: Sender<Input>, metrics: Arc<Metrics>) -> Self {
        Self {
            kept: Mutex::default(),
            cell,
            driver,
            metrics,
        }
    }

    /// Offset to read next.
    pub fn next(&self) -> u64 {
        self.lock().ledger.next()
    }

    /// The accepted revision.
    pub fn revision(&self) -> Option<u64> {
        self.lock().ledger.accepted().map(|own| own.revision)
    }

    /// Highest offset up to which the log is known to state the accepted revision.
    pub fn stated_to(&self) -> u64 {
        self.lock().ledger.stated_to()
    }

    /// Reads what the log answered: its oldest offset, then records.
    pub fn read<'a>(&self, first: u64, records: impl Iterator<Item = (u64, &'a str)>) {
        let mut kept = self.lock();
        kept.ledger.expire(first);
        for (offset, text) in records {
            let outcome = kept.ledger.read(offset, text);
            self.note(&outcome);
        }
        self.enforce(&mut kept);
    }

    /// Takes over what a peer states.
    pub fn adopt(&self, text: &str) {
        let Ok(Record::Restate(restate)) = Record::decode(text) else {
            self.metrics.undecoded();
            return;
        };
        let mut kept = self.lock();
        let outcome = kept.ledger.adopt(&restate.statement);
        self.note(&outcome);
        self.enforce(&mut kept);
    }

    /// The statement of the accepted configuration, when its revision is newer.
    pub fn newer_than(&self, revision: Option<u64>) -> Option<String> {
        let newer = self.revision() > revision;
        if newer { self.statement("peer") } else { None }
    }

    /// The statement of the accepted configuration, as a record with an id.
    pub fn statement(&self, id: &str) -> Option<String> {
        let statement = self.lock().ledger.statement()?;
        let restate = Restate {
            id: Arc::from(id),
            statement,
        };
        match Record::Restate(restate).encode() {
            Ok(text) => Some(text),
            Err(err) => {
                log::error!("a statement cannot be written: {err}");
                None
            }
        }
    }

    /// The statement to append to the log again; nothing while this router has
    /// missed records of the log, since readers have no use for it then.
    pub fn restatement(&self, id: &str) -> Option<String> {
        let current = self.lock().ledger.is_current();
        current.then(|| self.statement(id)).flatten()
    }

    /// Notes which targets the platform lists as leaving.
    pub fn leave(&self, leaving: BTreeSet<Arc<str>>) {
        let mut kept = self.lock();
        if kept.leaving != leaving {
            kept.leaving = leaving;
            self.rebuild(&mut kept);
        }
    }

    fn note(&self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Judged(judgement) => match &judgement.void {
                None => "accepted",
                Some(reason) => {
                    log::warn!("the proposal {} is void: {reason:?}", judgement.id);
                    "void"
                }
            },
            Outcome::Malformed => "malformed",
            Outcome::Pending => "pending",
            Outcome::Adopted { .. } => "adopted",
            Outcome::InForce => "in_force",
            Outcome::Known => "known",
            Outcome::Useless => "useless",
            Outcome::Seen => "seen",
            Outcome::Newer { .. } => "newer",
        };
        self.metrics.record(name);
    }

    /// Puts the accepted revision in force when it has risen.
    fn enforce(&self, kept: &mut Kept) {
        let accepted = kept.ledger.accepted().map(|own| own.revision);
        let in_force = kept.table.as_ref().map(|table| table.revision);
        if accepted > in_force {
            self.rebuild(kept);
            log::info!("revision {accepted:?} is in force");
        }
    }

    fn rebuild(&self, kept: &mut Kept) {
        let Some(accepted) = kept.ledger.accepted() else {
            return;
        };
        let spec = spec::new(&accepted.config, accepted.revision, &kept.leaving);
        let table = Arc::new(match &kept.table {
            Some(previous) => Table::with_previous(previous, &spec),
            None => Table::new(&spec),
        });
        let current = Current {
            revision: accepted.revision,
            config: Arc::clone(&accepted.config),
            table: Arc::clone(&table),
        };
        kept.table = Some(Arc::clone(&table));
        // A driver that is gone needs no table.
        let _ = self.driver.send(Input::Event(Event::Configured(table)));
        self.cell.set(current);
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
