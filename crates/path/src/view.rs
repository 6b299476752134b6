//! Synchronization of views of the platform with peers.
//!
//! A router whose configuration or list of targets is older than a peer's fetches it from that peer
//! over TCP: the store may not answer this router, and a view that one router reads for all saves
//! the others a call.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config::standard;
use bincode::error::{DecodeError, EncodeError};
use dunlinward_dispatch::configuration::Configuration;
use dunlinward_dispatch::evacuation::Order;
use dunlinward_dispatch::quarantine::Entry;
use dunlinward_dispatch::reading::Reading;
use dunlinward_dispatch::registry::{Checksums, Difference, VersionList};
use dunlinward_dispatch::store::Position;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::ending;
use crate::handover::{self, Offer};
use crate::node::{Node, PeerDelta};
use crate::server;

/// Limit of an encoded view.
const MAX_VIEW_BYTES: u64 = 32 * 1024 * 1024;

/// Timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A view that can be fetched; its value is its bit in a [`Selection`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Configuration = 1,
    /// The list of targets.
    Targets = 2,
    /// Records of contents under which targets terminated.
    Quarantine = 4,
    /// Orders to evacuate failure domains.
    Evacuations = 8,
}

/// Set of views to fetch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selection(u8);

impl Selection {
    /// Adds a view if `wanted` is set.
    #[must_use]
    pub fn with(self, kind: Kind, wanted: bool) -> Self {
        Self(self.0 | if wanted { kind as u8 } else { 0 })
    }

    /// Whether the set contains a view.
    #[must_use]
    pub fn contains(self, kind: Kind) -> bool {
        self.0 & kind as u8 != 0
    }
}

/// Request for views of a peer.
#[derive(Debug, Serialize, Deserialize)]
struct Request {
    wanted: Selection,
    /// Checksums of the requester's list of targets, if it requests this list.
    targets: Checksums,
}

impl Request {
    fn new(node: &Node, wanted: Selection) -> Self {
        let targets = if wanted.contains(Kind::Targets) {
            node.state.borrow().registry.checksums()
        } else {
            Checksums::default()
        };
        Self { wanted, targets }
    }

    /// Encodes it, with its length as a prefix.
    fn encode(&self) -> std::io::Result<Vec<u8>> {
        let encoded = bincode::serde::encode_to_vec(self, standard());
        let encoded = encoded.map_err(std::io::Error::other)?;
        let length = u16::try_from(encoded.len()).map_err(std::io::Error::other)?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(encoded);
        Ok(bytes)
    }

    /// Reads a request of this length.
    async fn read(stream: &mut TcpStream, length: u16) -> std::io::Result<Self> {
        let mut bytes = vec![0; usize::from(length)];
        stream.read_exact(&mut bytes).await?;
        let decoded = bincode::serde::decode_from_slice(&bytes, standard());
        let (request, _) = decoded.map_err(std::io::Error::other)?;
        Ok(request)
    }
}

/// Views sent in response to a request.
#[derive(Debug, Serialize, Deserialize)]
struct Response {
    configuration: Option<Configuration>,
    /// The reading that found the configuration to be the store's newest.
    configuration_read: Option<Reading>,
    targets: Option<Targets>,
    quarantine: Option<Vec<Entry>>,
    evacuations: Option<Vec<Order>>,
}

/// Difference between the list of targets and the requester's list.
#[derive(Debug, Serialize, Deserialize)]
struct Targets {
    difference: Difference,
    read: Reading,
    /// Position in the store's log after the list.
    position: Option<Position>,
    /// Whether every target that the list lacks has ended: the sender has seen no outage that would
    /// leave this unknown.
    settled: bool,
}

/// Shortest interval between two fetches of a view that has no age: two routers whose digests stay
/// different must not fetch at each heartbeat.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(100);

/// State of fetches; one runs at a time.
#[derive(Debug, Default)]
pub struct Fetches {
    busy: Cell<bool>,
    /// Last fetch of the records of contents.
    pub(crate) quarantine: LastFetch,
    /// Last fetch of the evacuation orders.
    pub(crate) evacuations: LastFetch,
}

/// Time of the last fetch of a view that has no age.
#[derive(Debug, Default)]
pub(crate) struct LastFetch(Cell<Option<Duration>>);

impl LastFetch {
    /// Whether the view may be fetched again.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        let last = self.0.get();
        last.is_none_or(|it| now.saturating_sub(it) >= MIN_FETCH_INTERVAL)
    }
}

/// Fetches the `wanted` views from a peer, unless another fetch is running.
pub fn fetch(node: &Rc<Node>, address: SocketAddr, wanted: Selection) {
    if node.fetches.busy.replace(true) {
        return;
    }
    if wanted.contains(Kind::Quarantine) {
        node.fetches.quarantine.0.set(Some(node.now()));
    }
    if wanted.contains(Kind::Evacuations) {
        node.fetches.evacuations.0.set(Some(node.now()));
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let request = Request::new(&node, wanted);
        let result = tokio::time::timeout(FETCH_TIMEOUT, request_views(address, &request)).await;
        let error = match result {
            Ok(Ok(view)) => {
                apply(&node, view);
                None
            }
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some("timeout".into()),
        };
        if let Some(error) = error {
            let line = node.journal.line("view_not_fetched");
            drop(line.with("peer", address.to_string()).with("error", error));
        }
        node.fetches.busy.set(false);
    });
}

