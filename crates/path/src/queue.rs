//! The queue of requests that wait.
//!
//! A request that finds no room waits here, not at a target: what was sent can't
//! be put in another order or taken back. Whenever room may have come (a request
//! ended, a prompt was read, a peer reported, the views changed) the queue is
//! gone through in order: customers within their share first, then callers that
//! were refused before, then by arrival.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::lease::Lease;
use crate::node::Node;
use crate::reply::{Reason, Refusal};
use crate::state::{Waiter, Wish};

/// Shortest time between two passes over the queue.
const FILL_PAUSE: Duration = Duration::from_millis(3);

impl Node {
    /// Finds a target for a request, now or until it is given up.
    ///
    /// # Errors
    ///
    /// A refusal if there is no room in time.
    pub async fn place(self: &Rc<Self>, wish: Wish) -> Result<Lease, Refusal> {
        let until = wish.until;
        let (reply, receiver) = oneshot::channel();
        {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let cover = state.cover(&wish, now);
            if state.queue.is_empty()
                && let Some(choice) = state.choose(&self.settings, &wish, cover, now)
            {
                state.begin(&wish, &choice, now);
                return Ok(Lease::new(self, choice));
            }
            state.queue.push(Waiter { wish, cover, reply });
        }
        self.room.notify_one();
        let placed = tokio::time::timeout_at(self.instant(until), receiver).await;
        match placed {
            Ok(Ok(lease)) => Ok(lease),
            // The queue gives up a request by dropping its sender.
            Ok(Err(_)) | Err(_) => Err(Refusal::new(Reason::Busy)),
        }
    }

    /// Serves the queue for as long as the router runs.
    pub async fn serve_queue(self: Rc<Self>) {
        loop {
            self.room.notified().await;
            self.fill();
            tokio::time::sleep(FILL_PAUSE).await;
        }
    }

    fn fill(self: &Rc<Self>) {
        let now = self.now();
        let mut placed = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let mut queue = std::mem::take(&mut state.queue);
            queue.retain(|it| !it.reply.is_closed());
            for waiter in &mut queue {
                waiter.cover = state.cover(&waiter.wish, now);
            }
            queue.sort_by_key(|it| (it.cover < 1.0, !it.wish.returning, it.wish.arrived));
            for waiter in queue {
                let choice = state.choose(&self.settings, &waiter.wish, waiter.cover, now);
                match choice {
                    Some(choice) => {
                        state.begin(&waiter.wish, &choice, now);
                        placed.push((waiter, choice));
                    }
                    None => state.queue.push(waiter),
                }
            }
        }
        for (waiter, choice) in placed {
            // If the caller has left, the lease comes back and is dropped.
            drop(waiter.reply.send(Lease::new(self, choice)));
        }
    }
}
