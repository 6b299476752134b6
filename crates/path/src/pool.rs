//! Pool of connections to targets.
//!
//! A connection carries one request at a time and is then kept for as long as the target allows.
//! The connection that was returned last is reused first, so that the others can expire. A request
//! opens a new connection if there is no idle one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::target::Tag;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::bounded::{Allowance, BUFFER_BYTES, Bounded};
use crate::buffers::Buffers;
use crate::held::Content;

/// Time for which sent bytes may remain unacknowledged before the system closes the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Idle time before the first keep-alive probe, and interval of further probes, which the system
/// counts in whole seconds. Without an answer for [`UNACKNOWLEDGED_TIMEOUT`] it closes the
/// connection, so a dead connection is detected within 2.2 s, whether it is idle or waits for an
/// answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Retention of an idle connection if its target specifies no time. Such a target closes idle
/// connections within less than a second, which is the shortest time that it could specify.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Time before the target's own timeout at which an idle connection is closed.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Error of opening a connection; no request was sent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The target did not accept the connection in time.
    #[snafu(display("connecting to {address} timed out after {} ms", timeout.as_millis()))]
    Timeout {
        /// Address of the target.
        address: SocketAddr,
        /// Connect timeout.
        timeout: Duration,
    },
    /// The target refused the connection or is unreachable.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the target.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {address} failed: {source}"))]
    Handshake {
        /// Address of the target.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Connection to a target; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Content>,
    allowance: Allowance,
    task: AbortHandle,
    /// Whether it has carried a request before.
    pub used: bool,
}

impl Connection {
    /// Whether it can carry no more requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can carry a request.
    ///
    /// # Errors
    ///
    /// If it is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request; returns the head of its answer.
    ///
    /// # Errors
    ///
    /// If no answer can be received. The request comes back if no byte of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Content>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Content>>> {
        self.allowance.begin();
        let answer = self.sender.try_send_request(request).await;
        self.allowance.end();
        answer
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<Tag, Vec<Idle>>>,
    /// Open connections, also those that are in use.
    open: Rc<Cell<usize>>,
    buffers: Buffers,
}

impl Pool {
    /// Creates an empty pool of connections with these buffers.
    pub(crate) fn new(buffers: Buffers) -> Self {
        Self {
            buffers,
            ..Self::default()
        }
    }

    /// Counts a connection that is about to be opened.
    pub(crate) fn count(&self) -> Counted {
        Counted::new(&self.open)
    }

    /// Opens a connection, which counts until it is closed.
    ///
    /// # Errors
    ///
    /// If no connection is established within `timeout`; no request was sent then.
    pub async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<Connection, Error> {
        self.open_counted(address, timeout, self.count()).await
    }

    /// Opens a connection that counts already.
    ///
    /// # Errors
    ///
    /// If no connection is established within `timeout`; no request was sent then.
    pub(crate) async fn open_counted(
        &self,
        address: SocketAddr,
        timeout: Duration,
        counted: Counted,
    ) -> Result<Connection, Error> {
        open_counted(address, timeout, self.buffers, counted).await
    }

    /// Buffers of its connections.
    pub(crate) fn buffers(&self) -> Buffers {
        self.buffers
    }

    /// Number of open connections, also of those that are in use.
    pub(crate) fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Closes an idle connection; whether there was one.
    pub(crate) fn close_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some((tag, list)) = idle.iter_mut().next() else {
            return false;
        };
        let tag = *tag;
        let closed = list.pop().is_some();
        if list.is_empty() {
            idle.remove(&tag);
        }
        closed
    }

    /// Removes and returns an idle connection to a target, if there is one.
    pub fn take(&self, tag: Tag, now: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&tag)?;
        while let Some(entry) = list.pop() {
            let sender = &entry.connection.sender;
            if now < entry.until && !sender.is_closed() && sender.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests until `keep` has passed.
    pub fn put(&self, tag: Tag, mut connection: Connection, keep: Duration, now: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        connection.used = true;
        let until = now + keep;
        let mut idle = self.idle.borrow_mut();
        idle.entry(tag)
            .or_default()
            .push(Idle { connection, until });
    }

    /// Closes all idle connections to a target.
    pub fn close(&self, tag: Tag) {
        self.idle.borrow_mut().remove(&tag);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes expired connections, and all connections to targets for which `gone` returns true.
    pub fn evict(&self, now: Duration, gone: impl Fn(Tag) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|tag, list| {
            list.retain(|it| now < it.until && !it.connection.sender.is_closed());
            !list.is_empty() && !gone(*tag)
        });
    }
}

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Opens a connection that no pool counts.
///
/// # Errors
///
/// If no connection is established within `timeout`; no request was sent then.
pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, Error> {
    let counted = Counted::new(&Rc::default());
    open_counted(address, timeout, Buffers::default(), counted).await
}

async fn open_counted(
    address: SocketAddr,
    timeout: Duration,
    buffers: Buffers,
    counted: Counted,
) -> Result<Connection, Error> {
    let connecting = tokio::time::timeout(timeout, connect(address, buffers));
    let Ok(stream) = connecting.await else {
        return TimeoutSnafu { address, timeout }.fail();
    };
    let stream = stream.context(ConnectSnafu { address })?;
    let allowance = Allowance::default();
    let stream = Bounded::new(stream, allowance.clone(), counted);
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.context(HandshakeSnafu { address })?;
    // The request that uses the connection receives its errors.
    let task = tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(Connection {
        sender,
        allowance,
        task: task.abort_handle(),
        used: false,
    })
}

/// Opens a connection that breaks off soon after the other side is gone.
pub(crate) async fn connect(address: SocketAddr, buffers: Buffers) -> std::io::Result<TcpStream> {
    let stream = buffers.connect(address).await?;
    stream.set_nodelay(true)?;
    let reference = socket2::SockRef::from(&stream);
    reference.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    set_keepalive(&reference, KEEPALIVE_INTERVAL)?;
    Ok(stream)
}

/// Enables keep-alive probes after an idle time of `time` and at the same interval.
///
/// # Errors
///
/// If the system rejects the option.
pub fn set_keepalive(socket: &socket2::SockRef<'_>, time: Duration) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new().with_time(time).with_interval(time);
    socket.set_tcp_keepalive(&keepalive)
}

/// Retention of an idle connection after an answer with these headers.
#[must_use]
pub fn keep_alive(headers: &HeaderMap) -> Duration {
    let field = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = field.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields.find_map(|it| it.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, |it| {
        Duration::from_secs(it)
            .saturating_sub(CLOSE_MARGIN)
            .max(DEFAULT_KEEP_ALIVE)
    })
}
