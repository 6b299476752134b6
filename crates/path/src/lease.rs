//! A place at a target, from sending the request to the end of the answer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::backoff::Refusal;
use dunlinward_dispatch::cell;
use dunlinward_dispatch::content::{ContentTag, Digest};
use dunlinward_dispatch::harmful_part::FRESH;
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::message::{Content, Return};
use dunlinward_dispatch::prefix::Prompt;
use dunlinward_dispatch::share::{Charge, Standing};
use dunlinward_dispatch::target::Target;

use crate::interruption::{self, Cause};
use crate::node::Node;
use crate::observation;
use crate::quarantine;

/// Silence of a target after which an abandoned request tells as little of it as a broken
/// connection: callers abandon streams after a gap of two seconds at the earliest.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The router that granted a place, and refunds its charge if the target has not run the request.
#[derive(Clone, Copy, Debug)]
pub enum Granter {
    /// This router.
    Own(Option<Charge>),
    /// Another router.
    Peer {
        /// Its address.
        address: SocketAddr,
        /// Number of the request for the place.
        number: u64,
    },
}

/// A place that was granted to a request; its load has been counted.
#[derive(Clone, Debug)]
pub struct Place {
    /// The target.
    pub target: Arc<Target>,
    /// Its cell.
    pub cell: cell::Cell,
    /// Prompt tokens that the target has to read.
    pub unread: u64,
    /// Prompt tokens that the target has to read before them, for other requests.
    pub queued: u64,
    /// Whether the prompt's prefix is assumed to be cached there.
    pub hit: bool,
    /// Engine from whose memory the target is to fetch the missing part of the prefix.
    pub fetch: Option<SocketAddr>,
    /// The router that granted it.
    pub owner: SocketAddr,
    /// The same, with what is needed to refund the charge.
    pub granter: Granter,
    /// Content of the request, if the place was requested with it.
    pub content: Option<ContentTag>,
    /// Standing of the request's customer.
    pub standing: Option<Standing>,
}

/// A request that a target runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    content: Digest,
    /// When the target first sent some of its answer.
    first_progress: Option<Duration>,
    /// When the request was sent, or the target last sent some of its answer.
    last_progress: Duration,
}

/// A place at a target; dropping it ends the request's load there.
#[derive(Debug)]
pub struct Lease {
    node: Weak<Node>,
    /// The target.
    pub target: Arc<Target>,
    /// Prompt tokens that the target had to read before this prompt when the place was granted.
    pub queued: u64,
    /// Whether the prompt's prefix is assumed to be cached there.
    pub hit: bool,
    /// Engine from whose memory the target is to fetch the missing part of the prefix.
    pub fetch: Option<SocketAddr>,
    /// The router that granted the place.
    pub owner: SocketAddr,
    /// Standing of the request's customer.
    pub standing: Option<Standing>,
    granter: Granter,
    cell: cell::Cell,
    unread: Cell<u64>,
    content: Option<ContentTag>,
    /// When the request was sent.
    sent_at: Cell<Option<Duration>>,
    /// The request that the target runs, until its end is known.
    run: Cell<Option<Run>>,
    /// Prompt of that request, if an engine runs it.
    prompt: RefCell<Option<Rc<Prompt>>>,
    /// Whether the target may run the request or has run it.
    used: Cell<bool>,
    outcome: Cell<Option<Outcome>>,
    refusal: Cell<Option<Refusal>>,
}

