//! Rounds: how the fleet agrees on what each customer has received.
//!
//! In every failure domain the root of a [`tree::Tree`] starts a round at set
//! times by sending [`Broadcast`] to its children, who pass it on at once. Each instance
//! answers [`Aggregate`] shortly before the next round is due, the deeper it stands the
//! earlier, so that its parent can add the answer to its own. What a round tells is
//! thus a few steps of 30 ms old, and the accounts are never older than one
//! period and these steps, however many instances there are.
//!
//! Amounts are counted exactly once. An instance keeps what it has charged until
//! it learns that it was counted, and a node keeps nothing for its children. The
//! next `Broadcast` names every instance whose answer did not come in time; an amount
//! was counted if and only if neither the instance nor any on its path from the
//! root is among them. Otherwise the instance sends it again in the next round.
//! When a root dies before it has told the result, nobody has seen a total that
//! includes the round, so sending again is right as well. The one gap is a root
//! that dies while its `Broadcast` is under way, a matter of milliseconds.
//!
//! Roots tell each other their totals after each round ([`crate::message::Total`]), and tell their
//! deputy everything, so that the next root starts with all runs known. The same
//! messages carry who waits, who is suspected, which targets have free slots, and
//! the accepted revision.
//!
//! The leading root (least key among the roots heard) lifts accounts by charges of
//! its own: a customer that begins to wait is lifted to the least virtual time of
//! those that were waiting already, and no waiting customer stays further behind
//! the furthest than [`Settings::max_lag_units`]. So idleness earns nothing, and after a
//! partition what is owed is bounded.

pub mod tally;
pub mod tree;

mod book;
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
const PATIENCE: Duration = Duration::from_millis(30);

/// Rounds for which those missed are named, so that an instance may lose as many less
/// one and still learn what became of its answer.
const NAMED: usize = 4;

/// Rounds after which a customer without a report counts as idle: reports may be lost.
const IDLE: u64 = 4;

/// Rounds over which accounts that do not wait are repeated once.
const ROTATION: u64 = 16;

/// Targets with free slots that an answer names at most.
const SPARE_LIMIT: usize = 16;

/// What rounds may read and change of the kernel.
pub struct Scope<'a> {
    /// Settings.
    pub settings: &'a Settings,
    /// Configuration.
    pub table: &'a Table,
    /// Instances.
    pub view: &'a mut View,
    /// Accounts.
    pub book: &'a mut Book,
    /// Targets of this owner with free slots.
    pub spare: Vec<Key>,
    /// Where messages go.
    pub outbox: &'a mut Vec<(Key, Message)>,
}

/// A round being answered.
#[derive(Clone, Debug)]
struct Open {
    round: Round,
    parent: Option<Key>,
    awaited: BTreeSet<Key>,
    close_at: Instant,
    missed: Vec<Key>,
    amounts: BTreeMap<Slot, i64>,
    waiting: BTreeMap<Slot, u32>,
    spare: Vec<Key>,
}

/// An answer of which it is not yet known whether it counted.
#[derive(Clone, Debug)]
struct Answer {
    round: Round,
    path: Vec<Key>,
}

/// The rounds of one instance.
#[derive(Debug)]
pub struct Rounds {
    me: Key,
    domain: Key,
    run: Run,
    number: u64,
    open: Option<Open>,
    answer: Option<Answer>,
    root_seen: Option<Round>,
    heard: Instant,
    next: Instant,
    misses: BTreeMap<Key, u32>,
    /// Who was missed in each of the last rounds of this run, the latest first.
    last_missed: VecDeque<Vec<Key>>,
    tally: Tally,
    deputy: Option<Key>,
    was_root: bool,
    /// When an account was last reported waiting, by round.
    waited: BTreeMap<Slot, u64>,
    spare: Vec<Key>,
    probe: usize,
    started: Instant,
    ticked: Instant,
    /// Version of the view in which the last tick looked for the root.
    view_seen: Option<u64>,
    /// The greatest accepted revision heard of.
    pub revision: u64,
}

