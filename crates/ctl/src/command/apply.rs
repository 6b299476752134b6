//! `dunlinctl apply FILE`: proposes a file and tells what came of it.
//!
//! The command reads the log, bases its proposal on what is accepted there, appends it and reads on until its own
//! proposal is judged, by the rule that every router applies. An append whose answer was lost may be in the log:
//! the command looks, and appends again with the same id only when it isn't there, as a second copy is void
//! whenever the first one counts. When the time is over and nothing is certain it says so.
//!
//! It can be run again after any end. A file that is in force is not proposed again. A file that was accepted
//! earlier and then replaced isn't either, unless asked for: it may have been the first run, whose answer was lost
//! before another operator applied the next file.

mod end;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dunlinward_config::Config;
use dunlinward_config::diff;
use dunlinward_config::revision::{Apply, Reason, Record, Reset};
use dunlinward_platform::Error as PlatformError;
use dunlinward_platform::Verdict;
use dunlinward_platform::log::Log;
use rand::Rng;
use snafu::ResultExt;

use super::{check, file_arg, file_of, log_args, log_of, millis_of, stream_of, text_of};
use crate::clock::{Clock, System};
use crate::error::{Error, RecordSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::follower::Follower;

pub use end::{End, print};

/// Default for the time until the command gives up, in milliseconds.
const WAIT_MS: &str = "15000";
/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(200);

/// The command line.
pub(super) fn command() -> Command {
    let author = Arg::new("author")
        .long("author")
        .env("DUNLINCTL_AUTHOR")
        .value_name("NAME")
        .default_value("operator")
        .help("Who applies the file");
    let wait = Arg::new("wait")
        .long("wait-ms")
        .env("DUNLINCTL_WAIT_MS")
        .value_name("MS")
        .default_value(WAIT_MS)
        .value_parser(value_parser!(u64))
        .help("Time until the command gives up");
    let again = Arg::new("again")
        .long("again")
        .action(ArgAction::SetTrue)
        .help("Apply a file that was accepted earlier and has been replaced since");
    let reset = Arg::new("reset")
        .long("reset")
        .action(ArgAction::SetTrue)
        .help("Apply the file though the log no longer tells which revision is accepted");
    Command::new("apply")
        .about("Applies a file and tells what came of it")
        .arg(file_arg())
        .args(log_args())
        .args([author, wait, again, reset])
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let path = file_of(matches);
    let text = text_of(path)?;
    let Some(config) = check::read(path, &text, out)? else {
        return Ok(Exit::Problems);
    };
    let author = matches
        .get_one::<String>("author")
        .expect("the author has a default");
    let id = format!("{:032x}", rand::rng().random::<u128>());
    let mut proposal = Proposal::new(&id, author, &text, config);
    proposal.again = matches.get_flag("again");
    proposal.reset = matches.get_flag("reset");
    let log = log_of(matches);
    let clock = System::new();
    let mut attempt = Attempt::new(&log, &clock, stream_of(matches), &proposal);
    let end = attempt.run(millis_of(matches, "wait"))?;
    print(&end, out).context(WriteSnafu)?;
    Ok(end.exit())
}

/// What is to be applied.
#[derive(Clone, Debug)]
pub struct Proposal {
    id: Arc<str>,
    author: Arc<str>,
    text: Arc<str>,
    config: Config,
    /// Whether a file may come back that was accepted earlier.
    pub again: bool,
    /// Whether to propose without knowing what is accepted.
    pub reset: bool,
}

impl Proposal {
    /// Proposal of `text`, of which `config` is the parsed form, with a unique `id`.
    #[must_use]
    pub fn new(id: &str, author: &str, text: &str, config: Config) -> Self {
        let (id, author, text) = (id.into(), author.into(), text.into());
        Self {
            id,
            author,
            text,
            config,
            again: false,
            reset: false,
        }
    }
}

/// How far the append has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Surely not in the log.
    Unsent,
    /// Perhaps in the log.
    Doubtful,
    /// Surely in the log.
    Appended,
}

/// One run of the command against a log.
pub struct Attempt<'a> {
    log: &'a dyn Log,
    clock: &'a dyn Clock,
    stream: &'a str,
    proposal: &'a Proposal,
    follower: Follower<'a>,
}

impl<'a> Attempt<'a> {
    /// An attempt to apply `proposal` to `stream`.
    #[must_use]
    pub fn new(
        log: &'a dyn Log,
        clock: &'a dyn Clock,
        stream: &'a str,
        proposal: &'a Proposal,
    ) -> Self {
        let follower = Follower::new(log, stream);
        Self {
            log,
            clock,
            stream,
            proposal,
            follower,
        }
    }

