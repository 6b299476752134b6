//! The errors of this crate that are not reports on a file.

use snafu::Snafu;

/// A failure outside of the checks on a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text is not a SHA-256 digest in lower-case hexadecimal.
    #[snafu(display("{text:?} is not a SHA-256 digest of 64 lower-case hexadecimal digits"))]
    Digest {
        /// What was given.
        text: String,
    },
    /// A configuration can't be written as TOML.
    #[snafu(display("the configuration can't be written as TOML: {source}"))]
    Write {
        /// What the TOML library said.
        source: toml::ser::Error,
    },
    /// A record can't be written as JSON.
    #[snafu(display("the record can't be written as JSON: {source}"))]
    Encode {
        /// What the JSON library said.
        source: serde_json::Error,
    },
}
