//! The queue of requests that wait at the owner of their cell.
//!
//! A request that finds no capacity waits here and not at a target, because a request that was
//! sent can't be reordered or taken back. Whenever capacity may have become available (a request
//! ended, a prompt was read, a router reported, the views changed), the queue is served in this
//! order: customers within their share first, then callers that were not refused before, as only
//! they can still be answered in time, then by arrival; with
//! [`crate::settings::LoadPolicy::share_capacity`], between the kinds of request of one customer by
//! the service that each has received ([`dunlinward_dispatch::queue_order`]).

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
const PASS_INTERVAL: Duration = Duration::from_millis(3);

/// Origin of a waiting request.
#[derive(Debug)]
pub(crate) enum Origin {
    /// A caller of this router.
    Local(oneshot::Sender<Lease>),
    /// Another router.
    Peer(Requester),
}

/// A request of another router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requester {
    pub(crate) peer: Peer,
    pub(crate) address: SocketAddr,
    /// Number of the request at that router.
    pub(crate) number: u64,
}

impl Origin {
    /// Whether it is the request `number` of the router `peer`.
    pub(crate) fn matches(&self, peer: Peer, number: u64) -> bool {
        matches!(self, Self::Peer(it) if it.peer == peer && it.number == number)
    }

    /// Whether it is a request of the router `peer`.
    pub(crate) fn is_of(&self, peer: Peer) -> bool {
        matches!(self, Self::Peer(it) if it.peer == peer)
    }
}

/// A request that waits for capacity.
pub(crate) struct Waiter {
    pub(crate) wish: PlaceRequest,
    pub(crate) share_ratio: f64,
    pub(crate) origin: Origin,
}

impl Waiter {
    /// Whether its caller has left or its deadline has passed.
    pub(crate) fn is_abandoned(&self, now: Duration) -> bool {
        match &self.origin {
            Origin::Local(reply) => reply.is_closed(),
            Origin::Peer(_) => now >= self.wish.deadline,
        }
    }
}

impl Node {
    /// Places a request of this router's callers at once, if this router knows of capacity.
    fn try_place(self: &Rc<Self>, wish: &mut PlaceRequest) -> Option<Lease> {
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
    pub(crate) async fn place_locally(
        self: &Rc<Self>,
        mut wish: PlaceRequest,
    ) -> Result<Lease, Refusal> {
        if self.state.borrow().is_blocked(&wish, self.now()) {
            return Err(Refusal::new(Reason::Suspected));
        }
        self.state
            .borrow_mut()
            .record_arrival(&self.settings, &mut wish, self.now());
        if let Some(lease) = self.try_place(&mut wish) {
            return Ok(lease);
        }
        let now = self.now();
        let opening = self.state.borrow().availability_for(&wish, now);
        if let Some(time) = opening.unavailable_for(&wish, now) {
            self.state.borrow_mut().record_refused(&wish, now);
            return Err(self.backoff_refusal(time));
        }
        let until = wish.deadline;
        let scheduled = {
            let mut state = self.state.borrow_mut();
            state.schedule_return(&self.settings, &wish, now)
        };
        let customer = wish.customer;
        let (reply, receiver) = oneshot::channel();
        let waiter = Waiter {
            wish,
            share_ratio: 1.0,
            origin: Origin::Local(reply),
        };
        self.state.borrow_mut().queue.push(waiter);
        self.capacity.notify_one();
        if let Some(Ok(lease)) = self.timeout_at(until, receiver).await {
            return Ok(lease);
        }
        // Its deadline has passed, or the queue has dropped its sender.
        let standing = customer.map(|it| self.standing(it));
        let refusal = Refusal::new(place::reason(standing));
        let refusal = refusal.with_scheduled_return(scheduled);
        Err(refusal.with_standing(standing).with_standing_at(now))
    }

    /// Serves the queue for as long as the router runs.
    pub async fn serve_queue(self: Rc<Self>) {
        let mut last_pass = Duration::ZERO;
        loop {
            self.wait_for_capacity(last_pass).await;
            last_pass = self.now();
            self.run_pass();
            tokio::time::sleep(PASS_INTERVAL).await;
        }
    }

    /// Waits until capacity may have become available for the queue: something has changed, or the
    /// backoff of a target has ended. A backoff that ended since the last pass counts too.
    async fn wait_for_capacity(&self, last_pass: Duration) {
        let end = {
            let state = self.state.borrow();
            let waits = !state.queue.is_empty();
            let end = state.backoffs.next_expiry(last_pass);
            end.filter(|_| waits)
        };
        match end {
            // The queue is served in either case.
            Some(end) => drop(self.timeout_at(end, self.capacity.notified()).await),
            None => self.capacity.notified().await,
        }
    }

    fn run_pass(self: &Rc<Self>) {
        let now = self.now();
        let pass = self.state.borrow_mut().process_queue(&self.settings, now);
        for (reply, place) in pass.local {
            // If the caller has left, the lease is returned and dropped.
            drop(reply.send(Lease::new(self, place)));
        }
        for (address, grant) in pass.peers {
            self.send(address, Content::Grant(grant));
        }
    }
}
