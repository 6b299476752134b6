//! Batches: messages that travel in one frame.
//!
//! Messages that wait for the same peer at the same time share one frame, and
//! so one header and one seal. A batch is a bincode list of byte strings: one
//! byte for the number of messages and one for the length of each, as long as
//! these are below 251. An empty batch is the welcome that ends a hello.

use bincode::{Decode, Encode};

use crate::codec::{self, Error};
use crate::frame::MAX_PAYLOAD;
use crate::seal::SEAL;

/// Bytes kept free for lengths and for the codec's own accounting.
const MARGIN: usize = 64;

/// Most bytes of an encoded batch.
pub const MAX_BATCH: usize = MAX_PAYLOAD - SEAL;

/// Most bytes of a single message.
pub const MAX_MESSAGE: usize = MAX_BATCH - MARGIN;

/// Messages in the order of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Batch {
    /// The messages.
    pub messages: Vec<Vec<u8>>,
}

impl Batch {
    /// A batch of these messages.
    #[must_use]
    pub fn new(messages: Vec<Vec<u8>>) -> Self {
        Self { messages }
    }

    /// The encoded batch.
    ///
    /// # Errors
    ///
    /// [`Error::Oversize`] beyond [`MAX_BATCH`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        codec::encode(self, MAX_BATCH)
    }

    /// Decodes a batch.
    ///
    /// # Errors
    ///
    /// Those of [`codec::decode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        codec::decode(bytes, MAX_BATCH)
    }
}
