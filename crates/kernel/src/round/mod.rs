//! Rounds: periodic aggregation of every customer's received service over the fleet.
//!
//! In every failure domain the root of a [`tree::Tree`] starts a round once per
//! period by sending [`Broadcast`] to its children, which forward it at once. Each
//! instance answers with [`Aggregate`] shortly before the next round is due, 30 ms earlier
//! per level of depth, so that its parent can add the answer to its own. Reported
//! figures are thus a few such steps old, and accounts are at most one period and
//! these steps old, regardless of the number of instances.
//!
//! Amounts are counted exactly once. An instance keeps what it has charged until
//! it learns that it was counted, and a node keeps nothing for its children. The
//! next `Broadcast` names every instance whose answer did not arrive in time; an amount
//! was counted if and only if neither the instance nor any other on its path from
//! the root is among them. Otherwise the instance sends it again in the next round.
//! If a root fails before it has sent the result, no instance has seen a total that
//! includes the round, so sending again is correct in that case too. The one
//! exception is a root that fails while its `Broadcast` is in transit, which takes
//! milliseconds.
//!
//! Roots send each other their totals after each round ([`crate::message::Total`]),
//! and replicate all of them to a deputy, so that the next root starts with every
//! run known. The same messages carry the waiting customers, the suspected
//! instances, the targets with free slots, and the accepted revision.
//!
//! The leading root (least key among the roots heard recently) raises accounts by
//! charges of its own: a customer that begins to wait is raised to the least virtual
//! time of those that were already waiting, and no waiting customer stays further
//! behind the most advanced one than [`Settings::max_lag_units`]. Idle time therefore earns
//! no credit, and the debt after a network partition is bounded.

pub mod tally;
pub mod tree;

mod ledger;
mod peers;
mod root;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::account::Book;
use crate::key::Key;
use crate::membership::View;
use crate::message::{Aggregate, Broadcast, Message, Round, Run};
use crate::settings::Settings;
use crate::table::Table;
use crate::time::Instant;
use tally::{Slot, Tally};
use tree::Tree;

/// How much earlier an instance answers than its parent.
const ANSWER_LEAD: Duration = Duration::from_millis(30);

/// Rounds whose missed instances are listed in each `Down`. An instance may lose one round
/// less than this in a row and still learn whether its answer was counted.
const MISSED_ROUNDS_LISTED: usize = 4;

/// Rounds without a report after which a customer counts as idle. More than one, since
/// reports may be lost.
const IDLE_AFTER_ROUNDS: u64 = 4;

/// Rounds within which every account that is not waiting is sent once.
const ROTATION_ROUNDS: u64 = 16;

/// Greatest number of targets with free slots listed in an answer.
const MAX_SPARE_TARGETS: usize = 16;

/// Kernel state that rounds read and change.
pub struct Scope<'a> {
    /// Settings of this router.
    pub settings: &'a Settings,
    /// Accepted configuration.
    pub table: &'a Table,
    /// Known instances.
    pub view: &'a mut View,
    /// Service accounts.
    pub book: &'a mut Book,
    /// Targets owned by this instance that have free slots.
    pub spare: Vec<Key>,
    /// Messages to send, with their recipients.
    pub outbox: &'a mut Vec<(Key, Message)>,
}

/// A round that this instance has not yet answered.
#[derive(Clone, Debug)]
struct Open {
    round: Round,
    parent: Option<Key>,
    pending: BTreeSet<Key>,
    close_at: Instant,
    missed: Vec<Key>,
    amounts: BTreeMap<Slot, i64>,
    waiting: BTreeMap<Slot, u32>,
    spare: Vec<Key>,
}

/// An answer that is not yet known to have been counted.
#[derive(Clone, Debug)]
struct Answer {
    round: Round,
    path: Vec<Key>,
}

/// Round state of one instance.
#[derive(Debug)]
pub struct Rounds {
    own_key: Key,
    domain: Key,
    run: Run,
    number: u64,
    open: Option<Open>,
    answer: Option<Answer>,
    root_seen: Option<Round>,
    heard: Instant,
    next: Instant,
    misses: BTreeMap<Key, u32>,
    /// Instances missed in each of the last rounds of this run, the latest first.
    last_missed: VecDeque<Vec<Key>>,
    tally: Tally,
    deputy: Option<Key>,
    acting_root: bool,
    /// Number of the last round in which each account was reported waiting.
    last_waiting: BTreeMap<Slot, u64>,
    spare: Vec<Key>,
    probe: usize,
    started: Instant,
    ticked: Instant,
    /// Version of the view from which the last tick determined the root.
    view_seen: Option<u64>,
    /// Greatest accepted revision seen.
    pub revision: u64,
}

