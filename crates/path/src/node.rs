//! A router: its settings, its views, its state.
//!
//! Borrows of the state end before anything is woken or dropped that could borrow it again.

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

use crate::buffers::Buffers;
use crate::caller::Callers;
use crate::clock::Clock;
use crate::continuation::recorded::Records;
use crate::continuation::search::Queries;
use crate::continuation::{Synced, stored};
use crate::dialect::Dialect;
use crate::gossip::{self, Gossip};
use crate::handover::Handovers;
use crate::held::Held;
use crate::inbound::Buffer;
use crate::intake::Gate;
use crate::journal::{Journal, Line, millis};
use crate::metrics::Metrics;
use crate::observation::Collector;
use crate::outbound::Socket;
use crate::overload::Detector;
use crate::pending::Pending;
use crate::pool::Pool;
use crate::quarantine::WriteQueue;
use crate::refusal_log;
use crate::settings::Settings;
use crate::state::State;
use crate::suspension::Monitor;
use crate::view::Fetches;

/// Time after its start up to which a router waits for the quarantine before it is ready: peers
/// send it after their first heartbeat, and the store within its answer.
const QUARANTINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after its start up to which a router waits for a peer's views, to learn that it lacks no
/// configuration and no evacuation: a store that was restored from a copy may return older ones.
/// Peers answer the first heartbeat within some 0.2 s; a router that knows of no peers continues
/// alone.
const COMPARISON_TIMEOUT: Duration = Duration::from_secs(2);

/// Unknown regions that are named in a log line.
const MAX_NAMED_REGIONS: usize = 4;

/// Source of a view that this router has read from the store itself.
pub const STORE: &str = "store";

/// A list of all targets.
#[derive(Clone, Debug)]
pub struct TargetList {
    /// The targets.
    pub targets: Vec<Target>,
    /// Identities whose entries can't be decoded.
    pub unreadable: Vec<Arc<str>>,
    /// When it was current.
    pub as_of: Duration,
    /// Whether targets that it lacks have certainly ended: its router saw no outage of the store.
    pub settled: bool,
    /// The peer's reading that it comes from; none if this router has read it itself.
    pub reading: Option<Reading>,
    /// Position in the store's log up to which it is complete.
    pub position: Option<Position>,
}

/// The difference between a peer's list of targets and this router's.
#[derive(Clone, Debug)]
pub struct PeerDelta {
    /// The entries that differ.
    pub delta: Delta,
    /// Whether targets that the peer's list lacks have certainly ended: it saw no outage.
    pub settled: bool,
    /// The reading of the peer's list.
    pub reading: Reading,
    /// Position in the store's log up to which the peer's list is complete.
    pub position: Option<Position>,
    /// When the peer's list was current.
    pub as_of: Duration,
}

/// A router.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Translates heads of requests and answers.
    pub dialect: Rc<dyn Dialect>,
    /// Its log.
    pub journal: Journal,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its connections to targets.
    pub pool: Pool,
    /// Identity of this start.
    pub peer: Peer,
    pub(crate) outbound: Socket,
    pub(crate) inbound: Buffer,
    pub(crate) gossip: Gossip,
    pub(crate) fetches: Fetches,
    pub(crate) handovers: Handovers,
    pub(crate) pending: Pending,
    pub(crate) held: Rc<Held>,
    pub(crate) callers: Callers,
    pub(crate) queries: Queries,
    pub(crate) synced: Synced,
    pub(crate) stream_log: stored::Log,
    pub(crate) version_records: Records,
    pub(crate) overload: Detector,
    /// Admission control by utilization.
    pub intake: Gate,
    /// What it has measured at targets.
    pub(crate) observations: RefCell<Collector>,
    pub(crate) state: RefCell<State>,
    /// Quarantine entries that are to be written to the store.
    pub(crate) quarantine_writes: WriteQueue,
    /// Notified of reports on targets that terminated.
    pub(crate) terminations: Notify,
    pub(crate) clock: Clock,
    pub(crate) suspensions: Monitor,
    pub(crate) capacity: Notify,
    draws: Cell<u64>,
    /// Refusals for lack of capacity that are to be logged.
    pub(crate) refusals: RefCell<refusal_log::Recorder>,
    /// Share of the last interval for which the event loop was busy, 0 to 1.
    pub(crate) utilization: Cell<f64>,
    /// Open connections of callers.
    pub(crate) open: Cell<usize>,
    leaving: watch::Sender<Option<Duration>>,
    /// Whether the process is about to exit.
    stopped: Cell<bool>,
}

