//! Failure domains that may be cut off from this router.
//!
//! Routers of all domains greet each other in turn. When every router of a
//! domain that greeted lately has fallen silent, the way there may be cut. The
//! domain's targets may still be up, so they are not left out; but a connection
//! that was open before proves nothing, and a new one does.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::usage::Peer;

/// Greetings in a row that must be missing from each router of a domain.
const MISSED: u32 = 4;

/// Mean times between greetings of a domain that are silence, if its routers are many:
/// they greet at random moments, so all pause for so long once in e^8 times.
const MEANS: u32 = 8;

/// A router that has been silent for this long has ended; it says nothing of its domain.
const ENDED: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
struct Heard {
    domain: Arc<str>,
    at: Duration,
}

/// When routers of each domain were heard.
#[derive(Clone, Debug)]
pub struct Reach {
    interval: Duration,
    /// Time in which a router greets all others once.
    turn: Duration,
    heard: HashMap<Peer, Heard>,
}

impl Reach {
    /// Nothing heard yet; `interval` is the time between greetings of a router.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            turn: interval,
            heard: HashMap::new(),
        }
    }

    /// Sets the time in which a router greets all others once.
    pub fn set_turn(&mut self, turn: Duration) {
        self.turn = turn;
    }

    /// Silence of `routers` routers that means something.
    fn silence(&self, routers: u32) -> Duration {
        let mean = self.turn / routers.max(1);
        let silence = (mean * MEANS).min(self.turn * MISSED);
        silence.max(self.interval * MISSED)
    }

    /// A router of a domain was heard.
    pub fn hear(&mut self, peer: Peer, domain: &Arc<str>, now: Duration) {
        let domain = domain.clone();
        self.heard.insert(peer, Heard { domain, at: now });
        self.heard.retain(|_, it| now.saturating_sub(it.at) < ENDED);
    }

    /// A router is about to end; its silence means nothing.
    pub fn leave(&mut self, peer: Peer) {
        self.heard.remove(&peer);
    }

    /// Whether the way to a domain may be cut.
    #[must_use]
    pub fn doubtful(&self, domain: &str, now: Duration) -> bool {
        let heard = self.heard.values();
        let silences = heard
            .filter(|it| it.domain.as_ref() == domain)
            .map(|it| now.saturating_sub(it.at))
            .filter(|it| *it < ENDED);
        let (routers, shortest) = silences.fold((0, None), |(count, least), it| {
            (
                count + 1,
                Some(least.map_or(it, |least: Duration| least.min(it))),
            )
        });
        shortest.is_some_and(|it| it >= self.silence(routers))
    }
}