fn apply(node: &Rc<Node>, view: Response) {
    // Before the configuration, as a router starts to serve once it has one.
    if let Some(orders) = view.evacuations {
        node.apply_evacuations(orders, "peer");
    }
    if let Some(configuration) = view.configuration {
        node.apply_configuration(configuration, "peer");
        if let Some(reading) = view.configuration_read {
            let now = node.now();
            node.state.borrow_mut().receive_configuration(reading, now);
        }
    }
    if let Some(entries) = view.quarantine {
        node.merge_quarantine(&entries);
    }
    if let Some(targets) = view.targets {
        let now = node.now();
        let read_at = node
            .state
            .borrow_mut()
            .registry_reads
            .receive(targets.read, now);
        let Some(as_of) = read_at else {
            return;
        };
        let delta = node.state.borrow().registry.delta_from(targets.difference);
        let Some(delta) = delta else {
            // It is fetched again after the next heartbeat that reports it.
            node.metrics.add("views_not_merged", "targets", 1);
            return;
        };
        let update = PeerDelta {
            delta,
            settled: targets.settled,
            reading: targets.read,
            position: targets.position,
            as_of,
        };
        node.apply_peer_targets(update);
    }
}

async fn request_views(address: SocketAddr, request: &Request) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&request.encode()?).await?;
    let mut bytes = Vec::new();
    stream.take(MAX_VIEW_BYTES).read_to_end(&mut bytes).await?;
    decode_response(&bytes).map_err(std::io::Error::other)
}

/// Encodes a response, followed by the software versions of its targets. Earlier releases ignore
/// what follows a response.
fn encode_response(view: &Response) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = bincode::serde::encode_to_vec(view, standard())?;
    if let Some(targets) = &view.targets {
        let versions = targets.difference.versions();
        bytes.extend(bincode::serde::encode_to_vec(&versions, standard())?);
    }
    Ok(bytes)
}

fn decode_response(bytes: &[u8]) -> Result<Response, DecodeError> {
    let (mut view, length) = bincode::serde::decode_from_slice::<Response, _>(bytes, standard())?;
    let rest = &bytes[length..];
    if let Some(mut targets) = view.targets.take() {
        if !rest.is_empty() {
            let (versions, _) =
                bincode::serde::decode_from_slice::<VersionList, _>(rest, standard())?;
            targets.difference = targets.difference.with_versions(&versions);
        }
        view.targets = Some(targets);
    }
    Ok(view)
}

/// First message of a peer's connection.
enum Opening {
    Request(Request),
    Offer(Offer),
}

impl Opening {
    async fn read(stream: &mut TcpStream) -> std::io::Result<Self> {
        let length = stream.read_u16().await?;
        if length == handover::OFFER_MARK {
            return Offer::read(stream).await.map(Self::Offer);
        }
        Request::read(stream, length).await.map(Self::Request)
    }
}

/// Serves this router's views to peers, and takes the connections that they hand over.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let mut stream = server::accept(&node, &listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let received = tokio::time::timeout(FETCH_TIMEOUT, Opening::read(&mut stream)).await;
            let request = match received {
                Ok(Ok(Opening::Request(request))) => request,
                Ok(Ok(Opening::Offer(offer))) => return handover::take(node, stream, offer).await,
                Ok(Err(_)) | Err(_) => return,
            };
            let view = respond(&node, &request);
            if let Ok(bytes) = encode_response(&view) {
                // The peer fetches again if this fails, and has given up by then if it takes too long.
                drop(tokio::time::timeout(FETCH_TIMEOUT, send(&mut stream, &bytes)).await);
            }
        });
    }
}

/// Sends a response, whose end is that of its connection.
async fn send(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    ending::reset_on_close(stream)?;
    stream.write_all(bytes).await?;
    ending::close_regularly(stream)?;
    stream.shutdown().await
}

fn respond(node: &Rc<Node>, request: &Request) -> Response {
    let wanted = request.wanted;
    let state = node.state.borrow();
    let now = node.now();
    let configuration = state.table.as_ref().map(|it| it.configuration().clone());
    let reading = state.registry_reads.report(now);
    let reading = reading.filter(|_| wanted.contains(Kind::Targets));
    let targets = reading.map(|read| Targets {
        difference: state.registry.difference_from(&request.targets),
        read,
        position: state.registry_position,
        settled: state.registry.settled(),
    });
    let quarantine = state.quarantine.entries(now);
    Response {
        evacuations: wanted
            .contains(Kind::Evacuations)
            .then(|| state.evacuations.orders().collect()),
        quarantine: wanted
            .contains(Kind::Quarantine)
            .then(|| quarantine.collect()),
        configuration_read: state.configuration_reads.report(now),
        configuration: configuration.filter(|_| wanted.contains(Kind::Configuration)),
        targets,
    }
}

#[cfg(test)]
mod tests;
