//! Handing out a target's slots.
//!
//! Each target has one owner, the live router of its failure domain with the
//! greatest rendezvous weight. The owner knows what every entry wants and holds,
//! and gives a free slot to the customer that comes first in the fair order. It
//! needs no lease: when views differ and two routers believe that they own a
//! target, each gives out at most the target's slots less what it was told is
//! held, so the target sees at most twice its slots, and only until the views
//! agree.
//!
//! What an entry holds is stated whole by the entry ([`Hold`]) and completed by
//! the grants that it had not yet seen when it said so. A lost grant is thus found
//! at the next statement, at the latest after [`crate::settings::Settings::restate`]
//! and [`GRANT_LOST`]. A new owner listens for
//! [`crate::settings::Settings::takeover`] before it grants; meanwhile entries go
//! on using what they hold.

mod fill;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::{Customer, Target};
use crate::key::Key;
use crate::message::{Ask, Hold, Want};
use crate::queue::Lane;
use crate::table::Table;
use crate::time::Instant;

/// After this a grant that the entry does not know of counts as lost.
pub const GRANT_LOST: Duration = Duration::from_secs(1);

/// Time for which wants are gathered before many free slots are given out.
const GATHER: Duration = Duration::from_millis(5);

/// How long an entry that cannot reach a target is given no slot of it.
const SHUN: Duration = Duration::from_secs(1);

/// Free slots that are given out without gathering wants.
const FEW: u32 = 2;

/// After this an entry that holds slots and has not said so again is asked; longer
/// than [`crate::settings::Settings::restate`].
const SILENT: Duration = Duration::from_secs(12);

/// A grant that the entry may not have seen yet.
#[derive(Clone, Copy, Debug)]
struct Unseen {
    sequence: u64,
    count: u32,
    at: Instant,
}

/// What one entry holds of one target.
#[derive(Clone, Debug, Default)]
struct Grantee {
    stated: u32,
    stamp: u64,
    unseen: VecDeque<Unseen>,
    /// When it last said what it holds.
    said: Instant,
    /// Until when it wants no slot of the target, because it cannot reach it.
    shuns: Option<Instant>,
    /// When it was last asked to say so.
    asked: Option<Instant>,
}

impl Grantee {
    fn held(&self) -> u32 {
        self.stated + self.unseen.iter().map(|grant| grant.count).sum::<u32>()
    }

    /// Whether it ought to have said something of what it holds.
    fn is_silent(&self, now: Instant) -> bool {
        let lost = self
            .unseen
            .front()
            .is_some_and(|grant| now.since(grant.at) >= GRANT_LOST);
        lost || (self.stated > 0 && now.since(self.said) >= SILENT)
    }
}

/// A target that this router owns.
#[derive(Clone, Debug)]
struct Owned {
    open_at: Instant,
    grantees: BTreeMap<Key, Grantee>,
    recalled: Option<Instant>,
    /// When slots given out twice were asked back.
    reduced: Option<Instant>,
    /// Until when wants are gathered before many free slots are given out at once.
    gather: Option<Instant>,
}

impl Owned {
    /// Whether slots may be given out now. Few are given at once; before many are,
    /// wants are gathered for [`GATHER`], so that whoever asks first after a quiet
    /// time does not get them all.
    fn ready(&mut self, now: Instant, free: u32) -> bool {
        if free <= FEW {
            self.gather = None;
            return true;
        }
        let until = *self.gather.get_or_insert(now + GATHER);
        if now < until {
            return false;
        }
        self.gather = None;
        true
    }

    fn held(&self) -> u32 {
        self.grantees.values().map(Grantee::held).sum()
    }
}

/// Waiting requests of an entry that may be given slots.
#[derive(Clone, Copy, Debug)]
struct Wish {
    lane: Lane,
    customer: Customer,
    count: u32,
    cost: u64,
}

/// What one entry wants.
#[derive(Clone, Debug, Default)]
struct Wishes {
    stamp: u64,
    rows: Vec<Wish>,
}

/// The duties of this router as an owner.
#[derive(Debug)]
pub struct Owner {
    me: Key,
    owned: BTreeMap<Target, Owned>,
    wishes: BTreeMap<Key, Wishes>,
    /// Of the last grant of any target. It is never set back, not even when a target
    /// is given up and taken up again, which its holders may not have noticed.
    sequence: u64,
}

