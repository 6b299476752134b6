//! Receives messages from other routers and dispatches them to their handlers.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use bincode::config::standard;
use dunlinward_dispatch::message::{Content, Message};
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::pending::Answer;
use crate::{continuation, gossip, leaving, observation, owner, quarantine};

/// Limit of a message: it is one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// Messages read per batch: all that fit into a socket's default receive buffer of 208 KB. The
/// runtime's own limit is 128 per turn; an answer queued after these would be read only after the
/// time of its request has run out.
const BATCH_SIZE: usize = 1_024;

/// Exchanges messages with other routers for as long as this one runs.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    node.outbound.open(socket.clone());
    tokio::join!(
        gossip::run(node.clone()),
        owner::report_load(node.clone()),
        receive(node, socket),
    );
}

/// Receive buffer for one message.
#[derive(Debug)]
pub struct Buffer(RefCell<Vec<u8>>);

impl Default for Buffer {
    fn default() -> Self {
        Self(RefCell::new(vec![0; MAX_MESSAGE_BYTES]))
    }
}

/// Handles all messages that have arrived, up to one batch.
pub(crate) fn receive_batch(node: &Rc<Node>) {
    let Some(socket) = node.outbound.socket() else {
        return;
    };
    node.detect_suspension();
    let mut buffer = node.inbound.0.borrow_mut();
    for _ in 0..BATCH_SIZE {
        match socket.try_recv_from(&mut buffer) {
            Ok((length, from)) => decode(node, &buffer[..length], from),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            // An error may come from a router that has ended; the next message may be another
            // router's.
            Err(error) => count_error(node, &error),
        }
    }
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        if let Err(error) = socket.readable().await {
            count_error(&node, &error);
            continue;
        }
        receive_batch(&node);
        // Lets other tasks run too, even while messages keep arriving.
        tokio::task::yield_now().await;
    }
}

fn count_error(node: &Node, error: &std::io::Error) {
    let kind = error.kind().to_string();
    node.metrics.add("messages_not_received", &kind, 1);
}

fn decode(node: &Rc<Node>, bytes: &[u8], from: SocketAddr) {
    let decoded = bincode::serde::decode_from_slice::<Message, _>(bytes, standard());
    match decoded {
        Ok((message, _)) if message.sender == node.peer => {}
        Ok((message, _)) if !message.content.plausible() => {
            node.metrics.add("messages", "implausible", 1);
        }
        Ok((message, _)) => handle(node, message, from),
        Err(_) => node.metrics.add("messages", "malformed", 1),
    }
}

fn handle(node: &Rc<Node>, message: Message, from: SocketAddr) {
    let sender = message.sender;
    match message.content {
        Content::Heartbeat(heartbeat) => gossip::receive(node, heartbeat),
        Content::Request(ask) => owner::request(node, sender, from, ask),
        Content::Grant(grant) => node.handle_answer(from, grant.number, Answer::Grant(grant)),
        Content::Wait(wait) => node.handle_answer(from, wait.number, Answer::Wait(wait)),
        Content::Withdraw(number) => owner::withdraw(node, sender, number),
        Content::Read { tag, unread } => owner::read(node, sender, tag, unread),
        Content::Return(returned) => owner::returned(node, sender, returned),
        Content::LoadReport(work) => owner::load_report(node, sender, &work),
        Content::Findings(findings) => quarantine::receive_findings(node, &findings),
        Content::PartQuery(part) => quarantine::receive_query(node, from, part),
        Content::PartAnswer(evidence) => quarantine::receive_answer(node, evidence),
        Content::Termination(report) => quarantine::receive_termination(node, &report),
        Content::Leaving(report) => leaving::receive(node, report.notices()),
        Content::Observations(report) => observation::receive(node, sender, &report),
        Content::StreamNotes(report) => continuation::receive_notes(node, &report),
        Content::StreamRecords(report) => continuation::stored::receive(node, &report),
        Content::StreamQuery(stream) => continuation::search::receive_query(node, from, stream),
        Content::StreamAnswer(answer) => continuation::search::receive_answer(node, from, answer),
    }
}
