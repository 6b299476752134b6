//! Callers' requests waiting at this router.
//!
//! Requests are queued by lane (service and model), customer and class. Within a
//! lane and customer, quick requests go before long ones if the settings say so;
//! otherwise both are in one queue in order of arrival. The number of a customer's
//! requests is limited over all lanes, so that one customer cannot exhaust the
//! router's memory.

use std::collections::{BTreeMap, VecDeque};

use crate::event::Class;
use crate::id::{Customer, Model, Request, Service};

/// Service and model that a request needs from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// The service.
    pub service: Service,
    /// The model, for model services.
    pub model: Option<Model>,
}

/// A customer's waiting requests in a lane.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    quick: VecDeque<Request>,
    long: VecDeque<Request>,
}

impl Backlog {
    fn class_mut(&mut self, class: Class) -> &mut VecDeque<Request> {
        match class {
            Class::Quick => &mut self.quick,
            Class::Long => &mut self.long,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.quick.len() + self.long.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting quick requests.
    #[must_use]
    pub fn quick(&self) -> usize {
        self.quick.len()
    }

    /// The first request of each class.
    pub fn first_by_class(&self) -> impl Iterator<Item = Request> {
        let heads = [self.quick.front(), self.long.front()];
        heads.into_iter().flatten().copied()
    }

    /// The next request to dispatch.
    #[must_use]
    pub fn front(&self) -> Option<Request> {
        self.quick.front().or(self.long.front()).copied()
    }
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Lane, BTreeMap<Customer, Backlog>>,
    counts: BTreeMap<Customer, usize>,
    len: usize,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of a customer's waiting requests in all lanes.
    #[must_use]
    pub fn count(&self, customer: Customer) -> usize {
        self.counts.get(&customer).copied().unwrap_or(0)
    }

    /// Appends a request to the queue of its lane, customer and class.
    pub fn push(&mut self, lane: Lane, customer: Customer, class: Class, request: Request) {
        self.backlog_mut(lane, customer)
            .class_mut(class)
            .push_back(request);
        self.increment(customer);
    }

    /// Puts a request that is retried at the front of its queue.
    pub fn push_front(&mut self, lane: Lane, customer: Customer, class: Class, request: Request) {
        self.backlog_mut(lane, customer)
            .class_mut(class)
            .push_front(request);
        self.increment(customer);
    }

    /// Removes a request from any position; true when it was present.
    pub fn remove(&mut self, lane: Lane, customer: Customer, request: Request) -> bool {
        let Some(backlogs) = self.lanes.get_mut(&lane) else {
            return false;
        };
        let Some(waiting) = backlogs.get_mut(&customer) else {
            return false;
        };
        let before = waiting.len();
        waiting.quick.retain(|other| *other != request);
        waiting.long.retain(|other| *other != request);
        let found = waiting.len() < before;
        if waiting.is_empty() {
            backlogs.remove(&customer);
        }
        if backlogs.is_empty() {
            self.lanes.remove(&lane);
        }
        if found {
            self.decrement(customer);
        }
        found
    }

    /// Lanes with waiting requests, and those requests by customer.
    pub fn lanes(&self) -> impl Iterator<Item = (Lane, &BTreeMap<Customer, Backlog>)> {
        self.lanes.iter().map(|(lane, backlogs)| (*lane, backlogs))
    }

    /// The waiting requests of a lane, by customer.
    #[must_use]
    pub fn lane(&self, lane: Lane) -> Option<&BTreeMap<Customer, Backlog>> {
        self.lanes.get(&lane)
    }

    fn backlog_mut(&mut self, lane: Lane, customer: Customer) -> &mut Backlog {
        self.lanes
            .entry(lane)
            .or_default()
            .entry(customer)
            .or_default()
    }

    fn increment(&mut self, customer: Customer) {
        *self.counts.entry(customer).or_default() += 1;
        self.len += 1;
    }

    fn decrement(&mut self, customer: Customer) {
        self.len -= 1;
        if let Some(count) = self.counts.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&customer);
            }
        }
    }
}
