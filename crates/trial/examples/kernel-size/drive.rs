//! One kernel, and the rest of its fleet as far as that kernel can tell.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_kernel::action::Action;
use dunlinward_kernel::event::{Arrival, Class, Event, Outcome};
use dunlinward_kernel::id::{Customer, Request, Service, Target};
use dunlinward_kernel::kernel::Kernel;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::membership::Listed;
use dunlinward_kernel::message::{
    Aggregate, Allocation, Backlog, Broadcast, Charge, Demand, Grant, Hold, Ledger, Message, Round,
    Run, Total,
};
use dunlinward_kernel::round::tree::Tree;
use dunlinward_kernel::settings::Settings;
use dunlinward_kernel::table::Table;
use dunlinward_kernel::time::Instant;
use dunlinward_trial::spec::Trial;

/// Virtual time for which each is driven.
pub(crate) const SECONDS: u64 = 15;

/// Virtual time between two requests.
const BEAT: Duration = Duration::from_millis(50);

/// Beats of a round of accounts.
const ROUND: u64 = 10;

/// Rounds in which each account that does not wait is told once.
const ROTATION: usize = 16;

/// Units of a customer after a day: 1.8 million a second over 350 customers.
const DAY: i64 = 444_000_000;

/// Requests of each backlogged customer that wait here.
const DEPTH: usize = 4;

/// The whole fleet as the platform lists it.
pub(crate) fn listed(trial: &Trial) -> Vec<Listed> {
    (0..trial.routers)
        .map(|at| Listed {
            name: Trial::router(at),
            domain: trial.domain(at),
            leaving: false,
        })
        .collect()
}

/// Time of the steps of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    /// Time of all steps.
    pub(crate) time: Duration,
    /// Number of steps.
    pub(crate) steps: u32,
}

impl Cost {
    /// Mean time of a step in microseconds.
    pub(crate) fn micros(self) -> f64 {
        self.time.as_secs_f64() * 1e6 / f64::from(self.steps.max(1))
    }
}

/// One kernel and what the fleet does to it.
pub(crate) struct Drive<'a> {
    trial: &'a Trial,
    table: Arc<Table>,
    me: usize,
    kernel: Kernel,
    now: Instant,
    beat: u64,
    serial: u64,
    asked: Vec<(Key, Round)>,
    sent: VecDeque<(Request, u32)>,
    customers: BTreeMap<Request, usize>,
    /// Costs by the kind of event.
    pub(crate) costs: BTreeMap<&'static str, Cost>,
}

impl<'a> Drive<'a> {
    /// A kernel that has its configuration and the list of instances.
    pub(crate) fn new(trial: &'a Trial, table: &Arc<Table>, me: usize) -> Self {
        let settings = Settings::new(&Trial::router(me), &trial.domain(me));
        let mut drive = Self {
            trial,
            table: Arc::clone(table),
            me,
            kernel: Kernel::new(settings, Instant::ZERO),
            now: Instant::ZERO,
            beat: 0,
            serial: 0,
            asked: Vec::new(),
            sent: VecDeque::new(),
            customers: BTreeMap::new(),
            costs: BTreeMap::new(),
        };
        drive.step("configure", Event::Configured(Arc::clone(table)));
        drive.step("list", Event::Listed(listed(trial)));
        drive
    }

    /// Drives the kernel for [`SECONDS`].
    pub(crate) fn run(&mut self) {
        for customer in 0..self.trial.backlogged {
            for _ in 0..DEPTH {
                self.arrive(customer);
            }
        }
        let beats = SECONDS * 20;
        while self.beat < beats {
            self.beat += 1;
            self.now = self.now + BEAT;
            self.tick();
            match self.beat % ROUND {
                0 => self.begin_round(),
                8 => self.answer_round(),
                _ => {}
            }
            self.peer_asks();
            self.request();
        }
    }

    fn step(&mut self, kind: &'static str, event: Event) {
        let mut actions = Vec::new();
        let started = std::time::Instant::now();
        self.kernel.step(self.now, event, &mut actions);
        let cost = self.costs.entry(kind).or_default();
        cost.time += started.elapsed();
        cost.steps += 1;
        for action in actions {
            self.note(action);
        }
    }

