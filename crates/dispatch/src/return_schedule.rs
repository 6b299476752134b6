//! Times at which refused requests return, assigned by the owner of their cell.
//!
//! Addresses floods: for some seconds a few customers send 5 to 14 times their usual load, and each
//! client has one retry. If all of them return after one objective, they meet the flood in which
//! they were refused, and most are refused twice, which is worth nothing to them. With the schedule,
//! part of them return when they can be served during the flood, and the others so late that it may
//! be over (see `tests/return_load.rs` and `docs/design/return-schedule.md`).
//!
//! The owner keeps a schedule of tokens in slots of [`SLOT`]. A refused request books tokens of its
//! customer in the first slots that have some left, and returns when its tokens are complete. A
//! client that returns then is served before its customer's first attempts beyond the share. One
//! that returns early keeps its time and is treated as any retry. A request that finds too few
//! tokens within `BOOKING_SPAN` books nothing and gets its longest time.
//!
//! In a slot, a customer can book a part (`RETURN_RATIO`) of the rate at which it is served, or all
//! that it leaves of its share, at most an even share between the customers that return, and all
//! customers together at most what the cells of this owner are served.
//!
//! A request books when it is queued, because its router receives the time together with the state of
//! the queue. It gives the tokens back when it gets a place. The schedule is lost with its owner;
//! the next one assigns new times to the requests that it refuses.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::content::ContentTag;
use crate::message::CustomerTag;
use crate::share;

/// Length of a slot: less than half of the shortest objective of a streaming route, so that a client
/// served at the end of its slot is still within its objective from its time.
pub const SLOT: Duration = Duration::from_millis(100);

/// Part of a customer's rate that its returns can book while it is beyond its share. A return is
/// late, which is worth about 0.3 of the first attempt in time that would be served instead. In the
/// load test, clients get 0.750 of the worth that they asked for with 0.2, and 0.724 with a fixed
/// time of one objective. With 0.5 they get 0.748, and long prompts 0.679 instead of 0.704.
const RETURN_RATIO: f64 = 0.2;

/// Time within which tokens can be booked. Requests with long deadlines can return after the flood,
/// so they leave the coming slots to those with short ones. Without this limit, requests with a
/// deadline of 3 s get 0.731 of their worth in the load test, with it 0.754.
const BOOKING_SPAN: Duration = Duration::from_millis(500);

/// Clients honour a `Retry-After` of up to this part of their remaining time.
const HONOURED_DIVISOR: u32 = 3;

/// Time by which a client's remaining time may be shorter than its router knows: the round trip, the
/// rounding of `Retry-After` to 10 ms, and an event loop that is late.
const HONOURED_MARGIN: Duration = Duration::from_millis(50);

/// Shortest delay: the round trip to a client, which can't return sooner, and the rounding of
/// `Retry-After`.
pub const CLIENT_ROUND_TRIP: Duration = Duration::from_millis(20);

/// Time by which a client may be ahead of its assigned time: `Retry-After` is rounded, and timers
/// of clients and routers differ by some milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(30);

/// Time after its assigned time for which a client still counts as on time: a new connection to
/// a router that is late takes some hundred milliseconds.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// Longest time ahead that is assigned: a third of a deadline of 30 s. Bounds the slots.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of requests with a time, of some 150 bytes each: what an owner refuses in 5 s at
/// 1,600 a second. Requests beyond it get no time.
const MAX_ENTRIES: usize = 8_192;

/// A request that may be refused.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its content.
    pub content: ContentTag,
    /// Customer that is charged for it.
    pub customer: CustomerTag,
    /// Tokens that are charged.
    pub cost: u64,
    /// Objective for the time to its first event.
    pub objective: Duration,
    /// When it is refused if it gets no place.
    pub refused_at: Duration,
    /// When its client stops waiting for the answer.
    pub expiry: Duration,
}

