//! Sends messages to other routers.
//!
//! A message is one datagram and is sent without blocking. A message that cannot be sent is counted
//! and dropped: a later message always makes up for it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bincode::config::standard;
use dunlinward_dispatch::message::{Content, Message};
use tokio::net::UdpSocket;

use crate::node::Node;

/// The socket for messages to other routers; none before the router is started.
#[derive(Debug, Default)]
pub struct Socket {
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl Socket {
    /// Sets the socket on which messages are sent.
    pub fn open(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// The socket, on which messages are also received.
    pub(crate) fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.borrow().clone()
    }
}

impl Node {
    /// Sends a message to a router.
    pub fn send(&self, address: SocketAddr, content: Content) {
        self.send_all(&[address], content);
    }

    /// Sends a message to several routers.
    pub fn send_all(&self, addresses: &[SocketAddr], content: Content) {
        let Some(socket) = self.outbound.socket.borrow().clone() else {
            return;
        };
        let message = Message {
            sender: self.peer,
            content,
        };
        let bytes = match bincode::serde::encode_to_vec(&message, standard()) {
            Ok(bytes) => bytes,
            Err(error) => {
                let line = self.journal.line("message_not_encoded");
                drop(line.with("error", error.to_string()));
                return;
            }
        };
        for address in addresses {
            match socket.try_send_to(&bytes, *address) {
                Ok(_) => self.metrics.add("messages", "sent", 1),
                Err(error) => {
                    let kind = error.kind().to_string();
                    self.metrics.add("messages_unsent", &kind, 1);
                }
            }
        }
        let length = u64::try_from(bytes.len() * addresses.len()).unwrap_or_default();
        self.metrics.add("message_bytes", "sent", length);
    }
}
