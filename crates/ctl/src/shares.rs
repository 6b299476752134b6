//! Demand and service of customers, from the lines of routers' logs.
//!
//! Each attempt of a client counts: its tokens are demand in the second in which it arrived, and
//! service in the second in which it was first sent to a target. A customer waits in a second if an
//! attempt of it is refused in that second, or is past its objective and has no first event.
//!
//! While a customer waits in each second of a period, it is due the lesser of its demand and the
//! service of the best served customer, second by second. The largest requests are deducted,
//! because a request cannot be served in part.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::line::Line;

/// Requests of a customer that are deducted from what it is due in a period.
const DEDUCTED_REQUESTS: u64 = 3;

/// One second of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Tokens of attempts that arrived.
    pub asked: u64,
    /// Tokens of attempts that were sent to a target.
    pub served: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Whether an attempt was refused or past its objective.
    pub waited: bool,
}

/// A customer.
#[derive(Clone, Debug, Default)]
struct Customer {
    seconds: BTreeMap<i64, Second>,
    /// Tokens of its largest request.
    largest: u64,
}

impl Customer {
    fn second(&mut self, at: f64) -> &mut Second {
        self.seconds.entry(second(at)).or_default()
    }

    fn record_demand(&mut self, tokens: u64, at: f64) {
        self.second(at).asked += tokens;
        self.largest = self.largest.max(tokens);
    }

    fn record_refused(&mut self, count: u64, at: f64) {
        let second = self.second(at);
        second.refused += count;
        second.waited = true;
    }

    /// Seconds from `from` on, without gaps.
    fn period(&self, from: i64, length: i64) -> impl Iterator<Item = Second> {
        (from..from + length).map(|it| self.seconds.get(&it).copied().unwrap_or_default())
    }

    fn served(&self, from: i64, length: i64) -> u64 {
        self.period(from, length).map(|it| it.served).sum()
    }
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
struct Open {
    customer: Arc<str>,
    arrived: f64,
    objective: Option<f64>,
}

/// Sums of a customer over all lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Tokens of attempts that arrived.
    pub asked: u64,
    /// Tokens of attempts that were sent to a target.
    pub served: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Seconds in which it waited.
    pub waited: usize,
}

/// A period in each second of which a customer waited.
#[derive(Clone, Debug, PartialEq)]
pub struct Period {
    /// First second, since the first line.
    pub from: i64,
    /// Tokens of the customer's attempts that arrived.
    pub asked: u64,
    /// Tokens of its attempts that were sent to a target.
    pub served: u64,
    /// Tokens that it was due.
    pub due: u64,
    /// The best served customer.
    pub best: Arc<str>,
    /// Tokens of that customer's attempts that were sent to a target.
    pub best_served: u64,
}

impl Period {
    /// Service relative to what was due; 1 if nothing was due.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn ratio(&self) -> f64 {
        if self.due == 0 {
            return 1.0;
        }
        self.served as f64 / self.due as f64
    }
}

/// A customer's totals, and the period in which it got least of what it was due.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name.
    pub customer: Arc<str>,
    /// Sums over all lines.
    pub total: Total,
    /// Period with the smallest ratio; none if the customer never waited that long.
    pub worst: Option<Period>,
}

