//! The failures that end a command early.

use std::io;
use std::path::PathBuf;

use dunlinward_platform::Error as PlatformError;
use snafu::Snafu;

use crate::exit::Exit;

/// A failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The result can't be written.
    #[snafu(display("the result can't be written: {source}"))]
    Write {
        /// What the system said.
        source: io::Error,
    },
    /// The log can't be read.
    #[snafu(display("the log can't be read: {source}"))]
    Log {
        /// What the client said.
        source: PlatformError,
    },
    /// A record can't be made.
    #[snafu(display("{source}"))]
    Record {
        /// What the configuration said.
        source: dunlinward_config::error::Error,
    },
    /// A status can't be written as JSON.
    #[snafu(display("the status can't be written as JSON: {source}"))]
    Json {
        /// What the JSON library said.
        source: serde_json::Error,
    },
}

impl Error {
    /// The exit that tells of this failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. } | Self::Record { .. } | Self::Json { .. } => Exit::Usage,
            Self::Write { .. } | Self::Log { .. } => Exit::Unavailable,
        }
    }
}
