//! Memory and processor time of one kernel, by the size of its fleet.
//!
//! ```text
//! cargo run --release -p dunlinward-trial --example kernel-size [ROUTERS[:CUSTOMERS[:TARGETS]] ...]
//! ```
//!
//! Builds [`COPIES`] kernels that know the whole fleet and compares the resident
//! set of this process before and after. Each copy is then driven alone for
//! [`SECONDS`] of virtual time, by events as the rest of the fleet would send
//! them: a tenth of the customers waits everywhere, rounds of accounts come every
//! half second, and every 50 ms one request arrives, is granted a slot, progresses
//! twice and ends, and another entry tells this owner what it wants and holds. The
//! time of each step is summed by the kind of its event. No message travels, so
//! the figures hold neither encoding nor sockets.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dunlinward_kernel::action::Action;
use dunlinward_kernel::event::{Arrival, Class, Event, Outcome};
use dunlinward_kernel::id::{Customer, Request, Service, Target};
use dunlinward_kernel::kernel::Kernel;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::member::{Listed, View};
use dunlinward_kernel::message::{
    Ask, Charge, Down, Grant, Hold, Ledger, Message, Part, Round, Run, Total, Up, Want,
};
use dunlinward_kernel::round::tree::Tree;
use dunlinward_kernel::settings::Settings;
use dunlinward_kernel::table::Table;
use dunlinward_kernel::time::Instant;
use dunlinward_trial::spec::Trial;

/// Kernels of a role that are built and driven.
const COPIES: u32 = 20;

/// Virtual time for which each is driven.
const SECONDS: u64 = 15;

/// Virtual time between two requests.
const BEAT: Duration = Duration::from_millis(50);

/// Beats of a round of accounts.
const ROUND: u64 = 10;

/// Rounds in which each account that does not wait is told once.
const ROTATION: usize = 16;

/// Requests of each backlogged customer that wait here.
const DEPTH: usize = 4;

/// Sizes measured when none is given.
const SIZES: [&str; 4] = ["9:16:16", "35", "100", "350"];

fn main() {
    let _ = dunlinward_policies::link();
    let given: Vec<String> = std::env::args().skip(1).collect();
    let sizes = if given.is_empty() {
        SIZES.map(str::to_owned).to_vec()
    } else {
        given
    };
    for size in sizes {
        measure(&trial(&size));
    }
    println!("load average: {}", read("/proc/loadavg").trim());
}

/// The size that an argument names; the rest in the proportions of 350 routers.
fn trial(size: &str) -> Trial {
    let mut parts = size
        .split(':')
        .map(|part| part.parse::<usize>().expect("a size is a number"));
    let routers = parts.next().expect("a size names its routers");
    let customers = parts.next().unwrap_or(routers);
    let mut trial = Trial::new();
    trial.routers = routers;
    trial.customers = customers;
    trial.targets = parts.next().unwrap_or(routers * 12 / 7);
    trial.slots = 8;
    trial.backlogged = customers.div_ceil(10);
    trial.domains = if routers < 100 { 3 } else { 5 };
    trial.services = if routers < 35 { 1 } else { 6 };
    trial
}

fn measure(trial: &Trial) {
    let spec = trial.spec();
    let before = resident();
    let tables: Vec<Table> = (0..COPIES).map(|_| Table::new(&spec)).collect();
    let table = kib_each(before);
    println!(
        "routers {} customers {} targets {} domains {}: table {table:.0} KiB",
        trial.routers, trial.customers, trial.targets, trial.domains
    );
    let shared = Arc::new(tables[0].clone());
    // Nothing is given back, or the next figure would hide in what was free.
    std::mem::forget(tables);
    for (role, at) in roles(trial) {
        let before = resident();
        let mut drives: Vec<Drive<'_>> = (0..COPIES)
            .map(|_| Drive::new(trial, &shared, at))
            .collect();
        let started = kib_each(before);
        for drive in &mut drives {
            drive.run();
        }
        let loaded = kib_each(before);
        println!("  {role}: started {started:.0} KiB, loaded {loaded:.0} KiB");
        for (kind, cost) in sum(&drives) {
            println!("    {kind:<10} {:>9.2} us x {}", cost.micros(), cost.steps);
        }
        drives.into_iter().for_each(std::mem::forget);
    }
}

/// A root, a node with children and one without, each by its number.
fn roles(trial: &Trial) -> Vec<(&'static str, usize)> {
    let mut view = View::new();
    view.list(&listed(trial));
    let tree = Tree::new(&view, Key::new(&trial.domain(0)));
    let number = |key: Key| (0..trial.routers).find(|at| Key::new(&Trial::router(*at)) == key);
    let root = tree.root().and_then(number);
    let inner = tree
        .root()
        .and_then(|root| tree.children(root).first().copied())
        .and_then(number);
    let leaf = (0..trial.routers).step_by(trial.domains).find(|at| {
        let key = Key::new(&Trial::router(*at));
        tree.root() != Some(key) && tree.children(key).is_empty()
    });
    [("root", root), ("inner", inner), ("leaf", leaf)]
        .into_iter()
        .filter_map(|(role, at)| at.map(|at| (role, at)))
        .collect()
}

