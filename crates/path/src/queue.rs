//! The queue of requests that wait at the owner of their cell.
//!
//! A request that finds no room waits here, not at a target: what was sent can't
//! be put in another order or taken back. Whenever room may have come (a request
//! ended, a prompt was read, a router reported, the views changed) the queue is
//! gone through in order: customers within their share first, then callers that
//! were not refused before, as only they can still be answered in time, then by arrival.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::usage::Peer;
use tokio::sync::oneshot;

use crate::lease::Lease;
use crate::node::Node;
use crate::place;
use crate::reply::{Reason, Refusal};
use crate::state::PlaceRequest;

/// Shortest time between two passes over the queue.
const FILL_PAUSE: Duration = Duration::from_millis(3);

/// Where a request that waits came from.
#[derive(Debug)]
pub(crate) enum Origin {
    /// This router's own callers.
    Here(oneshot::Sender<Lease>),
    /// Another router.
    Peer(Asker),
}

/// A request of another router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asker {
    pub(crate) peer: Peer,
    pub(crate) address: SocketAddr,
    /// Number of the request at that router.
    pub(crate) number: u64,
}

impl Origin {
    /// Whether it is a certain request of another router.
    pub(crate) fn is(&self, peer: Peer, number: u64) -> bool {
        matches!(self, Self::Peer(it) if it.peer == peer && it.number == number)
    }
}

/// A request that waits for room.
pub(crate) struct Waiter {
    pub(crate) wish: PlaceRequest,
    pub(crate) cover: f64,
    pub(crate) origin: Origin,
}

impl Waiter {
    /// Whether nobody waits for it any more.
    pub(crate) fn given_up(&self, now: Duration) -> bool {
        match &self.origin {
            Origin::Here(reply) => reply.is_closed(),
            Origin::Peer(_) => now >= self.wish.deadline,
        }
    }
}

impl Node {
    /// Places a request of this router's callers at once, if this router knows of room.
    fn place_now(self: &Rc<Self>, wish: &PlaceRequest) -> Option<Lease> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let cover = state.share_ratio(wish, now);
        state.record_demand(wish, now);
        if state.has_queued(wish) {
            return None;
        }
        let choice = state.choose(&self.settings, wish, cover, now)?;
        let place = state.grant_place(wish, choice, self.settings.link, now);
        drop(state);
        Some(Lease::new(self, place))
    }

    /// Places a request of this router's callers by what this router knows, now or later.
    pub(crate) async fn place_here(
        self: &Rc<Self>,
        mut wish: PlaceRequest,
    ) -> Result<Lease, Refusal> {
        if self.state.borrow().is_blocked(&wish, self.now()) {
            return Err(Refusal::new(Reason::Suspected));
        }
        wish.is_retry |= self.state.borrow().is_retry(&wish, self.now());
        if let Some(lease) = self.place_now(&wish) {
            return Ok(lease);
        }
        let now = self.now();
        let opening = self.state.borrow().availability_for(&wish, now);
        if let Some(time) = opening.unavailable_for(&wish, now) {
            self.state.borrow_mut().record_refused(&wish, now);
            return Err(self.backed_off(time));
        }
        let until = wish.deadline;
        let customer = wish.customer;
        let (reply, receiver) = oneshot::channel();
        let waiter = Waiter {
            wish,
            cover: 1.0,
            origin: Origin::Here(reply),
        };
        self.state.borrow_mut().queue.push(waiter);
        self.room.notify_one();
        if let Some(Ok(lease)) = self.until(until, receiver).await {
            return Ok(lease);
        }
        // Its time is over, or the queue has given it up by dropping its sender.
        let standing = customer.map(|it| self.standing(it));
        let refusal = Refusal::new(place::reason(standing));
        Err(refusal.with_standing(standing))
    }

    /// Serves the queue for as long as the router runs.
    pub async fn serve_queue(self: Rc<Self>) {
        let mut passed_at = Duration::ZERO;
        loop {
            self.room_may_be(passed_at).await;
            passed_at = self.now();
            self.fill();
            tokio::time::sleep(FILL_PAUSE).await;
        }
    }

    /// Waits until room may have come for what waits: something has changed, or a target that refused
    /// requests may be asked again. What ended since the last pass counts, also if that is over by now.
    async fn room_may_be(&self, passed_at: Duration) {
        let end = {
            let state = self.state.borrow();
            let waits = !state.queue.is_empty();
            let end = state.backoffs.next_expiry(passed_at);
            end.filter(|_| waits)
        };
        match end {
            // Whichever comes first: the queue is gone through either way.
            Some(end) => drop(self.until(end, self.room.notified()).await),
            None => self.room.notified().await,
        }
    }

    fn fill(self: &Rc<Self>) {
        let now = self.now();
        let pass = self.state.borrow_mut().process_queue(&self.settings, now);
        for (reply, place) in pass.local {
            // If the caller has left, the lease comes back and is dropped.
            drop(reply.send(Lease::new(self, place)));
        }
        for (address, grant) in pass.peers {
            self.send(address, Content::Grant(grant));
        }
    }
}
