//! Frames between two routers of which one forwards a client's connection to the other.
//!
//! HTTP leaves open which of two peers has seen the other's last bytes when one of them closes, so
//! routers do not end a forwarded connection by closing it. The first router asks for its return
//! ([`Frame::Recall`]), or the neighbour returns it by itself. Between two requests the neighbour
//! stops reading ([`Frame::Stopped`]); the first router confirms that nothing follows
//! ([`Frame::End`]); the neighbour sends back what it has received and not used
//! ([`Frame::Unread`]) and then [`Frame::Returned`]. Each byte of the client is used by one of the
//! two. A neighbour that is lost can do none of that. It therefore states each send of a request to
//! a target before it ([`Frame::Sent`]), and the end of each answer behind its last byte
//! ([`Frame::Answered`]), so the first router knows whether an answer is due and whether the request
//! may have run.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest number of bytes in a frame of the routers.
pub const MAX_BYTES: usize = 8 * 1024;

const DATA: u8 = 0;
const RECALL: u8 = 1;
const STOPPED: u8 = 2;
const END: u8 = 3;
const UNREAD: u8 = 4;
const RETURNED: u8 = 5;
const CLOSED: u8 = 6;
const ANSWERED: u8 = 7;
const SENT: u8 = 8;

/// A frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Bytes of the client, or of an answer.
    Data(Bytes),
    /// Request of the first router: return the connection after the requests that have begun.
    Recall,
    /// The neighbour uses no further bytes of the client.
    Stopped,
    /// The first router forwards no further bytes.
    End,
    /// Bytes of the client that the neighbour has not used.
    Unread(Bytes),
    /// No further bytes are unread; the connection is the first router's again.
    Returned,
    /// The neighbour has closed the connection, and so should the first router.
    Closed,
    /// The answer is complete, and no further one has begun.
    Answered,
    /// The request that has begun is about to be sent to a target, maybe once more.
    Sent,
}

/// Encodes and decodes frames: a length, a kind, and bytes.
#[derive(Clone, Debug)]
pub struct Codec(LengthDelimitedCodec);

impl Default for Codec {
    fn default() -> Self {
        let builder = LengthDelimitedCodec::builder()
            .length_field_type::<u16>()
            .new_codec();
        Self(builder)
    }
}

impl Encoder<Frame> for Codec {
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, to: &mut BytesMut) -> io::Result<()> {
        let (kind, bytes) = match frame {
            Frame::Data(bytes) => (DATA, bytes),
            Frame::Recall => (RECALL, Bytes::new()),
            Frame::Stopped => (STOPPED, Bytes::new()),
            Frame::End => (END, Bytes::new()),
            Frame::Unread(bytes) => (UNREAD, bytes),
            Frame::Returned => (RETURNED, Bytes::new()),
            Frame::Closed => (CLOSED, Bytes::new()),
            Frame::Answered => (ANSWERED, Bytes::new()),
            Frame::Sent => (SENT, Bytes::new()),
        };
        let mut payload = BytesMut::with_capacity(1 + bytes.len());
        payload.put_u8(kind);
        payload.put(bytes);
        self.0.encode(payload.freeze(), to)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(payload) = self.0.decode(from)? else {
            return Ok(None);
        };
        let mut bytes = payload.freeze();
        let kind = bytes.try_get_u8().map_err(io::Error::other)?;
        let frame = match kind {
            DATA => Frame::Data(bytes),
            RECALL => Frame::Recall,
            STOPPED => Frame::Stopped,
            END => Frame::End,
            UNREAD => Frame::Unread(bytes),
            RETURNED => Frame::Returned,
            CLOSED => Frame::Closed,
            ANSWERED => Frame::Answered,
            SENT => Frame::Sent,
            kind => return Err(unexpected(&format!("frame of kind {kind}"))),
        };
        Ok(Some(frame))
    }
}

/// Error of a peer that does not follow the protocol.
pub(crate) fn unexpected(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("unexpected {what}"))
}
