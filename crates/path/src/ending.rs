//! Ends of connections whose last message has no framing of its own.
//!
//! Such a message is over when its connection is, and the kernel closes the connections of a process
//! in the same way whether the process has written all of it, exits, or is killed. Therefore a
//! connection is set to be reset on close before the first byte of the message is written, and is
//! set back once the message is whole. Whatever ends the process in between, the peer does not take
//! a part of the message for all of it. A reset may drop bytes that are still to be sent, so
//! connections whose messages have a length or chunks are left alone.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::connections;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::caller::Caller;
use crate::node::Node;

/// Sets a connection to be reset when it is closed.
///
/// # Errors
///
/// If the system rejects the option.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Sets a connection to be closed in the usual way again.
///
/// # Errors
///
/// If the system rejects the option.
pub fn close_regularly(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(None)
}

/// Progress of an answer without framing on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// There is none.
    #[default]
    Unmarked,
    /// It has begun.
    Open,
    /// Its body has ended.
    Ended,
}

/// Progress of such an answer, shared by the connection and the body.
#[derive(Clone, Debug, Default)]
pub struct Marker(Rc<Cell<Phase>>);

impl Marker {
    /// Marks the connection: this answer ends with it.
    #[must_use]
    pub fn begin<B>(&self, body: B) -> Marked<B> {
        self.0.set(Phase::Open);
        Marked {
            body,
            marker: Some(self.clone()),
        }
    }

    /// Whether such an answer has begun.
    pub(crate) fn is_marked(&self) -> bool {
        self.0.get() != Phase::Unmarked
    }

    /// Whether such an answer has begun and its body has not ended.
    pub(crate) fn is_open(&self) -> bool {
        self.0.get() == Phase::Open
    }

    /// Leaves the connection unmarked for an answer with a framing of its own.
    #[must_use]
    pub fn pass<B>(&self, body: B) -> Marked<B> {
        Marked { body, marker: None }
    }
}

/// Body of an answer, which records its end.
#[derive(Debug)]
pub struct Marked<B> {
    body: B,
    marker: Option<Marker>,
}

impl<B: Body + Unpin> Body for Marked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if let (Poll::Ready(None), Some(marker)) = (&frame, &this.marker) {
            marker.0.set(Phase::Ended);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        // The end of a marked body must be polled.
        self.marker.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connection of a caller; an open answer without framing is cut by a reset.
#[derive(Debug)]
pub struct Connection {
    io: TokioIo<TcpStream>,
    /// Bytes that were received before, and are read first.
    unread: Bytes,
    marker: Marker,
    /// Whether the socket is set to be reset on close.
    resets: bool,
    /// Follows what the connection does.
    caller: Option<Rc<Caller>>,
}

impl Connection {
    /// Creates a connection that `marker` marks.
    #[must_use]
    pub fn new(stream: TcpStream, marker: Marker) -> Self {
        Self {
            io: TokioIo::new(stream),
            unread: Bytes::new(),
            marker,
            resets: false,
            caller: None,
        }
    }

    /// Sets what follows the connection.
    #[must_use]
    pub(crate) fn with_caller(mut self, caller: Rc<Caller>) -> Self {
        self.caller = Some(caller);
        self
    }

    /// Records whether a write waits for the caller.
    fn record_write(&self, is_blocked: bool) {
        if let Some(caller) = &self.caller {
            caller.record_write(is_blocked);
        }
    }

    /// Sets the bytes that were received before.
    #[must_use]
    pub fn with_unread(mut self, unread: Bytes) -> Self {
        self.unread = unread;
        self
    }

    /// Reads and drops what comes until the caller closes the connection, or more comes on all
    /// connections than the router discards.
    pub(crate) async fn discard(&mut self, node: &Node) {
        let mut buffer = [0; 1_024];
        // After an error the connection has ended.
        while let Ok(length @ 1..) = self.io.inner_mut().read(&mut buffer).await
            && node.callers.may_discard(length, node.now())
        {}
    }

    fn io(self: Pin<&mut Self>) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.get_mut().io)
    }

    /// Sets the socket before the first byte of a marked answer is written.
    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.resets && self.marker.0.get() != Phase::Unmarked {
            reset_on_close(self.io.inner())?;
            self.resets = true;
        }
        Ok(())
    }
}

impl Read for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let read = if this.unread.is_empty() {
            ready!(Pin::new(&mut this.io).poll_read(context, buffer))
        } else {
            let length = this.unread.len().min(buffer.remaining());
            buffer.put_slice(&this.unread.split_to(length));
            Ok(())
        };
        // Bytes behind a request are no head yet.
        if let Some(caller) = &this.caller {
            caller.advance(connections::Phase::Idle, connections::Phase::Head);
        }
        Poll::Ready(read)
    }
}

impl Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = self.as_mut().io().poll_write(context, bytes);
        self.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = self.as_mut().io().poll_write_vectored(context, slices);
        self.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.io().poll_flush(context)
    }

    /// Ends the connection in the usual way, unless a marked answer is open: the connection is then
    /// reset when it is dropped.
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.marker.0.get() == Phase::Open {
            return Poll::Ready(Ok(()));
        }
        if std::mem::take(&mut this.resets) {
            close_regularly(this.io.inner())?;
        }
        Pin::new(&mut this.io).poll_shutdown(context)
    }
}
