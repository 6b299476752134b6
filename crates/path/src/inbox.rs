//! Takes messages from other routers and hands each to whom it concerns.

use std::rc::Rc;

use bincode::config::standard;
use dunlinward_dispatch::report::{Content, Message};
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::place::Answer;
use crate::{gossip, owner};

/// Largest message in bytes; a datagram's limit.
const LARGEST: usize = 60_000;

/// Talks to other routers for as long as this one runs.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    node.courier.open(socket.clone());
    tokio::join!(
        gossip::run(node.clone()),
        owner::report_work(node.clone()),
        receive(node, socket),
    );
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A router that has ended; the next message may come from another one.
                let kind = error.kind().to_string();
                node.metrics.add("messages_not_received", &kind, 1);
                continue;
            }
        };
        let decoded =
            bincode::serde::decode_from_slice::<Message, _>(&buffer[..length], standard());
        match decoded {
            Ok((message, _)) if message.sender != node.peer => {
                take(&node, message, from);
            }
            Ok(_) => {}
            Err(_) => node.metrics.add("messages", "malformed", 1),
        }
    }
}

fn take(node: &Rc<Node>, message: Message, from: std::net::SocketAddr) {
    let sender = message.sender;
    match message.content {
        Content::Greeting(greeting) => gossip::hear(node, greeting),
        Content::Ask(ask) => owner::ask(node, sender, from, ask),
        Content::Grant(grant) => node.answer(from, grant.number, Answer::Grant(grant)),
        Content::Wait(wait) => node.answer(from, wait.number, Answer::Wait(wait)),
        Content::Withdraw(number) => owner::withdraw(node, sender, number),
        Content::Read { tag, unread } => owner::read(node, sender, tag, unread),
        Content::Return(returned) => owner::returned(node, sender, returned),
        Content::Work(work) => owner::work(node, sender, &work),
    }
}
