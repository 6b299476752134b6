//! The state of a router and the queue of requests that wait.
//!
//! A request that finds no room waits here, not at a target: what was sent can't
//! be put in another order or taken back. Whenever room may have come (a request
//! ended, a prompt was read, a peer reported, the views changed) the queue is
//! gone through in order: customers within their share first, then callers that
//! were refused before, then by arrival.
//!
//! Borrows of the state end before anything is woken or dropped that could
//! borrow it again.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::{Bound, Budget};
use dunlinward_dispatch::configuration::{Configuration, Table};
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::placement::{self, Ask, Candidate, Choice, Policy};
use dunlinward_dispatch::prefix::{self, Memory, Prompt};
use dunlinward_dispatch::reach::Reach;
use dunlinward_dispatch::registry::{Change, Registry};
use dunlinward_dispatch::report::CustomerTag;
use dunlinward_dispatch::share::{Shares, Standing};
use dunlinward_dispatch::target::{State as TargetState, Tag, Target};
use dunlinward_dispatch::usage::{Peer, Usage};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::journal::{Journal, millis};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reply::{Reason, Refusal};

/// Shortest time between two passes over the queue.
const FILL_PAUSE: Duration = Duration::from_millis(3);

/// At most one in so many targets of a service is ejected for failures.
const EJECTED_PART: usize = 3;

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether this router takes callers.
    pub ready: SocketAddr,
    /// Where peers send reports and fetch views; the same port at all routers.
    pub link: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Routers to greet first.
    pub seeds: Vec<SocketAddr>,
    /// Bound on requests that are sent once more.
    pub repeats: Bound,
    /// Window over which customers' shares hold.
    pub share_window: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Figures by which targets are chosen.
    pub policy: Policy,
    /// Figures by which requests wait.
    pub patience: Patience,
    /// Time between reports to peers.
    pub report_interval: Duration,
}

/// How long requests wait and when refused callers may come back.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Part of its objective that a request waits.
    pub first: f64,
    /// The same for a caller that was refused before.
    pub returning: f64,
    /// Part of its objective after which a request may go where its prefix is not.
    pub miss: f64,
    /// Part of the objective after which a refused caller may come back.
    pub come_back: f64,
    /// Part of all room that a request beyond its customer's share may use.
    pub over_share: f64,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            first: 0.2,
            miss: 0.18,
            returning: 0.3,
            come_back: 1.0,
            over_share: 0.8,
        }
    }
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Identity of the request, for the log.
    pub id: Arc<str>,
    /// The service that is to run it.
    pub service: Arc<str>,
    /// Its prompt.
    pub prompt: Option<Rc<Prompt>>,
    /// Its customer, if it has one.
    pub customer: Option<CustomerTag>,
    /// Tokens for which its customer is charged.
    pub cost: u64,
    /// Time to the first event that users expect.
    pub objective: Duration,
    /// When it arrived.
    pub arrived: Duration,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// A target that has failed it.
    pub exclude: Option<Tag>,
    /// When it is given up.
    pub until: Duration,
    /// Spreads ties.
    pub draw: u64,
}

struct Waiter {
    wish: Wish,
    cover: f64,
    reply: oneshot::Sender<Lease>,
}

/// Everything that changes.
pub(crate) struct State {
    pub(crate) table: Option<Rc<Table>>,
    pub(crate) registry: Registry,
    pub(crate) usage: Usage,
    pub(crate) memory: Memory,
    pub(crate) health: Health,
    pub(crate) budget: Budget,
    pub(crate) shares: Shares,
    pub(crate) reach: Reach,
    queue: Vec<Waiter>,
    engines_seen: usize,
}

/// A router.
pub struct Node {
    /// What it was told.
    pub settings: Settings,
    /// Translates heads.
    pub dialect: Rc<dyn Dialect>,
    /// Its log.
    pub journal: Journal,
    /// Its counters.
    pub metrics: Metrics,
    /// Its connections to targets.
    pub pool: Pool,
    /// Identity of this start.
    pub peer: Peer,
    pub(crate) state: RefCell<State>,
    begun: Instant,
    room: Notify,
    draws: Cell<u64>,
    /// Callers' connections that are open.
    pub(crate) open: Cell<usize>,
    leaving: watch::Sender<Option<Duration>>,
}

/// A place at a target; dropping it ends the work there.
pub struct Lease {
    node: Weak<Node>,
    /// The target.
    pub target: Arc<Target>,
    /// Whether the prompt's prefix is taken to be there.
    pub hit: bool,
    unread: Cell<u64>,
}

impl Lease {
    /// Prompt tokens that the target has yet to read.
    #[must_use]
    pub fn unread(&self) -> u64 {
        self.unread.get()
    }

