//! Token usage and fair share of each customer.
//!
//! The capacity of the engines, in tokens, is shared between customers by max-min fairness over a
//! sliding window: customers that ask for less than an even share get all of it, the others get
//! the same amount each, the *level*. Each router sums the tokens asked for and granted locally
//! and reports them to its peers, so that the level is that of the whole fleet. Requests within the
//! share of their customer take precedence over requests beyond it; the latter may use less room
//! the further they are beyond the share.
//!
//! The capacity is that of [`crate::capacity`], or the tokens granted within the window if that is
//! turned off. While all demand is met there is no level, whatever the capacity.
//!
//! A customer is charged when a place is granted, because the decision on the next request depends
//! on it, and the charge is refunded when the place turns out not to be used. Without the refund, a
//! customer whose router is slow would count as over its share while others get more than theirs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::capacity::Capacity;
use crate::message::{CustomerTag, CustomerUse};
use crate::prefix::Prompt;
use crate::return_schedule::Supply;
use crate::usage::{PEER_TIMEOUT, Peer};

/// Number of parts into which the window is divided.
const WINDOW_PARTS: usize = 8;

/// Number of the newest window parts over which the pace of a customer is measured.
const PACE_PARTS: usize = WINDOW_PARTS / 2;

/// Part of the tokens of the window that is recent at an even pace.
const EVEN_PART: f64 = 0.5;

/// Pace at which a customer may use its share, relative to that of all customers: one that has asked
/// for nothing for a part of the window may still catch up.
const MAX_PACE: f64 = 1.3;

/// The pace of a customer counts unless more than one part in this many of its tokens was not used.
const UNUSED_DIVISOR: u64 = 4;

/// Age up to which a computed level is reused.
const LEVEL_MAX_AGE: Duration = Duration::from_millis(50);

/// There is contention if demand exceeds the granted tokens by more than one part in this many.
const CONTENTION_DIVISOR: u64 = 10;

/// A customer is reported if it was granted more than one part in this many of all granted tokens.
const REPORTED_DIVISOR: u64 = 64;

/// Weight of a generated token relative to a prompt token, as the platform specifies it.
const GENERATED_TOKEN_WEIGHT: u64 = 2;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tokens {
    pub(crate) asked: u64,
    pub(crate) granted: u64,
}

impl Tokens {
    pub(crate) fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.granted += other.granted;
    }
}

/// Tokens of one customer at this router, by part of the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    parts: [Tokens; WINDOW_PARTS],
    /// Granted tokens of which the place is known to be used, by part.
    used: [u64; WINDOW_PARTS],
    /// Number of the newest window part.
    newest: u64,
}

impl Account {
    /// Advances the window to a part and returns it.
    pub(crate) fn part(&mut self, number: u64) -> &mut Tokens {
        let steps = number.saturating_sub(self.newest).min(WINDOW_PARTS as u64);
        for step in 0..steps {
            self.parts[index(number - step)] = Tokens::default();
            self.used[index(number - step)] = 0;
        }
        self.newest = self.newest.max(number);
        &mut self.parts[index(number)]
    }

    /// Whether a charge lies within the window.
    fn covers(&mut self, charge: Charge, number: u64) -> bool {
        self.part(number);
        self.newest.saturating_sub(charge.part) < WINDOW_PARTS as u64
    }

    /// Refunds a charge, unless it has left the window.
    fn refund(&mut self, charge: Charge, number: u64) {
        if self.covers(charge, number) {
            let part = &mut self.parts[index(charge.part)];
            part.granted = part.granted.saturating_sub(charge.tokens);
            let used = &mut self.used[index(charge.part)];
            *used = (*used).min(part.granted);
        }
    }

    /// Records that the place of a charge is used.
    fn confirm(&mut self, charge: Charge, number: u64) {
        if self.covers(charge, number) {
            let granted = self.parts[index(charge.part)].granted;
            let used = &mut self.used[index(charge.part)];
            *used = (*used + charge.tokens).min(granted);
        }
    }

    /// Tokens granted in the newest [`PACE_PARTS`] parts, and in the whole window.
    fn pace(&mut self, number: u64) -> Pace {
        self.part(number);
        let recent = (0..PACE_PARTS as u64).map(|step| number.saturating_sub(step));
        Pace {
            recent: recent.map(|it| self.parts[index(it)].granted).sum(),
            all: self.parts.iter().map(|it| it.granted).sum(),
        }
    }

    /// Whether some places were confirmed, and more than one in [`UNUSED_DIVISOR`] was not.
    fn has_unused(&mut self, number: u64) -> bool {
        let granted = self.sum(number).granted;
        let used: u64 = self.used.iter().sum();
        used > 0 && used < granted - granted / UNUSED_DIVISOR
    }

