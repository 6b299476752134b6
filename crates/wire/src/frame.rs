//! Frames: messages delimited in a byte stream.
//!
//! A frame is a version byte, a payload length of three bytes in big endian
//! order, and the payload. The length is compared with the limit as soon as
//! the header is complete and before memory is set aside for the payload, so a
//! forged length costs the reader nothing.
//!
//! [`Decoder`] accepts the stream in any split. After an error it stays
//! failed: there is no way to find the next boundary in a damaged stream, and
//! the link has to be closed.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Version of the frame layout.
pub const VERSION: u8 = 1;

/// Bytes of a frame's header.
pub const HEADER: usize = 4;

/// Most bytes of a payload.
pub const MAX_PAYLOAD: usize = 1 << 20;

/// A frame or stream that is not well formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The version byte is not ours.
    #[snafu(display("frame version {found}, expected {VERSION}"))]
    Version {
        /// Version byte found.
        found: u8,
    },
    /// The payload is longer than allowed.
    #[snafu(display("payload of {size} bytes exceeds the limit of {limit} bytes"))]
    Oversize {
        /// Bytes announced.
        size: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The stream ended within a frame.
    #[snafu(display("stream ended {pending} bytes into a frame"))]
    Truncated {
        /// Bytes of the incomplete frame.
        pending: usize,
    },
}

/// One delimited payload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    payload: Bytes,
}

impl Frame {
    /// A frame around `payload`.
    ///
    /// # Errors
    ///
    /// [`Error::Oversize`] beyond [`MAX_PAYLOAD`].
    pub fn new(payload: impl Into<Bytes>) -> Result<Self, Error> {
        let payload = payload.into();
        let size = payload.len();
        let limit = MAX_PAYLOAD;
        ensure!(size <= limit, OversizeSnafu { size, limit });
        Ok(Self { payload })
    }

    /// The payload.
    #[must_use]
    pub fn payload(&self) -> &Bytes {
        &self.payload
    }

    /// The payload, taken out.
    #[must_use]
    pub fn into_payload(self) -> Bytes {
        self.payload
    }

    /// Appends the encoded frame to `out`.
    pub fn write(&self, out: &mut BytesMut) {
        out.reserve(HEADER + self.payload.len());
        out.put_u8(VERSION);
        out.put_uint(self.payload.len() as u64, HEADER - 1);
        out.put_slice(&self.payload);
    }
}

/// Incremental reader of frames.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    limit: usize,
    failure: Option<Error>,
}

impl Default for Decoder {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder {
    /// An empty decoder that accepts payloads up to [`MAX_PAYLOAD`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            buffer: BytesMut::new(),
            limit: MAX_PAYLOAD,
            failure: None,
        }
    }

    /// Sets the most bytes of a payload, at most [`MAX_PAYLOAD`].
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit.min(MAX_PAYLOAD);
        self
    }

    /// Takes bytes as they arrived; ignored after an error.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failure.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The next whole frame, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`Error::Version`] or [`Error::Oversize`], again at each later call.
    pub fn pop(&mut self) -> Result<Option<Frame>, Error> {
        if let Some(error) = self.failure {
            return Err(error);
        }
        self.split().inspect_err(|error| {
            self.failure = Some(*error);
            self.buffer = BytesMut::new();
        })
    }

    /// Checks that the stream ended between two frames.
    ///
    /// # Errors
    ///
    /// The earlier error, or [`Error::Truncated`].
    pub fn finish(&self) -> Result<(), Error> {
        if let Some(error) = self.failure {
            return Err(error);
        }
        let pending = self.buffer.len();
        ensure!(pending == 0, TruncatedSnafu { pending });
        Ok(())
    }

    fn split(&mut self) -> Result<Option<Frame>, Error> {
        let Some(size) = self.size()? else {
            return Ok(None);
        };
        let whole = HEADER + size;
        if self.buffer.len() < whole {
            self.buffer.reserve(whole - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(HEADER);
        let payload = self.buffer.split_to(size).freeze();
        Ok(Some(Frame { payload }))
    }

    /// Payload length from a whole header, checked against the limit.
    fn size(&self) -> Result<Option<usize>, Error> {
        let Some(&found) = self.buffer.first() else {
            return Ok(None);
        };
        ensure!(found == VERSION, VersionSnafu { found });
        let Some(digits) = self.buffer.get(1..HEADER) else {
            return Ok(None);
        };
        let size = digits
            .iter()
            .fold(0, |size, &digit| size << 8 | usize::from(digit));
        let limit = self.limit;
        ensure!(size <= limit, OversizeSnafu { size, limit });
        Ok(Some(size))
    }
}
