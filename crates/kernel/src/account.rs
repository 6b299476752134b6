//! Service that each customer has received, as known to this router.
//!
//! An [`Account`] belongs to one customer in one pool. Its service is the sum of
//! three parts that never overlap: the fleet's total as of the last round, what
//! this router has charged since (unsent, or sent and not yet confirmed), and
//! what this router has granted to others but not yet seen in the total
//! (provisional, dropped after two rounds). Between rounds all routers see the
//! same customer behind and would all serve it; a router therefore counts its own
//! charges since the round once for each router at which the customer waits
//! ([`Account::expected`]), until the next round reports what was actually charged.
//!
//! The order is start-time fair queueing over the fleet's service (Goyal, Vin and
//! Cheng, 1996): a customer's virtual time is its service divided by its share,
//! and the least goes first. A customer that was not reported as waiting may not use
//! idle time as credit: its rank is at least the pool's [`Book::frontier`], the
//! least virtual time among waiting customers.
//!
//! A request is charged with a reservation when it is admitted, with what it has
//! used on top of that while it runs, and with exactly what it used at its end.
//! Charges are therefore signed amounts, and their sum is what was used. The
//! reservation is a multiple of the estimated cost
//! ([`crate::settings::Settings::reserve_permille`]). It shows every router how many slots a
//! customer has, not only what it has received: slots are not preempted, so an
//! order by received service alone would give the customer that is behind far too
//! many slots, starve it afterwards, and oscillate.

use std::time::Duration;

use crate::id::{Customer, Pool};
use crate::table::Table;
use crate::time::Instant;

/// Fixed-point scale of virtual time: virtual time of one unit of service at share 1.
pub const SCALE: i64 = 1024;

/// Service of one customer in one pool, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// The fleet's total as of the last round.
    pub fleet: i64,
    /// Charged by this router and not yet sent.
    pub unsent: i64,
    /// Charged by this router, sent, and not yet confirmed.
    pub sent: i64,
    /// Granted by this router to others in this round and the one before.
    pub provisional: [i64; 2],
    /// Number of routers at which the last round reported requests of this account waiting.
    pub waiting: u32,
    /// Requests of this account waiting at this router.
    pub queued: u32,
    /// Whether one of these requests has waited for a round or longer.
    pub overdue: bool,
}

impl Account {
    /// Known service, in units: the fleet's total and the charges of this router.
    #[must_use]
    pub const fn service(&self) -> i64 {
        self.fleet + self.unsent + self.sent
    }

    /// Expected service, in units: the known service, provisional grants, and the charges of
    /// other routers since the round, taken to equal those of this router at each router
    /// where the customer waits.
    #[must_use]
    pub fn expected(&self) -> i64 {
        let routers = i64::from(self.waiting.max(1));
        let here = self.unsent + self.sent;
        self.fleet + here * routers + self.provisional[0] + self.provisional[1]
    }
}

/// Position in the fair order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub i64);

/// Position and speed of a pool's frontier as of the last round.
#[derive(Clone, Copy, Debug, Default)]
struct Frontier {
    position: Option<i64>,
    at: Instant,
    /// Virtual time per second, smoothed over about [`RATE_SMOOTHING_ROUNDS`] rounds.
    rate: i64,
}

/// Rounds over which the rate of a frontier is smoothed.
const RATE_SMOOTHING_ROUNDS: i64 = 4;