impl Node {
    /// A router without any views.
    #[must_use]
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Rc<Self> {
        Self::with_clock(settings, dialect, Clock::new())
    }

    /// The same with another clock.
    #[must_use]
    pub fn with_clock(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Rc<Self> {
        let journal = Journal::new(&settings.name);
        let peer = Peer(rand::random());
        let state = State::new(&settings, peer);
        Rc::new(Self {
            dialect,
            journal,
            metrics: Metrics::default(),
            pool: Pool::new(Buffers::new(&settings)),
            peer,
            outbound: Socket::default(),
            inbound: Buffer::default(),
            gossip: Gossip::default(),
            fetches: Fetches::default(),
            handovers: Handovers::default(),
            pending: Pending::new(peer),
            held: Held::new(settings.memory),
            callers: Callers::new(&settings),
            queries: Queries::default(),
            synced: Synced::default(),
            stream_log: stored::Log::default(),
            version_records: Records::default(),
            overload: Detector::default(),
            intake: Gate::new(&settings),
            observations: RefCell::default(),
            state: RefCell::new(state),
            quarantine_writes: WriteQueue::default(),
            terminations: Notify::new(),
            clock,
            suspensions: Monitor::default(),
            capacity: Notify::new(),
            draws: Cell::new(rand::random()),
            refusals: RefCell::default(),
            utilization: Cell::new(0.0),
            open: Cell::new(0),
            leaving: watch::Sender::new(None),
            stopped: Cell::new(false),
            settings,
        })
    }

    /// Time since the start, suspensions included.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// A moment on the runtime's clock.
    #[must_use]
    pub fn instant(&self, at: Duration) -> Instant {
        self.clock.instant(at)
    }

    /// A pseudorandom number, uniform over all values.
    pub fn random(&self) -> u64 {
        let next = self.draws.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draws.set(next);
        xxhash_rust::xxh64::xxh64(&next.to_le_bytes(), 0)
    }

    /// A pseudorandom fraction from 0 up to, but not including, 1, in steps of a thousandth.
    pub fn random_fraction(&self) -> f64 {
        const STEPS: u32 = 1_000;
        let step = u32::try_from(self.random() % u64::from(STEPS)).unwrap_or_default();
        f64::from(step) / f64::from(STEPS)
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Rc<Table>> {
        self.state.borrow().table.clone()
    }

    /// When this router began to shut down.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Duration> {
        *self.leaving.borrow()
    }

    /// Begins to shut down: the router is not ready any more, and closes kept-alive connections.
    pub fn leave(&self) {
        let now = self.now();
        self.leaving.send_replace(Some(now));
        self.state.borrow_mut().leave();
        self.handovers.announce_change();
        gossip::push_views(self);
    }

    /// Records that the process is about to exit, which cuts all answers that are still open.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Whether the process is about to exit.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    pub(crate) fn watch_leaving(&self) -> watch::Receiver<Option<Duration>> {
        self.leaving.subscribe()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        let known = state.table.is_some() && state.registry.read_at().is_some();
        // A content that other routers refuse must not pass through a router that has not received
        // the quarantine yet.
        let known = known && (state.quarantine_known || self.now() >= QUARANTINE_TIMEOUT);
        let known = known
            && (state.compared_with_peer
                || self.has_no_peers()
                || self.now() >= COMPARISON_TIMEOUT);
        let sound = self.leaving_since().is_none() && !self.overload.is_overloaded();
        drop(state);
        known && sound && self.views_confirmed()
    }

    /// Whether the settings name no other router.
    pub(crate) fn has_no_peers(&self) -> bool {
        let own = self.settings.link;
        self.settings.seeds.iter().all(|it| *it == own)
    }

