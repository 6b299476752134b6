//! Connections that are handed over to a neighbour.
//!
//! The platform sends all connections of some clients to one router, and a small one serves few
//! streams at a time. A router whose admission control has little left
//! ([`dispatch::intake`](dunlinward_dispatch::intake)) opens a connection to a neighbour of its
//! failure domain for each new connection of a client and forwards bytes in both directions. The
//! neighbour serves that connection as if it were a client's. Forwarding bytes costs a fraction of
//! serving a request, so one small router carries several times what it could serve.
//!
//! A connection is bound to the configuration in force at both routers: a client must not see an
//! older one after a newer one. The neighbour takes it only if both have the same. After a change
//! on either side, and before either side shuts down, the neighbour completes the requests that
//! have begun and returns the connection ([`frame`]) with the bytes that it has not used. The first
//! router then serves it like a new one, so neither side closes a connection on which a request is
//! on its way.
//!
//! The router that forwards does not parse answers, so it can't tell a whole one from one that was
//! cut. It closes its client's connection in the usual way only after the neighbour has asked for
//! that. If the neighbour is lost within an answer, the connection is reset ([`crate::ending`]).
//! Otherwise the first router serves the connection again ([`pending`]), and a request whose answer
//! is due counts as one that was sent to a target and may have run ([`crate::exchange::Past`]).

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config::standard;
use bytes::Bytes;
use dunlinward_dispatch::connections::Phase;
use dunlinward_dispatch::member::Condition;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::caller::{self, Caller};
use crate::exchange::Past;
use crate::node::Node;
use crate::pool;
use crate::server::{self, OpenConnection};
use crate::shutdown;
use forwarding::Outcome;
use taken::{Progress, Taken};

pub mod forwarding;
pub mod frame;
pub mod pending;
pub(crate) mod taken;

/// Length prefix of an offer, on the port at which peers also fetch views. A request for views has
/// at least two bytes; an earlier release, which states no ends of answers, closes the connection.
pub(crate) const OFFER_MARK: u16 = 0;

/// Replies of a neighbour.
const TAKEN: u8 = 1;
const DECLINED: u8 = 0;

/// Time within which a neighbour must take a connection: some round trips within the failure
/// domain, and a fraction of the shortest objective of a stream.
const OFFER_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause after all neighbours that were asked have declined: while a whole failure domain is short,
/// offers would take processor time from requests.
const DECLINED_PAUSE: Duration = Duration::from_millis(200);

/// Routers that a connection is handed over to for the same bytes: each may wait for the rest of a
/// head until its idle timeout.
const MAX_OFFERS: u32 = 2;

/// Limit of connections that are forwarded at a time, each with two buffers.
const MAX_HANDED_OVER: usize = 1_024;

/// Connections that this router forwards, and what ends those that neighbours forward to it.
#[derive(Debug)]
pub struct Handovers {
    open: Cell<usize>,
    /// Bytes of requests that are kept.
    kept: Cell<usize>,
    counts: Cell<Counts>,
    /// Until when no connection is offered.
    paused_until: Cell<Duration>,
    /// Changes whenever a connection may no longer be bound to what it was.
    changes: watch::Sender<u64>,
}

impl Default for Handovers {
    fn default() -> Self {
        Self {
            open: Cell::default(),
            kept: Cell::default(),
            counts: Cell::default(),
            paused_until: Cell::default(),
            changes: watch::Sender::new(0),
        }
    }
}

/// Connections since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Taken by a neighbour.
    pub taken: u64,
    /// Offers that neighbours declined or did not answer in time.
    pub declined: u64,
}

impl Handovers {
    /// Number of connections that are forwarded to neighbours.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn take_counts(&self) -> Counts {
        self.counts.take()
    }

    /// Announces that the configuration, or the routers that are alive, have changed.
    pub(crate) fn announce_change(&self) {
        self.changes.send_modify(|it| *it += 1);
    }
}

/// Offer of a connection to a neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Router that forwards the connection.
    from: SocketAddr,
    /// Version of its configuration.
    configuration: u64,
}

impl Offer {
    /// Creates the offer of a router with this version of the configuration.
    #[must_use]
    pub fn new(from: SocketAddr, configuration: u64) -> Self {
        Self {
            from,
            configuration,
        }
    }

