//! Connections of callers, which give way to others when descriptors or memory are used up.
//!
//! [`dunlinward_dispatch::connections`] decides which; this module follows what each connection does
//! and closes it. A connection that gives way is closed without an answer, as that would take its
//! descriptor for longer.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Debug, Formatter};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use dunlinward_dispatch::connections::{self, Others, Phase, Served, Slot, Table};
use dunlinward_dispatch::memory::Holder;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use crate::buffers;
use crate::node::Node;
use crate::settings::Settings;

/// Part of the descriptors that is for the router itself: listening sockets, the store, peers and
/// pages.
const OWN_DIVISOR: usize = 16;

/// Descriptors that the router needs itself at least.
const MIN_OWN: usize = 24;

/// Part of the memory for connections, and what one of them takes: some 8 KiB of read buffer, as
/// much for heads that are written, and its tasks.
const MEMORY_DIVISOR: u64 = 2;
const CONNECTION_BYTES: u64 = 20 * 1024;

/// Memory of a served request in the worst case, with both connections and a caller that does not
/// read.
const SERVED_BYTES: u64 = 64 * 1024;

/// Part of the memory for the router itself, and the least that it needs.
const OWN_MEMORY_DIVISOR: u64 = 6;
const MIN_OWN_MEMORY: u64 = 12_000_000;

/// Part of the memory that the allocator leaves unused between allocations.
const UNUSED_DIVISOR: u64 = 6;

/// Part of the memory for buffers of heads and bodies that are on their way, and what these take for
/// each: the HTTP server reads up to 16 KiB at a time, and passes the bytes on in that buffer.
const RECEIVING_DIVISOR: u64 = 4;
const RECEIVING_BYTES: u64 = 32 * 1024;

/// Bytes per second that are read and dropped behind refused requests, on all connections.
const DISCARDED_BYTES_PER_S: usize = 8 * 1024 * 1024;

/// Turns of the event loop that are waited for connections that give way.
const MAX_CLOSE_TURNS: usize = 8;

/// Interval between checks of heads that have begun.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks between two log lines of connections that were closed.
const LOG_CHECKS: u32 = 10;

/// Reason in logs and metrics of a connection whose head took too long.
const SLOW_HEAD: &str = "slow_head";

/// Open connections of callers.
#[derive(Debug)]
pub(crate) struct Callers {
    table: RefCell<Table>,
    open: RefCell<HashMap<Slot, Weak<Caller>>>,
    served: RefCell<Served>,
    /// Connections that were closed and are not logged yet, by what they did.
    displaced: RefCell<BTreeMap<&'static str, u64>>,
    /// Second since the start that `discarded` counts in.
    second: Cell<u64>,
    /// Bytes behind refused requests that were discarded.
    discarded: Cell<usize>,
}

impl Callers {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            table: RefCell::new(
                Table::new(limit(settings))
                    .with_receiving_limit(receiving_limit(settings))
                    .with_memory(budget(settings)),
            ),
            open: RefCell::default(),
            served: RefCell::new(Served::new(served_connections(settings))),
            displaced: RefCell::default(),
            second: Cell::default(),
            discarded: Cell::default(),
        }
    }

    /// Counts bytes that are discarded so that a caller can read its refusal; false if callers send
    /// so many that reading them would cost the others processor time.
    pub(crate) fn may_discard(&self, bytes: usize, now: Duration) -> bool {
        if self.second.replace(now.as_secs()) != now.as_secs() {
            self.discarded.set(0);
        }
        let discarded = self.discarded.get().saturating_add(bytes);
        self.discarded.set(discarded);
        discarded <= DISCARDED_BYTES_PER_S
    }

    /// Whether no neighbour should add connections.
    pub(crate) fn is_short(&self, node: &Node) -> bool {
        self.table.borrow().is_short(others(node))
    }

    fn close(&self, slot: Slot, reason: &'static str) {
        *self.displaced.borrow_mut().entry(reason).or_default() += 1;
        let caller = self.open.borrow_mut().remove(&slot);
        if let Some(caller) = caller.and_then(|it| it.upgrade()) {
            caller.closed.set(true);
            caller.notify.notify_one();
        }
    }
}

/// Limit of connections by the descriptors and the memory of the process.
pub(crate) fn limit(settings: &Settings) -> usize {
    let by_descriptors = settings.descriptors.map_or(usize::MAX, |it| {
        it.saturating_sub((it / OWN_DIVISOR).max(MIN_OWN))
    });
    let by_memory = settings.memory.map_or(usize::MAX, |it| {
        let connections = it / MEMORY_DIVISOR / CONNECTION_BYTES;
        usize::try_from(connections).unwrap_or(usize::MAX)
    });
    by_descriptors.min(by_memory).max(1)
}

