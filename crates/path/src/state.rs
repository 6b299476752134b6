//! Everything that changes at a router, and the decisions taken on it.
//!
//! No call here wakes a task or drops a lease, so the state is never borrowed twice.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::Budget;
use dunlinward_dispatch::cache::Caches;
use dunlinward_dispatch::cell::{self, Cell, ServiceTag};
use dunlinward_dispatch::configuration::Table;
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::member::{Card, Members};
use dunlinward_dispatch::membership::{Change as MemberChange, Effects, Membership};
use dunlinward_dispatch::placement::{self, Ask, Candidate, Choice};
use dunlinward_dispatch::prefix::{self, Memory, Prefix, Prompt, Use};
use dunlinward_dispatch::reach::Reach;
use dunlinward_dispatch::reading::{Reading, Readings};
use dunlinward_dispatch::registry::{Change, Registry};
use dunlinward_dispatch::report::{Content, CustomerTag, Grant, Wait};
use dunlinward_dispatch::share::{Shares, Standing};
use dunlinward_dispatch::target::{State as TargetState, Tag, Target};
use dunlinward_dispatch::tries::Tries;
use dunlinward_dispatch::usage::{Peer, Usage};

use crate::lease::Place;
use crate::node::List;
use crate::queue::{Asker, Origin, Waiter};
use crate::settings::Settings;

/// How long an answer is kept for a router that did not get it: longer than it asks.
const GRANT_KEPT: Duration = Duration::from_secs(1);

/// At most one in so many targets of a service is ejected for failures.
const EJECTED_PART: usize = 3;

/// Which room of a cell a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// All of it, as the owner knows it.
    All,
    /// This router's own part, as no owner answers.
    Own,
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The cell whose targets may run it.
    pub cell: Cell,
    /// Failure domain of the router whose caller it is.
    pub domain: Arc<str>,
    /// Its prompt.
    pub prompt: Option<Rc<Prompt>>,
    /// Its customer, if it has one.
    pub customer: Option<CustomerTag>,
    /// Tokens for which its customer is charged.
    pub cost: u64,
    /// Time to the first event that users expect.
    pub objective: Duration,
    /// When it arrived.
    pub arrived: Duration,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// Whether the tokens it asks for have been counted before.
    pub counted: bool,
    /// Targets that have failed it, or its router lately.
    pub avoid: Vec<Tag>,
    /// When it is given up.
    pub until: Duration,
    /// Which room it may use.
    pub claim: Claim,
    /// Spreads ties.
    pub draw: u64,
}

/// Everything that changes.
pub(crate) struct State {
    pub(crate) table: Option<Rc<Table>>,
    /// Readings by which the configuration was the store's newest.
    pub(crate) configuration_reads: Readings,
    pub(crate) registry: Registry,
    /// Readings of the list of targets.
    pub(crate) registry_reads: Readings,
    pub(crate) usage: Usage,
    pub(crate) memory: Memory,
    /// What engines of this router's cells say that they keep.
    pub(crate) caches: Caches,
    pub(crate) health: Health,
    pub(crate) budget: Budget,
    pub(crate) shares: Shares,
    pub(crate) reach: Reach,
    /// Which callers come back.
    pub(crate) tries: Tries,
    /// Which routers are alive.
    pub(crate) membership: Membership,
    /// Which of them owns what.
    pub(crate) members: Members,
    pub(crate) queue: Vec<Waiter>,
    /// Failures that all routers report of the targets of this router's cells.
    reported: Health,
    /// Places given to other routers lately, for those that did not get the answer.
    granted: HashMap<(Peer, u64), (Duration, Grant)>,
    engines_seen: usize,
}

