//! How a command ended, as the exit code of the process.

use std::process::ExitCode;

/// The end of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done, or nothing had to be done.
    Done = 0,
    /// The file has errors.
    Problems = 1,
    /// The command line is wrong, or the file can't be read.
    Usage = 2,
    /// `diff` found changes, or `status` a router with another revision.
    Differs = 3,
    /// Another file was accepted instead.
    Superseded = 4,
    /// The file may or may not have been accepted; run the command again.
    Unknown = 5,
    /// A system can't be reached and nothing was changed; run the command again.
    Unavailable = 6,
    /// The log no longer tells which revision is accepted.
    Untold = 7,
    /// No router that was asked knows what `explain` asks about.
    NotFound = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
