//! The callers' port.
//!
//! The libraries that serve the operators' port cannot guard this one: rouille
//! and the `tiny_http` under it wait for a slow head for ever, bound no
//! connections, keep the sockets to themselves, and see a caller that leaves only
//! at the next write. So this port runs on their nearest kin that can: `hyper`.
//! What protects the entry:
//!
//! - at most `connections` sockets; one more is told so at once and closed;
//! - a head must be whole within `header_timeout`, its body within another;
//! - a body larger than the limit is refused before it is read whole;
//! - all bodies together have a limit too, at which those of the customer that holds most give way;
//! - a caller that leaves is noticed at once, while waiting and while streaming,
//!   and its request leaves queue or target;
//! - a caller that reads nothing holds its attempt for [`crate::reply::STALL`].
//!
//! One thread runs all sockets. A waiting request costs memory but no thread.

mod admit;
mod bodies;
mod body;
mod parse;

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::refusal::{Notice, Reason};
pub(crate) use admit::Desk;
pub(crate) use bodies::{Bodies, Charge};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long a connection that is turned away may take to read why.
const TURN_AWAY: Duration = Duration::from_secs(1);

/// Connections that are being turned away at once.
const TURNED_AWAY: usize = 64;

/// The listener of the callers' port.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Binds the address and starts to serve.
    pub fn start(listen: SocketAddr, desk: Arc<Desk>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (stop, stopped) = watch::channel(false);
        let thread = std::thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || runtime.block_on(serve(listener, desk, stopped)))?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections, lets running answers end, and waits for that.
    pub fn stop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the callers panicked");
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

/// How long answers may take to end after the listener was stopped.
const LAST_ANSWERS: Duration = Duration::from_secs(2);

/// How long after the sign to stop idle connections are closed: requests that were on their way are
/// read and answered.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

async fn serve(listener: TcpListener, desk: Arc<Desk>, mut stopped: watch::Receiver<bool>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return log::error!("callers: {err}"),
    };
    let places = Arc::new(Semaphore::new(desk.connections));
    let away = Arc::new(Semaphore::new(TURNED_AWAY));
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = given(&mut stopped) => break,
            Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
            let served = connection(socket, Arc::clone(&desk), stopped.clone());
            tasks.spawn(async move {
                served.await;
                drop(place);
            });
            continue;
        }
        desk.metrics.edge_refused(Reason::ConnectionsFull);
        let id = desk.unread();
        if let Ok(place) = Arc::clone(&away).try_acquire_owned() {
            tasks.spawn(async move {
                turn_away(socket, &id).await;
                drop(place);
            });
        }
    }
    drop(listener);
    let ended = async { while tasks.join_next().await.is_some() {} };
    if tokio::time::timeout(LAST_ANSWERS, ended).await.is_err() {
        log::warn!("callers were still connected when the router stopped");
    }
}

/// Waits for the sign to stop.
async fn given(stopped: &mut watch::Receiver<bool>) {
    // An error means that the listener is gone, which is a sign as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

/// Waits until idle connections are closed.
async fn closing(stopped: &mut watch::Receiver<bool>) {
    given(stopped).await;
    tokio::time::sleep(CLOSE_DELAY).await;
}

async fn connection(socket: TcpStream, desk: Arc<Desk>, mut stopped: watch::Receiver<bool>) {
    let _ = socket.set_nodelay(true);
    desk.metrics.connected(1);
    let served = Arc::clone(&desk);
    let service = service_fn(move |request| {
        let desk = Arc::clone(&served);
        async move { Ok::<_, Infallible>(desk.answer(request).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(desk.header_timeout)
            .serve_connection(TokioIo::new(socket), service)
    );
    // An error is a caller that left, was too slow, or an answer that was cut.
    let ended = tokio::select! {
        // What was received is read before an idle connection is closed.
        biased;
        ended = connection.as_mut() => ended,
        () = closing(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("a caller's connection ended: {err}");
    }
    desk.metrics.connected(-1);
}

/// Tells a caller for whom there is no place.
async fn turn_away(mut socket: TcpStream, id: &str) {
    let answer = Notice::edge(Reason::ConnectionsFull).answer(id);
    let mut bytes =
        format!("HTTP/1.1 {}\r\nconnection: close\r\n", answer.head.status).into_bytes();
    for (name, value) in &answer.head.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let length = format!("content-length: {}\r\n\r\n", answer.body.len());
    bytes.extend_from_slice(length.as_bytes());
    bytes.extend_from_slice(&answer.body);
    let told = async {
        socket.write_all(&bytes).await?;
        socket.shutdown().await?;
        // Closing over unread bytes would reset the connection before the caller reads.
        tokio::io::copy(&mut socket, &mut tokio::io::sink()).await
    };
    let _ = tokio::time::timeout(TURN_AWAY, told).await;
}
