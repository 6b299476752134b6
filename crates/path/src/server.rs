//! Callers' connections, and the pages for the platform and operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::content::Digest;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::exchange;
use crate::node::Node;
use crate::pool;
use crate::shutdown;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Time for which an idle connection is kept before a configuration is known.
const IDLE: Duration = Duration::from_secs(15);

/// Part of the callers' idle limit that is added, as they may use all of it.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Idle time after which the system probes whether a caller is still there.
const CALLER_PROBE: Duration = Duration::from_secs(5);

/// Path at which operators list and lift what is quarantined.
const QUARANTINE: &str = "/quarantine";

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a port can't be served.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// Opens a port.
///
/// # Errors
///
/// If the address can't be had.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    bind(address).context(Snafu { address })
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(node: &Rc<Node>, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                let line = node.journal.line("accept_failed");
                drop(line.with("error", error.to_string()));
                node.record_accept_failure();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers for as long as the router runs.
pub async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&node, &listener).await;
        // Only a delay is lost if this fails.
        drop(stream.set_nodelay(true));
        // And with this, descriptors of callers that vanished, until the idle limit ends them.
        drop(pool::probe(&socket2::SockRef::from(&stream), CALLER_PROBE));
        tokio::task::spawn_local(serve_caller(node.clone(), stream));
    }
}

async fn serve_caller(node: Rc<Node>, stream: TcpStream) {
    let open = Open::new(&node);
    let idle = node.table().map_or(IDLE, |it| it.limits().idle_timeout);
    let head_bytes = node.table().map_or(16 * 1024, |it| it.limits().head_bytes);
    let server = node.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = server.clone();
        async move { Ok::<_, Infallible>(exchange::serve(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(head_bytes.max(16 * 1024))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An answer that broke off has been told by its request.
        _ = connection.as_mut() => return,
        () = shutdown::idle_close(&node) => connection.as_mut().graceful_shutdown(),
    }
    drop(connection.await);
    drop(open);
}

/// A caller's connection that is open.
struct Open(Rc<Node>);

impl Open {
    fn new(node: &Rc<Node>) -> Self {
        node.open.set(node.open.get() + 1);
        Self(node.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A page of the router itself.
#[derive(Clone, Copy, Debug)]
pub enum Page {
    /// Whether callers should be sent here.
    Ready,
    /// Counters.
    Metrics,
}

/// Serves a page for as long as the router runs.
pub async fn serve_page(node: Rc<Node>, listener: TcpListener, page: Page) {
    loop {
        let stream = accept(&node, &listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = show(&node, page, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            // Whoever asks comes again if this fails.
            drop(connection.await);
        });
    }
}

fn show(node: &Rc<Node>, page: Page, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match page {
        Page::Ready if node.ready() => {}
        Page::Ready => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        Page::Metrics => match operate(node, request) {
            Ok(text) => *response.body_mut() = Full::new(Bytes::from(text)),
            Err(status) => *response.status_mut() = status,
        },
    }
    response
}

/// What operators read and do at the address of the counters.
fn operate(node: &Rc<Node>, request: &Request<Incoming>) -> Result<String, StatusCode> {
    let path = request.uri().path();
    let Some(content) = path.strip_prefix(QUARANTINE) else {
        return Ok(node.metrics.text());
    };
    let content = content.trim_start_matches('/');
    match (request.method(), content) {
        (&Method::GET, "") => Ok(node.quarantine_listing()),
        (&Method::DELETE, content) => {
            let content = Digest::parse(content).ok_or(StatusCode::BAD_REQUEST)?;
            let lifted = node.lift_quarantine(content);
            let lifted = lifted.then(String::new);
            lifted.ok_or(StatusCode::NOT_FOUND)
        }
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    }
}
