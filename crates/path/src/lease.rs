//! A place at a target, from sending to the end of the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::backoff::Refusal;
use dunlinward_dispatch::cell;
use dunlinward_dispatch::content::{ContentTag, Digest};
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::message::{Content, Return};
use dunlinward_dispatch::share::{Charge, Standing};
use dunlinward_dispatch::target::Target;

use crate::cut::{self, Break};
use crate::node::Node;
use crate::quarantine;

/// Silence of a target before a request is given up that says as little of it as a broken
/// connection: callers leave streams after a gap of two seconds at the earliest.
const SILENT: Duration = Duration::from_secs(1);

/// Who gave a place, and so takes its charge back if the target has not run the request.
#[derive(Clone, Copy, Debug)]
pub enum Giver {
    /// This router.
    Own(Option<Charge>),
    /// Another router.
    Peer {
        /// Where it listens.
        address: SocketAddr,
        /// Number under which it was asked.
        number: u64,
    },
}

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
    /// The same, with what it needs to take the charge back.
    pub giver: Giver,
    /// What the request asks, if the place was asked for with it.
    pub content: Option<ContentTag>,
    /// How the request's customer stood.
    pub standing: Option<Standing>,
}

/// A request that a target runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    content: Digest,
    /// When the target was last heard of it, or it was sent.
    heard: Duration,
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
    giver: Giver,
    cell: cell::Cell,
    unread: Cell<u64>,
    content: Option<ContentTag>,
    /// What the target runs, until its end is known.
    run: Cell<Option<Run>>,
    /// Whether the target may run the request or has run it.
    used: Cell<bool>,
    outcome: Cell<Option<Outcome>>,
    refusal: Cell<Option<Refusal>>,
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
            giver: place.giver,
            cell: place.cell,
            unread: Cell::new(place.unread),
            content: place.content,
            run: Cell::new(None),
            used: Cell::new(false),
            outcome: Cell::new(None),
            refusal: Cell::new(None),
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
        let Some(node) = self.node.upgrade() else {
            return;
        };
        node.note(&self.target, outcome);
        if outcome == Outcome::Good
            && let Some(run) = self.run.take()
        {
            node.state.borrow_mut().answered.record(run.content);
            quarantine::answered(&node, run.content.tag());
        }
    }

    /// The request is sent: from now on the target may run it. Work of which nothing is known any
    /// more stays charged, as the target may have read the prompt.
    pub fn sent(&self, content: Digest) {
        self.used.set(true);
        if let Some(node) = self.node.upgrade() {
            let heard = node.now();
            self.run.set(Some(Run { content, heard }));
        }
    }

    /// The target has sent some of its answer.
    pub fn heard(&self) {
        if let (Some(node), Some(run)) = (self.node.upgrade(), self.run.get()) {
            let heard = node.now();
            self.run.set(Some(Run { heard, ..run }));
        }
    }

    /// The target has answered, though not well: it runs.
    pub fn survived(&self) {
        self.run.set(None);
    }

    /// The answer broke off or did not come: what became of its target is found out.
    pub fn cut(&self, how: Break) {
        if let (Some(node), Some(run)) = (self.node.upgrade(), self.run.take()) {
            cut::note(&node, &self.target, self.cell, run.content, how);
        }
    }

    /// A run that is given up is as one that broke off if its target was silent before.
    fn given_up(&self, node: &Node) {
        if let Some(run) = self.run.get()
            && node.now().saturating_sub(run.heard) >= SILENT
        {
            self.cut(Break::Silent);
        }
    }

    /// The target has not run the request and will not.
    pub fn not_run(&self) {
        self.used.set(false);
        self.run.set(None);
    }

    /// The target has turned the request away: this router knows it at once, the owner of the cell with
    /// the place that comes back.
    pub fn refused(&self, refusal: Refusal) {
        self.refusal.set(Some(refusal));
        if let Some(node) = self.node.upgrade() {
            let (tag, now) = (self.target.tag(), node.now());
            let mut state = node.state.borrow_mut();
            let own = node.peer;
            state.backoffs.record_refusal(own, tag, refusal, now);
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
        {
            let mut state = node.state.borrow_mut();
            state.usage.end_prefill(tag, unread);
            state.backoffs.record_running(tag, node.now());
        }
        self.tell(&node, Content::Read { tag, unread });
        node.room_came();
    }

    /// The number of the request at the cell's owner, if that gave the place and the target has
    /// not run the request.
    fn not_run_at(&self, owner: SocketAddr) -> Option<u64> {
        match self.giver {
            Giver::Peer { address, number } if address == owner => {
                (!self.used.get()).then_some(number)
            }
            _ => None,
        }
    }

    /// Takes back the charge of a place that was not used, unless the cell's owner does so.
    fn take_back(&self, node: &Node, owner: SocketAddr) {
        match self.giver {
            Giver::Own(charge) => node.state.borrow_mut().refund(charge, node.now()),
            Giver::Peer { address, number } if address != owner => {
                node.send(address, Content::Withdraw(number));
            }
            Giver::Peer { .. } => {}
        }
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
        self.given_up(&node);
        let tag = self.target.tag();
        let unread = self.unread.get();
        {
            let mut state = node.state.borrow_mut();
            state.usage.end_prefill(tag, unread);
            state.usage.end(tag);
            if let (Giver::Own(_), Some(content)) = (self.giver, self.content) {
                state.in_flight.end(content, tag);
            }
        }
        let owner = node.state.borrow().members.owner(self.cell, node.now());
        let returned = Return {
            tag,
            unread,
            outcome: self.outcome.get(),
            not_run: self.not_run_at(owner),
            content: self.content,
            refusal: self.refusal.get(),
        };
        if !self.used.get() {
            self.take_back(&node, owner);
        }
        if owner != node.settings.link {
            node.send(owner, Content::Return(returned));
        }
        node.room_came();
    }
}