/// Budget of connections and bodies, by the memory of the process.
fn budget(settings: &Settings) -> u64 {
    settings.memory.map_or(u64::MAX, |it| {
        let own = (it / OWN_MEMORY_DIVISOR).max(MIN_OWN_MEMORY);
        let rest = it.saturating_sub(own + it / buffers::RECEIVE_DIVISOR);
        rest.saturating_sub(it / UNUSED_DIVISOR)
            .max(it / MEMORY_DIVISOR)
    })
}

/// Connections of which half can be served requests, by the memory of the process.
fn served_connections(settings: &Settings) -> usize {
    let by_memory = settings.memory.map_or(usize::MAX, |it| {
        usize::try_from(it / SERVED_BYTES).unwrap_or(usize::MAX)
    });
    limit(settings).min(by_memory)
}

/// Limit of connections whose head or body is on its way, by the memory of the process.
fn receiving_limit(settings: &Settings) -> usize {
    let limit = settings
        .memory
        .map(|it| it / RECEIVING_DIVISOR / RECEIVING_BYTES);
    let limit = limit.map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    limit.map_or(usize::MAX, |it| it.max(1))
}

/// Connections that are not callers': to targets and to neighbours, and those that neighbours have
/// handed over.
fn others(node: &Node) -> Others {
    let own = node.callers.open.borrow().len();
    Others {
        targets: node.pool.open_count(),
        forwarded: node.handovers.open(),
        taken: node.open.get().saturating_sub(own),
        served: node.callers.served.borrow().total(),
        bodies: node.held.total(),
    }
}

/// Lets bodies give way to what connections take, and to so many bytes more.
fn fit_bodies(node: &Node, more: u64) {
    let room = node.callers.table.borrow().room(others(node));
    node.held.fit(room.saturating_sub(more), node.now());
}

/// Closes a connection if another one would exceed the limit: an idle one to a target, as it only
/// saves time, or one of a caller.
pub(crate) fn make_room(node: &Node) {
    let callers = &node.callers;
    fit_bodies(node, connections::CONNECTION_BYTES);
    if !callers.table.borrow().is_full(others(node)) || node.pool.close_one() {
        return;
    }
    let displaced = callers.table.borrow_mut().make_room(others(node));
    if let Some(displaced) = displaced {
        callers.close(displaced.slot, displaced.phase.name());
    }
}

/// Lets bodies, and then one connection, give way to what connections have grown by.
fn fit(node: &Node) {
    fit_bodies(node, 0);
    let displaced = node.callers.table.borrow_mut().shed(others(node));
    if let Some(displaced) = displaced {
        node.callers.close(displaced.slot, displaced.phase.name());
    }
}

/// Lets the tasks of connections that give way close them, so that those of a burst do not use up
/// the descriptors before. What is opened must count already.
pub(crate) async fn close_displaced(node: &Node) {
    for _ in 0..MAX_CLOSE_TURNS {
        if !node.callers.table.borrow().is_over(others(node)) {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// An open connection of a caller.
pub struct Caller {
    node: Rc<Node>,
    slot: Slot,
    /// What it does when it is not blocked.
    phase: Cell<Phase>,
    /// Whether it waits for room to write, also while another request has begun behind.
    blocked: Cell<bool>,
    closed: Cell<bool>,
    /// Notified when it is to be closed.
    notify: Notify,
}

impl Caller {
    /// Adds a connection that was accepted; none if it is to be closed.
    #[must_use]
    pub fn open(node: &Rc<Node>) -> Option<Rc<Self>> {
        let callers = &node.callers;
        fit_bodies(node, connections::CONNECTION_BYTES);
        // An idle connection that is closed counts until its task has ended.
        let is_full = callers.table.borrow().is_full(others(node));
        let closed = usize::from(is_full && node.pool.close_one());
        let mut others = others(node);
        others.targets = others.targets.saturating_sub(closed);
        let (slot, displaced) = callers.table.borrow_mut().open(others, node.now());
        if let Some(displaced) = displaced {
            callers.close(displaced.slot, displaced.phase.name());
            if displaced.slot == slot {
                return None;
            }
        }
        let caller = Rc::new(Self {
            node: node.clone(),
            slot,
            phase: Cell::new(Phase::Idle),
            blocked: Cell::default(),
            closed: Cell::default(),
            notify: Notify::new(),
        });
        let weak = Rc::downgrade(&caller);
        callers.open.borrow_mut().insert(slot, weak);
        Some(caller)
    }

    /// Records what the connection does from now on.
    pub(crate) fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.record();
        }
    }

    /// The same, unless it does something else than `from`.
    pub(crate) fn advance(&self, from: Phase, phase: Phase) {
        if self.phase.get() == from {
            self.enter(phase);
        }
    }

    /// Records whether it waits for room to write.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        if self.blocked.replace(is_blocked) != is_blocked {
            self.record();
        }
    }

    fn record(&self) {
        let is_waiting = self.blocked.get() && self.phase.get() != Phase::Closing;
        let phase = if is_waiting {
            Phase::Blocked
        } else {
            self.phase.get()
        };
        let callers = &self.node.callers;
        let now = self.node.now();
        let displaced = callers.table.borrow_mut().enter(self.slot, phase, now);
        if let Some(displaced) = displaced {
            callers.close(displaced.slot, displaced.phase.name());
        }
        fit(&self.node);
    }

    /// Returns once it is to be closed.
    pub(crate) async fn closed(&self) {
        while !self.closed.get() {
            self.notify.notified().await;
        }
    }

    /// Output of a write, which waits for its caller while it is pending.
    pub(crate) async fn writing<T>(&self, write: impl Future<Output = T>) -> T {
        let mut write = pin!(write);
        let mut blocked = false;
        let output = std::future::poll_fn(|context| {
            let output = write.as_mut().poll(context);
            if output.is_pending() && !std::mem::replace(&mut blocked, true) {
                self.record_write(true);
            }
            output
        })
        .await;
        if blocked {
            self.record_write(false);
        }
        output
    }
}

