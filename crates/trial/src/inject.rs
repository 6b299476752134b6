//! Faults of routers, targets, links, lists and callers, put into a fleet.
//!
//! What a fault leads to returns to the kernels as events, as it would from the
//! platform. Nothing here decides for them: a target refuses or loses a run, a
//! router stands still and takes its events late, an answer comes twice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_kernel::event::{Class, Event};
use dunlinward_kernel::id::Request;
use dunlinward_kernel::table::{Spec, Table};
use dunlinward_kernel::time::Instant;
use dunlinward_kernel::verdict::{Failure, Refusal, Verdict};

use crate::engine::{Engine, Run};
use crate::fleet::{Fleet, Happening, Try};
use crate::load::Job;
use crate::meter::Meter;
use crate::spec::Trial;
use crate::verify::Watch;

/// Time in which a target's own refusal or a refused connection comes back.
const REFUSAL: Duration = Duration::from_millis(1);

/// Time after which a lost connection breaks off a run.
const LOST_AFTER: Duration = Duration::from_millis(200);

/// How late the second copy of an answer comes.
const ECHO: Duration = Duration::from_millis(700);

/// Time between two routers' reading of a new configuration.
const READING: Duration = Duration::from_millis(150);

/// How a target treats a run that is sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// It runs it.
    #[default]
    Runs,
    /// It refuses the connection.
    Refuses,
    /// It says that it does not run it.
    Declines,
    /// It begins to run it and loses the connection.
    Loses,
}

/// What a caller says of its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// Whether a second run is harmless.
    pub repeatable: bool,
    /// When the caller gives up.
    pub deadline: Option<Duration>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With the whole answer.
    Whole,
    /// With a refusal.
    Refused(Refusal, Verdict),
}

/// Something put in that happens later.
#[derive(Clone, Debug)]
pub enum Injected {
    /// An event comes again.
    Echo(usize, Event),
    /// A router reads a configuration.
    Configure(usize, Arc<Table>),
}

/// What a router that stands still has not taken yet.
#[derive(Clone, Debug)]
enum Delayed {
    Event(Event),
    Answer(Try),
}

/// Faults, and counts of what came of them.
#[derive(Clone, Debug)]
pub struct State {
    /// How each target treats runs.
    pub manners: Vec<Manner>,
    /// Routers that the platform's list leaves out.
    pub unlisted: BTreeSet<usize>,
    /// Of how many requests one may be repeated; zero for none.
    pub repeatable_every: u64,
    /// When callers of the load give up, if they do.
    pub deadline: Option<Duration>,
    /// Whether every answer comes twice, the second time late.
    pub echoes: bool,
    /// Whether the load rests.
    pub muted: bool,
    /// Routers that have finished draining.
    pub drained: Vec<bool>,
    /// Routers that were told to drain.
    pub draining: Vec<bool>,
    /// Runs started at each target.
    pub runs: Vec<u64>,
    /// Requests whose router crashed.
    pub cut_by_crash: u64,
    /// Requests whose caller left.
    pub callers_left: u64,
    /// Attempts that were tried again.
    pub retries: u64,
    /// Requests that were answered twice.
    pub answered_twice: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Ends of requests that a script follows.
    pub ends: BTreeMap<Request, End>,
    /// The invariants of the fleet.
    pub watch: Watch,
    pub(crate) left: BTreeSet<Request>,
    followed: BTreeSet<Request>,
    next_terms: Option<Terms>,
    paused: BTreeMap<usize, Vec<Delayed>>,
    silent: Vec<usize>,
    spec: Spec,
}

impl State {
    /// A fleet without faults.
    #[must_use]
    pub fn new(trial: &Trial) -> Self {
        Self {
            manners: vec![Manner::Runs; trial.targets],
            unlisted: BTreeSet::new(),
            repeatable_every: 0,
            deadline: None,
            echoes: false,
            muted: false,
            drained: vec![false; trial.routers],
            draining: vec![false; trial.routers],
            runs: vec![0; trial.targets],
            cut_by_crash: 0,
            callers_left: 0,
            retries: 0,
            answered_twice: 0,
            refusals: BTreeMap::new(),
            ends: BTreeMap::new(),
            watch: Watch::new(trial),
            left: BTreeSet::new(),
            followed: BTreeSet::new(),
            next_terms: None,
            paused: BTreeMap::new(),
            silent: Vec::new(),
            spec: trial.spec(),
        }
    }