/// Demand and service of all customers.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    customers: HashMap<Arc<str>, Customer>,
    open: HashMap<String, Open>,
    first: Option<f64>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a line. The lines of one router must be in order.
    pub fn record(&mut self, line: &Line) {
        self.first = Some(self.first.map_or(line.at, |it| it.min(line.at)));
        match line.text("event") {
            Some("sent") => self.record_sent(line),
            Some("refused") => self.record_refused(line),
            Some("refusals") => self.record_refusals(line, "customers"),
            Some("crowded") => self.record_refusals(line, "by_customer"),
            Some("answered" | "broken_off" | "caller_left") => self.record_end(line),
            _ => {}
        }
    }

    fn customer(&mut self, name: &str) -> &mut Customer {
        self.customers.entry(name.into()).or_default()
    }

    fn record_sent(&mut self, line: &Line) {
        let (Some(id), Some(name)) = (line.text("id"), line.text("customer")) else {
            return;
        };
        if self.open.contains_key(id) {
            return;
        }
        let tokens = line.count("cost").unwrap_or_default();
        let arrived = line.at - line.seconds("waited_ms").unwrap_or_default();
        let customer = self.customer(name);
        customer.record_demand(tokens, arrived);
        customer.second(line.at).served += tokens;
        let open = Open {
            customer: name.into(),
            arrived,
            objective: line.seconds("objective_ms"),
        };
        self.open.insert(id.to_owned(), open);
    }

    fn record_refused(&mut self, line: &Line) {
        let Some(name) = line.text("customer") else {
            return;
        };
        let open = line.text("id").and_then(|it| self.open.remove(it));
        let customer = self.customer(name);
        customer.record_refused(1, line.at);
        if open.is_none() {
            let arrived = line.at - line.seconds("after_ms").unwrap_or_default();
            customer.record_demand(line.count("cost").unwrap_or_default(), arrived);
        }
    }

    /// Records refusals that share a line, counted by customer in the field `counts`.
    fn record_refusals(&mut self, line: &Line, counts: &str) {
        for (name, count) in line.counts(counts) {
            self.customer(name).record_refused(count, line.at);
        }
        for (name, tokens) in line.counts("tokens") {
            self.customer(name).second(line.at).asked += tokens;
        }
    }

    fn record_end(&mut self, line: &Line) {
        let Some(open) = line.text("id").and_then(|it| self.open.remove(it)) else {
            return;
        };
        let first = line.seconds("first_ms").or(line.seconds("after_ms"));
        let (Some(objective), Some(first)) = (open.objective, first) else {
            return;
        };
        if first <= objective {
            return;
        }
        let late = second(open.arrived + objective)..=second(open.arrived + first);
        let customer = self.customer(&open.customer);
        for number in late {
            customer.seconds.entry(number).or_default().waited = true;
        }
    }

    /// All customers, those with the smallest ratio in a period of `length` seconds first.
    #[must_use]
    pub fn rows(&self, length: i64) -> Vec<Row> {
        let best = self.best_served(length);
        let rows = self.customers.iter().map(|(name, customer)| Row {
            customer: name.clone(),
            total: total(customer),
            worst: self.worst(customer, length, &best),
        });
        let mut rows: Vec<_> = rows.collect();
        let ratio = |row: &Row| row.worst.as_ref().map_or(f64::INFINITY, Period::ratio);
        rows.sort_by(|a, b| {
            let by_ratio = ratio(a).total_cmp(&ratio(b));
            let by_demand = || b.total.asked.cmp(&a.total.asked);
            let by_name = || a.customer.cmp(&b.customer);
            by_ratio.then_with(by_demand).then_with(by_name)
        });
        rows
    }

    /// The best served customer of the period from each second on.
    fn best_served(&self, length: i64) -> BTreeMap<i64, Arc<str>> {
        let mut best: BTreeMap<i64, (u64, Arc<str>)> = BTreeMap::new();
        for (name, customer) in &self.customers {
            for begin in customer.seconds.keys() {
                for from in begin - length + 1..=*begin {
                    let served = customer.served(from, length);
                    let entry = best.entry(from).or_insert_with(|| (served, name.clone()));
                    if (served, &entry.1) > (entry.0, name) {
                        *entry = (served, name.clone());
                    }
                }
            }
        }
        best.into_iter().map(|(at, (_, name))| (at, name)).collect()
    }

    fn worst(
        &self,
        customer: &Customer,
        length: i64,
        best: &BTreeMap<i64, Arc<str>>,
    ) -> Option<Period> {
        let starts = customer.seconds.keys();
        let waited = starts.filter(|it| customer.period(**it, length).all(|it| it.waited));
        let periods = waited.filter_map(|it| self.period(customer, *it, length, best.get(it)?));
        periods.min_by(|a, b| a.ratio().total_cmp(&b.ratio()))
    }

    fn period(
        &self,
        customer: &Customer,
        from: i64,
        length: i64,
        best: &Arc<str>,
    ) -> Option<Period> {
        let other = self.customers.get(best)?;
        let seconds = customer.period(from, length);
        let both = seconds.zip(other.period(from, length));
        let due: u64 = both.map(|(own, best)| own.asked.min(best.served)).sum();
        Some(Period {
            from: from - second(self.first?),
            asked: customer.period(from, length).map(|it| it.asked).sum(),
            served: customer.served(from, length),
            due: due.saturating_sub(DEDUCTED_REQUESTS * customer.largest),
            best: best.clone(),
            best_served: other.served(from, length),
        })
    }
}

fn total(customer: &Customer) -> Total {
    let seconds = customer.seconds.values();
    Total {
        asked: seconds.clone().map(|it| it.asked).sum(),
        served: seconds.clone().map(|it| it.served).sum(),
        refused: seconds.clone().map(|it| it.refused).sum(),
        waited: seconds.filter(|it| it.waited).count(),
    }
}

/// Number of the second that contains a time.
#[expect(
    clippy::cast_possible_truncation,
    reason = "seconds of the time of day"
)]
fn second(at: f64) -> i64 {
    at.floor() as i64
}