impl State {
    /// Nothing known yet.
    pub(crate) fn new(settings: &Settings, peer: Peer) -> Self {
        let card = Card {
            address: settings.link,
            peer,
            domain: settings.domain.clone(),
            millicores: settings.millicores,
        };
        Self {
            table: None,
            configuration_reads: Readings::new(peer),
            registry: Registry::new().with_cell_targets(settings.cell_targets),
            registry_reads: Readings::new(peer),
            usage: Usage::new(),
            memory: Memory::new(),
            caches: Caches::new(),
            health: Health::new(),
            budget: Budget::new(settings.repeats),
            shares: Shares::new(settings.share_window),
            reach: Reach::new(settings.report_interval),
            tries: Tries::new(),
            membership: Membership::new(card.clone(), &settings.seeds, settings.report_interval),
            members: Members::new(card),
            queue: Vec::new(),
            reported: Health::new(),
            granted: HashMap::new(),
            engines_seen: 0,
        }
    }

    /// Forgets routers that have been silent, and answers that are no longer asked for.
    pub(crate) fn prune(&mut self, now: Duration) {
        self.usage.prune(now);
        self.granted
            .retain(|_, (at, _)| now.saturating_sub(*at) < GRANT_KEPT);
    }

    /// Takes over what changed in who is alive.
    pub(crate) fn apply(&mut self, effects: &Effects, now: Duration) {
        for change in &effects.changes {
            match change {
                MemberChange::Heard(card, condition) => {
                    self.members.hear(card, *condition, now);
                }
                MemberChange::Lost(card) => self.members.remove(card),
            }
        }
        for address in &effects.missed {
            // The silence of a router that is about to end says nothing of its domain.
            if !self.members.leaves(*address)
                && let Some(domain) = self.members.domain(*address)
            {
                self.reach.miss(&domain);
            }
        }
    }

    /// This router doesn't keep up, or does again.
    pub(crate) fn set_behind(&mut self, behind: bool) {
        self.members.set_behind(behind);
        self.membership.set_condition(self.members.condition());
    }

    /// This router is about to end.
    pub(crate) fn leave(&mut self) {
        self.members.leave();
        self.membership.set_condition(self.members.condition());
    }

    /// A peer tells by which reading the configuration in force was the store's newest; when that
    /// was, if it is not known to be older.
    pub(crate) fn hear_configuration(
        &mut self,
        reading: Reading,
        now: Duration,
    ) -> Option<Duration> {
        let at = self.configuration_reads.hear(reading, now)?;
        self.configuration_reads.adopt(reading, at);
        Some(at)
    }

    /// A peer with the same list of targets tells by which reading it has it.
    pub(crate) fn confirm_registry(&mut self, digest: u64, reading: Reading, at: Duration) {
        self.registry.confirm(digest, at);
        self.registry_reads.adopt(reading, at);
    }

    /// Takes a list of targets.
    pub(crate) fn take_list(&mut self, list: List) -> Vec<Change> {
        if list.settled {
            self.registry.take_settled(list.targets, list.as_of)
        } else {
            self.registry.take(list.targets, list.as_of)
        }
    }

    /// A target has ended.
    pub(crate) fn forget(&mut self, tag: Tag) {
        self.memory.forget(tag);
        self.caches.forget(tag);
        self.health.forget(tag);
        self.reported.forget(tag);
    }

    /// Notes an outcome; true if the target is ejected by it.
    pub(crate) fn note(&mut self, target: &Target, outcome: Outcome, now: Duration) -> bool {
        let targets = self.registry.of(&target.service);
        note(&mut self.health, targets, target, outcome, now)
    }

    /// Notes an outcome of another router; true if the target is ejected by it.
    pub(crate) fn note_reported(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Duration,
    ) -> bool {
        let cell = self.registry.cell_of(target);
        let targets = self.registry.of_cell(cell);
        note(&mut self.reported, targets, target, outcome, now)
    }

    /// Targets of a cell that this router leaves alone.
    pub(crate) fn avoided(&self, cell: Cell, now: Duration) -> Vec<Tag> {
        let targets = self.registry.of_cell(cell);
        let tags = targets.iter().map(|it| it.tag());
        tags.filter(|it| self.health.ejected(*it, now)).collect()
    }

