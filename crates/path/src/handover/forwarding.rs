//! Forwarding of a connection between its client and a neighbour.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use dunlinward_dispatch::connections::Phase;
use dunlinward_dispatch::memory::Entry;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;
use tokio_util::codec::{FramedRead, FramedWrite};

use super::frame::{self, Codec, Frame, MAX_BYTES};
use super::pending::{Debt, Pending, Request};
use crate::caller::Caller;
use crate::ending;
use crate::journal::Line;
use crate::node::Node;
use crate::shutdown;

/// Limit of the bytes of a connection's requests that are kept until their answers begin.
const MAX_KEPT: usize = 256 * 1024;

/// What became of a connection that was forwarded.
#[derive(Debug)]
pub enum Outcome {
    /// It has ended.
    Ended,
    /// The neighbour has returned it, with the bytes of the client that were not used, or was lost
    /// between two requests.
    Returned(TcpStream, Bytes),
    /// The neighbour was lost while an answer was due to this request.
    Unanswered(TcpStream, Request),
}

/// What ended the forwarding of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// The neighbour has closed it.
    Closed,
    /// The neighbour has returned it, with these bytes.
    Returned(Bytes),
    /// The client has closed it.
    Client,
}

/// A connection that is being forwarded.
struct Forwarding<'a> {
    node: &'a Rc<Node>,
    /// Version of the configuration that it is bound to.
    version: u64,
    /// Whether bytes of a request were forwarded since the last byte of an answer.
    asking: Cell<bool>,
    pending: RefCell<Pending>,
    /// Charge of the bytes that are kept.
    entry: Cell<Option<Entry>>,
    /// Notified when the neighbour uses no further bytes.
    stopped: Notify,
    /// Whether writing to the neighbour has failed. The system reports a reset once, to the write or
    /// to the read that follows, which finds an end otherwise.
    write_failed: Cell<bool>,
    /// Follows what the client's connection does.
    caller: &'a Caller,
}

/// Forwards a connection, beginning with the bytes `unread` of the client, until it ends or another
/// configuration than `version` is in force.
///
/// # Errors
///
/// If the neighbour's connection broke off within an answer; the client's connection was reset.
pub async fn forward(
    node: &Rc<Node>,
    version: u64,
    mut stream: TcpStream,
    unread: Bytes,
    mut neighbor: TcpStream,
    caller: &Caller,
) -> io::Result<Outcome> {
    ending::reset_on_close(&stream)?;
    ending::reset_on_close(&neighbor)?;
    // None if the neighbour has reset the connection already.
    let peer = neighbor.peer_addr().ok();
    let forwarding = Forwarding {
        node,
        version,
        asking: Cell::new(false),
        pending: RefCell::default(),
        entry: Cell::default(),
        stopped: Notify::new(),
        write_failed: Cell::new(false),
        caller,
    };
    let end = {
        let (from_caller, to_caller) = stream.split();
        let (from_neighbor, to_neighbor) = neighbor.split();
        let answers = FramedRead::new(from_neighbor, Codec::default());
        let requests = FramedWrite::new(to_neighbor, Codec::default());
        tokio::select! {
            // No request is forwarded to a neighbour whose end has been received.
            biased;
            end = forwarding.copy_answers(answers, to_caller) => end,
            () = forwarding.copy_requests(unread, from_caller, requests) => Ok(End::Client),
            // The neighbour does not know when this router exits.
            () = forwarding.given_up() => Err(io::ErrorKind::TimedOut.into()),
        }
    };
    let end = match end {
        Ok(End::Client) => return Ok(Outcome::Ended),
        Ok(end) => end,
        Err(error) => {
            let regained = forwarding.take_back(stream, &error);
            forwarding.log_loss(peer, &error, regained.as_ref());
            return regained.ok_or(error);
        }
    };
    if end == End::Closed && forwarding.asking.get() {
        forwarding.log_cut(peer, "neighbour_closed", None);
    }
    ending::close_regularly(&neighbor)?;
    ending::close_regularly(&stream)?;
    if let End::Returned(bytes) = end {
        let label = if bytes.is_empty() {
            "returned"
        } else {
            "returned_unread"
        };
        node.metrics.add("handovers", label, 1);
        return Ok(Outcome::Returned(stream, bytes));
    }
    // The client may have closed it already.
    drop(stream.shutdown().await);
    Ok(Outcome::Ended)
}

