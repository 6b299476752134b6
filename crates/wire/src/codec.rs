//! Typed messages as bytes.
//!
//! Messages are encoded by bincode's standard configuration: little endian,
//! variable-length integers. Decoding is bounded twice. The caller's limit is
//! checked against the input before any work, and bincode's own limit bounds
//! what a forged collection length may allocate. Bytes left over after the
//! value are an error, since they would hide a disagreement about the layout.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};

use crate::frame::MAX_PAYLOAD;

type Bounded = Configuration<LittleEndian, Varint, Limit<MAX_PAYLOAD>>;

const CONFIG: Bounded = bincode::config::standard().with_limit::<MAX_PAYLOAD>();

/// A message that could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The encoded message exceeds the limit.
    #[snafu(display("message of {size} bytes exceeds the limit of {limit} bytes"))]
    Oversize {
        /// Bytes of the message.
        size: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The value cannot be encoded.
    #[snafu(display("message cannot be encoded"))]
    Encode {
        /// Cause given by the codec.
        source: bincode::error::EncodeError,
    },
    /// The bytes are no value of the wanted type.
    #[snafu(display("message cannot be decoded"))]
    Decode {
        /// Cause given by the codec.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the decoded value.
    #[snafu(display("{extra} bytes follow the message"))]
    Trailing {
        /// Bytes left over.
        extra: usize,
    },
}

/// Encodes `message` in at most `limit` bytes.
///
/// # Errors
///
/// [`Error::Oversize`] beyond `limit`, [`Error::Encode`] when the value cannot be encoded.
pub fn encode<T: Encode>(message: &T, limit: usize) -> Result<Vec<u8>, Error> {
    let bytes = bincode::encode_to_vec(message, CONFIG).context(EncodeSnafu)?;
    let size = bytes.len();
    ensure!(size <= limit, OversizeSnafu { size, limit });
    Ok(bytes)
}

/// Decodes one message that fills `bytes` exactly.
///
/// # Errors
///
/// [`Error::Oversize`] beyond `limit`, [`Error::Decode`] on bytes of another
/// layout, [`Error::Trailing`] when bytes are left over.
pub fn decode<T: Decode<()>>(bytes: &[u8], limit: usize) -> Result<T, Error> {
    let size = bytes.len();
    ensure!(size <= limit, OversizeSnafu { size, limit });
    let (message, read) = bincode::decode_from_slice(bytes, CONFIG).context(DecodeSnafu)?;
    let extra = size - read;
    ensure!(extra == 0, TrailingSnafu { extra });
    Ok(message)
}
