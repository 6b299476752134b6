//! Placement of requests by the owner of their cell, and the accounting for it.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::grants::{self, RequestId};
use dunlinward_dispatch::message::{Content, Grant, Wait};
use dunlinward_dispatch::placement::{self, Choice, Criteria};
use dunlinward_dispatch::prefix::{self, Prompt, Use};
use dunlinward_dispatch::queue_order::Entry;
use dunlinward_dispatch::retry;
use dunlinward_dispatch::share::{Charge, Standing};
use tokio::sync::oneshot;

use super::{Claim, PlaceRequest, State};
use crate::lease::{Granter, Lease, Place};
use crate::queue::{Origin, Requester, Waiter};
use crate::settings::Settings;

/// Factor on the objective of a request that returns on time. It is late already, and if it is
/// refused for a long prefill queue, its client gets nothing. With 1, 0.39 of the booked returns
/// are refused in `dispatch/tests/return_load.rs`, with 2 it is 0.02.
const ON_TIME_OBJECTIVES: u32 = 2;

/// Prefill queue of an engine that does not run empty before it gets the next prompt: several
/// passes over the owner's queue and the messages to the router that sends it.
const SATURATED_QUEUE: Duration = Duration::from_millis(100);

/// Places granted in a pass over the queue.
#[derive(Default)]
pub(crate) struct Pass {
    /// Places for requests of this router's clients.
    pub(crate) local: Vec<(oneshot::Sender<Lease>, Place)>,
    /// Places for requests of other routers.
    pub(crate) peers: Vec<(SocketAddr, Grant)>,
}

impl State {
    /// Records the tokens of a request as demand, unless that was done before.
    pub(crate) fn record_demand(&mut self, request: &PlaceRequest, now: Duration) {
        if let Some(customer) = request.customer
            && !request.demand_counted
        {
            let tokens = request.cost.saturating_add(request.withheld);
            self.shares.record_demand(customer, tokens, now);
        }
    }

    /// Whether requests for the same cell are queued.
    pub(crate) fn has_queued(&self, request: &PlaceRequest) -> bool {
        self.queue.iter().any(|it| it.wish.cell == request.cell)
    }

    /// Answers another router's request with a place, or with the state of the queue.
    pub(crate) fn answer(
        &mut self,
        settings: &Settings,
        asker: Requester,
        mut wish: PlaceRequest,
        now: Duration,
    ) -> Content {
        let Requester { peer, number, .. } = asker;
        if let Some(grant) = self.grants.find(RequestId { peer, number }) {
            return Content::Grant(grant);
        }
        let known = self.queue.iter().any(|it| it.origin.matches(peer, number));
        // A blocked content is not queued here: its router repeats the request.
        if !known && !self.is_blocked(&wish, now) {
            self.record_arrival(settings, &mut wish, now);
            // Computed before the demand is recorded: the request itself is no sign of contention
            // until it has found no room.
            let cover = self.share_ratio(&wish, now);
            self.record_demand(&wish, now);
            let choice = if self.has_queued(&wish) {
                None
            } else {
                self.choose(settings, &mut wish, cover, now)
            };
            if let Some(choice) = choice {
                return Content::Grant(self.grant_to_peer(asker, &wish, &choice, now));
            }
            let standing = self.standing(&wish, now);
            let closed_for = self
                .availability_for(&wish, now)
                .unavailable_for(&wish, now);
            if closed_for.is_some() {
                self.record_refused(&wish, now);
                return self.wait(number, standing, closed_for, None);
            }
            let retry_after = self.schedule_return(settings, &wish, now);
            self.queue.push(Waiter {
                wish,
                share_ratio: cover,
                origin: Origin::Peer(asker),
            });
            return self.wait(number, standing, None, retry_after);
        }
        let standing = self.standing(&wish, now);
        let retry_after = if known {
            self.schedule_return(settings, &wish, now)
        } else {
            None
        };
        self.wait(number, standing, None, retry_after)
    }