impl Rounds {
    /// The rounds of an instance that has just started.
    #[must_use]
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let me = Key::new(&settings.name);
        Self {
            me,
            domain: Key::new(&settings.domain),
            run: Run {
                root: me,
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
            was_root: false,
            waited: BTreeMap::new(),
            spare: Vec::new(),
            probe: 0,
            started: now,
            ticked: now,
            view_seen: None,
            revision: 0,
        }
    }

    /// Targets that were reported to have free slots in the last round.
    #[must_use]
    pub fn spare(&self) -> &[Key] {
        &self.spare
    }

    /// Whether this instance is the root of its domain.
    #[must_use]
    pub const fn is_root(&self) -> bool {
        self.was_root
    }

    /// Whether anybody in this domain starts rounds, so that accounts are fresh.
    #[must_use]
    pub fn fresh(&self, now: Instant, settings: &Settings) -> bool {
        now.since(self.heard) <= silence(settings)
    }

    /// When [`Rounds::tick`] has something to do.
    #[must_use]
    pub fn wake_at(&self, settings: &Settings) -> Instant {
        let silent = self.heard + silence(settings);
        let settled = self.started + settings.round_interval;
        let due = match (self.was_root, self.root_seen) {
            (true, _) => self.next,
            // Nobody has told a round yet: perhaps this instance is to begin.
            (false, None) if self.ticked < settled => settled,
            (false, _) => silent,
        };
        self.open
            .as_ref()
            .map_or(due, |open| due.min(open.close_at))
    }

    /// Whether there is something to do: a time has come, or instances have changed.
    #[must_use]
    pub fn is_due(&self, now: Instant, settings: &Settings, view: &View) -> bool {
        now >= self.wake_at(settings) || self.view_seen != Some(view.version)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, scope: &mut Scope<'_>) {
        self.view_seen = Some(scope.view.version);
        self.ticked = now;
        if self.open.as_ref().is_some_and(|open| now >= open.close_at) {
            self.close(now, scope);
        }
        let tree = Tree::new(scope.view, self.domain);
        // A router that has just started may not have seen the list of instances yet.
        let early = now.since(self.started) < scope.settings.round_interval;
        if tree.root() == Some(self.me) && !early {
            if !self.was_root {
                self.begin_root(now, scope);
            }
            if now >= self.next {
                self.start(now, scope, &tree);
            }
            return;
        }
        self.was_root = false;
        if now.since(self.heard) > silence(scope.settings) {
            self.doubt_root(now, scope, &tree);
        }
    }

    /// Nobody starts rounds: suspect the root and tell the next one that we are here.
    fn doubt_root(&mut self, now: Instant, scope: &mut Scope<'_>, tree: &Tree) {
        if let Some(root) = tree.root() {
            scope.view.suspect(now, root);
            scope.outbox.push((root, Message::Aggregate(self.knock())));
        }
        let next = Tree::new(scope.view, self.domain).root();
        if let Some(next) = next.filter(|next| *next != self.me) {
            scope.outbox.push((next, Message::Aggregate(self.knock())));
        }
        self.heard = now;
        self.next = now;
    }

