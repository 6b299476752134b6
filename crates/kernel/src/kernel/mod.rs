//! The step function that binds the parts.
//!
//! Every event is handled by the part it is for; then [`Kernel::step`] settles:
//! it follows changes of membership and configuration, does what has become due,
//! uses free slots, hands out owned ones, tells owners what is wanted, and sends
//! what has been gathered. Settling after every event keeps the invariants of
//! [`crate::verify`] true between steps.

mod entry;
mod link;
mod slots;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::account::{Book, Estimate};
use crate::action::Action;
use crate::event::Event;
use crate::health::Health;
use crate::holder::Holder;
use crate::id::{Customer, Pool, Request, Service, Target};
use crate::key::Key;
use crate::membership::View;
use crate::message::Message;
use crate::owner::Owner;
use crate::plugin::{self, Placement};
use crate::queue::{Lane, Queue};
use crate::request::Life;
use crate::retry::Budget;
use crate::round::Rounds;
use crate::settings::{Admission, Settings};
use crate::table::Table;
use crate::time::Instant;

/// Passes over slots and wants in one step at most.
const MOST_PASSES: usize = 16;

/// Counts of what a kernel dropped because it was late, doubled or unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Events about attempts that are over.
    pub late_events: u64,
    /// Messages of a sender's earlier run.
    pub stale_messages: u64,
    /// Messages about names that this configuration does not have.
    pub unknown_names: u64,
    /// Grants that were doubled, overtaken or not from the owner.
    pub void_grants: u64,
}

/// Messages gathered for one router.
#[derive(Debug)]
struct Mail {
    since: Instant,
    messages: Vec<Message>,
}

/// One router's decisions.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    me: Key,
    table: Option<Arc<Table>>,
    placement: Option<&'static Placement>,
    view: View,
    book: Book,
    rounds: Rounds,
    queue: Queue,
    requests: BTreeMap<Request, Life>,
    owner: Owner,
    holder: Holder,
    health: Health,
    budget: Budget,
    estimates: BTreeMap<(Service, Customer), Estimate>,
    deadlines: BTreeSet<(Instant, Request)>,
    backoffs: BTreeSet<(Instant, Request)>,
    owners: BTreeMap<Target, Key>,
    orders: BTreeMap<Lane, Vec<Key>>,
    seen_version: Option<u64>,
    outbox: Vec<(Key, Message)>,
    mail: BTreeMap<Key, Mail>,
    sweep_at: Instant,
    tell_at: Instant,
    draining: Option<Instant>,
    drained: bool,
    dropped: Dropped,
}

impl Kernel {
    /// The kernel of a router that has just started.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        let me = Key::new(&settings.name);
        let mut view = View::new();
        let domain = Key::new(&settings.domain);
        view.record_message(now, me, domain, settings.incarnation);
        Self {
            me,
            table: None,
            placement: plugin::placement(&settings.placement),
            view,
            book: Book::new(),
            rounds: Rounds::new(&settings, now),
            queue: Queue::new(),
            requests: BTreeMap::new(),
            owner: Owner::new(me),
            holder: Holder::new(),
            health: Health::new(),
            budget: Budget::new(),
            estimates: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            owners: BTreeMap::new(),
            orders: BTreeMap::new(),
            seen_version: None,
            outbox: Vec::new(),
            mail: BTreeMap::new(),
            sweep_at: now,
            tell_at: now,
            draining: None,
            drained: false,
            dropped: Dropped::default(),
            settings,
        }
    }

    /// Takes one event and says what to do.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            // A lost link alone proves nothing: rounds and statements find out what it meant.
            Event::Tick | Event::LinkLost(_) => {}
            Event::Configured(table) => self.configure(table),
            Event::Listed(listed) => self.list(now, &listed),
            Event::Arrived(arrival) => self.arrive(now, arrival, actions),
            Event::CallerLeft(request) => self.leave(now, request, actions),
            Event::Progressed {
                request,
                attempt,
                units,
            } => {
                // Progress frees no slot and changes no queue: it is only charged.
                self.progress(request, attempt, units);
                return;
            }
            Event::Ended {
                request,
                attempt,
                outcome,
            } => self.end(now, request, attempt, outcome, actions),
            Event::Received {
                from,
                domain,
                incarnation,
                messages,
            } => self.receive(now, from, domain, incarnation, messages),
            Event::Drain => self.drain(now),
        }
        self.settle(now, actions);
    }

    /// When the kernel wants a [`Event::Tick`] at the latest.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        self.table.as_ref()?;
        let due = [
            (self.settings.admission == Admission::Owner)
                .then(|| self.rounds.wake_at(&self.settings)),
            self.deadlines.first().map(|(at, _)| *at),
            self.backoffs.first().map(|(at, _)| *at),
            self.owner.next_grant_after(self.sweep_at),
            self.mail
                .values()
                .map(|mail| mail.since + self.settings.batch_delay)
                .min(),
            self.needs_sweep().then_some(self.sweep_at),
        ];
        due.into_iter().flatten().min()
    }

    /// The configuration in force here.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The instances as seen here.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// The accounts as known here.
    #[must_use]
    pub const fn book(&self) -> &Book {
        &self.book
    }

    /// The requests waiting here.
    #[must_use]
    pub const fn queue(&self) -> &Queue {
        &self.queue
    }

    /// The slots held here.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// The targets owned here.
    #[must_use]
    pub const fn owner(&self) -> &Owner {
        &self.owner
    }

    /// The rounds of accounts.
    #[must_use]
    pub const fn rounds(&self) -> &Rounds {
        &self.rounds
    }

    /// Every request here with its stage.
    pub fn requests(&self) -> impl Iterator<Item = (Request, &Life)> {
        self.requests.iter().map(|(request, life)| (*request, life))
    }

    /// The owner of a target as seen here.
    #[must_use]
    pub fn owner_of(&self, target: Target) -> Option<Key> {
        self.owners.get(&target).copied()
    }

    /// What was dropped.
    #[must_use]
    pub const fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// The settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    fn configure(&mut self, table: Arc<Table>) {
        if self
            .table
            .as_ref()
            .is_some_and(|old| old.revision > table.revision)
        {
            return;
        }
        self.book.resize(&table);
        self.rounds.revision = self.rounds.revision.max(table.revision);
        self.table = Some(table);
        self.seen_version = None;
    }

    fn pool(&self, service: Service) -> Pool {
        self.table
            .as_ref()
            .map_or(Pool::new(0), |table| table.pool(service))
    }

    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(table) = self.table.clone() else {
            return;
        };
        self.follow_members(now, &table);
        self.run_rounds(now, &table);
        self.expire(now, &table, actions);
        self.end_backoffs(now);
        self.sweep_when_due(now, &table);
        // Messages to oneself come back at once, and may free or grant slots again; what
        // is left after some passes waits for the next step.
        for _ in 0..MOST_PASSES {
            self.use_slots(now, &table, actions);
            self.owner
                .grant_slots(now, &table, &mut self.book, &mut self.outbox);
            self.tell_wants(now, &table);
            if !self.post(now) {
                break;
            }
        }
        self.finish_drain(actions);
        self.send_mail(now, actions);
    }
}