    /// Marks a retry of a request that got no place here. A retry that can still be answered in
    /// time is treated as a first attempt that arrived when its client made that.
    pub(crate) fn classify(&self, settings: &Settings, request: &mut PlaceRequest, now: Duration) {
        let refused = request.content;
        let refused = refused.and_then(|it| self.refused_contents.age(it, now));
        request.is_retry |= refused.is_some();
        if !request.is_retry || !settings.load_policy.accepts_retries_on_time() {
            return;
        }
        let elapsed = request.arrived.saturating_sub(request.first_attempt);
        let known = Some(elapsed).filter(|it| !it.is_zero());
        let Some(elapsed) = known.or(refused) else {
            return;
        };
        if retry::is_on_time(elapsed, request.objective) {
            request.is_retry = false;
            request.arrived = request.arrived.saturating_sub(elapsed);
        }
    }

    /// Records that a request got no place.
    pub(crate) fn record_refused(&mut self, request: &PlaceRequest, now: Duration) {
        if let Some(content) = request.content {
            self.refused_contents.insert(content, now);
            self.returns.refuse(content);
        }
    }

    /// Records that a request left the queue without a place.
    pub(crate) fn record_expired(&mut self, waiter: &Waiter, now: Duration) {
        let wish = &waiter.wish;
        self.record_refused(wish, now);
        let Some(customer) = wish.customer else {
            return;
        };
        // A request may also have found no room because its prefix is cached at few engines; less
        // load of others would not have helped it.
        if self.kinds.is_none() || !self.is_saturated(wish.cell) {
            return;
        }
        if let Some(kinds) = &mut self.kinds {
            kinds.record_refused(customer, wish.route, wish.cost, now);
        }
        if waiter.share_ratio >= 1.0 {
            self.shares.record_shortage(wish.cost, now);
        }
    }

    /// Whether each available target of a cell is saturated: half of its slots are in use, or its
    /// prefill queue lasts for [`SATURATED_QUEUE`]. What is granted is then all that it can run.
    fn is_saturated(&self, cell: Cell) -> bool {
        let Some(rate) = self.prefill_rate() else {
            return false;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let queue_time = |unread: u64| unread as f64 / rate;
        let targets = self.registry.targets_of_cell(cell);
        let mut available = targets.iter().filter(|it| self.is_available(it));
        available.all(|it| {
            let load = self.usage.total(it.tag());
            load.running * 2 >= it.slots || queue_time(load.unread) >= SATURATED_QUEUE.as_secs_f64()
        })
    }

    /// Prefill rate of one engine, in tokens per second.
    fn prefill_rate(&self) -> Option<f64> {
        let table = self.table.as_ref()?;
        #[expect(clippy::cast_precision_loss, reason = "a few hundred targets")]
        let rate = table.limits().tokens_per_second / self.engines_seen.max(1) as f64;
        Some(rate)
    }

    fn wait(
        &self,
        number: u64,
        standing: Option<Standing>,
        unavailable_for: Option<Duration>,
        retry_after: Option<Duration>,
    ) -> Content {
        Content::Wait(Wait {
            number,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            standing,
            unavailable_for,
            retry_after,
        })
    }

    /// Ratio of the share of the request's customer to its usage; 1 or more within the share.
    pub(crate) fn share_ratio(&mut self, request: &PlaceRequest, now: Duration) -> f64 {
        let Some(customer) = request.customer else {
            return 1.0;
        };
        if self.shares.is_level_due(now) {
            self.update_capacity(now);
        }
        let ratio = self.shares.share_ratio(customer, request.cost, now);
        // Its tokens are booked within the customer's share.
        if request.is_on_time() {
            ratio.max(1.0)
        } else {
            ratio
        }
    }

    /// Updates the capacity of the engines, of which customers get shares.
    fn update_capacity(&mut self, now: Duration) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let engines = self.registry.targets().filter(|it| {
            let service = table.service(&it.service);
            service.is_some_and(|it| it.engine.is_some())
        });
        let available = engines
            .filter(|it| self.is_available(it) && !self.reported_health.is_ejected(it.tag(), now));
        let rate = table.limits().tokens_per_second;
        self.shares.set_capacity(rate, available.count());
    }