    /// Encodes it, with its mark and its length as a prefix.
    ///
    /// # Errors
    ///
    /// If it can't be serialized.
    pub fn encode(self) -> io::Result<Vec<u8>> {
        let encoded = bincode::serde::encode_to_vec(self, standard()).map_err(io::Error::other)?;
        let length = u16::try_from(encoded.len()).map_err(io::Error::other)?;
        let mut bytes = OFFER_MARK.to_be_bytes().to_vec();
        bytes.extend(length.to_be_bytes());
        bytes.extend(encoded);
        Ok(bytes)
    }

    /// Reads an offer behind its mark.
    pub(crate) async fn read(stream: &mut TcpStream) -> io::Result<Self> {
        let length = stream.read_u16().await?;
        let mut bytes = vec![0; usize::from(length)];
        stream.read_exact(&mut bytes).await?;
        let decoded = bincode::serde::decode_from_slice(&bytes, standard());
        decoded.map(|(offer, _)| offer).map_err(io::Error::other)
    }

    /// Whether this router still serves the connection.
    fn holds(self, node: &Node) -> bool {
        let state = node.state.borrow();
        let version = state.table.as_ref().map(|it| it.version());
        let members = &state.members;
        version == Some(self.configuration)
            && members.contains(self.from)
            && !members.is_leaving(self.from)
    }
}

/// Serves a client's connection until it ends or gives way to others.
pub(crate) async fn serve(node: Rc<Node>, stream: TcpStream, caller: Rc<Caller>) {
    tokio::select! {
        biased;
        () = caller.closed() => {}
        () = serve_open(node, stream, caller.clone()) => {}
    }
}

/// Serves a client's connection: here, or by a neighbour if little processor time is left.
async fn serve_open(node: Rc<Node>, mut stream: TcpStream, caller: Rc<Caller>) {
    let guard = OpenConnection::new(&node);
    let mut unread = Bytes::new();
    let mut past = Past::New;
    let mut offers = 0;
    while offers < MAX_OFFERS
        && node.intake.should_hand_over(node.now())
        && let Some(taken) = Box::pin(offer(&node)).await
    {
        let Accepted {
            version,
            neighbor,
            counted: _counted,
        } = taken;
        let forwarded = forwarding::forward(&node, version, stream, unread, neighbor, &caller);
        // Most connections are never forwarded, and need no room for its state.
        match Box::pin(forwarded).await {
            Ok(Outcome::Returned(returned, bytes)) => (stream, unread) = (returned, bytes),
            Ok(Outcome::Unanswered(returned, request)) => {
                past = Past::of(&request);
                (stream, unread) = (returned, request.bytes);
                break;
            }
            Ok(Outcome::Ended) => return,
            // The client saw its connection reset.
            Err(_) => return node.metrics.add("handovers", "cut", 1),
        }
        offers += 1;
        caller.enter(Phase::Idle);
        if unread.is_empty() {
            if !has_next_request(&node, &stream).await {
                return;
            }
            offers = 0;
        }
    }
    caller.enter(Phase::Idle);
    Box::pin(server::serve_caller(node, stream, unread, past, caller)).await;
    drop(guard);
}

/// Waits on an idle connection; whether a request comes before the connection is to be closed.
async fn has_next_request(node: &Rc<Node>, caller: &TcpStream) -> bool {
    let until = node.now() + server::idle_timeout(node);
    let mut first = [0];
    tokio::select! {
        biased;
        read = caller.peek(&mut first) => matches!(read, Ok(1..)),
        () = shutdown::idle_close(node) => false,
        () = node.sleep_until(until) => false,
    }
}

/// Offer that a neighbour has accepted.
struct Accepted {
    /// Version of the configuration that the connection is bound to.
    version: u64,
    /// Connection to the neighbour.
    neighbor: TcpStream,
    counted: Forwarded,
}

/// Counts a connection to a neighbour, from its offer on, until it is dropped.
struct Forwarded(Rc<Node>);

impl Forwarded {
    fn new(node: &Rc<Node>) -> Self {
        node.handovers.open.set(node.handovers.open.get() + 1);
        Self(node.clone())
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        self.0.handovers.open.set(self.0.handovers.open.get() - 1);
    }
}