/// What the owner can serve while there is contention, in tokens per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Of all customers.
    pub capacity: f64,
    /// Share of the request's customer.
    pub share: f64,
    /// Demand of the request's customer.
    pub demand: f64,
}

impl Supply {
    /// Tokens per second that the customer's returns can book.
    fn returns(&self) -> f64 {
        (self.share - self.demand).max(self.share * RETURN_RATIO)
    }
}

/// How a request that arrives relates to the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has no time.
    Unscheduled,
    /// Before its time.
    Early,
    /// At its time.
    Kept {
        /// Whether it has booked tokens.
        booked: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It is queued and may get a place.
    Queued,
    /// It got a place.
    Placed,
    /// It was refused.
    Refused,
    /// It returned on time.
    Returned { booked: bool },
    /// It returned on time, and is queued with another time.
    Again { booked: bool },
}

/// Tokens booked in one slot.
#[derive(Clone, Copy, Debug)]
struct Booking {
    slot: u64,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    customer: CustomerTag,
    at: Duration,
    bookings: Vec<Booking>,
    stage: Stage,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    total: u64,
    customers: HashMap<CustomerTag, u64>,
}

/// Numbers since the last summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Refused requests that booked tokens.
    pub assigned: u64,
    /// Refused requests that got the longest time without tokens.
    pub longest: u64,
    /// Returns at their time with booked tokens.
    pub kept: u64,
    /// Returns at their longest time, without tokens.
    pub kept_longest: u64,
    /// Returns before their time.
    pub early: u64,
    /// Returns with booked tokens that were refused again.
    pub refused_twice: u64,
    /// Returns without tokens that were refused again.
    pub refused_longest: u64,
    /// Requests that got no time because the schedule was full.
    pub overflowed: u64,
    /// Requests with a time.
    pub entries: usize,
    /// Tokens booked in coming slots.
    pub booked: u64,
}

/// Schedule of the requests that this owner refused.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    entries: HashMap<ContentTag, Entry>,
    slots: BTreeMap<u64, Slot>,
    /// Tokens booked in all slots.
    booked: HashMap<CustomerTag, u64>,
    summary: Summary,
}

impl Schedule {
    /// Assigns the time at which a request may return if it is refused; none without contention or
    /// if the schedule is full. The same request gets the same time again until that has passed.
    pub fn assign(
        &mut self,
        request: &Request,
        supply: Option<&Supply>,
        now: Duration,
    ) -> Option<Duration> {
        let known = self.entries.get(&request.content);
        let repeated = known.map(|it| it.stage);
        if let Some(it) =
            known.filter(|it| !matches!(it.stage, Stage::Returned { .. }) && now < it.at)
        {
            return Some(it.at);
        }
        let supply = supply?;
        if known.is_none() && self.entries.len() >= MAX_ENTRIES {
            self.summary.overflowed += 1;
            return None;
        }
        self.free(request.content);
        let refused_at = request.refused_at.max(now);
        let (earliest, longest) = bounds(request, refused_at);
        // A client that has returned once may not return again, and would leave its tokens unused.
        let bookings = match repeated {
            None | Some(Stage::Queued | Stage::Placed) => {
                self.book(request, supply, earliest, longest)
            }
            Some(Stage::Refused | Stage::Returned { .. } | Stage::Again { .. }) => Vec::new(),
        };
        let capacity = per_slot(supply.capacity);
        let at = bookings.last().map_or(longest, |it| {
            self.time_in(it.slot, capacity).clamp(earliest, longest)
        });
        let entry = Entry {
            customer: request.customer,
            at,
            bookings,
            stage: match repeated {
                Some(Stage::Returned { booked } | Stage::Again { booked }) => {
                    Stage::Again { booked }
                }
                None | Some(Stage::Queued | Stage::Placed | Stage::Refused) => Stage::Queued,
            },
        };
        self.entries.insert(request.content, entry);
        Some(at)
    }