    /// Selects a target for a request; none if there is no room for it.
    pub(crate) fn choose(
        &mut self,
        settings: &Settings,
        request: &mut PlaceRequest,
        share_ratio: f64,
        now: Duration,
    ) -> Option<Choice> {
        if self.is_blocked(request, now) {
            return None;
        }
        let table = self.table.clone()?;
        let targets = self.registry.targets_of_cell(request.cell);
        let service = targets.first().map(|it| it.service.clone())?;
        let engines = self.registry.targets_of_service(&service).len();
        if request.prompt.is_some() {
            self.engines_seen = self.engines_seen.max(engines);
        }
        let rate = self.prefill_rate()?;
        let engine = table.service(&service).and_then(|it| it.engine);
        let retention = prefix::retention(engine.map_or(0, |it| it.memory_tokens), rate);
        let mut candidates = self.candidates(request, retention, now);
        self.limit_cold(settings, request, &service, &mut candidates, now);
        let in_flight = self.in_flight_candidate(request, &candidates);
        let capacity_share = self.capacity_share(settings, request, share_ratio, now);
        let prompt = request.prompt.as_deref();
        let max_homes = settings.load_policy.max_prefix_homes;
        let prefix = prompt.and_then(Prompt::prefix).filter(|_| max_homes > 1);
        // Engines that report their caches fetch prefixes where they lack them, so prefixes have no
        // homes there.
        let reported = candidates.iter().any(|it| it.prefix_match.is_some());
        let prefix = prefix.filter(|_| !reported);
        let homes = candidates.iter().filter(|it| it.assumed_cached).count();
        // With a part of the capacity, homes seem full that are not.
        let has_full_capacity = capacity_share >= 1.0;
        let allow_replica = has_full_capacity
            && prefix.is_some_and(|it| self.replicas.may_add(it, homes, max_homes, now));
        let criteria = Criteria {
            prompt,
            objective: prefill_objective(request),
            rate,
            fetch_seconds: engine.and_then(|it| it.fetch_seconds),
            // A request beyond its customer's share fetches no prefix from another cache, as the
            // fetched tokens evict other prefixes. With fetches for all requests, clients got 0.884
            // of the worth that they asked for, and 0.895 without these (mean of five days of high
            // load).
            allow_fetch: share_ratio >= 1.0,
            waited: now.saturating_sub(request.arrived),
            allow_miss: now
                >= request.arrived + request.objective.mul_f64(settings.queue_policy.miss_delay),
            capacity_share,
            // A customer far below its share may recompute prefixes more, as others may use all
            // room at the targets that cache its prefixes.
            miss_capacity_scale: share_ratio.max(1.0),
            allow_replica,
            tie_breaker: request.tie_breaker,
        };
        let policy = &settings.policy;
        if let Some(choice) = in_flight.and_then(|it| placement::choose(policy, &criteria, &[it])) {
            // The homes were not examined.
            return Some(choice);
        }
        // If that target is full, the request runs on another one instead of waiting.
        let choice = placement::choose(policy, &criteria, &candidates);
        let Some(prefix) = prefix else {
            return choice;
        };
        if homes == 0 {
            if choice.is_some() {
                self.replicas.record_first(prefix, now);
            }
        } else if has_full_capacity && request.homes_recorded_at.is_none() {
            // Once for each request, as one that waits is considered again many times.
            request.homes_recorded_at = Some(now);
            let full = choice.as_ref().is_none_or(|it| !it.hit);
            self.replicas.record(prefix, full, now);
        }
        if choice.as_ref().is_some_and(|it| it.new_home) {
            self.replicas.record_added(prefix, homes + 1, now);
        }
        choice
    }

