//! Takes messages from other routers and hands each to whom it concerns.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use bincode::config::standard;
use dunlinward_dispatch::message::{Content, Message};
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::pending::Answer;
use crate::{gossip, leaving, owner, quarantine};

/// Largest message in bytes; a datagram's limit.
const LARGEST: usize = 60_000;

/// Messages that are read in one turn: all that a socket's standard buffer of 208 KB holds. The
/// runtime's own limit is 128 a turn; behind it an answer waits while the time of its request runs
/// out.
const TURN: usize = 1_024;

/// Talks to other routers for as long as this one runs.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    node.courier.open(socket.clone());
    tokio::join!(
        gossip::run(node.clone()),
        owner::report_load(node.clone()),
        receive(node, socket),
    );
}

/// Room for one message.
#[derive(Debug)]
pub struct Buffer(RefCell<Vec<u8>>);

impl Default for Buffer {
    fn default() -> Self {
        Self(RefCell::new(vec![0; LARGEST]))
    }
}

/// Takes all messages that have come, up to a turn's.
pub(crate) fn read(node: &Rc<Node>) {
    let Some(socket) = node.courier.socket() else {
        return;
    };
    node.detect_suspension();
    let mut buffer = node.inbox.0.borrow_mut();
    for _ in 0..TURN {
        match socket.try_recv_from(&mut buffer) {
            Ok((length, from)) => decode(node, &buffer[..length], from),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            // A router that has ended; the next message may come from another one.
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
        read(&node);
        // Callers have their turn too, also while messages flood in.
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
        Ok((message, _)) => take(node, message, from),
        Err(_) => node.metrics.add("messages", "malformed", 1),
    }
}

fn take(node: &Rc<Node>, message: Message, from: SocketAddr) {
    let sender = message.sender;
    match message.content {
        Content::Heartbeat(greeting) => gossip::hear(node, greeting),
        Content::Request(ask) => owner::request(node, sender, from, ask),
        Content::Grant(grant) => node.handle_answer(from, grant.number, Answer::Grant(grant)),
        Content::Wait(wait) => node.handle_answer(from, wait.number, Answer::Wait(wait)),
        Content::Withdraw(number) => owner::withdraw(node, sender, number),
        Content::Read { tag, unread } => owner::read(node, sender, tag, unread),
        Content::Return(returned) => owner::returned(node, sender, returned),
        Content::LoadReport(work) => owner::load_report(node, sender, &work),
        Content::Findings(findings) => quarantine::hear(node, &findings),
        Content::Leaving(report) => leaving::hear(node, report.notices()),
    }
}
