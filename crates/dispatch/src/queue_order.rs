//! Order of the requests that wait at an owner, and fairness between a customer's kinds of request.
//!
//! Load: a customer asks for more than its share with prompts of several lengths. Short prompts
//! find room more often than long ones, so that nearly all long prompts are refused while the
//! others are served. Clients of each kind are to get about the same part of what they ask for.
//!
//! The queue is served in this order: requests within their customer's share, then first attempts
//! before retries, then by arrival. The places of one customer in this order are given to its kinds
//! by service, the part of the asked tokens that was granted in the window: the kind that is served
//! worst is next, and a place counts as service at once (deficit round robin). While all kinds of a
//! customer are served, the order is that of arrival.
//!
//! Order alone does not suffice: long prompts need more room than the others leave. So the kinds
//! that are served better than the worst one may use only a part of the capacity.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::message::CustomerTag;
use crate::share::{Account, Tokens, part_number};

/// Service from which on a kind counts as fully served: a tenth of the requests may be refused by
/// chance.
const FULL_SERVICE: f64 = 0.9;

/// Difference in service between two kinds that is tolerated, 0 to 1. Clients of the worst kind are
/// to be served within 0.15 of the customer's mean, which a gap of 0.15 does not reach on drawn
/// loads.
const MAX_GAP: f64 = 0.1;

/// Requests of each kind that are counted as served in addition, so that the refusal of a single
/// request is no sign of bad service.
const PRIOR_REQUESTS: u64 = 4;

/// Smallest part of the capacity of a kind that is served better than others.
const MIN_PART: f64 = 0.2;

/// Largest number of kinds of one customer that are told apart: more than a platform has routes to
/// engines. Bounds the memory and time that tags in messages can take.
const MAX_KINDS: usize = 16;

/// Short identity of a route, which is the kind of a request, in messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteTag(pub u32);

impl RouteTag {
    /// Tag of a route's name.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a tag is the low half of the hash"
    )]
    pub fn new(route: &str) -> Self {
        Self(xxh64(route.as_bytes(), 0) as u32)
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Customer, if any.
    pub customer: Option<CustomerTag>,
    /// Its kind.
    pub route: RouteTag,
    /// Tokens charged for it.
    pub cost: u64,
    /// Whether it is within its customer's share.
    pub within_share: bool,
    /// Whether it is the retry of a refused request.
    pub is_retry: bool,
    /// When it arrived.
    pub arrived: Duration,
}

impl Entry {
    fn class(&self) -> (bool, bool) {
        (!self.within_share, self.is_retry)
    }
}

/// Tokens of a kind of request that left the queue.
#[derive(Clone, Debug)]
struct Kind {
    route: RouteTag,
    /// `asked` are the tokens granted and refused.
    account: Account,
    /// Tokens of its last request.
    cost: u64,
}

impl Kind {
    fn service(&mut self, number: u64) -> Service {
        let sum = self.account.sum(number);
        let prior = PRIOR_REQUESTS * self.cost;
        Service {
            asked: sum.asked + prior,
            granted: sum.granted + prior,
        }
    }
}

/// Service that a kind has received.
#[derive(Clone, Copy, Debug)]
struct Service {
    asked: u64,
    granted: u64,
}

impl Service {
    /// Part of the asked tokens that was granted, 0 to 1.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn ratio(self) -> f64 {
        let ratio = self.granted as f64 / self.asked.max(1) as f64;
        if ratio >= FULL_SERVICE { 1.0 } else { ratio }
    }
}

/// Service received by each customer's kinds of request at this owner within the window.
#[derive(Clone, Debug)]
pub struct Kinds {
    window: Duration,
    customers: HashMap<CustomerTag, Vec<Kind>>,
    /// Decisions in which a kind could use only a part of the capacity, since they were last taken.
    reduced: u64,
}