    /// Ratio of the capacity that a request may use, 0 to 1.
    fn capacity_share(
        &mut self,
        settings: &Settings,
        request: &PlaceRequest,
        share_ratio: f64,
        now: Duration,
    ) -> f64 {
        let queue = &settings.queue_policy;
        let share = match (share_ratio < 1.0, request.is_retry) {
            (false, _) => 1.0,
            // Squared, because the customer with the most requests gets most of the remaining room
            // at full targets.
            (true, false) => queue.over_share_capacity * share_ratio * share_ratio,
            // Beyond a share, retries get only a part of this room, so that first attempts, which
            // can still be answered in time, get the rest. With the same room for both, 36 % of
            // the requests that ran for a flooding customer were late before they began, and all
            // clients got 0.859 of the worth that they asked for; with a fifth of the room for
            // retries they got 0.888 (mean of five days of high load).
            (true, true) => {
                queue.over_share_capacity * share_ratio * share_ratio * queue.retry_capacity
            }
        };
        #[expect(clippy::cast_precision_loss, reason = "a few hundred routers")]
        let claimed = match request.claim {
            Claim::All => 1.0,
            Claim::Own => 1.0 / self.members.count() as f64,
        };
        share * claimed * self.kind_part(request, now)
    }

    /// Part of that capacity that a request of this kind may use, 0 to 1.
    fn kind_part(&mut self, request: &PlaceRequest, now: Duration) -> f64 {
        let (Some(kinds), Some(customer)) = (&mut self.kinds, request.customer) else {
            return 1.0;
        };
        kinds.capacity_part(customer, request.route, now)
    }

    /// Grants a place to a request of this router's clients.
    pub(crate) fn grant_place(
        &mut self,
        request: &PlaceRequest,
        choice: Choice,
        own: SocketAddr,
        now: Duration,
    ) -> Place {
        let tag = choice.target.tag();
        let queued = self.usage.total(tag).unread;
        self.usage.begin(tag, choice.unread);
        self.cold_limiter.record_request(tag, now);
        self.backoffs.record_sent(tag, now);
        if let Some(prompt) = request.prompt.as_deref() {
            self.caches.record_sent(tag, prompt, now);
        }
        if let Some(prefix) = request.prompt.as_deref().and_then(Prompt::prefix) {
            self.prefixes.record_sent(prefix, tag, now);
        }
        if let Some(content) = request.content {
            self.in_flight.begin(content, tag, now);
            self.returns.place(content);
        }
        let charge = self.charge(request, now);
        if let Some(charge) = charge {
            self.shares.confirm(charge, now);
        }
        Place {
            target: choice.target,
            cell: request.cell,
            unread: choice.unread,
            queued,
            hit: choice.hit,
            fetch: choice.fetch.map(|it| it.address),
            owner: own,
            granter: Granter::Own(charge),
            content: request.content,
            standing: self.standing(request, now),
        }
    }

    /// Grants a place to another router's request.
    pub(crate) fn grant_to_peer(
        &mut self,
        asker: Requester,
        request: &PlaceRequest,
        choice: &Choice,
        now: Duration,
    ) -> Grant {
        let Requester { peer, number, .. } = asker;
        let tag = choice.target.tag();
        let queued = self.usage.total(tag).unread;
        self.usage.begin_for(peer, tag, choice.unread, now);
        self.cold_limiter.record_request(tag, now);
        self.backoffs.record_sent(tag, now);
        if let Some(prompt) = request.prompt.as_deref() {
            self.caches.record_sent(tag, prompt, now);
        }
        let prefix = request.prompt.as_deref().and_then(Prompt::prefix);
        let prefix = prefix.map(|it| Use::new(it, tag));
        if let Some(prefix) = prefix {
            self.prefixes.record_grant(prefix);
        }
        if let Some(content) = request.content {
            self.in_flight.begin(content, tag, now);
            self.returns.place(content);
        }
        let charge = self.charge(request, now);
        let grant = Grant {
            number,
            tag,
            unread: choice.unread,
            queued,
            hit: choice.hit,
            fetch: choice.fetch.as_ref().map(|it| it.tag()),
            standing: self.standing(request, now),
        };
        let lease = grants::Lease {
            grant,
            charge,
            prefix,
            content: request.content,
        };
        self.grants.insert(RequestId { peer, number }, lease, now);
        grant
    }

