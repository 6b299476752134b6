//! Connections to targets that are closed if too many bytes arrive before the head of an answer.
//!
//! The HTTP library bounds the head itself, but skips interim answers (1xx), each of which is small.
//! A target that sends these without end would be read until the deadline of its request.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::pool::Counted;

/// Read buffer of a connection, which also bounds the head of an answer.
pub(crate) const BUFFER_BYTES: usize = 64 * 1024;

/// Limit of the bytes that arrive before the head of an answer is known: interim answers, the head,
/// and what the HTTP library reads of the body before it passes the head on, at most two buffers.
const MAX_BYTES_BEFORE_HEAD: usize = 4 * BUFFER_BYTES;

/// Bytes that may still arrive before the head of an answer; none unless one is awaited. Shared by
/// the connection's user and its task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance(Rc<Cell<Option<usize>>>);

impl Allowance {
    /// Begins to wait for an answer.
    pub(crate) fn begin(&self) {
        self.0.set(Some(MAX_BYTES_BEFORE_HEAD));
    }

    /// The head was received, or will not be.
    pub(crate) fn end(&self) {
        self.0.set(None);
    }

    fn take(&self, bytes: usize) -> Result<(), Error> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes).ok_or_else(|| {
            let message = format!("no head of an answer within {MAX_BYTES_BEFORE_HEAD} bytes");
            Error::new(ErrorKind::InvalidData, message)
        })?;
        self.0.set(Some(left));
        Ok(())
    }
}

/// Connection that fails once its allowance is used up.
#[derive(Debug)]
pub(crate) struct Bounded {
    stream: TcpStream,
    allowance: Allowance,
    _counted: Counted,
}

impl Bounded {
    pub(crate) fn new(stream: TcpStream, allowance: Allowance, counted: Counted) -> Self {
        Self {
            stream,
            allowance,
            _counted: counted,
        }
    }
}

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = read {
            self.allowance.take(buffer.filled().len() - before)?;
        }
        read
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
