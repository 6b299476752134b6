//! Regions: groups of failure domains that are close to each other.
//!
//! Traffic between regions is slow and expensive, so the targets of a service are divided into
//! cells region by region ([`crate::cell`]), and operators may restrict routes and customers to
//! regions.
//!
//! All routers are configured with the same failure domains and number the regions in the order of
//! their names, so a number denotes the same region everywhere.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of a region.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Region(pub u8);

impl Region {
    /// Region of a failure domain for which none is configured.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Limit on regions that a restriction can name; further ones are [unknown](Self::UNKNOWN).
    const MAX_NAMED: usize = 64;
}

/// The regions of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    names: Vec<Arc<str>>,
    by_domain: HashMap<Arc<str>, Region>,
}

impl Regions {
    /// Regions by failure domain.
    #[must_use]
    pub fn new(domains: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Self {
        let domains: Vec<_> = domains.into_iter().collect();
        let names: BTreeSet<_> = domains.iter().map(|(_, region)| region.clone()).collect();
        let names: Vec<_> = names.into_iter().take(Region::MAX_NAMED).collect();
        let by_domain = domains.into_iter();
        let by_domain = by_domain.map(|(domain, region)| (domain, region_by_name(&names, &region)));
        Self {
            by_domain: by_domain.collect(),
            names,
        }
    }

    /// The region of a failure domain. Without configured regions, all domains belong to one.
    #[must_use]
    pub fn of(&self, domain: &str) -> Region {
        if self.names.is_empty() {
            return Region::default();
        }
        let region = self.by_domain.get(domain).copied();
        region.unwrap_or(Region::UNKNOWN)
    }

    /// The regions permitted by a list of names. An empty list permits all regions; unknown names
    /// permit none.
    #[must_use]
    pub fn allowed(&self, names: &[Arc<str>]) -> Constraint {
        if names.is_empty() {
            return Constraint::ANY;
        }
        let regions = names.iter().map(|it| region_by_name(&self.names, it));
        let known = regions.filter(|it| *it != Region::UNKNOWN);
        Constraint(Some(known.fold(0, |set, it| set | 1 << it.0)))
    }

    /// Whether a region has this name.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.names.iter().any(|it| it.as_ref() == name)
    }
}

fn region_by_name(names: &[Arc<str>], region: &str) -> Region {
    let index = names.iter().position(|it| it.as_ref() == region);
    let index = index.and_then(|it| u8::try_from(it).ok());
    index.map_or(Region::UNKNOWN, Region)
}

/// The regions in which a request may run: a set of region numbers, or any region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Constraint(Option<u64>);

impl Constraint {
    /// Any region, including an unknown one.
    pub const ANY: Self = Self(None);

    /// The regions permitted by both.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self.0, other.0) {
            (Some(one), Some(other)) => Self(Some(one & other)),
            (one, other) => Self(one.or(other)),
        }
    }

    /// Whether a request may run in a region.
    #[must_use]
    pub fn admits(self, region: Region) -> bool {
        self.0
            .is_none_or(|set| region != Region::UNKNOWN && set & (1 << region.0) != 0)
    }
}
