//! Which request gets which place: what an owner decides, and what it then counts.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::grants::{self, RequestId};
use dunlinward_dispatch::message::{Content, CustomerTag, Grant, Wait};
use dunlinward_dispatch::placement::{self, Choice, Criteria};
use dunlinward_dispatch::prefix::{self, Prompt, Use};
use dunlinward_dispatch::share::{Charge, Standing};
use tokio::sync::oneshot;

use super::{Claim, State, Wish};
use crate::lease::{Granter, Lease, Place};
use crate::queue::{Origin, Requester, Waiter};
use crate::settings::Settings;

/// Places that a pass over the queue found.
#[derive(Default)]
pub(crate) struct Pass {
    /// Those of this router's own callers.
    pub(crate) here: Vec<(oneshot::Sender<Lease>, Place)>,
    /// Those of other routers.
    pub(crate) peers: Vec<(SocketAddr, Grant)>,
}

impl State {
    /// Counts what a request asks for, once.
    pub(crate) fn count(&mut self, wish: &Wish, now: Duration) {
        if let Some(customer) = wish.customer
            && !wish.counted
        {
            self.shares.record_demand(customer, wish.cost, now);
        }
    }

    /// Whether others wait for the same targets.
    pub(crate) fn waits(&self, wish: &Wish) -> bool {
        self.queue.iter().any(|it| it.wish.cell == wish.cell)
    }

    /// Answers another router's request: with a place, or that it waits.
    pub(crate) fn answer(
        &mut self,
        settings: &Settings,
        asker: Requester,
        mut wish: Wish,
        now: Duration,
    ) -> Content {
        let Requester { peer, number, .. } = asker;
        if let Some(grant) = self.grants.find(RequestId { peer, number }) {
            return Content::Grant(grant);
        }
        let known = self.queue.iter().any(|it| it.origin.matches(peer, number));
        // What must not be sent now waits at its own router, not in the way of others.
        if !known && !self.held(&wish, now) {
            wish.returning |= self.returns(&wish, now);
            // A request is no sign of contention before it was found to have no room.
            let cover = self.cover(&wish, now);
            self.count(&wish, now);
            if !self.waits(&wish)
                && let Some(choice) = self.choose(settings, &wish, cover, now)
            {
                return Content::Grant(self.begin_for(asker, &wish, &choice, now));
            }
            let customer = wish.customer;
            let closed_for = self.opening_for(&wish, now).closed_for(&wish, now);
            if closed_for.is_some() {
                self.refuse(&wish, now);
                return self.wait(number, customer, closed_for, now);
            }
            self.queue.push(Waiter {
                wish,
                share_ratio: cover,
                origin: Origin::Peer(asker),
            });
            return self.wait(number, customer, None, now);
        }
        self.wait(number, wish.customer, None, now)
    }

    /// Whether the caller of a request was refused before, as far as is known here.
    pub(crate) fn returns(&self, wish: &Wish, now: Duration) -> bool {
        wish.content
            .is_some_and(|it| self.returns.contains(it, now))
    }

    /// A request leaves the queue without a place.
    pub(crate) fn refuse(&mut self, wish: &Wish, now: Duration) {
        if let Some(content) = wish.content {
            self.returns.insert(content, now);
        }
    }

    fn wait(
        &mut self,
        number: u64,
        customer: Option<CustomerTag>,
        closed_for: Option<Duration>,
        now: Duration,
    ) -> Content {
        Content::Wait(Wait {
            number,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            standing: customer.map(|it| self.shares.standing(it, now)),
            unavailable_for: closed_for,
        })
    }

    /// Share of the request's customer against its use; 1 or more within it.
    pub(crate) fn cover(&mut self, wish: &Wish, now: Duration) -> f64 {
        let Some(customer) = wish.customer else {
            return 1.0;
        };
        self.shares.share_ratio(customer, wish.cost, now)
    }

    pub(crate) fn choose(
        &mut self,
        settings: &Settings,
        wish: &Wish,
        cover: f64,
        now: Duration,
    ) -> Option<Choice> {
        if self.held(wish, now) {
            return None;
        }
        let prompt = wish.prompt.as_deref();
        let table = self.table.clone()?;
        let targets = self.registry.targets_of_cell(wish.cell);
        let service = targets.first().map(|it| it.service.clone())?;
        let engines = self.registry.targets_of_service(&service).len();
        if wish.prompt.is_some() {
            self.engines_seen = self.engines_seen.max(engines);
        }
        #[expect(clippy::cast_precision_loss, reason = "a few hundred targets")]
        let rate = table.limits().tokens_per_second / self.engines_seen.max(1) as f64;
        let engine = table.service(&service).and_then(|it| it.engine);
        let kept = prefix::retention(engine.map_or(0, |it| it.memory_tokens), rate);
        let mut candidates = self.candidates(wish, kept, now);
        self.spare_cold(settings, wish, &service, &mut candidates, now);
        let together = self.together(wish, &candidates);
        let ask = Criteria {
            prompt,
            objective: wish.objective,
            rate,
            fetch_seconds: engine.and_then(|it| it.fetch_seconds),
            // Beyond a share a request takes what comes free where its prefix is. Memory moved for it
            // crowds out other prefixes: with moves for all, callers got 0.884 of the worth they
            // asked for, and 0.895 without these (mean of five days of high load).
            allow_fetch: cover >= 1.0,
            waited: now.saturating_sub(wish.arrived),
            allow_miss: now
                >= wish.arrived + wish.objective.mul_f64(settings.queue_policy.miss_delay),
            capacity_share: self.room(settings, wish, cover),
            // Who has had little of its share is not bound to the targets that keep its
            // prefix, where others may have taken all room.
            miss_capacity_scale: cover.max(1.0),
            tie_breaker: wish.draw,
        };
        let policy = &settings.policy;
        let choice = together.and_then(|it| placement::choose(policy, &ask, &[it]));
        // Nobody waits for a full target while others have room.
        choice.or_else(|| placement::choose(policy, &ask, &candidates))
    }