/// Offers a connection to neighbours.
async fn offer(node: &Rc<Node>) -> Option<Accepted> {
    let version = node.table()?.version();
    if node.now() < node.handovers.paused_until.get() {
        return None;
    }
    if node.leaving_since().is_some() || node.handovers.open.get() >= MAX_HANDED_OVER {
        return None;
    }
    let offer = Offer::new(node.settings.link, version);
    let draw = node.random();
    let candidates = node.state.borrow().members.handover_candidates(draw);
    for address in candidates {
        caller::make_room(node);
        let counted = Forwarded::new(node);
        caller::close_displaced(node).await;
        let until = node.now() + OFFER_TIMEOUT;
        let result = match node
            .timeout_at(until, make_offer(node, address, offer))
            .await
        {
            Some(Ok(Some(neighbor))) => {
                count(node, |it| it.taken += 1, "taken");
                return Some(Accepted {
                    version,
                    neighbor,
                    counted,
                });
            }
            Some(Ok(None)) => "declined",
            Some(Err(_)) => "unreachable",
            None => "unanswered",
        };
        count(node, |it| it.declined += 1, result);
    }
    let paused_until = node.now() + DECLINED_PAUSE;
    node.handovers.paused_until.set(paused_until);
    None
}

fn count(node: &Node, change: impl FnOnce(&mut Counts), label: &str) {
    let mut counts = node.handovers.counts.get();
    change(&mut counts);
    node.handovers.counts.set(counts);
    node.metrics.add("handovers", label, 1);
}

async fn make_offer(
    node: &Node,
    address: SocketAddr,
    offer: Offer,
) -> io::Result<Option<TcpStream>> {
    let mut stream = pool::connect(address, node.pool.buffers()).await?;
    stream.write_all(&offer.encode()?).await?;
    let reply = stream.read_u8().await?;
    Ok((reply == TAKEN).then_some(stream))
}

/// Takes a connection that a neighbour offers, unless this router has too little left itself.
pub(crate) async fn take(node: Rc<Node>, mut stream: TcpStream, offer: Offer) {
    let healthy = node.state.borrow().members.condition() == Condition::Healthy;
    let takes = healthy
        && node.ready()
        && offer.holds(&node)
        && node.intake.has_reserve(node.now())
        && !node.held.is_short()
        && !node.callers.is_short(&node);
    let reply = if takes { TAKEN } else { DECLINED };
    if stream.write_u8(reply).await.is_err() || !takes {
        return;
    }
    let line = node.journal.line("connection_taken");
    drop(line.with("peer", offer.from.to_string()));
    let guard = OpenConnection::new(&node);
    server::prepare(&stream);
    // The first router sees a connection that breaks.
    if serve_taken(&node, stream, offer).await.is_err() {
        node.metrics.add("handovers", "left", 1);
    }
    drop(guard);
}

/// Serves a connection that a neighbour forwards until it ends or is returned.
async fn serve_taken(node: &Rc<Node>, stream: TcpStream, offer: Offer) -> io::Result<()> {
    let progress = Progress::default();
    let taken = Taken::new(stream, progress.clone());
    let end = server::serve_taken(node, taken, progress, released(node, offer)).await;
    match end {
        server::End::Returned(taken, read) => taken.give_back(read, returned_bytes(node)).await,
        server::End::Closed(taken, read) => {
            log_unread(node, offer, read.len() + taken.unread());
            taken.close().await
        }
        server::End::Broken => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// Logs the end of a connection of a neighbour, if it leaves bytes `unread`.
fn log_unread(node: &Node, offer: Offer, unread: usize) {
    if unread == 0 {
        return;
    }
    let line = node.journal.line("forwarded_bytes_unread");
    let line = line.with("peer", offer.from.to_string());
    let version = node.table().map(|it| it.version());
    let line = line.with("bound", offer.configuration);
    let line = line.with("version", version).with("bytes", unread);
    drop(line.with("released", !offer.holds(node)));
}

/// Limit of the bytes that are returned: a request, whose chunks may add as much again.
fn returned_bytes(node: &Node) -> usize {
    let table = node.table();
    table.map_or(0, |it| {
        let limits = it.limits();
        limits.head_bytes + 2 * limits.body_bytes
    })
}

/// Returns once a connection of a neighbour must be returned.
async fn released(node: &Node, offer: Offer) {
    let mut changes = node.handovers.changes.subscribe();
    while offer.holds(node) && node.leaving_since().is_none() {
        // The sender lives as long as the node.
        drop(changes.changed().await);
    }
}
