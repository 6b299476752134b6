//! A connection that a neighbour has handed over, as the HTTP server reads and writes it.
//!
//! The HTTP server is given the end of its input only between two requests, after the last answer
//! was written. What it has read of a next request until then is returned to the neighbour together
//! with what was not read, so it is never lost and never served twice.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use hyper::body::{Body, Frame as BodyFrame, Incoming, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::frame::{self, Codec, Frame, MAX_BYTES};

/// Time that the first router has to close its side of a connection that has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of the exchange on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No request has been read since the last answer was written.
    #[default]
    Idle,
    /// A request was read and its answer is not complete.
    Busy,
    /// The answer is complete, but a part of it may not be written yet.
    Answered,
    /// The same, and its end was stated to the first router.
    Stated,
}

/// Progress of a connection, shared by the connection and its service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress(Rc<State>);

#[derive(Debug, Default)]
struct State {
    phase: Cell<Phase>,
    /// Whether the connection is to be returned.
    returning: Cell<bool>,
    /// Whether the connection ends behind the current answer, and can't be returned.
    closing: Cell<bool>,
    /// Whether the HTTP server was given the end of its input.
    stopped: Cell<bool>,
    /// Whether the first router has left, or does not follow the protocol.
    broken: Cell<bool>,
    /// Whether a request has begun before the last answer was written.
    overlapping: Cell<bool>,
    /// Statement of a send to a target.
    statement: Cell<Statement>,
    /// Waits for the statement to be written.
    waiting: RefCell<Option<Waker>>,
}

/// Progress of the statement of a send to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Statement {
    /// There is none to write.
    #[default]
    Done,
    /// It is to be written.
    Due,
    /// It is buffered.
    Buffered,
}

impl State {
    /// Whether the end of an answer is to be stated now.
    fn ends_answer(&self) -> bool {
        self.phase.get() == Phase::Answered && !self.closing.get() && !self.overlapping.get()
    }

    /// Whether the connection can be returned now.
    fn is_returnable(&self) -> bool {
        self.returning.get() && !self.closing.get() && self.phase.get() == Phase::Idle
    }
}

impl Progress {
    /// Returns the connection once no request is being served.
    pub(crate) fn stop(&self) {
        self.0.returning.set(true);
    }

    /// Whether the connection is to be returned.
    pub(crate) fn is_returning(&self) -> bool {
        self.0.returning.get()
    }

    /// Records that the connection ends behind the current answer.
    pub(crate) fn close(&self) {
        self.0.closing.set(true);
    }

    /// Whether the HTTP server has ended because the connection is to be returned.
    pub(crate) fn is_stopped(&self) -> bool {
        self.0.stopped.get()
    }

    /// Whether the first router has left, or does not follow the protocol.
    pub(crate) fn is_broken(&self) -> bool {
        self.0.broken.get()
    }

    /// States that the request is about to be sent to a target; returns once that is written.
    pub(crate) async fn state_send(&self) {
        self.0.statement.set(Statement::Due);
        poll_fn(|context| {
            if self.0.statement.get() == Statement::Done {
                return Poll::Ready(());
            }
            // The HTTP server flushes the connection after each poll of its service.
            self.0.waiting.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Begins an exchange, which ends when the result is dropped.
    pub(crate) fn begin(&self) -> Exchange {
        if self.0.phase.get() == Phase::Answered {
            self.0.overlapping.set(true);
        }
        self.0.phase.set(Phase::Busy);
        Exchange(self.clone())
    }
}

/// An exchange that has not ended.
#[derive(Debug)]
pub(crate) struct Exchange(Progress);

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.0.phase.set(Phase::Answered);
    }
}

/// Body of an answer that ends the exchange when it is dropped.
#[derive(Debug)]
pub(crate) struct Answer<B, E> {
    body: B,
    _exchange: E,
}

impl<B, E> Answer<B, E> {
    pub(crate) fn new(body: B, exchange: E) -> Self {
        Self {
            body,
            _exchange: exchange,
        }
    }
}

impl<B: Body + Unpin, E: Unpin> Body for Answer<B, E> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connection of a client that a neighbour forwards.
#[derive(Debug)]
pub(crate) struct Taken {
    frames: Framed<TcpStream, Codec>,
    /// Bytes that the HTTP server has not read.
    unread: Bytes,
    progress: Progress,
}

impl Taken {
    /// Creates a connection. To the neighbour it is lost unless it ends in one of the ways below. It
    /// is not reset then, as that would drop frames that are still to be sent.
    pub(crate) fn new(stream: TcpStream, progress: Progress) -> Self {
        Self {
            frames: Framed::new(stream, Codec::default()),
            unread: Bytes::new(),
            progress,
        }
    }

