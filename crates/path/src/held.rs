//! Bodies that a router holds for others, charged to one account.
//!
//! [`dunlinward_dispatch::memory`] decides which are given up; this module allocates and frees them.
//! A body is copied into segments of one size as it is received: what is allocated is then known,
//! does not depend on the sizes of the pieces in which a body arrives, and leaves no gaps that only
//! a body of the same length could use again. The buffers of the HTTP server are free for reuse.
//!
//! The bytes of a body that is given up are freed at once. Its owner, which runs later, finds it
//! empty.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::memory::{Account, Entry, Holder, Kind, SMALL_BYTES};
use dunlinward_dispatch::share;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use crate::node::Node;

/// Part of the process's memory for what is held. The rest is for the router itself, its
/// connections, and their buffers.
const MEMORY_DIVISOR: u64 = 4;

/// Part of that for requests that are kept until a neighbour answers them, and its upper bound.
const KEPT_DIVISOR: u64 = 8;
const MAX_KEPT: usize = 8 * 1024 * 1024;

/// Part of that for events that are not complete.
const EVENT_DIVISOR: u64 = 4;

/// Size of a segment; the first one is smaller as long as that is enough.
const SEGMENT_BYTES: usize = 32 * 1024;

/// Smallest allocation for a body of unknown length.
const MIN_BYTES: usize = 1024;

/// Interval at which bodies that were given up are logged, in one line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A body was given up for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("given up for lack of memory"))]
pub struct GivenUp;

/// All bodies that a router holds.
#[derive(Debug)]
pub(crate) struct Held {
    account: RefCell<Account>,
    buffers: RefCell<HashMap<Entry, Weak<Buffer>>>,
    /// Bytes of events that are not complete, beyond small ones.
    events: Cell<usize>,
    /// Bodies that were given up and not logged yet, by kind.
    given_up: RefCell<BTreeMap<&'static str, u64>>,
}

impl Held {
    /// Creates the bodies of a process with so many bytes of memory, if that is bounded.
    pub(crate) fn new(memory: Option<u64>) -> Rc<Self> {
        let limit = memory.map_or(u64::MAX, |it| it / MEMORY_DIVISOR);
        Rc::new(Self {
            account: RefCell::new(Account::new(limit)),
            buffers: RefCell::default(),
            events: Cell::default(),
            given_up: RefCell::default(),
        })
    }

    /// Whether no neighbour should add to what is held.
    pub(crate) fn is_short(&self) -> bool {
        self.account.borrow().is_short()
    }

    /// Charges bytes of requests that are kept until a neighbour answers them. They do not give way,
    /// as there is a bound for them ([`kept_limit`](Self::kept_limit)).
    pub(crate) fn keep(&self, entry: Option<Entry>, bytes: usize, now: Duration) -> Entry {
        self.charge_pinned(Kind::Forwarded, entry, bytes, now)
    }

    /// Charges bytes that do not give way to an entry, or a new one.
    fn charge_pinned(
        &self,
        kind: Kind,
        entry: Option<Entry>,
        bytes: usize,
        now: Duration,
    ) -> Entry {
        let entry = entry.unwrap_or_else(|| {
            let mut account = self.account.borrow_mut();
            let entry = account.begin(None, kind, now);
            account.pin(entry);
            entry
        });
        self.charge(entry, bytes, now);
        entry
    }

    /// Ends the charge of bytes that are not kept any more.
    pub(crate) fn release(&self, entry: Entry) {
        self.account.borrow_mut().end(entry);
    }

    /// Limit of the bytes that are kept of all forwarded requests.
    pub(crate) fn kept_limit(&self) -> usize {
        let limit = self.account.borrow().limit() / KEPT_DIVISOR;
        usize::try_from(limit).map_or(MAX_KEPT, |it| it.min(MAX_KEPT))
    }

    /// Whether the part of the memory for events has room for so many bytes more.
    fn has_room_for_event(&self, bytes: usize) -> bool {
        let limit = self.account.borrow().limit() / EVENT_DIVISOR;
        let events = self.events.get().saturating_add(bytes);
        u64::try_from(events).is_ok_and(|it| it <= limit)
    }

    /// Sum of all bodies, in bytes.
    pub(crate) fn total(&self) -> u64 {
        self.account.borrow().total()
    }

    /// Sets the memory that connections leave, and frees bodies that give way.
    pub(crate) fn fit(&self, room: u64, now: Duration) {
        let victims = self.account.borrow_mut().fit(room, now);
        self.give_up(victims);
    }

