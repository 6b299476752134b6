//! Targets that turn requests away, and how they are left alone.
//!
//! A target that refuses is free again within a millisecond, so by its load alone it looks the emptiest
//! of all and would be chosen next. Two things follow from a refusal instead:
//!
//! - A time that it names binds the router that was refused: that one sends nothing until it is over.
//!   Times that overlap all hold.
//! - Whoever places requests there leaves it alone for a *pause*, whichever router was refused and
//!   whether or not a time was named. A pause is [`FIRST_PAUSE`] and doubles with each refusal of
//!   what was sent after the one before, up to [`LONGEST_PAUSE`]. A target that has named times to
//!   two routers is left alone by all until one of these times is over: it refuses everybody.
//!
//! After a pause a target is *on trial*: it gets one request in [`TRIAL_INTERVAL`], until it has run one.
//! So its refusals stay few while it refuses, it is found as soon as it serves again, and routers
//! whose times end together don't all come back at once.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;
use crate::usage::Peer;

/// First time for which nobody sends to a target that has refused a request: some requests end there
/// meanwhile.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest such time: a refusal costs its request some milliseconds until it runs elsewhere, a target
/// that serves again and is left alone costs the room of all that it could run.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// Pauses that follow each other double so often at the most.
const DOUBLINGS: u32 = 2;

/// Time between two requests to a target on trial: several round trips, so that the refusal of one is
/// known before the next.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a request after which a target is no longer on trial.
const FORGOTTEN: Duration = Duration::from_secs(2);

/// Longest time that a target can name in a message.
const NAMED_MOST: Duration = Duration::from_hours(1);

/// A target's refusal of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// For how much longer it wants nothing from the router that it refused, if it says so.
    pub named: Option<Duration>,
}

impl Refusal {
    /// Whether a router can mean this.
    #[must_use]
    pub fn plausible(&self) -> bool {
        self.named.is_none_or(|it| it <= NAMED_MOST)
    }
}

/// Until when a target wants nothing of a router.
#[derive(Clone, Copy, Debug)]
struct Named {
    router: Peer,
    until: Duration,
}

/// What refusals of one target have left.
#[derive(Clone, Debug, Default)]
struct Record {
    named: Vec<Named>,
    /// Refusals since it last ran a request.
    refusals: u32,
    /// Until when nobody sends anything.
    pause: Duration,
    /// When the next request may go there on trial.
    trial: Duration,
}

impl Record {
    fn refused(&mut self, now: Duration) {
        if now < self.pause {
            // It was on its way when the first one was refused.
            return;
        }
        let time = FIRST_PAUSE * (1 << self.refusals.min(DOUBLINGS));
        self.refusals += 1;
        self.pause = now + time.min(LONGEST_PAUSE);
    }

    fn name(&mut self, router: Peer, until: Duration) {
        match self.named.iter_mut().find(|it| it.router == router) {
            Some(known) => known.until = known.until.max(until),
            None => self.named.push(Named { router, until }),
        }
    }

    fn until(&self, router: Peer) -> Option<Duration> {
        let named = self.named.iter().find(|it| it.router == router);
        named.map(|it| it.until)
    }

    /// Until when it is taken to refuse all routers, as it has named times to several: until all but
    /// one of these times are over.
    fn until_for_all(&self) -> Option<Duration> {
        let times = self.named.iter().map(|it| it.until);
        let (_, second) = times.fold((None, None), |(first, second), it| {
            if first.is_none_or(|first| it > first) {
                (Some(it), first)
            } else {
                (first, second.max(Some(it)))
            }
        });
        second
    }

    /// Ends of all that holds.
    fn ends(&self) -> impl Iterator<Item = Duration> {
        let named = self.named.iter().map(|it| it.until);
        named.chain([self.pause, self.trial])
    }
}

/// What targets' refusals have left.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    records: HashMap<Tag, Record>,
}

impl Backoffs {
    /// A target has refused a request of a router.
    pub fn note_refused(&mut self, router: Peer, tag: Tag, refusal: Refusal, now: Duration) {
        self.note_named(router, tag, refusal, now);
        self.records.entry(tag).or_default().refused(now);
    }

    /// A target has named a time to a router, as that router tells.
    pub fn note_named(&mut self, router: Peer, tag: Tag, refusal: Refusal, now: Duration) {
        if let Some(time) = refusal.named.filter(|it| !it.is_zero()) {
            let record = self.records.entry(tag).or_default();
            record.name(router, now + time);
        }
    }

    /// A target runs a request. Within a pause that is one from before the refusal, which says nothing
    /// of the next.
    pub fn note_running(&mut self, tag: Tag, now: Duration) {
        let record = self.records.get_mut(&tag);
        if let Some(record) = record.filter(|it| now >= it.pause) {
            record.refusals = 0;
            record.pause = Duration::ZERO;
            record.trial = Duration::ZERO;
        }
    }

    /// A target is given a request.
    pub fn note_sent(&mut self, tag: Tag, now: Duration) {
        let record = self.records.get_mut(&tag);
        if let Some(record) = record.filter(|it| it.refusals > 0) {
            record.trial = now + TRIAL_INTERVAL;
        }
    }

    /// Until when a target wants nothing of a router, if it does.
    #[must_use]
    pub fn named_until(&self, router: Peer, tag: Tag, now: Duration) -> Option<Duration> {
        let until = self.records.get(&tag)?.until(router);
        until.filter(|it| now < *it)
    }

    /// When a router's request may go to a target, as whoever places it there knows.
    #[must_use]
    pub fn opens_at(&self, router: Peer, tag: Tag, now: Duration) -> Duration {
        let Some(record) = self.records.get(&tag) else {
            return now;
        };
        let times = [record.until(router), record.until_for_all()];
        let times = times.into_iter().flatten();
        times.fold(now.max(record.pause).max(record.trial), Duration::max)
    }

    /// The times that targets have named to a router, as they are now.
    pub fn named_to(&self, router: Peer, now: Duration) -> impl Iterator<Item = (Tag, Refusal)> {
        let tags = self.records.keys();
        tags.filter_map(move |tag| {
            let until = self.named_until(router, *tag, now)?;
            let named = Some(until.saturating_sub(now));
            Some((*tag, Refusal { named }))
        })
    }

    /// When the next of all that holds ends: requests may wait for that.
    #[must_use]
    pub fn next_end(&self, now: Duration) -> Option<Duration> {
        let ends = self.records.values().flat_map(Record::ends);
        ends.filter(|it| now < *it).min()
    }

    /// Forgets what is over; the targets whose time for a router is.
    pub fn prune(&mut self, router: Peer, now: Duration) -> Vec<Tag> {
        let over = |it: &Named| now >= it.until;
        let mut freed = Vec::new();
        for (tag, record) in &mut self.records {
            let mut named = record.named.iter();
            if named.any(|it| it.router == router && over(it)) {
                freed.push(*tag);
            }
            record.named.retain(|it| !over(it));
            if now >= record.pause.max(record.trial) + FORGOTTEN {
                record.refusals = 0;
            }
        }
        self.records
            .retain(|_, it| it.refusals > 0 || !it.named.is_empty());
        freed
    }

    /// Forgets a target that has ended: its next start owes nothing.
    pub fn forget(&mut self, tag: Tag) {
        self.records.remove(&tag);
    }
}
