//! Views of the platform taken over from a peer.
//!
//! A router whose configuration or list of targets is older than a peer's fetches
//! it from that peer over TCP: the store may not answer it, and one that reads for
//! all spares the others a call.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config::standard;
use dunlinward_dispatch::configuration::Configuration;
use dunlinward_dispatch::evacuation::Order;
use dunlinward_dispatch::quarantine::Entry;
use dunlinward_dispatch::reading::Reading;
use dunlinward_dispatch::registry::{Checksums, Difference};
use dunlinward_dispatch::store::Position;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::node::{Node, Told};

/// Largest view in bytes.
const LARGEST: u64 = 32 * 1024 * 1024;

/// Time for a view to come over.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A view that a peer can be asked for; its bit in the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    Configuration = 1,
    /// The list of targets.
    Targets = 2,
    /// What is known of contents under which targets ended.
    Quarantine = 4,
    /// The orders to evacuate failure domains.
    Evacuations = 8,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted(u8);

impl Wanted {
    /// Also a view, if it is wanted.
    #[must_use]
    pub fn with(self, part: Part, wanted: bool) -> Self {
        Self(self.0 | if wanted { part as u8 } else { 0 })
    }

    /// Whether a view is asked for.
    #[must_use]
    pub fn has(self, part: Part) -> bool {
        self.0 & part as u8 != 0
    }
}

/// What a router asks a peer for.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    wanted: Wanted,
    /// The list of targets that it has, if it asks for another.
    targets: Checksums,
}

impl Question {
    fn new(node: &Node, wanted: Wanted) -> Self {
        let targets = if wanted.has(Part::Targets) {
            node.state.borrow().registry.checksums()
        } else {
            Checksums::default()
        };
        Self { wanted, targets }
    }

    /// Its bytes, their length before them.
    fn encode(&self) -> std::io::Result<Vec<u8>> {
        let encoded = bincode::serde::encode_to_vec(self, standard());
        let encoded = encoded.map_err(std::io::Error::other)?;
        let length = u16::try_from(encoded.len()).map_err(std::io::Error::other)?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(encoded);
        Ok(bytes)
    }

    async fn read(stream: &mut TcpStream) -> std::io::Result<Self> {
        let length = stream.read_u16().await?;
        let mut bytes = vec![0; usize::from(length)];
        stream.read_exact(&mut bytes).await?;
        let decoded = bincode::serde::decode_from_slice(&bytes, standard());
        let (question, _) = decoded.map_err(std::io::Error::other)?;
        Ok(question)
    }
}

/// What a router knows, for a peer that does not.
#[derive(Debug, Serialize, Deserialize)]
struct View {
    configuration: Option<Configuration>,
    /// The reading by which the configuration was the store's newest.
    configuration_read: Option<Reading>,
    targets: Option<Targets>,
    quarantine: Option<Vec<Entry>>,
    evacuations: Option<Vec<Order>>,
}

/// A list of targets, as far as it differs from the one of whoever asks.
#[derive(Debug, Serialize, Deserialize)]
struct Targets {
    difference: Difference,
    read: Reading,
    /// Where the store's log goes on behind it.
    position: Option<Position>,
    /// Whether the sender saw no outage that leaves it open which targets have ended.
    settled: bool,
}

/// Shortest time between two fetches of a view that has no age: two routers whose sums stay
/// different must not ask each other with each greeting.
const ASKED_PAUSE: Duration = Duration::from_millis(100);

/// Whether a view is being fetched; one at a time.
#[derive(Debug, Default)]
pub struct Fetching {
    busy: Cell<bool>,
    /// What is known of contents.
    pub(crate) quarantine: Asked,
    /// The orders to evacuate failure domains.
    pub(crate) evacuations: Asked,
}

/// When a view that has no age was asked for last.
#[derive(Debug, Default)]
pub(crate) struct Asked(Cell<Option<Duration>>);

impl Asked {
    /// Whether it may be asked for again.
    pub(crate) fn due(&self, now: Duration) -> bool {
        let asked = self.0.get();
        asked.is_none_or(|it| now.saturating_sub(it) >= ASKED_PAUSE)
    }
}

