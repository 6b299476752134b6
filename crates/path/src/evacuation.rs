//! What this router knows of the platform's store and of evacuated failure domains: how it learns,
//! and what follows.

use dunlinward_dispatch::evacuation::{Change, Evacuations, Order};
use dunlinward_dispatch::store::{Observation, Position};

use crate::gossip;
use crate::node::Node;

impl Node {
    /// Notes the era that an answer of the store names; false if the answer is a late one of an
    /// earlier era and must not be used.
    #[must_use]
    pub fn see_era(&self, era: u64, source: &str) -> bool {
        let now = self.now();
        let sight = self.state.borrow_mut().observe_era(era, now);
        match sight {
            Observation::Current => {}
            Observation::Stale => self.metrics.add("store_stale", source, 1),
            Observation::Restored => {
                self.metrics.add("store_restored", source, 1);
                let line = self.journal.line("store_restored").with("era", era);
                drop(line.with("source", source));
                gossip::spread(self);
            }
        }
        sight != Observation::Stale
    }

    /// Whether the store came back from a copy so lately that it may lack what was written.
    #[must_use]
    pub fn store_restoring(&self) -> bool {
        self.state.borrow().store.restoring(self.now())
    }

    /// Whether an order is in force that the store should by now have again, if it still holds.
    #[must_use]
    pub fn evacuations_overdue(&self) -> bool {
        let state = self.state.borrow();
        state.evacuations.has_expired(&state.store, self.now())
    }

    /// Takes orders, from the operators' topic or from a peer.
    pub fn take_evacuations(&self, orders: Vec<Order>, source: &str) {
        let now = self.now();
        for order in orders.iter().filter(|it| it.evacuated) {
            // An order of an earlier era says that the store came back, perhaps just now.
            self.state.borrow_mut().observe_era(order.at.era, now);
        }
        self.change_evacuations(source, |it| {
            orders
                .into_iter()
                .filter_map(|order| it.apply(order))
                .collect()
        });
    }

    /// Takes the whole list of the orders that the store has, which ended at `end`.
    pub fn take_evacuation_list(&self, listed: Vec<Order>, end: Position, source: &str) {
        let now = self.now();
        let era = self.state.borrow().store;
        self.change_evacuations(source, |it| it.apply_list(listed, end, &era, now));
    }

    fn change_evacuations(&self, source: &str, take: impl FnOnce(&mut Evacuations) -> Vec<Change>) {
        let now = self.now();
        let changes = self.state.borrow_mut().change_evacuations(now, take);
        for change in &changes {
            let (event, domain) = match change {
                Change::Evacuated(domain) => ("domain_evacuated", domain),
                Change::Reopened(domain) => ("domain_reopened", domain),
            };
            self.metrics.add("evacuations", event, 1);
            let line = self.journal.line(event).with("domain", domain.as_ref());
            drop(line.with("source", source));
        }
        if !changes.is_empty() {
            gossip::spread(self);
            self.room_came();
        }
    }
}
