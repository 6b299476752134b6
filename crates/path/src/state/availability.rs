//! Targets that must not get requests, whichever router granted a place there.
//!
//! The owner of a cell places requests by its own view. The router that sends a request may have a
//! newer one, or receive it while it opens a connection. So targets are checked three times: when
//! the owner places a request, when a grant is accepted, and before the first byte is sent.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cell::{Cell, ServiceTag};
use dunlinward_dispatch::continuation::Binding;
use dunlinward_dispatch::region::Constraint;
use dunlinward_dispatch::target::{State as Condition, Tag, Target};

use super::{PlaceRequest, State};

/// Why a target must not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is shutting down.
    Leaving,
    /// It requested backoff from this router.
    BackedOff,
    /// Its region is not allowed for the request.
    OutOfRegion,
    /// The stream was begun by another software version.
    OtherVersion,
    /// It is a target of another service.
    OtherService,
}

/// When a cell has a target that may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// At once.
    Now,
    /// From this time on, when a backoff ends.
    At(Duration),
    /// Not before the list of targets or the evacuations change.
    Never,
}

impl Availability {
    /// Time until a target is available, if a request stops waiting before.
    pub(crate) fn unavailable_for(self, request: &PlaceRequest, now: Duration) -> Option<Duration> {
        match self {
            Self::At(at) if at > request.deadline => Some(at.saturating_sub(now)),
            Self::Now | Self::At(_) | Self::Never => None,
        }
    }
}

impl Exclusion {
    /// Label in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::BackedOff => "backed_off",
            Self::OutOfRegion => "out_of_region",
            Self::OtherVersion => "other_version",
            Self::OtherService => "other_service",
        }
    }
}

impl State {
    /// Why a target must not get a request of this router's clients; none if it may.
    pub(crate) fn exclusion(
        &self,
        target: &Target,
        allowed: Constraint,
        now: Duration,
    ) -> Option<Exclusion> {
        let tag = target.tag();
        if !allowed.admits(self.registry.region_of(target)) {
            return Some(Exclusion::OutOfRegion);
        }
        let known = self.registry.get(tag);
        if known.is_some_and(|it| it.state == Condition::Leaving) {
            return Some(Exclusion::Leaving);
        }
        if self.is_evacuated(target) {
            return Some(Exclusion::Evacuated);
        }
        let until = self.backoffs.backoff_until(self.peer, tag, now);
        until.map(|_| Exclusion::BackedOff)
    }

    /// Why a target must not get a request of this router's clients for a service that is bound to
    /// a software version; none if it may.
    pub(crate) fn exclusion_for(
        &self,
        target: &Target,
        service: ServiceTag,
        allowed: Constraint,
        binding: Binding,
        now: Duration,
    ) -> Option<Exclusion> {
        // Targets are named by short identities, in messages and here.
        if ServiceTag::new(&target.service) != service {
            return Some(Exclusion::OtherService);
        }
        if !self.admits(binding, target) {
            return Some(Exclusion::OtherVersion);
        }
        self.exclusion(target, allowed, now)
    }

    /// Whether a target may continue a stream; its newest entry counts.
    fn admits(&self, binding: Binding, target: &Target) -> bool {
        let known = self.registry.get(target.tag());
        binding.admits(known.map_or(target, AsRef::as_ref).software())
    }

    /// Targets of a cell that may not continue a stream.
    pub(crate) fn other_versions(&self, cell: Cell, binding: Binding) -> Vec<Tag> {
        if binding == Binding::Free {
            return Vec::new();
        }
        let targets = self.registry.targets_of_cell(cell).iter();
        let others = targets.filter(|it| !binding.admits(it.software()));
        others.map(|it| it.tag()).collect()
    }

    /// Whether a target's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuations.is_evacuated(&target.domain)
    }

    /// Whether a target is ready and its failure domain is not evacuated.
    pub(crate) fn is_available(&self, target: &Target) -> bool {
        target.state == Condition::Ready && !self.is_evacuated(target)
    }

    /// When the first target of a cell may get requests of this router's clients, by the backoff
    /// that the targets requested from it. A request that stops waiting before then cannot be
    /// placed.
    pub(crate) fn availability(&self, cell: Cell, binding: Binding, now: Duration) -> Availability {
        let backoff = |tag| self.backoffs.backoff_until(self.peer, tag, now);
        self.first_available(cell, binding, backoff)
    }

    /// When the first target of a cell may get a request of any router, as known to the cell's
    /// owner.
    pub(crate) fn availability_for(&self, request: &PlaceRequest, now: Duration) -> Availability {
        self.first_available(request.cell, request.binding, |tag| {
            let available_at = self.backoffs.available_at(request.router, tag, now);
            Some(available_at).filter(|it| *it > now)
        })
    }

    /// When the first target of a cell may get requests; `backoff` gives the end of a target's
    /// backoff, if it is in one.
    fn first_available(
        &self,
        cell: Cell,
        binding: Binding,
        backoff: impl Fn(Tag) -> Option<Duration>,
    ) -> Availability {
        let targets = self.registry.targets_of_cell(cell);
        if targets.is_empty() {
            // No target is known yet, or none is left; requests wait for one.
            return Availability::Now;
        }
        let mut first = Availability::Never;
        let usable = |it: &&Arc<Target>| self.is_available(it) && binding.admits(it.software());
        for target in targets.iter().filter(usable) {
            let Some(until) = backoff(target.tag()) else {
                return Availability::Now;
            };
            first = match first {
                Availability::At(known) => Availability::At(known.min(until)),
                Availability::Now | Availability::Never => Availability::At(until),
            };
        }
        first
    }

    /// Targets of a cell that requested backoff from this router.
    pub(crate) fn backed_off(&self, cell: Cell, now: Duration) -> Vec<Tag> {
        let targets = self.registry.targets_of_cell(cell).iter();
        let tags = targets.map(|it| it.tag());
        tags.filter(|it| self.backoffs.backoff_until(self.peer, *it, now).is_some())
            .collect()
    }
}
