//! A router: its settings, its views, its state.
//!
//! Borrows of the state end before anything is woken or dropped that could
//! borrow it again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::configuration::{Configuration, Table};
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::member::{Duty, Scope};
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::reading::Reading;
use dunlinward_dispatch::registry::Delta;
use dunlinward_dispatch::share::Standing;
use dunlinward_dispatch::store::Position;
use dunlinward_dispatch::target::Target;
use dunlinward_dispatch::usage::Peer;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::courier::Courier;
use crate::dialect::Dialect;
use crate::gossip::{self, Gossip};
use crate::inbox::Buffer;
use crate::journal::{Journal, Line, millis};
use crate::metrics::Metrics;
use crate::pending::Pending;
use crate::pool::Pool;
use crate::quarantine::Unwritten;
use crate::settings::Settings;
use crate::state::State;
use crate::strain::Strain;
use crate::view::Fetching;
use crate::wake::Wake;

/// Time after its start for which a router waits to hear what is quarantined before it is ready: peers
/// tell it with their first greeting, and the store within its answer.
const UNHEARD: Duration = Duration::from_secs(5);

/// Time after its start for which a router waits to hear from a peer that it lacks no configuration and
/// no evacuation: a store that came back from a copy may tell older ones. Peers answer the first
/// greeting, within some 0.2 s; who knows of none goes on alone.
const UNCOMPARED: Duration = Duration::from_secs(2);

/// Unknown regions that a line names.
const NAMED: usize = 4;

/// Source of a view that this router has read from the store itself.
pub const STORE: &str = "store";

/// A list of all targets.
#[derive(Clone, Debug)]
pub struct List {
    /// The targets.
    pub targets: Vec<Target>,
    /// Identities whose entries can't be read.
    pub unreadable: Vec<Arc<str>>,
    /// When it was true.
    pub as_of: Duration,
    /// Whether what it lacks has surely ended: it is of a router that saw no outage.
    pub settled: bool,
    /// The reading of a peer that it comes from; none if this router has read it itself.
    pub reading: Option<Reading>,
    /// Where the store's log goes on behind it.
    pub position: Option<Position>,
}

/// What a peer's list of targets has that this router's has not.
#[derive(Clone, Debug)]
pub struct Told {
    /// The entries.
    pub delta: Delta,
    /// Whether what its list lacks has surely ended: it saw no outage.
    pub settled: bool,
    /// The reading that its list is of.
    pub reading: Reading,
    /// Where the store's log goes on behind it.
    pub position: Option<Position>,
    /// When it was true.
    pub as_of: Duration,
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
    pub(crate) courier: Courier,
    pub(crate) inbox: Buffer,
    pub(crate) gossip: Gossip,
    pub(crate) fetching: Fetching,
    pub(crate) pending: Pending,
    pub(crate) strain: Strain,
    pub(crate) state: RefCell<State>,
    /// Entries that the store is to keep.
    pub(crate) unwritten: Unwritten,
    pub(crate) clock: Clock,
    pub(crate) wake: Wake,
    pub(crate) room: Notify,
    draws: Cell<u64>,
    /// Callers' connections that are open.
    pub(crate) open: Cell<usize>,
    leaving: watch::Sender<Option<Duration>>,
}