    /// The target has read the prompt.
    pub fn read(&self) {
        let unread = self.unread.take();
        let Some(node) = self.node.upgrade() else {
            return;
        };
        if unread > 0 {
            node.state
                .borrow_mut()
                .usage
                .read(self.target.tag(), unread);
            node.room_came();
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        let tag = self.target.tag();
        {
            let mut state = node.state.borrow_mut();
            state.usage.read(tag, self.unread.get());
            state.usage.end(tag);
        }
        node.room_came();
    }
}

impl Node {
    /// A router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Rc<Self> {
        let journal = Journal::new(&settings.name);
        let state = State {
            table: None,
            registry: Registry::new(),
            usage: Usage::new(),
            memory: Memory::new(),
            health: Health::new(),
            budget: Budget::new(settings.repeats),
            shares: Shares::new(settings.share_window),
            reach: Reach::new(settings.report_interval),
            queue: Vec::new(),
            engines_seen: 0,
        };
        Rc::new(Self {
            dialect,
            journal,
            metrics: Metrics::default(),
            pool: Pool::new(),
            peer: Peer(rand::random()),
            state: RefCell::new(state),
            begun: Instant::now(),
            room: Notify::new(),
            draws: Cell::new(rand::random()),
            open: Cell::new(0),
            leaving: watch::Sender::new(None),
            settings,
        })
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// A moment as the runtime counts it.
    #[must_use]
    pub fn instant(&self, at: Duration) -> Instant {
        self.begun + at
    }

    /// A number that is spread over all values.
    pub fn draw(&self) -> u64 {
        let next = self.draws.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draws.set(next);
        xxhash_rust::xxh64::xxh64(&next.to_le_bytes(), 0)
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Rc<Table>> {
        self.state.borrow().table.clone()
    }

    /// When this router began to end.
    #[must_use]
    pub fn leaving(&self) -> Option<Duration> {
        *self.leaving.borrow()
    }

    /// Begins to end: not ready, no more kept connections.
    pub fn leave(&self) {
        let now = self.now();
        self.leaving.send_replace(Some(now));
    }

    pub(crate) fn watch_leaving(&self) -> watch::Receiver<Option<Duration>> {
        self.leaving.subscribe()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        self.leaving().is_none() && state.table.is_some() && state.registry.read_at().is_some()
    }

    /// Takes a configuration; an older one than that in force is ignored.
    pub fn take_configuration(&self, configuration: Configuration, source: &str) {
        let version = configuration.version;
        let before = self.table().map(|it| it.version());
        if before.is_some_and(|it| it >= version) {
            return;
        }
        self.state.borrow_mut().table = Some(Rc::new(Table::new(configuration)));
        let line = self.journal.line("configuration_taken");
        drop(
            line.with("version", version)
                .with("before", before)
                .with("source", source),
        );
        self.metrics.add("configurations", source, 1);
        self.room_came();
    }

    /// Takes the list of targets that was true at `as_of`.
    pub fn take_targets(&self, list: Vec<Target>, as_of: Duration, source: &str) {
        let changes = self.state.borrow_mut().registry.take(list, as_of);
        for change in &changes {
            let (event, target) = match change {
                Change::Came(target) => ("target_came", target),
                Change::Leaves(target) => ("target_leaves", target),
                Change::Ended(target) => ("target_ended", target),
            };
            if let Change::Ended(target) = change {
                self.forget(target.tag());
            }
            let age = self.now().saturating_sub(as_of);
            let line = self.journal.line(event).with("target", target.id.as_ref());
            let line = line.with("service", target.service.as_ref());
            drop(line.with("source", source).with_ms("age_ms", age));
        }
        if !changes.is_empty() {
            self.pool.trim(self.now(), |tag| self.gone(tag));
            self.room_came();
        }
    }

    fn gone(&self, tag: Tag) -> bool {
        self.state.borrow().registry.get(tag).is_none()
    }

    fn forget(&self, tag: Tag) {
        let mut state = self.state.borrow_mut();
        state.memory.forget(tag);
        state.health.forget(tag);
    }

    /// Age of the list of targets, its own or confirmed by a peer.
    #[must_use]
    pub fn targets_age(&self) -> Option<Duration> {
        let read_at = self.state.borrow().registry.read_at();
        read_at.map(|at| self.now().saturating_sub(at))
    }

    /// The store can't be read, so entries may lapse.
    pub fn store_away(&self) {
        let now = self.now();
        self.state.borrow_mut().registry.outage(now);
    }

    /// Whether the way to a target may be cut, so that only a new connection proves it.
    #[must_use]
    pub fn doubtful(&self, target: &Target) -> bool {
        self.state
            .borrow()
            .reach
            .doubtful(&target.domain, self.now())
    }

    /// Notes how an exchange with a target went.
    pub fn note(&self, target: &Target, outcome: Outcome) {
        let now = self.now();
        let ejected = self.state.borrow_mut().note(target, outcome, now);
        if ejected {
            self.pool.close(target.tag());
            self.metrics.add("ejections", &target.service, 1);
            let line = self.journal.line("target_ejected");
            drop(
                line.with("target", target.id.as_ref())
                    .with("outcome", format!("{outcome:?}")),
            );
        }
    }

    /// Another target has this one's address.
    pub fn replaced(&self, target: &Target) {
        self.state.borrow_mut().registry.forget(target.tag());
        self.forget(target.tag());
        let line = self.journal.line("target_replaced");
        drop(line.with("target", target.id.as_ref()));
    }

    /// Takes one repeat from the budget of a service.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let routers = state.usage.routers();
        let allowed = state.budget.take(service, routers, now);
        let label = if allowed { "taken" } else { "refused" };
        self.metrics.add("repeats", label, 1);
        allowed
    }