    /// Applies a configuration; one that is not newer than that in force is ignored.
    pub fn apply_configuration(&self, configuration: Configuration, source: &str) {
        let version = configuration.version;
        let before = self.table().map(|it| it.version());
        if before.is_some_and(|it| it >= version) {
            return;
        }
        let table = Rc::new(Table::new(configuration));
        self.log_unknown_regions(&table);
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
        self.handovers.announce_change();
        gossip::push_views(self);
        self.notify_capacity();
    }

    /// Logs regions that contain no failure domain: routes and customers that are restricted to
    /// such regions run nowhere.
    fn log_unknown_regions(&self, table: &Table) {
        let regions = &self.settings.regions;
        let unknown = table.named_regions().filter(|it| !regions.contains(it));
        let unknown: BTreeSet<_> = unknown.map(AsRef::as_ref).collect();
        if unknown.is_empty() {
            return;
        }
        let line = self.journal.line("regions_unknown");
        let line = line.with("count", unknown.len());
        let named = unknown
            .into_iter()
            .take(MAX_NAMED_REGIONS)
            .map(ToString::to_string);
        let named: Vec<_> = named.collect();
        drop(line.with("first", named));
    }

    /// Records that this router has read the configuration in force as the store's newest.
    pub fn confirm_configuration(&self) {
        let now = self.now();
        self.state.borrow_mut().configuration_reads.record(now);
    }

    /// Whether routers that start contact this router first.
    #[must_use]
    pub fn is_seed(&self) -> bool {
        self.settings.seeds.contains(&self.settings.link)
    }

    /// When the configuration in force was last known to be the store's newest.
    #[must_use]
    pub fn configuration_at(&self) -> Option<Duration> {
        self.detect_suspension();
        self.state.borrow().configuration_reads.at()
    }

    /// Time since [`configuration_at`](Self::configuration_at).
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        let at = self.configuration_at();
        at.map(|at| self.now().saturating_sub(at))
    }

    /// Number of routers that precede this one in a duty.
    #[must_use]
    pub fn rank(&self, duty: Duty, scope: Scope) -> usize {
        self.state.borrow().members.rank(duty, scope)
    }

    /// The same, but zero for an isolated router, as those before it tell it nothing.
    #[must_use]
    pub fn rank_unless_isolated(&self, duty: Duty, scope: Scope) -> usize {
        if self.state.borrow().membership.is_isolated(self.now()) {
            return 0;
        }
        self.rank(duty, scope)
    }

    /// Number of routers that are known to be alive, this one included.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.state.borrow().members.count()
    }

    /// Time since a router was last lost; none if none was.
    #[must_use]
    pub fn time_since_loss(&self) -> Option<Duration> {
        let lost_at = self.gossip.lost_at();
        lost_at.map(|at| self.now().saturating_sub(at))
    }

    /// Places at targets that this router's requests hold.
    #[must_use]
    pub fn held_places(&self) -> usize {
        let state = self.state.borrow();
        let running = state
            .usage
            .own_loads()
            .map(|(_, load)| load.running as usize);
        running.sum()
    }

    /// Whether the network to a target may be partitioned, so that only a new connection proves it
    /// reachable.
    #[must_use]
    pub fn may_be_partitioned(&self, target: &Target) -> bool {
        self.state
            .borrow()
            .reachability
            .may_be_partitioned(&target.domain, self.now())
    }

    /// Records the outcome of an exchange with a target.
    pub fn record_outcome(&self, target: &Target, outcome: Outcome) {
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

    /// Takes one retry from the budget of a service.
    pub fn try_take_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let routers = state.members.count();
        let allowed = state.budget.try_take(service, routers, now);
        let label = if allowed { "taken" } else { "refused" };
        self.metrics.add("repeats", label, 1);
        allowed
    }

    /// Wakes the queue, as capacity may have become available for requests that wait.
    pub fn notify_capacity(&self) {
        if !self.state.borrow().queue.is_empty() {
            self.capacity.notify_one();
        }
    }

    /// Standing of a customer among the others.
    #[must_use]
    pub fn standing(&self, customer: CustomerTag) -> Standing {
        let now = self.now();
        self.state.borrow_mut().shares.standing(customer, now)
    }

    /// Adds the versions and ages of the views to a request's log line.
    pub(crate) fn with_views(&self, line: Line) -> Line {
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