    /// Books the tokens of a request in the first slots that have some left; none if they are not
    /// complete in time.
    fn book(
        &mut self,
        request: &Request,
        supply: &Supply,
        earliest: Duration,
        longest: Duration,
    ) -> Vec<Booking> {
        let capacity = per_slot(supply.capacity);
        let limit = per_slot(supply.returns()).min(self.even_share(request.customer, capacity));
        let last = number(longest.min(earliest + BOOKING_SPAN));
        let mut left = request.cost;
        let mut bookings = Vec::new();
        for slot in number(earliest)..=last {
            if left == 0 {
                break;
            }
            let room = self.room(slot, request.customer, limit, capacity);
            let tokens = room.min(left);
            if tokens > 0 {
                bookings.push(Booking { slot, tokens });
                left -= tokens;
            }
        }
        if left > 0 {
            return Vec::new();
        }
        for it in &bookings {
            let slot = self.slots.entry(it.slot).or_default();
            slot.total += it.tokens;
            *self.booked.entry(request.customer).or_default() += it.tokens;
            *slot.customers.entry(request.customer).or_default() += it.tokens;
        }
        bookings
    }

    /// Max-min fair share of a slot between the customers that return.
    fn even_share(&self, customer: CustomerTag, capacity: u64) -> u64 {
        let slots = (self.slots.len() as u64).max(1);
        let others = self.booked.iter().filter(|(tag, _)| **tag != customer);
        let mut demands: Vec<_> = others.map(|(_, tokens)| tokens / slots).collect();
        demands.push(u64::MAX);
        share::level(demands, capacity).unwrap_or(capacity)
    }

    /// Time within a slot, by the tokens booked in it: so its clients do not return all at once.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn time_in(&self, slot: u64, capacity: u64) -> Duration {
        let booked = self.slots.get(&slot).map_or(0, |it| it.total);
        let part = booked as f64 / capacity.max(1) as f64;
        start(slot) + SLOT.mul_f64(part.min(1.0))
    }

    fn room(&self, slot: u64, customer: CustomerTag, limit: u64, capacity: u64) -> u64 {
        let Some(slot) = self.slots.get(&slot) else {
            return limit.min(capacity);
        };
        let own = slot.customers.get(&customer).copied().unwrap_or_default();
        let room = limit.saturating_sub(own);
        room.min(capacity.saturating_sub(slot.total))
    }

    /// Gives back the tokens that a request has booked.
    fn free(&mut self, content: ContentTag) {
        let Some(entry) = self.entries.get_mut(&content) else {
            return;
        };
        for it in std::mem::take(&mut entry.bookings) {
            let Some(slot) = self.slots.get_mut(&it.slot) else {
                continue;
            };
            slot.total = slot.total.saturating_sub(it.tokens);
            if let Some(own) = slot.customers.get_mut(&entry.customer) {
                *own = own.saturating_sub(it.tokens);
            }
            subtract(&mut self.booked, entry.customer, it.tokens);
        }
    }

    /// Whether a request with this content was refused and has a time.
    #[must_use]
    pub fn contains(&self, content: ContentTag) -> bool {
        let entry = self.entries.get(&content);
        entry.is_some_and(|it| {
            matches!(
                it.stage,
                Stage::Refused | Stage::Returned { .. } | Stage::Again { .. }
            )
        })
    }

    /// Whether a request has booked tokens.
    #[must_use]
    pub fn has_booked(&self, content: ContentTag) -> bool {
        let entry = self.entries.get(&content);
        entry.is_some_and(|it| !it.bookings.is_empty())
    }

    /// Records the arrival of a request, once per attempt.
    pub fn arrive(&mut self, content: ContentTag, now: Duration) -> Arrival {
        let Some(entry) = self.entries.get_mut(&content) else {
            return Arrival::Unscheduled;
        };
        if entry.stage != Stage::Refused || now > entry.at + LATE_TOLERANCE {
            return Arrival::Unscheduled;
        }
        if now + EARLY_TOLERANCE < entry.at {
            self.summary.early += 1;
            return Arrival::Early;
        }
        let booked = !entry.bookings.is_empty();
        entry.stage = Stage::Returned { booked };
        if booked {
            self.summary.kept += 1;
        } else {
            self.summary.kept_longest += 1;
        }
        Arrival::Kept { booked }
    }

    /// Records that a request got a place, and gives its tokens back. Its time is kept, as the place
    /// may come too late.
    pub fn place(&mut self, content: ContentTag) {
        self.free(content);
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.stage = Stage::Placed;
        }
    }

    /// Records that a request was refused.
    pub fn refuse(&mut self, content: ContentTag) {
        let Some(entry) = self.entries.get_mut(&content) else {
            return;
        };
        match (entry.stage, entry.bookings.is_empty()) {
            (Stage::Queued, false) => self.summary.assigned += 1,
            (Stage::Queued | Stage::Placed, _) => self.summary.longest += 1,
            (Stage::Returned { booked } | Stage::Again { booked }, _) => {
                self.summary.refused_twice += u64::from(booked);
                self.summary.refused_longest += u64::from(!booked);
            }
            (Stage::Refused, _) => {}
        }
        entry.stage = Stage::Refused;
    }

    /// Removes past slots and requests whose time has passed.
    pub fn prune(&mut self, now: Duration) {
        self.entries.retain(|_, it| now <= it.at + LATE_TOLERANCE);
        let coming = self.slots.split_off(&number(now));
        let past = std::mem::replace(&mut self.slots, coming);
        for (customer, tokens) in past.into_values().flat_map(|it| it.customers) {
            subtract(&mut self.booked, customer, tokens);
        }
    }

    /// Tokens booked in the slot at `at`, by all customers.
    #[must_use]
    pub fn booked(&self, at: Duration) -> u64 {
        self.slots.get(&number(at)).map_or(0, |it| it.total)
    }

    /// Numbers since the last call.
    pub fn take_summary(&mut self) -> Summary {
        let summary = std::mem::take(&mut self.summary);
        Summary {
            entries: self.entries.len(),
            booked: self.booked.values().sum(),
            ..summary
        }
    }
}

