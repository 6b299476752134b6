//! Buffers that the system has for a router's connections.
//!
//! What the system has received and the router has not read counts as memory of the process. A
//! router does not read while it has nowhere to put the bytes: behind a request that is being
//! served, and the answer of a target whose caller does not read. The system would let the buffer
//! of each such connection grow to megabytes, so its size is set.
//!
//! What is written to a connection whose other side does not read leaves the router's account of
//! memory and stays in the system's, also up to megabytes, so its size is set as well.

use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::caller;
use crate::settings::Settings;

/// Part of the memory for receive buffers, and the bounds of one of them. Most systems reserve twice
/// what is asked for, of which about half holds received bytes.
pub(crate) const RECEIVE_DIVISOR: u64 = 16;
const MIN_RECEIVE_BYTES: u64 = 8 * 1024;
const MAX_RECEIVE_BYTES: u64 = 64 * 1024;

/// Bytes of a connection that are written and that the system can't send yet. What was sent and is
/// on its way is not bounded by this, so it slows no caller that reads.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Sizes of the buffers of a connection; those of the system if none.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Buffers {
    receive: Option<u32>,
    unsent: Option<u32>,
}

impl Buffers {
    /// Creates the sizes by which the buffers of all connections are within their part of the memory.
    pub(crate) fn new(settings: &Settings) -> Self {
        let connections = u64::try_from(caller::limit(settings)).unwrap_or(u64::MAX);
        let receive = settings.memory.map(|it| {
            let bytes = it / RECEIVE_DIVISOR / connections;
            bytes.clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES)
        });
        Self {
            receive: receive.and_then(|it| u32::try_from(it).ok()),
            unsent: settings.memory.map(|_| UNSENT_BYTES),
        }
    }

    /// Opens a listening socket with room for so many connections that wait to be accepted.
    pub(crate) fn listen(self, address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
        let socket = self.socket(address)?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(backlog)
    }

    /// Opens a connection.
    pub(crate) async fn connect(self, address: SocketAddr) -> io::Result<TcpStream> {
        self.socket(address)?.connect(address).await
    }

    /// Creates a socket. Its size of the receive buffer holds from the first byte on, and accepted
    /// connections inherit it from their listening socket.
    fn socket(self, address: SocketAddr) -> io::Result<TcpSocket> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(bytes) = self.receive {
            socket.set_recv_buffer_size(bytes)?;
        }
        if let Some(bytes) = self.unsent {
            // Not all systems have the option; without it their own bound holds.
            drop(SockRef::from(&socket).set_tcp_notsent_lowat(bytes));
        }
        Ok(socket)
    }
}
