//! Backoff from targets that refuse requests.
//!
//! A target that refuses a request is free again within a millisecond, so by its load alone it
//! would look like the emptiest one and be chosen next. A refusal therefore has two consequences:
//!
//! - A backoff time that the target requests binds the router that was refused: that router sends
//!   it nothing until the time is over. Where requested times overlap, the latest end holds.
//! - The router that places requests on the target sends it nothing for a *pause*, whichever router
//!   was refused and whether or not a time was requested. The first pause is [`FIRST_PAUSE`]. It
//!   doubles with each refusal of a request sent after the previous pause, up to [`MAX_PAUSE`].
//!   A target that has requested times from two or more routers refuses everybody, so it gets
//!   nothing from any router until all but one of these times are over.
//!
//! After a pause a target is *on trial*: it gets one request per [`TRIAL_INTERVAL`] until it has
//! run one. This limits refusals while the target refuses, detects soon when it serves again, and
//! keeps routers whose backoff times end together from returning all at once.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;
use crate::usage::Peer;

/// First pause after a refusal, in which the target completes some requests.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause. A refusal delays its request by some milliseconds until it runs elsewhere, while
/// a target that serves again but gets no requests wastes its whole capacity.
pub const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Limit of doublings of a pause.
const MAX_DOUBLINGS: u32 = 2;

/// Time between two requests to a target on trial: several round trips, so that a refusal is known
/// before the next request is sent.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a refusal or a request after which a target is no longer on trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest backoff time that is accepted in a message.
const MAX_BACKOFF: Duration = Duration::from_hours(1);

/// A target's refusal of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Remaining backoff time that it requests from the router that it refused, if any.
    pub backoff: Option<Duration>,
}

impl Refusal {
    /// Whether a valid message can contain it.
    #[must_use]
    pub fn plausible(&self) -> bool {
        self.backoff.is_none_or(|it| it <= MAX_BACKOFF)
    }
}

/// Backoff that a target requested from a router.
#[derive(Clone, Copy, Debug)]
struct Request {
    router: Peer,
    until: Duration,
}

/// Backoff state of one target.
#[derive(Clone, Debug, Default)]
struct Record {
    requests: Vec<Request>,
    /// Refusals since it last ran a request.
    refusals: u32,
    /// End of the pause.
    pause: Duration,
    /// When the next trial request may be sent.
    trial: Duration,
}

impl Record {
    fn refused(&mut self, now: Duration) {
        if now < self.pause {
            // Sent before the refusal that began the pause was known.
            return;
        }
        let time = FIRST_PAUSE * (1 << self.refusals.min(MAX_DOUBLINGS));
        self.refusals += 1;
        self.pause = now + time.min(MAX_PAUSE);
    }

    fn request(&mut self, router: Peer, until: Duration) {
        match self.requests.iter_mut().find(|it| it.router == router) {
            Some(known) => known.until = known.until.max(until),
            None => self.requests.push(Request { router, until }),
        }
    }

    fn until(&self, router: Peer) -> Option<Duration> {
        let request = self.requests.iter().find(|it| it.router == router);
        request.map(|it| it.until)
    }

    /// Until when it is assumed to refuse all routers because it requested backoff from several:
    /// until all but one of these times are over.
    fn until_for_all(&self) -> Option<Duration> {
        let times = self.requests.iter().map(|it| it.until);
        let (_, second) = times.fold((None, None), |(first, second), it| {
            if first.is_none_or(|first| it > first) {
                (Some(it), first)
            } else {
                (first, second.max(Some(it)))
            }
        });
        second
    }

    /// Ends of the requested times, of the pause and of the trial interval.
    fn ends(&self) -> impl Iterator<Item = Duration> {
        let requested = self.requests.iter().map(|it| it.until);
        requested.chain([self.pause, self.trial])
    }
}

/// Backoff state of all targets.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    records: HashMap<Tag, Record>,
}

impl Backoffs {
    /// Records a target's refusal of a router's request.
    pub fn record_refusal(&mut self, router: Peer, tag: Tag, refusal: Refusal, now: Duration) {
        self.record_backoff(router, tag, refusal, now);
        self.records.entry(tag).or_default().refused(now);
    }

    /// Records the backoff time that a target requested from a router, as reported by that router.
    pub fn record_backoff(&mut self, router: Peer, tag: Tag, refusal: Refusal, now: Duration) {
        if let Some(time) = refusal.backoff.filter(|it| !it.is_zero()) {
            let record = self.records.entry(tag).or_default();
            record.request(router, now + time);
        }
    }

    /// Records that a target runs a request. Ignored within a pause: that request was sent before
    /// the refusal and does not show whether the next one is accepted.
    pub fn record_running(&mut self, tag: Tag, now: Duration) {
        let record = self.records.get_mut(&tag);
        if let Some(record) = record.filter(|it| now >= it.pause) {
            record.refusals = 0;
            record.pause = Duration::ZERO;
            record.trial = Duration::ZERO;
        }
    }

    /// Records that a request is sent to a target.
    pub fn record_sent(&mut self, tag: Tag, now: Duration) {
        let record = self.records.get_mut(&tag);
        if let Some(record) = record.filter(|it| it.refusals > 0) {
            record.trial = now + TRIAL_INTERVAL;
        }
    }

    /// End of the backoff that a target requested from a router, if it is not over.
    #[must_use]
    pub fn backoff_until(&self, router: Peer, tag: Tag, now: Duration) -> Option<Duration> {
        let until = self.records.get(&tag)?.until(router);
        until.filter(|it| now < *it)
    }

    /// When a router's request may be placed on a target.
    #[must_use]
    pub fn available_at(&self, router: Peer, tag: Tag, now: Duration) -> Duration {
        let Some(record) = self.records.get(&tag) else {
            return now;
        };
        let times = [record.until(router), record.until_for_all()];
        let times = times.into_iter().flatten();
        times.fold(now.max(record.pause).max(record.trial), Duration::max)
    }

    /// Remaining backoff times that targets requested from a router.
    pub fn backoffs_for(
        &self,
        router: Peer,
        now: Duration,
    ) -> impl Iterator<Item = (Tag, Refusal)> {
        let tags = self.records.keys();
        tags.filter_map(move |tag| {
            let until = self.backoff_until(router, *tag, now)?;
            let backoff = Some(until.saturating_sub(now));
            Some((*tag, Refusal { backoff }))
        })
    }

    /// Next end of a backoff, a pause or a trial interval, for which requests may wait.
    #[must_use]
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        let ends = self.records.values().flat_map(Record::ends);
        ends.filter(|it| now < *it).min()
    }

    /// Removes what is over; returns the targets whose backoff for a router has ended.
    pub fn prune(&mut self, router: Peer, now: Duration) -> Vec<Tag> {
        let over = |it: &Request| now >= it.until;
        let mut freed = Vec::new();
        for (tag, record) in &mut self.records {
            let mut requests = record.requests.iter();
            if requests.any(|it| it.router == router && over(it)) {
                freed.push(*tag);
            }
            record.requests.retain(|it| !over(it));
            if now >= record.pause.max(record.trial) + TRIAL_TIMEOUT {
                record.refusals = 0;
            }
        }
        self.records
            .retain(|_, it| it.refusals > 0 || !it.requests.is_empty());
        freed
    }

    /// Removes a target that has terminated; backoff does not apply to its next start.
    pub fn forget(&mut self, tag: Tag) {
        self.records.remove(&tag);
    }
}
