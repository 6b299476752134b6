//! A load generator: customers that call a fleet and check what they get.
//!
//! Each customer has a mix of [`work`] and a way in which its calls arrive.
//! *Open* arrivals come at random times at a mean rate, whether or not earlier
//! calls have ended; latency counts from the time at which a call should have
//! started, so that a generator that falls behind does not hide the wait.
//! *Closed* arrivals come from clients that each wait for their answer; with
//! many clients and no pause that is a customer that floods the fleet.
//!
//! Every client is one thread. An answer counts as whole only when each of its
//! words belongs to the call's own prompt and stands at its place, and when it
//! ends as it should; anything else is counted under what went wrong.
//!
//! Which calls are made, with which sizes and to which router depends only on
//! the seed and on the order in which a customer's clients come for work.

mod client;
mod prompt;
pub mod tally;
pub mod work;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use client::Client;
use tally::Tally;
use work::{Customer, Desk};

/// How long clients that were told to abandon their calls are waited for.
const ABANDON: Duration = Duration::from_millis(500);

/// Pause between two looks whether clients have ended.
const POLL: Duration = Duration::from_millis(5);

/// What to generate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the routers listen for callers.
    pub routers: Vec<SocketAddr>,
    /// Who calls.
    pub customers: Vec<Customer>,
    /// How unevenly a customer's calls go to routers: 0 is evenly, and with
    /// `s` the router of rank `n` gets a weight of `n` to the power of `-s`.
    /// Each customer ranks the routers in its own order.
    pub skew: f64,
    /// Longest time for one call.
    pub timeout: Duration,
    /// Seed of everything that is drawn.
    pub seed: u64,
}

impl Settings {
    /// Calls of some customers to some routers, fairly spread.
    #[must_use]
    pub fn new(routers: Vec<SocketAddr>, customers: Vec<Customer>) -> Self {
        Self {
            routers,
            customers,
            skew: 0.0,
            timeout: Duration::from_mins(2),
            seed: 1,
        }
    }

    /// Sets how unevenly calls go to routers.
    #[must_use]
    pub fn with_skew(mut self, skew: f64) -> Self {
        self.skew = skew;
        self
    }

    /// Sets the longest time for one call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Tells every client when to end, and wakes those that sleep.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// No new calls.
    ending: Mutex<bool>,
    changed: Condvar,
    /// Not even the calls that run now.
    abandoned: AtomicBool,
}

impl Stop {
    /// Sleeps until a time or the end; true when the end has come.
    fn sleep_until(&self, until: Instant) -> bool {
        let mut ending = self.ending.lock().unwrap_or_else(PoisonError::into_inner);
        while !*ending {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            ending = self
                .changed
                .wait_timeout(ending, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        *ending
    }

    fn end(&self) {
        *self.ending.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    fn is_abandoned(&self) -> bool {
        self.abandoned.load(Ordering::Relaxed)
    }
}

/// A load that is being generated; it ends when dropped.
#[derive(Debug)]
pub struct Load {
    stop: Arc<Stop>,
    threads: Vec<JoinHandle<()>>,
    tallies: Vec<Arc<Mutex<Tally>>>,
}

/// Starts to generate a load.
///
/// # Errors
///
/// When a thread cannot be started; the clients started before it are ended.
pub fn start(settings: &Settings) -> io::Result<Load> {
    let mut load = Load {
        stop: Arc::default(),
        threads: Vec::new(),
        tallies: Vec::new(),
    };
    let started = Instant::now();
    for (number, customer) in settings.customers.iter().enumerate() {
        let seed = settings.seed.wrapping_add(number as u64);
        let desk = Arc::new(Desk::new(settings, customer.clone(), seed, started));
        let tally = Arc::new(Mutex::new(Tally::new(&customer.name, customer.share)));
        for _ in 0..customer.arrivals.clients() {
            let client = Client::new(&desk, &tally, &load.stop, settings.timeout);
            load.threads.push(
                std::thread::Builder::new()
                    .name("load".into())
                    .spawn(move || client.run())?,
            );
        }
        load.tallies.push(tally);
    }
    Ok(load)
}

impl Load {
    /// How things stand, by customer in the order of the settings.
    #[must_use]
    pub fn tallies(&self) -> Vec<Tally> {
        let tallies = self.tallies.iter();
        tallies
            .map(|tally| tally.lock().unwrap_or_else(PoisonError::into_inner).clone())
            .collect()
    }

    /// Starts no further call, gives those that run some time to end, abandons
    /// the rest and returns how things stand. A call that is still stuck then
    /// counts as started and nothing else.
    #[must_use]
    pub fn stop(mut self, drain: Duration) -> Vec<Tally> {
        self.stop.end();
        self.wait(drain);
        self.finish();
        self.tallies()
    }

    fn finish(&mut self) {
        self.stop.end();
        self.stop.abandoned.store(true, Ordering::Relaxed);
        self.wait(ABANDON);
    }

    /// Waits for the clients to end, but no longer than a given time. A client
    /// whose call is stuck is left to the call's own timeout.
    fn wait(&mut self, longest: Duration) {
        let until = Instant::now() + longest;
        loop {
            self.threads.retain(|thread| !thread.is_finished());
            if self.threads.is_empty() || Instant::now() >= until {
                return;
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.finish();
    }
}
