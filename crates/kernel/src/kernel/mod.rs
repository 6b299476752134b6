//! The kernel's step function.
//!
//! [`Kernel::step`] passes each event to its handler and then settles: it applies
//! changes of membership and configuration, runs the timers that are due, dispatches
//! requests on free slots, grants slots of owned targets, sends wants to owners, and
//! flushes the message batches that are due. Settling after every event keeps the
//! invariants of [`crate::verify`] true between steps. Progress events are the
//! exception: they only charge an account.

mod messages;
mod requests;
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
use crate::request::State;
use crate::retry::Budget;
use crate::round::Rounds;
use crate::settings::{Admission, Settings};
use crate::table::Table;
use crate::time::Instant;

/// Passes over slots and wants in one step.
const MAX_SETTLE_PASSES: usize = 16;

/// Counts of events and messages dropped as late, duplicate or unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Events about attempts that have ended.
    pub late_events: u64,
    /// Messages from an earlier incarnation of the sender.
    pub stale_messages: u64,
    /// Messages with names that are not in this configuration.
    pub unknown_names: u64,
    /// Grants that were duplicate, out of order or not from the owner.
    pub void_grants: u64,
}

/// Messages batched for one router.
#[derive(Debug)]
struct Batch {
    since: Instant,
    messages: Vec<Message>,
}

/// Decision state of one router.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    own_key: Key,
    table: Option<Arc<Table>>,
    placement: Option<&'static Placement>,
    view: View,
    book: Book,
    rounds: Rounds,
    queue: Queue,
    requests: BTreeMap<Request, State>,
    owner: Owner,
    holder: Holder,
    health: Health,
    budget: Budget,
    estimates: BTreeMap<(Service, Customer), Estimate>,
    deadlines: BTreeSet<(Instant, Request)>,
    backoffs: BTreeSet<(Instant, Request)>,
    owners: BTreeMap<Target, Key>,
    owner_orders: BTreeMap<Lane, Vec<Key>>,
    applied_version: Option<u64>,
    outbox: Vec<(Key, Message)>,
    batches: BTreeMap<Key, Batch>,
    sweep_at: Instant,
    send_wants_at: Instant,
    draining: Option<Instant>,
    drained: bool,
    dropped: Dropped,
}

impl Kernel {
    /// A kernel without a configuration, requests or slots.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        let own_key = Key::new(&settings.name);
        let mut view = View::new();
        let domain = Key::new(&settings.domain);
        view.record_message(now, own_key, domain, settings.incarnation);
        Self {
            own_key,
            table: None,
            placement: plugin::placement(&settings.placement),
            view,
            book: Book::new(),
            rounds: Rounds::new(&settings, now),
            queue: Queue::new(),
            requests: BTreeMap::new(),
            owner: Owner::new(own_key),
            holder: Holder::new(),
            health: Health::new(),
            budget: Budget::new(),
            estimates: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            owners: BTreeMap::new(),
            owner_orders: BTreeMap::new(),
            applied_version: None,
            outbox: Vec::new(),
            batches: BTreeMap::new(),
            sweep_at: now,
            send_wants_at: now,
            draining: None,
            drained: false,
            dropped: Dropped::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            // A lost link alone does not show that the peer failed: account rounds and
            // hold statements determine that.
            Event::Tick | Event::LinkLost(_) => {}
            Event::Configured(table) => self.configure(table),
            Event::Listed(listed) => self.apply_listing(now, &listed),
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, actions),
            Event::CallerLeft(request) => self.cancel_request(now, request, actions),
            Event::Progressed {
                request,
                attempt,
                units,
            } => {
                // Progress frees no slot and changes no queue, so there is nothing to settle.
                self.record_progress(request, attempt, units);
                return;
            }
            Event::Ended {
                request,
                attempt,
                outcome,
            } => self.handle_end(now, request, attempt, outcome, actions),
            Event::Received {
                from,
                domain,
                incarnation,
                messages,
            } => self.receive(now, from, domain, incarnation, messages),
            Event::Drain => self.start_drain(now),
        }
        self.settle(now, actions);
    }

    /// Latest time for the next [`Event::Tick`].
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        self.table.as_ref()?;
        let timers = [
            (self.settings.admission == Admission::Owner)
                .then(|| self.rounds.wake_at(&self.settings)),
            self.deadlines.first().map(|(at, _)| *at),
            self.backoffs.first().map(|(at, _)| *at),
            self.owner.next_grant_after(self.sweep_at),
            self.batches
                .values()
                .map(|batch| batch.since + self.settings.batch_delay)
                .min(),
            self.needs_sweep().then_some(self.sweep_at),
        ];
        timers.into_iter().flatten().min()
    }

    /// The configuration in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// This router's view of the instances.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// The customers' accounts as known to this router.
    #[must_use]
    pub const fn book(&self) -> &Book {
        &self.book
    }

    /// Requests waiting at this router.
    #[must_use]
    pub const fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Slots held by this router.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Targets owned by this router.
    #[must_use]
    pub const fn owner(&self) -> &Owner {
        &self.owner
    }

    /// State of the account rounds.
    #[must_use]
    pub const fn rounds(&self) -> &Rounds {
        &self.rounds
    }

    /// All requests at this router with their states.
    pub fn requests(&self) -> impl Iterator<Item = (Request, &State)> {
        self.requests
            .iter()
            .map(|(request, state)| (*request, state))
    }

    /// Owner of a target in this router's view.
    #[must_use]
    pub fn owner_of(&self, target: Target) -> Option<Key> {
        self.owners.get(&target).copied()
    }

    /// Counts of dropped events and messages.
    #[must_use]
    pub const fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// The settings given at the start.
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
        self.applied_version = None;
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
        self.apply_membership(now, &table);
        self.run_rounds(now, &table);
        self.expire(now, &table, actions);
        self.end_backoffs(now);
        self.restate_when_due(now, &table);
        // Messages to this router itself are handled at once and may free or grant more
        // slots; what is left after the last pass waits for the next step.
        for _ in 0..MAX_SETTLE_PASSES {
            self.dispatch_waiting(now, &table, actions);
            self.owner
                .grant_slots(now, &table, &mut self.book, &mut self.outbox);
            self.send_wants(now, &table);
            if !self.deliver_outbox(now) {
                break;
            }
        }
        self.finish_drain(actions);
        self.flush_batches(now, actions);
    }
}
