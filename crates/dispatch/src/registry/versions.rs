//! Software versions of the targets of each service, including those that have ended recently.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::cell::ServiceTag;
use crate::continuation::RETENTION;
use crate::target::{Target, Version};
use crate::version_record::Lineage;

/// Software version of a target, if known.
type Software = Option<Version>;

/// Versions by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    /// Number of known targets of each version.
    present: HashMap<ServiceTag, BTreeMap<Software, usize>>,
    /// When the last target of a version ended, or a version was last reported by a peer.
    seen: HashMap<(ServiceTag, Software), Duration>,
}

impl Versions {
    /// Counts the targets of a whole list as of `at`.
    pub(super) fn rebuild<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Arc<Target>>,
        at: Duration,
    ) {
        let before = std::mem::take(&mut self.present);
        for target in targets {
            self.add(target);
        }
        for (service, versions) in before {
            for version in versions.into_keys() {
                if !self.is_present(service, version) {
                    self.seen.insert((service, version), at);
                }
            }
        }
        self.prune(at);
    }

    pub(super) fn add(&mut self, target: &Target) {
        let service = ServiceTag::new(&target.service);
        let versions = self.present.entry(service).or_default();
        *versions.entry(target.software()).or_default() += 1;
    }

    pub(super) fn remove(&mut self, target: &Target, at: Duration) {
        let (service, version) = (ServiceTag::new(&target.service), target.software());
        let Some(versions) = self.present.get_mut(&service) else {
            return;
        };
        let Some(count) = versions.get_mut(&version) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            versions.remove(&version);
            self.seen.insert((service, version), at);
            self.prune(at);
        }
    }

    /// Records that a version had targets at `at`.
    pub(super) fn record(&mut self, service: ServiceTag, version: Version, at: Duration) {
        let seen = self.seen.entry((service, Some(version))).or_insert(at);
        *seen = at.max(*seen);
    }

    /// Versions of a service that have targets or had some within [`RETENTION`].
    pub(super) fn of(&self, service: ServiceTag, now: Duration) -> Vec<Software> {
        let present = self.present.get(&service).into_iter();
        let mut versions: Vec<_> = present.flat_map(|it| it.keys().copied()).collect();
        let seen = self.seen.iter().filter(|((it, _), at)| {
            let recent = now.saturating_sub(**at) < RETENTION;
            *it == service && recent
        });
        versions.extend(seen.map(|((_, version), _)| *version));
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Known versions that have targets.
    pub(super) fn present(&self) -> impl Iterator<Item = Lineage> + '_ {
        self.present.iter().flat_map(|(service, versions)| {
            let known = versions.keys().filter_map(|it| *it);
            known.map(|version| Lineage {
                service: *service,
                version,
            })
        })
    }

    /// Services that [`Versions::of`] names several versions of.
    pub(super) fn mixed(&self, now: Duration) -> Vec<ServiceTag> {
        let mut services: Vec<_> = self.present.keys().copied().collect();
        services.sort_unstable();
        services.retain(|it| self.of(*it, now).len() > 1);
        services
    }

    /// Whether the version of a present target is unknown.
    pub(super) fn lacks_some(&self) -> bool {
        self.present.values().any(|it| it.contains_key(&None))
    }

    fn is_present(&self, service: ServiceTag, version: Software) -> bool {
        let versions = self.present.get(&service);
        versions.is_some_and(|it| it.contains_key(&version))
    }

    fn prune(&mut self, now: Duration) {
        self.seen
            .retain(|_, at| now.saturating_sub(*at) < RETENTION);
    }
}
