//! What each customer has received, as this router knows it.
//!
//! An [`Account`] belongs to one customer in one pool. Its service is the sum of
//! three parts that never overlap: the fleet's total as of the last round, what
//! this router has charged since (unsent, or sent and not yet confirmed), and
//! what this router has granted to others but not yet seen in the total
//! (provisional, forgotten after two rounds). Between rounds all routers see the
//! same customer behind and would all serve it; so a router counts its own charges
//! since the round once for each router at which the customer waits
//! ([`Account::expected`]), until the next round tells what was really charged.
//!
//! The order is start-time fair queueing over the fleet's service (Goyal, Vin and
//! Cheng, 1996): a customer's virtual time is its service divided by its share,
//! the least goes first. A customer that nobody reported as waiting may not use
//! idle time as credit: its rank is at least the pool's [`Book::frontier`], the
//! least virtual time among waiting customers.
//!
//! A request is charged with a reservation when it is admitted, with what it has
//! used on top while it runs, and with exactly what it used at its end. Charges are
//! therefore amounts with a sign, and their sum is what was used. The reservation
//! is a multiple of the estimated cost ([`crate::settings::Settings::reserve_permille`]). It
//! tells every router how many slots a customer has, not only what it received:
//! slots cannot be taken back, so an order by what was received alone would give
//! the customer that is behind far too many, starve it in turn, and swing.

use std::time::Duration;

use crate::id::{Customer, Pool};
use crate::table::Table;
use crate::time::Instant;

/// Virtual time per unit of service and share.
pub const SCALE: i64 = 1024;

/// Service of one customer in one pool, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// The fleet's total as of the last round.
    pub fleet: i64,
    /// Charged here and not yet sent.
    pub unsent: i64,
    /// Charged here, sent, and not yet confirmed.
    pub sent: i64,
    /// Granted from here in this round and the one before.
    pub provisional: [i64; 2],
    /// Routers at which the fleet reported requests of it waiting.
    pub waiting: u32,
    /// Requests of it waiting here.
    pub queued: u32,
    /// Whether one of them has waited for a round or longer.
    pub overdue: bool,
}

impl Account {
    /// All service known, in units.
    #[must_use]
    pub const fn service(&self) -> i64 {
        self.fleet + self.unsent + self.sent
    }

    /// All service known, and what others are likely to have charged meanwhile: as
    /// much as this router, at each router where the customer waits.
    #[must_use]
    pub fn expected(&self) -> i64 {
        let routers = i64::from(self.waiting.max(1));
        let here = self.unsent + self.sent;
        self.fleet + here * routers + self.provisional[0] + self.provisional[1]
    }
}

/// A place in the fair order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub i64);

/// How fast a pool's frontier moves.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    frontier: Option<i64>,
    at: Instant,
    /// Virtual time a second, smoothed over about [`PACE_PARTS`] rounds.
    rate: i64,
}

/// Rounds over which the pace of a frontier is smoothed.
const PACE_PARTS: i64 = 4;

/// All accounts of a router.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// How fast the frontiers move, by pool.
    paces: Vec<Pace>,
    /// Accounts by pool, then customer.
    rows: Vec<Vec<Account>>,
    /// Shares by customer.
    shares: Vec<i64>,
    /// Customers reported waiting, by pool.
    waiting: Vec<Vec<Customer>>,
}

impl Book {
    /// A book without accounts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes room for the rows of a table and takes its shares.
    pub fn resize(&mut self, table: &Table) {
        self.shares = table
            .customers
            .iter()
            .map(|row| i64::from(row.share))
            .collect();
        self.rows.resize(table.pool_bound, Vec::new());
        self.waiting.resize(table.pool_bound, Vec::new());
        self.paces.resize(table.pool_bound, Pace::default());
        for accounts in &mut self.rows {
            accounts.resize(self.shares.len(), Account::default());
        }
    }

    /// The account of a customer in a pool.
    #[must_use]
    pub fn get(&self, pool: Pool, customer: Customer) -> &Account {
        &self.rows[pool.row()][customer.row()]
    }

    /// The account of a customer in a pool, to change.
    pub fn get_mut(&mut self, pool: Pool, customer: Customer) -> &mut Account {
        &mut self.rows[pool.row()][customer.row()]
    }

    /// Adds to what this router has charged; the amount may be negative.
    pub fn charge(&mut self, pool: Pool, customer: Customer, units: i64) {
        self.get_mut(pool, customer).unsent += units;
    }

    /// Every account with its place.
    pub fn all(&self) -> impl Iterator<Item = (Pool, Customer, &Account)> {
        self.rows.iter().enumerate().flat_map(|(pool, accounts)| {
            accounts
                .iter()
                .enumerate()
                .map(move |(customer, account)| (Pool::new(pool), Customer::new(customer), account))
        })
    }

    /// Every account with its place, to change.
    pub fn all_mut(&mut self) -> impl Iterator<Item = (Pool, Customer, &mut Account)> {
        self.rows
            .iter_mut()
            .enumerate()
            .flat_map(|(pool, accounts)| {
                accounts
                    .iter_mut()
                    .enumerate()
                    .map(move |(customer, account)| {
                        (Pool::new(pool), Customer::new(customer), account)
                    })
            })
    }

    /// Virtual time of a customer in a pool, in units per share times [`SCALE`].
    #[must_use]
    pub fn virtual_time(&self, pool: Pool, customer: Customer) -> i64 {
        let service = self.get(pool, customer).expected();
        service.saturating_mul(SCALE) / self.shares[customer.row()]
    }