impl Node {
    /// A router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Rc<Self> {
        Self::with_clock(settings, dialect, Clock::new())
    }

    /// The same by another clock.
    #[must_use]
    pub fn with_clock(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Rc<Self> {
        let journal = Journal::new(&settings.name);
        let peer = Peer(rand::random());
        let state = State::new(&settings, peer);
        Rc::new(Self {
            dialect,
            journal,
            metrics: Metrics::default(),
            pool: Pool::new(),
            peer,
            courier: Courier::default(),
            inbox: Buffer::default(),
            gossip: Gossip::default(),
            fetching: Fetching::default(),
            pending: Pending::default(),
            strain: Strain::default(),
            state: RefCell::new(state),
            unwritten: Unwritten::default(),
            clock,
            wake: Wake::default(),
            room: Notify::new(),
            draws: Cell::new(rand::random()),
            open: Cell::new(0),
            leaving: watch::Sender::new(None),
            settings,
        })
    }

    /// Time since the start, suspensions included.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// A moment as the runtime counts it.
    #[must_use]
    pub fn instant(&self, at: Duration) -> Instant {
        self.clock.instant(at)
    }

    /// A number that is spread over all values.
    pub fn draw(&self) -> u64 {
        let next = self.draws.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draws.set(next);
        xxhash_rust::xxh64::xxh64(&next.to_le_bytes(), 0)
    }

    /// A part of one, drawn anew, in thousandths.
    pub fn draw_part(&self) -> f64 {
        const STEPS: u32 = 1_000;
        let step = u32::try_from(self.draw() % u64::from(STEPS)).unwrap_or_default();
        f64::from(step) / f64::from(STEPS)
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
        self.state.borrow_mut().leave();
        gossip::spread(self);
    }

    pub(crate) fn watch_leaving(&self) -> watch::Receiver<Option<Duration>> {
        self.leaving.subscribe()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        let known = state.table.is_some() && state.registry.read_at().is_some();
        // What the others refuse must not find the one router that has not heard of it yet.
        let known = known && (state.quarantine_known || self.now() >= UNHEARD);
        let known = known && (state.compared_with_peer || self.alone() || self.now() >= UNCOMPARED);
        let sound = self.leaving().is_none() && !self.strain.behind();
        drop(state);
        known && sound && self.confirmed_since_wake()
    }

    /// Whether no other router is named to this one.
    fn alone(&self) -> bool {
        let own = self.settings.link;
        self.settings.seeds.iter().all(|it| *it == own)
    }

    /// Takes a configuration; an older one than that in force is ignored.
    pub fn take_configuration(&self, configuration: Configuration, source: &str) {
        let version = configuration.version;
        let before = self.table().map(|it| it.version());
        if before.is_some_and(|it| it >= version) {
            return;
        }
        let table = Rc::new(Table::new(configuration));
        self.tell_unknown_regions(&table);
        {
            let mut state = self.state.borrow_mut();
            state.retries.retain(|name| table.serves(name));
            state.table = Some(table);
        }
        let line = self.journal.line("configuration_taken");
        drop(
            line.with("version", version)
                .with("before", before)
                .with("source", source),
        );
        self.metrics.add("configurations", source, 1);
        gossip::spread(self);
        self.room_came();
    }

    /// Routes and customers that are bound only to regions that no failure domain is in run nowhere.
    fn tell_unknown_regions(&self, table: &Table) {
        let regions = &self.settings.regions;
        let unknown = table.named_regions().filter(|it| !regions.contains(it));
        let unknown: BTreeSet<_> = unknown.map(AsRef::as_ref).collect();
        if unknown.is_empty() {
            return;
        }
        let line = self.journal.line("regions_unknown");
        let line = line.with("count", unknown.len());
        let named = unknown.into_iter().take(NAMED).map(ToString::to_string);
        let named: Vec<_> = named.collect();
        drop(line.with("first", named));
    }

    /// This router has read that the configuration in force is the store's newest.
    pub fn confirm_configuration(&self) {
        let now = self.now();
        self.state.borrow_mut().configuration_reads.record(now);
    }

    /// Whether others that start ask this router first.
    #[must_use]
    pub fn is_seed(&self) -> bool {
        self.settings.seeds.contains(&self.settings.link)
    }

    /// When the configuration in force was the store's newest.
    #[must_use]
    pub fn configuration_at(&self) -> Option<Duration> {
        self.look_for_wake();
        self.state.borrow().configuration_reads.at()
    }

    /// How long ago that was.
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        let at = self.configuration_at();
        at.map(|at| self.now().saturating_sub(at))
    }

    /// How many routers come before this one in a duty.
    #[must_use]
    pub fn rank(&self, duty: Duty, scope: Scope) -> usize {
        self.state.borrow().members.rank(duty, scope)
    }

    /// The same, but for a router that hears nobody: those before it tell it nothing.
    #[must_use]
    pub fn rank_heard(&self, duty: Duty, scope: Scope) -> usize {
        if self.state.borrow().membership.is_isolated(self.now()) {
            return 0;
        }
        self.rank(duty, scope)
    }

    /// Routers that are known to be alive, this one included.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.state.borrow().members.count()
    }

    /// How long ago a router was lost; none if none was.
    #[must_use]
    pub fn lost_since(&self) -> Option<Duration> {
        let lost_at = self.gossip.lost_at();
        lost_at.map(|at| self.now().saturating_sub(at))
    }

    /// Places at targets that this router's requests have now.
    #[must_use]
    pub fn places(&self) -> usize {
        let state = self.state.borrow();
        let running = state
            .usage
            .own_loads()
            .map(|(_, load)| load.running as usize);
        running.sum()
    }

    /// Whether the way to a target may be cut, so that only a new connection proves it.
    #[must_use]
    pub fn doubtful(&self, target: &Target) -> bool {
        self.state
            .borrow()
            .reachability
            .may_be_partitioned(&target.domain, self.now())
    }

    /// Notes how an exchange with a target went.
    pub fn note(&self, target: &Target, outcome: Outcome) {
        let now = self.now();
        let ejected = self.state.borrow_mut().record_outcome(target, outcome, now);
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

    /// Takes one repeat from the budget of a service.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let routers = state.members.count();
        let allowed = state.budget.try_take(service, routers, now);
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

    /// How a customer stands against the others.
    #[must_use]
    pub fn standing(&self, customer: CustomerTag) -> Standing {
        let now = self.now();
        self.state.borrow_mut().shares.standing(customer, now)
    }

    /// A line on what is known, for a request's story.
    pub(crate) fn views(&self, line: Line) -> Line {
        let state = self.state.borrow();
        let age = state
            .registry
            .read_at()
            .map(|it| millis(self.now().saturating_sub(it)));
        let version = state.table.as_ref().map(|it| it.version());
        line.with("configuration", version)
            .with("targets_age_ms", age)
            .with("routers", state.members.count())
            .with("waiting", state.queue.len())
    }
}