    /// Part of all room that a request may use.
    fn room(&self, settings: &Settings, wish: &Wish, cover: f64) -> f64 {
        let queue = &settings.queue_policy;
        let share = match (cover < 1.0, wish.returning) {
            (false, _) => 1.0,
            // Squared, as what is left at full targets goes to whoever asks most often.
            (true, false) => queue.over_share_capacity * cover * cover,
            // Beyond a share new callers, who can still be answered in time, use up all that the
            // share allows. With the same room for both, 36 in 100 of the requests that ran for a
            // flooding customer were late before they began; all callers got 0.859 of the worth
            // they asked for, and 0.888 with a fifth of it (mean of five days of high load).
            (true, true) => queue.over_share_capacity * cover * cover * queue.retry_capacity,
        };
        #[expect(clippy::cast_precision_loss, reason = "a few hundred routers")]
        let claimed = match wish.claim {
            Claim::All => 1.0,
            Claim::Own => 1.0 / self.members.count() as f64,
        };
        share * claimed
    }

    /// Gives a place to a request of this router's callers.
    pub(crate) fn begin(
        &mut self,
        wish: &Wish,
        choice: Choice,
        own: SocketAddr,
        now: Duration,
    ) -> Place {
        let tag = choice.target.tag();
        self.usage.begin(tag, choice.unread);
        self.cold.record_request(tag, now);
        self.backoffs.record_sent(tag, now);
        if let Some(prompt) = wish.prompt.as_deref() {
            self.caches.record_sent(tag, prompt, now);
        }
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.record_sent(prefix, tag, now);
        }
        if let Some(content) = wish.content {
            self.copies.begin(content, tag, now);
        }
        let charge = self.charge(wish, now);
        Place {
            target: choice.target,
            cell: wish.cell,
            unread: choice.unread,
            hit: choice.hit,
            fetch: choice.fetch.map(|it| it.address),
            owner: own,
            granter: Granter::Own(charge),
            content: wish.content,
            standing: self.standing(wish, now),
        }
    }

    /// Gives a place to another router's request.
    pub(crate) fn begin_for(
        &mut self,
        asker: Requester,
        wish: &Wish,
        choice: &Choice,
        now: Duration,
    ) -> Grant {
        let Requester { peer, number, .. } = asker;
        let tag = choice.target.tag();
        self.usage.begin_for(peer, tag, choice.unread, now);
        self.cold.record_request(tag, now);
        self.backoffs.record_sent(tag, now);
        if let Some(prompt) = wish.prompt.as_deref() {
            self.caches.record_sent(tag, prompt, now);
        }
        let prefix = wish.prompt.as_deref().and_then(Prompt::prefix);
        let prefix = prefix.map(|it| Use::new(it, tag));
        if let Some(prefix) = prefix {
            self.memory.record_grant(prefix);
        }
        if let Some(content) = wish.content {
            self.copies.begin(content, tag, now);
        }
        let charge = self.charge(wish, now);
        let grant = Grant {
            number,
            tag,
            unread: choice.unread,
            hit: choice.hit,
            fetch: choice.fetch.as_ref().map(|it| it.tag()),
            standing: self.standing(wish, now),
        };
        let lease = grants::Lease {
            grant,
            charge,
            prefix,
            content: wish.content,
        };
        self.grants.insert(RequestId { peer, number }, lease, now);
        grant
    }

    fn charge(&mut self, wish: &Wish, now: Duration) -> Option<Charge> {
        let customer = wish.customer?;
        Some(self.shares.charge(customer, wish.cost, now))
    }

    fn standing(&mut self, wish: &Wish, now: Duration) -> Option<Standing> {
        let customer = wish.customer?;
        Some(self.shares.standing(customer, now))
    }

    /// Takes a place that another router gave.
    pub(crate) fn take_place(&mut self, wish: &Wish, grant: &Grant, now: Duration) {
        self.usage.begin(grant.tag, grant.unread);
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.record_sent(prefix, grant.tag, now);
        }
    }

    /// Goes through the queue: customers within their share first, then callers that were not
    /// refused before, then by arrival.
    pub(crate) fn pass(&mut self, settings: &Settings, now: Duration) -> Pass {
        let mut pass = Pass::default();
        let mut queue = std::mem::take(&mut self.queue);
        for waiter in queue.extract_if(.., |it| it.is_abandoned(now)) {
            self.refuse(&waiter.wish, now);
        }
        queue.retain(|it| !self.held(&it.wish, now));
        for waiter in &mut queue {
            waiter.share_ratio = self.cover(&waiter.wish, now);
        }
        queue.sort_by_key(|it| (it.share_ratio < 1.0, it.wish.returning, it.wish.arrived));
        for waiter in queue {
            let choice = self.choose(settings, &waiter.wish, waiter.share_ratio, now);
            match (choice, waiter) {
                (None, waiter) => self.queue.push(waiter),
                (Some(choice), Waiter { wish, origin, .. }) => match origin {
                    Origin::Local(reply) => {
                        let place = self.begin(&wish, choice, settings.link, now);
                        pass.here.push((reply, place));
                    }
                    Origin::Peer(asker) => {
                        let grant = self.begin_for(asker, &wish, &choice, now);
                        pass.peers.push((asker.address, grant));
                    }
                },
            }
        }
        pass
    }
}