fn listed(trial: &Trial) -> Vec<Listed> {
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
struct Cost {
    time: Duration,
    steps: u32,
}

impl Cost {
    fn micros(self) -> f64 {
        self.time.as_secs_f64() * 1e6 / f64::from(self.steps.max(1))
    }
}

fn sum(drives: &[Drive<'_>]) -> BTreeMap<&'static str, Cost> {
    let mut costs: BTreeMap<&'static str, Cost> = BTreeMap::new();
    for (kind, cost) in drives.iter().flat_map(|drive| &drive.costs) {
        let all = costs.entry(kind).or_default();
        all.time += cost.time;
        all.steps += cost.steps;
    }
    costs
}

/// One kernel and what the fleet does to it.
struct Drive<'a> {
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
    costs: BTreeMap<&'static str, Cost>,
}

impl<'a> Drive<'a> {
    fn new(trial: &'a Trial, table: &Arc<Table>, me: usize) -> Self {
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

    fn run(&mut self) {
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
                    if let Message::Down(down) = message {
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
        let down = Down {
            round: self.round(root),
            path: vec![Key::new(&Trial::router(root))],
            missed: Vec::new(),
            suspects: Vec::new(),
            revision: 1,
            totals: self.ledgers(),
            spare: self.spare(),
        };
        self.receive("down", root, Message::Down(down));
    }

    fn answer_round(&mut self) {
        for (child, round) in std::mem::take(&mut self.asked) {
            let up = Up {
                round,
                missed: Vec::new(),
                charges: self.ledgers(),
                spare: self.spare(),
            };
            if let Some(child) = self.number(child) {
                self.receive("up", child, Message::Up(up));
            }
        }
    }

    fn round(&self, root: usize) -> Round {
        Round {
            run: Run {
                root: Key::new(&Trial::router(root)),
                incarnation: 1,
            },
            number: self.beat / ROUND,
        }
    }

    fn total(&self, root: usize) -> Total {
        Total {
            round: self.round(root),
            domain: Key::new(&self.trial.domain(root)),
            revision: 1,
            totals: self.ledgers(),
            suspects: Vec::new(),
            spare: self.spare(),
        }
    }

    /// Accounts as a round tells them: those that wait, and a part of the others.
    fn ledgers(&self) -> Vec<Ledger> {
        let turn = usize::try_from(self.beat / ROUND).expect("rounds are few") % ROTATION;
        let mut ledgers: BTreeMap<Key, Vec<Charge>> = BTreeMap::new();
        for customer in 0..self.trial.customers {
            let waits = customer < self.trial.backlogged;
            if !waits && customer % ROTATION != turn {
                continue;
            }
            let pool = self.table.pool(self.service(customer));
            let charge = Charge {
                customer: self.table.customers[customer].key,
                units: i64::try_from(self.beat * 1_000).expect("beats are few"),
                waiting: u32::from(waits) * 8,
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
        let waiting = 0..self.trial.backlogged.min(10);
        let asks = waiting.map(|customer| Ask {
            service: self.table.services[self.service(customer).row()].key,
            model: None,
            customer: self.table.customers[customer].key,
            count: 2,
            cost: 150,
        });
        let want = Want {
            stamp: self.beat,
            asks: asks.collect(),
        };
        self.receive("want", from, Message::Want(want));
        if let Some(target) = self.owned(at) {
            let hold = Hold {
                target: self.table.targets[target].key,
                stamp: self.beat,
                sequence: u64::MAX,
                count: 0,
            };
            self.receive("hold", from, Message::Hold(hold));
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
        let grant = Grant {
            target: self.table.targets[target.row()].key,
            sequence: self.beat,
            parts: vec![Part {
                customer: self.table.customers[customer].key,
                count: 1,
            }],
        };
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
            outcome: Outcome::Whole { units: 150 },
        };
        self.step("end", event);
        if let Some(customer) = self.customers.remove(&request)
            && customer < self.trial.backlogged
        {
            self.arrive(customer);
        }
    }
}

fn kib_each(before: u64) -> f64 {
    let grown = resident().saturating_sub(before);
    f64::from(u32::try_from(grown).unwrap_or(u32::MAX)) / f64::from(COPIES)
}

/// Resident set of this process in KiB.
fn resident() -> u64 {
    read("/proc/self/status")
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB"))
        .and_then(|kib| kib.trim().parse().ok())
        .expect("the kernel tells the resident set")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(path).expect("proc is mounted")
}