    pub(crate) fn sum(&mut self, number: u64) -> Tokens {
        self.part(number);
        self.parts.iter().fold(Tokens::default(), |sum, it| Tokens {
            asked: sum.asked + it.asked,
            granted: sum.granted + it.granted,
        })
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is small")]
fn index(number: u64) -> usize {
    (number % WINDOW_PARTS as u64) as usize
}

/// Tokens granted in a part of the window and in all of it.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    recent: u64,
    all: u64,
}

impl Pace {
    /// Part of the tokens that is recent.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn recent_part(self) -> f64 {
        self.recent as f64 / self.all.max(1) as f64
    }

    fn with(self, other: Self) -> Self {
        Self {
            recent: self.recent + other.recent,
            all: self.all + other.all,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct PeerUsage {
    /// When it was received.
    at: Duration,
    customers: HashMap<CustomerTag, Tokens>,
}

/// Tokens charged to a customer for one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Customer that is charged.
    pub customer: CustomerTag,
    /// Number of tokens.
    pub tokens: u64,
    /// Number of the window part in which it was charged.
    part: u64,
}

/// Usage of a customer and its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Tokens granted to it by all routers within the window, or, while there is a level, those at
    /// its recent pace if these are more.
    pub granted: u64,
    /// Tokens that each customer may use; `None` while all demand is met.
    pub level: Option<u64>,
}

/// The level and what it was computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    /// Tokens that each customer may use within the window; `None` while all demand is met.
    pub tokens: Option<u64>,
    /// Tokens asked for by all customers within the window.
    pub asked: u64,
    /// Tokens granted to all customers within the window.
    pub granted: u64,
    /// Tokens that the available engines produce within the window by the configuration.
    pub configured: Option<u64>,
    /// Weight of these in the capacity, 0 to 1; less than 1 after a shortage.
    pub weight: f64,
    /// Number of customers that asked for tokens.
    pub customers: usize,
}

/// Token accounts of all customers.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Duration,
    share_capacity: bool,
    capacity: Capacity,
    own: HashMap<CustomerTag, Account>,
    peers: HashMap<Peer, PeerUsage>,
    level: Level,
    level_at: Option<Duration>,
    /// Tokens granted within the window when the level was computed.
    granted: Granted,
    /// Pace of all customers at this router at that time.
    pace: Pace,
}

/// Tokens granted to all customers within the window.
#[derive(Clone, Copy, Debug, Default)]
struct Granted {
    /// By this router.
    own: u64,
    /// By all routers.
    fleet: u64,
}

/// Tag of a customer: the low half of the hash of its name.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "a tag is the low half of the hash"
)]
pub fn tag(customer: &Arc<str>) -> CustomerTag {
    CustomerTag(xxh64(customer.as_bytes(), 0) as u32)
}

/// Tokens charged for a request: all prompt tokens once, generated tokens twice.
#[must_use]
pub fn cost(prompt: &Prompt) -> u64 {
    prompt.tokens + GENERATED_TOKEN_WEIGHT * prompt.answer_tokens
}

/// Length of a part of a window, in milliseconds.
#[expect(clippy::cast_possible_truncation, reason = "milliseconds of a window")]
fn part_length(window: Duration) -> u64 {
    (window.as_millis() as u64 / WINDOW_PARTS as u64).max(1)
}

/// Number of the part of a window at `now`.
#[expect(clippy::cast_possible_truncation, reason = "milliseconds of uptime")]
pub(crate) fn part_number(window: Duration, now: Duration) -> u64 {
    now.as_millis() as u64 / part_length(window) + WINDOW_PARTS as u64
}

