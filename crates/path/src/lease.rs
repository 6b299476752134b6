//! A place at a target, from sending to the end of the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use dunlinward_dispatch::cell;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::report::{Content, Return};
use dunlinward_dispatch::share::Standing;
use dunlinward_dispatch::target::Target;

use crate::node::Node;

/// A place that was given to a request; its work has been counted.
#[derive(Clone, Debug)]
pub struct Place {
    /// The target.
    pub target: Arc<Target>,
    /// Its cell.
    pub cell: cell::Cell,
    /// Prompt tokens that the target has to read.
    pub unread: u64,
    /// Whether the prompt's prefix is taken to be there.
    pub hit: bool,
    /// Engine from whose memory the target is to fetch what it lacks of the prefix.
    pub fetch: Option<SocketAddr>,
    /// The router that gave it.
    pub owner: SocketAddr,
    /// How the request's customer stood.
    pub standing: Option<Standing>,
}

/// A place at a target; dropping it ends the work there.
#[derive(Debug)]
pub struct Lease {
    node: Weak<Node>,
    /// The target.
    pub target: Arc<Target>,
    /// Whether the prompt's prefix is taken to be there.
    pub hit: bool,
    /// Engine from whose memory the target is to fetch what it lacks of the prefix.
    pub fetch: Option<SocketAddr>,
    /// The router that gave the place.
    pub owner: SocketAddr,
    /// How the request's customer stood.
    pub standing: Option<Standing>,
    cell: cell::Cell,
    unread: Cell<u64>,
    outcome: Cell<Option<Outcome>>,
}

impl Lease {
    /// The place that was given.
    #[must_use]
    pub fn new(node: &Rc<Node>, place: Place) -> Self {
        Self {
            node: Rc::downgrade(node),
            target: place.target,
            hit: place.hit,
            fetch: place.fetch,
            owner: place.owner,
            standing: place.standing,
            cell: place.cell,
            unread: Cell::new(place.unread),
            outcome: Cell::new(None),
        }
    }

    /// Prompt tokens that the target has yet to read.
    #[must_use]
    pub fn unread(&self) -> u64 {
        self.unread.get()
    }

    /// Notes how the exchange went.
    pub fn note(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
        if let Some(node) = self.node.upgrade() {
            node.note(&self.target, outcome);
        }
    }

    /// The target has read the prompt.
    pub fn read(&self) {
        let unread = self.unread.take();
        let Some(node) = self.node.upgrade() else {
            return;
        };
        if unread == 0 {
            return;
        }
        let tag = self.target.tag();
        node.state.borrow_mut().usage.read(tag, unread);
        self.tell(&node, Content::Read { tag, unread });
        node.room_came();
    }

    /// Tells whoever owns the cell now; it may be another router than gave the place.
    fn tell(&self, node: &Node, content: Content) {
        let owner = node.state.borrow().members.owner(self.cell, node.now());
        if owner != node.settings.link {
            node.send(owner, content);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        let tag = self.target.tag();
        let unread = self.unread.get();
        {
            let mut state = node.state.borrow_mut();
            state.usage.read(tag, unread);
            state.usage.end(tag);
        }
        let returned = Return {
            tag,
            unread,
            outcome: self.outcome.get(),
        };
        self.tell(&node, Content::Return(returned));
        node.room_came();
    }
}
