//! Eras of the platform's store and evacuated failure domains: how this router learns about them,
//! and what changes cause.

use dunlinward_dispatch::evacuation::{Change, Evacuations, Order};
use dunlinward_dispatch::store::{Observation, Position};

use crate::gossip;
use crate::node::Node;

impl Node {
    /// Records the era named by an answer of the store or by a peer; returns `false` if it is an
    /// earlier one, so that a late answer of the store must not be used.
    #[must_use]
    pub fn observe_era(&self, era: u64, source: &str) -> bool {
        let now = self.now();
        let observation = self.state.borrow_mut().observe_era(era, now);
        match observation {
            Observation::Current => {}
            Observation::Stale => self.metrics.add("store_stale", source, 1),
            Observation::Restored => {
                self.metrics.add("store_restored", source, 1);
                let line = self.journal.line("store_restored").with("era", era);
                drop(line.with("source", source));
                gossip::push_views(self);
            }
        }
        observation != Observation::Stale
    }

    /// Whether the store was restored from a backup so recently that records may still be missing.
    #[must_use]
    pub fn store_restoring(&self) -> bool {
        self.state.borrow().store.restoring(self.now())
    }

    /// Whether an order of an earlier era is in force that should have been written to the store
    /// again by now, if it still holds.
    #[must_use]
    pub fn evacuations_overdue(&self) -> bool {
        let state = self.state.borrow();
        state.evacuations.has_expired(&state.store, self.now())
    }

    /// Applies orders from the operators' topic or from a peer.
    pub fn apply_evacuations(&self, orders: Vec<Order>, source: &str) {
        let now = self.now();
        for order in orders.iter().filter(|it| it.evacuated) {
            // An order of an earlier era shows that the store has been restored since, perhaps just
            // now.
            self.state.borrow_mut().observe_era(order.at.era, now);
        }
        self.change_evacuations(source, |it| {
            orders
                .into_iter()
                .filter_map(|order| it.apply(order))
                .collect()
        });
    }

    /// Applies the complete list of the store's orders, which ended at `end`.
    pub fn apply_evacuation_list(&self, listed: Vec<Order>, end: Position, source: &str) {
        let now = self.now();
        let era = self.state.borrow().store;
        self.change_evacuations(source, |it| it.apply_list(listed, end, &era, now));
    }

    fn change_evacuations(
        &self,
        source: &str,
        apply: impl FnOnce(&mut Evacuations) -> Vec<Change>,
    ) {
        let now = self.now();
        let changes = self.state.borrow_mut().change_evacuations(now, apply);
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
            gossip::push_views(self);
            self.notify_capacity();
        }
    }
}