    fn charge(&mut self, request: &PlaceRequest, now: Duration) -> Option<Charge> {
        let customer = request.customer?;
        if let Some(kinds) = &mut self.kinds {
            kinds.record_granted(customer, request.route, request.cost, now);
        }
        Some(self.shares.charge(customer, request.cost, now))
    }

    fn standing(&mut self, request: &PlaceRequest, now: Duration) -> Option<Standing> {
        let customer = request.customer?;
        Some(self.shares.standing(customer, now))
    }

    /// Records that this router uses a place that another router granted.
    pub(crate) fn accept_grant(&mut self, request: &PlaceRequest, grant: &Grant, now: Duration) {
        self.usage.begin(grant.tag, grant.unread);
        if let Some(prefix) = request.prompt.as_deref().and_then(Prompt::prefix) {
            self.prefixes.record_sent(prefix, grant.tag, now);
        }
    }

    /// The queue in the order in which it is served.
    fn in_order(&mut self, mut queue: Vec<Waiter>, now: Duration) -> Vec<Waiter> {
        let Some(kinds) = &mut self.kinds else {
            queue.sort_by_key(|it| (it.share_ratio < 1.0, it.wish.is_retry, it.wish.arrived));
            return queue;
        };
        let entries = queue.iter().map(|it| Entry {
            customer: it.wish.customer,
            route: it.wish.route,
            cost: it.wish.cost,
            within_share: it.share_ratio >= 1.0,
            is_retry: it.wish.is_retry,
            arrived: it.wish.arrived,
        });
        let entries: Vec<_> = entries.collect();
        let order = kinds.order(&entries, now);
        let mut queue: Vec<_> = queue.into_iter().map(Some).collect();
        order
            .into_iter()
            .filter_map(|it| queue[it].take())
            .collect()
    }

    /// Grants places to queued requests, in the order of [`dunlinward_dispatch::queue_order`].
    pub(crate) fn process_queue(&mut self, settings: &Settings, now: Duration) -> Pass {
        let mut pass = Pass::default();
        let mut queue = std::mem::take(&mut self.queue);
        for waiter in queue.extract_if(.., |it| it.is_abandoned(now)) {
            self.record_expired(&waiter, now);
        }
        queue.retain(|it| !self.is_blocked(&it.wish, now));
        for waiter in &mut queue {
            waiter.share_ratio = self.share_ratio(&waiter.wish, now);
        }
        for mut waiter in self.in_order(queue, now) {
            let choice = self.choose(settings, &mut waiter.wish, waiter.share_ratio, now);
            match (choice, waiter) {
                (None, waiter) => self.queue.push(waiter),
                (Some(choice), Waiter { wish, origin, .. }) => match origin {
                    Origin::Local(reply) => {
                        let place = self.grant_place(&wish, choice, settings.link, now);
                        pass.local.push((reply, place));
                    }
                    Origin::Peer(asker) => {
                        let grant = self.grant_to_peer(asker, &wish, &choice, now);
                        pass.peers.push((asker.address, grant));
                    }
                },
            }
        }
        pass
    }
}

/// Objective by which the prefill queue that a request accepts is limited.
fn prefill_objective(request: &PlaceRequest) -> Duration {
    if request.is_on_time() {
        request.objective * ON_TIME_OBJECTIVES
    } else {
        request.objective
    }
}
