//! Who calls in a demonstration, and how.
//!
//! Every customer is kept backlogged with long work by clients in proportion to
//! its share, so that the service over the share is comparable between all of
//! them. One customer with a small share has many more clients. Beside that,
//! each customer asks quick questions and calls the plain service now and then.

use std::sync::Arc;
use std::time::Duration;

use super::{Fleet, SKEW, Settings};
use crate::load;
use crate::load::tally::Tally;
use crate::load::work::{Arrivals, Customer};

/// Clients with long work for each slot, over all customers.
const CLIENTS_PER_SLOT: f64 = 1.25;

/// Further clients of the customer that floods.
const FLOOD: usize = 64;

/// Quick questions of each customer in a second.
const QUICK_RATE: f64 = 0.25;

/// Clients for the quick questions of each customer.
const QUICK_CLIENTS: usize = 6;

/// Calls of the plain service of each customer in a second.
const PLAIN_RATE: f64 = 2.0;

/// The whole load.
pub(super) fn load(settings: &Settings, fleet: &Fleet) -> load::Settings {
    let deployment = settings.deployment;
    let config = &fleet.config;
    let slots: u32 = fleet.engines().map(|(_, slots)| slots).sum();
    let shares: u32 = config.customers.iter().map(|customer| customer.share).sum();
    let mut customers = Vec::new();
    for customer in &config.customers {
        let mut clients = clients(customer.share, shares, slots);
        if &*customer.name == deployment.flooder() {
            clients += FLOOD;
        }
        let new = |arrivals| Customer::new(Arc::clone(&customer.name), customer.share, arrivals);
        let closed = Arrivals::Closed {
            clients,
            pause: Duration::ZERO,
        };
        customers.push(new(closed).with_work(1, deployment.long_work(config)));
        customers
            .push(new(open(QUICK_RATE, QUICK_CLIENTS)).with_work(1, deployment.quick_work(config)));
        let mut plain = new(open(PLAIN_RATE, 1));
        for work in deployment.plain_work() {
            plain = plain.with_work(1, work);
        }
        customers.push(plain);
    }
    load::Settings::new(fleet.callers(), customers)
        .with_skew(SKEW)
        .with_seed(settings.seed)
}

fn open(per_second: f64, clients: usize) -> Arrivals {
    Arrivals::Open {
        per_second,
        clients,
    }
}

/// Clients that keep a customer backlogged.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number of clients, rounded up"
)]
fn clients(share: u32, shares: u32, slots: u32) -> usize {
    let part = f64::from(slots) * f64::from(share) / f64::from(shares.max(1));
    (part * CLIENTS_PER_SLOT).ceil() as usize + 1
}

/// Adds up what the entries of each customer got.
pub(super) fn by_customer(tallies: &[Tally]) -> Vec<Tally> {
    let mut sums: Vec<Tally> = Vec::new();
    for tally in tallies {
        match sums.iter_mut().find(|sum| sum.name == tally.name) {
            Some(sum) => sum.add(tally),
            None => sums.push(tally.clone()),
        }
    }
    sums
}