impl Rounds {
    /// State of an instance that has just started.
    #[must_use]
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let own_key = Key::new(&settings.name);
        Self {
            own_key,
            domain: Key::new(&settings.domain),
            run: Run {
                root: own_key,
                incarnation: settings.incarnation,
            },
            number: 0,
            open: None,
            answer: None,
            root_seen: None,
            heard: now,
            next: now,
            misses: BTreeMap::new(),
            last_missed: VecDeque::new(),
            tally: Tally::new(),
            deputy: None,
            acting_root: false,
            last_waiting: BTreeMap::new(),
            spare: Vec::new(),
            probe: 0,
            started: now,
            ticked: now,
            view_seen: None,
            revision: 0,
        }
    }

    /// Targets with free slots as of the last round.
    #[must_use]
    pub fn spare(&self) -> &[Key] {
        &self.spare
    }

    /// Whether this instance acts as root of its domain.
    #[must_use]
    pub const fn is_root(&self) -> bool {
        self.acting_root
    }

    /// Whether rounds are being started in this domain, so that accounts are up to date.
    #[must_use]
    pub fn fresh(&self, now: Instant, settings: &Settings) -> bool {
        now.since(self.heard) <= root_timeout(settings)
    }

    /// When [`Rounds::tick`] is next due.
    #[must_use]
    pub fn wake_at(&self, settings: &Settings) -> Instant {
        let silent = self.heard + root_timeout(settings);
        let settled = self.started + settings.round_interval;
        let due = match (self.acting_root, self.root_seen) {
            (true, _) => self.next,
            // No round received yet: this instance may be the first root.
            (false, None) if self.ticked < settled => settled,
            (false, _) => silent,
        };
        self.open
            .as_ref()
            .map_or(due, |open| due.min(open.close_at))
    }

    /// Whether [`Rounds::tick`] is due, by time or because the view has changed.
    #[must_use]
    pub fn is_due(&self, now: Instant, settings: &Settings, view: &View) -> bool {
        now >= self.wake_at(settings) || self.view_seen != Some(view.version)
    }

    /// Closes the open round and starts the next one, or suspects the root, as due.
    pub fn tick(&mut self, now: Instant, scope: &mut Scope<'_>) {
        self.view_seen = Some(scope.view.version);
        self.ticked = now;
        if self.open.as_ref().is_some_and(|open| now >= open.close_at) {
            self.close(now, scope);
        }
        let tree = Tree::new(scope.view, self.domain);
        // A router that has just started may not have received the list of instances yet.
        let starting = now.since(self.started) < scope.settings.round_interval;
        if tree.root() == Some(self.own_key) && !starting {
            if !self.acting_root {
                self.become_root(now, scope);
            }
            if now >= self.next {
                self.start(now, scope, &tree);
            }
            return;
        }
        self.acting_root = false;
        if now.since(self.heard) > root_timeout(scope.settings) {
            self.suspect_root(now, scope, &tree);
        }
    }

    /// Suspects a root that starts no rounds, and reports this instance as alive to it and to
    /// its successor.
    fn suspect_root(&mut self, now: Instant, scope: &mut Scope<'_>, tree: &Tree) {
        if let Some(root) = tree.root() {
            scope.view.suspect(now, root);
            scope
                .outbox
                .push((root, Message::Aggregate(self.keep_alive())));
        }
        let next = Tree::new(scope.view, self.domain).root();
        if let Some(next) = next.filter(|next| *next != self.own_key) {
            scope
                .outbox
                .push((next, Message::Aggregate(self.keep_alive())));
        }
        self.heard = now;
        self.next = now;
    }

    /// An answer with round number 0, which only shows that the sender is alive.
    fn keep_alive(&self) -> Aggregate {
        Aggregate {
            round: Round {
                run: self.run,
                number: 0,
            },
            missed: Vec::new(),
            charges: Vec::new(),
            spare: Vec::new(),
        }
    }

    /// Handles a probe from a root that suspected this instance: answers that it is alive.
    pub fn probe_received(&mut self, from: Key, scope: &mut Scope<'_>) {
        scope.view.clear_suspicion(from);
        scope
            .outbox
            .push((from, Message::Aggregate(self.keep_alive())));
    }

    /// Forwards a round to the children and opens it here.
    fn forward(
        &mut self,
        now: Instant,
        scope: &mut Scope<'_>,
        tree: &Tree,
        parent: Option<Key>,
        mut down: Broadcast,
    ) {
        let path = down.path.clone();
        down.path.push(self.own_key);
        let children: Vec<Key> = tree
            .children(self.own_key)
            .into_iter()
            .filter(|child| !down.path.contains(child))
            .collect();
        for child in &children {
            scope
                .outbox
                .push((*child, Message::Broadcast(down.clone())));
        }
        // The root closes when its next round is due, the others one step before their parent.
        let depth = u32::try_from(path.len()).unwrap_or(u32::MAX);
        let ahead = ANSWER_LEAD
            .saturating_mul(depth)
            .min(scope.settings.round_interval);
        self.open = Some(Open {
            round: down.round,
            parent,
            pending: children.into_iter().collect(),
            close_at: now + scope.settings.round_interval - ahead,
            missed: Vec::new(),
            amounts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            spare: Vec::new(),
        });
        self.answer = Some(Answer {
            round: down.round,
            path,
        });
    }

    /// Handles a round received from a parent.
    pub fn down_received(
        &mut self,
        now: Instant,
        from: Key,
        down: Broadcast,
        scope: &mut Scope<'_>,
    ) {
        for key in &down.path {
            scope.view.clear_suspicion(*key);
        }
        scope.view.clear_suspicion(from);
        let tree = Tree::new(scope.view, self.domain);
        let is_own_root = tree.root() == Some(self.own_key);
        let seen = self
            .root_seen
            .is_some_and(|round| round.run == down.round.run && round.number >= down.round.number);
        if seen || is_own_root {
            return;
        }
        self.acting_root = false;
        self.heard = now;
        self.root_seen = Some(down.round);
        self.revision = self.revision.max(down.revision);
        self.spare.clone_from(&down.spare);
        self.adopt_suspects(now, scope, &down.suspects);
        self.confirm(&down, scope);
        ledger::apply(scope, &down.totals);
        scope.book.note_round(now);
        // An unanswered round is dropped; the root lists this instance as missed.
        self.open = None;
        let tree = Tree::new(scope.view, self.domain);
        self.forward(now, scope, &tree, Some(from), down);
    }

    /// Settles the last answer: its amounts were counted, or are sent again.
    fn confirm(&mut self, down: &Broadcast, scope: &mut Scope<'_>) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        // Rounds lost in between do not matter as long as the answered one is still listed.
        let rounds = down.round.number.checked_sub(answer.round.number + 1);
        let listed = rounds
            .filter(|_| answer.round.run == down.round.run)
            .and_then(|rounds| down.missed.get(usize::try_from(rounds).ok()?));
        let counted = listed.is_some_and(|missed| {
            !missed
                .iter()
                .any(|key| *key == self.own_key || answer.path.contains(key))
        });
        ledger::settle(scope.book, counted);
    }

    fn adopt_suspects(&mut self, now: Instant, scope: &mut Scope<'_>, suspects: &[Key]) {
        let known: Vec<Key> = scope.view.all().map(|(key, _)| key).collect();
        for key in known {
            if key == self.own_key {
                continue;
            }
            if suspects.contains(&key) {
                scope.view.suspect(now, key);
            } else {
                scope.view.clear_suspicion(key);
            }
        }
    }

    /// Handles an answer of a child.
    pub fn up_received(&mut self, from: Key, up: &Aggregate, scope: &mut Scope<'_>) {
        let Some(open) = self.open.as_mut().filter(|open| open.round == up.round) else {
            // A late answer or a keep-alive: the sender is alive in either case.
            if self.acting_root {
                self.misses.remove(&from);
                scope.view.clear_suspicion(from);
            }
            return;
        };
        if !open.pending.remove(&from) {
            return;
        }
        open.missed.extend(&up.missed);
        open.spare.extend(&up.spare);
        ledger::add(scope.table, open, &up.charges);
    }

    /// Closes the open round: answers the parent, or counts the round if this is the root.
    fn close(&mut self, now: Instant, scope: &mut Scope<'_>) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        open.missed.extend(&open.pending);
        open.spare.append(&mut scope.spare);
        ledger::collect(scope.book, scope.table, &mut open);
        if let Some(parent) = open.parent {
            let up = Aggregate {
                round: open.round,
                missed: open.missed,
                charges: ledger::ledgers(scope.table, &open.amounts, &open.waiting),
                spare: truncate_spare(open.spare),
            };
            scope.outbox.push((parent, Message::Aggregate(up)));
            return;
        }
        self.count(now, scope, open);
    }
}

/// How long the root may start no round before it is suspected.
fn root_timeout(settings: &Settings) -> Duration {
    settings.round_interval * (settings.missed_rounds + 1)
}

fn truncate_spare(mut spare: Vec<Key>) -> Vec<Key> {
    spare.truncate(MAX_SPARE_TARGETS);
    spare
}
