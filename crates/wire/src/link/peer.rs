//! One peer: its queue, its address and its sessions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::batch::Batch;
use crate::counter::{Counter, Loss};
use crate::hello::{Identity, Refusal};
use crate::link::Event;
use crate::queue::{Bound, Queue};

/// Most sessions with one incarnation: one dialed by each end.
const SESSIONS: usize = 2;

/// A peer and what stands between it and us.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) instance: Arc<str>,
    changed: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    listed: Option<SocketAddr>,
    sessions: Vec<Entry>,
    incarnation: u64,
    met: bool,
    dialing: bool,
    writing: bool,
    failures: u32,
}

/// A session that stands.
#[derive(Debug)]
struct Entry {
    id: u64,
    close: Arc<Notify>,
}

/// A session's place at its peer.
pub(super) struct Place {
    /// Number of the session.
    pub(super) id: u64,
    /// Told when the session has to close.
    pub(super) close: Arc<Notify>,
}

impl Peer {
    pub(super) fn new(instance: Arc<str>, bound: Bound) -> Self {
        Self {
            instance,
            changed: Notify::new(),
            state: Mutex::new(State {
                queue: Queue::new(bound),
                listed: None,
                sessions: Vec::new(),
                incarnation: 0,
                met: false,
                dialing: false,
                writing: false,
                failures: 0,
            }),
        }
    }

    pub(super) fn list(&self, address: Option<SocketAddr>) {
        self.lock().listed = address;
    }

    /// Whether the peer may be forgotten.
    pub(super) fn is_unused(&self) -> bool {
        let state = self.lock();
        state.listed.is_none() && state.sessions.is_empty() && !state.dialing
    }

    /// Whether every message was handed to a connection.
    pub(super) fn is_flushed(&self) -> bool {
        let state = self.lock();
        state.queue.is_empty() && !state.writing
    }

    /// Empties the queue; yields how many messages were in it.
    pub(super) fn discard(&self) -> usize {
        self.lock().queue.batch(usize::MAX).len()
    }

    pub(super) fn push(&self, now: Instant, message: Vec<u8>, counter: &Counter) {
        let dropped = self.lock().queue.push(now, message);
        counter.dropped(Loss::Full, dropped);
        self.changed.notify_waiters();
    }

    /// Claims the right to dial, when a message waits and nothing carries it.
    pub(super) fn claim_dial(&self) -> bool {
        let mut state = self.lock();
        let wanted = state.wants_dial() && !state.dialing;
        state.dialing |= wanted;
        wanted
    }

    /// Where to dial next; gives the claim back when there is no need.
    pub(super) fn next_dial(&self, now: Instant, counter: &Counter) -> Option<SocketAddr> {
        let mut state = self.lock();
        counter.dropped(Loss::Stale, state.queue.expire(now));
        let address = state.listed.filter(|_| state.wants_dial());
        state.dialing = address.is_some();
        address
    }

    /// Notes a failed attempt; yields the failures in a row before it.
    pub(super) fn fail(&self) -> u32 {
        let mut state = self.lock();
        let failures = state.failures;
        state.failures = failures.saturating_add(1);
        failures
    }

    /// Adds a session as the one to send on.
    ///
    /// Counted before it is reported, so that a reader of the inbox finds the
    /// counters up to date; `count` learns whether the peer had a session before.
    pub(super) fn attach(
        &self,
        id: u64,
        identity: &Identity,
        count: impl Fn(bool),
        report: impl Fn(Event),
    ) -> Result<Place, Refusal> {
        let mut state = self.lock();
        let again = state.met;
        if again && identity.incarnation < state.incarnation {
            return Err(Refusal::Incarnation);
        }
        count(again);
        if again && identity.incarnation > state.incarnation && !state.sessions.is_empty() {
            state.close_sessions();
            report(self.down(state.incarnation));
        }
        if state.sessions.is_empty() {
            let peer = identity.clone();
            report(Event::Up { peer });
        }
        let place = state.insert(id);
        state.incarnation = identity.incarnation;
        drop(state);
        self.changed.notify_waiters();
        Ok(place)
    }

    /// Removes a session.
    pub(super) fn detach(&self, id: u64, report: impl Fn(Event)) {
        let mut state = self.lock();
        let before = state.sessions.len();
        state.sessions.retain(|entry| entry.id != id);
        let removed = state.sessions.len() < before;
        if state.sessions.is_empty() {
            state.writing = false;
        }
        if removed && state.sessions.is_empty() {
            report(self.down(state.incarnation));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Reports the messages of a session; false when it no longer stands.
    pub(super) fn deliver(&self, id: u64, batch: Batch, report: impl Fn(Event)) -> bool {
        let state = self.lock();
        let stands = state.sessions.iter().any(|entry| entry.id == id);
        if !stands {
            return false;
        }
        for bytes in batch.messages {
            report(Event::Message {
                from: Arc::clone(&self.instance),
                incarnation: state.incarnation,
                bytes,
            });
        }
        true
    }

    /// The next messages for session `id` to write, once there are some.
    pub(super) async fn batch(&self, id: u64, bytes: usize, counter: &Counter) -> Batch {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let messages = self.try_batch(id, bytes, counter);
            if !messages.is_empty() {
                return Batch::new(messages);
            }
            changed.await;
        }
    }

    fn try_batch(&self, id: u64, bytes: usize, counter: &Counter) -> Vec<Vec<u8>> {
        let mut state = self.lock();
        if state.sessions.last().is_none_or(|entry| entry.id != id) {
            return Vec::new();
        }
        counter.dropped(Loss::Stale, state.queue.expire(Instant::now()));
        let batch = state.queue.batch(bytes);
        state.writing = !batch.is_empty();
        batch
    }

    fn down(&self, incarnation: u64) -> Event {
        Event::Down {
            instance: Arc::clone(&self.instance),
            incarnation,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wants_dial(&self) -> bool {
        !self.queue.is_empty() && self.sessions.is_empty() && self.listed.is_some()
    }

    fn insert(&mut self, id: u64) -> Place {
        let close = Arc::new(Notify::new());
        if self.sessions.len() == SESSIONS {
            self.sessions.remove(0).close.notify_one();
        }
        let entry = Entry {
            id,
            close: Arc::clone(&close),
        };
        self.sessions.push(entry);
        self.met = true;
        self.failures = 0;
        Place { id, close }
    }

    fn close_sessions(&mut self) {
        for entry in self.sessions.drain(..) {
            entry.close.notify_one();
        }
    }
}
