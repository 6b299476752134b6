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
//! on either side no further request passes; the answer in progress is forwarded to its end.
//!
//! The router that forwards does not parse answers, so it can't tell a whole one from one that was
//! cut. Its client's connection therefore ends as the neighbour's does: in the usual way, or by a
//! reset, which is also what a killed process leaves behind ([`crate::ending`]).

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config::standard;
use dunlinward_dispatch::member::Condition;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{Notify, watch};

use crate::ending;
use crate::node::Node;
use crate::pool;
use crate::server::{self, OpenConnection};

/// Length prefix of an offer, on the port at which peers also fetch views: requests for views are
/// not empty, and an earlier release closes the connection.
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

/// Limit of connections that are forwarded at a time, each with two buffers.
const MAX_HANDED_OVER: usize = 1_024;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// Connections that this router forwards, and what ends those that neighbours forward to it.
#[derive(Debug)]
pub struct Handovers {
    open: Cell<usize>,
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

/// Serves a client's connection: here, or by a neighbour if little processor time is left.
pub(crate) async fn serve(node: Rc<Node>, caller: TcpStream) {
    let guard = OpenConnection::new(&node);
    if node.intake.should_hand_over(node.now())
        && let Some((version, neighbor)) = offer(&node).await
    {
        // What went wrong is counted; the client sees its connection reset.
        if forward(&node, version, caller, neighbor).await.is_err() {
            node.metrics.add("handovers", "cut", 1);
        }
        drop(guard);
        return;
    }
    server::serve_caller(node, caller, None).await;
    drop(guard);
}

/// Offers a connection to neighbours; returns the version that it is bound to, and the connection
/// to the neighbour that takes it.
async fn offer(node: &Rc<Node>) -> Option<(u64, TcpStream)> {
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
        let until = node.now() + OFFER_TIMEOUT;
        let result = match node.timeout_at(until, make_offer(address, offer)).await {
            Some(Ok(Some(stream))) => {
                count(node, |it| it.taken += 1, "taken");
                return Some((version, stream));
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

async fn make_offer(address: SocketAddr, offer: Offer) -> io::Result<Option<TcpStream>> {
    let mut stream = pool::connect(address).await?;
    stream.write_all(&offer.encode()?).await?;
    let reply = stream.read_u8().await?;
    Ok((reply == TAKEN).then_some(stream))
}

/// Takes a connection that a neighbour offers, unless this router has too little left itself.
pub(crate) async fn take(node: Rc<Node>, mut stream: TcpStream, offer: Offer) {
    let healthy = node.state.borrow().members.condition() == Condition::Healthy;
    let takes =
        healthy && node.ready() && offer.holds(&node) && node.intake.has_reserve(node.now());
    let reply = if takes { TAKEN } else { DECLINED };
    if stream.write_u8(reply).await.is_err() || !takes {
        return;
    }
    let line = node.journal.line("connection_taken");
    drop(line.with("peer", offer.from.to_string()));
    let guard = OpenConnection::new(&node);
    server::prepare(&stream);
    server::serve_caller(node, stream, Some(offer)).await;
    drop(guard);
}

/// Logs the end of a connection that a neighbour forwards, if it leaves bytes `unread`.
pub(crate) fn log_end(node: &Node, offer: Offer, unread: usize) {
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

/// Returns once this router must end a connection that a neighbour forwards.
pub(crate) async fn released(node: &Node, offer: Offer) {
    let mut changes = node.handovers.changes.subscribe();
    while offer.holds(node) {
        // The sender lives as long as the node.
        drop(changes.changed().await);
    }
}

/// A connection that is being forwarded.
struct Forwarding<'a> {
    node: &'a Node,
    /// Version of the configuration that it is bound to.
    version: u64,
    /// Whether bytes of a request were forwarded since the last byte of an answer.
    asking: Cell<bool>,
    answering: Notify,
}

/// What ended a connection that was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The neighbour closed it in the usual way.
    Neighbor,
    /// The client closed it.
    Client,
    /// The client sent a request after the connection was released.
    Released,
}

/// Forwards a connection until it ends; no request passes once another configuration than `version`
/// is in force.
///
/// # Errors
///
/// If the neighbour's connection broke off; the client's connection was reset.
pub async fn forward(
    node: &Rc<Node>,
    version: u64,
    mut caller: TcpStream,
    mut neighbor: TcpStream,
) -> io::Result<()> {
    ending::reset_on_close(&caller)?;
    ending::reset_on_close(&neighbor)?;
    let _counted = Forwarded::new(node);
    let forwarding = Forwarding {
        node,
        version,
        asking: Cell::new(false),
        answering: Notify::new(),
    };
    let peer = neighbor.peer_addr()?;
    let end = {
        let (from_caller, to_caller) = caller.split();
        let (from_neighbor, to_neighbor) = neighbor.split();
        let answers = forwarding.copy_answers(from_neighbor, to_caller);
        let requests = forwarding.copy_requests(from_caller, to_neighbor);
        tokio::select! {
            result = answers => result,
            end = requests => Ok(end),
        }
    };
    forwarding.log_cut(peer, &end);
    if end? == End::Neighbor {
        ending::close_regularly(&caller)?;
        // The client may have closed it already.
        drop(caller.shutdown().await);
    }
    Ok(())
}

impl Forwarding<'_> {
    /// Whether requests may pass.
    fn holds(&self) -> bool {
        let version = self.node.table().map(|it| it.version());
        version == Some(self.version) && self.node.leaving_since().is_none()
    }

    /// Logs the end of a connection that leaves a request without an answer.
    fn log_cut(&self, peer: SocketAddr, end: &io::Result<End>) {
        let cause = match end {
            Ok(End::Client) => return,
            Ok(End::Released) => "released",
            Ok(End::Neighbor) if self.asking.get() => "neighbour_closed",
            Err(_) if self.asking.get() => "neighbour_broke_off",
            Ok(End::Neighbor) | Err(_) => return,
        };
        self.node.metrics.add("handovers_unanswered", cause, 1);
        let line = self.node.journal.line("forwarded_request_cut");
        let line = line.with("peer", peer.to_string()).with("cause", cause);
        let version = self.node.table().map(|it| it.version());
        let line = line.with("bound", self.version).with("version", version);
        drop(line.with("leaving", self.node.leaving_since().is_some()));
    }

    /// Copies answers until the neighbour closes the connection.
    async fn copy_answers(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> io::Result<End> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(End::Neighbor);
            }
            self.asking.set(false);
            self.answering.notify_waiters();
            if to.write_all(&buffer[..length]).await.is_err() {
                return Ok(End::Client);
            }
        }
    }

