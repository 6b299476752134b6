//! The accepted configuration, as a fold over the log.
//!
//! Operators append whole files to one stream of the platform's log, and a file names the revision that it was
//! based on. Every reader applies the same rule in the order of the log: an [`Apply`] is accepted when its base is
//! the accepted revision and its text passes the checks; else it is void for good. The revision of an accepted
//! file is its offset. So of two racing operators the first in the log wins everywhere, a doubled append is void
//! because its own first copy moved the base, and no later record brings an old revision back.
//!
//! What is accepted at an offset is a function of the whole log before it, but records expire. Somebody who knows
//! the state therefore writes it down from time to time: a [`Restate`] says that revision N was accepted when its
//! author had read up to the offset `as_of`, exclusive. It is a fact about a prefix of the log, true whatever
//! happened between `as_of` and the record itself. A reader that knows its prefix learns nothing from it. A reader
//! that lacks one, because it started late or was away while records expired, holds the records it has read since,
//! starts from the statement and judges those from `as_of` on. If it hasn't read from `as_of` on, the statement is
//! of no use to it and it waits for the next one. Until then it keeps in force what it had and judges nothing.
//!
//! Routers pass the same [`Statement`] to each other, which serves those that started while the log was away. A
//! statement that reaches further than the receiver's own knowledge takes its place; its revision can't be lower,
//! as both are true of prefixes of one log.
//!
//! When every instance was away for longer than the log keeps records, nobody knows the accepted revision any
//! more. An operator's [`Reset`] ends that: it is accepted when nothing was accepted at or after its `as_of`. A
//! reader without knowledge can be sure of that when it holds all records since and none of them proposes a file.
//!
//! The checks on the text are part of the rule, so the record version stands for them also. A reader that meets a
//! newer version can't tell what came of the record. It treats it as a gap: it keeps what is in force, judges
//! nothing and waits for a statement from beyond.

mod due;
mod ledger;
mod record;

pub use due::{Schedule, Stated, due_by_count};
pub use ledger::{Accepted, Judgement, Ledger, Outcome, Reason};
pub use record::{Apply, Record, Reset, Restate, STREAM, Statement, Unreadable, VERSION};
