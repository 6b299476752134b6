//! Callers' requests waiting at this router.
//!
//! Requests wait by lane (service and model), customer and class. Within a lane
//! and customer quick requests go before long ones when that is set; otherwise
//! both are one line in order of arrival. A customer's requests are bounded over
//! all lanes, so one that floods cannot take the router's memory.

use std::collections::{BTreeMap, VecDeque};

use crate::event::Class;
use crate::id::{Customer, Model, Request, Service};

/// What a request needs of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// The service.
    pub service: Service,
    /// The model, for model services.
    pub model: Option<Model>,
}

/// A customer's requests in a lane.
#[derive(Clone, Debug, Default)]
pub struct Line {
    quick: VecDeque<Request>,
    long: VecDeque<Request>,
}

impl Line {
    fn of(&mut self, class: Class) -> &mut VecDeque<Request> {
        match class {
            Class::Quick => &mut self.quick,
            Class::Long => &mut self.long,
        }
    }

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.quick.len() + self.long.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Quick requests waiting.
    #[must_use]
    pub fn quick(&self) -> usize {
        self.quick.len()
    }

    /// The oldest request of each class.
    pub fn heads(&self) -> impl Iterator<Item = Request> {
        let heads = [self.quick.front(), self.long.front()];
        heads.into_iter().flatten().copied()
    }

    /// The request that goes next.
    #[must_use]
    pub fn front(&self) -> Option<Request> {
        self.quick.front().or(self.long.front()).copied()
    }
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Lane, BTreeMap<Customer, Line>>,
    counts: BTreeMap<Customer, usize>,
    len: usize,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests waiting.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests of a customer waiting in all lanes.
    #[must_use]
    pub fn count(&self, customer: Customer) -> usize {
        self.counts.get(&customer).copied().unwrap_or(0)
    }

    /// Puts a request at the end of its line.
    pub fn push(&mut self, lane: Lane, customer: Customer, class: Class, request: Request) {
        self.line(lane, customer).of(class).push_back(request);
        self.grow(customer);
    }

    /// Puts a request that has waited before at the head of its line.
    pub fn push_front(&mut self, lane: Lane, customer: Customer, class: Class, request: Request) {
        self.line(lane, customer).of(class).push_front(request);
        self.grow(customer);
    }

    /// Takes a request out, wherever it stands; true when it was there.
    pub fn remove(&mut self, lane: Lane, customer: Customer, request: Request) -> bool {
        let Some(lines) = self.lanes.get_mut(&lane) else {
            return false;
        };
        let Some(own) = lines.get_mut(&customer) else {
            return false;
        };
        let before = own.len();
        own.quick.retain(|other| *other != request);
        own.long.retain(|other| *other != request);
        let found = own.len() < before;
        if own.is_empty() {
            lines.remove(&customer);
        }
        if lines.is_empty() {
            self.lanes.remove(&lane);
        }
        if found {
            self.shrink(customer);
        }
        found
    }

    /// Lanes in which requests wait, with their lines by customer.
    pub fn lanes(&self) -> impl Iterator<Item = (Lane, &BTreeMap<Customer, Line>)> {
        self.lanes.iter().map(|(lane, lines)| (*lane, lines))
    }

    /// The lines of a lane.
    #[must_use]
    pub fn lane(&self, lane: Lane) -> Option<&BTreeMap<Customer, Line>> {
        self.lanes.get(&lane)
    }

    fn line(&mut self, lane: Lane, customer: Customer) -> &mut Line {
        self.lanes
            .entry(lane)
            .or_default()
            .entry(customer)
            .or_default()
    }

    fn grow(&mut self, customer: Customer) {
        *self.counts.entry(customer).or_default() += 1;
        self.len += 1;
    }

    fn shrink(&mut self, customer: Customer) {
        self.len -= 1;
        if let Some(count) = self.counts.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&customer);
            }
        }
    }
}