    /// Returns the connection, with the bytes that the HTTP server has `read` and not used.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or if the client has sent more than `limit` unread bytes.
    pub(crate) async fn give_back(mut self, read: Bytes, limit: usize) -> io::Result<()> {
        self.frames.send(Frame::Stopped).await?;
        let mut unread = BytesMut::from(read);
        unread.extend_from_slice(&self.unread);
        loop {
            if unread.len() > limit {
                return Err(frame::unexpected("client that sends without reading"));
            }
            match self.frames.next().await.transpose()? {
                Some(Frame::Data(bytes)) => unread.extend_from_slice(&bytes),
                Some(Frame::Recall) => {}
                Some(Frame::End) => break,
                other => return Err(frame::unexpected(&format!("{other:?} instead of the end"))),
            }
        }
        let mut unread = unread.freeze();
        while !unread.is_empty() {
            let chunk = unread.split_to(unread.len().min(MAX_BYTES));
            self.frames.feed(Frame::Unread(chunk)).await?;
        }
        self.end(Frame::Returned).await
    }

    /// Number of bytes that the HTTP server has not read.
    pub(crate) fn unread(&self) -> usize {
        self.unread.len()
    }

    /// Ends the connection, and the client's.
    pub(crate) async fn close(self) -> io::Result<()> {
        self.end(Frame::Closed).await
    }

    async fn end(mut self, last: Frame) -> io::Result<()> {
        self.frames.send(last).await?;
        // Closing with unread bytes would reset the connection before the last frame is received.
        let drain = async { while let Some(Ok(_)) = self.frames.next().await {} };
        drop(timeout(CLOSE_TIMEOUT, drain).await);
        Ok(())
    }
}

impl Taken {
    /// Reads the next bytes of the client; none if the connection is to be returned.
    fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<io::Result<&mut Bytes>> {
        while self.unread.is_empty() && !self.progress.0.is_returnable() {
            match ready!(Pin::new(&mut self.frames).poll_next(context)).transpose()? {
                Some(Frame::Data(bytes)) => self.unread = bytes,
                Some(Frame::Recall) => self.progress.stop(),
                Some(frame) => return Poll::Ready(Err(frame::unexpected(&format!("{frame:?}")))),
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            }
        }
        Poll::Ready(Ok(&mut self.unread))
    }
}

impl Read for Taken {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let progress = this.progress.clone();
        let read = ready!(this.poll_bytes(context)).map(|unread| {
            if progress.0.is_returnable() {
                progress.0.stopped.set(true);
                return;
            }
            let length = unread.len().min(buffer.remaining());
            buffer.put_slice(&unread.split_to(length));
        });
        if read.is_err() {
            progress.0.broken.set(true);
        }
        Poll::Ready(read)
    }
}

impl Write for Taken {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.frames).poll_ready(context))?;
        let length = bytes.len().min(MAX_BYTES);
        let data = Bytes::copy_from_slice(&bytes[..length]);
        Pin::new(&mut this.frames).start_send(Frame::Data(data))?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let state = &this.progress.0;
        if state.statement.get() == Statement::Due {
            ready!(Pin::new(&mut this.frames).poll_ready(context))?;
            Pin::new(&mut this.frames).start_send(Frame::Sent)?;
            state.statement.set(Statement::Buffered);
        }
        if state.ends_answer() {
            ready!(Pin::new(&mut this.frames).poll_ready(context))?;
            Pin::new(&mut this.frames).start_send(Frame::Answered)?;
            state.phase.set(Phase::Stated);
        }
        ready!(Pin::new(&mut this.frames).poll_flush(context))?;
        if state.statement.get() == Statement::Buffered {
            state.statement.set(Statement::Done);
            if let Some(waker) = state.waiting.take() {
                waker.wake();
            }
        }
        if matches!(state.phase.get(), Phase::Answered | Phase::Stated) {
            state.phase.set(Phase::Idle);
            if state.returning.get() {
                // The HTTP server does not read again before there is input.
                context.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(context)
    }
}

/// Body of a request, which records whether it was read to its end.
#[derive(Debug)]
pub(crate) struct Upload {
    body: Incoming,
    ended: Rc<Cell<bool>>,
}

impl Upload {
    pub(crate) fn new(body: Incoming, ended: Rc<Cell<bool>>) -> Self {
        Self { body, ended }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(context));
        if frame.is_none() || this.body.is_end_stream() {
            this.ended.set(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
