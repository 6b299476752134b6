//! Links to the other routers: who is who, and what goes where.
//!
//! The kernel names instances by key; the link pool by name. [`Links`] keeps
//! both, from the instance list and from those that connect. A thread of its own
//! takes what arrives: kernel messages go to the driver, configurations to the
//! [`Keeper`].

use std::collections::HashMap;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use dunlinward_kernel::event::Event;
use dunlinward_kernel::key::Key;
use dunlinward_wire::frame::MAX_PAYLOAD;
use dunlinward_wire::link::{self, Peer};
use dunlinward_wire::{Pool, codec};

use crate::configuration::Keeper;
use crate::driver::Input;
use crate::envelope::Envelope;
use crate::metrics::Metrics;

/// Time without messages after which a link is closed. The kernel's rounds use
/// some links every half second and others only now and then; closing the
/// latter early would cost a handshake with each use.
pub(crate) const IDLE: Duration = Duration::from_mins(10);

/// An instance that was seen.
#[derive(Clone, Debug)]
struct Known {
    name: Arc<str>,
    domain: Option<Key>,
    listed: bool,
}

/// Links to the other routers.
#[derive(Debug)]
pub(crate) struct Links {
    pool: Arc<Pool>,
    known: Mutex<HashMap<Key, Known>>,
    metrics: Arc<Metrics>,
}

impl Links {
    /// Links over a pool.
    pub fn new(pool: Arc<Pool>, metrics: Arc<Metrics>) -> Self {
        Self {
            pool,
            known: Mutex::default(),
            metrics,
        }
    }

    /// Replaces the peers that may be dialed.
    pub fn list(&self, peers: &[Peer]) {
        let mut known = self.lock();
        for entry in known.values_mut() {
            entry.listed = false;
        }
        for peer in peers {
            let entry = known.entry(Key::new(&peer.instance)).or_insert(Known {
                name: Arc::clone(&peer.instance),
                domain: None,
                listed: false,
            });
            entry.listed = true;
        }
        drop(known);
        self.pool.set_peers(peers);
    }

    /// The name of an instance.
    pub fn name(&self, key: Key) -> Option<Arc<str>> {
        self.lock().get(&key).map(|known| Arc::clone(&known.name))
    }

    /// Keys of the listed peers, in order.
    pub fn peers(&self) -> Vec<Key> {
        let known = self.lock();
        let listed = known.iter().filter(|(_, known)| known.listed);
        let mut keys: Vec<Key> = listed.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Waits until what is queued was written; false when the time is over before.
    pub fn flush(&self, limit: Duration) -> bool {
        self.pool.flush(limit)
    }

    /// Sends an envelope; it may be lost.
    pub fn send(&self, to: Key, envelope: &Envelope) {
        let Some(name) = self.name(to) else {
            return;
        };
        match codec::encode(envelope, MAX_PAYLOAD) {
            Ok(bytes) => {
                if let Err(loss) = self.pool.send(&name, bytes) {
                    log::debug!(reason = loss.name(); "a message to {name} was not sent");
                }
            }
            Err(err) => log::error!("a message to {name} cannot be encoded: {err}"),
        }
    }

    fn meet(&self, name: &Arc<str>, domain: Key) {
        let mut known = self.lock();
        let entry = known.entry(Key::new(name)).or_insert(Known {
            name: Arc::clone(name),
            domain: None,
            listed: false,
        });
        entry.domain = Some(domain);
    }

    fn receive(
        &self,
        from: &str,
        incarnation: u64,
        bytes: &[u8],
        driver: &Sender<Input>,
        keeper: &Keeper,
    ) {
        let key = Key::new(from);
        match codec::decode(bytes, MAX_PAYLOAD) {
            Ok(Envelope::Kernel(messages)) => {
                let domain = self.lock().get(&key).and_then(|known| known.domain);
                let Some(domain) = domain else {
                    return;
                };
                // A driver that is gone needs nothing more.
                let _ = driver.send(Input::Event(Event::Received {
                    from: key,
                    domain,
                    incarnation,
                    messages,
                }));
            }
            Ok(Envelope::Configuration(text)) => keeper.adopt(&text),
            Ok(Envelope::Ask(revision)) => {
                if let Some(text) = keeper.newer_than(revision) {
                    self.send(key, &Envelope::Configuration(text));
                }
            }
            Err(err) => {
                self.metrics.undecoded();
                log::warn!("a message from {from} cannot be read: {err}");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes what arrives until the pool is gone. The thread holds the links weakly,
/// because the pool ends its events only when the links are dropped.
pub(crate) fn serve(
    links: &Weak<Links>,
    events: &Receiver<link::Event>,
    driver: &Sender<Input>,
    keeper: &Keeper,
) {
    while let Ok(event) = events.recv() {
        let Some(links) = links.upgrade() else {
            return;
        };
        match event {
            link::Event::Up { peer } => {
                links.meet(&peer.instance, Key::new(&peer.failure_domain));
            }
            link::Event::Down { instance, .. } => {
                let lost = Event::LinkLost(Key::new(&instance));
                let _ = driver.send(Input::Event(lost));
            }
            link::Event::Message {
                from,
                incarnation,
                bytes,
            } => links.receive(&from, incarnation, &bytes, driver, keeper),
        }
    }
}
