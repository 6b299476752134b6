//! HTTP servers for callers, the platform's readiness checks and operators.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::connections::Phase;
use dunlinward_dispatch::content::Digest;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::rt::Write;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::buffers::Buffers;
use crate::caller::{self, Caller, Service};
use crate::ending::{self, Marked, Marker};
use crate::exchange::{self, Past};
use crate::handover;
use crate::handover::taken::{Answer, Progress, Taken, Upload};
use crate::held;
use crate::node::Node;
use crate::pool;
use crate::reply::Payload;
use crate::settings::Settings;
use crate::shutdown;

/// Limit of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Idle timeout of callers' connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Added to the idle timeout of callers' connections, so that callers may use all of it.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Time for which a new connection may bring its first request, also while the router shuts down.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Time within which a caller must have read the last answer of its connection, if it has sent more
/// than its request: the system resets a socket that is closed with unread bytes.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Connections to a page that are open at the same time.
const MAX_PAGE_CONNECTIONS: usize = 8;

/// Idle timeout of connections to pages, which also bounds the time for a head.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

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

/// Opens a listening socket of a router.
///
/// # Errors
///
/// If the address can't be bound.
pub fn listen(settings: &Settings, address: SocketAddr) -> Result<TcpListener, Error> {
    let listening = Buffers::new(settings).listen(address, BACKLOG);
    listening.context(Snafu { address })
}

/// Accepts the next connection; waits while there are no descriptors.
pub(crate) async fn accept(node: &Rc<Node>, listener: &TcpListener) -> TcpStream {
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
        // Closed before a byte of it is read, another router can take its request.
        let Some(caller) = Caller::open(&node) else {
            continue;
        };
        caller::close_displaced(&node).await;
        prepare(&stream);
        tokio::task::spawn_local(handover::serve(node.clone(), stream, caller));
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

/// Idle timeout of callers' connections.
pub(crate) fn idle_timeout(node: &Node) -> Duration {
    let limits = node.table().map(|it| it.limits().idle_timeout);
    limits.unwrap_or(DEFAULT_IDLE_TIMEOUT) + IDLE_SLACK
}

/// HTTP server of callers' connections.
fn http(node: &Node) -> http1::Builder {
    let head_bytes = node.table().map_or(16 * 1024, |it| it.limits().head_bytes);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout(node))
        .max_buf_size(head_bytes.max(16 * 1024))
        .auto_date_header(false);
    builder
}

/// Serves a connection of a caller of which the bytes `unread` were received; `past` is that of its
/// first request. A connection whose first request may have run elsewhere is closed behind it.
pub async fn serve_caller(
    node: Rc<Node>,
    stream: TcpStream,
    unread: Bytes,
    past: Past,
    caller: Rc<Caller>,
) {
    let server = node.clone();
    let marker = Marker::default();
    let connection = ending::Connection::new(stream, marker.clone()).with_unread(unread);
    let connection = connection.with_caller(caller.clone());
    let own = caller.clone();
    let closing = Rc::new(Cell::new(false));
    let announced = closing.clone();
    let past = Cell::new(past);
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, marker, closing) = (server.clone(), marker.clone(), closing.clone());
        let past = past.take();
        let exchange = Service::begin(&own, request.body().is_end_stream());
        let caller = own.clone();
        Box::pin(async move {
            let request = request.map(|it| caller::Upload::new(it, caller));
            let mut response = exchange::serve(node, request, past).await;
            if past.may_have_run() {
                close_behind(&mut response);
            }
            closing.set(response.headers().contains_key(CONNECTION));
            Ok::<_, Infallible>(response.map(|it| Answer::new(marked(it, &marker), exchange)))
        })
    });
    let mut connection = http(&node).serve_connection(connection, service);
    let result = tokio::select! {
        // What was received is read before an idle connection is closed.
        biased;
        // An answer that broke off was logged for its request.
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
        () = idle_close(&node) => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let mut connection = connection.into_parts().io;
    caller.enter(Phase::Closing);
    if result.is_ok() {
        // The caller may have closed it already.
        drop(poll_fn(|context| Pin::new(&mut connection).poll_shutdown(context)).await);
        // Bytes behind an answer that asked the caller to close are no request.
        if announced.get() {
            let until = node.now() + LINGER_TIME;
            node.timeout_at(until, connection.discard(&node)).await;
        }
    }
    drop(connection);
}

