//! How an attempt ended, its exit and its words.

use std::io::{self, Write};

use dunlinward_config::check::Report;
use dunlinward_config::diff::Change;
use dunlinward_platform::Error as PlatformError;

use crate::exit::Exit;

/// What came of a proposal.
#[derive(Debug)]
pub enum End {
    /// It was accepted.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// The same configuration is in force already.
    Unchanged {
        /// Its revision.
        revision: u64,
    },
    /// Another file was accepted first.
    Superseded {
        /// The revision of the other.
        by: u64,
        /// What the other changed; empty when it isn't known.
        changes: Vec<Change>,
    },
    /// The file was accepted earlier and has been replaced since; nothing was appended.
    Replaced {
        /// Its revision.
        revision: u64,
        /// The revision in force.
        by: u64,
    },
    /// Readers found errors in the text.
    Void {
        /// The errors.
        report: Report,
    },
    /// It may have been accepted.
    Unknown,
    /// Nothing was appended.
    Unavailable {
        /// The last failure.
        cause: PlatformError,
    },
    /// The log no longer tells which revision is accepted.
    Untold,
}

impl End {
    /// The exit that tells of this end.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Accepted { .. } | Self::Unchanged { .. } => Exit::Done,
            Self::Superseded { .. } | Self::Replaced { .. } => Exit::Superseded,
            Self::Void { .. } => Exit::Problems,
            Self::Unknown => Exit::Unknown,
            Self::Unavailable { .. } => Exit::Unavailable,
            Self::Untold => Exit::Untold,
        }
    }
}

/// Tells the operator what came of the proposal.
///
/// # Errors
/// The output can't be written.
pub fn print(end: &End, out: &mut dyn Write) -> io::Result<()> {
    match end {
        End::Accepted { revision } => writeln!(out, "accepted: revision {revision}"),
        End::Unchanged { revision } => {
            writeln!(out, "unchanged: already in force as revision {revision}")
        }
        End::Superseded { by, changes } => {
            writeln!(
                out,
                "superseded: revision {by} was accepted first; it changed:"
            )?;
            changes
                .iter()
                .try_for_each(|change| writeln!(out, "  {change}"))
        }
        End::Replaced { revision, by } => writeln!(
            out,
            "superseded: this file was accepted as revision {revision} and revision {by} has \
             replaced it since; to bring it back use --again"
        ),
        End::Void { report } => write!(out, "void: the readers of the log refuse it:\n{report}"),
        End::Unknown => writeln!(
            out,
            "unknown: the file may have been accepted; run the command again when the log answers"
        ),
        End::Unavailable { cause } => {
            writeln!(out, "unavailable: nothing was applied: {cause}")
        }
        End::Untold => writeln!(
            out,
            "unknown: the log no longer tells which revision is accepted, so nothing was applied; \
             routers state it from time to time, and --reset overrides it when none is left"
        ),
    }
}