impl Kinds {
    /// Creates empty accounts; `window` is the period over which service is compared.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            customers: HashMap::new(),
            reduced: 0,
        }
    }

    /// Records a place granted to a customer's request.
    pub fn record_granted(
        &mut self,
        customer: CustomerTag,
        route: RouteTag,
        cost: u64,
        now: Duration,
    ) {
        let tokens = Tokens {
            asked: cost,
            granted: cost,
        };
        self.record(customer, route, tokens, now);
    }

    /// Records a customer's request that left the queue without a place while all engines were saturated.
    pub fn record_refused(
        &mut self,
        customer: CustomerTag,
        route: RouteTag,
        cost: u64,
        now: Duration,
    ) {
        let tokens = Tokens {
            asked: cost,
            granted: 0,
        };
        self.record(customer, route, tokens, now);
    }

    fn record(&mut self, customer: CustomerTag, route: RouteTag, tokens: Tokens, now: Duration) {
        let number = part_number(self.window, now);
        let kinds = self.customers.entry(customer).or_default();
        if !kinds.iter().any(|it| it.route == route) && kinds.len() < MAX_KINDS {
            kinds.push(Kind {
                route,
                account: Account::default(),
                cost: 0,
            });
        }
        let Some(kind) = kinds.iter_mut().find(|it| it.route == route) else {
            return;
        };
        kind.cost = tokens.asked;
        kind.account.part(number).add(tokens);
    }

    /// Removes kinds without requests within the window.
    pub fn prune(&mut self, now: Duration) {
        let number = part_number(self.window, now);
        self.customers.retain(|_, kinds| {
            kinds.retain_mut(|it| it.account.sum(number).asked > 0);
            !kinds.is_empty()
        });
    }

    /// Part of the capacity that a customer's request of a kind may use, 0 to 1: less than all if
    /// another kind of the customer is served worse.
    #[must_use]
    pub fn capacity_part(&mut self, customer: CustomerTag, route: RouteTag, now: Duration) -> f64 {
        let number = part_number(self.window, now);
        let Some(kinds) = self.customers.get_mut(&customer) else {
            return 1.0;
        };
        let mut own = 1.0;
        let mut worst: f64 = 1.0;
        for kind in kinds {
            let ratio = kind.service(number).ratio();
            worst = worst.min(ratio);
            if kind.route == route {
                own = ratio;
            }
        }
        let part = (worst + MAX_GAP) / own;
        self.reduced += u64::from(part < 1.0);
        // Squared, as the part beyond a share: short prompts need little room.
        (part * part).clamp(MIN_PART, 1.0)
    }

    /// Number of decisions since the last call in which a kind could use only a part of the
    /// capacity.
    pub fn take_reduced(&mut self) -> u64 {
        std::mem::take(&mut self.reduced)
    }

    /// Order in which waiting requests are served: indices of `entries`.
    #[must_use]
    pub fn order(&mut self, entries: &[Entry], now: Duration) -> Vec<usize> {
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.sort_by_key(|it| (entries[*it].class(), entries[*it].arrived));
        let mut groups: HashMap<(CustomerTag, (bool, bool)), Vec<usize>> = HashMap::new();
        for (position, index) in order.iter().enumerate() {
            let entry = &entries[*index];
            if let Some(customer) = entry.customer {
                let group = groups.entry((customer, entry.class())).or_default();
                group.push(position);
            }
        }
        for ((customer, _), positions) in groups {
            let waiting = positions.iter().map(|it| order[*it]).collect();
            let served = self.by_service(customer, entries, waiting, now);
            for (position, index) in positions.into_iter().zip(served) {
                order[position] = index;
            }
        }
        order
    }

    /// One customer's requests, which are in order of arrival, in order of their kinds' service.
    fn by_service(
        &mut self,
        customer: CustomerTag,
        entries: &[Entry],
        waiting: Vec<usize>,
        now: Duration,
    ) -> Vec<usize> {
        let number = part_number(self.window, now);
        let mut services: HashMap<RouteTag, Service> = HashMap::new();
        for kind in self.customers.get_mut(&customer).into_iter().flatten() {
            services.insert(kind.route, kind.service(number));
        }
        if services.values().all(|it| it.ratio() >= 1.0) {
            return waiting;
        }
        let unknown = Service {
            asked: 1,
            granted: 1,
        };
        let mut remaining = waiting;
        let mut served = Vec::with_capacity(remaining.len());
        while !remaining.is_empty() {
            let ratio = |index: &usize| {
                let service = services.get(&entries[*index].route);
                service.copied().unwrap_or(unknown).ratio()
            };
            // The first of equal ones, which arrived first.
            let next = (0..remaining.len())
                .min_by(|a, b| ratio(&remaining[*a]).total_cmp(&ratio(&remaining[*b])))
                .unwrap_or_default();
            let index = remaining.remove(next);
            let service = services.entry(entries[index].route).or_insert(unknown);
            service.asked += entries[index].cost;
            service.granted += entries[index].cost;
            served.push(index);
        }
        served
    }
}