impl Forwarding<'_> {
    /// Whether requests may pass.
    fn holds(&self) -> bool {
        let version = self.node.table().map(|it| it.version());
        version == Some(self.version) && self.node.leaving_since().is_none()
    }

    /// Logs the loss of the neighbour, and what becomes of the connection.
    fn log_loss(&self, peer: Option<SocketAddr>, error: &io::Error, regained: Option<&Outcome>) {
        let Some(outcome) = regained else {
            return self.log_cut(peer, "neighbour_broke_off", Some(error));
        };
        let label = match outcome {
            Outcome::Unanswered(_, request) if request.sends > 0 => "regained",
            Outcome::Unanswered(..) => "regained_unused",
            Outcome::Returned(..) | Outcome::Ended => "regained_idle",
        };
        self.node.metrics.add("handovers", label, 1);
        let line = self.node.journal.line("forwarded_connection_regained");
        let line = line
            .with("peer", peer.map(|it| it.to_string()))
            .with("state", label);
        drop(line.with("error", error.to_string()));
    }

    /// Logs the end of a connection that is cut, or that leaves a request without an answer.
    fn log_cut(&self, peer: Option<SocketAddr>, cause: &str, error: Option<&io::Error>) {
        let asking = self.asking.get();
        if asking {
            self.node.metrics.add("handovers_unanswered", cause, 1);
        }
        let line = self.node.journal.line("forwarded_request_cut");
        let line = line
            .with("peer", peer.map(|it| it.to_string()))
            .with("cause", cause);
        let line = line.with("asking", asking);
        let line = line.with("error", error.map(ToString::to_string));
        let line = with_member(line, self.node, peer);
        let version = self.node.table().map(|it| it.version());
        let line = line.with("bound", self.version).with("version", version);
        drop(line.with("leaving", self.node.leaving_since().is_some()));
    }

    /// Updates what is due, and the bytes that are kept.
    fn update(&self, change: impl FnOnce(&mut Pending)) {
        let mut pending = self.pending.borrow_mut();
        let before = pending.allocated();
        change(&mut pending);
        let after = pending.allocated();
        let kept = self.node.handovers.kept.get() + after;
        self.node.handovers.kept.set(kept.saturating_sub(before));
        let held = &self.node.held;
        if after > before {
            let entry = held.keep(self.entry.get(), after - before, self.node.now());
            self.entry.set(Some(entry));
        } else if after < before
            && let Some(entry) = self.entry.take()
        {
            held.release(entry);
        }
    }

    /// Takes the connection back whose neighbour is lost, unless a part of an answer was forwarded.
    fn take_back(&self, caller: TcpStream, error: &io::Error) -> Option<Outcome> {
        let ended = error.kind() == io::ErrorKind::UnexpectedEof;
        let received_all = ended && !self.write_failed.get();
        let mut debt = None;
        self.update(|it| debt = it.take_debt(received_all));
        let debt = debt?;
        // A connection that can't be set is reset.
        ending::close_regularly(&caller).ok()?;
        Some(match debt {
            Debt::Nothing => Outcome::Returned(caller, Bytes::new()),
            Debt::Request(request) => Outcome::Unanswered(caller, request),
        })
    }

    /// Copies answers until the connection ends or is returned.
    async fn copy_answers(
        &self,
        mut from: FramedRead<ReadHalf<'_>, Codec>,
        mut to: WriteHalf<'_>,
    ) -> io::Result<End> {
        let mut unread = BytesMut::new();
        loop {
            match from.next().await.transpose()? {
                Some(Frame::Data(bytes)) => {
                    self.asking.set(false);
                    self.update(|it| it.record_answer(&bytes));
                    if self.caller.writing(to.write_all(&bytes)).await.is_err() {
                        return Ok(End::Client);
                    }
                }
                Some(Frame::Sent) => {
                    self.caller.enter(Phase::Serving);
                    self.update(Pending::record_send);
                }
                Some(Frame::Answered) => {
                    self.caller.enter(Phase::Idle);
                    self.update(Pending::record_end);
                }
                Some(Frame::Stopped) => {
                    self.update(Pending::record_stop);
                    self.stopped.notify_one();
                }
                Some(Frame::Unread(bytes)) => unread.extend_from_slice(&bytes),
                Some(Frame::Returned) => return Ok(End::Returned(unread.freeze())),
                Some(Frame::Closed) => return Ok(End::Closed),
                Some(frame) => return Err(frame::unexpected(&format!("{frame:?}"))),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
    }

    /// Copies requests until the client closes the connection. The neighbour is asked to return it
    /// once no further request may pass.
    async fn copy_requests(
        &self,
        unread: Bytes,
        from: ReadHalf<'_>,
        mut to: FramedWrite<WriteHalf<'_>, Codec>,
    ) {
        if self.try_copy_requests(unread, from, &mut to).await.is_err() {
            self.write_failed.set(true);
            // The neighbour's answer or reset is read by the other direction.
            std::future::pending::<()>().await;
        }
    }

    async fn try_copy_requests(
        &self,
        mut unread: Bytes,
        mut from: ReadHalf<'_>,
        to: &mut FramedWrite<WriteHalf<'_>, Codec>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; MAX_BYTES];
        let mut recalled = !self.holds();
        if recalled {
            to.send(Frame::Recall).await?;
        }
        while !unread.is_empty() {
            let bytes = unread.split_to(unread.len().min(MAX_BYTES));
            self.send(bytes, to).await?;
        }
        loop {
            let read = tokio::select! {
                biased;
                () = self.stopped.notified() => {
                    to.send(Frame::End).await?;
                    return std::future::pending().await;
                }
                () = self.released(), if !recalled => {
                    recalled = true;
                    to.send(Frame::Recall).await?;
                    continue;
                }
                read = from.read(&mut buffer) => read,
            };
            let Ok(length @ 1..) = read else {
                return Ok(());
            };
            self.send(Bytes::copy_from_slice(&buffer[..length]), to)
                .await?;
        }
    }

    /// Returns once this router is about to exit, unless an answer has begun.
    async fn given_up(&self) {
        shutdown::last_answers(self.node).await;
        if self.pending.borrow().is_answering() {
            std::future::pending::<()>().await;
        }
    }

    /// Forwards bytes of the client.
    async fn send(
        &self,
        bytes: Bytes,
        to: &mut FramedWrite<WriteHalf<'_>, Codec>,
    ) -> io::Result<()> {
        if !self.asking.replace(true) {
            self.caller.advance(Phase::Idle, Phase::Forwarded);
            self.node.intake.record_handover();
            self.node.metrics.add("handovers", "requests", 1);
        }
        let now = self.node.now();
        let limit = self.node.held.kept_limit();
        let free = limit.saturating_sub(self.node.handovers.kept.get());
        self.update(|it| {
            let room = MAX_KEPT.saturating_sub(it.kept()).min(free);
            it.record_request(&bytes, room, now);
        });
        to.send(Frame::Data(bytes)).await
    }

    /// Returns once no further request may pass: the configuration has changed or this router shuts
    /// down.
    async fn released(&self) {
        let mut changes = self.node.handovers.changes.subscribe();
        while self.holds() {
            // The sender lives as long as the node.
            drop(changes.changed().await);
        }
    }
}

impl Drop for Forwarding<'_> {
    fn drop(&mut self) {
        self.update(|it| *it = Pending::default());
    }
}

/// Adds what this router knows of a neighbour to a line.
fn with_member(line: Line, node: &Node, peer: Option<SocketAddr>) -> Line {
    let Some(peer) = peer else {
        return line;
    };
    let members = &node.state.borrow().members;
    line.with("peer_alive", members.contains(peer))
        .with("peer_leaving", members.is_leaving(peer))
}