    /// Applies the proposal and follows the log until it is judged, for at most `wait` and the last calls.
    ///
    /// # Errors
    /// The record can't be made.
    pub fn run(&mut self, wait: Duration) -> Result<End, Error> {
        let deadline = self.clock.now() + wait;
        while let Err(cause) = self.follower.catch_up() {
            if !self.pause(deadline) {
                return Ok(End::Unavailable { cause });
            }
        }
        if let Some(end) = self.needless() {
            return Ok(end);
        }
        let base = self
            .follower
            .accepted()
            .map(|accepted| Arc::clone(&accepted.config));
        let data = self.record().encode().context(RecordSnafu)?;
        Ok(self.push(&data, base.as_deref(), deadline))
    }

    /// The end, if there is nothing to append.
    fn needless(&self) -> Option<End> {
        let proposal = self.proposal;
        if !self.follower.is_current() {
            return (!proposal.reset).then_some(End::Untold);
        }
        let accepted = self.follower.accepted()?;
        let by = accepted.revision;
        if *accepted.config == proposal.config {
            return Some(End::Unchanged { revision: by });
        }
        let earlier = self
            .follower
            .revision_of(&proposal.text)
            .filter(|_| !proposal.again)?;
        Some(End::Replaced {
            revision: earlier,
            by,
        })
    }

    fn record(&self) -> Record {
        let Proposal {
            id, author, text, ..
        } = self.proposal.clone();
        if self.follower.is_current() {
            let base = self.follower.accepted().map(|accepted| accepted.revision);
            return Record::Apply(Apply {
                id,
                base,
                author,
                text,
            });
        }
        Record::Reset(Reset {
            id,
            as_of: self.follower.next(),
            author,
            text,
        })
    }

    /// Appends `data`, again if it surely isn't there, until it is judged.
    fn push(&mut self, data: &str, base: Option<&Config>, deadline: Duration) -> End {
        let mut stage = Stage::Unsent;
        let mut must_append = true;
        let mut last = None;
        loop {
            if must_append {
                match self.log.append(self.stream, data) {
                    Ok(_) => stage = Stage::Appended,
                    Err(cause) if cause.verdict() == Verdict::MayHaveBeenDone => {
                        stage = Stage::Doubtful;
                    }
                    Err(cause @ (PlatformError::Refused { .. } | PlatformError::Stream { .. }))
                        if stage == Stage::Unsent =>
                    {
                        return End::Unavailable { cause };
                    }
                    Err(cause) => last = Some(cause),
                }
            }
            let read = self.follower.catch_up();
            if let Some(end) = self.conclude(base) {
                return end;
            }
            let there = stage == Stage::Appended || self.follower.has_seen(&self.proposal.id);
            // Without a look at the log, a doubtful append may be there.
            must_append = !there && (stage == Stage::Unsent || read.is_ok());
            if !self.pause(deadline) {
                return match last {
                    Some(cause) if stage == Stage::Unsent => End::Unavailable { cause },
                    _ => End::Unknown,
                };
            }
        }
    }

    /// The end, if the log tells it.
    fn conclude(&self, base: Option<&Config>) -> Option<End> {
        let id = &self.proposal.id;
        if let Some(own) = self
            .follower
            .accepted()
            .filter(|accepted| accepted.id == *id)
        {
            return Some(End::Accepted {
                revision: own.revision,
            });
        }
        let judgement = self.follower.judgement(id)?;
        Some(match &judgement.void {
            None => End::Accepted {
                revision: judgement.offset,
            },
            Some(Reason::Text(report)) => End::Void {
                report: report.clone(),
            },
            Some(Reason::Superseded { .. } | Reason::Doubled | Reason::Malformed) => {
                self.superseded(base)
            }
        })
    }

    /// The present revision and what it changed since `base`.
    fn superseded(&self, base: Option<&Config>) -> End {
        let Some(accepted) = self.follower.accepted() else {
            return End::Unknown;
        };
        let changes = base
            .map(|base| diff::changes(base, &accepted.config))
            .unwrap_or_default();
        End::Superseded {
            by: accepted.revision,
            changes,
        }
    }

    /// Waits a little; false when the time is over.
    fn pause(&self, deadline: Duration) -> bool {
        let left = deadline.saturating_sub(self.clock.now());
        if left.is_zero() {
            return false;
        }
        self.clock.sleep(PAUSE.min(left));
        true
    }
}
