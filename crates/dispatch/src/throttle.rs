//! Adaptive throttling of customers beyond their share, at the router that received their requests.
//!
//! For a customer far beyond its share, owners refuse most requests, and each costs datagrams and
//! time at the owner and a wait of the client. The entry router refuses a part of them itself, by
//! the ratio of requests to grants in the last `WINDOW`: with probability
//! (asked - K x granted) / (asked + 1). About K times the requests that owners grant still reach
//! them, so that grants increase as soon as there is room. The ratio is kept per customer and cell,
//! because cells differ in load: a flood in one says nothing about grants in another.
//!
//! Invariants: a customer is throttled only while its last known standing is younger than
//! [`MAX_STANDING_AGE`] and a quarter over its level. Demand refused here is kept and counted at the
//! owner with the customer's next request to any cell; otherwise it would look as if the demand were
//! met, and the level would be wrong. It is dropped at the age at which the owner would have dropped
//! it, the window of shares.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::cell::Cell;
use crate::message::{CustomerTag, MAX_TOKENS};
use crate::share::Standing;

/// Time over which requests and grants are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Number of parts of the window.
const WINDOW_PARTS: usize = 8;

/// Age up to which a standing is used: a quarter of the window of shares, after which a customer
/// may be within its level again.
pub const MAX_STANDING_AGE: Duration = Duration::from_secs(1);

/// A customer is throttled if its usage exceeds its level by more than one part in this many: usage
/// close to the level varies with single requests.
const EXCESS_DIVISOR: u64 = 4;

/// Time without requests after which the counts of a customer and a cell are removed.
const RETENTION: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    granted: u32,
}

/// Requests of one customer to one cell.
#[derive(Clone, Debug, Default)]
struct Ratio {
    parts: [Counts; WINDOW_PARTS],
    /// Number of the newest part.
    newest: u64,
    used_at: Duration,
}

impl Ratio {
    fn part(&mut self, now: Duration) -> &mut Counts {
        let number = part_number(now);
        let steps = number.saturating_sub(self.newest).min(WINDOW_PARTS as u64);
        for step in 0..steps {
            self.parts[index(number - step)] = Counts::default();
        }
        self.newest = self.newest.max(number);
        self.used_at = now;
        &mut self.parts[index(self.newest)]
    }

    fn sum(&mut self, now: Duration) -> Counts {
        self.part(now);
        let mut sum = Counts::default();
        for part in &self.parts {
            sum.asked += part.asked;
            sum.granted += part.granted;
        }
        sum
    }
}

/// Tokens of refused requests that no owner has counted yet, by the time of refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withheld {
    /// Tokens by [`part_number`], which bounds the number of entries.
    parts: BTreeMap<u64, u64>,
}

impl Withheld {
    /// Sum of the tokens, at most `MAX_TOKENS`.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        let sum = self.parts.values().copied().fold(0, u64::saturating_add);
        sum.min(MAX_TOKENS)
    }

    fn add(&mut self, part: u64, tokens: u64) {
        let sum = self.parts.entry(part).or_default();
        *sum = sum.saturating_add(tokens);
    }

    /// Removes the tokens of parts that began at least `window` ago.
    fn expire(&mut self, window: Duration, now: Duration) {
        if let Some(oldest) = now.checked_sub(window) {
            self.parts = self.parts.split_off(&(part_number(oldest) + 1));
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    ratios: HashMap<Cell, Ratio>,
    standing: Option<(Standing, Duration)>,
    withheld: Withheld,
}

impl Account {
    /// The last known standing and its age, if the customer is over its level.
    fn excess(&self, now: Duration) -> Option<Throttled> {
        let (standing, at) = self.standing?;
        let age = now.saturating_sub(at);
        let level = standing.level?;
        let limit = level.saturating_add(level / EXCESS_DIVISOR);
        let over = age < MAX_STANDING_AGE && standing.granted > limit;
        over.then_some(Throttled { standing, age })
    }
}

#[expect(clippy::cast_possible_truncation, reason = "milliseconds of uptime")]
fn part_number(now: Duration) -> u64 {
    let part = WINDOW.as_millis() as u64 / WINDOW_PARTS as u64;
    now.as_millis() as u64 / part + WINDOW_PARTS as u64
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is small")]
fn index(number: u64) -> usize {
    (number % WINDOW_PARTS as u64) as usize
}

/// A request that is refused without asking an owner, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttled {
    /// The customer's last known standing.
    pub standing: Standing,
    /// Age of that standing.
    pub age: Duration,
}

/// Requests and grants of the customers at one router.
#[derive(Clone, Debug)]
pub struct Throttle {
    /// Requests that may be sent per grant; 0 turns the throttle off.
    ratio: f64,
    /// Age at which withheld tokens are dropped.
    share_window: Duration,
    accounts: HashMap<CustomerTag, Account>,
}

impl Throttle {
    /// Creates a throttle that sends `ratio` times as many requests as owners grant; 0 turns it
    /// off. `share_window` is the time for which owners count demand.
    #[must_use]
    pub fn new(ratio: f64, share_window: Duration) -> Self {
        Self {
            ratio,
            share_window,
            accounts: HashMap::new(),
        }
    }

    /// Decides on a request of `cost` tokens to a cell; `draw` is random, uniform from 0 up to 1.
    /// `None` if it is sent to the cell's owner, which counts it as sent.
    pub fn decide(
        &mut self,
        customer: CustomerTag,
        cell: Cell,
        cost: u64,
        draw: f64,
        now: Duration,
    ) -> Option<Throttled> {
        if self.ratio <= 0.0 {
            return None;
        }
        let account = self.accounts.entry(customer).or_default();
        let excess = account.excess(now);
        let ratio = account.ratios.entry(cell).or_default();
        let counts = ratio.sum(now);
        let asked = f64::from(counts.asked);
        let probability = (asked - self.ratio * f64::from(counts.granted)) / (asked + 1.0);
        let throttled = excess.filter(|_| draw < probability);
        if throttled.is_some() {
            account.withheld.expire(self.share_window, now);
            account.withheld.add(part_number(now), cost);
        } else {
            ratio.part(now).asked += 1;
        }
        throttled
    }

    /// Records that the owner of a cell granted a request.
    pub fn record_grant(&mut self, customer: CustomerTag, cell: Cell, now: Duration) {
        let account = self.accounts.get_mut(&customer);
        if let Some(ratio) = account.and_then(|it| it.ratios.get_mut(&cell)) {
            ratio.part(now).granted += 1;
        }
    }

    /// Records the standing of a customer as an owner has reported it.
    pub fn record_standing(&mut self, customer: CustomerTag, standing: Standing, now: Duration) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.standing = Some((standing, now));
        }
    }

    /// Takes the tokens that were refused here since the last call and within the window of shares,
    /// to be counted as demand by the owner of the customer's next request.
    pub fn take_withheld(&mut self, customer: CustomerTag, now: Duration) -> Withheld {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return Withheld::default();
        };
        account.withheld.expire(self.share_window, now);
        std::mem::take(&mut account.withheld)
    }

    /// Takes back tokens whose request no owner has answered. They keep their age.
    pub fn return_withheld(&mut self, customer: CustomerTag, withheld: Withheld) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            for (part, tokens) in withheld.parts {
                account.withheld.add(part, tokens);
            }
        }
    }

    /// Removes customers and cells without requests.
    pub fn prune(&mut self, now: Duration) {
        self.accounts.retain(|_, account| {
            let ratios = &mut account.ratios;
            ratios.retain(|_, it| now.saturating_sub(it.used_at) < RETENTION);
            !ratios.is_empty()
        });
    }
}
