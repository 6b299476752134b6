//! Reports between routers, and views taken over from a peer.
//!
//! Every router sends its report to every router it knows, by datagram: a lost
//! one is replaced by the next. Routers become known from the seeds in the
//! settings, from reports that come in, and from the lists in them. A router
//! whose views are older than a peer's, because the store does not answer it,
//! fetches them from that peer over TCP.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config::standard;
use dunlinward_dispatch::configuration::Configuration;
use dunlinward_dispatch::report::{Report, TargetLoad};
use dunlinward_dispatch::target::Target;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::node::Node;

/// Largest report in bytes; a datagram's limit.
const REPORT_BYTES: usize = 60_000;

/// Largest view in bytes.
const VIEW_BYTES: u64 = 32 * 1024 * 1024;

/// How many reports tell of each prefix that was sent, as some are lost.
const USES_TOLD: u32 = 3;

/// A list of peers goes with every so many reports.
const LIST_EVERY: u64 = 10;

/// Peers in a list at the most.
const LIST_MOST: usize = 32;

/// A router that has been silent for this long is greeted rarely.
const SILENT: Duration = Duration::from_secs(3);

/// A router that has been silent for this long is forgotten, unless it is a seed.
const FORGOTTEN: Duration = Duration::from_secs(30);

/// A peer's list of targets that differs is fetched if it is younger by this much: more
/// than the error of ages, which leave out the way of a report.
const YOUNGER: Duration = Duration::from_millis(50);

/// Asks for the configuration.
const WANT_CONFIGURATION: u8 = 1;

/// Asks for the list of targets.
const WANT_TARGETS: u8 = 2;

/// Time for a view to come over.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// What a router knows, for a peer that can't ask the store.
#[derive(Debug, Serialize, Deserialize)]
struct View {
    configuration: Option<Configuration>,
    targets: Option<Targets>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Targets {
    list: Vec<Target>,
    age_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    heard: Option<Duration>,
    since: Duration,
}

/// Routers that are known.
struct Peers {
    node: Rc<Node>,
    known: RefCell<HashMap<SocketAddr, Known>>,
    fetching: RefCell<bool>,
}

/// Talks to peers for as long as the router runs.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let peers = Rc::new(Peers {
        known: RefCell::default(),
        fetching: RefCell::new(false),
        node,
    });
    let socket = Rc::new(socket);
    let sending = send_reports(peers.clone(), socket.clone());
    tokio::join!(sending, receive_reports(peers, socket));
}

async fn send_reports(peers: Rc<Peers>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    let mut timer = tokio::time::interval(peers.node.settings.report_interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        number += 1;
        let report = peers.report(number);
        let Ok(bytes) = bincode::serde::encode_to_vec(&report, standard()) else {
            continue;
        };
        for address in peers.due(number) {
            // A report that is lost is replaced by the next.
            if let Err(error) = socket.try_send_to(&bytes, address) {
                peers
                    .node
                    .metrics
                    .add("reports_unsent", &error.kind().to_string(), 1);
            }
        }
        peers.node.metrics.add("reports", "sent", 1);
    }
}

async fn receive_reports(peers: Rc<Peers>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; REPORT_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let decoded = bincode::serde::decode_from_slice::<Report, _>(&buffer[..length], standard());
        match decoded {
            Ok((report, _)) => peers.hear(&report),
            Err(_) => peers.node.metrics.add("reports", "malformed", 1),
        }
    }
}

impl Peers {
    fn report(&self, number: u64) -> Report {
        let node = &self.node;
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.usage.sum(now);
        let loads = state.usage.all_own();
        let loads = loads.map(|(tag, load)| TargetLoad { tag, load }).collect();
        let age = state.registry.read_at().map(|at| now.saturating_sub(at));
        let list = number % LIST_EVERY == 1;
        Report {
            sender: node.peer,
            address: node.settings.link,
            domain: node.settings.domain.clone(),
            number,
            configuration: state.table.as_ref().map_or(0, |it| it.version()),
            registry_age_ms: age.map(crate::journal::millis),
            registry_digest: state.registry.digest(),
            leaving: node.leaving().is_some(),
            loads,
            customers: state.shares.report(now),
            uses: state
                .memory
                .recent(node.settings.report_interval * USES_TOLD, now),
            peers: if list { self.list(now) } else { Vec::new() },
        }
    }

