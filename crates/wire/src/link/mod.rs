//! Links: authenticated sessions between routers over TCP and HTTP/2.
//!
//! A [`Pool`] owns one thread with a small runtime. It accepts connections,
//! dials a peer when a message waits for it, and reports to one inbox. Each
//! connection carries a single HTTP/2 stream that stays open: its request body
//! holds the dialer's frames and its response body the acceptor's, so that a
//! pair of routers needs one connection and a message needs no headers.
//!
//! When two routers dial each other at once, both sessions stand, and each end
//! sends on the newest it knows. The other falls idle and is closed. Sending
//! on the newest also means that a peer which lost its end of an old session
//! is reached at once by the new one.
//!
//! Invariants:
//!
//! - [`Pool::send`] takes a short lock and never waits for the network.
//! - `Up` comes before the messages of an incarnation and `Down` after them;
//!   between the two, sessions may come and go.
//! - Bytes that do not belong to a session end that session and nothing else.
//! - Memory is bounded by the queue of each peer, the window of each stream
//!   and the number of connections that are still opening. The inbox is not
//!   bounded; its reader has to keep up.

mod accept;
mod channel;
mod dial;
mod meter;
mod peer;
mod replay;
mod session;
mod settings;
mod shared;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use crate::counter::{Loss, Snapshot};
use crate::hello::Identity;

pub use settings::Settings;
use shared::Shared;

/// Time between two looks at the queues while they are flushed.
const FLUSH_POLL: Duration = Duration::from_millis(1);

/// What a pool reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first session with an incarnation of a peer opened.
    Up {
        /// The peer.
        peer: Identity,
    },
    /// The last session with an incarnation of a peer ended.
    Down {
        /// Name of the peer.
        instance: Arc<str>,
        /// Incarnation whose sessions ended.
        incarnation: u64,
    },
    /// A message arrived.
    Message {
        /// Name of the sender.
        from: Arc<str>,
        /// Incarnation of the sender.
        incarnation: u64,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// Where an instance accepts links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address to dial.
    pub address: SocketAddr,
}

/// A pool that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listen address cannot be used.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause given by the system.
        source: io::Error,
    },
    /// The thread or its runtime could not be started.
    #[snafu(display("cannot start the runtime of the links"))]
    Start {
        /// Cause given by the system.
        source: io::Error,
    },
}

/// Links of one instance to its peers.
#[derive(Debug)]
pub struct Pool {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl Pool {
    /// Listens and starts the pool's thread; events go to `inbox`.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] or [`Error::Start`].
    pub fn new(settings: Settings, inbox: Sender<Event>) -> Result<Self, Error> {
        let wanted = settings.listen;
        let (listener, address) = listen(wanted).context(ListenSnafu { address: wanted })?;
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .context(StartSnafu)?;
        let handle = runtime.handle().clone();
        let shared = Arc::new(Shared::new(settings, address, handle, inbox));
        let stop = Arc::new(Notify::new());
        let thread = spawn(runtime, listener, Arc::clone(&shared), Arc::clone(&stop))?;
        Ok(Self {
            shared,
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Address at which the pool accepts links.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list of peers that may be dialed.
    ///
    /// A session with an instance that is no longer listed stands until it
    /// ends by itself.
    pub fn set_peers(&self, peers: &[Peer]) {
        self.shared.set_peers(peers);
    }

    /// Queues a message for a peer and dials it when no session stands.
    ///
    /// # Errors
    ///
    /// [`Loss::Unknown`] for a peer neither listed nor connected,
    /// [`Loss::Oversize`] beyond [`crate::batch::MAX_MESSAGE`]; both are counted.
    pub fn send(&self, peer: &str, message: Vec<u8>) -> Result<(), Loss> {
        self.shared.send(peer, message)
    }

    /// Waits until all queued messages were written; false after `limit`.
    ///
    /// For the end of a graceful shutdown. Written is not delivered.
    #[must_use]
    pub fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.shared.is_flushed() {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(FLUSH_POLL);
        }
        let rest = end.saturating_duration_since(Instant::now());
        self.shared.turn(rest)
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Snapshot {
        self.shared.counter.snapshot()
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the links panicked");
        }
    }
}

fn listen(wanted: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(wanted)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

fn spawn(
    runtime: Runtime,
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: Arc<Notify>,
) -> Result<JoinHandle<()>, Error> {
    std::thread::Builder::new()
        .name("links".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept::run(shared, listener) => {}
                    () = stop.notified() => {}
                }
            });
        })
        .context(StartSnafu)
}