    /// Charges bytes to an entry, and frees those that give way.
    fn charge(&self, entry: Entry, bytes: usize, now: Duration) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let victims = self.account.borrow_mut().grow(entry, bytes, now);
        self.give_up(victims);
    }

    fn give_up(&self, victims: Vec<Entry>) {
        for victim in victims {
            let buffer = self.buffers.borrow_mut().remove(&victim);
            if let Some(buffer) = buffer.and_then(|it| it.upgrade()) {
                buffer.give_up();
                let mut given_up = self.given_up.borrow_mut();
                *given_up.entry(buffer.kind.name()).or_default() += 1;
            }
        }
    }
}

/// Sets the gauges of what is held.
pub(crate) fn update_gauges(node: &Node) {
    let account = node.held.account.borrow();
    for kind in Kind::ALL {
        let held = account.total_of(kind);
        node.metrics.set("held_bytes", kind.name(), held);
    }
    node.metrics.set("held_bytes", "limit", account.limit());
}

/// Logs the bodies that were given up, in one line a second at most.
pub async fn run(node: Rc<Node>) {
    let mut timer = tokio::time::interval(LOG_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let given_up = node.held.given_up.take();
        if given_up.is_empty() {
            continue;
        }
        for (kind, count) in &given_up {
            node.metrics.add("bodies_given_up", kind, *count);
        }
        let account = node.held.account.borrow();
        let largest = account.largest_holder();
        let line = node.journal.line("memory_short").with("given_up", given_up);
        let line = line.with("held_bytes", account.total());
        let line = line.with("limit_bytes", account.limit());
        let line = line.with("largest_bytes", largest.map(|(_, bytes)| bytes));
        let customer = largest.and_then(|(holder, _)| customer_name(&node, holder));
        drop(line.with("largest_customer", customer));
    }
}

/// Name of a holder in the configuration in force.
fn customer_name(node: &Node, holder: Holder) -> Option<Arc<str>> {
    let table = node.table()?;
    let mut customers = table.configuration().customers.iter();
    let customer = customers.find(|it| holder == Some(share::tag(&it.name)));
    customer.map(|it| it.name.clone())
}

/// Bytes of a body, charged until it is dropped.
#[derive(Debug)]
pub struct Buffer {
    held: Rc<Held>,
    entry: Entry,
    kind: Kind,
    bytes: RefCell<Segments>,
    given_up: Cell<bool>,
    /// Notified when it is given up.
    notify: Notify,
}

#[derive(Debug, Default)]
struct Segments {
    full: Vec<Bytes>,
    last: Vec<u8>,
    length: usize,
}

impl Buffer {
    /// Creates an empty body.
    pub(crate) fn new(held: &Rc<Held>, holder: Holder, kind: Kind, now: Duration) -> Rc<Self> {
        let entry = held.account.borrow_mut().begin(holder, kind, now);
        let buffer = Rc::new(Self {
            held: held.clone(),
            entry,
            kind,
            bytes: RefCell::default(),
            given_up: Cell::default(),
            notify: Notify::new(),
        });
        let weak = Rc::downgrade(&buffer);
        held.buffers.borrow_mut().insert(entry, weak);
        buffer
    }

    /// Appends bytes; `remaining` is the number of bytes behind them, if that is known.
    ///
    /// # Errors
    ///
    /// If the body has been given up.
    pub(crate) fn push(
        &self,
        mut data: &[u8],
        remaining: Option<u64>,
        now: Duration,
    ) -> Result<(), GivenUp> {
        let remaining = remaining.map(|it| usize::try_from(it).unwrap_or(SEGMENT_BYTES));
        while !data.is_empty() {
            let left = remaining.map(|it| it.saturating_add(data.len()));
            self.reserve(data.len(), left, now)?;
            let mut bytes = self.bytes.borrow_mut();
            let room = bytes.last.capacity() - bytes.last.len();
            let (part, rest) = data.split_at(room.min(data.len()));
            bytes.last.extend_from_slice(part);
            bytes.length += part.len();
            data = rest;
        }
        Ok(())
    }

    /// Makes room in the last segment, or begins another one, for `length` bytes of the `left` ones.
    fn reserve(&self, length: usize, left: Option<usize>, now: Duration) -> Result<(), GivenUp> {
        let (used, capacity) = {
            let mut bytes = self.bytes.borrow_mut();
            if bytes.last.len() >= SEGMENT_BYTES {
                let segment = std::mem::take(&mut bytes.last);
                bytes.full.push(segment.into());
            }
            (bytes.last.len(), bytes.last.capacity())
        };
        if used < capacity {
            return self.check();
        }
        let doubled = (used + length).next_power_of_two().max(MIN_BYTES);
        let needed = left.map(|it| it.saturating_add(used));
        let target = doubled.min(needed.unwrap_or(doubled)).min(SEGMENT_BYTES);
        self.held.charge(self.entry, target - capacity, now);
        self.check()?;
        let mut bytes = self.bytes.borrow_mut();
        bytes.last.reserve_exact(target - used);
        Ok(())
    }

