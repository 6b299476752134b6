//! The driver: kernels, targets, network and load on one virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_kernel::action::Action;
use dunlinward_kernel::event::{Arrival, Event, Outcome};
use dunlinward_kernel::id::{Customer, Request, Service, Target};
use dunlinward_kernel::kernel::Kernel;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::membership::Listed;
use dunlinward_kernel::message::Message;
use dunlinward_kernel::settings::Settings;
use dunlinward_kernel::table::Table;
use dunlinward_kernel::time::Instant;
use dunlinward_kernel::verdict::{Failure, Verdict};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::engine::{Engine, Run};
use crate::inject::{self, Injected};
use crate::load::{self, Job, Load};
use crate::meter::{Meter, SAMPLE};
use crate::net::{self, Net};
use crate::spec::Trial;

/// Time between two reports of a run's progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// Time after which an unreachable target is given up.
const CONNECT: Duration = Duration::from_millis(50);

/// Time before the load begins, for owners to take up their targets.
pub const WARM_UP: Duration = Duration::from_secs(3);

/// Something that will happen.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    Wake(usize),
    Deliver {
        to: usize,
        from: usize,
        incarnation: u64,
        messages: Vec<Message>,
    },
    Send(usize),
    Progress(Run),
    Finish(Run),
    Fail(Run, Verdict, Failure),
    Injected(Injected),
    Sample,
}

/// One router.
pub(crate) struct Node {
    pub(crate) kernel: Kernel,
    pub(crate) key: Key,
    pub(crate) domain: usize,
    incarnation: u64,
    pub(crate) up: bool,
    wake: Option<Instant>,
}

/// A request as its caller knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) node: usize,
    pub(crate) customer: usize,
    service: usize,
    job: Job,
    since: Instant,
    pub(crate) runs: u32,
    repeatable: bool,
    waits: bool,
}

/// One attempt at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    pub(crate) request: Request,
    pub(crate) attempt: u32,
    target: usize,
}

/// The whole trial.
pub struct Fleet {
    /// Now.
    pub now: Instant,
    /// What is measured.
    pub meter: Meter,
    /// The network.
    pub net: Net,
    /// Whether to check every kernel after every step.
    pub verify: bool,
    pub(crate) trial: Trial,
    pub(crate) table: Arc<Table>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) by_key: BTreeMap<Key, usize>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) engine_domains: Vec<usize>,
    pub(crate) cut_domains: Vec<bool>,
    pub(crate) load: Load,
    pub(crate) random: Pcg64Mcg,
    pub(crate) heap: BinaryHeap<Reverse<(Instant, u64)>>,
    pub(crate) happenings: BTreeMap<u64, Happening>,
    pub(crate) order: u64,
    pub(crate) calls: BTreeMap<Request, Call>,
    pub(crate) tries: BTreeMap<Run, Try>,
    pub(crate) runs: BTreeMap<(Request, u32), Run>,
    pub(crate) next_request: u64,
    pub(crate) next_run: u64,
    pub(crate) done: Vec<u64>,
    pub(crate) waiting: Vec<Vec<u32>>,
    pub(crate) queued: Vec<u32>,
    pub(crate) idle_since: Vec<Option<Instant>>,
    /// Faults that are put in, and what they led to.
    pub inject: inject::State,
}

impl Fleet {
    /// A fleet that is about to start.
    #[must_use]
    pub fn new(trial: Trial) -> Self {
        let _ = dunlinward_policies::link();
        let mut random = Pcg64Mcg::seed_from_u64(trial.seed);
        let table = Arc::new(Table::new(&trial.spec()));
        let load = Load::new(&trial, &mut random);
        let engines = (0..trial.targets)
            .map(|_| Engine::new(trial.slots, trial.speed))
            .collect();
        let mut fleet = Self {
            now: Instant::ZERO,
            meter: Meter::new(trial.routers),
            net: Net::new(Duration::from_micros(250), Duration::from_micros(500)),
            verify: false,
            table,
            nodes: Vec::new(),
            by_key: BTreeMap::new(),
            engines,
            engine_domains: (0..trial.targets).map(|at| at % trial.domains).collect(),
            cut_domains: vec![false; trial.domains],
            load,
            random,
            heap: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            order: 0,
            calls: BTreeMap::new(),
            tries: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_request: 0,
            next_run: 0,
            done: vec![0; trial.customers],
            waiting: vec![vec![0; trial.services]; 2],
            queued: vec![0; trial.customers],
            idle_since: vec![None; trial.targets],
            inject: inject::State::new(&trial),
            trial,
        };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        for at in 0..self.trial.routers {
            let kernel = self.kernel(at, 1);
            let key = Key::new(&Trial::router(at));
            self.by_key.insert(key, at);
            self.nodes.push(Node {
                kernel,
                key,
                domain: at % self.trial.domains,
                incarnation: 1,
                up: true,
                wake: None,
            });
        }
        for at in 0..self.trial.routers {
            self.introduce(at);
        }
        for customer in 0..self.trial.customers {
            let outstanding = self.load.habits[customer].outstanding;
            for _ in 0..outstanding.max(1) {
                self.schedule(Instant::ZERO + WARM_UP, Happening::Send(customer));
            }
        }
        self.schedule(Instant::ZERO + WARM_UP, Happening::Sample);
    }