    /// An answer to no round, which only shows that the sender is alive.
    fn knock(&self) -> Aggregate {
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

    /// A root that had given this instance up is there: answer that we are too.
    pub fn probed(&mut self, from: Key, scope: &mut Scope<'_>) {
        scope.view.clear_suspicion(from);
        scope.outbox.push((from, Message::Aggregate(self.knock())));
    }

    /// Passes a round on to the children and opens it here.
    fn spread(
        &mut self,
        now: Instant,
        scope: &mut Scope<'_>,
        tree: &Tree,
        parent: Option<Key>,
        mut down: Broadcast,
    ) {
        let path = down.path.clone();
        down.path.push(self.me);
        let children: Vec<Key> = tree
            .children(self.me)
            .into_iter()
            .filter(|child| !down.path.contains(child))
            .collect();
        for child in &children {
            scope
                .outbox
                .push((*child, Message::Broadcast(down.clone())));
        }
        // The root closes when its next round is due, others a step before their parent.
        let depth = u32::try_from(path.len()).unwrap_or(u32::MAX);
        let ahead = PATIENCE
            .saturating_mul(depth)
            .min(scope.settings.round_interval);
        self.open = Some(Open {
            round: down.round,
            parent,
            awaited: children.into_iter().collect(),
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

    /// A parent starts a round.
    pub fn down(&mut self, now: Instant, from: Key, down: Broadcast, scope: &mut Scope<'_>) {
        for key in &down.path {
            scope.view.clear_suspicion(*key);
        }
        scope.view.clear_suspicion(from);
        let tree = Tree::new(scope.view, self.domain);
        let mine = tree.root() == Some(self.me);
        let seen = self
            .root_seen
            .is_some_and(|round| round.run == down.round.run && round.number >= down.round.number);
        if seen || mine {
            return;
        }
        self.was_root = false;
        self.heard = now;
        self.root_seen = Some(down.round);
        self.revision = self.revision.max(down.revision);
        self.spare.clone_from(&down.spare);
        self.adopt_suspects(now, scope, &down.suspects);
        self.confirm(&down, scope);
        book::apply(scope, &down.totals);
        scope.book.note_round(now);
        // A round still open here will be named as missed.
        self.open = None;
        let tree = Tree::new(scope.view, self.domain);
        self.spread(now, scope, &tree, Some(from), down);
    }

    /// Settles the last answer: it counted, or it goes again.
    fn confirm(&mut self, down: &Broadcast, scope: &mut Scope<'_>) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        // A round of which nothing was heard here does not matter, as long as the one that
        // was answered is still named.
        let rounds = down.round.number.checked_sub(answer.round.number + 1);
        let told = rounds
            .filter(|_| answer.round.run == down.round.run)
            .and_then(|rounds| down.missed.get(usize::try_from(rounds).ok()?));
        let counted = told.is_some_and(|missed| {
            !missed
                .iter()
                .any(|key| *key == self.me || answer.path.contains(key))
        });
        book::settle(scope.book, counted);
    }

    fn adopt_suspects(&mut self, now: Instant, scope: &mut Scope<'_>, suspects: &[Key]) {
        let known: Vec<Key> = scope.view.all().map(|(key, _)| key).collect();
        for key in known {
            if key == self.me {
                continue;
            }
            if suspects.contains(&key) {
                scope.view.suspect(now, key);
            } else {
                scope.view.clear_suspicion(key);
            }
        }
    }

    /// A child answers.
    pub fn up(&mut self, from: Key, up: &Aggregate, scope: &mut Scope<'_>) {
        let Some(open) = self.open.as_mut().filter(|open| open.round == up.round) else {
            // Late, or a knock: alive all the same.
            if self.was_root {
                self.misses.remove(&from);
                scope.view.clear_suspicion(from);
            }
            return;
        };
        if !open.awaited.remove(&from) {
            return;
        }
        open.missed.extend(&up.missed);
        open.spare.extend(&up.spare);
        book::add(scope.table, open, &up.charges);
    }

    /// Ends the round here: answers the parent, or counts it as root.
    fn close(&mut self, now: Instant, scope: &mut Scope<'_>) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        open.missed.extend(&open.awaited);
        open.spare.append(&mut scope.spare);
        book::take(scope.book, scope.table, &mut open);
        if let Some(parent) = open.parent {
            let up = Aggregate {
                round: open.round,
                missed: open.missed,
                charges: book::ledgers(scope.table, &open.amounts, &open.waiting),
                spare: limit(open.spare),
            };
            scope.outbox.push((parent, Message::Aggregate(up)));
            return;
        }
        self.count(now, scope, open);
    }
}

/// How long no round may start before the root is doubted.
fn silence(settings: &Settings) -> Duration {
    settings.round_interval * (settings.missed_rounds + 1)
}

fn limit(mut spare: Vec<Key>) -> Vec<Key> {
    spare.truncate(SPARE_LIMIT);
    spare
}