impl Debug for Caller {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Caller").field(&self.slot).finish()
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.node.callers.table.borrow_mut().close(self.slot);
        self.node.callers.open.borrow_mut().remove(&self.slot);
    }
}

/// Serves a request until its answer is dropped.
#[derive(Debug)]
pub(crate) struct Service(Rc<Caller>);

impl Service {
    /// Begins with a request whose body may have ended.
    pub(crate) fn begin(caller: &Rc<Caller>, body_ended: bool) -> Self {
        caller.enter(if body_ended {
            Phase::Serving
        } else {
            Phase::Reading
        });
        Self(caller.clone())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}

/// Place of a request that is served, until it is dropped.
pub(crate) struct Place {
    node: Rc<Node>,
    holder: Holder,
}

impl Place {
    /// Takes a place for a request of a customer, if there is one.
    pub(crate) fn take(node: &Rc<Node>, holder: Holder) -> Option<Self> {
        let taken = node.callers.served.borrow_mut().begin(holder);
        fit(node);
        let node = node.clone();
        // Dropping a place that was not taken would free another one.
        taken.then(|| Self { node, holder })
    }
}

impl Debug for Place {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Place").field(&self.holder).finish()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.node.callers.served.borrow_mut().end(self.holder);
    }
}

/// Body of a request, which records its end.
#[derive(Debug)]
pub(crate) struct Upload {
    body: Incoming,
    caller: Rc<Caller>,
}

impl Upload {
    pub(crate) fn new(body: Incoming, caller: Rc<Caller>) -> Self {
        Self { body, caller }
    }
}

impl Body for Upload {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<bytes::Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = std::task::ready!(Pin::new(&mut this.body).poll_frame(context));
        if frame.is_none() || this.body.is_end_stream() {
            this.caller.advance(Phase::Reading, Phase::Serving);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Sets the gauges of callers' connections.
pub(crate) fn update_gauges(node: &Node) {
    let table = node.callers.table.borrow();
    let set = |label, value: usize| {
        let value = u64::try_from(value).unwrap_or(u64::MAX);
        node.metrics.set("caller_connections", label, value);
    };
    for phase in Phase::ALL {
        set(phase.name(), table.count_of(phase));
    }
    set("others", others(node).count());
    set("served", node.callers.served.borrow().total());
    set("limit", table.limit());
}

/// Closes connections whose heads take too long, and logs all that were closed, in one line a
/// second at most.
pub async fn run(node: Rc<Node>) {
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = 0;
    loop {
        timer.tick().await;
        expire_heads(&node);
        checks = (checks + 1) % LOG_CHECKS;
        if checks == 0 {
            log(&node);
        }
    }
}

fn expire_heads(node: &Node) {
    let Some(timeout) = node.table().map(|it| it.limits().head_timeout) else {
        return;
    };
    let Some(before) = node.now().checked_sub(timeout) else {
        return;
    };
    let expired = node.callers.table.borrow_mut().expire_heads(before);
    for slot in expired {
        node.callers.close(slot, SLOW_HEAD);
    }
}

fn log(node: &Node) {
    let displaced = node.callers.displaced.take();
    if displaced.is_empty() {
        return;
    }
    for (reason, count) in &displaced {
        node.metrics.add("callers_displaced", reason, *count);
    }
    let table = node.callers.table.borrow();
    let line = node.journal.line("callers_displaced");
    let line = line.with("by_phase", displaced);
    let line = line.with("open", table.count());
    let line = line.with("others", others(node).count());
    drop(line.with("limit", table.limit()));
}