    fn check(&self) -> Result<(), GivenUp> {
        if self.given_up.get() {
            Err(GivenUp)
        } else {
            Ok(())
        }
    }

    /// Number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.borrow().length
    }

    /// Completes the body: nothing is appended any more.
    pub(crate) fn complete(&self) {
        let mut bytes = self.bytes.borrow_mut();
        if !bytes.last.is_empty() {
            let segment = std::mem::take(&mut bytes.last);
            bytes.full.push(segment.into());
        }
    }

    /// Segments of a complete body; none of one that was given up.
    pub(crate) fn segments(&self) -> Vec<Bytes> {
        self.bytes.borrow().full.clone()
    }

    fn segment(&self, number: usize) -> Result<Option<Bytes>, GivenUp> {
        self.check()?;
        Ok(self.bytes.borrow().full.get(number).cloned())
    }

    /// Keeps it from being given up from now on.
    pub(crate) fn pin(&self) {
        self.held.account.borrow_mut().pin(self.entry);
    }

    /// Returns once it has been given up.
    pub(crate) async fn given_up(&self) {
        while !self.given_up.get() {
            self.notify.notified().await;
        }
    }

    fn give_up(&self) {
        self.bytes.take();
        self.given_up.set(true);
        self.notify.notify_one();
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.held.account.borrow_mut().end(self.entry);
        self.held.buffers.borrow_mut().remove(&self.entry);
    }
}

/// Charge of the event of a stream that is not complete, which is held so that the stream can go on
/// at another target. A small one is part of what a served request takes. One for which there is no
/// room is forwarded in parts, so it ends nobody else's.
#[derive(Debug)]
pub(crate) struct Incomplete {
    held: Rc<Held>,
    entry: Option<Entry>,
    length: usize,
    charged: usize,
}

impl Incomplete {
    /// Creates the charge of an empty event.
    pub(crate) fn new(held: &Rc<Held>) -> Self {
        Self {
            held: held.clone(),
            entry: None,
            length: 0,
            charged: 0,
        }
    }

    /// What is allocated for an event, beyond a small one.
    fn allocated(length: usize) -> usize {
        if length as u64 <= SMALL_BYTES {
            return 0;
        }
        length.next_power_of_two()
    }

    /// Limit of the event if so many bytes are appended.
    pub(crate) fn limit(&self, bytes: usize) -> usize {
        let more = Self::allocated(self.length + bytes).saturating_sub(self.charged);
        if more == 0 || self.held.has_room_for_event(more) {
            return usize::MAX;
        }
        0
    }

    /// Records the length of the event from now on.
    pub(crate) fn record(&mut self, length: usize, now: Duration) {
        self.length = length;
        let allocated = Self::allocated(length);
        if allocated < self.charged {
            self.release();
        }
        let more = allocated - self.charged;
        if more == 0 {
            return;
        }
        let held = &self.held;
        self.entry = Some(held.charge_pinned(Kind::Event, self.entry, more, now));
        held.events.set(held.events.get() + more);
        self.charged = allocated;
    }

    fn release(&mut self) {
        if let Some(entry) = self.entry.take() {
            self.held.release(entry);
        }
        let events = self.held.events.get();
        self.held.events.set(events - self.charged);
        self.charged = 0;
    }
}

impl Drop for Incomplete {
    fn drop(&mut self) {
        self.release();
    }
}

/// A complete body that is sent.
#[derive(Debug)]
pub struct Content {
    source: Source,
    left: u64,
}

#[derive(Debug)]
enum Source {
    /// Segments of a buffer, from this one on.
    Held(Rc<Buffer>, usize),
    /// Bytes of the router itself.
    Own(Bytes),
}

impl Content {
    /// A body without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::from(Bytes::new())
    }

    /// Sends a complete body, which may be sent more than once.
    #[must_use]
    pub fn new(buffer: Rc<Buffer>) -> Self {
        Self {
            left: buffer.len() as u64,
            source: Source::Held(buffer, 0),
        }
    }
}

impl From<Bytes> for Content {
    fn from(bytes: Bytes) -> Self {
        Self {
            left: bytes.len() as u64,
            source: Source::Own(bytes),
        }
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = GivenUp;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, GivenUp>>> {
        let this = self.get_mut();
        if this.left == 0 {
            return Poll::Ready(None);
        }
        let segment = match &mut this.source {
            Source::Held(buffer, next) => {
                *next += 1;
                buffer.segment(*next - 1)
            }
            Source::Own(bytes) => Ok(Some(std::mem::take(bytes))),
        };
        if let Ok(Some(segment)) = &segment {
            this.left -= segment.len() as u64;
        }
        Poll::Ready(segment.map(|it| it.map(Frame::data)).transpose())
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