    /// Copies requests until the client closes the connection, or sends one more after the
    /// connection was released.
    async fn copy_requests(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> End {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                biased;
                () = self.released() => {
                    // What arrives now is a request that must not pass, or the end.
                    let next = from.peek(&mut buffer[..1]).await;
                    return match next {
                        Ok(1..) => End::Released,
                        Ok(0) | Err(_) => End::Client,
                    };
                }
                read = from.read(&mut buffer) => read,
            };
            let Ok(length @ 1..) = read else {
                return End::Client;
            };
            if !self.asking.replace(true) {
                self.node.intake.record_handover();
                self.node.metrics.add("handovers", "requests", 1);
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                // The neighbour's answer or reset is read by the other direction.
                return std::future::pending().await;
            }
        }
    }

    /// Returns once no further request may pass: the configuration has changed or this router shuts
    /// down, and no request is being forwarded.
    async fn released(&self) {
        let mut changes = self.node.handovers.changes.subscribe();
        while self.holds() {
            // The sender lives as long as the node.
            drop(changes.changed().await);
        }
        while self.asking.get() {
            self.answering.notified().await;
        }
    }
}

/// Counts a forwarded connection until it is dropped.
struct Forwarded<'a>(&'a Node);

impl<'a> Forwarded<'a> {
    fn new(node: &'a Node) -> Self {
        node.handovers.open.set(node.handovers.open.get() + 1);
        Self(node)
    }
}

impl Drop for Forwarded<'_> {
    fn drop(&mut self) {
        self.0.handovers.open.set(self.0.handovers.open.get() - 1);
    }
}