    /// Room may have come for requests that wait.
    pub fn room_came(&self) {
        if !self.state.borrow().queue.is_empty() {
            self.room.notify_one();
        }
    }

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
                return Ok(self.lease(choice));
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

    fn lease(self: &Rc<Self>, choice: Choice) -> Lease {
        Lease {
            node: Rc::downgrade(self),
            target: choice.target,
            hit: choice.hit,
            unread: Cell::new(choice.unread),
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
            drop(waiter.reply.send(self.lease(choice)));
        }
    }

    /// How many requests wait here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// How a customer stands against the others.
    #[must_use]
    pub fn standing(&self, customer: CustomerTag) -> Standing {
        let now = self.now();
        self.state.borrow_mut().shares.standing(customer, now)
    }

    /// A line on what is known, for a request's story.
    pub(crate) fn views(&self, line: crate::journal::Line) -> crate::journal::Line {
        let state = self.state.borrow();
        let age = state
            .registry
            .read_at()
            .map(|it| millis(self.now().saturating_sub(it)));
        let version = state.table.as_ref().map(|it| it.version());
        line.with("configuration", version)
            .with("targets_age_ms", age)
            .with("routers", state.usage.routers())
            .with("waiting", state.queue.len())
    }
}

impl State {
    /// Notes an outcome; true if the target is ejected by it.
    fn note(&mut self, target: &Target, outcome: Outcome, now: Duration) -> bool {
        let targets = self.registry.of(&target.service);
        let ejected = targets
            .iter()
            .filter(|it| self.health.ejected(it.tag(), now));
        let enough = ejected.count() * EJECTED_PART >= targets.len();
        if outcome == Outcome::Bad && enough {
            return false;
        }
        self.health.note(target.tag(), outcome, now)
    }

    /// Share of the request's customer against its use; 1 or more within it.
    fn cover(&mut self, wish: &Wish, now: Duration) -> f64 {
        let Some(customer) = wish.customer else {
            return 1.0;
        };
        self.shares.cover(customer, wish.cost, now)
    }

    fn choose(
        &mut self,
        settings: &Settings,
        wish: &Wish,
        cover: f64,
        now: Duration,
    ) -> Option<Choice> {
        let prefix = wish.prompt.as_deref().and_then(Prompt::prefix);
        let table = self.table.clone()?;
        let engines = self.registry.of(&wish.service).len();
        if wish.prompt.is_some() {
            self.engines_seen = self.engines_seen.max(engines);
        }
        #[expect(clippy::cast_precision_loss, reason = "a few hundred targets")]
        let rate = table.limits().tokens_per_second / self.engines_seen.max(1) as f64;
        let engine = table.service(&wish.service).and_then(|it| it.engine);
        let kept = prefix::kept(engine.map_or(0, |it| it.memory_tokens), rate);
        let mut candidates = Vec::with_capacity(engines);
        for target in self.registry.of(&wish.service) {
            let tag = target.tag();
            let usable = target.state == TargetState::Ready
                && !self.health.ejected(tag, now)
                && wish.exclude != Some(tag);
            if usable {
                candidates.push(Candidate {
                    target: target.clone(),
                    load: self.usage.total(tag),
                    local: target.domain == settings.domain,
                    keeps: prefix.is_some_and(|it| self.memory.keeps(it, tag, kept, now)),
                });
            }
        }
        let ask = Ask {
            prompt: wish.prompt.as_deref(),
            objective: wish.objective,
            rate,
            waited: now.saturating_sub(wish.arrived),
            may_miss: now >= wish.arrived + wish.objective.mul_f64(settings.patience.miss),
            room: if cover < 1.0 {
                // Squared, as what is left at full targets goes to whoever asks most often.
                settings.patience.over_share * cover * cover
            } else {
                1.0
            },
            draw: wish.draw,
        };
        placement::choose(&settings.policy, &ask, &candidates)
    }

    fn begin(&mut self, wish: &Wish, choice: &Choice, now: Duration) {
        let tag = choice.target.tag();
        self.usage.begin(tag, choice.unread);
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.note(prefix, tag, now);
        }
        if let Some(customer) = wish.customer {
            self.shares.grant(customer, wish.cost, now);
        }
    }
}
