//! The HTTP server under every stand-in.
//!
//! A stand-in has to break a connection on demand: halfway through a stream,
//! or after a request took effect and before its answer. It must also notice a
//! caller that leaves, and end every connection when it is stopped. Servers
//! that own their sockets out of reach (rouille and `tiny_http` among them)
//! cannot do these, so this module uses `hyper`, where a failing body or
//! service closes the connection.
//!
//! One thread runs the sockets. A request is read whole and given to the
//! [`Handler`] on a bounded pool of blocking threads, so that handlers are
//! ordinary blocking code. A streamed answer holds no thread: whoever owns the
//! sending half of its channel writes to it, and each part leaves at once.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Most requests that one server handles at once in blocking code.
const MAX_THREADS: usize = 512;

/// How long an unused handler thread is kept.
const THREAD_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// A request, read whole.
pub(crate) struct Request {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark; empty when there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Path segments between slashes.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// A header's value, when it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A number from the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// The body as JSON; the error is a ready 400 answer.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Answer::reason(StatusCode::BAD_REQUEST, &err.to_string()))
    }
}

/// One part of a streamed answer.
pub(crate) enum Part {
    /// Bytes to send at once.
    Data(Bytes),
    /// Break the connection here.
    Cut,
}

/// A whole answer.
pub(crate) struct Whole {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

/// What a handler answers.
pub(crate) enum Answer {
    /// The whole answer is known.
    Whole(Whole),
    /// The whole answer will be sent through this channel; the connection is
    /// closed when the sender is dropped instead.
    Later(oneshot::Receiver<Whole>),
    /// A stream of parts, which ends well when the sender is dropped.
    Stream(Vec<(&'static str, String)>, mpsc::UnboundedReceiver<Part>),
    /// Close the connection without an answer.
    Close,
}

impl Whole {
    /// A JSON answer.
    pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Self {
        let body = serde_json::to_vec(body).expect("answers are plain data");
        Self::bytes(status, "application/json", Bytes::from(body))
    }

    /// An answer of raw bytes.
    pub fn bytes(status: StatusCode, kind: &str, body: Bytes) -> Self {
        let headers = vec![("content-type", kind.to_owned())];
        Self {
            status,
            headers,
            body,
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// The body of an answer that tells why something was refused.
#[derive(Serialize)]
struct Reason<'a> {
    reason: &'a str,
}

impl Answer {
    /// A JSON answer with status 200.
    pub fn ok<T: Serialize>(body: &T) -> Self {
        Self::Whole(Whole::json(StatusCode::OK, body))
    }

    /// A refusal with its reason.
    pub fn reason(status: StatusCode, reason: &str) -> Self {
        Self::Whole(Whole::json(status, &Reason { reason }))
    }

    /// A refusal that promises that the request did not run.
    pub fn not_run(status: StatusCode, reason: &str) -> Self {
        Self::Whole(Whole::json(status, &Reason { reason }).with_header("x-not-run", "1"))
    }

    /// The answer to a path that the stand-in does not serve.
    pub fn not_found() -> Self {
        Self::reason(StatusCode::NOT_FOUND, "not found")
    }
}

/// The blocking code behind a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: &Request) -> Answer;

    /// Called once when the server stops.
    fn stop(&self) {}
}

/// A running stand-in; it stops when dropped.
pub struct Server {
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds the address and starts to serve.
    pub(crate) fn start(listen: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(MAX_THREADS)
            .thread_keep_alive(THREAD_KEEP_ALIVE)
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let behind = Arc::clone(&handler);
        let thread = std::thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || {
                runtime.block_on(accept(listener, behind, stopped));
                runtime.shutdown_background();
            })?;
        Ok(Self {
            address,
            handler,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// The address that the server is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and breaks every connection.
    pub fn stop(mut self) {
        self.end();
    }

    /// Waits until the server ends, which it does only on a failure.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
            self.handler.stop();
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

/// Accepts connections until the server is stopped.
async fn accept(
    listener: std::net::TcpListener,
    handler: Arc<dyn Handler>,
    mut stopped: oneshot::Receiver<()>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        tokio::select! {
            _ = &mut stopped => return,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    tokio::spawn(connection(socket, Arc::clone(&handler)));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            },
        }
    }
}

/// Serves one connection until either side ends it.
async fn connection(socket: TcpStream, handler: Arc<dyn Handler>) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| answer(request, Arc::clone(&handler)));
    // A failure here is a caller that left or a fault that was asked for.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

/// Reads one request, runs the handler and turns its answer into a response.
async fn answer(
    request: hyper::Request<Incoming>,
    handler: Arc<dyn Handler>,
) -> Result<Response<Payload>, io::Error> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY)
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let request = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    let answer = tokio::task::spawn_blocking(move || handler.handle(&request))
        .await
        .map_err(io::Error::other)?;
    match answer {
        Answer::Whole(whole) => response(whole),
        Answer::Later(whole) => response(whole.await.map_err(io::Error::other)?),
        Answer::Stream(headers, parts) => respond(StatusCode::OK, headers, Payload::Stream(parts)),
        Answer::Close => Err(io::Error::other("closed on demand")),
    }
}

fn response(whole: Whole) -> Result<Response<Payload>, io::Error> {
    let payload = Payload::Whole(Full::new(whole.body));
    respond(whole.status, whole.headers, payload)
}

fn respond(
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    payload: Payload,
) -> Result<Response<Payload>, io::Error> {
    let builder = Response::builder().status(status);
    headers
        .into_iter()
        .fold(builder, |builder, (name, value)| {
            builder.header(name, value)
        })
        .body(payload)
        .map_err(io::Error::other)
}

/// The body of a response.
enum Payload {
    Whole(Full<Bytes>),
    Stream(mpsc::UnboundedReceiver<Part>),
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(never),
            Self::Stream(parts) => parts.poll_recv(cx).map(|part| {
                part.map(|part| match part {
                    Part::Data(bytes) => Ok(Frame::data(bytes)),
                    Part::Cut => Err(io::Error::other("cut on demand")),
                })
            }),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}

fn never(err: Infallible) -> io::Error {
    match err {}
}
