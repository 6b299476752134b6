//! How long routers take to learn who is alive, and what it costs, by the size of the fleet.
//!
//! `members [--loss PERMILLE] [--seed N]` prints a table: the time until all routers know all
//! after a start at once, until a newcomer and a death are known everywhere, until both sides of a
//! cut know it and know each other again, until a router that stood still is known again, how many
//! were wrongly taken to have ended, and what a router sends when nothing happens.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures of runs stay far below 2^52"
)]

use std::time::Duration;

use dunlinward_trial::members::{Fleet, Plan};

const SIZES: [usize; 6] = [9, 59, 85, 295, 350, 600];

/// Longest time that is waited for anything.
const LIMIT: Duration = Duration::from_secs(20);

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |name: &str| {
        let place = words.iter().position(|it| it == name)?;
        words.get(place + 1)?.parse().ok()
    };
    let loss = number("--loss").unwrap_or(0);
    let seed = u64::from(number("--seed").unwrap_or(1));
    println!("loss {loss} in 1000, seed {seed}; seconds");
    println!(
        "routers  start  newcomer  death  60%dead  cut  joined  woken  false ends  packets/s  KB/s"
    );
    for routers in SIZES {
        row(Plan::new(routers).with_loss(loss).with_seed(seed));
    }
}

fn row(plan: Plan) {
    let mut fleet = Fleet::new(plan);
    fleet.run_until(Duration::from_millis(300));
    let start = until_agreed(&mut fleet);
    fleet.run_until(Duration::from_secs(30));
    let before = fleet.sent();
    fleet.run_until(Duration::from_secs(40));
    let after = fleet.sent();
    let last = plan.routers - 1;
    fleet.kill(last);
    let death = until_agreed(&mut fleet);
    rest(&mut fleet);
    fleet.start_again(last);
    let newcomer = until_agreed(&mut fleet);
    rest(&mut fleet);
    fleet.cut(1);
    let cut = until_agreed(&mut fleet);
    rest(&mut fleet);
    fleet.join(1);
    let joined = until_agreed(&mut fleet);
    rest(&mut fleet);
    let woken = pause(&mut fleet, last);
    rest(&mut fleet);
    let false_ends = fleet.false_ends();
    for number in 0..plan.routers * 6 / 10 {
        fleet.kill(number);
    }
    let herd = until_agreed(&mut fleet);
    let routers = plan.routers as f64;
    let packets = (after.packets - before.packets) as f64 / routers / 10.0;
    let bytes = (after.bytes - before.bytes) as f64 / routers / 10.0 / 1_024.0;
    println!(
        "{:7}  {start:>5}  {newcomer:>8}  {death:>5}  {herd:>7}  {cut:>3}  {joined:>6}  {woken:>5}  {false_ends:>10}  {packets:9.1}  {bytes:4.2}",
        plan.routers
    );
}

fn rest(fleet: &mut Fleet) {
    let until = fleet.now() + Duration::from_secs(5);
    fleet.run_until(until);
}

/// A router stands still for 3.5 s; the time until all know it again.
fn pause(fleet: &mut Fleet, number: usize) -> String {
    let time = Duration::from_millis(3_500);
    fleet.pause(number, time);
    let until = fleet.now() + time;
    fleet.run_until(until);
    until_agreed(fleet)
}

fn until_agreed(fleet: &mut Fleet) -> String {
    let took = fleet.run_while(LIMIT, Fleet::agree);
    took.map_or("-".to_owned(), |it| format!("{:.2}", it.as_secs_f64()))
}