    fn list(&self, now: Duration) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let heard = known
            .iter()
            .filter(|(_, it)| it.heard.is_some_and(|at| now.saturating_sub(at) < SILENT));
        heard.map(|(address, _)| *address).take(LIST_MOST).collect()
    }

    fn due(&self, number: u64) -> Vec<SocketAddr> {
        let now = self.node.now();
        let own = self.node.settings.link;
        let mut known = self.known.borrow_mut();
        for seed in &self.node.settings.seeds {
            if *seed != own {
                known.entry(*seed).or_insert(Known {
                    heard: None,
                    since: now,
                });
            }
        }
        known.retain(|_, it| now.saturating_sub(it.heard.unwrap_or(it.since)) < FORGOTTEN);
        let due = known.iter().filter(|(_, it)| {
            let silent = it.heard.is_none_or(|at| now.saturating_sub(at) >= SILENT);
            !silent || number % LIST_EVERY == 1
        });
        due.map(|(address, _)| *address).collect()
    }

    fn hear(self: &Rc<Self>, report: &Report) {
        let node = &self.node;
        let own = node.settings.link;
        if report.sender == node.peer || report.address == own {
            return;
        }
        let now = node.now();
        {
            let mut known = self.known.borrow_mut();
            known.insert(
                report.address,
                Known {
                    heard: Some(now),
                    since: now,
                },
            );
            for address in report.peers.iter().filter(|it| **it != own) {
                known.entry(*address).or_insert(Known {
                    heard: None,
                    since: now,
                });
            }
        }
        {
            let mut state = node.state.borrow_mut();
            let loads = report.loads.iter().map(|it| (it.tag, it.load));
            state.usage.report(report.sender, loads, now);
            if report.leaving {
                state.reach.leave(report.sender);
            } else {
                state.reach.hear(report.sender, &report.domain, now);
            }
            state.shares.hear(report.sender, &report.customers, now);
            for used in &report.uses {
                state.memory.hear(*used, now);
            }
        }
        node.room_came();
        let wanted = self.wanted(report, now);
        if wanted != 0 && !self.fetching.replace(true) {
            tokio::task::spawn_local(fetch(self.clone(), report.address, wanted));
        }
    }

    /// What a peer knows better; the age of an equal list is taken over at once.
    fn wanted(&self, report: &Report, now: Duration) -> u8 {
        let mut state = self.node.state.borrow_mut();
        let version = state.table.as_ref().map_or(0, |it| it.version());
        let mut wanted = 0;
        if report.configuration > version {
            wanted |= WANT_CONFIGURATION;
        }
        let Some(age) = report.registry_age_ms.map(Duration::from_millis) else {
            return wanted;
        };
        let as_of = now.saturating_sub(age);
        if report.registry_digest == state.registry.digest() {
            state.registry.confirm(report.registry_digest, as_of);
            return wanted;
        }
        let own = state.registry.read_at();
        if own.is_none_or(|own| as_of > own + YOUNGER) {
            wanted |= WANT_TARGETS;
        }
        wanted
    }
}

async fn fetch(peers: Rc<Peers>, address: SocketAddr, wanted: u8) {
    let node = &peers.node;
    let got = tokio::time::timeout(FETCH_TIMEOUT, read_view(address, wanted)).await;
    let error = match got {
        Ok(Ok(view)) => {
            take(node, view);
            None
        }
        Ok(Err(error)) => Some(error.to_string()),
        Err(_) => Some("timeout".into()),
    };
    if let Some(error) = error {
        let line = node.journal.line("view_not_fetched");
        drop(line.with("peer", address.to_string()).with("error", error));
    }
    peers.fetching.replace(false);
}

fn take(node: &Rc<Node>, view: View) {
    if let Some(configuration) = view.configuration {
        node.take_configuration(configuration, "peer");
    }
    if let Some(targets) = view.targets {
        let as_of = node
            .now()
            .saturating_sub(Duration::from_millis(targets.age_ms));
        node.take_targets(targets.list, as_of, "peer");
    }
}

async fn read_view(address: SocketAddr, wanted: u8) -> std::io::Result<View> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_u8(wanted).await?;
    let mut bytes = Vec::new();
    stream.take(VIEW_BYTES).read_to_end(&mut bytes).await?;
    let decoded = bincode::serde::decode_from_slice::<View, _>(&bytes, standard());
    let (view, _) = decoded.map_err(std::io::Error::other)?;
    Ok(view)
}

/// Gives this router's view to peers that connect.
pub async fn serve_views(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let Ok(Ok(wanted)) = tokio::time::timeout(FETCH_TIMEOUT, stream.read_u8()).await else {
                return;
            };
            let view = view(&node, wanted);
            if let Ok(bytes) = bincode::serde::encode_to_vec(&view, standard()) {
                // The peer asks again if this fails.
                drop(stream.write_all(&bytes).await);
                drop(stream.shutdown().await);
            }
        });
    }
}

fn view(node: &Rc<Node>, wanted: u8) -> View {
    let state = node.state.borrow();
    let now = node.now();
    let configuration = state.table.as_ref().map(|it| it.configuration().clone());
    let targets = state.registry.read_at().map(|at| Targets {
        list: state.registry.all().map(|it| it.as_ref().clone()).collect(),
        age_ms: crate::journal::millis(now.saturating_sub(at)),
    });
    View {
        configuration: configuration.filter(|_| wanted & WANT_CONFIGURATION != 0),
        targets: targets.filter(|_| wanted & WANT_TARGETS != 0),
    }
}