    /// What the caller of a new request says of it.
    pub(crate) fn terms(&mut self, request: Request) -> Terms {
        if let Some(terms) = self.next_terms.take() {
            self.followed.insert(request);
            return terms;
        }
        Terms {
            repeatable: self.repeatable_every > 0
                && request.0.is_multiple_of(self.repeatable_every),
            deadline: self.deadline,
        }
    }

    /// Notes a whole answer.
    pub(crate) fn note_whole(&mut self, request: Request) {
        if self.followed.contains(&request) {
            self.ends.insert(request, End::Whole);
        }
    }

    /// Notes that a router is gone with all it had not taken yet.
    pub(crate) fn crashed(&mut self, now: Instant, at: usize) {
        self.paused.remove(&at);
        self.draining[at] = false;
        self.drained[at] = false;
        self.watch.disturb(now);
    }

    /// Whether a router stands still.
    #[must_use]
    pub fn is_paused(&self, at: usize) -> bool {
        self.paused.contains_key(&at)
    }
}

impl Fleet {
    /// Stops a router from taking anything, as a paused process does.
    pub fn pause(&mut self, at: usize) {
        self.inject.watch.disturb(self.now);
        self.inject.paused.entry(at).or_default();
    }

    /// Lets a paused router take at once all that came meanwhile.
    pub fn resume(&mut self, at: usize) {
        self.inject.watch.disturb(self.now);
        for delayed in self.inject.paused.remove(&at).unwrap_or_default() {
            match delayed {
                Delayed::Event(event) => self.step(at, event),
                Delayed::Answer(row) => self.answer(row),
            }
        }
        self.step(at, Event::Tick);
    }

    /// Cuts or mends the way from one router to another, one way.
    pub fn cut_way(&mut self, from: usize, to: usize, cut: bool) {
        self.inject.watch.disturb(self.now);
        let (from, to) = (self.nodes[from].key, self.nodes[to].key);
        if cut {
            self.net.cut(from, to);
        } else {
            self.net.mend(from, to);
        }
    }

    /// Tells a router to drain.
    pub fn drain(&mut self, at: usize) {
        self.inject.draining[at] = true;
        self.inject.watch.disturb(self.now);
        self.step(at, Event::Drain);
    }

    /// Gives routers the instance list without some routers.
    pub fn list_without(&mut self, unlisted: BTreeSet<usize>, to: &[usize]) {
        let all = std::mem::replace(&mut self.inject.unlisted, unlisted);
        let everybody = to.len() == self.trial.routers;
        for at in to {
            if self.nodes[*at].up {
                self.introduce(*at);
            }
        }
        if !everybody {
            self.inject.unlisted = all;
        }
    }

