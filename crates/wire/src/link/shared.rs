//! What the threads and tasks of a pool share.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{CryptoRng, RngCore};
use snafu::ensure;
use tokio::runtime::Handle;

use crate::backoff::Backoff;
use crate::batch::MAX_MESSAGE;
use crate::counter::{Counter, Loss};
use crate::hello::{self, Hello, Identity, Key, Nonce, Refusal};
use crate::link::peer::{Peer, Place};
use crate::link::replay::Replay;
use crate::link::session::Origin;
use crate::link::settings::Settings;
use crate::link::{self, Event, dial};
use crate::queue::Bound;

/// Times and numbers that bound a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) opening: usize,
    pub(super) hello: Duration,
    pub(super) idle: Duration,
    pub(super) dead: Duration,
}

/// State of a pool.
pub(super) struct Shared {
    pub(super) counter: Arc<Counter>,
    pub(super) limits: Limits,
    pub(super) key: Key,
    identity: Identity,
    version: u16,
    bound: Bound,
    backoff: Backoff,
    random: Mutex<Box<dyn CryptoRng + Send>>,
    handle: Handle,
    inbox: Sender<Event>,
    peers: Mutex<HashMap<Arc<str>, Arc<Peer>>>,
    replay: Mutex<Replay>,
    sessions: AtomicU64,
}

impl Shared {
    pub(super) fn new(
        settings: Settings,
        address: SocketAddr,
        handle: Handle,
        inbox: Sender<Event>,
    ) -> Self {
        Self {
            counter: Arc::default(),
            limits: Limits {
                opening: settings.opening,
                hello: settings.hello,
                idle: settings.idle,
                dead: settings.dead,
            },
            key: settings.key,
            identity: Identity {
                instance: settings.instance,
                incarnation: settings.incarnation,
                failure_domain: settings.failure_domain,
                listen: settings.advertise.unwrap_or(address),
            },
            version: settings.version,
            bound: settings.bound,
            backoff: settings.backoff,
            random: Mutex::new(settings.random),
            handle,
            inbox,
            peers: Mutex::default(),
            replay: Mutex::default(),
            sessions: AtomicU64::new(0),
        }
    }

    /// Replaces the listed peers.
    pub(super) fn set_peers(&self, listed: &[link::Peer]) {
        let mut peers = lock(&self.peers);
        let wanted: HashMap<_, _> = listed
            .iter()
            .filter(|peer| peer.instance != self.identity.instance)
            .map(|peer| (&peer.instance, peer.address))
            .collect();
        for (&instance, &address) in &wanted {
            self.entry(&mut peers, instance).list(Some(address));
        }
        peers.retain(|instance, peer| {
            let keep = wanted.contains_key(instance);
            if !keep {
                peer.list(None);
            }
            keep || !self.discard_unused(peer)
        });
    }

    /// Queues a message and sees that something carries it.
    pub(super) fn send(self: &Arc<Self>, to: &str, message: Vec<u8>) -> Result<(), Loss> {
        let result = self.queue(to, message);
        if let Err(loss) = result {
            self.counter.dropped(loss, 1);
        }
        result
    }

    fn queue(self: &Arc<Self>, to: &str, message: Vec<u8>) -> Result<(), Loss> {
        if message.len() > MAX_MESSAGE {
            return Err(Loss::Oversize);
        }
        let peers = lock(&self.peers);
        let peer = peers.get(to).ok_or(Loss::Unknown)?;
        peer.push(Instant::now(), message, &self.counter);
        self.dial(peer);
        Ok(())
    }

    /// Whether every message was handed to a connection.
    pub(super) fn is_flushed(&self) -> bool {
        lock(&self.peers).values().all(|peer| peer.is_flushed())
    }

    /// Waits until the tasks that are ready now have run.
    pub(super) fn turn(&self, limit: Duration) -> bool {
        let (done, turned) = channel();
        self.handle.spawn(async move {
            tokio::task::yield_now().await;
            // The waiter may have given up.
            let _ = done.send(());
        });
        turned.recv_timeout(limit).is_ok()
    }

    /// Starts to dial a peer when a message waits and nothing carries it.
    fn dial(self: &Arc<Self>, peer: &Arc<Peer>) {
        if peer.claim_dial() {
            self.handle
                .spawn(dial::run(Arc::clone(self), Arc::clone(peer)));
        }
    }

    /// Gives a new session its place at its peer.
    pub(super) fn attach(
        &self,
        origin: Origin,
        identity: &Identity,
    ) -> Result<(Arc<Peer>, Place), Refusal> {
        let mut peers = lock(&self.peers);
        let peer = self.entry(&mut peers, &identity.instance);
        let id = self.sessions.fetch_add(1, Ordering::Relaxed);
        let count = |again| match origin {
            Origin::Dialed => self.counter.connected(again),
            Origin::Accepted => self.counter.accepted(),
        };
        let place = peer.attach(id, identity, count, |event| self.report(event))?;
        Ok((Arc::clone(peer), place))
    }

    /// Takes a session's place away and dials again if messages wait.
    pub(super) fn detach(self: &Arc<Self>, peer: &Arc<Peer>, id: u64) {
        peer.detach(id, |event| self.report(event));
        self.forget_unused(peer);
        self.dial(peer);
    }

    /// Forgets a peer that is neither listed nor connected.
    pub(super) fn forget_unused(&self, peer: &Arc<Peer>) {
        let mut peers = lock(&self.peers);
        let same = peers
            .get(&peer.instance)
            .is_some_and(|known| Arc::ptr_eq(known, peer));
        if same && self.discard_unused(peer) {
            peers.remove(&peer.instance);
        }
    }

    fn discard_unused(&self, peer: &Peer) -> bool {
        let unused = peer.is_unused();
        if unused {
            self.counter.dropped(Loss::Unknown, peer.discard());
        }
        unused
    }

    fn entry<'a>(
        &self,
        peers: &'a mut HashMap<Arc<str>, Arc<Peer>>,
        instance: &Arc<str>,
    ) -> &'a Arc<Peer> {
        peers
            .entry(Arc::clone(instance))
            .or_insert_with(|| Arc::new(Peer::new(Arc::clone(instance), self.bound)))
    }

    /// Tells the inbox; nothing is left to do when its reader is gone.
    pub(super) fn report(&self, event: Event) {
        let _ = self.inbox.send(event);
    }

    /// A hello with a fresh nonce.
    pub(super) fn hello(&self) -> Hello {
        let mut nonce = [0; hello::NONCE];
        lock(&self.random).fill_bytes(&mut nonce);
        Hello {
            version: self.version,
            nonce,
            identity: self.identity.clone(),
        }
    }

    /// Checks a dialer's hello before it is answered.
    pub(super) fn check_dialer(&self, hello: &Hello) -> Result<(), Refusal> {
        let own = hello.identity.instance == self.identity.instance;
        ensure!(!own, hello::InstanceSnafu);
        let seen = lock(&self.replay).contains(&hello.nonce);
        ensure!(!seen, hello::ReplaySnafu);
        Ok(())
    }

    /// Remembers the nonce of an authenticated dialer.
    pub(super) fn remember(&self, nonce: Nonce) -> Result<(), Refusal> {
        let fresh = lock(&self.replay).insert(nonce);
        ensure!(fresh, hello::ReplaySnafu);
        Ok(())
    }

    /// Pause before the next attempt to dial.
    pub(super) fn pause(&self, failures: u32) -> Duration {
        let mut random = lock(&self.random);
        let random: &mut dyn RngCore = &mut **random;
        self.backoff.pause(failures, random)
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

/// Locks a mutex; a panic elsewhere leaves its data usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
