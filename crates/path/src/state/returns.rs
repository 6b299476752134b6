//! Scheduled returns of refused requests, at the owner of their cell.

use std::time::Duration;

use dunlinward_dispatch::return_schedule::{Arrival, Request};

use super::{Claim, PlaceRequest, State};
use crate::settings::Settings;

impl State {
    /// Records that a request arrives: whether it is a retry, and whether it returns at its time.
    pub(crate) fn record_arrival(
        &mut self,
        settings: &Settings,
        request: &mut PlaceRequest,
        now: Duration,
    ) {
        if let Some(content) = request.content {
            request.is_retry |= self.returns.contains(content);
            request.arrival = self.returns.arrive(content, now);
        }
        // Also if it can still be in time: a client that ignores its time gains nothing.
        if request.arrival == Arrival::Early {
            request.is_retry = true;
        } else {
            self.classify(settings, request, now);
        }
    }

    /// Time from the end of a request's wait after which it may return if it is refused; none
    /// without contention, without a customer, or if this router is not the owner.
    pub(crate) fn schedule_return(
        &mut self,
        settings: &Settings,
        request: &PlaceRequest,
        now: Duration,
    ) -> Option<Duration> {
        let is_owner = request.claim == Claim::All;
        if !settings.load_policy.schedule_returns || !is_owner {
            return None;
        }
        let (content, customer) = (request.content?, request.customer?);
        let capacity = self.table.as_ref()?.limits().tokens_per_second;
        let capacity = Some(capacity).filter(|it| *it < f64::MAX);
        let supply = self.shares.supply(customer, capacity, now);
        let refused = Request {
            content,
            customer,
            cost: request.cost,
            objective: request.objective,
            refused_at: request.deadline,
            expiry: request.expiry,
        };
        let at = self.returns.assign(&refused, supply.as_ref(), now)?;
        Some(at.saturating_sub(request.deadline.max(now)))
    }
}
