//! Everything that changes at a router, and the decisions taken on it.
//!
//! No call here wakes a task or drops a lease, so the state is never borrowed twice.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::Budget;
use dunlinward_dispatch::configuration::Table;
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::placement::{self, Ask, Candidate, Choice};
use dunlinward_dispatch::prefix::{self, Memory, Prompt};
use dunlinward_dispatch::reach::Reach;
use dunlinward_dispatch::registry::Registry;
use dunlinward_dispatch::report::CustomerTag;
use dunlinward_dispatch::share::Shares;
use dunlinward_dispatch::target::{State as TargetState, Tag, Target};
use dunlinward_dispatch::usage::Usage;
use tokio::sync::oneshot;

use crate::lease::Lease;
use crate::settings::Settings;

/// At most one in so many targets of a service is ejected for failures.
const EJECTED_PART: usize = 3;

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Identity of the request, for the log.
    pub id: Arc<str>,
    /// The service that is to run it.
    pub service: Arc<str>,
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
    /// A target that has failed it.
    pub exclude: Option<Tag>,
    /// When it is given up.
    pub until: Duration,
    /// Spreads ties.
    pub draw: u64,
}

/// A request that waits for room.
pub(crate) struct Waiter {
    pub(crate) wish: Wish,
    pub(crate) cover: f64,
    pub(crate) reply: oneshot::Sender<Lease>,
}

/// Everything that changes.
pub(crate) struct State {
    pub(crate) table: Option<Rc<Table>>,
    pub(crate) registry: Registry,
    pub(crate) usage: Usage,
    pub(crate) memory: Memory,
    pub(crate) health: Health,
    pub(crate) budget: Budget,
    pub(crate) shares: Shares,
    pub(crate) reach: Reach,
    pub(crate) queue: Vec<Waiter>,
    engines_seen: usize,
}

impl State {
    /// Nothing known yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            table: None,
            registry: Registry::new(),
            usage: Usage::new(),
            memory: Memory::new(),
            health: Health::new(),
            budget: Budget::new(settings.repeats),
            shares: Shares::new(settings.share_window),
            reach: Reach::new(settings.report_interval),
            queue: Vec::new(),
            engines_seen: 0,
        }
    }

    /// Notes an outcome; true if the target is ejected by it.
    pub(crate) fn note(&mut self, target: &Target, outcome: Outcome, now: Duration) -> bool {
        let targets = self.registry.of(&target.service);
        let ejected = targets
            .iter()
            .filter(|it| self.health.ejected(it.tag(), now));
        let enough = ejected.count() * EJECTED_PART >= targets.len();
        if outcome == Outcome::Bad && enough {
            return false;
        }
        self.health.note(target.tag(), outcome, now)
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
        let prefix = wish.prompt.as_deref().and_then(Prompt::prefix);
        let table = self.table.clone()?;
        let engines = self.registry.of(&wish.service).len();
        if wish.prompt.is_some() {
            self.engines_seen = self.engines_seen.max(engines);
        }
        #[expect(clippy::cast_precision_loss, reason = "a few hundred targets")]
        let rate = table.limits().tokens_per_second / self.engines_seen.max(1) as f64;
        let engine = table.service(&wish.service).and_then(|it| it.engine);
        let kept = prefix::kept(engine.map_or(0, |it| it.memory_tokens), rate);
        let mut candidates = Vec::with_capacity(engines);
        for target in self.registry.of(&wish.service) {
            let tag = target.tag();
            let usable = target.state == TargetState::Ready
                && !self.health.ejected(tag, now)
                && wish.exclude != Some(tag);
            if usable {
                candidates.push(Candidate {
                    target: target.clone(),
                    load: self.usage.total(tag),
                    local: target.domain == settings.domain,
                    keeps: prefix.is_some_and(|it| self.memory.keeps(it, tag, kept, now)),
                });
            }
        }
        let ask = Ask {
            prompt: wish.prompt.as_deref(),
            objective: wish.objective,
            rate,
            waited: now.saturating_sub(wish.arrived),
            may_miss: now >= wish.arrived + wish.objective.mul_f64(settings.patience.miss),
            room: if cover < 1.0 {
                // Squared, as what is left at full targets goes to whoever asks most often.
                settings.patience.over_share * cover * cover
            } else {
                1.0
            },
            draw: wish.draw,
        };
        placement::choose(&settings.policy, &ask, &candidates)
    }

    pub(crate) fn begin(&mut self, wish: &Wish, choice: &Choice, now: Duration) {
        let tag = choice.target.tag();
        self.usage.begin(tag, choice.unread);
        if let Some(prefix) = wish.prompt.as_deref().and_then(Prompt::prefix) {
            self.memory.note(prefix, tag, now);
        }
        if let Some(customer) = wish.customer {
            self.shares.grant(customer, wish.cost, now);
        }
    }
}