/// Returns once a connection that is new now should be closed as soon as it is idle.
async fn idle_close(node: &Rc<Node>) {
    let opened_at = node.now();
    shutdown::idle_close(node).await;
    node.sleep_until(opened_at + FIRST_REQUEST_TIME).await;
}

/// How the serving of a connection that a neighbour forwards has ended.
pub(crate) enum End {
    /// It is to be returned, with bytes that were read and not used.
    Returned(Taken, Bytes),
    /// It is to be closed, though these bytes were read and not used.
    Closed(Taken, Bytes),
    /// It has broken off, or an answer on it that is framed by its connection.
    Broken,
}

/// Serves a connection that a neighbour forwards until it ends or, once `released` has returned,
/// no request is being served.
pub(crate) async fn serve_taken(
    node: &Rc<Node>,
    taken: Taken,
    progress: Progress,
    released: impl Future<Output = ()>,
) -> End {
    let server = node.clone();
    let marker = Marker::default();
    let (serving, mark) = (progress.clone(), marker.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let exchange = serving.begin();
        // A request that was pipelined behind the last one that is served.
        let refused = serving.is_returning();
        let (node, progress, marker) = (server.clone(), serving.clone(), mark.clone());
        Box::pin(async move {
            let read = Rc::new(Cell::new(request.body().is_end_stream()));
            let request = request.map(|it| Upload::new(it, read.clone()));
            let response = if refused {
                exchange::refuse_released(&node)
            } else {
                exchange::serve_taken(node, request, progress.clone()).await
            };
            let response = with_close(response, &progress, read.get());
            Ok::<_, Infallible>(response.map(|it| Answer::new(marked(it, &marker), exchange)))
        })
    });
    let mut connection = http(node).serve_connection(taken, service);
    let result = tokio::select! {
        // No request is read after a change.
        biased;
        () = released => {
            progress.stop();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
    };
    let parts = connection.into_parts();
    match result {
        _ if progress.is_broken() => End::Broken,
        _ if progress.is_stopped() => End::Returned(parts.io, parts.read_buf),
        // The first router decides on idle connections and on slow heads.
        Err(error) if error.is_timeout() => End::Returned(parts.io, parts.read_buf),
        Ok(()) if !marker.is_open() => End::Closed(parts.io, parts.read_buf),
        Err(_) if !marker.is_marked() => End::Closed(parts.io, parts.read_buf),
        Ok(()) | Err(_) => End::Broken,
    }
}

/// Body of an answer, which marks its connection if only the end of the connection ends it.
fn marked(payload: Payload, marker: &Marker) -> Marked<Payload> {
    if payload.ends_with_connection() {
        marker.begin(payload)
    } else {
        marker.pass(payload)
    }
}

/// Asks for the end of a forwarded connection if a body was not read to its end: the bytes that
/// follow on it are no request.
fn with_close(
    mut response: Response<Payload>,
    progress: &Progress,
    body_read: bool,
) -> Response<Payload> {
    if !body_read {
        close_behind(&mut response);
    }
    if response.headers().contains_key(CONNECTION) || response.body().ends_with_connection() {
        progress.close();
    }
    response
}

/// Asks the caller to close its connection behind an answer.
fn close_behind<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
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

/// Serves a page until the router terminates. A connection beyond the limit closes the oldest one.
pub async fn serve_page(node: Rc<Node>, listener: TcpListener, page: Page) {
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = accept(&node, &listener).await;
        open.retain(|it| !it.is_finished());
        if open.len() >= MAX_PAGE_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            node.metrics.add("page_connections", "displaced", 1);
            oldest.abort();
        }
        let node = node.clone();
        let task = tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = page_response(&node, page, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PAGE_IDLE_TIMEOUT)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            // Clients of the page repeat failed requests.
            drop(connection.await);
        });
        open.push_back(task.abort_handle());
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
        held::update_gauges(node);
        caller::update_gauges(node);
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