/// All accounts of a router.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// Frontiers as of the last round, by pool.
    frontiers: Vec<Frontier>,
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

    /// Adapts to the pools, customers and shares of a table.
    pub fn resize(&mut self, table: &Table) {
        self.shares = table
            .customers
            .iter()
            .map(|row| i64::from(row.share))
            .collect();
        self.rows.resize(table.pool_bound, Vec::new());
        self.waiting.resize(table.pool_bound, Vec::new());
        self.frontiers.resize(table.pool_bound, Frontier::default());
        for accounts in &mut self.rows {
            accounts.resize(self.shares.len(), Account::default());
        }
    }

    /// The account of a customer in a pool.
    #[must_use]
    pub fn get(&self, pool: Pool, customer: Customer) -> &Account {
        &self.rows[pool.row()][customer.row()]
    }

    /// Mutable access to the account of a customer in a pool.
    pub fn get_mut(&mut self, pool: Pool, customer: Customer) -> &mut Account {
        &mut self.rows[pool.row()][customer.row()]
    }

    /// Adds an amount, in units, to the unsent charges; it may be negative.
    pub fn charge(&mut self, pool: Pool, customer: Customer, units: i64) {
        self.get_mut(pool, customer).unsent += units;
    }

    /// Every account with its pool and customer.
    pub fn all(&self) -> impl Iterator<Item = (Pool, Customer, &Account)> {
        self.rows.iter().enumerate().flat_map(|(pool, accounts)| {
            accounts
                .iter()
                .enumerate()
                .map(move |(customer, account)| (Pool::new(pool), Customer::new(customer), account))
        })
    }

    /// Every account with its pool and customer, mutably.
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

    /// Virtual time of a customer in a pool by its expected service, in units per share times
    /// [`SCALE`].
    #[must_use]
    pub fn virtual_time(&self, pool: Pool, customer: Customer) -> i64 {
        let service = self.get(pool, customer).expected();
        service.saturating_mul(SCALE) / self.shares[customer.row()]
    }

    /// How far a customer is ahead of the waiting customers by known service alone, in virtual
    /// time; zero when no customer is reported waiting.
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

    /// Least virtual time among the customers reported waiting in a pool.
    #[must_use]
    pub fn frontier(&self, pool: Pool) -> Option<i64> {
        self.waiting[pool.row()]
            .iter()
            .map(|customer| self.virtual_time(pool, *customer))
            .min()
    }

    /// Greatest virtual time among the customers reported waiting in a pool.
    #[must_use]
    pub fn max_virtual_time(&self, pool: Pool) -> Option<i64> {
        self.waiting[pool.row()]
            .iter()
            .map(|customer| self.virtual_time(pool, *customer))
            .max()
    }

    /// Customers that the last round reported waiting in a pool.
    #[must_use]
    pub fn waiting(&self, pool: Pool) -> &[Customer] {
        &self.waiting[pool.row()]
    }

    /// Rank of a customer in the fair order of a pool.
    #[must_use]
    pub fn rank(&self, pool: Pool, customer: Customer) -> Rank {
        let own = self.virtual_time(pool, customer);
        if self.get(pool, customer).waiting > 0 {
            return Rank(own);
        }
        Rank(self.frontier(pool).map_or(own, |least| own.max(least)))
    }

    /// Clears the customers reported waiting.
    pub fn clear_waiting(&mut self) {
        for (pool, customers) in self.waiting.iter_mut().enumerate() {
            for customer in customers.drain(..) {
                self.rows[pool][customer.row()].waiting = 0;
            }
        }
    }

    /// Sets the number of routers at which a customer was reported waiting.
    pub fn set_waiting(&mut self, pool: Pool, customer: Customer, routers: u32) {
        let account = &mut self.rows[pool.row()][customer.row()];
        if account.waiting == 0 && routers > 0 {
            self.waiting[pool.row()].push(customer);
        }
        account.waiting = routers;
    }

    /// Records the positions of the frontiers after a round, and updates their rates.
    pub fn note_round(&mut self, now: Instant) {
        for row in 0..self.frontiers.len() {
            let position = self.frontier(Pool::new(row));
            let frontier = &mut self.frontiers[row];
            if let (Some(before), Some(after)) = (frontier.position, position) {
                let micros = i64::try_from(now.since(frontier.at).as_micros()).unwrap_or(i64::MAX);
                let moved = (after - before).max(0).saturating_mul(1_000_000);
                let rate = moved / micros.max(1);
                frontier.rate += (rate - frontier.rate) / RATE_SMOOTHING_ROUNDS;
            }
            frontier.position = position;
            frontier.at = now;
        }
    }

    /// Distance by which a pool's frontier moves within a time span, in virtual time.
    #[must_use]
    pub fn advance(&self, pool: Pool, span: Duration) -> i64 {
        let millis = i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
        self.frontiers[pool.row()].rate.saturating_mul(millis) / 1_000
    }

    /// Ages provisional grants by one round, dropping those of the round before the last.
    pub fn age_provisional(&mut self) {
        for (_, _, account) in self.all_mut() {
            account.provisional = [0, account.provisional[0]];
        }
    }
}

/// Charges of one running request.
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

    /// The amount to charge after `used` units; a lower figure that arrives late has no effect.
    pub fn progress(&mut self, used: u64) -> i64 {
        self.used = self.used.max(used);
        self.settle(self.reservation)
    }

    /// The amount to charge at the end, after `used` units in total.
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

/// Weight of a new cost in an estimate, as a right shift: one eighth.
const LEARN_SHIFT: u32 = 3;

/// Moving average of the cost of a customer's requests to a service, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    mean: Option<u64>,
}

impl Estimate {
    /// An estimate without samples.
    #[must_use]
    pub const fn new() -> Self {
        Self { mean: None }
    }

    /// The estimate, or `prior` when there are no samples.
    #[must_use]
    pub fn get(&self, prior: u64) -> u64 {
        self.mean.unwrap_or(prior)
    }

    /// Adds the cost of a finished request to the average.
    pub fn learn(&mut self, cost: u64) {
        self.mean = Some(match self.mean {
            None => cost,
            Some(mean) => mean - (mean >> LEARN_SHIFT) + (cost >> LEARN_SHIFT),
        });
    }
}