impl Shares {
    /// Creates empty accounts; `window` is the period over which tokens are shared.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            share_capacity: false,
            capacity: Capacity::default(),
            own: HashMap::new(),
            peers: HashMap::new(),
            level: Level::default(),
            level_at: None,
            granted: Granted::default(),
            pace: Pace::default(),
        }
    }

    fn number(&self, now: Duration) -> u64 {
        part_number(self.window, now)
    }

    /// Whether the level is taken of the capacity rather than of the tokens granted.
    #[must_use]
    pub fn with_capacity(mut self, share_capacity: bool) -> Self {
        self.share_capacity = share_capacity;
        self
    }

    /// Sets the rate of all engines by the configuration, in tokens per second, and the number of
    /// engines that are available. A rate that no fleet can have counts as unknown.
    pub fn set_capacity(&mut self, tokens_per_second: f64, available: usize) {
        if self.share_capacity {
            self.capacity.set(tokens_per_second, available);
        }
    }

    /// Records a request within its share that was refused while all engines were saturated.
    pub fn record_shortage(&mut self, tokens: u64, now: Duration) {
        self.capacity.record_shortage(tokens, now);
    }

    /// Time that the accounts cover at `now`: the full parts of the window before the newest one,
    /// and what has passed of that.
    fn covered(&self, now: Duration) -> Duration {
        let part = part_length(self.window);
        #[expect(clippy::cast_possible_truncation, reason = "milliseconds of uptime")]
        let now_ms = now.as_millis() as u64;
        let full = self.window.saturating_sub(Duration::from_millis(part));
        let elapsed = now.saturating_sub(Duration::from_millis(now_ms / part * part));
        full + elapsed
    }

    /// Whether the next decision recomputes the level.
    #[must_use]
    pub fn is_level_due(&self, now: Duration) -> bool {
        let is_fresh = |at: Duration| now.saturating_sub(at) < LEVEL_MAX_AGE;
        !self.level_at.is_some_and(is_fresh)
    }

    /// The last computed level with its inputs.
    #[must_use]
    pub fn level(&self) -> Level {
        self.level
    }

    /// Age of that level; none before the first.
    #[must_use]
    pub fn level_age(&self, now: Duration) -> Option<Duration> {
        self.level_at.map(|at| now.saturating_sub(at))
    }

    /// Records the demand of a customer, in tokens.
    pub fn record_demand(&mut self, customer: CustomerTag, tokens: u64, now: Duration) {
        let number = self.number(now);
        self.own.entry(customer).or_default().part(number).asked += tokens;
    }

    /// Charges a customer for a place granted to one of its requests.
    pub fn charge(&mut self, customer: CustomerTag, tokens: u64, now: Duration) -> Charge {
        let part = self.number(now);
        self.own.entry(customer).or_default().part(part).granted += tokens;
        self.capacity.record_granted(tokens, now);
        Charge {
            customer,
            tokens,
            part,
        }
    }

    /// Records that the place of a charge is used.
    pub fn confirm(&mut self, charge: Charge, now: Duration) {
        let number = self.number(now);
        if let Some(account) = self.own.get_mut(&charge.customer) {
            account.confirm(charge, number);
        }
    }

    /// Refunds the charge for a place that is not used.
    pub fn refund(&mut self, charge: Charge, now: Duration) {
        let number = self.number(now);
        if let Some(account) = self.own.get_mut(&charge.customer) {
            account.refund(charge, number);
        }
    }

    /// Usage to report to peers: customers that were granted less than they asked for, and large
    /// ones. Small customers whose demand is met are left out, as they don't affect the level.
    pub fn report(&mut self, now: Duration) -> Vec<CustomerUse> {
        let number = self.number(now);
        let mut uses: Vec<_> = self
            .own
            .iter_mut()
            .map(|(tag, account)| {
                let sum = account.sum(number);
                CustomerUse {
                    tag: *tag,
                    asked: sum.asked,
                    granted: sum.granted,
                }
            })
            .collect();
        let total: u64 = uses.iter().map(|it| it.granted).sum();
        let is_reported =
            |it: &CustomerUse| it.asked > it.granted || it.granted * REPORTED_DIVISOR > total;
        uses.retain(|it| it.asked > 0 && is_reported(it));
        uses
    }

    /// Records the usage that a peer reported, which replaces its previous report.
    pub fn record_peer(&mut self, peer: Peer, uses: &[CustomerUse], now: Duration) {
        let customers = uses.iter().map(|it| {
            let tokens = Tokens {
                asked: it.asked,
                granted: it.granted,
            };
            (it.tag, tokens)
        });
        let customers = customers.collect();
        self.peers.insert(peer, PeerUsage { at: now, customers });
    }

    /// Ratio of a customer's share to its usage including `tokens` more: 1 or more within its
    /// share, less beyond it.
    pub fn share_ratio(&mut self, customer: CustomerTag, tokens: u64, now: Duration) -> f64 {
        self.refresh(now);
        let Some(level) = self.level.tokens else {
            return 1.0;
        };
        let used = self.used(customer, now) + tokens;
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let ratio = level as f64 / used.max(1) as f64;
        ratio
    }

    /// Recomputes the level if it is out of date, and drops peers that timed out.
    fn refresh(&mut self, now: Duration) {
        if !self.is_level_due(now) {
            return;
        }
        self.peers
            .retain(|_, it| now.saturating_sub(it.at) < PEER_TIMEOUT);
        self.level = self.fleet_level(now);
        self.level_at = Some(now);
    }

    /// Level of the fleet.
    fn fleet_level(&mut self, now: Duration) -> Level {
        let all = self.fleet_totals(now);
        let granted: u64 = all.iter().map(|it| it.granted).sum();
        let number = self.number(now);
        let own = self.own.values_mut().map(|it| it.sum(number).granted);
        self.granted = Granted {
            own: own.sum(),
            fleet: granted,
        };
        let paces = self.own.values_mut().map(|it| it.pace(number));
        self.pace = paces.fold(Pace::default(), Pace::with);
        let asked: u64 = all.iter().map(|it| it.asked).sum();
        // Without any grant, no engine has been seen to run, so all may use what there is.
        let contended = granted > 0 && asked > granted + granted / CONTENTION_DIVISOR;
        let covered = self.covered(now);
        let capacity = self.capacity.update(granted, covered, now);
        let customers = all.len();
        let demands = all.into_iter().map(|it| it.asked).collect();
        Level {
            tokens: contended.then(|| level(demands, capacity)).flatten(),
            asked,
            granted,
            configured: self.capacity.configured(covered),
            weight: self.capacity.weight(),
            customers,
        }
    }

    /// Current usage and limit of a customer.
    pub fn standing(&mut self, customer: CustomerTag, now: Duration) -> Standing {
        Standing {
            granted: self.used(customer, now),
            level: self.level.tokens,
        }
    }

    /// What this router can serve of a customer while there is contention. All routers together can
    /// serve `capacity` tokens per second, or what they granted if that is not known; this router's
    /// part is that of its grants and of the customer's demand here.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn supply(
        &mut self,
        customer: CustomerTag,
        capacity: Option<f64>,
        now: Duration,
    ) -> Option<Supply> {
        self.refresh(now);
        let level = self.level.tokens?;
        let number = self.number(now);
        let own = self.own.get_mut(&customer).map(|it| it.sum(number));
        let own = own.unwrap_or_default();
        let peers = self.peers.values();
        let peers = peers.filter_map(|it| it.customers.get(&customer));
        let asked = own.asked + peers.map(|it| it.asked).sum::<u64>();
        let Granted {
            own: granted,
            fleet,
        } = self.granted;
        let here = granted as f64 / fleet.max(1) as f64;
        let customer_here = own.asked as f64 / asked.max(1) as f64;
        let seconds = self.window.as_secs_f64();
        Some(Supply {
            capacity: here * capacity.unwrap_or(fleet as f64 / seconds),
            share: customer_here * level as f64 / seconds,
            demand: own.asked as f64 / seconds,
        })
    }

    /// Tokens that a customer counts as having used within the window: those granted to it, or those
    /// that it would be granted at its recent pace if these are more. Without the pace, a customer
    /// gets its share in one burst, and the next one when that leaves the window, for as long as it
    /// floods. While all demand is met there is no pace. A customer of which many places are not used has no known pace: some of its charges
    /// are refunded later.
    fn used(&mut self, customer: CustomerTag, now: Duration) -> u64 {
        let granted = self.granted(customer, now);
        if self.level.tokens.is_none() {
            return granted;
        }
        let number = self.number(now);
        let Some(account) = self.own.get_mut(&customer) else {
            return granted;
        };
        if account.has_unused(number) {
            return granted;
        }
        // Other owners report sums of the window, so they are taken to grant at the same pace.
        let part = account.pace(number).recent_part();
        let usual = self.pace.recent_part().max(EVEN_PART);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "token counts are far below 2^52"
        )]
        let at_pace = (granted as f64 * part / (usual * MAX_PACE)) as u64;
        granted.max(at_pace)
    }

    /// Tokens granted to a customer by all routers within the window.
    pub fn granted(&mut self, customer: CustomerTag, now: Duration) -> u64 {
        let number = self.number(now);
        let own = self
            .own
            .get_mut(&customer)
            .map_or(0, |it| it.sum(number).granted);
        let peers = self
            .peers
            .values()
            .filter_map(|it| it.customers.get(&customer));
        own + peers.map(|it| it.granted).sum::<u64>()
    }

    /// Sums of each customer over all routers.
    fn fleet_totals(&mut self, now: Duration) -> Vec<Tokens> {
        let number = self.number(now);
        let mut all: HashMap<CustomerTag, Tokens> = HashMap::new();
        for (tag, account) in &mut self.own {
            all.entry(*tag).or_default().add(account.sum(number));
        }
        for (tag, tokens) in self.peers.values().flat_map(|it| &it.customers) {
            all.entry(*tag).or_default().add(*tokens);
        }
        all.into_values().collect()
    }
}

/// Max-min fair level: the most that each may have, or `None` if all demands fit the capacity.
#[must_use]
pub fn level(mut demands: Vec<u64>, capacity: u64) -> Option<u64> {
    demands.sort_unstable();
    let mut remaining = capacity;
    let count = demands.len();
    for (served, demand) in demands.into_iter().enumerate() {
        let even_share = remaining / (count - served) as u64;
        if demand > even_share {
            return Some(even_share);
        }
        remaining -= demand;
    }
    None
}
