//! The records of the configuration stream, as JSON with a version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{EncodeSnafu, Error};

/// Name of the stream.
pub const STREAM: &str = "config";

/// Version of the records and of the checks on the files in them.
pub const VERSION: u32 = 1;

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Record {
    /// An operator proposes a file.
    Apply(Apply),
    /// A reader states what is accepted.
    Restate(Restate),
    /// An operator proposes a file without knowing what is accepted.
    Reset(Reset),
}

/// A proposed file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Unique id of the proposal; a repeated append carries the same one.
    pub id: Arc<str>,
    /// Accepted revision it is based on; none when nothing was ever accepted.
    pub base: Option<u64>,
    /// Who proposes it.
    pub author: Arc<str>,
    /// The whole file.
    pub text: Arc<str>,
}

/// A statement in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restate {
    /// Unique id of the record.
    pub id: Arc<str>,
    /// What it states.
    #[serde(flatten)]
    pub statement: Statement,
}

/// A proposed file that takes the place of whatever was accepted before an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// Unique id of the proposal; a repeated append carries the same one.
    pub id: Arc<str>,
    /// Void if anything was accepted at or after this offset.
    pub as_of: u64,
    /// Who proposes it.
    pub author: Arc<str>,
    /// The whole file.
    pub text: Arc<str>,
}

/// What was accepted after a prefix of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The accepted revision.
    pub revision: u64,
    /// End of the prefix, exclusive.
    pub as_of: u64,
    /// Id of the accepted proposal.
    pub apply_id: Arc<str>,
    /// Who proposed it.
    pub author: Arc<str>,
    /// The accepted file.
    pub text: Arc<str>,
}

/// Why a record can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// It is no record, which holds for every reader.
    Malformed,
    /// It is newer than this reader.
    Newer {
        /// Version of the record.
        version: u32,
    },
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    version: u32,
    #[serde(flatten)]
    body: T,
}

#[derive(Deserialize)]
struct Empty {}

impl Record {
    /// The record as JSON.
    ///
    /// # Errors
    /// The JSON library refused it.
    pub fn encode(&self) -> Result<String, Error> {
        let envelope = Envelope {
            version: VERSION,
            body: self,
        };
        serde_json::to_string(&envelope).context(EncodeSnafu)
    }

    /// Reads a record.
    ///
    /// # Errors
    /// It is no record, or newer than this reader.
    pub fn decode(text: &str) -> Result<Self, Unreadable> {
        let outer: Envelope<Empty> =
            serde_json::from_str(text).map_err(|_| Unreadable::Malformed)?;
        if outer.version > VERSION {
            return Err(Unreadable::Newer {
                version: outer.version,
            });
        }
        let envelope: Envelope<Self> =
            serde_json::from_str(text).map_err(|_| Unreadable::Malformed)?;
        Ok(envelope.body)
    }
}
