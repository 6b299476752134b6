//! A TCP stream that counts its bytes.
//!
//! A dead peer is noticed without probes. An end that sends learns of it by the
//! user timeout, since its data is not acknowledged; an end that only receives
//! falls idle. Probes would cost a bare segment each way on every quiet link.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::counter::Counter;

/// A connection whose traffic is counted.
#[derive(Debug)]
pub(super) struct Meter {
    stream: TcpStream,
    counter: Arc<Counter>,
}

impl Meter {
    /// Wraps a stream that counts as dead when sent data stays unacknowledged for `dead`.
    pub(super) fn new(
        stream: TcpStream,
        counter: Arc<Counter>,
        dead: Duration,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(dead))?;
        Ok(Self { stream, counter })
    }

    /// Connects to an address.
    pub(super) async fn connect(
        address: SocketAddr,
        counter: Arc<Counter>,
        dead: Duration,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        Self::new(stream, counter, dead)
    }

    fn wrote(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.counter.wrote_bytes(*bytes);
        }
    }
}

impl AsyncRead for Meter {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        this.counter.read_bytes(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for Meter {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.wrote(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.wrote(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