    fn note(&mut self, action: Action) {
        match action {
            Action::Send { to, messages } => {
                for message in messages {
                    if let Message::Broadcast(down) = message {
                        self.asked.push((to, down.round));
                    }
                }
            }
            Action::Dispatch {
                request, attempt, ..
            } => self.sent.push_back((request, attempt)),
            _ => {}
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        // Each due time gives one step; a kernel that is always due would hang here.
        for _ in 0..100 {
            let Some(due) = self.kernel.wake_at().filter(|due| *due <= now) else {
                break;
            };
            self.now = due.max(now - BEAT);
            self.step("tick", Event::Tick);
        }
        self.now = now;
    }

    fn receive(&mut self, kind: &'static str, from: usize, message: Message) {
        let event = Event::Received {
            from: Key::new(&Trial::router(from)),
            domain: Key::new(&self.trial.domain(from)),
            incarnation: 1,
            messages: vec![message],
        };
        self.step(kind, event);
    }

    fn number(&self, key: Key) -> Option<usize> {
        (0..self.trial.routers).find(|at| Key::new(&Trial::router(*at)) == key)
    }

    /// The root that this kernel sees in a failure domain.
    fn root(&self, domain: usize) -> Option<usize> {
        let key = Key::new(&self.trial.domain(domain));
        Tree::new(self.kernel.view(), key)
            .root()
            .and_then(|root| self.number(root))
    }

    /// A round comes from above, or the roots of the other failure domains speak.
    fn begin_round(&mut self) {
        let own = self.me % self.trial.domains;
        let Some(root) = self.root(own) else { return };
        if root == self.me {
            for domain in (0..self.trial.domains).filter(|domain| *domain != own) {
                if let Some(other) = self.root(domain) {
                    let total = self.total(other);
                    self.receive("total", other, Message::Total(total));
                }
            }
            return;
        }
        let down = self.spread(root);
        self.receive("down", root, Message::Broadcast(down));
    }

    /// A round as its root begins it.
    pub(crate) fn spread(&self, root: usize) -> Broadcast {
        Broadcast {
            round: self.round(root),
            path: vec![Key::new(&Trial::router(root))],
            missed: Vec::new(),
            suspects: Vec::new(),
            revision: 1,
            totals: self.ledgers(self.told()),
            spare: self.spare(),
        }
    }

    fn answer_round(&mut self) {
        for (child, round) in std::mem::take(&mut self.asked) {
            let up = self.answer(round);
            if let Some(child) = self.number(child) {
                self.receive("up", child, Message::Aggregate(up));
            }
        }
    }

    /// An answer to a round from a child.
    pub(crate) fn answer(&self, round: Round) -> Aggregate {
        Aggregate {
            round,
            missed: Vec::new(),
            charges: self.ledgers(self.told()),
            spare: self.spare(),
        }
    }

    /// The round of a root at this beat.
    pub(crate) fn round(&self, root: usize) -> Round {
        Round {
            run: Run {
                root: Key::new(&Trial::router(root)),
                incarnation: 1,
            },
            number: self.beat / ROUND,
        }
    }

    /// What a root tells the others.
    pub(crate) fn total(&self, root: usize) -> Total {
        Total {
            round: self.round(root),
            domain: Key::new(&self.trial.domain(root)),
            revision: 1,
            totals: self.ledgers(self.told()),
            suspects: Vec::new(),
            spare: self.spare(),
        }
    }

    /// Customers that a round tells, each with the number of routers at which it
    /// waits: those that wait, and a part of the others.
    fn told(&self) -> Vec<(usize, u32)> {
        let turn = usize::try_from(self.beat / ROUND).expect("rounds are few") % ROTATION;
        (0..self.trial.customers)
            .map(|customer| (customer, u32::from(customer < self.trial.backlogged) * 8))
            .filter(|(customer, waiting)| *waiting > 0 || customer % ROTATION == turn)
            .collect()
    }

    /// Charges of some customers, by pool.
    pub(crate) fn ledgers(&self, told: Vec<(usize, u32)>) -> Vec<Ledger> {
        let mut ledgers: BTreeMap<Key, Vec<Charge>> = BTreeMap::new();
        for (customer, waiting) in told {
            let pool = self.table.pool(self.service(customer));
            let charge = Charge {
                customer: self.table.customers[customer].key,
                units: DAY + i64::try_from(self.beat * 1_000).expect("beats are few"),
                waiting,
            };
            let key = self.table.pool_key(pool);
            ledgers.entry(key).or_default().push(charge);
        }
        ledgers
            .into_iter()
            .map(|(pool, charges)| Ledger { pool, charges })
            .collect()
    }

    fn spare(&self) -> Vec<Key> {
        let rows = self.table.targets.iter().take(8);
        rows.map(|row| row.key).collect()
    }

    fn service(&self, customer: usize) -> Service {
        Service::new(customer % self.trial.services)
    }

    /// Another entry tells what it wants and what it holds.
    fn peer_asks(&mut self) {
        let at = usize::try_from(self.beat).expect("beats are few");
        let from = at % self.trial.routers;
        if from == self.me {
            return;
        }
        let want = self.want(10);
        self.receive("want", from, Message::Demand(want));
        if let Some(target) = self.owned(at) {
            let hold = self.hold(target);
            self.receive("hold", from, Message::Hold(hold));
        }
    }

    /// What another entry wants for at most some customers.
    pub(crate) fn want(&self, most: usize) -> Demand {
        let waiting = 0..self.trial.backlogged.min(most);
        let asks = waiting.map(|customer| Backlog {
            service: self.table.services[self.service(customer).row()].key,
            model: None,
            customer: self.table.customers[customer].key,
            count: 2,
            cost: 150,
        });
        Demand {
            stamp: self.beat,
            backlogs: asks.collect(),
        }
    }

    /// What another entry holds of a target: nothing.
    pub(crate) fn hold(&self, target: usize) -> Hold {
        Hold {
            target: self.table.targets[target].key,
            stamp: self.beat,
            sequence: self.beat,
            count: 0,
            unusable: false,
        }
    }

    /// A slot for a customer.
    pub(crate) fn grants(&self, customer: usize, target: Target) -> Grant {
        Grant {
            target: self.table.targets[target.row()].key,
            sequence: self.beat,
            allocations: vec![Allocation {
                customer: self.table.customers[customer].key,
                count: 1,
            }],
        }
    }

    fn owned(&self, at: usize) -> Option<usize> {
        let me = Key::new(&Trial::router(self.me));
        let mine: Vec<usize> = (0..self.trial.targets)
            .filter(|target| self.kernel.owner_of(Target::new(*target)) == Some(me))
            .collect();
        mine.get(at % mine.len().max(1)).copied()
    }

    /// One request of a customer without backlog, granted by another owner.
    fn request(&mut self) {
        let at = usize::try_from(self.beat).expect("beats are few");
        let light = self.trial.customers - self.trial.backlogged;
        let customer = self.trial.backlogged + at % light;
        self.arrive(customer);
        self.grant(customer, at);
        // A slot that comes free may be used again, once here.
        for _ in 0..2 {
            self.finish_one();
        }
    }

    fn arrive(&mut self, customer: usize) {
        self.serial += 1;
        let request = Request(self.serial);
        self.customers.insert(request, customer);
        let arrival = Arrival {
            request,
            customer: Customer::new(customer),
            service: self.service(customer),
            model: None,
            class: Class::Quick,
            hint: None,
            repeatable: true,
            deadline: None,
            prefix: Vec::new(),
        };
        self.step("arrive", Event::Arrived(arrival));
    }

    fn grant(&mut self, customer: usize, at: usize) {
        let service = self.service(customer);
        let targets = &self.table.services[service.row()].targets;
        let Some(target) = targets.get(at % targets.len().max(1)).copied() else {
            return;
        };
        let owner = self.kernel.owner_of(target);
        let Some(owner) = owner.and_then(|owner| self.number(owner)) else {
            return;
        };
        if owner == self.me {
            return;
        }
        let grant = self.grants(customer, target);
        self.receive("grant", owner, Message::Grant(grant));
    }

    fn finish_one(&mut self) {
        let Some((request, attempt)) = self.sent.pop_front() else {
            return;
        };
        for units in [50, 100] {
            let event = Event::Progressed {
                request,
                attempt,
                units,
            };
            self.step("progress", event);
        }
        let event = Event::Ended {
            request,
            attempt,
            outcome: Outcome::Completed { units: 150 },
        };
        self.step("end", event);
        if let Some(customer) = self.customers.remove(&request)
            && customer < self.trial.backlogged
        {
            self.arrive(customer);
        }
    }
}