impl Lease {
    /// A lease of a place that was granted.
    #[must_use]
    pub fn new(node: &Rc<Node>, place: Place) -> Self {
        Self {
            node: Rc::downgrade(node),
            target: place.target,
            queued: place.queued,
            hit: place.hit,
            fetch: place.fetch,
            owner: place.owner,
            standing: place.standing,
            granter: place.granter,
            cell: place.cell,
            unread: Cell::new(place.unread),
            content: place.content,
            sent_at: Cell::new(None),
            run: Cell::new(None),
            prompt: RefCell::default(),
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

    /// Records the outcome of the exchange.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
        let Some(node) = self.node.upgrade() else {
            return;
        };
        node.record_outcome(&self.target, outcome);
        if outcome == Outcome::Good
            && let Some(run) = self.run.take()
        {
            node.state.borrow_mut().answered.record(run.content);
            self.record_answered_parts(&node);
            quarantine::record_answer(&node, run.content.tag());
        }
    }

    /// Records that the request is sent: from now on the target may run it. A request that is lost
    /// after that stays charged, as the target may have read the prompt.
    pub fn record_sent(&self, content: Digest, prompt: Option<Rc<Prompt>>) {
        self.used.set(true);
        self.prompt.replace(prompt);
        if let Some(node) = self.node.upgrade() {
            let last_progress = node.now();
            self.sent_at.set(Some(last_progress));
            self.run.set(Some(Run {
                content,
                first_progress: None,
                last_progress,
            }));
        }
    }

    /// Records that the target has sent some of its answer.
    pub fn record_progress(&self) {
        if let (Some(node), Some(run)) = (self.node.upgrade(), self.run.get()) {
            let last_progress = node.now();
            self.run.set(Some(Run {
                first_progress: run.first_progress.or(Some(last_progress)),
                last_progress,
                ..run
            }));
        }
    }

    /// Records that the target has answered, though not well, so it has not ended.
    pub fn record_alive(&self) {
        self.run.set(None);
    }

    /// Records that the answer has ended and may be whole, and that the target goes on. That clears the
    /// parts of its prompt, under which no target goes on if they are harmful.
    pub fn record_unproven(&self) {
        if let (Some(node), Some(_)) = (self.node.upgrade(), self.run.take()) {
            self.record_answered_parts(&node);
        }
    }

    fn record_answered_parts(&self, node: &Node) {
        if let Some(prompt) = self.prompt.borrow().as_deref() {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            state.part_runs.record_answer(prompt, now);
            drop(state);
            quarantine::record_answered_parts(node, prompt);
        }
    }

    /// Records that the answer broke off or did not come, and starts to find out what became of the
    /// target.
    pub fn record_interruption(&self, how: Cause) {
        if let (Some(node), Some(run)) = (self.node.upgrade(), self.run.take()) {
            self.record_interrupted_parts(&node, run);
            interruption::record(&node, &self.target, self.cell, run.content, how);
        }
    }

    /// Records the parts of a run that had no answer yet, or had just begun to answer.
    fn record_interrupted_parts(&self, node: &Node, run: Run) {
        let now = node.now();
        let begun = run.first_progress.unwrap_or(now);
        if let Some(prompt) = self.prompt.borrow().as_deref()
            && now.saturating_sub(begun) < FRESH
        {
            let tag = self.target.tag();
            let mut state = node.state.borrow_mut();
            state.part_runs.record_interrupted(tag, prompt, now);
        }
    }

    /// Treats a run that is abandoned as an interrupted one if its target was silent before.
    fn record_abandoned(&self, node: &Node) {
        if let Some(run) = self.run.get()
            && node.now().saturating_sub(run.last_progress) >= SILENCE_TIMEOUT
        {
            self.record_interruption(Cause::Silent);
        }
    }

    /// Records that the target has not run the request and will not.
    pub fn record_not_run(&self) {
        self.used.set(false);
        self.run.set(None);
    }

    /// Records that the target has refused the request. The owner of the cell learns it with the
    /// return of the place.
    pub fn record_refusal(&self, refusal: Refusal) {
        self.refusal.set(Some(refusal));
        if let Some(node) = self.node.upgrade() {
            let (tag, now) = (self.target.tag(), node.now());
            let mut state = node.state.borrow_mut();
            let own = node.peer;
            state.backoffs.record_refusal(own, tag, refusal, now);
        }
    }

    /// Records that the target has read the prompt.
    pub fn record_prefill_end(&self) {
        let unread = self.unread.take();
        let Some(node) = self.node.upgrade() else {
            return;
        };
        if unread == 0 {
            return;
        }
        if let Some(sent_at) = self.sent_at.get() {
            observation::record_prefill(&node, self, unread, sent_at);
        }
        let tag = self.target.tag();
        {
            let mut state = node.state.borrow_mut();
            state.usage.end_prefill(tag, unread);
            state.backoffs.record_running(tag, node.now());
        }
        self.send_to_owner(&node, Content::Read { tag, unread });
        node.notify_capacity();
    }

    /// Records that the target has given a plain answer.
    pub fn record_answer(&self) {
        if let (Some(node), Some(sent_at)) = (self.node.upgrade(), self.sent_at.get()) {
            observation::record_answer(&node, self, sent_at);
        }
    }

    /// Records that a stream of the target has ended, or paused beyond its objective for the first
    /// time.
    pub fn record_stream(&self, paused: bool, longest: Duration) {
        if let Some(node) = self.node.upgrade() {
            observation::record_stream(&node, self, paused, longest);
        }
    }

    /// The number of the request at the cell's owner, if the owner granted the place and the target
    /// has not run the request.
    fn not_run_number(&self, owner: SocketAddr) -> Option<u64> {
        match self.granter {
            Granter::Peer { address, number } if address == owner => {
                (!self.used.get()).then_some(number)
            }
            _ => None,
        }
    }

    /// Refunds the charge of a place that was not used, unless the cell's owner does so.
    fn refund(&self, node: &Node, owner: SocketAddr) {
        match self.granter {
            Granter::Own(charge) => node.state.borrow_mut().refund(charge, node.now()),
            Granter::Peer { address, number } if address != owner => {
                node.send(address, Content::Withdraw(number));
            }
            Granter::Peer { .. } => {}
        }
    }

    /// Sends to the router that owns the cell now; another one may have granted the place.
    fn send_to_owner(&self, node: &Node, content: Content) {
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
        self.record_abandoned(&node);
        let tag = self.target.tag();
        let unread = self.unread.get();
        {
            let mut state = node.state.borrow_mut();
            state.usage.end_prefill(tag, unread);
            state.usage.end(tag);
            if let (Granter::Own(_), Some(content)) = (self.granter, self.content) {
                state.in_flight.end(content, tag);
            }
        }
        let owner = node.state.borrow().members.owner(self.cell, node.now());
        let returned = Return {
            tag,
            unread,
            outcome: self.outcome.get(),
            not_run: self.not_run_number(owner),
            content: self.content,
            refusal: self.refusal.get(),
        };
        if !self.used.get() {
            self.refund(&node, owner);
        }
        if owner != node.settings.link {
            node.send(owner, Content::Return(returned));
        }
        node.notify_capacity();
    }
}
