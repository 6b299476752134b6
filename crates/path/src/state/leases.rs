//! Leases of places that an owner granted to other routers: they are used, returned, withdrawn, or
//! expire without a confirmation.

use std::time::Duration;

use dunlinward_dispatch::grants::{End, Reason, RequestId};
use dunlinward_dispatch::health::Outcome;
use dunlinward_dispatch::message::Return;
use dunlinward_dispatch::share::Charge;
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;

use super::State;

impl State {
    /// Withdraws another router's request; a place that it was granted is not used.
    pub(crate) fn withdraw(&mut self, peer: Peer, number: u64, now: Duration) {
        let mut queue = std::mem::take(&mut self.queue);
        for waiter in queue.extract_if(.., |it| it.origin.matches(peer, number)) {
            self.record_expired(&waiter, now);
        }
        self.queue = queue;
        let request = RequestId { peer, number };
        let Some(end) = self.grants.end(request, Reason::Withdrawn) else {
            return;
        };
        let grant = end.lease.grant;
        self.usage.end_for(peer, grant.tag, grant.unread);
        if let Some(content) = end.lease.content {
            self.in_flight.end(content, grant.tag);
            // The grant came too late, so the request was refused with its assigned time.
            self.returns.refuse(content);
        }
        self.undo(end, now);
    }

    /// Records that a target has prefilled another router's prompt.
    pub(crate) fn end_prefill_for(&mut self, peer: Peer, tag: Tag, unread: u64, now: Duration) {
        self.usage.end_prefill_for(peer, tag, unread);
        self.backoffs.record_running(tag, now);
    }

    /// Records that a place granted to another router is free again.
    pub(crate) fn return_place(&mut self, peer: Peer, returned: &Return, now: Duration) {
        self.usage.end_for(peer, returned.tag, returned.unread);
        if let Some(content) = returned.content {
            self.in_flight.end(content, returned.tag);
        }
        match (returned.refusal, returned.outcome) {
            (Some(refusal), _) => self
                .backoffs
                .record_refusal(peer, returned.tag, refusal, now),
            (None, Some(Outcome::Good)) => self.backoffs.record_running(returned.tag, now),
            (None, _) => {}
        }
        let request = returned.not_run.map(|number| RequestId { peer, number });
        let end = request.and_then(|it| self.grants.end(it, Reason::NotRun));
        if let Some(end) = end {
            self.undo(end, now);
        }
    }

    /// Confirms that another router uses places that it was granted.
    pub(crate) fn confirm(&mut self, peer: Peer, numbers: &[u64], now: Duration) {
        for number in numbers {
            let request = RequestId {
                peer,
                number: *number,
            };
            let lease = self.grants.confirm(request);
            if let Some(charge) = lease.and_then(|it| it.charge) {
                self.shares.confirm(charge, now);
            }
            if let Some(prefix) = lease.and_then(|it| it.prefix) {
                self.prefixes.confirm_grant(prefix, now);
            }
        }
    }

    /// Ends leases that were not confirmed in time. Their load need not be subtracted: a later
    /// report of the router has replaced it, or the router is silent and its load is dropped.
    pub(crate) fn expire_grants(&mut self, now: Duration) {
        for end in self.grants.expire(now) {
            if let Some(content) = end.lease.content {
                self.in_flight.end(content, end.lease.grant.tag);
            }
            self.undo(end, now);
        }
    }

    /// Reverts the accounting for a place that is not used: its charge, and its prefix unless the
    /// place was confirmed, which means that the request was sent to the target.
    fn undo(&mut self, end: End, now: Duration) {
        self.refund(end.lease.charge, now);
        if let Some(prefix) = end.lease.prefix.filter(|_| !end.confirmed) {
            self.prefixes.cancel_grant(prefix);
        }
    }

    /// Refunds the charge for a place that is not used. Without the refund, a customer whose
    /// requests time out before their grants arrive counts as over its share for capacity that it
    /// never used: with answers read 5 to 60 ms late, it got 13 % of the tokens of another customer
    /// in six seconds, and 96 % with refunds (see `tests`).
    pub(crate) fn refund(&mut self, charge: Option<Charge>, now: Duration) {
        if let Some(charge) = charge {
            self.shares.refund(charge, now);
        }
    }
}