    /// The cell that is home to a prefix, or to a request without one.
    pub(crate) fn home(&self, service: &str, prefix: Prefix) -> Cell {
        let service = ServiceTag::new(service);
        let sizes: Vec<_> = self.registry.cells(service).iter().map(Vec::len).collect();
        let index = cell::home(prefix, &sizes).unwrap_or_default();
        Cell { service, index }
    }

    /// Counts what a request asks for, once.
    pub(crate) fn count(&mut self, wish: &Wish, now: Duration) {
        if let Some(customer) = wish.customer
            && !wish.counted
        {
            self.shares.ask(customer, wish.cost, now);
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
        asker: Asker,
        wish: Wish,
        now: Duration,
    ) -> Content {
        let Asker { peer, number, .. } = asker;
        if let Some((_, grant)) = self.granted.get(&(peer, number)) {
            return Content::Grant(*grant);
        }
        let known = self.queue.iter().any(|it| it.origin.is(peer, number));
        if !known {
            // A request is no sign of contention before it was found to have no room.
            let cover = self.cover(&wish, now);
            self.count(&wish, now);
            if !self.waits(&wish)
                && let Some(choice) = self.choose(settings, &wish, cover, now)
            {
                return Content::Grant(self.begin_for(asker, &wish, &choice, now));
            }
            let customer = wish.customer;
            self.queue.push(Waiter {
                wish,
                cover,
                origin: Origin::Peer(asker),
            });
            return self.wait(number, customer, now);
        }
        self.wait(number, wish.customer, now)
    }

    fn wait(&mut self, number: u64, customer: Option<CustomerTag>, now: Duration) -> Content {
        Content::Wait(Wait {
            number,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            standing: customer.map(|it| self.shares.standing(it, now)),
        })
    }

    /// Share of the request's customer against its use; 1 or more within it.
    pub(crate) fn cover(&mut self, wish: &Wish, now: Duration) -> f64 {
        let Some(customer) = wish.customer else {
            return 1.0;
        };
        self.shares.cover(customer, wish.cost, now)
    }

    pub(crate) fn choose(
        &mut self,
        settings: &Settings,
        wish: &Wish,
        cover: f64,
        now: Duration,
    ) -> Option<Choice> {
        let prompt = wish.prompt.as_deref();
        let table = self.table.clone()?;
        let targets = self.registry.of_cell(wish.cell);
        let service = targets.first().map(|it| it.service.clone())?;
        let engines = self.registry.of(&service).len();
        if wish.prompt.is_some() {
            self.engines_seen = self.engines_seen.max(engines);
        }
        #[expect(clippy::cast_precision_loss, reason = "a few hundred targets")]
        let rate = table.limits().tokens_per_second / self.engines_seen.max(1) as f64;
        let engine = table.service(&service).and_then(|it| it.engine);
        let kept = prefix::kept(engine.map_or(0, |it| it.memory_tokens), rate);
        let candidates = self.candidates(wish, kept, now);
        let ask = Ask {
            prompt,
            objective: wish.objective,
            rate,
            fetch_seconds: engine.and_then(|it| it.fetch_seconds),
            // Beyond a share a request takes what comes free where its prefix is. Memory moved for it
            // crowds out other prefixes: with moves for all, callers got 0.884 of the worth they
            // asked for, and 0.895 without these (mean of five days of high load).
            may_fetch: cover >= 1.0,
            waited: now.saturating_sub(wish.arrived),
            may_miss: now >= wish.arrived + wish.objective.mul_f64(settings.patience.miss),
            room: self.room(settings, wish, cover),
            // Who has had little of its share is not bound to the targets that keep its
            // prefix, where others may have taken all room.
            miss_scale: cover.max(1.0),
            draw: wish.draw,
        };
        placement::choose(&settings.policy, &ask, &candidates)
    }

    /// The targets that may run a request, with what is known of each; `kept` is how long an engine
    /// that tells nothing is taken to keep a prefix.
    fn candidates(&self, wish: &Wish, kept: Duration, now: Duration) -> Vec<Candidate> {
        let prompt = wish.prompt.as_deref();
        let prefix = prompt.and_then(Prompt::prefix);
        let usable = |target: &&Arc<Target>| {
            let tag = target.tag();
            target.state == TargetState::Ready
                && !self.reported.ejected(tag, now)
                && !wish.avoid.contains(&tag)
        };
        let usable = self.registry.of_cell(wish.cell).iter().filter(usable);
        let candidates = usable.map(|target| {
            let tag = target.tag();
            Candidate {
                target: target.clone(),
                load: self.usage.total(tag),
                local: target.domain == wish.domain,
                keeps: prefix.is_some_and(|it| self.memory.keeps(it, tag, kept, now)),
                held: prompt.and_then(|it| self.caches.held(tag, it, now)),
            }
        });
        candidates.collect()
    }

    /// Part of all room that a request may use.
    fn room(&self, settings: &Settings, wish: &Wish, cover: f64) -> f64 {
        let patience = &settings.patience;
        let share = match (cover < 1.0, wish.returning) {
            (false, _) => 1.0,
            // Squared, as what is left at full targets goes to whoever asks most often.
            (true, false) => patience.over_share * cover * cover,
            // Beyond a share new callers, who can still be answered in time, use up all that the
            // share allows. With the same room for both, 36 in 100 of the requests that ran for a
            // flooding customer were late before they began; all callers got 0.859 of the worth
            // they asked for, and 0.888 with a fifth of it (mean of five days of high load).
            (true, true) => patience.over_share * cover * cover * patience.again,
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
        if let Some(prompt) = wish.prompt.as_deref() {
            self.caches.sent(tag, prompt, now);
        }
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.note(prefix, tag, now);
        }
        let standing = self.grant(wish, now);
        Place {
            target: choice.target,
            cell: wish.cell,
            unread: choice.unread,
            hit: choice.hit,
            fetch: choice.fetch.map(|it| it.address),
            owner: own,
            standing,
        }
    }

    /// Gives a place to another router's request.
    pub(crate) fn begin_for(
        &mut self,
        asker: Asker,
        wish: &Wish,
        choice: &Choice,
        now: Duration,
    ) -> Grant {
        let Asker { peer, number, .. } = asker;
        let tag = choice.target.tag();
        self.usage.begin_for(peer, tag, choice.unread, now);
        if let Some(prompt) = wish.prompt.as_deref() {
            self.caches.sent(tag, prompt, now);
        }
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.hear(Use::new(prefix, tag), now);
        }
        let standing = self.grant(wish, now);
        let grant = Grant {
            number,
            tag,
            unread: choice.unread,
            hit: choice.hit,
            fetch: choice.fetch.as_ref().map(|it| it.tag()),
            standing,
        };
        self.granted.insert((peer, number), (now, grant));
        grant
    }

    fn grant(&mut self, wish: &Wish, now: Duration) -> Option<Standing> {
        let customer = wish.customer?;
        self.shares.grant(customer, wish.cost, now);
        Some(self.shares.standing(customer, now))
    }

    /// Takes a place that another router gave.
    pub(crate) fn take_place(&mut self, wish: &Wish, grant: &Grant, now: Duration) {
        self.usage.begin(grant.tag, grant.unread);
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.note(prefix, grant.tag, now);
        }
    }
}

fn note(
    health: &mut Health,
    targets: &[Arc<Target>],
    target: &Target,
    outcome: Outcome,
    now: Duration,
) -> bool {
    let ejected = targets.iter().filter(|it| health.ejected(it.tag(), now));
    let enough = ejected.count() * EJECTED_PART >= targets.len();
    if outcome == Outcome::Bad && enough {
        return false;
    }
    health.note(target.tag(), outcome, now)
}
