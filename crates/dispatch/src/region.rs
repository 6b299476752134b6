//! Regions: groups of failure domains that lie near each other.
//!
//! The way between two regions is long and its bytes are dear, so the targets of a service are cut into
//! cells region by region ([`crate::cell`]), and operators may bind routes and customers to regions.
//!
//! All routers are told the same failure domains and number the regions in the order of their names, so
//! a number means the same region everywhere.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of a region.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Region(pub u8);

impl Region {
    /// That of a failure domain of which no region was told.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Regions that a binding can name; more are [unknown](Self::UNKNOWN).
    const MOST: usize = 64;
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
        let names: Vec<_> = names.into_iter().take(Region::MOST).collect();
        let by_domain = domains.into_iter();
        let by_domain = by_domain.map(|(domain, region)| (domain, number(&names, &region)));
        Self {
            by_domain: by_domain.collect(),
            names,
        }
    }

    /// The region of a failure domain. Where no regions were told, all domains are in one.
    #[must_use]
    pub fn of(&self, domain: &str) -> Region {
        if self.names.is_empty() {
            return Region::default();
        }
        let region = self.by_domain.get(domain).copied();
        region.unwrap_or(Region::UNKNOWN)
    }

    /// The regions that a list of names allows; names that no region has allow nothing, no names all.
    #[must_use]
    pub fn allowed(&self, names: &[Arc<str>]) -> Allowed {
        if names.is_empty() {
            return Allowed::ANY;
        }
        let regions = names.iter().map(|it| number(&self.names, it));
        let known = regions.filter(|it| *it != Region::UNKNOWN);
        Allowed(Some(known.fold(0, |set, it| set | 1 << it.0)))
    }

    /// Whether a region has this name.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.names.iter().any(|it| it.as_ref() == name)
    }
}

fn number(names: &[Arc<str>], region: &str) -> Region {
    let place = names.iter().position(|it| it.as_ref() == region);
    let place = place.and_then(|it| u8::try_from(it).ok());
    place.map_or(Region::UNKNOWN, Region)
}

/// The regions in which a request may run: a set of their numbers, or any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowed(Option<u64>);

impl Allowed {
    /// Any region, also one that is not known.
    pub const ANY: Self = Self(None);

    /// Regions in which both allow a request to run.
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
