//! Why a call to the platform failed, and whether it may have taken effect.

use snafu::Snafu;

/// Whether a failed call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It had no effect; it may be repeated freely.
    NotDone,
    /// Nobody can tell; a repetition must be harmless.
    MayHaveBeenDone,
}

/// A failed call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection came about, so nothing was sent.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the HTTP library said.
        source: ureq::Error,
    },
    /// The connection or the time ended before the answer.
    #[snafu(display("the answer was lost: {source}"))]
    Lost {
        /// What the HTTP library said.
        source: ureq::Error,
    },
    /// The system is down or the rate of calls is too high; it says that it did nothing.
    #[snafu(display("refused for now with status {status}"))]
    Unavailable {
        /// HTTP status.
        status: u16,
    },
    /// The system refuses the call itself.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The system failed on the way.
    #[snafu(display("failed with status {status}"))]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not of the agreed form.
    #[snafu(display("the answer can't be read: {source}"))]
    Answer {
        /// What the JSON library said.
        source: serde_json::Error,
    },
    /// The name of a stream has other characters than a-z, 0-9, dot and hyphen.
    #[snafu(display("{name:?} can't be the name of a stream"))]
    Stream {
        /// The name.
        name: String,
    },
    /// A fault that a test asked the fake for.
    #[snafu(display("the answer was lost, as the test asked"))]
    Fake,
}

impl Error {
    /// Whether the call may have taken effect.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. }
            | Self::Unavailable { .. }
            | Self::Refused { .. }
            | Self::Stream { .. } => Verdict::NotDone,
            Self::Lost { .. } | Self::Failed { .. } | Self::Answer { .. } | Self::Fake => {
                Verdict::MayHaveBeenDone
            }
        }
    }
}