impl Owner {
    /// An owner of nothing.
    #[must_use]
    pub const fn new(me: Key) -> Self {
        Self {
            me,
            owned: BTreeMap::new(),
            wishes: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Takes up and gives up targets, so that exactly `targets` are owned.
    pub fn assign(&mut self, open_at: Instant, targets: &[Target]) {
        self.owned.retain(|target, _| targets.contains(target));
        for target in targets {
            self.owned.entry(*target).or_insert_with(|| Owned {
                open_at,
                grantees: BTreeMap::new(),
                recalled: None,
                reduced: None,
                gather: None,
            });
        }
    }

    /// Targets owned.
    pub fn targets(&self) -> impl Iterator<Item = Target> {
        self.owned.keys().copied()
    }

    /// Slots of an owned target that entries hold, as far as known.
    #[must_use]
    pub fn held(&self, target: Target) -> Option<u32> {
        self.owned.get(&target).map(Owned::held)
    }

    /// Slots of an owned target that each entry holds, as far as known.
    pub fn grantees(&self, target: Target) -> impl Iterator<Item = (Key, u32)> {
        self.owned
            .get(&target)
            .into_iter()
            .flat_map(|owned| &owned.grantees)
            .map(|(entry, grantee)| (*entry, grantee.held()))
    }

    /// The next time at which an owned target may be granted by time alone.
    #[must_use]
    pub fn opens_after(&self, now: Instant) -> Option<Instant> {
        self.owned
            .values()
            .flat_map(|owned| [Some(owned.open_at).filter(|at| *at > now), owned.gather])
            .flatten()
            .min()
    }

    /// Owned targets with free slots that nobody here waits for.
    #[must_use]
    pub fn spare(&self, now: Instant, table: &Table) -> Vec<Key> {
        self.owned
            .iter()
            .filter(|(target, owned)| {
                let row = &table.targets[target.row()];
                let free = row.accepts_work() && now >= owned.open_at && owned.held() < row.slots;
                free && !self.wanted(table, **target)
            })
            .map(|(target, _)| table.targets[target.row()].key)
            .collect()
    }

    /// An entry says what it wants.
    pub fn want(&mut self, table: &Table, from: Key, want: &Want) {
        let wishes = self.wishes.entry(from).or_default();
        if want.stamp <= wishes.stamp {
            return;
        }
        wishes.stamp = want.stamp;
        wishes.rows = want
            .asks
            .iter()
            .filter_map(|ask| wish(table, ask))
            .collect();
    }

    /// An entry says what it holds.
    pub fn hold(&mut self, now: Instant, from: Key, target: Target, hold: &Hold) {
        let Some(owned) = self.owned.get_mut(&target) else {
            return;
        };
        let grantee = owned.grantees.entry(from).or_default();
        if hold.stamp <= grantee.stamp {
            return;
        }
        grantee.stamp = hold.stamp;
        grantee.stated = hold.count;
        grantee.shuns = hold.unusable.then_some(now + SHUN);
        grantee.said = now;
        grantee.asked = None;
        grantee
            .unseen
            .retain(|grant| grant.sequence > hold.sequence && now.since(grant.at) < GRANT_LOST);
    }

    /// Frees all that a dead or restarted entry held.
    pub fn forget(&mut self, entry: Key) {
        self.wishes.remove(&entry);
        for owned in self.owned.values_mut() {
            owned.grantees.remove(&entry);
        }
    }

    /// Whether an entry wants a slot that the target could give.
    fn wanted(&self, table: &Table, target: Target) -> bool {
        self.wishes
            .values()
            .flat_map(|wishes| &wishes.rows)
            .any(|wish| wish.count > 0 && table.serves(target, wish.lane.service, wish.lane.model))
    }
}

fn wish(table: &Table, ask: &Ask) -> Option<Wish> {
    let service = table.service_by_key(ask.service)?;
    let model = match ask.model {
        Some(key) => Some(table.model_by_key(key)?),
        None => None,
    };
    Some(Wish {
        lane: Lane { service, model },
        customer: table.customer_by_key(ask.customer)?,
        count: ask.count,
        cost: ask.cost,
    })
}