    /// How far a customer is ahead of the frontier by what is known for sure, in
    /// virtual time; zero when nobody is reported waiting.
    #[must_use]
    pub fn lead(&self, pool: Pool, customer: Customer) -> i64 {
        let least = self.waiting[pool.row()]
            .iter()
            .map(|other| self.known_time(pool, *other))
            .min();
        least.map_or(0, |least| self.known_time(pool, customer) - least)
    }

    fn known_time(&self, pool: Pool, customer: Customer) -> i64 {
        let service = self.get(pool, customer).service();
        service.saturating_mul(SCALE) / self.shares[customer.row()]
    }

    /// The least virtual time among customers that the fleet reported waiting.
    #[must_use]
    pub fn frontier(&self, pool: Pool) -> Option<i64> {
        self.waiting[pool.row()]
            .iter()
            .map(|customer| self.virtual_time(pool, *customer))
            .min()
    }

    /// The greatest virtual time among customers that the fleet reported waiting.
    #[must_use]
    pub fn vanguard(&self, pool: Pool) -> Option<i64> {
        self.waiting[pool.row()]
            .iter()
            .map(|customer| self.virtual_time(pool, *customer))
            .max()
    }

    /// Customers that the fleet reported waiting in a pool.
    #[must_use]
    pub fn waiting(&self, pool: Pool) -> &[Customer] {
        &self.waiting[pool.row()]
    }

    /// The place of a customer in the order of a pool.
    #[must_use]
    pub fn rank(&self, pool: Pool, customer: Customer) -> Rank {
        let own = self.virtual_time(pool, customer);
        if self.get(pool, customer).waiting > 0 {
            return Rank(own);
        }
        Rank(self.frontier(pool).map_or(own, |least| own.max(least)))
    }

    /// Forgets who the fleet reported waiting.
    pub fn clear_waiting(&mut self) {
        for (pool, customers) in self.waiting.iter_mut().enumerate() {
            for customer in customers.drain(..) {
                self.rows[pool][customer.row()].waiting = 0;
            }
        }
    }

    /// Notes at how many routers the fleet reported a customer waiting.
    pub fn set_waiting(&mut self, pool: Pool, customer: Customer, routers: u32) {
        let account = &mut self.rows[pool.row()][customer.row()];
        if account.waiting == 0 && routers > 0 {
            self.waiting[pool.row()].push(customer);
        }
        account.waiting = routers;
    }

    /// Notes where the frontiers stand after a round.
    pub fn note_round(&mut self, now: Instant) {
        for at in 0..self.paces.len() {
            let frontier = self.frontier(Pool::new(at));
            let pace = &mut self.paces[at];
            if let (Some(before), Some(after)) = (pace.frontier, frontier) {
                let micros = i64::try_from(now.since(pace.at).as_micros()).unwrap_or(i64::MAX);
                let moved = (after - before).max(0).saturating_mul(1_000_000);
                let rate = moved / micros.max(1);
                pace.rate += (rate - pace.rate) / PACE_PARTS;
            }
            pace.frontier = frontier;
            pace.at = now;
        }
    }

    /// How far a pool's frontier moves in a time, in virtual time.
    #[must_use]
    pub fn advance(&self, pool: Pool, span: Duration) -> i64 {
        let millis = i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
        self.paces[pool.row()].rate.saturating_mul(millis) / 1_000
    }

    /// Ages what was granted provisionally by one round.
    pub fn age_provisional(&mut self) {
        for (_, _, account) in self.all_mut() {
            account.provisional = [0, account.provisional[0]];
        }
    }
}

/// The charge of one running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Meter {
    reservation: u64,
    used: u64,
    charged: i64,
}

impl Meter {
    /// A meter for a request with a reservation, in units.
    #[must_use]
    pub const fn new(reservation: u64) -> Self {
        Self {
            reservation,
            used: 0,
            charged: 0,
        }
    }

    /// Units used so far.
    #[must_use]
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// The amount to charge at admission.
    pub fn admit(&mut self) -> i64 {
        self.settle(self.reservation)
    }

    /// The amount to charge after `used` units; a late, lower figure changes nothing.
    pub fn progress(&mut self, used: u64) -> i64 {
        self.used = self.used.max(used);
        self.settle(self.reservation)
    }

    /// The amount to charge at the end, after `used` units in all.
    pub fn finish(&mut self, used: u64) -> i64 {
        self.used = self.used.max(used);
        self.settle(0)
    }

    fn settle(&mut self, reservation: u64) -> i64 {
        let due = i64::try_from(self.used.saturating_add(reservation)).unwrap_or(i64::MAX);
        let amount = due - self.charged;
        self.charged = due;
        amount
    }
}

/// Weight of a new cost in a learned estimate, as a shift: one eighth.
const LEARN_SHIFT: u32 = 3;

/// The learned cost of a customer's requests to a service, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    mean: Option<u64>,
}

impl Estimate {
    /// An estimate that has learned nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self { mean: None }
    }

    /// The estimate, or a prior when nothing was learned.
    #[must_use]
    pub fn get(&self, prior: u64) -> u64 {
        self.mean.unwrap_or(prior)
    }

    /// Learns the cost of a finished request.
    pub fn learn(&mut self, cost: u64) {
        self.mean = Some(match self.mean {
            None => cost,
            Some(mean) => mean - (mean >> LEARN_SHIFT) + (cost >> LEARN_SHIFT),
        });
    }
}
