//! The fold itself.
//!
//! Invariants, of which the first three are what the property test checks:
//!
//! - `accepted` is the true state after the prefix `..known_to` of the log.
//! - `known_to` and the accepted revision never fall.
//! - Without a `tail`, `known_to` is also the next offset to read, so the reader can judge what comes.
//! - A `tail` holds every proposal from `tail.from` to `tail.next`, with no gap between.

use std::sync::Arc;

use super::record::{Apply, Record, Reset, Restate, Statement, Unreadable};
use crate::check::Report;
use crate::file::Config;

/// The accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Its revision: the offset of its record.
    pub revision: u64,
    /// Id of its proposal.
    pub id: Arc<str>,
    /// Who proposed it.
    pub author: Arc<str>,
    /// The file.
    pub text: Arc<str>,
    /// The file, parsed.
    pub config: Arc<Config>,
}

/// Why a proposal is void for every reader.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// It is no record.
    Malformed,
    /// It is a further copy of the accepted proposal.
    Doubled,
    /// It is not based on what was accepted.
    Superseded {
        /// What was accepted instead.
        accepted: Option<u64>,
    },
    /// Its text has errors.
    Text(Report),
}

/// What came of one proposal.
#[derive(Clone, Debug, PartialEq)]
pub struct Judgement {
    /// Offset of its record.
    pub offset: u64,
    /// Id of the proposal.
    pub id: Arc<str>,
    /// Why it is void; none when it was accepted.
    pub void: Option<Reason>,
}

/// What a record or a statement meant for the reader.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The record was a proposal and was judged.
    Judged(Judgement),
    /// The record is void as no reader can read it.
    Malformed,
    /// It is a proposal that the reader can't judge yet.
    Pending,
    /// A statement, or a reset, gave the reader its knowledge.
    Adopted {
        /// Proposals that were pending and are judged now.
        judged: Vec<Judgement>,
    },
    /// A statement gave a higher revision to a reader that still can't judge.
    InForce,
    /// A statement that reaches no further than what the reader knows.
    Known,
    /// A statement of no use, as the reader hasn't read from its `as_of` on.
    Useless,
    /// The record was read before.
    Seen,
    /// The record is newer than this reader, which can't judge from here on.
    Newer {
        /// Version of the record.
        version: u32,
    },
}

/// A proposal of either kind.
#[derive(Clone, Debug)]
enum Proposal {
    Apply(Apply),
    Reset(Reset),
}

/// What a reader without knowledge of its prefix has read.
#[derive(Clone, Debug)]
struct Tail {
    from: u64,
    next: u64,
    proposals: Vec<(u64, Proposal)>,
}

impl Tail {
    fn new(from: u64) -> Self {
        Self {
            from,
            next: from,
            proposals: Vec::new(),
        }
    }
}

/// One reader's knowledge of the accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accepted: Option<Accepted>,
    known_to: u64,
    stated_to: u64,
    tail: Option<Tail>,
}

