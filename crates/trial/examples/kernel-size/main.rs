//! Memory and processor time of one kernel, by the size of its fleet.
//!
//! ```text
//! cargo run --release -p dunlinward-trial --example kernel-size [ROUTERS[:CUSTOMERS[:TARGETS]] ...]
//! ```
//!
//! Builds [`COPIES`] kernels that know the whole fleet and compares the resident
//! set of this process before and after. Each copy is then driven alone for
//! [`drive::SECONDS`] of virtual time, by events as the rest of the fleet would send
//! them: a tenth of the customers waits everywhere, rounds of accounts come every
//! half second, and every 50 ms one request arrives, is granted a slot, progresses
//! twice and ends, and another entry tells this owner what it wants and holds. The
//! time of each step is summed by the kind of its event. No message travels, so
//! the figures hold neither encoding nor sockets.

mod drive;

use std::collections::BTreeMap;
use std::sync::Arc;

use dunlinward_kernel::id::Target;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::membership::View;
use dunlinward_kernel::message::{Message, Total};
use dunlinward_kernel::round::tree::Tree;
use dunlinward_kernel::table::Table;
use dunlinward_trial::net;
use dunlinward_trial::spec::Trial;

use drive::{Cost, Drive, listed};

/// Kernels of a role that are built and driven.
const COPIES: u32 = 20;

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
    messages(trial, &Drive::new(trial, &shared, 0));
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

/// Encoded bytes of what travels, without framing.
fn messages(trial: &Trial, drive: &Drive<'_>) {
    let all = 0..trial.customers;
    let brief = Total {
        totals: drive.ledgers(all.map(|customer| (customer, 0)).collect()),
        ..drive.total(0)
    };
    let told = [
        ("down", Message::Broadcast(drive.spread(0))),
        ("up", Message::Aggregate(drive.answer(drive.round(0)))),
        ("total", Message::Total(drive.total(0))),
        ("brief, one run", Message::Total(brief)),
        ("want", Message::Demand(drive.want(1))),
        ("grant", Message::Grant(drive.grants(0, Target::new(0)))),
        ("hold", Message::Hold(drive.hold(0))),
    ];
    for (name, message) in told {
        let bytes = net::size(&[message]) - net::FRAMING - net::ACKNOWLEDGEMENT;
        println!("  {name}: {bytes} bytes");
    }
}

/// A root, a node with children and one without, each by its number.
fn roles(trial: &Trial) -> Vec<(&'static str, usize)> {
    let mut view = View::new();
    view.apply_list(&listed(trial));
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

fn sum(drives: &[Drive<'_>]) -> BTreeMap<&'static str, Cost> {
    let mut costs: BTreeMap<&'static str, Cost> = BTreeMap::new();
    for (kind, cost) in drives.iter().flat_map(|drive| &drive.costs) {
        let all = costs.entry(kind).or_default();
        all.time += cost.time;
        all.steps += cost.steps;
    }
    costs
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