    fn kernel(&self, at: usize, incarnation: u64) -> Kernel {
        let settings = Settings::new(&Trial::router(at), &self.trial.domain(at))
            .with_incarnation(incarnation)
            .with_admission(self.trial.admission)
            .with_seed(self.trial.seed)
            .with_round_interval(self.trial.round);
        Kernel::new(settings, self.now)
    }

    /// Gives a router its configuration and the instance list.
    pub(crate) fn introduce(&mut self, at: usize) {
        let listed = (0..self.trial.routers)
            .filter(|at| !self.inject.unlisted.contains(at))
            .map(|at| Listed {
                name: Trial::router(at),
                domain: self.trial.domain(at),
                leaving: false,
            })
            .collect();
        self.step(at, Event::Configured(Arc::clone(&self.table)));
        self.step(at, Event::Listed(listed));
    }

    /// Runs until a moment.
    pub fn run(&mut self, until: Instant) {
        while let Some(Reverse((at, order))) = self.heap.peek().copied() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening);
            }
        }
        self.now = until;
    }

    /// Cuts a failure domain off from the others, or joins it again.
    pub fn cut_domain(&mut self, domain: usize, cut: bool) {
        self.cut_domains[domain] = cut;
        let pairs: Vec<(Key, Key)> = self
            .nodes
            .iter()
            .flat_map(|a| self.nodes.iter().map(move |b| (a, b)))
            .filter(|(a, b)| (a.domain == domain) != (b.domain == domain))
            .map(|(a, b)| (a.key, b.key))
            .collect();
        for (from, to) in pairs {
            if cut {
                self.net.cut(from, to);
            } else {
                self.net.mend(from, to);
            }
        }
        self.recount();
    }

    /// Stops a router at once; what it ran ends at the targets.
    pub fn crash(&mut self, at: usize) {
        self.nodes[at].up = false;
        self.inject.crashed(self.now, at);
        let calls: Vec<Request> = self
            .calls
            .iter()
            .filter(|(_, call)| call.node == at)
            .map(|(request, _)| *request)
            .collect();
        for request in calls {
            self.inject.cut_by_crash += 1;
            let runs: Vec<Run> = self
                .tries
                .iter()
                .filter(|(_, row)| row.request == request)
                .map(|(run, _)| *run)
                .collect();
            for run in runs {
                self.stop_run(run);
            }
            self.end_call(request);
        }
    }

    /// Starts a crashed router again, empty.
    pub fn restart(&mut self, at: usize) {
        let incarnation = self.nodes[at].incarnation + 1;
        self.nodes[at].kernel = self.kernel(at, incarnation);
        self.nodes[at].incarnation = incarnation;
        self.nodes[at].up = true;
        self.nodes[at].wake = None;
        self.inject.watch.disturb(self.now);
        self.introduce(at);
    }

    /// A router's kernel.
    #[must_use]
    pub fn node(&self, at: usize) -> &Kernel {
        &self.nodes[at].kernel
    }

    /// A target.
    #[must_use]
    pub fn engine(&self, at: usize) -> &Engine {
        &self.engines[at]
    }

    /// Passes an event to a router.
    ///
    /// # Panics
    ///
    /// When an invariant does not hold afterwards and [`Fleet::verify`] is set.
    pub fn step(&mut self, at: usize, event: Event) {
        if !self.nodes[at].up || self.put_off(at, &event) {
            return;
        }
        let mut actions = Vec::new();
        let started = std::time::Instant::now();
        self.nodes[at].kernel.step(self.now, event, &mut actions);
        self.meter.kernel += started.elapsed();
        self.meter.steps += 1;
        if self.verify {
            let violations = dunlinward_kernel::verify::check(&self.nodes[at].kernel);
            assert!(violations.is_empty(), "router {at}: {violations:?}");
        }
        for action in actions {
            self.act(at, action);
        }
        self.arm(at);
        self.watch_step(at);
    }

    /// Sends one request of a customer to a router.
    pub fn call(&mut self, at: usize, customer: usize, job: Job) -> Request {
        self.next_request += 1;
        let request = Request(self.next_request);
        let service = self.load.habits[customer].service;
        let terms = self.inject.terms(request);
        let call = Call {
            node: at,
            customer,
            service,
            job,
            since: self.now,
            runs: 0,
            repeatable: terms.repeatable,
            waits: false,
        };
        self.calls.insert(request, call);
        self.meter.requests += 1;
        self.wait(request, true);
        let arrival = Arrival {
            request,
            customer: Customer::new(customer),
            service: Service::new(service),
            model: None,
            class: job.class,
            hint: None,
            repeatable: call.repeatable,
            deadline: terms.deadline.map(|span| self.now + span),
            prefix: Vec::new(),
        };
        self.step(at, Event::Arrived(arrival));
        request
    }

    pub(crate) fn schedule(&mut self, at: Instant, happening: Happening) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order)));
        self.happenings.insert(self.order, happening);
    }

    fn arm(&mut self, at: usize) {
        let Some(due) = self.nodes[at].kernel.wake_at() else {
            return;
        };
        let due = due.max(self.now + Duration::from_micros(1));
        if self.nodes[at].wake.is_none_or(|wake| due < wake) {
            self.nodes[at].wake = Some(due);
            self.schedule(due, Happening::Wake(at));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Wake(at) => {
                if self.nodes[at].wake == Some(self.now) {
                    self.nodes[at].wake = None;
                    self.step(at, Event::Tick);
                }
            }
            Happening::Deliver {
                to,
                from,
                incarnation,
                messages,
            } => {
                let event = Event::Received {
                    from: self.nodes[from].key,
                    domain: Key::new(&self.trial.domain(from)),
                    incarnation,
                    messages,
                };
                self.step(to, event);
            }
            Happening::Send(customer) => self.send(customer),
            Happening::Progress(run) => self.progress(run),
            Happening::Finish(run) => self.finish(run),
            Happening::Fail(run, verdict, failure) => self.fail(run, verdict, failure),
            Happening::Injected(injected) => self.injected(injected),
            Happening::Sample => self.sample(),
        }
    }

    fn send(&mut self, customer: usize) {
        if self.muted(customer) {
            return;
        }
        if self.load.habits[customer].outstanding == 0 {
            let pause = self.load.pause(&mut self.random, customer);
            self.schedule(self.now + pause, Happening::Send(customer));
        }
        let node = self.load.router(&mut self.random, customer);
        let node = self.balance(node);
        let job = load::job(&mut self.random);
        if self.nodes[node].up {
            self.call(node, customer, job);
        } else if self.load.habits[customer].outstanding > 0 {
            self.schedule(self.now + CONNECT, Happening::Send(customer));
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { to, messages } => self.transmit(at, to, &messages),
            Action::Dispatch {
                request,
                attempt,
                target,
            } => self.dispatch(at, request, attempt, target),
            Action::Cancel { request, attempt } => {
                if let Some(run) = self.runs.get(&(request, attempt)).copied() {
                    self.stop_run(run);
                }
            }
            Action::Refuse {
                request,
                refusal,
                verdict,
                retry_after,
                ..
            } => {
                self.meter.refused += 1;
                self.note_refused(request, refusal, verdict);
                let ran = self.calls.get(&request).is_some_and(|call| call.runs > 0);
                if verdict == Verdict::NotRun && ran {
                    self.meter.false_not_run += 1;
                }
                let pause = retry_after.unwrap_or(Duration::from_millis(1));
                self.end_call_after(request, pause);
            }
            Action::Forget { request } => {
                if self.calls.contains_key(&request) {
                    self.note_forgotten(request);
                    self.end_call(request);
                }
            }
            Action::Retry { request, .. } => {
                self.inject.retries += 1;
                self.wait(request, true);
            }
            Action::Drained => self.inject.drained[at] = true,
        }
    }

    fn transmit(&mut self, at: usize, to: Key, messages: &[Message]) {
        let Some(receiver) = self.by_key.get(&to).copied() else {
            return;
        };
        let bytes = net::size(messages);
        for message in messages {
            *self.meter.kinds.entry(kind(message)).or_default() += 1;
        }
        self.count(at, bytes);
        let near = self.nodes[at].domain == self.nodes[receiver].domain;
        let from = self.nodes[at].key;
        let incarnation = self.nodes[at].incarnation;
        for delay in self.net.copies(&mut self.random, from, to, near) {
            self.count(receiver, bytes);
            let happening = Happening::Deliver {
                to: receiver,
                from: at,
                incarnation,
                messages: messages.to_vec(),
            };
            self.schedule(self.now + delay, happening);
        }
    }

    fn count(&mut self, at: usize, bytes: u64) {
        let traffic = &mut self.meter.traffic[at];
        traffic.bytes += bytes;
        traffic.messages += 1;
    }

    fn dispatch(&mut self, at: usize, request: Request, attempt: u32, target: Target) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let (node, cost) = (call.node, call.job.cost);
        self.next_run += 1;
        let run = Run(self.next_run);
        let target = target.row();
        let row = Try {
            request,
            attempt,
            target,
        };
        self.tries.insert(run, row);
        self.runs.insert((request, attempt), run);
        if !self.reaches(self.nodes[at].domain, target) {
            let failed = Happening::Fail(run, Verdict::NotRun, Failure::ConnectTimeout);
            self.schedule(self.now + CONNECT, failed);
            return;
        }
        if self.turned_away(run, target) {
            return;
        }
        let call = self.calls.get_mut(&request).expect("the call is there");
        self.inject.runs[target] += 1;
        call.runs += 1;
        if call.runs > 1 && !call.repeatable {
            self.meter.doubled += 1;
        }
        debug_assert_eq!(node, at, "requests never move between routers");
        if let Some(end) = self.engines[target].submit(self.now, run, cost) {
            self.begin(run, end);
        }
        let inside = self.engines[target].waiting();
        self.meter.over_admitted = self.meter.over_admitted.max(inside);
        self.look_idle(target);
    }

    fn begin(&mut self, run: Run, end: Instant) {
        if let Some(row) = self.tries.get(&run).copied() {
            self.wait(row.request, false);
            if let Some(call) = self.calls.get(&row.request) {
                self.meter.waited(call.customer, call.since, self.now);
            }
        }
        self.schedule(end, Happening::Finish(run));
        self.schedule(self.now + PROGRESS, Happening::Progress(run));
    }

    fn progress(&mut self, run: Run) {
        let Some(row) = self.tries.get(&run).copied() else {
            return;
        };
        let units = self.engines[row.target].used(self.now, run);
        self.schedule(self.now + PROGRESS, Happening::Progress(run));
        if let Some(call) = self.calls.get(&row.request) {
            let event = Event::Progressed {
                request: row.request,
                attempt: row.attempt,
                units,
            };
            self.step(call.node, event);
        }
    }

    fn finish(&mut self, run: Run) {
        let Some(row) = self.stop_run(run) else {
            return;
        };
        if !self.put_off_answer(row) {
            self.answer(row);
        }
    }

    /// Gives a whole answer to the caller and tells the router.
    pub(crate) fn answer(&mut self, row: Try) {
        let Some(call) = self.calls.get(&row.request).copied() else {
            return;
        };
        self.meter.whole += 1;
        self.inject.note_whole(row.request);
        self.end_call(row.request);
        let outcome = Outcome::Completed {
            units: call.job.cost,
        };
        let event = Event::Ended {
            request: row.request,
            attempt: row.attempt,
            outcome,
        };
        self.echo(call.node, &event);
        self.step(call.node, event);
    }

    /// Ends a run with a failure, at the target and here.
    fn fail(&mut self, run: Run, verdict: Verdict, failure: Failure) {
        let Some(row) = self.tries.get(&run).copied() else {
            return;
        };
        let units = self.engines[row.target].used(self.now, run);
        self.stop_run(run);
        self.wait(row.request, false);
        let Some(call) = self.calls.get(&row.request).copied() else {
            return;
        };
        let outcome = Outcome::Failed {
            verdict,
            failure,
            units,
            delivered: false,
        };
        let event = Event::Ended {
            request: row.request,
            attempt: row.attempt,
            outcome,
        };
        self.echo(call.node, &event);
        self.step(call.node, event);
    }

    /// Ends a run at its target, finished or cut, and counts what it used.
    pub(crate) fn stop_run(&mut self, run: Run) -> Option<Try> {
        let row = self.tries.remove(&run)?;
        self.runs.remove(&(row.request, row.attempt));
        let used = self.engines[row.target].used(self.now, run);
        if let Some(call) = self.calls.get(&row.request) {
            self.done[call.customer] += used;
        }
        if let Some((next, end)) = self.engines[row.target].remove(self.now, run) {
            self.begin(next, end);
        }
        self.look_idle(row.target);
        Some(row)
    }

    pub(crate) fn end_call(&mut self, request: Request) {
        self.end_call_after(request, Duration::from_millis(1));
    }

    /// Ends a request; its customer sends the next after a pause.
    fn end_call_after(&mut self, request: Request, pause: Duration) {
        self.wait(request, false);
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if self.load.habits[call.customer].outstanding > 0 {
            self.schedule(self.now + pause, Happening::Send(call.customer));
        }
    }

    /// Whether routers of a failure domain can reach a target.
    pub(crate) fn reaches(&self, domain: usize, target: usize) -> bool {
        let other = self.engine_domains[target];
        domain == other || !(self.cut_domains[domain] || self.cut_domains[other])
    }

    /// Which side of a cut a failure domain is on.
    fn side(&self, domain: usize) -> usize {
        usize::from(self.cut_domains[domain])
    }

    fn wait(&mut self, request: Request, waits: bool) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if call.waits == waits {
            return;
        }
        call.waits = waits;
        let call = *call;
        let side = self.side(self.nodes[call.node].domain);
        let count = &mut self.waiting[side][call.service];
        let queued = &mut self.queued[call.customer];
        if waits {
            *count += 1;
            *queued += 1;
        } else {
            *count -= 1;
            *queued -= 1;
        }
        if *count <= 1 {
            self.look_all_idle(call.service);
        }
    }

    /// Counts anew who waits on which side, after a cut or a rejoining.
    pub(crate) fn recount(&mut self) {
        for counts in &mut self.waiting {
            counts.fill(0);
        }
        for call in self.calls.values().filter(|call| call.waits) {
            let side = usize::from(self.cut_domains[self.nodes[call.node].domain]);
            self.waiting[side][call.service] += 1;
        }
        for service in 0..self.trial.services {
            self.look_all_idle(service);
        }
    }

    fn service_of(&self, target: usize) -> usize {
        target / self.trial.domains % self.trial.services
    }

    pub(crate) fn look_all_idle(&mut self, service: usize) {
        for target in 0..self.trial.targets {
            if self.service_of(target) == service {
                self.look_idle(target);
            }
        }
    }

    pub(crate) fn look_idle(&mut self, target: usize) {
        let side = self.side(self.engine_domains[target]);
        let waits = self.waiting[side][self.service_of(target)] > 0;
        let idle =
            waits && !self.shut(target) && self.engines[target].busy() < self.engines[target].slots;
        match (idle, self.idle_since[target]) {
            (true, None) => self.idle_since[target] = Some(self.now),
            (false, Some(since)) => {
                let idle = self.now.since(since);
                self.meter.idle_waiting = self.meter.idle_waiting.max(idle);
                self.idle_since[target] = None;
            }
            _ => {}
        }
    }

    fn sample(&mut self) {
        self.schedule(self.now + SAMPLE, Happening::Sample);
        self.watch_states();
        for target in 0..self.trial.targets {
            let side = self.side(self.engine_domains[target]);
            if !self.shut(target) && self.waiting[side][self.service_of(target)] > 0 {
                let engine = &self.engines[target];
                self.meter
                    .sample_slots(engine.busy() as u64, engine.slots as u64);
            }
        }
        self.sample_gaps();
    }

    /// What each customer has received, in units.
    #[must_use]
    pub fn received(&self) -> Vec<u64> {
        let mut received = self.done.clone();
        for engine in &self.engines {
            for (run, _) in engine.running() {
                let call = self
                    .tries
                    .get(&run)
                    .and_then(|row| self.calls.get(&row.request));
                if let Some(call) = call {
                    received[call.customer] += engine.used(self.now, run);
                }
            }
        }
        received
    }

    fn sample_gaps(&mut self) {
        let received = self.received();
        let per_share: Vec<f64> = received
            .iter()
            .zip(&self.table.customers)
            .map(|(units, row)| *units as f64 / f64::from(row.share))
            .collect();
        for a in 0..self.trial.backlogged {
            for b in a + 1..self.trial.backlogged {
                if self.load.habits[a].service != self.load.habits[b].service {
                    continue;
                }
                if self.queued[a] > 0 && self.queued[b] > 0 {
                    self.meter.sample_pair((a, b), per_share[a] - per_share[b]);
                } else {
                    self.meter.end_pair((a, b));
                }
            }
        }
    }
}

/// The name of a kind of message.
const fn kind(message: &Message) -> &'static str {
    match message {
        Message::Broadcast(_) => "down",
        Message::Aggregate(_) => "up",
        Message::Total(_) => "total",
        Message::Probe => "probe",
        Message::Demand(_) => "want",
        Message::Grant(_) => "grant",
        Message::Hold(_) => "hold",
        Message::Recall(_) => "recall",
        Message::Leaving => "leaving",
    }
}
