//! Targets that must get nothing, whoever gave a place there.
//!
//! The owner of a cell places requests by what it knows; the router that sends one may know better, or
//! learn better while it opens a connection. So what is said here holds three times: when a place is
//! chosen, when it is taken, and before the first byte is sent.

use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::region::Constraint;
use dunlinward_dispatch::target::{State as Condition, Tag, Target};

use super::{State, Wish};

/// Why a target must get nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// Operators have evacuated its failure domain.
    Evacuated,
    /// It is about to end.
    Leaving,
    /// It wants nothing of this router for now.
    BackedOff,
    /// Operators have bound the request to other regions.
    OutOfRegion,
}

/// When a cell has a target that may get something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    Now,
    /// From then on, by the times that its targets have named.
    At(Duration),
    /// Not before the list of targets or the operators' orders change.
    Never,
}

impl Opening {
    /// How long it is closed, if that is longer than a request waits.
    pub(crate) fn closed_for(self, wish: &Wish, now: Duration) -> Option<Duration> {
        match self {
            Self::At(at) if at > wish.until => Some(at.saturating_sub(now)),
            Self::Now | Self::At(_) | Self::Never => None,
        }
    }
}

impl Bar {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::BackedOff => "backed_off",
            Self::OutOfRegion => "out_of_region",
        }
    }
}

impl State {
    /// Why a target must not get a request of this router's callers, if it must not.
    pub(crate) fn barred(
        &self,
        target: &Target,
        allowed: Constraint,
        now: Duration,
    ) -> Option<Bar> {
        let tag = target.tag();
        if !allowed.admits(self.registry.region_of(target)) {
            return Some(Bar::OutOfRegion);
        }
        let known = self.registry.get(tag);
        if known.is_some_and(|it| it.state == Condition::Leaving) {
            return Some(Bar::Leaving);
        }
        if self.evacuated(target) {
            return Some(Bar::Evacuated);
        }
        let until = self.backoffs.backoff_until(self.peer, tag, now);
        until.map(|_| Bar::BackedOff)
    }

    /// Whether a target's failure domain is evacuated.
    pub(crate) fn evacuated(&self, target: &Target) -> bool {
        self.evacuations.is_evacuated(&target.domain)
    }

    /// Whether a target may get work of any router, as far as lists, operators and it itself say.
    pub(crate) fn open(&self, target: &Target) -> bool {
        target.state == Condition::Ready && !self.evacuated(target)
    }

    /// When the first target of a cell may get something of this router's callers, by what the targets
    /// have told it. Who waits longer for one, or for one that never will, waits in vain.
    pub(crate) fn opening(&self, cell: Cell, now: Duration) -> Opening {
        self.first_opening(cell, |tag| self.backoffs.backoff_until(self.peer, tag, now))
    }

    /// The same for the callers of any router, as the owner of the cell knows.
    pub(crate) fn opening_for(&self, wish: &Wish, now: Duration) -> Opening {
        self.first_opening(wish.cell, |tag| {
            let opens = self.backoffs.available_at(wish.router, tag, now);
            Some(opens).filter(|it| *it > now)
        })
    }

    fn first_opening(&self, cell: Cell, closed: impl Fn(Tag) -> Option<Duration>) -> Opening {
        let targets = self.registry.targets_of_cell(cell);
        if targets.is_empty() {
            // None is known yet, or none any more.
            return Opening::Now;
        }
        let mut first = Opening::Never;
        for target in targets.iter().filter(|it| self.open(it)) {
            let Some(until) = closed(target.tag()) else {
                return Opening::Now;
            };
            first = match first {
                Opening::At(known) => Opening::At(known.min(until)),
                Opening::Now | Opening::Never => Opening::At(until),
            };
        }
        first
    }

    /// Targets of a cell that want nothing of this router for now.
    pub(crate) fn backed_off(&self, cell: Cell, now: Duration) -> Vec<Tag> {
        let targets = self.registry.targets_of_cell(cell).iter();
        let tags = targets.map(|it| it.tag());
        tags.filter(|it| self.backoffs.backoff_until(self.peer, *it, now).is_some())
            .collect()
    }
}
