//! Frames over the two bodies of one HTTP/2 stream.

use std::future::poll_fn;

use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use crate::codec;
use crate::frame::{self, Decoder, Frame};
use crate::hello::{MAX_HELLO, Refusal};

/// Window of a stream and of its connection, in bytes.
pub(super) const WINDOW: u32 = 64 << 10;

/// What HTTP/2 may spend on frames that wait unread, in bytes.
///
/// The library closes a connection whose small DATA frames exhaust it, and its
/// default allows a few hundred. An instance that was paused finds more than
/// that in its socket, so the budget covers a whole window of the smallest.
pub(super) const BUDGET: usize = 2 << 20;

/// The sending body.
pub(super) struct Writer {
    stream: SendStream<Bytes>,
}

impl Writer {
    pub(super) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Hands bytes to the connection as the peer's window admits them.
    pub(super) async fn write(&mut self, mut bytes: Bytes) -> Result<(), h2::Error> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let room = self.room().await?;
            let chunk = bytes.split_to(room.min(bytes.len()));
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }

    async fn room(&mut self) -> Result<usize, h2::Error> {
        while self.stream.capacity() == 0 {
            let granted = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            granted.unwrap_or_else(|| Err(h2::Reason::STREAM_CLOSED.into()))?;
        }
        Ok(self.stream.capacity())
    }

    /// Sends one message of the hello.
    pub(super) async fn hello<T: Encode>(&mut self, message: &T) -> Result<(), Refusal> {
        let payload = codec::encode(message, MAX_HELLO)?;
        let mut out = BytesMut::new();
        Frame::new(payload)?.write(&mut out);
        self.write(out.freeze()).await.map_err(|_| Refusal::Closed)
    }
}

/// Why no frame came.
pub(super) enum Stop {
    /// The stream ended.
    Ended,
    /// The bytes are no frames.
    Frame(frame::Error),
}

/// The receiving body.
pub(super) struct Reader {
    stream: RecvStream,
    decoder: Decoder,
}

impl Reader {
    /// A reader that accepts only frames as short as a hello.
    pub(super) fn new(stream: RecvStream) -> Self {
        let decoder = Decoder::new().with_limit(MAX_HELLO);
        Self { stream, decoder }
    }

    /// Admits frames up to `limit`.
    pub(super) fn with_limit(mut self, limit: usize) -> Self {
        self.decoder = self.decoder.with_limit(limit);
        self
    }

    /// The next payload.
    pub(super) async fn next(&mut self) -> Result<Bytes, Stop> {
        loop {
            if let Some(frame) = self.decoder.pop().map_err(Stop::Frame)? {
                return Ok(frame.into_payload());
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), Stop> {
        let Some(Ok(bytes)) = self.stream.data().await else {
            return Err(self.end());
        };
        self.decoder.push(&bytes);
        let flow = self.stream.flow_control();
        flow.release_capacity(bytes.len()).map_err(|_| Stop::Ended)
    }

    fn end(&self) -> Stop {
        match self.decoder.finish() {
            Ok(()) => Stop::Ended,
            Err(error) => Stop::Frame(error),
        }
    }

    /// Receives one message of the hello.
    pub(super) async fn hello<T: Decode<()>>(&mut self) -> Result<T, Refusal> {
        let payload = self.first().await?;
        Ok(codec::decode(&payload, MAX_HELLO)?)
    }

    /// The next payload, while the session is not open.
    pub(super) async fn first(&mut self) -> Result<Bytes, Refusal> {
        self.next().await.map_err(|stop| match stop {
            Stop::Ended => Refusal::Closed,
            Stop::Frame(error) => error.into(),
        })
    }
}
