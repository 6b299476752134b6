//! HTTP servers for callers, the platform's readiness checks and operators.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::content::Digest;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::rt::Write;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::ending::{self, Marker};
use crate::exchange;
use crate::handover::{self, Offer};
use crate::node::Node;
use crate::pool;
use crate::shutdown;

/// Limit of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Idle timeout of callers' connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Added to the idle timeout of callers' connections, so that callers may use all of it.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Interval of keep-alive probes of callers' connections.
const CALLER_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Path at which operators list quarantined contents and lift a quarantine.
const QUARANTINE_PATH: &str = "/quarantine";

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Error of opening a listening socket.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// Opens a listening socket.
///
/// # Errors
///
/// If the address can't be bound.
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves callers until the router terminates.
pub async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&node, &listener).await;
        prepare(&stream);
        tokio::task::spawn_local(handover::serve(node.clone(), stream));
    }
}

/// Sets the options of a caller's connection.
pub(crate) fn prepare(stream: &TcpStream) {
    // A failure only increases latency.
    drop(stream.set_nodelay(true));
    // After a failure, connections of callers that are gone stay open until the idle timeout.
    drop(pool::set_keepalive(
        &socket2::SockRef::from(stream),
        CALLER_KEEPALIVE_INTERVAL,
    ));
}

/// Serves a connection of a caller, which a neighbour may forward by its `offer`.
pub(crate) async fn serve_caller(node: Rc<Node>, stream: TcpStream, offer: Option<Offer>) {
    let idle = node
        .table()
        .map_or(DEFAULT_IDLE_TIMEOUT, |it| it.limits().idle_timeout);
    let head_bytes = node.table().map_or(16 * 1024, |it| it.limits().head_bytes);
    let server = node.clone();
    let marker = Marker::default();
    let connection = ending::Connection::new(stream, marker.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, marker) = (server.clone(), marker.clone());
        Box::pin(async move {
            let response = exchange::serve(node, request).await;
            let response = response.map(|it| {
                if it.ends_with_connection() {
                    marker.begin(it)
                } else {
                    marker.pass(it)
                }
            });
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(head_bytes.max(16 * 1024))
        .auto_date_header(false)
        .serve_connection(connection, service);
    let result = tokio::select! {
        // An answer that broke off was logged for its request.
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
        () = idle_close(&node, offer) => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let parts = connection.into_parts();
    let mut connection = parts.io;
    if let Some(offer) = offer {
        handover::log_end(
            &node,
            offer,
            parts.read_buf.len() + connection.discard_unread(),
        );
    }
    if result.is_ok() {
        // The caller may have closed it already.
        drop(poll_fn(|context| Pin::new(&mut connection).poll_shutdown(context)).await);
    }
    drop(connection);
}

/// Returns once the connection should be closed as soon as it is idle.
async fn idle_close(node: &Rc<Node>, offer: Option<Offer>) {
    let released = async {
        match offer {
            Some(offer) => handover::released(node, offer).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = shutdown::idle_close(node) => {}
        () = released => {}
    }
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct OpenConnection(Rc<Node>);

impl OpenConnection {
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        node.open.set(node.open.get() + 1);
        Self(node.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Page that the router serves.
#[derive(Clone, Copy, Debug)]
pub enum Page {
    /// Readiness of the router for callers.
    Ready,
    /// Metrics, and the list of quarantined contents.
    Metrics,
}

/// Serves a page until the router terminates.
pub async fn serve_page(node: Rc<Node>, listener: TcpListener, page: Page) {
    loop {
        let stream = accept(&node, &listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = page_response(&node, page, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            // Clients of the page repeat failed requests.
            drop(connection.await);
        });
    }
}

fn page_response(
    node: &Rc<Node>,
    page: Page,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match page {
        Page::Ready if node.ready() => {}
        Page::Ready => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        Page::Metrics => match operator_response(node, request) {
            Ok(text) => *response.body_mut() = Full::new(Bytes::from(text)),
            Err(status) => *response.status_mut() = status,
        },
    }
    response
}

/// Handles a request to the metrics address, where operators also list and lift quarantines.
fn operator_response(node: &Rc<Node>, request: &Request<Incoming>) -> Result<String, StatusCode> {
    let path = request.uri().path();
    let Some(content) = path.strip_prefix(QUARANTINE_PATH) else {
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
