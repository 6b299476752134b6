//! Follows the configuration stream as every router does, and remembers what came of each proposal.

use std::sync::Arc;

use dunlinward_config::revision::{Accepted, Apply, Judgement, Ledger, Outcome, Record, Reset};
use dunlinward_platform::Error;
use dunlinward_platform::log::{Log, Query};

/// A proposal that the log still holds.
struct Proposal {
    id: Arc<str>,
    text: Arc<str>,
}

/// A reader of the stream.
pub struct Follower<'a> {
    log: &'a dyn Log,
    stream: &'a str,
    ledger: Ledger,
    proposals: Vec<Proposal>,
    judgements: Vec<Judgement>,
}

impl<'a> Follower<'a> {
    /// A reader of `stream` that has read nothing.
    #[must_use]
    pub fn new(log: &'a dyn Log, stream: &'a str) -> Self {
        let ledger = Ledger::new();
        Self {
            log,
            stream,
            ledger,
            proposals: Vec::new(),
            judgements: Vec::new(),
        }
    }

    /// Reads to the present end of the log.
    ///
    /// # Errors
    /// The log can't be read; what was read before is kept.
    pub fn catch_up(&mut self) -> Result<(), Error> {
        loop {
            let page = self.log.read(self.stream, Query::new(self.ledger.next()))?;
            self.ledger.expire(page.first);
            for record in &page.records {
                self.read(record.offset, &record.data);
            }
            if page.records.is_empty() || self.ledger.next() >= page.next {
                return Ok(());
            }
        }
    }

    /// The accepted configuration, as far as the log tells.
    #[must_use]
    pub fn accepted(&self) -> Option<&Accepted> {
        self.ledger.accepted()
    }

    /// Whether the log tells what is accepted.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.ledger.is_current()
    }

    /// Offset after the last one read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.ledger.next()
    }

    /// What came of the proposal `id`: its acceptance if any copy was accepted, else the first judgement.
    #[must_use]
    pub fn judgement(&self, id: &str) -> Option<&Judgement> {
        let mut own = self
            .judgements
            .iter()
            .filter(|judgement| &*judgement.id == id);
        let accepted = own.clone().find(|judgement| judgement.void.is_none());
        accepted.or_else(|| own.next())
    }

    /// Whether a proposal `id` is in the log, judged or not.
    #[must_use]
    pub fn has_seen(&self, id: &str) -> bool {
        self.proposals.iter().any(|proposal| &*proposal.id == id)
    }

    /// The last revision at which exactly `text` was accepted, if the log still tells.
    #[must_use]
    pub fn revision_of(&self, text: &str) -> Option<u64> {
        let accepted = self
            .judgements
            .iter()
            .rev()
            .filter(|judgement| judgement.void.is_none());
        let mut same = accepted.filter(|judgement| self.text_of(&judgement.id) == Some(text));
        same.next().map(|judgement| judgement.offset)
    }

    fn text_of(&self, id: &str) -> Option<&str> {
        let proposal = self.proposals.iter().find(|proposal| &*proposal.id == id);
        proposal.map(|proposal| &*proposal.text)
    }

    fn read(&mut self, offset: u64, data: &str) {
        if offset >= self.ledger.next()
            && let Ok(Record::Apply(Apply { id, text, .. }) | Record::Reset(Reset { id, text, .. })) =
                Record::decode(data)
        {
            self.proposals.push(Proposal { id, text });
        }
        match self.ledger.read(offset, data) {
            Outcome::Judged(judgement) => self.judgements.push(judgement),
            Outcome::Adopted { judged } => self.judgements.extend(judged),
            _ => {}
        }
    }
}