    /// Publishes a changed configuration; routers read it one after another.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Spec)) {
        change(&mut self.inject.spec);
        self.inject.spec.revision += 1;
        let table = Arc::new(Table::with_previous(&self.table, &self.inject.spec));
        self.table = Arc::clone(&table);
        self.inject.watch.disturb(self.now);
        for at in 0..self.trial.routers {
            let due = self.now + READING * u32::try_from(at % 8).unwrap_or(0);
            let injected = Injected::Configure(at, Arc::clone(&table));
            self.schedule(due, Happening::Injected(injected));
        }
        self.recount();
    }

    /// Adds a target like the others and puts it in the configuration.
    pub fn add_target(&mut self) -> usize {
        let at = self.trial.targets;
        self.trial.targets += 1;
        self.engines
            .push(Engine::new(self.trial.slots, self.trial.speed));
        self.engine_domains.push(at % self.trial.domains);
        self.idle_since.push(None);
        self.inject.manners.push(Manner::Runs);
        self.inject.runs.push(0);
        self.inject.watch.grow(self.now);
        let target = self.trial.spec().targets.pop();
        self.reconfigure(|spec| spec.targets.extend(target));
        at
    }

    /// Sets how fast a target runs what it is sent from now on, in units a second.
    pub fn set_speed(&mut self, target: usize, speed: u64) {
        self.engines[target].speed = speed;
    }

    /// Sets how a target treats runs.
    pub fn set_manner(&mut self, target: usize, manner: Manner) {
        self.inject.manners[target] = manner;
        self.look_idle(target);
    }

    /// Lets the load rest, or send again.
    pub fn mute(&mut self, muted: bool) {
        self.inject.muted = muted;
        if !muted {
            for customer in std::mem::take(&mut self.inject.silent) {
                self.schedule(self.now, Happening::Send(customer));
            }
        }
    }

    /// Starts the figures that cover a time anew; counts of faults go on.
    pub fn mark(&mut self) {
        let meter = &self.meter;
        let mut fresh = Meter::new(self.trial.routers);
        fresh.requests = meter.requests;
        fresh.whole = meter.whole;
        fresh.refused = meter.refused;
        fresh.doubled = meter.doubled;
        fresh.lost = meter.lost;
        fresh.false_not_run = meter.false_not_run;
        self.meter = fresh;
        self.inject.runs.fill(0);
        for since in self.idle_since.iter_mut().flatten() {
            *since = self.now;
        }
    }

    /// The longest time that a slot was free while reachable work waited, up to now.
    #[must_use]
    pub fn longest_idle(&self) -> Duration {
        let open = self.idle_since.iter().flatten();
        let open = open.map(|since| self.now.since(*since)).max();
        self.meter.idle_waiting.max(open.unwrap_or_default())
    }

    /// Sends a request whose end is kept in [`State::ends`].
    pub fn call_on(&mut self, at: usize, customer: usize, cost: u64, terms: Terms) -> Request {
        self.inject.next_terms = Some(terms);
        let class = Class::Quick;
        self.call(at, customer, Job { cost, class })
    }

    /// The caller of a request goes away.
    pub fn leave(&mut self, request: Request) {
        if let Some(call) = self.calls.get(&request).copied() {
            self.inject.left.insert(request);
            self.step(call.node, Event::CallerLeft(request));
        }
    }

    pub(crate) fn put_off(&mut self, at: usize, event: &Event) -> bool {
        self.delay(at, || Delayed::Event(event.clone()))
    }

    pub(crate) fn put_off_answer(&mut self, row: Try) -> bool {
        let Some(call) = self.calls.get(&row.request) else {
            return false;
        };
        let node = call.node;
        self.delay(node, || Delayed::Answer(row))
    }

    fn delay(&mut self, at: usize, delayed: impl FnOnce() -> Delayed) -> bool {
        match self.inject.paused.get_mut(&at) {
            Some(rows) => {
                rows.push(delayed());
                true
            }
            None => false,
        }
    }

    pub(crate) fn muted(&mut self, customer: usize) -> bool {
        if self.inject.muted {
            self.inject.silent.push(customer);
        }
        self.inject.muted
    }

    /// The platform's balancer: the router itself, or the next that takes requests.
    pub(crate) fn balance(&self, node: usize) -> usize {
        let count = self.trial.routers;
        (0..count)
            .map(|step| (node + step) % count)
            .find(|at| self.nodes[*at].up && !self.inject.draining[*at])
            .unwrap_or(node)
    }

    /// Whether a target cannot be given work, for other reasons than a cut.
    pub(crate) fn shut(&self, target: usize) -> bool {
        let open = self.table.targets[target].accepts_work();
        !open
            || matches!(
                self.inject.manners[target],
                Manner::Refuses | Manner::Declines
            )
    }

    /// Lets a target treat a run in its manner; true when it does not run it.
    pub(crate) fn turned_away(&mut self, run: Run, target: usize) -> bool {
        let failure = match self.inject.manners[target] {
            Manner::Runs => return false,
            Manner::Refuses => Failure::ConnectRefused,
            Manner::Declines => Failure::TargetRefused,
            Manner::Loses => {
                let lost = Happening::Fail(run, Verdict::MayHaveRun, Failure::ConnectionLost);
                self.schedule(self.now + LOST_AFTER, lost);
                return false;
            }
        };
        let refused = Happening::Fail(run, Verdict::NotRun, failure);
        self.schedule(self.now + REFUSAL, refused);
        true
    }

    pub(crate) fn echo(&mut self, node: usize, event: &Event) {
        if self.inject.echoes {
            let injected = Injected::Echo(node, event.clone());
            self.schedule(self.now + ECHO, Happening::Injected(injected));
        }
    }

    pub(crate) fn injected(&mut self, injected: Injected) {
        match injected {
            Injected::Echo(at, event) => self.step(at, event),
            Injected::Configure(at, table) => self.step(at, Event::Configured(table)),
        }
    }

    /// Notes that a router forgot a request which had no answer.
    pub(crate) fn note_forgotten(&mut self, request: Request) {
        if self.inject.left.remove(&request) {
            self.inject.callers_left += 1;
        } else {
            self.meter.lost += 1;
        }
    }

    pub(crate) fn note_refused(&mut self, request: Request, refusal: Refusal, verdict: Verdict) {
        *self.inject.refusals.entry(refusal.name()).or_default() += 1;
        if !self.calls.contains_key(&request) {
            self.inject.answered_twice += 1;
        }
        if self.inject.followed.contains(&request) {
            self.inject
                .ends
                .insert(request, End::Refused(refusal, verdict));
        }
    }
}