/// Fetches from a peer what is wanted, unless something is being fetched already.
pub fn fetch(node: &Rc<Node>, address: SocketAddr, wanted: Wanted) {
    if node.fetching.busy.replace(true) {
        return;
    }
    if wanted.has(Part::Quarantine) {
        node.fetching.quarantine.0.set(Some(node.now()));
    }
    if wanted.has(Part::Evacuations) {
        node.fetching.evacuations.0.set(Some(node.now()));
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let question = Question::new(&node, wanted);
        let got = tokio::time::timeout(FETCH_TIMEOUT, read(address, &question)).await;
        let error = match got {
            Ok(Ok(view)) => {
                take(&node, view);
                None
            }
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some("timeout".into()),
        };
        if let Some(error) = error {
            let line = node.journal.line("view_not_fetched");
            drop(line.with("peer", address.to_string()).with("error", error));
        }
        node.fetching.busy.set(false);
    });
}

fn take(node: &Rc<Node>, view: View) {
    // Before the configuration, with which a router begins to serve.
    if let Some(orders) = view.evacuations {
        node.take_evacuations(orders, "peer");
    }
    if let Some(configuration) = view.configuration {
        node.take_configuration(configuration, "peer");
        if let Some(reading) = view.configuration_read {
            let now = node.now();
            node.state.borrow_mut().receive_configuration(reading, now);
        }
    }
    if let Some(entries) = view.quarantine {
        node.take_quarantine(&entries);
    }
    if let Some(targets) = view.targets {
        let now = node.now();
        let heard = node
            .state
            .borrow_mut()
            .registry_reads
            .receive(targets.read, now);
        let Some(as_of) = heard else {
            return;
        };
        let delta = node.state.borrow().registry.delta_from(targets.difference);
        let Some(delta) = delta else {
            // It is asked for again with the next greeting that tells of it.
            node.metrics.add("views_not_merged", "targets", 1);
            return;
        };
        let told = Told {
            delta,
            settled: targets.settled,
            reading: targets.read,
            position: targets.position,
            as_of,
        };
        node.take_targets_told(told);
    }
}

async fn read(address: SocketAddr, question: &Question) -> std::io::Result<View> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&question.encode()?).await?;
    let mut bytes = Vec::new();
    stream.take(LARGEST).read_to_end(&mut bytes).await?;
    let decoded = bincode::serde::decode_from_slice::<View, _>(&bytes, standard());
    let (view, _) = decoded.map_err(std::io::Error::other)?;
    Ok(view)
}

/// Gives this router's view to peers that connect.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let asked = tokio::time::timeout(FETCH_TIMEOUT, Question::read(&mut stream)).await;
            let Ok(Ok(question)) = asked else {
                return;
            };
            let view = view(&node, &question);
            if let Ok(bytes) = bincode::serde::encode_to_vec(&view, standard()) {
                // The peer asks again if this fails.
                drop(stream.write_all(&bytes).await);
                drop(stream.shutdown().await);
            }
        });
    }
}

fn view(node: &Rc<Node>, question: &Question) -> View {
    let wanted = question.wanted;
    let state = node.state.borrow();
    let now = node.now();
    let configuration = state.table.as_ref().map(|it| it.configuration().clone());
    let reading = state.registry_reads.report(now);
    let reading = reading.filter(|_| wanted.has(Part::Targets));
    let targets = reading.map(|read| Targets {
        difference: state.registry.difference_from(&question.targets),
        read,
        position: state.registry_position,
        settled: state.registry.settled(),
    });
    let quarantine = state.quarantine.entries(now);
    View {
        evacuations: wanted
            .has(Part::Evacuations)
            .then(|| state.evacuations.orders().collect()),
        quarantine: wanted.has(Part::Quarantine).then(|| quarantine.collect()),
        configuration_read: state.configuration_reads.report(now),
        configuration: configuration.filter(|_| wanted.has(Part::Configuration)),
        targets,
    }
}