impl Ledger {
    /// The knowledge before the first record of the log: nothing is accepted.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force, if any is known.
    #[must_use]
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// Whether the reader knows what is accepted after all that it read, and so can judge what comes.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.tail.is_none()
    }

    /// Offset to read next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.tail.as_ref().map_or(self.known_to, |tail| tail.next)
    }

    /// Highest `as_of` that the log is known to state; 0 without a statement.
    #[must_use]
    pub fn stated_to(&self) -> u64 {
        self.stated_to
    }

    /// What this reader knows, for the log or for a peer; none when nothing is accepted.
    #[must_use]
    pub fn statement(&self) -> Option<Statement> {
        self.accepted.as_ref().map(|accepted| Statement {
            revision: accepted.revision,
            as_of: self.known_to,
            apply_id: Arc::clone(&accepted.id),
            author: Arc::clone(&accepted.author),
            text: Arc::clone(&accepted.text),
        })
    }

    /// Notes the oldest retained offset; call it with each answer of the log, before reading its records.
    pub fn expire(&mut self, first: u64) {
        if first > self.next() {
            self.tail = Some(Tail::new(first));
        }
    }

    /// Reads the record at `offset`.
    pub fn read(&mut self, offset: u64, text: &str) -> Outcome {
        if offset < self.next() {
            return Outcome::Seen;
        }
        self.expire(offset);
        match Record::decode(text) {
            Err(Unreadable::Newer { version }) => {
                self.tail = Some(Tail::new(offset + 1));
                Outcome::Newer { version }
            }
            Err(Unreadable::Malformed) => {
                self.advance(offset);
                Outcome::Malformed
            }
            Ok(Record::Apply(apply)) => self.propose(offset, Proposal::Apply(apply)),
            Ok(Record::Reset(reset)) => self.propose(offset, Proposal::Reset(reset)),
            Ok(Record::Restate(restate)) => self.restate(offset, &restate),
        }
    }

    /// Takes over what a peer knows, if it reaches further than this reader's own knowledge.
    ///
    /// Afterwards [`Ledger::next`] may have moved on; records before it are not judged any more.
    pub fn adopt(&mut self, statement: &Statement) -> Outcome {
        if statement.revision >= statement.as_of {
            return Outcome::Malformed;
        }
        if statement.as_of <= self.known_to {
            return Outcome::Known;
        }
        if self
            .accepted
            .as_ref()
            .is_some_and(|own| own.revision > statement.revision)
        {
            // No prefix of this log can have this state.
            return Outcome::Malformed;
        }
        let Ok(config) = Config::parse(&statement.text) else {
            return Outcome::Malformed;
        };
        self.learn(Accepted {
            revision: statement.revision,
            id: Arc::clone(&statement.apply_id),
            author: Arc::clone(&statement.author),
            text: Arc::clone(&statement.text),
            config: Arc::new(config),
        });
        self.known_to = statement.as_of;
        self.replay()
    }

    fn advance(&mut self, offset: u64) {
        match &mut self.tail {
            Some(tail) => tail.next = offset + 1,
            None => self.known_to = offset + 1,
        }
    }

    fn propose(&mut self, offset: u64, proposal: Proposal) -> Outcome {
        self.advance(offset);
        let Some(tail) = &mut self.tail else {
            return Outcome::Judged(self.judge(offset, proposal));
        };
        if let Proposal::Reset(reset) = &proposal
            && is_certain(tail, reset, offset)
        {
            let known_to = tail.next;
            let judgement = self.judge(offset, proposal);
            if judgement.void.is_none() {
                self.known_to = known_to;
                self.tail = None;
                return Outcome::Adopted {
                    judged: vec![judgement],
                };
            }
            return Outcome::Judged(judgement);
        }
        tail.proposals.push((offset, proposal));
        Outcome::Pending
    }

    fn restate(&mut self, offset: u64, restate: &Restate) -> Outcome {
        self.advance(offset);
        let statement = &restate.statement;
        if statement.as_of > offset || statement.revision >= statement.as_of {
            return Outcome::Malformed;
        }
        let outcome = match &self.tail {
            None => Outcome::Known,
            Some(tail) if statement.as_of < tail.from => return Outcome::Useless,
            Some(_) => self.adopt(statement),
        };
        if outcome != Outcome::Malformed {
            self.stated_to = self.stated_to.max(statement.as_of);
        }
        outcome
    }

    /// Judges the pending proposals from `known_to` on, if none before them is missing.
    fn replay(&mut self) -> Outcome {
        let Some(tail) = self.tail.take() else {
            return Outcome::Adopted { judged: Vec::new() };
        };
        if self.known_to < tail.from {
            self.tail = Some(tail);
            return Outcome::InForce;
        }
        let known_to = self.known_to;
        let pending = tail
            .proposals
            .into_iter()
            .filter(|(offset, _)| *offset >= known_to);
        let judged = pending
            .map(|(offset, proposal)| self.judge(offset, proposal))
            .collect();
        self.known_to = known_to.max(tail.next);
        Outcome::Adopted { judged }
    }

    /// The rule that every reader applies.
    fn judge(&mut self, offset: u64, proposal: Proposal) -> Judgement {
        let is_based = self.is_based(offset, &proposal);
        let (id, author, text) = match proposal {
            Proposal::Apply(Apply {
                id, author, text, ..
            })
            | Proposal::Reset(Reset {
                id, author, text, ..
            }) => (id, author, text),
        };
        let void = |reason| Judgement {
            offset,
            id: Arc::clone(&id),
            void: Some(reason),
        };
        if self.accepted.as_ref().is_some_and(|own| own.id == id) {
            return void(Reason::Doubled);
        }
        if !is_based {
            let accepted = self.accepted.as_ref().map(|own| own.revision);
            return void(Reason::Superseded { accepted });
        }
        let config = match Config::parse(&text) {
            Ok(config) => Arc::new(config),
            Err(report) => return void(Reason::Text(report)),
        };
        let judgement = Judgement {
            offset,
            id: Arc::clone(&id),
            void: None,
        };
        self.learn(Accepted {
            revision: offset,
            id,
            author,
            text,
            config,
        });
        judgement
    }

    fn is_based(&self, offset: u64, proposal: &Proposal) -> bool {
        let accepted = self.accepted.as_ref().map(|own| own.revision);
        match proposal {
            Proposal::Apply(apply) => apply.base == accepted,
            Proposal::Reset(reset) => reset.as_of <= offset && accepted < Some(reset.as_of),
        }
    }

    /// Puts `accepted` in force, unless its revision is in force already.
    fn learn(&mut self, accepted: Accepted) {
        if self
            .accepted
            .as_ref()
            .is_none_or(|own| own.revision < accepted.revision)
        {
            self.accepted = Some(accepted);
        }
    }
}

/// Whether a reader that doesn't know what is accepted can be sure that nothing was since `reset.as_of`.
fn is_certain(tail: &Tail, reset: &Reset, offset: u64) -> bool {
    let unseen = reset.as_of < tail.from || reset.as_of > offset;
    !unseen
        && tail
            .proposals
            .iter()
            .all(|(offset, _)| *offset < reset.as_of)
}