fn subtract(booked: &mut HashMap<CustomerTag, u64>, customer: CustomerTag, tokens: u64) {
    let Some(sum) = booked.get_mut(&customer) else {
        return;
    };
    *sum = sum.saturating_sub(tokens);
    if *sum == 0 {
        booked.remove(&customer);
    }
}

/// Longest delay that a client honours which then has `remaining` time, and that leaves the time of
/// its objective.
#[must_use]
pub fn longest_delay(remaining: Duration, objective: Duration) -> Duration {
    let honoured = remaining.saturating_sub(HONOURED_MARGIN) / HONOURED_DIVISOR;
    honoured
        .min(remaining.saturating_sub(objective))
        .min(MAX_DELAY)
}

/// Earliest and longest time at which a request that is refused at `refused_at` may return.
fn bounds(request: &Request, refused_at: Duration) -> (Duration, Duration) {
    let remaining = request.expiry.saturating_sub(refused_at);
    let longest = longest_delay(remaining, request.objective).max(CLIENT_ROUND_TRIP);
    (refused_at + CLIENT_ROUND_TRIP, refused_at + longest)
}

/// Number of the slot at a time.
#[expect(clippy::cast_possible_truncation, reason = "milliseconds of uptime")]
fn number(at: Duration) -> u64 {
    (at.as_millis() / SLOT.as_millis()) as u64
}

/// Start of a slot.
#[expect(clippy::cast_possible_truncation, reason = "a small constant")]
fn start(slot: u64) -> Duration {
    Duration::from_millis(slot.saturating_mul(SLOT.as_millis() as u64))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is positive and finite"
)]
fn per_slot(tokens_per_second: f64) -> u64 {
    (tokens_per_second * SLOT.as_secs_f64()) as u64
}
